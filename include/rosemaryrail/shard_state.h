#ifndef ROSEMARYRAIL_SHARD_STATE_H
#define ROSEMARYRAIL_SHARD_STATE_H

#include "rosemaryrail/job.h"
#include "rosemaryrail/request_log.h"
#include "rosemaryrail/shard.h"

enum
{
  /* Values are stored base64-encoded and the platform accepts 1 MB, so 900 KB
     of stored text leave this many bytes.  */
  RR_SNAPSHOT_MAX = 900000 / 4 * 3
};

/* Everything a shard knows, as folded from its records.  */
struct rr_shard_state
{
  struct rr_job_store *jobs;
  struct rr_request_log *requests;
  uint64_t sequence; /* of the last folded entry */
  uint64_t epoch;    /* sequence of the last ownership record; 0: none */
  char owner[RR_NAME_MAX + 1];
  uint64_t owner_incarnation;
  bool released; /* the owner handed the shard over */
  char successor[RR_NAME_MAX + 1];
};

uint32_t rr_shard_for_key (const char *key);
struct rr_shard_state *rr_shard_state_new (void);
void rr_shard_state_free (struct rr_shard_state *s);
bool rr_shard_state_apply (struct rr_shard_state *s, uint64_t sequence,
                           const struct rr_record *r, struct rr_time now,
                           struct rr_error *err);
size_t rr_shard_state_size (const struct rr_shard_state *s);
bool rr_shard_state_encode (const struct rr_shard_state *s, uint8_t **data,
                            size_t *length, struct rr_error *err);
struct rr_shard_state *rr_shard_state_decode (const uint8_t *data,
                                              size_t length,
                                              struct rr_error *err);

#endif
