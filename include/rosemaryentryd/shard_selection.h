#ifndef ROSEMARYENTRYD_SHARD_SELECTION_H
#define ROSEMARYENTRYD_SHARD_SELECTION_H

#include "rosemaryentryd/records.h"
#include "rosemaryrail/job_graph.h"

/* Selection of a shard for new jobs, and for jobs and tasks that wait for free
   capacity in another shard.  */

/* Returns the shard for the new job G; null when there are no shards.  */
struct shard_record *shard_selection_for_job (struct entry *e,
                                              const struct rr_job_graph *g);
struct shard_record *
shard_selection_for_transfer (struct entry *e, const struct shard_record *from,
                              const struct rr_job_graph *g);
struct shard_record *shard_selection_for_task_transfer (
    struct entry *e, const struct shard_record *from,
    const struct rr_job_graph *g, size_t *tasks_max);
void shard_selection_add_demand (struct shard_record *s,
                                 const struct rr_job_graph *g);

#endif
