#include "rosemaryentryd/shard_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryrail/job_summary.h"

/* Replaces the stored job graphs of ended jobs by summaries.  A daemon that
   starts reads all jobs, and most of them have ended.  */

static void
on_summarized (void *data, const struct store_result *r)
{
  struct shard *s = data;
  s->summarizing = false;
  if (!shard_write_ended (s, r, "summaries-rejected"))
    return;
  /* After a failure the same jobs are written again.  */
  if (r->state != STORE_OK)
    log_event (LOG_LEVEL_WARN, "jobs_not_summarized", "shard=%s state=%s",
               s->record->name, store_state_name (r->state));
}

/* Returns whether J is a whole job of S that has ended and still has its job
   graph in the store.  */
static bool
needs_summary (const struct shard *s, const struct job_record *j)
{
  return j->accepted && !j->summarized && strcmp (j->id, j->job) == 0
         && strcmp (j->shard, s->record->name) == 0
         && rr_job_phase_final (records_job_phase (j));
}

static char *
summary_text (const struct job_record *j)
{
  struct rr_job_summary summary
      = { .accepted_ms = j->accepted_ms, .phase = records_job_phase (j) };
  snprintf (summary.id, sizeof summary.id, "%s", j->id);
  snprintf (summary.queue, sizeof summary.queue, "%s", j->queue);
  snprintf (summary.shard, sizeof summary.shard, "%s", j->shard);
  return rr_job_summary_encode (&summary);
}

/* Writes the summaries of some ended jobs.  Only the owner of the shard
   changes the keys of its jobs, so the owner key is the only condition.  */
void
shard_summarize_jobs (struct shard *s, struct rr_time now)
{
  if (s->summarizing || s->stopping
      || rr_time_diff (now, s->last_summary) < SUMMARY_INTERVAL_MS)
    return;
  s->last_summary = now;
  static char keys[SUMMARY_JOBS_MAX][KEY_SIZE];
  struct store_write writes[SUMMARY_JOBS_MAX];
  char *texts[SUMMARY_JOBS_MAX];
  size_t n = 0;
  struct rr_handle h = { 0 };
  const struct job_record *j;
  while (n < SUMMARY_JOBS_MAX
         && (j = records_job_next (s->entry->records, &h)) != NULL)
    if (needs_summary (s, j))
      {
        texts[n] = summary_text (j);
        snprintf (keys[n], KEY_SIZE, "%s%s", KEY_JOB, j->id);
        writes[n] = (struct store_write){ .key = keys[n], .value = texts[n] };
        n++;
      }
  if (n == 0)
    return;
  struct store_condition cond = { s->owner_key, s->fencing_token };
  struct store_txn txn = { .conditions = &cond,
                           .condition_count = 1,
                           .writes = writes,
                           .write_count = n };
  s->summarizing = true;
  s->calls_in_flight++;
  store_commit (s->entry->store, &txn,
                entry_store_timeout_ms (s->entry, COMMIT_TIMEOUT_MS),
                on_summarized, s);
  for (size_t i = 0; i < n; i++)
    free (texts[i]);
}
