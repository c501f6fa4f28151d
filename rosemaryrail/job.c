#include "rosemaryrail/job.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "job_private.h"

/* Returns an empty store, or null without memory.  */
struct rr_job_store *
rr_job_store_new (void)
{
  struct rr_job_store *s = calloc (1, sizeof *s);
  if (s == NULL)
    return NULL;
  s->rows = rr_table_new (sizeof (struct rr_job_row));
  s->by_id = rr_key_index_new ();
  if (s->rows == NULL || s->by_id == NULL)
    {
      rr_job_store_free (s);
      return NULL;
    }
  return s;
}

/* Frees S with all jobs; S may be null.  */
void
rr_job_store_free (struct rr_job_store *s)
{
  if (s == NULL)
    return;
  struct rr_handle h = { 0 };
  struct rr_job *job;
  while (s->rows != NULL && (job = rr_job_store_next (s, &h)) != NULL)
    free (job->tasks);
  rr_table_free (s->rows);
  rr_key_index_free (s->by_id);
  free (s);
}

/* Returns the number of jobs, finished ones included.  */
size_t
rr_job_store_count (const struct rr_job_store *s)
{
  return rr_table_count (s->rows);
}

/* Returns the bytes that the jobs may take in a snapshot at most: the largest
   size they can grow to while open, the actual size once finished.  */
size_t
rr_job_store_size (const struct rr_job_store *s)
{
  return s->size;
}

/* Returns the largest encoded size in bytes of a job with TASKS tasks.  */
size_t
rr_job_size_estimate (uint32_t tasks)
{
  /* Sizes in the XDR encoding of job_codec.c, the longest texts assumed.  */
  const size_t word = 4;
  const size_t text = word + RR_NAME_MAX;
  const size_t spec = 4 * text + 16 * word;
  const size_t event = 8 * word + RR_EVENT_TEXT_MAX;
  const size_t job = spec + 11 * word + RR_TEXT_MAX + RR_HISTORY_MAX * event;
  const size_t task = 8 * word + RR_CHECKPOINT_MAX + 2 * text + 8 * word;
  return job + tasks * task;
}

/* Returns the job with id JOB, or null.  */
struct rr_job *
rr_job_store_find (const struct rr_job_store *s, const char *job)
{
  return rr_job_store_get (s, rr_key_index_get (s->by_id, job));
}

/* Returns the handle of the job with id JOB, or the null handle.  */
struct rr_handle
rr_job_store_handle (const struct rr_job_store *s, const char *job)
{
  return rr_key_index_get (s->by_id, job);
}

/* Returns the job of H, or null if it is gone.  */
struct rr_job *
rr_job_store_get (const struct rr_job_store *s, struct rr_handle h)
{
  struct rr_job_row *row = rr_table_get (s->rows, h);
  return row == NULL ? NULL : &row->job;
}

/* Returns the job after CURSOR, in no particular order, and moves CURSOR to
   it; null at the end.  A zeroed cursor stands before the first job.  */
struct rr_job *
rr_job_store_next (const struct rr_job_store *s, struct rr_handle *cursor)
{
  struct rr_job_row *row = rr_table_next (s->rows, cursor);
  return row == NULL ? NULL : &row->job;
}

/* Adds an empty job with room for TASKS tasks; null without memory.  */
struct rr_job_row *
rr_job_store_add (struct rr_job_store *s, const char *job, uint32_t tasks)
{
  struct rr_task *rows = calloc (tasks, sizeof *rows);
  struct rr_handle h = { 0 };
  struct rr_job_row *row = rows == NULL ? NULL : rr_table_insert (s->rows, &h);
  if (row == NULL || !rr_key_index_put (s->by_id, job, h))
    {
      if (row != NULL)
        rr_table_remove (s->rows, h);
      free (rows);
      return NULL;
    }
  row->job.tasks = rows;
  return row;
}

static void
job_add_event (struct rr_job *job, const struct rr_record *r, uint32_t task,
               uint32_t attempt, const char *text)
{
  if (job->history_count == RR_HISTORY_MAX)
    {
      memmove (job->history, job->history + 1,
               (RR_HISTORY_MAX - 1) * sizeof job->history[0]);
      job->history_count--;
      job->history_dropped++;
    }
  struct rr_job_event *e = &job->history[job->history_count++];
  memset (e, 0, sizeof *e);
  e->at_ms = r->at_ms;
  e->kind = r->kind;
  e->task = task;
  e->attempt = attempt;
  if (r->kind == RR_RECORD_ATTEMPT_ENDED)
    {
      e->result = r->u.attempt_ended.result;
      e->proof = r->u.attempt_ended.proof;
    }
  snprintf (e->text, sizeof e->text, "%s", text);
}

/* Closes ROW's job once its last task is done.  */
static void
job_finish_if_done (struct rr_job_store *s, struct rr_job_row *row,
                    int64_t at_ms)
{
  struct rr_job *job = &row->job;
  if (job->open_tasks != 0 || job->state != RR_JOB_OPEN)
    return;
  job->state = RR_JOB_SUCCEEDED;
  for (uint32_t i = 0; i < job->spec.tasks; i++)
    if (job->tasks[i].state == RR_TASK_CANCELLED)
      job->state = RR_JOB_CANCELLED;
    else if (job->tasks[i].state == RR_TASK_FAILED
             && job->state == RR_JOB_SUCCEEDED)
      job->state = RR_JOB_FAILED;
  job->finished_ms = at_ms;
  s->size -= row->size;
  row->size = rr_job_encoded_size (job);
  s->size += row->size;
}

static bool
job_apply_submitted (struct rr_job_store *s, const struct rr_record *r,
                     struct rr_error *err)
{
  const struct rr_record_job_submitted *p = &r->u.job_submitted;
  if (p->job[0] == '\0' || p->tasks == 0 || p->tasks > RR_TASKS_MAX)
    return rr_error_set (err, RR_ERROR_INVALID,
                         "job \"%s\": tasks must be 1 to %d", p->job,
                         RR_TASKS_MAX);
  if (rr_job_store_find (s, p->job) != NULL)
    return rr_error_set (err, RR_ERROR_CONFLICT, "job \"%s\" exists", p->job);
  struct rr_job_row *row = rr_job_store_add (s, p->job, p->tasks);
  if (row == NULL)
    return rr_error_set (err, RR_ERROR_SYSTEM, "out of memory");
  row->job.spec = *p;
  if (p->isolation_limit_ms == 0)
    row->job.spec.isolation_limit_ms = RR_ISOLATION_DEFAULT_MS;
  row->job.submitted_ms = r->at_ms;
  row->job.open_tasks = p->tasks;
  row->size = rr_job_size_estimate (p->tasks);
  s->size += row->size;
  job_add_event (&row->job, r, 0, 0, p->team);
  return true;
}

static bool
job_apply_cancelled (struct rr_job_store *s, struct rr_job_row *row,
                     const struct rr_record *r, struct rr_error *err)
{
  struct rr_job *job = &row->job;
  if (job->state != RR_JOB_OPEN || job->cancelled)
    return rr_error_set (
        err, RR_ERROR_CONFLICT, "job \"%s\" is %s", job->spec.job,
        job->cancelled ? "cancelled already" : rr_job_state_name (job->state));
  job->cancelled = true;
  snprintf (job->note, sizeof job->note, "%s", r->u.job_cancelled.reason);
  job_add_event (job, r, 0, 0, r->u.job_cancelled.reason);
  for (uint32_t i = 0; i < job->spec.tasks; i++)
    if (job->tasks[i].state == RR_TASK_OPEN
        && !rr_attempt_is_live (&job->tasks[i].attempt))
      {
        job->tasks[i].state = RR_TASK_CANCELLED;
        job->open_tasks--;
      }
  job_finish_if_done (s, row, r->at_ms);
  return true;
}

static bool
job_apply_forgotten (struct rr_job_store *s, struct rr_job_row *row,
                     struct rr_error *err)
{
  struct rr_job *job = &row->job;
  if (job->state == RR_JOB_OPEN)
    return rr_error_set (err, RR_ERROR_CONFLICT, "job \"%s\" is open",
                         job->spec.job);
  struct rr_handle h = rr_key_index_get (s->by_id, job->spec.job);
  s->size -= row->size;
  rr_key_index_remove (s->by_id, job->spec.job);
  free (job->tasks);
  rr_table_remove (s->rows, h);
  return true;
}

/* Returns the job id that R names, or null if R is not about a job.  */
static const char *
record_job (const struct rr_record *r)
{
  switch (r->kind)
    {
    case RR_RECORD_JOB_SUBMITTED:
      return r->u.job_submitted.job;
    case RR_RECORD_JOB_CANCELLED:
      return r->u.job_cancelled.job;
    case RR_RECORD_JOB_NOTED:
      return r->u.job_noted.job;
    case RR_RECORD_JOB_FORGOTTEN:
      return r->u.job_forgotten.job;
    case RR_RECORD_ATTEMPT_PLACED:
      return r->u.attempt_placed.job;
    case RR_RECORD_ATTEMPT_RUNNING:
      return r->u.attempt_running.job;
    case RR_RECORD_ATTEMPT_ENDED:
      return r->u.attempt_ended.job;
    case RR_RECORD_GRANT_EXTENDED:
      return r->u.grant_extended.job;
    case RR_RECORD_OWNERSHIP_TAKEN:
    case RR_RECORD_OWNERSHIP_RELEASED:
    case RR_RECORD_REQUEST_GRANTED:
    case RR_RECORD_REQUEST_RESULT:
    case RR_RECORD_REQUESTS_EXPIRED:
      break;
    }
  return NULL;
}

/* Folds R into S.  NOW is the owner's clock and dates the waits that stand for
   limits on workers' clocks.  Returns false with the reason and changes
   nothing when R does not apply: the same outcome on every replay.  */
bool
rr_job_store_apply (struct rr_job_store *s, const struct rr_record *r,
                    struct rr_time now, struct rr_error *err)
{
  if (r->kind == RR_RECORD_JOB_SUBMITTED)
    return job_apply_submitted (s, r, err);
  const char *id = record_job (r);
  if (id == NULL)
    return rr_error_set (err, RR_ERROR_INVALID, "not a job record");
  struct rr_job_row *row
      = rr_table_get (s->rows, rr_key_index_get (s->by_id, id));
  if (row == NULL)
    return rr_error_set (err, RR_ERROR_NOT_FOUND, "no job \"%s\"", id);
  struct rr_job *job = &row->job;
  switch (r->kind)
    {
    case RR_RECORD_JOB_CANCELLED:
      return job_apply_cancelled (s, row, r, err);
    case RR_RECORD_JOB_NOTED:
      if (job->state != RR_JOB_OPEN)
        return rr_error_set (err, RR_ERROR_CONFLICT, "job \"%s\" is %s", id,
                             rr_job_state_name (job->state));
      snprintf (job->note, sizeof job->note, "%s", r->u.job_noted.text);
      job_add_event (job, r, 0, 0, r->u.job_noted.text);
      return true;
    case RR_RECORD_JOB_FORGOTTEN:
      return job_apply_forgotten (s, row, err);
    case RR_RECORD_ATTEMPT_PLACED:
      if (!rr_attempt_apply_placed (job, &r->u.attempt_placed, now, err))
        return false;
      job_add_event (job, r, r->u.attempt_placed.task,
                     r->u.attempt_placed.attempt, r->u.attempt_placed.worker);
      return true;
    case RR_RECORD_ATTEMPT_RUNNING:
      return rr_attempt_apply_running (job, &r->u.attempt_running, err);
    case RR_RECORD_ATTEMPT_ENDED:
      if (!rr_attempt_apply_ended (job, &r->u.attempt_ended, err))
        return false;
      job_add_event (job, r, r->u.attempt_ended.task,
                     r->u.attempt_ended.attempt, r->u.attempt_ended.detail);
      job_finish_if_done (s, row, r->at_ms);
      return true;
    case RR_RECORD_GRANT_EXTENDED:
      return rr_attempt_apply_grant_extended (job, &r->u.grant_extended, now,
                                              err);
    default:
      return rr_error_set (err, RR_ERROR_INVALID, "not a job record");
    }
}

/* Notes that R was queued (PENDING) or has settled.  A task with a queued
   record gets no further action, so that two decisions about it never race.
   NOW dates a queued placement.  */
void
rr_job_store_mark_pending (struct rr_job_store *s, const struct rr_record *r,
                           bool pending, struct rr_time now)
{
  const char *id = record_job (r);
  struct rr_job_row *row
      = id == NULL ? NULL
                   : rr_table_get (s->rows, rr_key_index_get (s->by_id, id));
  if (row == NULL)
    return;
  uint32_t n = UINT32_MAX;
  switch (r->kind)
    {
    case RR_RECORD_JOB_FORGOTTEN:
      row->forget_pending = pending;
      return;
    case RR_RECORD_ATTEMPT_PLACED:
      n = r->u.attempt_placed.task;
      break;
    case RR_RECORD_ATTEMPT_RUNNING:
      n = r->u.attempt_running.task;
      break;
    case RR_RECORD_ATTEMPT_ENDED:
      n = r->u.attempt_ended.task;
      break;
    case RR_RECORD_GRANT_EXTENDED:
      n = r->u.grant_extended.task;
      break;
    default:
      return;
    }
  if (n >= row->job.spec.tasks)
    return;
  struct rr_task *task = &row->job.tasks[n];
  if (!pending)
    {
      if (task->pending > 0)
        task->pending--;
      return;
    }
  task->pending++;
  if (r->kind == RR_RECORD_ATTEMPT_PLACED
      && !rr_attempt_is_live (&task->attempt))
    task->attempt.placement_queued_at = now;
}

/* Starts a new owner's tenure at NOW, a reading of its clock after its
   ownership record was confirmed.  No grant or start of the predecessor
   extends beyond NOW plus its limit, and no attempt counts as the new owner's
   own.  */
void
rr_job_store_start_ownership (struct rr_job_store *s, struct rr_time now)
{
  struct rr_handle h = { 0 };
  struct rr_job *job;
  while ((job = rr_job_store_next (s, &h)) != NULL)
    for (uint32_t i = 0; i < job->spec.tasks; i++)
      {
        struct rr_attempt *a = &job->tasks[i].attempt;
        a->own = false;
        a->start_sent = false;
        a->start_refused = false;
        a->seal_needed = false;
        a->expiry_base = now;
        job->tasks[i].pending = 0;
      }
}

struct finished_job
{
  const struct rr_job *job;
};

static int
compare_finished_jobs (const void *a, const void *b)
{
  const struct rr_job *x = ((const struct finished_job *)a)->job;
  const struct rr_job *y = ((const struct finished_job *)b)->job;
  if (x->finished_ms != y->finished_ms)
    return x->finished_ms < y->finished_ms ? -1 : 1;
  return strcmp (x->spec.job, y->spec.job);
}

/* Fills RECORDS with "forgotten" records for the finished jobs that are older
   than the retention or exceed its count, oldest first; returns how many (at
   most CAPACITY).  WALL_MS is the wall clock.  */
size_t
rr_job_store_expired (const struct rr_job_store *s,
                      const struct rr_job_retention *retention,
                      int64_t wall_ms, struct rr_record *records,
                      size_t capacity)
{
  size_t total = rr_job_store_count (s);
  if (total == 0)
    return 0;
  struct finished_job *finished = calloc (total, sizeof *finished);
  if (finished == NULL)
    return 0;
  size_t count = 0;
  struct rr_handle h = { 0 };
  struct rr_job_row *row;
  while ((row = rr_table_next (s->rows, &h)) != NULL)
    if (row->job.state != RR_JOB_OPEN && !row->forget_pending)
      finished[count++].job = &row->job;
  qsort (finished, count, sizeof *finished, compare_finished_jobs);
  size_t n = 0;
  for (size_t i = 0; i < count && n < capacity; i++)
    {
      bool excess = count - i > retention->max_finished;
      bool old
          = wall_ms - finished[i].job->finished_ms > retention->max_age_ms;
      if (!excess && !old)
        break;
      memset (&records[n], 0, sizeof records[n]);
      records[n].kind = RR_RECORD_JOB_FORGOTTEN;
      records[n].at_ms = wall_ms;
      memcpy (records[n].u.job_forgotten.job, finished[i].job->spec.job,
              sizeof records[n].u.job_forgotten.job);
      n++;
    }
  free (finished);
  return n;
}
