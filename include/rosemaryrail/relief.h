#ifndef ROSEMARYRAIL_RELIEF_H
#define ROSEMARYRAIL_RELIEF_H

#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rosemaryrail/clock.h"
#include "rosemaryrail/interference.h"
#include "rosemaryrail/placement.h"
#include "rosemaryrail/policy.h"

/* Relief of the workers of one ledger owner.  */
struct rr_relief;

enum rr_relief_action
{
  RR_RELIEF_NONE,
  RR_RELIEF_THROTTLE,   /* run TASK at PERCENT of its cores */
  RR_RELIEF_UNTHROTTLE, /* raise TASK to PERCENT again */
  RR_RELIEF_MOVE,       /* checkpoint TASK, end it, start it on DESTINATION */
  RR_RELIEF_STOP        /* end TASK and queue it; the work since its last
                           checkpoint is lost */
};

/* Why RR_RELIEF_NONE was decided; counted by the daemon.  */
enum rr_relief_reason
{
  RR_RELIEF_ACTION_DECIDED,
  RR_RELIEF_NOT_OVERLOADED,
  RR_RELIEF_STALE_REPORT,   /* window began before the last action took hold */
  RR_RELIEF_FEW_REQUESTS,   /* too few requests to judge */
  RR_RELIEF_UNCONFIRMED,    /* hot, but not for enough reports in a row */
  RR_RELIEF_NO_CANDIDATE,   /* no batch task explains the heat */
  RR_RELIEF_NO_BUDGET,      /* eviction budgets are used up */
  RR_RELIEF_NO_DESTINATION, /* no destination is expected to be better */
  RR_RELIEF_REASON_COUNT
};

/* A batch task on the worker in question.  */
struct rr_relief_task
{
  uint64_t task;
  uint64_t job;
  uint64_t team;
  struct rr_placement_task placement;
  int64_t running_ms;          /* since the start of the attempt */
  int64_t total_ms;            /* over all attempts */
  int64_t since_checkpoint_ms; /* work lost by a stop */
  int64_t checkpoint_cost_ms;  /* work lost by a checkpoint and move */
  bool can_checkpoint;
  int percent;          /* current throttle, 100 when none */
  int64_t throttled_ms; /* since PERCENT fell below 100; 0 when unknown */
  int evictions;        /* of this task so far, by relief or for its size */
};

/* A service on the worker in question; times are those of the report.  */
struct rr_relief_service
{
  int service;
  int64_t requests;
  double latency_ms; /* mean execution time in the window */
  double target_ms;  /* what it should be; 0: learned base latency */
};

/* State of a worker at a report.  The window and WORKER_NOW are on the
   worker's clock.  WORKER_NOW is the caller's estimate of that clock at the
   moment of the decision, never too early: the report's now_ms plus the time
   since the report was asked for.  NOW is the caller's own clock, for the
   eviction budgets, which span workers.  */
struct rr_relief_view
{
  int worker;
  struct rr_time window_start;
  struct rr_time window_end;
  struct rr_time worker_now;
  struct rr_time now;
  const struct rr_relief_service *services;
  size_t service_count;
  const struct rr_relief_task *tasks;
  size_t task_count;
};

struct rr_relief_decision
{
  enum rr_relief_action action;
  enum rr_relief_reason reason;
  size_t task_index; /* into the view's tasks */
  int percent;
  int destination;      /* worker for RR_RELIEF_MOVE */
  double latency_ratio; /* worst latency / target over the services */
};

struct rr_relief *rr_relief_new (const struct rr_policy *policy);
void rr_relief_free (struct rr_relief *relief);
void rr_relief_decide (struct rr_relief *relief,
                       const struct rr_relief_view *view,
                       const struct rr_placement *placement,
                       const struct rr_interference *model, gsl_rng *rng,
                       struct rr_relief_decision *out);
void rr_relief_worker_reset (struct rr_relief *relief, int worker);
bool rr_relief_budget_allows (struct rr_relief *relief, uint64_t job,
                              uint64_t team, struct rr_time now);
void rr_relief_budget_charge (struct rr_relief *relief, uint64_t job,
                              uint64_t team, struct rr_time now);

#endif
