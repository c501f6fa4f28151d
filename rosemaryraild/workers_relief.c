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
  LEAVING_MOVES_MAX = 4
};

/* A throttle, checkpoint or stop in progress.  */
struct relief_call
{
  struct worker *w;
  char task[RR_TASK_ID_SIZE];
  uint32_t attempt;
  int percent;
  struct worker_attempt to;
};

static void
call_free (struct relief_call *c)
{
  c->w->references--;
  free (c);
}

static struct relief_call *
call_new (struct worker *w, const struct hosted_task *t)
{
  struct relief_call *c = calloc (1, sizeof *c);
  assert (c != NULL);
  c->w = w;
  w->references++;
  snprintf (c->task, sizeof c->task, "%s", t->task);
  c->attempt = t->attempt;
  c->to = (struct worker_attempt){ .epoch = rr_ledger_epoch (w->ledger),
                                   .task = c->task,
                                   .attempt = c->attempt };
  return c;
}

static void
on_throttled (void *data, const struct worker_reply *r)
{
  struct relief_call *c = data;
  struct hosted_task *t = worker_find_task (c->w, c->task, c->attempt);
  if (t != NULL && r->state == WORKER_OK)
    {
      if (t->percent == 100)
        t->throttled_since = daemon_now ();
      t->percent = c->percent;
    }
  call_free (c);
}

static void
on_stopped (void *data, const struct worker_reply *r)
{
  struct relief_call *c = data;
  struct hosted_task *t = worker_find_task (c->w, c->task, c->attempt);
  /* The end comes with the next report; the shard owner then starts the next
     attempt from the checkpoint.  */
  if (r->state == WORKER_OK)
    metric_add (&c->w->ws->d->metrics, METRIC_TASKS_EVICTED, 1);
  else if (t != NULL)
    t->evicting = false;
  call_free (c);
}

static void
on_checkpointed (void *data, const struct worker_reply *r)
{
  struct relief_call *c = data;
  struct daemon *d = c->w->ws->d;
  struct hosted_task *t = worker_find_task (c->w, c->task, c->attempt);
  if (r->state != WORKER_OK)
    {
      /* Without a checkpoint the task stays where it is.  */
      if (t != NULL)
        t->evicting = false;
      call_free (c);
      return;
    }
  worker_stop (d->http, &c->w->at, &c->to,
               (uint64_t)d->settings.worker_timeout_ms, on_stopped, c);
}

static void
act (struct worker *w, struct hosted_task *t,
     const struct rr_relief_decision *out)
{
  struct daemon *d = w->ws->d;
  uint64_t timeout_ms = (uint64_t)d->settings.worker_timeout_ms;
  struct relief_call *c = call_new (w, t);
  switch (out->action)
    {
    case RR_RELIEF_NONE:
      call_free (c);
      return;
    case RR_RELIEF_THROTTLE:
    case RR_RELIEF_UNTHROTTLE:
      c->percent = out->percent;
      worker_throttle (d->http, &w->at, &c->to, out->percent, timeout_ms,
                       on_throttled, c);
      break;
    case RR_RELIEF_MOVE:
      t->evicting = true;
      worker_checkpoint (d->http, &w->at, &c->to, timeout_ms, on_checkpointed,
                         c);
      break;
    case RR_RELIEF_STOP:
      t->evicting = true;
      worker_stop (d->http, &w->at, &c->to, timeout_ms, on_stopped, c);
      break;
    }
  log_event (LOG_LEVEL_INFO, "relief",
             "worker=%s task=%s attempt=%u action=%d percent=%d heat=%.2f",
             w->name, t->task, t->attempt, (int)out->action, out->percent,
             out->latency_ratio);
}

static void
fill_task (struct rr_relief_task *r, const struct hosted_task *t,
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
    .percent = t->percent,
    .throttled_ms
    = t->percent < 100 ? rr_time_diff (now, t->throttled_since) : 0,
    .evictions = (int)t->evictions,
  };
}

/* Fills the services of the report's newest window and returns their
   number.  */
static size_t
fill_services (struct worker *w, const struct worker_status_report *a,
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

/* Decides about relief after a report and carries it out.  Only the ledger's
   owner does, so that no two daemons relieve the same worker.  */
static void
relieve (struct worker *w, const struct worker_status_report *a,
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
      if (!t->running || t->evicting || !t->indexed
          || strcmp (t->kind, "batch") != 0)
        continue;
      hosted[n] = i;
      fill_task (&tasks[n++], t, now);
    }
  struct rr_relief_view view
      = { .worker = w->index,
          .window_start = rr_time_from_ms (window_start_ms),
          .window_end = rr_time_from_ms (window_end_ms),
          .worker_now = rr_time_add (a->now, rr_time_diff (now, w->call_sent)),
          .now = now,
          .services = services,
          .service_count = fill_services (w, a, services),
          .tasks = tasks,
          .task_count = n };
  struct rr_relief_decision out = { 0 };
  rr_relief_decide (s->relief, &view, s->placement, s->interference,
                    ws->d->rng, &out);
  if (out.action != RR_RELIEF_NONE)
    act (w, &w->hosted[hosted[out.task_index]], &out);
}

/* Cores of each batch class in the window, as shares of the worker's.  */
static void
fill_shares (struct worker *w, const struct worker_status_report *a,
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
learn_usage (struct worker *w, const struct worker_status_report *a)
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

/* Tells the placement index what the worker's tasks really use.  */
static void
observe (struct worker *w, const struct worker_status_report *a)
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

/* Learns from the usage in a report and relieves the worker when it slows its
   services.  A window that was taken in before teaches nothing.  */
void
decisions_apply_report (struct worker *w, const struct worker_status_report *a)
{
  struct decisions *s = w->ws->decisions;
  struct rr_time now = daemon_now ();
  int64_t start_ms = 0;
  int64_t end_ms = 0;
  learn_usage (w, a);
  observe (w, a);
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
      fill_shares (w, a, u->window_end_ms, report.share);
      rr_interference_report_add (s->interference, &report, now);
      start_ms = u->window_start_ms;
      end_ms = u->window_end_ms;
    }
  if (end_ms <= w->last_usage_window_end_ms || w->index == RR_WORKER_NONE)
    return;
  w->last_usage_window_end_ms = end_ms;
  relieve (w, a, start_ms, end_ms);
}

/* Moves the tasks of a worker that is leaving: batch tasks continue elsewhere
   from a checkpoint; a service task is stopped once no request is in progress
   on the worker.  A few at a time, so that one report's work stays small.  */
void
decisions_drain_leaving (struct worker *w)
{
  unsigned moving = 0;
  bool idle = rr_ledger_used (w->ledger).connections == 0;
  for (size_t i = 0; i < w->hosted_task_count; i++)
    moving += w->hosted[i].evicting && w->hosted[i].running;
  for (size_t i = 0; i < w->hosted_task_count && moving < LEAVING_MOVES_MAX;
       i++)
    {
      struct hosted_task *t = &w->hosted[i];
      bool service = strcmp (t->kind, "service") == 0;
      if (!t->running || t->evicting || (service && !idle))
        continue;
      struct rr_relief_decision out
          = { .action = service ? RR_RELIEF_STOP : RR_RELIEF_MOVE };
      act (w, t, &out);
      moving++;
    }
}
