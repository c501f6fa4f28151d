#include "rosemaryraild/worker_api.h"

#include <assert.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/json.h"

enum
{
  ANSWER_MAX_BYTES = 1000000,
  URL_MAX_BYTES = 256,
  REPORT_ROWS_MAX = 4096
};

enum worker_call_kind
{
  CALL_CLAIM,
  CALL_REPORT,
  CALL_ATTEMPT, /* the response has the state of one attempt */
  CALL_PLAIN    /* no member of the response is read */
};

struct worker_call
{
  enum worker_call_kind kind;
  worker_done_fn *done;
  void *data;
};

static void
copy_text (char *out, size_t size, struct json_object *o, const char *name)
{
  snprintf (out, size, "%s", json_string_or (o, name, ""));
}

static void
parse_task (struct json_object *o, struct worker_task *t)
{
  memset (t, 0, sizeof *t);
  copy_text (t->task, sizeof t->task, o, "task");
  t->attempt = (uint32_t)json_int_or (o, "attempt", 0);
  t->running = strcmp (json_string_or (o, "state", ""), "running") == 0;
  copy_text (t->kind, sizeof t->kind, o, "kind");
  copy_text (t->service, sizeof t->service, o, "service");
  copy_text (t->task_class, sizeof t->task_class, o, "class");
  copy_text (t->team, sizeof t->team, o, "team");
  copy_text (t->result, sizeof t->result, o, "result");
  copy_text (t->checkpoint, sizeof t->checkpoint, o, "checkpoint");
  t->sequence = json_int_or (o, "sequence", 0);
  int64_t evictions = json_int_or (o, "evictions", 0);
  if (evictions > 0)
    t->evictions = evictions < INT_MAX ? (unsigned)evictions : INT_MAX;
  t->granted_until_ms = json_int_or (o, "granted_until_ms", 0);
  int64_t percent = json_int_or (o, "percent", 0);
  t->speed_percent
      = percent >= 1 && percent <= 100 ? (int)percent : WORKER_SPEED_UNKNOWN;
  int64_t cores = json_int_or (o, "cores_milli", -1);
  t->sized = cores >= 0;
  if (t->sized)
    t->declared = (struct rr_resources){
      .cores_milli = cores,
      .memory_mb = json_int_or (o, "memory_mb", 0),
      .accelerators = json_int_or (o, "accelerators", 0),
      .slots = 1,
    };
}

static void
parse_usage (struct json_object *o, struct worker_usage *u)
{
  memset (u, 0, sizeof *u);
  copy_text (u->task, sizeof u->task, o, "task");
  u->attempt = (uint32_t)json_int_or (o, "attempt", 0);
  copy_text (u->task_class, sizeof u->task_class, o, "class");
  u->window_start_ms = json_int_or (o, "window_start_ms", 0);
  u->window_end_ms = json_int_or (o, "window_end_ms", 0);
  u->cores_milli = json_int_or (o, "cores_milli", 0);
  u->memory_mb = json_int_or (o, "memory_mb", 0);
  u->done_ms = json_int_or (o, "done_ms", 0);
}

static void
parse_service_usage (struct json_object *o, struct worker_service_usage *u)
{
  memset (u, 0, sizeof *u);
  copy_text (u->service, sizeof u->service, o, "service");
  u->window_start_ms = json_int_or (o, "window_start_ms", 0);
  u->window_end_ms = json_int_or (o, "window_end_ms", 0);
  u->count = json_int_or (o, "count", 0);
  u->mean_us = json_int_or (o, "mean_us", 0);
  u->p99_us = json_int_or (o, "p99_us", 0);
  struct json_object *colocated = NULL;
  if (!json_object_object_get_ex (o, "together", &colocated)
      || !json_object_is_type (colocated, json_type_array))
    return;
  size_t n = json_object_array_length (colocated);
  for (size_t i = 0; i < n && i < WORKER_COLOCATED_MAX; i++)
    {
      const char *name
          = json_object_get_string (json_object_array_get_idx (colocated, i));
      snprintf (u->colocated[u->colocated_count++], NAME_SIZE, "%s",
                name == NULL ? "" : name);
    }
}

/* Returns the array member NAME of O and sets COUNT to its length, at most
   REPORT_ROWS_MAX, or to 0 when there is no such array.  */
static struct json_object *
array_member (struct json_object *o, const char *name, size_t *count)
{
  struct json_object *a = NULL;
  *count = 0;
  if (json_object_object_get_ex (o, name, &a)
      && json_object_is_type (a, json_type_array))
    *count = json_object_array_length (a);
  if (*count > REPORT_ROWS_MAX)
    *count = REPORT_ROWS_MAX;
  return a;
}

static void *
allocate_rows (size_t count, size_t size)
{
  void *rows = calloc (count + 1, size);
  assert (rows != NULL);
  return rows;
}

static bool
parse_status_report (struct json_object *o, struct worker_status_report *a)
{
  struct rr_error err = { 0 };
  int64_t epoch;
  int64_t incarnation;
  int64_t now;
  if (!json_get_int (o, "epoch", &epoch, &err)
      || !json_get_int (o, "incarnation", &incarnation, &err)
      || !json_get_int (o, "now_ms", &now, &err))
    return false;
  a->epoch = (uint64_t)epoch;
  a->incarnation = (uint64_t)incarnation;
  a->now = rr_time_from_ms (now);
  a->requests = json_int_or (o, "requests", 0);
  a->capacity = (struct rr_resources){
    .cores_milli = json_int_or (o, "cores_milli", 0),
    .memory_mb = json_int_or (o, "memory_mb", 0),
    .accelerators = json_int_or (o, "accelerators", 0),
    .slots = json_int_or (o, "slots", 0),
    .connections = json_int_or (o, "connections", 0),
  };
  struct json_object *leaving = NULL;
  a->leaving = json_object_object_get_ex (o, "leaving", &leaving)
               && json_object_get_boolean (leaving);
  size_t running;
  size_t ended;
  struct json_object *tasks = array_member (o, "tasks", &running);
  struct json_object *ended_tasks = array_member (o, "ended", &ended);
  a->tasks = allocate_rows (running + ended, sizeof *a->tasks);
  for (size_t i = 0; i < running; i++)
    parse_task (json_object_array_get_idx (tasks, i),
                &a->tasks[a->task_count++]);
  for (size_t i = 0; i < ended; i++)
    parse_task (json_object_array_get_idx (ended_tasks, i),
                &a->tasks[a->task_count++]);
  struct json_object *usage = array_member (o, "usage", &a->usage_count);
  a->usage = allocate_rows (a->usage_count, sizeof *a->usage);
  for (size_t i = 0; i < a->usage_count; i++)
    parse_usage (json_object_array_get_idx (usage, i), &a->usage[i]);
  struct json_object *services
      = array_member (o, "services", &a->service_count);
  a->services = allocate_rows (a->service_count, sizeof *a->services);
  for (size_t i = 0; i < a->service_count; i++)
    parse_service_usage (json_object_array_get_idx (services, i),
                         &a->services[i]);
  return true;
}

static void
status_report_free (struct worker_status_report *a)
{
  free (a->tasks);
  free (a->usage);
  free (a->services);
}

/* Fills R from the JSON object O.  Returns false when O lacks a required
   member.  */
static bool
parse_reply (enum worker_call_kind kind, struct json_object *o,
             struct worker_reply *r, struct worker_status_report *report,
             struct worker_task *task)
{
  if (r->state == WORKER_REFUSED)
    {
      r->reason = json_string_or (o, "reason", "refused");
      r->remaining_ms = json_int_or (o, "remaining_ms", 0);
      return true;
    }
  switch (kind)
    {
    case CALL_CLAIM:
    case CALL_REPORT:
      r->report = report;
      return parse_status_report (o, report);
    case CALL_ATTEMPT:
      parse_task (o, task);
      r->task = task;
      r->never_started
          = strcmp (json_string_or (o, "state", ""), "never") == 0;
      return json_string_or (o, "state", NULL) != NULL;
    case CALL_PLAIN:
      return true;
    }
  return false;
}

static void
on_call_done (void *data, const struct http_result *h)
{
  struct worker_call *call = data;
  struct worker_reply r = { .state = WORKER_UNKNOWN,
                            .reason = "no answer",
                            .bytes = h->body_length };
  struct worker_status_report report = { 0 };
  struct worker_task task;
  struct json_object *o = NULL;
  if (h->state == HTTP_CALL_NOT_SENT)
    r.state = WORKER_NOT_SENT;
  else if (h->state == HTTP_CALL_ANSWERED
           && (h->status == 200 || h->status == 409))
    {
      struct rr_error err = { 0 };
      r.state = h->status == 200 ? WORKER_OK : WORKER_REFUSED;
      o = json_parse (h->body, h->body_length, &err);
      if (o == NULL || !parse_reply (call->kind, o, &r, &report, &task))
        {
          r = (struct worker_reply){ .state = WORKER_UNKNOWN,
                                     .reason = "malformed answer" };
        }
    }
  else if (h->state == HTTP_CALL_ANSWERED && h->status == 400)
    {
      r.state = WORKER_REFUSED;
      r.reason = "bad-request";
    }
  call->done (call->data, &r);
  status_report_free (&report);
  json_object_put (o);
  free (call);
}

static void
send_call (struct http_client *c, const struct worker_endpoint *to,
           enum worker_call_kind kind, const char *path,
           struct json_object *body, uint64_t timeout_ms, worker_done_fn *done,
           void *data)
{
  char url[URL_MAX_BYTES];
  snprintf (url, sizeof url, "http://%s:%u%s", to->address, to->port, path);
  struct worker_call *call = calloc (1, sizeof *call);
  assert (call != NULL);
  *call = (struct worker_call){ kind, done, data };
  const char *text = json_text (body);
  struct http_header type = { "Content-Type", "application/json" };
  struct http_call h = {
    .method = "POST",
    .url = url,
    .headers = &type,
    .header_count = 1,
    .body = text,
    .body_length = strlen (text),
    .timeout_ms = timeout_ms,
    .answer_max_bytes = ANSWER_MAX_BYTES,
    /* Every control call carries an epoch or attempt number, so that a second
       delivery has no effect.  */
    .idempotent = true,
  };
  http_client_send (c, &h, on_call_done, call);
  json_object_put (body);
}

/* Requests the controller lease of a worker.  */
void
worker_claim (struct http_client *c, const struct worker_endpoint *to,
              const char *daemon, uint64_t incarnation, int64_t lease_ms,
              uint64_t timeout_ms, worker_done_fn *done, void *data)
{
  struct json_object *o = json_object_new_object ();
  json_add_string (o, "daemon", daemon);
  json_add_int (o, "incarnation", (int64_t)incarnation);
  json_add_int (o, "lease_ms", lease_ms);
  send_call (c, to, CALL_CLAIM, "/v1/claim", o, timeout_ms, done, data);
}

/* Releases the controller lease.  */
void
worker_release (struct http_client *c, const struct worker_endpoint *to,
                uint64_t epoch, uint64_t timeout_ms, worker_done_fn *done,
                void *data)
{
  struct json_object *o = json_object_new_object ();
  json_add_int (o, "epoch", (int64_t)epoch);
  send_call (c, to, CALL_PLAIN, "/v1/release", o, timeout_ms, done, data);
}

/* Renews the controller lease and the task leases in RENEWALS, and gets the
   worker's status report.  GRANTS has the end of the grant for each renewal;
   the worker returns it to the daemon that claims the worker next.  Ends up to
   the sequence number ENDED_AFTER have been recorded and need not be reported
   again.  */
void
worker_report (struct http_client *c, const struct worker_endpoint *to,
               uint64_t epoch, int64_t lease_ms,
               const struct rr_renewal *renewals, const struct rr_time *grants,
               size_t count, int64_t ended_after, uint64_t timeout_ms,
               worker_done_fn *done, void *data)
{
  struct json_object *o = json_object_new_object ();
  json_add_int (o, "epoch", (int64_t)epoch);
  json_add_int (o, "lease_ms", lease_ms);
  json_add_int (o, "ended_after", ended_after);
  struct json_object *renew = json_object_new_array ();
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *e = json_object_new_object ();
      json_add_string (e, "task", renewals[i].task);
      json_add_int (e, "attempt", renewals[i].attempt);
      json_add_int (e, "until_ms", renewals[i].until.ms);
      json_add_int (e, "granted_until_ms", grants[i].ms);
      json_object_array_add (renew, e);
    }
  json_object_object_add (o, "renew", renew);
  send_call (c, to, CALL_REPORT, "/v1/report", o, timeout_ms, done, data);
}

/* Starts an attempt.  */
void
worker_start (struct http_client *c, const struct worker_endpoint *to,
              const struct worker_start *start, uint64_t timeout_ms,
              worker_done_fn *done, void *data)
{
  const peer_task *t = start->task;
  struct json_object *o = json_object_new_object ();
  json_add_int (o, "epoch", (int64_t)start->epoch);
  json_add_string (o, "task", t->task);
  json_add_int (o, "attempt", t->attempt);
  json_add_int (o, "shard", t->shard);
  json_add_int (o, "shard_epoch", (int64_t)t->shard_epoch);
  json_add_int (o, "void_after_ms", start->void_after_ms);
  json_add_int (o, "granted_until_ms", start->granted_until_ms);
  json_add_int (o, "lease_ms", start->lease_ms);
  json_add_string (o, "kind", t->kind);
  json_add_string (o, "service", t->service);
  json_add_string (o, "class", t->task_class);
  json_add_string (o, "team", t->team);
  json_add_int (o, "cores_milli", t->cores_milli);
  json_add_int (o, "memory_mb", t->memory_mb);
  json_add_int (o, "accelerators", t->accelerators);
  json_add_int (o, "evictions", t->evictions);
  json_add_int (o, "work_ms", (int64_t)t->work_ms);
  json_add_string (o, "checkpoint", t->checkpoint);
  send_call (c, to, CALL_PLAIN, "/v1/tasks/start", o, timeout_ms, done, data);
}

static struct json_object *
attempt_object (const struct worker_attempt *a)
{
  struct json_object *o = json_object_new_object ();
  json_add_int (o, "epoch", (int64_t)a->epoch);
  json_add_string (o, "task", a->task);
  json_add_int (o, "attempt", a->attempt);
  json_add_int (o, "shard", a->shard);
  json_add_int (o, "shard_epoch", (int64_t)a->shard_epoch);
  return o;
}

/* Gets the state of an attempt, and makes sure that one which has not started
   never does.  */
void
worker_seal (struct http_client *c, const struct worker_endpoint *to,
             const struct worker_attempt *attempt, uint64_t timeout_ms,
             worker_done_fn *done, void *data)
{
  send_call (c, to, CALL_ATTEMPT, "/v1/tasks/seal", attempt_object (attempt),
             timeout_ms, done, data);
}

/* Stops an attempt; the response has its result.  */
void
worker_stop (struct http_client *c, const struct worker_endpoint *to,
             const struct worker_attempt *attempt, uint64_t timeout_ms,
             worker_done_fn *done, void *data)
{
  send_call (c, to, CALL_ATTEMPT, "/v1/tasks/stop", attempt_object (attempt),
             timeout_ms, done, data);
}

/* Writes a checkpoint of a running attempt; the response has its name.  */
void
worker_checkpoint (struct http_client *c, const struct worker_endpoint *to,
                   const struct worker_attempt *attempt, uint64_t timeout_ms,
                   worker_done_fn *done, void *data)
{
  send_call (c, to, CALL_ATTEMPT, "/v1/tasks/checkpoint",
             attempt_object (attempt), timeout_ms, done, data);
}

/* Limits a running attempt to SPEED_PERCENT (1 to 100) of its full speed.  */
void
worker_throttle (struct http_client *c, const struct worker_endpoint *to,
                 const struct worker_attempt *attempt, int speed_percent,
                 uint64_t timeout_ms, worker_done_fn *done, void *data)
{
  struct json_object *o = attempt_object (attempt);
  json_add_int (o, "percent", speed_percent);
  send_call (c, to, CALL_ATTEMPT, "/v1/tasks/throttle", o, timeout_ms, done,
             data);
}

/* Sends the request R with the controller epoch EPOCH.  */
void
worker_execute (struct upstream *u, uint64_t epoch, const struct request *r,
                uint64_t timeout_ms, size_t answer_max_bytes,
                http_done_fn *done, void *data)
{
  char url[URL_MAX_BYTES];
  char attempt_text[24];
  char epoch_text[24];
  char timeout_text[24];
  snprintf (url, sizeof url, "/v1/execute/%s", r->service);
  snprintf (attempt_text, sizeof attempt_text, "%u", r->calls);
  snprintf (epoch_text, sizeof epoch_text, "%llu", (unsigned long long)epoch);
  snprintf (timeout_text, sizeof timeout_text, "%llu",
            (unsigned long long)timeout_ms);
  struct http_header headers[] = {
    { "Content-Type", "application/octet-stream" },
    { "Request-Id", r->id },
    { "Request-Attempt", attempt_text },
    { "Controller-Epoch", epoch_text },
    { "Request-Timeout-Ms", timeout_text },
  };
  struct http_call h = {
    .method = "POST",
    .url = url,
    .headers = headers,
    .header_count = sizeof headers / sizeof headers[0],
    .body = r->body,
    .body_length = r->body_length,
    .timeout_ms = timeout_ms,
    .answer_max_bytes = answer_max_bytes,
    .idempotent = r->repeatable,
  };
  upstream_send (u, &h, done, data);
}

/* Returns whether the worker refused the request before starting it, and sets
   REASON to why.  */
bool
worker_refused (const struct http_result *r, char *reason, size_t size)
{
  return r->state == HTTP_CALL_ANSWERED && r->status == 503
         && http_result_header (r, "Worker-Refused", reason, size);
}
