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

/* The platform's documents, decoded into the project's types.  */

#define PLATFORM_CONFIG_KEY "op/config"
#define PLATFORM_WORKERS_PREFIX "servers/"
#define PLATFORM_READY_PATH "/-/readyz"
/* How long a caller waits for a response, in milliseconds.  */
#define PLATFORM_DEADLINE_HEADER "deadline-ms"

/* Reads the body of a submission; ID comes from its path.  Null with
   RR_ERROR_INVALID otherwise.  */
struct rr_job_graph *platform_job_decode (const char *id, const char *body,
                                          size_t length, struct rr_error *err);

/* Reads the operator's configuration; null with RR_ERROR_INVALID.  */
struct rr_queues *platform_config_decode (const char *text, size_t length,
                                          struct rr_error *err);

/* A worker's entry in the store.  */
struct platform_worker
{
  struct rr_worker_info info;
  char zone[RR_JOB_NAME_SIZE];
  char address[RR_JOB_NAME_SIZE]; /* IP number */
  uint16_t port;
};

/* Reads the entry KEY of a worker; false when it names no worker to use.  */
bool platform_worker_decode (const char *key, const char *text, size_t length,
                             struct platform_worker *w, struct rr_error *err);

/* Answers to the caller, JSON texts.  */
const char *platform_state_response (enum rr_job_phase phase);
void platform_pending_response (size_t pending, char *out, size_t size);

#endif
