#include "rosemaryentryd/shard_selection.h"

#include <assert.h>
#include <stdlib.h>

#include "rosemaryentryd/shard_fit.h"

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

/* Returns the weight of shard S in the selection for G: the cores without
   competing demand.  */
static int64_t
shard_weight (const struct shard_record *s, const struct shard_fit *fit,
              const struct rr_job_graph *g)
{
  int64_t capacity = fit->capacity_milli - competing_milli (s, g);
  int64_t least = fit->capacity_milli / FULL_SHARD_DIVISOR;
  if (capacity < least)
    capacity = least;
  if (!fit->has_rack)
    capacity /= REMOTE_DIVISOR;
  if (s->owner_revision == 0)
    capacity /= OWNERLESS_DIVISOR;
  return capacity > 0 ? capacity : 1;
}

/* Writes to STATES what is left of the new job G.  */
static void
new_job_states (const struct rr_job_graph *g, enum rr_step_state *states)
{
  for (size_t i = 0; i < g->step_count; i++)
    states[i] = g->steps[i].after_count == 0 ? RR_STEP_READY : RR_STEP_LATER;
}

/* Fills WEIGHTS with those of the shards for the new job G, and returns their
   sum.  A shard has one only if it can run a first step of G, and no other one
   can run more steps; 0 if no shard can run a first step.  */
static int64_t
weigh_shards (struct entry *e, const struct rr_job_graph *g, int64_t *weights)
{
  enum rr_step_state *states = calloc (g->step_count + 1, sizeof *states);
  assert (states != NULL);
  new_job_states (g, states);
  struct shard_fits f;
  shard_fits_init (&f, e, g);
  size_t most = 0;
  int64_t sum = 0;
  for (size_t i = 0; i < f.shard_count; i++)
    {
      weights[i] = 0;
      size_t steps = shard_fits_count (&f, i, states, RR_STEP_LATER);
      if (shard_fits_count (&f, i, states, RR_STEP_READY) == 0 || steps < most)
        continue;
      for (size_t k = 0; k < i && steps > most; k++)
        weights[k] = 0;
      sum = steps > most ? 0 : sum;
      most = steps;
      weights[i]
          = shard_weight (records_shard_at (e->records, i), &f.shards[i], g);
      sum += weights[i];
    }
  shard_fits_clear (&f);
  free (states);
  return sum;
}

/* Selects a shard at random by weight.  The shard with the most free capacity
   would receive the jobs of all daemons until its owner publishes its new
   load.  */
struct shard_record *
shard_selection_for_job (struct entry *e, const struct rr_job_graph *g)
{
  size_t n = records_shard_count (e->records);
  if (n == 0)
    return NULL;
  int64_t weights[SHARDS_MAX] = { 0 };
  int64_t sum = weigh_shards (e, g, weights);
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

/* Returns the position of S among the shards.  */
static size_t
shard_number (struct entry *e, const struct shard_record *s)
{
  return (size_t)(s - records_shard_at (e->records, 0));
}

/* Returns the shard to which G goes from FROM, whose workers can run no step
   that is ready by STATES: the one that can run the most steps that are left,
   in the rack of the data if possible, with the most free capacity.  Sets
   VERDICT.  Null also while the shard that can run one has no owner.  */
static struct shard_record *
select_fitting (struct entry *e, const struct shard_record *from,
                const struct rr_job_graph *g, const enum rr_step_state *states,
                enum shard_verdict *verdict)
{
  struct shard_record *best = NULL;
  size_t most = 0;
  bool has_rack = false;
  struct shard_fits f;
  shard_fits_init (&f, e, g);
  *verdict = SHARDS_UNFIT;
  for (size_t i = 0; i < f.shard_count; i++)
    {
      struct shard_record *s = records_shard_at (e->records, i);
      if (shard_fits_count (&f, i, states, RR_STEP_READY) == 0)
        continue;
      *verdict = SHARD_UNFIT;
      size_t steps = shard_fits_count (&f, i, states, RR_STEP_LATER);
      bool rack = f.shards[i].has_rack;
      if (s == from || s->owner_revision == 0)
        continue;
      bool better = best == NULL || steps > most
                    || (steps == most && rack && !has_rack)
                    || (steps == most && rack == has_rack
                        && free_milli (s, g) > free_milli (best, g));
      if (!better)
        continue;
      best = s;
      most = steps;
      has_rack = rack;
    }
  shard_fits_clear (&f);
  return best;
}

/* Returns whether work of G that waits in FROM, whose workers can run a ready
   step, can be transferred to S for its free capacity: S can run each step
   that FROM can, and one at least.  Work goes away from the rack of its data
   only when FROM has no usable workers.  */
static bool
can_transfer (struct entry *e, const struct shard_fits *f,
              const struct shard_record *from, const struct shard_record *s,
              const enum rr_step_state *states)
{
  size_t i = shard_number (e, s);
  return s != from && s->owner_revision != 0
         && shard_fits_count (f, i, states, RR_STEP_LATER) > 0
         && shard_fits_includes (f, i, shard_number (e, from), states)
         && (f->shards[i].has_rack || from->capacity_milli == 0);
}

/* Returns the shard with the most free capacity for G, which waits in FROM.
   Its free capacity covers G's first step, and exceeds that of FROM by at
   least as much.  Null when there is no such shard.  */
static struct shard_record *
select_for_capacity (struct entry *e, const struct shard_record *from,
                     const struct rr_job_graph *g,
                     const enum rr_step_state *states)
{
  struct shard_record *best = NULL;
  struct shard_fits f;
  bool computed = false;
  int64_t least = free_milli (from, g) + first_step_demand (g);
  if (least < first_step_demand (g))
    least = first_step_demand (g);
  for (size_t i = 0; i < records_shard_count (e->records); i++)
    {
      struct shard_record *s = records_shard_at (e->records, i);
      if (s == from || free_milli (s, g) < least)
        continue;
      if (!computed)
        shard_fits_init (&f, e, g);
      computed = true;
      if (!can_transfer (e, &f, from, s, states))
        continue;
      best = s;
      least = free_milli (s, g) + 1;
    }
  if (computed)
    shard_fits_clear (&f);
  return best;
}

/* Adds COUNT tasks of the long-running job G to the load of S, until its owner
   publishes the next one.  Where only a worker has room left, they take it. */
void
shard_selection_add_tasks (struct shard_record *s,
                           const struct rr_job_graph *g, size_t count)
{
  int64_t cores = (int64_t)count * g->steps[0].cores_milli;
  if (free_milli (s, g) < 2 * g->steps[0].cores_milli)
    s->largest_free_cores_milli -= cores;
  s->non_best_effort_cores_milli += cores;
}

/* Returns the shard to which the job G goes, which waits in FROM, with what is
   left of its steps in STATES: one that can run it if FROM can't, or one with
   more free capacity if FOR_CAPACITY.  Null when there is none.  */
struct shard_record *
shard_selection_for_transfer (struct entry *e, const struct shard_record *from,
                              const struct rr_job_graph *g,
                              const enum rr_step_state *states,
                              bool for_capacity, enum shard_verdict *verdict)
{
  *verdict = SHARD_FITS;
  bool any_ready = false;
  for (size_t i = 0; i < g->step_count && !any_ready; i++)
    any_ready = states[i] == RR_STEP_READY;
  if (any_ready && !shard_fit_any_ready (e, from, g, states))
    return select_fitting (e, from, g, states, verdict);
  return for_capacity ? select_for_capacity (e, from, g, states) : NULL;
}

/* Returns the shard with the most free capacity for tasks of the long-running
   job G, of which some wait in FROM; null when none has a worker with room for
   one, and FROM can run them or no shard can.  What waits in a shard counts
   against its free capacity, though it may fit on none of its workers: then
   one task goes there at a time.  Sets TASKS_MAX to the number of tasks that
   can be transferred there, and CERTAIN if by its load there is room on
   workers that can run them, not only on others.  */
struct shard_record *
shard_selection_for_task_transfer (struct entry *e,
                                   const struct shard_record *from,
                                   const struct rr_job_graph *g,
                                   size_t *tasks_max, bool *certain,
                                   enum shard_verdict *verdict)
{
  static const enum rr_step_state states[] = { RR_STEP_READY };
  int64_t cores = g->steps[0].cores_milli > 0 ? g->steps[0].cores_milli : 1;
  struct shard_record *best = NULL;
  struct shard_fits f;
  shard_fits_init (&f, e, g);
  for (size_t i = 0; i < f.shard_count; i++)
    {
      struct shard_record *s = records_shard_at (e->records, i);
      if (s->largest_free_cores_milli >= cores
          && (best == NULL || free_milli (s, g) > free_milli (best, g))
          && shard_fits_step (&f, i, 0)
          && can_transfer (e, &f, from, s, states))
        best = s;
    }
  *certain
      = best != NULL
        && free_milli (best, g) - f.shards[shard_number (e, best)].unfit_milli
               >= 2 * cores;
  bool fits = shard_fits_step (&f, shard_number (e, from), 0);
  shard_fits_clear (&f);
  *verdict = SHARD_FITS;
  /* Half of the free capacity, since published loads are out of date and other
     shards transfer tasks there too.  */
  int64_t half = best == NULL ? 0 : free_milli (best, g) / (2 * cores);
  *tasks_max = best == NULL ? 0 : half < 1 ? 1 : (size_t)half;
  if (fits)
    return best;
  struct shard_record *fitting = select_fitting (e, from, g, states, verdict);
  if (best != NULL || fitting == NULL)
    return best;
  /* Where they are they will never run, so they wait there instead.  */
  *tasks_max = SIZE_MAX;
  return fitting;
}
