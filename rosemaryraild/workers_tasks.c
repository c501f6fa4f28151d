#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "rosemaryrail/shard_state.h"
#include "rosemaryraild/peers.h"
#include "rosemaryraild/shards.h"
#include "rosemaryraild/workers_internal.h"

enum
{
  /* Covers the append of the shard owner between reserve and start.  */
  RESERVATION_MS = 5000,
  ENDED_TIMEOUT_MS = 2000
};

/* A call to a worker on behalf of a shard owner.  */
struct task_call
{
  struct worker *w;
  struct call_origin origin;
  char task[RR_TASK_ID_SIZE];
  uint32_t attempt;
  bool checkpoint_first; /* stop after the checkpoint was written */
  struct worker_attempt to;
  char checkpoint[WORKER_CHECKPOINT_SIZE];
};

static struct task_call *
task_call_new (struct worker *w, const struct call_origin *origin,
               const char *task, uint32_t attempt)
{
  struct task_call *c = calloc (1, sizeof *c);
  assert (c != NULL);
  c->w = w;
  c->origin = *origin;
  snprintf (c->task, sizeof c->task, "%s", task);
  c->attempt = attempt;
  w->other_calls++;
  return c;
}

static void
task_call_free (struct task_call *c)
{
  c->w->other_calls--;
  free (c);
}

/* Writes the number of workers that each filter rejected, as "NAME=COUNT"
   separated by blanks.  */
static void
describe_filters (const struct rr_placement_explanation *why, char *out,
                  size_t size)
{
  size_t at = 0;
  out[0] = '\0';
  for (int i = 0; i < RR_FILTER_COUNT; i++)
    if (why->rejected[i] > 0 && at < size)
      at += (size_t)snprintf (
          out + at, size - at, "%s%s=%zu", at == 0 ? "" : " ",
          rr_placement_filter_name ((enum rr_placement_filter)i),
          why->rejected[i]);
}

static void
handle_reserve (struct workers *ws, const struct call_origin *origin,
                const peer_task *t)
{
  struct rr_placement_explanation why = { 0 };
  char filters[256];
  peer_reserve_result out = { .message = "", .worker = "" };
  struct rr_resources need;
  bool probe = false;
  struct rr_time now = daemon_now ();
  struct worker *w = decisions_select_worker (ws, t, now, &need, &probe, &why);
  uint64_t reservation = 0;
  if (w == NULL
      || rr_ledger_reserve (w->ledger, now, t->task, t->attempt, &need,
                            RESERVATION_MS, probe, &reservation)
             != RR_ADMIT_OK)
    {
      describe_filters (&why, filters, sizeof filters);
      out.code = RR_ERROR_LIMIT;
      out.message = "no worker fits";
      out.filters.filters_val = filters;
      out.filters.filters_len = (u_int)strlen (filters);
    }
  else
    {
      struct hosted_task *h = worker_add_task (w, t->task, t->attempt);
      h->reservation = reservation;
      h->need = need;
      snprintf (h->kind, sizeof h->kind, "%s", t->kind);
      snprintf (h->service, sizeof h->service, "%s", t->service);
      snprintf (h->task_class, sizeof h->task_class, "%s", t->task_class);
      snprintf (h->team, sizeof h->team, "%s", t->team);
      h->evictions = t->evictions;
      h->speed_percent = 100;
      decisions_add_task (w, h);
      out.worker = w->name;
      out.incarnation = w->incarnation;
      out.controller_epoch = rr_ledger_epoch (w->ledger);
      out.worker_now_ms = rr_ledger_worker_clock (w->ledger, now).ms;
    }
  daemon_reply (ws->d, origin, (xdrproc_t)xdr_peer_reserve_result, &out);
}

static void
reply_start (struct workers *ws, const struct call_origin *origin,
             peer_outcome outcome, const char *reason)
{
  peer_start_result out = { .outcome = outcome, .reason = (char *)reason };
  daemon_reply (ws->d, origin, (xdrproc_t)xdr_peer_start_result, &out);
}

/* Cancels the reservation of an attempt that the worker did not start.  */
static void
cancel_start (struct worker *w, struct hosted_task *h)
{
  if (h == NULL || h->running)
    return;
  rr_ledger_cancel_reservation (w->ledger, h->reservation);
  worker_remove_task (w, h);
}

static void
on_started (void *data, const struct worker_reply *r)
{
  struct task_call *c = data;
  struct worker *w = c->w;
  struct workers *ws = w->ws;
  struct hosted_task *h = worker_find_task (w, c->task, c->attempt);
  metric_add (&ws->d->metrics, METRIC_WORKER_CALLS, 1);
  switch (r->state)
    {
    case WORKER_OK:
      metric_add (&ws->d->metrics, METRIC_TASKS_STARTED, 1);
      log_event (LOG_LEVEL_INFO, "task_started",
                 "task=%s attempt=%u worker=%s", c->task, c->attempt, w->name);
      if (h != NULL && !h->running)
        {
          rr_ledger_start_confirmed (w->ledger, h->reservation);
          h->running = true;
          h->started = daemon_now ();
          route_add_instance (w, h);
          decisions_attempt_started (w, h);
        }
      reply_start (ws, &c->origin, PEER_ANSWERED, "");
      break;
    case WORKER_REFUSED:
      metric_add (&ws->d->metrics, METRIC_TASK_START_REFUSALS, 1);
      log_event (LOG_LEVEL_INFO, "task_refused",
                 "task=%s attempt=%u worker=%s reason=%s", c->task, c->attempt,
                 w->name, r->reason);
      cancel_start (w, h);
      reply_start (ws, &c->origin, PEER_NOT_RUN, r->reason);
      break;
    case WORKER_NOT_SENT:
      cancel_start (w, h);
      reply_start (ws, &c->origin, PEER_NOT_RUN, "worker unreachable");
      break;
    case WORKER_UNKNOWN:
      reply_start (ws, &c->origin, PEER_UNKNOWN, r->reason);
      break;
    }
  task_call_free (c);
}

static void
handle_start (struct workers *ws, const struct call_origin *origin,
              const peer_start_args *a)
{
  struct worker *w = workers_find (ws, a->worker, a->incarnation);
  struct hosted_task *h
      = w == NULL ? NULL : worker_find_task (w, a->task.task, a->task.attempt);
  if (h == NULL || h->running || h->ended)
    {
      reply_start (ws, origin, PEER_NOT_RUN, "no reservation");
      return;
    }
  enum rr_admit admit = rr_ledger_start_sent (
      w->ledger, daemon_now (), h->reservation,
      rr_time_from_ms (a->void_after_ms), ws->d->settings.task_lease_ms,
      rr_time_from_ms (a->granted_until_ms));
  if (admit != RR_ADMIT_OK)
    {
      cancel_start (w, h);
      reply_start (ws, origin, PEER_NOT_RUN, rr_admit_name (admit));
      return;
    }
  struct task_call *c
      = task_call_new (w, origin, a->task.task, a->task.attempt);
  struct worker_start start = { .epoch = rr_ledger_epoch (w->ledger),
                                .task = &a->task,
                                .void_after_ms = a->void_after_ms,
                                .granted_until_ms = a->granted_until_ms,
                                .lease_ms = ws->d->settings.task_lease_ms };
  worker_start (ws->d->http, &w->endpoint, &start,
                (uint64_t)ws->d->settings.worker_timeout_ms, on_started, c);
}

static void
reply_attempt (struct workers *ws, const struct call_origin *origin,
               const struct worker *w, peer_attempt_state state,
               const char *result, const char *checkpoint)
{
  int64_t now_ms
      = w == NULL ? 0 : rr_ledger_worker_clock (w->ledger, daemon_now ()).ms;
  peer_attempt_result out = { .state = state,
                              .worker_now_ms = now_ms,
                              .result = (char *)result,
                              .checkpoint = (char *)checkpoint };
  daemon_reply (ws->d, origin, (xdrproc_t)xdr_peer_attempt_result, &out);
}

static void
on_attempt_done (void *data, const struct worker_reply *r)
{
  struct task_call *c = data;
  struct worker *w = c->w;
  struct workers *ws = w->ws;
  metric_add (&ws->d->metrics, METRIC_WORKER_CALLS, 1);
  if (r->state != WORKER_OK)
    reply_attempt (ws, &c->origin, w, PEER_ATTEMPT_UNREACHABLE, r->reason, "");
  else if (r->never_started)
    {
      struct hosted_task *h = worker_find_task (w, c->task, c->attempt);
      cancel_start (w, h);
      rr_ledger_end_attempt (w->ledger, c->task, c->attempt);
      reply_attempt (ws, &c->origin, w, PEER_ATTEMPT_NEVER, "", "");
    }
  else
    {
      const char *checkpoint
          = c->checkpoint[0] != '\0' ? c->checkpoint : r->task->checkpoint;
      reply_attempt (ws, &c->origin, w,
                     r->task->running ? PEER_ATTEMPT_RUNNING
                                      : PEER_ATTEMPT_ENDED,
                     r->task->result, checkpoint);
    }
  task_call_free (c);
}

/* Stops the attempt, whether or not the checkpoint could be written.  */
static void
on_checkpoint_done (void *data, const struct worker_reply *r)
{
  struct task_call *c = data;
  struct daemon *d = c->w->ws->d;
  if (r->state == WORKER_OK)
    snprintf (c->checkpoint, sizeof c->checkpoint, "%s", r->task->checkpoint);
  c->to.task = c->task;
  worker_stop (d->http, &c->w->endpoint, &c->to,
               (uint64_t)d->settings.worker_timeout_ms, on_attempt_done, c);
}

static void
handle_attempt (struct workers *ws, const struct call_origin *origin,
                uint32_t procedure, const peer_attempt_args *a)
{
  struct daemon *d = ws->d;
  struct worker *w = workers_find (ws, a->worker, a->incarnation);
  struct rr_time now = daemon_now ();
  enum rr_ledger_state state
      = w == NULL ? RR_LEDGER_UNCLAIMED : rr_ledger_state (w->ledger, now);
  if (state != RR_LEDGER_OPEN && state != RR_LEDGER_LEAVING
      && state != RR_LEDGER_QUARANTINED)
    {
      reply_attempt (ws, origin, NULL, PEER_ATTEMPT_NOT_OWNER, "", "");
      return;
    }
  struct task_call *c = task_call_new (w, origin, a->task, a->attempt);
  c->to = (struct worker_attempt){ .epoch = rr_ledger_epoch (w->ledger),
                                   .task = c->task,
                                   .attempt = a->attempt,
                                   .shard = a->shard,
                                   .shard_epoch = a->shard_epoch };
  uint64_t timeout_ms = (uint64_t)d->settings.worker_timeout_ms;
  if (procedure == TASK_SEAL)
    worker_seal (d->http, &w->endpoint, &c->to, timeout_ms, on_attempt_done,
                 c);
  else if (a->checkpoint)
    worker_checkpoint (d->http, &w->endpoint, &c->to, timeout_ms,
                       on_checkpoint_done, c);
  else
    worker_stop (d->http, &w->endpoint, &c->to, timeout_ms, on_attempt_done,
                 c);
}

/* Returns whether this daemon is in contact with W: it holds the controller
   lease, or a claim is in progress.  */
static bool
is_in_contact (struct worker *w, struct rr_time now)
{
  enum rr_ledger_state state = rr_ledger_state (w->ledger, now);
  return w->state == w->ws->chart.claiming || state == RR_LEDGER_CLAIMED
         || state == RR_LEDGER_OPEN || state == RR_LEDGER_LEAVING
         || state == RR_LEDGER_QUARANTINED;
}

/* Answers one of the two calls of a lease proof.  The first asks whether this
   daemon is out of contact with the worker.  The second follows once every
   daemon of the zone has said so, and asks for the promise never to claim this
   incarnation again.  A daemon in contact never promises, since that would
   stop the tasks of a healthy worker.  */
static void
handle_abandon (struct workers *ws, const struct call_origin *origin,
                const peer_attempt_args *a)
{
  struct worker *w = workers_find (ws, a->worker, a->incarnation);
  struct rr_time now = daemon_now ();
  peer_attempt_state answer = PEER_ATTEMPT_UNREACHABLE;
  /* Without the VM list this daemon can't tell an unknown worker from one that
     it is about to claim, so an unknown worker counts as unreachable.  */
  if (w != NULL && is_in_contact (w, now))
    answer = PEER_ATTEMPT_RUNNING;
  else if (w != NULL && !a->promise)
    answer = PEER_ATTEMPT_LEASE_EXPIRED;
  else if (w != NULL && rr_ledger_abandon (w->ledger, a->incarnation, now))
    {
      worker_apply_event (w, ws->chart.abandon);
      answer = PEER_ATTEMPT_LEASE_EXPIRED;
    }
  reply_attempt (ws, origin, NULL, answer, "", "");
}

static void
handle_extend_grant (struct workers *ws, const struct call_origin *origin,
                     const peer_grant_extend_args *a)
{
  struct worker *w = workers_find (ws, a->worker, 0);
  peer_status out = { .code = RR_OK, .message = "" };
  if (w == NULL
      || !rr_ledger_extend_grant (w->ledger, a->task, a->attempt,
                                  rr_time_from_ms (a->granted_until_ms)))
    out = (peer_status){ RR_ERROR_NOT_FOUND, "no such attempt" };
  daemon_reply (ws->d, origin, (xdrproc_t)xdr_peer_status, &out);
}

/* Handles a call from a shard owner.  */
void
workers_handle_rpc (struct workers *ws, struct message_rpc_request *q)
{
  union
  {
    peer_task task;
    peer_start_args start;
    peer_attempt_args attempt;
    peer_grant_extend_args extend;
  } args;
  memset (&args, 0, sizeof args);
  xdrproc_t proc = (xdrproc_t)xdr_peer_attempt_args;
  if (q->procedure == TASK_RESERVE)
    proc = (xdrproc_t)xdr_peer_task;
  else if (q->procedure == TASK_START)
    proc = (xdrproc_t)xdr_peer_start_args;
  else if (q->procedure == GRANT_EXTEND)
    proc = (xdrproc_t)xdr_peer_grant_extend_args;
  if (!xdr_decode (proc, &args, q->args, q->length))
    {
      daemon_reject (ws->d, &q->origin);
      return;
    }
  if (q->procedure == TASK_RESERVE)
    handle_reserve (ws, &q->origin, &args.task);
  else if (q->procedure == TASK_START)
    handle_start (ws, &q->origin, &args.start);
  else if (q->procedure == GRANT_EXTEND)
    handle_extend_grant (ws, &q->origin, &args.extend);
  else if (q->procedure == LEASE_ABANDON)
    handle_abandon (ws, &q->origin, &args.attempt);
  else
    handle_attempt (ws, &q->origin, q->procedure, &args.attempt);
  xdr_free (proc, &args);
}

/* Adds or updates the list entry of one task of the report.  */
static void
apply_reported_task (struct worker *w, const struct worker_task *t)
{
  struct hosted_task *h = worker_add_task (w, t->task, t->attempt);
  if (h == NULL || h->ended)
    return;
  if (t->kind[0] != '\0')
    {
      snprintf (h->kind, sizeof h->kind, "%s", t->kind);
      snprintf (h->service, sizeof h->service, "%s", t->service);
      snprintf (h->task_class, sizeof h->task_class, "%s", t->task_class);
      snprintf (h->team, sizeof h->team, "%s", t->team);
    }
  if (t->running)
    {
      h->running = true;
      if (t->evictions > h->evictions)
        h->evictions = t->evictions;
      task_speed_reported (w, h, t->speed_percent);
      if (t->sized)
        h->need = t->declared;
      route_add_instance (w, h);
      decisions_add_task (w, h);
      return;
    }
  h->running = false;
  h->ended = true;
  h->sequence = t->sequence;
  snprintf (h->result, sizeof h->result, "%s", t->result);
  snprintf (h->checkpoint, sizeof h->checkpoint, "%s", t->checkpoint);
  route_remove_instance (w, h);
  decisions_attempt_ended (w, h, t->result);
  decisions_remove_task (w, h);
  rr_ledger_end_attempt (w->ledger, t->task, t->attempt);
  metric_add (&w->ws->d->metrics, METRIC_TASKS_ENDED, 1);
  log_event (LOG_LEVEL_INFO, "task_ended",
             "task=%s attempt=%u worker=%s result=%s", t->task, t->attempt,
             w->name, t->result);
}

static struct rr_resources
observed_usage (const struct worker_status_report *a,
                const struct worker_task *t)
{
  struct rr_resources r = { 0 };
  for (size_t i = 0; i < a->usage_count; i++)
    if (a->usage[i].attempt == t->attempt
        && strcmp (a->usage[i].task, t->task) == 0)
      {
        r.cores_milli = a->usage[i].cores_milli;
        r.memory_mb = a->usage[i].memory_mb;
        r.slots = 1;
      }
  return r;
}

/* Updates the ledger and the task list of W from the response to a claim or
   report call.  */
void
worker_apply_report (struct worker *w, const struct worker_status_report *a)
{
  struct rr_error err = { 0 };
  struct rr_time now = daemon_now ();
  struct rr_ledger_reported_task *rows
      = calloc (a->task_count + 1, sizeof *rows);
  assert (rows != NULL);
  size_t n = 0;
  for (size_t i = 0; i < a->task_count; i++)
    {
      const struct worker_task *t = &a->tasks[i];
      if (t->running)
        rows[n++] = (struct rr_ledger_reported_task){
          .task = t->task,
          .attempt = t->attempt,
          .sized = t->sized,
          .declared = t->declared,
          .observed = observed_usage (a, t),
          .granted_until = rr_time_from_ms (t->granted_until_ms),
        };
    }
  bool rebuilding = rr_ledger_state (w->ledger, now) == RR_LEDGER_CLAIMED;
  if (rebuilding)
    rr_ledger_rebuild (w->ledger, a->epoch, rows, n, a->requests, &err);
  else
    {
      struct rr_ledger_report report
          = { .sent = w->call_sent,
              .received = now,
              .worker_now = a->now,
              .lease_ms = w->ws->d->settings.controller_lease_ms,
              .epoch = a->epoch,
              .leaving = a->leaving,
              .tasks = rows,
              .task_count = n,
              .requests = a->requests };
      rr_ledger_report (w->ledger, &report, &err);
    }
  free (rows);
  if (err.code != RR_OK)
    log_event (LOG_LEVEL_WARN, "account_refused", "worker=%s reason=\"%s\"",
               w->name, err.message);
  for (size_t i = 0; i < a->task_count; i++)
    if (a->tasks[i].running || a->tasks[i].sequence > w->ended_after)
      apply_reported_task (w, &a->tasks[i]);
  worker_send_ended_attempts (w);
}

/* The call that reports an ended attempt to its shard owner.  */
struct end_call
{
  struct worker *w;
  char task[RR_TASK_ID_SIZE];
  uint32_t attempt;
};

/* Removes the recorded ends that are older than every unrecorded one.  The
   worker need not report those again.  */
static void
remove_recorded_ends (struct worker *w)
{
  int64_t first_unrecorded = INT64_MAX;
  for (size_t i = 0; i < w->hosted_task_count; i++)
    {
      const struct hosted_task *h = &w->hosted[i];
      if (h->ended && !h->end_recorded && h->sequence < first_unrecorded)
        first_unrecorded = h->sequence;
    }
  for (size_t i = 0; i < w->hosted_task_count;)
    {
      struct hosted_task *h = &w->hosted[i];
      if (!h->ended || !h->end_recorded || h->sequence >= first_unrecorded)
        {
          i++;
          continue;
        }
      if (h->sequence > w->ended_after)
        w->ended_after = h->sequence;
      worker_remove_task (w, h);
    }
}

static void
on_end_reported (void *data, enum rpc_call_state state, const char *result,
                 size_t length)
{
  struct end_call *c = data;
  struct worker *w = c->w;
  struct hosted_task *h = worker_find_task (w, c->task, c->attempt);
  peer_status s = { 0 };
  bool recorded
      = state == RPC_CALL_ANSWERED
        && xdr_decode ((xdrproc_t)xdr_peer_status, &s, result, length)
        && s.code == RR_OK;
  if (h != NULL && h->ended)
    {
      h->end_being_recorded = false;
      h->end_recorded = recorded;
      remove_recorded_ends (w);
    }
  xdr_free ((xdrproc_t)xdr_peer_status, &s);
  w->other_calls--;
  free (c);
}

/* Sends the shard owners the ends that they have not recorded yet.  An end
   stays in the list, and the worker keeps reporting it, until its shard owner
   has recorded it.  */
void
worker_send_ended_attempts (struct worker *w)
{
  struct daemon *d = w->ws->d;
  for (size_t i = 0; i < w->hosted_task_count; i++)
    {
      struct hosted_task *h = &w->hosted[i];
      if (!h->ended || h->end_being_recorded || h->end_recorded)
        continue;
      uint32_t shard = rr_shard_for_key (h->team);
      char owner[NAME_SIZE];
      if (!shards_owner (d->shards, shard, owner, sizeof owner))
        continue;
      struct end_call *c = calloc (1, sizeof *c);
      assert (c != NULL);
      c->w = w;
      snprintf (c->task, sizeof c->task, "%s", h->task);
      c->attempt = h->attempt;
      w->other_calls++;
      h->end_being_recorded = true;
      peer_ended_args args = { .task = h->task,
                               .team = h->team,
                               .attempt = h->attempt,
                               .shard = shard,
                               .result = h->result,
                               .checkpoint = h->checkpoint };
      daemon_call (d, &d->workers_actor, owner, TASK_ENDED,
                   (xdrproc_t)xdr_peer_ended_args, &args, ENDED_TIMEOUT_MS,
                   on_end_reported, c);
    }
}
