#include "dispatch_private.h"

/* Gives up tasks under which workers crash.  Such a task ends its worker soon
   after it starts, so that the worker never reports it as running for long;
   most of what else was lost with the worker had run before.  Tasks that are
   suspected are started on different workers, so that each crash tells more
   about them.  */

enum
{
  /* A run that is reported as running for this long after its start has not
     crashed its worker.  */
  SURVIVAL_MS = 500,
  /* From this many crashes on, a task is started where nothing else starts
     until it has survived.  */
  TRIAL_CRASHES = 2,
  /* A task is given up after this many crashes in a row.  */
  CRASHES_MAX = 3
};

/* Returns whether workers have crashed under T in its last runs.  */
bool
dispatch_crash_suspected (const struct dispatch_task *t)
{
  return t->crashes > 0;
}

/* Returns whether the next run of T shows if T crashes its worker.  */
bool
dispatch_crash_on_trial (const struct dispatch_task *t)
{
  return t->crashes >= TRIAL_CRASHES;
}

/* Returns whether T is not started any more.  */
bool
dispatch_crash_given_up (const struct dispatch_task *t)
{
  return t->crashes >= CRASHES_MAX;
}

/* T has run without a crash of its worker.  */
void
dispatch_crash_clear (struct dispatch_job *j, struct dispatch_task *t)
{
  if (t->crashes == 0)
    return;
  t->crashes = 0;
  j->version++;
}

/* The worker of R has reported that it is running.  */
void
dispatch_crash_run_reported (struct rr_dispatch *d,
                             const struct dispatch_worker *w,
                             struct dispatch_run *r, struct rr_time now)
{
  if (r->survived || rr_time_diff (now, r->started) < SURVIVAL_MS)
    return;
  r->survived = true;
  struct dispatch_job *j = dispatch_job_get (d, r->job);
  if (j != NULL
      && dispatch_task_placed_as (&j->tasks[r->number], r->name.run,
                                  w->handle))
    dispatch_crash_clear (j, &j->tasks[r->number]);
}

/* Counts a crash under the task of R, and gives the task up after the last
   one.  The other tasks of a divided job go on, since other shards run them
   too.  */
static void
crash_count (struct rr_dispatch *d, struct dispatch_run *r,
             const struct dispatch_worker *w, const char *reason)
{
  struct dispatch_job *j = dispatch_job_get (d, r->job);
  if (j == NULL
      || !dispatch_task_placed_as (&j->tasks[r->number], r->name.run,
                                   w->handle))
    return;
  struct dispatch_task *t = &j->tasks[r->number];
  r->crash_counted = true;
  t->crashes++;
  t->failed_worker = w->handle;
  j->version++;
  dispatch_log_decision (
      d, "crash_suspected",
      "job=%s task=%d.%d.%d run=%llu vm=%s reason=%s crashes=%u max=%d",
      r->name.job, r->name.occurrence, r->name.step, r->name.task,
      (unsigned long long)r->name.run, w->info.id, reason, t->crashes,
      CRASHES_MAX);
  if (!dispatch_crash_given_up (t))
    return;
  dispatch_log_decision (d, j->graph->divided ? "task_given_up" : "job_failed",
                         "job=%s task=%d.%d.%d crashes=%u max=%d", r->name.job,
                         r->name.occurrence, r->name.step, r->name.task,
                         t->crashes, CRASHES_MAX);
  if (!j->graph->divided)
    dispatch_job_fail (d, j);
}

/* The runs of W are lost with it for REASON.  Counts a crash for those that
   may have caused it: it is known that they have started.  A worker that is
   still registered when its leases have expired is only out of reach.  */
void
dispatch_crash_worker_lost (struct rr_dispatch *d, struct dispatch_worker *w,
                            bool restarted, const char *reason)
{
  if (w->registered && !restarted)
    return;
  for (size_t i = 0; i < w->run_count; i++)
    {
      struct dispatch_run *r = &w->runs[i];
      if (r->phase == RUN_RUNNING && !r->survived && !r->crash_counted)
        crash_count (d, r, w, reason);
    }
}
