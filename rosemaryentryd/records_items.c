#include "rosemaryentryd/records_private.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "common/json.h"
#include "common/log.h"
#include "rosemaryentryd/config_view.h"
#include "rosemaryentryd/owners.h"
#include "rosemaryentryd/peers.h"
#include "rosemaryentryd/store_cache.h"

/* Decodes changed keys of the store into the records.  */

static void
on_owner_item (struct records *r, const char *name,
               const struct store_item *item)
{
  struct shard_record *s = records_shard (r, name);
  if (s == NULL)
    return;
  if (!item->removed && item->revision != s->owner_revision)
    s->owner_seen = entry_now ();
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
  if (item->revision <= s->membership_revision)
    return;
  s->membership_revision = item->revision;
  s->membership_seen = entry_now ();
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
      peers_daemon_unregister (r->entry->peers, name);
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
  } handlers[] = { { KEY_JOB, records_job_item },
                   { KEY_CANCEL, records_cancel_item },
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

/* Logs that the entry KEY names no worker, unless it has been logged with the
   same DIGEST.  */
static void
log_unusable_entry (struct records *r, const char *key, uint64_t digest,
                    const struct rr_error *err)
{
  uint64_t *logged
      = &r->unusable_digests[XXH64 (key, strlen (key), 0) % UNUSABLE_DIGESTS];
  if (*logged == digest)
    return;
  *logged = digest;
  log_event (LOG_LEVEL_WARN, "vm_entry_unusable", "key=%s %s", key,
             err->message);
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
    log_unusable_entry (r, item->key, digest, &err);
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
  if (item->removed || strcmp (item->key, PLATFORM_CONFIG_KEY) != 0)
    return;
  struct config_document d = { .text = item->value,
                               .length = item->value_length,
                               .source = CONFIG_FROM_STORE,
                               .origin = item->key,
                               .revision = item->revision };
  config_view_apply (r->entry->config, &d);
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
