#ifndef COMMON_HTTP_SERVER_H
#define COMMON_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "rosemaryrail/error.h"

struct http_server;
struct http_exchange;

/* Limits that protect the server from oversized, slow and idle clients.  */
struct http_server_limits
{
  size_t body_max_bytes;
  uint64_t request_timeout_ms; /* for receiving a whole request, and for idle
                                  keep-alive connections */
};

struct http_header
{
  const char *name;
  const char *value;
};

/* Called once for each complete request.  The handler must end X exactly once,
   either before it returns or later, with one of the http_exchange_respond
   functions or http_exchange_abort.  */
typedef void http_handler_fn (void *data, struct http_exchange *x);

struct http_server *http_server_open (uv_loop_t *loop, const char *address,
                                      uint16_t port,
                                      const struct http_server_limits *limits,
                                      http_handler_fn *handler, void *data,
                                      struct rr_error *err);
void http_server_stop_accepting (struct http_server *s);
void http_server_shutdown (struct http_server *s);
uint16_t http_server_port (const struct http_server *s);
void http_server_drain (struct http_server *s);
size_t http_server_handled (const struct http_server *s);
size_t http_server_in_progress (const struct http_server *s);

const char *http_exchange_method (const struct http_exchange *x);
const char *http_exchange_path (const struct http_exchange *x);
const char *http_exchange_body (const struct http_exchange *x, size_t *length);
const char *http_exchange_header (struct http_exchange *x, const char *name);
bool http_exchange_query (const struct http_exchange *x, const char *name,
                          char *value, size_t size);
void http_exchange_respond (struct http_exchange *x, int status,
                            const struct http_header *headers,
                            size_t header_count, const char *body,
                            size_t length);
void http_exchange_respond_json (struct http_exchange *x, int status,
                                 const char *json);
void http_exchange_respond_error (struct http_exchange *x, int status,
                                  const struct rr_error *err);
void http_exchange_abort (struct http_exchange *x);
int http_status_from_error (enum rr_error_code code);

#endif
