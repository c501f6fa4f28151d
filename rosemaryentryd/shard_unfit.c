#include "rosemaryentryd/shard_private.h"

/* Jobs that no worker of their shard, or of any shard, can run.  */

/* Returns whether this daemon has found less than UNFIT_INTERVAL_MS ago that
   no worker can run J.  */
bool
shard_unfit_recently (const struct job_record *j, struct rr_time now)
{
  return j->unfit_at.ms != 0
         && rr_time_diff (now, j->unfit_at) < UNFIT_INTERVAL_MS;
}

/* Takes note of whether any worker can run J.  Returns whether VERDICT counts:
   not while the registrations are too old to start tasks, since two owners
   with different registrations could send a job to each other.  */
bool
shard_unfit_note (struct shard *s, struct job_record *j,
                  enum shard_verdict verdict, struct rr_time now)
{
  if (verdict != SHARD_FITS && rr_dispatch_registrations_stale (s->dispatch))
    return false;
  j->unfit_at = verdict == SHARDS_UNFIT ? now : (struct rr_time){ 0 };
  return true;
}
