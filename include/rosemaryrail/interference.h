#ifndef ROSEMARYRAIL_INTERFERENCE_H
#define ROSEMARYRAIL_INTERFERENCE_H

#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rosemaryrail/clock.h"
#include "rosemaryrail/policy.h"

/* Largest number of service classes and of batch classes, class 0 included.
   This limits the moment matrix of a service class to 35 x 35 values.  */
#define RR_CLASSES_MAX 32

/* Class shared by all names that arrive after the class numbers ran out.  */
#define RR_CLASS_OTHER 0

enum rr_workload_kind
{
  RR_WORKLOAD_BATCH,
  RR_WORKLOAD_SERVICE
};

/* Model of how much each batch class increases the latency of each service
   class that runs on the same worker.  */
struct rr_interference;

/* One service class in a worker's usage report.  The window is measured on the
   worker's clock.  SHARE holds for each batch class the cores that its tasks
   used on the worker, averaged over the window and divided by the worker's
   cores.  */
struct rr_interference_report
{
  uint64_t worker; /* stable id of the worker, including its incarnation */
  int service;     /* service class */
  struct rr_time window_start;
  struct rr_time window_end;
  int64_t requests;    /* finished in the window */
  double latency_ms;   /* mean execution time of these requests */
  double service_load; /* cores used by services / cores of the worker */
  double share[RR_CLASSES_MAX];
};

/* Estimated effect of one batch class on one service class: the increase of
   the natural logarithm of the service's latency when the batch class uses all
   cores of the worker.  */
struct rr_interference_estimate
{
  double mean;
  double sd;      /* standard deviation of MEAN */
  double bound;   /* upper bound: mean + interference.caution * sd */
  double samples; /* decayed number of reports that contained the pair */
};

/* Statistics of one service class as sent to peers: the packed lower triangle
   of a moment matrix whose rows are the intercept, the service load, the batch
   classes and the log latency.  Classes are identified by the hash of their
   name, because class numbers are local to a daemon.  */
struct rr_interference_export
{
  uint64_t origin;   /* incarnation of the daemon that received the reports */
  uint64_t service;  /* hash of the service class name */
  struct rr_time at; /* time of the export on the origin's clock; a later
                        export replaces an earlier one */
  int classes;       /* number of batch classes in use */
  uint64_t batch[RR_CLASSES_MAX]; /* hashes of the batch class names */
  float reports[RR_CLASSES_MAX];  /* decayed number of reports that contained
                                     the class */
  /* (classes + 3) * (classes + 4) / 2 values in use.  */
  float moments[(RR_CLASSES_MAX + 3) * (RR_CLASSES_MAX + 4) / 2];
};

struct rr_interference *rr_interference_new (const struct rr_policy *policy);
void rr_interference_free (struct rr_interference *model);

int rr_interference_class (struct rr_interference *model,
                           enum rr_workload_kind kind, const char *name);
int rr_interference_class_count (const struct rr_interference *model,
                                 enum rr_workload_kind kind);
const char *rr_interference_class_name (const struct rr_interference *model,
                                        enum rr_workload_kind kind,
                                        int number);

bool rr_interference_report_add (struct rr_interference *model,
                                 const struct rr_interference_report *report,
                                 struct rr_time now);
void rr_interference_refresh (struct rr_interference *model,
                              struct rr_time now);

void rr_interference_estimate (const struct rr_interference *model,
                               int service, int batch,
                               struct rr_interference_estimate *out);
double rr_interference_upper_bound (const struct rr_interference *model,
                                    int service, int batch);
double rr_interference_mean (const struct rr_interference *model, int service,
                             int batch);
bool rr_interference_uncertain (const struct rr_interference *model,
                                int service, int batch);
double rr_interference_base_ms (const struct rr_interference *model,
                                int service);

bool rr_interference_export (const struct rr_interference *model, int service,
                             uint64_t origin, struct rr_time now,
                             struct rr_interference_export *out);
bool rr_interference_merge (struct rr_interference *model,
                            const struct rr_interference_export *in,
                            struct rr_time now);
void rr_interference_worker_remove (struct rr_interference *model,
                                    uint64_t worker);

#endif
