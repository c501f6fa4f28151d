#ifndef TESTS_DECISIONS_SUITE_H
#define TESTS_DECISIONS_SUITE_H

#include <check.h>
#include <gsl/gsl_rng.h>
#include <stdlib.h>

#include "rosemaryrail/placement.h"

/* Runs the tests of TABLE, COUNT of them, as suite NAME; returns the exit
   status.  */
static inline int
suite_run (const char *name, const TTest *const *table, size_t count)
{
  Suite *s = suite_create (name);
  TCase *t = tcase_create ("core");
  for (size_t i = 0; i < count; i++)
    tcase_add_test (t, table[i]);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* Returns a random generator that gives the same numbers in every run.  */
static inline gsl_rng *
rng_with_seed (unsigned long seed)
{
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (rng, seed);
  return rng;
}

/* Returns a usable worker of CORES cores and 4 GB for each core, with 8 slots
   and 64 connections.  */
static inline struct rr_placement_worker
worker_make (uint64_t id, int zone, int rack, int cores)
{
  return (struct rr_placement_worker){
    .id = id,
    .zone = zone,
    .rack = rack,
    .total = { .cores_milli = cores * INT64_C (1000),
               .memory_mb = cores * INT64_C (4000),
               .slots = 8,
               .connections = 64 },
    .leased = true,
  };
}

/* Returns a task of CORES cores and MEMORY_MB in one slot.  */
static inline struct rr_placement_task
task_make (enum rr_workload_kind kind, int class_number, uint64_t group,
           int cores, int memory_mb)
{
  return (struct rr_placement_task){
    .kind = kind,
    .class_number = class_number,
    .group = group,
    .size = { .cores_milli = cores * INT64_C (1000),
              .memory_mb = memory_mb,
              .slots = 1 },
  };
}

/* Returns a request for TASK without checkpoint or avoided workers.  */
static inline struct rr_placement_request
request_make (struct rr_placement_task task)
{
  return (struct rr_placement_request){ .task = task,
                                        .checkpoint_worker = RR_WORKER_NONE,
                                        .checkpoint_zone = -1 };
}

/* Teaches MODEL N reports from worker WORKER in which SERVICE had LATENCY_MS
   while BATCH held SHARE of the worker, starting at *CLOCK, one per second. */
static inline void
model_add_reports (struct rr_interference *model, uint64_t worker, int service,
                   int batch, double share, double latency_ms, int n,
                   int64_t *clock)
{
  for (int i = 0; i < n; i++)
    {
      struct rr_interference_report r = { .worker = worker,
                                          .service = service,
                                          .window_start = { *clock },
                                          .window_end = { *clock + 1000 },
                                          .requests = 100,
                                          .latency_ms = latency_ms };
      if (batch >= 0)
        r.share[batch] = share;
      *clock += 1000;
      rr_interference_report_add (model, &r, rr_time_from_ms (*clock));
    }
  rr_interference_refresh (model, rr_time_from_ms (*clock));
}

#define SUITE(name, ...)                                                      \
  int main (void)                                                             \
  {                                                                           \
    const TTest *const table[] = { __VA_ARGS__ };                             \
    return suite_run (name, table, sizeof table / sizeof table[0]);           \
  }

#endif
