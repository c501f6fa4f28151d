#include "rosemaryentryd/shard_private.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryentryd/store_cache.h"

/* Publishes the load of the shard to the other daemons through the store.  */

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
  store_put_if (s->entry->store, &cond, &w,
                entry_store_timeout_ms (s->entry, COMMIT_TIMEOUT_MS),
                on_load_written, s);
  json_object_put (value);
}
