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

/* Reduces interference on workers where services miss their latency target, by
   throttling, moving or stopping batch tasks.  Holds the state of all workers
   of one ledger owner.  */
struct rr_relief;

enum rr_relief_action
{
  RR_RELIEF_NONE,
  RR_RELIEF_THROTTLE,   /* limit the task to PERCENT of its cores */
  RR_RELIEF_UNTHROTTLE, /* raise the limit of the task to PERCENT */
  RR_RELIEF_MOVE,       /* checkpoint the task, end it and start it on
                           DESTINATION */
  RR_RELIEF_STOP        /* end the task and queue it again; the work since its
                           last checkpoint is lost */
};

/* Why the action is RR_RELIEF_NONE, or RR_RELIEF_ACTION_DECIDED.  */
enum rr_relief_reason
{
  RR_RELIEF_ACTION_DECIDED,
  RR_RELIEF_NOT_OVERLOADED,
  RR_RELIEF_STALE_REPORT,   /* window began before the last action took
                               effect */
  RR_RELIEF_FEW_REQUESTS,   /* too few requests for a reliable mean latency */
  RR_RELIEF_UNCONFIRMED,    /* overloaded in too few consecutive reports */
  RR_RELIEF_NO_CANDIDATE,   /* no batch task explains the high latency */
  RR_RELIEF_NO_BUDGET,      /* the eviction budgets are exhausted */
  RR_RELIEF_NO_DESTINATION, /* no other worker is expected to be better */
  RR_RELIEF_REASON_COUNT
};

/* A batch task on the worker for which an action is decided.  */
struct rr_relief_task
{
  uint64_t task;
  uint64_t job;
  uint64_t team;
  struct rr_placement_task placement;
  int64_t running_ms;          /* since the start of the attempt */
  int64_t total_ms;            /* run time of all attempts together */
  int64_t since_checkpoint_ms; /* work lost when the task is stopped */
  int64_t checkpoint_cost_ms;  /* work lost when the task is checkpointed and
                                  moved */
  bool can_checkpoint;
  int percent;          /* current throttle limit, 100 when not throttled */
  int64_t throttled_ms; /* since PERCENT fell below 100; 0 when unknown */
  int evictions;        /* of this task so far, by relief or because it used
                           more than was reserved */
};

/* A service on the worker for which an action is decided, with the values of
   the worker's report.  */
struct rr_relief_service
{
  int service;
  int64_t requests;
  double latency_ms; /* mean execution time in the window */
  double target_ms;  /* target of LATENCY_MS; 0 selects the estimated latency
                        without batch work */
};

/* State of a worker when a report arrives.  The window and WORKER_NOW are on
   the worker's clock.  WORKER_NOW is the caller's estimate of that clock at
   the time of the decision and must not be too early: the report's now_ms plus
   the time since the report was requested.  NOW is on the caller's own clock;
   it is used for the eviction budgets, which span workers.  */
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
  size_t task_index;    /* index into the tasks of the view */
  int percent;          /* new limit, for RR_RELIEF_(UN)THROTTLE */
  int destination;      /* worker, for RR_RELIEF_MOVE */
  double latency_ratio; /* largest latency / target of the services */
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
