#include "cost.h"

#include <gsl/gsl_rng.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "rosemaryrail/batch_queue.h"
#include "rosemaryrail/estimate.h"
#include "rosemaryrail/placement.h"
#include "rosemaryrail/quarantine.h"
#include "rosemaryrail/relief.h"

/* The design size: 11,100 running tasks on 670 workers, 150 teams, 4,000 jobs
   a day; smaller fleets keep the ratio.  */
#define DESIGN_WORKERS 670
#define DESIGN_TASKS 11100
#define TEAMS 150
#define JOBS 4000
#define CLASSES 20
#define SERVICE_CLASSES 8

struct bench
{
  struct rr_policy policy;
  struct rr_interference *model;
  struct rr_placement *placement;
  struct rr_relief *relief;
  struct rr_quarantine *quarantine;
  struct rr_batch_queue *queue;
  struct rr_estimate *estimate;
  gsl_rng *rng;
  int workers;
  int64_t now;
  struct rr_relief_task relief_tasks[64];
};

/* One decision to be measured; I is the number of the iteration.  */
struct decision
{
  const char *name;
  void (*run) (struct bench *b, int i);
};

static struct rr_placement_task
random_task (struct bench *b, enum rr_workload_kind kind)
{
  int classes = kind == RR_WORKLOAD_SERVICE ? SERVICE_CLASSES : CLASSES;
  return (struct rr_placement_task){
    .kind = kind,
    .class_number
    = 1 + (int)gsl_rng_uniform_int (b->rng, (unsigned long)classes),
    .group = gsl_rng_uniform_int (b->rng, JOBS),
    .size = { .cores_milli = 250 + (int64_t)gsl_rng_uniform_int (b->rng, 1500),
              .memory_mb = 500 + (int64_t)gsl_rng_uniform_int (b->rng, 4000),
              .slots = 1 },
  };
}

static struct rr_placement_request
random_request (struct bench *b, enum rr_workload_kind kind)
{
  return (struct rr_placement_request){ .task = random_task (b, kind),
                                        .checkpoint_worker = RR_WORKER_NONE,
                                        .checkpoint_zone = -1 };
}

static struct rr_interference_report
random_report (struct bench *b)
{
  struct rr_interference_report r
      = { .worker
          = 1 + gsl_rng_uniform_int (b->rng, (unsigned long)b->workers),
          .service = 1 + (int)gsl_rng_uniform_int (b->rng, SERVICE_CLASSES),
          .window_start = { b->now },
          .window_end = { b->now + 1000 },
          .requests = 50,
          .latency_ms = 10 + gsl_rng_uniform (b->rng) };
  for (int i = 0; i < 6; i++)
    r.share[1 + gsl_rng_uniform_int (b->rng, CLASSES)] = 0.1;
  for (int c = 1; c <= 4; c++) /* the noisy classes */
    r.latency_ms *= exp (2 * r.share[c]);
  return r;
}

static void
run_place_batch (struct bench *b, int i)
{
  (void)i;
  struct rr_placement_request r = random_request (b, RR_WORKLOAD_BATCH);
  struct rr_placement_selection c;
  rr_placement_select (b->placement, &r, b->rng, &c);
}

static void
run_place_service (struct bench *b, int i)
{
  (void)i;
  struct rr_placement_request r = random_request (b, RR_WORKLOAD_SERVICE);
  struct rr_placement_selection c;
  rr_placement_select (b->placement, &r, b->rng, &c);
}

static void
run_place_nowhere (struct bench *b, int i)
{
  (void)i;
  struct rr_placement_request r = random_request (b, RR_WORKLOAD_BATCH);
  r.task.size.memory_mb = 1000000;
  struct rr_placement_selection c;
  rr_placement_select (b->placement, &r, b->rng, &c);
}

static void
run_task_update (struct bench *b, int i)
{
  struct rr_placement_task t = random_task (b, RR_WORKLOAD_BATCH);
  rr_placement_task_add (b->placement, i % b->workers, &t);
  rr_placement_task_remove (b->placement, i % b->workers, &t);
}

static void
run_explain (struct bench *b, int i)
{
  (void)i;
  struct rr_placement_request r = random_request (b, RR_WORKLOAD_BATCH);
  struct rr_placement_explanation e;
  rr_placement_explain (b->placement, &r, &e);
}

static void
run_learn (struct bench *b, int i)
{
  (void)i;
  b->now += 1000;
  struct rr_interference_report r = random_report (b);
  rr_interference_report_add (b->model, &r, rr_time_from_ms (b->now));
}

static void
run_refresh (struct bench *b, int i)
{
  (void)i;
  b->now += 1000;
  struct rr_interference_report r = random_report (b);
  rr_interference_report_add (b->model, &r, rr_time_from_ms (b->now));
  rr_interference_refresh (b->model, rr_time_from_ms (b->now));
}

static void
run_relief (struct bench *b, int i)
{
  if (i % b->workers == 0)
    b->now += 4000;
  /* Fresh jobs and teams, so that budgets do not end the search early.  */
  for (int k = 0; k < 8; k++)
    {
      b->relief_tasks[k].job = (uint64_t)i * 8 + (uint64_t)k;
      b->relief_tasks[k].team = (uint64_t)i;
    }
  struct rr_relief_service s
      = { .service = 1, .requests = 100, .latency_ms = 40, .target_ms = 10 };
  struct rr_relief_view view = { .worker = i % b->workers,
                                 .window_start = { b->now },
                                 .window_end = { b->now + 1000 },
                                 .worker_now = { b->now + 1000 },
                                 .now = { b->now },
                                 .services = &s,
                                 .service_count = 1,
                                 .tasks = b->relief_tasks,
                                 .task_count = 8 };
  struct rr_relief_decision out;
  rr_relief_decide (b->relief, &view, b->placement, b->model, b->rng, &out);
}

static void
run_quarantine_check (struct bench *b, int i)
{
  rr_quarantine_check (b->quarantine, (uint64_t)(i % b->workers) + 1,
                       rr_time_from_ms (b->now));
}

/* A job that fails everywhere makes the evidence of many workers depend on
   each other.  */
static void
run_quarantine_bad_job (struct bench *b, int i)
{
  uint64_t w = (uint64_t)(i % b->workers) + 1;
  b->now += 10;
  rr_quarantine_attempt_started (b->quarantine, w, (uint64_t)i, 7,
                                 rr_time_from_ms (b->now));
  rr_quarantine_attempt_failed (b->quarantine, w, (uint64_t)i, 7,
                                rr_time_from_ms (b->now));
  rr_quarantine_check (b->quarantine, w, rr_time_from_ms (b->now));
}

static void
run_quarantine_end (struct bench *b, int i)
{
  uint64_t w = (uint64_t)(i % b->workers) + 1;
  uint64_t job = (uint64_t)(i % JOBS) + 1;
  struct rr_time now = rr_time_from_ms (b->now);
  rr_quarantine_attempt_started (b->quarantine, w, (uint64_t)i + 1, job, now);
  if (i % 20 == 0)
    rr_quarantine_attempt_failed (b->quarantine, w, (uint64_t)i + 1, job, now);
  else
    rr_quarantine_attempt_succeeded (b->quarantine, w, (uint64_t)i + 1, job,
                                     now);
}

static void
run_queue (struct bench *b, int i)
{
  (void)i;
  struct rr_batch_pick pick;
  if (!rr_batch_queue_next (b->queue, rr_time_from_ms (b->now), &pick))
    return;
  rr_batch_queue_task_started (b->queue, &pick);
  rr_batch_queue_task_ended (b->queue, pick.team, &pick.size);
  rr_batch_queue_task_add (b->queue, pick.job, pick.task, NULL);
}

static void
run_queue_blocked (struct bench *b, int i)
{
  (void)i;
  struct rr_batch_pick pick;
  b->now += 1;
  if (rr_batch_queue_next (b->queue, rr_time_from_ms (b->now), &pick))
    rr_batch_queue_job_blocked (b->queue, &pick, RR_BATCH_BLOCK_CAPACITY,
                                rr_time_from_ms (b->now));
  rr_batch_queue_capacity_changed (b->queue);
}

/* Queues 5,000 tasks of a job and cancels them at once; only the cancellation
   is measured.  */
static void
run_cancel (struct bench *b, int i)
{
  (void)i;
  rr_batch_queue_job_cancel (b->queue, 999999);
}

static void
cancel_prepare (struct bench *b)
{
  struct rr_batch_job j = { .job = 999999, .team = 1, .size = { .slots = 1 } };
  rr_batch_queue_job_add (b->queue, &j, NULL);
  for (uint64_t t = 0; t < 5000; t++)
    rr_batch_queue_task_add (b->queue, 999999, t, NULL);
}

static void
run_estimate (struct bench *b, int i)
{
  struct rr_estimate_usage u = { .profile = (uint64_t)(i % 600),
                                 .cores_milli = 500,
                                 .memory_mb = 1000,
                                 .work_ms = 60000 };
  struct rr_size declared = { .cores_milli = 1000, .memory_mb = 4000 };
  struct rr_estimate_size out;
  rr_estimate_usage_add (b->estimate, &u, rr_time_from_ms (b->now));
  rr_estimate_get (b->estimate, u.profile, &declared, 60000,
                   rr_time_from_ms (b->now), &out);
}

/* Everything the decision modules do for one start and its end.  */
static void
run_whole_start (struct bench *b, int i)
{
  struct rr_batch_pick pick;
  struct rr_placement_selection c;
  struct rr_time now = rr_time_from_ms (b->now);
  if (!rr_batch_queue_next (b->queue, now, &pick))
    return;
  run_estimate (b, i);
  struct rr_placement_request r = random_request (b, RR_WORKLOAD_BATCH);
  if (rr_placement_select (b->placement, &r, b->rng, &c))
    {
      rr_placement_task_add (b->placement, c.worker, &r.task);
      rr_placement_task_remove (b->placement, c.worker, &r.task);
    }
  rr_batch_queue_task_started (b->queue, &pick);
  run_quarantine_end (b, i);
  run_quarantine_check (b, i);
  rr_batch_queue_task_ended (b->queue, pick.team, &pick.size);
  rr_batch_queue_capacity_changed (b->queue);
  rr_batch_queue_task_add (b->queue, pick.job, pick.task, NULL);
}

static void
bench_init (struct bench *b, int workers, unsigned seed)
{
  memset (b, 0, sizeof *b);
  rr_policy_init (&b->policy);
  b->model = rr_interference_new (&b->policy);
  b->placement = rr_placement_new (&b->policy, b->model);
  b->relief = rr_relief_new (&b->policy);
  b->quarantine = rr_quarantine_new (&b->policy);
  b->queue = rr_batch_queue_new (&b->policy);
  b->estimate = rr_estimate_new (&b->policy);
  b->rng = gsl_rng_alloc (gsl_rng_mt19937);
  b->workers = workers;
  b->now = 1;
  gsl_rng_set (b->rng, seed);
  struct rr_size total = { 0 };
  for (int i = 0; i < workers; i++)
    {
      struct rr_placement_worker w = { .id = (uint64_t)i + 1,
                                       .zone = i / 84,
                                       .rack = i / 8,
                                       .total = { .cores_milli = 32000,
                                                  .memory_mb = 125000,
                                                  .slots = 32,
                                                  .connections = 64 },
                                       .leased = true };
      rr_placement_worker_add (b->placement, &w);
      rr_quarantine_worker_add (b->quarantine, w.id, w.zone);
      rr_size_add (&total, &w.total);
    }
  rr_batch_queue_capacity_set (b->queue, &total);
  for (int i = 0; i < 5000; i++)
    run_learn (b, i);
  rr_interference_refresh (b->model, rr_time_from_ms (b->now));
  for (int i = 0; i < DESIGN_TASKS * workers / DESIGN_WORKERS; i++)
    {
      struct rr_placement_request r = random_request (
          b, i % 11 < 4 ? RR_WORKLOAD_SERVICE : RR_WORKLOAD_BATCH);
      struct rr_placement_selection c;
      r.urgent = true;
      if (rr_placement_select (b->placement, &r, b->rng, &c))
        rr_placement_task_add (b->placement, c.worker, &r.task);
    }
  for (uint64_t j = 1; j <= JOBS; j++)
    {
      struct rr_batch_job job
          = { .job = j,
              .team = j % TEAMS,
              .size = { .cores_milli = 1000, .memory_mb = 4000, .slots = 1 },
              .urgent = j % 50 == 0,
              .submitted = { (int64_t)j } };
      rr_batch_queue_job_add (b->queue, &job, NULL);
      rr_batch_queue_task_add (b->queue, j, 1, NULL);
    }
  for (int i = 0; i < 8; i++)
    b->relief_tasks[i] = (struct rr_relief_task){ .task = (uint64_t)i + 1,
                                                  .job = (uint64_t)i + 1,
                                                  .team = 1,
                                                  .placement = random_task (
                                                      b, RR_WORKLOAD_BATCH),
                                                  .can_checkpoint = true,
                                                  .percent = 25 };
  for (int i = 0; i < 8; i++)
    {
      b->relief_tasks[i].placement.class_number = 1 + i % 4;
      b->relief_tasks[i].placement.size.cores_milli = 4000;
    }
}

static void
bench_release (struct bench *b)
{
  rr_estimate_free (b->estimate);
  rr_batch_queue_free (b->queue);
  rr_quarantine_free (b->quarantine);
  rr_relief_free (b->relief);
  rr_placement_free (b->placement);
  rr_interference_free (b->model);
  gsl_rng_free (b->rng);
}

static double
now_us (void)
{
  struct timespec t;
  clock_gettime (CLOCK_MONOTONIC, &t);
  return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

/* Measures the cost of every decision at four fleet sizes with ITERATIONS
   calls each; writes a table to OUT and, unless null, rows to CSV.  */
void
cost_run (FILE *out, FILE *csv, unsigned seed, int iterations)
{
  static const int sizes[] = { 50, 65, 200, 670 };
  static const struct decision decisions[] = {
    { "whole start", run_whole_start },
    { "place batch", run_place_batch },
    { "place service", run_place_service },
    { "place, nothing fits", run_place_nowhere },
    { "task add and remove", run_task_update },
    { "explain", run_explain },
    { "learn a report", run_learn },
    { "learn and refresh", run_refresh },
    { "relief", run_relief },
    { "quarantine check", run_quarantine_check },
    { "quarantine start and end", run_quarantine_end },
    { "quarantine, bad job", run_quarantine_bad_job },
    { "queue pick and start", run_queue },
    { "queue pick and set aside", run_queue_blocked },
    { "cancel 5000 tasks", run_cancel },
    { "estimate", run_estimate },
  };
  double *us = calloc ((size_t)iterations, sizeof *us);
  if (us == NULL)
    abort ();
  fprintf (out, "%-26s %8s %10s %10s %10s\n", "decision (us)", "workers",
           "p50", "p99", "mean");
  if (csv != NULL)
    fprintf (csv, "decision,workers,iterations,p50_us,p99_us,max_us\n");
  for (size_t d = 0; d < sizeof decisions / sizeof decisions[0]; d++)
    for (size_t s = 0; s < sizeof sizes / sizeof sizes[0]; s++)
      {
        struct bench b;
        bench_init (&b, sizes[s], seed);
        bool cancels = decisions[d].run == run_cancel;
        int n = cancels && iterations > 200 ? 200 : iterations;
        for (int i = 0; i < n; i++)
          {
            if (cancels)
              cancel_prepare (&b);
            double start = now_us ();
            decisions[d].run (&b, i);
            us[i] = now_us () - start;
          }
        gsl_sort (us, 1, (size_t)n);
        double p50
            = gsl_stats_quantile_from_sorted_data (us, 1, (size_t)n, 0.5);
        double p99
            = gsl_stats_quantile_from_sorted_data (us, 1, (size_t)n, 0.99);
        fprintf (out, "%-26s %8d %10.2f %10.2f %10.2f\n", decisions[d].name,
                 sizes[s], p50, p99, gsl_stats_mean (us, 1, (size_t)n));
        if (csv != NULL)
          fprintf (csv, "%s,%d,%d,%.3f,%.3f,%.3f\n", decisions[d].name,
                   sizes[s], n, p50, p99, us[n - 1]);
        bench_release (&b);
      }
  free (us);
}
