#include <gsl/gsl_randist.h>
#include <math.h>
#include <string.h>

#include "loop.h"

/* A report arrives this much after the end of its window; one in twenty takes
   longer.  */
#define LAG_MIN_MS 1500.0
#define LAG_MAX_MS 4000.0
#define LAG_LATE_MS 8000.0

/* Pause of the reactive relief between two evictions on a worker.  */
#define REACTIVE_PAUSE_MS 10000

/* Returns the mean execution time of SERVICE without batch work, in ms; the
   operator's target.  0.35 is the sigma of the world's execution times.  */
static double
target_of (const struct loop *l, int service)
{
  return l->world.deployment->service_ms[service] * exp (0.35 * 0.35 / 2);
}

/* Teaches the model from window WIN of worker W.  */
static void
learn (struct loop *l, int w, const struct window *win, int64_t number)
{
  struct rr_interference_report r
      = { .worker = (uint64_t)w + 1,
          .window_start = rr_time_from_ms (number * WINDOW_MS),
          .window_end = rr_time_from_ms ((number + 1) * WINDOW_MS) };
  for (int b = 0; b < CLASSES; b++)
    r.share[b + 1] = win->share[b] / win->ticks;
  for (int s = 0; s < SERVICES; s++)
    if (win->requests[s] > 0)
      {
        r.service = s + 1;
        r.requests = win->requests[s];
        r.latency_ms = win->execution_ms[s] / (double)win->requests[s];
        rr_interference_report_add (l->model, &r, rr_time_from_ms (l->now));
      }
}

/* Corrects the reservations of the tasks on worker W by their usage.  */
static void
guard (struct loop *l, int w)
{
  struct worker *k = &l->world.workers[w];
  struct rr_size used = { 0 };
  for (int i = 0; i < k->task_count; i++)
    {
      int n = k->tasks[i];
      struct task *t = &l->world.tasks[n];
      struct rr_size free;
      struct rr_size size;
      used.cores_milli += (int64_t)(t->cores * 1000 * t->percent / 100);
      used.memory_mb += (int64_t)world_memory_now (t);
      rr_placement_worker_free_size (l->placement, w, &free);
      switch (rr_estimate_overuse (l->estimate, &t->reserved, &t->declared,
                                   t->cores * 1000, world_memory_now (t),
                                   &free, &size))
        {
        case RR_OVERUSE_NONE:
          break;
        case RR_OVERUSE_GROW:
          {
            struct rr_placement_task p = loop_placement_task (t);
            rr_placement_task_remove (l->placement, w, &p);
            rr_batch_queue_task_ended (l->queue, t->team, &t->reserved);
            t->reserved = size;
            p = loop_placement_task (t);
            rr_placement_task_add (l->placement, w, &p);
            rr_batch_queue_charge (l->queue, t->team, &t->reserved);
            break;
          }
        case RR_OVERUSE_MOVE:
          t->least_memory_mb = size.memory_mb;
          l->segment->guard_evictions++;
          loop_task_evict (l, n, -1, t->can_checkpoint);
          return;
        }
    }
  used.slots = k->task_count;
  for (int s = 0; s < SERVICES; s++)
    {
      used.cores_milli += 1000 * (int64_t)k->instances[s];
      used.memory_mb += 2000 * (int64_t)k->instances[s];
      used.slots += k->instances[s];
    }
  rr_placement_worker_observe (l->placement, w, &used);
}

/* Fills SERVICES_OUT with the services in WIN and returns their number.  */
static size_t
services_of (const struct loop *l, const struct worker *k,
             const struct window *win, struct rr_relief_service *services_out)
{
  size_t n = 0;
  for (int s = 0; s < SERVICES; s++)
    if (k->instances[s] > 0 && win->requests[s] > 0)
      services_out[n++] = (struct rr_relief_service){
        .service = s + 1,
        .requests = win->requests[s],
        .latency_ms = win->execution_ms[s] / (double)win->requests[s],
        .target_ms = target_of (l, s),
      };
  return n;
}

/* Relief by the policy.  */
static void
relief_policy (struct loop *l, int w, const struct window *win, int64_t number)
{
  struct worker *k = &l->world.workers[w];
  struct rr_relief_service services[SERVICES];
  struct rr_relief_task tasks[SLOTS];
  struct rr_relief_view view
      = { .worker = w,
          .window_start = rr_time_from_ms (number * WINDOW_MS),
          .window_end = rr_time_from_ms ((number + 1) * WINDOW_MS),
          .worker_now = rr_time_from_ms (l->now),
          .now = rr_time_from_ms (l->now),
          .services = services,
          .tasks = tasks,
          .task_count = (size_t)k->task_count };
  view.service_count = services_of (l, k, win, services);
  for (int i = 0; i < k->task_count; i++)
    {
      const struct task *t = &l->world.tasks[k->tasks[i]];
      tasks[i] = (struct rr_relief_task){
        .task = t->id,
        .job = t->job,
        .team = t->team,
        .placement = loop_placement_task (t),
        .running_ms = l->now - t->started_at,
        .total_ms = t->run_ms,
        .since_checkpoint_ms = (int64_t)(t->done_ms - t->checkpoint_ms),
        .checkpoint_cost_ms = 5000,
        .can_checkpoint = t->can_checkpoint,
        .percent = t->percent,
        .throttled_ms = t->percent < 100 ? l->now - t->throttled_at : 0,
        .evictions = t->evictions,
      };
    }
  struct rr_relief_decision out;
  rr_relief_decide (l->relief, &view, l->placement, l->model, l->rng, &out);
  if (out.action == RR_RELIEF_NONE)
    return;
  int task = k->tasks[out.task_index];
  switch (out.action)
    {
    case RR_RELIEF_NONE:
      return;
    case RR_RELIEF_THROTTLE:
      l->segment->throttles++;
      if (l->world.tasks[task].percent == 100)
        l->world.tasks[task].throttled_at = l->now;
      l->world.tasks[task].percent = out.percent;
      return;
    case RR_RELIEF_UNTHROTTLE:
      l->world.tasks[task].percent = out.percent;
      return;
    case RR_RELIEF_MOVE:
    case RR_RELIEF_STOP:
      l->segment->relief_evictions++;
      loop_task_evict (l, task, out.destination, out.action == RR_RELIEF_MOVE);
      return;
    }
}

/* The reactive relief of the baselines: after as many hot reports as the
   policy wants, the batch task with the most cores is moved to wherever the
   chooser puts it, then nothing for a pause.  */
static void
relief_reactive (struct loop *l, int w, const struct window *win)
{
  const struct rr_policy *policy = l->options->policy;
  struct worker *k = &l->world.workers[w];
  struct rr_relief_service services[SERVICES];
  size_t n = services_of (l, k, win, services);
  double latency_ratio = 0;
  for (size_t i = 0; i < n; i++)
    if (services[i].requests >= policy->relief_min_requests)
      latency_ratio = fmax (latency_ratio,
                            services[i].latency_ms / services[i].target_ms);
  l->hot_reports[w]
      = latency_ratio >= policy->relief_hot_ratio ? l->hot_reports[w] + 1 : 0;
  if (l->hot_reports[w] < policy->relief_hot_reports || k->task_count == 0
      || l->now - l->last_eviction[w] < REACTIVE_PAUSE_MS)
    return;
  int largest = k->tasks[0];
  for (int i = 1; i < k->task_count; i++)
    if (l->world.tasks[k->tasks[i]].cores > l->world.tasks[largest].cores)
      largest = k->tasks[i];
  struct task *t = &l->world.tasks[largest];
  struct rr_placement_request request = { .task = loop_placement_task (t),
                                          .checkpoint_worker = RR_WORKER_NONE,
                                          .checkpoint_zone = -1,
                                          .avoid = &w,
                                          .avoid_count = 1 };
  int destination;
  if (!loop_choose (l, t, &request, &destination))
    return;
  l->segment->relief_evictions++;
  l->hot_reports[w] = 0;
  l->last_eviction[w] = l->now;
  loop_task_evict (l, largest, destination, t->can_checkpoint);
}

/* Delivers the reports that are due.  Each worker's arrive in order, with a
   random lag.  */
void
loop_reports_deliver (struct loop *l)
{
  for (int w = 0; w < l->world.deployment->workers; w++)
    {
      struct worker *k = &l->world.workers[w];
      int64_t number = k->delivered;
      struct window *win = &k->window[number % WINDOWS];
      int64_t end = (number + 1) * WINDOW_MS;
      if (l->now < end)
        continue;
      if (win->deliver_at == 0)
        {
          double lag
              = gsl_rng_uniform (l->world.rng_work) < 0.05
                    ? LAG_LATE_MS
                    : gsl_ran_flat (l->world.rng_work, LAG_MIN_MS, LAG_MAX_MS);
          win->deliver_at = end + (int64_t)lag;
        }
      if (l->now < win->deliver_at)
        continue;
      learn (l, w, win, number);
      guard (l, w);
      if (l->options->chooser == CHOOSER_POLICY)
        relief_policy (l, w, win, number);
      else
        relief_reactive (l, w, win);
      memset (win, 0, sizeof *win);
      k->delivered++;
    }
  if (l->now % 1000 == 0)
    rr_interference_refresh (l->model, rr_time_from_ms (l->now));
}
