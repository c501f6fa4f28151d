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
  free (p->entries);
  rr_index_free (&p->index);
  rr_id_map_free (&p->group_tasks);
  free (p);
}

static int64_t
max_int64 (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

/* Fills OUT with the free capacity of WORKER: its total minus the larger of
   the reserved and the observed amount of each resource, at least 0.  */
void
rr_placement_worker_free_size (const struct rr_placement *p, int worker,
                               struct rr_size *out)
{
  const struct rr_placement_entry *entry = &p->entries[worker];
  *out = entry->worker.total;
  out->cores_milli
      = max_int64 (0, out->cores_milli
                          - max_int64 (entry->reserved.cores_milli,
                                       entry->observed.cores_milli));
  out->memory_mb = max_int64 (0, out->memory_mb
                                     - max_int64 (entry->reserved.memory_mb,
                                                  entry->observed.memory_mb));
  out->accelerators
      = (int32_t)max_int64 (0, out->accelerators
                                   - max_int64 (entry->reserved.accelerators,
                                                entry->observed.accelerators));
  out->slots = (int32_t)max_int64 (
      0,
      out->slots - max_int64 (entry->reserved.slots, entry->observed.slots));
  out->connections
      = (int32_t)max_int64 (0, out->connections
                                   - max_int64 (entry->reserved.connections,
                                                entry->observed.connections));
}

/* Updates the leaf of WORKER in the search tree.  The leaf fits no request
   while the worker must not receive tasks.  */
static void
index_update (struct rr_placement *p, int worker)
{
  const struct rr_placement_entry *entry = &p->entries[worker];
  struct rr_size none = { -1, -1, -1, -1, -1 };
  if (entry->used && entry->worker.leased && !entry->worker.leaving
      && !entry->worker.quarantined)
    rr_placement_worker_free_size (p, worker, &none);
  struct rr_index_node node = rr_index_node_from (&none);
  rr_index_set (&p->index, (size_t)worker, &node);
}

/* Adds WORKER without tasks and returns its number, which stays the same until
   the worker is removed and may be reused afterwards.  */
int
rr_placement_worker_add (struct rr_placement *p,
                         const struct rr_placement_worker *worker)
{
  size_t i = 0;
  while (i < p->count && p->entries[i].used)
    i++;
  if (i == p->capacity)
    {
      p->capacity = p->capacity == 0 ? 16 : p->capacity * 2;
      p->entries = realloc (p->entries, p->capacity * sizeof *p->entries);
      if (p->entries == NULL)
        abort ();
      rr_index_reserve (&p->index, p->capacity);
    }
  if (i == p->count)
    p->count++;
  memset (&p->entries[i], 0, sizeof p->entries[i]);
  p->entries[i].used = true;
  p->entries[i].worker = *worker;
  index_update (p, (int)i);
  return (int)i;
}

/* Replaces the totals and flags of WORKER.  The id, zone and rack in STATE
   must be unchanged.  */
void
rr_placement_worker_set (struct rr_placement *p, int worker,
                         const struct rr_placement_worker *state)
{
  assert (p->entries[worker].used);
  p->entries[worker].worker = *state;
  index_update (p, worker);
}

/* Removes WORKER.  Its tasks must have been removed before, otherwise they
   still count for the spread of their groups.  */
void
rr_placement_worker_remove (struct rr_placement *p, int worker)
{
  assert (p->entries[worker].used);
  p->entries[worker].used = false;
  index_update (p, worker);
}

/* Returns the description of WORKER, or null if there is no such worker.  */
const struct rr_placement_worker *
rr_placement_worker_get (const struct rr_placement *p, int worker)
{
  if (worker < 0 || (size_t)worker >= p->count || !p->entries[worker].used)
    return NULL;
  return &p->entries[worker].worker;
}

/* Records the usage that WORKER reported.  Until the next report, the larger
   of this and the reservations counts as used.  */
void
rr_placement_worker_observe (struct rr_placement *p, int worker,
                             const struct rr_size *used)
{
  assert (p->entries[worker].used);
  p->entries[worker].observed = *used;
  index_update (p, worker);
}

/* Adds DELTA to the number of tasks of GROUP on a worker or in a rack or zone:
   LEVEL says which, LOCATION is its number.  */
static void
group_tasks_add (struct rr_placement *p, uint64_t group,
                 enum rr_spread_level level, int location, int delta)
{
  uint64_t key = rr_spread_key (group, level, location);
  uint64_t *n = rr_id_map_put (&p->group_tasks, key);
  *n += (uint64_t)(int64_t)delta;
  if (*n == 0)
    rr_id_map_remove (&p->group_tasks, key);
}

/* Adds (DELTA 1) or removes (DELTA -1) TASK on WORKER.  */
static void
task_apply_delta (struct rr_placement *p, int worker,
                  const struct rr_placement_task *task, int delta)
{
  struct rr_placement_entry *entry = &p->entries[worker];
  assert (entry->used);
  int c = task->class_number;
  assert (c >= 0 && c < RR_CLASSES_MAX);
  uint32_t bit = UINT32_C (1) << c;
  uint32_t *mask = task->kind == RR_WORKLOAD_SERVICE ? &entry->service_mask
                                                     : &entry->batch_mask;
  uint16_t *count = task->kind == RR_WORKLOAD_SERVICE
                        ? &entry->service_count[c]
                        : &entry->batch_count[c];
  *count = (uint16_t)(*count + delta);
  *mask = *count > 0 ? *mask | bit : *mask & ~bit;
  if (task->kind == RR_WORKLOAD_BATCH)
    entry->batch_cores_milli[c] += delta * task->size.cores_milli;
  if (delta > 0)
    rr_size_add (&entry->reserved, &task->size);
  else
    rr_size_subtract (&entry->reserved, &task->size);
  group_tasks_add (p, task->group, RR_SPREAD_WORKER, worker, delta);
  group_tasks_add (p, task->group, RR_SPREAD_RACK, entry->worker.rack, delta);
  group_tasks_add (p, task->group, RR_SPREAD_ZONE, entry->worker.zone, delta);
  index_update (p, worker);
}

/* Adds TASK to the tasks that run on WORKER.  */
void
rr_placement_task_add (struct rr_placement *p, int worker,
                       const struct rr_placement_task *task)
{
  task_apply_delta (p, worker, task, 1);
}

/* Removes a task that rr_placement_task_add added with an equal TASK.  */
void
rr_placement_task_remove (struct rr_placement *p, int worker,
                          const struct rr_placement_task *task)
{
  task_apply_delta (p, worker, task, -1);
}

/* Returns the first hard constraint of REQUEST that WORKER violates, or
   RR_FILTER_COUNT.  With EMPTY, the worker is checked as if it had no tasks
   and its flags allowed new ones.  */
static enum rr_placement_filter
violated_filter (const struct rr_placement *p, int worker,
                 const struct rr_placement_request *request, bool empty)
{
  const struct rr_placement_entry *entry = &p->entries[worker];
  const struct rr_size *need = &request->task.size;
  struct rr_size free = entry->worker.total;
  if (!empty)
    {
      if (!entry->worker.leased)
        return RR_FILTER_LEASE;
      if (entry->worker.leaving)
        return RR_FILTER_LEAVING;
      if (entry->worker.quarantined)
        return RR_FILTER_QUARANTINE;
      for (size_t i = 0; i < request->avoid_count; i++)
        if (request->avoid[i] == worker)
          return RR_FILTER_AVOIDED;
      rr_placement_worker_free_size (p, worker, &free);
    }
  int64_t kept = 0;
  if (request->task.kind == RR_WORKLOAD_BATCH && !request->urgent)
    kept = (int64_t)(p->policy->placement_service_headroom
                     * (double)entry->worker.total.cores_milli);
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

/* Returns whether WORKER meets every hard constraint of REQUEST.  */
bool
rr_placement_fits (const struct rr_placement *p, int worker,
                   const struct rr_placement_request *request)
{
  return p->entries[worker].used
         && violated_filter (p, worker, request, false) == RR_FILTER_COUNT;
}

/* Fills OUT with the reasons why workers can't run REQUEST: each worker is
   counted under the first constraint that it violates, interference last.
   Checks every worker, so it is meant for operators and not for every
   placement.  */
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
      if (!p->entries[i].used)
        continue;
      out->workers++;
      enum rr_placement_filter f = violated_filter (p, (int)i, request, false);
      if (f == RR_FILTER_COUNT
          && rr_placement_over_slowdown_limit (p, (int)i, request, false))
        f = RR_FILTER_INTERFERENCE;
      if (f == RR_FILTER_COUNT)
        out->fitting++;
      else
        out->rejected[f]++;
      f = violated_filter (p, (int)i, request, true);
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

/* Returns whether a batch task of SIZE is too large for every known worker,
   even an empty one.  FILTER (may be null) receives the constraint that most
   workers violate, or -1.  Returns false while no worker is known, because
   nothing can be concluded then.  */
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
