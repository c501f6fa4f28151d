#ifndef PLATFORM_WORKER_H
#define PLATFORM_WORKER_H

#include "common/upstream.h"
#include "rosemaryrail/dispatch.h"

/* Calls to a worker of the platform.  TOKEN or FENCING_TOKEN is the fencing
   token of the sender; LEASE_END is a time in milliseconds on the worker's
   clock (0: none).  */

struct platform_worker_poll
{
  const char *id;
  int64_t token;
  int64_t lease_end;
  int64_t observed; /* the worker may discard ends up to this number */
  int64_t wait_ms;  /* how long to wait for a run to end; 0: not at all */
  uint64_t timeout_ms;
};

/* REPORT is null unless OUTCOME is RR_OUTCOME_ACCEPTED.  Valid only during the
   callback.  */
typedef void platform_worker_poll_fn (void *data,
                                      enum rr_command_outcome outcome,
                                      const struct rr_worker_report *report);

/* CONNECTION_AGE_MS: how long ago the connection was opened on which the
   command was sent; 0 if that is not known.  */
typedef void platform_worker_command_fn (void *data,
                                         enum rr_command_outcome outcome,
                                         int64_t clock_ms,
                                         int64_t connection_age_ms);

void platform_worker_poll (struct upstream *u,
                           const struct platform_worker_poll *poll,
                           struct rr_time (*now) (void),
                           platform_worker_poll_fn *done, void *data);
void platform_worker_send_command (struct upstream *u,
                                   const struct rr_command *command,
                                   int64_t fencing_token, int64_t lease_end,
                                   uint64_t timeout_ms,
                                   platform_worker_command_fn *done,
                                   void *data);

#endif
