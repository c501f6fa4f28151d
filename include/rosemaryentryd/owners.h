#ifndef ROSEMARYENTRYD_OWNERS_H
#define ROSEMARYENTRYD_OWNERS_H

#include "rosemaryentryd/records.h"

/* The shards that this daemon owns.  Claims shards that have no owner.  */
struct owners;
struct shard;
struct statistics_list;

struct owners *owners_open (struct entry *e);
void owners_caches_opened (struct owners *o);
void owners_partitioned (struct owners *o);
void owners_job_update (struct owners *o, struct job_record *j);
void owners_job_remove (struct owners *o, const struct job_record *j);
void owners_job_cancel (struct owners *o, struct job_record *j);
void owners_shard_owner_update (struct owners *o, struct shard_record *s);
void owners_worker_update (struct owners *o, const struct platform_worker *w);
void owners_worker_unlist (struct owners *o, const struct platform_worker *w);
void owners_queues_update (struct owners *o);
void owners_statistics_merge (struct owners *o,
                              const struct statistics_list *list);
const char *owners_successor (const struct owners *o,
                              const struct shard_record *s);
void owners_lease_lost (struct owners *o);
void owners_shard_lost (struct owners *o, struct shard *s, const char *why);
void owners_release (struct owners *o);
bool owners_released (const struct owners *o);
struct shard *owners_permits_next (const struct owners *o);
size_t owners_shard_count (const struct owners *o);
bool owners_serves (const struct owners *o, const struct shard_record *s);

#endif
