#include "dispatch_private.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Processing of status reports from workers.  */

enum
{
  /* A run is given up after this many consecutive reports without it: one
     report may have been sent before the run started.  */
  MISSING_REPORTS_MAX = 2,
  /* A worker whose report took longer is avoided for a while: a start would
     have to wait as long for its answer.  */
  SLOW_REPORT_MS = 1200,
  /* A poll of a former owner that a worker took before it refused that owner
     waits no longer: the worker's clock may be 2% slow, and its timers late.
   */
  FORMER_POLL_MS = RR_POLL_WAIT_MAX_MS + 100
};

/* Stops runs that W's new incarnation may have started and did not report.  */
static void
stop_unresolved_runs (struct dispatch_worker *w)
{
  for (size_t i = 0; i < w->run_count; i++)
    if (w->runs[i].phase == RUN_UNRESOLVED)
      dispatch_run_stop (&w->runs[i], "vm-restarted");
}

static void
end_queue (struct dispatch_worker *w, int64_t number, struct dispatch_job *j)
{
  if (w->end_count == w->end_capacity)
    {
      w->end_capacity = w->end_capacity == 0 ? 32 : w->end_capacity * 2;
      w->ends = realloc (w->ends, w->end_capacity * sizeof *w->ends);
      assert (w->ends != NULL);
    }
  struct dispatch_end *e = &w->ends[w->end_count++];
  memset (e, 0, sizeof *e);
  e->number = number;
  if (j == NULL)
    return;
  e->job = j->handle;
  e->version = j->version;
}

static const char *const end_names[]
    = { "done", "failed", "stopped", "lapsed", "broken", "alone" };

static void
end_apply (struct rr_dispatch *d, struct dispatch_worker *w,
           const struct rr_run_end *reported, struct rr_time now)
{
  struct rr_run_end own = *reported;
  const struct rr_run_end *end = &own;
  struct dispatch_run *r = dispatch_run_find (w, &end->name);
  if (r != NULL)
    {
      if (rr_text_equal (own.checkpoint, r->start_checkpoint))
        own.checkpoint = NULL;
      dispatch_run_remove (d, w, r);
    }
  struct dispatch_job *j = dispatch_job_find (d, end->name.job);
  uint32_t number = 0;
  if (j == NULL || !dispatch_task_number (j, &end->name, &number))
    {
      dispatch_log_decision (
          d, "run_end_unknown", "job=%s task=%d.%d.%d run=%llu vm=%s how=%s",
          end->name.job, end->name.occurrence, end->name.step, end->name.task,
          (unsigned long long)end->name.run, w->info.id, end_names[end->kind]);
      end_queue (w, end->number, NULL);
      return;
    }
  const struct dispatch_task *t = &j->tasks[number];
  bool current = dispatch_task_placed_as (t, end->name.run, w->handle);
  /* A task counts as done however its other runs have ended.  */
  bool settles = end->kind == RR_END_DONE && t->state != TASK_DONE
                 && !j->graph->steps[end->name.step].long_running;
  if (current || settles || !dispatch_run_end_recorded (t, end->name.run))
    {
      dispatch_log_decision (
          d, "run_ended",
          "job=%s task=%d.%d.%d run=%llu vm=%s how=%s clock=%lld current=%llu",
          end->name.job, end->name.occurrence, end->name.step, end->name.task,
          (unsigned long long)end->name.run, w->info.id, end_names[end->kind],
          (long long)w->clock_ms,
          (unsigned long long)(t->state == TASK_PLACED ? t->current_run : 0));
      dispatch_task_end (d, j, number, end, w->handle, now);
      dispatch_health_end (d, w, j->handle, end->kind, now);
    }
  end_queue (w, end->number, j);
}

/* Returns an array with one flag for each step of G: true if it depends on
   STEP, directly or indirectly.  The caller frees it.  */
static bool *
dependents_of (const struct rr_job_graph *g, size_t step)
{
  bool *depends = calloc (g->step_count, sizeof *depends);
  assert (depends != NULL);
  for (size_t i = step + 1; i < g->step_count; i++)
    for (size_t k = 0; k < g->steps[i].after_count; k++)
      {
        size_t earlier = (size_t)g->steps[i].after[k];
        depends[i] = depends[i] || earlier == step || depends[earlier];
      }
  return depends;
}

/* Makes the dependents of the step of NAME startable, when NAME is a run that
   the last owner started and of whose end no former owner can have heard: none
   has started any of the dependents.  */
static void
settle_dependents (struct rr_dispatch *d, struct dispatch_job *j,
                   const struct rr_run_name *name)
{
  uint32_t number;
  if (!d->inheriting || !dispatch_task_number (j, name, &number)
      || name->run < d->former_run + j->tasks[number].first_run)
    return;
  bool *depends = dependents_of (j->graph, (size_t)name->step);
  uint32_t first = (uint32_t)((size_t)name->occurrence * j->occurrence_tasks);
  for (uint32_t i = first; i < first + j->occurrence_tasks; i++)
    {
      struct rr_run_name other;
      dispatch_task_name (j, i, &other);
      if (j->tasks[i].state != TASK_UNCERTAIN || !depends[other.step])
        continue;
      dispatch_task_set (j, i, TASK_WAITING);
      j->tasks[i].inherited = false;
    }
  free (depends);
}

/* W has listed the adopted run R as running.  A poll of a former owner, which
   W refuses now, may still wait there for ends, for FORMER_POLL_MS at most. */
static void
adopted_run_check (struct rr_dispatch *d, struct dispatch_worker *w,
                   struct dispatch_job *j, const struct dispatch_run *r)
{
  struct dispatch_task *t = &j->tasks[r->number];
  if (!d->inheriting || t->run_exclusive || r->adopted.ms == 0
      || rr_time_diff (w->clock_sent, r->adopted) < FORMER_POLL_MS)
    return;
  t->run_exclusive = true;
  settle_dependents (d, j, &r->name);
}

static void
run_adopt (struct rr_dispatch *d, struct dispatch_worker *w,
           struct dispatch_job *j, uint32_t number,
           const struct rr_run_status *status, struct rr_time now)
{
  struct dispatch_task *t = &j->tasks[number];
  dispatch_task_set (j, number, TASK_PLACED);
  t->current_run = status->name.run;
  if (t->next_run <= status->name.run)
    t->next_run = status->name.run + 1;
  t->worker = w->handle;
  struct dispatch_run *r = dispatch_run_add (d, w, j, &status->name, now);
  r->phase = RUN_RUNNING;
  r->survived = true;
  r->adopted = w->clock_received;
  t->run_exclusive = false;
  /* The worker keeps the speed that a former owner has set.  */
  if (r->best_effort)
    r->speed_percent = SPEED_UNKNOWN;
  dispatch_lease_assume (w, d->o.lease_ms + RR_LEASE_EXCESS_MAX_MS);
  if (j->phase == RR_PHASE_QUEUED)
    {
      j->phase = RR_PHASE_ACTIVE;
      j->version++;
    }
  dispatch_log_decision (
      d, "run_adopted", "job=%s task=%d.%d.%d run=%llu vm=%s",
      status->name.job, status->name.occurrence, status->name.step,
      status->name.task, (unsigned long long)status->name.run, w->info.id);
}

/* Adopts a reported run that is not on record, or stops it when its task must
   not run.  */
static struct dispatch_run *
unknown_run_apply (struct rr_dispatch *d, struct dispatch_worker *w,
                   const struct rr_run_status *status, struct rr_time now)
{
  struct dispatch_job *j = dispatch_job_find (d, status->name.job);
  uint32_t number = 0;
  if (j != NULL && dispatch_task_number (j, &status->name, &number))
    {
      struct dispatch_task *t = &j->tasks[number];
      if ((t->state == TASK_UNCERTAIN || t->state == TASK_WAITING)
          && status->name.run > t->ended_run)
        {
          run_adopt (d, w, j, number, status, now);
          struct dispatch_run *r = dispatch_run_find (w, &status->name);
          if (j->cancelled || j->phase == RR_PHASE_FAILED)
            dispatch_run_stop (r, "job-over");
          return r;
        }
    }
  dispatch_log_decision (
      d, "run_unexpected", "job=%s task=%d.%d.%d run=%llu vm=%s",
      status->name.job, status->name.occurrence, status->name.step,
      status->name.task, (unsigned long long)status->name.run, w->info.id);
  struct dispatch_run *r = dispatch_run_add (d, w, j, &status->name, now);
  r->phase = RUN_RUNNING;
  dispatch_lease_assume (w, d->o.lease_ms + RR_LEASE_EXCESS_MAX_MS);
  dispatch_run_stop (r, "not-ours");
  return r;
}

static void
status_apply (struct rr_dispatch *d, struct dispatch_worker *w,
              const struct rr_run_status *status, struct rr_time now)
{
  struct dispatch_run *r = dispatch_run_find (w, &status->name);
  if (r == NULL)
    r = unknown_run_apply (d, w, status, now);
  if (r->phase == RUN_UNRESOLVED || r->phase == RUN_STARTING)
    {
      r->phase = RUN_RUNNING;
      r->progressed = now;
      r->settled_clock = w->clock_ms;
    }
  r->missing = -1;
  r->reported = true;
  dispatch_crash_run_reported (d, w, r, now);
  if (status->percent != r->percent)
    {
      r->percent = status->percent;
      r->progressed = now;
    }
  r->measurement = status->measurement;
  struct dispatch_job *j = dispatch_job_get (d, r->job);
  if (j == NULL
      || !dispatch_task_placed_as (&j->tasks[r->number], r->name.run,
                                   w->handle))
    return;
  adopted_run_check (d, w, j, r);
  if (!rr_text_equal (status->checkpoint, r->start_checkpoint))
    dispatch_checkpoint_keep (&j->tasks[r->number], r->name.run,
                              status->checkpoint);
}

/* Counts reports without a run, and gives up runs that a report of CLOCK_MS
   should contain but doesn't.  */
static void
check_unreported_runs (struct rr_dispatch *d, struct dispatch_worker *w,
                       int64_t clock_ms, struct rr_time now)
{
  for (size_t i = w->run_count; i-- > 0;)
    {
      struct dispatch_run *r = &w->runs[i];
      if (r->missing < 0)
        {
          r->missing = 0;
          continue;
        }
      if (r->phase == RUN_STARTING && !r->stop_confirmed)
        continue;
      if (r->phase == RUN_UNRESOLVED && !r->stop_confirmed)
        continue;
      if (clock_ms <= r->settled_clock)
        continue;
      r->missing++;
      if (r->stop_confirmed || r->missing >= MISSING_REPORTS_MAX)
        dispatch_run_requeue (
            d, w, r, r->stop_confirmed ? "never-started" : "missing", now);
    }
}

/* Returns whether R is older than what is known of W.  The start of a life is
   a time of day, which may go back between two lives: an answer to a poll that
   was sent after this owner had learned of the present life is of that one or
   a later one.  */
static bool
report_is_stale (const struct dispatch_worker *w,
                 const struct rr_worker_report *r)
{
  if (r->started_ms != 0 && r->started_ms < w->info.started_ms)
    return !rr_time_before (w->life_learned, r->sent);
  return w->has_clock && r->clock_ms < w->clock_ms
         && rr_time_before (r->sent, w->clock_sent);
}

/* Leaves the time without reports of W out of what its best-effort runs have
   stood still: the worker may not have run either.  */
static void
skip_silence (struct dispatch_worker *w, struct rr_time now)
{
  int64_t silent_ms = rr_time_diff (now, w->last_report);
  if (!w->reported || silent_ms <= REPORT_AGE_MAX_MS)
    return;
  for (size_t i = 0; i < w->run_count; i++)
    if (w->runs[i].best_effort)
      w->runs[i].progressed = now;
}

static int
compare_ends (const void *a, const void *b)
{
  const struct rr_run_end *x = a;
  const struct rr_run_end *y = b;
  return (x->number > y->number) - (x->number < y->number);
}

/* Processes the ends in R that W has not reported before, by rising numbers,
   which R may have in any order.  */
static void
ends_apply (struct rr_dispatch *d, struct dispatch_worker *w,
            const struct rr_worker_report *r, struct rr_time now)
{
  if (r->ended_count > 1)
    qsort (r->ended, r->ended_count, sizeof *r->ended, compare_ends);
  for (size_t i = 0; i < r->ended_count; i++)
    if (r->ended[i].number > w->ends_seen)
      {
        w->ends_seen = r->ended[i].number;
        end_apply (d, w, &r->ended[i], now);
      }
}

/* Processes a status report of worker H.  */
void
rr_dispatch_report_apply (struct rr_dispatch *d, struct rr_handle h,
                          const struct rr_worker_report *r, struct rr_time now)
{
  struct dispatch_worker *w = dispatch_worker_get (d, h);
  if (w == NULL || report_is_stale (w, r))
    return;
  if (r->started_ms != 0 && r->started_ms != w->info.started_ms)
    {
      if (w->info.started_ms != 0)
        dispatch_worker_restarted (d, w, r->started_ms, now);
      w->info.started_ms = r->started_ms;
    }
  /* The leases of runs kept across a restart are on another clock.  */
  bool restarted = !w->has_clock && w->run_count > 0;
  w->has_clock = true;
  w->clock_ms = r->clock_ms;
  w->clock_sent = r->sent;
  w->clock_received = r->received;
  dispatch_life_answered (d, w, r->token);
  /* What it runs may have come with a command to a former life.  */
  if (!w->former_fenced)
    dispatch_lease_assume (w, d->o.lease_max_ms);
  skip_silence (w, now);
  w->last_report = now;
  if (rr_time_before (w->heard_sent, r->sent))
    w->heard_sent = r->sent;
  w->heard = true;
  w->loss_noted = false;
  dispatch_crash_worker_heard (d, w);
  w->unresponsive = false;
  if (rr_time_diff (r->received, r->sent) > SLOW_REPORT_MS)
    w->slow_until = rr_time_add (now, SLOW_AVOID_MS);
  ends_apply (d, w, r, now);
  for (size_t i = 0; i < r->running_count; i++)
    status_apply (d, w, &r->running[i], now);
  /* A run that is not listed may be among the ends that are left out.  */
  if (!r->ends_partial)
    check_unreported_runs (d, w, r->clock_ms, now);
  if (restarted)
    {
      dispatch_lease_assume (w, d->o.lease_max_ms);
      stop_unresolved_runs (w);
    }
  if (!w->reported && !r->ends_partial)
    {
      w->reported = true;
      dispatch_inherited_remove (d, w->info.id);
      dispatch_log_decision (
          d, "vm_heard", "vm=%s born=%lld running=%zu ended=%zu", w->info.id,
          (long long)w->info.started_ms, r->running_count, r->ended_count);
    }
  dispatch_health_check (d, w, now);
  dispatch_interference_update (d, w, now);
}
