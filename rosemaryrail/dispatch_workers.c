#include "dispatch_private.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Lower bound of a worker's clock rate relative to this daemon's.  */
#define CLOCK_RATE_MIN 0.98

enum
{
  UNRESPONSIVE_MS = 2500, /* without a report: several polls have failed */
  /* A worker is kept for this long after its registration is removed, since a
     registration that passes to another writer is removed and written
     again.  */
  UNREGISTERED_KEEP_MS = 500,
  /* Time that a worker needs to end its tasks once a lease has expired.  */
  KILL_MARGIN_MS = 100,
  /* Delay before an unanswered stop is sent again.  */
  STOP_RETRY_MS = 400,
  /* A start that could not be sent for this long is withdrawn, so that its
     task can start on another worker.  */
  START_QUEUE_MAX_MS = 1000,
  /* Until a worker is tried again whose starts could not be sent.  */
  CONGESTED_RETRY_MS = 500
};

struct dispatch_worker *
dispatch_worker_get (const struct rr_dispatch *d, struct rr_handle h)
{
  return rr_table_get (d->workers, h);
}

/* Returns true when the worker of INFO has LABEL.  */
bool
rr_worker_has_label (const struct rr_worker_info *info, const char *label)
{
  for (size_t i = 0; i < info->label_count; i++)
    if (strcmp (info->labels[i], label) == 0)
      return true;
  return false;
}

static struct dispatch_worker *
worker_find (const struct rr_dispatch *d, const char *id)
{
  return dispatch_worker_get (d, rr_key_index_get (d->worker_ids, id));
}

/* Adds the worker ID to those that a former owner may have used.  */
void
rr_dispatch_inherit_worker (struct rr_dispatch *d, const char *id)
{
  d->inherited = realloc (d->inherited,
                          (d->inherited_count + 1) * sizeof *d->inherited);
  assert (d->inherited != NULL);
  snprintf (d->inherited[d->inherited_count++], sizeof *d->inherited, "%s",
            id);
}

/* Starts the period in which tasks of inherited jobs may run unreported.  It
   ends at UNTIL, when every lease of the former owner has expired, or earlier
   once all inherited workers have reported.  Runs of inherited tasks are
   numbered from FIRST_RUN on, since former owners may have used lower numbers.
   The last owner used numbers from FORMER_RUN on.  */
void
rr_dispatch_inherit_until (struct rr_dispatch *d, struct rr_time until,
                           uint32_t former_run, uint32_t first_run)
{
  d->former_run = former_run;
  d->first_run = first_run;
  d->inheriting = true;
  d->inherited_until = until;
}

/* Removes the worker ID, which has reported, from the inherited workers.  */
void
dispatch_inherited_remove (struct rr_dispatch *d, const char *id)
{
  for (size_t i = 0; i < d->inherited_count; i++)
    if (strcmp (d->inherited[i], id) == 0)
      {
        memmove (d->inherited[i], d->inherited[d->inherited_count - 1],
                 sizeof *d->inherited);
        d->inherited_count--;
        return;
      }
}

static bool
worker_needed (const struct dispatch_worker *w, struct rr_time now)
{
  bool fresh
      = w->reported && rr_time_diff (now, w->last_report) <= UNRESPONSIVE_MS;
  return w->run_count > 0 || w->end_count > 0 || (w->registered && fresh);
}

/* Writes to IDS the ids of at most MAX workers that must stay in the
   membership record, because tasks may be started on them or may still run
   there, or because they list ends that are not stored yet.  An unresponsive
   worker with neither leaves the record, so that a later owner need not wait
   for it; no task starts on it until it is recorded again.  Returns the
   number.  The ids are valid until a worker is added, dropped or polled.  */
size_t
rr_dispatch_needed_workers (struct rr_dispatch *d, const char **ids,
                            size_t max, struct rr_time now)
{
  size_t n = 0;
  struct rr_handle h = { 0 };
  struct dispatch_worker *w;
  while (n < max && (w = rr_table_next (d->workers, &h)) != NULL)
    {
      if (worker_needed (w, now))
        ids[n++] = w->info.id;
      else if (w->reported)
        w->recorded = false;
    }
  for (size_t i = 0; n < max && i < d->inherited_count; i++)
    {
      w = worker_find (d, d->inherited[i]);
      if (w == NULL || !worker_needed (w, now))
        ids[n++] = d->inherited[i];
    }
  return n;
}

/* Returns the run of W with the task and run number of NAME, or null.  */
struct dispatch_run *
dispatch_run_find (struct dispatch_worker *w, const struct rr_run_name *name)
{
  for (size_t i = 0; i < w->run_count; i++)
    {
      struct rr_run_name *n = &w->runs[i].name;
      if (n->run == name->run && n->task == name->task && n->step == name->step
          && n->occurrence == name->occurrence
          && strcmp (n->job, name->job) == 0)
        return &w->runs[i];
    }
  return NULL;
}

/* Adds a run to W.  J is null when its job is not known.  */
struct dispatch_run *
dispatch_run_add (struct rr_dispatch *d, struct dispatch_worker *w,
                  struct dispatch_job *j, const struct rr_run_name *name,
                  struct rr_time now)
{
  if (w->run_count == w->run_capacity)
    {
      w->run_capacity = w->run_capacity == 0 ? 16 : w->run_capacity * 2;
      w->runs = realloc (w->runs, w->run_capacity * sizeof *w->runs);
      assert (w->runs != NULL);
    }
  struct dispatch_run *r = &w->runs[w->run_count++];
  memset (r, 0, sizeof *r);
  r->name = *name;
  r->started = now;
  r->progressed = now;
  r->speed_percent = 100;
  r->speed_target = 100;
  if (j == NULL)
    return r;
  const struct rr_job_graph_step *s = &j->graph->steps[name->step];
  r->job = j->handle;
  dispatch_task_number (j, name, &r->number);
  r->cores_milli = s->cores_milli;
  r->memory_mb = s->memory_mb;
  r->accelerators = s->accelerators;
  r->best_effort = s->best_effort;
  r->long_running = s->long_running;
  r->tail_target_ms = s->tail_target_ms;
  r->estimate_ms = s->estimate_ms;
  dispatch_interference_classify (d, r, s);
  j->run_count++;
  return r;
}

/* Removes R from W.  The state of its task doesn't change.  */
void
dispatch_run_remove (struct rr_dispatch *d, struct dispatch_worker *w,
                     struct dispatch_run *r)
{
  struct dispatch_job *j = dispatch_job_get (d, r->job);
  if (j != NULL)
    j->run_count--;
  *r = w->runs[--w->run_count];
}

/* Requests a stop of R, which also prevents a start that arrives later.  */
void
dispatch_run_stop (struct dispatch_run *r, const char *reason)
{
  if (r->stop_wanted)
    return;
  r->stop_wanted = true;
  r->stop_reason = reason;
}

/* Removes R from W and returns its task to the waiting tasks.  REASON is
   logged.  */
void
dispatch_run_requeue (struct rr_dispatch *d, struct dispatch_worker *w,
                      struct dispatch_run *r, const char *reason,
                      struct rr_time now)
{
  struct dispatch_job *j = dispatch_job_get (d, r->job);
  dispatch_log_decision (d, "run_lost",
                         "job=%s task=%d.%d.%d run=%u vm=%s reason=%s",
                         r->name.job, r->name.occurrence, r->name.step,
                         r->name.task, r->name.run, w->info.id, reason);
  if (j != NULL)
    {
      struct dispatch_task *t = &j->tasks[r->number];
      if (t->state == TASK_PLACED && t->current_run == r->name.run)
        dispatch_task_requeue (d, j, r->number, now);
    }
  dispatch_run_remove (d, w, r);
}

/* Gives up the runs of W's former incarnation.  The start of a run that was
   never reported may have reached the new incarnation, so such a run stays
   until the new one has reported.  */
static void
requeue_former_runs (struct rr_dispatch *d, struct dispatch_worker *w,
                     struct rr_time now)
{
  for (size_t i = w->run_count; i-- > 0;)
    {
      struct dispatch_run *r = &w->runs[i];
      if (!r->reported && !r->queued)
        {
          r->phase = RUN_UNRESOLVED;
          r->stop_confirmed = false;
          r->settled_clock = 0;
        }
      else
        dispatch_run_requeue (d, w, r, "vm-restarted", now);
    }
}

/* Assumes that W's tasks hold a lease of AHEAD_MS: the longest that another
   owner, or a command on the clock of a former incarnation, can have
   granted.  */
void
dispatch_lease_assume (struct dispatch_worker *w, int64_t ahead_ms)
{
  if (w->lease_clock_ms < w->clock_ms + ahead_ms)
    w->lease_clock_ms = w->clock_ms + ahead_ms;
}

/* Resets W for a new incarnation, which has none of the former one's
   state.  */
void
dispatch_worker_restarted (struct rr_dispatch *d, struct dispatch_worker *w,
                           int64_t started_ms, struct rr_time now)
{
  dispatch_log_decision (
      d, "vm_restarted", "vm=%s born=%lld before=%lld runs=%zu", w->info.id,
      (long long)started_ms, (long long)w->info.started_ms, w->run_count);
  w->info.started_ms = started_ms;
  w->reported = false;
  w->has_clock = false;
  w->lease_clock_ms = 0;
  w->ends_seen = 0;
  w->observed = 0;
  w->end_count = 0;
  w->failed_in_row = 0;
  w->best_effort_percent = 100;
  requeue_former_runs (d, w, now);
  /* Assume the longest lease for the runs that are kept, so that they expire
     when the new incarnation never reports.  */
  if (w->run_count > 0)
    {
      w->clock_ms = 0;
      w->clock_received = now;
      w->lease_clock_ms = d->o.lease_max_ms;
    }
}

/* Adds or updates the registered worker INFO.  */
struct rr_handle
rr_dispatch_worker_set (struct rr_dispatch *d,
                        const struct rr_worker_info *info, struct rr_time now)
{
  struct dispatch_worker *w = worker_find (d, info->id);
  if (w == NULL)
    {
      struct rr_handle h;
      w = rr_table_insert (d->workers, &h);
      memset (w, 0, sizeof *w);
      w->handle = h;
      w->info = *info;
      w->best_effort_percent = 100;
      rr_key_index_put (d->worker_ids, info->id, h);
    }
  if (info->started_ms > w->info.started_ms && w->info.started_ms != 0)
    dispatch_worker_restarted (d, w, info->started_ms, now);
  if (info->draining && !w->info.draining)
    dispatch_log_decision (d, "vm_draining", "vm=%s runs=%zu", info->id,
                           w->run_count);
  int64_t started_ms = w->info.started_ms;
  w->info = *info;
  if (started_ms > info->started_ms)
    w->info.started_ms = started_ms;
  w->registered = true;
  return w->handle;
}

/* Records that the worker ID is no longer registered.  Its tasks may go
   on.  */
void
rr_dispatch_worker_unregister (struct rr_dispatch *d, const char *id,
                               struct rr_time now)
{
  struct dispatch_worker *w = worker_find (d, id);
  if (w == NULL || !w->registered)
    return;
  w->registered = false;
  w->unregistered_at = now;
  dispatch_log_decision (d, "vm_unlisted", "vm=%s runs=%zu", id, w->run_count);
}

/* Records that the stored membership record has the worker ID, so that a later
   owner polls it.  Tasks may be started on it from now on.  */
void
rr_dispatch_worker_mark_recorded (struct rr_dispatch *d, const char *id)
{
  struct dispatch_worker *w = worker_find (d, id);
  if (w != NULL)
    w->recorded = true;
}

/* Returns true when worker H is unregistered, has no runs and can be
   removed.  */
bool
rr_dispatch_worker_droppable (const struct rr_dispatch *d, struct rr_handle h,
                              struct rr_time now)
{
  const struct dispatch_worker *w = dispatch_worker_get (d, h);
  if (w == NULL || w->registered || w->run_count > 0)
    return false;
  return rr_time_diff (now, w->unregistered_at) > UNREGISTERED_KEEP_MS;
}

/* Removes worker H, which has no runs.  */
void
rr_dispatch_worker_drop (struct rr_dispatch *d, struct rr_handle h)
{
  struct dispatch_worker *w = dispatch_worker_get (d, h);
  assert (w != NULL && w->run_count == 0);
  rr_key_index_remove (d->worker_ids, w->info.id);
  free (w->runs);
  free (w->ends);
  rr_table_remove (d->workers, h);
}

/* Returns the lease end for the next command to worker H, on the worker's
   clock, or 0 when that clock is not known or no lease may be granted.  The
   shard owner may act until VALID_UNTIL, so no lease ends later.  */
int64_t
rr_dispatch_worker_lease (struct rr_dispatch *d, struct rr_handle h,
                          struct rr_time valid_until, struct rr_time now)
{
  struct dispatch_worker *w = dispatch_worker_get (d, h);
  if (w == NULL || !w->has_clock || w->unresponsive)
    return 0;
  int64_t valid = rr_time_diff (valid_until, now);
  if (valid <= 0)
    return 0;
  int64_t end
      = w->clock_ms
        + (int64_t)((double)rr_time_diff (now, w->clock_sent) * CLOCK_RATE_MIN)
        + d->o.lease_ms;
  /* The clock was read between the poll and its answer, which may have come
     late, so the latest end counts from the answer.  */
  int64_t longest = d->o.lease_ms + RR_LEASE_EXCESS_MAX_MS;
  int64_t last = w->clock_ms
                 + (int64_t)((double)rr_time_diff (now, w->clock_received)
                             * CLOCK_RATE_MIN)
                 + (valid < longest ? valid : longest);
  if (last < end)
    end = last;
  if (end > w->lease_clock_ms)
    w->lease_clock_ms = end;
  return end;
}

/* Returns the highest number of an end that worker H may discard.  */
int64_t
rr_dispatch_worker_stored_end (struct rr_dispatch *d, struct rr_handle h)
{
  struct dispatch_worker *w = dispatch_worker_get (d, h);
  if (w == NULL)
    return 0;
  size_t kept = 0;
  while (kept < w->end_count)
    {
      struct dispatch_end *e = &w->ends[kept];
      struct dispatch_job *j = dispatch_job_get (d, e->job);
      if (j != NULL && !j->cancelled && j->stored_version < e->version)
        break;
      w->observed = e->number;
      kept++;
    }
  w->end_count -= kept;
  if (kept > 0)
    memmove (w->ends, w->ends + kept, w->end_count * sizeof *w->ends);
  return w->observed;
}

/* Returns true when worker H has reported ends that are not stored yet.  */
bool
rr_dispatch_worker_has_unstored_ends (struct rr_dispatch *d,
                                      struct rr_handle h)
{
  rr_dispatch_worker_stored_end (d, h);
  struct dispatch_worker *w = dispatch_worker_get (d, h);
  return w != NULL && w->end_count > 0;
}

/* Records that worker H has not answered a poll.  It gets no lease until it
   answers one: a worker that receives polls but whose answers are lost would
   otherwise keep its tasks for ever.  */
void
rr_dispatch_worker_unreachable (struct rr_dispatch *d, struct rr_handle h)
{
  struct dispatch_worker *w = dispatch_worker_get (d, h);
  if (w != NULL)
    w->unresponsive = true;
}

/* Withdraws starts that have waited too long to be sent.  The worker can't
   have received them, and is not to blame.  */
static void
withdraw_queued_starts (struct rr_dispatch *d, struct dispatch_worker *w,
                        struct rr_time now)
{
  for (size_t i = w->run_count; i-- > 0;)
    {
      struct dispatch_run *r = &w->runs[i];
      if (!r->queued || rr_time_diff (now, r->started) < START_QUEUE_MAX_MS)
        continue;
      w->full_until = rr_time_add (now, CONGESTED_RETRY_MS);
      dispatch_run_requeue (d, w, r, "not-sent", now);
    }
}

/* Gives up the runs whose starts were sent to W.  */
static void
requeue_sent_runs (struct rr_dispatch *d, struct dispatch_worker *w,
                   const char *reason, struct rr_time now)
{
  for (size_t i = w->run_count; i-- > 0;)
    if (!w->runs[i].queued)
      dispatch_run_requeue (d, w, &w->runs[i], reason, now);
}

static size_t
sent_run_count (const struct dispatch_worker *w)
{
  size_t n = 0;
  for (size_t i = 0; i < w->run_count; i++)
    n += w->runs[i].queued ? 0 : 1;
  return n;
}

/* Gives up W's runs once every lease granted to it must have expired, even on
   its slowest possible clock, at a time when this owner certainly held the
   shard.  A run whose start was not sent has no lease yet: the worker's last
   lease says nothing about it.  */
void
dispatch_expire (struct rr_dispatch *d, struct dispatch_worker *w,
                 struct rr_time confirmed, struct rr_time now)
{
  withdraw_queued_starts (d, w, now);
  size_t sent = sent_run_count (w);
  if (sent == 0 || (!w->has_clock && w->lease_clock_ms == 0))
    return;
  double elapsed
      = (double)(rr_time_diff (confirmed, w->clock_received) - KILL_MARGIN_MS);
  if ((double)w->clock_ms + elapsed * CLOCK_RATE_MIN
      <= (double)w->lease_clock_ms)
    return;
  dispatch_log_decision (d, "vm_lease_expired",
                         "vm=%s runs=%zu silent_ms=%lld", w->info.id, sent,
                         (long long)rr_time_diff (now, w->clock_received));
  requeue_sent_runs (d, w, "lease-expired", now);
}

/* Returns whether the command KIND to worker H, which has waited to be sent,
   still has to be, and records that it is sent now.  Its run may have ended,
   or its start may have been withdrawn; a start that is to be stopped again is
   not sent at all.  */
bool
rr_dispatch_command_begin (struct rr_dispatch *d, struct rr_handle h,
                           enum rr_command_kind kind,
                           const struct rr_run_name *name)
{
  struct dispatch_worker *w = dispatch_worker_get (d, h);
  struct dispatch_run *r = w == NULL ? NULL : dispatch_run_find (w, name);
  if (r == NULL)
    return false;
  if (kind != RR_COMMAND_START)
    return !r->queued;
  if (!r->queued || r->stop_wanted)
    return false;
  r->queued = false;
  return true;
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
        r->speed_percent = -1;
      r->throttle_in_flight = false;
      if (r->phase != RUN_STARTING)
        continue;
      if (r->queued)
        dispatch_run_requeue (d, w, r, "not-sent", now);
      else
        {
          r->phase = RUN_UNRESOLVED;
          dispatch_run_stop (r, "start-unanswered");
        }
    }
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
    dispatch_permit_drop (j, &r->name, w);
  dispatch_run_requeue (d, w, r, rr_command_outcome_name (outcome), now);
  if (j != NULL && outcome == RR_OUTCOME_INVALID)
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
      r->throttle_in_flight = false;
      if (outcome != RR_OUTCOME_ACCEPTED)
        r->speed_percent = -1;
      return;
    case RR_COMMAND_STOP:
      r->stop_in_flight = false;
      r->stop_at = rr_time_add (now, STOP_RETRY_MS);
      if (outcome != RR_OUTCOME_ACCEPTED)
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
      r->progressed = now;
      struct dispatch_job *j = dispatch_job_get (d, r->job);
      if (j != NULL && j->phase == RR_PHASE_QUEUED)
        {
          j->phase = RR_PHASE_ACTIVE;
          j->version++;
        }
    }
  else if (outcome == RR_OUTCOME_UNKNOWN)
    {
      r->phase = RUN_UNRESOLVED;
      dispatch_run_stop (r, "start-unanswered");
    }
  else
    start_refused (d, w, r, outcome, now);
}
