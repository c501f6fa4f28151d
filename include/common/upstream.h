#ifndef COMMON_UPSTREAM_H
#define COMMON_UPSTREAM_H

#include "common/http_client.h"

/* A pool of keep-alive connections to one upstream, for requests forwarded on
   behalf of callers.  No request is ever resent automatically.  */
struct upstream;

struct upstream *upstream_open (uv_loop_t *loop, const char *address,
                                uint16_t port);
void upstream_close (struct upstream *u);
void upstream_send (struct upstream *u, const struct http_call *call,
                    http_done_fn *done, void *data);

#endif
