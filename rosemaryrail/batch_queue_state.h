#ifndef ROSEMARYRAIL_BATCH_QUEUE_STATE_H
#define ROSEMARYRAIL_BATCH_QUEUE_STATE_H

/* Internal to the batch queue.  Jobs and tasks live in arrays and are linked
   by position; position 0 is unused and means "none".  */

#include "rosemaryrail/batch_queue.h"
#include "rosemaryrail/id_map.h"

enum rr_job_list
{
  RR_JOB_IDLE,          /* no queued task; on no list */
  RR_JOB_URGENT,        /* ready, urgent */
  RR_JOB_READY,         /* ready, not urgent */
  RR_JOB_OVER_LIMIT,    /* the team's limit is reached */
  RR_JOB_BLOCKED,       /* no room now, or backing off */
  RR_JOB_UNSCHEDULABLE, /* too large for every known worker */
  RR_JOB_LISTS
};

struct rr_queue_task
{
  uint64_t id;
  uint32_t next;
  uint32_t previous;
};

struct rr_queue_job
{
  struct rr_batch_job job;
  uint32_t team;
  enum rr_job_list list;
  uint32_t next;
  uint32_t previous;
  uint32_t first_task;
  uint32_t last_task;
  size_t tasks;
  enum rr_batch_block_reason why; /* on RR_JOB_BLOCKED */
  int64_t delay_ms;               /* last delay, doubled each time */
  uint32_t stamp;                 /* matches the valid timer of the job */
};

struct rr_queue_team
{
  struct rr_batch_team team;
  struct rr_size used;
  uint32_t first[RR_JOB_LISTS];
  uint32_t last[RR_JOB_LISTS];
};

/* Entry of the binary heap of jobs to try again; stale when STAMP differs
   from the job's.  */
struct rr_queue_timer
{
  struct rr_time at;
  uint32_t job;
  uint32_t stamp;
};

struct rr_batch_queue
{
  const struct rr_policy *policy;
  struct rr_size total;
  struct rr_id_map team_index;
  struct rr_id_map job_index;
  struct rr_id_map task_index; /* (job, task): position */
  struct rr_queue_team *teams;
  size_t team_count;
  size_t team_capacity;
  struct rr_queue_job *jobs;
  size_t job_count;
  size_t job_capacity;
  uint32_t free_job;
  struct rr_queue_task *tasks;
  size_t task_count;
  size_t task_capacity;
  uint32_t free_task;
  struct rr_queue_timer *timers;
  size_t timer_count;
  size_t timer_capacity;
  size_t list_tasks[RR_JOB_LISTS]; /* queued tasks by the list of their job */
  size_t running;
};

void *rr_queue_grow (void *array, size_t *capacity, size_t needed,
                     size_t size);
uint32_t rr_queue_team_get (struct rr_batch_queue *q, uint64_t team);
void rr_queue_job_move (struct rr_batch_queue *q, uint32_t job,
                        enum rr_job_list list);
void rr_queue_timer_add (struct rr_batch_queue *q, struct rr_time at,
                         uint32_t job);
void rr_queue_timers_run (struct rr_batch_queue *q, struct rr_time now);

/* Returns the list of a job that may be picked.  */
static inline enum rr_job_list
rr_queue_ready_list (const struct rr_queue_job *j)
{
  return j->tasks == 0   ? RR_JOB_IDLE
         : j->job.urgent ? RR_JOB_URGENT
                         : RR_JOB_READY;
}

#endif
