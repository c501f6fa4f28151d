#include "rosemaryentryd/shard_private.h"

#include <stdio.h>

#include "rosemaryentryd/retention.h"

/* Removes jobs that ended long ago from the store, and cancellations of jobs
   that were never stored.  */

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

/* Removes some of the jobs whose retention is over.  */
void
shard_forget_jobs (struct shard *s, struct rr_time now)
{
  if (s->forgetting || rr_time_diff (now, s->last_forget) < FORGET_INTERVAL_MS)
    return;
  s->last_forget = now;
  static char keys[3 * FORGET_JOBS_MAX][KEY_SIZE];
  const char *removals[3 * FORGET_JOBS_MAX];
  const struct entry_settings *e = &s->entry->settings;
  size_t n = 0;
  size_t jobs = 0;
  struct rr_handle h = { 0 };
  const struct job_record *j;
  while (jobs < FORGET_JOBS_MAX
         && (j = records_job_next (s->entry->records, &h)) != NULL)
    if (retention_expired (s->entry->records, s->record, j,
                           e->retention_ms + e->late_ms, now))
      {
        jobs++;
        snprintf (keys[n++], KEY_SIZE, "%s%s", KEY_CANCEL, j->id);
        if (!j->accepted)
          continue;
        snprintf (keys[n++], KEY_SIZE, "%s%s", KEY_JOB, j->id);
        records_progress_key (s->record->name, j->id, keys[n++]);
      }
  if (n == 0)
    return;
  for (size_t i = 0; i < n; i++)
    removals[i] = keys[i];
  struct store_condition cond = { s->owner_key, s->fencing_token };
  struct store_txn txn = { .conditions = &cond,
                           .condition_count = 1,
                           .removals = removals,
                           .removal_count = n };
  s->forgetting = true;
  s->calls_in_flight++;
  log_event (LOG_LEVEL_INFO, "old_jobs_removed", "shard=%s jobs=%zu",
             s->record->name, jobs);
  store_commit (s->entry->store, &txn,
                entry_store_timeout_ms (s->entry, COMMIT_TIMEOUT_MS),
                on_forgotten, s);
}
