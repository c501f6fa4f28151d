#include <stdlib.h>

#include "job_private.h"
#include "shard_private.h"

/* Returns an upper bound of the bytes that R adds to the state.  Records of
   accepted jobs add nothing: their growth was reserved at submission.  */
static size_t
record_growth (const struct rr_record *r, size_t size)
{
  switch (r->kind)
    {
    case RR_RECORD_JOB_SUBMITTED:
      return rr_job_size_estimate (r->u.job_submitted.tasks);
    case RR_RECORD_REQUEST_GRANTED:
      return size + RR_RESULT_RESERVE;
    case RR_RECORD_REQUEST_RESULT:
      /* The rest was reserved by the grant.  */
      return ((size_t)r->u.request_result.body.length + 3) / 4 * 4;
    default:
      return 0;
    }
}

/* Checks that the state has free capacity for Q.  Discards the body of a
   result that doesn't fit.  Fails with RR_ERROR_LIMIT.  */
static bool
check_capacity (struct rr_shard_log *l, struct queued_record *q,
                struct rr_error *err)
{
  size_t used = rr_shard_state_size (l->data) + l->queued_growth;
  bool grant = q->record.kind == RR_RECORD_REQUEST_GRANTED;
  if (grant
      && rr_request_log_count (l->data->requests) + l->queued_grants
             >= l->options.requests_max)
    {
      l->stats.rejected_full++;
      return rr_error_set (err, RR_ERROR_LIMIT,
                           "shard %u keeps %u requests already, its limit; "
                           "older ones expire with the retention time",
                           l->options.shard, l->options.requests_max);
    }
  if (q->growth == 0 || used + q->growth <= l->options.snapshot_max)
    return true;
  if (q->record.kind == RR_RECORD_REQUEST_RESULT)
    {
      /* The outcome must be recorded, so only the body is discarded.  */
      struct rr_record_request_result *p = &q->record.u.request_result;
      free (p->body.data);
      p->body.data = NULL;
      p->body.length = 0;
      p->body_kept = false;
      q->size = rr_record_size (&q->record);
      q->growth = 0;
      return true;
    }
  l->stats.rejected_full++;
  return rr_error_set (err, RR_ERROR_LIMIT,
                       "shard %u is full: %zu of %zu bytes in use, %zu more "
                       "needed",
                       l->options.shard, used, l->options.snapshot_max,
                       q->growth);
}

/* Queues a copy of R for the next append.  Its outcome is the output
   RR_SHARD_SETTLED with TOKEN.  On failure there is no such output; the error
   is RR_ERROR_UNAVAILABLE if this process is not the owner, RR_ERROR_LIMIT if
   the shard or the queue is full and RR_ERROR_INVALID if R can't be encoded.
 */
bool
rr_shard_log_append (struct rr_shard_log *l, const struct rr_record *r,
                     uint64_t token, struct rr_time now, struct rr_error *err)
{
  if (l->state != RR_SHARD_OWNER)
    return rr_error_set (err, RR_ERROR_UNAVAILABLE,
                         "shard %u is not owned by this process",
                         l->options.shard);
  if (r->kind == RR_RECORD_OWNERSHIP_TAKEN
      || r->kind == RR_RECORD_OWNERSHIP_RELEASED)
    return rr_error_set (err, RR_ERROR_INVALID,
                         "ownership records are written by the log itself");
  if (l->queued >= RR_QUEUE_MAX)
    {
      l->stats.rejected_full++;
      return rr_error_set (err, RR_ERROR_LIMIT,
                           "shard %u: %d records wait for the store already",
                           l->options.shard, RR_QUEUE_MAX);
    }
  struct queued_record q = { .token = token, .size = rr_record_size (r) };
  if (q.size == 0)
    return rr_error_set (err, RR_ERROR_INVALID,
                         "record \"%s\" has a field out of range",
                         rr_record_kind_name (r->kind));
  if (l->queued == l->queue_capacity)
    {
      size_t n = l->queue_capacity == 0 ? 16 : 2 * l->queue_capacity;
      struct queued_record *grown = realloc (l->queue, n * sizeof *grown);
      if (grown == NULL)
        return rr_error_set (err, RR_ERROR_SYSTEM, "out of memory");
      l->queue = grown;
      l->queue_capacity = n;
    }
  if (!rr_record_copy (&q.record, r))
    return rr_error_set (err, RR_ERROR_SYSTEM, "out of memory");
  q.growth = record_growth (r, q.size);
  if (!check_capacity (l, &q, err))
    {
      rr_record_clear (&q.record);
      return false;
    }
  l->queue[l->queued++] = q;
  l->queued_growth += q.growth;
  l->queued_grants += r->kind == RR_RECORD_REQUEST_GRANTED ? 1 : 0;
  rr_job_store_mark_pending (l->data->jobs, r, true, now);
  rr_request_log_mark_pending (l->data->requests, r, true);
  return true;
}
