#include "rosemaryentryd/front_private.h"

#include "common/log.h"

/* Stores callers' submissions and cancellations.  A write without an answer
   may be carried out seconds later, so that a job is not stored proves nothing
   about later: its cancellation is stored even then, and a job is stored on
   the condition that it was not cancelled.  */

/* Writes VALUE to the key WRITTEN if none of the COUNT KEYS exists.  */
static void
write_if_absent (struct request *q, const char *const *keys, size_t count,
                 const char *written, const char *value, store_done_fn *done)
{
  struct store_condition conditions[2];
  for (size_t i = 0; i < count; i++)
    conditions[i] = (struct store_condition){ .key = keys[i] };
  struct store_write w = { .key = written, .value = value };
  struct store_txn txn = { .conditions = conditions,
                           .condition_count = count,
                           .writes = &w,
                           .write_count = 1 };
  store_commit (q->front->entry->store, &txn, request_store_timeout_ms (q),
                done, q);
}

/* The job may exist already, from an earlier attempt of this daemon or of the
   caller, or a cancellation of it.  A new job is added to the records at once,
   because callers query it before the watch reports it.  */
static void
on_job_written (void *data, const struct store_result *r)
{
  struct request *q = data;
  if (r->state == STORE_CONFLICT && store_result_revision (r, q->job_key) == 0)
    {
      log_event (LOG_LEVEL_INFO, "job_cancelled_before",
                 "job=%s revision=%lld", q->id,
                 (long long)store_result_revision (r, q->cancel_key));
      request_finish (q, 410, "job-cancelled");
      return;
    }
  if (r->state == STORE_OK)
    records_job_set (q->front->entry->records, q->id, q->text, r->revision);
  if (r->state == STORE_OK || r->state == STORE_CONFLICT)
    request_finish (q, 200, "{}");
  else
    request_retry (q, r);
}

/* Stores the job of Q, unless it exists or was cancelled.  */
void
request_store_job (struct request *q)
{
  const char *const keys[] = { q->job_key, q->cancel_key };
  write_if_absent (q, keys, 2, q->job_key, q->text, on_job_written);
}

static void
on_cancelled_job_read (void *data, const struct store_result *r)
{
  struct request *q = data;
  if (r->state == STORE_MISSING)
    request_finish (q, 410, "no-such-job");
  else if (r->state == STORE_OK)
    request_finish (q, 200, "{}");
  else
    request_retry (q, r);
}

/* The cancellation is stored, by this write or by an earlier one.  No job is
   stored after it, so a job that is not there now never is.  */
static void
on_cancellation_written (void *data, const struct store_result *r)
{
  struct request *q = data;
  const struct job_record *j = records_job (q->front->entry->records, q->id);
  if (r->state != STORE_OK && r->state != STORE_CONFLICT)
    request_retry (q, r);
  else if (j != NULL && j->accepted)
    request_finish (q, 200, "{}");
  else
    store_get (q->front->entry->store, q->job_key,
               request_store_timeout_ms (q), on_cancelled_job_read, q);
}

/* Stores that the job of Q is cancelled, whether it is known or not.  */
void
request_store_cancellation (struct request *q)
{
  const char *const keys[] = { q->cancel_key };
  write_if_absent (q, keys, 1, q->cancel_key, "{}", on_cancellation_written);
}
