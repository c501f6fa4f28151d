#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "rosemaryraild/config_keeper.h"
#include "rosemaryraild/workers_internal.h"

enum
{
  SERVICES_PER_WORKER_MAX = 16,
  CHECKPOINT_COST_MS = 1000,
  CONCURRENT_MOVES_MAX = 4
};

/* A call that checkpoints or stops a task.  */
struct relief_call
{
  struct worker *w;
  char task[RR_TASK_ID_SIZE];
  uint32_t attempt;
  struct worker_attempt to;
};

static void
relief_call_free (struct relief_call *c)
{
  c->w->other_calls--;
  free (c);
}

static struct relief_call *
relief_call_new (struct worker *w, const struct hosted_task *t)
{
  struct relief_call *c = calloc (1, sizeof *c);
  assert (c != NULL);
  c->w = w;
  w->other_calls++;
  snprintf (c->task, sizeof c->task, "%s", t->task);
  c->attempt = t->attempt;
  c->to = (struct worker_attempt){ .epoch = rr_ledger_epoch (w->ledger),
                                   .task = c->task,
                                   .attempt = c->attempt };
  return c;
}

static void
on_stopped (void *data, const struct worker_reply *r)
{
  struct relief_call *c = data;
  struct hosted_task *t = worker_find_task (c->w, c->task, c->attempt);
  /* The worker's next report contains the end of the attempt; the shard owner
     then starts the next attempt from the checkpoint.  */
  if (r->state == WORKER_OK)
    metric_add (&c->w->ws->d->metrics, METRIC_TASKS_EVICTED, 1);
  else if (t != NULL)
    t->evicting = false;
  relief_call_free (c);
}

static void
on_checkpointed (void *data, const struct worker_reply *r)
{
  struct relief_call *c = data;
  struct daemon *d = c->w->ws->d;
  struct hosted_task *t = worker_find_task (c->w, c->task, c->attempt);
  if (r->state != WORKER_OK)
    {
      /* A task without a checkpoint is not moved.  */
      if (t != NULL)
        t->evicting = false;
      relief_call_free (c);
      return;
    }
  worker_stop (d->http, &c->w->endpoint, &c->to,
               (uint64_t)d->settings.worker_timeout_ms, on_stopped, c);
}

static void
apply_decision (struct worker *w, struct hosted_task *t,
                const struct rr_relief_decision *out)
{
  struct daemon *d = w->ws->d;
  uint64_t timeout_ms = (uint64_t)d->settings.worker_timeout_ms;
  struct relief_call *c;
  switch (out->action)
    {
    case RR_RELIEF_NONE:
      return;
    case RR_RELIEF_THROTTLE:
    case RR_RELIEF_UNTHROTTLE:
      task_speed_send (w, t, out->percent);
      break;
    case RR_RELIEF_MOVE:
      t->evicting = true;
      c = relief_call_new (w, t);
      worker_checkpoint (d->http, &w->endpoint, &c->to, timeout_ms,
                         on_checkpointed, c);
      break;
    case RR_RELIEF_STOP:
      t->evicting = true;
      c = relief_call_new (w, t);
      worker_stop (d->http, &w->endpoint, &c->to, timeout_ms, on_stopped, c);
      break;
    }
  log_event (LOG_LEVEL_INFO, "relief",
             "worker=%s task=%s attempt=%u action=%d percent=%d heat=%.2f",
             w->name, t->task, t->attempt, (int)out->action, out->percent,
             out->latency_ratio);
}

static void
fill_relief_task (struct rr_relief_task *r, const struct hosted_task *t,
                  struct rr_time now)
{
  int64_t running = rr_time_diff (now, t->started);
  *r = (struct rr_relief_task){
    .task = decisions_hash (t->task),
    .job = t->placement.group,
    .team = decisions_hash (t->team),
    .placement = t->placement,
    .running_ms = running,
    .total_ms = t->done_ms > running ? t->done_ms : running,
    .since_checkpoint_ms = running,
    .checkpoint_cost_ms = CHECKPOINT_COST_MS,
    .can_checkpoint = true,
    .percent = t->speed_percent,
    .throttled_ms
    = t->speed_percent < 100 ? rr_time_diff (now, t->throttled_since) : 0,
    .evictions = (int)t->evictions,
  };
}

/* Fills SERVICES from the report and returns their number.  */
static size_t
fill_relief_services (struct worker *w, const struct worker_status_report *a,
                      struct rr_relief_service *services)
{
  struct decisions *s = w->ws->decisions;
  size_t n = 0;
  for (size_t i = 0; i < a->service_count && n < SERVICES_PER_WORKER_MAX; i++)
    services[n++] = (struct rr_relief_service){
      .service = rr_interference_class (s->interference, RR_WORKLOAD_SERVICE,
                                        a->services[i].service),
      .requests = a->services[i].count,
      .latency_ms = (double)a->services[i].mean_us / 1000,
    };
  return n;
}

/* Decides after a report whether W needs relief, and applies the decision.
   Only the daemon that owns the ledger does this, so that no two daemons
   relieve the same worker.  */
static void
decide_relief (struct worker *w, const struct worker_status_report *a,
               int64_t window_start_ms, int64_t window_end_ms)
{
  struct workers *ws = w->ws;
  struct decisions *s = ws->decisions;
  struct rr_time now = daemon_now ();
  struct rr_relief_service services[SERVICES_PER_WORKER_MAX];
  struct rr_relief_task tasks[HOSTED_TASKS_MAX];
  size_t hosted[HOSTED_TASKS_MAX];
  size_t n = 0;
  for (size_t i = 0; i < w->hosted_task_count; i++)
    {
      const struct hosted_task *t = &w->hosted[i];
      if (!t->running || t->evicting || !t->indexed || !task_speed_is_known (t)
          || strcmp (t->kind, "batch") != 0)
        continue;
      hosted[n] = i;
      fill_relief_task (&tasks[n++], t, now);
    }
  struct rr_relief_view view
      = { .worker = w->index,
          .window_start = rr_time_from_ms (window_start_ms),
          .window_end = rr_time_from_ms (window_end_ms),
          .worker_now = rr_time_add (a->now, rr_time_diff (now, w->call_sent)),
          .now = now,
          .services = services,
          .service_count = fill_relief_services (w, a, services),
          .tasks = tasks,
          .task_count = n };
  struct rr_relief_decision out = { 0 };
  rr_relief_decide (s->relief, &view, s->placement, s->interference,
                    ws->d->rng, &out);
  if (out.action != RR_RELIEF_NONE)
    apply_decision (w, &w->hosted[hosted[out.task_index]], &out);
}

/* Adds the cores that each batch class used in the window to SHARE, as
   fractions of the worker's cores.  */
static void
add_class_shares (struct worker *w, const struct worker_status_report *a,
                  int64_t window_end_ms, double *share)
{
  struct decisions *s = w->ws->decisions;
  double cores = (double)rr_ledger_capacity (w->ledger).cores_milli;
  for (size_t i = 0; i < a->usage_count; i++)
    {
      const struct worker_usage *u = &a->usage[i];
      const struct hosted_task *t = worker_find_task (w, u->task, u->attempt);
      bool service = t != NULL && strcmp (t->kind, "service") == 0;
      if (u->window_end_ms != window_end_ms || service || cores <= 0)
        continue;
      int c
          = rr_interference_class (s->interference, RR_WORKLOAD_BATCH,
                                   t == NULL ? u->task_class : t->task_class);
      share[c] += (double)u->cores_milli / cores;
    }
}

static void
update_task_usage (struct worker *w, const struct worker_status_report *a)
{
  for (size_t i = 0; i < a->usage_count; i++)
    {
      const struct worker_usage *u = &a->usage[i];
      struct hosted_task *t = worker_find_task (w, u->task, u->attempt);
      if (t == NULL)
        continue;
      if ((double)u->memory_mb > t->peak_memory_mb)
        t->peak_memory_mb = (double)u->memory_mb;
      t->mean_cores_milli
          = t->mean_cores_milli <= 0
                ? (double)u->cores_milli
                : 0.9 * t->mean_cores_milli + 0.1 * (double)u->cores_milli;
      t->done_ms = u->done_ms;
    }
}

/* Updates the actual usage of W's tasks in the placement index.  */
static void
update_observed_usage (struct worker *w, const struct worker_status_report *a)
{
  struct rr_size used = { 0 };
  for (size_t i = 0; i < a->usage_count; i++)
    {
      used.cores_milli += a->usage[i].cores_milli;
      used.memory_mb += a->usage[i].memory_mb;
    }
  if (a->usage_count > 0 && w->index != RR_WORKER_NONE)
    rr_placement_worker_observe (w->ws->decisions->placement, w->index, &used);
}

/* Adds the usage in a report to the interference model and relieves the worker
   when it slows down its services.  A window that was processed before neither
   changes the model nor leads to a decision.  */
void
decisions_apply_report (struct worker *w, const struct worker_status_report *a)
{
  struct decisions *s = w->ws->decisions;
  struct rr_time now = daemon_now ();
  int64_t start_ms = 0;
  int64_t end_ms = 0;
  update_task_usage (w, a);
  update_observed_usage (w, a);
  worker_send_unknown_speeds (w);
  for (size_t i = 0; i < a->service_count; i++)
    {
      const struct worker_service_usage *u = &a->services[i];
      struct rr_interference_report report
          = { .worker = w->id,
              .service = rr_interference_class (
                  s->interference, RR_WORKLOAD_SERVICE, u->service),
              .window_start = rr_time_from_ms (u->window_start_ms),
              .window_end = rr_time_from_ms (u->window_end_ms),
              .requests = u->count,
              .latency_ms = (double)u->mean_us / 1000 };
      add_class_shares (w, a, u->window_end_ms, report.share);
      rr_interference_report_add (s->interference, &report, now);
      start_ms = u->window_start_ms;
      end_ms = u->window_end_ms;
    }
  if (end_ms <= w->last_usage_window_end_ms || w->index == RR_WORKER_NONE)
    return;
  w->last_usage_window_end_ms = end_ms;
  decide_relief (w, a, start_ms, end_ms);
}

/* Moves the tasks off a worker that is leaving.  Batch tasks continue
   elsewhere from a checkpoint; a service task is stopped once no request is in
   progress on the worker.  The number of tasks that move at a time is limited
   to bound the work of one report.  */
void
decisions_drain_leaving (struct worker *w)
{
  unsigned moving = 0;
  bool idle = rr_ledger_used (w->ledger).connections == 0;
  for (size_t i = 0; i < w->hosted_task_count; i++)
    moving += w->hosted[i].evicting && w->hosted[i].running;
  for (size_t i = 0; i < w->hosted_task_count && moving < CONCURRENT_MOVES_MAX;
       i++)
    {
      struct hosted_task *t = &w->hosted[i];
      bool service = strcmp (t->kind, "service") == 0;
      if (!t->running || t->evicting || (service && !idle))
        continue;
      struct rr_relief_decision out
          = { .action = service ? RR_RELIEF_STOP : RR_RELIEF_MOVE };
      apply_decision (w, t, &out);
      moving++;
    }
}
