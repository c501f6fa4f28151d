#ifndef ROSEMARYRAIL_DISPATCH_H
#define ROSEMARYRAIL_DISPATCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rosemaryrail/clock.h"
#include "rosemaryrail/interference.h"
#include "rosemaryrail/job_graph.h"
#include "rosemaryrail/permit_calls.h"
#include "rosemaryrail/progress.h"
#include "rosemaryrail/table.h"
#include "rosemaryrail/text.h"

/* The scheduler of one shard, with the workers and jobs that belong to it.  It
   performs no I/O: the shard owner passes in reports from workers and stored
   state, and sends the commands that the dispatcher returns.  */
struct rr_dispatch;

enum
{
  RR_WORKER_LABELS = 8,
  RR_POLL_WAIT_MAX_MS = 600, /* that a poll waits at a worker for an end */
  /* A lease may end this much later than its length after it was granted,
     since the worker's clock is known only as of its last report.  */
  RR_LEASE_EXCESS_MAX_MS = 700,
  /* A best-effort task starts only where at least this percentage of its cores
     is unused: with less, best-effort tasks would only slow each other
     down.  */
  RR_BEST_EFFORT_UNUSED_MIN_PERCENT = 60
};

/* What is left of a step of a job, in all its occurrences.  */
enum rr_step_state
{
  RR_STEP_OVER,  /* no task waits */
  RR_STEP_LATER, /* tasks wait for other steps or for their time */
  RR_STEP_READY  /* a task could start now */
};

/* A worker as described by its registration.  */
struct rr_worker_info
{
  char id[RR_JOB_NAME_SIZE];
  char service[RR_JOB_NAME_SIZE];
  char rack[RR_JOB_NAME_SIZE];
  char labels[RR_WORKER_LABELS][RR_JOB_NAME_SIZE];
  size_t label_count;
  bool draining;
  int64_t remaining_ms; /* minimum time until a draining worker leaves */
  int64_t cores_milli;
  int64_t memory_mb;
  int64_t accelerators;
  int64_t started_ms; /* start of this incarnation, since 1970 */
};

bool rr_worker_has_label (const struct rr_worker_info *info,
                          const char *label);

/* Names one run of one task.  */
struct rr_run_name
{
  char job[RR_JOB_NAME_SIZE];
  int32_t occurrence;
  int32_t step;
  int32_t task;
  uint64_t run;
};

/* A run that a worker reports as running.  */
struct rr_run_status
{
  struct rr_run_name name;
  struct rr_text *checkpoint;
  int32_t percent;
  int64_t measurement; /* tail latency in ms if latency-critical, else cores
                          used, in thousandths */
};

enum rr_end_kind
{
  RR_END_DONE,
  RR_END_FAILED,
  RR_END_STOPPED,
  RR_END_LEASE_EXPIRED,
  RR_END_GANG_BROKEN, /* another member of its gang ended */
  RR_END_GANG_TIMEOUT /* the other gang members did not start in time */
};

/* A run that has ended on a worker.  */
struct rr_run_end
{
  int64_t number; /* increases within an incarnation */
  struct rr_run_name name;
  enum rr_end_kind kind;
  struct rr_text *checkpoint;
};

/* A worker's status report, as of CLOCK_MS on its own clock.  */
struct rr_worker_report
{
  int64_t started_ms; /* 0: not given */
  int64_t token;      /* fencing token of the poll */
  int64_t clock_ms;
  struct rr_time sent;     /* when the poll was sent */
  struct rr_time received; /* when the answer arrived */
  struct rr_run_status *running;
  size_t running_count;
  struct rr_run_end *ended;
  size_t ended_count;
  bool ends_partial; /* there may be later ends */
};

enum rr_command_kind
{
  RR_COMMAND_START,
  RR_COMMAND_STOP, /* also prevents a start that arrives later */
  RR_COMMAND_THROTTLE
};

/* A command to a worker.  Valid during the callback, unless the receiver
   retains it.  */
struct rr_command
{
  enum rr_command_kind kind;
  struct rr_handle worker;
  const char *worker_id;
  struct rr_run_name name;
  struct rr_text *spec;         /* of a start */
  struct rr_text *checkpoint;   /* of a start; empty: none */
  struct rr_text *permit_token; /* of a start; empty: none needed */
  int32_t percent;              /* of a throttle: speed */
  const char *reason;
};

enum rr_command_outcome
{
  RR_OUTCOME_ACCEPTED,
  RR_OUTCOME_FENCED,    /* another owner has a higher fencing token */
  RR_OUTCOME_STALE_RUN, /* the run has already ended on the worker */
  RR_OUTCOME_TOO_LATE,  /* the command's lease had expired */
  RR_OUTCOME_NO_CAPACITY,
  RR_OUTCOME_NO_PERMIT,      /* permit token missing, wrong or expired */
  RR_OUTCOME_UNHEALTHY,      /* the worker did not carry it out */
  RR_OUTCOME_WRONG_INSTANCE, /* another incarnation answered */
  RR_OUTCOME_INVALID,        /* the worker refused the command itself */
  RR_OUTCOME_NOT_SENT,       /* certainly not received */
  RR_OUTCOME_UNKNOWN         /* may take effect, now or later */
};

void rr_command_retain (const struct rr_command *c);
void rr_command_release (const struct rr_command *c);
const char *rr_command_kind_name (enum rr_command_kind kind);
const char *rr_command_outcome_name (enum rr_command_outcome outcome);

/* Scheduling policy of a queue's jobs.  */
struct rr_queue_policy
{
  char queue[RR_JOB_NAME_SIZE];
  char service[RR_JOB_NAME_SIZE];
  int32_t priority; /* 0 is the most urgent */
  int32_t attempts_max;
  double slack_factor;       /* objective: this times the critical path */
  int64_t target_runtime_ms; /* plus this */
  bool needs_permits;        /* a step runs only on workers with a permit */
  struct rr_permit_times permit_times; /* 0: unknown */
};

enum
{
  RR_PERMIT_WORKERS_MAX = 100 /* in one request */
};

/* Asks which of the listed workers may run a step.  NAME holds the job, the
   occurrence and the step.  Valid until workers of the dispatcher change.  */
struct rr_permit_request
{
  struct rr_run_name name;
  struct rr_permit_times times;
  const char *workers[RR_PERMIT_WORKERS_MAX]; /* ids */
  size_t worker_count;
};

/* A worker that may run the step, with the permit token that proves it.  */
struct rr_permit
{
  char worker[RR_JOB_NAME_SIZE];
  struct rr_text *permit_token;
};

/* A worker in the membership record of a shard: tasks may be started on it, or
   may run there.  */
struct rr_recorded_worker
{
  char id[RR_JOB_NAME_SIZE];
  int64_t started_ms; /* its life; 0: not given */
  /* The owner that wrote the record grants it no lease before another record
     is stored: all leases on it have expired at EXPIRY.  */
  bool silent;
  /* This life may carry out commands to former ones.  */
  bool unfenced;
  /* Of all leases on it if it is silent, else of those that commands to former
     lives have given; 0: they have given none.  */
  struct rr_time expiry;
};

/* Settings and callbacks of a dispatcher.  */
struct rr_dispatch_options
{
  int64_t fencing_token; /* of the owner */
  int64_t lease_ms;      /* of running tasks, renewed by each poll */
  int64_t lease_max_ms;  /* maximum time from grant to expiry */
  /* No task starts while the workers' registrations are older than this,
     compared with the store's last response.  */
  int64_t registration_age_max_ms;
  double remote_factor; /* slowdown on a rack without the data */
  /* Progress that would be longer is stored without checkpoints; 0: none.  */
  size_t progress_max_bytes;
  int64_t wall_offset_ms; /* wall clock minus the clock of rr_time */
  void (*send_command) (void *data, const struct rr_command *command);
  void (*log_decision) (void *data, const char *event, const char *text);
  void *data;
};

/* State that the shard owner reads for load reports and metrics.  */
struct rr_dispatch_load
{
  size_t jobs;
  size_t workers;
  size_t running;
  size_t waiting;         /* tasks not started */
  int64_t cores_milli;    /* of usable workers */
  int64_t used_milli;     /* by running tasks, best-effort ones included */
  int64_t queued_core_ms; /* estimated work of waiting tasks */
  int64_t non_best_effort_cores_milli; /* running or waiting, without
                                          best-effort tasks */
  int64_t largest_free_cores_milli;    /* most free cores on one worker */
};

struct rr_dispatch *rr_dispatch_new (const struct rr_dispatch_options *o);
void rr_dispatch_free (struct rr_dispatch *d);

void rr_dispatch_queue_set (struct rr_dispatch *d,
                            const struct rr_queue_policy *p);

/* Workers that a former owner may have used.  Until each of them has reported
   or its leases have expired, a task that is not reported as running may still
   run.  */
void rr_dispatch_inherit (struct rr_dispatch *d, struct rr_time until,
                          struct rr_time longest_until, uint64_t former_run,
                          uint64_t first_run, struct rr_time now);
void rr_dispatch_inherit_unknown (struct rr_dispatch *d);
void rr_dispatch_inherit_worker (struct rr_dispatch *d,
                                 const struct rr_recorded_worker *worker);
void rr_dispatch_release (struct rr_dispatch *d, struct rr_time now);

/* Numbers of runs.  A start is not stored before it is sent, so an owner uses
   only numbers that are stored as its own.  */
void rr_dispatch_runs_reserve (struct rr_dispatch *d, uint64_t end);
bool rr_dispatch_runs_low (const struct rr_dispatch *d);

struct rr_handle rr_dispatch_worker_set (struct rr_dispatch *d,
                                         const struct rr_worker_info *info,
                                         struct rr_time now);
void rr_dispatch_registrations_set_time (struct rr_dispatch *d,
                                         struct rr_time at,
                                         struct rr_time store_responded);
bool rr_dispatch_registrations_stale (const struct rr_dispatch *d);
void rr_dispatch_worker_unregister (struct rr_dispatch *d, const char *id,
                                    struct rr_time now);
void rr_dispatch_worker_mark_recorded (struct rr_dispatch *d,
                                       const struct rr_recorded_worker *r,
                                       int64_t revision);
bool rr_dispatch_worker_droppable (const struct rr_dispatch *d,
                                   struct rr_handle h, struct rr_time now);
void rr_dispatch_worker_drop (struct rr_dispatch *d, struct rr_handle h,
                              struct rr_time now);
size_t rr_dispatch_record_workers (struct rr_dispatch *d,
                                   struct rr_recorded_worker *workers,
                                   size_t max, struct rr_time now);

bool rr_dispatch_record_due (const struct rr_dispatch *d, struct rr_time now);

int64_t rr_dispatch_worker_lease (struct rr_dispatch *d, struct rr_handle h,
                                  struct rr_time valid_until,
                                  struct rr_time now);
int64_t rr_dispatch_worker_stored_end (struct rr_dispatch *d,
                                       struct rr_handle h, struct rr_time now);
bool rr_dispatch_worker_has_unstored_ends (struct rr_dispatch *d,
                                           struct rr_handle h);
void rr_dispatch_report_apply (struct rr_dispatch *d, struct rr_handle h,
                               const struct rr_worker_report *r,
                               struct rr_time now);
void rr_dispatch_worker_unreachable (struct rr_dispatch *d,
                                     struct rr_handle h);
bool rr_dispatch_worker_awaits_record (const struct rr_dispatch *d,
                                       struct rr_handle h);
int64_t rr_dispatch_worker_token (const struct rr_dispatch *d,
                                  struct rr_handle h);
bool rr_dispatch_command_begin (struct rr_dispatch *d, struct rr_handle h,
                                enum rr_command_kind kind,
                                const struct rr_run_name *name,
                                struct rr_time now);
void rr_dispatch_command_connected (struct rr_dispatch *d, struct rr_handle h,
                                    enum rr_command_kind kind,
                                    const struct rr_run_name *name,
                                    struct rr_time connected);
void rr_dispatch_commands_abandoned (struct rr_dispatch *d, struct rr_handle h,
                                     struct rr_time now);
void rr_dispatch_command_answered (struct rr_dispatch *d, struct rr_handle h,
                                   enum rr_command_kind kind,
                                   const struct rr_run_name *name,
                                   enum rr_command_outcome outcome,
                                   int64_t clock_ms, struct rr_time now);

/* Returns whether the last planning round has left steps that need permits,
   and sets URGENCY to that of the most urgent one.  */
bool rr_dispatch_permits_wanted (const struct rr_dispatch *d,
                                 struct rr_permit_urgency *urgency);

/* Takes the most urgent step that needs permits and fills REQUEST for it.
   Returns false when there is nothing to ask about it.  The step makes no
   other request until rr_dispatch_permits_set is called.  */
bool rr_dispatch_permits_request (struct rr_dispatch *d,
                                  const struct rr_permit_calls *calls,
                                  struct rr_permit_request *request,
                                  struct rr_time now);

/* Stores the answer to a permit request for the step of NAME.  COUNT is 0 when
   no worker may run it; PERMITS is null when the request failed.  The permit
   tokens are valid for VALID_MS, from ISSUED on at the earliest.  */
void rr_dispatch_permits_set (struct rr_dispatch *d,
                              const struct rr_run_name *name,
                              const struct rr_permit *permits, size_t count,
                              int64_t valid_ms, struct rr_time issued,
                              struct rr_time now);

/* Takes ownership of G.  PROGRESS is null for a new job.  INHERITED means that
   a former owner may have started tasks.  */
void rr_dispatch_job_add (struct rr_dispatch *d, struct rr_job_graph *g,
                          const struct rr_progress *progress, bool inherited,
                          struct rr_time now);
bool rr_dispatch_job_known (const struct rr_dispatch *d, const char *id);
void rr_dispatch_job_cancel (struct rr_dispatch *d, const char *id,
                             struct rr_time now);

/* A job that runs nowhere can move to another shard: it is held while the
   change is stored, and dropped afterwards.  */
size_t rr_dispatch_idle_jobs (struct rr_dispatch *d, const char **ids,
                              size_t max, int64_t new_ms, int64_t started_ms,
                              struct rr_time now);
void rr_dispatch_job_steps (const struct rr_dispatch *d, const char *id,
                            enum rr_step_state *states, size_t count,
                            struct rr_time now);
uint64_t rr_dispatch_run_base (const struct rr_dispatch *d, const char *id);
void rr_dispatch_job_hold (struct rr_dispatch *d, const char *id, bool held);
bool rr_dispatch_job_drop (struct rr_dispatch *d, const char *id);

/* A task of a divisible job that another shard may run, with run numbers from
   NEXT_RUN on.  */
struct rr_waiting_task
{
  const char *job;
  uint32_t number;
  uint64_t next_run;
  uint32_t crashes; /* of workers under it, in a row */
};

/* A waiting task can move to another shard: it is withheld while the change is
   stored, and then set from the stored share.  */
size_t rr_dispatch_waiting_tasks (struct rr_dispatch *d,
                                  struct rr_waiting_task *tasks, size_t max,
                                  int64_t waited_ms, struct rr_time now);
void rr_dispatch_task_withhold (struct rr_dispatch *d, const char *id,
                                uint32_t number);
void rr_dispatch_job_set_share (struct rr_dispatch *d,
                                const struct rr_job_graph *g);

void rr_dispatch_plan (struct rr_dispatch *d, struct rr_time confirmed,
                       struct rr_time valid_until, int64_t start_bytes_max,
                       struct rr_time now);

/* Jobs with progress to store.  URGENT is set when callers wait for it.
   Returns the number of ids written to IDS, at most MAX.  */
size_t rr_dispatch_jobs_changed (struct rr_dispatch *d, const char **ids,
                                 size_t max, bool *urgent);
char *rr_dispatch_progress_encode (struct rr_dispatch *d, const char *id,
                                   uint64_t *version);
void rr_dispatch_progress_stored (struct rr_dispatch *d, const char *id,
                                  uint64_t version);

/* One dispatcher's estimates for latency-critical tasks of one image: how much
   best-effort tasks interfere with them, and their tail latency without
   any.  */
struct rr_dispatch_statistics
{
  struct rr_interference_export moments;
  double base_ms;
};

bool rr_dispatch_statistics_get (const struct rr_dispatch *d, int image,
                                 uint64_t origin, struct rr_time now,
                                 struct rr_dispatch_statistics *out);
bool rr_dispatch_statistics_merge (struct rr_dispatch *d,
                                   const struct rr_dispatch_statistics *in,
                                   struct rr_time now);

void rr_dispatch_load_get (const struct rr_dispatch *d,
                           struct rr_dispatch_load *load, struct rr_time now);

#endif
