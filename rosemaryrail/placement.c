#include "rosemaryrail/placement.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "placement_state.h"

/* Returns an empty index; the caller frees it with rr_placement_free.  POLICY
   and MODEL must outlive it.  Aborts when memory is exhausted.  */
struct rr_placement *
rr_placement_new (const struct rr_policy *policy,
                  const struct rr_interference *model)
{
  struct rr_placement *p = calloc (1, sizeof *p);
  if (p == NULL)
    abort ();
  p->policy = policy;
  p->model = model;
  return p;
}

/* Frees P, which may be null.  */
void
rr_placement_free (struct rr_placement *p)
{
  if (p == NULL)
    return;
  free (p->slots);
  rr_index_free (&p->index);
  rr_id_map_free (&p->nearby);
  free (p);
}

/* Returns the larger of a reserved and an observed amount.  */
static int64_t
larger (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

/* Fills OUT with what WORKER has free, counting reservations or observed use,
   whichever is larger; never negative.  */
void
rr_placement_worker_free_size (const struct rr_placement *p, int worker,
                               struct rr_size *out)
{
  const struct rr_placement_entry *s = &p->slots[worker];
  *out = s->worker.total;
  out->cores_milli = larger (
      0, out->cores_milli
             - larger (s->reserved.cores_milli, s->observed.cores_milli));
  out->memory_mb = larger (
      0,
      out->memory_mb - larger (s->reserved.memory_mb, s->observed.memory_mb));
  out->accelerators = (int32_t)larger (
      0, out->accelerators
             - larger (s->reserved.accelerators, s->observed.accelerators));
  out->slots = (int32_t)larger (
      0, out->slots - larger (s->reserved.slots, s->observed.slots));
  out->connections = (int32_t)larger (
      0, out->connections
             - larger (s->reserved.connections, s->observed.connections));
}

/* Brings the search tree up to date with WORKER.  */
static void
reindex (struct rr_placement *p, int worker)
{
  const struct rr_placement_entry *s = &p->slots[worker];
  struct rr_size none = { -1, -1, -1, -1, -1 };
  if (s->used && s->worker.leased && !s->worker.leaving
      && !s->worker.quarantined)
    rr_placement_worker_free_size (p, worker, &none);
  struct rr_index_node node = rr_index_node_from (&none);
  rr_index_set (&p->index, (size_t)worker, &node);
}

/* Adds WORKER without tasks and returns its number, which is stable until the
   worker is removed.  */
int
rr_placement_worker_add (struct rr_placement *p,
                         const struct rr_placement_worker *worker)
{
  size_t i = 0;
  while (i < p->count && p->slots[i].used)
    i++;
  if (i == p->capacity)
    {
      p->capacity = p->capacity == 0 ? 16 : p->capacity * 2;
      p->slots = realloc (p->slots, p->capacity * sizeof *p->slots);
      if (p->slots == NULL)
        abort ();
      rr_index_reserve (&p->index, p->capacity);
    }
  if (i == p->count)
    p->count++;
  memset (&p->slots[i], 0, sizeof p->slots[i]);
  p->slots[i].used = true;
  p->slots[i].worker = *worker;
  reindex (p, (int)i);
  return (int)i;
}

/* Replaces the description of WORKER (totals and flags); id, zone and rack
   must stay the same.  */
void
rr_placement_worker_set (struct rr_placement *p, int worker,
                         const struct rr_placement_worker *state)
{
  assert (p->slots[worker].used);
  p->slots[worker].worker = *state;
  reindex (p, worker);
}

/* Removes WORKER.  Its tasks must have been removed before, otherwise they
   keep counting for the spread of their groups.  */
void
rr_placement_worker_remove (struct rr_placement *p, int worker)
{
  assert (p->slots[worker].used);
  p->slots[worker].used = false;
  reindex (p, worker);
}

/* Returns the description of WORKER, or null when there is none.  */
const struct rr_placement_worker *
rr_placement_worker_get (const struct rr_placement *p, int worker)
{
  if (worker < 0 || (size_t)worker >= p->count || !p->slots[worker].used)
    return NULL;
  return &p->slots[worker].worker;
}

/* Records what WORKER reports to be in use; until the next report, the larger
   of this and the reservations counts.  */
void
rr_placement_worker_observe (struct rr_placement *p, int worker,
                             const struct rr_size *used)
{
  assert (p->slots[worker].used);
  p->slots[worker].observed = *used;
  reindex (p, worker);
}

/* Adds DELTA to the number of tasks of GROUP in a place.  */
static void
nearby_add (struct rr_placement *p, uint64_t group, enum rr_spread_level level,
            int place, int delta)
{
  uint64_t key = rr_spread_key (group, level, place);
  uint64_t *n = rr_id_map_put (&p->nearby, key);
  *n += (uint64_t)(int64_t)delta;
  if (*n == 0)
    rr_id_map_remove (&p->nearby, key);
}

/* Adds or removes TASK on WORKER, by DELTA 1 or -1.  */
static void
task_count (struct rr_placement *p, int worker,
            const struct rr_placement_task *task, int delta)
{
  struct rr_placement_entry *s = &p->slots[worker];
  assert (s->used);
  int c = task->class_number;
  assert (c >= 0 && c < RR_CLASSES_MAX);
  uint32_t bit = UINT32_C (1) << c;
  uint32_t *mask
      = task->kind == RR_WORKLOAD_SERVICE ? &s->service_mask : &s->batch_mask;
  uint16_t *count = task->kind == RR_WORKLOAD_SERVICE ? &s->service_count[c]
                                                      : &s->batch_count[c];
  *count = (uint16_t)(*count + delta);
  *mask = *count > 0 ? *mask | bit : *mask & ~bit;
  if (task->kind == RR_WORKLOAD_BATCH)
    s->batch_cores_milli[c] += delta * task->size.cores_milli;
  if (delta > 0)
    rr_size_add (&s->reserved, &task->size);
  else
    rr_size_subtract (&s->reserved, &task->size);
  nearby_add (p, task->group, RR_SPREAD_WORKER, worker, delta);
  nearby_add (p, task->group, RR_SPREAD_RACK, s->worker.rack, delta);
  nearby_add (p, task->group, RR_SPREAD_ZONE, s->worker.zone, delta);
  reindex (p, worker);
}

/* Counts TASK as running on WORKER from now on.  */
void
rr_placement_task_add (struct rr_placement *p, int worker,
                       const struct rr_placement_task *task)
{
  task_count (p, worker, task, 1);
}

/* Undoes rr_placement_task_add with an equal TASK.  */
void
rr_placement_task_remove (struct rr_placement *p, int worker,
                          const struct rr_placement_task *task)
{
  task_count (p, worker, task, -1);
}

/* Returns the first constraint that WORKER breaks for a task of size NEED, or
   RR_FILTER_COUNT.  EMPTY judges the worker as if nothing ran on it and its
   flags were clear.  */
static enum rr_placement_filter
filter_of (const struct rr_placement *p, int worker,
           const struct rr_placement_request *request, bool empty)
{
  const struct rr_placement_entry *s = &p->slots[worker];
  const struct rr_size *need = &request->task.size;
  struct rr_size free = s->worker.total;
  if (!empty)
    {
      if (!s->worker.leased)
        return RR_FILTER_LEASE;
      if (s->worker.leaving)
        return RR_FILTER_LEAVING;
      if (s->worker.quarantined)
        return RR_FILTER_QUARANTINE;
      for (size_t i = 0; i < request->avoid_count; i++)
        if (request->avoid[i] == worker)
          return RR_FILTER_AVOIDED;
      rr_placement_worker_free_size (p, worker, &free);
    }
  int64_t kept = 0;
  if (request->task.kind == RR_WORKLOAD_BATCH && !request->urgent)
    kept = (int64_t)(p->policy->placement_service_headroom
                     * (double)s->worker.total.cores_milli);
  if (need->cores_milli > free.cores_milli - kept)
    return RR_FILTER_CORES;
  if (need->memory_mb > free.memory_mb)
    return RR_FILTER_MEMORY;
  if (need->accelerators > free.accelerators)
    return RR_FILTER_ACCELERATORS;
  if (need->slots > free.slots)
    return RR_FILTER_SLOTS;
  if (need->connections > free.connections)
    return RR_FILTER_CONNECTIONS;
  return RR_FILTER_COUNT;
}

/* Tells whether WORKER meets every hard constraint of REQUEST.  */
bool
rr_placement_fits (const struct rr_placement *p, int worker,
                   const struct rr_placement_request *request)
{
  return p->slots[worker].used
         && filter_of (p, worker, request, false) == RR_FILTER_COUNT;
}

/* Fills OUT with the reasons why workers can't take REQUEST, one count per
   worker under the first constraint it breaks; interference comes last.  Looks
   at every worker; meant for operators, not for every placement.  */
void
rr_placement_explain (const struct rr_placement *p,
                      const struct rr_placement_request *request,
                      struct rr_placement_explanation *out)
{
  memset (out, 0, sizeof *out);
  out->never_filter = -1;
  size_t possible = 0;
  size_t short_of[RR_FILTER_COUNT] = { 0 };
  for (size_t i = 0; i < p->count; i++)
    {
      if (!p->slots[i].used)
        continue;
      out->workers++;
      enum rr_placement_filter f = filter_of (p, (int)i, request, false);
      if (f == RR_FILTER_COUNT
          && rr_placement_over_slowdown_limit (p, (int)i, request, false))
        f = RR_FILTER_INTERFERENCE;
      if (f == RR_FILTER_COUNT)
        out->fitting++;
      else
        out->rejected[f]++;
      f = filter_of (p, (int)i, request, true);
      if (f == RR_FILTER_COUNT)
        possible++;
      else
        short_of[f]++;
    }
  out->never = out->workers > 0 && possible == 0;
  if (!out->never)
    return;
  out->never_filter = 0;
  for (int f = 1; f < RR_FILTER_COUNT; f++)
    if (short_of[f] > short_of[out->never_filter])
      out->never_filter = f;
}

/* Tells whether a batch task of SIZE is too large for every known worker,
   even an empty one.  FILTER (may be null) receives the constraint that rules
   out most workers, or -1.  False while no worker is known: that is no
   evidence.  */
bool
rr_placement_never_fits (const struct rr_placement *p,
                         const struct rr_size *size, int *filter)
{
  struct rr_placement_request request
      = { .task = { .kind = RR_WORKLOAD_BATCH, .size = *size },
          .checkpoint_worker = RR_WORKER_NONE,
          .checkpoint_zone = -1 };
  struct rr_placement_explanation e;
  rr_placement_explain (p, &request, &e);
  if (filter != NULL)
    *filter = e.never_filter;
  return e.never;
}

/* Returns the name of FILTER as shown by "explain".  */
const char *
rr_placement_filter_name (enum rr_placement_filter filter)
{
  static const char *const names[RR_FILTER_COUNT] = {
    "lease",  "leaving",      "quarantine", "avoided",     "cores",
    "memory", "accelerators", "slots",      "connections", "interference",
  };
  return filter < RR_FILTER_COUNT ? names[filter] : "none";
}
