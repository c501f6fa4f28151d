#include "rosemaryentryd/shard_private.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryentryd/shard_selection.h"
#include "rosemaryentryd/transfer_outcome.h"

/* Transfers jobs that have waited too long for free capacity to a shard that
   has it, and jobs that no worker of their shard can run to a shard that has
   one, with their progress.  Only jobs that certainly run nowhere are
   transferred, so that the next owner can start them without asking any
   worker.  */

/* Discards the transfer; jobs that are still in this shard may start here.  */
void
shard_transfer_clear (struct shard *s)
{
  for (size_t i = 0; i < s->transfer_count; i++)
    {
      rr_dispatch_job_hold (s->dispatch, s->transfer[i].id, false);
      free (s->transfer[i].text);
      free (s->transfer[i].progress);
    }
  s->transfer_count = 0;
  s->transfer_unknown = false;
}

/* Logs and removes the jobs that are stored under their new shard.  */
static void
transfer_finish (struct shard *s)
{
  for (size_t i = 0; i < s->transfer_count; i++)
    {
      const struct transfer_entry *t = &s->transfer[i];
      log_event (LOG_LEVEL_INFO, "job_transferred", "job=%s shard=%s to=%s",
                 t->id, s->record->name, t->target);
      shard_job_remove (s, t->id);
    }
  shard_transfer_clear (s);
}

/* Returns whether R, a conflict, shows that an earlier attempt without an
   answer has taken effect, for all jobs at once.  */
static bool
took_effect (const struct shard *s, const struct store_result *r)
{
  char key[KEY_SIZE];
  snprintf (key, sizeof key, "%s%s", KEY_JOB, s->transfer[0].id);
  return transfer_took_effect (r, key, s->record->name);
}

static void
on_transferred (void *data, const struct store_result *r)
{
  struct shard *s = data;
  s->transferring = false;
  if (!shard_write_ended (s, r, "transfer-rejected"))
    return;
  switch (r->state)
    {
    case STORE_OK:
      transfer_finish (s);
      return;
    case STORE_CONFLICT:
      if (s->transfer_unknown && took_effect (s, r))
        transfer_finish (s);
      else
        {
          log_event (LOG_LEVEL_WARN, "transfer_rejected", "shard=%s jobs=%zu",
                     s->record->name, s->transfer_count);
          shard_transfer_clear (s);
        }
      return;
    case STORE_UNKNOWN:
      s->transfer_unknown = true;
      return;
    case STORE_MISSING:
    case STORE_COMPACTED:
    case STORE_REFUSED:
    case STORE_INVALID:
      /* An earlier attempt without an answer may still take effect, so the
         jobs stay held until an attempt is answered.  */
      if (!s->transfer_unknown)
        shard_transfer_clear (s);
      return;
    }
}

static void
transfer_send (struct shard *s)
{
  static char keys[3 * TRANSFER_JOBS_MAX][KEY_SIZE];
  struct store_condition conds[2 * TRANSFER_JOBS_MAX + 1];
  struct store_write writes[2 * TRANSFER_JOBS_MAX];
  const char *removals[TRANSFER_JOBS_MAX];
  size_t n = 0;
  size_t written = 0;
  size_t removed = 0;
  conds[n++] = (struct store_condition){ s->owner_key, s->fencing_token };
  for (size_t i = 0; i < s->transfer_count; i++)
    {
      const struct transfer_entry *t = &s->transfer[i];
      char *job = keys[3 * i];
      char *progress = keys[3 * i + 1];
      char *target_progress = keys[3 * i + 2];
      snprintf (job, KEY_SIZE, "%s%s", KEY_JOB, t->id);
      records_progress_key (s->record->name, t->id, progress);
      records_progress_key (t->target, t->id, target_progress);
      conds[n++] = (struct store_condition){ job, t->revision };
      conds[n++] = (struct store_condition){ progress, t->progress_revision };
      writes[written++] = (struct store_write){ .key = job, .value = t->text };
      if (t->progress == NULL)
        continue;
      /* Its revision equals the job's.  */
      writes[written++] = (struct store_write){ .key = target_progress,
                                                .value = t->progress };
      removals[removed++] = progress;
    }
  struct store_txn txn = { .conditions = conds,
                           .condition_count = n,
                           .writes = writes,
                           .write_count = written,
                           .removals = removals,
                           .removal_count = removed };
  s->transferring = true;
  s->calls_in_flight++;
  store_commit (s->entry->store, &txn,
                entry_store_timeout_ms (s->entry, COMMIT_TIMEOUT_MS),
                on_transferred, s);
}

/* Prepares the transfer of the job ID, with the graph G, to TARGET.  */
static void
transfer_prepare (struct shard *s, const char *id, struct rr_job_graph *g,
                  struct shard_record *target)
{
  const struct job_record *j = records_job (s->entry->records, id);
  struct transfer_entry *t = &s->transfer[s->transfer_count++];
  memset (t, 0, sizeof *t);
  shard_selection_add_demand (target, g);
  snprintf (t->id, sizeof t->id, "%s", id);
  snprintf (t->target, sizeof t->target, "%s", target->name);
  snprintf (g->shard, sizeof g->shard, "%s", target->name);
  t->revision = j->job_revision;
  t->progress_revision = j->progress_revision;
  uint64_t version;
  if (t->progress_revision != 0)
    t->progress = rr_dispatch_progress_encode (s->dispatch, id, &version);
  free (g->progress);
  g->progress = t->progress == NULL ? NULL : strdup (t->progress);
  g->run_base = rr_dispatch_run_base (s->dispatch, id);
  t->text = rr_job_graph_encode (g);
  rr_dispatch_job_hold (s->dispatch, id, true);
}

/* Returns the shard to which G, the graph of J, goes; null: none.  */
static struct shard_record *
transfer_target (struct shard *s, struct job_record *j,
                 const struct rr_job_graph *g, struct rr_time now)
{
  enum rr_step_state *states = calloc (g->step_count + 1, sizeof *states);
  assert (states != NULL);
  rr_dispatch_job_steps (s->dispatch, j->id, states, g->step_count, now);
  enum shard_verdict verdict;
  struct shard_record *target = shard_selection_for_transfer (
      s->entry, s->record, g, states, j->transfers < TRANSFERS_MAX, &verdict);
  if (!shard_unfit_note (s, j, g, states, verdict, now))
    target = NULL;
  free (states);
  return target;
}

/* Prepares the transfer of the job ID if its shard can't run it and another
   one can, or if another one has free capacity for it.  */
static void
transfer_add (struct shard *s, const char *id, struct rr_time now)
{
  struct job_record *j = records_job (s->entry->records, id);
  if (j == NULL || j->graph_text == NULL || shard_unfit_recently (j, now))
    return;
  struct rr_error err = { 0 };
  struct rr_job_graph *g
      = rr_job_graph_decode (j->graph_text, strlen (j->graph_text), &err);
  struct shard_record *target
      = g == NULL || g->divided ? NULL : transfer_target (s, j, g, now);
  if (target != NULL)
    transfer_prepare (s, id, g, target);
  rr_job_graph_free (g);
}

/* Transfers jobs that wait here to shards that can run them or have more free
   capacity, and reports those that no shard can run.  */
void
shard_transfer_jobs (struct shard *s, struct rr_time now)
{
  if (s->transferring || s->stopping)
    return;
  /* With one shard there is only something to report.  */
  if (records_shard_count (s->entry->records) < 2
      && rr_time_diff (now, s->unfit_looked) < UNFIT_INTERVAL_MS)
    return;
  s->unfit_looked = now;
  if (s->transfer_count == 0)
    {
      const char *ids[TRANSFER_JOBS_MAX];
      size_t n = rr_dispatch_idle_jobs (s->dispatch, ids, TRANSFER_JOBS_MAX,
                                        TRANSFER_WAIT_MS,
                                        TRANSFER_STARTED_WAIT_MS, now);
      for (size_t i = 0; i < n; i++)
        transfer_add (s, ids[i], now);
    }
  if (s->transfer_count > 0)
    transfer_send (s);
}
