#include "dispatch_private.h"

/* Detects workers on which tasks fail or stall.  A worker is at fault when
   tasks of several jobs fail on it; otherwise the job may be at fault.  */

enum
{
  FAILURES_IN_ROW_MAX = 3, /* from at least two jobs */
  FAILING_AVOID_MS = 2500, /* until a failing worker is tried again */
  /* A task has stalled when it has made no progress for this long and for this
     percentage of its estimate.  */
  STALL_MIN_MS = 1800,
  STALL_ESTIMATE_PERCENT = 60,
  STALLED_AVOID_MS = 4000,
  /* Best-effort tasks may get no processor time on a worker with fewer cores
     than this that are not reserved.  */
  BEST_EFFORT_FREE_CORES_MIN_MILLI = 500
};

/* Records the end of a run of JOB on W.  */
void
dispatch_health_end (struct rr_dispatch *d, struct dispatch_worker *w,
                     struct rr_handle job, enum rr_end_kind kind,
                     struct rr_time now)
{
  if (kind == RR_END_DONE)
    w->failed_in_row = 0;
  if (kind != RR_END_FAILED)
    return;
  bool same = w->failed_in_row > 0 && rr_handle_equal (w->failed_job, job);
  if (same && w->failed_in_row >= FAILURES_IN_ROW_MAX - 1)
    return;
  w->failed_job = job;
  w->failed_in_row++;
  if (w->failed_in_row < FAILURES_IN_ROW_MAX)
    return;
  w->failed_in_row = FAILURES_IN_ROW_MAX - 1;
  w->avoid_until = rr_time_add (now, FAILING_AVOID_MS);
  dispatch_log_decision (d, "vm_avoided", "vm=%s reason=failures pause_ms=%d",
                         w->info.id, FAILING_AVOID_MS);
}

/* Returns whether W gives none of its best-effort tasks processor time
   although other tasks leave some.  */
static bool
best_effort_starved (const struct dispatch_worker *w)
{
  for (size_t i = 0; i < w->run_count; i++)
    if (w->runs[i].best_effort && w->runs[i].measurement > 0)
      return false;
  return w->free_cores_milli >= BEST_EFFORT_FREE_CORES_MIN_MILLI;
}

static bool
run_is_gang_member (const struct rr_dispatch *d, const struct dispatch_run *r)
{
  const struct dispatch_job *j = dispatch_job_get (d, r->job);
  return j != NULL && j->graph->steps[r->name.step].gang;
}

static bool
run_stalled (const struct rr_dispatch *d, const struct dispatch_worker *w,
             const struct dispatch_run *r, struct rr_time now)
{
  if (r->phase != RUN_RUNNING || r->stop_wanted
      || (r->long_running && r->percent >= 100))
    return false;
  int64_t stalled_ms = rr_time_diff (now, r->progressed);
  if (stalled_ms <= STALL_MIN_MS
      || stalled_ms * 100 <= r->estimate_ms * STALL_ESTIMATE_PERCENT)
    return false;
  /* A gang stands still while one of its members is paused.  */
  if (r->best_effort)
    return r->speed_percent > 0 && !run_is_gang_member (d, r)
           && best_effort_starved (w);
  return r->speed_percent == 100;
}

/* Stops stalled runs of W, so that their tasks start elsewhere.  */
void
dispatch_health_check (struct rr_dispatch *d, struct dispatch_worker *w,
                       struct rr_time now)
{
  for (size_t i = 0; i < w->run_count; i++)
    {
      struct dispatch_run *r = &w->runs[i];
      if (!run_stalled (d, w, r, now))
        continue;
      dispatch_run_stop (r, "stalled");
      w->avoid_until = rr_time_add (now, STALLED_AVOID_MS);
      dispatch_log_decision (
          d, "vm_avoided",
          "vm=%s reason=stalled job=%s task=%d.%d.%d run=%llu "
          "percent=%d still_ms=%lld",
          w->info.id, r->name.job, r->name.occurrence, r->name.step,
          r->name.task, (unsigned long long)r->name.run, r->percent,
          (long long)rr_time_diff (now, r->progressed));
    }
}
