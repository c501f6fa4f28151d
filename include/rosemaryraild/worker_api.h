#ifndef ROSEMARYRAILD_WORKER_API_H
#define ROSEMARYRAILD_WORKER_API_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/http_client.h"
#include "common/upstream.h"
#include "rosemaryrail/ledger.h"
#include "rosemaryraild/message.h"

/* Client of the workers' HTTP API.  The paths and JSON fields are known only
   to worker_api.c.  All times are on the worker's clock.  */

enum
{
  WORKER_CHECKPOINT_SIZE = 129,
  WORKER_COLOCATED_MAX = 16,
  WORKER_SPEED_UNKNOWN = -1
};

enum worker_call_state
{
  WORKER_OK,
  WORKER_REFUSED,  /* the worker did not carry it out; `reason` says why */
  WORKER_NOT_SENT, /* the call never left this process */
  WORKER_UNKNOWN   /* the worker may have carried it out */
};

struct worker_endpoint
{
  char address[64];
  uint16_t port;
};

/* An attempt, running or ended, in a worker's status report.  */
struct worker_task
{
  char task[RR_TASK_ID_SIZE];
  uint32_t attempt;
  bool running;
  bool sized; /* `declared` is known */
  char kind[16];
  char service[NAME_SIZE];
  char task_class[NAME_SIZE];
  char team[NAME_SIZE];
  struct rr_resources declared;
  char result[32];
  char checkpoint[WORKER_CHECKPOINT_SIZE];
  int64_t sequence;   /* ended attempts: order of the ends on this worker */
  unsigned evictions; /* of earlier attempts; older workers state none */
  int64_t granted_until_ms;
  int speed_percent; /* or WORKER_SPEED_UNKNOWN: older workers don't state it
                      */
};

/* Resource usage of one attempt in a past window.  */
struct worker_usage
{
  char task[RR_TASK_ID_SIZE];
  uint32_t attempt;
  char task_class[NAME_SIZE];
  int64_t window_start_ms;
  int64_t window_end_ms;
  int64_t cores_milli;
  int64_t memory_mb;
  int64_t done_ms;
};

/* Latency of one service in a past window, and the batch classes that ran on
   the worker in it.  */
struct worker_service_usage
{
  char service[NAME_SIZE];
  int64_t window_start_ms;
  int64_t window_end_ms;
  int64_t count;
  int64_t mean_us;
  int64_t p99_us;
  char colocated[WORKER_COLOCATED_MAX][NAME_SIZE];
  size_t colocated_count;
};

/* Status report of a worker: its response to a claim or report call.  */
struct worker_status_report
{
  uint64_t epoch;
  uint64_t incarnation;
  struct rr_time now;
  struct rr_resources capacity; /* only in the response to a claim */
  bool leaving;
  int64_t requests;
  struct worker_task *tasks;
  size_t task_count;
  struct worker_usage *usage;
  size_t usage_count;
  struct worker_service_usage *services;
  size_t service_count;
};

/* Result of a call.  Valid only during the callback.  */
struct worker_reply
{
  enum worker_call_state state;
  const char *reason;
  const struct worker_status_report *report; /* claim and report */
  int64_t remaining_ms;           /* refused claim: of the holder's lease */
  const struct worker_task *task; /* seal, stop and checkpoint */
  bool never_started;             /* seal: the attempt never started */
  size_t bytes;
};

typedef void worker_done_fn (void *data, const struct worker_reply *r);

struct worker_start
{
  uint64_t epoch;
  const peer_task *task;
  int64_t void_after_ms;
  int64_t granted_until_ms;
  int64_t lease_ms;
};

struct worker_attempt
{
  uint64_t epoch;
  const char *task;
  uint32_t attempt;
  uint32_t shard;
  uint64_t shard_epoch;
};

void worker_claim (struct http_client *c, const struct worker_endpoint *to,
                   const char *daemon, uint64_t incarnation, int64_t lease_ms,
                   uint64_t timeout_ms, worker_done_fn *done, void *data);
void worker_release (struct http_client *c, const struct worker_endpoint *to,
                     uint64_t epoch, uint64_t timeout_ms, worker_done_fn *done,
                     void *data);
void worker_report (struct http_client *c, const struct worker_endpoint *to,
                    uint64_t epoch, int64_t lease_ms,
                    const struct rr_renewal *renewals,
                    const struct rr_time *grants, size_t count,
                    int64_t ended_after, uint64_t timeout_ms,
                    worker_done_fn *done, void *data);
void worker_start (struct http_client *c, const struct worker_endpoint *to,
                   const struct worker_start *start, uint64_t timeout_ms,
                   worker_done_fn *done, void *data);
void worker_seal (struct http_client *c, const struct worker_endpoint *to,
                  const struct worker_attempt *attempt, uint64_t timeout_ms,
                  worker_done_fn *done, void *data);
void worker_stop (struct http_client *c, const struct worker_endpoint *to,
                  const struct worker_attempt *attempt, uint64_t timeout_ms,
                  worker_done_fn *done, void *data);
void worker_checkpoint (struct http_client *c,
                        const struct worker_endpoint *to,
                        const struct worker_attempt *attempt,
                        uint64_t timeout_ms, worker_done_fn *done, void *data);
void worker_throttle (struct http_client *c, const struct worker_endpoint *to,
                      const struct worker_attempt *attempt, int speed_percent,
                      uint64_t timeout_ms, worker_done_fn *done, void *data);

/* Sends a caller's request.  DONE gets the raw HTTP result, since the response
   is passed on to the caller; worker_refused distinguishes a refusal before
   the start of the request from a response of the service.  */
void worker_execute (struct upstream *u, uint64_t epoch,
                     const struct request *r, uint64_t timeout_ms,
                     size_t answer_max_bytes, http_done_fn *done, void *data);
bool worker_refused (const struct http_result *r, char *reason, size_t size);

#endif
