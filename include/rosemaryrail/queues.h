#ifndef ROSEMARYRAIL_QUEUES_H
#define ROSEMARYRAIL_QUEUES_H

#include "rosemaryrail/dispatch.h"

/* A route: callers' job requests with this host and path prefix go to the
   queue of POLICY.  */
struct rr_route
{
  char host[128];
  char prefix[128];
  int64_t timeout_ms; /* of a caller's request */
  struct rr_queue_policy policy;
};

/* One version of the queue configuration.  */
struct rr_queues
{
  int64_t version;
  struct rr_route *routes;
  size_t route_count;
  int64_t body_max_bytes;   /* 0: not limited */
  int64_t header_max_bytes; /* 0: not limited */
};

struct rr_queues *rr_queues_new (size_t route_count);
void rr_queues_free (struct rr_queues *q);
const struct rr_route *rr_queues_find (const struct rr_queues *q,
                                       const char *host, const char *path);

#endif
