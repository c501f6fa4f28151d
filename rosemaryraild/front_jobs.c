#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryrail/shard_state.h"
#include "rosemaryraild/front_internal.h"
#include "rosemaryraild/peers.h"
#include "rosemaryraild/shards.h"

enum
{
  QUERY_TIMEOUT_MS = 1500,
  SUBMIT_TIMEOUT_MS = 5000,
  DAEMONS_MAX = 256
};

/* A question that goes to several daemons.  Every daemon answers for the
   shards it owns; those that did not answer are named as stale.  */
struct query
{
  struct front *f;
  uint64_t token;
  bool list;
  unsigned outstanding;
  int best_status; /* of a single job: 200 before 503 before 404 */
  char *best_text;
  struct json_object *jobs;
  struct json_object *stale;
  uint32_t covered; /* shards answered for */
};

/* One daemon's part of a query.  */
struct query_call
{
  struct query *q;
  char daemon[NAME_SIZE];
};

static void
finish_list (struct query *q, struct http_exchange *x)
{
  for (uint32_t i = 0; i < RR_SHARD_COUNT; i++)
    if ((q->covered & 1u << i) == 0)
      {
        char name[24];
        snprintf (name, sizeof name, "shard %u", i);
        json_object_array_add (q->stale, json_object_new_string (name));
      }
  struct json_object *o = json_object_new_object ();
  json_object_object_add (o, "jobs", json_object_get (q->jobs));
  json_object_object_add (o, "stale", json_object_get (q->stale));
  http_exchange_respond_json (x, 200, json_text (o));
  json_object_put (o);
}

static void
query_finish (struct query *q)
{
  struct http_exchange *x = front_take_exchange (q->f, q->token);
  if (q->list)
    finish_list (q, x);
  else if (q->best_text != NULL)
    {
      /* With shards unanswered, "not found" may be wrong.  */
      if (q->best_status == 404 && json_object_array_length (q->stale) > 0)
        front_respond_error (x, 503, RR_ERROR_UNAVAILABLE,
                             "not found, but not every daemon answered");
      else
        http_exchange_respond_json (x, q->best_status, q->best_text);
    }
  else
    front_respond_error (x, 503, RR_ERROR_UNAVAILABLE, "no daemon answered");
  json_object_put (q->jobs);
  json_object_put (q->stale);
  free (q->best_text);
  free (q);
}

static void
take_list (struct query *q, const char *text, size_t length)
{
  struct rr_error err = { 0 };
  struct json_object *o = json_parse (text, length, &err);
  struct json_object *list = NULL;
  if (o != NULL && json_object_object_get_ex (o, "jobs", &list))
    for (size_t i = 0; i < json_object_array_length (list); i++)
      json_object_array_add (
          q->jobs, json_object_get (json_object_array_get_idx (list, i)));
  if (o != NULL && json_object_object_get_ex (o, "shards", &list))
    for (size_t i = 0; i < json_object_array_length (list); i++)
      q->covered
          |= 1u << json_object_get_int (json_object_array_get_idx (list, i));
  json_object_put (o);
}

static void
take_single (struct query *q, const peer_job_result *r)
{
  if (q->best_text != NULL && q->best_status != 404)
    return;
  free (q->best_text);
  q->best_status = r->http_status;
  q->best_text = malloc (r->text.text_len + 1);
  assert (q->best_text != NULL);
  memcpy (q->best_text, r->text.text_val, r->text.text_len);
  q->best_text[r->text.text_len] = '\0';
}

static void
on_answer (void *data, enum rpc_call_state state, const char *result,
           size_t length)
{
  struct query_call *c = data;
  struct query *q = c->q;
  peer_job_result r = { 0 };
  if (state == RPC_CALL_ANSWERED
      && xdr_decode ((xdrproc_t)xdr_peer_job_result, &r, result, length))
    {
      if (q->list)
        take_list (q, r.text.text_val, r.text.text_len);
      else
        take_single (q, &r);
      xdr_free ((xdrproc_t)xdr_peer_job_result, &r);
    }
  else
    json_object_array_add (q->stale, json_object_new_string (c->daemon));
  free (c);
  if (--q->outstanding == 0)
    query_finish (q);
}

static void
query_send (struct query *q, const char *daemon, uint32_t procedure,
            peer_job_args *args, uint64_t timeout_ms)
{
  struct daemon *d = q->f->d;
  struct query_call *c = calloc (1, sizeof *c);
  assert (c != NULL);
  c->q = q;
  snprintf (c->daemon, sizeof c->daemon, "%s", daemon);
  q->outstanding++;
  daemon_call (d, &d->front_actor, daemon, procedure,
               (xdrproc_t)xdr_peer_job_args, args, timeout_ms, on_answer, c);
}

static struct query *
query_new (struct front *f, struct http_exchange *x, bool list)
{
  struct query *q = calloc (1, sizeof *q);
  assert (q != NULL);
  q->f = f;
  q->token = front_add_exchange (f, x);
  q->list = list;
  q->jobs = json_object_new_array ();
  q->stale = json_object_new_array ();
  return q;
}

/* Sends a question about ID to every daemon.  */
static void
ask_all (struct front *f, struct http_exchange *x, uint32_t procedure,
         const char *id, const char *detail)
{
  struct rr_membership *m = peers_membership (f->d->peers);
  struct rr_time now = daemon_now ();
  struct query *q = query_new (f, x, id[0] == '\0');
  peer_job_args args
      = { .team = "", .id = (char *)id, .detail = (char *)detail };
  for (size_t i = 0; i < rr_membership_count (m); i++)
    {
      const struct rr_member *member = rr_membership_at (m, now, i);
      if (member->info.role == RR_ROLE_ENTRY && member->alive)
        query_send (q, member->info.name, procedure, &args, QUERY_TIMEOUT_MS);
    }
  if (q->outstanding == 0)
    query_finish (q);
}

/* Lists the jobs of all shards.  */
void
front_list_jobs (struct front *f, struct http_exchange *x)
{
  ask_all (f, x, JOB_QUERY, "", "");
}

/* Shows one job; DETAIL "explain" says why tasks wait.  */
void
front_get_job (struct front *f, struct http_exchange *x, const char *id,
               const char *detail)
{
  ask_all (f, x, JOB_QUERY, id, detail);
}

/* Cancels a job.  */
void
front_cancel_job (struct front *f, struct http_exchange *x, const char *id)
{
  ask_all (f, x, JOB_CANCEL, id, "");
}

/* Submits the job in the body to the owner of its team's shard.  */
void
front_submit_job (struct front *f, struct http_exchange *x)
{
  struct rr_error err = { 0 };
  size_t length;
  const char *body = http_exchange_body (x, &length);
  struct json_object *o = json_parse (body, length, &err);
  const char *team = o == NULL ? NULL : json_get_string (o, "team", &err);
  char owner[NAME_SIZE];
  if (team == NULL)
    {
      metric_add (&f->d->metrics, METRIC_REQUESTS_BAD, 1);
      http_exchange_respond_error (x, 400, &err);
    }
  else if (!shards_owner (f->d->shards, rr_shard_for_key (team), owner,
                          sizeof owner))
    front_respond_error (
        x, 503, RR_ERROR_UNAVAILABLE,
        "nobody owns this team's jobs at present; the job was not "
        "accepted");
  else
    {
      struct query *q = query_new (f, x, false);
      peer_job_args args = { .team = (char *)"",
                             .id = "",
                             .detail = "",
                             .text = { .text_len = (u_int)length,
                                       .text_val = (char *)body } };
      query_send (q, owner, JOB_SUBMIT, &args, SUBMIT_TIMEOUT_MS);
    }
  json_object_put (o);
}
