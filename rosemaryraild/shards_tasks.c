#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "rosemaryraild/shards_internal.h"
#include "rosemaryraild/workers.h"

enum
{
  ATTEMPT_RECHECK_MS = 1000,
  CLOCK_QUERY_MS = 60000
};

static void
append_running (struct shard *s, const struct busy_task *b, uint32_t attempt)
{
  struct rr_record r = { .kind = RR_RECORD_ATTEMPT_RUNNING };
  snprintf (r.u.attempt_running.job, sizeof r.u.attempt_running.job, "%s",
            b->job);
  r.u.attempt_running.task = b->task;
  r.u.attempt_running.attempt = attempt;
  shard_record_queue (s, &r);
}

/* Converts the result text that a worker reports for an ended attempt.  */
static enum rr_attempt_result
attempt_result_from_text (const char *result)
{
  if (strcmp (result, "ok") == 0)
    return RR_RESULT_SUCCEEDED;
  if (strcmp (result, "stopped") == 0)
    return RR_RESULT_EVICTED;
  if (strcmp (result, "lease-expired") == 0)
    return RR_RESULT_LOST;
  return RR_RESULT_FAILED;
}

static void
end_record_fill (struct rr_record *r, const char *job, uint32_t task,
                 uint32_t attempt, enum rr_attempt_result result,
                 enum rr_end_proof proof)
{
  memset (r, 0, sizeof *r);
  r->kind = RR_RECORD_ATTEMPT_ENDED;
  struct rr_record_attempt_ended *e = &r->u.attempt_ended;
  snprintf (e->job, sizeof e->job, "%s", job);
  e->task = task;
  e->attempt = attempt;
  e->result = result;
  e->proof = proof;
}

/* Fills R with the end of an attempt as reported by the worker.  */
static void
reported_end_fill (struct rr_record *r, const struct rr_job *job,
                   uint32_t task, uint32_t attempt, const char *result,
                   const char *checkpoint)
{
  enum rr_attempt_result attempt_result = attempt_result_from_text (result);
  if (attempt_result == RR_RESULT_EVICTED && job->cancelled)
    attempt_result = RR_RESULT_STOPPED;
  end_record_fill (r, job->spec.job, task, attempt, attempt_result,
                   RR_PROOF_REPORTED);
  struct rr_record_attempt_ended *e = &r->u.attempt_ended;
  snprintf (e->checkpoint, sizeof e->checkpoint, "%s", checkpoint);
  snprintf (e->detail, sizeof e->detail, "%s", result);
}

static void
append_end (struct busy_task *b, const struct rr_job *job, uint32_t attempt,
            const char *result, const char *checkpoint)
{
  struct rr_record r;
  reported_end_fill (&r, job, b->task, attempt, result, checkpoint);
  shard_record_queue (b->shard, &r);
}

static void
on_start_response (void *data, enum rpc_call_state state, const char *result,
                   size_t length)
{
  struct task_call *c = data;
  struct rr_job *job;
  struct busy_task *b = task_call_resolve (c, &job);
  peer_start_result r = { 0 };
  enum rr_start_response response = RR_START_NO_RESPONSE;
  if (state == RPC_CALL_NOT_SENT || state == RPC_CALL_REJECTED)
    response = RR_START_REFUSED;
  else if (state == RPC_CALL_ANSWERED
           && xdr_decode ((xdrproc_t)xdr_peer_start_result, &r, result,
                          length))
    {
      response = r.outcome == PEER_ANSWERED  ? RR_START_ACCEPTED
                 : r.outcome == PEER_NOT_RUN ? RR_START_REFUSED
                                             : RR_START_NO_RESPONSE;
      xdr_free ((xdrproc_t)xdr_peer_start_result, &r);
    }
  if (b != NULL)
    {
      rr_attempt_start_response (job, b->task, c->attempt, response);
      busy_task_resume (b);
      if (response == RR_START_ACCEPTED)
        append_running (b->shard, b, c->attempt);
      else if (response == RR_START_REFUSED)
        busy_task_back_off (b);
    }
  free (c);
}

static void
attempt_start (struct shard *s, struct rr_job *job, uint32_t task,
               uint32_t attempt, const char *daemon)
{
  struct shards *ss = s->ss;
  if (!rr_attempt_start_sent (job, task, attempt))
    return;
  struct busy_task *b = busy_task_get (s, job, task);
  const struct rr_attempt *a = &job->tasks[task].attempt;
  struct task_call *c = task_call_new (b, attempt);
  peer_start_args args
      = { .task = shards_task_args (s, job, task, attempt, b->name),
          .worker = (char *)a->worker,
          .incarnation = a->worker_incarnation,
          .void_after_ms = a->void_after_ms,
          .granted_until_ms = a->granted_until_ms };
  daemon_call (ss->d, &ss->d->shards_actor, daemon, TASK_START,
               (xdrproc_t)xdr_peer_start_args, &args, SHARD_CALL_TIMEOUT_MS,
               on_start_response, c);
}

static void
attempt_state_handle (struct busy_task *b, const struct rr_job *job,
                      const struct task_call *c, const peer_attempt_result *r)
{
  struct rr_record rec;
  shards_clock_update (c->ss, c->worker, c->incarnation, r->worker_now_ms);
  switch (r->state)
    {
    case PEER_ATTEMPT_RUNNING:
      busy_task_resume (b);
      if (job->tasks[b->task].attempt.state == RR_ATTEMPT_PLACED)
        append_running (b->shard, b, c->attempt);
      else
        b->retry_at = rr_time_add (daemon_now (), ATTEMPT_RECHECK_MS);
      break;
    case PEER_ATTEMPT_ENDED:
      busy_task_resume (b);
      append_end (b, job, c->attempt, r->result, r->checkpoint);
      break;
    case PEER_ATTEMPT_NEVER:
      busy_task_resume (b);
      end_record_fill (&rec, b->job, b->task, c->attempt,
                       RR_RESULT_NEVER_STARTED, RR_PROOF_SEALED);
      shard_record_queue (b->shard, &rec);
      break;
    default:
      busy_task_back_off (b);
      break;
    }
}

static void
on_attempt_response (void *data, enum rpc_call_state state, const char *result,
                     size_t length)
{
  struct task_call *c = data;
  struct rr_job *job;
  struct busy_task *b = task_call_resolve (c, &job);
  peer_attempt_result r = { 0 };
  if (state == RPC_CALL_ANSWERED
      && xdr_decode ((xdrproc_t)xdr_peer_attempt_result, &r, result, length))
    {
      if (b != NULL)
        attempt_state_handle (b, job, c, &r);
      xdr_free ((xdrproc_t)xdr_peer_attempt_result, &r);
    }
  else if (b != NULL)
    busy_task_back_off (b);
  free (c);
}

/* Sends TASK_SEAL or TASK_STOP, as PROCEDURE says, for the live attempt of a
   task.  */
static void
attempt_call_send (struct shard *s, struct rr_job *job, uint32_t task,
                   const char *daemon, uint32_t procedure, bool checkpoint)
{
  struct shards *ss = s->ss;
  const struct rr_attempt *a = &job->tasks[task].attempt;
  struct busy_task *b = busy_task_get (s, job, task);
  struct task_call *c = task_call_new (b, a->number);
  snprintf (c->worker, sizeof c->worker, "%s", a->worker);
  c->incarnation = a->worker_incarnation;
  peer_attempt_args args = { .task = b->name,
                             .attempt = a->number,
                             .shard = s->number,
                             .shard_epoch = rr_shard_log_epoch (s->log),
                             .worker = (char *)a->worker,
                             .incarnation = a->worker_incarnation,
                             .checkpoint = checkpoint };
  daemon_call (ss->d, &ss->d->shards_actor, daemon, procedure,
               (xdrproc_t)xdr_peer_attempt_args, &args, SHARD_CALL_TIMEOUT_MS,
               on_attempt_response, c);
}

static void
on_lease_proof (void *data, enum rpc_call_state state, const char *result,
                size_t length)
{
  struct task_call *c = data;
  struct rr_job *job;
  struct busy_task *b = task_call_resolve (c, &job);
  peer_attempt_result r = { 0 };
  bool expired
      = state == RPC_CALL_ANSWERED
        && xdr_decode ((xdrproc_t)xdr_peer_attempt_result, &r, result, length)
        && r.state == PEER_ATTEMPT_LEASE_EXPIRED;
  if (b != NULL)
    {
      b->lease_proof_failed = b->lease_proof_failed || !expired;
      if (--b->lease_proofs_outstanding == 0)
        {
          bool all = !b->lease_proof_failed;
          b->lease_expired = all && b->promise_round;
          b->promise_round = all && !b->promise_round;
          busy_task_resume (b);
          if (!all)
            b->retry_at = rr_time_add (daemon_now (), ATTEMPT_RECHECK_MS);
        }
    }
  xdr_free ((xdrproc_t)xdr_peer_attempt_result, &r);
  free (c);
}

/* Runs one round of a lease proof with every daemon of the worker's zone.  The
   first round has them confirm that the lease of the worker has expired, the
   second has them promise never to claim this incarnation of the worker again.
   A daemon that can't be reached blocks the proof unless its own incarnation
   is gone.  */
static void
lease_proof_request (struct shard *s, struct rr_job *job, uint32_t task)
{
  struct shards *ss = s->ss;
  struct rr_membership *m = peers_membership (ss->d->peers);
  struct rr_time now = daemon_now ();
  const struct rr_attempt *a = &job->tasks[task].attempt;
  struct busy_task *b = busy_task_get (s, job, task);
  b->lease_proofs_outstanding = 0;
  b->lease_proof_failed = false;
  for (size_t i = 0; i < rr_membership_count (m); i++)
    {
      const struct rr_member *member = rr_membership_at (m, now, i);
      if (member->info.role != RR_ROLE_ENTRY
          || strcmp (member->info.zone, a->zone) != 0
          || member->state == RR_MEMBER_GONE
          || member->state == RR_MEMBER_DEAD)
        continue;
      struct task_call *c = task_call_new (b, a->number);
      b->lease_proofs_outstanding++;
      peer_attempt_args args = { .task = b->name,
                                 .attempt = a->number,
                                 .shard = s->number,
                                 .shard_epoch = rr_shard_log_epoch (s->log),
                                 .worker = (char *)a->worker,
                                 .incarnation = a->worker_incarnation,
                                 .promise = b->promise_round };
      daemon_call (ss->d, &ss->d->shards_actor, member->info.name,
                   LEASE_ABANDON, (xdrproc_t)xdr_peer_attempt_args, &args,
                   SHARD_CALL_TIMEOUT_MS, on_lease_proof, c);
    }
  if (b->lease_proofs_outstanding == 0)
    busy_task_back_off (b);
}

static void
on_grant_extension_response (void *data, enum rpc_call_state state,
                             const char *result, size_t length)
{
  (void)state;
  (void)result;
  (void)length;
  struct task_call *c = data;
  struct rr_job *job;
  struct busy_task *b = task_call_resolve (c, &job);
  if (b != NULL)
    busy_task_resume (b);
  free (c);
}

/* Queues the record of an extended grant.  A scan after the commit sends the
   grant to the ledger owner, which can't take it from the worker's status
   report: that still shows the old grant.  */
static void
grant_extension_record (struct shard *s, struct rr_job *job, uint32_t task,
                        const struct rr_task_action *action)
{
  struct rr_record r = { .kind = RR_RECORD_GRANT_EXTENDED };
  struct rr_record_grant_extended *g = &r.u.grant_extended;
  snprintf (g->job, sizeof g->job, "%s", job->spec.job);
  g->task = task;
  g->attempt = action->attempt;
  g->granted_until_ms = action->granted_until_ms;
  struct busy_task *b = busy_task_get (s, job, task);
  b->grant_extension_pending = true;
  shard_record_queue (s, &r);
}

static void
grant_extension_send (struct shard *s, struct rr_job *job, uint32_t task,
                      struct busy_task *b, const char *daemon)
{
  struct shards *ss = s->ss;
  const struct rr_attempt *a = &job->tasks[task].attempt;
  b->grant_extension_pending = false;
  struct task_call *c = task_call_new (b, a->number);
  peer_grant_extend_args args = { .task = b->name,
                                  .attempt = a->number,
                                  .shard = s->number,
                                  .shard_epoch = rr_shard_log_epoch (s->log),
                                  .worker = (char *)a->worker,
                                  .granted_until_ms = a->granted_until_ms };
  daemon_call (ss->d, &ss->d->shards_actor, daemon, GRANT_EXTEND,
               (xdrproc_t)xdr_peer_grant_extend_args, &args,
               SHARD_CALL_TIMEOUT_MS, on_grant_extension_response, c);
}

/* Returns the state of the worker of a live attempt.  Unless the worker is
   suspected or its ledger has no live owner, stores the name of that owner in
   DAEMON.  */
static struct rr_worker_view
worker_view_get (struct shards *ss, const struct rr_attempt *a,
                 const struct busy_task *b, char *daemon)
{
  struct rr_membership *m = peers_membership (ss->d->peers);
  struct rr_time now = daemon_now ();
  struct rr_worker_view v = { 0 };
  v.gone = rr_membership_has_disappeared (m, a->worker, a->worker_incarnation);
  const struct rr_member *worker = rr_membership_find (m, now, a->worker);
  bool suspect = worker == NULL || worker->state == RR_MEMBER_SUSPECT;
  const struct rr_member *owner
      = rr_membership_worker_owner (m, now, a->worker);
  if (owner != NULL && owner->alive && !suspect)
    {
      /* After several failed calls in a row the worker counts as unreachable,
         even if the ledger owner answers.  */
      v.reachable = b == NULL || b->retries < 3;
      snprintf (daemon, NAME_SIZE, "%s", owner->info.name);
    }
  v.lease_expired = b != NULL && b->lease_expired;
  struct worker_clock *c
      = shards_clock_find (ss, a->worker, a->worker_incarnation);
  v.clock_known = c != NULL;
  if (c != NULL)
    v.clock_ms = now.ms + c->offset_ms;
  return v;
}

static void
scan_task (struct shard *s, struct rr_job *job, uint32_t task,
           struct rr_time now)
{
  struct shards *ss = s->ss;
  const struct rr_attempt *a = &job->tasks[task].attempt;
  char name[TASK_NAME_SIZE];
  char daemon[NAME_SIZE] = "";
  rr_task_name (job->spec.job, task, name, sizeof name);
  bool live = rr_attempt_is_live (a);
  if (live)
    shard_placement_charge (s, job);
  struct busy_task *b = busy_task_find (ss, name);
  if (b != NULL && (b->call_in_progress || rr_time_before (now, b->retry_at)))
    return;
  struct rr_worker_view view = { 0 };
  if (live)
    view = worker_view_get (ss, a, b, daemon);
  struct rr_task_action action = rr_task_next_action (job, task, &view, now);
  struct rr_record r;
  switch (action.kind)
    {
    case RR_TASK_NO_ACTION:
    case RR_TASK_WAIT:
      if (b != NULL && b->grant_extension_pending && daemon[0] != '\0')
        grant_extension_send (s, job, task, b, daemon);
      else if (a->state == RR_ATTEMPT_RUNNING && view.reachable
               && !view.clock_known)
        attempt_call_send (s, job, task, daemon, TASK_SEAL, false);
      else if (b != NULL && a->state == RR_ATTEMPT_RUNNING
               && !b->grant_extension_pending)
        busy_task_remove (ss, b);
      break;
    case RR_TASK_PLACE:
      shard_placement_task_add (s, job, task);
      break;
    case RR_TASK_SEND_START:
      attempt_start (s, job, task, action.attempt, daemon);
      break;
    case RR_TASK_SEAL:
      attempt_call_send (s, job, task, daemon, TASK_SEAL, false);
      break;
    case RR_TASK_PROVE_LEASE:
      lease_proof_request (s, job, task);
      break;
    case RR_TASK_EXTEND_GRANT:
      grant_extension_record (s, job, task, &action);
      break;
    case RR_TASK_STOP:
      if (rr_pacer_take (&ss->cancels, 1, now) == 1)
        attempt_call_send (s, job, task, daemon, TASK_STOP, false);
      break;
    case RR_TASK_RECORD_END:
      log_event (LOG_LEVEL_INFO, "attempt_over",
                 "task=%s attempt=%u worker=%s result=%s proof=%s", name,
                 a->number, a->worker, rr_attempt_result_name (action.result),
                 rr_end_proof_name (action.proof));
      if (action.result == RR_RESULT_LOST)
        rr_pacer_wave_begin (&ss->restarts, now);
      end_record_fill (&r, job->spec.job, task, action.attempt, action.result,
                       action.proof);
      shard_record_queue (s, &r);
      if (b != NULL)
        busy_task_remove (ss, b);
      break;
    }
}

static void
scan_jobs (struct shard *s, struct rr_time now, bool urgent)
{
  struct rr_shard_state *data = rr_shard_log_shard_state (s->log);
  struct rr_handle cursor = { 0 };
  struct rr_job *job;
  while ((job = rr_job_store_next (data->jobs, &cursor)) != NULL)
    {
      if (job->state != RR_JOB_OPEN || job->open_tasks == 0)
        continue;
      bool high_priority
          = job->spec.urgent || job->spec.kind == RR_JOB_SERVICE;
      if (high_priority != urgent)
        continue;
      uint32_t tasks = job->spec.tasks;
      for (uint32_t i = 0; i < tasks; i++)
        if (job->tasks[i].state == RR_TASK_OPEN)
          scan_task (s, job, i, now);
    }
}

/* Takes the next action for every open task of the shard, services and urgent
   jobs first.  It only queues records and calls, so that no job changes during
   the scan.  */
void
shard_scan (struct shard *s, struct rr_time now)
{
  shard_placement_begin (s);
  scan_jobs (s, now, true);
  scan_jobs (s, now, false);
  shard_placement_run (s, now);
}

/* Parses NAME, "JOB.TASK".  Returns false if it does not have that form.  */
static bool
task_name_parse (const char *name, char *job, size_t size, uint32_t *task)
{
  const char *dot = strrchr (name, '.');
  if (dot == NULL || (size_t)(dot - name) >= size)
    return false;
  memcpy (job, name, (size_t)(dot - name));
  job[dot - name] = '\0';
  char *end;
  unsigned long v = strtoul (dot + 1, &end, 10);
  *task = (uint32_t)v;
  return dot[1] != '\0' && *end == '\0' && v < RR_TASKS_MAX;
}

/* Records the end of an attempt that a ledger owner reports (RPC TASK_ENDED).
   The call is answered with success only once the record is committed, or at
   once if the end is recorded already or the job is not known: then no further
   report is needed.  */
void
shards_task_ended (struct shards *ss, const struct message_rpc_request *q)
{
  peer_ended_args a = { 0 };
  if (!xdr_decode ((xdrproc_t)xdr_peer_ended_args, &a, q->args, q->length)
      || a.shard >= RR_SHARD_COUNT)
    {
      xdr_free ((xdrproc_t)xdr_peer_ended_args, &a);
      daemon_reject (ss->d, &q->origin);
      return;
    }
  char name[RR_NAME_MAX + 1];
  uint32_t task = 0;
  struct rr_job *job = NULL;
  peer_status out = { .code = RR_OK, .message = "" };
  struct shard *s = &ss->shard[a.shard];
  if (!rr_shard_log_is_owner (s->log))
    out = (peer_status){ RR_ERROR_UNAVAILABLE, "not owner" };
  else if (task_name_parse (a.task, name, sizeof name, &task))
    job = rr_job_store_find (rr_shard_log_shard_state (s->log)->jobs, name);
  if (job != NULL && task < job->spec.tasks
      && job->tasks[task].attempt.number == a.attempt
      && rr_attempt_is_live (&job->tasks[task].attempt))
    {
      struct rr_record r;
      reported_end_fill (&r, job, task, a.attempt, a.result, a.checkpoint);
      struct rr_error err = { 0 };
      if (!shard_append (
              s, &r, pending_add (ss, PENDING_END, &q->origin, a.task), &err))
        {
          out = (peer_status){ RR_ERROR_UNAVAILABLE, "log is busy" };
          daemon_reply (ss->d, &q->origin, (xdrproc_t)xdr_peer_status, &out);
        }
    }
  else
    daemon_reply (ss->d, &q->origin, (xdrproc_t)xdr_peer_status, &out);
  xdr_free ((xdrproc_t)xdr_peer_ended_args, &a);
}

/* Returns which filters rejected the workers for a task that waits to be
   placed, or "" if none are known.  */
const char *
shards_task_filters_get (struct shards *ss, const char *job, uint32_t task)
{
  char name[TASK_NAME_SIZE];
  rr_task_name (job, task, name, sizeof name);
  struct busy_task *b = busy_task_find (ss, name);
  return b == NULL ? "" : b->filters;
}
