#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "standins/tool.h"

enum
{
  PAIRS_MAX = 256,
  BACKLOG = 512
};

enum relay_mode
{
  RELAY_PASS,
  RELAY_CUT,          /* connections are reset and refused */
  RELAY_FREEZE,       /* accepted, but no byte moves */
  RELAY_DROP_ANSWERS, /* closed when the target begins to answer */
  /* New connections are held: they keep what their clients send, and reach the
     target when they are released.  Others and released ones end with their
     next answer, which has to come in one piece.  */
  RELAY_HOLD
};

static const char *const mode_names[]
    = { "pass", "cut", "freeze", "drop-answers", "hold" };

/* Bytes on their way; an empty chunk is the end of the stream.  */
struct chunk
{
  STAILQ_ENTRY (chunk) link;
  int64_t due_us;
  size_t length;
  uv_write_t write;
  char bytes[];
};

/* One of the two directions of a connection.  */
struct direction
{
  struct connection *connection;
  uv_tcp_t from;
  uv_timer_t timer;
  STAILQ_HEAD (chunk_queue, chunk) chunks;
  bool reading;
  bool ended; /* the last chunk has been written */
};

struct connection
{
  TAILQ_ENTRY (connection) link;
  struct pair *pair;
  struct direction request; /* from the client */
  struct direction answer;  /* from the target */
  uv_connect_t connect;
  uv_shutdown_t shutdown[2];
  bool held;
  bool released;   /* passes in every mode */
  bool connecting; /* or connected */
  bool connected;
  bool closing;
  int open_handles;
};

struct pair
{
  char group[64];
  struct sockaddr_in listen;
  struct sockaddr_in target;
  uv_tcp_t *listener;                                   /* null while cut */
  TAILQ_HEAD (connection_list, connection) connections; /* oldest first */
  enum relay_mode mode;
  int64_t delay_ms;
  int64_t accepted;
  int64_t dropped;
  int64_t held; /* reads from clients of held connections */
};

static uv_loop_t loop;
static struct pair pairs[PAIRS_MAX];
static int pair_count;

static void
on_connection_handle_closed (uv_handle_t *h)
{
  struct connection *c = h->data;
  if (--c->open_handles > 0)
    return;
  struct direction *both[] = { &c->request, &c->answer };
  for (int i = 0; i < 2; i++)
    while (!STAILQ_EMPTY (&both[i]->chunks))
      {
        struct chunk *k = STAILQ_FIRST (&both[i]->chunks);
        STAILQ_REMOVE_HEAD (&both[i]->chunks, link);
        free (k);
      }
  free (c);
}

static void
connection_close (struct connection *c)
{
  if (c->closing)
    return;
  c->closing = true;
  TAILQ_REMOVE (&c->pair->connections, c, link);
  c->open_handles = 4;
  uv_handle_t *handles[]
      = { (uv_handle_t *)&c->request.from, (uv_handle_t *)&c->answer.from,
          (uv_handle_t *)&c->request.timer, (uv_handle_t *)&c->answer.timer };
  for (int i = 0; i < 4; i++)
    {
      handles[i]->data = c;
      uv_close (handles[i], on_connection_handle_closed);
    }
}

static void
on_write_done (uv_write_t *write, int status)
{
  (void)status;
  free (write->data);
}

static void
on_shutdown_done (uv_shutdown_t *shutdown, int status)
{
  (void)status;
  struct connection *c = shutdown->data;
  if (!c->closing && c->request.ended && c->answer.ended)
    connection_close (c);
}

static struct direction *
direction_opposite (struct direction *d)
{
  struct connection *c = d->connection;
  return d == &c->request ? &c->answer : &c->request;
}

static void on_direction_timer (uv_timer_t *timer);

static enum relay_mode
connection_mode (const struct connection *c)
{
  return c->released ? RELAY_PASS : c->pair->mode;
}

/* Writes the chunks of D that are due.  */
static void
direction_flush (struct direction *d)
{
  struct connection *c = d->connection;
  while (!c->closing && c->connected && connection_mode (c) != RELAY_FREEZE
         && !STAILQ_EMPTY (&d->chunks))
    {
      struct chunk *k = STAILQ_FIRST (&d->chunks);
      int64_t wait_us = k->due_us - tool_now_us ();
      if (wait_us > 0)
        {
          uv_timer_start (&d->timer, on_direction_timer,
                          (uint64_t)(wait_us + 999) / 1000, 0);
          return;
        }
      STAILQ_REMOVE_HEAD (&d->chunks, link);
      uv_stream_t *to = (uv_stream_t *)&direction_opposite (d)->from;
      if (k->length == 0)
        {
          uv_shutdown_t *s = &c->shutdown[d == &c->answer];
          d->ended = true;
          s->data = c;
          free (k);
          if (uv_shutdown (s, to, on_shutdown_done) != 0)
            connection_close (c);
          return;
        }
      uv_buf_t buf = uv_buf_init (k->bytes, (unsigned int)k->length);
      k->write.data = k;
      if (uv_write (&k->write, to, &buf, 1, on_write_done) != 0)
        {
          free (k);
          connection_close (c);
        }
    }
}

static void
on_direction_timer (uv_timer_t *timer)
{
  direction_flush (timer->data);
}

static void
direction_queue (struct direction *d, const char *bytes, size_t n)
{
  struct chunk *k = tool_alloc (sizeof *k + n);
  if (n > 0)
    memcpy (k->bytes, bytes, n);
  k->length = n;
  k->due_us = tool_now_us () + d->connection->pair->delay_ms * 1000;
  STAILQ_INSERT_TAIL (&d->chunks, k, link);
  direction_flush (d);
}

static void
on_alloc (uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
  (void)h;
  (void)suggested;
  static char bytes[65536];
  *buf = uv_buf_init (bytes, sizeof bytes);
}

static void
on_read (uv_stream_t *from, ssize_t n, const uv_buf_t *buf)
{
  struct direction *d = from->data;
  struct connection *c = d->connection;
  if (n == 0)
    return;
  if (n > 0 && c->held)
    c->pair->held++;
  if (d == &c->answer && connection_mode (c) == RELAY_DROP_ANSWERS)
    {
      c->pair->dropped++;
      connection_close (c);
    }
  else if (n > 0)
    {
      direction_queue (d, buf->base, (size_t)n);
      if (d == &c->answer && !c->closing
          && (c->released || c->pair->mode == RELAY_HOLD))
        {
          uv_read_stop (from);
          direction_queue (d, NULL, 0);
        }
    }
  else if (n == UV_EOF)
    {
      uv_read_stop (from);
      direction_queue (d, NULL, 0);
    }
  else
    connection_close (c);
}

static void on_connected (uv_connect_t *connect, int status);

/* Starts or stops reading and writing as the mode of the pair wants, and
   connects to the target unless C is held.  */
static void
connection_apply_mode (struct connection *c)
{
  if (!c->connecting && !c->held)
    {
      c->connecting = true;
      if (uv_tcp_connect (&c->connect, &c->answer.from,
                          (struct sockaddr *)&c->pair->target, on_connected)
          != 0)
        connection_close (c);
    }
  struct direction *both[] = { &c->request, &c->answer };
  for (int i = 0; i < 2 && !c->closing; i++)
    {
      bool read = c->held
                      ? both[i] == &c->request
                      : c->connected && connection_mode (c) != RELAY_FREEZE;
      if (read && !both[i]->reading)
        uv_read_start ((uv_stream_t *)&both[i]->from, on_alloc, on_read);
      else if (!read && both[i]->reading)
        uv_read_stop ((uv_stream_t *)&both[i]->from);
      both[i]->reading = read;
      direction_flush (both[i]);
    }
}

static void
on_connected (uv_connect_t *connect, int status)
{
  struct connection *c = connect->data;
  if (c->closing)
    return;
  c->connected = status == 0;
  if (status != 0)
    {
      connection_close (c);
      return;
    }
  uv_tcp_nodelay (&c->answer.from, 1);
  connection_apply_mode (c);
}

static void
direction_open (struct connection *c, struct direction *d)
{
  d->connection = c;
  STAILQ_INIT (&d->chunks);
  uv_tcp_init (&loop, &d->from);
  uv_timer_init (&loop, &d->timer);
  d->from.data = d;
  d->timer.data = d;
}

static void
on_connection (uv_stream_t *listener, int status)
{
  struct pair *p = listener->data;
  if (status != 0)
    return;
  struct connection *c = tool_alloc (sizeof *c);
  c->pair = p;
  c->held = p->mode == RELAY_HOLD;
  TAILQ_INSERT_TAIL (&p->connections, c, link);
  p->accepted++;
  direction_open (c, &c->request);
  direction_open (c, &c->answer);
  c->connect.data = c;
  if (uv_accept (listener, (uv_stream_t *)&c->request.from) != 0)
    {
      connection_close (c);
      return;
    }
  uv_tcp_nodelay (&c->request.from, 1);
  connection_apply_mode (c);
}

static void
on_listener_closed (uv_handle_t *h)
{
  free (h);
}

static bool
pair_listen (struct pair *p, struct rr_error *err)
{
  p->listener = tool_alloc (sizeof *p->listener);
  uv_tcp_init (&loop, p->listener);
  p->listener->data = p;
  int rc = uv_tcp_bind (p->listener, (struct sockaddr *)&p->listen, 0);
  if (rc == 0)
    rc = uv_listen ((uv_stream_t *)p->listener, BACKLOG, on_connection);
  return rc == 0
         || rr_error_set (err, RR_ERROR_SYSTEM, "can't listen on port %u: %s",
                          ntohs (p->listen.sin_port), uv_strerror (rc));
}

static void
pair_set_mode (struct pair *p, enum relay_mode mode, struct rr_error *err)
{
  p->mode = mode;
  if (mode == RELAY_CUT)
    {
      while (!TAILQ_EMPTY (&p->connections))
        connection_close (TAILQ_FIRST (&p->connections));
      if (p->listener != NULL)
        uv_close ((uv_handle_t *)p->listener, on_listener_closed);
      p->listener = NULL;
      return;
    }
  if (p->listener == NULL)
    pair_listen (p, err);
  struct connection *next;
  for (struct connection *c = TAILQ_FIRST (&p->connections); c != NULL;
       c = next)
    {
      next = TAILQ_NEXT (c, link);
      connection_apply_mode (c);
    }
}

/* Lets the held connections of P go through to the target, in every mode and
   in the order in which they were made.  */
static void
pair_release (struct pair *p)
{
  struct connection *next;
  for (struct connection *c = TAILQ_FIRST (&p->connections); c != NULL;
       c = next)
    {
      next = TAILQ_NEXT (c, link);
      if (!c->held)
        continue;
      c->held = false;
      c->released = true;
      connection_apply_mode (c);
    }
}

static void
serve_stats (struct http_exchange *x)
{
  struct json_object *list = json_object_new_array ();
  for (int i = 0; i < pair_count; i++)
    {
      const struct pair *p = &pairs[i];
      json_object_array_add (
          list,
          tool_object (
              "group:s port:d mode:s delay_ms:i accepted:i answers_dropped:i "
              "held:i",
              p->group, ntohs (p->listen.sin_port), mode_names[p->mode],
              p->delay_ms, p->accepted, p->dropped, p->held));
    }
  tool_respond (x, 200, list);
}

/* Serves POST /groups/NAME {"mode":TEXT?,"delay_ms":N?,"release":N?}; NAME
   "all" means every pair, and a release of 1 lets held connections go.  */
static void
serve_group (struct http_exchange *x, const char *group)
{
  struct rr_error err = { 0 };
  bool all = strcmp (group, "all") == 0;
  char name[64];
  snprintf (name, sizeof name, "%s", group);
  struct json_object *o = tool_body_json (x);
  if (o == NULL)
    return;
  const char *mode_name = json_string_or (o, "mode", NULL);
  int mode = 0;
  while (mode_name != NULL && mode <= RELAY_HOLD
         && strcmp (mode_names[mode], mode_name) != 0)
    mode++;
  int matched = 0;
  for (int i = 0; i < pair_count && mode <= RELAY_HOLD; i++)
    if (all || strcmp (pairs[i].group, name) == 0)
      {
        matched++;
        pairs[i].delay_ms = json_int_or (o, "delay_ms", pairs[i].delay_ms);
        if (mode_name != NULL)
          pair_set_mode (&pairs[i], (enum relay_mode)mode, &err);
        if (json_int_or (o, "release", 0) != 0)
          pair_release (&pairs[i]);
      }
  json_object_put (o);
  if (mode > RELAY_HOLD)
    rr_error_set (&err, RR_ERROR_INVALID, "unknown mode");
  else if (matched == 0)
    rr_error_set (&err, RR_ERROR_NOT_FOUND, "no pair is in group %s", name);
  if (err.code != RR_OK)
    http_exchange_respond_error (x, http_status_from_error (err.code), &err);
  else
    serve_stats (x);
}

static void
on_request (void *data, struct http_exchange *x)
{
  (void)data;
  const char *path = http_exchange_path (x);
  if (strcmp (path, "/stats") == 0)
    serve_stats (x);
  else if (strcmp (http_exchange_method (x), "POST") == 0
           && strncmp (path, "/groups/", 8) == 0)
    serve_group (x, path + 8);
  else
    tool_respond_reason (x, 404, "no-such-call");
}

static bool
parse_address (const char *ip, const char *port, struct sockaddr_in *address)
{
  return strncmp (ip, "127.", 4) == 0
         && uv_ip4_addr (ip, (int)strtol (port, NULL, 10), address) == 0;
}

/* Parses GROUP:IP:PORT=IP:PORT.  */
static bool
pair_parse (const char *text, struct pair *p, struct rr_error *err)
{
  char ip[2][16];
  char port[2][6];
  if (sscanf (text, "%63[^:]:%15[0-9.]:%5[0-9]=%15[0-9.]:%5[0-9]", p->group,
              ip[0], port[0], ip[1], port[1])
          != 5
      || !parse_address (ip[0], port[0], &p->listen)
      || !parse_address (ip[1], port[1], &p->target))
    return rr_error_set (err, RR_ERROR_INVALID,
                         "\"%s\" is not GROUP:IP:PORT=IP:PORT on loopback",
                         text);
  TAILQ_INIT (&p->connections);
  return pair_listen (p, err);
}

int
main (int argc, char **argv)
{
  static struct tool_flag flags[] = {
    PORT_FLAG ("control-port", "port for commands"),
    LIST_FLAG ("pair", "GROUP:IP:PORT=IP:PORT, listen and target address"),
  };
  int code;
  if (!tool_start (argc, argv, "rr-relay",
                   "Forwards TCP between pairs of addresses, for tests.",
                   flags, 2, &loop, &code))
    return code;
  struct rr_error err = { 0 };
  for (; pair_count < flags[1].count; pair_count++)
    if (!pair_parse (flags[1].texts[pair_count], &pairs[pair_count], &err))
      return tool_fail ("rr-relay", &err);
  if (tool_listen (&loop, flags[0].number, on_request, NULL, &err) == NULL)
    return tool_fail ("rr-relay", &err);
  uv_run (&loop, UV_RUN_DEFAULT);
  return EXIT_SUCCESS;
}
