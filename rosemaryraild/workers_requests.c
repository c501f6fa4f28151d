#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "rosemaryraild/config_keeper.h"
#include "rosemaryraild/peers.h"
#include "rosemaryraild/workers_internal.h"

enum
{
  QUEUE_TICK_MS = 5,
  NO_WORKER_TIMEOUT_MS = 10000, /* covers the expiry of a controller lease */
  NO_WORKER_POLL_MS = 50,
  BACKOFF_BASE_MS = 5,
  BACKOFF_MAX_MS = 200,
  ANSWER_MAX_BYTES = 1000000
};

static const double retry_ratio = 0.1;
static const double retry_burst = 20;

/* One call of a request to a worker.  */
struct execution
{
  struct route *route;
  struct worker *w;
  struct request *r;
  int number; /* worker number in the route's admission */
  int team;
  uint64_t epoch;
  uint64_t sent_ns; /* the limiter compares latencies far below 1 ms */
};

/* A request that waits before it is dispatched again.  */
struct delayed_request
{
  uv_timer_t timer;
  struct workers *ws;
  struct request *r;
};

/* Returns the milliseconds until R's deadline, negative after it.  */
int64_t
request_remaining_ms (const struct request *r)
{
  return rr_time_diff (r->deadline, daemon_now ());
}

static void run_route (struct route *route);

static peer_outcome
peer_outcome_of (enum rr_outcome o)
{
  switch (o)
    {
    case RR_OUTCOME_ANSWERED:
      return PEER_ANSWERED;
    case RR_OUTCOME_NOT_RUN:
      return PEER_NOT_RUN;
    case RR_OUTCOME_UNKNOWN:
      return PEER_UNKNOWN;
    }
  return PEER_UNKNOWN;
}

/* Passes R with its outcome back to its sender: the front actor, or the daemon
   that forwarded it.  */
void
request_finish (struct workers *ws, struct request *r)
{
  ws->in_progress--;
  if (!r->forwarded)
    {
      struct message m = { .type = MESSAGE_REQUEST_DONE };
      m.u.request = r;
      daemon_send (ws->d, &ws->d->front_actor, &m);
      return;
    }
  peer_forward_result out = { .outcome = peer_outcome_of (r->outcome),
                              .status = r->status,
                              .reason = r->reason,
                              .content_type = r->content_type,
                              .body = { .body_len = (u_int)r->answer_length,
                                        .body_val = r->answer } };
  daemon_reply (ws->d, &r->origin, (xdrproc_t)xdr_peer_forward_result, &out);
  request_free (r);
}

/* Finishes R by EVENT, which leads to a final state of its chart.  */
void
request_finish_on (struct workers *ws, struct request *r, int event,
                   const char *reason)
{
  const struct request_chart *c = &ws->d->request_chart;
  request_apply_event (c, r, event);
  enum rr_outcome outcome = request_outcome (c, r);
  request_set_outcome (r, outcome, outcome == RR_OUTCOME_NOT_RUN ? 503 : 504,
                       reason);
  request_finish (ws, r);
}

static void
on_delay_closed (uv_handle_t *h)
{
  free (h->data);
}

static void
on_delay_ended (uv_timer_t *timer)
{
  struct delayed_request *d = timer->data;
  request_dispatch (d->ws, d->r);
  uv_close ((uv_handle_t *)timer, on_delay_closed);
}

static void
request_dispatch_delayed (struct workers *ws, struct request *r,
                          uint64_t delay_ms)
{
  struct delayed_request *d = calloc (1, sizeof *d);
  assert (d != NULL);
  d->ws = ws;
  d->r = r;
  uv_timer_init (ws->d->loop, &d->timer);
  d->timer.data = d;
  uv_timer_start (&d->timer, on_delay_ended, delay_ms, 0);
}

/* Handles a call of R that got no response from the service: schedules a retry
   after a delay, or finishes R.  */
void
request_retry_or_finish (struct workers *ws, struct request *r,
                         enum rr_call_state state, const char *reason)
{
  const struct request_chart *c = &ws->d->request_chart;
  bool lost = state == RR_CALL_UNKNOWN;
  struct rr_retry_input in
      = { .repeatable = r->repeatable,
          .state = state,
          .remaining_ms = request_remaining_ms (r),
          .needed_ms = 1,
          .budget = rr_retry_budget_available (&ws->retry_budget) };
  struct rr_backoff backoff = { BACKOFF_BASE_MS, BACKOFF_MAX_MS };
  int64_t delay = -1;
  if (rr_retry_decide (&in).should_retry)
    delay = rr_backoff_delay (&backoff, ws->d->rng, r->calls, in.remaining_ms,
                              in.needed_ms);
  if (delay < 0 || !rr_retry_budget_take (&ws->retry_budget))
    {
      request_finish_on (ws, r, lost ? c->lost_last : c->refused_last, reason);
      return;
    }
  request_apply_event (c, r, lost ? c->lost : c->refused);
  metric_add (&ws->d->metrics, METRIC_REQUEST_RETRIES, 1);
  request_dispatch_delayed (ws, r, (uint64_t)delay);
}

static enum rr_call_state
classify_result (struct execution *e, const struct http_result *h,
                 char *reason, size_t size)
{
  if (worker_refused (h, reason, size))
    return RR_CALL_REFUSED;
  snprintf (reason, size, "%s", h->reason == NULL ? "" : h->reason);
  switch (h->state)
    {
    case HTTP_CALL_ANSWERED:
      return RR_CALL_ANSWERED;
    case HTTP_CALL_NOT_SENT:
      rr_membership_call_failed (peers_membership (e->route->ws->d->peers),
                                 daemon_now (), e->w->name, e->w->incarnation);
      return RR_CALL_NOT_SENT;
    case HTTP_CALL_UNKNOWN:
      return RR_CALL_UNKNOWN;
    }
  return RR_CALL_UNKNOWN;
}

static void
handle_refusal (struct execution *e, const char *reason)
{
  struct workers *ws = e->route->ws;
  if (strcmp (reason, "stale-epoch") == 0
      && rr_ledger_epoch (e->w->ledger) == e->epoch)
    worker_mark_lease_lost (e->w, ws->chart.epoch_refused);
  else if (strcmp (reason, "leaving") == 0)
    rr_membership_set_leaving (peers_membership (ws->d->peers), daemon_now (),
                               RR_SOURCE_FAILURE, e->w->name,
                               e->w->incarnation);
}

static void
store_response (struct request *r, const struct http_result *h)
{
  r->outcome = RR_OUTCOME_ANSWERED;
  r->status = h->status;
  r->reason[0] = '\0';
  if (!http_result_header (h, "Content-Type", r->content_type,
                           sizeof r->content_type))
    snprintf (r->content_type, sizeof r->content_type,
              "application/octet-stream");
  free (r->answer);
  r->answer = malloc (h->body_length + 1);
  assert (r->answer != NULL);
  memcpy (r->answer, h->body, h->body_length + 1);
  r->answer_length = h->body_length;
}

static void
on_executed (void *data, const struct http_result *h)
{
  struct execution *e = data;
  struct workers *ws = e->route->ws;
  struct rr_time now = daemon_now ();
  char reason[REASON_SIZE];
  enum rr_call_state state = classify_result (e, h, reason, sizeof reason);
  enum rr_limiter_sample sample = RR_SAMPLE_IGNORE;
  if (state == RR_CALL_ANSWERED)
    sample = RR_SAMPLE_ANSWERED;
  else if (state == RR_CALL_UNKNOWN
           || (state == RR_CALL_REFUSED && strcmp (reason, "full") == 0))
    sample = RR_SAMPLE_OVERLOAD;
  rr_ledger_release_connection (e->w->ledger, now, e->epoch,
                                state != RR_CALL_UNKNOWN);
  rr_admission_call_ended (e->route->admission, e->number, e->team, sample,
                           (double)(uv_hrtime () - e->sent_ns) / 1e6);
  if (state == RR_CALL_REFUSED)
    handle_refusal (e, reason);
  e->w->other_calls--;
  if (state == RR_CALL_ANSWERED)
    {
      store_response (e->r, h);
      request_apply_event (&ws->d->request_chart, e->r,
                           ws->d->request_chart.response);
      request_finish (ws, e->r);
    }
  else
    request_retry_or_finish (ws, e->r, state, reason);
  struct route *route = e->route;
  if (route->instances[e->number] == e->w && worker_is_open (e->w, now))
    rr_admission_block_worker (route->admission, e->number, false);
  free (e);
  run_route (route);
}

static struct request *
remove_waiting_request (struct workers *ws, uint64_t packed_handle)
{
  struct rr_handle handle = rr_handle_unpack (packed_handle);
  struct request **row = rr_table_get (ws->requests, handle);
  assert (row != NULL);
  struct request *r = *row;
  rr_table_remove (ws->requests, handle);
  return r;
}

/* Sends a request to the worker that the admission selected, if the ledger
   still admits it.  Otherwise requeues the request and returns false.  */
static bool
send_to_worker (struct route *route,
                const struct rr_admission_decision *decision)
{
  struct workers *ws = route->ws;
  struct worker *w = route->instances[decision->worker];
  struct rr_time now = daemon_now ();
  uint64_t epoch = 0;
  if (w == NULL || w->state != ws->chart.open
      || rr_ledger_acquire_connection (w->ledger, now, &epoch) != RR_ADMIT_OK)
    {
      rr_admission_requeue (route->admission, decision);
      return false;
    }
  struct request *r = remove_waiting_request (ws, decision->request);
  struct execution *e = calloc (1, sizeof *e);
  assert (e != NULL);
  *e = (struct execution){ .route = route,
                           .w = w,
                           .r = r,
                           .number = decision->worker,
                           .team = decision->team,
                           .epoch = epoch,
                           .sent_ns = uv_hrtime () };
  w->other_calls++;
  r->calls++;
  request_apply_event (&ws->d->request_chart, r, ws->d->request_chart.send);
  int64_t left = rr_time_diff (r->deadline, now);
  worker_execute (w->upstream, epoch, r, (uint64_t)(left < 1 ? 1 : left),
                  ANSWER_MAX_BYTES, on_executed, e);
  return true;
}

static void on_queue_tick (uv_timer_t *timer);

/* Sends or rejects the requests that the admission of ROUTE has decided
   on.  */
static void
run_route (struct route *route)
{
  struct workers *ws = route->ws;
  for (;;)
    {
      struct rr_admission_decision decision
          = rr_admission_next (route->admission, daemon_now ());
      if (decision.action == RR_ADMISSION_NONE)
        break;
      if (decision.action == RR_ADMISSION_SEND)
        send_to_worker (route, &decision);
      else
        {
          struct request *r = remove_waiting_request (ws, decision.request);
          request_finish_on (ws, r, ws->d->request_chart.rejected,
                             rr_admission_result_name (decision.reason));
        }
    }
  if (rr_admission_waiting (route->admission) > 0 && !ws->queue_timer_active)
    {
      ws->queue_timer_active = true;
      uv_timer_start (&ws->queue_timer, on_queue_tick, QUEUE_TICK_MS,
                      QUEUE_TICK_MS);
    }
}

/* Forwards the waiting requests of a route whose last instance is now owned by
   another daemon.  Requests that no daemon can take now continue to wait, up
   to their deadline.  */
static void
forward_waiting (struct route *route)
{
  struct workers *ws = route->ws;
  struct rr_handle h = { 0 };
  struct request **row;
  while ((row = rr_table_next (ws->requests, &h)) != NULL)
    {
      struct request *r = *row;
      if (strcmp (r->service, route->service) != 0 || !request_forward (ws, r))
        continue;
      rr_admission_withdraw (route->admission, rr_handle_pack (h));
      rr_table_remove (ws->requests, h);
    }
}

static void
on_queue_tick (uv_timer_t *timer)
{
  workers_run_queues (timer->data);
}

/* Blocks the workers without free connections and unblocks the others in each
   route's admission, then sends or forwards the waiting requests.  */
void
workers_run_queues (struct workers *ws)
{
  struct rr_time now = daemon_now ();
  size_t waiting = 0;
  for (size_t i = 0; i < ws->route_count; i++)
    {
      struct route *route = ws->routes[i];
      for (int j = 0; j < route->instances_used; j++)
        if (route->instances[j] != NULL)
          {
            struct worker *w = route->instances[j];
            bool free
                = worker_is_open (w, now)
                  && rr_ledger_free_resources (w->ledger).connections > 0;
            rr_admission_block_worker (route->admission, j, !free);
          }
      run_route (route);
      if (route->instance_count == 0
          && rr_admission_waiting (route->admission) > 0)
        forward_waiting (route);
      waiting += rr_admission_waiting (route->admission);
    }
  if (waiting == 0 && ws->queue_timer_active)
    {
      uv_timer_stop (&ws->queue_timer);
      ws->queue_timer_active = false;
    }
}

/* Queues R for a worker of this daemon, or forwards it if it can't be queued.
   When neither is possible, tries again for a time if there is no worker, and
   else finishes R as "not run".  */
void
request_dispatch (struct workers *ws, struct request *r)
{
  int rejected = ws->d->request_chart.rejected;
  struct route *route = workers_route (ws, r->service);
  if (route == NULL)
    {
      request_finish_on (ws, r, rejected, "too many services");
      return;
    }
  struct rr_handle handle;
  struct request **row = rr_table_insert (ws->requests, &handle);
  *row = r;
  int team = rr_admission_team (route->admission, r->team);
  enum rr_admission_result admission
      = rr_admission_offer (route->admission, daemon_now (),
                            rr_handle_pack (handle), team, r->deadline);
  if (admission == RR_ADMISSION_QUEUED)
    {
      run_route (route);
      return;
    }
  rr_table_remove (ws->requests, handle);
  if (request_forward (ws, r))
    return;
  /* While ledgers move between daemons, a service has no instance for a short
     time.  A request that can wait for one is not rejected.  */
  int64_t waited = rr_time_diff (daemon_now (), r->received);
  if (admission == RR_ADMISSION_NOT_RUN_NO_WORKER
      && waited < NO_WORKER_TIMEOUT_MS
      && request_remaining_ms (r) > NO_WORKER_POLL_MS)
    {
      request_dispatch_delayed (ws, r, NO_WORKER_POLL_MS);
      return;
    }
  request_finish_on (ws, r, rejected, rr_admission_result_name (admission));
}

/* Runs a request from the front actor of this daemon, which gets it back with
   its outcome by the deadline.  */
void
workers_run_request (struct workers *ws, struct request *r)
{
  ws->in_progress++;
  rr_retry_budget_refill (&ws->retry_budget);
  request_dispatch (ws, r);
}

/* Creates the table of waiting requests, the retry budget and the queue
   timer.  */
void
workers_requests_open (struct workers *ws)
{
  ws->requests = rr_table_new (sizeof (struct request *));
  rr_retry_budget_init (&ws->retry_budget, retry_ratio, retry_burst);
  uv_timer_init (ws->d->loop, &ws->queue_timer);
  ws->queue_timer.data = ws;
}
