#include "dispatch_private.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* What a new owner takes over: workers that a former owner may have used, and
   tasks that may run on those that have not reported.  */

enum
{
  WORKER_LINES_MAX = 8 /* in the log, for each audit */
};

/* Adds the worker ID to those that a former owner may have used.  */
void
rr_dispatch_inherit_worker (struct rr_dispatch *d, const char *id)
{
  d->inherited = realloc (d->inherited,
                          (d->inherited_count + 1) * sizeof *d->inherited);
  assert (d->inherited != NULL);
  snprintf (d->inherited[d->inherited_count++], sizeof *d->inherited, "%s",
            id);
}

/* Starts the period in which tasks of inherited jobs may run unreported.  It
   ends at UNTIL, when every lease of the former owner has expired, or earlier
   once all inherited workers have reported.  Runs of inherited tasks are
   numbered from FIRST_RUN on, since former owners may have used lower numbers.
   The last owner used numbers from FORMER_RUN on.  */
void
rr_dispatch_inherit_until (struct rr_dispatch *d, struct rr_time until,
                           uint32_t former_run, uint32_t first_run)
{
  d->former_run = former_run;
  d->first_run = first_run;
  d->inheriting = true;
  d->inherited_until = until;
}

/* Removes the worker ID, which has reported, from the inherited workers.  */
void
dispatch_inherited_remove (struct rr_dispatch *d, const char *id)
{
  for (size_t i = 0; i < d->inherited_count; i++)
    if (strcmp (d->inherited[i], id) == 0)
      {
        memmove (d->inherited[i], d->inherited[d->inherited_count - 1],
                 sizeof *d->inherited);
        d->inherited_count--;
        return;
      }
}

static size_t
uncertain_count (struct rr_dispatch *d)
{
  size_t tasks = 0;
  struct rr_handle h = { 0 };
  struct dispatch_job *j;
  while ((j = rr_table_next (d->jobs, &h)) != NULL)
    for (uint32_t i = 0; i < j->task_count; i++)
      tasks += j->tasks[i].state == TASK_UNCERTAIN ? 1 : 0;
  return tasks;
}

static void
uncertain_release (struct dispatch_job *j)
{
  for (uint32_t i = 0; i < j->task_count; i++)
    if (j->tasks[i].state == TASK_UNCERTAIN)
      dispatch_task_set (j, i, TASK_WAITING);
}

/* Makes inherited tasks that were not reported as running startable, once
   every inherited worker has reported or all leases of former owners have
   expired.  */
void
dispatch_inheritance_settle (struct rr_dispatch *d, struct rr_time confirmed)
{
  if (!d->inheriting
      || (d->inherited_count > 0
          && rr_time_before (confirmed, d->inherited_until)))
    return;
  size_t tasks = uncertain_count (d);
  struct rr_handle h = { 0 };
  struct dispatch_job *j;
  while ((j = rr_table_next (d->jobs, &h)) != NULL)
    uncertain_release (j);
  dispatch_log_decision (d, "inheritance_settled", "unheard=%zu tasks=%zu",
                         d->inherited_count, tasks);
  d->inheriting = false;
  d->inherited_count = 0;
}

/* Logs which workers inherited tasks wait for.  */
void
dispatch_inheritance_log (struct rr_dispatch *d, struct rr_time now)
{
  if (!d->inheriting || d->inherited_count == 0)
    return;
  size_t tasks = uncertain_count (d);
  for (size_t i = 0; i < d->inherited_count && i < WORKER_LINES_MAX; i++)
    dispatch_log_decision (
        d, "inheritance_waits", "vm=%s left_ms=%lld unheard=%zu tasks=%zu",
        d->inherited[i], (long long)rr_time_diff (d->inherited_until, now),
        d->inherited_count, tasks);
}

/* Logs the workers with runs that did not answer the last poll, and how long
   their leases may still hold: the next owner has to wait for these.  */
void
rr_dispatch_log_silent_workers (struct rr_dispatch *d, struct rr_time now)
{
  size_t lines = 0;
  struct rr_handle h = { 0 };
  const struct dispatch_worker *w;
  while (lines < WORKER_LINES_MAX && (w = rr_table_next (d->workers, &h)))
    {
      if (!w->unresponsive || w->run_count == 0)
        continue;
      lines++;
      dispatch_log_decision (
          d, "vm_silent", "vm=%s runs=%zu silent_ms=%lld lease_left_ms=%lld",
          w->info.id, w->run_count,
          (long long)rr_time_diff (now, w->last_report),
          (long long)rr_time_diff (dispatch_lease_expiry (w), now));
    }
  dispatch_inheritance_log (d, now);
}
