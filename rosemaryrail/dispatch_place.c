#include "dispatch_private.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Selection of workers, and start commands.  */

enum
{
  /* A best-effort task starts only where at least this percentage of its cores
     is unused: with less, best-effort tasks would only slow each other
     down.  */
  BEST_EFFORT_UNUSED_MIN_PERCENT = 60,
  /* ... and where it can run at this speed or faster.  */
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
  /* Bytes of a start command besides the spec.  */
  START_BYTES = 500,
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
  for (size_t i = 0; i < w->run_count; i++)
    {
      const struct dispatch_run *r = &w->runs[i];
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
}

/* Returns true when tasks may be started on W now.  */
bool
dispatch_worker_usable (const struct dispatch_worker *w, struct rr_time now)
{
  return w->registered && !w->info.draining && w->recorded && w->reported
         && !w->unresponsive && !w->silence_recorded
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
  bool suspected; /* not beside another task that may crash its worker */
  bool on_trial;  /* where the fewest tasks run */
};

static bool
worker_allowed (const struct dispatch_worker *w, const struct constraints *c,
                struct rr_time now)
{
  const struct rr_job_graph_step *s = c->step;
  if (!dispatch_worker_usable (w, now)
      || strcmp (w->info.service, c->service) != 0)
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
         >= s->cores_milli * BEST_EFFORT_UNUSED_MIN_PERCENT;
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
   task failed last is selected only when there is no other.  */
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
      if (rr_handle_equal (w->handle, failed_worker))
        score -= INT64_C (2) * SCORE_BASE;
      if (best == NULL || score > best_score)
        {
          best = w;
          best_score = score;
        }
    }
  return best;
}

static void
reserve_worker (struct rr_dispatch *d, struct dispatch_worker *w,
                struct dispatch_job *j, uint32_t number,
                const struct rr_run_name *name, struct rr_time now)
{
  struct dispatch_task *t = &j->tasks[number];
  const struct rr_job_graph_step *s = &j->graph->steps[name->step];
  dispatch_task_set (j, number, TASK_PLACED);
  t->current_run = name->run;
  t->worker = w->handle;
  struct dispatch_run *r = dispatch_run_add (d, w, j, name, now);
  r->queued = true;
  r->suspected = dispatch_crash_suspected (t);
  r->on_trial = dispatch_crash_on_trial (t);
  w->has_suspect = w->has_suspect || r->suspected;
  w->has_trial = w->has_trial || r->on_trial;
  w->free_memory_mb -= s->memory_mb;
  w->free_accelerators -= s->accelerators;
  if (s->best_effort)
    w->best_effort_cores_milli += s->cores_milli;
  else
    w->free_cores_milli -= s->cores_milli;
  if (s->tail_target_ms > 0)
    w->serving_cores_milli += s->cores_milli;
}

static void
unreserve (struct rr_dispatch *d, struct dispatch_job *j, uint32_t number,
           const struct rr_run_name *name)
{
  struct dispatch_worker *w = dispatch_worker_get (d, j->tasks[number].worker);
  dispatch_run_remove (d, w, dispatch_run_find (w, name));
  dispatch_task_set (j, number, TASK_WAITING);
  dispatch_worker_measure (w);
}

static void
command_start (struct rr_dispatch *d, struct dispatch_job *j, uint32_t number,
               const struct rr_run_name *name, struct rr_time now)
{
  struct dispatch_task *t = &j->tasks[number];
  struct dispatch_worker *w = dispatch_worker_get (d, t->worker);
  t->next_run = name->run + 1;
  struct dispatch_run *r = dispatch_run_find (w, name);
  rr_text_assign (&r->start_checkpoint, t->checkpoint);
  const struct dispatch_permit *permit
      = dispatch_permit_find (j, name, w, now);
  struct rr_command command
      = { .kind = RR_COMMAND_START,
          .worker = t->worker,
          .worker_id = w->info.id,
          .name = *name,
          .spec = j->graph->spec,
          .checkpoint = t->checkpoint,
          .permit_token = permit == NULL ? NULL : permit->token,
          .reason = "in-turn" };
  d->start_bytes_left
      -= START_BYTES + (int64_t)rr_text_length (j->graph->spec);
  d->o.send_command (d->o.data, &command);
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

/* Returns the worker for the task NAME, or null.  */
static struct dispatch_worker *
find_worker (struct rr_dispatch *d, struct dispatch_job *j,
             const struct rr_run_name *name, uint32_t number,
             const char *gang_rack, struct rr_time now)
{
  const struct rr_job_graph_step *s = &j->graph->steps[name->step];
  const struct rr_queue_policy *q = dispatch_queue_policy (d, j);
  struct constraints c
      = { .job = j,
          .step = s,
          .name = name,
          .service = q->service[0] != '\0' ? q->service : j->graph->service,
          .rack = gang_rack,
          .needs_permits = q->needs_permits,
          .suspected = dispatch_crash_suspected (&j->tasks[number]),
          .on_trial = dispatch_crash_on_trial (&j->tasks[number]) };
  struct rr_handle failed_worker = j->tasks[number].failed_worker;
  c.any_speed
      = s->best_effort && j->run_count == 0
        && rr_time_diff (now, j->last_run_seen) > BEST_EFFORT_WAIT_MAX_MS;
  if (gang_rack != NULL || s->rack[0] == '\0')
    return select_worker (d, &c, failed_worker, now);
  c.rack = s->rack;
  struct dispatch_worker *w = select_worker (d, &c, failed_worker, now);
  struct rr_time since = dispatch_occurrence_start (d, j, name->occurrence);
  if (rr_time_before (since, j->tasks[number].not_before))
    since = j->tasks[number].not_before;
  if (w != NULL || rr_time_diff (now, since) < rack_wait_ms (d, j, s))
    return w;
  c.rack = NULL;
  return select_worker (d, &c, failed_worker, now);
}

static bool
place_single (struct rr_dispatch *d, struct dispatch_job *j,
              struct rr_run_name *name, uint32_t number, struct rr_time now)
{
  struct dispatch_worker *w = find_worker (d, j, name, number, NULL, now);
  if (w == NULL)
    return false;
  name->run = j->tasks[number].next_run;
  reserve_worker (d, w, j, number, name, now);
  dispatch_log_decision (d, "start",
                         "job=%s task=%d.%d.%d run=%llu vm=%s free_cores=%lld "
                         "fillers=%lld report_age_ms=%lld "
                         "registration_age_ms=%lld",
                         name->job, name->occurrence, name->step, name->task,
                         (unsigned long long)name->run, w->info.id,
                         (long long)w->free_cores_milli,
                         (long long)w->best_effort_cores_milli,
                         (long long)rr_time_diff (now, w->last_report),
                         (long long)rr_time_diff (now, d->registrations_at));
  command_start (d, j, number, name, now);
  return true;
}

/* Reserves capacity for all members of a gang, in RACK unless that is null.
   Reserves nothing when one member doesn't fit.  */
static bool
reserve_gang (struct rr_dispatch *d, struct dispatch_job *j,
              struct rr_run_name *name, const char *rack, struct rr_time now)
{
  int32_t count = j->graph->steps[name->step].task_count;
  for (name->task = 0; name->task < count; name->task++)
    {
      uint32_t number;
      dispatch_task_number (j, name, &number);
      struct dispatch_worker *w = find_worker (d, j, name, number, rack, now);
      if (w != NULL)
        {
          reserve_worker (d, w, j, number, name, now);
          continue;
        }
      while (--name->task >= 0)
        {
          dispatch_task_number (j, name, &number);
          unreserve (d, j, number, name);
        }
      return false;
    }
  return true;
}

static bool
reserve_gang_in_one_rack (struct rr_dispatch *d, struct dispatch_job *j,
                          struct rr_run_name *name, struct rr_time now)
{
  struct rr_handle h = { 0 };
  struct dispatch_worker *w;
  while ((w = rr_table_next (d->workers, &h)) != NULL)
    if (w->info.rack[0] != '\0'
        && reserve_gang (d, j, name, w->info.rack, now))
      return true;
  return false;
}

/* Returns whether the checkpoint of T is to be used rather than that of
   OTHER, a member of the same gang.  */
static bool
checkpoint_is_later (const struct dispatch_task *t,
                     const struct dispatch_task *other)
{
  if (t->checkpoint_run != other->checkpoint_run)
    return t->checkpoint_run > other->checkpoint_run;
  return rr_text_compare (t->checkpoint, other->checkpoint) > 0;
}

/* Starts all members of a gang with one run number, or none of them.  A
   checkpoint of any member is valid for all, so all start from the same one,
   of the latest run that has saved one.  */
static bool
place_gang (struct rr_dispatch *d, struct dispatch_job *j,
            struct rr_run_name *name, struct rr_time now)
{
  const struct rr_job_graph_step *s = &j->graph->steps[name->step];
  name->task = 0;
  uint32_t first;
  dispatch_task_number (j, name, &first);
  const struct dispatch_task *latest = &j->tasks[first];
  for (int32_t i = 0; i < s->task_count; i++)
    {
      struct dispatch_task *t = &j->tasks[first + (uint32_t)i];
      if (t->state != TASK_WAITING || rr_time_before (now, t->not_before))
        return false;
      if (t->next_run > name->run)
        name->run = t->next_run;
      if (checkpoint_is_later (t, latest))
        latest = t;
    }
  if (!dispatch_run_number_reserved (d, latest, name->run))
    return false;
  bool placed = s->same_rack && reserve_gang_in_one_rack (d, j, name, now);
  if (!placed && !reserve_gang (d, j, name, NULL, now))
    return false;
  struct rr_text *common = rr_text_ref (latest->checkpoint);
  uint64_t common_run = latest->checkpoint_run;
  for (name->task = 0; name->task < s->task_count; name->task++)
    {
      uint32_t number = first + (uint32_t)name->task;
      rr_text_assign (&j->tasks[number].checkpoint, common);
      j->tasks[number].checkpoint_run = common_run;
      command_start (d, j, number, name, now);
    }
  rr_text_unref (common);
  dispatch_log_decision (d, "start_gang",
                         "job=%s step=%d.%d run=%llu members=%d", name->job,
                         name->occurrence, name->step,
                         (unsigned long long)name->run, s->task_count);
  return true;
}

/* Keeps other tasks off capacity for the task NAME, for this planning round,
   on the allowed worker that is expected to have enough of it first.  What is
   held for several tasks may be on one worker.  */
static void
hold_capacity (struct rr_dispatch *d, struct dispatch_job *j,
               const struct rr_run_name *name, struct rr_time now)
{
  const struct rr_queue_policy *q = dispatch_queue_policy (d, j);
  struct constraints c
      = { .job = j,
          .step = &j->graph->steps[name->step],
          .name = name,
          .service = q->service[0] != '\0' ? q->service : j->graph->service,
          .needs_permits = q->needs_permits };
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

static void
place_step (struct rr_dispatch *d, struct dispatch_job *j, int32_t occurrence,
            size_t step, struct rr_time now)
{
  const struct rr_job_graph_step *s = &j->graph->steps[step];
  struct rr_run_name name
      = { .occurrence = occurrence, .step = (int32_t)step };
  snprintf (name.job, sizeof name.job, "%s", j->graph->id);
  bool needs_permits = dispatch_queue_policy (d, j)->needs_permits;
  if (s->gang)
    {
      if (!place_gang (d, j, &name, now) && needs_permits)
        dispatch_permit_request (d, j, &name, now);
      return;
    }
  for (name.task = 0; name.task < s->task_count && d->start_bytes_left > 0;
       name.task++)
    {
      uint32_t number;
      dispatch_task_number (j, &name, &number);
      struct dispatch_task *t = &j->tasks[number];
      if (t->state != TASK_WAITING || rr_time_before (now, t->not_before)
          || dispatch_crash_given_up (t)
          || !dispatch_run_number_reserved (d, t, t->next_run))
        continue;
      if (place_single (d, j, &name, number, now))
        continue;
      if (needs_permits)
        dispatch_permit_request (d, j, &name, now);
      /* The others of the step may run beside what this one may not.  */
      if (dispatch_crash_suspected (t))
        continue;
      if (s->long_running && d->holding
          && d->free_cores_milli >= s->cores_milli * CAPACITY_HOLD_FACTOR)
        hold_capacity (d, j, &name, now);
      return;
    }
}

/* Starts the ready tasks of J for which there is a worker.  */
void
dispatch_place_job (struct rr_dispatch *d, struct dispatch_job *j,
                    struct rr_time now)
{
  if (j->run_count > 0 || j->last_run_seen.ms == 0)
    j->last_run_seen = now;
  for (int32_t k = 0; k < j->graph->occurrence_count; k++)
    {
      if (j->graph->scheduled
          && rr_time_before (now, dispatch_occurrence_start (d, j, k)))
        return;
      for (size_t s = 0; s < j->graph->step_count; s++)
        if (j->steps[(size_t)k * j->graph->step_count + s].waiting > 0
            && dispatch_step_ready (j, k, s))
          place_step (d, j, k, s, now);
    }
}
