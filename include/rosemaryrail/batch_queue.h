#ifndef ROSEMARYRAIL_BATCH_QUEUE_H
#define ROSEMARYRAIL_BATCH_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rosemaryrail/clock.h"
#include "rosemaryrail/error.h"
#include "rosemaryrail/policy.h"
#include "rosemaryrail/size.h"

/* Queue of the batch tasks of one scheduler.  A job stays known, without
   queued tasks, until rr_batch_queue_job_cancel, so that tasks can return.  */
struct rr_batch_queue;

/* Quota of a team: WEIGHT sets its share of the capacity under contention,
   LIMIT what it may hold at most (a field of 0: unlimited).  */
struct rr_batch_team
{
  uint64_t team;
  double weight;
  struct rr_size limit;
};

/* A job whose tasks all have the same size.  */
struct rr_batch_job
{
  uint64_t job;
  uint64_t team;
  struct rr_size size; /* of one task, as estimated */
  bool urgent;
  struct rr_time submitted;
};

/* The task to be started next.  */
struct rr_batch_pick
{
  uint64_t job;
  uint64_t team;
  uint64_t task;
  struct rr_size size;
  bool urgent;
  struct rr_time submitted;
};

enum rr_batch_block_reason
{
  RR_BATCH_BLOCK_CAPACITY,     /* no worker can hold it now */
  RR_BATCH_BLOCK_BACKOFF,      /* it failed and is retried later */
  RR_BATCH_BLOCK_UNSCHEDULABLE /* no known worker could ever hold it */
};

struct rr_batch_counts
{
  size_t queued;          /* tasks that may be picked */
  size_t blocked;         /* tasks of jobs set aside */
  size_t never;           /* tasks of jobs that no known worker can hold */
  size_t running;         /* tasks charged to their teams */
  int64_t urgent_wait_ms; /* wait of the oldest queued urgent task */
};

struct rr_batch_queue *rr_batch_queue_new (const struct rr_policy *policy);
void rr_batch_queue_free (struct rr_batch_queue *q);
void rr_batch_queue_capacity_set (struct rr_batch_queue *q,
                                  const struct rr_size *total);
void rr_batch_queue_team_set (struct rr_batch_queue *q,
                              const struct rr_batch_team *team);

bool rr_batch_queue_job_add (struct rr_batch_queue *q,
                             const struct rr_batch_job *job,
                             struct rr_error *err);
bool rr_batch_queue_job_resize (struct rr_batch_queue *q, uint64_t job,
                                const struct rr_size *size);
bool rr_batch_queue_task_add (struct rr_batch_queue *q, uint64_t job,
                              uint64_t task, struct rr_error *err);
bool rr_batch_queue_task_return (struct rr_batch_queue *q, uint64_t job,
                                 uint64_t task, struct rr_error *err);
size_t rr_batch_queue_job_cancel (struct rr_batch_queue *q, uint64_t job);
bool rr_batch_queue_task_cancel (struct rr_batch_queue *q, uint64_t job,
                                 uint64_t task);

bool rr_batch_queue_next (struct rr_batch_queue *q, struct rr_time now,
                          struct rr_batch_pick *out);
void rr_batch_queue_task_started (struct rr_batch_queue *q,
                                  const struct rr_batch_pick *pick);
void rr_batch_queue_job_blocked (struct rr_batch_queue *q,
                                 const struct rr_batch_pick *pick,
                                 enum rr_batch_block_reason why,
                                 struct rr_time now);
void rr_batch_queue_charge (struct rr_batch_queue *q, uint64_t team,
                            const struct rr_size *size);
void rr_batch_queue_task_ended (struct rr_batch_queue *q, uint64_t team,
                                const struct rr_size *size);
void rr_batch_queue_capacity_changed (struct rr_batch_queue *q);
double rr_batch_queue_team_share (const struct rr_batch_queue *q,
                                  uint64_t team);
void rr_batch_queue_count (const struct rr_batch_queue *q, struct rr_time now,
                           struct rr_batch_counts *out);

#endif
