#ifndef COMMON_RPC_INTERNAL_H
#define COMMON_RPC_INTERNAL_H

#include "common/rpc.h"

extern struct rpc_counters rpc_counters;

bool rpc_stream_write (uv_stream_t *stream, const char *header,
                       size_t header_length, const char *body, size_t length);
void rpc_read_buffer (uv_handle_t *h, size_t suggested, uv_buf_t *buf);

#endif
