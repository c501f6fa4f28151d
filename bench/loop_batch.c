#include <gsl/gsl_randist.h>
#include <math.h>

#include "loop.h"

/* Mean run time of a task and the share of its slots that batch work is
   offered: 80% of what the services leave.  */
#define TASK_MEDIAN_MS 120000.0
#define TASK_SIGMA 0.8
#define LONG_SHARE 0.05
#define LONG_MS 1800000.0
#define OFFERED 0.8
#define TASKS_PER_JOB 10

/* Every 5 minutes, a wave of tasks of one noisy class arrives.  */
#define WAVE_EVERY_MS 300000
#define WAVE_TASKS 40

/* Starts per tick that the control plane makes: 55 per second.  */
#define STARTS_PER_TICK 6

/* Adds a job of CLASS with TASKS tasks.  The real sizes of a profile (team and
   class) differ from the declared ones by a factor that is the same for all
   its tasks and unknown to the scheduler.  */
static void
job_add (struct loop *l, int class_number, int tasks, bool urgent, bool bad)
{
  struct world *w = &l->world;
  gsl_rng *r = w->rng;
  uint64_t team = gsl_rng_uniform_int (r, TEAMS) + 1;
  uint64_t profile = team * CLASSES + (uint64_t)class_number;
  gsl_rng *of_profile = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (of_profile, profile * 7919 + l->options->seed);
  double cores_factor
      = fmin (1.5, gsl_ran_lognormal (of_profile, log (0.7), 0.5));
  double memory_factor
      = fmin (2, gsl_ran_lognormal (of_profile, log (0.6), 0.6));
  double time_factor = gsl_ran_lognormal (of_profile, 0, 0.7);
  gsl_rng_free (of_profile);
  int cores = w->deployment->task_cores[gsl_rng_uniform_int (r, 4)];
  struct rr_batch_job job = { .job = l->next_job++,
                              .team = team,
                              .size = { .cores_milli = cores * INT64_C (1000),
                                        .memory_mb = cores * INT64_C (2500),
                                        .slots = 1 },
                              .urgent = urgent,
                              .submitted = rr_time_from_ms (l->now) };
  rr_batch_queue_job_add (l->queue, &job, NULL);
  for (int i = 0; i < tasks; i++)
    {
      int n = world_task_new (w);
      struct task *t = &w->tasks[n];
      t->id = (uint64_t)n + 1;
      t->job = job.job;
      t->team = team;
      t->profile = profile * 16 + (uint64_t)cores;
      t->class_number = class_number;
      t->declared = job.size;
      t->cores = cores * cores_factor * gsl_ran_lognormal (r, 0, 0.1);
      t->memory_mb = (double)job.size.memory_mb * memory_factor
                     * gsl_ran_lognormal (r, 0, 0.1);
      t->work_ms
          = gsl_rng_uniform (r) < LONG_SHARE
                ? LONG_MS
                : gsl_ran_lognormal (r, log (TASK_MEDIAN_MS), TASK_SIGMA);
      t->declared_ms = t->work_ms * time_factor;
      t->can_checkpoint = gsl_rng_uniform (r) < 0.8;
      t->bad = bad;
      t->queued_at = l->now;
      rr_batch_queue_task_add (l->queue, job.job, (uint64_t)n, NULL);
    }
}

/* Returns the class with the largest hidden effect on the quick checks.  */
static int
noisiest (const struct world *w)
{
  int worst = 0;
  for (int b = 1; b < CLASSES; b++)
    if (w->table[0][b] > w->table[0][worst])
      worst = b;
  return worst;
}

/* Submits the jobs that are due.  */
void
loop_jobs_arrive (struct loop *l)
{
  const struct deployment *d = l->world.deployment;
  gsl_rng *r = l->world.rng;
  double mean_ms
      = (1 - LONG_SHARE) * TASK_MEDIAN_MS * exp (TASK_SIGMA * TASK_SIGMA / 2)
        + LONG_SHARE * LONG_MS;
  double slots = d->workers * SLOTS - d->instances[0] - d->instances[1];
  double every_ms = mean_ms * TASKS_PER_JOB / (OFFERED * slots);
  while (l->next_job_at <= (double)l->now)
    {
      l->next_job_at += gsl_ran_exponential (r, every_ms);
      job_add (l, (int)gsl_rng_uniform_int (r, CLASSES),
               1 + (int)gsl_rng_uniform_int (r, 2 * TASKS_PER_JOB - 1),
               gsl_rng_uniform (r) < 0.1, false);
    }
  if (l->now % WAVE_EVERY_MS == 0)
    {
      job_add (l, noisiest (&l->world), WAVE_TASKS, false, false);
      job_add (l, (int)gsl_rng_uniform_int (r, CLASSES), 5, false, true);
    }
}

/* Sets what is to be reserved for T, by the estimates and what is known from
   its own stops.  */
static void
reserve_set (struct loop *l, struct task *t)
{
  struct rr_estimate_size e;
  rr_estimate_get (l->estimate, t->profile, &t->declared, t->declared_ms,
                   rr_time_from_ms (l->now), &e);
  t->reserved = e.size;
  if (t->reserved.memory_mb < t->least_memory_mb)
    t->reserved.memory_mb = t->least_memory_mb;
}

/* Fills AVOID with the workers that T may not be placed on and returns their
   number: the one it left last, and those that only take probes unless T's job
   is fit for one.  */
static size_t
avoid_fill (struct loop *l, const struct task *t, int *avoid)
{
  size_t n = 0;
  bool proven = rr_quarantine_job_succeeded_recently (
      l->quarantine, t->job, rr_time_from_ms (l->now));
  if (t->avoid >= 0)
    avoid[n++] = t->avoid;
  for (int i = 0; !proven && i < l->world.deployment->workers; i++)
    if (l->probe_only[i])
      avoid[n++] = i;
  return n;
}

/* Starts what can be started in this tick.  */
void
loop_dispatch (struct loop *l)
{
  struct rr_time now = rr_time_from_ms (l->now);
  struct rr_batch_pick pick;
  for (int starts = 0; starts < STARTS_PER_TICK;)
    {
      int avoid[257];
      if (!rr_batch_queue_next (l->queue, now, &pick))
        return;
      struct task *t = &l->world.tasks[pick.task];
      reserve_set (l, t);
      struct rr_placement_request request
          = { .task = loop_placement_task (t),
              .checkpoint_worker = RR_WORKER_NONE,
              .checkpoint_zone = -1,
              .avoid = avoid,
              .avoid_count = avoid_fill (l, t, avoid),
              .urgent = pick.urgent,
              .waited_ms = l->now - t->queued_at };
      int worker;
      if (!loop_choose (l, t, &request, &worker))
        {
          rr_batch_queue_job_blocked (l->queue, &pick, RR_BATCH_BLOCK_CAPACITY,
                                      now);
          continue;
        }
      pick.size = t->reserved;
      rr_batch_queue_task_started (l->queue, &pick);
      if (pick.urgent && t->first_start == 0)
        {
          l->segment->urgent++;
          l->segment->urgent_late
              += l->now - t->queued_at
                 > l->options->policy->queue_urgent_start_ms;
        }
      loop_task_start (l, (int)pick.task, worker);
      starts++;
      /* One task of a job that is at fault, then a pause.  */
      if (rr_quarantine_job_suspect (l->quarantine, pick.job, now))
        rr_batch_queue_job_blocked (l->queue, &pick, RR_BATCH_BLOCK_BACKOFF,
                                    now);
    }
}
