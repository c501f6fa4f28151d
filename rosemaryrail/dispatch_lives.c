#include "dispatch_private.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Lives of workers.  A worker that restarts under its id carries out commands
   that were sent to its former life.  The end of a lease is a time on the
   clock of one life; on the clock of the next it may be far ahead, and the
   worker then gives the longest lease that it knows.  Each life after the
   first that this owner knows therefore gets a higher fencing token: once it
   has answered a poll with this token it refuses what was meant for former
   lives, and what these commands can have granted until then is known.  */

enum
{
  /* Time for which it is remembered that a worker was dropped, which is longer
     than a command is under way.  */
  DROPPED_KEEP_MS = 60000
};

/* Removes the workers from D that were dropped long ago.  One that has seen a
   higher token than that of the owner refuses the owner's in the same life,
   however late it comes back.  */
static void
forget_dropped (struct rr_dispatch *d, struct rr_time now)
{
  size_t kept = 0;
  for (size_t i = 0; i < d->dropped_count; i++)
    if (rr_time_diff (now, d->dropped[i].at) < DROPPED_KEEP_MS
        || d->dropped[i].token > d->o.fencing_token)
      d->dropped[kept++] = d->dropped[i];
  d->dropped_count = kept;
}

/* Returns what is remembered of the worker ID since it was dropped, or
   null.  */
static struct dispatch_dropped *
dropped_find (const struct rr_dispatch *d, const char *id)
{
  for (size_t i = 0; i < d->dropped_count; i++)
    if (strcmp (d->dropped[i].id, id) == 0)
      return &d->dropped[i];
  return NULL;
}

/* Remembers the worker DROPPED: commands to it may be under way.  */
void
dispatch_life_dropped (struct rr_dispatch *d,
                       const struct dispatch_dropped *dropped)
{
  forget_dropped (d, dropped->at);
  struct dispatch_dropped *before = dropped_find (d, dropped->id);
  if (before != NULL)
    {
      before->restarted = before->restarted || dropped->restarted
                          || before->started_ms != dropped->started_ms;
      before->started_ms = dropped->started_ms;
      if (before->token < dropped->token)
        before->token = dropped->token;
      before->at = dropped->at;
      return;
    }
  d->dropped
      = realloc (d->dropped, (d->dropped_count + 1) * sizeof *d->dropped);
  assert (d->dropped != NULL);
  d->dropped[d->dropped_count++] = *dropped;
}

/* Starts a life of W, which began at STARTED_MS, and was learned of at NOW, in
   which commands to former lives may still be carried out.  Nothing that was
   known of a former life holds for it, but what concerns this owner: runs that
   may have reached the new life, the token that former lives know, what the
   membership record says, and when the worker was last heard and lost.  */
void
dispatch_life_begin (struct dispatch_worker *w, int64_t started_ms,
                     struct rr_time now)
{
  struct dispatch_worker fresh = {
    .info = w->info,
    .handle = w->handle,
    .registered = w->registered,
    .registered_life = w->registered_life,
    .unregistered_at = w->unregistered_at,
    .unresponsive = w->unresponsive,
    .last_report = w->last_report,
    .heard_sent = w->heard_sent,
    .silence_recorded = w->silence_recorded,
    .life = w->life + 1,
    .life_learned = now,
    .token = w->token,
    .token_due = true,
    .runs = w->runs,
    .run_count = w->run_count,
    .run_capacity = w->run_capacity,
    .ends = w->ends,
    .end_capacity = w->end_capacity,
    .best_effort_percent = 100,
    .heard = w->heard,
    .loss_noted = w->loss_noted,
    .lost = w->lost,
    .lost_at = w->lost_at,
    .lost_unprovoked_at = w->lost_unprovoked_at,
  };
  *w = fresh;
  w->info.started_ms = started_ms;
}

/* Starts the first life of W, which this owner did not know, or has dropped
   meanwhile.  One that was dropped in a later life than its first one is not
   known to refuse commands to the others, and may have seen a higher token
   than that of the owner.  */
void
dispatch_life_first (struct rr_dispatch *d, struct dispatch_worker *w,
                     struct rr_time now)
{
  w->token = d->o.fencing_token;
  w->best_effort_percent = 100;
  w->life_learned = now;
  const struct dispatch_dropped *dropped = dropped_find (d, w->info.id);
  if (dropped == NULL)
    return;
  if (dropped->token > w->token)
    w->token = dropped->token;
  if (dropped->restarted || dropped->started_ms != w->info.started_ms)
    dispatch_life_begin (w, w->info.started_ms, now);
}

/* Returns until when commands to former lives may have granted leases to the
   present life of W, or 0 when they have granted none.  */
static struct rr_time
former_leases_expiry (const struct rr_dispatch *d,
                      const struct dispatch_worker *w)
{
  const struct rr_time none = rr_time_from_ms (0);
  const struct rr_time longest
      = rr_time_add (w->clock_received, d->o.lease_max_ms);
  if (w->life > 0 || d->inherited_lives_unknown)
    return longest;
  const struct dispatch_inherited *i = dispatch_inherited_find (d, w->info.id);
  if (i == NULL)
    return none;
  bool same = i->started_ms == 0 || i->started_ms == w->info.started_ms;
  return same && !i->unfenced ? i->former_expiry : longest;
}

/* W has answered a poll that had TOKEN.  */
void
dispatch_life_answered (struct rr_dispatch *d, struct dispatch_worker *w,
                        int64_t token)
{
  if (w->former_fenced || w->token_due || token < w->token)
    return;
  w->former_fenced = true;
  int64_t ahead_ms
      = rr_time_diff (former_leases_expiry (d, w), w->clock_received);
  if (ahead_ms <= 0)
    return;
  dispatch_lease_assume (w, ahead_ms);
  w->former_expiry = dispatch_lease_expiry (w);
  dispatch_log_decision (d, "vm_former_life_fenced",
                         "vm=%s born=%lld life=%u leases_left_ms=%lld",
                         w->info.id, (long long)w->info.started_ms, w->life,
                         (long long)ahead_ms);
}

/* Returns the fencing token for commands to worker H: the owner's, or that of
   its present life.  */
int64_t
rr_dispatch_worker_token (const struct rr_dispatch *d, struct rr_handle h)
{
  const struct dispatch_worker *w = dispatch_worker_get (d, h);
  return w == NULL ? d->o.fencing_token : w->token;
}
