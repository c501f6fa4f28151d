#ifndef ROSEMARYRAILD_WORKER_API_H
#define ROSEMARYRAILD_WORKER_API_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/http_client.h"
#include "common/upstream.h"
#include "rosemaryrail/ledger.h"
#include "rosemaryraild/message.h"

/* The workers' protocol.  Everything that depends on its form is in
   worker_api.c; all times are on the worker's clock.  */

enum
{
  WORKER_CHECKPOINT_SIZE = 129,
  WORKER_COLOCATED_MAX = 16
};

enum worker_call_state
{
  WORKER_OK,
  WORKER_REFUSED,  /* the worker did not do it; `reason` says why */
  WORKER_NOT_SENT, /* nothing left this process */
  WORKER_UNKNOWN   /* may have been done */
};

struct worker_endpoint
{
  char address[64];
  uint16_t port;
};

/* One task of a worker's account.  */
struct worker_task
{
  char task[RR_TASK_ID_SIZE];
  uint32_t attempt;
  bool running;
  bool sized;
  char kind[16];
  char service[NAME_SIZE];
  char task_class[NAME_SIZE];
  char team[NAME_SIZE];
  struct rr_resources declared;
  char result[32];
  char checkpoint[WORKER_CHECKPOINT_SIZE];
  int64_t sequence; /* order of ends on this worker */
  int64_t granted_until_ms;
};

/* What one task used in a past window.  */
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

/* Latency of one service in a past window, and the batch classes that ran in
   it.  */
struct worker_service_usage
{
  char service[NAME_SIZE];
  int64_t window_start_ms;
  int64_t window_end_ms;
  int64_t count;
  int64_t mean_us;
  int64_t p99_us;
  char together[WORKER_COLOCATED_MAX][NAME_SIZE];
  size_t colocated_count;
};

/* Answer to a claim or report.  */
struct worker_status_report
{
  uint64_t epoch;
  uint64_t incarnation;
  struct rr_time now;
  struct rr_resources capacity; /* claim only */
  bool leaving;
  int64_t requests;
  struct worker_task *tasks;
  size_t task_count;
  struct worker_usage *usage;
  size_t usage_count;
  struct worker_service_usage *services;
  size_t service_count;
};

/* Valid only during the callback.  */
struct worker_reply
{
  enum worker_call_state state;
  const char *reason;
  const struct worker_status_report *account; /* claim and report */
  int64_t remaining_ms;                       /* refused claim */
  const struct worker_task *task;             /* seal, stop and checkpoint */
  bool never;                                 /* seal: it never started */
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
                      const struct worker_attempt *attempt, int percent,
                      uint64_t timeout_ms, worker_done_fn *done, void *data);

/* A request of a caller.  The result is raw, since the answer belongs to the
   caller; worker_refused tells a refusal before the start from an answer.  */
void worker_execute (struct upstream *u, uint64_t epoch,
                     const struct request *r, uint64_t timeout_ms,
                     size_t answer_max_bytes, http_done_fn *done, void *data);
bool worker_refused (const struct http_result *r, char *reason, size_t size);

#endif
