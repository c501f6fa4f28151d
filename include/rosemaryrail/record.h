#ifndef ROSEMARYRAIL_RECORD_H
#define ROSEMARYRAIL_RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rosemaryrail/error.h"

enum
{
  RR_NAME_MAX = 64,        /* job, team, class, worker, daemon, zone */
  RR_REQUEST_ID_MAX = 128, /* request ids and idempotency keys */
  RR_TEXT_MAX = 160,       /* reasons and notes */
  RR_CHECKPOINT_MAX = 128,
  RR_BODY_MAX = 4096, /* longer response bodies are not stored */
  RR_TASKS_MAX = 1024 /* tasks per job; this many fit into an empty shard */
};

enum rr_record_kind
{
  RR_RECORD_OWNERSHIP_TAKEN = 1,
  RR_RECORD_OWNERSHIP_RELEASED,
  RR_RECORD_JOB_SUBMITTED,
  RR_RECORD_JOB_CANCELLED,
  RR_RECORD_JOB_NOTED,     /* explanation, e.g. why the job cannot run */
  RR_RECORD_JOB_FORGOTTEN, /* a finished job was removed after retention */
  RR_RECORD_ATTEMPT_PLACED,
  RR_RECORD_ATTEMPT_RUNNING,
  RR_RECORD_ATTEMPT_ENDED,
  RR_RECORD_GRANT_EXTENDED,
  RR_RECORD_REQUEST_GRANTED,
  RR_RECORD_REQUEST_RESULT,
  RR_RECORD_REQUESTS_EXPIRED
};

enum rr_job_kind
{
  RR_JOB_BATCH = 0,
  RR_JOB_SERVICE
};

/* How an attempt ended.  */
enum rr_attempt_result
{
  RR_RESULT_SUCCEEDED = 0,
  RR_RESULT_FAILED,
  RR_RESULT_EVICTED,      /* stopped to free its worker; will be resumed */
  RR_RESULT_STOPPED,      /* stopped because its job was cancelled */
  RR_RESULT_LOST,         /* its worker disappeared or its lease expired */
  RR_RESULT_NEVER_STARTED /* sealed or refused before it ran */
};

/* Evidence that an attempt has ended (design section 5.2).  */
enum rr_end_proof
{
  RR_PROOF_REPORTED = 0,     /* the worker reported the end */
  RR_PROOF_SEALED,           /* the worker answered "never" to a seal */
  RR_PROOF_REFUSED,          /* the worker refused the only start sent */
  RR_PROOF_LEASE_EXPIRED,    /* confirmed by every daemon of the zone */
  RR_PROOF_INCARNATION_GONE, /* was in the VM list and is no longer */
  RR_PROOF_GRANT_EXPIRED,    /* granted_until has passed */
  RR_PROOF_NOT_SENT          /* this owner recorded it but sent no start */
};

enum rr_request_outcome
{
  RR_REQUEST_ANSWERED = 0,
  RR_REQUEST_NOT_RUN, /* the owner may grant the id again */
  RR_REQUEST_UNKNOWN
};

/* A byte buffer owned by the structure that contains it.  */
struct rr_bytes
{
  uint8_t *data;
  uint32_t length;
};

struct rr_record_ownership_taken
{
  char owner[RR_NAME_MAX + 1];
  uint64_t incarnation;     /* of the daemon */
  uint64_t takeover_number; /* counts takeovers by that daemon incarnation */
};

struct rr_record_ownership_released
{
  char successor[RR_NAME_MAX + 1];
};

struct rr_record_job_submitted
{
  char job[RR_NAME_MAX + 1];
  char team[RR_NAME_MAX + 1];
  char job_class[RR_NAME_MAX + 1];
  char service[RR_NAME_MAX + 1]; /* empty for batch jobs */
  enum rr_job_kind kind;
  uint32_t tasks;
  uint32_t cores_milli;
  uint32_t memory_mb;
  uint32_t accelerators;
  int64_t work_ms;
  bool urgent;
  int64_t isolation_limit_ms;
  int32_t priority;
  uint32_t weight_milli;
  uint32_t max_failures; /* failed attempts per task; 0: no limit */
};

struct rr_record_job_cancelled
{
  char job[RR_NAME_MAX + 1];
  char reason[RR_TEXT_MAX + 1];
};

struct rr_record_job_noted
{
  char job[RR_NAME_MAX + 1];
  char text[RR_TEXT_MAX + 1];
};

struct rr_record_job_forgotten
{
  char job[RR_NAME_MAX + 1];
};

/* All times in records of attempts are on the worker's clock.  */
struct rr_record_attempt_placed
{
  char job[RR_NAME_MAX + 1];
  uint32_t task;
  uint32_t attempt;
  char worker[RR_NAME_MAX + 1];
  char zone[RR_NAME_MAX + 1];
  uint64_t worker_incarnation;
  uint64_t controller_epoch;
  int64_t void_after_ms;
  int64_t granted_until_ms;
};

struct rr_record_attempt_running
{
  char job[RR_NAME_MAX + 1];
  uint32_t task;
  uint32_t attempt;
};

struct rr_record_attempt_ended
{
  char job[RR_NAME_MAX + 1];
  uint32_t task;
  uint32_t attempt;
  enum rr_attempt_result result;
  enum rr_end_proof proof;
  char checkpoint[RR_CHECKPOINT_MAX + 1]; /* empty: none */
  char detail[RR_TEXT_MAX + 1];
};

struct rr_record_grant_extended
{
  char job[RR_NAME_MAX + 1];
  uint32_t task;
  uint32_t attempt;
  int64_t granted_until_ms;
};

struct rr_record_request_granted
{
  char request[RR_REQUEST_ID_MAX + 1];
  char holder[RR_NAME_MAX + 1]; /* the entry daemon that may send it */
  uint64_t holder_incarnation;
  uint64_t ask;        /* number of the holder's request for the grant, unique
                          within its incarnation; matches a result to the
                          grant that it belongs to */
  int64_t deadline_ms; /* wall clock */
};

struct rr_record_request_result
{
  char request[RR_REQUEST_ID_MAX + 1];
  uint64_t holder_incarnation;
  uint64_t ask; /* of the grant */
  enum rr_request_outcome outcome;
  uint32_t status; /* HTTP status */
  char content_type[RR_NAME_MAX + 1];
  bool body_kept; /* false: only the status was stored */
  struct rr_bytes body;
};

struct rr_record_requests_expired
{
  int64_t until_ms; /* wall clock; removes requests granted up to this time */
};

/* One durable state change of a shard.  */
struct rr_record
{
  enum rr_record_kind kind;
  int64_t at_ms; /* writer's wall clock, used for history and retention */
  union
  {
    struct rr_record_ownership_taken ownership_taken;
    struct rr_record_ownership_released ownership_released;
    struct rr_record_job_submitted job_submitted;
    struct rr_record_job_cancelled job_cancelled;
    struct rr_record_job_noted job_noted;
    struct rr_record_job_forgotten job_forgotten;
    struct rr_record_attempt_placed attempt_placed;
    struct rr_record_attempt_running attempt_running;
    struct rr_record_attempt_ended attempt_ended;
    struct rr_record_grant_extended grant_extended;
    struct rr_record_request_granted request_granted;
    struct rr_record_request_result request_result;
    struct rr_record_requests_expired requests_expired;
  } u;
};

const char *rr_record_kind_name (enum rr_record_kind kind);
const char *rr_attempt_result_name (enum rr_attempt_result result);
const char *rr_end_proof_name (enum rr_end_proof proof);
bool rr_record_copy (struct rr_record *to, const struct rr_record *from);
void rr_record_clear (struct rr_record *r);
size_t rr_record_size (const struct rr_record *r);
bool rr_record_encode (const struct rr_record *r, uint8_t *buffer,
                       size_t capacity, size_t *length, struct rr_error *err);
bool rr_record_decode (struct rr_record *r, const uint8_t *data, size_t length,
                       size_t *used, struct rr_error *err);

#endif
