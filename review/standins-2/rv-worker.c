#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <time.h>

#include "common/http_client.h"
#include "standins/tool.h"

/* Stand-in of a worker on the users' platform, with the kind, the rack and the
   capacity that its flags give.  It registers in rr-kv and serves calls only
   once the store has acknowledged that.  It doesn't guard its capacity.  A
   task's spec says what it does: "work=MS" and "cpu=MILLI"; "fail" makes each
   run fail at its end, "ticket" lets no run start without this worker's
   ticket.  The log has a line for each start and end.  */

enum
{
  TICK_MS = 10,
  HEARTBEAT_MS = 400,
  LEASE_MAX_MS = 10000,
  STOP_MS = 30,
  TEXT_MAX = 160
};

struct run
{
  LIST_ENTRY (run) link;
  char task[TEXT_MAX];
  int64_t run;
  int64_t end_us;
  int64_t start_us;
  int64_t cpu_milli;
  bool stopped;
  bool fails;
};

struct end
{
  int64_t number;
  char task[TEXT_MAX];
  int64_t run;
  const char *how;
};

/* The highest run of a task that was stopped or has ended here.  */
struct seal
{
  char task[TEXT_MAX];
  int64_t run;
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
static const char *rack;
static int port;
static int store_port;
static int cores_milli;
static int gpus;
static FILE *log_file;
static struct http_client *client;
static int64_t started_ms;
static int64_t born_us;
static int64_t sequence;
static int64_t token;
static int64_t lease_end_us;
static bool listening;
LIST_HEAD (run_list, run);
static struct run_list runs;
LIST_HEAD (hold_list, hold);
static struct hold_list holds;
static struct end *ends;
static size_t end_count;
static struct seal *seals;
static size_t seal_count;

static int64_t
wall_ms (void)
{
  struct timespec t;
  clock_gettime (CLOCK_REALTIME, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static int64_t
clock_ms (void)
{
  return (tool_now_us () - born_us) / 1000;
}

static int64_t
used_milli (void)
{
  int64_t sum = 0;
  for (const struct run *r = LIST_FIRST (&runs); r != NULL;
       r = LIST_NEXT (r, link))
    sum += r->cpu_milli;
  return sum;
}

/* Writes a line with the kind and the capacity of this incarnation, and the
   cores of what runs after the event.  */
static void
write_log (const char *event, const char *task, int64_t run, const char *how)
{
  fprintf (log_file,
           "{\"t\":%lld,\"vm\":\"%s\",\"born\":%lld,\"kind\":\"%s\","
           "\"event\":\"%s\",\"task\":\"%s\",\"run\":%lld,\"how\":\"%s\","
           "\"token\":%lld,\"capacity\":%d,\"used\":%lld}\n",
           (long long)wall_ms (), id, (long long)started_ms, kind, event, task,
           (long long)run, how, (long long)token, cores_milli,
           (long long)used_milli ());
  fflush (log_file);
}

static void *
grow (void *list, size_t count, size_t size)
{
  char *grown = realloc (list, (count + 1) * size);
  if (grown == NULL)
    abort ();
  memset (grown + count * size, 0, size);
  return grown;
}

static struct seal *
seal_of (const char *task)
{
  for (size_t i = 0; i < seal_count; i++)
    if (strcmp (seals[i].task, task) == 0)
      return &seals[i];
  seals = grow (seals, seal_count, sizeof *seals);
  struct seal *s = &seals[seal_count++];
  snprintf (s->task, sizeof s->task, "%s", task);
  return s;
}

static void
seal (const char *task, int64_t run)
{
  struct seal *s = seal_of (task);
  if (s->run < run)
    s->run = run;
}

static struct run *
run_find (const char *task)
{
  struct run *r = LIST_FIRST (&runs);
  while (r != NULL && strcmp (r->task, task) != 0)
    r = LIST_NEXT (r, link);
  return r;
}

static void
run_end (struct run *r, const char *how)
{
  ends = grow (ends, end_count, sizeof *ends);
  struct end *e = &ends[end_count++];
  e->number = (int64_t)end_count;
  snprintf (e->task, sizeof e->task, "%s", r->task);
  e->run = r->run;
  e->how = how;
  seal (r->task, r->run);
  LIST_REMOVE (r, link);
  write_log ("end", r->task, r->run, how);
  free (r);
}

static void
extend_lease (int64_t deadline_ms)
{
  int64_t longest = clock_ms () + LEASE_MAX_MS;
  if (deadline_ms > longest)
    deadline_ms = longest;
  if (deadline_ms > 0 && born_us + deadline_ms * 1000 > lease_end_us)
    lease_end_us = born_us + deadline_ms * 1000;
}

static void
respond (struct http_exchange *x, int status, const char *reason)
{
  struct json_object *o = json_object_new_object ();
  json_add_int (o, "clockMs", clock_ms ());
  json_add_int (o, "born", started_ms);
  if (reason != NULL)
    json_add_string (o, "reason", reason);
  http_exchange_respond_json (x, status, json_text (o));
  json_object_put (o);
}

static long
spec_value (const char *spec, const char *name)
{
  const char *p = strstr (spec, name);
  return p == NULL ? 0 : strtol (p + strlen (name), NULL, 10);
}

static void
on_start (struct http_exchange *x, struct json_object *body)
{
  const char *task = json_string_or (body, "task", "");
  const char *spec = json_string_or (body, "spec", "");
  int64_t run = json_int_or (body, "run", 0);
  int64_t deadline = json_int_or (body, "deadlineMs", 0);
  struct run *present = run_find (task);
  if (present != NULL && present->run == run)
    {
      respond (x, 200, NULL);
      return;
    }
  if (present != NULL || run <= seal_of (task)->run)
    {
      extend_lease (deadline);
      respond (x, 409, "old");
      return;
    }
  if (deadline <= clock_ms ())
    {
      respond (x, 409, "late");
      return;
    }
  char wanted[TEXT_MAX];
  snprintf (wanted, sizeof wanted, "t-%s", id);
  if (strstr (spec, "ticket") != NULL
      && strcmp (json_string_or (body, "ticket", ""), wanted) != 0)
    {
      respond (x, 409, "ticket");
      return;
    }
  extend_lease (deadline);
  struct run *r = tool_alloc (sizeof *r);
  memset (r, 0, sizeof *r);
  snprintf (r->task, sizeof r->task, "%s", task);
  r->run = run;
  r->start_us = tool_now_us ();
  r->end_us = r->start_us + (int64_t)spec_value (spec, "work=") * 1000;
  r->cpu_milli = spec_value (spec, "cpu=");
  r->fails = strstr (spec, "fail") != NULL;
  LIST_INSERT_HEAD (&runs, r, link);
  write_log ("start", task, run, "");
  respond (x, 200, NULL);
}

static void
add_text (struct json_object *row, const char *text)
{
  json_object_array_add (row, json_object_new_string (text));
}

static void
add_int (struct json_object *row, int64_t value)
{
  json_object_array_add (row, json_object_new_int64 (value));
}

static struct json_object *
running_rows (void)
{
  struct json_object *rows = json_object_new_array ();
  for (const struct run *r = LIST_FIRST (&runs); r != NULL;
       r = LIST_NEXT (r, link))
    {
      int64_t whole = r->end_us - r->start_us + 1;
      struct json_object *row = json_object_new_array ();
      add_text (row, r->task);
      add_int (row, r->run);
      add_text (row, "");
      add_int (row, (tool_now_us () - r->start_us) * 100 / whole);
      add_int (row, r->cpu_milli);
      json_object_array_add (rows, row);
    }
  return rows;
}

static struct json_object *
finished_rows (int64_t observed)
{
  struct json_object *rows = json_object_new_array ();
  for (size_t i = 0; i < end_count; i++)
    {
      if (ends[i].number <= observed)
        continue;
      struct json_object *row = json_object_new_array ();
      add_int (row, ends[i].number);
      add_text (row, ends[i].task);
      add_int (row, ends[i].run);
      add_text (row, ends[i].how);
      add_text (row, "");
      json_object_array_add (rows, row);
    }
  return rows;
}

static void
hold_answer (struct hold *h)
{
  struct json_object *o = json_object_new_object ();
  json_add_int (o, "clockMs", clock_ms ());
  json_add_int (o, "born", started_ms);
  json_object_object_add (o, "running", running_rows ());
  json_object_object_add (o, "finished", finished_rows (h->observed));
  http_exchange_respond_json (h->exchange, 200, json_text (o));
  json_object_put (o);
  LIST_REMOVE (h, link);
  free (h);
}

static void
on_hold (struct http_exchange *x, struct json_object *body)
{
  struct hold *h = tool_alloc (sizeof *h);
  h->exchange = x;
  h->observed = json_int_or (body, "observed", 0);
  h->until_us = tool_now_us () + json_int_or (body, "waitMs", 0) * 1000;
  extend_lease (json_int_or (body, "deadlineMs", 0));
  LIST_INSERT_HEAD (&holds, h, link);
  if (h->until_us <= tool_now_us () || (int64_t)end_count > h->observed)
    hold_answer (h);
}

static void
on_stop (struct json_object *body)
{
  const char *task = json_string_or (body, "task", "");
  int64_t run = json_int_or (body, "run", 0);
  struct run *r = run_find (task);
  seal (task, run);
  if (r == NULL || r->run > run)
    return;
  r->stopped = true;
  r->end_us = tool_now_us () + STOP_MS * INT64_C (1000);
}

static void
on_request (void *data, struct http_exchange *x)
{
  (void)data;
  const char *instance = http_exchange_header (x, "Expect-Instance");
  if (instance != NULL && strcmp (instance, id) != 0)
    {
      respond (x, 421, NULL);
      return;
    }
  const char *path = http_exchange_path (x);
  struct json_object *body = tool_body_json (x);
  if (body == NULL)
    return;
  int64_t given = json_int_or (body, "fencingToken", 0);
  if (given < token)
    respond (x, 409, "fence");
  else
    {
      token = given;
      if (strcmp (path, "/-/hold") == 0)
        on_hold (x, body);
      else if (strcmp (path, "/-/run-start") == 0)
        on_start (x, body);
      else
        {
          if (strcmp (path, "/-/run-stop") == 0)
            on_stop (body);
          respond (x, 200, NULL);
        }
    }
  json_object_put (body);
}

static void
on_tick (uv_timer_t *timer)
{
  (void)timer;
  int64_t now = tool_now_us ();
  size_t before = end_count;
  struct run *r = LIST_FIRST (&runs);
  while (r != NULL)
    {
      struct run *next = LIST_NEXT (r, link);
      if (now > lease_end_us)
        run_end (r, "lapsed");
      else if (r->end_us <= now)
        run_end (r, r->stopped ? "stopped" : r->fails ? "failed" : "done");
      r = next;
    }
  struct hold *h = LIST_FIRST (&holds);
  while (h != NULL)
    {
      struct hold *next = LIST_NEXT (h, link);
      if (end_count > before || h->until_us <= now)
        hold_answer (h);
      h = next;
    }
}

static void
on_registered (void *data, const struct http_result *r)
{
  uv_loop_t *loop = data;
  struct rr_error err = { 0 };
  if (listening || r->state != HTTP_CALL_ANSWERED)
    return;
  listening = true;
  if (tool_listen (loop, port, on_request, NULL, &err) == NULL)
    exit (tool_fail ("rv-worker", &err));
  write_log ("listens", "", 0, "");
}

static struct json_object *
entry_new (void)
{
  struct json_object *entry = json_object_new_object ();
  char address[64];
  snprintf (address, sizeof address, "%s:%d", tool_address (), port);
  json_add_string (entry, "service", "desk");
  json_add_string (entry, "address", address);
  json_add_string (entry, "zone", zone);
  json_add_string (entry, "version", "1");
  json_add_int (entry, "slots", 8);
  json_add_string (entry, "state", "ready");
  json_add_int (entry, "coldRemainingMs", 0);
  json_add_int (entry, "sequence", ++sequence);
  json_add_int (entry, "born", started_ms);
  struct json_object *capacity = json_object_new_object ();
  json_add_int (capacity, "cpu", cores_milli);
  json_add_int (capacity, "memMb", 64000);
  json_add_int (capacity, "gpu", gpus);
  json_object_object_add (entry, "capacity", capacity);
  struct json_object *labels = json_object_new_array ();
  add_text (labels, kind);
  add_text (labels, rack);
  json_object_object_add (entry, "labels", labels);
  return entry;
}

static void
on_heartbeat (uv_timer_t *timer)
{
  struct json_object *entry = entry_new ();
  struct json_object *body = json_object_new_object ();
  char key[TEXT_MAX];
  char url[TEXT_MAX];
  snprintf (key, sizeof key, "servers/%s", id);
  json_add_string (body, "key", key);
  json_add_string (body, "value", json_text (entry));
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
  http_client_send (client, &call, on_registered, timer->loop);
  json_object_put (body);
  json_object_put (entry);
}

int
main (int argc, char **argv)
{
  struct tool_flag flags[]
      = { PORT_FLAG ("port", "port to listen on"),
          PORT_FLAG ("store", "port of rr-kv"),
          TEXT_FLAG ("id", "id of the worker", "w1"),
          TEXT_FLAG ("zone", "availability zone", "z1"),
          TEXT_FLAG ("kind", "kind of the machine", "a"),
          TEXT_FLAG ("rack", "rack of the machine", "r1"),
          INT_FLAG ("cores", "capacity in thousandths of a core", 8000),
          INT_FLAG ("gpus", "accelerators", 0),
          TEXT_FLAG ("log", "file for what runs do", "/dev/stdout") };
  uv_loop_t *loop = uv_default_loop ();
  struct rr_error err = { 0 };
  int code;
  if (!tool_start (argc, argv, "rv-worker",
                   "Stand-in of a worker of a given kind.", flags, 9, loop,
                   &code))
    return code;
  port = flags[0].number;
  store_port = flags[1].number;
  id = flags[2].text;
  zone = flags[3].text;
  kind = flags[4].text;
  rack = flags[5].text;
  cores_milli = flags[6].number;
  gpus = flags[7].number;
  log_file = fopen (flags[8].text, "a");
  client = http_client_open (loop, &err);
  if (log_file == NULL || client == NULL)
    return tool_fail ("rv-worker", &err);
  started_ms = wall_ms ();
  born_us = tool_now_us ();
  write_log ("born", "", 0, "");
  uv_timer_t tick;
  uv_timer_t heartbeat;
  tool_timer (loop, &tick, on_tick, NULL, 1);
  uv_timer_set_repeat (&tick, TICK_MS);
  uv_timer_again (&tick);
  tool_timer (loop, &heartbeat, on_heartbeat, NULL, 1);
  uv_timer_start (&heartbeat, on_heartbeat, 0, HEARTBEAT_MS);
  uv_run (loop, UV_RUN_DEFAULT);
  return 0;
}
