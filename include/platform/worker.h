#ifndef PLATFORM_WORKER_H
#define PLATFORM_WORKER_H

#include "common/upstream.h"
#include "rosemaryrail/dispatch.h"

/* Calls to one worker of the platform.  TOKEN is the fencing token of the
   sender, LEASE_END a time on the worker's clock (0: none).  */

struct platform_worker_poll
{
  const char *id;
  int64_t token;
  int64_t lease_end;
  int64_t observed; /* ends up to this one may be forgotten */
  int64_t wait_ms;  /* longest wait for an end; 0: answer at once */
  uint64_t timeout_ms;
};

/* OUTCOME is accepted with a REPORT, or tells why there is none.  */
typedef void platform_worker_poll_fn (void *data,
                                      enum rr_command_outcome outcome,
                                      const struct rr_worker_report *report);

typedef void platform_worker_command_fn (void *data,
                                         enum rr_command_outcome outcome,
                                         int64_t clock_ms);

void platform_worker_poll (struct upstream *u,
                           const struct platform_worker_poll *look,
                           struct rr_time (*now) (void),
                           platform_worker_poll_fn *done, void *data);
void platform_worker_send_command (struct upstream *u,
                                   const struct rr_command *o, int64_t token,
                                   int64_t lease_end, uint64_t timeout_ms,
                                   platform_worker_command_fn *done,
                                   void *data);

#endif
