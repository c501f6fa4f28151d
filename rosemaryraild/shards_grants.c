#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "rosemaryraild/shards_internal.h"

enum
{
  GRANT_RETRY_MS = 100,
  DEADLINE_MARGIN_MS = 200, /* with less time left, no further retry */
  RESULT_TRIES_MAX = 4,
  /* A granted request whose holder has not reported a result this long after
     the deadline is taken to have an unknown outcome.  */
  RESULT_GRACE_MS = 1000
};

/* A request for a grant, from the daemon that wants to send R.  */
struct grant_request
{
  struct shards *ss;
  struct request *r;
  uv_timer_t timer;
  bool maybe_received; /* an owner may have received it */
};

static void
on_timer_closed (uv_handle_t *h)
{
  free (h->data);
}

/* Returns the request to the front actor with VERDICT.  */
static void
grant_request_end (struct grant_request *grant,
                   enum peer_grant_verdict verdict)
{
  struct message m = { .type = MESSAGE_GRANT_VERDICT };
  m.u.verdict.request = grant->r;
  m.u.verdict.verdict = verdict;
  daemon_send (grant->ss->d, &grant->ss->d->front_actor, &m);
  uv_close ((uv_handle_t *)&grant->timer, on_timer_closed);
}

static void grant_request_send (struct grant_request *grant);

static void
on_retry_timer (uv_timer_t *timer)
{
  grant_request_send (timer->data);
}

/* Retries after GRANT_RETRY_MS, or ends with AT_DEADLINE if the deadline is
   too close.  */
static void
grant_request_retry (struct grant_request *grant,
                     enum peer_grant_verdict at_deadline)
{
  int64_t left = rr_time_diff (grant->r->deadline, daemon_now ());
  if (left <= DEADLINE_MARGIN_MS)
    {
      grant_request_end (grant, at_deadline);
      return;
    }
  uv_timer_start (&grant->timer, on_retry_timer, GRANT_RETRY_MS, 0);
}

static void
recorded_result_take (struct request *r, peer_grant_result *g)
{
  r->status = g->status;
  snprintf (r->reason, sizeof r->reason, "%s", g->reason);
  snprintf (r->content_type, sizeof r->content_type, "%s", g->content_type);
  r->outcome = g->outcome == PEER_ANSWERED  ? RR_OUTCOME_ANSWERED
               : g->outcome == PEER_NOT_RUN ? RR_OUTCOME_NOT_RUN
                                            : RR_OUTCOME_UNKNOWN;
  free (r->answer);
  r->answer = g->body.body_val;
  r->answer_length = g->body.body_len;
  g->body.body_val = NULL;
  g->body.body_len = 0;
}

static void
on_grant_response (void *data, enum rpc_call_state state, const char *result,
                   size_t length)
{
  struct grant_request *grant = data;
  peer_grant_result g = { 0 };
  if (state == RPC_CALL_ANSWERED
      && !xdr_decode ((xdrproc_t)xdr_peer_grant_result, &g, result, length))
    state = RPC_CALL_UNKNOWN;
  if (state == RPC_CALL_UNKNOWN)
    {
      /* The grant may have been recorded.  It is not used; a later grant
         request for the same id gets the recorded state.  */
      grant->maybe_received = true;
      grant_request_end (grant, PEER_GRANT_UNKNOWN);
      return;
    }
  if (state != RPC_CALL_ANSWERED)
    {
      grant_request_retry (grant, PEER_GRANT_REFUSED);
      return;
    }
  switch (g.verdict)
    {
    case PEER_GRANT_RECORDED:
      recorded_result_take (grant->r, &g);
      grant_request_end (grant, PEER_GRANT_RECORDED);
      break;
    case PEER_GRANT_PENDING:
      grant_request_retry (grant, PEER_GRANT_UNKNOWN);
      break;
    case PEER_GRANT_NOT_OWNER:
      grant_request_retry (grant, PEER_GRANT_REFUSED);
      break;
    case PEER_GRANT_GO:
    case PEER_GRANT_REFUSED:
    case PEER_GRANT_UNKNOWN:
      grant_request_end (grant, g.verdict);
      break;
    }
  xdr_free ((xdrproc_t)xdr_peer_grant_result, &g);
}

/* Sends the grant request to the owner of the shard of the request's id.  The
   call uses the caller's deadline, so that the answer of an owner that is only
   slow still arrives in time.  */
static void
grant_request_send (struct grant_request *grant)
{
  struct shards *ss = grant->ss;
  struct request *r = grant->r;
  char owner[NAME_SIZE];
  int64_t left = rr_time_diff (r->deadline, daemon_now ());
  if (left <= 1)
    {
      grant_request_end (grant, PEER_GRANT_REFUSED);
      return;
    }
  if (!shards_owner (ss, rr_shard_for_key (r->id), owner, sizeof owner))
    {
      grant_request_retry (grant, PEER_GRANT_REFUSED);
      return;
    }
  peer_grant_args args = { .id = r->id,
                           .service = r->service,
                           .holder = ss->d->settings.name,
                           .holder_incarnation = ss->d->incarnation,
                           .ask = r->ask,
                           .timeout_ms = (u_int)left };
  daemon_call (ss->d, &ss->d->shards_actor, owner, REQUEST_GRANT,
               (xdrproc_t)xdr_peer_grant_args, &args, (uint64_t)left,
               on_grant_response, grant);
}

/* Requests a grant to send the non-repeatable request R.  The front actor gets
   R back with the verdict.  */
void
shards_grant_request (struct shards *ss, struct request *r)
{
  struct grant_request *grant = calloc (1, sizeof *grant);
  assert (grant != NULL);
  grant->ss = ss;
  grant->r = r;
  uint64_t high = gsl_rng_get (ss->d->rng);
  r->ask = high << 32 ^ gsl_rng_get (ss->d->rng);
  uv_timer_init (ss->d->loop, &grant->timer);
  grant->timer.data = grant;
  grant_request_send (grant);
}

/* Delivery of the result of a granted request to the owner of its shard.  */
struct result_call
{
  struct shards *ss;
  struct request *r;
  uv_timer_t timer;
  unsigned tries;
};

static void result_send (struct result_call *c);

static void
on_result_retry (uv_timer_t *timer)
{
  result_send (timer->data);
}

static void
result_end (struct result_call *c)
{
  request_free (c->r);
  uv_close ((uv_handle_t *)&c->timer, on_timer_closed);
}

static void
result_retry (struct result_call *c)
{
  if (++c->tries == RESULT_TRIES_MAX)
    {
      log_event (LOG_LEVEL_WARN, "result_not_recorded", "request=%s",
                 c->r->id);
      result_end (c);
      return;
    }
  uv_timer_start (&c->timer, on_result_retry, 200u << c->tries, 0);
}

static void
on_result_recorded (void *data, enum rpc_call_state state, const char *result,
                    size_t length)
{
  struct result_call *c = data;
  peer_status s = { 0 };
  bool ok = state == RPC_CALL_ANSWERED
            && xdr_decode ((xdrproc_t)xdr_peer_status, &s, result, length)
            && s.code == RR_OK;
  xdr_free ((xdrproc_t)xdr_peer_status, &s);
  if (ok)
    result_end (c);
  else
    result_retry (c);
}

static void
result_send (struct result_call *c)
{
  struct shards *ss = c->ss;
  const struct request *r = c->r;
  char owner[NAME_SIZE];
  if (!shards_owner (ss, rr_shard_for_key (r->id), owner, sizeof owner))
    {
      result_retry (c);
      return;
    }
  bool kept = r->answer_length <= RR_BODY_MAX;
  peer_result_args args
      = { .id = (char *)r->id,
          .holder_incarnation = ss->d->incarnation,
          .ask = r->ask,
          .outcome = r->outcome == RR_OUTCOME_ANSWERED  ? PEER_ANSWERED
                     : r->outcome == RR_OUTCOME_NOT_RUN ? PEER_NOT_RUN
                                                        : PEER_UNKNOWN,
          .status = r->status,
          .content_type = (char *)r->content_type,
          .body_kept = kept,
          .body = { .body_len = kept ? (u_int)r->answer_length : 0,
                    .body_val = r->answer } };
  daemon_call (ss->d, &ss->d->shards_actor, owner, REQUEST_RESULT,
               (xdrproc_t)xdr_peer_result_args, &args, SHARD_CALL_TIMEOUT_MS,
               on_result_recorded, c);
}

/* Sends the outcome of the granted request R to the owner of its shard, which
   records it.  */
void
shards_result_send (struct shards *ss, struct request *r)
{
  struct result_call *c = calloc (1, sizeof *c);
  assert (c != NULL);
  c->ss = ss;
  c->r = r;
  uv_timer_init (ss->d->loop, &c->timer);
  c->timer.data = c;
  result_send (c);
}

static void
grant_reply (struct shards *ss, const struct call_origin *origin,
             enum peer_grant_verdict verdict, const struct rr_request_entry *e)
{
  peer_grant_result out
      = { .verdict = verdict, .reason = "", .content_type = "" };
  if (e != NULL)
    {
      out.outcome = e->outcome == RR_REQUEST_ANSWERED  ? PEER_ANSWERED
                    : e->outcome == RR_REQUEST_NOT_RUN ? PEER_NOT_RUN
                                                       : PEER_UNKNOWN;
      out.status = (int)e->status;
      out.content_type = (char *)e->content_type;
      if (e->body_kept)
        {
          out.body.body_val = (char *)e->body;
          out.body.body_len = e->body_length;
        }
      else if (out.outcome == PEER_ANSWERED)
        out.reason = "the response was not kept";
    }
  daemon_reply (ss->d, origin, (xdrproc_t)xdr_peer_grant_result, &out);
}

/* Answers a grant request for an id that has a grant already: with the
   recorded result, with "pending" while a result may still arrive, or with
   "unknown" after that.  */
static void
duplicate_reply (struct shard *s, const struct call_origin *origin,
                 const char *id)
{
  struct rr_request_entry e
      = rr_request_log_find (rr_shard_log_shard_state (s->log)->requests, id);
  metric_add (&s->ss->d->metrics, METRIC_GRANT_DUPLICATES, 1);
  switch (e.state)
    {
    case RR_REQUEST_DONE:
      grant_reply (s->ss, origin, PEER_GRANT_RECORDED, &e);
      break;
    case RR_REQUEST_GRANTED:
      grant_reply (s->ss, origin,
                   daemon_wall_ms () > e.deadline_ms + RESULT_GRACE_MS
                       ? PEER_GRANT_UNKNOWN
                       : PEER_GRANT_PENDING,
                   NULL);
      break;
    case RR_REQUEST_NEW:
    case RR_REQUEST_PENDING:
      grant_reply (s->ss, origin, PEER_GRANT_PENDING, NULL);
      break;
    }
}

/* Handles a grant request of a daemon (RPC REQUEST_GRANT).  */
void
shards_grant_answer (struct shards *ss, const struct message_rpc_request *q)
{
  peer_grant_args a = { 0 };
  if (!xdr_decode ((xdrproc_t)xdr_peer_grant_args, &a, q->args, q->length))
    {
      daemon_reject (ss->d, &q->origin);
      return;
    }
  struct shard *s = &ss->shard[rr_shard_for_key (a.id)];
  if (!rr_shard_log_is_owner (s->log))
    grant_reply (ss, &q->origin, PEER_GRANT_NOT_OWNER, NULL);
  else if (rr_request_log_find (rr_shard_log_shard_state (s->log)->requests,
                                a.id)
               .state
           != RR_REQUEST_NEW)
    duplicate_reply (s, &q->origin, a.id);
  else
    {
      struct rr_record r = { .kind = RR_RECORD_REQUEST_GRANTED };
      struct rr_record_request_granted *g = &r.u.request_granted;
      snprintf (g->request, sizeof g->request, "%s", a.id);
      snprintf (g->holder, sizeof g->holder, "%s", a.holder);
      g->holder_incarnation = a.holder_incarnation;
      g->ask = a.ask;
      g->deadline_ms = daemon_wall_ms () + a.timeout_ms;
      struct rr_error err = { 0 };
      uint64_t token = pending_add (ss, PENDING_GRANT, &q->origin, a.id);
      if (rr_shard_log_is_stalled (s->log)
          || !platform_reachable (ss->d->platform))
        rr_error_set (&err, RR_ERROR_UNAVAILABLE, "platform unreachable");
      if (err.code != RR_OK || !shard_append (s, &r, token, &err))
        grant_reply (ss, &q->origin, PEER_GRANT_REFUSED, NULL);
    }
  xdr_free ((xdrproc_t)xdr_peer_grant_args, &a);
}

/* Answers a grant request once the outcome of its record is known.  */
void
shards_grant_settled (struct shard *s, const struct pending *p,
                      enum rr_commit commit, bool applied)
{
  switch (commit)
    {
    case RR_COMMITTED:
      if (applied)
        {
          metric_add (&s->ss->d->metrics, METRIC_GRANTS, 1);
          grant_reply (s->ss, &p->origin, PEER_GRANT_GO, NULL);
        }
      else
        duplicate_reply (s, &p->origin, p->id);
      break;
    case RR_COMMIT_LOST:
      /* Nothing was recorded, because the shard has moved.  The requester can
         retry with the new owner within the same deadline.  */
      grant_reply (s->ss, &p->origin, PEER_GRANT_NOT_OWNER, NULL);
      break;
    case RR_COMMIT_UNKNOWN:
      grant_reply (s->ss, &p->origin, PEER_GRANT_UNKNOWN, NULL);
      break;
    }
}

/* Records the result of a granted request for the daemon that sent the request
   (RPC REQUEST_RESULT).  */
void
shards_result_answer (struct shards *ss, const struct message_rpc_request *q)
{
  peer_result_args a = { 0 };
  if (!xdr_decode ((xdrproc_t)xdr_peer_result_args, &a, q->args, q->length)
      || a.body.body_len > RR_BODY_MAX)
    {
      xdr_free ((xdrproc_t)xdr_peer_result_args, &a);
      daemon_reject (ss->d, &q->origin);
      return;
    }
  struct shard *s = &ss->shard[rr_shard_for_key (a.id)];
  struct rr_record r = { .kind = RR_RECORD_REQUEST_RESULT };
  struct rr_record_request_result *res = &r.u.request_result;
  snprintf (res->request, sizeof res->request, "%s", a.id);
  res->holder_incarnation = a.holder_incarnation;
  res->ask = a.ask;
  res->outcome = a.outcome == PEER_ANSWERED  ? RR_REQUEST_ANSWERED
                 : a.outcome == PEER_NOT_RUN ? RR_REQUEST_NOT_RUN
                                             : RR_REQUEST_UNKNOWN;
  res->status = (uint32_t)a.status;
  snprintf (res->content_type, sizeof res->content_type, "%s", a.content_type);
  res->body_kept = a.body_kept;
  res->body.data = (uint8_t *)a.body.body_val;
  res->body.length = a.body.body_len;
  peer_status out = { .code = RR_ERROR_UNAVAILABLE, .message = "not owner" };
  if (!rr_shard_log_is_owner (s->log)
      || !shard_append (
          s, &r, pending_add (ss, PENDING_RESULT, &q->origin, a.id), NULL))
    daemon_reply (ss->d, &q->origin, (xdrproc_t)xdr_peer_status, &out);
  xdr_free ((xdrproc_t)xdr_peer_result_args, &a);
}
