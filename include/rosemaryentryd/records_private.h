#ifndef ROSEMARYENTRYD_RECORDS_PRIVATE_H
#define ROSEMARYENTRYD_RECORDS_PRIVATE_H

#include "rosemaryentryd/records.h"

/* A registered worker.  */
struct worker_record
{
  struct platform_worker worker; /* first: pointers to it are converted */
  const struct shard_record *shard;
  uint64_t digest; /* of its registration, without what heartbeats change */
};

enum
{
  UNUSABLE_DIGESTS = 4096
};

struct records
{
  struct entry *entry;
  struct rr_table *jobs;
  struct rr_key_index *job_index;
  struct rr_table *daemons;
  struct rr_key_index *daemon_index;
  struct rr_table *workers;
  struct rr_key_index *worker_index;
  /* Digests of the last entries that name no worker, by a hash of their keys:
     each is logged once.  */
  uint64_t unusable_digests[UNUSABLE_DIGESTS];
  struct shard_record shards[SHARDS_MAX];
  size_t shard_count;
};

void records_job_item (struct records *r, const char *id,
                       const struct store_item *item);
void records_cancel_item (struct records *r, const char *id,
                          const struct store_item *item);

#endif
