#include "../check_suite.h"

#include <string.h>
#include <uv.h>

#include "common/upstream.h"

/* Timeouts of calls to an upstream that sends its response in pieces, one
   every 100 ms, as over a slow link.  */

enum
{
  PIECE_MS = 100,
  PIECES = 8,
  TIMEOUT_MS = 350
};

static uv_loop_t loop;
static uv_tcp_t listener;
static uv_tcp_t peer;
static uv_timer_t pieces;
static int sent;
static int pieces_to_send;
static struct http_result result;
static char body[64];
static char send_text[] = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n";
static char piece_text[] = "x";

static void
on_written (uv_write_t *w, int status)
{
  (void)status;
  free (w);
}

static void
peer_write (char *text)
{
  uv_write_t *w = malloc (sizeof *w);
  uv_buf_t buf = uv_buf_init (text, (unsigned)strlen (text));
  uv_write (w, (uv_stream_t *)&peer, &buf, 1, on_written);
}

static void
on_piece_due (uv_timer_t *timer)
{
  if (sent == pieces_to_send)
    {
      uv_timer_stop (timer);
      return;
    }
  peer_write (sent == 0 ? send_text : piece_text);
  sent++;
}

static void
on_connection (uv_stream_t *server, int status)
{
  (void)status;
  uv_tcp_init (&loop, &peer);
  uv_accept (server, (uv_stream_t *)&peer);
  uv_timer_start (&pieces, on_piece_due, PIECE_MS, PIECE_MS);
}

static void
on_done (void *data, const struct http_result *r)
{
  (void)data;
  result = *r;
  snprintf (body, sizeof body, "%s", r->body);
  uv_stop (&loop);
}

/* Sends one call to an upstream that sends N pieces, the first of them the
   headers.  */
static void
call (int n, bool restart_timeout)
{
  struct sockaddr_in any;
  uv_loop_init (&loop);
  uv_ip4_addr ("127.0.0.1", 0, &any);
  uv_tcp_init (&loop, &listener);
  uv_tcp_bind (&listener, (struct sockaddr *)&any, 0);
  uv_listen ((uv_stream_t *)&listener, 8, on_connection);
  int length = sizeof any;
  uv_tcp_getsockname (&listener, (struct sockaddr *)&any, &length);
  uv_timer_init (&loop, &pieces);
  sent = 0;
  pieces_to_send = n;
  struct upstream *u
      = upstream_open (&loop, "127.0.0.1", ntohs (any.sin_port));
  struct http_call c = { .method = "GET",
                         .url = "/",
                         .body = "",
                         .timeout_ms = TIMEOUT_MS,
                         .answer_max_bytes = 100,
                         .idempotent = true,
                         .restart_timeout = restart_timeout };
  upstream_send (u, &c, on_done, NULL);
  uv_run (&loop, UV_RUN_DEFAULT);
  /* The process ends after each test, and with it the loop.  */
}

/* Guards against a response that arrives steadily but slowly and is given up
   again and again.  */
START_TEST (slow_response)
{
  call (1 + PIECES, true);
  ck_assert_int_eq (result.state, HTTP_CALL_ANSWERED);
  ck_assert_str_eq (body, "xxxxxxxx");
}
END_TEST

/* A call with a deadline keeps to it.  */
START_TEST (deadline)
{
  call (1 + PIECES, false);
  ck_assert_int_eq (result.state, HTTP_CALL_UNKNOWN);
  ck_assert_str_eq (result.reason, "timeout");
}
END_TEST

/* Guards against an upstream that stops in the middle and holds the call for
   ever.  */
START_TEST (silence)
{
  call (4, true);
  ck_assert_int_eq (result.state, HTTP_CALL_UNKNOWN);
  ck_assert_str_eq (result.reason, "timeout");
}
END_TEST

/* Guards against an upstream that accepts the connection and sends nothing. */
START_TEST (no_response)
{
  call (0, true);
  ck_assert_int_eq (result.state, HTTP_CALL_UNKNOWN);
}
END_TEST

SUITE ("upstream", slow_response, deadline, silence, no_response)
