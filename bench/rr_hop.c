#include <argtable2.h>
#include <assert.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <uv.h>

#include "common/http_server.h"
#include "rosemaryrail/histogram.h"

/* Measures the cost of the hop through a daemon: the same load is sent to a
   bare h2o handler, to an upstream and to a daemon in front of it.  */

enum
{
  CONNECTIONS_MAX = 1024,
  ANSWER_MAX = 65536,
  TICK_MS = 50,
  BODY_BYTES = 128
};

/* One keep-alive connection with at most one request in progress.  */
struct connection
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  uv_write_t write;
  struct load *load;
  bool ready;
  bool busy;
  double scheduled_ms;
  char answer[ANSWER_MAX];
  size_t length;
};

struct load
{
  uv_loop_t loop;
  uv_timer_t timer;
  uv_idle_t idle;
  struct sockaddr_in target;
  struct connection *connections;
  int count;
  double rate; /* requests per second; 0: as many as possible */
  double start_ms;
  double warm_ms;
  double end_ms;
  double next_ms; /* scheduled time of the next request */
  gsl_rng *rng;
  char request[1024];
  size_t request_length;
  struct rr_histogram *latency;
  uint64_t answered;
  uint64_t failed;
  uint64_t sequence;
  const char *path;
};

static double
now_ms (void)
{
  return (double)uv_hrtime () / 1e6;
}

static void send_next (struct connection *c);

/* Returns the length of the whole response in BYTES, or 0 while it is not
   complete.  */
static size_t
response_length (const char *bytes, size_t length)
{
  const char *end = memmem (bytes, length, "\r\n\r\n", 4);
  if (end == NULL)
    return 0;
  size_t head = (size_t)(end - bytes) + 4;
  for (const char *p = bytes; p < end;)
    {
      const char *line_end = memchr (p, '\n', (size_t)(end + 2 - p));
      if (strncasecmp (p, "content-length:", 15) == 0)
        {
          size_t body = strtoul (p + 15, NULL, 10);
          return length >= head + body ? head + body : 0;
        }
      p = line_end + 1;
    }
  return head;
}

static void
on_buffer (uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
  (void)suggested;
  struct connection *c = h->data;
  *buf = uv_buf_init (c->answer + c->length,
                      (unsigned)(ANSWER_MAX - c->length));
}

static void
on_read (uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
  (void)buf;
  struct connection *c = s->data;
  struct load *l = c->load;
  if (n < 0)
    {
      l->failed += c->busy;
      c->ready = false;
      return;
    }
  c->length += (size_t)n;
  if (response_length (c->answer, c->length) == 0)
    return;
  double now = now_ms ();
  bool ok = strncmp (c->answer, "HTTP/1.1 200", 12) == 0;
  c->length = 0;
  c->busy = false;
  if (c->scheduled_ms >= l->warm_ms)
    {
      l->answered += ok;
      l->failed += !ok;
      if (ok)
        rr_histogram_add (l->latency, now - c->scheduled_ms);
    }
  if (now < l->end_ms && l->rate <= 0)
    send_next (c);
}

static void
on_written (uv_write_t *w, int status)
{
  (void)w;
  (void)status;
}

static void
send_next (struct connection *c)
{
  struct load *l = c->load;
  c->busy = true;
  if (l->rate <= 0)
    c->scheduled_ms = now_ms ();
  uv_buf_t buf = uv_buf_init (l->request, (unsigned)l->request_length);
  uv_write (&c->write, (uv_stream_t *)&c->tcp, &buf, 1, on_written);
}

static void
on_connected (uv_connect_t *connect, int status)
{
  struct connection *c = connect->data;
  if (status != 0)
    {
      fprintf (stderr, "rr-hop: %s\n", uv_strerror (status));
      exit (EXIT_FAILURE);
    }
  c->ready = true;
  uv_tcp_nodelay (&c->tcp, 1);
  uv_read_start ((uv_stream_t *)&c->tcp, on_buffer, on_read);
  if (c->load->rate <= 0)
    send_next (c);
}

static void
on_tick (uv_timer_t *timer)
{
  struct load *l = timer->data;
  if (now_ms () >= l->end_ms + 500)
    uv_stop (&l->loop);
}

/* Sends the requests that are due.  A request whose time has come while every
   connection is busy keeps its scheduled time.  Runs in each turn of a loop
   that never sleeps, since timers of 1 ms would add to each latency.  */
static void
on_idle (uv_idle_t *idle)
{
  struct load *l = idle->data;
  double now = now_ms ();
  int i = 0;
  while (l->next_ms <= now && l->next_ms < l->end_ms)
    {
      while (i < l->count
             && (l->connections[i].busy || !l->connections[i].ready))
        i++;
      if (i == l->count)
        return;
      l->connections[i].scheduled_ms = l->next_ms;
      send_next (&l->connections[i]);
      l->next_ms += gsl_ran_exponential (l->rng, 1000 / l->rate);
    }
}

static int
run_load (struct load *l, const char *target, double seconds)
{
  char address[64];
  const char *colon = strrchr (target, ':');
  if (colon == NULL || (size_t)(colon - target) >= sizeof address)
    return EXIT_FAILURE;
  memcpy (address, target, (size_t)(colon - target));
  address[colon - target] = '\0';
  if (uv_ip4_addr (address, atoi (colon + 1), &l->target) != 0)
    return EXIT_FAILURE;
  char body[BODY_BYTES + 1];
  memset (body, 'x', BODY_BYTES);
  body[BODY_BYTES] = '\0';
  l->request_length = (size_t)snprintf (
      l->request, sizeof l->request,
      "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: hop\r\n"
      "Request-Timeout-Ms: 5000\r\nContent-Length: %d\r\n\r\n%s",
      l->path, target, BODY_BYTES, body);
  uv_loop_init (&l->loop);
  l->latency = rr_histogram_new ();
  l->connections = calloc ((size_t)l->count, sizeof *l->connections);
  assert (l->connections != NULL);
  l->start_ms = now_ms ();
  l->warm_ms = l->start_ms + seconds * 200;
  l->end_ms = l->start_ms + seconds * 1000;
  l->next_ms = l->start_ms;
  for (int i = 0; i < l->count; i++)
    {
      struct connection *c = &l->connections[i];
      c->load = l;
      c->tcp.data = c;
      c->connect.data = c;
      uv_tcp_init (&l->loop, &c->tcp);
      uv_tcp_connect (&c->connect, &c->tcp, (struct sockaddr *)&l->target,
                      on_connected);
    }
  uv_timer_init (&l->loop, &l->timer);
  l->timer.data = l;
  uv_timer_start (&l->timer, on_tick, TICK_MS, TICK_MS);
  uv_idle_init (&l->loop, &l->idle);
  l->idle.data = l;
  if (l->rate > 0)
    uv_idle_start (&l->idle, on_idle);
  uv_run (&l->loop, UV_RUN_DEFAULT);
  double span_s = (l->end_ms - l->warm_ms) / 1000;
  printf ("per_s=%.0f p50_ms=%.3f p99_ms=%.3f p99.9_ms=%.3f failed=%llu\n",
          (double)l->answered / span_s,
          rr_histogram_quantile (l->latency, 0.5),
          rr_histogram_quantile (l->latency, 0.99),
          rr_histogram_quantile (l->latency, 0.999),
          (unsigned long long)l->failed);
  return l->answered > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

static void
on_exchange (void *data, struct http_exchange *x)
{
  (void)data;
  http_exchange_respond_json (x, 200, "{\"ok\":true}");
}

static int
serve (int port)
{
  struct rr_error err = { 0 };
  struct http_server_limits limits
      = { .body_max_bytes = 65536, .request_timeout_ms = 60000 };
  if (http_server_open (uv_default_loop (), "127.0.0.1", (uint16_t)port,
                        &limits, on_exchange, NULL, &err)
      == NULL)
    {
      fprintf (stderr, "rr-hop: %s\n", err.message);
      return EXIT_FAILURE;
    }
  uv_run (uv_default_loop (), UV_RUN_DEFAULT);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  struct arg_int *port
      = arg_int0 (NULL, "serve", "PORT", "run the bare handler on this port");
  struct arg_str *target
      = arg_str0 (NULL, "target", "IP:PORT", "where to send the load");
  struct arg_str *path = arg_str0 (NULL, "path", "PATH", "request path");
  struct arg_int *connections
      = arg_int0 (NULL, "connections", "N", "connections (32)");
  struct arg_dbl *rate = arg_dbl0 (
      NULL, "rate", "N", "requests per second; as many as possible if absent");
  struct arg_dbl *seconds
      = arg_dbl0 (NULL, "seconds", "N", "length of the run (5)");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "schedule seed (1)");
  struct arg_end *end = arg_end (4);
  void *table[]
      = { port, target, path, connections, rate, seconds, seed, end };
  static struct load l;
  connections->ival[0] = 32;
  rate->dval[0] = 0;
  seconds->dval[0] = 5;
  seed->ival[0] = 1;
  path->sval[0] = "/v1/services/check";
  if (arg_parse (argc, argv, table) > 0
      || (port->count == 0 && target->count == 0) || connections->ival[0] < 1
      || connections->ival[0] > CONNECTIONS_MAX)
    {
      arg_print_errors (stderr, end, "rr-hop");
      arg_print_glossary (stderr, table, "  %-24s %s\n");
      return 2;
    }
  if (port->count > 0)
    return serve (port->ival[0]);
  l.count = connections->ival[0];
  l.rate = rate->dval[0];
  l.path = path->sval[0];
  l.rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (l.rng, (unsigned long)seed->ival[0]);
  return run_load (&l, target->sval[0], seconds->dval[0]);
}
