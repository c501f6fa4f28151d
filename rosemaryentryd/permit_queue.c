#include "rosemaryentryd/permit_queue.h"

#include <assert.h>
#include <stdlib.h>

#include "common/log.h"
#include "common/upstream.h"
#include "platform/permits.h"
#include "rosemaryentryd/entry.h"
#include "rosemaryentryd/metrics.h"
#include "rosemaryentryd/owners.h"
#include "rosemaryentryd/shard.h"
#include "rosemaryrail/permit_calls.h"

/* Makes the calls to the permit service that rosemaryrail/permit_calls.h
   decides on.  */

struct permit_queue
{
  struct entry *entry;
  struct upstream *service;
  struct rr_permit_calls calls;
  uv_timer_t timer; /* until the next call may go out */
};

/* A call without an answer.  */
struct permit_call
{
  struct permit_queue *queue;
  struct shard *shard;
  struct rr_run_name name;
  struct rr_permit_times times;
  size_t asked; /* workers */
  uint64_t number;
  struct rr_time sent;
};

/* Opens the calls to the permit service in the settings of E.  Returns null
   when its address is invalid.  */
struct permit_queue *
permit_queue_open (struct entry *e)
{
  struct upstream *service = upstream_open (
      e->loop, e->settings.permits.address, e->settings.permits.port);
  if (service == NULL)
    return NULL;
  struct permit_queue *q = calloc (1, sizeof *q);
  assert (q != NULL);
  q->entry = e;
  q->service = service;
  rr_permit_calls_init (&q->calls);
  uv_timer_init (e->loop, &q->timer);
  q->timer.data = q;
  return q;
}

static void
log_failure (const struct permit_call *c, const struct permits_response *r)
{
  log_event (LOG_LEVEL_WARN, "permits_failed",
             "shard=%s job=%s step=%d.%d workers=%zu after_ms=%lld status=%d "
             "slowdown=%.1f reason=\"%s\"",
             shard_name (c->shard), c->name.job, c->name.occurrence,
             c->name.step, c->asked,
             (long long)rr_time_diff (entry_now (), c->sent), r->status,
             c->queue->calls.slowdown, r->reason);
  entry_metrics_event (c->queue->entry->metrics, "permits_failed");
}

static void
on_answered (void *data, const struct permits_response *r)
{
  struct permit_call *c = data;
  struct permit_queue *q = c->queue;
  enum rr_permit_outcome outcome = r->permits != NULL ? RR_PERMIT_ANSWERED
                                   : r->status != 0   ? RR_PERMIT_REFUSED
                                                      : RR_PERMIT_LOST;
  if (outcome != RR_PERMIT_ANSWERED)
    log_failure (c, r);
  int64_t valid_ms = rr_permit_valid_ms (&c->times, r->valid_ms);
  struct rr_time issued
      = rr_permit_calls_issued (&q->calls, c->number, valid_ms, entry_now ());
  rr_permit_calls_end (&q->calls, c->number, outcome, c->asked, r->count,
                       entry_now ());
  shard_permits_answered (c->shard, &c->name, r, valid_ms, issued);
  free (c);
  permit_queue_advance (q);
}

static void
call_send (struct permit_queue *q, struct shard *s,
           const struct rr_permit_request *request)
{
  struct permit_call *c = calloc (1, sizeof *c);
  assert (c != NULL);
  c->queue = q;
  c->shard = s;
  c->name = request->name;
  c->times = request->times;
  c->asked = request->worker_count;
  c->sent = entry_now ();
  int64_t timeout_ms;
  c->number = rr_permit_calls_begin (&q->calls, &c->times, c->asked, c->sent,
                                     &timeout_ms);
  permits_request (q->service, request, (uint64_t)timeout_ms, on_answered, c);
}

static void
on_timer (uv_timer_t *timer)
{
  permit_queue_advance (timer->data);
}

/* Makes the calls that may go out now, for the most urgent steps of all
   shards.  Q may be null.  */
void
permit_queue_advance (struct permit_queue *q)
{
  struct shard *s;
  if (q == NULL)
    return;
  uv_timer_stop (&q->timer);
  while ((s = owners_permits_next (q->entry->owners)) != NULL)
    {
      int64_t wait_ms = rr_permit_calls_wait_ms (&q->calls, entry_now ());
      if (wait_ms != 0)
        {
          if (wait_ms > 0)
            uv_timer_start (&q->timer, on_timer, (uint64_t)wait_ms, 0);
          return;
        }
      struct rr_permit_request request;
      if (shard_permits_request (s, &q->calls, &request))
        call_send (q, s, &request);
    }
}
