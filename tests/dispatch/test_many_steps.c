#include <stdio.h>
#include <time.h>

#include "../check_suite.h"
#include "rosemaryrail/dispatch.h"

enum
{
  STEPS = 13000,      /* of one task each: what a body of 256 KB can have */
  ROUND_MAX_MS = 100, /* the interval between planning rounds */
  ROUNDS = 5
};

static void
ignore_command (void *data, const struct rr_command *command)
{
  (void)data;
  (void)command;
}

static double
cpu_ms (void)
{
  struct timespec t;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

static struct rr_job_graph *
many_steps (void)
{
  struct rr_job_graph *g = rr_job_graph_new (STEPS);
  snprintf (g->id, sizeof g->id, "5c0e7a21d94b36f8");
  snprintf (g->queue, sizeof g->queue, "q");
  snprintf (g->service, sizeof g->service, "desk");
  for (size_t i = 0; i < STEPS; i++)
    {
      g->steps[i].task_count = 1;
      g->steps[i].cores_milli = 1000;
      g->steps[i].estimate_ms = 1000;
    }
  return g;
}

/* Guards against one job of many steps that keeps its owner busy for longer
   than the interval between planning rounds, so that nothing else of the shard
   runs.  Processor time counts, and the best of several rounds.  */
START_TEST (round_with_many_steps)
{
  struct rr_time now = { 1000000 };
  struct rr_dispatch_options o = { .lease_ms = 4500,
                                   .lease_max_ms = 10000,
                                   .registration_age_max_ms = 1400,
                                   .remote_factor = 3,
                                   .send_command = ignore_command };
  struct rr_dispatch *d = rr_dispatch_new (&o);
  rr_dispatch_runs_reserve (d, 17);
  struct rr_worker_info info = { .id = "w1",
                                 .service = "desk",
                                 .cores_milli = 4000,
                                 .memory_mb = 8000,
                                 .started_ms = 1 };
  struct rr_handle w = rr_dispatch_worker_set (d, &info, now);
  struct rr_recorded_worker recorded = { .id = "w1" };
  rr_dispatch_worker_mark_recorded (d, &recorded, 1);
  rr_dispatch_job_add (d, many_steps (), NULL, false, now);
  double best = 1e9;
  for (int i = 0; i < ROUNDS; i++)
    {
      now = rr_time_add (now, ROUND_MAX_MS);
      struct rr_worker_report report = {
        .started_ms = 1, .clock_ms = now.ms, .sent = now, .received = now
      };
      rr_dispatch_report_apply (d, w, &report, now);
      rr_dispatch_registrations_set_time (d, now, now);
      double before = cpu_ms ();
      rr_dispatch_plan (d, now, rr_time_add (now, 7000), INT32_MAX, now);
      double round = cpu_ms () - before;
      best = round < best ? round : best;
    }
  rr_dispatch_free (d);
  ck_assert_double_lt (best, ROUND_MAX_MS);
}
END_TEST

SUITE ("many steps", round_with_many_steps)
