#include "rosemaryentryd/shard_selection.h"

#include <stdlib.h>
#include <string.h>

/* Selects shards for jobs and tasks.  A new job goes to a random shard, with a
   probability that increases with its free capacity.  The capacity follows
   from the load that the owners last published and from the jobs that were
   accepted since.  */

enum
{
  /* A full shard counts as if 1/200 of it were free.  */
  FULL_SHARD_DIVISOR = 200,
  /* Far from its data a task takes three times as long.  */
  REMOTE_DIVISOR = 20,
  /* A shard without an owner starts no tasks for a second or more.  */
  OWNERLESS_DIVISOR = 3
};

/* How well the workers of a shard suit a job.  */
struct shard_fit
{
  int64_t capacity_milli;
  bool has_rack;  /* a worker is in the rack of the job's data */
  bool has_label; /* each required label is on some worker */
};

static const char *
first_rack (const struct rr_job_graph *g)
{
  for (size_t i = 0; i < g->step_count; i++)
    if (g->steps[i].rack[0] != '\0')
      return g->steps[i].rack;
  return "";
}

/* Returns the steps, among G's first 64, whose required label W lacks, as a
   bit mask.  */
static uint64_t
labels_missing (const struct platform_worker *w, const struct rr_job_graph *g)
{
  uint64_t missing = 0;
  for (size_t i = 0; i < g->step_count && i < 64; i++)
    if (g->steps[i].required_label[0] != '\0'
        && !rr_worker_has_label (&w->info, g->steps[i].required_label))
      missing |= UINT64_C (1) << i;
  return missing;
}

static struct shard_fit
shard_fit_compute (struct entry *e, const struct shard_record *s,
                   const struct rr_job_graph *g)
{
  struct shard_fit fit = { 0 };
  const char *rack = first_rack (g);
  fit.has_rack = rack[0] == '\0';
  uint64_t missing = UINT64_MAX; /* on every worker so far */
  struct rr_handle h = { 0 };
  const struct platform_worker *w;
  while ((w = records_worker_next (e->records, &h)) != NULL)
    {
      if (w->info.draining || strcmp (w->info.service, g->service) != 0
          || records_shard_of_worker (e->records, w) != s)
        continue;
      fit.capacity_milli += w->info.cores_milli;
      fit.has_rack = fit.has_rack || rr_worker_has_label (&w->info, rack);
      missing &= labels_missing (w, g);
    }
  fit.has_label = missing == 0;
  return fit;
}

/* Returns whether all steps of G are best-effort.  */
static bool
is_best_effort (const struct rr_job_graph *g)
{
  for (size_t i = 0; i < g->step_count; i++)
    if (!g->steps[i].best_effort)
      return false;
  return true;
}

/* Returns the cores that the tasks of G's first step need; only those of its
   shard if G is divided.  */
static int64_t
first_step_demand (const struct rr_job_graph *g)
{
  int64_t tasks
      = g->divided ? (int64_t)g->share_count : g->steps[0].task_count;
  return tasks * g->steps[0].cores_milli;
}

/* Adds the new job G to the load of its shard S, until the owner publishes the
   next load.  */
void
shard_selection_add_demand (struct shard_record *s,
                            const struct rr_job_graph *g)
{
  s->demand_milli += first_step_demand (g);
  if (!is_best_effort (g))
    s->non_best_effort_cores_milli += first_step_demand (g);
}

/* Returns the demand in S that competes with G: all demand if G is
   best-effort, else only the demand that is not.  */
static int64_t
competing_milli (const struct shard_record *s, const struct rr_job_graph *g)
{
  return is_best_effort (g) ? s->demand_milli : s->non_best_effort_cores_milli;
}

/* Returns the weight of shard S in the selection for G: the cores
   without competing demand; 0 where G can't run.  */
static int64_t
shard_weight (struct entry *e, const struct shard_record *s,
              const struct rr_job_graph *g)
{
  struct shard_fit fit = shard_fit_compute (e, s, g);
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

/* Selects a shard at random by weight.  The shard with the most free capacity
   would receive the jobs of all daemons until its owner publishes its new
   load.  */
struct shard_record *
shard_selection_for_job (struct entry *e, const struct rr_job_graph *g)
{
  size_t n = records_shard_count (e->records);
  int64_t weights[SHARDS_MAX];
  int64_t sum = 0;
  for (size_t i = 0; i < n; i++)
    {
      weights[i] = shard_weight (e, records_shard_at (e->records, i), g);
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

/* Returns the free capacity of S for G; negative when it is overcommitted.  */
static int64_t
free_milli (const struct shard_record *s, const struct rr_job_graph *g)
{
  return s->capacity_milli - competing_milli (s, g);
}

/* Returns whether work of G that waits in FROM can be transferred to S.  Work
   goes away from the rack of its data only when FROM has no workers.  */
static bool
can_transfer (struct entry *e, const struct shard_record *from,
              const struct shard_record *s, const struct rr_job_graph *g)
{
  if (s == from || s->owner_revision == 0)
    return false;
  struct shard_fit fit = shard_fit_compute (e, s, g);
  return fit.capacity_milli > 0 && fit.has_label
         && (fit.has_rack || from->capacity_milli == 0);
}

/* Returns the shard with the most free capacity for G, which waits in FROM.
   Its free capacity covers G's first step, and exceeds that of FROM by at
   least as much.  Null when there is no such shard.  */
struct shard_record *
shard_selection_for_transfer (struct entry *e, const struct shard_record *from,
                              const struct rr_job_graph *g)
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

/* Returns the shard with the most free capacity for tasks of the long-running
   job G, of which some wait in FROM; null when none has capacity for one. Sets
   TASKS_MAX to the number of tasks that can be transferred there.  */
struct shard_record *
shard_selection_for_task_transfer (struct entry *e,
                                   const struct shard_record *from,
                                   const struct rr_job_graph *g,
                                   size_t *tasks_max)
{
  int64_t cores = g->steps[0].cores_milli > 0 ? g->steps[0].cores_milli : 1;
  struct shard_record *best = NULL;
  for (size_t i = 0; i < records_shard_count (e->records); i++)
    {
      struct shard_record *s = records_shard_at (e->records, i);
      if (s->largest_free_cores_milli >= cores
          && free_milli (s, g) >= 2 * cores
          && (best == NULL || free_milli (s, g) > free_milli (best, g))
          && can_transfer (e, from, s, g))
        best = s;
    }
  /* Half of the free capacity, since published loads are out of date and other
     shards transfer tasks there too.  */
  *tasks_max = best == NULL ? 0 : (size_t)(free_milli (best, g) / (2 * cores));
  return best;
}
