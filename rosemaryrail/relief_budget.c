#include "relief_budget.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Reduces the evictions counted in B for the time until NOW, at a rate of MAX
   per WINDOW_MS.  */
static void
budget_refill (struct rr_budget *b, int64_t max, int64_t window_ms,
               struct rr_time now)
{
  double passed = (double)rr_time_diff (now, b->at);
  if (passed <= 0)
    return;
  b->used = fmax (0, b->used - passed * (double)max / (double)window_ms);
  b->at = now;
}

/* Returns whether the budget of ID, MAX evictions per WINDOW_MS, allows one
   more.  */
bool
rr_budgets_allow (struct rr_budgets *set, enum rr_budget_kind kind,
                  uint64_t id, int64_t max, int64_t window_ms,
                  struct rr_time now)
{
  const uint64_t *position
      = rr_id_map_find (&set->index, rr_id_combine (kind, id));
  if (position == NULL)
    return max > 0;
  struct rr_budget *b = &set->budgets[*position - 1];
  budget_refill (b, max, window_ms, now);
  return b->used + 1 <= (double)max + 1e-9;
}

/* Drops the budgets that were not charged for a whole window and are full
   again.  Called before the array grows.  */
static void
budgets_expire (struct rr_budgets *set, int64_t window_ms, struct rr_time now)
{
  size_t kept = 0;
  rr_id_map_free (&set->index);
  for (size_t i = 0; i < set->count; i++)
    {
      struct rr_budget *b = &set->budgets[i];
      if (rr_time_diff (now, b->at) > window_ms)
        continue;
      set->budgets[kept] = *b;
      *rr_id_map_put (&set->index, b->key) = ++kept;
    }
  set->count = kept;
}

/* Charges one eviction to the budget of ID, MAX evictions per WINDOW_MS.  */
void
rr_budgets_charge (struct rr_budgets *set, enum rr_budget_kind kind,
                   uint64_t id, int64_t max, int64_t window_ms,
                   struct rr_time now)
{
  uint64_t key = rr_id_combine (kind, id);
  if (set->count == set->capacity && rr_id_map_find (&set->index, key) == NULL)
    {
      budgets_expire (set, window_ms, now);
      if (2 * set->count >= set->capacity)
        {
          set->capacity = set->capacity == 0 ? 16 : set->capacity * 2;
          set->budgets
              = realloc (set->budgets, set->capacity * sizeof *set->budgets);
          if (set->budgets == NULL)
            abort ();
        }
    }
  uint64_t *position = rr_id_map_put (&set->index, key);
  if (*position == 0)
    {
      set->budgets[set->count++] = (struct rr_budget){ .key = key, .at = now };
      *position = set->count;
    }
  struct rr_budget *b = &set->budgets[*position - 1];
  budget_refill (b, max, window_ms, now);
  b->used += 1;
}

/* Releases the memory of SET.  */
void
rr_budgets_free (struct rr_budgets *set)
{
  free (set->budgets);
  rr_id_map_free (&set->index);
  memset (set, 0, sizeof *set);
}
