#include "rosemaryentryd/link.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "platform/worker.h"

enum
{
  LOOK_WAIT_MS = 600,     /* longest time between two accounts */
  LOOK_TIMEOUT_MS = 1200, /* the wait and an answer on a slow link */
  PROBE_TIMEOUT_MS = 600, /* a look that does not wait */
  LOOK_RETRY_MIN_MS = 50,
  LOOK_RETRY_MAX_MS = 400,
  /* Ends that are not stored yet would be listed again at once, so the next
     look waits for the store, but not for long: leases need renewal.  */
  STORE_WAIT_MAX_MS = 400,
  LOOK_PAUSE_MS = 10, /* gathers ends that happen together */
  ORDER_TIMEOUT_MS = 600,
  ORDERS_IN_FLIGHT_MAX = 4 /* connections for orders; each has a price */
};

/* An order with copies of what it points to.  */
struct queued_order
{
  struct rr_order order;
  char *spec;
  char checkpoint[RR_CHECKPOINT_SIZE];
  char ticket[RR_TICKET_SIZE];
  struct link *link;
  struct queued_order *next;
};

struct link
{
  uv_loop_t *loop;
  struct worker_connection_owner owner;
  struct upstream *upstream;
  char id[RR_GRAPH_NAME_SIZE];
  char address[RR_GRAPH_NAME_SIZE];
  uint16_t port;
  struct rr_handle worker;
  uv_timer_t timer;
  bool looking;
  bool awaiting_store;
  bool lost; /* the worker does not answer */
  uint64_t retry_ms;
  size_t orders_in_flight;
  struct queued_order *first;
  struct queued_order **last;
  size_t calls; /* in flight; the link is freed after the last */
  bool closed;
};

static void look (struct link *l);

const char *
worker_connection_worker_id (const struct link *l)
{
  return l->id;
}

struct rr_handle
worker_connection_worker (const struct link *l)
{
  return l->worker;
}

bool
worker_connection_same_address (const struct link *l,
                                const struct platform_worker *w)
{
  return l->port == w->port && strcmp (l->address, w->address) == 0;
}

static void
on_link_closed (uv_handle_t *h)
{
  struct link *l = h->data;
  upstream_close (l->upstream);
  free (l);
}

static void
link_unref (struct link *l)
{
  if (l->closed && l->calls == 0 && !uv_is_closing ((uv_handle_t *)&l->timer))
    uv_close ((uv_handle_t *)&l->timer, on_link_closed);
}

static void
on_timer (uv_timer_t *timer)
{
  struct link *l = timer->data;
  l->awaiting_store = false;
  if (!l->closed && !l->looking)
    look (l);
}

static void
look_after (struct link *l, uint64_t ms)
{
  uv_timer_start (&l->timer, on_timer, ms, 0);
}

static void
worker_answered (struct link *l)
{
  if (l->lost)
    log_event (LOG_LEVEL_INFO, "vm_regained", "vm=%s", l->id);
  l->lost = false;
  l->retry_ms = LOOK_RETRY_MIN_MS;
}

static void
worker_silent (struct link *l, enum rr_order_outcome outcome)
{
  if (!l->lost)
    log_event (LOG_LEVEL_WARN, "vm_lost", "vm=%s outcome=%s", l->id,
               rr_order_outcome_name (outcome));
  l->lost = true;
  look_after (l, l->retry_ms);
  if (l->retry_ms < LOOK_RETRY_MAX_MS)
    l->retry_ms *= 2;
}

static void
on_look (void *data, enum rr_order_outcome outcome,
         const struct rr_worker_report *report)
{
  struct link *l = data;
  l->calls--;
  l->looking = false;
  if (l->closed)
    {
      link_unref (l);
      return;
    }
  if (outcome == RR_OUTCOME_FENCED)
    {
      l->owner.fenced (l->owner.data);
      return;
    }
  if (report == NULL)
    {
      rr_dispatch_unreached (l->owner.dispatch, l->worker);
      worker_silent (l, outcome);
      l->owner.changed (l->owner.data);
      return;
    }
  worker_answered (l);
  rr_dispatch_report (l->owner.dispatch, l->worker, report, entry_now ());
  l->awaiting_store
      = rr_dispatch_worker_backlog (l->owner.dispatch, l->worker);
  look_after (l, l->awaiting_store ? STORE_WAIT_MAX_MS : LOOK_PAUSE_MS);
  l->owner.changed (l->owner.data);
}

static void
look (struct link *l)
{
  struct rr_time now = entry_now ();
  struct worker_look k = {
    .id = l->id,
    .token = l->owner.token,
    .observed = rr_dispatch_worker_observed (l->owner.dispatch, l->worker),
    .timeout_ms = LOOK_TIMEOUT_MS,
  };
  k.lease_end = rr_dispatch_worker_lease (
      l->owner.dispatch, l->worker, l->owner.valid_until (l->owner.data), now);
  /* There is no lease while the worker's clock is not known or it is silent.
   */
  if (k.lease_end > 0)
    k.wait_ms = LOOK_WAIT_MS;
  else
    k.timeout_ms = PROBE_TIMEOUT_MS;
  l->looking = true;
  l->calls++;
  worker_look (l->upstream, &k, entry_now, on_look, l);
}

/* The store has taken progress; ends may be forgotten by the worker.  */
void
worker_connection_progress_stored (struct link *l)
{
  if (!l->awaiting_store || l->looking
      || rr_dispatch_worker_backlog (l->owner.dispatch, l->worker))
    return;
  l->awaiting_store = false;
  look (l);
}

static void send_orders (struct link *l);

static void
on_order (void *data, enum rr_order_outcome outcome, int64_t clock_ms)
{
  struct queued_order *q = data;
  struct link *l = q->link;
  l->calls--;
  l->orders_in_flight--;
  if (!l->closed && outcome == RR_OUTCOME_FENCED)
    l->owner.fenced (l->owner.data);
  else if (!l->closed)
    {
      if (outcome != RR_OUTCOME_ACCEPTED)
        log_event (LOG_LEVEL_WARN, "order_failed",
                   "vm=%s kind=%s job=%s task=%d.%d.%d run=%u outcome=%s",
                   l->id, rr_order_kind_name (q->order.kind),
                   q->order.name.job, q->order.name.occurrence,
                   q->order.name.step, q->order.name.task, q->order.name.run,
                   rr_order_outcome_name (outcome));
      rr_dispatch_answer (l->owner.dispatch, l->worker, q->order.kind,
                          &q->order.name, outcome, clock_ms, entry_now ());
      l->owner.changed (l->owner.data);
      send_orders (l);
    }
  free (q->spec);
  free (q);
  link_unref (l);
}

static void
send_order (struct link *l, struct queued_order *q)
{
  int64_t lease_end = 0;
  if (q->order.kind == RR_ORDER_START)
    lease_end = rr_dispatch_worker_lease (l->owner.dispatch, l->worker,
                                          l->owner.valid_until (l->owner.data),
                                          entry_now ());
  l->calls++;
  l->orders_in_flight++;
  if (q->order.kind == RR_ORDER_START && lease_end == 0)
    {
      on_order (q, RR_OUTCOME_NOT_SENT, 0);
      return;
    }
  worker_order (l->upstream, &q->order, l->owner.token, lease_end,
                ORDER_TIMEOUT_MS, on_order, q);
}

static void
send_orders (struct link *l)
{
  while (l->first != NULL && l->orders_in_flight < ORDERS_IN_FLIGHT_MAX)
    {
      struct queued_order *q = l->first;
      l->first = q->next;
      if (l->first == NULL)
        l->last = &l->first;
      send_order (l, q);
    }
}

/* Sends O, or queues it behind others.  */
void
worker_connection_send (struct link *l, const struct rr_order *o)
{
  struct queued_order *q = calloc (1, sizeof *q);
  assert (q != NULL);
  q->order = *o;
  q->order.worker_id = l->id;
  q->link = l;
  if (o->spec != NULL)
    q->spec = strdup (o->spec);
  q->order.spec = q->spec;
  if (o->checkpoint != NULL)
    snprintf (q->checkpoint, sizeof q->checkpoint, "%s", o->checkpoint);
  q->order.checkpoint = q->checkpoint;
  if (o->ticket != NULL)
    snprintf (q->ticket, sizeof q->ticket, "%s", o->ticket);
  q->order.ticket = q->ticket;
  *l->last = q;
  l->last = &q->next;
  send_orders (l);
}

/* Begins to look at the worker W.  */
struct link *
worker_connection_open (uv_loop_t *loop,
                        const struct worker_connection_owner *owner,
                        const struct platform_worker *w,
                        struct rr_handle worker)
{
  struct link *l = calloc (1, sizeof *l);
  assert (l != NULL);
  l->loop = loop;
  l->owner = *owner;
  l->worker = worker;
  l->retry_ms = LOOK_RETRY_MIN_MS;
  l->last = &l->first;
  snprintf (l->id, sizeof l->id, "%s", w->info.id);
  snprintf (l->address, sizeof l->address, "%s", w->address);
  l->port = w->port;
  l->upstream = upstream_open (loop, w->address, w->port);
  assert (l->upstream != NULL);
  uv_timer_init (loop, &l->timer);
  l->timer.data = l;
  look (l);
  return l;
}

/* Ends the link; answers to calls in flight are dropped.  */
void
worker_connection_close (struct link *l)
{
  l->closed = true;
  uv_timer_stop (&l->timer);
  while (l->first != NULL)
    {
      struct queued_order *q = l->first;
      l->first = q->next;
      free (q->spec);
      free (q);
    }
  l->last = &l->first;
  link_unref (l);
}
