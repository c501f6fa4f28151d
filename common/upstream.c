#include "common/upstream.h"

#include <assert.h>
#include <h2o.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "common/call_timeout.h"

enum
{
  POOL_CAPACITY = 4096,
  IDLE_TIMEOUT_MS = 10000,
  /* Each call has its own deadline timer; this only bounds the I/O timeout of
     h2o.  */
  IO_TIMEOUT_MS = 600000,
  HEADERS_MAX_BYTES = 8192,
  /* Connections whose age is known; the oldest is forgotten.  */
  CONNECTIONS_KNOWN_MAX = 16
};

/* When a connection was opened, by its local port.  */
struct upstream_connection
{
  uint16_t port;
  uint64_t opened; /* on the loop's clock */
};

struct upstream
{
  uv_loop_t *loop;
  char host[64];
  uint16_t port;
  h2o_socketpool_t pool;
  h2o_timeout_t timeout;
  h2o_http1client_ctx_t context;
  unsigned calls;
  struct upstream_connection connections[CONNECTIONS_KNOWN_MAX];
  size_t next_connection;
  bool closed;
  uv_timer_t free_handle; /* its close callback runs after the timers inside
                         POOL and TIMEOUT are closed, and frees this struct */
  bool closed_once;
};

/* One call in progress.  */
struct upstream_call
{
  struct upstream *u;
  h2o_http1client_t *client; /* null once h2o has freed it */
  struct call_timeout deadline;
  uint64_t silence_max_ms; /* 0: DEADLINE is for the whole call */
  http_done_fn *done;
  void *data;
  bool connecting; /* h2o is looking for an idle connection */
  bool sent;
  uint64_t connected; /* when the connection was opened, or the request sent */
  bool ended;
  int status;
  size_t response_body_max;
  char *request;
  h2o_iovec_t request_buf; /* refers to REQUEST */
  char *headers;
  char *response_body;
  size_t response_body_length;
};

/* Frees the upstream on the second call.  h2o closes the timers embedded in
   the upstream asynchronously, so the handle is closed twice: the second close
   callback runs one loop iteration after theirs.  */
static void
on_free_handle_closed (uv_handle_t *h)
{
  struct upstream *u = h->data;
  if (u->closed_once)
    {
      free (u);
      return;
    }
  u->closed_once = true;
  uv_timer_init (u->loop, &u->free_handle);
  uv_close (h, on_free_handle_closed);
}

static void
upstream_unref (struct upstream *u)
{
  if (!u->closed || u->calls > 0)
    return;
  h2o_socketpool_dispose (&u->pool);
  h2o_timeout_dispose (u->loop, &u->timeout);
  uv_timer_init (u->loop, &u->free_handle);
  u->free_handle.data = u;
  uv_close ((uv_handle_t *)&u->free_handle, on_free_handle_closed);
}

static void
on_deadline_closed (void *data)
{
  struct upstream_call *c = data;
  struct upstream *u = c->u;
  free (c->request);
  free (c->headers);
  free (c->response_body);
  free (c);
  u->calls--;
  upstream_unref (u);
}

/* Reports the result of C and releases it.  REASON says why the call failed,
   or is null if the response is complete.  Later calls do nothing.  */
static void
call_finish (struct upstream_call *c, const char *reason)
{
  if (c->ended)
    return;
  c->ended = true;
  struct http_result r
      = { .status = c->status,
          .body = c->response_body == NULL ? "" : c->response_body,
          .body_length = c->response_body_length,
          .headers = c->headers == NULL ? "" : c->headers };
  if (c->sent)
    r.connection_age_ms = (int64_t)(uv_now (c->u->loop) - c->connected);
  if (reason != NULL)
    {
      r.state = c->sent ? HTTP_CALL_UNKNOWN : HTTP_CALL_NOT_SENT;
      r.status = 0;
      r.reason = reason;
    }
  call_timeout_stop (&c->deadline);
  c->done (c->data, &r);
  call_timeout_close (&c->deadline, on_deadline_closed);
}

static bool
awaits_response (void *data, uint64_t *received)
{
  const struct upstream_call *c = data;
  *received = c->response_body_length + (c->headers == NULL ? 0 : 1);
  return c->sent;
}

static void
on_deadline (void *data)
{
  struct upstream_call *c = data;
  if (c->client != NULL)
    h2o_http1client_cancel (c->client);
  c->client = NULL;
  call_finish (c, "timeout");
}

static const struct call_timeout_type deadline_type
    = { .awaits_answer = awaits_response, .expire = on_deadline };

/* Part of the response has arrived.  A large one over a slow link takes longer
   than an upstream may be silent.  */
static void
restart_timeout (struct upstream_call *c)
{
  if (c->silence_max_ms > 0 && !c->ended)
    call_timeout_start (&c->deadline, c->silence_max_ms);
}

static int
on_body (h2o_http1client_t *client, const char *error)
{
  struct upstream_call *c = client->data;
  restart_timeout (c);
  if (error != NULL && error != h2o_http1client_error_is_eos)
    {
      c->client = NULL;
      call_finish (c, error);
      return 0;
    }
  h2o_buffer_t *in = client->sock->input;
  if (c->response_body_length + in->size > c->response_body_max)
    {
      c->client = NULL;
      call_finish (c, "response too large");
      return -1;
    }
  if (in->size > 0)
    {
      char *grown
          = realloc (c->response_body, c->response_body_length + in->size + 1);
      assert (grown != NULL);
      memcpy (grown + c->response_body_length, in->bytes, in->size);
      c->response_body = grown;
      c->response_body_length += in->size;
      c->response_body[c->response_body_length] = '\0';
      h2o_buffer_consume (&client->sock->input, in->size);
    }
  if (error == h2o_http1client_error_is_eos)
    {
      c->client = NULL;
      call_finish (c, NULL);
    }
  return 0;
}

/* Copies TEXT without its terminator to OUT + AT and returns the offset of the
   end.  */
static size_t
append_text (char *out, size_t at, const char *text)
{
  while (*text != '\0')
    out[at++] = *text++;
  return at;
}

/* Copies the headers as lines.  Returns false if they are too large, or if
   none of them tells how the body ends: a truncated response could then not be
   told from a complete one.  */
static bool
copy_headers (struct upstream_call *c, const h2o_header_t *headers, size_t n)
{
  bool framed = false;
  size_t at = 0;
  c->headers = malloc (HEADERS_MAX_BYTES);
  assert (c->headers != NULL);
  c->headers[0] = '\0';
  for (size_t i = 0; i < n; i++)
    {
      const h2o_iovec_t *name = headers[i].name;
      const h2o_iovec_t *value = &headers[i].value;
      framed = framed
               || (name->len == 14
                   && strncasecmp (name->base, "content-length", 14) == 0)
               || (name->len == 17
                   && strncasecmp (name->base, "transfer-encoding", 17) == 0);
      if (at + name->len + value->len + 4 > HEADERS_MAX_BYTES)
        return false;
      memcpy (c->headers + at, name->base, name->len);
      at += name->len;
      at = append_text (c->headers, at, ": ");
      memcpy (c->headers + at, value->base, value->len);
      at += value->len;
      c->headers[at++] = '\n';
      c->headers[at] = '\0';
    }
  return framed;
}

static h2o_http1client_body_cb
on_head (h2o_http1client_t *client, const char *error, int minor_version,
         int status, h2o_iovec_t message, h2o_header_t *headers, size_t n,
         int rlen)
{
  (void)minor_version;
  (void)message;
  (void)rlen;
  struct upstream_call *c = client->data;
  bool empty = error == h2o_http1client_error_is_eos;
  if (error != NULL && !empty)
    {
      c->client = NULL;
      call_finish (c, error);
      return NULL;
    }
  restart_timeout (c);
  c->status = status;
  if (!copy_headers (c, headers, n))
    {
      c->client = NULL;
      call_finish (c, "response without length, or headers too large");
      return NULL;
    }
  if (empty)
    {
      c->client = NULL;
      call_finish (c, NULL);
      return NULL;
    }
  return on_body;
}

/* Returns when the connection of SOCK was opened, which is now unless it was
   REUSED.  */
static uint64_t
connection_opened (struct upstream *u, h2o_socket_t *sock, bool reused)
{
  uint64_t now = uv_now (u->loop);
  struct sockaddr_in sin = { 0 };
  if (h2o_socket_getsockname (sock, (struct sockaddr *)&sin) == 0)
    return now;
  size_t i = 0;
  while (i < CONNECTIONS_KNOWN_MAX && u->connections[i].port != sin.sin_port)
    i++;
  if (reused)
    return i < CONNECTIONS_KNOWN_MAX ? u->connections[i].opened : now;
  if (i == CONNECTIONS_KNOWN_MAX)
    i = u->next_connection++ % CONNECTIONS_KNOWN_MAX;
  u->connections[i] = (struct upstream_connection){ sin.sin_port, now };
  return now;
}

static h2o_http1client_head_cb
on_connect (h2o_http1client_t *client, const char *error, h2o_iovec_t **bufs,
            size_t *count, int *method_is_head)
{
  struct upstream_call *c = client->data;
  if (error != NULL)
    {
      c->client = NULL;
      call_finish (c, error);
      return NULL;
    }
  c->sent = true;
  /* An idle connection is there at once, a new one later.  */
  c->connected = connection_opened (c->u, client->sock, c->connecting);
  *bufs = &c->request_buf;
  *count = 1;
  *method_is_head = 0;
  return on_head;
}

static void
build_request (struct upstream_call *c, const struct http_call *call)
{
  size_t size = strlen (call->url) + call->body_length + 256;
  for (size_t i = 0; i < call->header_count; i++)
    size += strlen (call->headers[i].name) + strlen (call->headers[i].value)
            + 4;
  c->request = malloc (size);
  assert (c->request != NULL);
  size_t at = (size_t)snprintf (
      c->request, size, "%s %s HTTP/1.1\r\nhost: %s:%u\r\n", call->method,
      call->url, c->u->host, c->u->port);
  for (size_t i = 0; i < call->header_count; i++)
    {
      at = append_text (c->request, at, call->headers[i].name);
      at = append_text (c->request, at, ": ");
      at = append_text (c->request, at, call->headers[i].value);
      at = append_text (c->request, at, "\r\n");
    }
  at += (size_t)snprintf (c->request + at, size - at,
                          "content-length: %zu\r\n\r\n", call->body_length);
  memcpy (c->request + at, call->body, call->body_length);
  c->request_buf = h2o_iovec_init (c->request, at + call->body_length);
}

/* Creates an upstream at ADDRESS (an IPv4 address) and PORT; the first call
   opens a connection.  Returns null if ADDRESS is not an IPv4 address.  */
struct upstream *
upstream_open (uv_loop_t *loop, const char *address, uint16_t port)
{
  struct sockaddr_in sin;
  if (uv_ip4_addr (address, port, &sin) != 0)
    return NULL;
  struct upstream *u = calloc (1, sizeof *u);
  assert (u != NULL);
  u->loop = loop;
  snprintf (u->host, sizeof u->host, "%s", address);
  u->port = port;
  h2o_socketpool_init_by_address (&u->pool, (struct sockaddr *)&sin,
                                  sizeof sin, 0, POOL_CAPACITY);
  h2o_socketpool_set_timeout (&u->pool, loop, IDLE_TIMEOUT_MS);
  h2o_timeout_init (loop, &u->timeout, IO_TIMEOUT_MS);
  u->context.loop = loop;
  u->context.io_timeout = &u->timeout;
  return u;
}

/* Closes and frees U as soon as its calls have ended.  */
void
upstream_close (struct upstream *u)
{
  u->closed = true;
  upstream_unref (u);
}

/* Sends CALL, whose URL is only a path.  DONE runs exactly once, from the
   loop.  A call that is not idempotent gets a new connection, since the
   upstream may close an idle one at the moment when the request is sent, and
   so does a call that asks for one.  */
void
upstream_send (struct upstream *u, const struct http_call *call,
               http_done_fn *done, void *data)
{
  struct upstream_call *c = calloc (1, sizeof *c);
  assert (c != NULL);
  c->u = u;
  c->done = done;
  c->data = data;
  c->response_body_max = call->answer_max_bytes;
  c->silence_max_ms = call->restart_timeout ? call->timeout_ms : 0;
  u->calls++;
  build_request (c, call);
  call_timeout_init (&c->deadline, u->loop, &deadline_type, c);
  call_timeout_start (&c->deadline, call->timeout_ms);
  c->connecting = true;
  if (call->idempotent && !call->new_connection)
    h2o_http1client_connect_with_pool (&c->client, c, &u->context, &u->pool,
                                       on_connect);
  else
    h2o_http1client_connect (&c->client, c, &u->context,
                             h2o_iovec_init (u->host, strlen (u->host)),
                             u->port, 0, on_connect);
  c->connecting = false;
}
