#ifndef PLATFORM_PERMITS_H
#define PLATFORM_PERMITS_H

#include "common/upstream.h"
#include "rosemaryrail/dispatch.h"

/* PERMITS is null when there is no answer.  Valid during the callback.  */
typedef void permits_done_fn (void *data, const struct rr_run_name *name,
                              const struct rr_permit *permits, size_t count,
                              int64_t valid_ms);

/* Asks the platform's service which workers may run a step.  */
void permits_request (struct upstream *u, const struct rr_permit_request *q,
                      uint64_t timeout_ms, permits_done_fn *done, void *data);

#endif
