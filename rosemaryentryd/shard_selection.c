#include "rosemaryentryd/shard_selection.h"

#include <stdlib.h>
#include <string.h>

/* Which shard a new job goes to: shards with more room for it are more likely,
   by what the owners last said and what was accepted since.  */

enum
{
  FULL_SHARD_DIVISOR
  = 200, /* a full shard counts as if 1/200 of it were free */
  /* Away from its data a task takes three times as long; a shard without an
     owner starts nothing for a second or more.  */
  REMOTE_DIVISOR = 20,
  OWNERLESS_DIVISOR = 3
};

struct shard_fit
{
  int64_t capacity_milli;
  bool has_rack;
  bool has_label;
};

static const char *
first_rack (const struct rr_graph *g)
{
  for (size_t i = 0; i < g->step_count; i++)
    if (g->steps[i].rack[0] != '\0')
      return g->steps[i].rack;
  return "";
}

/* Returns the labels that G's first 64 steps need and W lacks, as bits by
   step.  */
static uint64_t
labels_missing (const struct platform_worker *w, const struct rr_graph *g)
{
  uint64_t missing = 0;
  for (size_t i = 0; i < g->step_count && i < 64; i++)
    if (g->steps[i].required_label[0] != '\0'
        && !rr_worker_has_label (&w->info, g->steps[i].required_label))
      missing |= UINT64_C (1) << i;
  return missing;
}

static struct shard_fit
fit_of (struct entry *e, const struct shard_record *s,
        const struct rr_graph *g)
{
  struct shard_fit fit = { 0 };
  const char *rack = first_rack (g);
  fit.has_rack = rack[0] == '\0';
  uint64_t missing = UINT64_MAX; /* at every worker so far */
  struct rr_handle h = { 0 };
  const struct platform_worker *w;
  while ((w = records_worker_next (e->records, &h)) != NULL)
    {
      if (w->info.draining || strcmp (w->info.service, g->service) != 0
          || strcmp (records_shard_of_worker (e->records, w), s->name) != 0)
        continue;
      fit.capacity_milli += w->info.cores_milli;
      fit.has_rack = fit.has_rack || rr_worker_has_label (&w->info, rack);
      missing &= labels_missing (w, g);
    }
  fit.has_label = missing == 0;
  return fit;
}

/* Tells whether all of G runs beside other tasks, on what they leave.  */
static bool
is_best_effort (const struct rr_graph *g)
{
  for (size_t i = 0; i < g->step_count; i++)
    if (!g->steps[i].filler)
      return false;
  return true;
}

static int64_t
first_step_demand (const struct rr_graph *g)
{
  int64_t tasks
      = g->divided ? (int64_t)g->share_count : g->steps[0].task_count;
  return tasks * g->steps[0].cores_milli;
}

/* Counts the new job G towards the load of its shard S until the owner tells
   the next one.  */
void
shard_selection_add_demand (struct shard_record *s, const struct rr_graph *g)
{
  s->demand_milli += first_step_demand (g);
  if (!is_best_effort (g))
    s->firm_milli += first_step_demand (g);
}

/* Returns what of S competes with G for cores.  */
static int64_t
competing_milli (const struct shard_record *s, const struct rr_graph *g)
{
  return is_best_effort (g) ? s->demand_milli : s->firm_milli;
}

/* Returns the weight of shard S in the choice for G: the cores that nothing
   competes for, 0 where G can't run.  */
static int64_t
weight_of (struct entry *e, const struct shard_record *s,
           const struct rr_graph *g)
{
  struct shard_fit fit = fit_of (e, s, g);
  if (fit.capacity_milli == 0 || !fit.has_label)
    return 0;
  int64_t capacity = fit.capacity_milli - competing_milli (s, g);
  int64_t least = fit.capacity_milli / FULL_SHARD_DIVISOR;
  if (capacity < least)
    capacity = least;
  if (!fit.has_rack)
    capacity /= REMOTE_DIVISOR;
  if (s->owner_revision == 0)
    capacity /= OWNERLESS_DIVISOR;
  return capacity > 0 ? capacity : 1;
}

/* Draws a shard by weight.  Taking the emptiest one would send the jobs of all
   daemons to the same shard until its owner has told its load.  */
struct shard_record *
shard_selection_for_job (struct entry *e, const struct rr_graph *g)
{
  size_t n = records_shard_count (e->records);
  int64_t weights[SHARDS_MAX];
  int64_t sum = 0;
  for (size_t i = 0; i < n; i++)
    {
      weights[i] = weight_of (e, records_shard_at (e->records, i), g);
      sum += weights[i];
    }
  if (n == 0)
    return NULL;
  if (sum == 0)
    return records_shard_at (e->records, (size_t)rand () % n);
  int64_t drawn = (int64_t)((double)sum * rand () / ((double)RAND_MAX + 1));
  size_t i = 0;
  while (i + 1 < n && drawn >= weights[i])
    drawn -= weights[i++];
  return records_shard_at (e->records, i);
}

static int64_t
free_milli (const struct shard_record *s, const struct rr_graph *g)
{
  return s->capacity_milli - competing_milli (s, g);
}

/* Tells whether work of G that waits in FROM may go to S.  It leaves the shard
   of its data only when that has no workers.  */
static bool
can_transfer (struct entry *e, const struct shard_record *from,
              const struct shard_record *s, const struct rr_graph *g)
{
  if (s == from || s->owner_revision == 0)
    return false;
  struct shard_fit fit = fit_of (e, s, g);
  return fit.capacity_milli > 0 && fit.has_label
         && (fit.has_rack || from->capacity_milli == 0);
}

/* Returns the shard with the most room for G, which waits in FROM; null when
   none has clearly more than FROM, and enough for G's first step.  */
struct shard_record *
shard_selection_for_transfer (struct entry *e, const struct shard_record *from,
                              const struct rr_graph *g)
{
  struct shard_record *best = NULL;
  int64_t least = free_milli (from, g) + first_step_demand (g);
  if (least < first_step_demand (g))
    least = first_step_demand (g);
  for (size_t i = 0; i < records_shard_count (e->records); i++)
    {
      struct shard_record *s = records_shard_at (e->records, i);
      if (free_milli (s, g) < least || !can_transfer (e, from, s, g))
        continue;
      best = s;
      least = free_milli (s, g) + 1;
    }
  return best;
}

/* Returns the shard with the most room for tasks of the lasting job G, of
   which some wait in FROM, and the number of tasks that may go there in ROOM;
   null when none has room for one.  */
struct shard_record *
shard_selection_for_task_transfer (struct entry *e,
                                   const struct shard_record *from,
                                   const struct rr_graph *g, size_t *tasks_max)
{
  int64_t cores = g->steps[0].cores_milli > 0 ? g->steps[0].cores_milli : 1;
  struct shard_record *best = NULL;
  for (size_t i = 0; i < records_shard_count (e->records); i++)
    {
      struct shard_record *s = records_shard_at (e->records, i);
      if (s->largest_milli >= cores && free_milli (s, g) >= 2 * cores
          && (best == NULL || free_milli (s, g) > free_milli (best, g))
          && can_transfer (e, from, s, g))
        best = s;
    }
  /* Half of the room, since loads are known late and others give too.  */
  *tasks_max = best == NULL ? 0 : (size_t)(free_milli (best, g) / (2 * cores));
  return best;
}
