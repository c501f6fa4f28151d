#ifndef ROSEMARYENTRYD_SHARD_H
#define ROSEMARYENTRYD_SHARD_H

#include "platform/permits.h"
#include "rosemaryentryd/records.h"

/* A shard that this daemon owns: its dispatcher, the connections to its
   workers and the writing of job progress to the store.  The fencing token is
   the revision of the owner key.  It increases with each owner; workers reject
   commands with a lower token, and every write of the shard to the store is
   conditional on it.  */
struct shard;
struct statistics_list;

struct shard *shard_open (struct entry *e, struct shard_record *record,
                          int64_t fencing_token, bool inherited);
void shard_close (struct shard *s);
const char *shard_name (const struct shard *s);
int64_t shard_fencing_token (const struct shard *s);
void shard_job_update (struct shard *s, const struct job_record *j,
                       bool inherited);
void shard_jobs_confirm (struct shard *s);
void shard_job_remove (struct shard *s, const char *id);
void shard_job_cancel (struct shard *s, const struct job_record *j);
void shard_worker_update (struct shard *s, const struct platform_worker *w);
void shard_worker_unlist (struct shard *s, const struct platform_worker *w);
void shard_queues_update (struct shard *s);
void shard_statistics_merge (struct shard *s,
                             const struct statistics_list *list);
bool shard_permits_wanted (const struct shard *s,
                           struct rr_permit_urgency *urgency);
bool shard_permits_request (struct shard *s,
                            const struct rr_permit_calls *calls,
                            struct rr_permit_request *request);
void shard_permits_answered (struct shard *s, const struct rr_run_name *name,
                             const struct permits_response *r,
                             int64_t valid_ms, struct rr_time issued);
void shard_stop_starting (struct shard *s);
bool shard_released (struct shard *s);

#endif
