#ifndef ROSEMARYRAIL_GRAPH_H
#define ROSEMARYRAIL_GRAPH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rosemaryrail/error.h"

enum
{
  RR_JOB_NAME_SIZE = 64,
  RR_CHECKPOINT_SIZE = 64,
  RR_JOB_GRAPH_TASKS_MAX = 20000 /* of one job, over all occurrences */
};

/* Equal tasks of a job that may start once the steps in AFTER are done.  */
struct rr_job_graph_step
{
  int32_t task_count;
  int64_t cores_milli;
  int64_t memory_mb;
  int64_t accelerators;
  int64_t estimate_ms; /* rough run time of one task */
  int32_t *after;      /* numbers of earlier steps */
  size_t after_count;
  bool gang;              /* tasks work only together */
  bool same_rack;         /* tasks are slower when spread over racks */
  bool speculative;       /* copies may run in parallel */
  bool long_running;      /* runs until the job is cancelled */
  bool checkpointing;     /* saves its progress */
  bool best_effort;       /* takes only the cores that other tasks leave */
  int32_t per_worker_max; /* tasks of an occurrence on a worker; 0: no limit */
  int32_t unavailable_max; /* tasks that may be away by our doing */
  int64_t tail_target_ms;  /* response time to stay below; 0: none */
  char required_label[RR_JOB_NAME_SIZE]; /* empty: any worker */
  char rack[RR_JOB_NAME_SIZE];           /* where the data is */
  char image[RR_JOB_NAME_SIZE];
};

/* A task that belongs to a shard, and the least number of its next run there:
   above those that it had elsewhere.  */
struct rr_job_graph_share
{
  uint32_t task;
  uint32_t first_run;
};

/* A submitted job: steps that depend on each other, run once or at set
   times.  After it was accepted, its shard may change while nothing of it
   runs; a job of one lasting step may be divided among shards.  */
struct rr_job_graph
{
  char id[RR_JOB_NAME_SIZE];
  char queue[RR_JOB_NAME_SIZE];
  char service[RR_JOB_NAME_SIZE]; /* of the queue when it was accepted */
  char shard[RR_JOB_NAME_SIZE];
  char *spec; /* passed to every task */
  struct rr_job_graph_step *steps;
  size_t step_count;
  int32_t occurrence_count; /* at least 1 */
  bool scheduled;           /* occurrences start at set times */
  int64_t first_run_ms;     /* since 1970 */
  int64_t interval_ms;
  int64_t accepted_ms; /* since 1970 */
  char *progress;      /* when its shard last changed; null: none */
  uint32_t run_base;   /* least number of runs in SHARD; 0: any */
  bool divided;        /* SHARE has the tasks of SHARD; else all are there */
  struct rr_job_graph_share *share; /* in no order */
  size_t share_count;
};

struct rr_job_graph *rr_job_graph_new (size_t step_count);
void rr_job_graph_free (struct rr_job_graph *g);
bool rr_job_graph_check (const struct rr_job_graph *g, struct rr_error *err);
bool rr_job_graph_divisible (const struct rr_job_graph *g);
void rr_job_graph_divide (struct rr_job_graph *g, bool all);
void rr_job_graph_share_add (struct rr_job_graph *g, uint32_t task,
                             uint32_t first_run);
bool rr_job_graph_share_remove (struct rr_job_graph *g, uint32_t task);
const struct rr_job_graph_share *
rr_job_graph_share_find (const struct rr_job_graph *g, uint32_t task);
size_t rr_job_graph_occurrence_tasks (const struct rr_job_graph *g);
size_t rr_job_graph_step_offset (const struct rr_job_graph *g, size_t step);
int64_t rr_job_graph_critical_path_ms (const struct rr_job_graph *g);
int64_t rr_job_graph_critical_path_from_ms (const struct rr_job_graph *g,
                                            size_t step);
int64_t rr_job_graph_core_ms (const struct rr_job_graph *g);

/* The stored form: a JSON text that the caller frees.  */
char *rr_job_graph_encode (const struct rr_job_graph *g);
struct rr_job_graph *rr_job_graph_decode (const char *text, size_t length,
                                          struct rr_error *err);

#endif
