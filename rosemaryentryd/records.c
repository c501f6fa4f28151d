#include "rosemaryentryd/records_private.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "common/json.h"
#include "common/log.h"
#include "rosemaryentryd/owners.h"
#include "rosemaryentryd/shard_selection.h"
#include "rosemaryrail/job_summary.h"

/* Returns the record of job ID or null.  */
struct job_record *
records_job (struct records *r, const char *id)
{
  return rr_table_get (r->jobs, rr_key_index_get (r->job_index, id));
}

/* Returns the job after CURSOR, which it advances; null after the last.  */
struct job_record *
records_job_next (struct records *r, struct rr_handle *cursor)
{
  return rr_table_next (r->jobs, cursor);
}

/* Removes and frees the record H.  */
void
records_job_remove (struct records *r, struct rr_handle h)
{
  struct job_record *j = rr_table_get (r->jobs, h);
  rr_key_index_remove (r->job_index, j->id);
  free (j->graph_text);
  free (j->progress_text);
  rr_table_remove (r->jobs, h);
}

/* Returns the phase that callers get.  A job that had completed or failed
   before it was cancelled keeps that phase.  */
enum rr_job_phase
records_job_phase (const struct job_record *j)
{
  if (j->cancelled && j->phase != RR_PHASE_COMPLETED
      && j->phase != RR_PHASE_FAILED)
    return RR_PHASE_CANCELLED;
  return j->phase;
}

static bool
is_pending (const struct job_record *j)
{
  return j->accepted && strcmp (j->id, j->job) == 0
         && records_job_phase (j) == RR_PHASE_QUEUED;
}

static size_t
published_pending (const struct shard_record *s, const char *queue)
{
  for (size_t i = 0; i < s->pending_count; i++)
    if (strcmp (s->pending[i].queue, queue) == 0)
      return s->pending[i].jobs;
  return 0;
}

/* Returns the number of jobs of QUEUE that have started no task: those that
   the owners of the shards have published, and the jobs accepted since.  */
size_t
records_pending (struct records *r, const char *queue)
{
  size_t n = 0;
  for (size_t i = 0; i < r->shard_count; i++)
    n += published_pending (&r->shards[i], queue);
  struct rr_handle h = { 0 };
  struct job_record *j;
  while ((j = records_job_next (r, &h)) != NULL)
    {
      const struct shard_record *s = records_shard (r, j->shard);
      if (is_pending (j) && strcmp (j->queue, queue) == 0
          && (s == NULL || j->job_revision > s->pending_revision))
        n++;
    }
  return n;
}

/* Returns the jobs of SHARD that have started no task, counted by queue, among
   those accepted up to REVISION.  The caller releases the object.  */
struct json_object *
records_pending_encode (struct records *r, const char *shard, int64_t revision)
{
  struct json_object *o = json_object_new_object ();
  struct rr_handle h = { 0 };
  struct job_record *j;
  while ((j = records_job_next (r, &h)) != NULL)
    if (j->job_revision <= revision && is_pending (j)
        && strcmp (j->shard, shard) == 0)
      json_add_int (o, j->queue, json_int_or (o, j->queue, 0) + 1);
  return o;
}

/* Returns the shard called NAME or null.  */
struct shard_record *
records_shard (struct records *r, const char *name)
{
  for (size_t i = 0; i < r->shard_count; i++)
    if (strcmp (r->shards[i].name, name) == 0)
      return &r->shards[i];
  return NULL;
}

/* Returns shard number I, from 0.  */
struct shard_record *
records_shard_at (struct records *r, size_t i)
{
  return &r->shards[i];
}

size_t
records_shard_count (const struct records *r)
{
  return r->shard_count;
}

/* Returns the sum of the numbers in a rack's name, which spreads racks that
   are numbered within their zones evenly over the shards; a hash of names
   without a number.  */
static uint64_t
rack_hash (const char *rack)
{
  uint64_t sum = 0;
  bool found = false;
  for (const char *p = rack; *p != '\0';)
    if (*p >= '0' && *p <= '9')
      {
        char *end = NULL;
        sum += strtoull (p, &end, 10);
        found = true;
        p = end;
      }
    else
      p++;
  return found ? sum : XXH64 (rack, strlen (rack), 0);
}

/* Returns the shard that the registered worker W belongs to; null while the
   number of shards is unknown.  All workers of a rack belong to one shard.  */
const struct shard_record *
records_shard_of_worker (const struct records *r,
                         const struct platform_worker *w)
{
  /* Selections compare all workers with all shards, so the hash is computed
     once a worker.  */
  struct worker_record *record = (struct worker_record *)w;
  const char *rack = w->info.rack[0] != '\0' ? w->info.rack : w->info.id;
  if (r->shard_count > 0 && record->shard == NULL)
    record->shard = &r->shards[rack_hash (rack) % r->shard_count];
  return record->shard;
}

/* Returns the number of registered daemons.  */
size_t
records_daemon_count (const struct records *r)
{
  return rr_table_count (r->daemons);
}

/* Returns the number of registered workers.  */
size_t
records_worker_count (const struct records *r)
{
  return rr_table_count (r->workers);
}

const struct daemon_record *
records_daemon_next (const struct records *r, struct rr_handle *cursor)
{
  return rr_table_next (r->daemons, cursor);
}

const struct platform_worker *
records_worker_next (const struct records *r, struct rr_handle *cursor)
{
  return rr_table_next (r->workers, cursor);
}

static struct job_record *
job_record_get_or_create (struct records *r, const char *id)
{
  struct job_record *j = records_job (r, id);
  if (j != NULL)
    return j;
  struct rr_handle h;
  j = rr_table_insert (r->jobs, &h);
  assert (j != NULL);
  snprintf (j->id, sizeof j->id, "%s", id);
  snprintf (j->job, sizeof j->job, "%s", id);
  rr_key_index_put (r->job_index, id, h);
  return j;
}

/* If J has ended, records the time and frees its texts.  */
static void
job_record_finish_if_final (struct job_record *j)
{
  if (!rr_job_phase_final (records_job_phase (j)))
    return;
  j->finished = entry_now ();
  free (j->graph_text);
  free (j->progress_text);
  j->graph_text = NULL;
  j->progress_text = NULL;
}

/* The key of job ID has changed.  */
void
records_job_item (struct records *r, const char *id,
                  const struct store_item *item)
{
  if (item->removed)
    {
      struct rr_handle h = rr_key_index_get (r->job_index, id);
      if (rr_table_get (r->jobs, h) != NULL)
        records_job_remove (r, h);
      return;
    }
  records_job_set (r, id, item->value, item->revision);
}

/* Stores the summary S of an ended job as of REVISION.  */
static void
job_record_summarize (struct records *r, struct job_record *j,
                      const struct rr_job_summary *s, int64_t revision)
{
  bool known_end = rr_job_phase_final (records_job_phase (j));
  snprintf (j->queue, sizeof j->queue, "%s", s->queue);
  snprintf (j->shard, sizeof j->shard, "%s", s->shard);
  j->accepted = true;
  j->accepted_ms = s->accepted_ms;
  j->summarized = true;
  j->job_revision = revision;
  if (s->phase == RR_PHASE_CANCELLED)
    j->cancelled = true;
  else
    j->phase = s->phase;
  if (known_end)
    return;
  job_record_finish_if_final (j);
  owners_job_update (r->entry->owners, j);
}

/* Stores TEXT, the job graph or the summary of job ID as of REVISION, unless
   an equal or later revision is known.  */
void
records_job_set (struct records *r, const char *id, const char *text,
                 int64_t revision)
{
  struct job_record *j = job_record_get_or_create (r, id);
  if (revision <= j->job_revision)
    return;
  struct rr_job_summary summary;
  if (rr_job_summary_decode (text, strlen (text), &summary))
    {
      job_record_summarize (r, j, &summary, revision);
      return;
    }
  struct rr_error err = { 0 };
  struct rr_job_graph *g = rr_job_graph_decode (text, strlen (text), &err);
  if (g == NULL)
    {
      log_event (LOG_LEVEL_ERROR, "job_unreadable", "job=%s %s", id,
                 err.message);
      return;
    }
  struct shard_record *s = records_shard (r, g->shard);
  bool moved = j->accepted && strcmp (j->shard, g->shard) != 0;
  if (moved)
    {
      owners_job_remove (r->entry->owners, j);
      j->transfers++;
    }
  if (s != NULL && (moved || !j->accepted))
    shard_selection_add_demand (s, g);
  snprintf (j->queue, sizeof j->queue, "%s", g->queue);
  snprintf (j->shard, sizeof j->shard, "%s", g->shard);
  j->accepted = true;
  j->accepted_ms = g->accepted_ms;
  j->job_revision = revision;
  free (j->graph_text);
  j->graph_text = strdup (text);
  snprintf (j->job, sizeof j->job, "%s", g->id);
  if (g->progress != NULL)
    records_progress_set (r, id, g->progress, revision);
  const struct job_record *whole = records_job (r, g->id);
  j->cancelled = j->cancelled || (whole != NULL && whole->cancelled);
  rr_job_graph_free (g);
  job_record_finish_if_final (j);
  owners_job_update (r->entry->owners, j);
}

/* A divided job is active once a part of it, J with PHASE, is.  */
static void
activate_whole_job (struct records *r, const struct job_record *j,
                    enum rr_job_phase phase)
{
  struct job_record *whole = records_job (r, j->job);
  if (whole != NULL && whole->phase == RR_PHASE_QUEUED
      && phase == RR_PHASE_ACTIVE)
    whole->phase = RR_PHASE_ACTIVE;
}

/* Stores TEXT, the progress of job ID as of REVISION, unless an equal or later
   revision is known.  */
void
records_progress_set (struct records *r, const char *id, const char *text,
                      int64_t revision)
{
  struct job_record *j = job_record_get_or_create (r, id);
  if (revision < j->progress_revision
      || (revision == j->progress_revision && j->has_progress))
    return;
  struct rr_error err = { 0 };
  struct rr_progress *p = rr_progress_decode (text, strlen (text), &err);
  if (p == NULL)
    {
      log_event (LOG_LEVEL_ERROR, "progress_unreadable", "job=%s %s", id,
                 err.message);
      return;
    }
  if (revision >= j->owner_phase_revision)
    j->phase = p->phase;
  activate_whole_job (r, j, p->phase);
  j->has_progress = true;
  j->progress_revision = revision;
  free (j->progress_text);
  j->progress_text = strdup (text);
  rr_progress_free (p);
  job_record_finish_if_final (j);
}

/* Sets the phase of job ID to PHASE, which the owner of its shard reported as
   of REVISION of the job's progress.  Does nothing if this daemon has read
   that revision from the store or got a later one from the owner.  */
void
records_set_owner_phase (struct records *r, const char *id,
                         enum rr_job_phase phase, int64_t revision)
{
  struct job_record *j = records_job (r, id);
  if (j == NULL || revision <= j->progress_revision
      || revision <= j->owner_phase_revision)
    return;
  j->owner_phase_revision = revision;
  j->phase = phase;
  activate_whole_job (r, j, phase);
}

/* Writes to OUT the key of the progress of the record ID in SHARD.  */
void
records_progress_key (const char *shard, const char *id, char out[KEY_SIZE])
{
  snprintf (out, KEY_SIZE, "%s%s/%s", KEY_PROGRESS, shard, id);
}

/* Stores the progress ITEM as it was read from the store.  */
void
records_progress_item (struct records *r, const struct store_item *item)
{
  const char *id = strrchr (item->key, '/');
  if (!item->removed && id != NULL && strlen (id + 1) < RR_JOB_NAME_SIZE)
    records_progress_set (r, id + 1, item->value, item->revision);
}

/* Writes to OUT the id of the record for the part of JOB that runs in SHARD,
   a shard other than the job's own.  */
void
records_part_id (const char *job, const char *shard,
                 char out[RR_JOB_NAME_SIZE])
{
  snprintf (out, RR_JOB_NAME_SIZE, "%.31s.%.31s", job, shard);
}

static void
job_record_cancel (struct records *r, struct job_record *j)
{
  j->cancelled = true;
  job_record_finish_if_final (j);
  owners_job_cancel (r->entry->owners, j);
}

/* The key of the cancellation of job ID has changed.  */
void
records_cancel_item (struct records *r, const char *id,
                     const struct store_item *item)
{
  if (item->removed)
    {
      struct rr_handle h = rr_key_index_get (r->job_index, id);
      const struct job_record *j = rr_table_get (r->jobs, h);
      /* A cancelled job stays cancelled.  */
      if (j != NULL && !j->accepted)
        records_job_remove (r, h);
      return;
    }
  job_record_cancel (r, job_record_get_or_create (r, id));
  for (size_t i = 0; i < r->shard_count; i++)
    {
      char part[RR_JOB_NAME_SIZE];
      records_part_id (id, r->shards[i].name, part);
      struct job_record *j = records_job (r, part);
      if (j != NULL)
        job_record_cancel (r, j);
    }
}
