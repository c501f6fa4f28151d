#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

/* HTTP/1.1 on loopback addresses.  */

enum
{
  HEAD_MAX = 16384
};

struct connection
{
  struct server *server;
  int fd;
  char head[HEAD_MAX];
  size_t length;
};

static bool
send_all (int fd, const char *bytes, size_t n)
{
  while (n > 0)
    {
      ssize_t k = send (fd, bytes, n, MSG_NOSIGNAL);
      if (k <= 0)
        return false;
      bytes += k;
      n -= (size_t)k;
    }
  return true;
}

/* Reads until HEAD holds a whole head, and returns its length; 0 at the end of
   the connection.  */
static size_t
read_head (struct connection *c)
{
  for (;;)
    {
      c->head[c->length] = '\0';
      char *end = strstr (c->head, "\r\n\r\n");
      if (end != NULL)
        return (size_t)(end - c->head) + 4;
      if (c->length + 1 >= sizeof c->head)
        return 0;
      ssize_t k = recv (c->fd, c->head + c->length,
                        sizeof c->head - c->length - 1, 0);
      if (k <= 0)
        return 0;
      c->length += (size_t)k;
    }
}

static void
header_value (const char *head, const char *name, char *out, size_t size)
{
  out[0] = '\0';
  size_t n = strlen (name);
  for (const char *p = strstr (head, "\r\n"); p != NULL;
       p = strstr (p, "\r\n"))
    {
      p += 2;
      if (strncasecmp (p, name, n) != 0 || p[n] != ':')
        continue;
      p += n + 1;
      p += strspn (p, " ");
      size_t length = strcspn (p, "\r\n");
      snprintf (out, size, "%.*s", (int)length, p);
      return;
    }
}

/* Reads a request.  The caller frees its body.  */
static bool
read_request (struct connection *c, struct request *q)
{
  memset (q, 0, sizeof *q);
  size_t n = read_head (c);
  if (n == 0)
    return false;
  char text[32];
  header_value (c->head, "content-length", text, sizeof text);
  header_value (c->head, "expect-instance", q->instance, sizeof q->instance);
  q->length = strtoul (text, NULL, 10);
  size_t method = strcspn (c->head, " ");
  snprintf (q->method, sizeof q->method, "%.*s", (int)method, c->head);
  const char *path = c->head + method + 1;
  snprintf (q->path, sizeof q->path, "%.*s", (int)strcspn (path, " \r"), path);
  q->body = calloc (1, q->length + 1);
  if (q->body == NULL)
    return false;
  size_t have = c->length - n < q->length ? c->length - n : q->length;
  memcpy (q->body, c->head + n, have);
  memmove (c->head, c->head + n + have, c->length - n - have);
  c->length -= n + have;
  while (have < q->length)
    {
      ssize_t k = recv (c->fd, q->body + have, q->length - have, 0);
      if (k <= 0)
        return false;
      have += (size_t)k;
    }
  return true;
}

/* Reads and drops what comes, until the peer closes.  */
static void
stay_silent (int fd)
{
  char bytes[1024];
  while (recv (fd, bytes, sizeof bytes, 0) > 0)
    continue;
}

static bool
respond (int fd, const struct answer *a)
{
  char head[160];
  size_t length = a->body == NULL ? 0 : strlen (a->body);
  int n = snprintf (head, sizeof head,
                    "HTTP/1.1 %d Status\r\ncontent-type: application/json\r\n"
                    "content-length: %zu\r\n\r\n",
                    a->status, length);
  return send_all (fd, head, (size_t)n)
         && (length == 0 || send_all (fd, a->body, length));
}

static void
connection_register (struct server *s, int fd, bool open)
{
  pthread_mutex_lock (&lock);
  for (size_t i = 0; i < sizeof s->conns / sizeof s->conns[0]; i++)
    if (s->conns[i] == (open ? 0 : fd))
      {
        s->conns[i] = open ? fd : 0;
        break;
      }
  pthread_mutex_unlock (&lock);
}

static void *
serve_connection (void *data)
{
  struct connection *c = data;
  struct request q;
  bool more = true;
  while (more && read_request (c, &q))
    {
      struct answer a = { 0 };
      pthread_mutex_lock (&lock);
      c->server->handler (c->server->data, &q, &a);
      pthread_mutex_unlock (&lock);
      if (a.status == 0)
        {
          stay_silent (c->fd);
          more = false;
        }
      else
        more = respond (c->fd, &a);
      free (a.body);
      free (q.body);
      q.body = NULL;
    }
  free (q.body);
  connection_register (c->server, c->fd, false);
  close (c->fd);
  free (c);
  return NULL;
}

static void
thread_start (void *(*function) (void *), void *data)
{
  pthread_t thread;
  if (pthread_create (&thread, NULL, function, data) != 0)
    give_up ("no thread");
  pthread_detach (thread);
}

static void *
serve (void *data)
{
  struct server *s = data;
  for (;;)
    {
      int fd = accept (s->fd, NULL, NULL);
      if (fd < 0)
        continue;
      pthread_mutex_lock (&lock);
      bool down = s->down;
      pthread_mutex_unlock (&lock);
      int one = 1;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      if (down)
        {
          struct linger now = { .l_onoff = 1, .l_linger = 0 };
          setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
          close (fd);
          continue;
        }
      struct connection *c = calloc (1, sizeof *c);
      if (c == NULL)
        give_up ("no memory");
      c->server = s;
      c->fd = fd;
      connection_register (s, fd, true);
      thread_start (serve_connection, c);
    }
  return NULL;
}

static int
bind_any (int *port)
{
  struct sockaddr_in sin = { .sin_family = AF_INET };
  inet_pton (AF_INET, address, &sin.sin_addr);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  socklen_t n = sizeof sin;
  if (fd < 0 || bind (fd, (struct sockaddr *)&sin, sizeof sin) != 0
      || getsockname (fd, (struct sockaddr *)&sin, &n) != 0)
    give_up ("no port");
  *port = ntohs (sin.sin_port);
  return fd;
}

/* Returns a port that is free now.  */
int
free_port (void)
{
  int port;
  close (bind_any (&port));
  return port;
}

/* Serves HANDLER, which is called with LOCK, on a port of its own.  */
void
server_open (struct server *s, handler_fn *handler, void *data)
{
  s->handler = handler;
  s->data = data;
  s->fd = bind_any (&s->port);
  if (listen (s->fd, 512) != 0)
    give_up ("cannot listen");
  thread_start (serve, s);
}

/* Resets the connections of S.  The caller has LOCK.  */
void
server_reset (struct server *s)
{
  for (size_t i = 0; i < sizeof s->conns / sizeof s->conns[0]; i++)
    if (s->conns[i] != 0)
      {
        struct linger now = { .l_onoff = 1, .l_linger = 0 };
        setsockopt (s->conns[i], SOL_SOCKET, SO_LINGER, &now, sizeof now);
        shutdown (s->conns[i], SHUT_RDWR);
      }
}

/* Sends a request and returns the status, 0 without an answer within
   DEADLINE_MS and a little more.  */
int
call (int port, const char *method, const char *path, const char *host,
      int deadline_ms, const char *body, char *out, size_t size)
{
  struct sockaddr_in sin
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  inet_pton (AF_INET, address, &sin.sin_addr);
  out[0] = '\0';
  struct connection *c = calloc (1, sizeof *c);
  if (c == NULL)
    give_up ("no memory");
  c->fd = socket (AF_INET, SOCK_STREAM, 0);
  int limit = deadline_ms + 200;
  struct timeval timeout
      = { .tv_sec = limit / 1000, .tv_usec = (limit % 1000) * INT64_C (1000) };
  setsockopt (c->fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  char head[512];
  int n = snprintf (head, sizeof head,
                    "%s %s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: %d\r\n"
                    "Content-Type: application/json\r\n"
                    "Content-Length: %zu\r\n\r\n",
                    method, path, host, deadline_ms,
                    body == NULL ? 0 : strlen (body));
  int status = 0;
  if (connect (c->fd, (struct sockaddr *)&sin, sizeof sin) == 0
      && send_all (c->fd, head, (size_t)n)
      && (body == NULL || send_all (c->fd, body, strlen (body))))
    {
      size_t at = read_head (c);
      char text[32];
      header_value (c->head, "content-length", text, sizeof text);
      size_t length = strtoul (text, NULL, 10);
      while (at > 0 && c->length < at + length
             && c->length + 1 < sizeof c->head)
        {
          ssize_t k = recv (c->fd, c->head + c->length,
                            sizeof c->head - c->length - 1, 0);
          if (k <= 0)
            break;
          c->length += (size_t)k;
        }
      if (at > 0 && c->length >= at + length)
        {
          status = (int)strtol (c->head + sizeof "HTTP/1.1", NULL, 10);
          snprintf (out, size, "%.*s", (int)length, c->head + at);
        }
    }
  close (c->fd);
  free (c);
  return status;
}

/* Returns O as text and frees O.  */
char *
text_of (struct json_object *o)
{
  char *text
      = strdup (json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN));
  json_object_put (o);
  return text;
}

int64_t
get_int (struct json_object *o, const char *name, int64_t fallback)
{
  struct json_object *v = NULL;
  return json_object_object_get_ex (o, name, &v) ? json_object_get_int64 (v)
                                                 : fallback;
}

const char *
get_text (struct json_object *o, const char *name)
{
  struct json_object *v = NULL;
  const char *text = NULL;
  if (json_object_object_get_ex (o, name, &v))
    text = json_object_get_string (v);
  return text == NULL ? "" : text;
}
