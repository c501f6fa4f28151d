#include "dispatch_private.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>

/* Starts of tasks on the workers that are selected for them.  */

enum
{
  /* Bytes of a start command besides the spec.  */
  START_BYTES = 500
};

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
  if (permit != NULL)
    r->permit_until = rr_time_add (permit->expires, -permit->delivery_ms);
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

static bool
place_single (struct rr_dispatch *d, struct dispatch_job *j,
              struct rr_run_name *name, uint32_t number, struct rr_time now)
{
  struct dispatch_worker *w
      = dispatch_worker_select (d, j, name, number, NULL, now);
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
      struct dispatch_worker *w
          = dispatch_worker_select (d, j, name, number, rack, now);
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

static void
place_step (struct rr_dispatch *d, struct dispatch_job *j, int32_t occurrence,
            size_t step, struct rr_time now)
{
  const struct rr_job_graph_step *s = &j->graph->steps[step];
  struct rr_run_name name
      = { .occurrence = occurrence, .step = (int32_t)step };
  snprintf (name.job, sizeof name.job, "%s", j->graph->id);
  bool needs_permits = dispatch_needs_permits (d, j);
  if (s->gang)
    {
      if (!place_gang (d, j, &name, now) && needs_permits)
        dispatch_permit_want_add (d, j, &name, now);
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
        dispatch_permit_want_add (d, j, &name, now);
      /* The others of the step may run beside what this one may not.  */
      if (dispatch_crash_suspected (t))
        continue;
      if (s->long_running && d->holding
          && d->free_cores_milli >= s->cores_milli * CAPACITY_HOLD_FACTOR)
        dispatch_hold_capacity (d, j, &name, now);
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
