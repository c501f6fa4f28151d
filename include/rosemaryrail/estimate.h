#ifndef ROSEMARYRAIL_ESTIMATE_H
#define ROSEMARYRAIL_ESTIMATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rosemaryrail/clock.h"
#include "rosemaryrail/policy.h"
#include "rosemaryrail/size.h"

/* Learned sizes and run times by profile.  A profile groups tasks that are
   expected to behave alike, for instance hash(team, job class).  */
struct rr_estimate;

/* Usage of one task over a finished attempt, or so far.  */
struct rr_estimate_usage
{
  uint64_t profile;
  double cores_milli; /* mean over the attempt */
  double memory_mb;   /* peak */
  double work_ms;     /* run time; 0 when not finished */
};

struct rr_estimate_size
{
  struct rr_size size; /* what to reserve */
  double work_ms;      /* expected run time */
  double samples;      /* decayed number of finished tasks */
  bool corrected;      /* differs from the declared values */
};

/* What to do about a running task that uses more than was reserved.  */
enum rr_estimate_overuse
{
  RR_OVERUSE_NONE,
  RR_OVERUSE_GROW, /* reserve SIZE instead */
  RR_OVERUSE_MOVE  /* the worker can't hold SIZE: move or stop the task */
};

struct rr_estimate *rr_estimate_new (const struct rr_policy *policy);
void rr_estimate_free (struct rr_estimate *e);
void rr_estimate_usage_add (struct rr_estimate *e,
                            const struct rr_estimate_usage *usage,
                            struct rr_time now);
void rr_estimate_get (const struct rr_estimate *e, uint64_t profile,
                      const struct rr_size *declared, double declared_work_ms,
                      struct rr_time now, struct rr_estimate_size *out);
enum rr_estimate_overuse
rr_estimate_overuse (const struct rr_estimate *e,
                     const struct rr_size *reserved,
                     const struct rr_size *declared, double used_cores_milli,
                     double used_memory_mb, const struct rr_size *worker_free,
                     struct rr_size *size);
size_t rr_estimate_expire (struct rr_estimate *e, struct rr_time now);

#endif
