#ifndef ROSEMARYENTRYD_FRONT_PRIVATE_H
#define ROSEMARYENTRYD_FRONT_PRIVATE_H

#include "common/http_server.h"
#include "rosemaryentryd/front.h"
#include "rosemaryentryd/records.h"

enum
{
  STORE_CALL_TIMEOUT_MS = 700 /* of one call to a store that is quick */
};

struct front
{
  struct entry *entry;
  struct http_server *callers;
  struct http_server *health_checks;
};

/* A caller's request that is in progress.  */
struct request
{
  struct front *front;
  struct http_exchange *exchange;
  enum
  {
    REQUEST_SUBMIT,
    REQUEST_CANCEL,
    REQUEST_STATE
  } kind;
  char id[RR_JOB_NAME_SIZE];
  char job_key[KEY_SIZE];
  char cancel_key[KEY_SIZE];
  char queue[RR_JOB_NAME_SIZE];
  char record[RR_JOB_NAME_SIZE]; /* whose phase is being read */
  size_t next_part;              /* shard of the next part to read */
  char *text;                    /* job graph to write */
  bool unknown; /* a write may have taken effect or may do so later */
  struct rr_time arrived;
  struct rr_time deadline;
  uv_timer_t retry_timer;
};

void request_finish (struct request *q, int status, const char *json);
uint64_t request_store_timeout_ms (const struct request *q);
void request_retry (struct request *q, const struct store_result *r);
void request_store_job (struct request *q);
void request_store_cancellation (struct request *q);
void request_finish_phase (struct request *q);
void request_read_phase (struct request *q, const struct job_record *j);

#endif
