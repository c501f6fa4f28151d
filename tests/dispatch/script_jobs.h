#ifndef TESTS_DISPATCH_SCRIPT_JOBS_H
#define TESTS_DISPATCH_SCRIPT_JOBS_H

#include "rosemaryrail/dispatch.h"

enum
{
  JOBS_MAX = 64,
  QUEUES_MAX = 8
};

/* A job as it is stored.  */
struct fake_job
{
  char id[RR_JOB_NAME_SIZE];
  char *graph;
  char *progress; /* null: none stored */
  bool cancelled;
};

extern struct fake_job jobs[JOBS_MAX];
extern size_t job_count;
extern struct rr_queue_policy queues[QUEUES_MAX];
extern size_t queue_count;
extern char job_spec[64]; /* of the next jobs */

void job_add (char **word, size_t words);
void job_share (char **word, size_t words);
void job_restore_share (const char *id);
void job_set_base (const char *id, uint64_t base);

#endif
