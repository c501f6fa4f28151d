#ifndef BENCH_WORLD_H
#define BENCH_WORLD_H

/* Small fakes of workers, services and batch tasks under a virtual clock, with
   an interference table that the policy does not see.  */

#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stdint.h>

#include "rosemaryrail/size.h"

#define SERVICES 2
#define CLASSES 8
#define TEAMS 12
#define TICK_MS 100
#define WINDOW_MS 2000
#define WINDOWS 32 /* ring of report windows of a worker */
#define SLOTS 8
#define SERVERS 2 /* requests an instance runs at once */

/* A deployment of section 2 of the design page, with its load.  */
struct deployment
{
  const char *name;
  int workers;
  int zones;
  int cores;
  int64_t memory_mb;
  double hop_ms; /* one way between zones */
  int instances[SERVICES];
  double rate_per_s[SERVICES];
  double service_ms[SERVICES];  /* median execution time, alone */
  double deadline_ms[SERVICES]; /* from the scheduled time */
  int task_cores[4];            /* declared sizes of batch tasks */
};

struct task
{
  uint64_t id;
  uint64_t job;
  uint64_t team;
  uint64_t profile;
  int class_number;
  struct rr_size declared;
  struct rr_size reserved; /* while it runs */
  double cores;            /* real use */
  double memory_mb;        /* real peak */
  int64_t least_memory_mb; /* after a stop for its memory */
  double declared_ms;
  double work_ms; /* real, at full speed */
  double done_ms;
  double checkpoint_ms; /* work safe in the last checkpoint */
  int64_t next_checkpoint_at;
  int64_t queued_at;
  int64_t first_start;
  int64_t started_at;
  int64_t run_ms;  /* over all attempts */
  int64_t fail_at; /* 0: not failing */
  bool can_checkpoint;
  bool bad; /* fails everywhere */
  int percent;
  int64_t throttled_at;
  int evictions;
  int failures;
  int worker; /* -1 while queued */
  int avoid;
};

struct window
{
  int64_t deliver_at;
  int64_t requests[SERVICES];
  double execution_ms[SERVICES]; /* sum */
  double share[CLASSES];         /* sum over ticks */
  int ticks;
};

struct instance
{
  int worker;
  int service;
  double free_at[SERVERS];
};

struct worker
{
  int zone;
  int rack;
  int tasks[SLOTS]; /* positions in the world's task array */
  int task_count;
  int instances[SERVICES];
  double slowdown[SERVICES]; /* factor on execution times, now */
  int64_t failing_until;
  struct window window[WINDOWS];
  int64_t delivered; /* number of the next window to deliver */
};

struct world
{
  const struct deployment *deployment;
  gsl_rng *rng;      /* arrivals and the like; same numbers for all policies */
  gsl_rng *rng_work; /* execution times and report lags */
  double table[SERVICES][CLASSES]; /* hidden: factor at a full worker */
  double back[CLASSES]; /* hidden: how much services slow a batch class */
  double load[SERVICES];
  struct worker *workers;
  struct instance *instances;
  int instance_count;
  struct task *tasks;
  int task_count;
  int task_capacity;
};

/* What happened to a batch task during a tick.  */
enum task_event
{
  TASK_FINISHED,
  TASK_FAILED,
  TASK_OVER_MEMORY /* stopped by the guard of its worker */
};

struct world_event
{
  int task;
  enum task_event event;
};

extern const struct deployment deployments[2];

void world_init (struct world *w, const struct deployment *d, unsigned seed);
void world_release (struct world *w);
void world_table_change (struct world *w);
void world_instance_add (struct world *w, int service, int worker);
int world_task_new (struct world *w);
void world_task_start (struct world *w, int task, int worker, int64_t now);
void world_task_remove (struct world *w, int task);
double world_request (struct world *w, int service, double at, bool *refused);
int world_tick (struct world *w, int64_t now, struct world_event *events,
                int limit, double *work_core_ms);
double world_memory_now (const struct task *t);

#endif
