#include <math.h>
#include <string.h>

#include "placement_state.h"

/* Returns the expected log slowdown of one instance of service class S on
   SLOT, from the batch work there.  */
static double
pressure_on (const struct rr_placement *p,
             const struct rr_placement_slot *slot, int s)
{
  double sum = 0;
  for (uint32_t m = slot->batch_mask; m != 0; m &= m - 1)
    {
      int b = __builtin_ctz (m);
      sum += rr_interference_cost (p->model, s, b)
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
  const struct rr_placement_slot *slot = &p->slots[worker];
  if (task->kind == RR_KIND_SERVICE)
    return pressure_on (p, slot, task->class_number);
  double sum = 0;
  for (uint32_t m = slot->service_mask; m != 0; m &= m - 1)
    {
      int s = __builtin_ctz (m);
      sum += slot->service_count[s]
             * rr_interference_cost (p->model, s, task->class_number);
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

/* Returns the growth of the penalty when TASK joins SLOT.  With EXPLORING,
   the batch task's own effect is taken at its expected value.  */
static double
interference_score (const struct rr_placement *p,
                    const struct rr_placement_slot *slot,
                    const struct rr_placement_task *task, bool exploring)
{
  if (task->kind == RR_KIND_SERVICE)
    return penalty (p, pressure_on (p, slot, task->class_number));
  double share = (double)task->size.cores_milli
                 / (double)slot->worker.total.cores_milli;
  double sum = 0;
  for (uint32_t m = slot->service_mask; m != 0; m &= m - 1)
    {
      int s = __builtin_ctz (m);
      double before = pressure_on (p, slot, s);
      double effect
          = exploring ? fmax (
                0, rr_interference_mean (p->model, s, task->class_number))
                      : rr_interference_cost (p->model, s, task->class_number);
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
             const struct rr_placement_slot *slot,
             const struct rr_placement_task *task)
{
  if (task->kind != RR_KIND_BATCH || slot->batch_count[task->class_number] > 0)
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

static double
nearby (const struct rr_placement *p, uint64_t group, enum rr_nearby level,
        int place)
{
  const uint64_t *n
      = rr_id_map_find (&p->nearby, rr_nearby_key (group, level, place));
  return n == NULL ? 0 : (double)*n;
}

/* Returns from 0 to 1 how crowded the place of SLOT is with tasks of the same
   group; the worker counts most, then the rack, then the zone.  */
static double
spread_score (const struct rr_placement *p, int worker,
              const struct rr_placement_slot *slot, uint64_t group)
{
  double w = nearby (p, group, RR_NEARBY_WORKER, worker);
  double r = nearby (p, group, RR_NEARBY_RACK, slot->worker.rack);
  double z = nearby (p, group, RR_NEARBY_ZONE, slot->worker.zone);
  return 0.5 * w / (w + 1) + 0.3 * r / (r + 4) + 0.2 * z / (z + 16);
}

/* Returns the largest share of cores or memory in use once TASK is added.  */
static double
headroom_score (const struct rr_placement *p, int worker,
                const struct rr_placement_slot *slot,
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
                const struct rr_placement_slot *slot,
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
          struct rr_placement_choice *out)
{
  const struct rr_policy *policy = p->policy;
  const struct rr_placement_slot *slot = &p->slots[worker];
  bool exploring = explore && may_explore (p, slot, &request->task);
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

/* Chooses a worker for REQUEST.  Hard constraints come first: only workers
   that meet all of them are scored, placement.candidates of them drawn at
   random.  Returns false, with OUT->worker RR_WORKER_NONE, when no worker
   meets them; that answer is exact, not sampled.  Cost: logarithmic in the
   number of workers for each candidate.  */
bool
rr_placement_choose (const struct rr_placement *p,
                     const struct rr_placement_request *request, gsl_rng *rng,
                     struct rr_placement_choice *out)
{
  memset (out, 0, sizeof *out);
  out->worker = RR_WORKER_NONE;
  if (p->count == 0)
    return false;
  struct rr_index_node need = rr_index_node_from (&request->task.size);
  bool explore = gsl_rng_uniform (rng) < p->policy->interference_exploration;
  int64_t wanted = p->policy->placement_candidates;
  int home = request->checkpoint_worker;
  if (rr_placement_worker_get (p, home) != NULL
      && rr_placement_fits (p, home, request))
    consider (p, home, request, explore, out);
  int last = RR_WORKER_NONE;
  for (int64_t i = 0; i < wanted; i++)
    {
      int w = rr_index_find (&p->index, gsl_rng_uniform_int (rng, p->count),
                             &need);
      if (w < 0)
        return out->worker != RR_WORKER_NONE;
      if (w != last && w != home && rr_placement_fits (p, w, request))
        consider (p, w, request, explore, out);
      last = w;
    }
  /* The tree knows neither avoided workers nor the headroom kept for
     services; an exact search tells whether they left nothing.  */
  if (out->worker == RR_WORKER_NONE)
    for (size_t w = 0; w < p->count; w++)
      if (rr_placement_fits (p, (int)w, request))
        consider (p, (int)w, request, explore, out);
  if (out->worker == RR_WORKER_NONE)
    return false;
  out->slowdown = rr_placement_slowdown (p, out->worker, &request->task);
  return true;
}
