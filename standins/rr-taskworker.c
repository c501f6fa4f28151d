#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "common/http_client.h"
#include "standins/taskworker.h"
#include "standins/tool.h"

/* Stand-in of a worker on the users' platform: runs tasks under a lease,
   registers itself in rr-kv, and logs every start, change of speed and end.
   What a task does stands in its spec: "work=MS" ("again=MS" for runs after
   the first), "fail=PERCENT", "fails_off_peak" (runs fail early) and
   "cpu=" in thousandths of a core, or "tail=MS" for a latency-critical task,
   which has the tail latency "peak=MS" between one SIGUSR2 and the next.
   "fails_first" lets the first run fail, and "save=BYTES" is the size of the
   task's checkpoint.  "permit" stands in the spec of a task that starts only
   with a valid permit of rr-permits.  */

enum
{
  TICK_MS = 10,
  HEARTBEAT_MS = 400,
  DRAIN_MS = 60000 /* in the entry of a draining worker, which never leaves */
};

struct hold
{
  LIST_ENTRY (hold) link;
  struct http_exchange *exchange;
  int64_t observed;
  int64_t until_us;
};

static const char *id;
static const char *zone;
static const char *kind;
static int port;
static int listed_port;
static int cores_milli;
static int store_port;
static struct http_client *client;
LIST_HEAD (hold_list, hold);
static struct hold_list holds;
static int64_t lease_end_us;
static int64_t lapsed_us; /* when the lease was last found expired */
static int64_t started_ms;
static int64_t born_us;
static int64_t sequence;
static bool draining; /* from SIGUSR1 on */
static bool draining_logged;

static int64_t
clock_ms (void)
{
  return (tool_now_us () - born_us) / 1000;
}

static void
hold_answer (struct hold *h)
{
  struct json_object *o = json_object_new_object ();
  json_add_int (o, "clockMs", clock_ms ());
  json_add_int (o, "born", started_ms);
  json_object_object_add (o, "running", taskruns_running ());
  json_object_object_add (o, "finished", taskruns_finished (h->observed));
  http_exchange_respond_json (h->exchange, 200, json_text (o));
  json_object_put (o);
  LIST_REMOVE (h, link);
  free (h);
}

static void
extend_lease (int64_t deadline)
{
  enum
  {
    LEASE_MAX_MS = 10000
  };
  int64_t now = clock_ms ();
  if (deadline > now + LEASE_MAX_MS)
    {
      deadline = now + LEASE_MAX_MS;
      taskruns_log ("lease_cut", "", 0, "");
    }
  if (deadline > 0 && born_us + deadline * 1000 > lease_end_us)
    lease_end_us = born_us + deadline * 1000;
}

static void
respond_reason (struct http_exchange *x, const char *reason)
{
  char json[128];
  snprintf (json, sizeof json, "{\"clockMs\":%lld,\"reason\":\"%s\"}",
            (long long)clock_ms (), reason);
  http_exchange_respond_json (x, 409, json);
}

static void
respond_clock (struct http_exchange *x)
{
  char json[64];
  snprintf (json, sizeof json, "{\"clockMs\":%lld}", (long long)clock_ms ());
  http_exchange_respond_json (x, 200, json);
}

/* Returns why a start of TASK with the permit TOKEN is refused, or null.  */
static const char *
permit_fault (const char *task, const char *token)
{
  char prefix[2 * TASKWORKER_TEXT_MAX];
  const char *index = strrchr (task, '.');
  int step = index == NULL ? 0 : (int)(index - task);
  int n = snprintf (prefix, sizeof prefix, "%s/%.*s/", id, step, task);
  if (token[0] == '\0')
    return "missing";
  if (strncmp (token, prefix, (size_t)n) != 0)
    return "foreign";
  return strtoll (token + n, NULL, 10) < tool_wall_ms () ? "expired" : NULL;
}

static void
on_start (struct http_exchange *x, struct json_object *body)
{
  const char *task = json_string_or (body, "task", "");
  const char *spec = json_string_or (body, "spec", "");
  struct json_object *text = NULL;
  json_object_object_get_ex (body, "spec", &text);
  int64_t run = json_int_or (body, "run", 0);
  int64_t deadline = json_int_or (body, "deadlineMs", 0);
  int64_t present = taskrun_present (task);
  /* Also from a start that is refused as old.  */
  extend_lease (deadline);
  if (present != 0 && present == run)
    {
      respond_clock (x);
      return;
    }
  if (present != 0 || taskrun_is_sealed (task, run))
    {
      respond_reason (x, "old");
      return;
    }
  if (deadline <= clock_ms ())
    {
      respond_reason (x, "late");
      return;
    }
  const char *fault = NULL;
  if (strstr (spec, "permit") != NULL)
    fault = permit_fault (task, json_string_or (body, "ticket", ""));
  if (fault != NULL)
    {
      taskruns_log ("not_permitted", task, run, fault);
      respond_reason (x, "ticket");
      return;
    }
  taskrun_start (task, run, spec, json_object_get_string_len (text));
  respond_clock (x);
}

static void
on_hold (struct http_exchange *x, struct json_object *body)
{
  if (tool_now_us () > lease_end_us)
    lapsed_us = tool_now_us ();
  taskruns_note_ends (json_int_or (body, "observed", 0), lapsed_us);
  struct hold *h = tool_alloc (sizeof *h);
  h->exchange = x;
  h->observed = json_int_or (body, "observed", 0);
  h->until_us = tool_now_us () + json_int_or (body, "waitMs", 0) * 1000;
  extend_lease (json_int_or (body, "deadlineMs", 0));
  LIST_INSERT_HEAD (&holds, h, link);
  if (h->until_us <= tool_now_us () || taskruns_last_end () > h->observed)
    hold_answer (h);
}

static void
on_request (void *data, struct http_exchange *x)
{
  (void)data;
  const char *path = http_exchange_path (x);
  struct json_object *body = tool_body_json (x);
  if (body == NULL)
    return;
  const char *task = json_string_or (body, "task", "");
  int64_t run = json_int_or (body, "run", 0);
  if (!taskruns_fence (json_int_or (body, "fencingToken", 0)))
    {
      taskruns_log ("fenced", task, run, path);
      respond_reason (x, "fence");
    }
  else if (strcmp (path, "/-/hold") == 0)
    on_hold (x, body);
  else if (strcmp (path, "/-/run-start") == 0)
    on_start (x, body);
  else
    {
      if (strcmp (path, "/-/run-stop") == 0)
        taskrun_stop (task, run);
      else if (strcmp (path, "/-/pace") == 0)
        taskrun_pace (task, run, json_int_or (body, "percent", 100));
      respond_clock (x);
    }
  json_object_put (body);
}

static void
on_tick (uv_timer_t *timer)
{
  (void)timer;
  int64_t now = tool_now_us ();
  bool lapsed = now > lease_end_us;
  if (lapsed)
    lapsed_us = now;
  bool ended = taskruns_advance (lapsed);
  struct hold *h = LIST_FIRST (&holds);
  while (h != NULL)
    {
      struct hold *next = LIST_NEXT (h, link);
      if (ended || h->until_us <= now)
        hold_answer (h);
      h = next;
    }
}

static void
on_drain_signal (uv_signal_t *signal, int number)
{
  (void)signal;
  (void)number;
  draining = true;
}

static void
on_peak_signal (uv_signal_t *signal, int number)
{
  (void)signal;
  (void)number;
  taskruns_toggle_peak ();
}

/* DATA is not null for an entry that said that the worker drains.  The next
   heartbeat repeats an entry that was lost.  */
static void
on_registered (void *data, const struct http_result *r)
{
  if (data == NULL || draining_logged || r->state != HTTP_CALL_ANSWERED)
    return;
  draining_logged = true;
  taskruns_log ("draining", "", 0, "");
}

static void
on_heartbeat (uv_timer_t *timer)
{
  (void)timer;
  struct json_object *entry = json_object_new_object ();
  json_add_string (entry, "service", "desk");
  json_add_string (entry, "state", draining ? "draining" : "ready");
  if (draining)
    json_add_int (entry, "remainingMs", DRAIN_MS);
  char address[64];
  snprintf (address, sizeof address, "%s:%d", tool_address (), listed_port);
  json_add_string (entry, "address", address);
  json_add_string (entry, "zone", zone);
  json_add_int (entry, "born", started_ms);
  json_add_int (entry, "sequence", ++sequence);
  struct json_object *capacity = json_object_new_object ();
  json_add_int (capacity, "cpu", cores_milli);
  json_add_int (capacity, "memMb", 64000);
  json_object_object_add (entry, "capacity", capacity);
  struct json_object *labels = json_object_new_array ();
  json_object_array_add (labels, json_object_new_string (kind));
  json_object_array_add (labels, json_object_new_string (zone));
  json_object_object_add (entry, "labels", labels);
  struct json_object *body = json_object_new_object ();
  char key[TASKWORKER_TEXT_MAX];
  snprintf (key, sizeof key, "servers/%s", id);
  json_add_string (body, "key", key);
  json_add_string (body, "value", json_text (entry));
  char url[128];
  snprintf (url, sizeof url, "http://%s:%d/standin/put", tool_address (),
            store_port);
  const char *text = json_text (body);
  struct http_call call = { .method = "POST",
                            .url = url,
                            .body = text,
                            .body_length = strlen (text),
                            .timeout_ms = HEARTBEAT_MS,
                            .answer_max_bytes = TOOL_ANSWER_MAX,
                            .idempotent = true };
  http_client_send (client, &call, on_registered, draining ? &draining : NULL);
  json_object_put (body);
  json_object_put (entry);
}

static void
repeat (uv_loop_t *loop, uv_timer_t *timer, uv_timer_cb callback, int64_t ms)
{
  tool_timer (loop, timer, callback, NULL, 1);
  uv_timer_set_repeat (timer, (uint64_t)ms);
  uv_timer_again (timer);
}

int
main (int argc, char **argv)
{
  struct tool_flag flags[]
      = { PORT_FLAG ("port", "port to listen on"),
          PORT_FLAG ("store", "port of rr-kv"),
          INT_FLAG ("listed-port", "port to register, 0: the same", 0),
          TEXT_FLAG ("id", "id of the worker", "w1"),
          TEXT_FLAG ("zone", "availability zone", "z1"),
          INT_FLAG ("cores", "capacity in thousandths of a core", 8000),
          TEXT_FLAG ("log", "file for what runs do", "/dev/stdout"),
          TEXT_FLAG ("kind", "kind of the worker, its first label", "a") };
  uv_loop_t *loop = uv_default_loop ();
  struct rr_error err = { 0 };
  int code;
  if (!tool_start (argc, argv, "rr-taskworker",
                   "Stand-in of a worker on the users' platform.", flags, 8,
                   loop, &code))
    return code;
  port = flags[0].number;
  store_port = flags[1].number;
  listed_port = flags[2].number == 0 ? port : flags[2].number;
  id = flags[3].text;
  zone = flags[4].text;
  cores_milli = flags[5].number;
  kind = flags[7].text;
  FILE *log = fopen (flags[6].text, "a");
  client = http_client_open (loop, &err);
  if (log == NULL || client == NULL
      || tool_listen (loop, port, on_request, NULL, &err) == NULL)
    return tool_fail ("rr-taskworker", &err);
  taskruns_init (id, log);
  started_ms = tool_wall_ms ();
  born_us = tool_now_us ();
  srand ((unsigned)started_ms);
  taskruns_log ("born", "", 0, "");
  uv_timer_t tick;
  uv_timer_t heartbeat;
  uv_signal_t drain;
  uv_signal_init (loop, &drain);
  uv_signal_start (&drain, on_drain_signal, SIGUSR1);
  uv_signal_t peak;
  uv_signal_init (loop, &peak);
  uv_signal_start (&peak, on_peak_signal, SIGUSR2);
  repeat (loop, &tick, on_tick, TICK_MS);
  repeat (loop, &heartbeat, on_heartbeat, HEARTBEAT_MS);
  uv_run (loop, UV_RUN_DEFAULT);
  return 0;
}
