#ifndef COMMON_RPC_H
#define COMMON_RPC_H

#include <rpc/rpc.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "rosemaryrail/error.h"

struct rpc_server;
struct rpc_client;
struct rpc_request;

/* Called for each well-formed call of the served program.  ARGS are the
   XDR-encoded arguments and are valid only until the handler returns.  The
   handler must answer REQUEST exactly once with rpc_request_reply or
   rpc_request_reject, either before it returns or later.  */
typedef void rpc_handler_fn (void *data, struct rpc_request *request,
                             uint32_t procedure, const char *args,
                             size_t length);

enum rpc_call_state
{
  RPC_CALL_ANSWERED, /* a successful reply arrived */
  RPC_CALL_NOT_SENT, /* nothing was written to the connection */
  RPC_CALL_REJECTED, /* the peer did not execute the procedure */
  RPC_CALL_UNKNOWN   /* sent but no reply; it may have executed */
};

/* Reports the end of a call.  RESULT is the XDR-encoded result, valid only
   during the callback, and null unless STATE is RPC_CALL_ANSWERED.  */
typedef void rpc_done_fn (void *data, enum rpc_call_state state,
                          const char *result, size_t length);

/* Totals over all RPC connections of this process.  */
struct rpc_counters
{
  uint64_t bytes_in;
  uint64_t bytes_out;
  uint64_t calls_in;
  uint64_t calls_out;
  uint64_t malformed; /* records and arguments that could not be decoded */
};

struct rpc_server *rpc_server_open (uv_loop_t *loop, const char *address,
                                    uint16_t port, uint32_t program,
                                    uint32_t version, rpc_handler_fn *handler,
                                    void *data, struct rr_error *err);
void rpc_request_reply (struct rpc_request *request, const char *result,
                        size_t length);
void rpc_request_reject (struct rpc_request *request);

struct rpc_client *rpc_client_open (uv_loop_t *loop, const char *address,
                                    uint16_t port, uint32_t program,
                                    uint32_t version);
void rpc_client_close (struct rpc_client *c);
/* rpc_client_call or rpc_client_fetch.  */
typedef void rpc_call_fn (struct rpc_client *c, uint32_t procedure,
                          const char *args, size_t length, uint64_t ms,
                          rpc_done_fn *done, void *data);
void rpc_client_call (struct rpc_client *c, uint32_t procedure,
                      const char *args, size_t length, uint64_t timeout_ms,
                      rpc_done_fn *done, void *data);
void rpc_client_fetch (struct rpc_client *c, uint32_t procedure,
                       const char *args, size_t length,
                       uint64_t silence_max_ms, rpc_done_fn *done, void *data);

const struct rpc_counters *rpc_counters_get (void);

bool xdr_encode (xdrproc_t proc, void *object, char **bytes, size_t *length);
bool xdr_decode (xdrproc_t proc, void *object, const char *bytes,
                 size_t length);

#endif
