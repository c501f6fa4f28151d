#ifndef RR_DISPATCH_PRIVATE_H
#define RR_DISPATCH_PRIVATE_H

#include "rosemaryrail/dispatch.h"
#include "rosemaryrail/interference.h"
#include "rosemaryrail/policy.h"

enum task_state
{
  TASK_WAITING,
  TASK_UNCERTAIN, /* a former owner may have started it */
  TASK_PLACED,    /* assigned to a worker, end not reported yet */
  TASK_REMOTE,    /* another shard runs it */
  TASK_DONE
};

struct dispatch_task
{
  enum task_state state;
  bool inherited; /* a former owner may have started it */
  /* No former owner can have heard how its present run ends.  */
  bool run_exclusive;
  uint64_t current_run; /* while placed */
  uint64_t next_run;
  uint64_t first_run; /* lowest run number that this shard may use */
  uint64_t ended_run; /* highest run known to have ended */
  /* Bit I: the end of run ENDED_RUN - I has been processed.  Ends can be
     reported in any order when several workers were unreachable.  */
  uint64_t recorded_ends;
  struct rr_run_set older_ends; /* processed ones that are further below */
  uint32_t failures; /* of a gang member: runs in which it failed first */
  struct rr_run_set failed_runs;  /* counted in FAILURES */
  uint32_t crashes;               /* of workers in a row, soon after a start */
  uint32_t restored_crashes;      /* of these, counted by former owners */
  struct rr_handle worker;        /* while placed */
  struct rr_handle failed_worker; /* of its last failure or crash; avoided */
  struct rr_time not_before;      /* of the next start */
  struct rr_text *checkpoint;
  uint64_t checkpoint_run; /* that saved it; 0: unknown */
};

/* A worker's permit to run a step.  */
struct dispatch_permit
{
  struct rr_handle worker;
  int64_t started_ms; /* incarnation for which the permit is valid */
  struct rr_text *token;
  struct rr_time expires;
  int64_t delivery_ms; /* of its time are left to the start's delivery */
};

/* A worker that a step has asked about and that was not permitted.  */
struct dispatch_denial
{
  struct rr_handle worker;
  int64_t started_ms; /* incarnation for which it is known */
  bool pending;       /* the answer is not there yet */
  struct rr_time expires;
};

/* A step that found no permitted worker in a planning round.  */
struct dispatch_permit_want
{
  struct rr_handle job;
  struct rr_run_name name; /* of its first task */
  struct rr_permit_urgency urgency;
};

/* Progress of one step in one occurrence.  */
struct dispatch_step
{
  int32_t done;
  int32_t waiting; /* tasks not started, ready or not */
  /* Dependents start once this version of the job is stored.  */
  uint64_t settled_version;
  struct dispatch_permit *permits; /* of a queue with needs_permits */
  size_t permit_count;
  struct dispatch_denial *denials;
  size_t denial_count;
  size_t permit_cursor;     /* first worker of the next request */
  uint32_t permit_refusals; /* answers in a row that allowed no worker */
  /* Workers refuse permits of the last answer, and the delay of the next
     request; 0: the last start was accepted.  */
  bool answer_refused;
  int64_t refused_delay_ms;
  bool requested; /* at least once */
  bool request_in_flight;
  struct rr_time request_at; /* not before */
};

struct dispatch_job
{
  struct rr_job_graph *graph;
  struct rr_handle handle;
  struct dispatch_task *tasks; /* by occurrence, step and number */
  struct dispatch_step *steps; /* by occurrence and step */
  uint32_t *step_first; /* number of each step's first task, and of the end */
  size_t occurrence_tasks;
  size_t task_count;
  size_t done_count;
  size_t run_count;             /* runs recorded on workers */
  struct rr_time last_run_seen; /* last time when run_count was not 0 */
  enum rr_job_phase phase;
  bool cancelled;
  bool held;                 /* being transferred to another shard */
  bool checkpoints_left_out; /* of its stored progress, as logged */
  uint64_t version;          /* incremented with each change to store */
  uint64_t stored_version;
  struct rr_time accepted;
};

enum
{
  SPEED_UNKNOWN = -1 /* of a run, as its worker has it */
};

enum run_phase
{
  RUN_STARTING,   /* start sent, no answer yet */
  RUN_UNRESOLVED, /* start unanswered; it may still take effect */
  RUN_RUNNING
};

/* A run on a worker, or one that may still start there.  */
struct dispatch_run
{
  struct rr_run_name name;
  /* Null: the job is not known, nor what the run needs.  */
  struct rr_handle job;
  uint32_t number; /* of the task in its job */
  /* Reported as its checkpoint until it saves its own; empty: none, or
     unknown.  */
  struct rr_text *start_checkpoint;
  enum run_phase phase;
  bool queued; /* its start has not left this daemon yet */
  struct rr_time
      permit_until; /* latest time to send its start; 0: no permit */
  bool reported;    /* by the worker's present incarnation */
  bool survived;    /* ... some time after its start */
  bool crash_counted;
  bool suspected; /* its task is suspected to crash workers */
  bool on_trial;  /* ... and nothing else starts beside it until it survives */
  bool stop_wanted;
  bool stop_in_flight;
  uint32_t stop_life;     /* of the worker, when the stop was sent */
  bool stop_confirmed;    /* acknowledged at SETTLED_CLOCK */
  struct rr_time stop_at; /* earliest time to resend the stop */
  const char *stop_reason;
  int64_t settled_clock; /* worker's clock at its last command answer */
  int32_t missing;       /* consecutive reports without it */
  int64_t cores_milli;
  int64_t memory_mb;
  int64_t accelerators;
  bool best_effort;
  bool long_running;
  int64_t tail_target_ms;
  int64_t estimate_ms;
  int32_t percent;
  int64_t measurement;
  struct rr_time started;
  struct rr_time accepted;   /* when its start was answered */
  struct rr_time connected;  /* when the connection of its start was opened */
  struct rr_time unanswered; /* when its start was given up */
  struct rr_time adopted;    /* from a former owner; 0: it was not */
  struct rr_time progressed; /* last change of PERCENT */
  int image;                 /* class in the interference model */
  double load; /* of a latency-critical task: utilisation without best-effort
                  tasks, smoothed */
  struct rr_time slowed_since; /* speed_target too low to stay here */
  int32_t speed_target;        /* wanted speed, in percent of full speed */
  int32_t speed_percent;       /* speed at the worker, or SPEED_UNKNOWN */
  bool throttle_in_flight;
  struct rr_time throttle_at;     /* earliest time of the next throttle */
  int64_t speed_repeat_ms;        /* interval until the speed is sent again */
  struct rr_time speed_repeat_at; /* if the interval is not 0 */
  bool standstill_logged;         /* since PERCENT changed last */
};

/* An end that the worker may discard once VERSION of JOB is stored.  */
struct dispatch_end
{
  int64_t number;
  struct rr_handle job;
  uint64_t version;
};

/* A worker that a former owner may have used, and that has not reported.  */
struct dispatch_inherited
{
  char id[RR_JOB_NAME_SIZE];
  bool silence_recorded; /* as of struct dispatch_worker */
  struct rr_time expiry; /* of all leases of former owners */
  int64_t started_ms;    /* its life on record; 0: not given */
  /* Commands to former lives may have reached this life unseen.  */
  bool unfenced;
  struct rr_time former_expiry; /* as of struct dispatch_worker */
};

/* The worker of a run was lost soon after the start of the run.  */
struct dispatch_suspicion
{
  char worker[RR_JOB_NAME_SIZE]; /* empty: a former owner counted it */
  char rack[RR_JOB_NAME_SIZE];
  int64_t started_ms; /* life of the worker */
  struct rr_handle job;
  uint32_t number;          /* of the task in its job */
  struct rr_time lost_at;   /* when the worker was last heard */
  struct rr_time stands_at; /* unless it is withdrawn */
};

/* The loss of a worker.  */
struct dispatch_loss
{
  char rack[RR_JOB_NAME_SIZE];
  struct rr_time at; /* when it was last heard */
  bool provoked;     /* something had just started on it */
  /* Of its losses before this one, 0: none.  */
  struct rr_time previous;
  struct rr_time previous_unprovoked;
};

/* A worker that was dropped.  */
struct dispatch_dropped
{
  char id[RR_JOB_NAME_SIZE];
  int64_t started_ms;
  int64_t token;  /* the highest of this owner that it may have seen */
  bool restarted; /* under this owner */
  struct rr_time at;
};

struct dispatch_worker
{
  struct rr_worker_info info;
  struct rr_handle handle;
  bool registered;
  bool recorded;     /* in the stored membership record */
  bool unresponsive; /* did not answer the last poll */
  /* The membership record may say that it gets no lease.  */
  bool silence_recorded;
  bool reported; /* this incarnation has answered this owner */
  struct rr_time unregistered_at;
  struct rr_time last_report;
  /* When the latest poll that was answered left.  A connection that was opened
     before is to the life that is known, or to an earlier one.  */
  struct rr_time heard_sent;
  bool has_clock;
  int64_t clock_ms; /* in its last report, read after CLOCK_SENT */
  struct rr_time clock_sent;
  struct rr_time clock_received;
  int64_t lease_clock_ms; /* latest lease end granted, on the worker's clock */
  uint32_t life;          /* how often it was seen to restart under its id */
  struct rr_time life_learned; /* when this owner learned of its life */
  int64_t registered_life; /* start of the life that its registration is of */
  int64_t token;           /* fencing token of its commands */
  /* Its life gets a token of its own once the membership record has it.  */
  bool token_due;
  bool former_fenced; /* refuses commands to former lives */
  /* Of the leases that such commands have given to its present life; 0: they
     have given none.  */
  struct rr_time former_expiry;
  struct dispatch_run *runs;
  size_t run_count;
  size_t run_capacity;
  struct dispatch_end *ends;
  size_t end_count;
  size_t end_capacity;
  int64_t ends_seen;          /* highest number processed */
  int64_t observed;           /* highest number whose effect is stored */
  struct rr_time full_until;  /* no starts: out of capacity */
  struct rr_time avoid_until; /* no starts: tasks fail or stall on it */
  struct rr_time slow_until;  /* its reports were slow */
  int32_t failed_in_row;
  struct rr_handle failed_job; /* of the last consecutive failure */
  int32_t best_effort_percent; /* speed limit of its best-effort tasks */
  struct rr_time best_effort_changed;
  /* Computed from RUNS at the start of a planning round.  */
  int64_t free_cores_milli;
  int64_t free_memory_mb;
  int64_t free_accelerators;
  int64_t best_effort_cores_milli;
  int64_t serving_cores_milli;
  bool has_suspect; /* runs that are suspected and have not survived yet */
  bool has_trial;
  bool held;              /* some of its capacity, for long-running tasks */
  bool heard;             /* in any life */
  bool loss_noted;        /* since it was last heard */
  bool lost;              /* at least once */
  struct rr_time lost_at; /* when it was last heard before its last loss */
  /* ... before its last loss that was not provoked; 0: none.  */
  struct rr_time lost_unprovoked_at;
};

struct rr_dispatch
{
  struct rr_dispatch_options o;
  struct rr_table *workers;
  struct rr_key_index *worker_ids;
  struct rr_table *jobs;
  struct rr_key_index *job_ids;
  struct rr_table *queues; /* of struct rr_queue_policy */
  struct rr_key_index *queue_names;
  struct dispatch_inherited *inherited;
  size_t inherited_count;
  size_t inherited_expired; /* workers that have not reported in time */
  struct rr_time inherited_at;
  struct rr_time inherited_until; /* leases not on record expire */
  /* ... also those that commands to former lives have given.  */
  struct rr_time inherited_longest_until;
  bool inherited_lives_unknown; /* nothing is on record */
  struct dispatch_dropped *dropped;
  size_t dropped_count;
  struct dispatch_suspicion *suspicions;
  size_t suspicion_count;
  struct dispatch_loss *losses;
  size_t loss_count;
  bool inheriting;
  bool releasing;                  /* another owner is to take over */
  struct rr_handle waiting_cursor; /* of rr_dispatch_waiting_tasks */
  struct rr_handle idle_cursor;    /* of rr_dispatch_idle_jobs */
  uint64_t first_run;       /* of inherited tasks: above former owners' runs */
  uint64_t former_run;      /* lowest run number of the last owner */
  uint64_t runs_end;        /* numbers below it are reserved */
  bool runs_low;            /* a task will soon need others */
  int64_t free_cores_milli; /* of usable workers, at the start of a round */
  struct rr_time audited;
  struct rr_time registrations_at; /* registrations are known as of then */
  bool registrations_stale;        /* too old to start tasks */
  int64_t start_bytes_left;        /* that may be sent in this round */
  struct dispatch_permit_want *permit_wants; /* of the last round */
  size_t permit_want_count;
  size_t permit_want_capacity;
  size_t permit_start;     /* first worker of the next step's first request */
  bool holding;            /* capacity for tasks that don't find any */
  bool log_holds;          /* in this round */
  size_t holds_left;       /* workers on which capacity may still be held */
  struct rr_policy policy; /* of the interference model */
  struct rr_interference *model;
  double base_ms[RR_CLASSES_MAX]; /* lowest tail latency seen, by image */
  struct rr_time model_refreshed;
};

enum
{
  /* No start is sent when less than this is left of the lease.  */
  START_LEASE_MIN_MS = 1000,
  /* A worker without a report for this long gets no new tasks: twice the
     interval between reports of an idle worker.  */
  REPORT_AGE_MAX_MS = 1600,
  /* A worker that was slow to report is avoided for this long, by tasks that
     have not waited for as long themselves.  */
  SLOW_AVOID_MS = 2000
};

/* Classes of ready jobs of one priority, placed in this order.  */
enum dispatch_ready_group
{
  READY_STARTED,      /* can meet its objective, and has started */
  READY_ON_TIME,      /* can still meet its objective */
  READY_LATE,         /* misses its objective; its result still has value */
  READY_LONG_RUNNING, /* runs until it is cancelled */
  READY_TOO_LATE      /* so late that its result has little value */
};

/* A job with ready tasks, and what decides its position in the order.  */
struct dispatch_ready_job
{
  struct dispatch_job *job;
  int32_t priority;
  enum dispatch_ready_group group;
  struct rr_time due;
  int64_t waited_ms; /* by the task that has waited longest */
};

enum
{
  /* When the long-running task that has waited longest has waited for more
     than this, it is placed before short ones, and capacity is held for it on
     one worker: otherwise short tasks would keep taking the free capacity bit
     by bit.  */
  CAPACITY_HOLD_AFTER_MS = 2000,
  /* The same for all long-running tasks after this long; what is held for
     several may be on one worker.  Short tasks have users who wait, so they go
     first until then. */
  LONG_RUNNING_FIRST_AFTER_MS = 4500,
  /* Share of the workers, besides one, on which capacity is held at a time. */
  CAPACITY_HOLD_WORKERS_MAX_PERCENT = 2,
  /* No capacity is held unless the free cores of all workers are at least this
     many times what the task needs.  */
  CAPACITY_HOLD_FACTOR = 2
};

bool dispatch_step_ready (const struct dispatch_job *j, int32_t occurrence,
                          size_t step);
struct rr_time dispatch_occurrence_start (const struct rr_dispatch *d,
                                          const struct dispatch_job *j,
                                          int32_t occurrence);
bool dispatch_ready_job_init (const struct rr_dispatch *d,
                              struct dispatch_job *j,
                              struct dispatch_ready_job *t,
                              struct rr_time now);
int dispatch_ready_job_compare (const void *a, const void *b);
int dispatch_ready_job_compare_waited (const void *a, const void *b);

void dispatch_worker_measure (struct dispatch_worker *w);
bool dispatch_worker_usable (const struct dispatch_worker *w,
                             struct rr_time now);
struct dispatch_worker *
dispatch_worker_select (struct rr_dispatch *d, struct dispatch_job *j,
                        const struct rr_run_name *name, uint32_t number,
                        const char *gang_rack, struct rr_time now);
int32_t dispatch_worker_room (struct rr_dispatch *d,
                              const struct dispatch_worker *w,
                              struct dispatch_job *j,
                              const struct rr_run_name *name,
                              struct rr_time now);
void dispatch_hold_capacity (struct rr_dispatch *d, struct dispatch_job *j,
                             const struct rr_run_name *name,
                             struct rr_time now);
void dispatch_place_job (struct rr_dispatch *d, struct dispatch_job *j,
                         struct rr_time now);

int64_t dispatch_hold_wait_ms (const struct dispatch_worker *w,
                               const struct rr_job_graph_step *s,
                               struct rr_time now);
void dispatch_hold_add (struct dispatch_worker *w,
                        const struct rr_job_graph_step *s);
void dispatch_hold_log (struct rr_dispatch *d, const struct dispatch_worker *w,
                        const struct rr_job_graph_step *s,
                        const struct rr_run_name *name, int64_t wait_ms);

void dispatch_log_decision (struct rr_dispatch *d, const char *event,
                            const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
const struct rr_queue_policy *
dispatch_queue_policy (const struct rr_dispatch *d,
                       const struct dispatch_job *j);
bool dispatch_needs_permits (const struct rr_dispatch *d,
                             const struct dispatch_job *j);
int32_t dispatch_attempts_max (const struct rr_dispatch *d,
                               const struct dispatch_job *j);
struct dispatch_job *dispatch_job_find (const struct rr_dispatch *d,
                                        const char *id);
struct dispatch_job *dispatch_job_get (const struct rr_dispatch *d,
                                       struct rr_handle h);
struct dispatch_worker *dispatch_worker_get (const struct rr_dispatch *d,
                                             struct rr_handle h);
struct dispatch_worker *dispatch_worker_find (const struct rr_dispatch *d,
                                              const char *id);
bool dispatch_task_number (const struct dispatch_job *j,
                           const struct rr_run_name *name, uint32_t *number);
void dispatch_task_name (const struct dispatch_job *j, uint32_t number,
                         struct rr_run_name *name);
struct dispatch_step *dispatch_step_of (struct dispatch_job *j,
                                        const struct rr_run_name *name);
bool dispatch_run_number_reserved (struct rr_dispatch *d,
                                   const struct dispatch_task *t,
                                   uint64_t run);
bool dispatch_task_placed_as (const struct dispatch_task *t, uint64_t run,
                              struct rr_handle worker);
bool dispatch_run_end_recorded (const struct dispatch_task *t, uint64_t run);
void dispatch_checkpoint_keep (struct dispatch_task *t, uint64_t run,
                               struct rr_text *checkpoint);
void dispatch_task_set (struct dispatch_job *j, uint32_t number,
                        enum task_state state);
void dispatch_task_end (struct rr_dispatch *d, struct dispatch_job *j,
                        uint32_t number, const struct rr_run_end *end,
                        struct rr_handle worker, struct rr_time now);
void dispatch_task_release (struct rr_dispatch *d, struct dispatch_job *j,
                            uint32_t number);
void dispatch_task_requeue (struct rr_dispatch *d, struct dispatch_job *j,
                            uint32_t number, struct rr_time now);
void dispatch_job_stop_runs (struct rr_dispatch *d, struct dispatch_job *j,
                             const char *reason);
void dispatch_job_fail (struct rr_dispatch *d, struct dispatch_job *j);
void dispatch_job_set_share (struct dispatch_job *j,
                             const struct rr_job_graph *g);
void dispatch_job_release (struct dispatch_job *j);
void dispatch_job_settle (struct rr_dispatch *d, struct dispatch_job *j);

void dispatch_run_requeue (struct rr_dispatch *d, struct dispatch_worker *w,
                           struct dispatch_run *r, const char *reason,
                           struct rr_time now);
void dispatch_worker_restarted (struct rr_dispatch *d,
                                struct dispatch_worker *w, int64_t started_ms,
                                struct rr_time now);
void dispatch_life_dropped (struct rr_dispatch *d,
                            const struct dispatch_dropped *dropped);
void dispatch_life_begin (struct dispatch_worker *w, int64_t started_ms,
                          struct rr_time now);
void dispatch_life_first (struct rr_dispatch *d, struct dispatch_worker *w,
                          struct rr_time now);
void dispatch_life_answered (struct rr_dispatch *d, struct dispatch_worker *w,
                             int64_t token);
void dispatch_lease_assume (struct dispatch_worker *w, int64_t ahead_ms);
const struct dispatch_inherited *
dispatch_inherited_find (const struct rr_dispatch *d, const char *id);
void dispatch_inherited_remove (struct rr_dispatch *d, const char *id);
void dispatch_inherited_restarted (struct rr_dispatch *d, const char *id,
                                   int64_t started_ms, struct rr_time now);
void dispatch_inheritance_settle (struct rr_dispatch *d,
                                  struct rr_time confirmed);
void dispatch_inheritance_log (struct rr_dispatch *d, struct rr_time now);
struct rr_time dispatch_lease_expiry (const struct dispatch_worker *w);
struct rr_time dispatch_runs_expiry (const struct rr_dispatch *d,
                                     const struct dispatch_worker *w);
struct dispatch_run *dispatch_run_find (struct dispatch_worker *w,
                                        const struct rr_run_name *name);
struct dispatch_run *dispatch_run_add (struct rr_dispatch *d,
                                       struct dispatch_worker *w,
                                       struct dispatch_job *j,
                                       const struct rr_run_name *name,
                                       struct rr_time now);
void dispatch_run_remove (struct rr_dispatch *d, struct dispatch_worker *w,
                          struct dispatch_run *r);
void dispatch_worker_release (struct dispatch_worker *w);
void dispatch_run_stop (struct dispatch_run *r, const char *reason);
void dispatch_expire (struct rr_dispatch *d, struct dispatch_worker *w,
                      struct rr_time confirmed, struct rr_time now);
const struct dispatch_permit *
dispatch_permit_find (struct dispatch_job *j, const struct rr_run_name *name,
                      const struct dispatch_worker *w, struct rr_time now);
void dispatch_permit_want_add (struct rr_dispatch *d, struct dispatch_job *j,
                               const struct rr_run_name *name,
                               struct rr_time now);
void dispatch_permit_refused (struct rr_dispatch *d, struct dispatch_job *j,
                              const struct rr_run_name *name,
                              const struct dispatch_worker *w,
                              struct rr_time now);
void dispatch_permit_accepted (struct dispatch_job *j,
                               const struct rr_run_name *name);
void dispatch_permits_free (struct dispatch_job *j);
void dispatch_interference_init (struct rr_dispatch *d);
void dispatch_interference_refresh (struct rr_dispatch *d, struct rr_time now);
void dispatch_interference_classify (struct rr_dispatch *d,
                                     struct dispatch_run *r,
                                     const struct rr_job_graph_step *s);
int32_t dispatch_interference_speed (const struct rr_dispatch *d,
                                     const struct dispatch_worker *w,
                                     int image, int64_t cores_milli);
int32_t dispatch_interference_tolerance (const struct rr_dispatch *d,
                                         const struct dispatch_worker *w,
                                         int image);
void dispatch_interference_update (struct rr_dispatch *d,
                                   struct dispatch_worker *w,
                                   struct rr_time now);
void dispatch_throttle_answered (struct dispatch_run *r,
                                 enum rr_command_outcome outcome,
                                 struct rr_time now);
void dispatch_throttle (struct rr_dispatch *d, struct dispatch_worker *w,
                        struct rr_time now);
void dispatch_log_waiting (struct rr_dispatch *d, int64_t interval_ms,
                           struct rr_time now);
void dispatch_health_end (struct rr_dispatch *d, struct dispatch_worker *w,
                          struct rr_handle job, enum rr_end_kind kind,
                          struct rr_time now);
bool dispatch_crash_suspected (const struct dispatch_task *t);
bool dispatch_crash_on_trial (const struct dispatch_task *t);
bool dispatch_crash_given_up (const struct dispatch_task *t);
void dispatch_crash_restore (struct rr_dispatch *d, struct dispatch_job *j,
                             uint32_t number, uint32_t stored,
                             struct rr_time now);
void dispatch_crash_receive (struct dispatch_task *t, uint32_t crashes);
void dispatch_crash_end_reported (struct rr_dispatch *d,
                                  struct dispatch_job *j, uint32_t number);
void dispatch_crash_clear (struct rr_dispatch *d, struct dispatch_job *j,
                           uint32_t number);
void dispatch_crash_worker_heard (struct rr_dispatch *d,
                                  const struct dispatch_worker *w);
void dispatch_crash_silence_check (struct rr_dispatch *d,
                                   struct dispatch_worker *w,
                                   struct rr_time now);
void dispatch_crash_audit (struct rr_dispatch *d, struct rr_time now);
void dispatch_crash_run_reported (struct rr_dispatch *d,
                                  const struct dispatch_worker *w,
                                  struct dispatch_run *r, struct rr_time now);
void dispatch_crash_worker_lost (struct rr_dispatch *d,
                                 struct dispatch_worker *w, bool restarted,
                                 const char *reason, struct rr_time now);
void dispatch_health_check (struct rr_dispatch *d, struct dispatch_worker *w,
                            struct rr_time now);

#endif
