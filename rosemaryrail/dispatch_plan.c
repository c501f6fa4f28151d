#include "dispatch_private.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Short tasks on a draining worker are stopped this long before it leaves,
     so that their end is reported and they start again elsewhere at once.  */
  LEAVING_STOP_MS = 1500,
  AUDIT_MS = 1000 /* interval between audits of placed tasks */
};

static bool
job_active (const struct dispatch_job *j)
{
  return !j->cancelled && j->phase != RR_PHASE_FAILED
         && j->phase != RR_PHASE_COMPLETED;
}

/* Moves to LONGEST the long-running jobs of READY that are placed before all
   others, and returns their number: those that have waited for
   LONG_RUNNING_FIRST_AFTER_MS, and the one that has waited longest if that is
   more than CAPACITY_HOLD_AFTER_MS.  Sets N to the number that is left.  */
static size_t
take_long_waiting (struct dispatch_ready_job *ready, size_t *n,
                   struct dispatch_ready_job *longest)
{
  int64_t longest_ms = CAPACITY_HOLD_AFTER_MS;
  for (size_t i = 0; i < *n; i++)
    if (ready[i].group == READY_LONG_RUNNING
        && ready[i].waited_ms > longest_ms)
      longest_ms = ready[i].waited_ms;
  size_t taken = 0;
  size_t rest = 0;
  bool found = false;
  for (size_t i = 0; i < *n; i++)
    {
      bool is_longest = !found && ready[i].waited_ms == longest_ms
                        && longest_ms > CAPACITY_HOLD_AFTER_MS;
      if (ready[i].group == READY_LONG_RUNNING
          && (is_longest || ready[i].waited_ms > LONG_RUNNING_FIRST_AFTER_MS))
        {
          found = found || is_longest;
          longest[taken++] = ready[i];
        }
      else
        ready[rest++] = ready[i];
    }
  *n = rest;
  qsort (longest, taken, sizeof *longest, dispatch_ready_job_compare_waited);
  return taken;
}

/* Places the long-running jobs that have waited for a long time, before all
   others, and holds capacity for those that find none.  READY is in the order
   of placement; sets N to the number of jobs that are left to place.  After
   many workers have left, short tasks would otherwise keep taking what becomes
   free for as long as they come.  */
static void
place_long_waiting (struct rr_dispatch *d, struct dispatch_ready_job *ready,
                    size_t *n, struct rr_time now)
{
  struct dispatch_ready_job *longest = calloc (*n + 1, sizeof *longest);
  assert (longest != NULL);
  size_t taken = take_long_waiting (ready, n, longest);
  size_t workers = rr_table_count (d->workers);
  d->holds_left
      = 1 + workers * CAPACITY_HOLD_WORKERS_MAX_PERCENT / (size_t)100;
  d->holding = true;
  for (size_t i = 0; i < taken && d->start_bytes_left > 0; i++)
    dispatch_place_job (d, longest[i].job, now);
  d->holding = false;
  d->log_holds = false;
  free (longest);
}

static void
place_jobs (struct rr_dispatch *d, struct rr_time now)
{
  size_t count = rr_table_count (d->jobs);
  struct dispatch_ready_job *ready = calloc (count + 1, sizeof *ready);
  assert (ready != NULL);
  size_t n = 0;
  struct rr_handle h = { 0 };
  struct dispatch_job *j;
  while ((j = rr_table_next (d->jobs, &h)) != NULL)
    if (job_active (j) && !j->held
        && dispatch_ready_job_init (d, j, &ready[n], now))
      n++;
  qsort (ready, n, sizeof *ready, dispatch_ready_job_compare);
  place_long_waiting (d, ready, &n, now);
  for (size_t i = 0; i < n && d->start_bytes_left > 0; i++)
    dispatch_place_job (d, ready[i].job, now);
  free (ready);
}

/* Stops tasks on a worker that is about to leave, so that they move to
   others.  */
static void
drain_worker (struct dispatch_worker *w, struct rr_time now)
{
  int64_t remaining
      = w->info.remaining_ms - rr_time_diff (now, w->last_report);
  for (size_t i = 0; i < w->run_count; i++)
    if (w->runs[i].long_running || remaining < LEAVING_STOP_MS)
      dispatch_run_stop (&w->runs[i], "vm-leaving");
}

static void
command_stops (struct rr_dispatch *d, struct dispatch_worker *w,
               struct rr_time now)
{
  for (size_t i = 0; i < w->run_count; i++)
    {
      struct dispatch_run *r = &w->runs[i];
      if (!r->stop_wanted || r->stop_in_flight || r->stop_confirmed
          || rr_time_before (now, r->stop_at))
        continue;
      r->stop_in_flight = true;
      struct rr_command command = { .kind = RR_COMMAND_STOP,
                                    .worker = w->handle,
                                    .worker_id = w->info.id,
                                    .name = r->name,
                                    .reason = r->stop_reason };
      dispatch_log_decision (
          d, "stop", "job=%s task=%d.%d.%d run=%llu vm=%s reason=%s",
          r->name.job, r->name.occurrence, r->name.step, r->name.task,
          (unsigned long long)r->name.run, w->info.id, r->stop_reason);
      d->o.send_command (d->o.data, &command);
    }
}

/* Checks that each placed task has a run on its worker.  A task without one
   would never start again, so it returns to the waiting tasks and the fault is
   logged.  */
static void
audit_placed_tasks (struct rr_dispatch *d, struct rr_time now)
{
  if (rr_time_diff (now, d->audited) < AUDIT_MS)
    return;
  dispatch_log_waiting (d, rr_time_diff (now, d->audited), now);
  dispatch_inheritance_log (d, now);
  dispatch_crash_audit (d, now);
  d->audited = now;
  d->log_holds = true;
  struct rr_handle h = { 0 };
  struct dispatch_job *j;
  while ((j = rr_table_next (d->jobs, &h)) != NULL)
    for (uint32_t i = 0; i < j->task_count; i++)
      {
        if (j->tasks[i].state != TASK_PLACED)
          continue;
        struct rr_run_name name;
        dispatch_task_name (j, i, &name);
        name.run = j->tasks[i].current_run;
        struct dispatch_worker *w
            = dispatch_worker_get (d, j->tasks[i].worker);
        if (w != NULL && dispatch_run_find (w, &name) != NULL)
          continue;
        dispatch_log_decision (d, "run_record_missing",
                               "job=%s task=%d.%d.%d run=%llu", name.job,
                               name.occurrence, name.step, name.task,
                               (unsigned long long)name.run);
        dispatch_task_requeue (d, j, i, now);
      }
}

/* Decides what to start, stop and throttle now.  CONFIRMED is the last time at
   which this owner certainly held the shard: the expiry of a lease after that
   is not conclusive, since another owner may have renewed it.  Nothing
   starts while the workers' registrations are stale, nor when less than
   START_LEASE_MIN_MS is left until VALID_UNTIL, and no more than
   START_BYTES_MAX, which is what can be sent at once.  */
void
rr_dispatch_plan (struct rr_dispatch *d, struct rr_time confirmed,
                  struct rr_time valid_until, int64_t start_bytes_max,
                  struct rr_time now)
{
  struct rr_handle h = { 0 };
  struct dispatch_worker *w;
  d->free_cores_milli = 0;
  while ((w = rr_table_next (d->workers, &h)) != NULL)
    {
      dispatch_crash_silence_check (d, w, now);
      dispatch_expire (d, w, confirmed, now);
      if (w->info.draining)
        drain_worker (w, now);
      dispatch_worker_measure (w);
      if (dispatch_worker_usable (w, now))
        d->free_cores_milli += w->free_cores_milli;
    }
  dispatch_inheritance_settle (d, confirmed);
  audit_placed_tasks (d, now);
  dispatch_interference_refresh (d, now);
  d->start_bytes_left = start_bytes_max;
  d->permit_want_count = 0;
  if (rr_time_diff (valid_until, now) >= START_LEASE_MIN_MS
      && !d->registrations_stale)
    place_jobs (d, now);
  h = (struct rr_handle){ 0 };
  while ((w = rr_table_next (d->workers, &h)) != NULL)
    {
      command_stops (d, w, now);
      dispatch_throttle (d, w, now);
    }
}

static void
load_add_job (struct rr_dispatch_load *load, const struct dispatch_job *j)
{
  load->jobs++;
  for (size_t i = 0;
       i < j->graph->step_count * (size_t)j->graph->occurrence_count; i++)
    {
      const struct rr_job_graph_step *s
          = &j->graph->steps[i % j->graph->step_count];
      int32_t waiting = j->steps[i].waiting;
      if (waiting <= 0)
        continue;
      load->waiting += (size_t)waiting;
      load->queued_core_ms += waiting * s->estimate_ms * s->cores_milli / 1000;
      if (!s->best_effort)
        load->non_best_effort_cores_milli += waiting * s->cores_milli;
    }
}

/* Fills LOAD with the load of the shard.  */
void
rr_dispatch_load_get (const struct rr_dispatch *d,
                      struct rr_dispatch_load *load, struct rr_time now)
{
  memset (load, 0, sizeof *load);
  struct rr_handle h = { 0 };
  struct dispatch_worker *w;
  while ((w = rr_table_next (d->workers, &h)) != NULL)
    {
      load->running += w->run_count;
      if (!dispatch_worker_usable (w, now))
        continue;
      load->workers++;
      load->cores_milli += w->info.cores_milli;
      if (w->free_cores_milli > load->largest_free_cores_milli)
        load->largest_free_cores_milli = w->free_cores_milli;
      for (size_t i = 0; i < w->run_count; i++)
        {
          load->used_milli += w->runs[i].cores_milli;
          if (!w->runs[i].best_effort)
            load->non_best_effort_cores_milli += w->runs[i].cores_milli;
        }
    }
  h = (struct rr_handle){ 0 };
  struct dispatch_job *j;
  while ((j = rr_table_next (d->jobs, &h)) != NULL)
    if (job_active (j))
      load_add_job (load, j);
}
