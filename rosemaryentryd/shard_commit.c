#include "rosemaryentryd/shard_private.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Writes the progress of a shard's jobs to the store.  */

static void
on_commit_timer (uv_timer_t *timer)
{
  shard_commit (timer->data);
}

/* Schedules a write of changed progress within MS milliseconds, or later if a
   write has just failed.  */
void
shard_schedule_commit (struct shard *s, uint64_t ms)
{
  int64_t pause = rr_time_diff (s->commit_after, entry_now ());
  if (pause > 0 && (uint64_t)pause > ms)
    ms = (uint64_t)pause;
  if (!uv_is_active ((uv_handle_t *)&s->commit_timer)
      || uv_timer_get_due_in (&s->commit_timer) > ms)
    uv_timer_start (&s->commit_timer, on_commit_timer, ms, 0);
}

/* Returns whether R, a conflict, shows that this daemon no longer owns the
   shard.  */
static bool
owner_changed (const struct shard *s, const struct store_result *r)
{
  return store_result_revision (r, s->owner_key) != s->fencing_token;
}

/* Handles the end of a write that is conditional on the owner key.  Returns
   false when the shard is closed or R shows another owner, in which case the
   shard is given up with WHY as the logged reason.  The caller must not use S
   then.  */
bool
shard_write_ended (struct shard *s, const struct store_result *r,
                   const char *why)
{
  s->calls_in_flight--;
  if (s->closed)
    {
      shard_free_if_unused (s);
      return false;
    }
  if (r->state == STORE_CONFLICT && owner_changed (s, r))
    {
      shard_abandon (s, why);
      return false;
    }
  if (r->state == STORE_OK)
    shard_ownership_confirmed (s, r->revision);
  return true;
}

/* Adopts the stored progress and its revision.  A condition on a job's
   progress failed although this daemon owns the shard, so an earlier write
   without an answer took effect.  */
static void
adopt_revisions (struct shard *s, const struct store_result *r)
{
  for (size_t i = 0; i < s->commit_count; i++)
    {
      struct job_record *j
          = records_job (s->entry->records, s->commit[i].record);
      if (j == NULL)
        continue;
      char key[KEY_SIZE];
      records_progress_key (s->record->name, j->id, key);
      for (size_t k = 0; k < r->item_count; k++)
        if (strcmp (r->items[k].key, key) == 0
            && r->items[k].revision > j->progress_revision)
          {
            log_event (LOG_LEVEL_INFO, "progress_write_found",
                       "job=%s revision=%lld before=%lld", j->id,
                       (long long)r->items[k].revision,
                       (long long)j->progress_revision);
            records_progress_set (s->entry->records, j->id, r->items[k].value,
                                  r->items[k].revision);
          }
    }
}

/* Records progress that is now stored, and measures how long the job took to
   start and to complete.  */
static void
record_progress (struct shard *s, const struct commit_entry *c,
                 int64_t revision)
{
  struct records *records = s->entry->records;
  const struct job_record *j = records_job (records, c->record);
  enum rr_job_phase before = j == NULL ? RR_PHASE_QUEUED : j->phase;
  records_progress_set (records, c->record, c->text, revision);
  j = records_job (records, c->record);
  if (j == NULL || !j->accepted || j->phase == before
      || strcmp (c->record, c->id) != 0)
    return;
  entry_metrics_latency (s->entry->metrics, j->queue,
                         rr_job_phase_name (j->phase),
                         entry_wall_ms () - j->accepted_ms);
}

static void
commit_finish (struct shard *s, int64_t revision)
{
  for (size_t i = 0; i < s->commit_count; i++)
    {
      struct commit_entry *c = &s->commit[i];
      record_progress (s, c, revision);
      rr_dispatch_progress_stored (s->dispatch, c->id, c->version);
    }
  struct rr_handle h = { 0 };
  struct worker_connection **c;
  while ((c = rr_table_next (s->connections, &h)) != NULL)
    worker_connection_progress_stored (*c);
}

/* Frees the entries of the write in flight.  */
void
shard_commit_clear (struct shard *s)
{
  for (size_t i = 0; i < s->commit_count; i++)
    free (s->commit[i].text);
  s->commit_count = 0;
}

static void
on_committed (void *data, const struct store_result *r)
{
  struct shard *s = data;
  s->committing = false;
  if (!shard_write_ended (s, r, "commit-rejected"))
    return;
  if (r->state == STORE_OK)
    {
      commit_finish (s, r->revision);
      shard_commit_clear (s);
      shard_schedule_planning (s);
      return;
    }
  if (r->state == STORE_CONFLICT)
    adopt_revisions (s, r);
  else
    log_event (LOG_LEVEL_WARN, "progress_not_stored",
               "shard=%s jobs=%zu state=%s why=%s", s->record->name,
               s->commit_count, store_state_name (r->state),
               r->reason == NULL ? "" : r->reason);
  shard_commit_clear (s);
  if (r->state != STORE_CONFLICT)
    s->commit_after = rr_time_add (entry_now (), COMMIT_RETRY_MS);
  shard_schedule_commit (s, 0);
}

/* Writes the progress of changed jobs, on the condition that this daemon still
   owns the shard and that their stored progress has not changed.  */
void
shard_commit (struct shard *s)
{
  if (s->committing || s->closed)
    return;
  const char *ids[COMMIT_JOBS_MAX];
  bool urgent;
  size_t n
      = rr_dispatch_jobs_changed (s->dispatch, ids, COMMIT_JOBS_MAX, &urgent);
  if (n == 0)
    return;
  static char keys[COMMIT_JOBS_MAX][KEY_SIZE];
  struct store_condition conds[COMMIT_JOBS_MAX + 1];
  struct store_write writes[COMMIT_JOBS_MAX];
  conds[0] = (struct store_condition){ s->owner_key, s->fencing_token };
  size_t bytes = 0;
  size_t i = 0;
  for (; i < n && bytes <= (size_t)s->entry->settings.value_max_bytes; i++)
    {
      struct commit_entry *c = &s->commit[i];
      snprintf (c->id, sizeof c->id, "%s", ids[i]);
      shard_record_id (s, ids[i], c->record);
      records_progress_key (s->record->name, c->record, keys[i]);
      c->text = rr_dispatch_progress_encode (s->dispatch, ids[i], &c->version);
      struct job_record *j = records_job (s->entry->records, c->record);
      conds[i + 1]
          = (struct store_condition){ keys[i],
                                      j == NULL ? 0 : j->progress_revision };
      writes[i] = (struct store_write){ .key = keys[i], .value = c->text };
      bytes += strlen (c->text);
    }
  s->commit_count = n = i;
  struct store_txn txn = { .conditions = conds,
                           .condition_count = n + 1,
                           .writes = writes,
                           .write_count = n };
  s->committing = true;
  s->calls_in_flight++;
  store_commit (s->entry->store, &txn,
                entry_store_timeout_ms (s->entry, COMMIT_TIMEOUT_MS),
                on_committed, s);
}
