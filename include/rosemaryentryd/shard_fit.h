#ifndef ROSEMARYENTRYD_SHARD_FIT_H
#define ROSEMARYENTRYD_SHARD_FIT_H

#include "rosemaryentryd/records.h"
#include "rosemaryrail/dispatch.h"
#include "rosemaryrail/job_graph.h"

/* What the registered workers of each shard can run of a job when nothing else
   runs on them.  Draining workers count as absent.  */

/* The workers of one shard that belong to the service of the job.  */
struct shard_fit
{
  int64_t capacity_milli;
  int64_t unfit_milli; /* of workers that can't run the job's first step */
  bool has_rack;       /* a worker is in the rack of the job's data */
};

struct shard_fits
{
  struct shard_fit shards[SHARDS_MAX];
  size_t shard_count;
  size_t step_count;
  /* By shard and step: the tasks that its workers can run at a time, counted
     no further than is needed for the step to run at all.  */
  int32_t *room;
  int32_t *room_needed; /* by step */
};

bool shard_fit_any_ready (struct entry *e, const struct shard_record *shard,
                          const struct rr_job_graph *g,
                          const enum rr_step_state *states);
void shard_fits_init (struct shard_fits *f, struct entry *e,
                      const struct rr_job_graph *g);
void shard_fits_clear (struct shard_fits *f);
bool shard_fits_step (const struct shard_fits *f, size_t shard, size_t step);
size_t shard_fits_count (const struct shard_fits *f, size_t shard,
                         const enum rr_step_state *states,
                         enum rr_step_state least);
bool shard_fits_includes (const struct shard_fits *f, size_t shard,
                          size_t other, const enum rr_step_state *states);
const char *shard_fit_missing (struct entry *e, const struct rr_job_graph *g,
                               size_t step);

#endif
