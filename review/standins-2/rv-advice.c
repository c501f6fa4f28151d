#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "standins/tool.h"

/* Stand-in of the service that says which workers may run a step.  It handles
   one call at a time, in turn, and answers with status 429 when 32 are
   waiting: it serves a single calling machine.  A call takes DECISION_MS and
   PER_WORKER_MS for each worker named.  Every worker is allowed.  */

enum
{
  WAITING_MAX = 32
};

struct call
{
  TAILQ_ENTRY (call) link;
  struct http_exchange *exchange;
  struct json_object *body;
  int64_t arrived_us;
};

TAILQ_HEAD (call_list, call);
static struct call_list calls = TAILQ_HEAD_INITIALIZER (calls);
static size_t call_count;
static uv_timer_t timer;
static int decision_ms;
static int per_worker_ms;
static int valid_ms;
static int64_t born_us;
static FILE *log_file;

static struct json_object *
call_workers (const struct call *c)
{
  return json_list_or_null (c->body, "workers");
}

static void
write_log (const char *event, struct json_object *body, int64_t waited_us)
{
  fprintf (log_file,
           "{\"at_ms\":%lld,\"event\":\"%s\",\"step\":\"%s\","
           "\"waited_ms\":%lld,\"waiting\":%zu}\n",
           (long long)(tool_now_us () - born_us) / 1000, event,
           json_string_or (body, "step", ""), (long long)waited_us / 1000,
           call_count);
  fflush (log_file);
}

static void on_timer (uv_timer_t *t);

/* Begins with the first of the calls that wait.  */
static void
begin_next (void)
{
  const struct call *c = TAILQ_FIRST (&calls);
  if (c == NULL)
    return;
  struct json_object *workers = call_workers (c);
  size_t n = workers == NULL ? 0 : json_object_array_length (workers);
  uv_timer_start (
      &timer, on_timer,
      (uint64_t)decision_ms + (uint64_t)per_worker_ms * (uint64_t)n, 0);
}

/* The decision for the first call is there.  */
static void
on_timer (uv_timer_t *t)
{
  (void)t;
  struct call *c = TAILQ_FIRST (&calls);
  TAILQ_REMOVE (&calls, c, link);
  call_count--;
  struct json_object *workers = call_workers (c);
  struct json_object *allowed = json_object_new_array ();
  size_t n = workers == NULL ? 0 : json_object_array_length (workers);
  for (size_t i = 0; i < n; i++)
    {
      const char *id
          = json_object_get_string (json_object_array_get_idx (workers, i));
      char ticket[128];
      snprintf (ticket, sizeof ticket, "t-%s", id);
      struct json_object *row = json_object_new_array ();
      json_object_array_add (row, json_object_new_string (id));
      json_object_array_add (row, json_object_new_string (ticket));
      json_object_array_add (allowed, row);
    }
  struct json_object *o = json_object_new_object ();
  json_object_object_add (o, "allowed", allowed);
  json_add_int (o, "validMs", valid_ms);
  http_exchange_respond_json (c->exchange, 200, json_text (o));
  json_object_put (o);
  write_log ("answered", c->body, tool_now_us () - c->arrived_us);
  json_object_put (c->body);
  free (c);
  begin_next ();
}

static void
on_request (void *data, struct http_exchange *x)
{
  (void)data;
  struct json_object *body = tool_body_json (x);
  if (body == NULL)
    return;
  if (call_count > WAITING_MAX)
    {
      write_log ("refused", body, 0);
      json_object_put (body);
      http_exchange_respond_json (x, 429, "{}");
      return;
    }
  struct call *c = tool_alloc (sizeof *c);
  c->exchange = x;
  c->body = body;
  c->arrived_us = tool_now_us ();
  TAILQ_INSERT_TAIL (&calls, c, link);
  call_count++;
  write_log ("asked", body, 0);
  if (call_count == 1)
    begin_next ();
}

int
main (int argc, char **argv)
{
  struct tool_flag flags[]
      = { PORT_FLAG ("port", "port to listen on"),
          INT_FLAG ("decision-ms", "time of a call", 100),
          INT_FLAG ("per-worker-ms", "and for each worker named", 8),
          INT_FLAG ("valid-ms", "time for which a ticket is valid", 3000),
          TEXT_FLAG ("log", "file for the calls", "/dev/stdout") };
  uv_loop_t *loop = uv_default_loop ();
  struct rr_error err = { 0 };
  int code;
  if (!tool_start (argc, argv, "rv-advice",
                   "Stand-in of the service that gives tickets.", flags, 5,
                   loop, &code))
    return code;
  decision_ms = flags[1].number;
  per_worker_ms = flags[2].number;
  valid_ms = flags[3].number;
  log_file = fopen (flags[4].text, "a");
  born_us = tool_now_us ();
  if (log_file == NULL
      || tool_listen (loop, flags[0].number, on_request, NULL, &err) == NULL)
    return tool_fail ("rv-advice", &err);
  uv_timer_init (loop, &timer);
  uv_run (loop, UV_RUN_DEFAULT);
  return 0;
}
