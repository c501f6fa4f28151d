#include "dispatch_private.h"

#include <stdio.h>
#include <string.h>

/* The membership record, which tells the next owner which workers may run
   tasks of the shard and until when at most.  */

enum
{
  /* A worker without runs leaves the record this long after its last
     report.  */
  UNRESPONSIVE_MS = 2500,
  /* The silence of a worker with runs is recorded after this long.  It gets no
     lease before a second write withdraws that, so shorter ones are not.  */
  SILENCE_RECORD_MS = 1500
};

static bool
worker_needed (const struct dispatch_worker *w, struct rr_time now)
{
  bool fresh
      = w->reported && rr_time_diff (now, w->last_report) <= UNRESPONSIVE_MS;
  return w->run_count > 0 || w->end_count > 0 || (w->registered && fresh);
}

static bool
silence_to_record (const struct rr_dispatch *d, struct rr_time since,
                   struct rr_time now)
{
  return d->releasing || rr_time_diff (now, since) >= SILENCE_RECORD_MS;
}

static void
record_worker (const struct rr_dispatch *d, struct dispatch_worker *w,
               struct rr_recorded_worker *out, struct rr_time now)
{
  snprintf (out->id, sizeof out->id, "%s", w->info.id);
  out->started_ms = w->info.started_ms;
  out->unfenced = !w->former_fenced;
  out->silent = w->reported && w->unresponsive
                && silence_to_record (d, w->last_report, now);
  if (out->silent)
    out->expiry = dispatch_runs_expiry (d, w);
  else
    out->expiry = rr_time_before (now, w->former_expiry) ? w->former_expiry
                                                         : rr_time_from_ms (0);
  w->silence_recorded = w->silence_recorded || out->silent;
}

/* Records the worker I of former owners, which has not reported to this
   one.  */
static void
record_inherited (struct rr_dispatch *d, struct dispatch_inherited *i,
                  struct rr_recorded_worker *out, struct rr_time now)
{
  snprintf (out->id, sizeof out->id, "%s", i->id);
  out->started_ms = i->started_ms;
  out->unfenced = i->unfenced;
  out->silent
      = i->silence_recorded || silence_to_record (d, d->inherited_at, now);
  out->expiry = i->expiry;
  i->silence_recorded = out->silent;
  struct dispatch_worker *w = dispatch_worker_find (d, i->id);
  if (w != NULL)
    w->silence_recorded = w->silence_recorded || out->silent;
}

/* Writes to WORKERS at most MAX workers that must stay in the membership
   record, because tasks may be started on them or may still run there, or
   because they list ends that are not stored yet.  An unresponsive worker with
   neither leaves the record, so that a later owner need not wait for it; no
   task starts on it until it is recorded again.  The caller stores the record
   next: those that are silent get no lease from now on.  Returns the
   number.  */
size_t
rr_dispatch_record_workers (struct rr_dispatch *d,
                            struct rr_recorded_worker *workers, size_t max,
                            struct rr_time now)
{
  size_t n = 0;
  struct rr_handle h = { 0 };
  struct dispatch_worker *w;
  while (n < max && (w = rr_table_next (d->workers, &h)) != NULL)
    {
      if (worker_needed (w, now))
        record_worker (d, w, &workers[n++], now);
      else if (w->reported)
        w->recorded = false;
    }
  for (size_t i = 0; n < max && i < d->inherited_count; i++)
    {
      w = dispatch_worker_find (d, d->inherited[i].id);
      if (w == NULL || !worker_needed (w, now))
        record_inherited (d, &d->inherited[i], &workers[n++], now);
    }
  return n;
}

/* Returns whether a worker that must be in the membership record waits for it:
   it was dropped, or restarted, while a record that has it was being
   stored.  */
bool
rr_dispatch_record_due (const struct rr_dispatch *d, struct rr_time now)
{
  struct rr_handle h = { 0 };
  const struct dispatch_worker *w;
  while ((w = rr_table_next (d->workers, &h)) != NULL)
    if (worker_needed (w, now) && (!w->recorded || w->token_due))
      return true;
  return false;
}

/* Takes note that the membership record of REVISION is stored and has R, so
   that a later owner polls this worker: tasks may be started on it, unless it
   is silent.  The revision is above the fencing tokens of this owner so far,
   and below those of later owners.  */
void
rr_dispatch_worker_mark_recorded (struct rr_dispatch *d,
                                  const struct rr_recorded_worker *r,
                                  int64_t revision)
{
  struct dispatch_worker *w = dispatch_worker_find (d, r->id);
  if (w == NULL || r->started_ms != w->info.started_ms)
    return;
  if (w->token_due && revision > w->token)
    w->token = revision;
  w->token_due = false;
  w->recorded = true;
  w->silence_recorded = r->silent;
}

/* Returns whether worker H gets no lease until the membership record is
   stored: it may say that the worker is silent, or have its former life.  */
bool
rr_dispatch_worker_awaits_record (const struct rr_dispatch *d,
                                  struct rr_handle h)
{
  const struct dispatch_worker *w = dispatch_worker_get (d, h);
  return w != NULL && (w->silence_recorded || w->token_due);
}

/* Another owner is to take over: from now on each silence is recorded, however
   short, and logged.  */
void
rr_dispatch_release (struct rr_dispatch *d, struct rr_time now)
{
  enum
  {
    WORKER_LINES_MAX = 8
  };
  d->releasing = true;
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
