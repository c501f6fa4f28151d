#include "dispatch_private.h"

#include <string.h>

/* Selection of workers for tasks.  */

enum
{
  /* A best-effort task starts only where it can run at this speed or
     faster.  */
  BEST_EFFORT_SPEED_MIN_PERCENT = 50,
  /* Percentage of their cores that latency-critical tasks use at their
     peak.  */
  SERVING_PEAK_PERCENT = 40,
  /* Running next to a latency-critical task of the same image outweighs any
     difference in free cores.  A task of another image costs more than one
     more of the same image gains.  */
  SAME_IMAGE_SCORE = 100000,
  OTHER_IMAGE_SCORE = 150000,
  /* A best-effort task of a job without running tasks starts after this time
     even where latency-critical tasks hardly tolerate it, and is throttled as
     far as they need.  */
  BEST_EFFORT_WAIT_MAX_MS = 2500,
  /* The longest wait for a rack when callers notice: less than the 3 s after
     which a job without running tasks counts as standing still.  */
  RACK_WAIT_NOTICED_MS = 2000,
  SPEED_SCORE = 1000,     /* per percent of a best-effort task's speed */
  SCORE_BASE = 1000000000 /* keeps the other tasks' scores positive */
};

/* Computes the free capacity of W.  */
void
dispatch_worker_measure (struct dispatch_worker *w)
{
  w->free_cores_milli = w->info.cores_milli;
  w->free_memory_mb = w->info.memory_mb;
  w->free_accelerators = w->info.accelerators;
  w->best_effort_cores_milli = 0;
  w->serving_cores_milli = 0;
  w->has_suspect = false;
  w->has_trial = false;
  w->held = false;
  const struct rr_handle no_job = { 0 };
  bool unknown = false;
  for (size_t i = 0; i < w->run_count; i++)
    {
      const struct dispatch_run *r = &w->runs[i];
      unknown = unknown || rr_handle_equal (r->job, no_job);
      w->free_memory_mb -= r->memory_mb;
      w->free_accelerators -= r->accelerators;
      if (r->best_effort)
        w->best_effort_cores_milli += r->cores_milli;
      else
        w->free_cores_milli -= r->cores_milli;
      if (r->tail_target_ms > 0)
        w->serving_cores_milli += r->cores_milli;
      w->has_suspect = w->has_suspect || (r->suspected && !r->survived);
      w->has_trial = w->has_trial || (r->on_trial && !r->survived);
    }
  if (!unknown)
    return;
  /* A run of a job that this owner does not have, for example one that was
     cancelled, is being stopped and takes up an unknown part of W.  */
  w->free_cores_milli = 0;
  w->free_memory_mb = 0;
  w->free_accelerators = 0;
}

/* Returns true when tasks may be started on W now.  */
bool
dispatch_worker_usable (const struct dispatch_worker *w, struct rr_time now)
{
  return w->registered && !w->info.draining && w->recorded && w->reported
         && !w->unresponsive && !w->silence_recorded && w->former_fenced
         && (w->registered_life == 0
             || w->registered_life == w->info.started_ms)
         && rr_time_diff (now, w->last_report) <= REPORT_AGE_MAX_MS
         && !rr_time_before (now, w->full_until)
         && !rr_time_before (now, w->avoid_until);
}

static int32_t
step_run_count (const struct dispatch_worker *w, const struct dispatch_job *j,
                const struct rr_run_name *name)
{
  int32_t n = 0;
  for (size_t i = 0; i < w->run_count; i++)
    {
      const struct dispatch_run *r = &w->runs[i];
      if (rr_handle_equal (r->job, j->handle)
          && r->name.occurrence == name->occurrence
          && r->name.step == name->step)
        n++;
    }
  return n;
}

/* Constraints on the worker that is selected for one task.  */
struct constraints
{
  struct dispatch_job *job;
  const struct rr_job_graph_step *step;
  const struct rr_run_name *name;
  const char *service;
  const char *rack; /* required rack; null: any */
  bool needs_permits;
  bool any_speed; /* also where a best-effort task runs slowly */
  bool slow_too;  /* workers that were slow to report */
  bool suspected; /* not beside another task that may crash its worker */
  bool on_trial;  /* where the fewest tasks run */
};

static bool
worker_allowed (const struct dispatch_worker *w, const struct constraints *c,
                struct rr_time now)
{
  const struct rr_job_graph_step *s = c->step;
  if (!dispatch_worker_usable (w, now)
      || strcmp (w->info.service, c->service) != 0
      || (!c->slow_too && rr_time_before (now, w->slow_until)))
    return false;
  if (w->has_trial || (c->suspected && w->has_suspect))
    return false;
  if (s->required_label[0] != '\0'
      && !rr_worker_has_label (&w->info, s->required_label))
    return false;
  if (c->rack != NULL && !rr_worker_has_label (&w->info, c->rack))
    return false;
  if (c->needs_permits
      && dispatch_permit_find (c->job, c->name, w, now) == NULL)
    return false;
  return s->per_worker_max == 0
         || step_run_count (w, c->job, c->name) < s->per_worker_max;
}

/* Returns the cores that are not in use, including what latency-critical tasks
   leave of theirs.  */
static int64_t
unused_cores_milli (const struct dispatch_worker *w)
{
  return w->free_cores_milli - w->best_effort_cores_milli
         + w->serving_cores_milli * (100 - SERVING_PEAK_PERCENT) / 100;
}

static bool
worker_fits (const struct dispatch_worker *w,
             const struct rr_job_graph_step *s)
{
  if (w->free_memory_mb < s->memory_mb
      || w->free_accelerators < s->accelerators)
    return false;
  if (!s->best_effort)
    return w->free_cores_milli >= s->cores_milli;
  return unused_cores_milli (w) * 100
         >= s->cores_milli * RR_BEST_EFFORT_UNUSED_MIN_PERCENT;
}

/* Groups latency-critical tasks by image, so that a best-effort task that
   interferes with some images but not with others finds workers that suit
   it.  */
static int64_t
latency_critical_score (const struct dispatch_worker *w, int image)
{
  int64_t same = 0;
  int64_t other = 0;
  for (size_t i = 0; i < w->run_count; i++)
    if (w->runs[i].tail_target_ms > 0)
      {
        same += w->runs[i].image == image ? 1 : 0;
        other += w->runs[i].image == image ? 0 : 1;
      }
  return same * SAME_IMAGE_SCORE - other * OTHER_IMAGE_SCORE
         - w->free_cores_milli - w->best_effort_cores_milli / 2;
}

/* Prefers workers where the best-effort task can run at full speed, and among
   these the ones where other best-effort tasks could not, so that the most
   tolerant workers stay free for them.  Returns a negative score where the
   task would run too slowly.  */
static int64_t
best_effort_score (const struct rr_dispatch *d,
                   const struct dispatch_worker *w,
                   const struct rr_job_graph_step *s, int image,
                   bool any_speed)
{
  int32_t speed = dispatch_interference_speed (d, w, image, s->cores_milli);
  if (speed < BEST_EFFORT_SPEED_MIN_PERCENT)
    return any_speed ? speed : -1;
  int64_t unused = unused_cores_milli (w);
  if (unused > s->cores_milli)
    unused = s->cores_milli;
  int64_t share = s->cores_milli == 0 ? 100 : unused * 100 / s->cores_milli;
  return (int64_t)speed * share * SPEED_SCORE
         - (int64_t)dispatch_interference_tolerance (d, w, image) * SPEED_SCORE
         + unused_cores_milli (w) / 100;
}

/* Returns the score of worker W, which is allowed, for a task of the step of
   C.  */
static int64_t
worker_score (const struct rr_dispatch *d, const struct dispatch_worker *w,
              const struct constraints *c, int image)
{
  const struct rr_job_graph_step *s = c->step;
  if (c->on_trial)
    return SCORE_BASE - (int64_t)w->run_count;
  if (s->best_effort)
    return best_effort_score (d, w, s, image, c->any_speed);
  if (s->tail_target_ms > 0)
    return latency_critical_score (w, image) + SCORE_BASE;
  return unused_cores_milli (w) + SCORE_BASE;
}

/* Returns the allowed worker with the best score, or null.  The one where the
   task failed last, and slow ones, are selected only when there is no
   other.  */
static struct dispatch_worker *
select_worker (struct rr_dispatch *d, const struct constraints *c,
               struct rr_handle failed_worker, struct rr_time now)
{
  struct dispatch_run probe = { 0 };
  dispatch_interference_classify (d, &probe, c->step);
  struct dispatch_worker *best = NULL;
  int64_t best_score = 0;
  struct rr_handle h = { 0 };
  struct dispatch_worker *w;
  while ((w = rr_table_next (d->workers, &h)) != NULL)
    {
      if (!worker_allowed (w, c, now) || !worker_fits (w, c->step))
        continue;
      int64_t score = worker_score (d, w, c, probe.image);
      if (score < 0)
        continue;
      if (rr_handle_equal (w->handle, failed_worker)
          || rr_time_before (now, w->slow_until))
        score -= INT64_C (2) * SCORE_BASE;
      if (best == NULL || score > best_score)
        {
          best = w;
          best_score = score;
        }
    }
  return best;
}

/* Returns whether a task of S could run in its rack once others have ended
   there.  */
static bool
rack_has_worker (const struct rr_dispatch *d,
                 const struct rr_job_graph_step *s)
{
  struct rr_handle h = { 0 };
  const struct dispatch_worker *w;
  while ((w = rr_table_next (d->workers, &h)) != NULL)
    if (w->registered && !w->info.draining
        && w->info.cores_milli >= s->cores_milli
        && w->info.memory_mb >= s->memory_mb
        && w->info.accelerators >= s->accelerators
        && rr_worker_has_label (&w->info, s->rack))
      return true;
  return false;
}

/* Returns how long a task of J's step S waits for a worker in the rack of its
   data.  On another rack it takes longer by the remote factor, so it waits for
   half the time that it would lose there.  A long-running task loses none, and
   callers notice a job that has nothing running.  */
static int64_t
rack_wait_ms (const struct rr_dispatch *d, const struct dispatch_job *j,
              const struct rr_job_graph_step *s)
{
  if (!rack_has_worker (d, s))
    return 0;
  double lost_ms = (d->o.remote_factor - 1) * (double)s->estimate_ms;
  bool noticed = s->long_running || j->run_count == 0;
  return noticed && lost_ms / 2 > RACK_WAIT_NOTICED_MS
             ? RACK_WAIT_NOTICED_MS
             : (int64_t)(lost_ms / 2);
}

/* Returns the constraints on workers for the step of NAME, without those that
   depend on a task.  */
static struct constraints
step_constraints (const struct rr_dispatch *d, struct dispatch_job *j,
                  const struct rr_run_name *name)
{
  const struct rr_queue_policy *q = dispatch_queue_policy (d, j);
  return (struct constraints){ .job = j,
                               .step = &j->graph->steps[name->step],
                               .name = name,
                               .service = q->service[0] != '\0'
                                              ? q->service
                                              : j->graph->service };
}

/* Returns for how long the task NAME, which is NUMBER, could have started.  */
static int64_t
waited_ms (const struct rr_dispatch *d, const struct dispatch_job *j,
           const struct rr_run_name *name, uint32_t number, struct rr_time now)
{
  struct rr_time since = dispatch_occurrence_start (d, j, name->occurrence);
  if (rr_time_before (since, j->tasks[number].not_before))
    since = j->tasks[number].not_before;
  return rr_time_diff (now, since);
}

/* Returns the worker for the task NAME, which is NUMBER, or null.  GANG_RACK
   is the rack that its gang needs; null: any.  */
struct dispatch_worker *
dispatch_worker_select (struct rr_dispatch *d, struct dispatch_job *j,
                        const struct rr_run_name *name, uint32_t number,
                        const char *gang_rack, struct rr_time now)
{
  const struct rr_job_graph_step *s = &j->graph->steps[name->step];
  struct constraints c = step_constraints (d, j, name);
  c.rack = gang_rack;
  c.needs_permits = dispatch_needs_permits (d, j);
  c.suspected = dispatch_crash_suspected (&j->tasks[number]);
  c.on_trial = dispatch_crash_on_trial (&j->tasks[number]);
  struct rr_handle failed_worker = j->tasks[number].failed_worker;
  int64_t waited = waited_ms (d, j, name, number, now);
  c.slow_too = waited >= SLOW_AVOID_MS;
  c.any_speed
      = s->best_effort && j->run_count == 0
        && rr_time_diff (now, j->last_run_seen) > BEST_EFFORT_WAIT_MAX_MS;
  if (gang_rack != NULL || s->rack[0] == '\0')
    return select_worker (d, &c, failed_worker, now);
  c.rack = s->rack;
  struct dispatch_worker *w = select_worker (d, &c, failed_worker, now);
  if (w != NULL || waited < rack_wait_ms (d, j, s))
    return w;
  c.rack = NULL;
  return select_worker (d, &c, failed_worker, now);
}

/* Returns for how many tasks of J's step of NAME the worker W has capacity
   now, permit or not.  */
int32_t
dispatch_worker_room (struct rr_dispatch *d, const struct dispatch_worker *w,
                      struct dispatch_job *j, const struct rr_run_name *name,
                      struct rr_time now)
{
  const struct rr_job_graph_step *s = &j->graph->steps[name->step];
  struct rr_time since = dispatch_occurrence_start (d, j, name->occurrence);
  struct constraints c = step_constraints (d, j, name);
  c.slow_too = rr_time_diff (now, since) >= SLOW_AVOID_MS;
  if (!worker_allowed (w, &c, now) || !worker_fits (w, s))
    return 0;
  int64_t room = s->task_count;
  if (s->memory_mb > 0 && w->free_memory_mb / s->memory_mb < room)
    room = w->free_memory_mb / s->memory_mb;
  if (s->accelerators > 0 && w->free_accelerators / s->accelerators < room)
    room = w->free_accelerators / s->accelerators;
  int64_t cores
      = s->best_effort ? unused_cores_milli (w) : w->free_cores_milli;
  if (s->cores_milli > 0 && cores / s->cores_milli < room)
    room = cores / s->cores_milli;
  if (s->per_worker_max > 0
      && s->per_worker_max - step_run_count (w, j, name) < room)
    room = s->per_worker_max - step_run_count (w, j, name);
  return room < 1 ? 1 : (int32_t)room;
}

/* Keeps other tasks off capacity for the task NAME, for this planning round,
   on the allowed worker that is expected to have enough of it first.  What is
   held for several tasks may be on one worker.  */
void
dispatch_hold_capacity (struct rr_dispatch *d, struct dispatch_job *j,
                        const struct rr_run_name *name, struct rr_time now)
{
  struct constraints c = step_constraints (d, j, name);
  c.needs_permits = dispatch_needs_permits (d, j);
  c.slow_too = true;
  struct dispatch_worker *best = NULL;
  int64_t best_ms = -1;
  struct rr_handle h = { 0 };
  struct dispatch_worker *w;
  while ((w = rr_table_next (d->workers, &h)) != NULL)
    {
      if ((d->holds_left == 0 && !w->held) || !worker_allowed (w, &c, now))
        continue;
      int64_t wait_ms = dispatch_hold_wait_ms (w, c.step, now);
      if (wait_ms < 0 || (best != NULL && wait_ms >= best_ms))
        continue;
      best = w;
      best_ms = wait_ms;
    }
  if (d->log_holds)
    dispatch_hold_log (d, best, c.step, name, best_ms);
  if (best == NULL)
    return;
  d->holds_left -= best->held ? 0 : 1;
  dispatch_hold_add (best, c.step);
}
