#ifndef COMMON_HTTP_CLIENT_H
#define COMMON_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "common/http_server.h"
#include "rosemaryrail/error.h"

struct http_client;

/* Outcome of a call.  */
enum http_call_state
{
  HTTP_CALL_ANSWERED, /* a complete response was received */
  HTTP_CALL_NOT_SENT, /* nothing was written to the connection */
  HTTP_CALL_UNKNOWN,  /* at least partly sent; no complete response */
};

/* One request to send.  */
struct http_call
{
  const char *method;
  const char *url; /* upstream_send takes only the path */
  const struct http_header *headers;
  size_t header_count;
  const char *body; /* copied */
  size_t body_length;
  uint64_t timeout_ms;
  size_t answer_max_bytes; /* a larger response body fails the call */
  bool idempotent; /* if false, the call gets a new connection, since libcurl
                      may resend a request by itself on a reused one */
  bool new_connection;  /* an idle one may be dead without a reset; only
                           upstream_send */
  bool restart_timeout; /* the timeout starts again whenever part of the
                           response arrives; only upstream_send */
};

/* The result of a call, valid only during the callback.  */
struct http_result
{
  enum http_call_state state;
  int status;
  const char *body; /* terminated by a NUL */
  size_t body_length;
  const char *reason;  /* why there is no response; null if answered */
  const void *headers; /* read by http_result_header */
  /* How long ago the connection was opened on which the request was sent, in
     ms; only upstream_send.  0 if that is not known.  */
  int64_t connection_age_ms;
};

typedef void http_done_fn (void *data, const struct http_result *r);

struct http_client *http_client_open (uv_loop_t *loop, struct rr_error *err);
void http_client_send (struct http_client *c, const struct http_call *call,
                       http_done_fn *done, void *data);
bool http_result_header (const struct http_result *r, const char *name,
                         char *value, size_t size);

#endif
