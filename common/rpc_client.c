#include "common/rpc.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "common/call_timeout.h"
#include "common/rpc_internal.h"
#include "common/rpc_record.h"

enum
{
  CALL_HEADER_BYTES = 64
};

enum client_state
{
  CLIENT_IDLE,
  CLIENT_CONNECTING,
  CLIENT_CONNECTED
};

/* A call that waits for the connection or for its reply.  */
struct pending_call
{
  struct pending_call *next;
  struct call_timeout timeout;
  struct rpc_client *client;
  uint32_t xid;
  uint32_t procedure;
  char *args;
  size_t length;
  bool sent;
  uint64_t input_count_at_send; /* of the client, if SENT */
  uint64_t silence_max_ms;      /* 0: the timeout is for the whole call */
  rpc_done_fn *done;
  void *data;
};

/* One TCP connection.  After a failure the client allocates a new one instead
   of reusing it.  */
struct client_connection
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  struct rpc_client *client; /* null after client_disconnect */
  struct rpc_record_reader reader;
};

struct rpc_client
{
  uv_loop_t *loop;
  struct sockaddr_in address;
  uint32_t program;
  uint32_t version;
  enum client_state state;
  struct client_connection *connection;
  struct pending_call *calls;
  uint32_t next_xid;
  uint64_t input_count;    /* successful reads so far */
  uv_timer_t close_handle; /* never started; closing it frees the client */
};

static void
on_timeout_closed (void *data)
{
  free (data);
}

static void
call_finish (struct pending_call *call, enum rpc_call_state state,
             const char *result, size_t length)
{
  struct pending_call **p = &call->client->calls;
  while (*p != call)
    p = &(*p)->next;
  *p = call->next;
  call_timeout_stop (&call->timeout);
  call->done (call->data, state, result, length);
  free (call->args);
  call_timeout_close (&call->timeout, on_timeout_closed);
}

static void
on_connection_closed (uv_handle_t *h)
{
  struct client_connection *conn = h->data;
  rpc_record_reader_free (&conn->reader);
  free (conn);
}

/* Closes the connection.  Calls already sent end as RPC_CALL_UNKNOWN, the
   others as RPC_CALL_NOT_SENT.  */
static void
client_disconnect (struct rpc_client *c)
{
  if (c->connection != NULL)
    {
      c->connection->client = NULL;
      uv_close ((uv_handle_t *)&c->connection->tcp, on_connection_closed);
      c->connection = NULL;
    }
  c->state = CLIENT_IDLE;
  struct pending_call *old = c->calls;
  /* Callbacks may add calls, at the head of the list; these belong to the next
     connection and are not ended here.  */
  unsigned count = 0;
  for (struct pending_call *p = old; p != NULL; p = p->next)
    count++;
  while (count-- > 0 && c->calls != NULL)
    {
      struct pending_call *last = c->calls;
      while (last->next != NULL)
        last = last->next;
      call_finish (last, last->sent ? RPC_CALL_UNKNOWN : RPC_CALL_NOT_SENT,
                   NULL, 0);
    }
}

static void
call_write (struct pending_call *call)
{
  struct rpc_client *c = call->client;
  struct rpc_msg m = { .rm_xid = call->xid, .rm_direction = CALL };
  m.rm_call.cb_rpcvers = RPC_MSG_VERSION;
  m.rm_call.cb_prog = c->program;
  m.rm_call.cb_vers = c->version;
  m.rm_call.cb_proc = call->procedure;
  m.rm_call.cb_cred = _null_auth;
  m.rm_call.cb_verf = _null_auth;
  char header[CALL_HEADER_BYTES];
  XDR x;
  xdrmem_create (&x, header, sizeof header, XDR_ENCODE);
  bool encoded = xdr_callmsg (&x, &m);
  assert (encoded);
  call->sent = true;
  call->input_count_at_send = c->input_count;
  rpc_counters.calls_out++;
  rpc_stream_write ((uv_stream_t *)&c->connection->tcp, header,
                    xdr_getpos (&x), call->args, call->length);
}

static bool
handle_reply (struct rpc_client *c, const char *record, size_t length)
{
  struct rpc_msg m = { 0 };
  char verifier[MAX_AUTH_BYTES];
  m.acpted_rply.ar_verf.oa_base = verifier;
  m.acpted_rply.ar_results.proc = (xdrproc_t)xdr_void;
  XDR x;
  xdrmem_create (&x, (char *)record, (u_int)length, XDR_DECODE);
  if (!xdr_replymsg (&x, &m))
    return false;
  struct pending_call *call = c->calls;
  while (call != NULL && call->xid != (uint32_t)m.rm_xid)
    call = call->next;
  if (call == NULL || !call->sent)
    return true; /* reply to a call that has already timed out */
  size_t at = xdr_getpos (&x);
  if (m.rm_reply.rp_stat == MSG_ACCEPTED && m.acpted_rply.ar_stat == SUCCESS)
    call_finish (call, RPC_CALL_ANSWERED, record + at, length - at);
  else
    call_finish (call, RPC_CALL_REJECTED, NULL, 0);
  return true;
}

static void
on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  struct client_connection *conn = stream->data;
  struct rpc_client *c = conn->client;
  if (c == NULL)
    return;
  if (n < 0)
    {
      client_disconnect (c);
      return;
    }
  rpc_counters.bytes_in += (uint64_t)n;
  c->input_count++;
  for (struct pending_call *p = c->calls; p != NULL; p = p->next)
    if (p->sent && p->silence_max_ms > 0)
      call_timeout_start (&p->timeout, p->silence_max_ms);
  bool ok = rpc_record_feed (&conn->reader, buf->base, (size_t)n);
  const char *record;
  size_t length;
  bool malformed = false;
  while (ok && conn->client != NULL
         && rpc_record_next (&conn->reader, &record, &length, &malformed))
    {
      ok = handle_reply (c, record, length);
      rpc_record_consume (&conn->reader);
    }
  if ((!ok || malformed) && conn->client != NULL)
    {
      rpc_counters.malformed++;
      client_disconnect (c);
    }
}

static void
on_connected (uv_connect_t *connect, int status)
{
  struct client_connection *conn = connect->data;
  struct rpc_client *c = conn->client;
  if (c == NULL)
    return;
  if (status != 0)
    {
      client_disconnect (c);
      return;
    }
  c->state = CLIENT_CONNECTED;
  uv_tcp_nodelay (&conn->tcp, 1);
  uv_read_start ((uv_stream_t *)&conn->tcp, rpc_read_buffer, on_read);
  for (struct pending_call *p = c->calls; p != NULL; p = p->next)
    if (!p->sent)
      call_write (p);
}

static void
client_connect (struct rpc_client *c)
{
  struct client_connection *conn = calloc (1, sizeof *conn);
  assert (conn != NULL);
  conn->client = c;
  uv_tcp_init (c->loop, &conn->tcp);
  conn->tcp.data = conn;
  conn->connect.data = conn;
  c->connection = conn;
  c->state = CLIENT_CONNECTING;
  /* The return value is ignored: if connecting fails at once, the pending
     calls end by their timeouts.  */
  uv_tcp_connect (&conn->connect, &conn->tcp, (struct sockaddr *)&c->address,
                  on_connected);
}

static bool
awaits_reply (void *data, uint64_t *received)
{
  const struct pending_call *call = data;
  *received = call->client->input_count;
  return call->sent;
}

static void
on_timeout (void *data)
{
  struct pending_call *call = data;
  struct rpc_client *c = call->client;
  bool sent = call->sent;
  /* If the call was never sent, or nothing was received since then, the
     network path may be broken without a TCP reset, so the connection is
     replaced.  */
  bool connection_unresponsive
      = !sent || call->input_count_at_send == c->input_count;
  call_finish (call, sent ? RPC_CALL_UNKNOWN : RPC_CALL_NOT_SENT, NULL, 0);
  if (connection_unresponsive && c->connection != NULL)
    client_disconnect (c);
}

static const struct call_timeout_type timeout_type
    = { .awaits_answer = awaits_reply, .expire = on_timeout };

/* Creates a client for VERSION of PROGRAM at ADDRESS and PORT.  It connects on
   the first call and reconnects on the next call after a failure.  Returns
   null if ADDRESS is not an IPv4 address.  */
struct rpc_client *
rpc_client_open (uv_loop_t *loop, const char *address, uint16_t port,
                 uint32_t program, uint32_t version)
{
  struct sockaddr_in sin;
  if (uv_ip4_addr (address, port, &sin) != 0)
    return NULL;
  struct rpc_client *c = calloc (1, sizeof *c);
  assert (c != NULL);
  c->loop = loop;
  c->address = sin;
  c->program = program;
  c->version = version;
  c->next_xid = 1;
  uv_timer_init (loop, &c->close_handle);
  c->close_handle.data = c;
  return c;
}

static void
on_client_closed (uv_handle_t *h)
{
  free (h->data);
}

/* Ends all calls and frees the client in the next iteration of the loop, so
   that it is safe to call this from a callback of the client.  */
void
rpc_client_close (struct rpc_client *c)
{
  client_disconnect (c);
  uv_close ((uv_handle_t *)&c->close_handle, on_client_closed);
}

static struct pending_call *
call_begin (struct rpc_client *c, uint32_t procedure, const char *args,
            size_t length, uint64_t timeout_ms, rpc_done_fn *done, void *data)
{
  struct pending_call *call = calloc (1, sizeof *call);
  assert (call != NULL);
  call->client = c;
  call->xid = c->next_xid++;
  call->procedure = procedure;
  call->args = malloc (length + 1);
  assert (call->args != NULL);
  memcpy (call->args, args, length);
  call->length = length;
  call->done = done;
  call->data = data;
  call_timeout_init (&call->timeout, c->loop, &timeout_type, call);
  call_timeout_start (&call->timeout, timeout_ms);
  call->next = c->calls;
  c->calls = call;
  if (c->state == CLIENT_IDLE)
    client_connect (c);
  else if (c->state == CLIENT_CONNECTED)
    call_write (call);
  return call;
}

/* Calls PROCEDURE with the XDR-encoded ARGS, which are copied.  DONE runs
   exactly once, at the latest when TIMEOUT_MS has passed.  */
void
rpc_client_call (struct rpc_client *c, uint32_t procedure, const char *args,
                 size_t length, uint64_t timeout_ms, rpc_done_fn *done,
                 void *data)
{
  call_begin (c, procedure, args, length, timeout_ms, done, data);
}

/* As rpc_client_call, for a reply that may take long to arrive: the call ends
   once nothing has been received for SILENCE_MAX_MS.  */
void
rpc_client_fetch (struct rpc_client *c, uint32_t procedure, const char *args,
                  size_t length, uint64_t silence_max_ms, rpc_done_fn *done,
                  void *data)
{
  struct pending_call *call
      = call_begin (c, procedure, args, length, silence_max_ms, done, data);
  call->silence_max_ms = silence_max_ms;
}
