#include "rosemaryentryd/choice.h"

#include <string.h>

/* Which shard a new job goes to: the one with the most room for it, by what
   the owners last said and what was accepted here since.  */

enum
{
  /* A shard without an owner starts nothing for a second or more.  */
  OWNERLESS_PENALTY = 300
};

struct shard_fit
{
  int64_t capacity_milli;
  bool has_rack;
  bool has_label;
};

static bool
has_label (const struct platform_worker *w, const char *label)
{
  for (size_t i = 0; i < w->info.label_count; i++)
    if (strcmp (w->info.labels[i], label) == 0)
      return true;
  return false;
}

static const char *
first_rack (const struct rr_graph *g)
{
  for (size_t i = 0; i < g->step_count; i++)
    if (g->steps[i].rack[0] != '\0')
      return g->steps[i].rack;
  return "";
}

static bool
has_labels (const struct platform_worker *w, const struct rr_graph *g)
{
  for (size_t i = 0; i < g->step_count; i++)
    if (g->steps[i].required_label[0] != '\0'
        && !has_label (w, g->steps[i].required_label))
      return false;
  return true;
}

static struct shard_fit
fit_of (struct entry *e, const struct shard_record *s,
        const struct rr_graph *g)
{
  struct shard_fit fit = { 0 };
  const char *rack = first_rack (g);
  fit.has_rack = rack[0] == '\0';
  struct rr_handle h = { 0 };
  const struct platform_worker *w;
  while ((w = records_worker_next (e->records, &h)) != NULL)
    {
      if (w->info.draining || strcmp (w->info.service, g->service) != 0
          || strcmp (records_shard_of_worker (e->records, w), s->name) != 0)
        continue;
      fit.capacity_milli += w->info.cores_milli;
      fit.has_rack = fit.has_rack || has_label (w, rack);
      fit.has_label = fit.has_label || has_labels (w, g);
    }
  return fit;
}

static int64_t
first_demand (const struct rr_graph *g)
{
  return g->steps[0].task_count * g->steps[0].cores_milli;
}

static int64_t
cost_of (struct entry *e, const struct shard_record *s,
         const struct rr_graph *g)
{
  struct shard_fit fit = fit_of (e, s, g);
  if (fit.capacity_milli == 0 || !fit.has_label)
    return INT64_MAX / 2;
  int64_t demand = s->demand_milli + s->added_milli + first_demand (g);
  int64_t cost = demand * 1000 / fit.capacity_milli;
  if (!fit.has_rack)
    cost += (int64_t)(e->settings.remote_factor * 1000);
  if (s->owner_revision == 0)
    cost += OWNERLESS_PENALTY;
  return cost;
}

struct shard_record *
choice_shard (struct entry *e, const struct rr_graph *g)
{
  struct shard_record *best = NULL;
  int64_t best_cost = 0;
  for (size_t i = 0; i < records_shard_count (e->records); i++)
    {
      struct shard_record *s = records_shard_at (e->records, i);
      int64_t cost = cost_of (e, s, g);
      if (best == NULL || cost < best_cost)
        {
          best = s;
          best_cost = cost;
        }
    }
  if (best != NULL)
    best->added_milli += first_demand (g);
  return best;
}
