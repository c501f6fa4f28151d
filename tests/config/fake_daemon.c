#include <assert.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "common/http_server.h"
#include "common/json.h"

/* Answers each request with the file METHOD_PATH of a directory, "/" written
   as "_": a line with the status (0: no answer ever), then the body.  Each
   request is logged to standard output after the line with the port.  */

enum
{
  LIFETIME_MS = 120000, /* ends by itself when its test does not end it */
  ANSWER_MAX_BYTES = 65536,
};

static const char *directory;

static void
log_request (struct http_exchange *x)
{
  static const char *const names[] = { "dry_run", "wait_ms", "class", "team" };
  char value[64];
  printf ("%s %s", http_exchange_method (x), http_exchange_path (x));
  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    if (http_exchange_query (x, names[i], value, sizeof value))
      printf (" %s=%s", names[i], value);
  const char *match = http_exchange_header (x, "if-match");
  if (match != NULL)
    printf (" if-match=%s", match);
  size_t length;
  const char *body = http_exchange_body (x, &length);
  if (length > 0)
    printf (" body=%.*s", (int)length, body);
  putchar ('\n');
  fflush (stdout);
}

static void
answer (void *data, struct http_exchange *x)
{
  (void)data;
  static char text[ANSWER_MAX_BYTES];
  char name[256];
  char path[1024];
  log_request (x);
  snprintf (name, sizeof name, "%s%s", http_exchange_method (x),
            http_exchange_path (x));
  for (char *c = name; *c != '\0'; c++)
    if (*c == '/')
      *c = '_';
  snprintf (path, sizeof path, "%s/%s", directory, name);
  FILE *in = fopen (path, "re");
  if (in == NULL)
    {
      struct rr_error err = { 0 };
      rr_error_set (&err, RR_ERROR_NOT_FOUND, "no such path");
      http_exchange_respond_error (x, 404, &err);
      return;
    }
  size_t length = fread (text, 1, sizeof text - 1, in);
  fclose (in);
  text[length] = '\0';
  char *body = text;
  long status = strtol (text, &body, 10);
  if (status != 0)
    http_exchange_respond_json (x, (int)status, body);
}

static void
on_lifetime_end (uv_timer_t *timer)
{
  uv_stop (timer->loop);
}

int
main (int argc, char **argv)
{
  if (argc != 2)
    return EXIT_FAILURE;
  directory = argv[1];
  signal (SIGPIPE, SIG_IGN);
  struct rr_error err = { 0 };
  struct http_server_limits limits = { 1 << 20, LIFETIME_MS };
  struct http_server *s = http_server_open (uv_default_loop (), "127.0.0.1", 0,
                                            &limits, answer, NULL, &err);
  if (s == NULL)
    {
      fprintf (stderr, "fake-daemon: %s\n", err.message);
      return EXIT_FAILURE;
    }
  printf ("port %u\n", http_server_port (s));
  fflush (stdout);
  uv_timer_t timer;
  uv_timer_init (uv_default_loop (), &timer);
  uv_timer_start (&timer, on_lifetime_end, LIFETIME_MS, 0);
  uv_run (uv_default_loop (), UV_RUN_DEFAULT);
  return EXIT_SUCCESS;
}
