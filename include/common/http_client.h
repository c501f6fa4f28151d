#ifndef COMMON_HTTP_CLIENT_H
#define COMMON_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "common/http_server.h"
#include "rosemaryrail/error.h"

struct http_client;

/* What is known about a call that has ended.  */
enum http_call_state
{
  HTTP_CALL_ANSWERED, /* a whole answer arrived */
  HTTP_CALL_NOT_SENT, /* no byte of the request left this process */
  HTTP_CALL_UNKNOWN,  /* sent at least in part; no whole answer */
};

struct http_call
{
  const char *method;
  const char *url;
  const struct http_header *headers;
  size_t header_count;
  const char *body; /* copied */
  size_t body_length;
  uint64_t timeout_ms;
  size_t answer_max_bytes;
  bool idempotent; /* false: never put on a reused connection, since the
                      client library resends there by itself */
};

/* Valid only during the callback.  */
struct http_result
{
  enum http_call_state state;
  int status;
  const char *body; /* terminated */
  size_t body_length;
  const char *reason; /* why there is no answer */
  const void *headers;
};

typedef void http_done_fn (void *data, const struct http_result *r);

struct http_client *http_client_open (uv_loop_t *loop, struct rr_error *err);
void http_client_send (struct http_client *c, const struct http_call *call,
                       http_done_fn *done, void *data);
bool http_result_header (const struct http_result *r, const char *name,
                         char *value, size_t size);

#endif
