#ifndef ROSEMARYENTRYD_MEMBERSHIP_RECORD_H
#define ROSEMARYENTRYD_MEMBERSHIP_RECORD_H

#include "rosemaryrail/dispatch.h"

/* The stored record of the workers that may run tasks of a shard, and of the
   run numbers of its writer.  */
struct membership_record
{
  /* Blocks of run numbers: those of the writer, which former owners have not
     used, and which no later owner uses.  */
  int64_t first_block;
  int64_t last_block;
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
