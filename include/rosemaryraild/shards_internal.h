#ifndef ROSEMARYRAILD_SHARDS_INTERNAL_H
#define ROSEMARYRAILD_SHARDS_INTERNAL_H

#include <uv.h>

#include "rosemaryrail/batch_queue.h"
#include "rosemaryrail/pacing.h"
#include "rosemaryrail/shard_log.h"
#include "rosemaryraild/daemon.h"
#include "rosemaryraild/peers.h"
#include "rosemaryraild/shards.h"

enum
{
  SHARD_CALL_TIMEOUT_MS = 2000,
  TASK_NAME_SIZE = RR_NAME_MAX + 12
};

struct shard
{
  struct shards *ss;
  uint32_t number;
  struct rr_shard_log *log;
  struct rr_time elected_since; /* 0 if not elected */
  bool scan_needed;             /* scan the jobs at the next tick */
  struct rr_time next_scan;
  struct rr_time next_expiry;
  struct rr_batch_queue *queue; /* set only during a placement round */
};

/* What to do when the outcome of a queued record is known.  */
enum pending_kind
{
  PENDING_RECORD, /* only scan the shard's jobs again */
  PENDING_GRANT,  /* the others: answer the call that led to the record */
  PENDING_RESULT,
  PENDING_SUBMIT,
  PENDING_CANCEL,
  PENDING_END
};

struct pending
{
  enum pending_kind kind;
  struct call_origin origin;
  char id[REQUEST_ID_SIZE];
};

/* State of a task that is not recorded in the log: a call to another actor or
   daemon in progress, the delay before the next one, the state of a lease
   proof.  */
struct busy_task
{
  struct shard *shard;
  char job[RR_NAME_MAX + 1];
  uint32_t task;
  uint32_t attempt;
  char name[TASK_NAME_SIZE];
  bool call_in_progress;
  bool reserving; /* reservation in ZONE requested, or its record queued */
  char zone[NAME_SIZE];
  struct rr_time retry_at;           /* not scanned before this time */
  unsigned retries;                  /* delays since the last reservation */
  struct rr_time waiting_since;      /* for a reservation */
  unsigned lease_proofs_outstanding; /* daemons yet to answer */
  bool lease_proof_failed;
  bool promise_round; /* second round: promises not to claim the worker */
  bool grant_extension_pending; /* not sent to the ledger owner yet */
  bool lease_expired;
  char filters[160];
};

/* Offset of a worker's clock from the clock of this daemon, from the latest
   reading.  */
struct worker_clock
{
  char worker[NAME_SIZE];
  uint64_t incarnation;
  int64_t offset_ms;
};

struct shards
{
  struct daemon *d;
  struct shard shard[RR_SHARD_COUNT];
  uv_timer_t timer;
  struct rr_table *pending; /* of struct pending */
  struct rr_table *busy;    /* of struct busy_task */
  struct rr_key_index *busy_index;
  struct worker_clock clocks[1024];
  size_t clock_count;
  unsigned handovers_left; /* of the shards owned when the shutdown began */
  struct rr_policy policy;
  struct rr_pacer restarts;
  struct rr_pacer cancels;
  char alarm[REASON_SIZE];
  int64_t alarm_since_ms;
};

/* A call about an attempt of a task (reserve, start, seal, stop, lease proof
   or grant extension) that is in progress.  */
struct task_call
{
  struct shards *ss;
  char name[TASK_NAME_SIZE];
  uint32_t attempt;
  char worker[NAME_SIZE];
  uint64_t incarnation;
  char zone[NAME_SIZE];
  int64_t granted_until_ms;
};

/* shards.c */
void shard_outputs_process (struct shard *s);
bool shard_append (struct shard *s, struct rr_record *r, uint64_t token,
                   struct rr_error *err);
uint64_t pending_add (struct shards *ss, enum pending_kind kind,
                      const struct call_origin *origin, const char *id);

/* shards_busy.c */
struct busy_task *busy_task_get (struct shard *s, const struct rr_job *job,
                                 uint32_t task);
struct busy_task *busy_task_find (struct shards *ss, const char *name);
void busy_task_remove (struct shards *ss, struct busy_task *b);
void busy_task_back_off (struct busy_task *b);
void busy_task_resume (struct busy_task *b);
void shard_record_queue (struct shard *s, struct rr_record *r);
struct worker_clock *shards_clock_find (struct shards *ss, const char *worker,
                                        uint64_t incarnation);
void shards_clock_update (struct shards *ss, const char *worker,
                          uint64_t incarnation, int64_t worker_now_ms);
peer_task shards_task_args (struct shard *s, const struct rr_job *job,
                            uint32_t task, uint32_t attempt, const char *name);
struct task_call *task_call_new (struct busy_task *b, uint32_t attempt);
struct busy_task *task_call_resolve (const struct task_call *c,
                                     struct rr_job **job);

/* shards_place.c */
void shard_placement_begin (struct shard *s);
void shard_placement_charge (struct shard *s, const struct rr_job *job);
void shard_placement_task_add (struct shard *s, const struct rr_job *job,
                               uint32_t task);
void shard_placement_run (struct shard *s, struct rr_time now);
void shards_policy_update (struct shards *ss);

/* shards_tasks.c */
void shard_scan (struct shard *s, struct rr_time now);
void shards_task_ended (struct shards *ss,
                        const struct message_rpc_request *q);
const char *shards_task_filters_get (struct shards *ss, const char *job,
                                     uint32_t task);

/* shards_grants.c */
void shards_grant_request (struct shards *ss, struct request *r);
void shards_result_send (struct shards *ss, struct request *r);
void shards_grant_answer (struct shards *ss,
                          const struct message_rpc_request *q);
void shards_result_answer (struct shards *ss,
                           const struct message_rpc_request *q);
void shards_grant_settled (struct shard *s, const struct pending *p,
                           enum rr_commit commit, bool applied);

/* shards_jobs.c */
void shards_job_answer (struct shards *ss,
                        const struct message_rpc_request *q);
void shards_job_settled (struct shard *s, const struct pending *p,
                         enum rr_commit commit, bool applied,
                         const struct rr_error *reason);
void shards_sync_config (struct shard *s);

#endif
