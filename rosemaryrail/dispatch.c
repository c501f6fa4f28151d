#include "dispatch_private.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Attempts of a task if neither its queue is known nor what the queue said
     when the job was accepted.  */
  ATTEMPTS_UNKNOWN_MAX = 1
};

/* Passes a log line about a decision to the shard owner.  */
void
dispatch_log_decision (struct rr_dispatch *d, const char *event,
                       const char *format, ...)
{
  if (d->o.log_decision == NULL)
    return;
  char text[400];
  va_list args;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  d->o.log_decision (d->o.data, event, text);
}

/* Returns a dispatcher without workers and jobs.  */
struct rr_dispatch *
rr_dispatch_new (const struct rr_dispatch_options *o)
{
  struct rr_dispatch *d = calloc (1, sizeof *d);
  assert (d != NULL);
  d->o = *o;
  d->workers = rr_table_new (sizeof (struct dispatch_worker));
  d->worker_ids = rr_key_index_new ();
  d->jobs = rr_table_new (sizeof (struct dispatch_job));
  d->job_ids = rr_key_index_new ();
  d->queues = rr_table_new (sizeof (struct rr_queue_policy));
  d->queue_names = rr_key_index_new ();
  dispatch_interference_init (d);
  return d;
}

/* Frees the memory that J owns, but not its row in the table.  */
void
dispatch_job_release (struct dispatch_job *j)
{
  dispatch_permits_free (j);
  for (size_t i = 0; i < j->task_count; i++)
    {
      rr_text_unref (j->tasks[i].checkpoint);
      rr_run_set_clear (&j->tasks[i].older_ends);
      rr_run_set_clear (&j->tasks[i].failed_runs);
    }
  rr_job_graph_free (j->graph);
  free (j->tasks);
  free (j->steps);
  free (j->step_first);
}

/* Frees D, which may be null.  No commands are sent.  */
void
rr_dispatch_free (struct rr_dispatch *d)
{
  if (d == NULL)
    return;
  struct rr_handle h = { 0 };
  struct dispatch_job *j;
  while ((j = rr_table_next (d->jobs, &h)) != NULL)
    dispatch_job_release (j);
  struct rr_handle hw = { 0 };
  struct dispatch_worker *w;
  while ((w = rr_table_next (d->workers, &hw)) != NULL)
    dispatch_worker_release (w);
  rr_table_free (d->jobs);
  rr_key_index_free (d->job_ids);
  rr_table_free (d->workers);
  rr_key_index_free (d->worker_ids);
  rr_table_free (d->queues);
  rr_key_index_free (d->queue_names);
  free (d->inherited);
  free (d->dropped);
  free (d->suspicions);
  free (d->losses);
  free (d->permit_wants);
  rr_interference_free (d->model);
  free (d);
}

static struct rr_queue_policy *
queue_find (const struct rr_dispatch *d, const char *queue)
{
  return rr_table_get (d->queues, rr_key_index_get (d->queue_names, queue));
}

/* Sets or replaces the policy of the queue that P names.  */
void
rr_dispatch_queue_set (struct rr_dispatch *d, const struct rr_queue_policy *p)
{
  struct rr_queue_policy *known = queue_find (d, p->queue);
  if (known == NULL)
    {
      struct rr_handle h;
      known = rr_table_insert (d->queues, &h);
      assert (known != NULL);
      rr_key_index_put (d->queue_names, p->queue, h);
    }
  *known = *p;
}

/* Returns the policy of J's queue.  A removed queue keeps its last policy; an
   unknown queue gets the lowest priority.  */
const struct rr_queue_policy *
dispatch_queue_policy (const struct rr_dispatch *d,
                       const struct dispatch_job *j)
{
  static const struct rr_queue_policy unknown
      = { .priority = 100, .slack_factor = 1.0 };
  const struct rr_queue_policy *q = queue_find (d, j->graph->queue);
  return q == NULL ? &unknown : q;
}

/* Returns how many attempts each task of J has: what its queue says, or said
   when J was accepted.  */
int32_t
dispatch_attempts_max (const struct rr_dispatch *d,
                       const struct dispatch_job *j)
{
  const struct rr_queue_policy *q = queue_find (d, j->graph->queue);
  if (q != NULL)
    return q->attempts_max;
  return j->graph->attempts_max > 0 ? j->graph->attempts_max
                                    : ATTEMPTS_UNKNOWN_MAX;
}

/* Returns whether a step of J runs only on workers with a permit: what its
   queue says, or said when J was accepted.  */
bool
dispatch_needs_permits (const struct rr_dispatch *d,
                        const struct dispatch_job *j)
{
  const struct rr_queue_policy *q = queue_find (d, j->graph->queue);
  return q == NULL ? j->graph->needs_permits : q->needs_permits;
}

struct dispatch_job *
dispatch_job_find (const struct rr_dispatch *d, const char *id)
{
  return rr_table_get (d->jobs, rr_key_index_get (d->job_ids, id));
}

struct dispatch_job *
dispatch_job_get (const struct rr_dispatch *d, struct rr_handle h)
{
  return rr_table_get (d->jobs, h);
}

/* Sets NUMBER to the number of the task that NAME refers to.  Returns false
   when J has no such task.  */
bool
dispatch_task_number (const struct dispatch_job *j,
                      const struct rr_run_name *name, uint32_t *number)
{
  const struct rr_job_graph *g = j->graph;
  if (name->occurrence < 0 || name->occurrence >= g->occurrence_count
      || name->step < 0 || (size_t)name->step >= g->step_count
      || name->task < 0 || name->task >= g->steps[name->step].task_count)
    return false;
  *number = (uint32_t)((size_t)name->occurrence * j->occurrence_tasks)
            + j->step_first[name->step] + (uint32_t)name->task;
  return true;
}

/* Fills NAME for task NUMBER; the run is set to 0.  */
void
dispatch_task_name (const struct dispatch_job *j, uint32_t number,
                    struct rr_run_name *name)
{
  memset (name, 0, sizeof *name);
  snprintf (name->job, sizeof name->job, "%s", j->graph->id);
  name->occurrence = (int32_t)(number / j->occurrence_tasks);
  uint32_t rest = (uint32_t)(number % j->occurrence_tasks);
  size_t step = 0;
  size_t end = j->graph->step_count;
  while (end - step > 1)
    {
      size_t middle = step + (end - step) / 2;
      if (j->step_first[middle] <= rest)
        step = middle;
      else
        end = middle;
    }
  name->step = (int32_t)step;
  name->task = (int32_t)(rest - j->step_first[step]);
}

struct dispatch_step *
dispatch_step_of (struct dispatch_job *j, const struct rr_run_name *name)
{
  return &j->steps[(size_t)name->occurrence * j->graph->step_count
                   + (size_t)name->step];
}

/* Sets the state of task NUMBER and updates the counts of its step and
   job.  */
void
dispatch_task_set (struct dispatch_job *j, uint32_t number,
                   enum task_state state)
{
  struct dispatch_task *t = &j->tasks[number];
  if (t->state == state)
    return;
  struct rr_run_name name;
  dispatch_task_name (j, number, &name);
  struct dispatch_step *s = dispatch_step_of (j, &name);
  s->waiting += (state == TASK_WAITING) - (t->state == TASK_WAITING);
  s->done += state == TASK_DONE;
  j->done_count += state == TASK_DONE;
  t->state = state;
}

/* Ends J as failed: no more of its tasks start, and running ones are
   stopped.  */
void
dispatch_job_fail (struct rr_dispatch *d, struct dispatch_job *j)
{
  j->phase = RR_PHASE_FAILED;
  j->version++;
  dispatch_job_stop_runs (d, j, "job-failed");
}

/* Requests a stop of every run of J.  */
void
dispatch_job_stop_runs (struct rr_dispatch *d, struct dispatch_job *j,
                        const char *reason)
{
  struct rr_handle h = { 0 };
  struct dispatch_worker *w;
  while ((w = rr_table_next (d->workers, &h)) != NULL)
    for (size_t i = 0; i < w->run_count; i++)
      if (dispatch_job_get (d, w->runs[i].job) == j)
        dispatch_run_stop (&w->runs[i], reason);
}

/* Marks J as completed when all of its tasks are done.  */
void
dispatch_job_settle (struct rr_dispatch *d, struct dispatch_job *j)
{
  if (j->done_count < j->task_count || j->phase == RR_PHASE_FAILED
      || j->phase == RR_PHASE_COMPLETED)
    return;
  j->phase = RR_PHASE_COMPLETED;
  j->version++;
  dispatch_log_decision (d, "job_done", "job=%s tasks=%zu", j->graph->id,
                         j->task_count);
}

static void
task_restore (struct rr_dispatch *d, struct dispatch_job *j,
              const struct rr_progress_row *row, struct rr_time now)
{
  if (row->number >= j->task_count)
    return;
  struct dispatch_task *t = &j->tasks[row->number];
  t->ended_run = row->run;
  t->recorded_ends = row->recorded_ends;
  t->next_run = row->run + 1;
  rr_run_set_assign (&t->older_ends, &row->older_ends);
  t->failures = row->failures;
  rr_run_set_assign (&t->failed_runs, &row->failed_runs);
  dispatch_crash_restore (d, j, row->number, row->crashes, now);
  rr_text_assign (&t->checkpoint, row->checkpoint);
  t->checkpoint_run = row->checkpoint_run;
  if (row->done)
    dispatch_task_set (j, row->number, TASK_DONE);
}

static void
job_restore (struct rr_dispatch *d, struct dispatch_job *j,
             const struct rr_progress *p, struct rr_time now)
{
  j->phase = p->phase;
  for (size_t i = 0; i < p->row_count; i++)
    task_restore (d, j, &p->rows[i], now);
  dispatch_job_settle (d, j);
}

static void
tasks_mark_uncertain (struct rr_dispatch *d, struct dispatch_job *j)
{
  for (uint32_t i = 0; i < j->task_count; i++)
    {
      struct dispatch_task *t = &j->tasks[i];
      if (t->state != TASK_WAITING)
        continue;
      dispatch_task_set (j, i, TASK_UNCERTAIN);
      t->inherited = true;
      uint64_t first = d->first_run + t->first_run;
      if (t->next_run < first)
        t->next_run = first;
    }
}

/* Adds the job G, or frees it when the dispatcher already has it.  */
void
rr_dispatch_job_add (struct rr_dispatch *d, struct rr_job_graph *g,
                     const struct rr_progress *progress, bool inherited,
                     struct rr_time now)
{
  if (rr_dispatch_job_known (d, g->id))
    {
      rr_job_graph_free (g);
      return;
    }
  struct rr_handle h;
  struct dispatch_job *j = rr_table_insert (d->jobs, &h);
  memset (j, 0, sizeof *j);
  j->graph = g;
  j->handle = h;
  j->occurrence_tasks = rr_job_graph_occurrence_tasks (g);
  j->task_count = j->occurrence_tasks * (size_t)g->occurrence_count;
  j->tasks = calloc (j->task_count, sizeof *j->tasks);
  j->steps
      = calloc (g->step_count * (size_t)g->occurrence_count, sizeof *j->steps);
  j->step_first = calloc (g->step_count + 1, sizeof *j->step_first);
  assert (j->tasks != NULL && j->steps != NULL && j->step_first != NULL);
  for (size_t i = 0; i < g->step_count; i++)
    j->step_first[i + 1] = j->step_first[i] + (uint32_t)g->steps[i].task_count;
  j->accepted = rr_time_from_ms (g->accepted_ms - d->o.wall_offset_ms);
  if (rr_time_before (now, j->accepted))
    j->accepted = now;
  for (uint32_t i = 0; i < j->task_count; i++)
    {
      struct rr_run_name name;
      dispatch_task_name (j, i, &name);
      dispatch_step_of (j, &name)->waiting++;
      j->tasks[i].next_run = 1;
      j->tasks[i].not_before = rr_time_from_ms (INT64_MIN / 2);
      if (g->scheduled)
        j->tasks[i].not_before = rr_time_from_ms (
            g->first_run_ms + name.occurrence * g->interval_ms
            - d->o.wall_offset_ms);
    }
  rr_key_index_put (d->job_ids, g->id, h);
  if (progress != NULL)
    job_restore (d, j, progress, now);
  for (uint32_t i = 0; i < j->task_count; i++)
    {
      j->tasks[i].first_run = g->run_base;
      if (j->tasks[i].next_run < g->run_base)
        j->tasks[i].next_run = g->run_base;
    }
  dispatch_job_set_share (j, g);
  if (inherited && d->inheriting)
    tasks_mark_uncertain (d, j);
}

/* Returns true when the dispatcher has the job ID.  */
bool
rr_dispatch_job_known (const struct rr_dispatch *d, const char *id)
{
  return dispatch_job_find (d, id) != NULL;
}

/* Cancels the job ID: no more of its tasks start, and running ones are
   stopped.  */
void
rr_dispatch_job_cancel (struct rr_dispatch *d, const char *id,
                        struct rr_time now)
{
  (void)now;
  struct dispatch_job *j = dispatch_job_find (d, id);
  if (j == NULL || j->cancelled)
    return;
  j->cancelled = true;
  dispatch_log_decision (d, "job_cancelled", "job=%s runs=%zu", id,
                         j->run_count);
  dispatch_job_stop_runs (d, j, "job-cancelled");
}
