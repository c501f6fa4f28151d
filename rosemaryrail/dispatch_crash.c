#include "dispatch_private.h"

/* Finds tasks under which workers crash.  Such a task ends its worker soon
   after it starts, so that the worker never reports it as running for long;
   most of what else was lost with the worker had run before.  */

enum
{
  /* A run that is reported as running for this long after its start has not
     crashed its worker.  */
  SURVIVAL_MS = 500
};

/* W has reported that R is running.  */
void
dispatch_crash_run_reported (struct dispatch_run *r, struct rr_time now)
{
  if (rr_time_diff (now, r->started) >= SURVIVAL_MS)
    r->survived = true;
}

/* The runs of W are lost with it for REASON.  Logs those that may have crashed
   it.  */
void
dispatch_crash_worker_lost (struct rr_dispatch *d,
                            const struct dispatch_worker *w,
                            const char *reason, struct rr_time now)
{
  for (size_t i = 0; i < w->run_count; i++)
    {
      const struct dispatch_run *r = &w->runs[i];
      if (r->queued || r->survived)
        continue;
      dispatch_log_decision (
          d, "crash_suspected",
          "job=%s task=%d.%d.%d run=%u vm=%s reason=%s listed=%s "
          "reported=%s started_ms=%lld",
          r->name.job, r->name.occurrence, r->name.step, r->name.task,
          r->name.run, w->info.id, reason, w->registered ? "true" : "false",
          r->reported ? "true" : "false",
          (long long)rr_time_diff (now, r->started));
    }
}
