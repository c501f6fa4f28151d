#include "dispatch_private.h"

/* Commands that set the speeds of best-effort tasks.  */

enum
{
  SPEED_CHANGE_MIN_PERCENT = 10,
  /* A best-effort task that saves checkpoints and is held below this speed for
     this long moves to another worker.  */
  RELOCATE_BELOW_PERCENT = 30,
  RELOCATE_AFTER_MS = 1200,
  THROTTLE_RETRY_MS = 400, /* after one that was not accepted */
  /* A throttle without an answer may still be carried out, after later ones.
     The speed is therefore sent again after the first interval, and then after
     intervals that double up to the last.  */
  SPEED_REPEAT_MIN_MS = 1000,
  SPEED_REPEAT_MAX_MS = 16000,
  /* A best-effort task without progress for this long is logged.  */
  STANDSTILL_MS = 4000
};

/* Marks the speed of R as unknown when it is time to send it again.  */
static void
repeat_speed (struct dispatch_run *r, struct rr_time now)
{
  if (r->speed_repeat_ms == 0 || rr_time_before (now, r->speed_repeat_at))
    return;
  r->speed_percent = SPEED_UNKNOWN;
  r->speed_repeat_ms *= 2;
  if (r->speed_repeat_ms > SPEED_REPEAT_MAX_MS)
    r->speed_repeat_ms = 0;
}

/* Records the answer to the last throttle of R.  */
void
dispatch_throttle_answered (struct dispatch_run *r,
                            enum rr_command_outcome outcome,
                            struct rr_time now)
{
  r->throttle_in_flight = false;
  if (outcome == RR_OUTCOME_UNKNOWN)
    r->speed_repeat_ms = SPEED_REPEAT_MIN_MS;
  r->speed_repeat_at = rr_time_add (now, r->speed_repeat_ms);
  if (outcome == RR_OUTCOME_ACCEPTED)
    return;
  r->speed_percent = SPEED_UNKNOWN;
  r->throttle_at = rr_time_add (now, THROTTLE_RETRY_MS);
}

static void
command_throttle (struct rr_dispatch *d, struct dispatch_worker *w,
                  struct dispatch_run *r, struct rr_time now)
{
  if (r->throttle_in_flight || rr_time_before (now, r->throttle_at))
    return;
  repeat_speed (r, now);
  int32_t change = r->speed_target - r->speed_percent;
  bool small = change < SPEED_CHANGE_MIN_PERCENT
               && change > -SPEED_CHANGE_MIN_PERCENT;
  bool end = r->speed_target == 0 || r->speed_target == 100;
  bool known = r->speed_percent != SPEED_UNKNOWN;
  if (known && (change == 0 || (small && !end)))
    return;
  dispatch_log_decision (
      d, "throttle",
      "job=%s task=%d.%d.%d run=%llu vm=%s percent=%d before=%d limit=%d",
      r->name.job, r->name.occurrence, r->name.step, r->name.task,
      (unsigned long long)r->name.run, w->info.id, r->speed_target,
      r->speed_percent, w->best_effort_percent);
  r->throttle_in_flight = true;
  r->speed_percent = r->speed_target;
  struct rr_command command = { .kind = RR_COMMAND_THROTTLE,
                                .worker = w->handle,
                                .worker_id = w->info.id,
                                .name = r->name,
                                .percent = r->speed_percent,
                                .reason = "tail" };
  d->o.send_command (d->o.data, &command);
}

/* Logs R once when W has reported no progress of it for STANDSTILL_MS although
   it is not paused.  */
static void
log_standstill (struct rr_dispatch *d, const struct dispatch_worker *w,
                struct dispatch_run *r)
{
  int64_t still_ms = rr_time_diff (w->last_report, r->progressed);
  if (still_ms < STANDSTILL_MS)
    {
      r->standstill_logged = false;
      return;
    }
  if (r->standstill_logged)
    return;
  r->standstill_logged = true;
  dispatch_log_decision (
      d, "run_standstill",
      "job=%s task=%d.%d.%d run=%llu vm=%s still_ms=%lld percent=%d "
      "used=%lld cores=%lld speed=%d target=%d free_cores=%lld",
      r->name.job, r->name.occurrence, r->name.step, r->name.task,
      (unsigned long long)r->name.run, w->info.id, (long long)still_ms,
      r->percent, (long long)r->measurement, (long long)r->cores_milli,
      r->speed_percent, r->speed_target, (long long)w->free_cores_milli);
}

static bool
run_is_checkpointing (const struct rr_dispatch *d,
                      const struct dispatch_run *r)
{
  const struct dispatch_job *j = dispatch_job_get (d, r->job);
  return j != NULL && j->graph->steps[r->name.step].checkpointing;
}

static bool
faster_worker_exists (struct rr_dispatch *d,
                      const struct dispatch_worker *from,
                      const struct dispatch_run *r)
{
  struct rr_handle h = { 0 };
  const struct dispatch_worker *w;
  while ((w = rr_table_next (d->workers, &h)) != NULL)
    if (w != from && w->registered && !w->info.draining
        && w->free_memory_mb >= r->memory_mb
        && dispatch_interference_speed (d, w, r->image, r->cores_milli) > 80)
      return true;
  return false;
}

/* Sends throttle commands for W's best-effort tasks, and stops those that are
   held too slow while another worker could run them faster.  */
void
dispatch_throttle (struct rr_dispatch *d, struct dispatch_worker *w,
                   struct rr_time now)
{
  for (size_t i = 0; i < w->run_count; i++)
    {
      struct dispatch_run *r = &w->runs[i];
      if (!r->best_effort || r->phase != RUN_RUNNING || r->stop_wanted)
        continue;
      command_throttle (d, w, r, now);
      /* The time in which a run is paused is no standstill.  */
      if (r->speed_target == 0 || r->speed_percent <= 0)
        r->progressed = now;
      log_standstill (d, w, r);
      if (r->speed_target >= RELOCATE_BELOW_PERCENT || r->slowed_since.ms == 0)
        r->slowed_since = now;
      else if (rr_time_diff (now, r->slowed_since) > RELOCATE_AFTER_MS
               && run_is_checkpointing (d, r)
               && faster_worker_exists (d, w, r))
        dispatch_run_stop (r, "slowed");
    }
}
