#ifndef ROSEMARYENTRYD_NOTICES_H
#define ROSEMARYENTRYD_NOTICES_H

#include "rosemaryentryd/entry.h"
#include "rosemaryrail/progress.h"

enum
{
  NOTICES_MAX = 32 /* jobs in one call */
};

/* The stored phase of a job.  */
struct notice
{
  char job[RR_GRAPH_NAME_SIZE];
  enum rr_job_phase phase;
  int64_t revision; /* of the progress that has it */
};

/* Calls between entry daemons: the owner of a shard tells the daemon that
   accepted a job when the job has ended, since callers usually ask there.
   A lost call only means that the daemon learns it from the store.  */
struct notices;

struct notices *notices_open (struct entry *e, struct rr_error *err);
void notices_send (struct notices *n, const char *daemon,
                   const struct notice *list, size_t count);

#endif
