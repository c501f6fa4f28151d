#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "standins/tool.h"

enum
{
  VALUE_MAX_BYTES = 1024 * 1024,
  WATCH_MAX_MS = 60000,
  VMS_POLL_MS = 50
};

/* Every kind of call, counted separately in GET /stats.  */
enum call_kind
{
  CALL_GET,
  CALL_PUT,
  CALL_DELETE,
  CALL_WATCH,
  CALL_LEASE,
  CALL_VMS,
  CALL_KINDS
};

static const char *const call_names[CALL_KINDS]
    = { "get", "put", "delete", "watch", "lease", "vms" };

struct watcher
{
  struct watcher *next;
  struct http_exchange *exchange;
  char *key;
  int64_t after;
  uv_timer_t timer;
};

struct lease
{
  struct lease *next;
  int64_t id;
  int64_t ttl_ms;
  uv_timer_t timer;
};

/* A call held back by the "delay_ms" fault.  */
struct delayed_call
{
  uv_timer_t timer;
  struct http_exchange *exchange;
  struct json_object *body;
};

/* A VM list read from the file and not yet visible.  */
struct pending_vms
{
  uv_timer_t timer;
  struct json_object *list;
};

static struct
{
  uv_loop_t loop;
  struct json_object *keys;    /* key -> {"value","revision","lease"?} */
  struct json_object *deleted; /* key -> revision of its deletion */
  int64_t revision;
  struct json_object *saved; /* copy of KEYS taken by POST /save */
  int64_t saved_revision;
  struct watcher *watchers;
  struct lease *leases;
  int64_t last_lease;
  struct json_object *vms;
  const char *vms_path;
  int64_t vms_lag_ms;
  bool down;
  bool unavailable;
  int64_t delay_ms;
  int64_t drop_answers;
  int64_t calls[CALL_KINDS];
  int64_t writes;
  int64_t conflicts;
  int64_t faulted;
  int64_t dropped;
  int64_t bytes_in;
} platform;

static struct json_object *
member (struct json_object *o, const char *name)
{
  struct json_object *v = NULL;
  json_object_object_get_ex (o, name, &v);
  return v;
}

static struct json_object *
revision_object (int64_t revision)
{
  struct json_object *o = json_object_new_object ();
  json_add_int (o, "revision", revision);
  return o;
}

/* Answers X the way GET does.  */
static void
respond_key (struct http_exchange *x, const char *key)
{
  struct json_object *entry = member (platform.keys, key);
  if (entry == NULL)
    {
      tool_respond (x, 404, revision_object (platform.revision));
      return;
    }
  struct json_object *o = revision_object (json_int_or (entry, "revision", 0));
  json_add_string (o, "value", json_string_or (entry, "value", ""));
  tool_respond (x, 200, o);
}

static int64_t
key_revision (const char *key)
{
  return json_int_or (member (platform.keys, key), "revision", 0);
}

/* Revision of the last change of KEY, a deletion included.  */
static int64_t
key_change (const char *key)
{
  if (member (platform.keys, key) != NULL)
    return key_revision (key);
  return json_int_or (platform.deleted, key, 0);
}

static void
watcher_remove (struct watcher *w)
{
  struct watcher **at = &platform.watchers;
  while (*at != w)
    at = &(*at)->next;
  *at = w->next;
  free (w->key);
  tool_close_timer (&w->timer);
}

/* Answers the watches of KEY, or of every key when KEY is null.  */
static void
notify_watchers (const char *key)
{
  struct watcher *next;
  for (struct watcher *w = platform.watchers; w != NULL; w = next)
    {
      next = w->next;
      if ((key != NULL && strcmp (w->key, key) != 0)
          || key_change (w->key) <= w->after)
        continue;
      respond_key (w->exchange, w->key);
      watcher_remove (w);
    }
}

static void
key_delete (const char *key)
{
  platform.revision++;
  platform.writes++;
  json_object_object_del (platform.keys, key);
  json_add_int (platform.deleted, key, platform.revision);
}

/* Answers an applied write, unless the "drop_answers" fault is on.  */
static void
respond_write (struct http_exchange *x)
{
  if (platform.drop_answers > 0)
    {
      platform.drop_answers--;
      platform.dropped++;
      http_exchange_abort (x);
      return;
    }
  tool_respond (x, 200, revision_object (platform.revision));
}

static void
respond_conflict (struct http_exchange *x, const char *key)
{
  platform.conflicts++;
  struct json_object *entry = member (platform.keys, key);
  struct json_object *o = revision_object (key_revision (key));
  if (entry != NULL)
    json_add_string (o, "value", json_string_or (entry, "value", ""));
  tool_respond (x, 409, o);
}

static struct lease *
lease_find (int64_t id)
{
  struct lease *l = platform.leases;
  while (l != NULL && l->id != id)
    l = l->next;
  return l;
}

static void
put_key (struct http_exchange *x, const char *key, struct json_object *body)
{
  struct rr_error err = { 0 };
  int64_t expect = 0;
  int64_t lease = json_int_or (body, "lease", 0);
  const char *value = json_get_string (body, "value", &err);
  if (value == NULL || !json_get_int (body, "expect", &expect, &err))
    {
      http_exchange_respond_error (x, 400, &err);
      return;
    }
  if (strlen (value) > VALUE_MAX_BYTES)
    {
      rr_error_set (&err, RR_ERROR_LIMIT, "the value exceeds %d bytes",
                    VALUE_MAX_BYTES);
      http_exchange_respond_error (x, 413, &err);
      return;
    }
  if (lease != 0 && lease_find (lease) == NULL)
    {
      rr_error_set (&err, RR_ERROR_NOT_FOUND, "there is no lease %lld",
                    (long long)lease);
      http_exchange_respond_error (x, 404, &err);
      return;
    }
  if (key_revision (key) != expect)
    {
      respond_conflict (x, key);
      return;
    }
  struct json_object *entry = revision_object (++platform.revision);
  platform.writes++;
  json_add_string (entry, "value", value);
  if (lease != 0)
    json_add_int (entry, "lease", lease);
  json_object_object_add (platform.keys, key, entry);
  json_object_object_del (platform.deleted, key);
  respond_write (x);
  notify_watchers (key);
}

static void
delete_key (struct http_exchange *x, const char *key)
{
  char expect[24];
  if (!http_exchange_query (x, "expect", expect, sizeof expect))
    {
      struct rr_error err = { 0 };
      rr_error_set (&err, RR_ERROR_INVALID, "parameter \"expect\" is missing");
      http_exchange_respond_error (x, 400, &err);
      return;
    }
  if (key_revision (key) != strtoll (expect, NULL, 10)
      || member (platform.keys, key) == NULL)
    {
      respond_conflict (x, key);
      return;
    }
  key_delete (key);
  respond_write (x);
  notify_watchers (key);
}

static void
on_watch_timeout (uv_timer_t *timer)
{
  struct watcher *w = timer->data;
  http_exchange_respond (w->exchange, 204, NULL, 0, "", 0);
  watcher_remove (w);
}

static void
watch_key (struct http_exchange *x, const char *key)
{
  char after[24] = "0";
  char wait[24] = "0";
  http_exchange_query (x, "after", after, sizeof after);
  http_exchange_query (x, "wait_ms", wait, sizeof wait);
  int64_t wait_ms = strtoll (wait, NULL, 10);
  if (key_change (key) > strtoll (after, NULL, 10))
    {
      respond_key (x, key);
      return;
    }
  struct watcher *w = calloc (1, sizeof *w);
  assert (w != NULL);
  w->exchange = x;
  w->key = strdup (key);
  w->after = strtoll (after, NULL, 10);
  w->next = platform.watchers;
  platform.watchers = w;
  uv_timer_init (&platform.loop, &w->timer);
  w->timer.data = w;
  if (wait_ms < 0 || wait_ms > WATCH_MAX_MS)
    wait_ms = WATCH_MAX_MS;
  uv_timer_start (&w->timer, on_watch_timeout, (uint64_t)wait_ms, 0);
}

/* Ends a lease and deletes its keys.  */
static void
lease_end (struct lease *l)
{
  struct lease **at = &platform.leases;
  while (*at != l)
    at = &(*at)->next;
  *at = l->next;
  struct json_object *ended = json_object_new_array ();
  json_object_object_foreach (platform.keys, key, entry)
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
  struct json_object *o = json_object_new_object ();
  json_add_int (o, "id", l->id);
  json_add_int (o, "ttl_ms", l->ttl_ms);
  tool_respond (x, 200, o);
}

static void
call_lease (struct http_exchange *x, const char *path,
            struct json_object *body)
{
  struct rr_error err = { 0 };
  if (*path == '\0')
    {
      int64_t ttl = 0;
      if (!json_get_int (body, "ttl_ms", &ttl, &err) || ttl < 1)
        {
          rr_error_set (&err, RR_ERROR_INVALID, "ttl_ms must be positive");
          http_exchange_respond_error (x, 400, &err);
          return;
        }
      struct lease *l = calloc (1, sizeof *l);
      assert (l != NULL);
      l->id = ++platform.last_lease;
      l->ttl_ms = ttl;
      l->next = platform.leases;
      platform.leases = l;
      uv_timer_init (&platform.loop, &l->timer);
      l->timer.data = l;
      uv_timer_start (&l->timer, on_lease_expired, (uint64_t)ttl, 0);
      respond_lease (x, l);
      return;
    }
  char *rest = NULL;
  struct lease *l = lease_find (strtoll (path + 1, &rest, 10));
  if (l == NULL)
    {
      rr_error_set (&err, RR_ERROR_NOT_FOUND, "there is no such lease");
      http_exchange_respond_error (x, 404, &err);
    }
  else if (strcmp (rest, "/renew") == 0)
    {
      uv_timer_start (&l->timer, on_lease_expired, (uint64_t)l->ttl_ms, 0);
      respond_lease (x, l);
    }
  else
    {
      respond_lease (x, l);
      lease_end (l);
    }
}

/* Runs one call of the platform's protocol; BODY may be null.  */
static void
serve_call (struct http_exchange *x, struct json_object *body)
{
  const char *path = http_exchange_path (x);
  if (strncmp (path, "/kv/", 4) == 0)
    {
      char *key = strdup (path + 4);
      if (strcmp (http_exchange_method (x), "PUT") == 0)
        put_key (x, key, body);
      else if (strcmp (http_exchange_method (x), "DELETE") == 0)
        delete_key (x, key);
      else
        respond_key (x, key);
      free (key);
    }
  else if (strncmp (path, "/watch/", 7) == 0)
    watch_key (x, path + 7);
  else if (strncmp (path, "/leases", 7) == 0)
    call_lease (x, path + 7, body);
  else
    {
      struct json_object *o = json_object_new_object ();
      json_object_object_add (o, "vms", json_object_get (platform.vms));
      tool_respond (x, 200, o);
    }
  json_object_put (body);
}

/* Fails X as the current outage does, without an effect on the store.  */
static bool
fail_in_outage (struct http_exchange *x)
{
  if (!platform.down && !platform.unavailable)
    return false;
  platform.faulted++;
  if (platform.down)
    http_exchange_abort (x);
  else
    {
      struct rr_error err = { 0 };
      rr_error_set (&err, RR_ERROR_UNAVAILABLE, "the platform is unavailable");
      http_exchange_respond_error (x, 503, &err);
    }
  return true;
}

static void
on_delay_over (uv_timer_t *timer)
{
  struct delayed_call *d = timer->data;
  if (fail_in_outage (d->exchange))
    json_object_put (d->body);
  else
    serve_call (d->exchange, d->body);
  tool_close_timer (&d->timer);
}

/* Returns the kind of protocol call in X, or CALL_KINDS.  */
static enum call_kind
call_classify (const struct http_exchange *x)
{
  const char *m = http_exchange_method (x);
  const char *path = http_exchange_path (x);
  bool get = strcmp (m, "GET") == 0;
  bool remove = strcmp (m, "DELETE") == 0;
  if (strncmp (path, "/kv/", 4) == 0 && path[4] != '\0')
    {
      if (get)
        return CALL_GET;
      if (remove)
        return CALL_DELETE;
      return strcmp (m, "PUT") == 0 ? CALL_PUT : CALL_KINDS;
    }
  if (get && strncmp (path, "/watch/", 7) == 0)
    return CALL_WATCH;
  if (get && strcmp (path, "/vms") == 0)
    return CALL_VMS;
  if (strcmp (m, "POST") == 0 && strcmp (path, "/leases") == 0)
    return CALL_LEASE;
  if (strncmp (path, "/leases/", 8) != 0)
    return CALL_KINDS;
  const char *slash = strchr (path + 8, '/');
  if (remove && slash == NULL)
    return CALL_LEASE;
  if (strcmp (m, "POST") == 0 && slash != NULL
      && strcmp (slash, "/renew") == 0)
    return CALL_LEASE;
  return CALL_KINDS;
}

static void
serve_stats (struct http_exchange *x)
{
  struct json_object *o = json_object_new_object ();
  int64_t total = 0;
  for (int i = 0; i < CALL_KINDS; i++)
    {
      json_add_int (o, call_names[i], platform.calls[i]);
      total += platform.calls[i];
    }
  json_add_int (o, "total", total);
  json_add_int (o, "writes_applied", platform.writes);
  json_add_int (o, "conflicts", platform.conflicts);
  json_add_int (o, "failed_in_outage", platform.faulted);
  json_add_int (o, "answers_dropped", platform.dropped);
  json_add_int (o, "body_bytes_in", platform.bytes_in);
  json_add_int (o, "revision", platform.revision);
  tool_respond (x, 200, o);
}

static bool
bool_or (struct json_object *o, const char *name, bool fallback)
{
  struct json_object *v = member (o, name);
  return v == NULL ? fallback : (bool)json_object_get_boolean (v);
}

/* Changes the faults named in the body; the others stay as they are.  */
static void
serve_faults (struct http_exchange *x)
{
  struct json_object *o = tool_body_json (x);
  if (o == NULL)
    return;
  platform.down = bool_or (o, "down", platform.down);
  platform.unavailable = bool_or (o, "unavailable", platform.unavailable);
  platform.delay_ms = json_int_or (o, "delay_ms", platform.delay_ms);
  platform.drop_answers
      = json_int_or (o, "drop_answers", platform.drop_answers);
  json_object_put (o);
  log_event (LOG_LEVEL_INFO, "faults",
             "down=%d unavailable=%d delay_ms=%lld drop_answers=%lld",
             platform.down, platform.unavailable, (long long)platform.delay_ms,
             (long long)platform.drop_answers);
  while (platform.down && platform.watchers != NULL)
    {
      http_exchange_abort (platform.watchers->exchange);
      watcher_remove (platform.watchers);
    }
  tool_respond (x, 200, json_object_new_object ());
}

static void
serve_save (struct http_exchange *x)
{
  json_object_put (platform.saved);
  platform.saved = NULL;
  json_object_deep_copy (platform.keys, &platform.saved, NULL);
  platform.saved_revision = platform.revision;
  tool_respond (x, 200, revision_object (platform.revision));
}

/* Puts the saved keys back.  The store revision goes on growing, as the
   platform promises, unless the body asks for "rewind_revision": a store
   restored from a backup without its revision counter.  */
static void
serve_restore (struct http_exchange *x)
{
  struct json_object *o = tool_body_json (x);
  if (o == NULL)
    return;
  if (platform.saved == NULL)
    {
      json_object_put (o);
      tool_respond_reason (x, 409, "nothing-saved");
      return;
    }
  json_object_put (platform.keys);
  platform.keys = NULL;
  json_object_deep_copy (platform.saved, &platform.keys, NULL);
  json_object_put (platform.deleted);
  platform.deleted = json_object_new_object ();
  if (bool_or (o, "rewind_revision", false))
    platform.revision = platform.saved_revision;
  json_object_put (o);
  notify_watchers (NULL);
  tool_respond (x, 200, revision_object (platform.revision));
}

static void
on_request (void *data, struct http_exchange *x)
{
  (void)data;
  const char *path = http_exchange_path (x);
  bool post = strcmp (http_exchange_method (x), "POST") == 0;
  enum call_kind kind = call_classify (x);
  if (kind == CALL_KINDS)
    {
      if (strcmp (path, "/stats") == 0)
        serve_stats (x);
      else if (post && strcmp (path, "/faults") == 0)
        serve_faults (x);
      else if (post && strcmp (path, "/save") == 0)
        serve_save (x);
      else if (post && strcmp (path, "/restore") == 0)
        serve_restore (x);
      else
        tool_respond_reason (x, 404, "no-such-call");
      return;
    }
  platform.calls[kind]++;
  size_t len;
  http_exchange_body (x, &len);
  platform.bytes_in += (int64_t)len;
  if (fail_in_outage (x))
    return;
  struct json_object *body = NULL;
  bool has_body = kind == CALL_PUT
                  || (kind == CALL_LEASE && strcmp (path, "/leases") == 0);
  if (has_body)
    {
      body = tool_body_json (x);
      if (body == NULL)
        return;
    }
  if (platform.delay_ms <= 0)
    {
      serve_call (x, body);
      return;
    }
  /* The write takes effect after the delay even when the caller has given up
     by then, as with a slow store.  */
  struct delayed_call *d = calloc (1, sizeof *d);
  assert (d != NULL);
  d->exchange = x;
  d->body = body;
  uv_timer_init (&platform.loop, &d->timer);
  d->timer.data = d;
  uv_timer_start (&d->timer, on_delay_over, (uint64_t)platform.delay_ms, 0);
}

static struct json_object *
read_vms (struct rr_error *err)
{
  size_t len;
  char *text = tool_read_file (platform.vms_path, &len, err);
  if (text == NULL)
    return NULL;
  struct json_object *o = json_parse (text, len, err);
  free (text);
  if (o == NULL)
    return NULL;
  struct json_object *list
      = json_object_is_type (o, json_type_object) ? member (o, "vms") : o;
  if (!json_object_is_type (list, json_type_array))
    {
      rr_error_set (err, RR_ERROR_INVALID, "%s holds no list of VMs",
                    platform.vms_path);
      list = NULL;
    }
  json_object_get (list);
  json_object_put (o);
  return list;
}

static void
on_vms_visible (uv_timer_t *timer)
{
  struct pending_vms *p = timer->data;
  json_object_put (platform.vms);
  platform.vms = p->list;
  log_event (LOG_LEVEL_INFO, "vms_changed", "count=%zu",
             json_object_array_length (p->list));
  tool_close_timer (&p->timer);
}

static void
on_vms_changed (uv_fs_poll_t *poll, int status, const uv_stat_t *prev,
                const uv_stat_t *curr)
{
  (void)poll;
  (void)prev;
  (void)curr;
  struct rr_error err = { 0 };
  struct json_object *list = status == 0 ? read_vms (&err) : NULL;
  if (list == NULL)
    {
      log_event (LOG_LEVEL_WARN, "vms_unreadable", "reason=\"%s\"",
                 status == 0 ? err.message : uv_strerror (status));
      return;
    }
  struct pending_vms *p = calloc (1, sizeof *p);
  assert (p != NULL);
  p->list = list;
  uv_timer_init (&platform.loop, &p->timer);
  p->timer.data = p;
  uv_timer_start (&p->timer, on_vms_visible, (uint64_t)platform.vms_lag_ms, 0);
}

int
main (int argc, char **argv)
{
  static struct tool_flag flags[] = {
    PORT_FLAG ("port", "port to listen on"),
    TEXT_FLAG ("vms", "JSON file with the list of VMs, re-read on change",
               NULL),
    INT_FLAG ("vms-lag-ms", "delay until a change of the list shows", 0),
  };
  int code;
  if (!tool_start (argc, argv, "rr-platform",
                   "Key-value store and VM list of the platform, for tests.",
                   flags, 3, &platform.loop, &code))
    return code;
  struct rr_error err = { 0 };
  platform.keys = json_object_new_object ();
  platform.deleted = json_object_new_object ();
  platform.vms_path = flags[1].text;
  platform.vms_lag_ms = flags[2].number;
  platform.vms
      = platform.vms_path == NULL ? json_object_new_array () : read_vms (&err);
  if (platform.vms == NULL)
    return tool_fail ("rr-platform", &err);
  static uv_fs_poll_t poll;
  uv_fs_poll_init (&platform.loop, &poll);
  if (platform.vms_path != NULL)
    uv_fs_poll_start (&poll, on_vms_changed, platform.vms_path, VMS_POLL_MS);
  if (tool_listen (&platform.loop, flags[0].number, on_request, NULL, &err)
      == NULL)
    return tool_fail ("rr-platform", &err);
  uv_run (&platform.loop, UV_RUN_DEFAULT);
  return EXIT_SUCCESS;
}
