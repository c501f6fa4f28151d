#ifndef ROSEMARYENTRYD_MEMBERSHIP_RECORD_H
#define ROSEMARYENTRYD_MEMBERSHIP_RECORD_H

#include "rosemaryrail/dispatch.h"

/* The stored record of the workers that may run tasks of a shard.  */
struct membership_record
{
  int64_t ordinal; /* number of owners of the shard before its writer */
  struct rr_recorded_worker *workers;
  size_t worker_count;
};

char *membership_record_encode (const struct membership_record *m,
                                struct rr_time now);
bool membership_record_decode (const char *text, struct rr_time seen,
                               struct membership_record *out,
                               struct rr_error *err);
void membership_record_clear (struct membership_record *m);

#endif
