#include <gsl/gsl_randist.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "standins/tool.h"
#include "standins/worker.h"

/* Spread of the lognormal service time; p99 is about 3.2 times the median.  */
#define SERVICE_SIGMA 0.5

static void
execution_remove (struct execution *e)
{
  LIST_REMOVE (e, link);
  e->worker->used.connections--;
  free (e->request);
  free (e->service);
  free (e->body);
  tool_close_timer (&e->timer);
}

static struct json_object *
execution_event (const struct execution *e, const char *event)
{
  struct json_object *o = worker_event (e->worker, event);
  tool_add (o, "request:s attempt:i service:s", e->request, e->attempt,
            e->service);
  return o;
}

static void
on_execution_done (uv_timer_t *timer)
{
  struct execution *e = timer->data;
  struct worker *w = e->worker;
  static char answer[TOOL_ANSWER_MAX];
  bool fails = w->fail_everything;
  worker_add_latency (w, e->service, tool_now_us () - e->started_us);
  struct http_exchange *x = e->exchange;
  size_t header_count = e->caller ? 2 : 1;
  size_t len = tool_answer_body (e->request, e->body, e->body_length, answer);
  w->used.connections--;
  struct json_object *o = execution_event (e, "execute-end");
  json_add_string (o, "result", fails ? "failed" : "ok");
  worker_log (w, o);
  w->used.connections++;
  execution_remove (e);
  if (fails)
    {
      tool_respond_reason (x, 500, "failed");
      return;
    }
  struct http_header headers[] = { { "Content-Type", "application/json" },
                                   { "Request-Outcome", "answered" } };
  http_exchange_respond (x, 200, headers, header_count, answer, len);
}

/* Ends all executions without an answer, as a VM that fails does.  */
void
worker_abort_executions (struct worker *w)
{
  while (!LIST_EMPTY (&w->executions))
    {
      struct execution *e = LIST_FIRST (&w->executions);
      http_exchange_abort (e->exchange);
      execution_remove (e);
    }
}

static int64_t
header_int (struct http_exchange *x, const char *name, int64_t fallback)
{
  const char *v = http_exchange_header (x, name);
  return v == NULL ? fallback : strtoll (v, NULL, 10);
}

static const char *
execute_refusal (const struct worker *w, struct http_exchange *x, bool caller)
{
  if (!caller
      && !worker_epoch_valid (w, header_int (x, "Controller-Epoch", -1)))
    return "stale-epoch";
  if (w->leaving)
    return "leaving";
  if (header_int (x, "Request-Timeout-Ms", 1) <= 0)
    return "expired";
  if (w->used.connections >= w->settings->capacity.connections)
    return "full";
  return NULL;
}

/* Serves a request for SERVICE: refuses before anything starts, or answers
   after a service time drawn from the worker's generator and lengthened by the
   batch tasks that run at the start.  When CALLER is true the request comes
   straight from a caller: no epoch is needed and the answer carries the
   outcome, which gives a baseline without a daemon in between.  */
void
worker_execute (struct worker *w, struct http_exchange *x, const char *service,
                bool caller)
{
  const char *id = http_exchange_header (x, "Request-Id");
  if (id == NULL || strlen (id) > 128)
    {
      tool_respond_error (x, 400, RR_ERROR_INVALID,
                          "header Request-Id is missing or longer than 128 "
                          "bytes");
      return;
    }
  char request[129];
  snprintf (request, sizeof request, "%s", id);
  int64_t attempt = header_int (x, "Request-Attempt", 1);
  const char *reason = execute_refusal (w, x, caller);
  if (reason != NULL)
    {
      worker_refuse (w, "execute", request, attempt, reason);
      struct http_header refused[]
          = { { "Worker-Refused", reason }, { "Request-Outcome", "not-run" } };
      http_exchange_respond (x, 503, refused, caller ? 2 : 1, "", 0);
      return;
    }
  struct execution *e = tool_alloc (sizeof *e);
  const char *body = http_exchange_body (x, &e->body_length);
  e->body = tool_alloc (e->body_length + 1);
  memcpy (e->body, body, e->body_length);
  e->worker = w;
  e->exchange = x;
  e->request = strdup (request);
  e->attempt = attempt;
  e->service = strdup (service);
  e->caller = caller;
  e->started_us = tool_now_us ();
  LIST_INSERT_HEAD (&w->executions, e, link);
  w->used.connections++;
  worker_log (w, execution_event (e, "execute-start"));
  double ms = gsl_ran_lognormal (w->rng, log (w->settings->service_ms),
                                 SERVICE_SIGMA)
              * worker_interference (w, e->service, NULL);
  tool_timer (w->settings->loop, &e->timer, on_execution_done, e,
              (int64_t)(ms + 0.5));
}
