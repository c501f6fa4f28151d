#include <stdio.h>
#include <string.h>

#include "../check_suite.h"
#include "common/json.h"
#include "rosemaryraild/workers_internal.h"

enum
{
  REPORT_MS = 1000,
  LEASE_MS = 60000,
  BASE_US = 10000,      /* latency of the service without batch work */
  OVERLOADED_US = 30000 /* latency that calls for relief */
};

/* The worker beside the daemon: its batch task, which uses half of its cores,
   and how it answers.  */
static struct
{
  int speed_percent;
  bool reports_speed; /* false: as workers did before the member existed */
  int answers_lost;   /* throttle calls still to be left without an answer,
                         although they are carried out */
  int throttle_calls;
  int evictions; /* of the task, before its start here */
  int checkpoint_calls;
  bool has_task;
  int64_t latency_us;
} worker_side;

static struct rr_time now;
static struct daemon d;
static struct workers ws;
static struct worker w;

/* The linker calls these in place of daemon_now and http_client_send.  */
struct rr_time test_now (void) __asm__("__wrap_daemon_now");
void test_send (struct http_client *c, const struct http_call *call,
                http_done_fn *done,
                void *data) __asm__("__wrap_http_client_send");

struct rr_time
test_now (void)
{
  return now;
}

/* Writes the worker's report for the window that ends now.  */
static void
print_report (char *out, size_t size)
{
  long long end_ms = now.ms;
  long long start_ms = end_ms - REPORT_MS;
  char speed[32] = "";
  char task[512] = "";
  char usage[512] = "";
  if (worker_side.reports_speed)
    snprintf (speed, sizeof speed, ",\"percent\":%d",
              worker_side.speed_percent);
  if (worker_side.has_task)
    {
      snprintf (
          task, sizeof task,
          "{\"task\":\"batch:a.0\",\"attempt\":1,\"state\":\"running\","
          "\"kind\":\"batch\",\"service\":\"\",\"class\":\"scan\","
          "\"team\":\"batch\",\"cores_milli\":8000,\"memory_mb\":100,"
          "\"accelerators\":0,\"evictions\":%d,\"granted_until_ms\":%lld%s}",
          worker_side.evictions, end_ms + LEASE_MS, speed);
      snprintf (usage, sizeof usage,
                "{\"task\":\"batch:a.0\",\"attempt\":1,\"class\":\"scan\","
                "\"window_start_ms\":%lld,\"window_end_ms\":%lld,"
                "\"cores_milli\":%d,\"memory_mb\":100,\"done_ms\":1000}",
                start_ms, end_ms, 80 * worker_side.speed_percent);
    }
  snprintf (out, size,
            "{\"epoch\":1,\"incarnation\":1,\"now_ms\":%lld,\"requests\":0,"
            "\"tasks\":[%s],\"ended\":[],\"usage\":[%s],\"services\":["
            "{\"service\":\"check\",\"window_start_ms\":%lld,"
            "\"window_end_ms\":%lld,\"count\":100,\"mean_us\":%lld,"
            "\"p99_us\":%lld}]}",
            end_ms, task, usage, start_ms, end_ms,
            (long long)worker_side.latency_us,
            (long long)worker_side.latency_us);
}

/* Carries out a throttle call.  Returns whether it is answered.  */
static bool
serve_throttle (const struct http_call *call)
{
  struct rr_error err = { 0 };
  struct json_object *o = json_parse (call->body, call->body_length, &err);
  ck_assert_ptr_nonnull (o);
  worker_side.throttle_calls++;
  worker_side.speed_percent = (int)json_int_or (o, "percent", -1);
  json_object_put (o);
  if (worker_side.answers_lost == 0)
    return true;
  worker_side.answers_lost--;
  return false;
}

void
test_send (struct http_client *c, const struct http_call *call,
           http_done_fn *done, void *data)
{
  (void)c;
  char body[2048] = "{\"state\":\"running\"}";
  struct http_result r = { .state = HTTP_CALL_ANSWERED, .status = 200 };
  if (strstr (call->url, "/v1/report") != NULL)
    print_report (body, sizeof body);
  else if (strstr (call->url, "/v1/tasks/checkpoint") != NULL)
    worker_side.checkpoint_calls++;
  else if (strstr (call->url, "/v1/tasks/stop") == NULL)
    {
      ck_assert_ptr_nonnull (strstr (call->url, "/v1/tasks/throttle"));
      if (!serve_throttle (call))
        r = (struct http_result){ .state = HTTP_CALL_UNKNOWN,
                                  .reason = "timeout" };
    }
  r.body = body;
  r.body_length = strlen (body);
  done (data, &r);
}

static void
on_report (void *data, const struct worker_reply *r)
{
  (void)data;
  ck_assert_int_eq (r->state, WORKER_OK);
  worker_apply_report (&w, r->report);
  decisions_apply_report (&w, r->report);
}

/* Lets the daemon get COUNT reports.  */
static void
get_reports (int count)
{
  for (int i = 0; i < count; i++)
    {
      now.ms += REPORT_MS;
      w.call_sent = now;
      worker_report (NULL, &w.endpoint, 1, LEASE_MS, NULL, NULL, 0, -1,
                     REPORT_MS, on_report, NULL);
    }
}

/* Lets the daemon claim the worker and learn the latency of its service.  */
static void
claim (void)
{
  struct rr_ledger_options options = { .request_limit_ms = LEASE_MS };
  struct rr_resources capacity = {
    .cores_milli = 16000, .memory_mb = 64000, .slots = 8, .connections = 64
  };
  struct rr_error err = { 0 };
  now = rr_time_from_ms (1000000);
  worker_side.latency_us = BASE_US;
  worker_side.has_task = false;
  memset (&d, 0, sizeof d);
  memset (&ws, 0, sizeof ws);
  memset (&w, 0, sizeof w);
  d.settings.controller_lease_ms = LEASE_MS;
  d.settings.task_lease_ms = LEASE_MS;
  d.rng = gsl_rng_alloc (gsl_rng_mt19937);
  d.workers = &ws;
  ws.d = &d;
  metrics_open (&d.metrics);
  decisions_open (&ws);
  w.ws = &ws;
  w.incarnation = 1;
  snprintf (w.name, sizeof w.name, "w0");
  decisions_add_worker (&w);
  w.ledger = rr_ledger_new (&options);
  struct rr_ledger_claim c = { .sent = now,
                               .received = now,
                               .worker_now = now,
                               .lease_ms = LEASE_MS,
                               .epoch = 1,
                               .incarnation = 1,
                               .capacity = capacity };
  ck_assert (rr_ledger_claim (w.ledger, &c, &err));
  struct rr_placement_worker view = { .id = w.id,
                                      .total = { .cores_milli = 16000,
                                                 .memory_mb = 64000,
                                                 .slots = 8,
                                                 .connections = 64 },
                                      .leased = true };
  w.index = rr_placement_worker_add (ws.decisions->placement, &view);
  get_reports (100);
  rr_interference_refresh (ws.decisions->interference, now);
  worker_side.throttle_calls = 0;
  worker_side.has_task = true;
}

/* Guards against a task that stays throttled: its former owner throttled it,
   the worker states so, and the new owner takes it to run at full speed.  */
START_TEST (throttled_at_takeover)
{
  worker_side.reports_speed = true;
  worker_side.speed_percent = 25;
  claim ();
  get_reports (60);
  ck_assert_int_eq (worker_side.speed_percent, 100);
}
END_TEST

/* Guards against a new owner that lifts a throttle, or takes full speed for
   the speed to cut, while the worker is overloaded.  */
START_TEST (throttled_at_takeover_of_overloaded_worker)
{
  worker_side.reports_speed = true;
  worker_side.speed_percent = 50;
  claim ();
  worker_side.latency_us = OVERLOADED_US;
  get_reports (2);
  ck_assert_int_eq (worker_side.throttle_calls, 1);
  ck_assert_int_eq (worker_side.speed_percent, 25);
}
END_TEST

/* Guards against a task that stays throttled after a takeover from a worker
   that doesn't state speeds.  */
START_TEST (speed_not_reported)
{
  worker_side.reports_speed = false;
  worker_side.speed_percent = 25;
  claim ();
  get_reports (5);
  ck_assert_int_eq (worker_side.speed_percent, 100);
  ck_assert_int_eq (worker_side.throttle_calls, 1);
}
END_TEST

/* Guards against a speed that counts as set although nobody confirmed it.  */
START_TEST (speed_not_confirmed)
{
  worker_side.reports_speed = false;
  worker_side.speed_percent = 25;
  claim ();
  worker_side.answers_lost = 2;
  get_reports (5);
  worker_side.answers_lost = 0;
  ck_assert_int_eq (worker_side.speed_percent, 100);
  ck_assert_int_eq (worker_side.throttle_calls, 3);
}
END_TEST

/* Guards against a task that stays throttled because the answer to the
   throttle was lost: the daemon took the task to run at full speed still.  */
START_TEST (throttle_answer_lost)
{
  worker_side.reports_speed = false;
  worker_side.speed_percent = 100;
  claim ();
  get_reports (2);
  ck_assert_int_eq (worker_side.throttle_calls, 1);
  worker_side.latency_us = OVERLOADED_US;
  worker_side.answers_lost = 1;
  get_reports (2);
  ck_assert_int_eq (worker_side.speed_percent, 50);
  get_reports (1);
  ck_assert_int_eq (worker_side.speed_percent, 50);
  worker_side.latency_us = BASE_US;
  get_reports (60);
  ck_assert_int_eq (worker_side.speed_percent, 100);
}
END_TEST

/* Returns how often the daemon began to move a task, which had been evicted
   EVICTIONS times before, off a worker that stays overloaded.  */
static int
count_moves (int evictions)
{
  worker_side.reports_speed = true;
  worker_side.speed_percent = 100;
  worker_side.evictions = evictions;
  claim ();
  struct rr_placement_worker elsewhere = { .id = w.id + 1,
                                           .rack = 1,
                                           .total = { .cores_milli = 16000,
                                                      .memory_mb = 64000,
                                                      .slots = 8,
                                                      .connections = 64 },
                                           .leased = true };
  rr_placement_worker_add (ws.decisions->placement, &elsewhere);
  worker_side.latency_us = OVERLOADED_US;
  for (int i = 0; i < 60; i++)
    {
      get_reports (1);
      rr_interference_refresh (ws.decisions->interference, now);
    }
  return worker_side.checkpoint_calls;
}

/* Guards against a new owner that takes a task for one that was never evicted,
   and evicts it more often than relief.task_evictions_max allows.  */
START_TEST (evictions_at_takeover) { ck_assert_int_eq (count_moves (1), 0); }
END_TEST

/* Guards against an evictions_at_takeover that passes because nothing would be
   moved in any case.  */
START_TEST (first_eviction_after_takeover)
{
  ck_assert_int_eq (count_moves (0), 1);
}
END_TEST

SUITE ("speeds", throttled_at_takeover,
       throttled_at_takeover_of_overloaded_worker, speed_not_reported,
       speed_not_confirmed, throttle_answer_lost, evictions_at_takeover,
       first_eviction_after_takeover)
