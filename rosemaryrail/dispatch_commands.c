#include "dispatch_private.h"

/* Commands to workers: whether they are still wanted when they are sent, and
   what their answers mean.  */

enum
{
  /* Delay before an unanswered stop is sent again.  */
  STOP_RETRY_MS = 400
};

/* Takes references to the texts of C, which then outlive the callback.  */
void
rr_command_retain (const struct rr_command *c)
{
  rr_text_ref (c->spec);
  rr_text_ref (c->checkpoint);
  rr_text_ref (c->permit_token);
}

/* Drops the references that rr_command_retain has taken.  */
void
rr_command_release (const struct rr_command *c)
{
  rr_text_unref (c->spec);
  rr_text_unref (c->checkpoint);
  rr_text_unref (c->permit_token);
}

/* Returns the name of KIND in logs.  */
const char *
rr_command_kind_name (enum rr_command_kind kind)
{
  static const char *const names[] = { "start", "stop", "pace" };
  return names[kind];
}

/* Returns the name of OUTCOME in logs.  */
const char *
rr_command_outcome_name (enum rr_command_outcome outcome)
{
  static const char *const names[]
      = { "accepted", "fenced",    "stale-run", "too-late",
          "no-room",  "no-permit", "unhealthy", "wrong-instance",
          "invalid",  "not-sent",  "unknown" };
  return names[outcome];
}

/* Returns whether the command KIND to worker H, which has waited to be sent,
   still has to be, and records that it is sent NOW.  Its run may have ended,
   or its start may have been withdrawn; a start that is to be stopped again is
   not sent at all, nor one whose permit is over, or whose worker drains or is
   gone by now, or may do so as far as this daemon knows.  */
bool
rr_dispatch_command_begin (struct rr_dispatch *d, struct rr_handle h,
                           enum rr_command_kind kind,
                           const struct rr_run_name *name, struct rr_time now)
{
  struct dispatch_worker *w = dispatch_worker_get (d, h);
  struct dispatch_run *r = w == NULL ? NULL : dispatch_run_find (w, name);
  if (r == NULL)
    return false;
  if (kind == RR_COMMAND_STOP)
    r->stop_life = w->life;
  if (kind != RR_COMMAND_START)
    return !r->queued;
  if (!r->queued || r->stop_wanted || !w->registered || w->info.draining
      || d->registrations_stale
      || (r->permit_until.ms != 0 && !rr_time_before (now, r->permit_until)))
    return false;
  r->queued = false;
  r->connected = now;
  return true;
}

/* The connection on which the command KIND was sent to worker H was open at
   CONNECTED, which may be later than the command left this daemon.  Of a start
   it is kept: until this is known, it counts as opened when the start left.
   A later stop of the run may use another connection.  */
void
rr_dispatch_command_connected (struct rr_dispatch *d, struct rr_handle h,
                               enum rr_command_kind kind,
                               const struct rr_run_name *name,
                               struct rr_time connected)
{
  struct dispatch_worker *w = dispatch_worker_get (d, h);
  struct dispatch_run *r = w == NULL ? NULL : dispatch_run_find (w, name);
  if (r != NULL && kind == RR_COMMAND_START)
    r->connected = connected;
}

static void
start_unanswered (struct dispatch_run *r, struct rr_time now)
{
  r->phase = RUN_UNRESOLVED;
  r->unanswered = now;
  dispatch_run_stop (r, "start-unanswered");
}

/* The connection to worker H was closed and another is opened: commands that
   were queued are not sent, and those in flight get no answer.  */
void
rr_dispatch_commands_abandoned (struct rr_dispatch *d, struct rr_handle h,
                                struct rr_time now)
{
  struct dispatch_worker *w = dispatch_worker_get (d, h);
  for (size_t i = w == NULL ? 0 : w->run_count; i-- > 0;)
    {
      struct dispatch_run *r = &w->runs[i];
      r->stop_in_flight = false;
      if (r->throttle_in_flight)
        dispatch_throttle_answered (r, RR_OUTCOME_UNKNOWN, now);
      if (r->phase != RUN_STARTING)
        continue;
      if (r->queued)
        dispatch_run_requeue (d, w, r, "not-sent", now);
      else
        start_unanswered (r, now);
    }
}

static void
start_refused (struct rr_dispatch *d, struct dispatch_worker *w,
               struct dispatch_run *r, enum rr_command_outcome outcome,
               struct rr_time now)
{
  enum
  {
    FULL_RETRY_MS = 250,       /* until a full worker is tried again */
    UNHEALTHY_RETRY_MS = 1000, /* until an unhealthy worker is tried again */
    INVALID_RETRY_MS = 2000 /* until a task that was refused is tried again */
  };
  if (outcome == RR_OUTCOME_NO_CAPACITY)
    w->full_until = rr_time_add (now, FULL_RETRY_MS);
  if (outcome == RR_OUTCOME_UNHEALTHY || outcome == RR_OUTCOME_WRONG_INSTANCE)
    w->avoid_until = rr_time_add (now, UNHEALTHY_RETRY_MS);
  struct dispatch_job *j = dispatch_job_get (d, r->job);
  uint32_t number = r->number;
  if (j != NULL && outcome == RR_OUTCOME_NO_PERMIT)
    dispatch_permit_refused (d, j, &r->name, w, now);
  dispatch_run_requeue (d, w, r, rr_command_outcome_name (outcome), now);
  /* No permit is requested where none is needed, so the same start would only
     be refused again.  */
  bool permit_unexpected = j != NULL && outcome == RR_OUTCOME_NO_PERMIT
                           && !dispatch_needs_permits (d, j);
  if (permit_unexpected || (j != NULL && outcome == RR_OUTCOME_INVALID))
    j->tasks[number].not_before = rr_time_add (now, INVALID_RETRY_MS);
}

/* Processes worker H's answer to a command.  CLOCK_MS is 0 when the answer has
   no time.  */
void
rr_dispatch_command_answered (struct rr_dispatch *d, struct rr_handle h,
                              enum rr_command_kind kind,
                              const struct rr_run_name *name,
                              enum rr_command_outcome outcome,
                              int64_t clock_ms, struct rr_time now)
{
  struct dispatch_worker *w = dispatch_worker_get (d, h);
  struct dispatch_run *r = w == NULL ? NULL : dispatch_run_find (w, name);
  if (r == NULL)
    return;
  switch (kind)
    {
    case RR_COMMAND_THROTTLE:
      dispatch_throttle_answered (r, outcome, now);
      return;
    case RR_COMMAND_STOP:
      r->stop_in_flight = false;
      r->stop_at = rr_time_add (now, STOP_RETRY_MS);
      /* An incarnation that has ended since says nothing of the run in the
         present one.  */
      if (outcome != RR_OUTCOME_ACCEPTED || r->stop_life != w->life)
        return;
      r->stop_confirmed = true;
      r->settled_clock = clock_ms;
      return;
    case RR_COMMAND_START:
      break;
    }
  if (r->phase != RUN_STARTING)
    return;
  if (outcome == RR_OUTCOME_ACCEPTED)
    {
      r->phase = RUN_RUNNING;
      r->settled_clock = clock_ms;
      r->accepted = now;
      r->progressed = now;
      struct dispatch_job *j = dispatch_job_get (d, r->job);
      if (j != NULL && r->permit_until.ms != 0)
        dispatch_permit_accepted (j, &r->name);
      if (j != NULL && j->phase == RR_PHASE_QUEUED)
        {
          j->phase = RR_PHASE_ACTIVE;
          j->version++;
        }
    }
  else if (outcome == RR_OUTCOME_UNKNOWN)
    start_unanswered (r, now);
  else
    start_refused (d, w, r, outcome, now);
}
