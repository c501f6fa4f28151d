#include <assert.h>
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "rosemaryraild/config_keeper.h"
#include "rosemaryraild/front_internal.h"
#include "rosemaryraild/peers.h"

enum
{
  DEADLINE_MAX_MS = 120000,
  RETRY_AFTER_S = 1
};

/* A request id goes into headers, records and logs.  */
static bool
id_valid (const char *id)
{
  size_t n = strlen (id);
  if (n == 0 || n >= REQUEST_ID_SIZE)
    return false;
  for (size_t i = 0; i < n; i++)
    if (!isgraph ((unsigned char)id[i]) || id[i] == '"' || id[i] == '\\')
      return false;
  return true;
}

static bool
copy_header (struct http_exchange *x, const char *name, char *out, size_t size)
{
  const char *v = http_exchange_header (x, name);
  if (v == NULL)
    return false;
  snprintf (out, size, "%s", v);
  return true;
}

/* Reads the id of the request, or makes one when the caller gave none.  */
static bool
read_id (struct front *f, struct http_exchange *x, struct request *r,
         struct rr_error *err)
{
  char key[REQUEST_ID_SIZE + 1] = "";
  bool has_key = copy_header (x, "Idempotency-Key", key, sizeof key);
  if (has_key)
    r->repeatable = false;
  else if (!copy_header (x, "Request-Id", key, sizeof key))
    {
      if (!r->repeatable)
        return rr_error_set (err, RR_ERROR_INVALID,
                             "a request with Request-Repeatable: false needs "
                             "Request-Id or Idempotency-Key");
      snprintf (key, sizeof key, "%llx-%08lx",
                (unsigned long long)f->d->incarnation,
                gsl_rng_get (f->d->rng));
    }
  if (!id_valid (key))
    return rr_error_set (err, RR_ERROR_INVALID,
                         "%s must have 1 to %d printable characters without "
                         "blanks, quotes and backslashes",
                         has_key ? "Idempotency-Key" : "Request-Id",
                         REQUEST_ID_SIZE - 1);
  snprintf (r->id, sizeof r->id, "%s", key);
  return true;
}

static bool
read_repeatable (struct http_exchange *x, struct request *r,
                 struct rr_error *err)
{
  const char *v = http_exchange_header (x, "Request-Repeatable");
  r->repeatable = true;
  if (v == NULL || strcasecmp (v, "true") == 0)
    return true;
  if (strcasecmp (v, "false") != 0)
    return rr_error_set (err, RR_ERROR_INVALID,
                         "Request-Repeatable must be true or false");
  r->repeatable = false;
  return true;
}

/* A caller that repeats a request numbers its sendings.  */
static bool
read_attempt (struct http_exchange *x, struct request *r, struct rr_error *err)
{
  const char *v = http_exchange_header (x, "Request-Attempt");
  if (v == NULL)
    return true;
  char *end;
  long n = strtol (v, &end, 10);
  if (*v == '\0' || *end != '\0' || n < 1 || n > 1000000)
    return rr_error_set (err, RR_ERROR_INVALID,
                         "Request-Attempt must be 1 to 1000000");
  r->resent = n > 1;
  return true;
}

static bool
read_deadline (struct http_exchange *x, const struct rr_config_service *v,
               int64_t limit_ms, struct request *r, struct rr_error *err)
{
  int64_t ms = v->deadline_ms;
  const char *text = http_exchange_header (x, "Request-Timeout-Ms");
  int64_t most = limit_ms > 0 && limit_ms < DEADLINE_MAX_MS ? limit_ms
                                                            : DEADLINE_MAX_MS;
  if (text != NULL)
    {
      char *end;
      ms = strtoll (text, &end, 10);
      if (*text == '\0' || *end != '\0' || ms < 1 || ms > most)
        return rr_error_set (err, RR_ERROR_INVALID,
                             "Request-Timeout-Ms must be 1 to %lld",
                             (long long)most);
    }
  r->deadline = rr_time_add (r->received, ms);
  return true;
}

static void
read_body (struct http_exchange *x, struct request *r)
{
  size_t length;
  const char *body = http_exchange_body (x, &length);
  r->body = malloc (length + 1);
  assert (r->body != NULL);
  memcpy (r->body, body, length);
  r->body[length] = '\0';
  r->body_length = length;
}

/* Answers the caller with the outcome of R.  */
static void
respond (struct front *f, const struct request *r)
{
  struct daemon *d = f->d;
  struct http_exchange *x = front_take_exchange (f, r->token);
  if (x == NULL)
    return;
  struct http_header headers[5] = {
    { "Request-Outcome", rr_outcome_name (r->outcome) },
    { "Request-Id", r->id },
  };
  size_t n = 2;
  if (r->outcome == RR_OUTCOME_ANSWERED)
    {
      const struct rr_config *c = config_keeper_config (d->config);
      const struct rr_config_service *v = rr_config_service (c, r->service);
      struct rr_histogram_key key
          = { .service = r->service,
              .class_name = v == NULL ? "" : v->class_name,
              .team = r->team };
      rr_histogram_add (rr_histogram_set_get (d->histograms, &key),
                        (double)(uv_hrtime () - r->received_ns) / 1e6);
      metric_add (&d->metrics, METRIC_REQUESTS_ANSWERED, 1);
      if (r->content_type[0] != '\0')
        headers[n++] = (struct http_header){ "Content-Type", r->content_type };
      http_exchange_respond (x, r->status, headers, n,
                             r->answer == NULL ? "" : r->answer,
                             r->answer_length);
      return;
    }
  bool not_run = r->outcome == RR_OUTCOME_NOT_RUN;
  metric_add (&d->metrics,
              not_run ? METRIC_REQUESTS_NOT_RUN : METRIC_REQUESTS_UNKNOWN, 1);
  char retry_after[16];
  snprintf (retry_after, sizeof retry_after, "%d", RETRY_AFTER_S);
  headers[n++] = (struct http_header){ "Content-Type", "application/json" };
  if (not_run)
    headers[n++] = (struct http_header){ "Retry-After", retry_after };
  struct json_object *o = json_object_new_object ();
  struct json_object *e = json_object_new_object ();
  json_add_string (e, "code", rr_outcome_name (r->outcome));
  json_add_string (e, "message", r->reason);
  json_object_object_add (o, "error", e);
  const char *text = json_text (o);
  int status = not_run ? (r->status == 429 ? 429 : 503) : 504;
  http_exchange_respond (x, status, headers, n, text, strlen (text));
  json_object_put (o);
}

/* Takes a caller's request to SERVICE: checks it, and sends it to the workers
   or, when it must not be repeated, first asks for permission.  */
void
front_service_request (struct front *f, struct http_exchange *x,
                       const char *service)
{
  struct daemon *d = f->d;
  struct rr_error err = { 0 };
  const struct rr_config *c = config_keeper_config (d->config);
  const struct rr_config_service *v = rr_config_service (c, service);
  if (v == NULL)
    {
      bool configured = config_keeper_generation (d->config) > 0;
      front_respond_error (
          x, configured ? 404 : 503,
          configured ? RR_ERROR_NOT_FOUND : RR_ERROR_UNAVAILABLE,
          configured ? "no such service" : "no configuration yet");
      return;
    }
  struct request *r = calloc (1, sizeof *r);
  assert (r != NULL);
  r->received = daemon_now ();
  r->received_ns = uv_hrtime ();
  snprintf (r->service, sizeof r->service, "%s", v->name);
  snprintf (r->team, sizeof r->team, "%s", v->team);
  size_t length;
  http_exchange_body (x, &length);
  bool ok = read_repeatable (x, r, &err) && read_id (f, x, r, &err)
            && read_attempt (x, r, &err)
            && read_deadline (x, v, c->limits.deadline_max_ms, r, &err);
  if (ok && v->request_max_bytes > 0 && (int64_t)length > v->request_max_bytes)
    ok = rr_error_set (&err, RR_ERROR_LIMIT, "the body exceeds %lld bytes",
                       (long long)v->request_max_bytes);
  if (!ok)
    {
      metric_add (&d->metrics, METRIC_REQUESTS_BAD, 1);
      http_exchange_respond_error (x, err.code == RR_ERROR_LIMIT ? 413 : 400,
                                   &err);
      request_free (r);
      return;
    }
  read_body (x, r);
  r->token = front_add_exchange (f, x);
  const char *exceeded
      = front_rate_exceeded (f, r->team, peers_alive_count (d->peers));
  const struct request_chart *chart = &d->request_chart;
  request_begin (chart, r);
  if (exceeded != NULL)
    {
      request_apply_event (chart, r, chart->rejected);
      request_set_outcome (r, RR_OUTCOME_NOT_RUN, 429, exceeded);
      respond (f, r);
      request_free (r);
      return;
    }
  request_apply_event (chart, r, r->repeatable ? chart->queue : chart->ask);
  struct message m = { .type = r->repeatable ? MESSAGE_REQUEST_RUN
                                             : MESSAGE_GRANT_REQUEST };
  m.u.request = r;
  daemon_send (d, r->repeatable ? &d->workers_actor : &d->shards_actor, &m);
}

static void
send_result (struct front *f, struct request *r)
{
  struct message m = { .type = MESSAGE_GRANT_RESULT };
  m.u.request = r;
  daemon_send (f->d, &f->d->shards_actor, &m);
}

/* Ends R by EVENT with the outcome that the chart gives.  */
static void
end_on (struct front *f, struct request *r, int event, const char *reason)
{
  const struct request_chart *c = &f->d->request_chart;
  request_apply_event (c, r, event);
  request_set_outcome (r, request_outcome (c, r), 0, reason);
  respond (f, r);
}

/* Answers with the recorded outcome of an earlier request of the same id.  */
static void
take_record (struct front *f, struct request *r)
{
  const struct request_chart *c = &f->d->request_chart;
  if (r->outcome == RR_OUTCOME_ANSWERED && r->reason[0] == '\0')
    {
      request_apply_event (c, r, c->recorded_answer);
      respond (f, r);
    }
  else if (r->outcome == RR_OUTCOME_NOT_RUN)
    end_on (f, r, c->recorded_not_run, "the outcome was recorded before");
  else
    /* Also when it ran, but its response was too large to keep.  */
    end_on (f, r, c->recorded_unknown,
            r->reason[0] != '\0' ? r->reason
                                 : "the outcome was recorded before");
}

/* A non-repeatable request may be sent, or its outcome is known.  */
void
front_grant_verdict (struct front *f, struct request *r,
                     enum peer_grant_verdict verdict)
{
  const struct request_chart *c = &f->d->request_chart;
  switch (verdict)
    {
    case PEER_GRANT_GO:
      {
        request_apply_event (c, r, c->go);
        struct message m = { .type = MESSAGE_REQUEST_RUN };
        m.u.request = r;
        daemon_send (f->d, &f->d->workers_actor, &m);
        return;
      }
    case PEER_GRANT_RECORDED:
      take_record (f, r);
      break;
    case PEER_GRANT_REFUSED:
    case PEER_GRANT_NOT_OWNER:
      /* An earlier sending may have run; only its record could tell.  */
      end_on (f, r, r->resent ? c->unresolved : c->not_attempted,
              "the request can't be recorded now");
      break;
    case PEER_GRANT_PENDING:
      request_apply_event (c, r, c->held);
      end_on (f, r, c->deadline,
              "an earlier request of this id is in progress");
      break;
    case PEER_GRANT_UNKNOWN:
      /* This daemon never sends under this permission, so that recording "not
         run" is true and lets a later request of the same id run.  */
      end_on (f, r, c->unresolved,
              "whether the request was recorded is unknown");
      r->outcome = RR_OUTCOME_NOT_RUN;
      send_result (f, r);
      return;
    }
  request_free (r);
}

/* The workers are done with R.  */
void
front_request_done (struct front *f, struct request *r)
{
  respond (f, r);
  if (r->repeatable)
    request_free (r);
  else
    send_result (f, r);
}
