#include "dispatch_private.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Progress to store, and removal of finished jobs.  */

static bool
job_finished (const struct dispatch_job *j)
{
  return j->cancelled || j->phase == RR_PHASE_COMPLETED
         || j->phase == RR_PHASE_FAILED;
}

/* Removes finished jobs whose progress is stored and which run nowhere.  */
static void
forget_finished (struct rr_dispatch *d)
{
  struct rr_handle h = { 0 };
  struct dispatch_job *j;
  while ((j = rr_table_next (d->jobs, &h)) != NULL)
    {
      if (!job_finished (j) || j->run_count > 0
          || (!j->cancelled && j->version > j->stored_version))
        continue;
      rr_key_index_remove (d->job_ids, j->graph->id);
      dispatch_job_release (j);
      rr_table_remove (d->jobs, j->handle);
    }
}

static size_t
collect_changed (struct rr_dispatch *d, const char **ids, size_t n, size_t max,
                 bool finished)
{
  struct rr_handle h = { 0 };
  struct dispatch_job *j;
  while (n < max && (j = rr_table_next (d->jobs, &h)) != NULL)
    if (j->version != j->stored_version && !j->cancelled
        && job_finished (j) == finished)
      ids[n++] = j->graph->id;
  return n;
}

/* Writes the ids of at most MAX jobs with progress to store.  Finished jobs
   come first, since their callers wait for the result.  */
size_t
rr_dispatch_jobs_changed (struct rr_dispatch *d, const char **ids, size_t max,
                          bool *urgent)
{
  forget_finished (d);
  size_t n = collect_changed (d, ids, 0, max, true);
  *urgent = n > 0;
  return collect_changed (d, ids, n, max, false);
}

static void
add_row (const struct dispatch_job *j, uint32_t number, struct rr_progress *p)
{
  const struct dispatch_task *t = &j->tasks[number];
  if (t->ended_run == 0 && t->state != TASK_DONE && t->crashes == 0)
    return;
  struct rr_progress_row *r = &p->rows[p->row_count++];
  r->number = number;
  r->run = t->ended_run;
  r->recorded_ends = t->recorded_ends;
  r->failures = t->failures;
  r->crashes = t->crashes;
  r->done = t->state == TASK_DONE;
  if (r->done)
    return;
  r->older_ends = t->older_ends;
  r->failed_runs = t->failed_runs;
  r->checkpoint = t->checkpoint;
  r->checkpoint_run = t->checkpoint_run;
}

static char *
encode_without_checkpoints (struct rr_progress *p)
{
  for (size_t i = 0; i < p->row_count; i++)
    {
      p->rows[i].checkpoint = NULL;
      p->rows[i].checkpoint_run = 0;
    }
  return rr_progress_encode (p);
}

/* Returns the progress of job ID in its stored form, and its VERSION for
   rr_dispatch_progress_stored.  Returns null when the dispatcher does not have
   the job.  What the store would refuse, it would refuse each time, and the
   job's ends would never be stored, so checkpoints that are too long are left
   out: tasks of a later owner then start anew.  */
char *
rr_dispatch_progress_encode (struct rr_dispatch *d, const char *id,
                             uint64_t *version)
{
  struct dispatch_job *j = dispatch_job_find (d, id);
  if (j == NULL)
    return NULL;
  struct rr_progress p = { .phase = j->phase };
  p.rows = calloc (j->task_count + 1, sizeof *p.rows);
  assert (p.rows != NULL);
  for (uint32_t i = 0; i < j->task_count && !job_finished (j); i++)
    add_row (j, i, &p);
  char *text = rr_progress_encode (&p);
  size_t max = d->o.progress_max_bytes;
  bool too_long = max > 0 && strlen (text) > max;
  if (too_long)
    {
      if (!j->checkpoints_left_out)
        dispatch_log_decision (d, "checkpoints_not_stored",
                               "job=%s bytes=%zu max=%zu", id, strlen (text),
                               max);
      free (text);
      text = encode_without_checkpoints (&p);
    }
  j->checkpoints_left_out = too_long;
  free (p.rows);
  *version = j->version;
  return text;
}

/* Records that VERSION of job ID is stored.  */
void
rr_dispatch_progress_stored (struct rr_dispatch *d, const char *id,
                             uint64_t version)
{
  struct dispatch_job *j = dispatch_job_find (d, id);
  if (j != NULL && version > j->stored_version)
    j->stored_version = version;
}
