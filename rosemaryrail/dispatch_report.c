#include "dispatch_private.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A worker's account of its runs.  */

enum
{
  /* Reports in a row that must lack a run before it is taken as lost: one may
     have been under way when the run started.  */
  MISSING_REPORTS_MAX = 2
};

/* Stops what may have been started in W's new incarnation and was not
   reported.  */
static void
unresolved_stop (struct dispatch_worker *w)
{
  for (size_t i = 0; i < w->run_count; i++)
    if (w->runs[i].phase == RUN_UNRESOLVED)
      dispatch_run_stop (&w->runs[i], "vm-restarted");
}

static void
queue_end (struct dispatch_worker *w, int64_t number, struct dispatch_job *j)
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
take_end (struct rr_dispatch *d, struct dispatch_worker *w,
          const struct rr_run_end *end, struct rr_time now)
{
  struct dispatch_run *r = dispatch_run_find (w, &end->name);
  if (r != NULL)
    dispatch_run_remove (d, w, r);
  struct dispatch_job *j = dispatch_job_find (d, end->name.job);
  uint32_t number = 0;
  if (j == NULL || !dispatch_task_number (j, &end->name, &number))
    {
      queue_end (w, end->number, NULL);
      return;
    }
  const struct dispatch_task *t = &j->tasks[number];
  bool current = t->state == TASK_PLACED && t->current_run == end->name.run;
  if (current || !dispatch_end_counted (t, end->name.run))
    {
      dispatch_log_decision (
          d, "run_ended",
          "job=%s task=%d.%d.%d run=%u vm=%s how=%s clock=%lld", end->name.job,
          end->name.occurrence, end->name.step, end->name.task, end->name.run,
          w->info.id, end_names[end->kind], (long long)w->clock_ms);
      dispatch_task_end (d, j, number, end, w->handle, now);
      dispatch_health_end (d, w, j->handle, end->kind, now);
    }
  queue_end (w, end->number, j);
}

/* Returns by step of G whether it waits for STEP, directly or through others;
   the caller frees it.  */
static bool *
followers_of (const struct rr_job_graph *g, size_t step)
{
  bool *follows = calloc (g->step_count, sizeof *follows);
  assert (follows != NULL);
  for (size_t i = step + 1; i < g->step_count; i++)
    for (size_t k = 0; k < g->steps[i].after_count; k++)
      {
        size_t earlier = (size_t)g->steps[i].after[k];
        follows[i] = follows[i] || earlier == step || follows[earlier];
      }
  return follows;
}

/* Ends the uncertainty about the steps behind that of NAME, a run that the
   last owner gave and that still runs: since it had not seen it end, and can't
   any more, it has started none of them.  */
static void
settle_followers (struct rr_dispatch *d, struct dispatch_job *j,
                  const struct rr_run_name *name)
{
  if (!d->inheriting || name->run < d->former_run)
    return;
  bool *follows = followers_of (j->graph, (size_t)name->step);
  uint32_t first = (uint32_t)((size_t)name->occurrence * j->occurrence_tasks);
  for (uint32_t i = first; i < first + j->occurrence_tasks; i++)
    {
      struct rr_run_name other;
      dispatch_task_name (j, i, &other);
      if (j->tasks[i].state != TASK_UNCERTAIN || !follows[other.step])
        continue;
      dispatch_task_set (j, i, TASK_WAITING);
    }
  free (follows);
}

static void
adopt (struct rr_dispatch *d, struct dispatch_worker *w,
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
  dispatch_lease_assume (w, d->o.lease_ms);
  if (j->phase == RR_PHASE_QUEUED)
    {
      j->phase = RR_PHASE_ACTIVE;
      j->version++;
    }
  settle_followers (d, j, &status->name);
  dispatch_log_decision (d, "run_adopted", "job=%s task=%d.%d.%d run=%u vm=%s",
                         status->name.job, status->name.occurrence,
                         status->name.step, status->name.task,
                         status->name.run, w->info.id);
}

/* A run that we have not on record: adopts it, or stops it.  */
static struct dispatch_run *
take_unknown (struct rr_dispatch *d, struct dispatch_worker *w,
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
          adopt (d, w, j, number, status, now);
          struct dispatch_run *r = dispatch_run_find (w, &status->name);
          if (j->cancelled || j->phase == RR_PHASE_FAILED)
            dispatch_run_stop (r, "job-over");
          return r;
        }
    }
  dispatch_log_decision (d, "run_unexpected",
                         "job=%s task=%d.%d.%d run=%u vm=%s", status->name.job,
                         status->name.occurrence, status->name.step,
                         status->name.task, status->name.run, w->info.id);
  struct dispatch_run *r = dispatch_run_add (d, w, j, &status->name, now);
  r->phase = RUN_RUNNING;
  dispatch_lease_assume (w, d->o.lease_ms);
  dispatch_run_stop (r, "not-ours");
  return r;
}

static void
take_status (struct rr_dispatch *d, struct dispatch_worker *w,
             const struct rr_run_status *status, struct rr_time now)
{
  struct dispatch_run *r = dispatch_run_find (w, &status->name);
  if (r == NULL)
    r = take_unknown (d, w, status, now);
  if (r->phase == RUN_UNRESOLVED || r->phase == RUN_STARTING)
    {
      r->phase = RUN_RUNNING;
      r->progressed = now;
      r->settled_clock = w->clock_ms;
    }
  r->missing = -1;
  r->listed = true;
  if (status->percent != r->percent)
    {
      r->percent = status->percent;
      r->progressed = now;
    }
  r->figure = status->figure;
  struct dispatch_job *j = dispatch_job_get (d, r->job);
  if (j != NULL && status->checkpoint[0] != '\0'
      && j->tasks[r->number].state == TASK_PLACED
      && j->tasks[r->number].current_run == r->name.run)
    snprintf (j->tasks[r->number].checkpoint,
              sizeof j->tasks[r->number].checkpoint, "%s", status->checkpoint);
}

/* Looks at the runs that a report of CLOCK_MS did not list.  */
static void
take_absence (struct rr_dispatch *d, struct dispatch_worker *w,
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
        dispatch_run_lost (
            d, w, r, r->stop_confirmed ? "never-started" : "missing", now);
    }
}

static bool
report_is_old (const struct dispatch_worker *w,
               const struct rr_worker_report *r)
{
  if (r->started_ms != 0 && r->started_ms < w->info.started_ms)
    return true;
  return w->has_clock && r->clock_ms < w->clock_ms
         && rr_time_before (r->sent, w->clock_sent);
}

/* Takes in a worker's account of its runs.  */
void
rr_dispatch_report_apply (struct rr_dispatch *d, struct rr_handle h,
                          const struct rr_worker_report *r, struct rr_time now)
{
  struct dispatch_worker *w = dispatch_worker_get (d, h);
  if (w == NULL || report_is_old (w, r))
    return;
  if (r->started_ms > w->info.started_ms)
    {
      if (w->info.started_ms != 0)
        dispatch_worker_restarted (d, w, r->started_ms, now);
      w->info.started_ms = r->started_ms;
    }
  /* Runs kept from before a restart had leases on another clock.  */
  bool restarted = !w->has_clock && w->run_count > 0;
  w->has_clock = true;
  w->clock_ms = r->clock_ms;
  w->clock_sent = r->sent;
  w->clock_received = r->received;
  w->last_report = now;
  w->silent = false;
  for (size_t i = 0; i < r->ended_count; i++)
    if (r->ended[i].number > w->ends_seen)
      {
        w->ends_seen = r->ended[i].number;
        take_end (d, w, &r->ended[i], now);
      }
  for (size_t i = 0; i < r->running_count; i++)
    take_status (d, w, &r->running[i], now);
  take_absence (d, w, r->clock_ms, now);
  if (restarted)
    {
      dispatch_lease_assume (w, d->o.lease_max_ms);
      unresolved_stop (w);
    }
  if (!w->reported)
    {
      w->reported = true;
      dispatch_inherited_responded (d, w->info.id);
      dispatch_log_decision (
          d, "vm_heard", "vm=%s born=%lld running=%zu ended=%zu", w->info.id,
          (long long)w->info.started_ms, r->running_count, r->ended_count);
    }
  dispatch_health_check (d, w, now);
  dispatch_interference_update (d, w, now);
}
