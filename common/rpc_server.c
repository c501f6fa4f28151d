#include "common/rpc.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "common/rpc_internal.h"
#include "common/rpc_record.h"

enum
{
  LISTEN_BACKLOG = 128,
  REPLY_HEADER_BYTES = 64
};

struct rpc_server
{
  uv_tcp_t listener;
  uint32_t program;
  uint32_t version;
  rpc_handler_fn *handler;
  void *data;
};

/* Reference counted: freed when the socket is closed and all of its requests
   are answered.  */
struct server_connection
{
  uv_tcp_t tcp;
  struct rpc_server *server;
  struct rpc_record_reader reader;
  unsigned references; /* the open socket and each unanswered request */
  bool closing;
};

struct rpc_request
{
  struct server_connection *connection;
  uint32_t xid;
};

struct rpc_counters rpc_counters;

/* Returns the totals over all RPC connections of this process.  */
const struct rpc_counters *
rpc_counters_get (void)
{
  return &rpc_counters;
}

static void
connection_unref (struct server_connection *c)
{
  if (--c->references > 0)
    return;
  rpc_record_reader_free (&c->reader);
  free (c);
}

static void
on_closed (uv_handle_t *h)
{
  connection_unref (h->data);
}

static void
connection_close (struct server_connection *c)
{
  if (c->closing)
    return;
  c->closing = true;
  uv_close ((uv_handle_t *)&c->tcp, on_closed);
}

static void
send_reply (struct rpc_request *q, enum accept_stat stat, const char *result,
            size_t length)
{
  struct server_connection *c = q->connection;
  if (!c->closing)
    {
      struct rpc_msg m = { .rm_xid = q->xid, .rm_direction = REPLY };
      m.rm_reply.rp_stat = MSG_ACCEPTED;
      m.acpted_rply.ar_verf = _null_auth;
      m.acpted_rply.ar_stat = stat;
      m.acpted_rply.ar_results.proc = (xdrproc_t)xdr_void;
      char header[REPLY_HEADER_BYTES];
      XDR x;
      xdrmem_create (&x, header, sizeof header, XDR_ENCODE);
      bool encoded = xdr_replymsg (&x, &m);
      assert (encoded);
      if (!rpc_stream_write ((uv_stream_t *)&c->tcp, header, xdr_getpos (&x),
                             result, length))
        connection_close (c);
    }
  connection_unref (c);
  free (q);
}

/* Replies to REQUEST with the XDR-encoded RESULT and frees REQUEST.  */
void
rpc_request_reply (struct rpc_request *request, const char *result,
                   size_t length)
{
  send_reply (request, SUCCESS, result, length);
}

/* Replies to REQUEST with GARBAGE_ARGS and frees REQUEST.  Used when the
   arguments can't be decoded or the procedure does not exist, so that nothing
   was executed.  */
void
rpc_request_reject (struct rpc_request *request)
{
  rpc_counters.malformed++;
  send_reply (request, GARBAGE_ARGS, NULL, 0);
}

/* Passes the call in RECORD to the handler.  Returns false if RECORD is not a
   call to the served program and version.  */
static bool
handle_call (struct server_connection *c, const char *record, size_t length)
{
  struct rpc_server *s = c->server;
  struct rpc_msg m = { 0 };
  char credentials[MAX_AUTH_BYTES];
  char verifier[MAX_AUTH_BYTES];
  m.rm_call.cb_cred.oa_base = credentials;
  m.rm_call.cb_verf.oa_base = verifier;
  XDR x;
  xdrmem_create (&x, (char *)record, (u_int)length, XDR_DECODE);
  if (!xdr_callmsg (&x, &m) || m.rm_direction != CALL
      || m.rm_call.cb_prog != s->program || m.rm_call.cb_vers != s->version)
    return false;
  struct rpc_request *q = calloc (1, sizeof *q);
  assert (q != NULL);
  q->connection = c;
  q->xid = (uint32_t)m.rm_xid;
  c->references++;
  rpc_counters.calls_in++;
  size_t at = xdr_getpos (&x);
  s->handler (s->data, q, m.rm_call.cb_proc, record + at, length - at);
  return true;
}

static void
on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  struct server_connection *c = stream->data;
  if (n < 0)
    {
      connection_close (c);
      return;
    }
  rpc_counters.bytes_in += (uint64_t)n;
  bool ok = rpc_record_feed (&c->reader, buf->base, (size_t)n);
  const char *record;
  size_t length;
  bool malformed = false;
  while (ok && !c->closing
         && rpc_record_next (&c->reader, &record, &length, &malformed))
    {
      ok = handle_call (c, record, length);
      rpc_record_consume (&c->reader);
    }
  if (!ok || malformed)
    {
      rpc_counters.malformed++;
      connection_close (c);
    }
}

static void
on_connection (uv_stream_t *listener, int status)
{
  if (status != 0)
    return;
  struct server_connection *c = calloc (1, sizeof *c);
  assert (c != NULL);
  c->server = listener->data;
  c->references = 1;
  uv_tcp_init (listener->loop, &c->tcp);
  c->tcp.data = c;
  if (uv_accept (listener, (uv_stream_t *)&c->tcp) != 0)
    {
      connection_close (c);
      return;
    }
  uv_tcp_nodelay (&c->tcp, 1);
  uv_read_start ((uv_stream_t *)&c->tcp, rpc_read_buffer, on_read);
}

/* Listens on ADDRESS (an IPv4 address) and PORT for calls to VERSION of
   PROGRAM.  Any other record counts as malformed and closes its connection.
   Returns null and sets ERR if the server can't listen on the address.  */
struct rpc_server *
rpc_server_open (uv_loop_t *loop, const char *address, uint16_t port,
                 uint32_t program, uint32_t version, rpc_handler_fn *handler,
                 void *data, struct rr_error *err)
{
  struct sockaddr_in sin;
  if (uv_ip4_addr (address, port, &sin) != 0)
    {
      rr_error_set (err, RR_ERROR_INVALID, "%s is not an IP address", address);
      return NULL;
    }
  struct rpc_server *s = calloc (1, sizeof *s);
  assert (s != NULL);
  s->program = program;
  s->version = version;
  s->handler = handler;
  s->data = data;
  uv_tcp_init (loop, &s->listener);
  s->listener.data = s;
  int rc = uv_tcp_bind (&s->listener, (struct sockaddr *)&sin, 0);
  if (rc == 0)
    rc = uv_listen ((uv_stream_t *)&s->listener, LISTEN_BACKLOG,
                    on_connection);
  if (rc != 0)
    {
      rr_error_set (err, RR_ERROR_SYSTEM, "can't listen on %s:%u: %s", address,
                    port, uv_strerror (rc));
      return NULL;
    }
  return s;
}
