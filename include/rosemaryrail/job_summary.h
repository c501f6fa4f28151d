#ifndef ROSEMARYRAIL_JOB_SUMMARY_H
#define ROSEMARYRAIL_JOB_SUMMARY_H

#include "rosemaryrail/job_graph.h"
#include "rosemaryrail/progress.h"

/* What is kept of a job that has ended, in place of its job graph: enough to
   answer queries and to reject a repeated submission.  */
struct rr_job_summary
{
  char id[RR_JOB_NAME_SIZE];
  char queue[RR_JOB_NAME_SIZE];
  char shard[RR_JOB_NAME_SIZE];
  int64_t accepted_ms; /* since 1970 */
  enum rr_job_phase phase;
};

char *rr_job_summary_encode (const struct rr_job_summary *s);
bool rr_job_summary_decode (const char *text, size_t length,
                            struct rr_job_summary *s);

#endif
