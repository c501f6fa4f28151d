#include "dispatch_private.h"

/* Tells workers that fail or stall what they start from jobs that can't be
   done, by whether tasks of several jobs meet the same end there.  */

enum
{
  FAILURES_IN_ROW_MAX = 3, /* of two jobs at least */
  FAILING_PAUSE_MS = 2500, /* until a failing worker is tried again */
  /* A task without progress for this long, and for this many times its
     estimate, stands still.  */
  STALL_MIN_MS = 1800,
  STALL_ESTIMATE_PERCENT = 60,
  STALLED_PAUSE_MS = 4000
};

/* Records how a run of JOB ended on W.  */
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
  w->avoid_until = rr_time_add (now, FAILING_PAUSE_MS);
  dispatch_log_decision (d, "vm_avoided", "vm=%s reason=failures pause_ms=%d",
                         w->info.id, FAILING_PAUSE_MS);
}

static bool
run_stalled (const struct dispatch_run *r, struct rr_time now)
{
  if (r->phase != RUN_RUNNING || r->stop_wanted || r->pace != 100)
    return false;
  int64_t still = rr_time_diff (now, r->progressed);
  if (r->best_effort || (r->long_running && r->percent >= 100))
    return false;
  return still > STALL_MIN_MS
         && still * 100 > r->estimate_ms * STALL_ESTIMATE_PERCENT;
}

/* Stops runs of W that make no progress, to start them elsewhere.  */
void
dispatch_health_check (struct rr_dispatch *d, struct dispatch_worker *w,
                       struct rr_time now)
{
  for (size_t i = 0; i < w->run_count; i++)
    {
      struct dispatch_run *r = &w->runs[i];
      if (!run_stalled (r, now))
        continue;
      dispatch_run_stop (r, "stalled");
      w->avoid_until = rr_time_add (now, STALLED_PAUSE_MS);
      dispatch_log_decision (
          d, "vm_avoided",
          "vm=%s reason=stalled job=%s task=%d.%d.%d run=%u "
          "percent=%d still_ms=%lld",
          w->info.id, r->name.job, r->name.occurrence, r->name.step,
          r->name.task, r->name.run, r->percent,
          (long long)rr_time_diff (now, r->progressed));
    }
}
