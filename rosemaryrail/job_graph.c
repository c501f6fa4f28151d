#include "rosemaryrail/job_graph.h"

#include <assert.h>
#include <stdlib.h>

/* Returns a job graph with STEP_COUNT empty steps and one occurrence.  */
struct rr_job_graph *
rr_job_graph_new (size_t step_count)
{
  struct rr_job_graph *g = calloc (1, sizeof *g);
  assert (g != NULL);
  g->steps = calloc (step_count == 0 ? 1 : step_count, sizeof *g->steps);
  assert (g->steps != NULL);
  g->step_count = step_count;
  g->occurrence_count = 1;
  return g;
}

/* Frees G, which may be null.  */
void
rr_job_graph_free (struct rr_job_graph *g)
{
  if (g == NULL)
    return;
  for (size_t i = 0; i < g->step_count; i++)
    free (g->steps[i].after);
  free (g->steps);
  rr_text_unref (g->spec);
  free (g->share);
  free (g->progress);
  free (g);
}

/* Returns true when the tasks of G don't depend on each other, so that
   different shards may run them.  */
bool
rr_job_graph_divisible (const struct rr_job_graph *g)
{
  return g->step_count == 1 && g->steps[0].long_running && !g->steps[0].gang
         && !g->scheduled;
}

/* Divides the job G: its share has ALL of its tasks or none yet.  */
void
rr_job_graph_divide (struct rr_job_graph *g, bool all)
{
  if (g->divided && all)
    return;
  g->divided = true;
  g->share_count = 0;
  for (uint32_t i = 0; all && i < (uint32_t)g->steps[0].task_count; i++)
    rr_job_graph_share_add (g, i, 1, 0);
}

/* Adds TASK to the share of G, with the lowest number of its next run
   and the number of CRASHES under it.  */
void
rr_job_graph_share_add (struct rr_job_graph *g, uint32_t task,
                        uint64_t first_run, uint32_t crashes)
{
  rr_job_graph_share_remove (g, task);
  g->share = realloc (g->share, (g->share_count + 1) * sizeof *g->share);
  assert (g->share != NULL);
  g->share[g->share_count++]
      = (struct rr_job_graph_share){ task, first_run, crashes, 0 };
}

/* Returns the entry of TASK in the share of the divided job G, or null.  */
const struct rr_job_graph_share *
rr_job_graph_share_find (const struct rr_job_graph *g, uint32_t task)
{
  for (size_t i = 0; i < g->share_count; i++)
    if (g->share[i].task == task)
      return &g->share[i];
  return NULL;
}

/* Removes TASK from the share of G.  Returns false when it is not there.  */
bool
rr_job_graph_share_remove (struct rr_job_graph *g, uint32_t task)
{
  for (size_t i = 0; i < g->share_count; i++)
    if (g->share[i].task == task)
      {
        g->share[i] = g->share[--g->share_count];
        return true;
      }
  return false;
}

/* Returns the number of tasks of one occurrence.  */
size_t
rr_job_graph_occurrence_tasks (const struct rr_job_graph *g)
{
  return rr_job_graph_step_offset (g, g->step_count);
}

/* Returns the number of tasks in the steps before STEP.  */
size_t
rr_job_graph_step_offset (const struct rr_job_graph *g, size_t step)
{
  size_t n = 0;
  for (size_t i = 0; i < step; i++)
    n += (size_t)g->steps[i].task_count;
  return n;
}

static bool
check_share (const struct rr_job_graph *g, struct rr_error *err)
{
  if (g->divided && !rr_job_graph_divisible (g))
    return rr_error_set (err, RR_ERROR_INVALID,
                         "only a job of one long-running step can be divided");
  for (size_t i = 0; i < g->share_count; i++)
    if (g->share[i].task >= (uint32_t)g->steps[0].task_count)
      return rr_error_set (err, RR_ERROR_INVALID, "share: there is no task %u",
                           (unsigned)g->share[i].task);
  return true;
}

static bool
check_step (const struct rr_job_graph *g, size_t i, struct rr_error *err)
{
  const struct rr_job_graph_step *s = &g->steps[i];
  if (s->task_count < 1 || s->task_count > RR_JOB_GRAPH_TASKS_MAX)
    return rr_error_set (err, RR_ERROR_INVALID,
                         "step %zu: the number of tasks must be 1 to %d", i,
                         RR_JOB_GRAPH_TASKS_MAX);
  if (s->cores_milli < 0 || s->memory_mb < 0 || s->accelerators < 0
      || s->estimate_ms < 0)
    return rr_error_set (err, RR_ERROR_INVALID,
                         "step %zu: sizes and estimates can't be negative", i);
  for (size_t k = 0; k < s->after_count; k++)
    if (s->after[k] < 0 || (size_t)s->after[k] >= i)
      return rr_error_set (err, RR_ERROR_INVALID,
                           "step %zu: can only wait for earlier steps, not "
                           "for step %d",
                           i, s->after[k]);
  return true;
}

/* Checks that every step is valid and depends on earlier ones only.  Returns
   false with RR_ERROR_INVALID otherwise.  */
bool
rr_job_graph_check (const struct rr_job_graph *g, struct rr_error *err)
{
  if (g->step_count == 0)
    return rr_error_set (err, RR_ERROR_INVALID, "a job needs a step");
  for (size_t i = 0; i < g->step_count; i++)
    if (!check_step (g, i, err))
      return false;
  if (g->occurrence_count < 1 || g->interval_ms < 0
      || (int64_t)rr_job_graph_occurrence_tasks (g) * g->occurrence_count
             > RR_JOB_GRAPH_TASKS_MAX)
    return rr_error_set (err, RR_ERROR_INVALID,
                         "a job can have at most %d tasks",
                         RR_JOB_GRAPH_TASKS_MAX);
  return check_share (g, err);
}

static int64_t
critical_path_ms (const struct rr_job_graph *g, size_t from)
{
  int64_t longest = 0;
  int64_t *end = calloc (g->step_count + 1, sizeof *end);
  assert (end != NULL);
  for (size_t i = from; i < g->step_count; i++)
    {
      const struct rr_job_graph_step *s = &g->steps[i];
      int64_t start = i == from ? 0 : (from == 0 ? 0 : -1);
      for (size_t k = 0; k < s->after_count; k++)
        if ((size_t)s->after[k] >= from && end[s->after[k]] > start)
          start = end[s->after[k]];
      if (start < 0)
        continue;
      end[i] = start + s->estimate_ms;
      if (end[i] > longest)
        longest = end[i];
    }
  free (end);
  return longest;
}

/* Returns the estimated run time of the critical path, in milliseconds.  */
int64_t
rr_job_graph_critical_path_ms (const struct rr_job_graph *g)
{
  return critical_path_ms (g, 0);
}

/* Returns the estimated run time of the longest path that starts with STEP, in
   milliseconds.  */
int64_t
rr_job_graph_critical_path_from_ms (const struct rr_job_graph *g, size_t step)
{
  return critical_path_ms (g, step);
}

/* Returns the estimated work of one occurrence in core-milliseconds.  */
int64_t
rr_job_graph_core_ms (const struct rr_job_graph *g)
{
  int64_t sum = 0;
  for (size_t i = 0; i < g->step_count; i++)
    sum += (int64_t)g->steps[i].task_count * g->steps[i].estimate_ms
           * g->steps[i].cores_milli / 1000;
  return sum;
}
