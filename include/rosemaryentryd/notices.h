#ifndef ROSEMARYENTRYD_NOTICES_H
#define ROSEMARYENTRYD_NOTICES_H

#include "rosemaryentryd/entry.h"
#include "rosemaryrail/dispatch.h"

enum
{
  NOTICES_MAX = 32,            /* jobs in one call */
  LESSONS_MAX = RR_CLASSES_MAX /* images in one call */
};

/* The stored phase of a job.  */
struct notice
{
  char job[RR_GRAPH_NAME_SIZE];
  enum rr_job_phase phase;
  int64_t revision; /* of the progress that has it */
};

/* What the owner of SHARD has learned of servers and fillers.  */
struct lesson_list
{
  char shard[RR_GRAPH_NAME_SIZE];
  struct rr_dispatch_lesson entries[LESSONS_MAX];
  size_t count;
};

/* Calls between entry daemons: the owner of a shard tells the daemon that
   accepted a job when the job has ended, since callers usually ask there, and
   passes on what it has learned.  A lost call only means that the daemon reads
   the end from the store, or learns for itself.  */
struct notices;

struct daemon_record;

struct notices *notices_open (struct entry *e, struct rr_error *err);
void notices_daemon_seen (struct notices *n, const struct daemon_record *d);
void notices_send (struct notices *n, const char *daemon,
                   const struct notice *list, size_t count);

void notices_send_lessons (struct notices *n, const char *daemon,
                           const struct lesson_list *list);

#endif
