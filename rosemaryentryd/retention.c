#include "rosemaryentryd/retention.h"

#include <string.h>

/* When the keys of jobs that have ended are removed from the store, and by
   which shard's owner.  */

/* Returns whether the owner of S removes J: a job of the shard, or, in the
   first shard, a cancellation without a job.  */
bool
retention_removes (struct records *r, const struct shard_record *s,
                   const struct job_record *j)
{
  if (j->accepted)
    return strcmp (j->shard, s->name) == 0;
  return j->cancelled && records_shard_at (r, 0) == s;
}

/* Returns whether the owner of S removes J now, KEPT_MS after its end.  */
bool
retention_expired (struct records *r, const struct shard_record *s,
                   const struct job_record *j, int64_t kept_ms,
                   struct rr_time now)
{
  return j->finished.ms != 0 && retention_removes (r, s, j)
         && rr_time_diff (now, j->finished) > kept_ms;
}
