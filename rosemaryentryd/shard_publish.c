#include "rosemaryentryd/shard_private.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "rosemaryentryd/store_cache.h"

/* Publishes the shard's state to the other daemons through the store: the
   membership record, which lists the workers that the owner may use, and the
   load.  */

/* Parses a stored membership record.  Returns the list of worker ids, which
   the caller releases, and sets ORDINAL to that of the owner that wrote it.
   TEXT is null when no record is stored.  */
struct json_object *
shard_membership_parse (const char *text, int64_t *ordinal)
{
  struct rr_error err = { 0 };
  struct json_object *o
      = text == NULL ? NULL : json_parse (text, strlen (text), &err);
  struct json_object *stored = json_list_or_null (o, "workers");
  struct json_object *list = json_object_new_array ();
  *ordinal = json_int_or (o, "ordinal", 0);
  for (size_t i = 0; stored != NULL && i < json_object_array_length (stored);
       i++)
    {
      struct json_object *id = json_object_array_get_idx (stored, i);
      if (json_object_is_type (id, json_type_string))
        json_object_array_add (list, json_object_get (id));
    }
  if (text != NULL && o == NULL)
    log_event (LOG_LEVEL_ERROR, "roster_unreadable", "%s", err.message);
  json_object_put (o);
  return list;
}

/* Returns the membership record with the COUNT workers IDS.  */
static char *
membership_text (const struct shard *s, const char *const *ids, size_t count)
{
  struct json_object *list = json_object_new_array ();
  for (size_t i = 0; i < count; i++)
    json_object_array_add (list, json_object_new_string (ids[i]));
  struct json_object *record = json_object_new_object ();
  json_add_int (record, "ordinal", s->ordinal);
  json_object_object_add (record, "workers", list);
  char *text = strdup (json_text (record));
  json_object_put (record);
  return text;
}

static uint64_t
ids_hash (const char *const *ids, size_t count)
{
  uint64_t hash = count;
  for (size_t i = 0; i < count; i++)
    hash = XXH64 (ids[i], strlen (ids[i]), hash);
  return hash;
}

/* Tells the dispatcher which workers are in the stored record, since only
   those may receive tasks.  */
static void
membership_mark_recorded (struct shard *s)
{
  int64_t ordinal;
  struct json_object *list
      = shard_membership_parse (s->membership_record, &ordinal);
  size_t n = json_object_array_length (list);
  for (size_t i = 0; i < n; i++)
    rr_dispatch_worker_mark_recorded (
        s->dispatch,
        json_object_get_string (json_object_array_get_idx (list, i)));
  json_object_put (list);
}

enum
{
  /* Workers of this owner, and of former owners that have not responded.  */
  MEMBERSHIP_MAX = 2 * WORKER_CONNECTIONS_MAX
};

static void
on_membership_written (void *data, const struct store_result *r)
{
  struct shard *s = data;
  s->membership_writing = false;
  if (!shard_write_ended (s, r, "roster-rejected") || r->state != STORE_OK)
    return;
  free (s->membership_record);
  s->membership_record = s->membership_record_sent;
  s->membership_hash = s->membership_hash_sent;
  s->membership_record_sent = NULL;
  membership_mark_recorded (s);
  shard_schedule_planning (s);
}

/* Writes the membership record if it has changed: the workers that may receive
   tasks or may run some.  A later owner polls all of them before it concludes
   that a task is not running.  */
void
shard_write_membership (struct shard *s)
{
  if (s->membership_writing)
    return;
  const char *ids[MEMBERSHIP_MAX];
  size_t count = rr_dispatch_needed_workers (s->dispatch, ids, MEMBERSHIP_MAX,
                                             entry_now ());
  uint64_t hash = ids_hash (ids, count);
  if (s->membership_record != NULL && hash == s->membership_hash)
    return;
  char *text = membership_text (s, ids, count);
  s->membership_hash_sent = hash;
  char key[KEY_SIZE];
  snprintf (key, sizeof key, "%s%s", KEY_MEMBERSHIP, s->record->name);
  struct store_condition cond = { s->owner_key, s->fencing_token };
  struct store_write w = { .key = key, .value = text };
  free (s->membership_record_sent);
  s->membership_record_sent = text;
  s->membership_writing = true;
  s->calls_in_flight++;
  store_put_if (s->entry->store, &cond, &w, COMMIT_TIMEOUT_MS,
                on_membership_written, s);
}

static void
on_load_written (void *data, const struct store_result *r)
{
  struct shard *s = data;
  (void)r; /* if the write failed, the next load replaces this one */
  s->calls_in_flight--;
  s->load_writing = false;
  shard_free_if_unused (s);
}

/* Publishes the load of the shard, by which the other daemons select a shard
   for new jobs.  */
void
shard_write_load (struct shard *s, struct rr_time now)
{
  if (s->load_writing || rr_time_diff (now, s->load_sent) < LOAD_INTERVAL_MS)
    return;
  struct rr_dispatch_load load;
  rr_dispatch_load_get (s->dispatch, &load, now);
  struct records *records = s->entry->records;
  int64_t revision = store_cache_revision (s->entry->records_cache);
  struct json_object *pending
      = records_pending_encode (records, s->record->name, revision);
  bool pending_changed
      = s->published_pending == NULL
        || strcmp (s->published_pending, json_text (pending)) != 0;
  int64_t demand = load.used_milli + load.queued_core_ms;
  int64_t change = demand - s->published_demand;
  int64_t largest = load.largest_free_cores_milli - s->published_largest;
  if ((change < 0 ? -change : change) * 20 < load.cores_milli
      && (largest < 0 ? -largest : largest) < LOAD_LARGEST_CHANGE_MILLI
      && !s->load_stale && !pending_changed && s->load_sent.ms != 0
      && load.cores_milli == s->record->capacity_milli)
    {
      json_object_put (pending);
      return;
    }
  char key[KEY_SIZE];
  snprintf (key, sizeof key, "%s%s", KEY_LOAD, s->record->name);
  free (s->published_pending);
  s->published_pending = strdup (json_text (pending));
  struct json_object *value = json_object_new_object ();
  json_add_int (value, "capacity", load.cores_milli);
  json_add_int (value, "demand", demand);
  json_add_int (value, "firm", load.non_best_effort_cores_milli);
  json_add_int (value, "largest", load.largest_free_cores_milli);
  json_add_int (value, "revision", revision);
  json_object_object_add (value, "pending", pending);
  struct store_condition cond = { s->owner_key, s->fencing_token };
  struct store_write w = { .key = key, .value = json_text (value) };
  s->load_writing = true;
  s->load_stale = false;
  s->load_sent = now;
  s->published_demand = demand;
  s->published_largest = load.largest_free_cores_milli;
  s->calls_in_flight++;
  store_put_if (s->entry->store, &cond, &w, COMMIT_TIMEOUT_MS, on_load_written,
                s);
  json_object_put (value);
}
