#include "rosemaryentryd/shard_private.h"

#include <stdio.h>
#include <string.h>

/* Removes jobs that ended long ago from the store.  */

static void
on_forgotten (void *data, const struct store_result *r)
{
  struct shard *s = data;
  s->calls_in_flight--;
  s->forgetting = false;
  if (s->closed)
    shard_free_if_unused (s);
  else if (r->state != STORE_OK)
    log_event (LOG_LEVEL_WARN, "old_jobs_not_removed", "shard=%s state=%s",
               s->record->name, store_state_name (r->state));
}

static bool
retention_expired (const struct shard *s, const struct job_record *j,
                   struct rr_time now)
{
  int64_t kept = s->entry->settings.retention_ms + FORGET_MARGIN_MS;
  return j->finished.ms != 0 && strcmp (j->shard, s->record->name) == 0
         && rr_time_diff (now, j->finished) > kept;
}

/* Removes some of the jobs whose retention is over.  */
void
shard_forget_jobs (struct shard *s, struct rr_time now)
{
  if (s->forgetting || rr_time_diff (now, s->last_forget) < FORGET_INTERVAL_MS)
    return;
  s->last_forget = now;
  static char keys[3 * FORGET_JOBS_MAX][KEY_SIZE];
  const char *removals[3 * FORGET_JOBS_MAX];
  size_t n = 0;
  struct rr_handle h = { 0 };
  const struct job_record *j;
  while (n < sizeof removals / sizeof removals[0]
         && (j = records_job_next (s->entry->records, &h)) != NULL)
    if (retention_expired (s, j, now))
      {
        snprintf (keys[n], KEY_SIZE, "%s%s", KEY_JOB, j->id);
        records_progress_key (s->record->name, j->id, keys[n + 1]);
        snprintf (keys[n + 2], KEY_SIZE, "%s%s", KEY_CANCEL, j->id);
        for (size_t end = n + 3; n < end; n++)
          removals[n] = keys[n];
      }
  if (n == 0)
    return;
  struct store_condition cond = { s->owner_key, s->fencing_token };
  struct store_txn txn = { .conditions = &cond,
                           .condition_count = 1,
                           .removals = removals,
                           .removal_count = n };
  s->forgetting = true;
  s->calls_in_flight++;
  log_event (LOG_LEVEL_INFO, "old_jobs_removed", "shard=%s jobs=%zu",
             s->record->name, n / 3);
  store_commit (s->entry->store, &txn, COMMIT_TIMEOUT_MS, on_forgotten, s);
}
