#include "dispatch_private.h"

/* Jobs that another shard may take over, since nothing of them was ever
   ordered here.  */

static bool
never_ordered (const struct dispatch_job *j)
{
  if (j->cancelled || j->held || j->phase != RR_PHASE_QUEUED || j->version != 0
      || j->run_count != 0)
    return false;
  for (size_t i = 0; i < j->task_count; i++)
    if (j->tasks[i].state != TASK_WAITING || j->tasks[i].next_run != 1)
      return false;
  return true;
}

/* Writes the ids of at most MAX jobs that have waited WAITED_MS or longer for
   room and of which no task was ever ordered to a worker.  Returns their
   number.  */
size_t
rr_dispatch_unstarted (const struct rr_dispatch *d, const char **ids,
                       size_t max, int64_t waited_ms, struct rr_time now)
{
  size_t n = 0;
  struct rr_handle h = { 0 };
  const struct dispatch_job *j;
  while (n < max && (j = rr_table_next (d->jobs, &h)) != NULL)
    if (rr_time_diff (now, dispatch_occurrence_begin (d, j, 0)) >= waited_ms
        && never_ordered (j))
      ids[n++] = j->graph->id;
  return n;
}

/* Starts nothing of job ID while HELD.  */
void
rr_dispatch_job_hold (struct rr_dispatch *d, const char *id, bool held)
{
  struct dispatch_job *j = dispatch_job_find (d, id);
  if (j != NULL)
    j->held = held;
}

/* Forgets job ID, which belongs to another shard now.  False when runs of it
   are on record: then another owner has moved it, and this one is about to
   learn that it has lost the shard.  */
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
