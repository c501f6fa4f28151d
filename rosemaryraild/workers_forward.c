#include <assert.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryraild/peers.h"
#include "rosemaryraild/workers_internal.h"

enum
{
  /* Left of a forwarded deadline for the way back.  */
  FORWARD_MARGIN_MS = 2,
  /* Calls of a forwarded request are numbered from its own attempt number
     times this, so that no two calls of a request share a number.  */
  FORWARD_ATTEMPT_STRIDE = 100
};

/* Whether the daemon PEER can run the service now; fills its latency.  */
static bool
peer_serves (const peer_heartbeat *h, const char *service, u_int *latency_us)
{
  for (u_int i = 0; i < h->services.services_len; i++)
    {
      const peer_service *s = &h->services.services_val[i];
      if (strcmp (s->name, service) == 0 && s->free_connections > 0)
        {
          *latency_us = s->latency_us;
          return true;
        }
    }
  return false;
}

/* Picks the daemon to forward R to: one of this zone before others, then the
   lowest latency; a tie is broken at random, so that daemons with the same
   view spread their requests.  */
static bool
choose_peer (struct workers *ws, const struct request *r, char *name)
{
  struct rr_membership *m = peers_membership (ws->d->peers);
  struct rr_time now = daemon_now ();
  double best = HUGE_VAL;
  for (size_t i = 0; i < rr_membership_count (m); i++)
    {
      const struct rr_member *member = rr_membership_at (m, now, i);
      if (member->info.role != RR_ROLE_ENTRY || !member->alive
          || member->state != RR_MEMBER_LIVE
          || rr_membership_is_self (m, member))
        continue;
      const peer_heartbeat *h
          = peers_last_heartbeat (ws->d->peers, member->info.name);
      u_int latency_us = 0;
      if (h == NULL || h->stopping
          || !peer_serves (h, r->service, &latency_us))
        continue;
      double cost = latency_us * (1 + 0.2 * gsl_rng_uniform (ws->d->rng)) + 1;
      if (strcmp (member->info.zone, ws->d->settings.zone) != 0)
        cost += 1e9;
      if (cost < best)
        {
          best = cost;
          snprintf (name, NAME_SIZE, "%s", member->info.name);
        }
    }
  return best < HUGE_VAL;
}

/* A request on its one hop to another daemon.  */
struct forwarded_call
{
  struct workers *ws;
  struct request *r;
};

static void
take_forward_result (struct workers *ws, struct request *r,
                     peer_forward_result *f)
{
  switch (f->outcome)
    {
    case PEER_ANSWERED:
      r->outcome = RR_OUTCOME_ANSWERED;
      r->status = f->status;
      snprintf (r->content_type, sizeof r->content_type, "%s",
                f->content_type);
      free (r->answer);
      r->answer = f->body.body_val;
      r->answer_length = f->body.body_len;
      f->body.body_val = NULL;
      f->body.body_len = 0;
      request_apply_event (&ws->d->request_chart, r,
                           ws->d->request_chart.response);
      request_finish (ws, r);
      break;
    case PEER_NOT_RUN:
      request_retry_or_finish (ws, r, RR_CALL_REFUSED, f->reason);
      break;
    case PEER_UNKNOWN:
      request_retry_or_finish (ws, r, RR_CALL_UNKNOWN, f->reason);
      break;
    }
}

static void
on_forwarded (void *data, enum rpc_call_state state, const char *result,
              size_t length)
{
  struct forwarded_call *call = data;
  struct workers *ws = call->ws;
  struct request *r = call->r;
  free (call);
  peer_forward_result f = { 0 };
  switch (state)
    {
    case RPC_CALL_ANSWERED:
      if (!xdr_decode ((xdrproc_t)xdr_peer_forward_result, &f, result, length))
        {
          request_retry_or_finish (ws, r, RR_CALL_UNKNOWN, "malformed answer");
          return;
        }
      take_forward_result (ws, r, &f);
      xdr_free ((xdrproc_t)xdr_peer_forward_result, &f);
      break;
    case RPC_CALL_NOT_SENT:
    case RPC_CALL_REJECTED:
      request_retry_or_finish (ws, r, RR_CALL_NOT_SENT, "daemon unreachable");
      break;
    case RPC_CALL_UNKNOWN:
      request_retry_or_finish (ws, r, RR_CALL_UNKNOWN,
                               "daemon gave no answer");
      break;
    }
}

/* Forwards R once, to the daemon that serves it best; false when there is
   none, or R was forwarded already.  */
bool
request_forward (struct workers *ws, struct request *r)
{
  char peer[NAME_SIZE];
  if (r->forwarded || !choose_peer (ws, r, peer))
    return false;
  int64_t left = request_remaining_ms (r) - FORWARD_MARGIN_MS;
  if (left < 1)
    return false;
  struct forwarded_call *call = calloc (1, sizeof *call);
  assert (call != NULL);
  *call = (struct forwarded_call){ ws, r };
  r->calls++;
  request_apply_event (&ws->d->request_chart, r, ws->d->request_chart.send);
  peer_forward_args args
      = { .id = r->id,
          .service = r->service,
          .team = r->team,
          .timeout_ms = (u_int)left,
          .attempt = r->calls,
          .repeatable = r->repeatable,
          .body = { .body_len = (u_int)r->body_length, .body_val = r->body } };
  metric_add (&ws->d->metrics, METRIC_REQUESTS_FORWARDED, 1);
  daemon_call (ws->d, &ws->d->workers_actor, peer, REQUEST_FORWARD,
               (xdrproc_t)xdr_peer_forward_args, &args, (uint64_t)left,
               on_forwarded, call);
  return true;
}

/* Runs a request that another daemon forwarded.  */
void
workers_handle_forwarded_request (struct workers *ws,
                                  const struct message_rpc_request *q)
{
  peer_forward_args a = { 0 };
  if (!xdr_decode ((xdrproc_t)xdr_peer_forward_args, &a, q->args, q->length))
    {
      daemon_reject (ws->d, &q->origin);
      return;
    }
  struct request *r = calloc (1, sizeof *r);
  assert (r != NULL);
  r->forwarded = true;
  r->origin = q->origin;
  snprintf (r->id, sizeof r->id, "%s", a.id);
  snprintf (r->service, sizeof r->service, "%s", a.service);
  snprintf (r->team, sizeof r->team, "%s", a.team);
  r->received = daemon_now ();
  r->deadline = rr_time_add (r->received, a.timeout_ms);
  r->repeatable = a.repeatable;
  r->calls = a.attempt * FORWARD_ATTEMPT_STRIDE;
  r->body = a.body.body_val;
  r->body_length = a.body.body_len;
  a.body.body_val = NULL;
  a.body.body_len = 0;
  xdr_free ((xdrproc_t)xdr_peer_forward_args, &a);
  ws->in_progress++;
  request_begin (&ws->d->request_chart, r);
  request_apply_event (&ws->d->request_chart, r, ws->d->request_chart.queue);
  request_dispatch (ws, r);
}
