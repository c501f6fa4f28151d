#include "dispatch_private.h"

/* What the ends of runs mean for their tasks.  */

enum
{
  /* Delay before a failed task starts again; doubles with each failure.  */
  FAILURE_BACKOFF_MS = 50,
  FAILURE_BACKOFF_DOUBLINGS = 5,
  RECENT_ENDS = 64, /* run numbers that recorded_ends covers */
  /* Ends of older runs of one task that are known to be processed.  One beyond
     them counts as new: that is without effect, but for a suspicion that it
     withdraws, and failures are counted by run.  */
  OLDER_ENDS_MAX = 64,
  /* Failed runs that are known of a long-running task, whose attempts are not
     limited.  */
  LONG_RUNNING_FAILED_RUNS_MAX = 8
};

/* A gang whose run is completed by one member is done as a whole.  */
static void
gang_set_done (struct dispatch_job *j, const struct rr_run_name *name)
{
  struct rr_run_name member = *name;
  for (member.task = 0; member.task < j->graph->steps[name->step].task_count;
       member.task++)
    {
      uint32_t number;
      if (dispatch_task_number (j, &member, &number))
        dispatch_task_set (j, number, TASK_DONE);
    }
}

/* Records that RUN of task NUMBER has failed, unless that has been counted.  A
   gang has failed once in a run, however many of its members have.  */
static void
failure_record (struct dispatch_job *j, uint32_t number, uint64_t run)
{
  struct rr_run_name name;
  dispatch_task_name (j, number, &name);
  const struct rr_job_graph_step *s = &j->graph->steps[name.step];
  uint32_t first = s->gang ? number - (uint32_t)name.task : number;
  uint32_t count = s->gang ? (uint32_t)s->task_count : 1;
  for (uint32_t i = first; i < first + count; i++)
    if (rr_run_set_contains (&j->tasks[i].failed_runs, run))
      return;
  struct dispatch_task *t = &j->tasks[number];
  t->failures++;
  rr_run_set_add (&t->failed_runs, run);
  if (s->long_running)
    rr_run_set_keep_highest (&t->failed_runs, LONG_RUNNING_FAILED_RUNS_MAX);
}

static uint32_t
failure_count (const struct dispatch_job *j, uint32_t number)
{
  struct rr_run_name name;
  dispatch_task_name (j, number, &name);
  const struct rr_job_graph_step *s = &j->graph->steps[name.step];
  if (!s->gang)
    return j->tasks[number].failures;
  uint32_t sum = 0;
  uint32_t first = number - (uint32_t)name.task;
  for (int32_t i = 0; i < s->task_count; i++)
    sum += j->tasks[first + (uint32_t)i].failures;
  return sum;
}

static void
older_end_add (struct dispatch_task *t, uint64_t run)
{
  rr_run_set_add (&t->older_ends, run);
  rr_run_set_keep_highest (&t->older_ends, OLDER_ENDS_MAX);
}

/* Advances T's highest ended run to RUN.  */
static void
ended_run_advance (struct dispatch_task *t, uint64_t run)
{
  if (run <= t->ended_run)
    return;
  uint64_t ahead = run - t->ended_run;
  for (uint64_t age = ahead < RECENT_ENDS ? RECENT_ENDS - ahead : 0;
       age < RECENT_ENDS; age++)
    if ((t->recorded_ends >> age & 1) != 0)
      older_end_add (t, t->ended_run - age);
  t->recorded_ends = ahead < RECENT_ENDS ? t->recorded_ends << ahead : 0;
  t->ended_run = run;
}

static void
end_record (struct dispatch_task *t, uint64_t run)
{
  ended_run_advance (t, run);
  if (t->ended_run - run < RECENT_ENDS)
    t->recorded_ends |= UINT64_C (1) << (t->ended_run - run);
  else
    older_end_add (t, run);
}

/* Returns whether the end of RUN is known to have been processed.  */
bool
dispatch_run_end_recorded (const struct dispatch_task *t, uint64_t run)
{
  if (run > t->ended_run)
    return false;
  uint64_t age = t->ended_run - run;
  return age < RECENT_ENDS ? (t->recorded_ends >> age & 1) != 0
                           : rr_run_set_contains (&t->older_ends, run);
}

/* Keeps CHECKPOINT, which RUN of T has saved, unless it is empty or a later
   run has saved one: that run started after it and may have done more.  */
void
dispatch_checkpoint_keep (struct dispatch_task *t, uint64_t run,
                          struct rr_text *checkpoint)
{
  if (rr_text_length (checkpoint) == 0 || run < t->checkpoint_run)
    return;
  rr_text_assign (&t->checkpoint, checkpoint);
  t->checkpoint_run = run;
}

/* Requests a stop of the runs that have replaced NAME, or its gang, since its
   work is done.  Dependents wait until that is stored.  */
static void
stop_later_runs (struct rr_dispatch *d, struct dispatch_job *j,
                 const struct rr_run_name *name)
{
  struct rr_handle h = { 0 };
  struct dispatch_worker *w;
  while ((w = rr_table_next (d->workers, &h)) != NULL)
    for (size_t i = 0; i < w->run_count; i++)
      {
        struct dispatch_run *r = &w->runs[i];
        if (dispatch_job_get (d, r->job) != j
            || r->name.occurrence != name->occurrence
            || r->name.step != name->step || r->name.run <= name->run
            || j->tasks[r->number].state != TASK_DONE)
          continue;
        dispatch_run_stop (r, "done-before");
        dispatch_step_of (j, name)->settled_version = j->version;
      }
}

/* Returns whether workers that were not heard may list failed runs of task
   NUMBER, whose present run has ended.  */
static bool
failures_uncertain (const struct dispatch_job *j, uint32_t number)
{
  struct rr_run_name name;
  dispatch_task_name (j, number, &name);
  const struct dispatch_task *t = &j->tasks[number];
  return !j->graph->steps[name.step].long_running && t->current_run > 1
         && t->current_run > j->graph->run_base;
}

/* Task NUMBER may start again, since its present run has ended.  While there
   are workers that were not heard, one of them may run it for a former owner
   that has heard of that end, or list failed runs that count as attempts.  */
void
dispatch_task_release (struct rr_dispatch *d, struct dispatch_job *j,
                       uint32_t number)
{
  const struct dispatch_task *t = &j->tasks[number];
  bool certain = !d->inheriting || !t->inherited
                 || (t->run_exclusive && !failures_uncertain (j, number));
  dispatch_task_set (j, number, certain ? TASK_WAITING : TASK_UNCERTAIN);
}

/* Processes END, the first report of how a run of task NUMBER ended.  */
void
dispatch_task_end (struct rr_dispatch *d, struct dispatch_job *j,
                   uint32_t number, const struct rr_run_end *end,
                   struct rr_handle worker, struct rr_time now)
{
  struct dispatch_task *t = &j->tasks[number];
  const struct rr_job_graph_step *s = &j->graph->steps[end->name.step];
  end_record (t, end->name.run);
  if (t->next_run <= end->name.run)
    t->next_run = end->name.run + 1;
  dispatch_checkpoint_keep (t, end->name.run, end->checkpoint);
  j->version++;
  if (end->kind == RR_END_DONE || end->kind == RR_END_FAILED)
    dispatch_crash_clear (d, j, number);
  else
    dispatch_crash_end_reported (d, j, number);
  if (t->state == TASK_DONE)
    return;
  /* The end of an older run that was given up as lost, while a newer run is in
     progress.  */
  bool old = t->state == TASK_REMOTE
             || (t->state == TASK_PLACED
                 && !dispatch_task_placed_as (t, end->name.run, worker));
  if (end->kind == RR_END_DONE && !s->long_running)
    {
      dispatch_task_set (j, number, TASK_DONE);
      if (s->gang)
        gang_set_done (j, &end->name);
      if (old || s->gang)
        stop_later_runs (d, j, &end->name);
      dispatch_job_settle (d, j);
      return;
    }
  if (old && end->kind != RR_END_FAILED)
    return;
  /* While workers of a former owner have not responded, a later run of the
     task may be in progress on one of them.  */
  if (t->state != TASK_UNCERTAIN && !old)
    dispatch_task_release (d, j, number);
  t->not_before = now;
  if (end->kind != RR_END_FAILED)
    return;
  failure_record (j, number, end->name.run);
  t->failed_worker = worker;
  uint32_t failures = failure_count (j, number);
  int64_t backoff = FAILURE_BACKOFF_MS;
  for (uint32_t i = 1; i < failures && i < FAILURE_BACKOFF_DOUBLINGS; i++)
    backoff *= 2;
  t->not_before = rr_time_add (now, backoff);
  int32_t max = dispatch_attempts_max (d, j);
  if (s->long_running || (int32_t)failures < max)
    return;
  dispatch_log_decision (
      d, "job_failed", "job=%s task=%d.%d.%d failures=%u max=%d", j->graph->id,
      end->name.occurrence, end->name.step, end->name.task, failures, max);
  dispatch_job_fail (d, j);
}

/* Returns task NUMBER to the waiting tasks when its run has certainly ended,
   or never started, and nothing else is known of it.  */
void
dispatch_task_requeue (struct rr_dispatch *d, struct dispatch_job *j,
                       uint32_t number, struct rr_time now)
{
  struct dispatch_task *t = &j->tasks[number];
  if (t->state != TASK_PLACED)
    return;
  ended_run_advance (t, t->current_run);
  if (t->next_run <= t->current_run)
    t->next_run = t->current_run + 1;
  t->not_before = now;
  dispatch_task_release (d, j, number);
  j->version++;
}
