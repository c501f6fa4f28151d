#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "standins/tool.h"
#include "standins/worker.h"

enum
{
  WORKERS_MAX = 1024,
  TICK_MS = 20,
  ALIVE_MS = 500, /* bounds how long a killed worker seems to go on */
  CLOCK_SPREAD_MS = 1000000000
};

static struct worker_settings settings;
static struct worker *workers;
static int worker_count;

/* Returns the worker's own clock; its origin differs between workers, so that
   a reader that mixes up clocks fails at once.  */
int64_t
worker_now_ms (const struct worker *w)
{
  return tool_now_us () / 1000 + w->clock_offset_ms;
}

/* Returns C as an object.  */
struct json_object *
capacity_object (const struct capacity *c)
{
  return tool_object (
      "cores_milli:i memory_mb:i accelerators:i slots:i connections:i",
      c->cores_milli, c->memory_mb, c->accelerators, c->slots, c->connections);
}

/* Returns a new line for the execution log.  */
struct json_object *
worker_event (const struct worker *w, const char *event)
{
  return tool_object ("event:s worker:s incarnation:i at_us:i clock_ms:i",
                      event, w->name, w->incarnation, tool_now_us (),
                      worker_now_ms (w));
}

/* Writes O and the present use of capacity to the execution log.  */
void
worker_log (const struct worker *w, struct json_object *o)
{
  tool_add (o, "use:o", capacity_object (&w->used));
  tool_write_line (w->settings->log, o);
}

/* Logs that CALL for the task or request ID was refused.  */
void
worker_refuse (const struct worker *w, const char *call, const char *id,
               int64_t attempt, const char *reason)
{
  struct json_object *o = worker_event (w, "refuse");
  tool_add (o, "call:s attempt:i reason:s", call, attempt, reason);
  json_add_string (o, strcmp (call, "execute") == 0 ? "request" : "task", id);
  worker_log (w, o);
}

/* Tells whether EPOCH is the one of the present, unexpired controller.  */
bool
worker_epoch_valid (const struct worker *w, int64_t epoch)
{
  return epoch == w->epoch && worker_now_ms (w) < w->controller_until_ms;
}

static struct json_object *
worker_entry (const struct worker *w)
{
  char rack[64];
  snprintf (rack, sizeof rack, "%s%d", settings.rack,
            w->index / settings.rack_size);
  return tool_object (
      "name:s role:s address:s http_port:d rpc_port:d zone:s rack:s "
      "incarnation:i state:s",
      w->name, "worker", tool_address (), w->port, 0, settings.zone, rack,
      w->incarnation, w->leaving ? "leaving" : "live");
}

static void
worker_boot (struct worker *w)
{
  w->down = false;
  /* Epochs of different incarnations never meet, so a daemon that still holds
     an epoch of an earlier one is refused.  */
  w->epoch = w->incarnation << 20;
  w->holder[0] = '\0';
  w->controller_until_ms = 0;
  w->advanced_ms = worker_now_ms (w);
  w->window_start_ms = w->advanced_ms;
  w->ended_count = 0;
  w->ended_recorded = 0;
  memset (w->shard_epochs, 0, sizeof w->shard_epochs);
  struct json_object *o = worker_event (w, "boot");
  tool_add (o, "capacity:o", capacity_object (&settings.capacity));
  worker_log (w, o);
}

static void
on_restart (uv_timer_t *timer)
{
  struct worker *w = timer->data;
  w->incarnation++;
  worker_boot (w);
}

/* Drops all state of W and answers nothing for DOWN_MS.  */
static void
worker_crash (struct worker *w, int64_t down_ms)
{
  worker_abort_executions (w);
  worker_drop_tasks (w);
  worker_log (w, worker_event (w, "crash"));
  w->down = true;
  uv_timer_start (&w->restart, on_restart, (uint64_t)down_ms, 0);
}

static void
call_claim (struct worker *w, struct http_exchange *x, struct json_object *o)
{
  struct rr_error err = { 0 };
  int64_t incarnation = 0;
  int64_t lease_ms = 0;
  const char *daemon = json_get_string (o, "daemon", &err);
  if (daemon == NULL || !json_get_int (o, "incarnation", &incarnation, &err)
      || !json_get_int (o, "lease_ms", &lease_ms, &err) || lease_ms < 1
      || lease_ms > LEASE_MAX_MS)
    {
      rr_error_set (&err, RR_ERROR_INVALID, "lease_ms must be 1 to %d",
                    LEASE_MAX_MS);
      http_exchange_respond_error (x, 400, &err);
      return;
    }
  int64_t now = worker_now_ms (w);
  /* A daemon may take over from itself and from its earlier incarnation, which
     is dead once a later one runs.  */
  bool same = strcmp (w->holder, daemon) == 0
              && incarnation >= w->holder_incarnation;
  if (now < w->controller_until_ms && !same)
    {
      tool_respond (x, 409,
                    tool_object ("holder:s remaining_ms:i", w->holder,
                                 w->controller_until_ms - now));
      return;
    }
  snprintf (w->holder, sizeof w->holder, "%s", daemon);
  w->holder_incarnation = incarnation;
  w->controller_until_ms = now + lease_ms;
  w->epoch++;
  struct json_object *e = worker_event (w, "claim");
  tool_add (e, "daemon:s epoch:i", daemon, w->epoch);
  worker_log (w, e);
  struct json_object *answer = capacity_object (&settings.capacity);
  tool_add (answer,
            "epoch:i incarnation:i now_ms:i leaving:b tasks:o ended:o "
            "requests:i",
            w->epoch, w->incarnation, now, w->leaving, worker_tasks (w),
            worker_ended (w), w->used.connections);
  tool_respond (x, 200, answer);
}

static void
call_report (struct worker *w, struct http_exchange *x, struct json_object *o,
             int64_t epoch)
{
  int64_t lease_ms = json_int_or (o, "lease_ms", 0);
  if (lease_ms < 1 || lease_ms > LEASE_MAX_MS)
    {
      tool_respond_error (x, 400, RR_ERROR_INVALID, "lease_ms must be 1 to %d",
                          LEASE_MAX_MS);
      return;
    }
  w->controller_until_ms = worker_now_ms (w) + lease_ms;
  worker_renew (w, tool_member (o, "renew"));
  int64_t recorded = json_int_or (o, "ended_after", -1);
  if (recorded > w->ended_recorded)
    w->ended_recorded = recorded;
  struct json_object *answer = tool_object (
      "now_ms:i epoch:i incarnation:i leaving:b account:o tasks:o requests:i "
      "ended:o",
      worker_now_ms (w), epoch, w->incarnation, w->leaving,
      capacity_object (&w->used), worker_tasks (w), w->used.connections,
      worker_ended (w));
  worker_report_usage (w, answer);
  tool_respond (x, 200, answer);
}

/* Serves the calls claim, release and report.  */
static void
controller_call (struct worker *w, struct http_exchange *x, const char *name)
{
  bool claim = strcmp (name, "claim") == 0;
  bool report = strcmp (name, "report") == 0;
  struct json_object *o = tool_body_json (x);
  if (o == NULL)
    return;
  struct rr_error err = { 0 };
  int64_t epoch = 0;
  if (claim)
    call_claim (w, x, o);
  else if (!json_get_int (o, "epoch", &epoch, &err))
    http_exchange_respond_error (x, 400, &err);
  else if (!worker_epoch_valid (w, epoch))
    {
      worker_refuse (w, report ? "report" : "release", "", 0, "stale-epoch");
      tool_respond_reason (x, 409, "stale-epoch");
    }
  else if (report)
    call_report (w, x, o, epoch);
  else
    {
      w->controller_until_ms = 0;
      tool_respond (x, 200, json_object_new_object ());
    }
  json_object_put (o);
}

/* Serves the test switches: {"leaving":bool,"fail_everything":bool,
   "crash_ms":N}.  */
static void
serve_control (struct worker *w, struct http_exchange *x)
{
  struct json_object *o = tool_body_json (x);
  if (o == NULL)
    return;
  w->leaving = tool_bool_or (o, "leaving", w->leaving);
  w->fail_everything = tool_bool_or (o, "fail_everything", w->fail_everything);
  int64_t crash_ms = json_int_or (o, "crash_ms", -1);
  if (crash_ms >= 0)
    worker_crash (w, crash_ms);
  json_object_put (o);
  tool_respond (x, 200, worker_entry (w));
}

static void
on_request (void *data, struct http_exchange *x)
{
  struct worker *w = data;
  const char *path = http_exchange_path (x);
  bool post = strcmp (http_exchange_method (x), "POST") == 0;
  if (!post && strcmp (path, "/stats") == 0)
    {
      tool_respond (x, 200, worker_entry (w));
      return;
    }
  if (w->down)
    {
      http_exchange_abort (x);
      return;
    }
  worker_advance (w);
  if (post && strncmp (path, "/v1/execute/", 12) == 0 && path[12] != '\0')
    worker_execute (w, x, path + 12, false);
  else if (post && strncmp (path, "/v1/services/", 13) == 0)
    worker_execute (w, x, path + 13, true);
  else if (post && strcmp (path, "/control") == 0)
    serve_control (w, x);
  else if (post
           && (strcmp (path, "/v1/claim") == 0
               || strcmp (path, "/v1/release") == 0
               || strcmp (path, "/v1/report") == 0))
    controller_call (w, x, path + 4);
  else if (!post || strncmp (path, "/v1/tasks/", 10) != 0
           || !worker_task_call (w, x, path + 10))
    tool_respond_reason (x, 404, "no-such-call");
}

static void
on_tick (uv_timer_t *timer)
{
  static int64_t alive_us;
  (void)timer;
  int64_t now = tool_now_us ();
  bool alive = (now - alive_us) / 1000 >= ALIVE_MS;
  if (alive)
    alive_us = now;
  for (int i = 0; i < worker_count; i++)
    {
      struct worker *w = &workers[i];
      if (w->down)
        continue;
      worker_advance (w);
      if (w->advanced_ms - w->window_start_ms >= settings.usage_window_ms)
        worker_close_window (w);
      if (alive && (w->used.slots > 0 || w->used.connections > 0))
        worker_log (w, worker_event (w, "alive"));
    }
}

static void
worker_init (struct worker *w, int i, const char *prefix)
{
  w->settings = &settings;
  w->index = i;
  w->port = settings.first_port + i;
  w->incarnation = settings.first_incarnation;
  w->fail_everything = settings.fail_everything;
  snprintf (w->name, sizeof w->name, "%s%d", prefix, i);
  uint64_t seed = XXH64 (w->name, strlen (w->name), settings.seed);
  w->clock_offset_ms = (int64_t)(seed % CLOCK_SPREAD_MS);
  w->rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (w->rng, (unsigned long)seed);
}

static int
print_entries (void)
{
  struct json_object *list = json_object_new_array ();
  for (int i = 0; i < worker_count; i++)
    json_object_array_add (list, worker_entry (&workers[i]));
  printf ("%s\n", json_text (list));
  json_object_put (list);
  return EXIT_SUCCESS;
}

static int
serve (uv_loop_t *loop)
{
  static uv_timer_t tick;
  struct rr_error err = { 0 };
  settings.loop = loop;
  for (int i = 0; i < worker_count; i++)
    {
      uv_timer_init (loop, &workers[i].restart);
      workers[i].restart.data = &workers[i];
      if (tool_listen (loop, workers[i].port, on_request, &workers[i], &err)
          == NULL)
        return tool_fail ("rr-worker", &err);
      worker_boot (&workers[i]);
    }
  uv_timer_init (loop, &tick);
  uv_timer_start (&tick, on_tick, TICK_MS, TICK_MS);
  uv_run (loop, UV_RUN_DEFAULT);
  return EXIT_SUCCESS;
}

/* Order of the flags.  */
enum
{
  FLAG_PORT,
  FLAG_COUNT,
  FLAG_PREFIX,
  FLAG_ZONE,
  FLAG_RACK,
  FLAG_RACK_SIZE,
  FLAG_CORES,
  FLAG_MEMORY,
  FLAG_ACCELERATORS,
  FLAG_SLOTS,
  FLAG_CONNECTIONS,
  FLAG_INCARNATION,
  FLAG_SEED,
  FLAG_TABLE_SEED,
  FLAG_LAG,
  FLAG_WINDOW,
  FLAG_SPEED,
  FLAG_SERVICE,
  FLAG_FAIL_CLASS,
  FLAG_HOG_CLASS,
  FLAG_NO_GUARD,
  FLAG_FAIL,
  FLAG_PRINT,
  FLAG_LOG,
  FLAGS
};

static struct tool_flag flags[FLAGS] = {
  PORT_FLAG ("first-port", "port of the first worker"),
  INT_FLAG ("count", "workers to host, on successive ports", 1),
  TEXT_FLAG ("name-prefix", "worker I is called TEXT followed by I", "vm-"),
  TEXT_FLAG ("zone", "availability zone", "z1"),
  TEXT_FLAG ("rack", "rack R is called TEXT followed by R", "r"),
  INT_FLAG ("rack-size", "workers in a rack", 8),
  INT_FLAG ("cores-milli", "thousandths of a core", 32000),
  INT_FLAG ("memory-mb", "memory", 125000),
  INT_FLAG ("accelerators", "accelerators", 0),
  INT_FLAG ("slots", "tasks at a time", 8),
  INT_FLAG ("connections", "requests at a time", 64),
  INT_FLAG ("incarnation", "first incarnation", 1),
  INT_FLAG ("seed", "seed of clocks and service times", 1),
  INT_FLAG ("table-seed", "seed of the interference table", 1),
  INT_FLAG ("usage-lag-ms", "age of reported usage", 2000),
  INT_FLAG ("usage-window-ms", "length of a usage window", 1000),
  INT_FLAG ("work-speed", "divides the work of batch tasks", 1),
  INT_FLAG ("service-us", "median service time", 5000),
  TEXT_FLAG ("fail-class", "tasks of this class fail", NULL),
  TEXT_FLAG ("hog-class", "tasks of this class outgrow their memory", NULL),
  SWITCH_FLAG ("no-guard", "let tasks exceed their memory limit"),
  SWITCH_FLAG ("fail-everything", "fail everything that is started"),
  SWITCH_FLAG ("print-vms", "print the VM list entries and end"),
  TEXT_FLAG ("log", "execution log, appended to", NULL),
};

int
main (int argc, char **argv)
{
  static uv_loop_t loop;
  int code;
  if (!tool_start (argc, argv, "rr-worker",
                   "Workers that run simulated tasks and requests, for tests.",
                   flags, FLAGS, &loop, &code))
    return code;
  struct rr_error err = { 0 };
  worker_count = flags[FLAG_COUNT].number;
  if (worker_count < 1 || worker_count > WORKERS_MAX
      || flags[FLAG_RACK_SIZE].number < 1 || flags[FLAG_SERVICE].number < 1
      || flags[FLAG_SPEED].number < 1 || flags[FLAG_INCARNATION].number < 1)
    {
      rr_error_set (&err, RR_ERROR_INVALID,
                    "--count must be 1 to %d; --rack-size, --service-us and "
                    "--incarnation positive",
                    WORKERS_MAX);
      return tool_fail ("rr-worker", &err);
    }
  settings = (struct worker_settings){
    .first_port = flags[FLAG_PORT].number,
    .zone = flags[FLAG_ZONE].text,
    .rack = flags[FLAG_RACK].text,
    .rack_size = flags[FLAG_RACK_SIZE].number,
    .capacity = { .cores_milli = flags[FLAG_CORES].number,
                  .memory_mb = flags[FLAG_MEMORY].number,
                  .accelerators = flags[FLAG_ACCELERATORS].number,
                  .slots = flags[FLAG_SLOTS].number,
                  .connections = flags[FLAG_CONNECTIONS].number },
    .first_incarnation = flags[FLAG_INCARNATION].number,
    .seed = (uint64_t)flags[FLAG_SEED].number,
    .table_seed = (uint64_t)flags[FLAG_TABLE_SEED].number,
    .usage_lag_ms = flags[FLAG_LAG].number,
    .usage_window_ms = flags[FLAG_WINDOW].number,
    .work_speed = flags[FLAG_SPEED].number,
    .service_ms = (double)flags[FLAG_SERVICE].number / 1000,
    .fail_class = flags[FLAG_FAIL_CLASS].text,
    .hog_class = flags[FLAG_HOG_CLASS].text,
    .guard = flags[FLAG_NO_GUARD].count == 0,
    .fail_everything = flags[FLAG_FAIL].count > 0,
  };
  workers = tool_alloc ((size_t)worker_count * sizeof *workers);
  for (int i = 0; i < worker_count; i++)
    worker_init (&workers[i], i, flags[FLAG_PREFIX].text);
  if (flags[FLAG_PRINT].count > 0)
    return print_entries ();
  settings.log = tool_open_log (flags[FLAG_LOG].text, &err);
  return err.code == RR_OK ? serve (&loop) : tool_fail ("rr-worker", &err);
}
