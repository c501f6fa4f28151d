#include "rosemaryentryd/shard_private.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryentryd/store_cache.h"

/* The jobs of a shard.  A daemon can lose the owner key without having heard
   of it, and store or read a job meanwhile.  Its successor takes a job that
   was stored after its claim for one that nobody has started.  So an owner
   starts only what was stored while it certainly owned the shard: a job waits
   until a later revision of the store is known at which the owner key had not
   changed.  */

enum
{
  /* A longer wait for the confirmation is logged: several times what the watch
     takes.  */
  UNCONFIRMED_REPORT_MS = 200,
  /* Until the store is asked beside the watch, which usually takes 15 ms.  */
  CATCH_UP_AFTER_MS = 60,
  UNCONFIRMED_LINES_MAX = 8 /* in the log, when the shard is lost */
};

/* Returns the highest revision of the store at which this daemon is known to
   have owned the shard.  */
static int64_t
owned_revision (const struct shard *s)
{
  int64_t followed = store_cache_revision (s->entry->records_cache);
  return followed > s->owned_revision ? followed : s->owned_revision;
}

/* Returns whether this daemon is known to have owned the shard when J was
   stored as it is.  */
bool
shard_job_confirmed (const struct shard *s, const struct job_record *j)
{
  return j->job_revision <= owned_revision (s);
}

static void
unconfirmed_add (struct shard *s, const struct job_record *j, bool inherited)
{
  s->unconfirmed = realloc (s->unconfirmed, (s->unconfirmed_count + 1)
                                                * sizeof *s->unconfirmed);
  assert (s->unconfirmed != NULL);
  struct unconfirmed_job *u = &s->unconfirmed[s->unconfirmed_count++];
  *u = (struct unconfirmed_job){ .since = entry_now (),
                                 .inherited = inherited };
  snprintf (u->id, sizeof u->id, "%s", j->id);
}

/* Adds the job J, or updates which of its tasks belong to this shard.  */
static void
job_apply (struct shard *s, const struct job_record *j, bool inherited)
{
  struct rr_error err = { 0 };
  struct rr_job_graph *g
      = rr_job_graph_decode (j->graph_text, strlen (j->graph_text), &err);
  struct rr_progress *p
      = j->progress_text == NULL
            ? NULL
            : rr_progress_decode (j->progress_text, strlen (j->progress_text),
                                  &err);
  if (g == NULL)
    log_event (LOG_LEVEL_ERROR, "job_unreadable", "job=%s %s", j->id,
               err.message);
  else if (rr_dispatch_job_known (s->dispatch, g->id))
    {
      rr_dispatch_job_set_share (s->dispatch, g);
      rr_job_graph_free (g);
    }
  else
    {
      rr_dispatch_job_add (s->dispatch, g, p, inherited, entry_now ());
      s->load_stale = true;
    }
  rr_progress_free (p);
  shard_schedule_planning (s);
}

/* Returns whether tasks of J may start in this shard.  */
static bool
job_open (const struct shard *s, const struct job_record *j)
{
  return j->graph_text != NULL && !rr_job_phase_final (records_job_phase (j))
         && strcmp (j->shard, s->record->name) == 0;
}

/* Adds the job J, or updates which of its tasks belong to this shard, once
   this daemon is known to have owned the shard when J was stored.  INHERITED:
   it comes from a former owner, who may have started tasks.  */
void
shard_job_update (struct shard *s, const struct job_record *j, bool inherited)
{
  if (!job_open (s, j))
    return;
  if (shard_job_confirmed (s, j))
    job_apply (s, j, inherited);
  else
    unconfirmed_add (s, j, inherited);
}

/* The store has confirmed a write on the condition that this daemon owns the
   shard, as REVISION.  */
void
shard_ownership_confirmed (struct shard *s, int64_t revision)
{
  if (revision > s->owned_revision)
    s->owned_revision = revision;
  shard_jobs_confirm (s);
}

/* Adds the jobs that were stored while this daemon certainly owned the
   shard.  */
void
shard_jobs_confirm (struct shard *s)
{
  size_t kept = 0;
  for (size_t i = 0; i < s->unconfirmed_count; i++)
    {
      const struct unconfirmed_job u = s->unconfirmed[i];
      const struct job_record *j = records_job (s->entry->records, u.id);
      if (j == NULL || !job_open (s, j))
        continue;
      if (!shard_job_confirmed (s, j))
        {
          s->unconfirmed[kept++] = u;
          continue;
        }
      int64_t waited_ms = rr_time_diff (entry_now (), u.since);
      if (waited_ms > UNCONFIRMED_REPORT_MS)
        log_event (LOG_LEVEL_INFO, "job_confirmed",
                   "job=%s shard=%s token=%lld revision=%lld waited_ms=%lld",
                   j->id, s->record->name, (long long)s->fencing_token,
                   (long long)j->job_revision, (long long)waited_ms);
      job_apply (s, j, u.inherited);
    }
  s->unconfirmed_count = kept;
}

/* Asks the store for its changes if a job waits for longer than the watch
   usually takes, which may be on a dead connection.  */
void
shard_jobs_catch_up (struct shard *s, struct rr_time now)
{
  if (s->unconfirmed_count > 0
      && rr_time_diff (now, s->unconfirmed[0].since) > CATCH_UP_AFTER_MS)
    store_cache_catch_up (s->entry->records_cache);
}

/* Logs the jobs that are left to the next owner, since it is not known whether
   this daemon owned the shard when they were stored.  */
void
shard_jobs_log_unconfirmed (const struct shard *s)
{
  for (size_t i = 0; i < s->unconfirmed_count && i < UNCONFIRMED_LINES_MAX;
       i++)
    log_event (LOG_LEVEL_INFO, "job_left_to_next_owner",
               "job=%s shard=%s token=%lld jobs=%zu", s->unconfirmed[i].id,
               s->record->name, (long long)s->fencing_token,
               s->unconfirmed_count);
}

/* Removes the job ID, which belongs to another shard now.  */
void
shard_job_remove (struct shard *s, const char *id)
{
  if (!rr_dispatch_job_drop (s->dispatch, id))
    log_event (LOG_LEVEL_WARN, "moved_job_runs", "shard=%s token=%lld job=%s",
               s->record->name, (long long)s->fencing_token, id);
}

void
shard_job_cancel (struct shard *s, const struct job_record *j)
{
  rr_dispatch_job_cancel (s->dispatch, j->job, entry_now ());
  shard_schedule_planning (s);
}
