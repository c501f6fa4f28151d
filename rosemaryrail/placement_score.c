#include <math.h>
#include <string.h>

#include "placement_state.h"

/* A task that uses up less than this share of the allowed slowdown never
   counts as too noisy.  */
#define NEGLIGIBLE_SHARE 0.05

/* Returns the expected log slowdown of one instance of service class S on
   SLOT, from the batch work there.  */
static double
pressure_on (const struct rr_placement *p,
             const struct rr_placement_entry *slot, int s)
{
  double sum = 0;
  for (uint32_t m = slot->batch_mask; m != 0; m &= m - 1)
    {
      int b = __builtin_ctz (m);
      sum += rr_interference_upper_bound (p->model, s, b)
             * (double)slot->batch_cores_milli[b];
    }
  return sum / (double)slot->worker.total.cores_milli;
}

/* Returns the expected log slowdown that TASK causes on WORKER, or suffers
   there, with caution: for a batch task summed over the service tasks there,
   for a service task its own.  */
double
rr_placement_slowdown (const struct rr_placement *p, int worker,
                       const struct rr_placement_task *task)
{
  const struct rr_placement_entry *slot = &p->slots[worker];
  if (task->kind == RR_WORKLOAD_SERVICE)
    return pressure_on (p, slot, task->class_number);
  double sum = 0;
  for (uint32_t m = slot->service_mask; m != 0; m &= m - 1)
    {
      int s = __builtin_ctz (m);
      sum += slot->service_count[s]
             * rr_interference_upper_bound (p->model, s, task->class_number);
    }
  return sum * (double)task->size.cores_milli
         / (double)slot->worker.total.cores_milli;
}

/* Penalty of a service slowdown of X: nothing up to the tolerance, then more
   than linear, because the tail suffers from a few badly loaded workers more
   than from many lightly loaded ones.  */
static double
penalty (const struct rr_placement *p, double x)
{
  double over = x - p->policy->interference_tolerance;
  return over > 0 ? over + 4 * over * over : 0;
}

/* Returns the effect of class B on service class S: with caution, or as
   expected when EXPLORING.  */
static double
effect_of (const struct rr_placement *p, int s, int b, bool exploring)
{
  return exploring ? fmax (0, rr_interference_mean (p->model, s, b))
                   : rr_interference_upper_bound (p->model, s, b);
}

/* Returns the growth of the penalty when TASK joins SLOT.  With EXPLORING,
   the batch task's own effect is taken at its expected value.  */
static double
interference_score (const struct rr_placement *p,
                    const struct rr_placement_entry *slot,
                    const struct rr_placement_task *task, bool exploring)
{
  if (task->kind == RR_WORKLOAD_SERVICE)
    return penalty (p, pressure_on (p, slot, task->class_number));
  double share = (double)task->size.cores_milli
                 / (double)slot->worker.total.cores_milli;
  double sum = 0;
  for (uint32_t m = slot->service_mask; m != 0; m &= m - 1)
    {
      int s = __builtin_ctz (m);
      double before = pressure_on (p, slot, s);
      double effect = effect_of (p, s, task->class_number, exploring);
      sum += slot->service_count[s]
             * (penalty (p, before + effect * share) - penalty (p, before));
    }
  return sum;
}

/* Tells whether TASK may be tried on SLOT although its effect there is
   uncertain: only when nothing else of uncertain effect runs there, so that
   one report can tell whose effect it shows, and no instance already runs.  */
static bool
may_explore (const struct rr_placement *p,
             const struct rr_placement_entry *slot,
             const struct rr_placement_task *task)
{
  if (task->kind != RR_WORKLOAD_BATCH
      || slot->batch_count[task->class_number] > 0)
    return false;
  bool uncertain = false;
  for (uint32_t m = slot->service_mask; m != 0; m &= m - 1)
    {
      int s = __builtin_ctz (m);
      uncertain |= rr_interference_uncertain (p->model, s, task->class_number);
      for (uint32_t n = slot->batch_mask; n != 0; n &= n - 1)
        if (rr_interference_uncertain (p->model, s, __builtin_ctz (n)))
          return false;
    }
  return uncertain;
}

/* Tells whether REQUEST would push a service on WORKER over the limit of the
   expected slowdown.  The limit grows while the task waits, so that a noisy
   task that finds no quiet place runs in the end.  A task with next to no
   effect passes even where the limit is exceeded already.  */
bool
rr_placement_over_slowdown_limit (const struct rr_placement *p, int worker,
                                  const struct rr_placement_request *request,
                                  bool exploring)
{
  const struct rr_policy *policy = p->policy;
  const struct rr_placement_entry *slot = &p->slots[worker];
  const struct rr_placement_task *task = &request->task;
  if (request->urgent || task->kind != RR_WORKLOAD_BATCH)
    return false;
  double limit = policy->placement_slowdown_max
                 * (1
                    + (double)request->waited_ms
                          / (double)policy->placement_patience_ms);
  double share = (double)task->size.cores_milli
                 / (double)slot->worker.total.cores_milli;
  for (uint32_t m = slot->service_mask; m != 0; m &= m - 1)
    {
      int s = __builtin_ctz (m);
      double effect = share * effect_of (p, s, task->class_number, exploring);
      if (effect > NEGLIGIBLE_SHARE * limit
          && pressure_on (p, slot, s) + effect > limit)
        return true;
    }
  return false;
}

static double
nearby (const struct rr_placement *p, uint64_t group,
        enum rr_spread_level level, int place)
{
  const uint64_t *n
      = rr_id_map_find (&p->nearby, rr_spread_key (group, level, place));
  return n == NULL ? 0 : (double)*n;
}

/* Returns from 0 to 1 how crowded the place of SLOT is with tasks of the same
   group; the worker counts most, then the rack, then the zone.  */
static double
spread_score (const struct rr_placement *p, int worker,
              const struct rr_placement_entry *slot, uint64_t group)
{
  double w = nearby (p, group, RR_SPREAD_WORKER, worker);
  double r = nearby (p, group, RR_SPREAD_RACK, slot->worker.rack);
  double z = nearby (p, group, RR_SPREAD_ZONE, slot->worker.zone);
  return 0.5 * w / (w + 1) + 0.3 * r / (r + 4) + 0.2 * z / (z + 16);
}

/* Returns the largest share of cores or memory in use once TASK is added.  */
static double
headroom_score (const struct rr_placement *p, int worker,
                const struct rr_placement_entry *slot,
                const struct rr_placement_task *task)
{
  struct rr_size free;
  rr_placement_worker_free_size (p, worker, &free);
  double cores = 1
                 - (double)(free.cores_milli - task->size.cores_milli)
                       / (double)slot->worker.total.cores_milli;
  double memory = 1
                  - (double)(free.memory_mb - task->size.memory_mb)
                        / (double)slot->worker.total.memory_mb;
  return fmax (cores, memory);
}

/* Returns from 0 to 1 the distance of SLOT to the task's checkpoint.  */
static double
locality_score (const struct rr_placement *p, int worker,
                const struct rr_placement_entry *slot,
                const struct rr_placement_request *request)
{
  if (request->checkpoint_zone < 0
      && request->checkpoint_worker == RR_WORKER_NONE)
    return 0;
  if (worker == request->checkpoint_worker)
    return 0;
  const struct rr_placement_worker *home
      = rr_placement_worker_get (p, request->checkpoint_worker);
  if (home != NULL && home->rack == slot->worker.rack)
    return 0.3;
  return slot->worker.zone == request->checkpoint_zone ? 0.6 : 1;
}

/* Scores WORKER for REQUEST and keeps it in OUT when it is the best.  */
static void
consider (const struct rr_placement *p, int worker,
          const struct rr_placement_request *request, bool explore,
          struct rr_placement_selection *out)
{
  const struct rr_policy *policy = p->policy;
  const struct rr_placement_entry *slot = &p->slots[worker];
  bool exploring = explore && may_explore (p, slot, &request->task);
  if (rr_placement_over_slowdown_limit (p, worker, request, exploring))
    return;
  double score = policy->placement_interference_weight
                     * interference_score (p, slot, &request->task, exploring)
                 + policy->placement_spread_weight
                       * spread_score (p, worker, slot, request->task.group)
                 + policy->placement_headroom_weight
                       * headroom_score (p, worker, slot, &request->task)
                 + policy->placement_locality_weight
                       * locality_score (p, worker, slot, request);
  if (out->worker == RR_WORKER_NONE || score < out->score)
    {
      out->worker = worker;
      out->score = score;
      out->exploring = exploring;
    }
}

/* Scores placement.candidates workers that fit, drawn at random.  Returns
   false when no worker has room.  */
static bool
candidates_consider (const struct rr_placement *p,
                     const struct rr_placement_request *request, gsl_rng *rng,
                     bool explore, struct rr_placement_selection *out)
{
  struct rr_index_node need = rr_index_node_from (&request->task.size);
  int home = request->checkpoint_worker;
  if (rr_placement_worker_get (p, home) != NULL
      && rr_placement_fits (p, home, request))
    consider (p, home, request, explore, out);
  int last = RR_WORKER_NONE;
  for (int64_t i = 0; i < p->policy->placement_candidates; i++)
    {
      int w = rr_index_find (&p->index, gsl_rng_uniform_int (rng, p->count),
                             &need);
      if (w < 0)
        return false;
      if (w != last && w != home && rr_placement_fits (p, w, request))
        consider (p, w, request, explore, out);
      last = w;
    }
  return true;
}

/* Chooses a worker for REQUEST.  Hard constraints come first: only workers
   that meet all of them are scored, placement.candidates of them drawn at
   random.  Returns false, with OUT->worker RR_WORKER_NONE, when no worker
   meets them, which is exact and not sampled, or when every one scored would
   be too noisy.  Cost: logarithmic in the number of workers for each
   candidate.  */
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
  if (!candidates_consider (p, request, rng, explore, out)
      && out->worker == RR_WORKER_NONE)
    return false;
  /* The tree knows neither avoided workers nor the headroom kept for
     services; only an exact search tells whether they left nothing.  */
  if (out->worker == RR_WORKER_NONE
      && (request->avoid_count > 0
          || p->policy->placement_service_headroom > 0))
    for (size_t w = 0; w < p->count; w++)
      if (rr_placement_fits (p, (int)w, request))
        consider (p, (int)w, request, explore, out);
  if (out->worker == RR_WORKER_NONE)
    return false;
  out->slowdown = rr_placement_slowdown (p, out->worker, &request->task);
  return true;
}
