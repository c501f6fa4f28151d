#ifndef BENCH_LOOP_H
#define BENCH_LOOP_H

#include "metrics.h"
#include "rosemaryrail/batch_queue.h"
#include "rosemaryrail/estimate.h"
#include "rosemaryrail/placement.h"
#include "rosemaryrail/quarantine.h"
#include "rosemaryrail/relief.h"

/* What chooses workers and relieves hot ones.  Queue, estimates, guards,
   quarantine, service instances and request admission are the same for
   all.  */
enum chooser
{
  CHOOSER_POLICY,
  CHOOSER_FIRST_FIT,
  CHOOSER_LEAST_LOADED,
  CHOOSER_TWO_CHOICES,
  CHOOSER_NO_BATCH, /* the services alone */
  CHOOSERS
};

struct loop_options
{
  const struct deployment *deployment;
  const struct rr_policy *policy;
  enum chooser chooser;
  unsigned seed;
};

struct loop_result
{
  struct metrics segment[SEGMENTS];
  int task_evictions_max; /* evictions of the task with the most of them */
  int failing_worker_starts_max;
  int over_capacity; /* workers ever found with more reserved than they have */
};

/* State of one run; internal to the loop_*.c files.  */
struct loop
{
  const struct loop_options *options;
  struct world world;
  struct metrics *segment;
  struct loop_result *result;
  struct rr_interference *model;
  struct rr_placement *placement;
  struct rr_relief *relief;
  struct rr_quarantine *quarantine;
  struct rr_batch_queue *queue;
  struct rr_estimate *estimate;
  gsl_rng *rng;
  int64_t now;
  int hot_reports[256]; /* of the reactive relief */
  int64_t last_eviction[256];
  bool probe_only[256]; /* workers that take nothing but probes */
  int *failing_starts;  /* by worker, during its failing time */
  uint64_t next_job;
  double next_job_at;
  struct rr_placement_task service_task[SERVICES];
};

const char *chooser_name (enum chooser chooser);
void loop_run (const struct loop_options *options, struct loop_result *result);

void loop_quarantine_apply (struct loop *l, int worker);
void loop_jobs_arrive (struct loop *l);
void loop_dispatch (struct loop *l);
void loop_reports_deliver (struct loop *l);
struct rr_placement_task loop_placement_task (const struct task *t);
bool loop_choose (struct loop *l, const struct task *t,
                  const struct rr_placement_request *request, int *worker);
void loop_task_start (struct loop *l, int task, int worker);
void loop_task_detach (struct loop *l, int task);
void loop_task_evict (struct loop *l, int task, int destination,
                      bool checkpoint);
void loop_task_requeue (struct loop *l, int task);

#endif
