#include <stdlib.h>
#include <string.h>

#include "standins/store.h"
#include "standins/tool.h"

enum
{
  VALUE_MAX_BYTES = 1024 * 1024,
  WATCH_MAX_MS = 60000
};

struct store store;

/* Answers X with the entry of KEY, if any, and its revision or else REVISION.
 */
static void
respond_entry (struct http_exchange *x, int status, const char *key,
               int64_t revision)
{
  struct json_object *entry = tool_member (store.keys, key);
  struct json_object *o
      = tool_object ("revision:i", json_int_or (entry, "revision", revision));
  if (entry != NULL)
    json_add_string (o, "value", json_string_or (entry, "value", ""));
  tool_respond (x, status, o);
}

/* Answers X the way GET does.  */
void
store_get (struct http_exchange *x, const char *key)
{
  bool found = tool_member (store.keys, key) != NULL;
  respond_entry (x, found ? 200 : 404, key, store.revision);
}

static int64_t
key_revision (const char *key)
{
  return json_int_or (tool_member (store.keys, key), "revision", 0);
}

/* Revision of the last change of KEY, a deletion included.  */
static int64_t
key_change (const char *key)
{
  if (tool_member (store.keys, key) != NULL)
    return key_revision (key);
  return json_int_or (store.deleted, key, 0);
}

static void
watcher_remove (struct watcher *w)
{
  LIST_REMOVE (w, link);
  free (w->key);
  tool_close_timer (&w->timer);
}

/* Answers the watches of KEY, or of every key when KEY is null.  */
static void
notify_watchers (const char *key)
{
  struct watcher *next;
  for (struct watcher *w = LIST_FIRST (&store.watchers); w != NULL; w = next)
    {
      next = LIST_NEXT (w, link);
      if ((key != NULL && strcmp (w->key, key) != 0)
          || key_change (w->key) <= w->after)
        continue;
      store_get (w->exchange, w->key);
      watcher_remove (w);
    }
}

static void
key_delete (const char *key)
{
  store.revision++;
  store.writes++;
  json_object_object_del (store.keys, key);
  json_add_int (store.deleted, key, store.revision);
}

/* Answers an applied write, unless the "drop_answers" fault is on.  */
static void
respond_write (struct http_exchange *x)
{
  if (store.drop_answers > 0)
    {
      store.drop_answers--;
      store.dropped++;
      http_exchange_abort (x);
      return;
    }
  tool_respond (x, 200, tool_object ("revision:i", store.revision));
}

static void
respond_conflict (struct http_exchange *x, const char *key)
{
  store.conflicts++;
  respond_entry (x, 409, key, 0);
}

static struct lease *
lease_find (int64_t id)
{
  struct lease *l = LIST_FIRST (&store.leases);
  while (l != NULL && l->id != id)
    l = LIST_NEXT (l, link);
  return l;
}

/* Serves PUT of KEY with BODY.  */
void
store_put (struct http_exchange *x, const char *key, struct json_object *body)
{
  struct rr_error err = { 0 };
  int64_t expect = 0;
  int64_t lease = json_int_or (body, "lease", 0);
  const char *value = json_get_string (body, "value", &err);
  if (value == NULL || !json_get_int (body, "expect", &expect, &err))
    http_exchange_respond_error (x, 400, &err);
  else if (strlen (value) > VALUE_MAX_BYTES)
    tool_respond_error (x, 413, RR_ERROR_LIMIT, "the value exceeds %d bytes",
                        VALUE_MAX_BYTES);
  else if (lease != 0 && lease_find (lease) == NULL)
    tool_respond_error (x, 404, RR_ERROR_NOT_FOUND, "there is no lease %lld",
                        (long long)lease);
  else if (key_revision (key) != expect)
    respond_conflict (x, key);
  else
    {
      struct json_object *entry
          = tool_object ("revision:i value:s", ++store.revision, value);
      store.writes++;
      if (lease != 0)
        json_add_int (entry, "lease", lease);
      json_object_object_add (store.keys, key, entry);
      json_object_object_del (store.deleted, key);
      respond_write (x);
      notify_watchers (key);
    }
}

static int64_t
query_int (struct http_exchange *x, const char *name, int64_t fallback)
{
  char text[24];
  return http_exchange_query (x, name, text, sizeof text)
             ? strtoll (text, NULL, 10)
             : fallback;
}

/* Serves DELETE of KEY.  */
void
store_delete (struct http_exchange *x, const char *key)
{
  int64_t expect = query_int (x, "expect", -1);
  if (expect < 0)
    tool_respond_error (x, 400, RR_ERROR_INVALID, "\"expect\" is missing");
  else if (key_revision (key) != expect || expect == 0)
    respond_conflict (x, key);
  else
    {
      key_delete (key);
      respond_write (x);
      notify_watchers (key);
    }
}

static void
on_watch_timeout (uv_timer_t *timer)
{
  struct watcher *w = timer->data;
  http_exchange_respond (w->exchange, 204, NULL, 0, "", 0);
  watcher_remove (w);
}

/* Serves a watch of KEY by long polling.  */
void
store_watch (struct http_exchange *x, const char *key)
{
  int64_t after = query_int (x, "after", 0);
  int64_t wait_ms = query_int (x, "wait_ms", 0);
  if (key_change (key) > after)
    {
      store_get (x, key);
      return;
    }
  struct watcher *w = tool_alloc (sizeof *w);
  w->exchange = x;
  w->key = strdup (key);
  w->after = after;
  LIST_INSERT_HEAD (&store.watchers, w, link);
  tool_timer (&store.loop, &w->timer, on_watch_timeout, w,
              wait_ms < WATCH_MAX_MS ? wait_ms : WATCH_MAX_MS);
}

/* Ends a lease and deletes its keys.  */
static void
lease_end (struct lease *l)
{
  LIST_REMOVE (l, link);
  struct json_object *ended = json_object_new_array ();
  json_object_object_foreach (store.keys, key, entry)
  {
    if (json_int_or (entry, "lease", 0) == l->id)
      json_object_array_add (ended, json_object_new_string (key));
  }
  for (size_t i = 0; i < json_object_array_length (ended); i++)
    {
      const char *gone
          = json_object_get_string (json_object_array_get_idx (ended, i));
      key_delete (gone);
      notify_watchers (gone);
    }
  json_object_put (ended);
  tool_close_timer (&l->timer);
}

static void
on_lease_expired (uv_timer_t *timer)
{
  lease_end (timer->data);
}

static void
respond_lease (struct http_exchange *x, const struct lease *l)
{
  tool_respond (x, 200, tool_object ("id:i ttl_ms:i", l->id, l->ttl_ms));
}

/* Creates a lease with the time to live that BODY names.  */
void
store_create_lease (struct http_exchange *x, struct json_object *body)
{
  int64_t ttl_ms = json_int_or (body, "ttl_ms", 0);
  if (ttl_ms < 1)
    {
      tool_respond_error (x, 400, RR_ERROR_INVALID, "ttl_ms must be positive");
      return;
    }
  struct lease *l = tool_alloc (sizeof *l);
  l->id = ++store.last_lease;
  l->ttl_ms = ttl_ms;
  LIST_INSERT_HEAD (&store.leases, l, link);
  tool_timer (&store.loop, &l->timer, on_lease_expired, l, ttl_ms);
  respond_lease (x, l);
}

/* Renews or ends the lease that PATH names.  */
void
store_lease (struct http_exchange *x, const char *path)
{
  char *rest = NULL;
  struct lease *l = lease_find (strtoll (path, &rest, 10));
  bool renew = strcmp (rest, "/renew") == 0;
  if (l == NULL)
    {
      tool_respond_error (x, 404, RR_ERROR_NOT_FOUND, "no such lease");
      return;
    }
  respond_lease (x, l);
  if (renew)
    uv_timer_start (&l->timer, on_lease_expired, (uint64_t)l->ttl_ms, 0);
  else
    lease_end (l);
}

/* Keeps a copy of all keys in memory.  */
void
store_save (struct http_exchange *x)
{
  json_object_put (store.saved);
  store.saved = NULL;
  json_object_deep_copy (store.keys, &store.saved, NULL);
  store.saved_revision = store.revision;
  tool_respond (x, 200, tool_object ("revision:i", store.revision));
}

/* Puts the saved keys back.  The store revision goes on growing, as the
   platform promises, unless the body asks for "rewind_revision": a store
   restored from a backup without its revision counter.  */
void
store_restore (struct http_exchange *x)
{
  struct json_object *o = tool_body_json (x);
  if (o == NULL)
    return;
  if (store.saved == NULL)
    {
      json_object_put (o);
      tool_respond_reason (x, 409, "nothing-saved");
      return;
    }
  json_object_put (store.keys);
  store.keys = NULL;
  json_object_deep_copy (store.saved, &store.keys, NULL);
  json_object_put (store.deleted);
  store.deleted = json_object_new_object ();
  if (tool_bool_or (o, "rewind_revision", false))
    store.revision = store.saved_revision;
  json_object_put (o);
  notify_watchers (NULL);
  tool_respond (x, 200, tool_object ("revision:i", store.revision));
}

/* Closes the connections of all pending watches.  */
void
store_abort_watches (void)
{
  while (!LIST_EMPTY (&store.watchers))
    {
      struct watcher *w = LIST_FIRST (&store.watchers);
      http_exchange_abort (w->exchange);
      watcher_remove (w);
    }
}
