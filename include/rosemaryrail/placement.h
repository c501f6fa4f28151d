#ifndef ROSEMARYRAIL_PLACEMENT_H
#define ROSEMARYRAIL_PLACEMENT_H

#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rosemaryrail/clock.h"
#include "rosemaryrail/error.h"
#include "rosemaryrail/interference.h"
#include "rosemaryrail/policy.h"
#include "rosemaryrail/size.h"

#define RR_WORKER_NONE (-1)

/* Index of the workers whose ledgers this daemon owns.  It is a copy used for
   searching: whether a task is admitted is decided by the ledger.  */
struct rr_placement;

struct rr_placement_worker
{
  uint64_t id; /* stable id of the VM, including its incarnation */
  int zone;    /* small number assigned by the caller */
  int rack;    /* small number assigned by the caller, unique over all zones */
  struct rr_size total;
  bool leased;  /* the daemon holds the controller lease */
  bool leaving; /* draining or in the leaving set */
  bool quarantined;
};

/* The properties of a task that matter for placement.  Tasks with the same
   GROUP are spread over workers, racks and zones: GROUP is the job of a batch
   task or the service of a service task.  */
struct rr_placement_task
{
  enum rr_workload_kind kind;
  int class_number; /* from rr_interference_class with KIND */
  uint64_t group;
  struct rr_size size; /* SIZE.slots is 1 for a task */
};

struct rr_placement_request
{
  struct rr_placement_task task;
  int checkpoint_worker; /* RR_WORKER_NONE when there is no checkpoint */
  int checkpoint_zone;   /* -1 when unknown */
  const int *avoid;      /* workers that must not run this task */
  size_t avoid_count;
  bool urgent; /* the task may use the headroom reserved for services, and the
                  limit on the expected slowdown does not apply */
  int64_t waited_ms; /* since the task was queued; raises the slowdown limit */
};

/* Constraints on a worker, in the order in which they are checked.  A rejected
   worker is counted under the first constraint that it violates.  */
enum rr_placement_filter
{
  RR_FILTER_LEASE,
  RR_FILTER_LEAVING,
  RR_FILTER_QUARANTINE,
  RR_FILTER_AVOIDED,
  RR_FILTER_CORES,
  RR_FILTER_MEMORY,
  RR_FILTER_ACCELERATORS,
  RR_FILTER_SLOTS,
  RR_FILTER_CONNECTIONS,
  RR_FILTER_INTERFERENCE,
  RR_FILTER_COUNT
};

struct rr_placement_selection
{
  int worker;      /* RR_WORKER_NONE when no worker fits */
  double score;    /* lower is better */
  double slowdown; /* upper bound of the log slowdown, summed over the affected
                      services */
  bool exploring;  /* selected by the expected effect instead of its upper
                      bound, to collect reports about an uncertain pair */
};

struct rr_placement_explanation
{
  size_t workers;
  size_t fitting;
  size_t rejected[RR_FILTER_COUNT];
  bool never;       /* no known worker is large enough, even when empty */
  int never_filter; /* when NEVER: the constraint that most workers violate,
                       otherwise -1 */
};

struct rr_placement *rr_placement_new (const struct rr_policy *policy,
                                       const struct rr_interference *model);
void rr_placement_free (struct rr_placement *p);

int rr_placement_worker_add (struct rr_placement *p,
                             const struct rr_placement_worker *worker);
void rr_placement_worker_set (struct rr_placement *p, int worker,
                              const struct rr_placement_worker *state);
void rr_placement_worker_remove (struct rr_placement *p, int worker);
const struct rr_placement_worker *
rr_placement_worker_get (const struct rr_placement *p, int worker);
void rr_placement_worker_free_size (const struct rr_placement *p, int worker,
                                    struct rr_size *out);
void rr_placement_worker_observe (struct rr_placement *p, int worker,
                                  const struct rr_size *used);

void rr_placement_task_add (struct rr_placement *p, int worker,
                            const struct rr_placement_task *task);
void rr_placement_task_remove (struct rr_placement *p, int worker,
                               const struct rr_placement_task *task);

bool rr_placement_fits (const struct rr_placement *p, int worker,
                        const struct rr_placement_request *request);
bool rr_placement_select (const struct rr_placement *p,
                          const struct rr_placement_request *request,
                          gsl_rng *rng, struct rr_placement_selection *out);
double rr_placement_slowdown (const struct rr_placement *p, int worker,
                              const struct rr_placement_task *task);
void rr_placement_explain (const struct rr_placement *p,
                           const struct rr_placement_request *request,
                           struct rr_placement_explanation *out);
bool rr_placement_never_fits (const struct rr_placement *p,
                              const struct rr_size *size, int *filter);
const char *rr_placement_filter_name (enum rr_placement_filter filter);

#endif
