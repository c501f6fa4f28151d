#ifndef ROSEMARYENTRYD_SHARD_SELECTION_H
#define ROSEMARYENTRYD_SHARD_SELECTION_H

#include "rosemaryentryd/records.h"
#include "rosemaryrail/dispatch.h"
#include "rosemaryrail/job_graph.h"

/* Selection of a shard for new jobs, and for jobs and tasks that wait for free
   capacity in another shard.  */

/* Returns the shard for the new job G; null when there are no shards.  */
struct shard_record *shard_selection_for_job (struct entry *e,
                                              const struct rr_job_graph *g);

/* What the workers of a shard can run of a job that waits there.  */
enum shard_verdict
{
  SHARD_FITS,  /* a ready step, or no step is ready */
  SHARD_UNFIT, /* no ready step, but those of another shard can */
  SHARDS_UNFIT /* no ready step, nor can those of any other shard */
};

struct shard_record *
shard_selection_for_transfer (struct entry *e, const struct shard_record *from,
                              const struct rr_job_graph *g,
                              const enum rr_step_state *states,
                              bool for_capacity, enum shard_verdict *verdict);
struct shard_record *shard_selection_for_task_transfer (
    struct entry *e, const struct shard_record *from,
    const struct rr_job_graph *g, size_t *tasks_max, bool *certain,
    enum shard_verdict *verdict);
void shard_selection_add_demand (struct shard_record *s,
                                 const struct rr_job_graph *g);
void shard_selection_add_tasks (struct shard_record *s,
                                const struct rr_job_graph *g, size_t count);

#endif
