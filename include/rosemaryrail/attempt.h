#ifndef ROSEMARYRAIL_ATTEMPT_H
#define ROSEMARYRAIL_ATTEMPT_H

#include "rosemaryrail/clock.h"
#include "rosemaryrail/record.h"

enum
{
  RR_START_WINDOW_MS = 5000, /* void_after_ms minus the clock reading */
  /* Allowance for clocks of different rate when a wait on this daemon's clock
     stands for a limit on a worker's clock.  */
  RR_CLOCK_MARGIN_MS = 1000,
  RR_ISOLATION_DEFAULT_MS = 2 * 60 * 60 * 1000 /* when a job gives 0 */
};

enum rr_attempt_state
{
  RR_ATTEMPT_NONE = 0, /* no attempt recorded yet */
  RR_ATTEMPT_PLACED,   /* recorded, not confirmed as running */
  RR_ATTEMPT_RUNNING,
  RR_ATTEMPT_ENDED
};

/* Durable state of a task's latest attempt, plus what this owner did with it
   (the fields under "this tenure" are never stored).  */
struct rr_attempt
{
  uint32_t number; /* from 1; 0: none */
  enum rr_attempt_state state;
  char worker[RR_NAME_MAX + 1];
  char zone[RR_NAME_MAX + 1];
  uint64_t worker_incarnation;
  uint64_t controller_epoch;
  int64_t void_after_ms;    /* worker's clock */
  int64_t granted_until_ms; /* worker's clock */
  enum rr_attempt_result result;
  enum rr_end_proof proof;

  /* This tenure.  */
  bool own;                   /* placed by this owner in this tenure */
  bool start_sent;            /* one start at most is ever sent */
  bool start_refused;         /* the only start was refused */
  bool seal_needed;           /* the start got no clear answer */
  struct rr_time expiry_base; /* owner's clock, at or after the last append
                                that moved void or grant */
  struct rr_time
      placement_queued_at; /* owner's clock when the placement was queued */
};

enum rr_task_state
{
  RR_TASK_OPEN = 0,
  RR_TASK_SUCCEEDED,
  RR_TASK_FAILED,
  RR_TASK_CANCELLED
};

struct rr_task
{
  enum rr_task_state state;
  uint32_t failures;
  uint32_t evictions;
  char checkpoint[RR_CHECKPOINT_MAX + 1]; /* latest; empty: none */
  struct rr_attempt attempt;
  uint32_t pending; /* records queued or in flight; never stored */
};

/* What the owner knows about the worker of a task's attempt right now.  */
struct rr_worker_view
{
  bool reachable;     /* a ledger owner for it answers */
  bool gone;          /* incarnation was in the VM list and no longer is */
  bool lease_expired; /* every daemon of its zone confirmed (section 5.2);
                         asked after the start became void */
  bool clock_known;
  int64_t clock_ms; /* reading of the worker's clock */
};

enum rr_task_action_kind
{
  RR_TASK_NO_ACTION = 0,
  RR_TASK_PLACE,        /* reserve, then append the attempt */
  RR_TASK_SEND_START,   /* then call rr_attempt_start_sent */
  RR_TASK_SEAL,         /* ask the worker to seal the attempt */
  RR_TASK_PROVE_LEASE,  /* worker unreachable: ask its zone's daemons */
  RR_TASK_WAIT,         /* nothing before `until` unless something changes */
  RR_TASK_EXTEND_GRANT, /* append a grant up to `granted_until_ms` */
  RR_TASK_STOP,         /* job cancelled: stop the attempt */
  RR_TASK_RECORD_END    /* append the end with `result` and `proof` */
};

struct rr_task_action
{
  enum rr_task_action_kind kind;
  uint32_t attempt;         /* number to place, start, seal, ... */
  struct rr_time until;     /* RR_TASK_WAIT and RR_TASK_PROVE_LEASE: when to
                               look again at the latest, owner's clock */
  int64_t granted_until_ms; /* RR_TASK_EXTEND_GRANT, worker's clock */
  enum rr_attempt_result result; /* RR_TASK_RECORD_END */
  enum rr_end_proof proof;       /* RR_TASK_RECORD_END */
};

/* Answer of a worker to the start of an attempt.  */
enum rr_start_response
{
  RR_START_ACCEPTED = 0,
  RR_START_REFUSED,
  RR_START_NO_RESPONSE
};

struct rr_job;

struct rr_task_action rr_task_next_action (const struct rr_job *job,
                                           uint32_t task,
                                           const struct rr_worker_view *view,
                                           struct rr_time now);
bool rr_attempt_start_sent (struct rr_job *job, uint32_t task,
                            uint32_t attempt);
bool rr_attempt_start_response (struct rr_job *job, uint32_t task,
                                uint32_t attempt,
                                enum rr_start_response answer);
bool rr_attempt_apply_placed (struct rr_job *job,
                              const struct rr_record_attempt_placed *p,
                              struct rr_time now, struct rr_error *err);
bool rr_attempt_apply_running (struct rr_job *job,
                               const struct rr_record_attempt_running *p,
                               struct rr_error *err);
bool rr_attempt_apply_ended (struct rr_job *job,
                             const struct rr_record_attempt_ended *p,
                             struct rr_error *err);
bool rr_attempt_apply_grant_extended (struct rr_job *job,
                                      const struct rr_record_grant_extended *p,
                                      struct rr_time now,
                                      struct rr_error *err);
bool rr_attempt_is_live (const struct rr_attempt *a);
const char *rr_attempt_state_name (enum rr_attempt_state state);
const char *rr_task_action_name (enum rr_task_action_kind kind);
void rr_task_name (const char *job, uint32_t task, char *buffer, size_t size);

#endif
