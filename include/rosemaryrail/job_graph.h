#ifndef ROSEMARYRAIL_JOB_GRAPH_H
#define ROSEMARYRAIL_JOB_GRAPH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rosemaryrail/error.h"
#include "rosemaryrail/text.h"

enum
{
  RR_JOB_NAME_SIZE = 64,
  RR_JOB_GRAPH_TASKS_MAX = 20000 /* of one job, in all occurrences */
};

/* A step: identical tasks of a job that may start once the steps in AFTER are
   done.  */
struct rr_job_graph_step
{
  int32_t task_count;
  int64_t cores_milli;
  int64_t memory_mb;
  int64_t accelerators;
  int64_t estimate_ms; /* estimated run time of one task */
  int32_t *after;      /* indices of earlier steps */
  size_t after_count;
  bool gang;               /* all tasks must run at the same time */
  bool same_rack;          /* tasks are slower when spread over racks */
  bool speculative;        /* a task may run as parallel copies */
  bool long_running;       /* runs until the job is cancelled */
  bool checkpointing;      /* saves checkpoints of its progress */
  bool best_effort;        /* uses only cores that other tasks leave unused */
  int32_t per_worker_max;  /* per occurrence and worker; 0: no limit */
  int32_t unavailable_max; /* tasks that the scheduler may keep down */
  int64_t tail_target_ms;  /* tail latency to stay below; 0: none */
  char required_label[RR_JOB_NAME_SIZE]; /* empty: any worker */
  char rack[RR_JOB_NAME_SIZE];           /* where the data is; empty: any */
  char image[RR_JOB_NAME_SIZE];
};

/* A task of a divided job that its shard runs, the lowest number of its next
   run there, which is above the numbers that other shards have used, and how
   many workers in a row had crashed under it when it came.  */
struct rr_job_graph_share
{
  uint32_t task;
  uint64_t first_run;
  uint32_t crashes;
  uint32_t moves; /* between shards, since it ran last */
};

/* The job graph of a submitted job: a DAG of steps that runs once or at
   scheduled times.  After the job was accepted, its shard may change while
   none of its tasks runs.  A job of one long-running step may be divided among
   shards.  */
struct rr_job_graph
{
  char id[RR_JOB_NAME_SIZE];
  char queue[RR_JOB_NAME_SIZE];
  char service[RR_JOB_NAME_SIZE]; /* of the queue, on acceptance */
  int32_t attempts_max;           /* likewise; 0: not known */
  bool needs_permits;             /* likewise */
  char shard[RR_JOB_NAME_SIZE];
  struct rr_text *spec; /* passed to every task */
  struct rr_job_graph_step *steps;
  size_t step_count;
  int32_t occurrence_count; /* at least 1 */
  bool scheduled;           /* occurrences start at set times */
  int64_t first_run_ms;     /* since 1970 */
  int64_t interval_ms;
  int64_t accepted_ms; /* since 1970 */
  char *progress;      /* at the last change of shard; null: none */
  uint64_t run_base;   /* lowest run number in SHARD; 0: any */
  bool divided;        /* only the tasks in SHARE belong to SHARD */
  struct rr_job_graph_share *share; /* unordered */
  size_t share_count;
};

struct rr_job_graph *rr_job_graph_new (size_t step_count);
void rr_job_graph_free (struct rr_job_graph *g);
bool rr_job_graph_check (const struct rr_job_graph *g, struct rr_error *err);
bool rr_job_graph_divisible (const struct rr_job_graph *g);
void rr_job_graph_divide (struct rr_job_graph *g, bool all);
void rr_job_graph_share_add (struct rr_job_graph *g, uint32_t task,
                             uint64_t first_run, uint32_t crashes);
bool rr_job_graph_share_remove (struct rr_job_graph *g, uint32_t task);
const struct rr_job_graph_share *
rr_job_graph_share_find (const struct rr_job_graph *g, uint32_t task);
size_t rr_job_graph_occurrence_tasks (const struct rr_job_graph *g);
size_t rr_job_graph_step_offset (const struct rr_job_graph *g, size_t step);
int64_t rr_job_graph_critical_path_ms (const struct rr_job_graph *g);
int64_t rr_job_graph_critical_path_from_ms (const struct rr_job_graph *g,
                                            size_t step);
int64_t rr_job_graph_core_ms (const struct rr_job_graph *g);

/* Stored form: JSON text, which the caller frees.  */
char *rr_job_graph_encode (const struct rr_job_graph *g);
struct rr_job_graph *rr_job_graph_decode (const char *text, size_t length,
                                          struct rr_error *err);

#endif
