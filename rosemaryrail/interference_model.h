#ifndef ROSEMARYRAIL_INTERFERENCE_MODEL_H
#define ROSEMARYRAIL_INTERFERENCE_MODEL_H

/* Internal to the interference module: a Bayesian linear regression for each
   service class.  Log latency = intercept + load term + sum over batch classes
   of effect * share.  The statistics are sums, so they are decayed by
   multiplication and those of several daemons are added up.  */

#include "rosemaryrail/id_map.h"
#include "rosemaryrail/interference.h"

#define RR_TERM_INTERCEPT 0
#define RR_TERM_LOAD 1
#define RR_TERM_CLASSES 2
#define RR_TERMS (RR_CLASSES_MAX + RR_TERM_CLASSES)

/* Size of the lower triangle of the moment matrix of all terms and the log
   latency.  */
#define RR_MOMENTS ((RR_TERMS + 1) * (RR_TERMS + 2) / 2)

struct rr_class_names
{
  int count;
  char *name[RR_CLASSES_MAX];
  uint64_t hash[RR_CLASSES_MAX];
};

struct rr_service_moments
{
  struct rr_time at; /* time to which the weights refer */
  double m[RR_MOMENTS];
  double reports[RR_CLASSES_MAX]; /* decayed number that contained the class */
  double residual_z2; /* moving mean of squared standardized residuals */
  struct rr_time changed_at; /* last detected change of the workloads */
};

struct rr_service_solution
{
  double coefficient[RR_TERMS];
  double covariance[RR_TERMS][RR_TERMS];
  double upper_bound[RR_CLASSES_MAX];
  double samples[RR_CLASSES_MAX];
  bool uncertain[RR_CLASSES_MAX];
  double base_ms;
  double noise_sd; /* standard deviation of one report's log latency */
};

struct rr_peer_moments
{
  uint64_t origin;
  int service;
  struct rr_time at;       /* of the export, on the origin's clock */
  struct rr_time received; /* on this daemon's clock */
  double m[RR_MOMENTS];
  double reports[RR_CLASSES_MAX];
};

struct rr_interference
{
  const struct rr_policy *policy;
  struct rr_class_names classes[2]; /* by enum rr_workload_kind */
  /* Statistics of the reports that this daemon received.  */
  struct rr_service_moments local_moments[RR_CLASSES_MAX];
  struct rr_service_solution solution[RR_CLASSES_MAX];
  bool dirty[RR_CLASSES_MAX]; /* SOLUTION is older than the moments */
  struct rr_peer_moments **peers;
  size_t peer_count;
  struct rr_id_map worker_reports; /* worker -> number of reports */
  struct rr_id_map window_ends;    /* worker and service -> end of the last
                                      window, in ms */
};

/* Returns the index of row I, column J (J <= I) in a packed triangle.  */
static inline size_t
rr_moment_index (int i, int j)
{
  return (size_t)i * (size_t)(i + 1) / 2 + (size_t)j;
}

int rr_interference_class_by_hash (struct rr_interference *model,
                                   enum rr_workload_kind kind, uint64_t hash);
void rr_interference_solve (struct rr_interference *model, int s);

#endif
