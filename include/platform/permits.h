#ifndef PLATFORM_PERMITS_H
#define PLATFORM_PERMITS_H

#include "common/upstream.h"
#include "rosemaryrail/dispatch.h"

/* The response to a permit request, valid only during the callback.  */
struct permits_response
{
  const struct rr_permit *permits; /* null if there was no usable response */
  size_t count;
  int64_t valid_ms;   /* 0: not given */
  int status;         /* of HTTP; 0: no response */
  const char *reason; /* why there is no usable response, for the log */
};

typedef void permits_done_fn (void *data, const struct permits_response *r);

/* Requests permits from the platform's permit service: which of the workers in
   REQUEST may run its step.  */
void permits_request (struct upstream *u,
                      const struct rr_permit_request *request,
                      uint64_t timeout_ms, permits_done_fn *done, void *data);

#endif
