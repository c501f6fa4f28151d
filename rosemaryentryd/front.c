#include "rosemaryentryd/front_private.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/http_server.h"
#include "common/log.h"
#include "platform/documents.h"
#include "rosemaryentryd/config_view.h"
#include "rosemaryentryd/metrics.h"
#include "rosemaryentryd/records.h"
#include "rosemaryentryd/shard_selection.h"
#include "rosemaryentryd/store_cache.h"

enum
{
  BODY_MAX_BYTES = 1 << 20,
  REQUEST_TIMEOUT_MS = 15000, /* a whole request, or an idle connection */
  DEADLINE_DEFAULT_MS = 3000, /* when the caller sends no deadline */
  DEADLINE_SLACK_MS = 60,     /* for the response's way back */
  RETRY_INTERVAL_MS = 60,
  /* A store that refuses calls is retried for this long before the caller gets
     status 503: another daemon may be able to reach it.  */
  REFUSED_RETRY_MS = 250
};

static void request_attempt (struct request *q);

static void
respond_json (struct http_exchange *x, int status, const char *json)
{
  /* Retry-After is in whole seconds.  Another daemon may serve the caller at
     once, and the store is usually available again within one second.  */
  struct http_header headers[]
      = { { "content-type", "application/json" }, { "Retry-After", "1" } };
  size_t n = status == 503 || status == 429 ? 2 : 1;
  http_exchange_respond (x, status, headers, n, json, strlen (json));
}

static void
respond_error (struct http_exchange *x, int status, const char *code)
{
  char json[128];
  snprintf (json, sizeof json, "{\"error\":\"%s\"}", code);
  respond_json (x, status, json);
}

static void
on_request_closed (uv_handle_t *h)
{
  struct request *q = h->data;
  free (q->text);
  free (q);
}

static const char *
request_kind_name (const struct request *q)
{
  static const char *const names[] = { "submit", "cancel", "state" };
  return names[q->kind];
}

/* Responds to Q with STATUS and frees Q.  JSON is the body, or the error code
   if STATUS is an error.  */
void
request_finish (struct request *q, int status, const char *json)
{
  log_event (status < 400 || status == 410 ? LOG_LEVEL_INFO : LOG_LEVEL_WARN,
             "request_answered", "job=%s kind=%s status=%d ms=%lld unknown=%d",
             q->id, request_kind_name (q), status,
             (long long)rr_time_diff (entry_now (), q->arrived), q->unknown);
  entry_metrics_latency (q->front->entry->metrics, q->queue,
                         request_kind_name (q),
                         rr_time_diff (entry_now (), q->arrived));
  entry_metrics_event (q->front->entry->metrics,
                       status < 400    ? "request_served"
                       : status == 410 ? "request_unknown_job"
                                       : "request_failed");
  if (status < 400)
    respond_json (q->exchange, status, json);
  else
    respond_error (q->exchange, status, json);
  uv_timer_stop (&q->retry_timer);
  uv_close ((uv_handle_t *)&q->retry_timer, on_request_closed);
}

static void
on_retry_timer (uv_timer_t *timer)
{
  request_attempt (timer->data);
}

/* Schedules a retry after the failure R.  Responds with an error instead if
   the deadline would pass, the store has refused calls for too long, or it
   rejected the call as invalid.  The error is outcome-unknown if any write may
   have taken effect.  */
void
request_retry (struct request *q, const struct store_result *r)
{
  struct rr_time now = entry_now ();
  if (r->state == STORE_UNKNOWN && q->kind != REQUEST_STATE)
    q->unknown = true;
  bool past_deadline
      = !rr_time_before (rr_time_add (now, RETRY_INTERVAL_MS), q->deadline);
  bool refused
      = !q->unknown && rr_time_diff (now, q->arrived) > REFUSED_RETRY_MS;
  if (past_deadline || refused || r->state == STORE_INVALID)
    {
      request_finish (q, q->unknown ? 504 : 503,
                      q->unknown ? "outcome-unknown" : "store-unavailable");
      return;
    }
  uv_timer_start (&q->retry_timer, on_retry_timer, RETRY_INTERVAL_MS, 0);
}

/* Returns the timeout in milliseconds of a call to the store for Q, whose
   caller waits no longer than until its deadline.  */
uint64_t
request_store_timeout_ms (const struct request *q)
{
  int64_t left_ms = rr_time_diff (q->deadline, entry_now ());
  uint64_t ms
      = entry_store_timeout_ms (q->front->entry, STORE_CALL_TIMEOUT_MS);
  if (left_ms < STORE_CALL_TIMEOUT_MS)
    return STORE_CALL_TIMEOUT_MS;
  return left_ms < (int64_t)ms ? (uint64_t)left_ms : ms;
}

/* Continues a query for a job that is not in the records, with the result of
   reading the job's key from the store.  */
static void
on_job_key_read (void *data, const struct store_result *r)
{
  struct request *q = data;
  if (r->state == STORE_MISSING)
    request_finish (q, 410, "no-such-job");
  else if (r->state != STORE_OK)
    request_retry (q, r);
  else
    request_finish_phase (q);
}

static void
request_attempt (struct request *q)
{
  struct entry *e = q->front->entry;
  const struct job_record *j = records_job (e->records, q->id);
  bool known = j != NULL && j->accepted;
  switch (q->kind)
    {
    case REQUEST_SUBMIT:
      if (known)
        request_finish (q, 200, "{}");
      else
        request_store_job (q);
      return;
    case REQUEST_CANCEL:
      if (known && j->cancelled)
        request_finish (q, 200, "{}");
      else
        request_store_cancellation (q);
      return;
    case REQUEST_STATE:
      if (known)
        request_read_phase (q, j);
      else
        store_get (e->store, q->job_key, request_store_timeout_ms (q),
                   on_job_key_read, q);
      return;
    }
}

static struct rr_time
request_deadline (struct http_exchange *x, const struct rr_route *route)
{
  const char *text = http_exchange_header (x, PLATFORM_DEADLINE_HEADER);
  long long ms = text == NULL ? 0 : strtoll (text, NULL, 10);
  if (ms <= 0)
    ms = DEADLINE_DEFAULT_MS;
  if (route->timeout_ms > 0 && route->timeout_ms < ms)
    ms = route->timeout_ms;
  return rr_time_add (entry_now (), ms - DEADLINE_SLACK_MS);
}

static struct request *
request_new (struct front *f, struct http_exchange *x,
             const struct rr_route *route, const char *id)
{
  struct request *q = calloc (1, sizeof *q);
  assert (q != NULL);
  q->front = f;
  q->exchange = x;
  q->arrived = entry_now ();
  q->deadline = request_deadline (x, route);
  snprintf (q->id, sizeof q->id, "%s", id);
  snprintf (q->queue, sizeof q->queue, "%s", route->policy.queue);
  snprintf (q->job_key, sizeof q->job_key, "%s%s", KEY_JOB, id);
  snprintf (q->cancel_key, sizeof q->cancel_key, "%s%s", KEY_CANCEL, id);
  uv_timer_init (f->entry->loop, &q->retry_timer);
  q->retry_timer.data = q;
  return q;
}

/* Returns whether the store has responded recently.  Nothing is accepted
   without it.  */
static bool
store_responsive (const struct entry *e)
{
  return store_cache_synced (e->records_cache)
         && rr_time_diff (entry_now (), entry_store_last_response (e))
                <= STORE_RESPONSE_AGE_MAX_MS;
}

static void
handle_submission (struct front *f, struct http_exchange *x,
                   const struct rr_route *route, const char *id)
{
  struct entry *e = f->entry;
  size_t length;
  const char *body = http_exchange_body (x, &length);
  struct rr_error err = { 0 };
  if (e->queues->body_max_bytes > 0
      && length > (size_t)e->queues->body_max_bytes)
    {
      respond_error (x, 413, "body-too-large");
      return;
    }
  struct rr_job_graph *g = platform_job_decode (id, body, length, &err);
  if (g == NULL)
    {
      log_event (LOG_LEVEL_WARN, "job_rejected", "job=%s status=400 %s", id,
                 err.message);
      http_exchange_respond_error (x, 400, &err);
      return;
    }
  snprintf (g->queue, sizeof g->queue, "%s", route->policy.queue);
  snprintf (g->service, sizeof g->service, "%s", route->policy.service);
  g->attempts_max = route->policy.attempts_max;
  g->needs_permits = route->policy.needs_permits;
  g->accepted_ms = entry_wall_ms ();
  const struct shard_record *s = shard_selection_for_job (e, g);
  if (s == NULL)
    {
      log_event (LOG_LEVEL_WARN, "request_refused",
                 "job=%s status=503 reason=no-layout", id);
      respond_error (x, 503, "starting");
      rr_job_graph_free (g);
      return;
    }
  snprintf (g->shard, sizeof g->shard, "%s", s->name);
  struct request *q = request_new (f, x, route, id);
  q->kind = REQUEST_SUBMIT;
  q->text = rr_job_graph_encode (g);
  if (strlen (q->text) > (size_t)e->settings.value_max_bytes)
    {
      log_event (LOG_LEVEL_WARN, "job_rejected",
                 "job=%s status=413 bytes=%zu max=%lld", id, strlen (q->text),
                 (long long)e->settings.value_max_bytes);
      request_finish (q, 413, "job-too-large");
      rr_job_graph_free (g);
      return;
    }
  log_event (LOG_LEVEL_INFO, "job_submitted",
             "job=%s queue=%s shard=%s steps=%zu config=%lld", id, g->queue,
             s->name, g->step_count, (long long)e->queues->version);
  rr_job_graph_free (g);
  request_attempt (q);
}

/* Responds with the number of jobs that wait in the queue of ROUTE, unless it
   may be out of date.  */
static void
respond_pending (struct front *f, struct http_exchange *x,
                 const struct rr_route *route)
{
  char json[64];
  const struct entry *e = f->entry;
  if (!store_responsive (e) || !config_view_current (e->config))
    {
      log_event (LOG_LEVEL_WARN, "request_refused",
                 "queue=%s status=503 reason=count-outdated silent_ms=%lld "
                 "config_age_ms=%lld",
                 route->policy.queue,
                 (long long)rr_time_diff (entry_now (),
                                          entry_store_last_response (e)),
                 (long long)config_view_age_ms (e->config));
      respond_error (x, 503, "store-unavailable");
      return;
    }
  platform_pending_response (
      records_pending (f->entry->records, route->policy.queue), json,
      sizeof json);
  respond_json (x, 200, json);
}

static bool
id_valid (const char *id)
{
  size_t n = strspn (id, "0123456789abcdefABCDEF");
  return n == 16 && id[n] == '\0';
}

static void
handle_request (struct front *f, struct http_exchange *x,
                const struct rr_route *route, const char *id)
{
  const char *method = http_exchange_method (x);
  bool is_post = strcmp (method, "POST") == 0;
  bool is_get = strcmp (method, "GET") == 0;
  bool is_delete = strcmp (method, "DELETE") == 0;
  if (is_get && id[0] == '\0')
    {
      respond_pending (f, x, route);
      return;
    }
  if (!id_valid (id) || (!is_post && !is_get && !is_delete))
    {
      respond_error (x, id_valid (id) ? 405 : 404, "no-such-resource");
      return;
    }
  const struct job_record *j = records_job (f->entry->records, id);
  bool known = j != NULL && j->accepted;
  if (!store_responsive (f->entry) && !(known && !is_delete))
    {
      log_event (
          LOG_LEVEL_WARN, "request_refused",
          "job=%s method=%s status=503 reason=store-silent silent_ms=%lld", id,
          method,
          (long long)rr_time_diff (entry_now (),
                                   entry_store_last_response (f->entry)));
      respond_error (x, 503, "store-unavailable");
      return;
    }
  if (is_post && !config_view_current (f->entry->config))
    {
      log_event (LOG_LEVEL_WARN, "request_refused",
                 "job=%s method=%s status=503 reason=config-outdated "
                 "config=%lld config_age_ms=%lld",
                 id, method, (long long)f->entry->queues->version,
                 (long long)config_view_age_ms (f->entry->config));
      respond_error (x, 503, "config-outdated");
      return;
    }
  if (is_post)
    {
      handle_submission (f, x, route, id);
      return;
    }
  struct request *q = request_new (f, x, route, id);
  q->kind = is_delete ? REQUEST_CANCEL : REQUEST_STATE;
  request_attempt (q);
}

/* Refuses a request for a queue that is not in the configuration.  Whether the
   queue exists is not known while that may be out of date.  */
static void
refuse_unknown_queue (const struct entry *e, struct http_exchange *x,
                      const char *path)
{
  bool current = config_view_current (e->config);
  log_event (current ? LOG_LEVEL_INFO : LOG_LEVEL_WARN, "request_refused",
             "path=%s status=%d reason=%s config=%lld config_age_ms=%lld",
             path, current ? 404 : 503,
             current ? "no-such-queue" : "config-outdated",
             (long long)config_view_version (e->config),
             (long long)config_view_age_ms (e->config));
  if (current)
    respond_error (x, 404, "no-such-queue");
  else
    respond_error (x, 503, "config-outdated");
}

static void
on_caller_request (void *data, struct http_exchange *x)
{
  struct front *f = data;
  const struct rr_queues *queues = f->entry->queues;
  if (queues == NULL)
    {
      respond_error (x, 503, "no-configuration");
      return;
    }
  const char *host = http_exchange_header (x, "host");
  const char *path = http_exchange_path (x);
  const struct rr_route *route
      = rr_queues_find (queues, host == NULL ? "" : host, path);
  if (route == NULL)
    {
      refuse_unknown_queue (f->entry, x, path);
      return;
    }
  handle_request (f, x, route, path + strlen (route->prefix));
}

static void
on_health_check (void *data, struct http_exchange *x)
{
  struct front *f = data;
  struct entry *e = f->entry;
  bool known_path = strcmp (http_exchange_path (x), PLATFORM_READY_PATH) == 0;
  bool ready = config_view_current (e->config) && !e->stopping
               && store_responsive (e) && records_shard_count (e->records) > 0;
  respond_json (x, !known_path ? 404 : ready ? 200 : 503, "{}");
}

/* Starts to serve callers and health checks; null with ERR if an address
   cannot be bound.  */
struct front *
front_open (struct entry *e, struct rr_error *err)
{
  struct front *f = calloc (1, sizeof *f);
  assert (f != NULL);
  f->entry = e;
  struct http_server_limits limits
      = { .body_max_bytes = BODY_MAX_BYTES,
          .request_timeout_ms = REQUEST_TIMEOUT_MS };
  f->callers = http_server_open (e->loop, e->settings.front.address,
                                 e->settings.front.port, &limits,
                                 on_caller_request, f, err);
  if (f->callers == NULL)
    return NULL;
  f->health_checks = http_server_open (e->loop, e->settings.ready.address,
                                       e->settings.ready.port, &limits,
                                       on_health_check, f, err);
  return f->health_checks == NULL ? NULL : f;
}

/* Closes each connection of a caller after its next response.  */
void
front_drain (struct front *f)
{
  http_server_drain (f->callers);
}

/* Returns the number of callers' requests handled so far.  */
size_t
front_handled_count (const struct front *f)
{
  return http_server_handled (f->callers);
}

/* Returns the number of callers' requests without a response.  */
size_t
front_in_progress_count (const struct front *f)
{
  return http_server_in_progress (f->callers);
}
