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

/* Index over the workers whose ledgers one daemon owns.  It mirrors the
   ledgers: the ledger stays the authority for every admission.  */
struct rr_placement;

struct rr_placement_worker
{
  uint64_t id; /* stable id of the VM and its incarnation */
  int zone;    /* small numbers, chosen by the caller */
  int rack;    /* unique over all zones */
  struct rr_size total;
  bool leased;  /* the controller lease is held */
  bool leaving; /* draining or in the leaving set */
  bool quarantined;
};

/* A task as far as placement is concerned.  GROUP identifies the tasks to be
   spread: the job of a batch task, the service of a service task.  */
struct rr_placement_task
{
  enum rr_workload_kind kind;
  int class_number; /* from rr_interference_class, of KIND */
  uint64_t group;
  struct rr_size size; /* SIZE.slots is 1 for a task */
};

struct rr_placement_request
{
  struct rr_placement_task task;
  int checkpoint_worker; /* RR_WORKER_NONE when there is no checkpoint */
  int checkpoint_zone;   /* -1 when unknown */
  const int *avoid;      /* workers this task must not be placed on */
  size_t avoid_count;
  bool urgent; /* headroom kept for services may be used, and the limit of
                  the expected slowdown does not hold */
  int64_t waited_ms; /* since the task was queued; raises that limit */
};

/* Hard constraints, in the order they are checked; a worker is counted under
   the first one it breaks.  */
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
  int worker;      /* RR_WORKER_NONE when nothing fits */
  double score;    /* lower is better */
  double slowdown; /* expected, cautious, summed over the services concerned */
  bool exploring;  /* accepted although the pair is uncertain */
};

struct rr_placement_explanation
{
  size_t workers;
  size_t fitting;
  size_t rejected[RR_FILTER_COUNT];
  bool never;       /* no known worker is large enough, even when empty */
  int never_filter; /* the constraint that no worker meets, or -1 */
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
