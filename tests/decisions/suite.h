#ifndef TESTS_DECISIONS_SUITE_H
#define TESTS_DECISIONS_SUITE_H

#include <gsl/gsl_rng.h>

#include "../check_suite.h"
#include "rosemaryrail/placement.h"

/* Returns a random number generator with a fixed SEED, so that every run of a
   test gets the same numbers.  */
static inline gsl_rng *
rng_with_seed (unsigned long seed)
{
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (rng, seed);
  return rng;
}

/* Returns a worker that accepts tasks, with CORES cores, 4 GB for each core, 8
   slots and 64 connections.  */
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

/* Returns a task that needs CORES cores, MEMORY_MB and one slot.  */
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

/* Adds N reports from WORKER to MODEL in which SERVICE had LATENCY_MS while
   BATCH used SHARE of the worker (BATCH -1: no batch work).  The windows are
   one second long and begin at *CLOCK, which is advanced to their end.  Then
   the estimates are refreshed.  */
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

#endif
