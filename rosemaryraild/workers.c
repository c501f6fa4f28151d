#include "rosemaryraild/workers.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "rosemaryraild/charts.h"
#include "rosemaryraild/peers.h"
#include "rosemaryraild/workers_internal.h"

enum
{
  TICK_MS = 100,
  /* Short, since a daemon that hands a worker over releases it long before its
     lease expires, and nobody renews the tasks' leases in the meantime.  */
  CLAIM_RETRY_MS = 300,
  RENEWALS_MAX = 256,
  REQUEST_LIMIT_MS = 60000 /* workers end a request after this time */
};

/* Returns the worker NAME with INCARNATION, where 0 matches any, or null.  */
struct worker *
workers_find (struct workers *ws, const char *name, uint64_t incarnation)
{
  for (size_t i = 0; i < ws->count; i++)
    if (strcmp (ws->workers[i]->name, name) == 0
        && (incarnation == 0 || ws->workers[i]->incarnation == incarnation))
      return ws->workers[i];
  return NULL;
}

/* Applies EVENT to the state of W.  Returns false when the state does not
   allow it.  */
bool
worker_apply_event (struct worker *w, int event)
{
  const struct rr_chart *c = w->ws->chart.chart;
  int next = rr_chart_next (c, w->state, event);
  if (next == RR_CHART_NONE)
    return false;
  if (next != w->state)
    log_event (LOG_LEVEL_INFO, "worker_state",
               "worker=%s incarnation=%llu from=%s to=%s on=%s", w->name,
               (unsigned long long)w->incarnation,
               rr_chart_state_name (c, w->state),
               rr_chart_state_name (c, next), rr_chart_event_name (c, event));
  w->state = next;
  return true;
}

/* Returns whether W can be given tasks and requests.  */
bool
worker_is_open (const struct worker *w, struct rr_time now)
{
  return w->state == w->ws->chart.open
         && rr_ledger_state (w->ledger, now) == RR_LEDGER_OPEN;
}

/* Returns attempt ATTEMPT of TASK on W, or null.  */
struct hosted_task *
worker_find_task (struct worker *w, const char *task, uint32_t attempt)
{
  for (size_t i = 0; i < w->hosted_task_count; i++)
    if (w->hosted[i].attempt == attempt
        && strcmp (w->hosted[i].task, task) == 0)
      return &w->hosted[i];
  return NULL;
}

/* Adds an attempt to W's list, or returns the existing entry.  Returns null
   when the list is full.  */
struct hosted_task *
worker_add_task (struct worker *w, const char *task, uint32_t attempt)
{
  struct hosted_task *t = worker_find_task (w, task, attempt);
  if (t != NULL)
    return t;
  if (w->hosted_task_count == HOSTED_TASKS_MAX)
    return NULL;
  t = &w->hosted[w->hosted_task_count++];
  memset (t, 0, sizeof *t);
  snprintf (t->task, sizeof t->task, "%s", task);
  t->attempt = attempt;
  t->instance = -1;
  t->speed_percent = WORKER_SPEED_UNKNOWN;
  t->speed_target = 100;
  t->started = daemon_now ();
  return t;
}

/* Removes T from W's list, which invalidates pointers to other entries.  */
void
worker_remove_task (struct worker *w, struct hosted_task *t)
{
  route_remove_instance (w, t);
  decisions_remove_task (w, t);
  size_t i = (size_t)(t - w->hosted);
  w->hosted_task_count--;
  memmove (t, t + 1, (w->hosted_task_count - i) * sizeof *t);
}

/* Removes the tasks that W had under an earlier controller epoch.  */
static void
remove_all_tasks (struct worker *w)
{
  while (w->hosted_task_count > 0)
    worker_remove_task (w, &w->hosted[w->hosted_task_count - 1]);
}

/* Records the loss of W's controller lease; EVENT is the chart's event for the
   cause.  */
void
worker_mark_lease_lost (struct worker *w, int event)
{
  if (!worker_apply_event (w, event))
    return;
  metric_add (&w->ws->d->metrics, METRIC_WORKER_LEASES_LOST, 1);
  rr_ledger_mark_lease_lost (w->ledger, rr_ledger_epoch (w->ledger));
  remove_all_tasks (w);
}

static void
count_call (struct worker *w, const struct worker_reply *r)
{
  metric_add (&w->ws->d->metrics, METRIC_WORKER_CALLS, 1);
  metric_add (&w->ws->d->metrics, METRIC_WORKER_BYTES, r->bytes);
}

static void
handle_claim_granted (struct worker *w, const struct worker_status_report *a)
{
  struct workers *ws = w->ws;
  struct rr_time now = daemon_now ();
  struct rr_error err = { 0 };
  struct rr_ledger_claim claim
      = { .sent = w->call_sent,
          .received = now,
          .worker_now = a->now,
          .lease_ms = ws->d->settings.controller_lease_ms,
          .epoch = a->epoch,
          .incarnation = a->incarnation,
          .capacity = a->capacity,
          .leaving = a->leaving };
  if (a->incarnation != w->incarnation
      || !rr_ledger_claim (w->ledger, &claim, &err))
    {
      worker_apply_event (w, ws->chart.claim_refused);
      log_event (LOG_LEVEL_WARN, "claim_unusable", "worker=%s reason=\"%s\"",
                 w->name,
                 err.code == RR_OK ? "other incarnation" : err.message);
      return;
    }
  metric_add (&ws->d->metrics, METRIC_WORKER_CLAIMS, 1);
  worker_apply_event (w, ws->chart.claim_granted);
  remove_all_tasks (w);
  w->ended_after = -1;
  decisions_sync_worker (w, now);
  worker_apply_report (w, a);
  worker_apply_event (w, ws->chart.rebuilt);
  decisions_sync_worker (w, now);
  w->last_report = now;
  rr_membership_call_answered (peers_membership (ws->d->peers), w->call_sent,
                               w->name, w->incarnation);
  if (a->leaving)
    rr_membership_set_leaving (peers_membership (ws->d->peers), now,
                               RR_SOURCE_REPORT, w->name, w->incarnation);
}

static void
on_claimed (void *data, const struct worker_reply *r)
{
  struct worker *w = data;
  struct daemon *d = w->ws->d;
  w->call_pending = false;
  count_call (w, r);
  struct rr_time now = daemon_now ();
  w->next_call = rr_time_add (now, CLAIM_RETRY_MS);
  if (w->state != w->ws->chart.claiming)
    return;
  if (r->state == WORKER_OK)
    {
      handle_claim_granted (w, r->report);
      w->next_call = rr_time_add (now, d->settings.worker_report_ms);
      return;
    }
  worker_apply_event (w, w->ws->chart.claim_refused);
  if (r->state != WORKER_REFUSED)
    rr_membership_call_failed (peers_membership (d->peers), now, w->name,
                               w->incarnation);
}

static void
send_claim (struct worker *w)
{
  struct daemon *d = w->ws->d;
  if (!worker_apply_event (w, w->ws->chart.elected))
    return;
  w->call_pending = true;
  w->call_sent = daemon_now ();
  worker_claim (d->http, &w->endpoint, d->settings.name, d->incarnation,
                d->settings.controller_lease_ms,
                (uint64_t)d->settings.worker_timeout_ms, on_claimed, w);
}

static void
handle_report (struct worker *w, const struct worker_status_report *a)
{
  struct workers *ws = w->ws;
  struct rr_time now = daemon_now ();
  worker_apply_report (w, a);
  worker_apply_event (w, ws->chart.confirmed);
  decisions_sync_worker (w, now);
  decisions_apply_report (w, a);
  w->last_report = now;
  w->failures = 0;
  rr_membership_call_answered (peers_membership (ws->d->peers), w->call_sent,
                               w->name, w->incarnation);
  if (a->leaving)
    {
      rr_membership_set_leaving (peers_membership (ws->d->peers), now,
                                 RR_SOURCE_REPORT, w->name, w->incarnation);
      rr_ledger_set_leaving (w->ledger);
      worker_apply_event (w, ws->chart.left);
    }
  if (w->state == ws->chart.leaving)
    decisions_drain_leaving (w);
}

static void
on_reported (void *data, const struct worker_reply *r)
{
  struct worker *w = data;
  struct workers *ws = w->ws;
  struct rr_time now = daemon_now ();
  w->call_pending = false;
  count_call (w, r);
  w->next_call = rr_time_add (w->call_sent, ws->d->settings.worker_report_ms);
  switch (r->state)
    {
    case WORKER_OK:
      if (r->report->epoch == rr_ledger_epoch (w->ledger))
        handle_report (w, r->report);
      break;
    case WORKER_REFUSED:
      worker_mark_lease_lost (w, ws->chart.epoch_refused);
      break;
    case WORKER_NOT_SENT:
    case WORKER_UNKNOWN:
      worker_apply_event (w, ws->chart.report_failed);
      w->failures++;
      rr_membership_call_failed (peers_membership (ws->d->peers), now, w->name,
                                 w->incarnation);
      break;
    }
  workers_run_queues (ws);
}

static void
send_report (struct worker *w)
{
  struct daemon *d = w->ws->d;
  struct rr_time now = daemon_now ();
  static struct rr_renewal renewals[RENEWALS_MAX];
  static struct rr_time grants[RENEWALS_MAX];
  size_t n = rr_ledger_plan_renewals (
      w->ledger, now, d->settings.task_lease_ms, renewals, RENEWALS_MAX);
  if (n > RENEWALS_MAX)
    n = RENEWALS_MAX;
  for (size_t i = 0; i < n; i++)
    {
      grants[i] = rr_time_from_ms (0);
      struct rr_ledger_entry e;
      for (size_t j = 0; rr_ledger_entry_at (w->ledger, j, &e); j++)
        if (e.attempt == renewals[i].attempt
            && strcmp (e.task, renewals[i].task) == 0)
          grants[i] = e.granted_until;
    }
  w->call_pending = true;
  w->call_sent = now;
  worker_report (d->http, &w->endpoint, rr_ledger_epoch (w->ledger),
                 d->settings.controller_lease_ms, renewals, grants, n,
                 w->ended_after, (uint64_t)d->settings.worker_timeout_ms,
                 on_reported, w);
}

static void
on_released (void *data, const struct worker_reply *r)
{
  struct worker *w = data;
  count_call (w, r);
  w->call_pending = false;
}

/* Releases the controller lease of W to its next owner.  Requests in progress
   continue; the next owner gets their number from the worker's status
   report.  */
static void
release_worker (struct worker *w)
{
  struct daemon *d = w->ws->d;
  uint64_t epoch = rr_ledger_epoch (w->ledger);
  if (!worker_apply_event (w, w->ws->chart.release))
    return;
  rr_ledger_release (w->ledger);
  remove_all_tasks (w);
  w->call_pending = true;
  worker_release (d->http, &w->endpoint, epoch,
                  (uint64_t)d->settings.worker_timeout_ms, on_released, w);
}

static bool
worker_is_held (const struct worker *w)
{
  const struct worker_chart *c = &w->ws->chart;
  return w->state == c->open || w->state == c->quarantined
         || w->state == c->leaving || w->state == c->unconfirmed;
}

/* Updates one worker: claims it, renews its lease or releases it, depending on
   its owner in the membership.  */
static void
tick_worker (struct worker *w, struct rr_time now)
{
  struct workers *ws = w->ws;
  struct rr_membership *m = peers_membership (ws->d->peers);
  if (rr_membership_has_disappeared (m, w->name, w->incarnation))
    {
      if (worker_apply_event (w, ws->chart.disappeared))
        remove_all_tasks (w);
      return;
    }
  if (worker_is_held (w)
      && rr_ledger_state (w->ledger, now) == RR_LEDGER_LEASE_LOST)
    worker_mark_lease_lost (w, ws->chart.lease_expired);
  if (worker_is_held (w)
      && !rr_membership_is_usable (m, now, w->name, w->incarnation))
    {
      const struct rr_member *member = rr_membership_find (m, now, w->name);
      if (member != NULL && member->state == RR_MEMBER_LEAVING)
        {
          rr_ledger_set_leaving (w->ledger);
          worker_apply_event (w, ws->chart.left);
        }
    }
  if (w->call_pending || rr_time_before (now, w->next_call))
    return;
  const struct rr_member *owner = rr_membership_worker_owner (m, now, w->name);
  bool is_owner
      = owner != NULL && rr_membership_is_self (m, owner) && !ws->d->stopping;
  if (worker_is_held (w))
    {
      if (is_owner)
        send_report (w);
      else
        release_worker (w);
    }
  else if (is_owner
           && (w->state == ws->chart.unclaimed
               || w->state == ws->chart.lease_lost))
    send_claim (w);
}

static void
on_tick (uv_timer_t *timer)
{
  struct workers *ws = timer->data;
  struct rr_time now = daemon_now ();
  int64_t owned = 0;
  for (size_t i = 0; i < ws->count; i++)
    {
      tick_worker (ws->workers[i], now);
      decisions_sync_worker (ws->workers[i], now);
      owned += worker_is_held (ws->workers[i]);
    }
  metric_set (&ws->d->metrics, METRIC_WORKERS_OWNED, owned);
}

static void
add_worker (struct workers *ws, const struct rr_member *m)
{
  struct vm_address at;
  if (ws->count == WORKERS_MAX
      || !peers_vm_address (ws->d->peers, m->info.name, &at))
    return;
  struct worker *w = calloc (1, sizeof *w);
  assert (w != NULL);
  w->ws = ws;
  snprintf (w->name, sizeof w->name, "%s", m->info.name);
  snprintf (w->rack, sizeof w->rack, "%s", m->info.rack);
  w->incarnation = m->info.incarnation;
  snprintf (w->endpoint.address, sizeof w->endpoint.address, "%s", at.address);
  w->endpoint.port = at.http_port;
  w->upstream
      = upstream_open (ws->d->loop, w->endpoint.address, w->endpoint.port);
  if (w->upstream == NULL)
    {
      free (w);
      return;
    }
  struct rr_ledger_options options = { .request_limit_ms = REQUEST_LIMIT_MS };
  w->ledger = rr_ledger_new (&options);
  w->state = rr_chart_initial (ws->chart.chart);
  w->ended_after = -1;
  decisions_add_worker (w);
  ws->workers[ws->count++] = w;
}

/* Frees the incarnations that are gone and have no call in progress.  */
static void
remove_gone_workers (struct workers *ws)
{
  for (size_t i = 0; i < ws->count;)
    {
      struct worker *w = ws->workers[i];
      if (w->state != ws->chart.gone || w->call_pending || w->other_calls > 0)
        {
          i++;
          continue;
        }
      remove_all_tasks (w);
      decisions_remove_worker (w);
      rr_ledger_free (w->ledger);
      upstream_close (w->upstream);
      free (w);
      ws->workers[i] = ws->workers[--ws->count];
    }
}

/* Adds the new workers of this zone from the membership, and frees those that
   are gone.  */
static void
sync_with_membership (struct workers *ws)
{
  struct rr_membership *m = peers_membership (ws->d->peers);
  struct rr_time now = daemon_now ();
  size_t n = rr_membership_count (m);
  for (size_t i = 0; i < n; i++)
    {
      const struct rr_member *member = rr_membership_at (m, now, i);
      if (member->info.role != RR_ROLE_WORKER || !member->listed
          || member->state == RR_MEMBER_GONE || member->state == RR_MEMBER_DEAD
          || strcmp (member->info.zone, ws->d->settings.zone) != 0)
        continue;
      if (workers_find (ws, member->info.name, member->info.incarnation)
          == NULL)
        add_worker (ws, member);
    }
  remove_gone_workers (ws);
}

static void
handle_pause (struct workers *ws)
{
  struct rr_time now = daemon_now ();
  for (size_t i = 0; i < ws->count; i++)
    {
      worker_apply_event (ws->workers[i], ws->chart.paused);
      ws->workers[i]->next_call = now;
    }
}

/* Handles one message to the workers actor.  */
void
workers_handle (void *state, struct message *m)
{
  struct workers *ws = state;
  switch (m->type)
    {
    case MESSAGE_RPC_REQUEST:
      if (m->u.rpc_request.procedure == REQUEST_FORWARD)
        workers_handle_forwarded_request (ws, &m->u.rpc_request);
      else
        workers_handle_rpc (ws, &m->u.rpc_request);
      break;
    case MESSAGE_REQUEST_RUN:
      workers_run_request (ws, request_take (m));
      break;
    case MESSAGE_MEMBERSHIP_CHANGED:
      sync_with_membership (ws);
      break;
    case MESSAGE_CONFIG_CHANGED:
      decisions_set_policy (ws);
      break;
    case MESSAGE_PAUSED:
      handle_pause (ws);
      break;
    default:
      message_rpc_done_run (m);
      break;
    }
}

static bool
load_chart (struct workers *ws, struct rr_error *err)
{
  struct worker_chart *c = &ws->chart;
  const struct rr_chart_name states[] = { { "unclaimed", &c->unclaimed },
                                          { "claiming", &c->claiming },
                                          { "rebuilding", &c->rebuilding },
                                          { "open", &c->open },
                                          { "quarantined", &c->quarantined },
                                          { "leaving", &c->leaving },
                                          { "unconfirmed", &c->unconfirmed },
                                          { "lease_lost", &c->lease_lost },
                                          { "abandoned", &c->abandoned },
                                          { "gone", &c->gone },
                                          { NULL, NULL } };
  const struct rr_chart_name events[]
      = { { "elected", &c->elected },
          { "claim_granted", &c->claim_granted },
          { "claim_refused", &c->claim_refused },
          { "rebuilt", &c->rebuilt },
          { "confirmed", &c->confirmed },
          { "report_failed", &c->report_failed },
          { "lease_expired", &c->lease_expired },
          { "epoch_refused", &c->epoch_refused },
          { "paused", &c->paused },
          { "quarantine", &c->quarantine },
          { "quarantine_ended", &c->quarantine_ended },
          { "left", &c->left },
          { "release", &c->release },
          { "abandon", &c->abandon },
          { "disappeared", &c->disappeared },
          { NULL, NULL } };
  c->chart = chart_load_file (ws->d->settings.chart_directory, "worker", err);
  return c->chart != NULL && rr_chart_bind_states (c->chart, states, err)
         && rr_chart_bind_events (c->chart, events, err);
}

/* Creates the actor that owns the ledgers of this zone's workers.  Returns
   null with ERR set when its state chart is unusable.  */
struct workers *
workers_open (struct daemon *d, struct rr_error *err)
{
  struct workers *ws = calloc (1, sizeof *ws);
  assert (ws != NULL);
  ws->d = d;
  if (!load_chart (ws, err))
    {
      free (ws);
      return NULL;
    }
  workers_requests_open (ws);
  decisions_open (ws);
  uv_timer_init (d->loop, &ws->timer);
  ws->timer.data = ws;
  uv_timer_start (&ws->timer, on_tick, TICK_MS, TICK_MS);
  return ws;
}

/* Counts W's capacity in the totals and largest sizes of a heartbeat.  */
static void
heartbeat_add_capacity (peer_heartbeat *h, const struct worker *w)
{
  struct rr_resources all = rr_ledger_capacity (w->ledger);
  h->total_cores_milli += (uint64_t)all.cores_milli;
  h->total_memory_mb += (uint64_t)all.memory_mb;
  h->total_accelerators += (u_int)all.accelerators;
  h->total_slots += (u_int)all.slots;
  if (all.cores_milli > h->largest_cores_milli)
    h->largest_cores_milli = (u_int)all.cores_milli;
  if ((uint64_t)all.memory_mb > h->largest_memory_mb)
    h->largest_memory_mb = (uint64_t)all.memory_mb;
  if (all.accelerators > h->largest_accelerators)
    h->largest_accelerators = (u_int)all.accelerators;
}

/* Fills in the load figures of a heartbeat.  Its arrays stay valid until the
   next call.  */
void
workers_fill_heartbeat (struct workers *ws, peer_heartbeat *h)
{
  static peer_service services[SERVICES_MAX];
  struct rr_time now = daemon_now ();
  for (size_t i = 0; i < ws->count; i++)
    {
      const struct worker *w = ws->workers[i];
      if (!worker_is_open (w, now))
        continue;
      struct rr_resources left = rr_ledger_free_resources (w->ledger);
      h->workers++;
      if (left.slots > 0 && left.cores_milli > 0 && left.memory_mb > 0)
        {
          h->free_slots += (u_int)left.slots;
          h->free_cores_milli += (u_int)left.cores_milli;
          h->free_memory_mb += (uint64_t)left.memory_mb;
        }
      if (left.accelerators > 0)
        h->free_accelerators += (u_int)left.accelerators;
      heartbeat_add_capacity (h, w);
    }
  size_t n = 0;
  for (size_t i = 0; i < ws->route_count; i++)
    {
      struct route *r = ws->routes[i];
      peer_service *s = &services[n];
      memset (s, 0, sizeof *s);
      for (int j = 0; j < r->instances_used; j++)
        {
          const struct worker *w = r->instances[j];
          if (w == NULL || !worker_is_open (w, now))
            continue;
          int64_t left = rr_ledger_free_resources (w->ledger).connections;
          s->instances++;
          s->free_connections += left > 0 ? (u_int)left : 0;
        }
      if (s->instances == 0)
        continue;
      s->name = r->service;
      s->latency_us = (u_int)(rr_admission_service_ms (r->admission) * 1000);
      n++;
    }
  h->services.services_len = (u_int)n;
  h->services.services_val = services;
}

/* Returns the number of known workers of this zone.  */
size_t
workers_count (const struct workers *ws)
{
  return ws->count;
}

/* Fills OUT for worker I.  Returns false when there is none.  */
bool
workers_status_at (struct workers *ws, size_t i, struct worker_status *out)
{
  if (i >= ws->count)
    return false;
  struct worker *w = ws->workers[i];
  struct rr_time now = daemon_now ();
  memset (out, 0, sizeof *out);
  snprintf (out->name, sizeof out->name, "%s", w->name);
  snprintf (out->rack, sizeof out->rack, "%s", w->rack);
  out->state = rr_chart_state_name (ws->chart.chart, w->state);
  out->owned = worker_is_held (w);
  for (size_t j = 0; j < w->hosted_task_count; j++)
    out->tasks += w->hosted[j].running;
  out->connections = rr_ledger_used (w->ledger).connections;
  out->age_ms
      = w->last_report.ms == 0 ? -1 : rr_time_diff (now, w->last_report);
  return true;
}

/* Returns the number of requests accepted and not yet finished.  */
size_t
workers_requests_in_progress (const struct workers *ws)
{
  return ws->in_progress;
}
