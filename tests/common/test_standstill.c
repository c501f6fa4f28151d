#include "../check_suite.h"

#include <string.h>
#include <uv.h>

#include "common/rpc.h"
#include "common/upstream.h"

/* Calls whose answer arrives while the process stands still, until after their
   timeout.  The server is in the same process: it answers and then blocks the
   loop, so that the loop runs the timeout before it reads the answer.  */

enum
{
  TIMEOUT_MS = 100,
  STANDSTILL_MS = 200,
  BODY_MAX = 1000000,
  LARGE_BODY = 900000,
  RPC_PROGRAM = 0x20000001,
  RPC_VERSION = 1
};

static uv_loop_t loop;
static uv_tcp_t listener;
static uv_tcp_t peer;
static uv_write_t response;
static char response_text[BODY_MAX + 100];
static size_t body_length;
static bool answering;
static int state;
static size_t received;

static void
read_buffer (uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
  (void)handle;
  (void)size;
  static char bytes[4096];
  *buf = uv_buf_init (bytes, sizeof bytes);
}

static void
on_request (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  (void)buf;
  if (n <= 0)
    return;
  if (answering)
    {
      int head = snprintf (response_text, sizeof response_text,
                           "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n",
                           body_length);
      memset (response_text + head, 'x', body_length);
      uv_buf_t whole = uv_buf_init (response_text,
                                    (unsigned)head + (unsigned)body_length);
      uv_write (&response, stream, &whole, 1, NULL);
    }
  uv_sleep (STANDSTILL_MS);
}

static void
on_connection (uv_stream_t *server, int status)
{
  (void)status;
  uv_tcp_init (&loop, &peer);
  uv_accept (server, (uv_stream_t *)&peer);
  int size = 4 * BODY_MAX;
  uv_send_buffer_size ((uv_handle_t *)&peer, &size);
  uv_read_start ((uv_stream_t *)&peer, read_buffer, on_request);
}

static uint16_t
server_start (void)
{
  struct sockaddr_in any;
  uv_loop_init (&loop);
  uv_ip4_addr ("127.0.0.1", 0, &any);
  uv_tcp_init (&loop, &listener);
  uv_tcp_bind (&listener, (struct sockaddr *)&any, 0);
  uv_listen ((uv_stream_t *)&listener, 8, on_connection);
  int length = sizeof any;
  uv_tcp_getsockname (&listener, (struct sockaddr *)&any, &length);
  return ntohs (any.sin_port);
}

static void
on_done (void *data, const struct http_result *r)
{
  (void)data;
  state = r->state;
  received = r->body_length;
  uv_stop (&loop);
}

static const struct http_call call = { .method = "GET",
                                       .url = "/",
                                       .body = "",
                                       .timeout_ms = TIMEOUT_MS,
                                       .answer_max_bytes = BODY_MAX,
                                       .idempotent = true };

/* Calls a server that answers with BODY bytes, or with nothing if BODY is
   negative.  */
static void
upstream_call_run (int body, uint64_t standstill_before_connecting_ms)
{
  answering = body >= 0;
  body_length = answering ? (size_t)body : 0;
  struct upstream *u = upstream_open (&loop, "127.0.0.1", server_start ());
  upstream_send (u, &call, on_done, NULL);
  uv_sleep ((unsigned)standstill_before_connecting_ms);
  uv_run (&loop, UV_RUN_DEFAULT);
  /* The process ends after each test, and with it the loop.  */
}

/* Guards against a request that is ended as unknown although its answer has
   arrived.  */
START_TEST (arrived_response)
{
  upstream_call_run (8, 0);
  ck_assert_int_eq (state, HTTP_CALL_ANSWERED);
  ck_assert_uint_eq (received, 8);
}
END_TEST

/* Guards against the same for an answer that takes several iterations of the
   loop to read.  */
START_TEST (large_arrived_response)
{
  upstream_call_run (LARGE_BODY, 0);
  ck_assert_int_eq (state, HTTP_CALL_ANSWERED);
  ck_assert_uint_eq (received, LARGE_BODY);
}
END_TEST

/* Guards against a call that never ends because no answer has arrived.  */
START_TEST (no_response)
{
  upstream_call_run (-1, 0);
  ck_assert_int_eq (state, HTTP_CALL_UNKNOWN);
}
END_TEST

/* Guards against a request that is sent after its timeout, and then ended as
   unknown.  */
START_TEST (not_sent)
{
  upstream_call_run (8, STANDSTILL_MS);
  ck_assert_int_eq (state, HTTP_CALL_NOT_SENT);
}
END_TEST

static void
http_call_run (int body, uint64_t standstill_before_connecting_ms)
{
  answering = body >= 0;
  body_length = answering ? (size_t)body : 0;
  char url[64];
  snprintf (url, sizeof url, "http://127.0.0.1:%u/", server_start ());
  struct http_call c = call;
  c.url = url;
  struct rr_error err = { 0 };
  struct http_client *client = http_client_open (&loop, &err);
  ck_assert_ptr_nonnull (client);
  http_client_send (client, &c, on_done, NULL);
  uv_sleep ((unsigned)standstill_before_connecting_ms);
  uv_run (&loop, UV_RUN_DEFAULT);
}

/* Guards against a call of rosemaryraild to a worker or to the platform that
   is ended as unknown although its answer has arrived.  */
START_TEST (arrived_response_of_http_client)
{
  http_call_run (8, 0);
  ck_assert_int_eq (state, HTTP_CALL_ANSWERED);
  ck_assert_uint_eq (received, 8);
}
END_TEST

/* Guards against the same for an answer that takes several reads.  */
START_TEST (large_arrived_response_of_http_client)
{
  http_call_run (LARGE_BODY, 0);
  ck_assert_int_eq (state, HTTP_CALL_ANSWERED);
  ck_assert_uint_eq (received, LARGE_BODY);
}
END_TEST

/* Guards against a call that never ends, since libcurl has no timeout of its
   own.  */
START_TEST (no_response_of_http_client)
{
  http_call_run (-1, 0);
  ck_assert_int_eq (state, HTTP_CALL_UNKNOWN);
}
END_TEST

/* Guards against a request that is sent after its timeout, and then ended as
   unknown.  */
START_TEST (not_sent_by_http_client)
{
  http_call_run (8, STANDSTILL_MS);
  ck_assert_int_eq (state, HTTP_CALL_NOT_SENT);
}
END_TEST

static struct rpc_request *unanswered;

static void
on_rpc_request (void *data, struct rpc_request *request, uint32_t procedure,
                const char *args, size_t length)
{
  (void)data;
  (void)procedure;
  if (answering)
    rpc_request_reply (request, args, length);
  else
    unanswered = request;
  uv_sleep (STANDSTILL_MS);
}

static void
on_reply (void *data, enum rpc_call_state end, const char *result,
          size_t length)
{
  (void)data;
  (void)result;
  state = (int)end;
  received = length;
  uv_stop (&loop);
}

static void
rpc_call_run (bool reply, uint64_t standstill_before_connecting_ms)
{
  answering = reply;
  uint16_t port = server_start ();
  uv_close ((uv_handle_t *)&listener, NULL);
  uv_run (&loop, UV_RUN_DEFAULT);
  struct rr_error err = { 0 };
  struct rpc_server *server
      = rpc_server_open (&loop, "127.0.0.1", port, RPC_PROGRAM, RPC_VERSION,
                         on_rpc_request, NULL, &err);
  ck_assert_msg (server != NULL, "%s", err.message);
  struct rpc_client *c
      = rpc_client_open (&loop, "127.0.0.1", port, RPC_PROGRAM, RPC_VERSION);
  rpc_client_call (c, 1, "12345678", 8, TIMEOUT_MS, on_reply, NULL);
  uv_sleep ((unsigned)standstill_before_connecting_ms);
  uv_run (&loop, UV_RUN_DEFAULT);
}

/* Guards against a call between our processes that is ended as unknown, and
   its connection closed, although the reply has arrived.  */
START_TEST (arrived_reply)
{
  rpc_call_run (true, 0);
  ck_assert_int_eq (state, RPC_CALL_ANSWERED);
  ck_assert_uint_eq (received, 8);
}
END_TEST

/* Guards against a call that never ends because no reply has arrived.  */
START_TEST (no_reply)
{
  rpc_call_run (false, 0);
  rpc_request_reject (unanswered);
  uv_run (&loop, UV_RUN_NOWAIT);
  ck_assert_int_eq (state, RPC_CALL_UNKNOWN);
}
END_TEST

/* Guards against a call that is sent after its timeout, and then ended as
   unknown.  */
START_TEST (rpc_not_sent)
{
  rpc_call_run (true, STANDSTILL_MS);
  ck_assert_int_eq (state, RPC_CALL_NOT_SENT);
}
END_TEST

SUITE ("standstill", arrived_response, large_arrived_response, no_response,
       not_sent, arrived_response_of_http_client,
       large_arrived_response_of_http_client, no_response_of_http_client,
       not_sent_by_http_client, arrived_reply, no_reply, rpc_not_sent)
