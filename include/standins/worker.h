#ifndef STANDINS_WORKER_H
#define STANDINS_WORKER_H

#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/queue.h>
#include <uv.h>

#include "common/http_server.h"
#include "common/json.h"

enum
{
  WORKER_SHARDS_MAX = 256,
  WORKER_SERVICES_MAX = 16,
  WORKER_WINDOWS_MAX = 64,
  LEASE_MAX_MS = 1000 * 1000 * 1000
};

/* What a task needs, or a worker has.  */
struct capacity
{
  int64_t cores_milli;
  int64_t memory_mb;
  int64_t accelerators;
  int64_t slots;
  int64_t connections;
};

/* Shared by all workers of the process.  */
struct worker_settings
{
  uv_loop_t *loop;
  FILE *log;
  const char *zone;
  const char *rack;
  int rack_size;
  int first_port;
  struct capacity capacity;
  uint64_t seed;
  uint64_t table_seed;
  int64_t usage_lag_ms;
  int64_t usage_window_ms;
  int64_t work_speed;
  double service_ms;
  const char *fail_class; /* tasks of this class end as "failed" */
  const char *hog_class;  /* tasks of this class outgrow their memory */
  bool fail_everything;
  int64_t first_incarnation;
  bool guard; /* stop tasks over their memory limit */
};

enum task_state
{
  TASK_RUNNING,
  TASK_ENDED,
  TASK_SEALED /* never started, and never will */
};

struct task
{
  LIST_ENTRY (task) link;
  char *id;
  int64_t attempt;
  enum task_state state;
  bool service; /* runs until it is stopped */
  char *class;  /* batch class, or the service's name */
  /* Echoed to the controller, which may have changed since the start.  */
  char *label_class;
  char *team;
  int64_t evictions; /* of the task's earlier attempts */
  int64_t granted_until_ms;
  struct capacity need;
  double work_ms;
  double done_ms;
  int64_t until_ms; /* end of the task lease */
  int64_t percent;
  char *checkpoint; /* the last one, null if none */
  int64_t checkpoints;
  const char *result; /* static text, once ended */
  int64_t ended_ms;
  int64_t sequence;         /* order of ends on this worker */
  double window_core_ms;    /* core-milliseconds x 1000 used in the window */
  bool window_participated; /* ran at some time in the window */
};

/* One request being executed.  */
struct execution
{
  LIST_ENTRY (execution) link;
  struct worker *worker;
  struct http_exchange *exchange;
  uv_timer_t timer;
  char *request;
  int64_t attempt;
  bool caller; /* sent without a daemon in between */
  char *service;
  char *body;
  size_t body_length;
  int64_t started_us;
};

/* Latencies of one service in the open usage window.  */
struct service_window
{
  char *name;
  double *latencies_us;
  size_t count;
};

/* A closed usage window, as reported.  */
struct usage_window
{
  int64_t end_ms;
  struct json_object *usage;
  struct json_object *services;
};

struct worker
{
  const struct worker_settings *settings;
  int index;
  int port;
  char name[64];
  int64_t incarnation;
  int64_t clock_offset_ms;
  bool down; /* crashed, not yet back */
  bool leaving;
  bool fail_everything;
  int64_t epoch;
  char holder[128];
  int64_t holder_incarnation;
  int64_t controller_until_ms;
  int64_t shard_epochs[WORKER_SHARDS_MAX];
  LIST_HEAD (task_list, task) tasks;
  LIST_HEAD (execution_list, execution) executions;
  struct capacity used;
  int64_t ended_count;
  int64_t ended_recorded;
  int64_t advanced_ms;
  int64_t window_start_ms;
  struct service_window services[WORKER_SERVICES_MAX];
  struct usage_window windows[WORKER_WINDOWS_MAX]; /* ring */
  size_t window_count;
  gsl_rng *rng;
  uv_timer_t restart;
};

int64_t worker_now_ms (const struct worker *w);
struct json_object *worker_event (const struct worker *w, const char *event);
void worker_log (const struct worker *w, struct json_object *o);
void worker_refuse (const struct worker *w, const char *call, const char *id,
                    int64_t attempt, const char *reason);
struct json_object *capacity_object (const struct capacity *c);
double worker_interference (const struct worker *w, const char *class,
                            const struct task *self);

double worker_task_memory_mb (const struct worker *w, const struct task *t);
void worker_add_latency (struct worker *w, const char *service, int64_t us);

void worker_advance (struct worker *w);
void worker_drop_tasks (struct worker *w);
void worker_close_window (struct worker *w);
struct json_object *worker_tasks (const struct worker *w);
struct json_object *worker_ended (const struct worker *w);
void worker_report_usage (const struct worker *w, struct json_object *o);
void worker_renew (struct worker *w, struct json_object *renew);
bool worker_task_call (struct worker *w, struct http_exchange *x,
                       const char *name);

bool worker_epoch_valid (const struct worker *w, int64_t epoch);
void worker_execute (struct worker *w, struct http_exchange *x,
                     const char *service, bool caller);
void worker_abort_executions (struct worker *w);

#endif
