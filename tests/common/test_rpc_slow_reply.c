#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "../check_suite.h"

#include "common/rpc.h"

/* A server whose reply arrives in pieces.  */

enum
{
  PIECE_MS = 60,
  PIECES = 12,
  PIECE_BYTES = 1000,
  REPLY_BYTES = PIECES * PIECE_BYTES,
  HEADER_WORDS = 7, /* record mark, xid, reply, accepted, verifier, success */
  TIMEOUT_MS = 300,
  PROGRAM = 0x20524e46,
  VERSION = 1
};

static uv_loop_t loop;
static uv_tcp_t listener;
static uv_tcp_t peer;
static uv_timer_t piece_timer;
static int pieces_max; /* that are sent */
static int pieces;
static int state;
static size_t received;

static void
piece_write (const char *bytes, size_t length)
{
  uv_buf_t buf = uv_buf_init ((char *)bytes, (unsigned)length);
  uv_try_write ((uv_stream_t *)&peer, &buf, 1);
}

static void
on_piece_timer (uv_timer_t *t)
{
  static const char zeros[PIECE_BYTES];
  if (pieces == pieces_max)
    {
      uv_timer_stop (t);
      return;
    }
  if (pieces++ == 0)
    {
      uint32_t header[HEADER_WORDS] = { 0 };
      size_t length = sizeof header - sizeof header[0] + REPLY_BYTES;
      header[0] = htonl (0x80000000U | (uint32_t)length);
      header[1] = htonl (1); /* the client's first call */
      header[2] = htonl (1); /* a reply */
      piece_write ((const char *)header, sizeof header);
    }
  piece_write (zeros, sizeof zeros);
}

static void
on_connection (uv_stream_t *server, int status)
{
  ck_assert_int_eq (status, 0);
  uv_tcp_init (&loop, &peer);
  uv_accept (server, (uv_stream_t *)&peer);
  uv_timer_start (&piece_timer, on_piece_timer, PIECE_MS, PIECE_MS);
}

static void
on_reply (void *data, enum rpc_call_state end, const char *result,
          size_t length)
{
  (void)data, (void)result;
  state = (int)end;
  received = length;
  uv_stop (&loop);
}

/* Makes a call with SEND to a server that sends COUNT pieces of its reply.  */
static void
call_run (rpc_call_fn *send, int count)
{
  struct sockaddr_in at;
  int size = sizeof at;
  pieces = 0;
  pieces_max = count;
  state = -1;
  uv_loop_init (&loop);
  uv_timer_init (&loop, &piece_timer);
  uv_tcp_init (&loop, &listener);
  uv_ip4_addr ("127.0.0.1", 0, &at);
  uv_tcp_bind (&listener, (const struct sockaddr *)&at, 0);
  uv_listen ((uv_stream_t *)&listener, 4, on_connection);
  uv_tcp_getsockname (&listener, (struct sockaddr *)&at, &size);
  struct rpc_client *c = rpc_client_open (
      &loop, "127.0.0.1", ntohs (at.sin_port), PROGRAM, VERSION);
  send (c, 1, "12345678", 8, TIMEOUT_MS, on_reply, NULL);
  uv_run (&loop, UV_RUN_DEFAULT);
}

/* Guards against a configuration of 1 MB that is asked for again and again, as
   it takes longer than a call to arrive over a slow link.  */
START_TEST (slow_reply_is_waited_for)
{
  call_run (rpc_client_fetch, PIECES);
  ck_assert_int_eq (state, RPC_CALL_ANSWERED);
  ck_assert_uint_eq (received, REPLY_BYTES);
}
END_TEST

/* Guards against a fetch that never ends: the rest of the reply is lost.  */
START_TEST (silent_fetch_ends)
{
  call_run (rpc_client_fetch, PIECES / 2);
  ck_assert_int_eq (state, RPC_CALL_UNKNOWN);
}
END_TEST

/* Guards against short calls that wait for a slow reply.  */
START_TEST (call_ends_in_time)
{
  call_run (rpc_client_call, PIECES);
  ck_assert_int_eq (state, RPC_CALL_UNKNOWN);
  ck_assert_int_lt (pieces, PIECES);
}
END_TEST

SUITE ("rpc slow reply", slow_reply_is_waited_for, silent_fetch_ends,
       call_ends_in_time)
