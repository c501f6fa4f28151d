#include "common/http_server.h"

#include <assert.h>
#include <h2o.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "common/json.h"

enum
{
  LISTEN_BACKLOG = 512,
  HEADER_SLACK_BYTES = 64
};

struct http_server
{
  uv_tcp_t listener;
  h2o_globalconf_t config;
  h2o_context_t context;
  h2o_accept_ctx_t accept;
  http_handler_fn *handler;
  void *data;
  size_t in_progress;
  size_t handled; /* requests passed to the handler so far */
  bool listening;
  bool draining;
};

/* h2o passes HANDLER to on_request, which casts it to this struct to get
   SERVER; HANDLER must be the first member.  */
struct server_handler
{
  h2o_handler_t handler;
  struct http_server *server;
};

struct http_exchange
{
  h2o_req_t *req; /* null after h2o has disposed of the request */
  struct exchange_reference *reference;
  struct http_server *server;
  char *method;
  char *path; /* without the query */
  char *query;
  char *header_value; /* value of the last header looked up */
  size_t header_size; /* allocated for header_value */
};

/* Allocated in the memory pool of h2o's request.  Its disposal clears REQ of
   the exchange, so that the exchange can outlive the connection.  */
struct exchange_reference
{
  struct http_exchange *exchange;
};

static void
exchange_free (struct http_exchange *x)
{
  if (x->req != NULL)
    x->reference->exchange = NULL;
  x->server->in_progress--;
  free (x->method);
  free (x->path);
  free (x->query);
  free (x->header_value);
  free (x);
}

/* Called when h2o frees the request, possibly before it is answered.  */
static void
on_request_dispose (void *p)
{
  struct exchange_reference *reference = p;
  if (reference->exchange != NULL)
    reference->exchange->req = NULL;
}

static char *
copy_bytes (const char *s, size_t n)
{
  char *copy = malloc (n + 1);
  assert (copy != NULL);
  memcpy (copy, s, n);
  copy[n] = '\0';
  return copy;
}

static int
on_request (h2o_handler_t *self, h2o_req_t *req)
{
  struct http_server *s = ((struct server_handler *)self)->server;
  struct http_exchange *x = calloc (1, sizeof *x);
  assert (x != NULL);
  struct exchange_reference *reference = h2o_mem_alloc_shared (
      &req->pool, sizeof *reference, on_request_dispose);
  reference->exchange = x;
  x->reference = reference;
  x->req = req;
  x->server = s;
  x->method = copy_bytes (req->method.base, req->method.len);
  size_t path_len = req->query_at != SIZE_MAX ? req->query_at : req->path.len;
  x->path = copy_bytes (req->path.base, path_len);
  if (req->query_at != SIZE_MAX)
    x->query = copy_bytes (req->path.base + path_len + 1,
                           req->path.len - path_len - 1);
  s->in_progress++;
  s->handled++;
  s->handler (s->data, x);
  return 0;
}

static void
on_connection_closed (uv_handle_t *h)
{
  free (h);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  struct http_server *s = listener->data;
  if (status != 0)
    return;
  uv_tcp_t *conn = h2o_mem_alloc (sizeof *conn);
  uv_tcp_init (listener->loop, conn);
  if (uv_accept (listener, (uv_stream_t *)conn) != 0)
    {
      uv_close ((uv_handle_t *)conn, on_connection_closed);
      return;
    }
  uv_tcp_nodelay (conn, 1);
  h2o_socket_t *sock
      = h2o_uv_socket_create ((uv_stream_t *)conn, on_connection_closed);
  h2o_accept (&s->accept, sock);
}

/* Listens on ADDRESS (an IPv4 address) and PORT and passes every request to
   HANDLER.  Returns null and sets ERR if the server can't listen on the
   address.  The server is never freed.  */
struct http_server *
http_server_open (uv_loop_t *loop, const char *address, uint16_t port,
                  const struct http_server_limits *limits,
                  http_handler_fn *handler, void *data, struct rr_error *err)
{
  struct sockaddr_in sin;
  int rc = uv_ip4_addr (address, port, &sin);
  if (rc != 0)
    {
      rr_error_set (err, RR_ERROR_INVALID, "%s is not an IP address", address);
      return NULL;
    }
  struct http_server *s = calloc (1, sizeof *s);
  assert (s != NULL);
  s->handler = handler;
  s->data = data;
  uv_tcp_init (loop, &s->listener);
  s->listener.data = s;
  rc = uv_tcp_bind (&s->listener, (struct sockaddr *)&sin, 0);
  if (rc == 0)
    rc = uv_listen ((uv_stream_t *)&s->listener, LISTEN_BACKLOG,
                    on_connection);
  if (rc != 0)
    {
      rr_error_set (err, RR_ERROR_SYSTEM, "can't listen on %s:%u: %s", address,
                    port, uv_strerror (rc));
      return NULL;
    }
  s->listening = true;
  h2o_config_init (&s->config);
  s->config.server_name = (h2o_iovec_t){ H2O_STRLIT ("rosemaryrail") };
  s->config.max_request_entity_size = limits->body_max_bytes;
  s->config.http1.req_timeout = limits->request_timeout_ms;
  h2o_hostconf_t *host = h2o_config_register_host (
      &s->config, h2o_iovec_init (H2O_STRLIT ("default")), 65535);
  h2o_pathconf_t *path = h2o_config_register_path (host, "/", 0);
  struct server_handler *h
      = (struct server_handler *)h2o_create_handler (path, sizeof *h);
  h->handler.on_req = on_request;
  h->server = s;
  h2o_context_init (&s->context, loop, &s->config);
  s->accept.ctx = &s->context;
  s->accept.hosts = s->config.hosts;
  return s;
}

/* Closes the listening socket; open connections stay open.  */
void
http_server_stop_accepting (struct http_server *s)
{
  if (!s->listening)
    return;
  s->listening = false;
  uv_close ((uv_handle_t *)&s->listener, NULL);
}

/* Closes the listening socket, and each connection after the request in
   progress on it.  */
void
http_server_shutdown (struct http_server *s)
{
  http_server_stop_accepting (s);
  h2o_context_request_shutdown (&s->context);
}

/* Closes each connection after its next response, so that the client
   reconnects elsewhere.  New connections are still accepted.  */
void
http_server_drain (struct http_server *s)
{
  s->draining = true;
}

/* Returns the number of requests passed to the handler so far.  */
size_t
http_server_handled (const struct http_server *s)
{
  return s->handled;
}

/* Returns the port that S listens on, which the kernel chose if the server was
   opened with port 0.  Returns 0 on failure.  */
uint16_t
http_server_port (const struct http_server *s)
{
  struct sockaddr_in sin;
  int length = sizeof sin;
  if (uv_tcp_getsockname (&s->listener, (struct sockaddr *)&sin, &length) != 0)
    return 0;
  return ntohs (sin.sin_port);
}

/* Returns the number of requests that the handler has not answered yet.  */
size_t
http_server_in_progress (const struct http_server *s)
{
  return s->in_progress;
}

/* Returns the request method, such as "GET".  */
const char *
http_exchange_method (const struct http_exchange *x)
{
  return x->method;
}

/* Returns the request path without the query.  */
const char *
http_exchange_path (const struct http_exchange *x)
{
  return x->path;
}

/* Returns the request body, which is not terminated, and sets LENGTH to its
   size in bytes.  The body is valid until the exchange is answered or control
   returns to the loop.  It is empty if the connection is gone.  */
const char *
http_exchange_body (const struct http_exchange *x, size_t *length)
{
  *length = x->req == NULL ? 0 : x->req->entity.len;
  return *length == 0 ? "" : x->req->entity.base;
}

/* Returns a terminated copy of V, valid until the next call for X.  */
static const char *
store_header_value (struct http_exchange *x, h2o_iovec_t v)
{
  if (v.len >= x->header_size)
    {
      free (x->header_value);
      x->header_size = v.len + HEADER_SLACK_BYTES;
      x->header_value = malloc (x->header_size);
      assert (x->header_value != NULL);
    }
  memcpy (x->header_value, v.base, v.len);
  x->header_value[v.len] = '\0';
  return x->header_value;
}

/* Returns the value of the request header NAME, or null if it is absent or the
   connection is gone.  Valid until the next lookup in X.  */
const char *
http_exchange_header (struct http_exchange *x, const char *name)
{
  if (x->req == NULL)
    return NULL;
  /* h2o removes Host from the list of headers.  */
  if (strcasecmp (name, "host") == 0)
    return store_header_value (x, x->req->authority);
  char lower[64];
  size_t n = strlen (name);
  assert (n < sizeof lower);
  for (size_t i = 0; i <= n; i++)
    lower[i]
        = (char)(name[i] >= 'A' && name[i] <= 'Z' ? name[i] + 32 : name[i]);
  ssize_t at = -1;
  const h2o_token_t *token = h2o_lookup_token (lower, n);
  if (token != NULL)
    at = h2o_find_header (&x->req->headers, token, -1);
  else
    at = h2o_find_header_by_str (&x->req->headers, lower, n, -1);
  if (at < 0)
    return NULL;
  return store_header_value (x, x->req->headers.entries[at].value);
}

/* Copies the query parameter NAME into VALUE without percent-decoding.
   Returns false if it is absent or does not fit into SIZE bytes.  */
bool
http_exchange_query (const struct http_exchange *x, const char *name,
                     char *value, size_t size)
{
  size_t n = strlen (name);
  for (const char *p = x->query; p != NULL && *p != '\0';)
    {
      const char *end = strchrnul (p, '&');
      if (strncmp (p, name, n) == 0 && p[n] == '=')
        {
          size_t len = (size_t)(end - p) - n - 1;
          if (len >= size)
            return false;
          memcpy (value, p + n + 1, len);
          value[len] = '\0';
          return true;
        }
      p = *end == '&' ? end + 1 : NULL;
    }
  return false;
}

static const char *
reason_phrase (int status)
{
  static const struct
  {
    int status;
    const char *phrase;
  } phrases[] = {
    { 200, "OK" },
    { 202, "Accepted" },
    { 204, "No Content" },
    { 304, "Not Modified" },
    { 400, "Bad Request" },
    { 404, "Not Found" },
    { 405, "Method Not Allowed" },
    { 409, "Conflict" },
    { 410, "Gone" },
    { 413, "Content Too Large" },
    { 429, "Too Many Requests" },
    { 500, "Internal Server Error" },
    { 503, "Service Unavailable" },
    { 504, "Gateway Timeout" },
  };
  for (size_t i = 0; i < sizeof phrases / sizeof phrases[0]; i++)
    if (phrases[i].status == status)
      return phrases[i].phrase;
  return "Other";
}

/* Responds to X with STATUS, HEADERS and a copy of BODY, and frees X.  The
   response is dropped if the connection is gone.  */
void
http_exchange_respond (struct http_exchange *x, int status,
                       const struct http_header *headers, size_t header_count,
                       const char *body, size_t length)
{
  h2o_req_t *req = x->req;
  if (req != NULL)
    {
      if (x->server->draining)
        req->http1_is_persistent = 0;
      req->res.status = status;
      req->res.reason = reason_phrase (status);
      req->res.content_length = length;
      for (size_t i = 0; i < header_count; i++)
        {
          h2o_iovec_t name
              = h2o_strdup (&req->pool, headers[i].name, SIZE_MAX);
          h2o_iovec_t lower
              = h2o_strdup (&req->pool, headers[i].name, SIZE_MAX);
          h2o_iovec_t value
              = h2o_strdup (&req->pool, headers[i].value, SIZE_MAX);
          h2o_strtolower (lower.base, lower.len);
          h2o_add_header_by_str (&req->pool, &req->res.headers, lower.base,
                                 lower.len, 1, name.base, value.base,
                                 value.len);
        }
      h2o_send_inline (req, body, length);
    }
  exchange_free (x);
}

/* Responds to X with the text JSON and frees X.  */
void
http_exchange_respond_json (struct http_exchange *x, int status,
                            const char *json)
{
  struct http_header type = { "content-type", "application/json" };
  http_exchange_respond (x, status, &type, 1, json, strlen (json));
}

/* Responds to X with ERR as a JSON object and frees X.  */
void
http_exchange_respond_error (struct http_exchange *x, int status,
                             const struct rr_error *err)
{
  struct json_object *o = json_object_new_object ();
  struct json_object *e = json_object_new_object ();
  json_object_object_add (
      e, "code", json_object_new_string (rr_error_code_name (err->code)));
  json_object_object_add (e, "message", json_object_new_string (err->message));
  json_object_object_add (o, "error", e);
  http_exchange_respond_json (x, status, json_text (o));
  json_object_put (o);
}

/* Closes the connection of X without a response and frees X.  h2o can finish a
   request only with a response, so the socket is shut down first and that
   response never reaches the client.  The process must ignore SIGPIPE.  */
void
http_exchange_abort (struct http_exchange *x)
{
  h2o_req_t *req = x->req;
  if (req != NULL)
    {
      h2o_socket_t *sock = req->conn->callbacks->get_socket (req->conn);
      shutdown (h2o_socket_get_fd (sock), SHUT_RDWR);
      req->http1_is_persistent = 0;
    }
  http_exchange_respond (x, 503, NULL, 0, "", 0);
}

/* Maps CODE to the HTTP status returned to callers.  */
int
http_status_from_error (enum rr_error_code code)
{
  switch (code)
    {
    case RR_OK:
      return 200;
    case RR_ERROR_INVALID:
      return 400;
    case RR_ERROR_NOT_FOUND:
      return 404;
    case RR_ERROR_CONFLICT:
      return 409;
    case RR_ERROR_LIMIT:
      return 429;
    case RR_ERROR_UNAVAILABLE:
      return 503;
    case RR_ERROR_TIMEOUT:
      return 504;
    case RR_ERROR_SYSTEM:
      return 500;
    }
  return 500;
}
