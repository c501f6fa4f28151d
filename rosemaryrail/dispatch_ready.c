#include "dispatch_private.h"

#include <string.h>

/* The order in which ready jobs are placed.  */

/* Returns true when all predecessors of STEP are done, and stored as done
   where a run that a later owner may adopt is still on its worker.  */
bool
dispatch_step_ready (const struct dispatch_job *j, int32_t occurrence,
                     size_t step)
{
  const struct rr_job_graph_step *s = &j->graph->steps[step];
  const struct dispatch_step *states
      = &j->steps[(size_t)occurrence * j->graph->step_count];
  for (size_t i = 0; i < s->after_count; i++)
    {
      const struct dispatch_step *before = &states[s->after[i]];
      if (before->done < j->graph->steps[s->after[i]].task_count
          || before->settled_version > j->stored_version)
        return false;
    }
  return true;
}

/* Returns the time from which OCCURRENCE of J may start.  */
struct rr_time
dispatch_occurrence_start (const struct rr_dispatch *d,
                           const struct dispatch_job *j, int32_t occurrence)
{
  if (!j->graph->scheduled)
    return j->accepted;
  return rr_time_from_ms (j->graph->first_run_ms
                          + occurrence * j->graph->interval_ms
                          - d->o.wall_offset_ms);
}

/* A job that would take more than this multiple of its objective is too
   late.  */
#define TOO_LATE_FACTOR 3

/* Returns how long the task of STEP that has waited longest could have
   started.  */
static int64_t
waited_ms (const struct dispatch_job *j, size_t step, struct rr_time start,
           struct rr_time now)
{
  int64_t longest = 0;
  size_t first = j->step_first[step];
  for (int32_t i = 0; i < j->graph->steps[step].task_count; i++)
    {
      const struct dispatch_task *t = &j->tasks[first + (size_t)i];
      struct rr_time since = t->not_before;
      if (rr_time_before (since, start))
        since = start;
      if (t->state == TASK_WAITING && rr_time_diff (now, since) > longest)
        longest = rr_time_diff (now, since);
    }
  return longest;
}

static enum dispatch_ready_group
ready_group (const struct dispatch_job *j, const struct dispatch_ready_job *t,
             size_t step, struct rr_time start, struct rr_time now)
{
  if (j->graph->steps[step].long_running)
    return READY_LONG_RUNNING;
  int64_t rest = rr_job_graph_critical_path_from_ms (j->graph, step);
  struct rr_time end = rr_time_add (now, rest);
  if (!rr_time_before (t->due, end))
    return j->done_count > 0 || j->run_count > 0 ? READY_STARTED
                                                 : READY_ON_TIME;
  int64_t objective = rr_time_diff (t->due, start);
  struct rr_time too_late
      = rr_time_add (start, (int64_t)(TOO_LATE_FACTOR * (double)objective));
  return rr_time_before (end, too_late) ? READY_LATE : READY_TOO_LATE;
}

/* Fills T for J.  Returns false when J has no ready task now.  */
bool
dispatch_ready_job_init (const struct rr_dispatch *d, struct dispatch_job *j,
                         struct dispatch_ready_job *t, struct rr_time now)
{
  const struct rr_queue_policy *q = dispatch_queue_policy (d, j);
  int64_t critical_path = rr_job_graph_critical_path_ms (j->graph);
  for (int32_t k = 0; k < j->graph->occurrence_count; k++)
    {
      struct rr_time start = dispatch_occurrence_start (d, j, k);
      if (j->graph->scheduled && rr_time_before (now, start))
        return false;
      for (size_t s = 0; s < j->graph->step_count; s++)
        {
          const struct dispatch_step *st
              = &j->steps[(size_t)k * j->graph->step_count + s];
          if (st->waiting == 0 || !dispatch_step_ready (j, k, s))
            continue;
          t->job = j;
          t->priority = q->priority;
          t->due = rr_time_add (
              start, (int64_t)(q->slack_factor * (double)critical_path)
                         + q->target_runtime_ms);
          t->group = ready_group (j, t, s, start, now);
          t->waited_ms = waited_ms (j, s, start, now);
          return true;
        }
    }
  return false;
}

/* Compares two ready jobs by the order in which they are placed.  Jobs that
   have started come first, since the work done on a job that ends too late is
   lost.  Long-running tasks come after short ones, which release their
   capacity soon.  */
int
dispatch_ready_job_compare (const void *a, const void *b)
{
  const struct dispatch_ready_job *x = a;
  const struct dispatch_ready_job *y = b;
  if (x->priority != y->priority)
    return x->priority < y->priority ? -1 : 1;
  if (x->group != y->group)
    return x->group < y->group ? -1 : 1;
  int64_t diff = rr_time_diff (x->due, y->due);
  if (diff != 0)
    return diff < 0 ? -1 : 1;
  return strcmp (x->job->graph->id, y->job->graph->id);
}

/* Compares two ready jobs by how long their tasks have waited, longest
   first.  */
int
dispatch_ready_job_compare_waited (const void *a, const void *b)
{
  const struct dispatch_ready_job *x = a;
  const struct dispatch_ready_job *y = b;
  if (x->waited_ms != y->waited_ms)
    return x->waited_ms > y->waited_ms ? -1 : 1;
  return strcmp (x->job->graph->id, y->job->graph->id);
}
