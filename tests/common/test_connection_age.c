#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "../check_suite.h"

#include "common/upstream.h"

/* An upstream that answers each request at once and keeps connections open. */

enum
{
  WAIT_MS = 300,
  TIMEOUT_MS = 2000
};

static uv_loop_t loop;
static uv_tcp_t listener;
static int64_t age_ms;

static void
on_buffer (uv_handle_t *h, size_t size, uv_buf_t *buf)
{
  static char bytes[65536];
  (void)h, (void)size;
  *buf = uv_buf_init (bytes, sizeof bytes);
}

static void
on_read (uv_stream_t *peer, ssize_t n, const uv_buf_t *buf)
{
  static char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
  (void)buf;
  uv_buf_t out = uv_buf_init (answer, sizeof answer - 1);
  if (n > 0)
    uv_try_write (peer, &out, 1);
}

static void
on_connection (uv_stream_t *server, int status)
{
  (void)status;
  uv_tcp_t *peer = malloc (sizeof *peer);
  uv_tcp_init (&loop, peer);
  uv_accept (server, (uv_stream_t *)peer);
  uv_read_start ((uv_stream_t *)peer, on_buffer, on_read);
}

static void
on_done (void *data, const struct http_result *r)
{
  (void)data;
  ck_assert_int_eq (r->state, HTTP_CALL_ANSWERED);
  age_ms = r->connection_age_ms;
  uv_stop (&loop);
}

/* Returns the age of the connection of a call to U, which waits before.  */
static int64_t
call_age (struct upstream *u, bool new_connection)
{
  struct http_call c = { .method = "GET",
                         .url = "/",
                         .body = "",
                         .timeout_ms = TIMEOUT_MS,
                         .answer_max_bytes = 10,
                         .idempotent = true,
                         .new_connection = new_connection };
  uv_sleep (WAIT_MS);
  uv_update_time (&loop);
  upstream_send (u, &c, on_done, NULL);
  uv_run (&loop, UV_RUN_DEFAULT);
  return age_ms;
}

/* Guards against a start that is taken to be with the life of a worker that is
   known, though its connection was opened later: the age of a connection
   counts from its opening, also when it is used again.  */
START_TEST (age_of_connections)
{
  struct sockaddr_in at;
  int size = sizeof at;
  uv_loop_init (&loop);
  uv_tcp_init (&loop, &listener);
  uv_ip4_addr ("127.0.0.1", 0, &at);
  uv_tcp_bind (&listener, (const struct sockaddr *)&at, 0);
  uv_listen ((uv_stream_t *)&listener, 4, on_connection);
  uv_tcp_getsockname (&listener, (struct sockaddr *)&at, &size);
  struct upstream *u = upstream_open (&loop, "127.0.0.1", ntohs (at.sin_port));
  ck_assert_int_lt (call_age (u, false), WAIT_MS);
  ck_assert_int_ge (call_age (u, false), WAIT_MS);
  ck_assert_int_ge (call_age (u, false), (int64_t)2 * WAIT_MS);
  ck_assert_int_lt (call_age (u, true), WAIT_MS);
}
END_TEST

SUITE ("connection age", age_of_connections)
