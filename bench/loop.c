#include "loop.h"

#include <gsl/gsl_randist.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Work that a checkpoint and a move cost.  */
#define MOVE_COST_MS 5000

/* Returns the name of CHOOSER as used on the command line.  */
const char *
chooser_name (enum chooser chooser)
{
  static const char *const names[CHOOSERS]
      = { "policy", "first-fit", "least-loaded", "two-choices", "no-batch" };
  return names[chooser];
}

/* Returns T as the placement module sees it.  */
struct rr_placement_task
loop_placement_task (const struct task *t)
{
  return (struct rr_placement_task){ .kind = RR_WORKLOAD_BATCH,
                                     .class_number = t->class_number + 1,
                                     .group = t->job,
                                     .size = t->reserved };
}

/* Chooses a worker for T among those that pass the hard constraints.  */
bool
loop_choose (struct loop *l, const struct task *t,
             const struct rr_placement_request *request, int *worker)
{
  (void)t;
  int best = -1;
  double best_load = 0;
  int seen = 0;
  if (l->options->chooser == CHOOSER_POLICY)
    {
      struct rr_placement_selection c;
      bool found = rr_placement_select (l->placement, request, l->rng, &c);
      *worker = c.worker;
      return found;
    }
  int fitting[256];
  for (int i = 0; i < l->world.deployment->workers; i++)
    if (rr_placement_fits (l->placement, i, request))
      fitting[seen++] = i;
  if (seen == 0)
    return false;
  if (l->options->chooser == CHOOSER_TWO_CHOICES)
    {
      int a = fitting[gsl_rng_uniform_int (l->rng, (unsigned long)seen)];
      int b = fitting[gsl_rng_uniform_int (l->rng, (unsigned long)seen)];
      fitting[0] = a;
      fitting[1] = b;
      seen = 2;
    }
  for (int i = 0; i < seen; i++)
    {
      struct rr_size free;
      rr_placement_worker_free_size (l->placement, fitting[i], &free);
      double load = l->options->chooser == CHOOSER_FIRST_FIT
                        ? 0
                        : -(double)free.cores_milli;
      if (best < 0 || load < best_load)
        {
          best = fitting[i];
          best_load = load;
        }
    }
  *worker = best;
  return true;
}

/* Starts TASK on WORKER and counts the reservation.  */
void
loop_task_start (struct loop *l, int task, int worker)
{
  struct task *t = &l->world.tasks[task];
  struct rr_placement_task p = loop_placement_task (t);
  rr_placement_task_add (l->placement, worker, &p);
  world_task_start (&l->world, task, worker, l->now);
  rr_quarantine_attempt_started (l->quarantine, (uint64_t)worker + 1, t->id,
                                 t->job, rr_time_from_ms (l->now));
  loop_quarantine_apply (l, worker);
  l->segment->started++;
  if (l->now < l->world.workers[worker].failing_until)
    {
      int *n = &l->failing_starts[worker];
      (*n)++;
      if (*n > l->result->failing_worker_starts_max)
        l->result->failing_worker_starts_max = *n;
    }
  if (l->world.workers[worker].task_count
          + l->world.workers[worker].instances[0]
          + l->world.workers[worker].instances[1]
      > SLOTS)
    l->result->over_capacity++;
}

/* Takes TASK off its worker and its team's account.  */
void
loop_task_detach (struct loop *l, int task)
{
  struct task *t = &l->world.tasks[task];
  struct rr_placement_task p = loop_placement_task (t);
  rr_placement_task_remove (l->placement, t->worker, &p);
  rr_batch_queue_task_ended (l->queue, t->team, &t->reserved);
  world_task_remove (&l->world, task);
  rr_batch_queue_capacity_changed (l->queue);
}

/* Puts TASK back in front of its job's queue.  */
void
loop_task_requeue (struct loop *l, int task)
{
  struct task *t = &l->world.tasks[task];
  t->queued_at = l->now;
  rr_batch_queue_task_return (l->queue, t->job, (uint64_t)task, NULL);
}

/* Evicts TASK: with CHECKPOINT, the work is saved at a cost and the task
   starts on DESTINATION if it still fits there; otherwise the work since the
   last checkpoint is lost and the task is queued.  */
void
loop_task_evict (struct loop *l, int task, int destination, bool checkpoint)
{
  struct task *t = &l->world.tasks[task];
  double lost = t->done_ms - t->checkpoint_ms;
  if (checkpoint)
    {
      lost = fmin (lost, MOVE_COST_MS);
      t->checkpoint_ms = t->done_ms - lost;
    }
  l->segment->lost_core_ms += lost * t->cores;
  t->avoid = t->worker;
  rr_quarantine_attempt_withdrawn (l->quarantine, (uint64_t)t->worker + 1,
                                   t->id);
  loop_task_detach (l, task);
  t->evictions++;
  if (t->evictions > l->result->task_evictions_max)
    l->result->task_evictions_max = t->evictions;
  struct rr_placement_request request = { .task = loop_placement_task (t),
                                          .checkpoint_worker = RR_WORKER_NONE,
                                          .checkpoint_zone = -1 };
  if (destination < 0 || l->probe_only[destination]
      || !rr_placement_fits (l->placement, destination, &request))
    {
      loop_task_requeue (l, task);
      return;
    }
  rr_batch_queue_charge (l->queue, t->team, &t->reserved);
  loop_task_start (l, task, destination);
}

/* Handles the end of an attempt.  */
static void
task_event (struct loop *l, const struct world_event *e)
{
  struct task *t = &l->world.tasks[e->task];
  struct rr_time now = rr_time_from_ms (l->now);
  uint64_t worker = (uint64_t)t->worker + 1;
  struct rr_estimate_usage usage = { .profile = t->profile,
                                     .cores_milli = t->cores * 1000,
                                     .memory_mb = world_memory_now (t) };
  switch (e->event)
    {
    case TASK_FINISHED:
      usage.work_ms = t->work_ms;
      rr_estimate_usage_add (l->estimate, &usage, now);
      rr_quarantine_attempt_succeeded (l->quarantine, worker, t->id, t->job,
                                       now);
      l->segment->finished++;
      loop_task_detach (l, e->task);
      return;
    case TASK_FAILED:
      rr_quarantine_attempt_failed (l->quarantine, worker, t->id, t->job, now);
      l->segment->lost_core_ms += (t->done_ms - t->checkpoint_ms) * t->cores;
      t->failures++;
      t->avoid = t->worker;
      loop_task_detach (l, e->task);
      if (t->failures < 10)
        loop_task_requeue (l, e->task);
      return;
    case TASK_OVER_MEMORY:
      rr_estimate_usage_add (l->estimate, &usage, now);
      t->least_memory_mb = (int64_t)(usage.memory_mb * 2);
      l->segment->guard_evictions++;
      loop_task_evict (l, e->task, -1, false);
      return;
    }
}

/* Serves the requests that are due in the tick that ends now.  Their schedule
   is a Poisson process of its own generator, the same for every chooser.  */
static void
requests_run (struct loop *l, gsl_rng *schedule, double *next)
{
  const struct deployment *d = l->world.deployment;
  for (int s = 0; s < SERVICES; s++)
    {
      /* Load rises and falls by a third with a period of 5 minutes.  */
      double wave = 1 + sin ((double)l->now / 300000 * 2 * M_PI) / 3;
      l->world.load[s] = wave / (4.0 / 3);
      while (next[s] < (double)l->now)
        {
          bool refused;
          double ms = world_request (&l->world, s, next[s], &refused);
          l->segment->refused[s] += refused;
          metrics_latency (l->segment, s, ms,
                           !refused && ms <= d->deadline_ms[s]);
          next[s] += gsl_ran_exponential (schedule,
                                          1000 / (d->rate_per_s[s] * wave));
        }
    }
}

/* Lets workers fail all they start, from 4 to 8 and from 13 to 17 minutes.  */
static void
workers_fail (struct loop *l)
{
  const struct deployment *d = l->world.deployment;
  if (l->now != 240000 && l->now != 780000)
    return;
  for (int i = 0; i < 2; i++)
    {
      int w
          = (int)gsl_rng_uniform_int (l->world.rng, (unsigned long)d->workers);
      l->world.workers[w].failing_until = l->now + 240000;
      l->failing_starts[w] = 0;
    }
}

/* Passes the verdict of the quarantine about WORKER on to placement.  */
void
loop_quarantine_apply (struct loop *l, int worker)
{
  struct rr_placement_worker w
      = *rr_placement_worker_get (l->placement, worker);
  enum rr_quarantine_verdict v = rr_quarantine_check (
      l->quarantine, (uint64_t)worker + 1, rr_time_from_ms (l->now));
  bool held = v == RR_QUARANTINE_WAIT;
  l->probe_only[worker] = v == RR_QUARANTINE_PROBE;
  if (held == w.quarantined)
    return;
  w.quarantined = held;
  rr_placement_worker_set (l->placement, worker, &w);
  if (!held)
    rr_batch_queue_capacity_changed (l->queue);
}

/* Adds the workers and the service instances, which are spread over racks and
   zones in the same way for every chooser.  */
static void
fleet_init (struct loop *l)
{
  const struct deployment *d = l->world.deployment;
  struct rr_size total = { 0 };
  for (int i = 0; i < d->workers; i++)
    {
      struct rr_placement_worker w
          = { .id = (uint64_t)i + 1,
              .zone = l->world.workers[i].zone,
              .rack = l->world.workers[i].rack,
              .total = { .cores_milli = d->cores * INT64_C (1000),
                         .memory_mb = d->memory_mb,
                         .slots = SLOTS,
                         .connections = 64 },
              .leased = true };
      rr_placement_worker_add (l->placement, &w);
      rr_quarantine_worker_add (l->quarantine, w.id, w.zone);
      rr_size_add (&total, &w.total);
    }
  rr_batch_queue_capacity_set (l->queue, &total);
  for (int s = 0; s < SERVICES; s++)
    {
      l->service_task[s]
          = (struct rr_placement_task){ .kind = RR_WORKLOAD_SERVICE,
                                        .class_number = s + 1,
                                        .group = (uint64_t)s + 1,
                                        .size = { .cores_milli = 1000,
                                                  .memory_mb = 2000,
                                                  .slots = 1,
                                                  .connections = 8 } };
      for (int i = 0; i < d->instances[s]; i++)
        {
          struct rr_placement_request r
              = { .task = l->service_task[s],
                  .checkpoint_worker = RR_WORKER_NONE,
                  .checkpoint_zone = -1 };
          struct rr_placement_selection c;
          if (!rr_placement_select (l->placement, &r, l->rng, &c))
            abort ();
          rr_placement_task_add (l->placement, c.worker, &r.task);
          world_instance_add (&l->world, s, c.worker);
        }
    }
}

/* Returns the workers that are out although they do not fail.  */
static double
healthy_out (struct loop *l)
{
  double n = 0;
  for (int i = 0; i < l->world.deployment->workers; i++)
    if (l->now >= l->world.workers[i].failing_until)
      switch (rr_quarantine_state (l->quarantine, (uint64_t)i + 1,
                                   rr_time_from_ms (l->now)))
        {
        case RR_QUARANTINE_CLEAR:
        case RR_QUARANTINE_SUSPECT:
        case RR_QUARANTINE_CAPPED:
          break;
        case RR_QUARANTINE_ACTIVE:
        case RR_QUARANTINE_EXHAUSTED:
          n += l->world.workers[i].failing_until == 0;
          break;
        }
  return n;
}

/* Counts the slots in use and what throttles take from them.  */
static void
slots_count (struct loop *l)
{
  for (int i = 0; i < l->world.deployment->workers; i++)
    for (int j = 0; j < l->world.workers[i].task_count; j++)
      {
        const struct task *t = &l->world.tasks[l->world.workers[i].tasks[j]];
        l->segment->slot_ms += TICK_MS;
        l->segment->slowed_ms += TICK_MS * (100 - t->percent) / 100.0;
      }
}

/* Runs one tick of batch work.  */
static void
batch_tick (struct loop *l)
{
  struct world_event events[256];
  if (l->options->chooser != CHOOSER_NO_BATCH)
    loop_jobs_arrive (l);
  int n
      = world_tick (&l->world, l->now, events, 256, &l->segment->work_core_ms);
  for (int i = 0; i < n; i++)
    task_event (l, &events[i]);
  slots_count (l);
  loop_reports_deliver (l);
  for (int i = 0; i < l->world.deployment->workers; i++)
    loop_quarantine_apply (l, i);
  loop_dispatch (l);
}

/* Runs one seed of one chooser from a cold start through all segments.  The
   caller releases the histograms in RESULT.  */
void
loop_run (const struct loop_options *options, struct loop_result *result)
{
  const struct deployment *d = options->deployment;
  struct loop l = { .options = options, .result = result };
  memset (result, 0, sizeof *result);
  world_init (&l.world, d, options->seed);
  l.model = rr_interference_new (options->policy);
  l.placement = rr_placement_new (options->policy, l.model);
  l.relief = rr_relief_new (options->policy);
  l.quarantine = rr_quarantine_new (options->policy);
  l.queue = rr_batch_queue_new (options->policy);
  l.estimate = rr_estimate_new (options->policy);
  l.rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng *schedule = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (l.rng, options->seed + 2000);
  gsl_rng_set (schedule, options->seed + 3000);
  l.failing_starts = calloc ((size_t)d->workers, sizeof *l.failing_starts);
  l.next_job = 1;
  fleet_init (&l);
  double next[SERVICES] = { 0 };
  for (int k = 0; k < SEGMENTS; k++)
    {
      l.segment = &result->segment[k];
      metrics_init (l.segment);
      if (k == 2)
        world_table_change (&l.world);
      for (int64_t end = (k + 1) * (int64_t)SEGMENT_MS; l.now < end;)
        {
          l.now += TICK_MS;
          requests_run (&l, schedule, next);
          workers_fail (&l);
          batch_tick (&l);
        }
      l.segment->capacity_core_ms = (double)d->workers * d->cores * SEGMENT_MS;
      result->segment[k].healthy_out = healthy_out (&l);
      struct rr_batch_counts counts;
      rr_batch_queue_count (l.queue, rr_time_from_ms (l.now), &counts);
      l.segment->queued_end = (double)(counts.queued + counts.blocked);
    }
  gsl_rng_free (schedule);
  gsl_rng_free (l.rng);
  free (l.failing_starts);
  rr_estimate_free (l.estimate);
  rr_batch_queue_free (l.queue);
  rr_quarantine_free (l.quarantine);
  rr_relief_free (l.relief);
  rr_placement_free (l.placement);
  rr_interference_free (l.model);
  world_release (&l.world);
}
