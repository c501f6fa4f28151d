#ifndef PLATFORM_PERMITS_H
#define PLATFORM_PERMITS_H

#include "common/upstream.h"
#include "rosemaryrail/dispatch.h"

/* PERMITS is null if there was no usable response.  Valid only during the
   callback.  */
typedef void permits_done_fn (void *data, const struct rr_run_name *name,
                              const struct rr_permit *permits, size_t count,
                              int64_t valid_ms);

/* Requests permits from the platform's permit service: which of the workers in
   Q may run its step.  */
void permits_request (struct upstream *u,
                      const struct rr_permit_request *request,
                      uint64_t timeout_ms, permits_done_fn *done, void *data);

#endif
