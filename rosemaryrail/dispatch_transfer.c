#include "dispatch_private.h"

/* Jobs that another shard may take over, whole or, for divisible jobs, task by
   task, when they certainly run nowhere.  */

/* Returns true when J certainly runs nowhere, its progress is stored, and none
   of its tasks waits to be given up: only this shard hears the workers that
   they may have crashed.  */
static bool
job_idle (const struct dispatch_job *j)
{
  if (j->cancelled || j->held || rr_job_phase_final (j->phase)
      || j->version != j->stored_version || j->run_count != 0)
    return false;
  for (size_t i = 0; i < j->task_count; i++)
    if ((j->tasks[i].state != TASK_WAITING && j->tasks[i].state != TASK_DONE)
        || dispatch_crash_given_up (&j->tasks[i]))
      return false;
  return true;
}

/* Returns whether J certainly runs nowhere and has waited for capacity: for
   NEW_MS when none of its tasks was ever started, for STARTED_MS otherwise.
   Started jobs that are divisible are left out, since their tasks move one by
   one.  */
static bool
job_waits (const struct rr_dispatch *d, const struct dispatch_job *j,
           int64_t new_ms, int64_t started_ms, struct rr_time now)
{
  bool started = j->version != 0;
  struct rr_time since = dispatch_occurrence_start (d, j, 0);
  if (started && rr_time_before (since, j->last_run_seen))
    since = j->last_run_seen;
  return (!started || !rr_job_graph_divisible (j->graph))
         && rr_time_diff (now, since) >= (started ? started_ms : new_ms)
         && job_idle (j);
}

/* Writes the ids of at most MAX jobs that certainly run nowhere and have
   waited for NEW_MS or STARTED_MS.  Returns their number.  Successive calls
   cycle through the jobs: the first MAX may have no other shard.  */
size_t
rr_dispatch_idle_jobs (struct rr_dispatch *d, const char **ids, size_t max,
                       int64_t new_ms, int64_t started_ms, struct rr_time now)
{
  size_t n = 0;
  size_t left = rr_table_count (d->jobs);
  while (left > 0 && n < max)
    {
      const struct dispatch_job *j = rr_table_next (d->jobs, &d->idle_cursor);
      if (j == NULL)
        {
          d->idle_cursor = (struct rr_handle){ 0 };
          continue;
        }
      left--;
      if (job_waits (d, j, new_ms, started_ms, now))
        ids[n++] = j->graph->id;
    }
  /* All were seen: the next call begins with the first again.  */
  if (left == 0)
    d->idle_cursor = (struct rr_handle){ 0 };
  return n;
}

/* Returns what is left of STEP of J.  */
static enum rr_step_state
step_state (const struct rr_dispatch *d, const struct dispatch_job *j,
            size_t step, struct rr_time now)
{
  enum rr_step_state state = RR_STEP_OVER;
  for (int32_t k = 0; k < j->graph->occurrence_count; k++)
    {
      if (j->steps[(size_t)k * j->graph->step_count + step].waiting == 0)
        continue;
      state = RR_STEP_LATER;
      if (!rr_time_before (now, dispatch_occurrence_start (d, j, k))
          && dispatch_step_ready (j, k, step))
        return RR_STEP_READY;
    }
  return state;
}

/* Writes to STATES what is left of the first COUNT steps of job ID; of an
   unknown job nothing is.  */
void
rr_dispatch_job_steps (const struct rr_dispatch *d, const char *id,
                       enum rr_step_state *states, size_t count,
                       struct rr_time now)
{
  const struct dispatch_job *j = dispatch_job_find (d, id);
  for (size_t i = 0; i < count; i++)
    states[i] = j != NULL && i < j->graph->step_count
                    ? step_state (d, j, i, now)
                    : RR_STEP_OVER;
}

/* Returns the lowest run number that is free for every task of job ID.  */
uint64_t
rr_dispatch_run_base (const struct rr_dispatch *d, const char *id)
{
  const struct dispatch_job *j = dispatch_job_find (d, id);
  uint64_t base = 1;
  for (size_t i = 0; j != NULL && i < j->task_count; i++)
    if (j->tasks[i].next_run > base)
      base = j->tasks[i].next_run;
  return base;
}

/* Starts no tasks of job ID while HELD.  */
void
rr_dispatch_job_hold (struct rr_dispatch *d, const char *id, bool held)
{
  struct dispatch_job *j = dispatch_job_find (d, id);
  if (j != NULL)
    j->held = held;
}

/* Removes job ID, which has moved to another shard.  Returns false when it has
   runs on record: then another owner has moved it, and this owner has lost
   the shard without having detected it yet.  */
bool
rr_dispatch_job_drop (struct rr_dispatch *d, const char *id)
{
  struct dispatch_job *j = dispatch_job_find (d, id);
  if (j == NULL)
    return true;
  if (j->run_count > 0)
    return false;
  struct rr_handle h = j->handle;
  rr_key_index_remove (d->job_ids, id);
  dispatch_job_release (j);
  rr_table_remove (d->jobs, h);
  return true;
}

/* Sets which tasks of J this shard may start, from the share in G: all if G is
   not divided.  A task that is placed here stays here; one that has not run
   here since it came has the crashes that were counted before.  */
void
dispatch_job_set_share (struct dispatch_job *j, const struct rr_job_graph *g)
{
  for (uint32_t i = 0; i < j->task_count; i++)
    {
      struct dispatch_task *t = &j->tasks[i];
      if (!g->divided)
        {
          /* It was withheld for a division that was not made.  */
          if (t->state == TASK_REMOTE)
            dispatch_task_set (j, i, TASK_WAITING);
          continue;
        }
      const struct rr_job_graph_share *share = rr_job_graph_share_find (g, i);
      if (share != NULL && t->next_run <= share->first_run)
        dispatch_crash_receive (t, share->crashes);
      if (share != NULL && share->first_run > t->first_run)
        t->first_run = share->first_run;
      if (t->next_run < t->first_run)
        t->next_run = t->first_run;
      if (share != NULL && t->state == TASK_REMOTE)
        dispatch_task_set (j, i, TASK_WAITING);
      else if (share == NULL && t->state == TASK_WAITING)
        dispatch_task_set (j, i, TASK_REMOTE);
    }
}

/* Sets which tasks of the job G this shard may start, from the stored
   share.  */
void
rr_dispatch_job_set_share (struct rr_dispatch *d, const struct rr_job_graph *g)
{
  struct dispatch_job *j = dispatch_job_find (d, g->id);
  if (j != NULL)
    dispatch_job_set_share (j, g);
}

/* Writes to TASKS at most MAX tasks of one job that have waited for capacity
   for WAITED_MS or longer and that another shard could run.  Returns their
   number.  Successive calls cycle through the jobs.  */
size_t
rr_dispatch_waiting_tasks (struct rr_dispatch *d,
                           struct rr_waiting_task *tasks, size_t max,
                           int64_t waited_ms, struct rr_time now)
{
  struct dispatch_job *j = rr_table_next (d->jobs, &d->waiting_cursor);
  size_t n = 0;
  for (size_t seen = 0; seen <= rr_table_count (d->jobs) && n == 0; seen++)
    {
      if (j == NULL)
        {
          d->waiting_cursor = (struct rr_handle){ 0 };
          j = rr_table_next (d->jobs, &d->waiting_cursor);
          continue;
        }
      bool divisible = rr_job_graph_divisible (j->graph) && !j->cancelled
                       && !j->held && j->steps[0].waiting > 0;
      for (uint32_t i = 0; divisible && i < j->task_count && n < max; i++)
        {
          struct dispatch_task *t = &j->tasks[i];
          struct rr_time since = t->not_before;
          if (rr_time_before (since, j->accepted))
            since = j->accepted;
          /* A task that is not started any more is given up here or goes on
             here.  */
          if (t->state == TASK_WAITING && !dispatch_crash_given_up (t)
              && rr_time_diff (now, since) >= waited_ms)
            tasks[n++] = (struct rr_waiting_task){ j->graph->id, i,
                                                   t->next_run, t->crashes };
        }
      if (n == 0)
        j = rr_table_next (d->jobs, &d->waiting_cursor);
    }
  return n;
}

/* Stops starting task NUMBER of job ID until the share is set again.  */
void
rr_dispatch_task_withhold (struct rr_dispatch *d, const char *id,
                           uint32_t number)
{
  struct dispatch_job *j = dispatch_job_find (d, id);
  if (j != NULL && j->tasks[number].state == TASK_WAITING)
    dispatch_task_set (j, number, TASK_REMOTE);
}
