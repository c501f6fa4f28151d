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

/* Returns whether shards have parts of J on record.  */
static bool
has_parts (struct records *r, const struct job_record *j)
{
  if (strcmp (j->id, j->job) != 0)
    return false;
  for (size_t i = 0; i < records_shard_count (r); i++)
    {
      char part[RR_JOB_NAME_SIZE];
      records_part_id (j->id, records_shard_at (r, i)->name, part);
      if (records_job (r, part) != NULL)
        return true;
    }
  return false;
}

/* Returns whether the owner of S removes J now, KEPT_MS after its end.  The
   cancellation of a job holds for its parts, so it goes after them: a daemon
   that starts would otherwise take a part that is left for one that goes
   on.  */
bool
retention_expired (struct records *r, const struct shard_record *s,
                   const struct job_record *j, int64_t kept_ms,
                   struct rr_time now)
{
  return j->finished.ms != 0 && retention_removes (r, s, j)
         && rr_time_diff (now, j->finished) > kept_ms && !has_parts (r, j);
}
