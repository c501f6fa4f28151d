#ifndef PLATFORM_DOCUMENTS_H
#define PLATFORM_DOCUMENTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rosemaryrail/dispatch.h"
#include "rosemaryrail/error.h"
#include "rosemaryrail/job_graph.h"
#include "rosemaryrail/progress.h"
#include "rosemaryrail/queues.h"

/* Decoders of the platform's documents and encoders of responses to callers.
 */

#define PLATFORM_CONFIG_KEY "op/config"
#define PLATFORM_WORKERS_PREFIX "servers/"
#define PLATFORM_READY_PATH "/-/readyz"
/* Header of a request: how long the caller waits for a response, in
   milliseconds.  */
#define PLATFORM_DEADLINE_HEADER "deadline-ms"

/* Decodes BODY, the body of the submission of job ID.  Returns null with
   RR_ERROR_INVALID if it is malformed.  */
struct rr_job_graph *platform_job_decode (const char *id, const char *body,
                                          size_t length, struct rr_error *err);

/* Decodes the operator's configuration; null with RR_ERROR_INVALID if it is
   malformed.  */
struct rr_queues *platform_config_decode (const char *text, size_t length,
                                          struct rr_error *err);

/* A worker, as registered in the store.  */
struct platform_worker
{
  struct rr_worker_info info;
  char zone[RR_JOB_NAME_SIZE];
  char address[RR_JOB_NAME_SIZE]; /* IP address */
  uint16_t port;
};

/* Decodes TEXT, the registration of a worker under KEY; false with
   RR_ERROR_INVALID if it is malformed, the worker's state is unknown, or a
   number is one that no worker has.  */
bool platform_worker_decode (const char *key, const char *text, size_t length,
                             struct platform_worker *w, struct rr_error *err);

/* Returns a digest of TEXT, the registration of a worker, that changes with
   more than a heartbeat.  */
uint64_t platform_worker_digest (const char *text, size_t length);

/* Bodies of responses to callers, in JSON.  */
const char *platform_state_response (enum rr_job_phase phase);
void platform_pending_response (size_t pending, char *out, size_t size);

#endif
