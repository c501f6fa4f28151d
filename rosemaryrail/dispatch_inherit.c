#include "dispatch_private.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* What a new owner takes over: workers that a former owner may have used, and
   tasks that may run on those that have not reported.  */

enum
{
  WORKER_LINES_MAX = 8, /* in the log, for each audit */
  WAIT_LOG_AFTER_MS = 500
};

/* Starts the period in which tasks of inherited jobs may run unreported.  It
   ends at UNTIL, when every lease of the former owner has expired, or earlier
   once each inherited worker has reported or is known to have no lease.  On
   workers that may have restarted unseen by that owner its leases end by
   LONGEST_UNTIL.  Runs of inherited tasks are numbered from FIRST_RUN on,
   since former owners may have used lower numbers.  The last owner used
   numbers from FORMER_RUN on. */
void
rr_dispatch_inherit (struct rr_dispatch *d, struct rr_time until,
                     struct rr_time longest_until, uint64_t former_run,
                     uint64_t first_run, struct rr_time now)
{
  d->former_run = former_run;
  d->first_run = first_run;
  d->inheriting = true;
  d->inherited_at = now;
  d->inherited_until = until;
  d->inherited_longest_until = longest_until;
}

/* Nothing is on record: any worker may have been used, in any life.  */
void
rr_dispatch_inherit_unknown (struct rr_dispatch *d)
{
  /* No worker of this name ever reports.  */
  const struct rr_recorded_worker any = { .id = "*", .unfenced = true };
  rr_dispatch_inherit_worker (d, &any);
  d->inherited_lives_unknown = true;
}

/* Adds WORKER to those that a former owner may have used.  */
void
rr_dispatch_inherit_worker (struct rr_dispatch *d,
                            const struct rr_recorded_worker *worker)
{
  d->inherited = realloc (d->inherited,
                          (d->inherited_count + 1) * sizeof *d->inherited);
  assert (d->inherited != NULL);
  struct dispatch_inherited *i = &d->inherited[d->inherited_count++];
  snprintf (i->id, sizeof i->id, "%s", worker->id);
  i->silence_recorded = worker->silent;
  i->started_ms = worker->started_ms;
  i->unfenced = worker->unfenced;
  i->former_expiry = worker->expiry;
  i->expiry = worker->expiry;
  if (!worker->silent && rr_time_before (i->expiry, d->inherited_until))
    i->expiry = d->inherited_until;
  if (worker->unfenced
      || rr_time_before (d->inherited_longest_until, i->expiry))
    i->expiry = d->inherited_longest_until;
}

/* The worker ID is registered in the life that began at STARTED_MS.  If that
   is later than its life on record, commands of former owners to that one may
   have reached the new life until now: a former owner that is cut off from the
   store sends some for seconds after it was replaced.  */
void
dispatch_inherited_restarted (struct rr_dispatch *d, const char *id,
                              int64_t started_ms, struct rr_time now)
{
  int64_t owned_ms = rr_time_diff (now, d->inherited_at);
  for (size_t k = 0; k < d->inherited_count; k++)
    {
      struct dispatch_inherited *i = &d->inherited[k];
      if (strcmp (i->id, id) != 0 || i->started_ms == 0
          || started_ms <= i->started_ms)
        continue;
      i->started_ms = started_ms;
      i->unfenced = true;
      i->expiry = rr_time_add (d->inherited_longest_until, owned_ms);
    }
}

/* Returns the worker ID among those that have not reported, or null.  */
const struct dispatch_inherited *
dispatch_inherited_find (const struct rr_dispatch *d, const char *id)
{
  for (size_t i = 0; i < d->inherited_count; i++)
    if (strcmp (d->inherited[i].id, id) == 0)
      return &d->inherited[i];
  return NULL;
}

/* Removes the worker ID, which has reported, from the inherited workers.  */
void
dispatch_inherited_remove (struct rr_dispatch *d, const char *id)
{
  const struct dispatch_inherited *found = dispatch_inherited_find (d, id);
  if (found != NULL)
    d->inherited[found - d->inherited] = d->inherited[--d->inherited_count];
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

/* Returns when all leases on WORKER have expired: those of former owners, and
   those that it got from this one if it has answered, but not with all of its
   ends.  */
static struct rr_time
inherited_expiry (const struct rr_dispatch *d,
                  const struct dispatch_inherited *worker)
{
  const struct dispatch_worker *w = dispatch_worker_find (d, worker->id);
  if (w == NULL || !w->has_clock)
    return worker->expiry;
  struct rr_time own = dispatch_lease_expiry (w);
  return rr_time_before (own, worker->expiry) ? worker->expiry : own;
}

/* Removes the inherited workers whose leases have expired at a time at which
   this owner certainly held the shard.  Returns their number.  */
static size_t
inherited_expire (struct rr_dispatch *d, struct rr_time confirmed)
{
  size_t expired = 0;
  for (size_t i = d->inherited_count; i-- > 0;)
    {
      const struct dispatch_inherited *worker = &d->inherited[i];
      struct rr_time expiry = inherited_expiry (d, worker);
      if (rr_time_before (confirmed, expiry))
        continue;
      dispatch_log_decision (d, "inherited_lease_expired",
                             "vm=%s recorded=%d ago_ms=%lld", worker->id,
                             worker->silence_recorded ? 1 : 0,
                             (long long)rr_time_diff (confirmed, expiry));
      struct dispatch_dropped dropped = { .started_ms = worker->started_ms,
                                          .token = d->o.fencing_token,
                                          .at = confirmed };
      snprintf (dropped.id, sizeof dropped.id, "%s", worker->id);
      dispatch_life_dropped (d, &dropped);
      d->inherited[i] = d->inherited[--d->inherited_count];
      expired++;
    }
  return expired;
}

/* Makes inherited tasks that were not reported as running startable, once each
   inherited worker has reported or its leases have expired.  */
void
dispatch_inheritance_settle (struct rr_dispatch *d, struct rr_time confirmed)
{
  if (!d->inheriting)
    return;
  d->inherited_expired += inherited_expire (d, confirmed);
  if (d->inherited_count > 0)
    return;
  size_t tasks = uncertain_count (d);
  struct rr_handle h = { 0 };
  struct dispatch_job *j;
  while ((j = rr_table_next (d->jobs, &h)) != NULL)
    uncertain_release (j);
  dispatch_log_decision (d, "inheritance_settled", "unheard=%zu tasks=%zu",
                         d->inherited_expired, tasks);
  d->inheriting = false;
}

/* Logs which workers inherited tasks wait for.  */
void
dispatch_inheritance_log (struct rr_dispatch *d, struct rr_time now)
{
  if (!d->inheriting || d->inherited_count == 0
      || rr_time_diff (now, d->inherited_at) < WAIT_LOG_AFTER_MS)
    return;
  size_t tasks = uncertain_count (d);
  for (size_t i = 0; i < d->inherited_count && i < WORKER_LINES_MAX; i++)
    dispatch_log_decision (
        d, "inheritance_waits",
        "vm=%s left_ms=%lld recorded=%d unheard=%zu tasks=%zu",
        d->inherited[i].id,
        (long long)rr_time_diff (d->inherited[i].expiry, now),
        d->inherited[i].silence_recorded ? 1 : 0, d->inherited_count, tasks);
}
