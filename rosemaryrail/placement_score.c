#include <math.h>
#include <string.h>

#include "placement_state.h"

/* A task whose effect is below this share of the slowdown limit is never
   rejected for interference.  */
#define NEGLIGIBLE_SLOWDOWN_SHARE 0.05

/* Returns the upper bound of the log slowdown of one instance of service class
   S by the batch tasks on ENTRY.  */
static double
service_slowdown (const struct rr_placement *p,
                  const struct rr_placement_entry *entry, int s)
{
  double sum = 0;
  for (uint32_t m = entry->batch_mask; m != 0; m &= m - 1)
    {
      int b = __builtin_ctz (m);
      sum += rr_interference_upper_bound (p->model, s, b)
             * (double)entry->batch_cores_milli[b];
    }
  return sum / (double)entry->worker.total.cores_milli;
}

/* Returns the upper bound of the log slowdown if TASK runs on WORKER: for a
   batch task the one that it causes, summed over the service tasks there, for
   a service task its own.  */
double
rr_placement_slowdown (const struct rr_placement *p, int worker,
                       const struct rr_placement_task *task)
{
  const struct rr_placement_entry *entry = &p->entries[worker];
  if (task->kind == RR_WORKLOAD_SERVICE)
    return service_slowdown (p, entry, task->class_number);
  double sum = 0;
  for (uint32_t m = entry->service_mask; m != 0; m &= m - 1)
    {
      int s = __builtin_ctz (m);
      sum += entry->service_count[s]
             * rr_interference_upper_bound (p->model, s, task->class_number);
    }
  return sum * (double)task->size.cores_milli
         / (double)entry->worker.total.cores_milli;
}

/* Returns the penalty of a service slowdown of X: 0 up to the tolerance, then
   growing faster than X, because a few heavily loaded workers increase the
   tail latency more than many lightly loaded ones.  */
static double
slowdown_penalty (const struct rr_placement *p, double x)
{
  double over = x - p->policy->interference_tolerance;
  return over > 0 ? over + 4 * over * over : 0;
}

/* Returns the effect of class B on service class S: the expected value when
   EXPLORING, otherwise the upper bound.  */
static double
interference_effect (const struct rr_placement *p, int s, int b,
                     bool exploring)
{
  return exploring ? fmax (0, rr_interference_mean (p->model, s, b))
                   : rr_interference_upper_bound (p->model, s, b);
}

/* Returns the increase of the penalty if TASK runs on ENTRY.  With EXPLORING,
   the expected effect of a batch task is used instead of its upper bound.  */
static double
interference_score (const struct rr_placement *p,
                    const struct rr_placement_entry *entry,
                    const struct rr_placement_task *task, bool exploring)
{
  if (task->kind == RR_WORKLOAD_SERVICE)
    return slowdown_penalty (p,
                             service_slowdown (p, entry, task->class_number));
  double share = (double)task->size.cores_milli
                 / (double)entry->worker.total.cores_milli;
  double sum = 0;
  for (uint32_t m = entry->service_mask; m != 0; m &= m - 1)
    {
      int s = __builtin_ctz (m);
      double before = service_slowdown (p, entry, s);
      double effect
          = interference_effect (p, s, task->class_number, exploring);
      sum += entry->service_count[s]
             * (slowdown_penalty (p, before + effect * share)
                - slowdown_penalty (p, before));
    }
  return sum;
}

/* Returns whether TASK may run on ENTRY although its effect there is
   uncertain.  This requires that no other task of uncertain effect and no task
   of the same class runs there, so that the effect in a report can be
   attributed to TASK.  */
static bool
exploration_allowed (const struct rr_placement *p,
                     const struct rr_placement_entry *entry,
                     const struct rr_placement_task *task)
{
  if (task->kind != RR_WORKLOAD_BATCH
      || entry->batch_count[task->class_number] > 0)
    return false;
  bool uncertain = false;
  for (uint32_t m = entry->service_mask; m != 0; m &= m - 1)
    {
      int s = __builtin_ctz (m);
      uncertain |= rr_interference_uncertain (p->model, s, task->class_number);
      for (uint32_t n = entry->batch_mask; n != 0; n &= n - 1)
        if (rr_interference_uncertain (p->model, s, __builtin_ctz (n)))
          return false;
    }
  return uncertain;
}

/* Returns whether the task of REQUEST would raise the slowdown of a service on
   WORKER above the limit.  The limit grows while the task waits, so that a
   task that interferes everywhere is not kept waiting for ever.  A task with a
   negligible effect is accepted even where the limit is already exceeded.  */
bool
rr_placement_over_slowdown_limit (const struct rr_placement *p, int worker,
                                  const struct rr_placement_request *request,
                                  bool exploring)
{
  const struct rr_policy *policy = p->policy;
  const struct rr_placement_entry *entry = &p->entries[worker];
  const struct rr_placement_task *task = &request->task;
  if (request->urgent || task->kind != RR_WORKLOAD_BATCH)
    return false;
  double limit = policy->placement_slowdown_max
                 * (1
                    + (double)request->waited_ms
                          / (double)policy->placement_patience_ms);
  double share = (double)task->size.cores_milli
                 / (double)entry->worker.total.cores_milli;
  for (uint32_t m = entry->service_mask; m != 0; m &= m - 1)
    {
      int s = __builtin_ctz (m);
      double effect
          = share * interference_effect (p, s, task->class_number, exploring);
      if (effect > NEGLIGIBLE_SLOWDOWN_SHARE * limit
          && service_slowdown (p, entry, s) + effect > limit)
        return true;
    }
  return false;
}

static double
group_task_count (const struct rr_placement *p, uint64_t group,
                  enum rr_spread_level level, int location)
{
  const uint64_t *n = rr_id_map_find (&p->group_tasks,
                                      rr_spread_key (group, level, location));
  return n == NULL ? 0 : (double)*n;
}

/* Returns a value from 0 to 1 that grows with the number of tasks of GROUP on
   the worker of ENTRY (highest weight) and in its rack and zone.  */
static double
spread_score (const struct rr_placement *p, int worker,
              const struct rr_placement_entry *entry, uint64_t group)
{
  double w = group_task_count (p, group, RR_SPREAD_WORKER, worker);
  double r = group_task_count (p, group, RR_SPREAD_RACK, entry->worker.rack);
  double z = group_task_count (p, group, RR_SPREAD_ZONE, entry->worker.zone);
  return 0.5 * w / (w + 1) + 0.3 * r / (r + 4) + 0.2 * z / (z + 16);
}

/* Returns the larger of the used shares of cores and of memory after TASK was
   added.  */
static double
headroom_score (const struct rr_placement *p, int worker,
                const struct rr_placement_entry *entry,
                const struct rr_placement_task *task)
{
  struct rr_size free;
  rr_placement_worker_free_size (p, worker, &free);
  double cores = 1
                 - (double)(free.cores_milli - task->size.cores_milli)
                       / (double)entry->worker.total.cores_milli;
  double memory = 1
                  - (double)(free.memory_mb - task->size.memory_mb)
                        / (double)entry->worker.total.memory_mb;
  return fmax (cores, memory);
}

/* Returns the distance of ENTRY from the task's checkpoint: 0 on the same
   worker or without checkpoint, then by rack and zone up to 1.  */
static double
locality_score (const struct rr_placement *p, int worker,
                const struct rr_placement_entry *entry,
                const struct rr_placement_request *request)
{
  if (request->checkpoint_zone < 0
      && request->checkpoint_worker == RR_WORKER_NONE)
    return 0;
  if (worker == request->checkpoint_worker)
    return 0;
  const struct rr_placement_worker *checkpoint_worker
      = rr_placement_worker_get (p, request->checkpoint_worker);
  if (checkpoint_worker != NULL
      && checkpoint_worker->rack == entry->worker.rack)
    return 0.3;
  return entry->worker.zone == request->checkpoint_zone ? 0.6 : 1;
}

/* Computes the score of WORKER for REQUEST and stores it in OUT if it is the
   best so far.  Ignores workers over the slowdown limit.  */
static void
candidate_score (const struct rr_placement *p, int worker,
                 const struct rr_placement_request *request, bool explore,
                 struct rr_placement_selection *out)
{
  const struct rr_policy *policy = p->policy;
  const struct rr_placement_entry *entry = &p->entries[worker];
  bool exploring = explore && exploration_allowed (p, entry, &request->task);
  if (rr_placement_over_slowdown_limit (p, worker, request, exploring))
    return;
  double score = policy->placement_interference_weight
                     * interference_score (p, entry, &request->task, exploring)
                 + policy->placement_spread_weight
                       * spread_score (p, worker, entry, request->task.group)
                 + policy->placement_headroom_weight
                       * headroom_score (p, worker, entry, &request->task)
                 + policy->placement_locality_weight
                       * locality_score (p, worker, entry, request);
  if (out->worker == RR_WORKER_NONE || score < out->score)
    {
      out->worker = worker;
      out->score = score;
      out->exploring = exploring;
    }
}

/* Scores the checkpoint's worker and placement.candidates workers with enough
   free capacity, drawn at random.  Returns false when no worker has enough. */
static bool
candidates_score (const struct rr_placement *p,
                  const struct rr_placement_request *request, gsl_rng *rng,
                  bool explore, struct rr_placement_selection *out)
{
  struct rr_index_node need = rr_index_node_from (&request->task.size);
  int checkpoint_worker = request->checkpoint_worker;
  if (rr_placement_worker_get (p, checkpoint_worker) != NULL
      && rr_placement_fits (p, checkpoint_worker, request))
    candidate_score (p, checkpoint_worker, request, explore, out);
  int last = RR_WORKER_NONE;
  for (int64_t i = 0; i < p->policy->placement_candidates; i++)
    {
      int w = rr_index_find (&p->index, gsl_rng_uniform_int (rng, p->count),
                             &need);
      if (w < 0)
        return false;
      if (w != last && w != checkpoint_worker
          && rr_placement_fits (p, w, request))
        candidate_score (p, w, request, explore, out);
      last = w;
    }
  return true;
}

/* Selects a worker for REQUEST.  Only workers that meet all hard constraints
   are scored, placement.candidates of them drawn at random.  Returns false,
   with OUT->worker RR_WORKER_NONE, when no worker meets the constraints (the
   search for one is exact, not sampled) or when every scored worker would
   exceed the slowdown limit.  The cost of each candidate is logarithmic in the
   number of workers.  */
bool
rr_placement_select (const struct rr_placement *p,
                     const struct rr_placement_request *request, gsl_rng *rng,
                     struct rr_placement_selection *out)
{
  memset (out, 0, sizeof *out);
  out->worker = RR_WORKER_NONE;
  if (p->count == 0)
    return false;
  bool explore = gsl_rng_uniform (rng) < p->policy->interference_exploration;
  if (!candidates_score (p, request, rng, explore, out)
      && out->worker == RR_WORKER_NONE)
    return false;
  /* The search tree accounts neither for avoided workers nor for the headroom
     reserved for services, so the candidates may all have been rejected
     although another worker fits: check every worker.  */
  if (out->worker == RR_WORKER_NONE
      && (request->avoid_count > 0
          || p->policy->placement_service_headroom > 0))
    for (size_t w = 0; w < p->count; w++)
      if (rr_placement_fits (p, (int)w, request))
        candidate_score (p, (int)w, request, explore, out);
  if (out->worker == RR_WORKER_NONE)
    return false;
  out->slowdown = rr_placement_slowdown (p, out->worker, &request->task);
  return true;
}
