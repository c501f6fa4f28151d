#include "rosemaryrail/attempt.h"

#include <stdio.h>
#include <string.h>

#include "rosemaryrail/job.h"

/* Returns the name of STATE as shown to operators.  */
const char *
rr_attempt_state_name (enum rr_attempt_state state)
{
  switch (state)
    {
    case RR_ATTEMPT_NONE:
      return "none";
    case RR_ATTEMPT_PLACED:
      return "placed";
    case RR_ATTEMPT_RUNNING:
      return "running";
    case RR_ATTEMPT_ENDED:
      return "ended";
    }
  return "invalid";
}

/* Returns the name of KIND as used in logs.  */
const char *
rr_task_action_name (enum rr_task_action_kind kind)
{
  switch (kind)
    {
    case RR_TASK_NO_ACTION:
      return "nothing";
    case RR_TASK_PLACE:
      return "place";
    case RR_TASK_SEND_START:
      return "send-start";
    case RR_TASK_SEAL:
      return "seal";
    case RR_TASK_PROVE_LEASE:
      return "prove-lease";
    case RR_TASK_WAIT:
      return "wait";
    case RR_TASK_EXTEND_GRANT:
      return "extend-grant";
    case RR_TASK_STOP:
      return "stop";
    case RR_TASK_RECORD_END:
      return "record-end";
    }
  return "invalid";
}

/* Writes the task's name as used with workers, "JOB.TASK", to BUFFER.  */
void
rr_task_name (const char *job, uint32_t task, char *buffer, size_t size)
{
  snprintf (buffer, size, "%s.%u", job, task);
}

/* Returns whether A may still be running on its worker.  */
bool
rr_attempt_is_live (const struct rr_attempt *a)
{
  return a->state == RR_ATTEMPT_PLACED || a->state == RR_ATTEMPT_RUNNING;
}

/* Returns TASK of JOB if its live attempt is ATTEMPT, else null with the
   reason in ERR.  This check makes late reports of earlier attempts
   ineffective.  */
static struct rr_task *
task_of_live_attempt (struct rr_job *job, uint32_t task, uint32_t attempt,
                      struct rr_error *err)
{
  if (task >= job->spec.tasks)
    {
      rr_error_set (err, RR_ERROR_NOT_FOUND, "job \"%s\" has no task %u",
                    job->spec.job, task);
      return NULL;
    }
  struct rr_task *t = &job->tasks[task];
  if (t->attempt.number != attempt || !rr_attempt_is_live (&t->attempt))
    {
      rr_error_set (err, RR_ERROR_CONFLICT,
                    "task %s.%u: attempt %u is not live, attempt %u is %s",
                    job->spec.job, task, attempt, t->attempt.number,
                    rr_attempt_state_name (t->attempt.state));
      return NULL;
    }
  return t;
}

/* Applies the placement of an attempt.  Fails unless every earlier attempt has
   ended, so that a task never has two live attempts.  NOW is the owner's
   clock.  */
bool
rr_attempt_apply_placed (struct rr_job *job,
                         const struct rr_record_attempt_placed *p,
                         struct rr_time now, struct rr_error *err)
{
  if (p->task >= job->spec.tasks)
    return rr_error_set (err, RR_ERROR_NOT_FOUND, "job \"%s\" has no task %u",
                         job->spec.job, p->task);
  struct rr_task *t = &job->tasks[p->task];
  struct rr_attempt *a = &t->attempt;
  if (t->state != RR_TASK_OPEN || job->cancelled)
    return rr_error_set (
        err, RR_ERROR_CONFLICT, "task %s.%u: %s", job->spec.job, p->task,
        job->cancelled ? "the job is cancelled" : "the task is done");
  if (rr_attempt_is_live (a) || p->attempt != a->number + 1)
    return rr_error_set (err, RR_ERROR_CONFLICT,
                         "task %s.%u: can't place attempt %u, attempt %u is "
                         "%s",
                         job->spec.job, p->task, p->attempt, a->number,
                         rr_attempt_state_name (a->state));
  struct rr_time placement_queued_at = a->placement_queued_at;
  memset (a, 0, sizeof *a);
  a->number = p->attempt;
  a->state = RR_ATTEMPT_PLACED;
  memcpy (a->worker, p->worker, sizeof a->worker);
  memcpy (a->zone, p->zone, sizeof a->zone);
  a->worker_incarnation = p->worker_incarnation;
  a->controller_epoch = p->controller_epoch;
  a->void_after_ms = p->void_after_ms;
  a->granted_until_ms = p->granted_until_ms;
  a->own = true;
  a->expiry_base = now;
  a->placement_queued_at = placement_queued_at;
  return true;
}

/* Applies the confirmation that an attempt is running.  */
bool
rr_attempt_apply_running (struct rr_job *job,
                          const struct rr_record_attempt_running *p,
                          struct rr_error *err)
{
  struct rr_task *t = task_of_live_attempt (job, p->task, p->attempt, err);
  if (t == NULL)
    return false;
  if (t->attempt.state == RR_ATTEMPT_RUNNING)
    return rr_error_set (err, RR_ERROR_CONFLICT,
                         "task %s.%u: attempt %u is running already",
                         job->spec.job, p->task, p->attempt);
  t->attempt.state = RR_ATTEMPT_RUNNING;
  return true;
}

/* Ends T, whose last attempt has ended, with STATE.  */
static void
task_close (struct rr_job *job, struct rr_task *t, enum rr_task_state state)
{
  t->state = state;
  t->checkpoint[0] = '\0';
  job->open_tasks--;
}

/* Applies the end of an attempt.  The task stays open for another attempt
   unless it succeeded, has reached the job's maximum of failures or belongs to
   a cancelled job.  A task of a service is started again even if it
   succeeded.  */
bool
rr_attempt_apply_ended (struct rr_job *job,
                        const struct rr_record_attempt_ended *p,
                        struct rr_error *err)
{
  struct rr_task *t = task_of_live_attempt (job, p->task, p->attempt, err);
  if (t == NULL)
    return false;
  t->attempt.state = RR_ATTEMPT_ENDED;
  t->attempt.result = p->result;
  t->attempt.proof = p->proof;
  if (p->checkpoint[0] != '\0')
    memcpy (t->checkpoint, p->checkpoint, sizeof t->checkpoint);
  if (p->result == RR_RESULT_EVICTED)
    t->evictions++;
  if (p->result == RR_RESULT_FAILED)
    t->failures++;
  if (p->result == RR_RESULT_SUCCEEDED && job->spec.kind == RR_JOB_BATCH)
    task_close (job, t, RR_TASK_SUCCEEDED);
  else if (job->cancelled)
    task_close (job, t, RR_TASK_CANCELLED);
  else if (p->result == RR_RESULT_FAILED && job->spec.max_failures > 0
           && t->failures >= job->spec.max_failures)
    task_close (job, t, RR_TASK_FAILED);
  return true;
}

/* Applies the extension of a grant.  Fails if the new end is not later.  NOW
   is the owner's clock.  */
bool
rr_attempt_apply_grant_extended (struct rr_job *job,
                                 const struct rr_record_grant_extended *p,
                                 struct rr_time now, struct rr_error *err)
{
  struct rr_task *t = task_of_live_attempt (job, p->task, p->attempt, err);
  if (t == NULL)
    return false;
  if (p->granted_until_ms <= t->attempt.granted_until_ms)
    return rr_error_set (err, RR_ERROR_CONFLICT,
                         "task %s.%u: the new end of the grant is not later",
                         job->spec.job, p->task);
  t->attempt.granted_until_ms = p->granted_until_ms;
  t->attempt.expiry_base = now;
  return true;
}

/* Records that the start of ATTEMPT is about to be sent.  The caller sends it
   only if this returns true, so that the start is sent at most once and never
   after the end of the attempt was queued.  */
bool
rr_attempt_start_sent (struct rr_job *job, uint32_t task, uint32_t attempt)
{
  struct rr_task *t = task_of_live_attempt (job, task, attempt, NULL);
  if (t == NULL || t->pending > 0 || !t->attempt.own || t->attempt.start_sent
      || t->attempt.state != RR_ATTEMPT_PLACED)
    return false;
  t->attempt.start_sent = true;
  return true;
}

/* Records the worker's response to the start of ATTEMPT.  After
   RR_START_ACCEPTED the caller appends an "attempt running" record.  Returns
   false if the attempt is not waiting for a response.  */
bool
rr_attempt_start_response (struct rr_job *job, uint32_t task, uint32_t attempt,
                           enum rr_start_response response)
{
  struct rr_task *t = task_of_live_attempt (job, task, attempt, NULL);
  if (t == NULL || !t->attempt.own || !t->attempt.start_sent
      || t->attempt.state != RR_ATTEMPT_PLACED)
    return false;
  t->attempt.start_refused = response == RR_START_REFUSED;
  t->attempt.seal_needed = response == RR_START_NO_RESPONSE;
  return true;
}

static struct rr_task_action
action_record_end (const struct rr_attempt *a, enum rr_attempt_result result,
                   enum rr_end_proof proof)
{
  return (struct rr_task_action){ .kind = RR_TASK_RECORD_END,
                                  .attempt = a->number,
                                  .result = result,
                                  .proof = proof };
}

static struct rr_task_action
action_make (const struct rr_attempt *a, enum rr_task_action_kind kind,
             struct rr_time until)
{
  return (struct rr_task_action){ .kind = kind,
                                  .attempt = a->number,
                                  .until = until };
}

/* Returns the action for a live attempt whose worker is unreachable: wait
   until the start is void, then ask for the proof that the worker's lease has
   expired, and without that proof wait for the end of the grant.  */
static struct rr_task_action
action_unreachable (const struct rr_job *job, const struct rr_attempt *a,
                    const struct rr_worker_view *view, struct rr_time now)
{
  struct rr_time void_at
      = rr_time_add (a->expiry_base, RR_START_WINDOW_MS + RR_CLOCK_MARGIN_MS);
  int64_t limit = job->spec.isolation_limit_ms;
  if (limit < RR_START_WINDOW_MS)
    limit = RR_START_WINDOW_MS;
  /* Allow for a clock drift of 0.1 %.  */
  struct rr_time grant_at = rr_time_add (
      a->expiry_base, limit + limit / 1000 + RR_CLOCK_MARGIN_MS);
  bool clock_past = view->clock_known && view->clock_ms >= a->granted_until_ms
                    && view->clock_ms >= a->void_after_ms;
  if (clock_past || !rr_time_before (now, grant_at))
    return action_record_end (a, RR_RESULT_LOST, RR_PROOF_GRANT_EXPIRED);
  if (a->state == RR_ATTEMPT_PLACED && rr_time_before (now, void_at))
    return action_make (a, RR_TASK_WAIT, void_at);
  if (view->lease_expired)
    return action_record_end (a, RR_RESULT_LOST, RR_PROOF_LEASE_EXPIRED);
  return action_make (a, RR_TASK_PROVE_LEASE, grant_at);
}

/* Returns the action for an attempt that is placed but not confirmed as
   running.  */
static struct rr_task_action
action_placed (const struct rr_job *job, const struct rr_attempt *a,
               const struct rr_worker_view *view, struct rr_time now)
{
  struct rr_time window_end
      = rr_time_add (a->placement_queued_at, RR_START_WINDOW_MS);
  bool window_open = rr_time_before (now, window_end);
  if (a->own && !a->start_sent)
    {
      if (job->cancelled || !window_open)
        return action_record_end (a, RR_RESULT_NEVER_STARTED,
                                  RR_PROOF_NOT_SENT);
      if (view->reachable)
        return action_make (a, RR_TASK_SEND_START, window_end);
      return action_make (a, RR_TASK_WAIT, window_end);
    }
  if (a->own && a->start_refused)
    return action_record_end (a, RR_RESULT_NEVER_STARTED, RR_PROOF_REFUSED);
  if (a->own && !a->seal_needed && window_open)
    return action_make (a, RR_TASK_WAIT, window_end);
  if (view->reachable)
    return action_make (a, RR_TASK_SEAL, now);
  return action_unreachable (job, a, view, now);
}

/* Returns the next action of the shard owner for TASK (design section 5.2).
   VIEW describes the worker of the latest attempt and may be null if there is
   none; NOW is the owner's clock.  Must be called only while
   rr_shard_log_is_owner returns true.  */
struct rr_task_action
rr_task_next_action (const struct rr_job *job, uint32_t task,
                     const struct rr_worker_view *view, struct rr_time now)
{
  static const struct rr_worker_view no_view;
  const struct rr_task *t = &job->tasks[task];
  const struct rr_attempt *a = &t->attempt;
  struct rr_task_action nothing = { .kind = RR_TASK_NO_ACTION };
  if (view == NULL)
    view = &no_view;
  if (t->pending > 0 || t->state != RR_TASK_OPEN)
    return nothing;
  if (!rr_attempt_is_live (a))
    return (struct rr_task_action){ .kind = RR_TASK_PLACE,
                                    .attempt = a->number + 1 };
  if (view->gone)
    return action_record_end (a, RR_RESULT_LOST, RR_PROOF_INCARNATION_GONE);
  if (a->state == RR_ATTEMPT_PLACED)
    return action_placed (job, a, view, now);
  if (!view->reachable)
    return action_unreachable (job, a, view, now);
  if (job->cancelled)
    return action_make (a, RR_TASK_STOP, now);
  int64_t limit = job->spec.isolation_limit_ms;
  if (view->clock_known && a->granted_until_ms - view->clock_ms < limit / 2)
    return (struct rr_task_action){ .kind = RR_TASK_EXTEND_GRANT,
                                    .attempt = a->number,
                                    .granted_until_ms
                                    = view->clock_ms + limit };
  return nothing;
}
