#include "dispatch_private.h"

/* Leases of the runs on workers, and when they have certainly expired.  */

/* Lower bound of a worker's clock rate relative to this daemon's.  */
#define CLOCK_RATE_MIN 0.98

enum
{
  /* Time that a worker needs to end its tasks once a lease has expired.  */
  KILL_MARGIN_MS = 100,
  /* A start that could not be sent for this long is withdrawn, so that its
     task can start on another worker.  */
  START_QUEUE_MAX_MS = 1000,
  /* Until a worker is tried again whose starts could not be sent.  */
  CONGESTED_RETRY_MS = 500
};

/* Assumes that W's tasks hold a lease of AHEAD_MS: the longest that another
   owner, or a command on the clock of a former incarnation, can have
   granted.  */
void
dispatch_lease_assume (struct dispatch_worker *w, int64_t ahead_ms)
{
  if (w->lease_clock_ms < w->clock_ms + ahead_ms)
    w->lease_clock_ms = w->clock_ms + ahead_ms;
}

/* Returns the lease end for the next command to worker H, on the worker's
   clock, or 0 when that clock is not known, the worker does not answer, it may
   carry out commands to a former life, or the membership record may say that
   it gets no lease.  The shard owner may act
   until VALID_UNTIL, so no lease ends later.  */
int64_t
rr_dispatch_worker_lease (struct rr_dispatch *d, struct rr_handle h,
                          struct rr_time valid_until, struct rr_time now)
{
  struct dispatch_worker *w = dispatch_worker_get (d, h);
  if (w == NULL || !w->has_clock || w->unresponsive || w->silence_recorded
      || !w->former_fenced)
    return 0;
  int64_t valid = rr_time_diff (valid_until, now);
  if (valid <= 0)
    return 0;
  int64_t end
      = w->clock_ms
        + (int64_t)((double)rr_time_diff (now, w->clock_sent) * CLOCK_RATE_MIN)
        + d->o.lease_ms;
  /* The clock was read between the poll and its answer, which may have come
     late, so the latest end counts from the answer.  */
  int64_t longest = d->o.lease_ms + RR_LEASE_EXCESS_MAX_MS;
  int64_t last = w->clock_ms
                 + (int64_t)((double)rr_time_diff (now, w->clock_received)
                             * CLOCK_RATE_MIN)
                 + (valid < longest ? valid : longest);
  if (last < end)
    end = last;
  if (end > w->lease_clock_ms)
    w->lease_clock_ms = end;
  return end;
}

/* Withdraws starts that have waited too long to be sent.  The worker can't
   have received them, and is not to blame.  */
static void
withdraw_queued_starts (struct rr_dispatch *d, struct dispatch_worker *w,
                        struct rr_time now)
{
  for (size_t i = w->run_count; i-- > 0;)
    {
      struct dispatch_run *r = &w->runs[i];
      if (!r->queued || rr_time_diff (now, r->started) < START_QUEUE_MAX_MS)
        continue;
      w->full_until = rr_time_add (now, CONGESTED_RETRY_MS);
      dispatch_run_requeue (d, w, r, "not-sent", now);
    }
}

/* Returns when every lease granted to W must have expired and its tasks have
   ended, even on its slowest possible clock.  */
struct rr_time
dispatch_lease_expiry (const struct dispatch_worker *w)
{
  double ahead
      = (double)(w->lease_clock_ms - w->clock_ms) / CLOCK_RATE_MIN + 1;
  return rr_time_add (w->clock_received, (int64_t)ahead + KILL_MARGIN_MS);
}

/* Returns whether a life of W that this owner has not heard may have carried
   out the start of R: the answer has an earlier time than W's clock has shown,
   or there was none, and W has not been heard since the connection was
   opened.  */
static bool
start_in_unheard_life (const struct dispatch_worker *w,
                       const struct dispatch_run *r)
{
  if (r->reported)
    return false;
  if (r->phase == RUN_UNRESOLVED)
    return r->unanswered.ms != 0
           && !rr_time_before (r->connected, w->heard_sent);
  return r->phase == RUN_RUNNING && w->has_clock
         && r->settled_clock < w->clock_ms;
}

/* Returns when the lease of R on W must have expired.  A life that W's clock
   does not belong to gives the longest lease.  */
static struct rr_time
run_expiry (const struct rr_dispatch *d, const struct dispatch_worker *w,
            const struct dispatch_run *r)
{
  struct rr_time expiry = dispatch_lease_expiry (w);
  if (!start_in_unheard_life (w, r))
    return expiry;
  struct rr_time begun = r->phase == RUN_RUNNING ? r->accepted : r->unanswered;
  struct rr_time longest = rr_time_add (
      begun,
      (int64_t)((double)d->o.lease_max_ms / CLOCK_RATE_MIN) + KILL_MARGIN_MS);
  return rr_time_before (expiry, longest) ? longest : expiry;
}

/* Returns when every lease on W must have expired, also those of starts that
   another life of W than this owner knows has carried out.  */
struct rr_time
dispatch_runs_expiry (const struct rr_dispatch *d,
                      const struct dispatch_worker *w)
{
  struct rr_time latest = dispatch_lease_expiry (w);
  for (size_t i = 0; i < w->run_count; i++)
    {
      struct rr_time expiry = run_expiry (d, w, &w->runs[i]);
      if (!w->runs[i].queued && rr_time_before (latest, expiry))
        latest = expiry;
    }
  return latest;
}

/* Returns whether the start of R was sent to W and its lease has expired at a
   time when this owner certainly held the shard.  */
static bool
run_expired (const struct rr_dispatch *d, const struct dispatch_worker *w,
             const struct dispatch_run *r, struct rr_time confirmed)
{
  return !r->queued && !rr_time_before (confirmed, run_expiry (d, w, r));
}

/* Gives up W's runs once every lease granted to it must have expired, even on
   its slowest possible clock, at a time when this owner certainly held the
   shard.  A run whose start was not sent has no lease yet: the worker's last
   lease says nothing about it.  */
void
dispatch_expire (struct rr_dispatch *d, struct dispatch_worker *w,
                 struct rr_time confirmed, struct rr_time now)
{
  withdraw_queued_starts (d, w, now);
  if (!w->has_clock && w->lease_clock_ms == 0)
    return;
  size_t expired = 0;
  for (size_t i = 0; i < w->run_count; i++)
    expired += run_expired (d, w, &w->runs[i], confirmed) ? 1 : 0;
  if (expired == 0)
    return;
  dispatch_log_decision (d, "vm_lease_expired",
                         "vm=%s runs=%zu silent_ms=%lld", w->info.id, expired,
                         (long long)rr_time_diff (now, w->clock_received));
  dispatch_crash_worker_lost (d, w, false, "lease-expired", now);
  for (size_t i = w->run_count; i-- > 0;)
    if (run_expired (d, w, &w->runs[i], confirmed))
      dispatch_run_requeue (d, w, &w->runs[i], "lease-expired", now);
}
