#include <string.h>

#include "job_private.h"

static bool
xdr_attempt (XDR *x, const struct rr_task *t, struct rr_attempt *a)
{
  if (!rr_xdr_u32 (x, &a->number)
      || !RR_XDR_ENUM (x, a->state, RR_ATTEMPT_ENDED))
    return false;
  if ((a->number == 0) != (a->state == RR_ATTEMPT_NONE))
    return false;
  if (a->number == 0)
    return true;
  if (!rr_xdr_text (x, a->worker, RR_NAME_MAX)
      || !RR_XDR_ENUM (x, a->result, RR_RESULT_NEVER_STARTED)
      || !RR_XDR_ENUM (x, a->proof, RR_PROOF_NOT_SENT))
    return false;
  if (t->state != RR_TASK_OPEN)
    return !rr_attempt_is_live (a);
  return rr_xdr_text (x, a->zone, RR_NAME_MAX)
         && rr_xdr_u64 (x, &a->worker_incarnation)
         && rr_xdr_u64 (x, &a->controller_epoch)
         && rr_xdr_i64 (x, &a->void_after_ms)
         && rr_xdr_i64 (x, &a->granted_until_ms);
}

static bool
xdr_task (XDR *x, struct rr_task *t)
{
  return RR_XDR_ENUM (x, t->state, RR_TASK_CANCELLED)
         && rr_xdr_u32 (x, &t->failures) && rr_xdr_u32 (x, &t->evictions)
         && rr_xdr_text (x, t->checkpoint, RR_CHECKPOINT_MAX)
         && xdr_attempt (x, t, &t->attempt);
}

static bool
xdr_event (XDR *x, struct rr_job_event *e)
{
  return rr_xdr_i64 (x, &e->at_ms)
         && RR_XDR_ENUM (x, e->kind, RR_RECORD_REQUESTS_EXPIRED)
         && rr_xdr_u32 (x, &e->task) && rr_xdr_u32 (x, &e->attempt)
         && RR_XDR_ENUM (x, e->result, RR_RESULT_NEVER_STARTED)
         && RR_XDR_ENUM (x, e->proof, RR_PROOF_NOT_SENT)
         && rr_xdr_text (x, e->text, RR_EVENT_TEXT_MAX);
}

/* Encodes or decodes the part of a job that follows its specification.  */
static bool
xdr_job_body (XDR *x, struct rr_job *job)
{
  if (!RR_XDR_ENUM (x, job->state, RR_JOB_CANCELLED)
      || !rr_xdr_flag (x, &job->cancelled)
      || !rr_xdr_text (x, job->note, RR_TEXT_MAX)
      || !rr_xdr_i64 (x, &job->submitted_ms)
      || !rr_xdr_i64 (x, &job->finished_ms)
      || !rr_xdr_u32 (x, &job->history_count)
      || job->history_count > RR_HISTORY_MAX
      || !rr_xdr_u32 (x, &job->history_dropped))
    return false;
  for (uint32_t i = 0; i < job->history_count; i++)
    if (!xdr_event (x, &job->history[i]))
      return false;
  uint32_t open = 0;
  for (uint32_t i = 0; i < job->spec.tasks; i++)
    {
      if (!xdr_task (x, &job->tasks[i]))
        return false;
      open += job->tasks[i].state == RR_TASK_OPEN ? 1 : 0;
    }
  job->open_tasks = open;
  return (open == 0) == (job->state != RR_JOB_OPEN);
}

/* Encodes or decodes a job's specification in the format of the record that
   submitted it.  */
static bool
xdr_job_spec (XDR *x, struct rr_record_job_submitted *spec)
{
  struct rr_record r = { .kind = RR_RECORD_JOB_SUBMITTED };
  r.u.job_submitted = *spec;
  if (!rr_xdr_record (x, &r) || r.kind != RR_RECORD_JOB_SUBMITTED)
    {
      rr_record_clear (&r);
      return false;
    }
  *spec = r.u.job_submitted;
  return true;
}

static bool
xdr_whole_job (XDR *x, void *value)
{
  struct rr_job *job = value;
  return xdr_job_spec (x, &job->spec) && xdr_job_body (x, job);
}

/* Returns the size of JOB in a snapshot in bytes.  */
size_t
rr_job_encoded_size (struct rr_job *job)
{
  return rr_xdr_measure (xdr_whole_job, job,
                         rr_job_size_estimate (job->spec.tasks));
}

static bool
decode_job (XDR *x, struct rr_job_store *s)
{
  struct rr_record_job_submitted spec = { 0 };
  /* A task takes at least 24 bytes.  Checking the count against the remaining
     input limits the memory allocated for a malformed snapshot.  */
  if (!xdr_job_spec (x, &spec) || spec.tasks > x->x_handy / 24
      || rr_job_store_find (s, spec.job) != NULL)
    return false;
  struct rr_job_row *row = rr_job_store_add (s, spec.job, spec.tasks);
  if (row == NULL)
    return false;
  row->job.spec = spec;
  if (!xdr_job_body (x, &row->job))
    return false;
  row->size = row->job.state == RR_JOB_OPEN ? rr_job_size_estimate (spec.tasks)
                                            : rr_job_encoded_size (&row->job);
  s->size += row->size;
  return true;
}

/* Encodes or decodes all jobs.  S must be empty for decoding; after an error
   its content is incomplete and the caller must free it.  */
bool
rr_job_store_xdr (XDR *x, struct rr_job_store *s)
{
  uint32_t n = (uint32_t)rr_job_store_count (s);
  if (!rr_xdr_u32 (x, &n))
    return false;
  if (x->x_op == XDR_DECODE)
    {
      while (n-- > 0)
        if (!decode_job (x, s))
          return false;
      return true;
    }
  struct rr_handle h = { 0 };
  struct rr_job *job;
  while ((job = rr_job_store_next (s, &h)) != NULL)
    if (!xdr_whole_job (x, job))
      return false;
  return true;
}
