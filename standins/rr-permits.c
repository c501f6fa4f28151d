#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <xxhash.h>

#include "standins/tool.h"

/* Stand-in of the permit service on the users' platform, for one calling
   machine: handles one call at a time, in turn, and answers with status 429
   when 32 are waiting.  A call takes --decision-ms and --per-worker-ms for
   each worker listed.  Which workers are permitted follows from their ids and
   the step and never changes.  A token reads WORKER/STEP/TIME/PADDING,
   where TIME is the time of day in ms at which it expires; rr-taskworker
   checks it.  */

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
static int permitted_percent;
static int padding_bytes;
static FILE *log_file;

static void
log_call (const char *event, const struct call *c)
{
  fprintf (
      log_file, "{\"t\":%lld,\"event\":\"%s\",\"step\":\"%s\",\"ms\":%lld}\n",
      (long long)tool_wall_ms (), event, json_string_or (c->body, "step", ""),
      (long long)(tool_now_us () - c->arrived_us) / 1000);
  fflush (log_file);
}

static void
call_free (struct call *c)
{
  json_object_put (c->body);
  free (c);
}

static bool
permitted (const char *step, const char *worker)
{
  char text[256];
  int n = snprintf (text, sizeof text, "%s/%s", step, worker);
  return (int)(XXH64 (text, (size_t)n, 0) % 100) < permitted_percent;
}

/* Returns the rows of worker and token for the workers that C lists.  */
static struct json_object *
rows_new (const struct call *c)
{
  const char *step = json_string_or (c->body, "step", "");
  struct json_object *workers = json_list_or_null (c->body, "workers");
  struct json_object *rows = json_object_new_array ();
  size_t n = workers == NULL ? 0 : json_object_array_length (workers);
  for (size_t i = 0; i < n; i++)
    {
      const char *worker
          = json_object_get_string (json_object_array_get_idx (workers, i));
      if (!permitted (step, worker))
        continue;
      size_t size = 256 + (size_t)padding_bytes;
      char *token = tool_alloc (size);
      snprintf (token, size, "%s/%s/%lld/%0*d", worker, step,
                (long long)tool_wall_ms () + valid_ms, padding_bytes, 0);
      struct json_object *row = json_object_new_array ();
      json_object_array_add (row, json_object_new_string (worker));
      json_object_array_add (row, json_object_new_string (token));
      json_object_array_add (rows, row);
      free (token);
    }
  return rows;
}

static void on_timer (uv_timer_t *t);

/* Begins to handle the first of the calls that wait.  */
static void
handle_next (void)
{
  const struct call *c = TAILQ_FIRST (&calls);
  if (c == NULL)
    return;
  struct json_object *workers = json_list_or_null (c->body, "workers");
  size_t n = workers == NULL ? 0 : json_object_array_length (workers);
  int64_t ms = decision_ms + (int64_t)per_worker_ms * (int64_t)n;
  uv_timer_start (&timer, on_timer, (uint64_t)ms, 0);
}

static void
on_timer (uv_timer_t *t)
{
  (void)t;
  struct call *c = TAILQ_FIRST (&calls);
  TAILQ_REMOVE (&calls, c, link);
  call_count--;
  struct json_object *o = json_object_new_object ();
  json_object_object_add (o, "allowed", rows_new (c));
  http_exchange_respond_json (c->exchange, 200, json_text (o));
  json_object_put (o);
  log_call ("answered", c);
  call_free (c);
  handle_next ();
}

static void
on_request (void *data, struct http_exchange *x)
{
  (void)data;
  struct json_object *body = tool_body_json (x);
  if (body == NULL)
    return;
  struct call *c = tool_alloc (sizeof *c);
  c->exchange = x;
  c->body = body;
  c->arrived_us = tool_now_us ();
  if (call_count > WAITING_MAX)
    {
      log_call ("refused", c);
      http_exchange_respond_json (x, 429, "{}");
      call_free (c);
      return;
    }
  TAILQ_INSERT_TAIL (&calls, c, link);
  call_count++;
  log_call ("asked", c);
  if (call_count == 1)
    handle_next ();
}

int
main (int argc, char **argv)
{
  struct tool_flag flags[]
      = { PORT_FLAG ("port", "port to listen on"),
          INT_FLAG ("decision-ms", "time of a call", 100),
          INT_FLAG ("per-worker-ms", "and for each worker listed", 8),
          INT_FLAG ("valid-ms", "time for which a permit is valid", 3000),
          INT_FLAG ("permitted", "percentage of permitted workers", 100),
          INT_FLAG ("padding", "bytes added to each token", 1),
          TEXT_FLAG ("log", "file for the calls", "/dev/stdout") };
  uv_loop_t *loop = uv_default_loop ();
  struct rr_error err = { 0 };
  int code;
  if (!tool_start (argc, argv, "rr-permits",
                   "Stand-in of the permit service on the users' platform.",
                   flags, sizeof flags / sizeof flags[0], loop, &code))
    return code;
  decision_ms = flags[1].number;
  per_worker_ms = flags[2].number;
  valid_ms = flags[3].number;
  permitted_percent = flags[4].number;
  padding_bytes = flags[5].number;
  log_file = fopen (flags[6].text, "a");
  if (log_file == NULL
      || tool_listen (loop, flags[0].number, on_request, NULL, &err) == NULL)
    return tool_fail ("rr-permits", &err);
  uv_timer_init (loop, &timer);
  uv_run (loop, UV_RUN_DEFAULT);
  return 0;
}
