#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "common/base64.h"
#include "rosemaryrail/table.h"
#include "standins/tool.h"

/* Stand-in of a key-value store with transactions, ranges, watches and leases.
   Faults are set through /standin/mode.  */

enum
{
  TICK_MS = 20,
  VALUE_BYTES = 1 << 20,
  PAGE_ITEMS = 500,     /* of a range, and by default of a watch */
  HEARTBEATS_MS = 1300, /* a worker's entry is removed after this silence */
  TEXT_MAX = 256
};

enum mode
{
  MODE_OK,
  MODE_BUSY,  /* 503, nothing is done */
  MODE_SILENT /* done, and never answered */
};

struct item
{
  char key[TEXT_MAX];
  char *value; /* base64 text */
  int64_t revision;
  int64_t created;
  int64_t lease;
  int64_t written_us;
};

struct change
{
  char key[TEXT_MAX];
  char *value; /* null: removed */
  int64_t revision;
  int64_t lease;
};

struct lease
{
  LIST_ENTRY (lease) link;
  int64_t id;
  int64_t ttl_ms;
  int64_t until_us;
};

struct late_read
{
  LIST_ENTRY (late_read) link;
  struct http_exchange *exchange;
};

struct watch
{
  LIST_ENTRY (watch) link;
  struct http_exchange *exchange;
  char prefix[TEXT_MAX];
  int64_t after;
  int64_t until_us;
};

static struct rr_table *items;
static struct rr_key_index *item_index;
static struct change *changes;
static size_t change_count;
static int64_t compacted; /* changes up to this revision are forgotten */
static int64_t revision = 1;
static int64_t last_lease;
LIST_HEAD (lease_list, lease);
static struct lease_list leases;
LIST_HEAD (watch_list, watch);
static struct watch_list watches;
LIST_HEAD (late_read_list, late_read);
static struct late_read_list late_reads;
static enum mode mode;
static bool watches_unanswered; /* other calls are answered */
static int value_bytes;
static int watch_items; /* in an answer to a watch, unless of one revision */
static int64_t config_from_us; /* reads of the configuration wait until then */

static struct item *
item_find (const char *key)
{
  return rr_table_get (items, rr_key_index_get (item_index, key));
}

static void
change_add (const char *key, const char *value, int64_t lease)
{
  struct change *grown
      = realloc (changes, (change_count + 1) * sizeof *changes);
  if (grown == NULL)
    abort ();
  changes = grown;
  struct change *c = &changes[change_count++];
  memset (c, 0, sizeof *c);
  snprintf (c->key, sizeof c->key, "%s", key);
  c->value = value == NULL ? NULL : strdup (value);
  c->revision = revision;
  c->lease = lease;
}

static void
item_put (const char *key, const char *value, int64_t lease)
{
  struct item *it = item_find (key);
  if (it == NULL)
    {
      struct rr_handle h;
      it = rr_table_insert (items, &h);
      snprintf (it->key, sizeof it->key, "%s", key);
      it->created = revision;
      rr_key_index_put (item_index, key, h);
    }
  free (it->value);
  it->value = strdup (value);
  it->revision = revision;
  it->lease = lease;
  it->written_us = tool_now_us ();
  change_add (key, value, lease);
}

static void
item_remove (const char *key)
{
  struct rr_handle h = rr_key_index_get (item_index, key);
  struct item *it = rr_table_get (items, h);
  if (it == NULL)
    return;
  change_add (key, NULL, 0);
  free (it->value);
  rr_key_index_remove (item_index, key);
  rr_table_remove (items, h);
}

static struct json_object *
item_json (const struct item *it)
{
  struct json_object *o = json_object_new_object ();
  json_add_string (o, "key", it->key);
  json_add_string (o, "value", it->value);
  json_add_int (o, "revision", it->revision);
  json_add_int (o, "created", it->created);
  json_add_int (o, "lease", it->lease);
  return o;
}

/* Answers unless the store is silent.  A silent store has done the call; its
   answer is lost with the connection left open.  */
static void
respond (struct http_exchange *x, int status, struct json_object *o)
{
  if (mode == MODE_SILENT)
    {
      json_object_put (o);
      return;
    }
  http_exchange_respond_json (x, status, json_text (o));
  json_object_put (o);
}

static struct json_object *
change_json (const struct change *c)
{
  struct json_object *o = json_object_new_object ();
  json_add_string (o, "key", c->key);
  json_add_int (o, "revision", c->revision);
  if (c->value == NULL)
    json_object_object_add (o, "removed", json_object_new_boolean (true));
  else
    {
      json_add_string (o, "value", c->value);
      json_add_int (o, "lease", c->lease);
    }
  return o;
}

/* Adds the oldest changes that W waits for to EVENTS.  Returns the revision up
   to which they are complete.  */
static int64_t
watch_collect (const struct watch *w, struct json_object *events)
{
  int64_t last = 0;
  for (size_t i = 0; i < change_count; i++)
    {
      if (changes[i].revision <= w->after
          || strncmp (changes[i].key, w->prefix, strlen (w->prefix)) != 0)
        continue;
      if (json_object_array_length (events) >= (size_t)watch_items
          && changes[i].revision != last)
        return last;
      last = changes[i].revision;
      json_object_array_add (events, change_json (&changes[i]));
    }
  return revision;
}

/* Answers W when there is something to tell, or when FORCE is set.  */
static bool
watch_answer (struct watch *w, bool force)
{
  if (watches_unanswered)
    return false;
  struct json_object *events = json_object_new_array ();
  int64_t complete = watch_collect (w, events);
  if (json_object_array_length (events) == 0 && !force)
    {
      json_object_put (events);
      return false;
    }
  struct json_object *o = json_object_new_object ();
  json_object_object_add (o, "events", events);
  json_add_int (o, "currentRev", complete);
  respond (w->exchange, 200, o);
  LIST_REMOVE (w, link);
  free (w);
  return true;
}

static void
watches_wake (void)
{
  struct watch *w = LIST_FIRST (&watches);
  while (w != NULL)
    {
      struct watch *next = LIST_NEXT (w, link);
      watch_answer (w, false);
      w = next;
    }
}

static int64_t
query_int (struct http_exchange *x, const char *name)
{
  char text[64];
  return http_exchange_query (x, name, text, sizeof text)
             ? strtoll (text, NULL, 10)
             : 0;
}

static void
query_text (struct http_exchange *x, const char *name, char *out)
{
  if (!http_exchange_query (x, name, out, TEXT_MAX))
    out[0] = '\0';
}

static void
on_watch (struct http_exchange *x)
{
  struct watch *w = tool_alloc (sizeof *w);
  memset (w, 0, sizeof *w);
  w->exchange = x;
  query_text (x, "prefix", w->prefix);
  w->after = query_int (x, "after");
  w->until_us = tool_now_us () + query_int (x, "waitMs") * 1000;
  if (w->after < compacted)
    {
      respond (x, 410, json_object_new_object ());
      free (w);
      return;
    }
  LIST_INSERT_HEAD (&watches, w, link);
  watch_answer (w, false);
}

static int
compare_items (const void *a, const void *b)
{
  return strcmp ((*(struct item *const *)a)->key,
                 (*(struct item *const *)b)->key);
}

static void
on_range (struct http_exchange *x)
{
  char prefix[TEXT_MAX];
  char after[TEXT_MAX];
  query_text (x, "prefix", prefix);
  query_text (x, "after", after);
  const struct item **found
      = tool_alloc ((rr_table_count (items) + 1) * sizeof (void *));
  size_t n = 0;
  struct rr_handle h = { 0 };
  struct item *it;
  while ((it = rr_table_next (items, &h)) != NULL)
    if (strncmp (it->key, prefix, strlen (prefix)) == 0
        && strcmp (it->key, after) > 0)
      found[n++] = it;
  qsort (found, n, sizeof (void *), compare_items);
  struct json_object *list = json_object_new_array ();
  for (size_t i = 0; i < n && i < PAGE_ITEMS; i++)
    json_object_array_add (list, item_json (found[i]));
  free (found);
  struct json_object *o = json_object_new_object ();
  json_object_object_add (o, "items", list);
  json_object_object_add (o, "truncated",
                          json_object_new_boolean (n > PAGE_ITEMS));
  json_add_int (o, "currentRev", revision);
  respond (x, 200, o);
}

/* Serves a read of a range, or keeps it while reads of the configuration
   wait.  */
static void
on_range_call (struct http_exchange *x)
{
  char prefix[TEXT_MAX];
  query_text (x, "prefix", prefix);
  if (strcmp (prefix, "op/config") != 0 || tool_now_us () >= config_from_us)
    {
      on_range (x);
      return;
    }
  struct late_read *r = tool_alloc (sizeof *r);
  r->exchange = x;
  LIST_INSERT_HEAD (&late_reads, r, link);
}

static void
serve_late_reads (int64_t now)
{
  while (now >= config_from_us && !LIST_EMPTY (&late_reads))
    {
      struct late_read *r = LIST_FIRST (&late_reads);
      LIST_REMOVE (r, link);
      on_range (r->exchange);
      free (r);
    }
}

static void
on_get (struct http_exchange *x)
{
  char key[TEXT_MAX];
  query_text (x, "key", key);
  const struct item *it = item_find (key);
  if (it == NULL)
    {
      respond (x, 404, json_object_new_object ());
      return;
    }
  struct json_object *o = item_json (it);
  json_add_int (o, "currentRev", revision);
  respond (x, 200, o);
}

static struct lease *
lease_find (int64_t id)
{
  struct lease *l = LIST_FIRST (&leases);
  while (l != NULL && l->id != id)
    l = LIST_NEXT (l, link);
  return l;
}

static bool
lease_exists (int64_t id)
{
  return id == 0 || lease_find (id) != NULL;
}

static bool
conditions_hold (struct json_object *conditions, struct json_object *present)
{
  bool hold = true;
  size_t n = conditions == NULL ? 0 : json_object_array_length (conditions);
  for (size_t i = 0; i < n; i++)
    {
      struct json_object *c = json_object_array_get_idx (conditions, i);
      const struct item *it = item_find (json_string_or (c, "key", ""));
      hold = hold
             && json_int_or (c, "revision", 0)
                    == (it == NULL ? 0 : it->revision);
      if (it != NULL)
        json_object_array_add (present, item_json (it));
    }
  return hold;
}

static void
txn_apply (struct json_object *put, struct json_object *removals)
{
  revision++;
  size_t n = put == NULL ? 0 : json_object_array_length (put);
  for (size_t i = 0; i < n; i++)
    {
      struct json_object *p = json_object_array_get_idx (put, i);
      item_put (json_string_or (p, "key", ""), json_string_or (p, "value", ""),
                json_int_or (p, "lease", 0));
    }
  n = removals == NULL ? 0 : json_object_array_length (removals);
  for (size_t i = 0; i < n; i++)
    item_remove (
        json_object_get_string (json_object_array_get_idx (removals, i)));
}

/* Returns whether no value of PUT, in base64, is longer than allowed.  */
static bool
values_fit (struct json_object *put)
{
  size_t n = put == NULL ? 0 : json_object_array_length (put);
  for (size_t i = 0; i < n; i++)
    {
      struct json_object *p = json_object_array_get_idx (put, i);
      size_t length = strlen (json_string_or (p, "value", ""));
      if (length / 4 * 3 > (size_t)value_bytes)
        return false;
    }
  return true;
}

static void
on_txn (struct http_exchange *x)
{
  struct json_object *body = tool_body_json (x);
  if (body == NULL)
    return;
  struct json_object *present = json_object_new_array ();
  struct json_object *put = tool_member (body, "put");
  bool lease_ok = true;
  for (size_t i = 0; put != NULL && i < json_object_array_length (put); i++)
    lease_ok = lease_ok
               && lease_exists (json_int_or (
                   json_object_array_get_idx (put, i), "lease", 0));
  struct json_object *o = json_object_new_object ();
  if (!values_fit (put))
    respond (x, 400, o);
  else if (!conditions_hold (tool_member (body, "expectedRevision"), present))
    {
      json_object_object_add (o, "items", json_object_get (present));
      respond (x, 412, o);
    }
  else if (!lease_ok)
    respond (x, 404, o);
  else
    {
      txn_apply (put, tool_member (body, "delete"));
      json_add_int (o, "revision", revision);
      respond (x, 200, o);
      watches_wake ();
    }
  json_object_put (present);
  json_object_put (body);
}

static void
lease_drop (struct lease *l)
{
  revision++;
  struct rr_handle h = { 0 };
  struct item *it;
  while ((it = rr_table_next (items, &h)) != NULL)
    if (it->lease == l->id)
      {
        char key[TEXT_MAX];
        memcpy (key, it->key, sizeof key);
        item_remove (key);
      }
  LIST_REMOVE (l, link);
  free (l);
  watches_wake ();
}

static void
on_lease (struct http_exchange *x)
{
  struct json_object *body = tool_body_json (x);
  if (body == NULL)
    return;
  struct lease *l = tool_alloc (sizeof *l);
  l->id = ++last_lease;
  l->ttl_ms = json_int_or (body, "ttlMs", 1000);
  l->until_us = tool_now_us () + l->ttl_ms * 1000;
  LIST_INSERT_HEAD (&leases, l, link);
  struct json_object *o = json_object_new_object ();
  json_add_int (o, "lease", l->id);
  json_add_int (o, "ttlMs", l->ttl_ms);
  respond (x, 200, o);
  json_object_put (body);
}

static void
on_lease_call (struct http_exchange *x, int64_t id, bool end)
{
  struct lease *l = lease_find (id);
  struct json_object *o = json_object_new_object ();
  if (l == NULL)
    {
      respond (x, 404, o);
      return;
    }
  json_add_int (o, "ttlMs", l->ttl_ms);
  l->until_us = tool_now_us () + l->ttl_ms * 1000;
  if (end)
    lease_drop (l);
  respond (x, 200, o);
}

static void
on_standin (struct http_exchange *x, const char *what)
{
  struct json_object *body = tool_body_json (x);
  if (body == NULL)
    return;
  if (strcmp (what, "put") == 0)
    {
      const char *value = json_string_or (body, "value", "");
      char *encoded = base64_encode (value, strlen (value));
      revision++;
      item_put (json_string_or (body, "key", ""), encoded, 0);
      free (encoded);
      watches_wake ();
    }
  else if (strcmp (what, "delete") == 0)
    {
      revision++;
      item_remove (json_string_or (body, "key", ""));
      watches_wake ();
    }
  else if (strcmp (what, "compact") == 0)
    {
      compacted = revision;
      watches_unanswered = false;
      while (!LIST_EMPTY (&watches))
        watch_answer (LIST_FIRST (&watches), true);
    }
  else
    {
      const char *name = json_string_or (body, "mode", "ok");
      config_from_us
          = tool_now_us ()
            + json_int_or (body, "config_delay_ms", 0) * INT64_C (1000);
      watches_unanswered = json_int_or (body, "watches_unanswered", 0) != 0;
      mode = strcmp (name, "busy") == 0     ? MODE_BUSY
             : strcmp (name, "silent") == 0 ? MODE_SILENT
                                            : MODE_OK;
    }
  http_exchange_respond_json (x, 200, "{}");
  json_object_put (body);
}

static void
on_request (void *data, struct http_exchange *x)
{
  (void)data;
  const char *path = http_exchange_path (x);
  if (strncmp (path, "/standin/", 9) == 0)
    on_standin (x, path + 9);
  else if (mode == MODE_BUSY)
    http_exchange_respond_json (x, 503, "{}");
  else if (strcmp (path, "/-/kv-key") == 0)
    on_get (x);
  else if (strcmp (path, "/-/kv-range") == 0)
    on_range_call (x);
  else if (strcmp (path, "/-/kv-watch") == 0)
    on_watch (x);
  else if (strcmp (path, "/-/kv-txn") == 0)
    on_txn (x);
  else if (strcmp (path, "/-/kv-lease") == 0)
    on_lease (x);
  else if (strncmp (path, "/-/kv-keep/", 11) == 0)
    on_lease_call (x, strtoll (path + 11, NULL, 10), false);
  else if (strncmp (path, "/-/kv-lease-end/", 16) == 0)
    on_lease_call (x, strtoll (path + 16, NULL, 10), true);
  else
    http_exchange_respond_json (x, 400, "{\"error\":\"no such call\"}");
}

static void
expire_workers (int64_t now)
{
  struct rr_handle h = { 0 };
  struct item *it;
  while ((it = rr_table_next (items, &h)) != NULL)
    if (strncmp (it->key, "servers/", 8) == 0
        && now - it->written_us > HEARTBEATS_MS * INT64_C (1000))
      {
        char key[TEXT_MAX];
        memcpy (key, it->key, sizeof key);
        revision++;
        item_remove (key);
        watches_wake ();
      }
}

static void
on_tick (uv_timer_t *timer)
{
  (void)timer;
  int64_t now = tool_now_us ();
  struct lease *l = LIST_FIRST (&leases);
  while (l != NULL)
    {
      struct lease *next = LIST_NEXT (l, link);
      if (l->until_us < now)
        lease_drop (l);
      l = next;
    }
  expire_workers (now);
  serve_late_reads (now);
  struct watch *w = LIST_FIRST (&watches);
  while (w != NULL)
    {
      struct watch *next = LIST_NEXT (w, link);
      if (w->until_us < now)
        watch_answer (w, true);
      w = next;
    }
}

int
main (int argc, char **argv)
{
  struct tool_flag flags[] = {
    PORT_FLAG ("port", "port to listen on"),
    INT_FLAG ("watch-items", "changes in an answer to a watch", PAGE_ITEMS),
    INT_FLAG ("value-bytes", "longest value in a transaction", VALUE_BYTES)
  };
  uv_loop_t *loop = uv_default_loop ();
  struct rr_error err = { 0 };
  int code;
  if (!tool_start (argc, argv, "rr-kv",
                   "Stand-in of the users' key-value store.", flags, 3, loop,
                   &code))
    return code;
  watch_items = flags[1].number;
  value_bytes = flags[2].number;
  items = rr_table_new (sizeof (struct item));
  item_index = rr_key_index_new ();
  if (tool_listen (loop, flags[0].number, on_request, NULL, &err) == NULL)
    return tool_fail ("rr-kv", &err);
  uv_timer_t tick;
  tool_timer (loop, &tick, on_tick, NULL, TICK_MS);
  uv_timer_set_repeat (&tick, TICK_MS);
  uv_timer_again (&tick);
  uv_run (loop, UV_RUN_DEFAULT);
  return 0;
}
