#ifndef ROSEMARYRAIL_JOB_H
#define ROSEMARYRAIL_JOB_H

#include "rosemaryrail/attempt.h"
#include "rosemaryrail/table.h"

enum
{
  RR_HISTORY_MAX = 12, /* events kept per job; the oldest are dropped */
  RR_EVENT_TEXT_MAX = 32
};

enum rr_job_state
{
  RR_JOB_OPEN = 0,
  RR_JOB_SUCCEEDED,
  RR_JOB_FAILED, /* at least one task failed for good */
  RR_JOB_CANCELLED
};

/* One line of a job's history, for "explain".  */
struct rr_job_event
{
  int64_t at_ms; /* wall clock */
  enum rr_record_kind kind;
  uint32_t task;
  uint32_t attempt;
  enum rr_attempt_result result;
  enum rr_end_proof proof;
  char text[RR_EVENT_TEXT_MAX + 1]; /* start of worker name or reason */
};

struct rr_job
{
  struct rr_record_job_submitted spec;
  enum rr_job_state state;
  bool cancelled; /* set by the cancel record; running tasks may remain */
  char note[RR_TEXT_MAX + 1]; /* latest note or cancel reason */
  int64_t submitted_ms;       /* wall clock */
  int64_t finished_ms;        /* wall clock; 0: open */
  uint32_t open_tasks;
  struct rr_task *tasks; /* spec.tasks rows */
  uint32_t history_count;
  uint32_t history_dropped;
  struct rr_job_event history[RR_HISTORY_MAX]; /* oldest first */
};

/* Bounds of the finished jobs that are kept.  */
struct rr_job_retention
{
  uint32_t max_finished;
  int64_t max_age_ms;
};

/* Jobs of a shard, as folded from its records.  A pointer to a job is valid
   until a record is applied; keep handles or ids across events.  Look for work
   with rr_job_store_next and, for every task of a job with open tasks,
   rr_task_next_action.  Each action that leads to a record waits until that
   record has settled: a task with a queued record returns RR_TASK_NO_ACTION.
 */
struct rr_job_store;

struct rr_job_store *rr_job_store_new (void);
void rr_job_store_free (struct rr_job_store *s);
size_t rr_job_store_count (const struct rr_job_store *s);
size_t rr_job_store_size (const struct rr_job_store *s);
size_t rr_job_size_estimate (uint32_t tasks);
struct rr_job *rr_job_store_find (const struct rr_job_store *s,
                                  const char *job);
struct rr_handle rr_job_store_handle (const struct rr_job_store *s,
                                      const char *job);
struct rr_job *rr_job_store_get (const struct rr_job_store *s,
                                 struct rr_handle h);
struct rr_job *rr_job_store_next (const struct rr_job_store *s,
                                  struct rr_handle *cursor);
bool rr_job_store_apply (struct rr_job_store *s, const struct rr_record *r,
                         struct rr_time now, struct rr_error *err);
void rr_job_store_mark_pending (struct rr_job_store *s,
                                const struct rr_record *r, bool pending,
                                struct rr_time now);
void rr_job_store_start_ownership (struct rr_job_store *s, struct rr_time now);
size_t rr_job_store_expired (const struct rr_job_store *s,
                             const struct rr_job_retention *retention,
                             int64_t wall_ms, struct rr_record *records,
                             size_t capacity);
const char *rr_job_state_name (enum rr_job_state state);
size_t rr_job_explain (const struct rr_job *job, char *buffer, size_t size);

#endif
