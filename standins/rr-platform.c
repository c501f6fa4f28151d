#include <fnmatch.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "common/log.h"
#include "standins/store.h"
#include "standins/tool.h"

enum
{
  VMS_POLL_MS = 50,
  VM_LIST_DEPTH_MAX = 1000 /* deeper than the daemons read */
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

/* A call held back by the "delay_ms" fault.  */
struct delayed_call
{
  uv_timer_t timer;
  enum call_kind kind;
  bool inside;
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
  struct json_object *vms;
  const char *vms_path;
  const char *behind_zone; /* reached through a relay; null: none */
  int64_t relay_offset;    /* of the relay's ports */
  bool inside;             /* the call in hand came from that zone */
  int64_t vms_lag_ms;
  bool down;
  bool unavailable;
  int64_t delay_ms;
  int64_t calls[CALL_KINDS];
  int64_t faulted;
  int64_t bytes_in;
} platform;

static void
shift_port (struct json_object *vm, const char *field)
{
  int64_t port = json_int_or (vm, field, 0);
  if (port > 0)
    json_add_int (vm, field, port + platform.relay_offset);
}

/* Returns the VM list with the addresses that lead from one side of the relay
   to the other.  */
static struct json_object *
vms_as_seen (bool inside)
{
  struct json_object *list = NULL;
  if (platform.behind_zone == NULL)
    return json_object_get (platform.vms);
  json_object_deep_copy (platform.vms, &list, NULL);
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      struct json_object *vm = json_object_array_get_idx (list, i);
      bool behind
          = strcmp (json_string_or (vm, "zone", ""), platform.behind_zone)
            == 0;
      if (behind == inside)
        continue;
      shift_port (vm, "rpc_port");
      if (strcmp (json_string_or (vm, "role", ""), "entry") != 0)
        shift_port (vm, "http_port");
    }
  return list;
}

/* Answers with the VM list, or with 304 when the caller has it already.  */
static void
serve_vms (struct http_exchange *x)
{
  struct json_object *o = tool_object ("vms:o", vms_as_seen (platform.inside));
  const char *text = json_text (o);
  char etag[24];
  snprintf (etag, sizeof etag, "\"%016llx\"",
            (unsigned long long)XXH64 (text, strlen (text), 0));
  const char *have = http_exchange_header (x, "If-None-Match");
  bool same = have != NULL && strcmp (have, etag) == 0;
  struct http_header headers[]
      = { { "ETag", etag }, { "content-type", "application/json" } };
  http_exchange_respond (x, same ? 304 : 200, headers, same ? 1 : 2,
                         same ? "" : text, same ? 0 : strlen (text));
  json_object_put (o);
}

/* Runs one call of the platform's protocol; BODY may be null.  */
static void
serve_call (enum call_kind kind, struct http_exchange *x,
            struct json_object *body)
{
  char *path = strdup (http_exchange_path (x));
  switch (kind)
    {
    case CALL_GET:
      store_get (x, path + strlen ("/kv/"));
      break;
    case CALL_PUT:
      store_put (x, path + strlen ("/kv/"), body);
      break;
    case CALL_DELETE:
      store_delete (x, path + strlen ("/kv/"));
      break;
    case CALL_WATCH:
      store_watch (x, path + strlen ("/watch/"));
      break;
    case CALL_LEASE:
      if (body != NULL)
        store_create_lease (x, body);
      else
        store_lease (x, path + strlen ("/leases/"));
      break;
    case CALL_VMS:
    case CALL_KINDS:
      serve_vms (x);
    }
  free (path);
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
    tool_respond_error (x, 503, RR_ERROR_UNAVAILABLE,
                        "the platform is unavailable");
  return true;
}

static void
on_delay_over (uv_timer_t *timer)
{
  struct delayed_call *d = timer->data;
  platform.inside = d->inside;
  if (fail_in_outage (d->exchange))
    json_object_put (d->body);
  else
    serve_call (d->kind, d->exchange, d->body);
  tool_close_timer (&d->timer);
}

/* Returns the kind of protocol call in X, or CALL_KINDS.  */
static enum call_kind
call_classify (const struct http_exchange *x)
{
  static const struct
  {
    const char *method;
    const char *path; /* a pattern */
    enum call_kind kind;
  } calls[] = {
    { "GET", "/kv/?*", CALL_GET },
    { "PUT", "/kv/?*", CALL_PUT },
    { "DELETE", "/kv/?*", CALL_DELETE },
    { "GET", "/watch/?*", CALL_WATCH },
    { "GET", "/vms", CALL_VMS },
    { "POST", "/leases", CALL_LEASE },
    { "POST", "/leases/[0-9]*/renew", CALL_LEASE },
    { "DELETE", "/leases/[0-9]*", CALL_LEASE },
  };
  for (size_t i = 0; i < sizeof calls / sizeof calls[0]; i++)
    if (strcmp (http_exchange_method (x), calls[i].method) == 0
        && fnmatch (calls[i].path, http_exchange_path (x), 0) == 0)
      return calls[i].kind;
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
  tool_add (o,
            "total:i writes_applied:i conflicts:i failed_in_outage:i "
            "answers_dropped:i body_bytes_in:i revision:i",
            total, store.writes, store.conflicts, platform.faulted,
            store.dropped, platform.bytes_in, store.revision);
  tool_respond (x, 200, o);
}

/* Changes the faults named in the body; the others stay as they are.  */
static void
serve_faults (struct http_exchange *x)
{
  struct json_object *o = tool_body_json (x);
  if (o == NULL)
    return;
  platform.down = tool_bool_or (o, "down", platform.down);
  platform.unavailable = tool_bool_or (o, "unavailable", platform.unavailable);
  platform.delay_ms = json_int_or (o, "delay_ms", platform.delay_ms);
  store.drop_answers = json_int_or (o, "drop_answers", store.drop_answers);
  json_object_put (o);
  log_event (LOG_LEVEL_INFO, "faults",
             "down=%d unavailable=%d delay_ms=%lld drop_answers=%lld",
             platform.down, platform.unavailable, (long long)platform.delay_ms,
             (long long)store.drop_answers);
  if (platform.down)
    store_abort_watches ();
  tool_respond (x, 200, json_object_new_object ());
}

static void
on_request (void *data, struct http_exchange *x)
{
  platform.inside = data != NULL;
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
        store_save (x);
      else if (post && strcmp (path, "/restore") == 0)
        store_restore (x);
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
  if (kind == CALL_PUT || strcmp (path, "/leases") == 0)
    {
      body = tool_body_json (x);
      if (body == NULL)
        return;
    }
  if (platform.delay_ms <= 0)
    {
      serve_call (kind, x, body);
      return;
    }
  /* The write takes effect after the delay even when the caller has given up
     by then, as with a slow store.  */
  struct delayed_call *d = tool_alloc (sizeof *d);
  d->kind = kind;
  d->inside = platform.inside;
  d->exchange = x;
  d->body = body;
  tool_timer (&store.loop, &d->timer, on_delay_over, d, platform.delay_ms);
}

static struct json_object *
read_vms (struct rr_error *err)
{
  size_t len;
  char *text = tool_read_file (platform.vms_path, &len, err);
  if (text == NULL)
    return NULL;
  struct json_object *o
      = json_parse_nested (text, len, VM_LIST_DEPTH_MAX, err);
  free (text);
  if (o == NULL)
    return NULL;
  struct json_object *list
      = json_object_is_type (o, json_type_object) ? tool_member (o, "vms") : o;
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
  struct pending_vms *p = tool_alloc (sizeof *p);
  p->list = list;
  tool_timer (&store.loop, &p->timer, on_vms_visible, p, platform.vms_lag_ms);
}

int
main (int argc, char **argv)
{
  static struct tool_flag flags[] = {
    PORT_FLAG ("port", "port to listen on"),
    TEXT_FLAG ("vms", "JSON file with the list of VMs, re-read on change",
               NULL),
    INT_FLAG ("vms-lag-ms", "delay until a change of the list shows", 0),
    TEXT_FLAG ("behind-zone", "zone reached through rr-relay", NULL),
    INT_FLAG ("relay-offset", "added to a port for the relay's", 500),
    INT_FLAG ("inside-port", "second port, for that zone (0: none)", 0),
  };
  int code;
  if (!tool_start (argc, argv, "rr-platform",
                   "Key-value store and VM list of the platform, for tests.",
                   flags, 6, &store.loop, &code))
    return code;
  struct rr_error err = { 0 };
  store.keys = json_object_new_object ();
  store.deleted = json_object_new_object ();
  platform.vms_path = flags[1].text;
  platform.vms_lag_ms = flags[2].number;
  platform.behind_zone = flags[3].text;
  platform.relay_offset = flags[4].number;
  platform.vms
      = platform.vms_path == NULL ? json_object_new_array () : read_vms (&err);
  if (platform.vms == NULL)
    return tool_fail ("rr-platform", &err);
  static uv_fs_poll_t poll;
  uv_fs_poll_init (&store.loop, &poll);
  if (platform.vms_path != NULL)
    uv_fs_poll_start (&poll, on_vms_changed, platform.vms_path, VMS_POLL_MS);
  if (tool_listen (&store.loop, flags[0].number, on_request, NULL, &err)
          == NULL
      || (flags[5].number > 0
          && tool_listen (&store.loop, flags[5].number, on_request, &platform,
                          &err)
                 == NULL))
    return tool_fail ("rr-platform", &err);
  uv_run (&store.loop, UV_RUN_DEFAULT);
  return EXIT_SUCCESS;
}
