#include "rosemaryentryd/records.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "common/json.h"
#include "common/log.h"
#include "rosemaryentryd/owners.h"
#include "rosemaryentryd/peers.h"
#include "rosemaryentryd/shard_selection.h"
#include "rosemaryentryd/store_cache.h"

/* A registered worker.  */
struct worker_record
{
  struct platform_worker worker; /* first: pointers to it are converted */
  const struct shard_record *shard;
  uint64_t digest; /* of its registration, without what heartbeats change */
};

struct records
{
  struct entry *entry;
  struct rr_table *jobs;
  struct rr_key_index *job_index;
  struct rr_table *daemons;
  struct rr_key_index *daemon_index;
  struct rr_table *workers;
  struct rr_key_index *worker_index;
  struct shard_record shards[SHARDS_MAX];
  size_t shard_count;
};

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

static void
on_job_item (struct records *r, const char *id, const struct store_item *item)
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

/* Stores TEXT, the job graph of job ID as of REVISION, unless an equal or
   later revision is known.  */
void
records_job_set (struct records *r, const char *id, const char *text,
                 int64_t revision)
{
  struct job_record *j = job_record_get_or_create (r, id);
  if (revision <= j->job_revision)
    return;
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

static void
on_cancel_item (struct records *r, const char *id,
                const struct store_item *item)
{
  if (item->removed)
    return;
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

static void
on_owner_item (struct records *r, const char *name,
               const struct store_item *item)
{
  struct shard_record *s = records_shard (r, name);
  if (s == NULL)
    return;
  s->owner_revision = item->removed ? 0 : item->revision;
  s->owner_lease = item->lease;
  s->owner[0] = '\0';
  if (item->removed)
    s->ownerless_since = entry_now ();
  else
    snprintf (s->owner, sizeof s->owner, "%s", item->value);
  owners_shard_owner_update (r->entry->owners, s);
}

/* Takes over the pending jobs that the owner of S has published in O.  */
static void
pending_decode (struct shard_record *s, struct json_object *o)
{
  struct json_object *queues = NULL;
  free (s->pending);
  s->pending = NULL;
  s->pending_count = 0;
  s->pending_revision = json_int_or (o, "revision", 0);
  if (!json_object_object_get_ex (o, "pending", &queues)
      || !json_object_is_type (queues, json_type_object))
    return;
  size_t n = (size_t)json_object_object_length (queues);
  s->pending = calloc (n + 1, sizeof *s->pending);
  assert (s->pending != NULL);
  json_object_object_foreach (queues, queue, jobs)
  {
    struct queue_pending *p = &s->pending[s->pending_count++];
    snprintf (p->queue, sizeof p->queue, "%s", queue);
    p->jobs = (size_t)json_object_get_int64 (jobs);
  }
}

static void
on_load_item (struct records *r, const char *name,
              const struct store_item *item)
{
  struct shard_record *s = records_shard (r, name);
  struct rr_error err = { 0 };
  struct json_object *o
      = s == NULL || item->removed
            ? NULL
            : json_parse (item->value, item->value_length, &err);
  if (o == NULL)
    return;
  s->capacity_milli = json_int_or (o, "capacity", 0);
  s->demand_milli = json_int_or (o, "demand", 0);
  s->non_best_effort_cores_milli = json_int_or (o, "firm", 0);
  s->largest_free_cores_milli = json_int_or (o, "largest", 0);
  pending_decode (s, o);
  json_object_put (o);
}

static void
on_membership_item (struct records *r, const char *name,
                    const struct store_item *item)
{
  struct shard_record *s = records_shard (r, name);
  if (s == NULL || item->removed)
    return;
  if (item->revision > s->membership_revision)
    s->membership_revision = item->revision;
  free (s->stored_membership);
  s->stored_membership = strdup (item->value);
}

static void
on_daemon_item (struct records *r, const char *name,
                const struct store_item *item)
{
  struct rr_handle h = rr_key_index_get (r->daemon_index, name);
  struct daemon_record *d = rr_table_get (r->daemons, h);
  log_event (LOG_LEVEL_INFO, item->removed ? "peer_lost" : "peer_seen",
             "peer=%s revision=%lld", name, (long long)item->revision);
  if (item->removed)
    {
      if (d == NULL)
        return;
      rr_key_index_remove (r->daemon_index, name);
      rr_table_remove (r->daemons, h);
      return;
    }
  if (d == NULL)
    {
      d = rr_table_insert (r->daemons, &h);
      rr_key_index_put (r->daemon_index, name, h);
    }
  snprintf (d->name, sizeof d->name, "%s", name);
  struct rr_error err = { 0 };
  struct json_object *o = json_parse (item->value, item->value_length, &err);
  snprintf (d->zone, sizeof d->zone, "%s", json_string_or (o, "zone", ""));
  d->cpu_milli = json_int_or (o, "cpu", CPU_DEFAULT_MILLI);
  d->link_kbit = json_int_or (o, "link", LINK_DEFAULT_KBIT);
  d->peer.port = 0;
  const char *peer = json_string_or (o, "peer", "");
  if (peer[0] != '\0' && !settings_parse_peer (peer, &d->peer))
    log_event (LOG_LEVEL_WARN, "peer_address_unusable", "peer=%s address=%s",
               name, peer);
  peers_daemon_update (r->entry->peers, d);
  json_object_put (o);
}

/* Sets the number of shards, which never changes afterwards.  */
static void
on_partitioning_item (struct records *r, const struct store_item *item)
{
  struct rr_error err = { 0 };
  struct json_object *o
      = item->removed ? NULL
                      : json_parse (item->value, item->value_length, &err);
  int64_t n = json_int_or (o, "shards", 0);
  int64_t format = json_int_or (o, "format", 1);
  json_object_put (o);
  if (r->shard_count > 0 || item->removed)
    return;
  if (format != KEY_FORMAT || n < 1 || n > SHARDS_MAX)
    {
      log_event (LOG_LEVEL_ERROR, "layout_unusable",
                 "shards=%lld format=%lld expected_format=%d revision=%lld",
                 (long long)n, (long long)format, KEY_FORMAT,
                 (long long)item->revision);
      return;
    }
  r->shard_count = (size_t)n;
  for (size_t i = 0; i < r->shard_count; i++)
    {
      struct shard_record *s = &r->shards[i];
      snprintf (s->name, sizeof s->name, "s%zu", i);
      s->ownerless_since = entry_now ();
    }
  log_event (LOG_LEVEL_INFO, "layout", "shards=%lld revision=%lld",
             (long long)n, (long long)item->revision);
  if (r->entry->workers_cache != NULL)
    owners_partitioned (r->entry->owners);
}

static void
on_project_item (void *data, const struct store_item *item)
{
  struct records *r = data;
  static const struct
  {
    const char *prefix;
    void (*handle) (struct records *, const char *, const struct store_item *);
  } handlers[] = { { KEY_JOB, on_job_item },
                   { KEY_CANCEL, on_cancel_item },
                   { KEY_OWNER, on_owner_item },
                   { KEY_LOAD, on_load_item },
                   { KEY_MEMBERSHIP, on_membership_item },
                   { KEY_DAEMON, on_daemon_item } };
  if (strcmp (item->key, KEY_PARTITIONING) == 0)
    on_partitioning_item (r, item);
  for (size_t i = 0; i < sizeof handlers / sizeof handlers[0]; i++)
    {
      size_t n = strlen (handlers[i].prefix);
      if (strncmp (item->key, handlers[i].prefix, n) != 0)
        continue;
      if (strlen (item->key + n) < RR_JOB_NAME_SIZE)
        handlers[i].handle (r, item->key + n, item);
      return;
    }
}

static void
on_worker_item (void *data, const struct store_item *item)
{
  struct records *r = data;
  struct rr_handle h = rr_key_index_get (r->worker_index, item->key);
  struct worker_record *known = rr_table_get (r->workers, h);
  struct platform_worker w;
  struct rr_error err = { 0 };
  uint64_t digest = 0;
  if (!item->removed)
    digest = platform_worker_digest (item->value, item->value_length);
  if (known != NULL && !item->removed && digest == known->digest)
    return;
  bool usable = !item->removed
                && platform_worker_decode (item->key, item->value,
                                           item->value_length, &w, &err);
  if (!item->removed && !usable)
    log_event (LOG_LEVEL_WARN, "vm_entry_unusable", "key=%s %s", item->key,
               err.message);
  if (!usable)
    {
      if (known == NULL)
        return;
      owners_worker_unlist (r->entry->owners, &known->worker);
      rr_key_index_remove (r->worker_index, item->key);
      rr_table_remove (r->workers, h);
      return;
    }
  if (known == NULL)
    {
      known = rr_table_insert (r->workers, &h);
      rr_key_index_put (r->worker_index, item->key, h);
    }
  known->worker = w;
  known->digest = digest;
  known->shard = NULL; /* its rack may have changed */
  owners_worker_update (r->entry->owners, &known->worker);
}

static void
on_config_item (void *data, const struct store_item *item)
{
  struct records *r = data;
  struct entry *e = r->entry;
  struct rr_error err = { 0 };
  if (item->removed || strcmp (item->key, PLATFORM_CONFIG_KEY) != 0)
    return;
  struct rr_queues *q
      = platform_config_decode (item->value, item->value_length, &err);
  if (q == NULL || (e->queues != NULL && q->version <= e->queues->version))
    {
      log_event (LOG_LEVEL_WARN, "config_ignored", "revision=%lld %s",
                 (long long)item->revision,
                 q == NULL ? err.message : "its version is not newer");
      rr_queues_free (q);
      return;
    }
  log_event (LOG_LEVEL_INFO, "config_applied",
             "version=%lld before=%lld routes=%zu revision=%lld",
             (long long)q->version,
             e->queues == NULL ? 0LL : (long long)e->queues->version,
             q->route_count, (long long)item->revision);
  rr_queues_free (e->queues);
  e->queues = q;
  owners_queues_update (e->owners);
}

/* Creates the records and starts to fill them from the store.  The owners of E
   must have been created before.  */
struct records *
records_open (struct entry *e)
{
  struct records *r = calloc (1, sizeof *r);
  assert (r != NULL);
  r->entry = e;
  r->jobs = rr_table_new (sizeof (struct job_record));
  r->job_index = rr_key_index_new ();
  r->daemons = rr_table_new (sizeof (struct daemon_record));
  r->daemon_index = rr_key_index_new ();
  r->workers = rr_table_new (sizeof (struct worker_record));
  r->worker_index = rr_key_index_new ();
  e->records = r;
  e->records_cache = store_cache_open (e, KEY_ROOT, on_project_item, r);
  e->workers_cache
      = store_cache_open (e, PLATFORM_WORKERS_PREFIX, on_worker_item, r);
  e->config_cache
      = store_cache_open (e, PLATFORM_CONFIG_KEY, on_config_item, r);
  owners_caches_opened (e->owners);
  return r;
}
