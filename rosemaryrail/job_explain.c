#include <stdarg.h>
#include <stdio.h>

#include "rosemaryrail/job.h"

/* Returns the name of STATE as it appears in responses to callers.  */
const char *
rr_job_state_name (enum rr_job_state state)
{
  switch (state)
    {
    case RR_JOB_OPEN:
      return "open";
    case RR_JOB_SUCCEEDED:
      return "succeeded";
    case RR_JOB_FAILED:
      return "failed";
    case RR_JOB_CANCELLED:
      return "cancelled";
    }
  return "invalid";
}

struct text_buffer
{
  char *buffer;
  size_t size;
  size_t length; /* of the whole text; larger than SIZE if truncated */
};

__attribute__ ((format (printf, 2, 3))) static void
text_add (struct text_buffer *t, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *at = t->length < t->size ? t->buffer + t->length : NULL;
  int n = vsnprintf (at, at == NULL ? 0 : t->size - t->length, format, args);
  va_end (args);
  if (n > 0)
    t->length += (size_t)n;
}

static void
text_add_event (struct text_buffer *t, const struct rr_job_event *e)
{
  text_add (t, "%lld %s", (long long)e->at_ms, rr_record_kind_name (e->kind));
  if (e->attempt > 0)
    text_add (t, " task=%u attempt=%u", e->task, e->attempt);
  if (e->kind == RR_RECORD_ATTEMPT_ENDED)
    text_add (t, " result=%s proof=%s", rr_attempt_result_name (e->result),
              rr_end_proof_name (e->proof));
  if (e->text[0] != '\0')
    text_add (t, " %s", e->text);
  text_add (t, "\n");
}

/* Writes the job's state and history to BUFFER, one line per event with wall
   clock times in ms.  Returns the length of the whole text; the output was
   truncated if that is SIZE or more.  */
size_t
rr_job_explain (const struct rr_job *job, char *buffer, size_t size)
{
  struct text_buffer t = { .buffer = buffer, .size = size };
  text_add (&t, "job %s team=%s state=%s open=%u/%u", job->spec.job,
            job->spec.team, rr_job_state_name (job->state), job->open_tasks,
            job->spec.tasks);
  if (job->state == RR_JOB_OPEN && job->cancelled)
    text_add (&t, " cancelling");
  text_add (&t, "\n");
  if (job->note[0] != '\0')
    text_add (&t, "note: %s\n", job->note);
  if (job->history_dropped > 0)
    text_add (&t, "%u earlier events dropped\n", job->history_dropped);
  for (uint32_t i = 0; i < job->history_count; i++)
    text_add_event (&t, &job->history[i]);
  return t.length;
}
