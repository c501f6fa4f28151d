#ifndef COMMON_UPSTREAM_H
#define COMMON_UPSTREAM_H

#include "common/http_client.h"

/* Kept-open connections to one upstream, for the calls on behalf of callers.
   Nothing is ever sent twice by itself.  */
struct upstream;

struct upstream *upstream_open (uv_loop_t *loop, const char *address,
                                uint16_t port);
void upstream_close (struct upstream *u);
void upstream_send (struct upstream *u, const struct http_call *call,
                    http_done_fn *done, void *data);

#endif
