#ifndef ROSEMARYRAIL_INTERFERENCE_MODEL_H
#define ROSEMARYRAIL_INTERFERENCE_MODEL_H

/* Internal to the interference module: a Bayesian linear regression for each
   service class.  Log latency = intercept + load term + sum over batch classes
   of effect * share.  The statistics are sums, so that decay is a factor and
   the statistics of several daemons are added.  */

#include "rosemaryrail/id_map.h"
#include "rosemaryrail/interference.h"

#define RR_TERM_INTERCEPT 0
#define RR_TERM_LOAD 1
#define RR_TERM_CLASSES 2
#define RR_TERMS (RR_CLASSES_MAX + RR_TERM_CLASSES)

/* Lower triangle of the moments of all terms and the log latency.  */
#define RR_MOMENTS ((RR_TERMS + 1) * (RR_TERMS + 2) / 2)

struct rr_class_names
{
  int count;
  char *name[RR_CLASSES_MAX];
  uint64_t hash[RR_CLASSES_MAX];
};

struct rr_service_moments
{
  struct rr_time at;
  double m[RR_MOMENTS];
  double reports[RR_CLASSES_MAX];
  double surprise; /* moving mean of squared standardized residuals */
  struct rr_time changed_at;
};

struct rr_service_solution
{
  double coefficient[RR_TERMS];
  double covariance[RR_TERMS][RR_TERMS];
  double cost[RR_CLASSES_MAX];
  double samples[RR_CLASSES_MAX];
  bool uncertain[RR_CLASSES_MAX];
  double base_ms;
  double noise_sd; /* scatter of one report's log latency */
};

struct rr_peer_moments
{
  uint64_t origin;
  int service;
  struct rr_time at;       /* of the export, origin's clock */
  struct rr_time received; /* own clock */
  double m[RR_MOMENTS];
  double reports[RR_CLASSES_MAX];
};

struct rr_interference
{
  const struct rr_policy *policy;
  struct rr_class_names classes[2]; /* by enum rr_workload_kind */
  struct rr_service_moments own[RR_CLASSES_MAX];
  struct rr_service_solution solution[RR_CLASSES_MAX];
  bool dirty[RR_CLASSES_MAX];
  struct rr_peer_moments **peers;
  size_t peer_count;
  struct rr_id_map worker_reports; /* worker: reports seen */
  struct rr_id_map window_ends;    /* worker and service: end of last window */
};

/* Returns the place of row I, column J (J <= I) in a packed triangle.  */
static inline size_t
rr_moment_index (int i, int j)
{
  return (size_t)i * (size_t)(i + 1) / 2 + (size_t)j;
}

int rr_interference_class_by_hash (struct rr_interference *model,
                                   enum rr_workload_kind kind, uint64_t hash);
void rr_interference_solve (struct rr_interference *model, int s);

#endif
