#include "dispatch_private.h"

/* Gathering of capacity for long-running tasks.  */

/* Returns in how many ms run R is expected to end.  One that has passed its
   estimate is expected to take as long again as it is late.  */
static int64_t
run_rest_ms (const struct dispatch_run *r, struct rr_time now)
{
  int64_t rest = r->estimate_ms - rr_time_diff (now, r->started);
  return rest < 0 ? -rest : rest;
}

/* Returns in how many ms worker W is expected to have the capacity for a task
   of step S, or -1 if it never has as long as its long-running tasks stay.  W
   is measured, and less what is held on it already.  */
int64_t
dispatch_hold_wait_ms (const struct dispatch_worker *w,
                       const struct rr_job_graph_step *s, struct rr_time now)
{
  int64_t cores = w->free_cores_milli;
  int64_t memory = w->free_memory_mb;
  int64_t accelerators = w->free_accelerators;
  int64_t wait = 0;
  /* Each pass adds what the next of the short runs releases.  */
  for (int64_t passed = -1; cores < s->cores_milli || memory < s->memory_mb
                            || accelerators < s->accelerators;
       passed = wait)
    {
      bool found = false;
      for (size_t i = 0; i < w->run_count; i++)
        {
          int64_t rest = run_rest_ms (&w->runs[i], now);
          if (w->runs[i].long_running || rest <= passed)
            continue;
          wait = !found || rest < wait ? rest : wait;
          found = true;
        }
      if (!found)
        return -1;
      for (size_t i = 0; i < w->run_count; i++)
        {
          const struct dispatch_run *r = &w->runs[i];
          if (r->long_running || run_rest_ms (r, now) != wait)
            continue;
          cores += r->best_effort ? 0 : r->cores_milli;
          memory += r->memory_mb;
          accelerators += r->accelerators;
        }
    }
  return wait;
}

/* Holds the capacity for a task of step S on W, for this planning round: what
   W lacks stays free when it becomes so.  */
void
dispatch_hold_add (struct dispatch_worker *w,
                   const struct rr_job_graph_step *s)
{
  w->held = true;
  w->free_cores_milli -= s->cores_milli;
  w->free_memory_mb -= s->memory_mb;
  w->free_accelerators -= s->accelerators;
}

/* Logs on which worker capacity is held for the task NAME of step S, and what
   is free and in use there, or that there is none if W is null.  WAIT_MS is
   the time until it is expected to be enough.  */
void
dispatch_hold_log (struct rr_dispatch *d, const struct dispatch_worker *w,
                   const struct rr_job_graph_step *s,
                   const struct rr_run_name *name, int64_t wait_ms)
{
  int64_t long_milli = 0;
  int64_t short_milli = 0;
  for (size_t i = 0; w != NULL && i < w->run_count; i++)
    {
      const struct dispatch_run *r = &w->runs[i];
      if (r->best_effort)
        continue;
      if (r->long_running)
        long_milli += r->cores_milli;
      else
        short_milli += r->cores_milli;
    }
  dispatch_log_decision (
      d, "capacity_held",
      "job=%s task=%d.%d.%d cores=%lld vm=%s free_cores=%lld "
      "long_running_cores=%lld short_cores=%lld wait_ms=%lld "
      "shard_free_cores=%lld",
      name->job, name->occurrence, name->step, name->task,
      (long long)s->cores_milli, w == NULL ? "" : w->info.id,
      w == NULL ? 0LL : (long long)w->free_cores_milli, (long long)long_milli,
      (long long)short_milli, (long long)wait_ms,
      (long long)d->free_cores_milli);
}
