#ifndef ROSEMARYENTRYD_RETENTION_H
#define ROSEMARYENTRYD_RETENTION_H

#include "rosemaryentryd/records.h"

bool retention_removes (struct records *r, const struct shard_record *s,
                        const struct job_record *j);
bool retention_expired (struct records *r, const struct shard_record *s,
                        const struct job_record *j, int64_t kept_ms,
                        struct rr_time now);

#endif
