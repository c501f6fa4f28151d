#include "standins/tool.h"

#include <assert.h>
#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "common/log.h"

enum
{
  SERVER_REQUEST_TIMEOUT_MS = 120000,
  MAX_RUN_DEFAULT_S = 3600 /* no stand-in outlives a forgotten test run */
};

static uv_signal_t signal_term;
static uv_signal_t signal_int;
static uv_timer_t run_timer;
static tool_stop_fn *stop_handler;
static void *stop_data;

/* Parses ARGV into TABLE.  Returns false with EXIT_CODE when the program ends
   right away: after --help or a flag error.  */
bool
tool_parse (int argc, char **argv, void **table, struct arg_lit *help,
            struct arg_end *end, const char *program, const char *about,
            int *exit_code)
{
  int errors = arg_parse (argc, argv, table);
  if (help->count > 0)
    {
      printf ("Usage: %s", program);
      arg_print_syntax (stdout, table, "\n");
      printf ("%s\n", about);
      arg_print_glossary_gnu (stdout, table);
      *exit_code = EXIT_SUCCESS;
      return false;
    }
  if (errors > 0)
    {
      arg_print_errors (stderr, end, program);
      *exit_code = 2;
      return false;
    }
  return true;
}

/* Returns the shared flags with their defaults.  */
struct tool_flags
tool_flags_new (void)
{
  struct tool_flags f = {
    .help = arg_lit0 (NULL, "help", "print this help"),
    .address
    = arg_str0 (NULL, "address", "IP", "loopback address (127.0.0.1)"),
    .max_run_s
    = arg_int0 (NULL, "max-run-s", "S", "end after S seconds (3600)"),
    .log_level = arg_str0 (NULL, "log-level", "LEVEL", "log level (warn)"),
  };
  f.address->sval[0] = "127.0.0.1";
  f.max_run_s->ival[0] = MAX_RUN_DEFAULT_S;
  f.log_level->sval[0] = "warn";
  return f;
}

static void
stop_running (uv_loop_t *loop)
{
  if (stop_handler != NULL)
    stop_handler (stop_data);
  uv_stop (loop);
}

static void
on_signal (uv_signal_t *handle, int number)
{
  (void)number;
  stop_running (handle->loop);
}

static void
on_run_timer (uv_timer_t *timer)
{
  stop_running (timer->loop);
}

/* Opens the log, rejects addresses outside loopback, and arranges that
   SIGTERM, SIGINT and the run limit stop LOOP.  */
bool
tool_open (uv_loop_t *loop, const char *program,
           const struct tool_flags *flags, struct rr_error *err)
{
  enum log_level level;
  if (!log_level_from_name (flags->log_level->sval[0], &level))
    return rr_error_set (err, RR_ERROR_INVALID, "unknown log level \"%s\"",
                         flags->log_level->sval[0]);
  if (strncmp (flags->address->sval[0], "127.", 4) != 0)
    return rr_error_set (err, RR_ERROR_INVALID, "%s is not a loopback address",
                         flags->address->sval[0]);
  log_open (program, level);
  struct sigaction ignore = { .sa_handler = SIG_IGN };
  sigaction (SIGPIPE, &ignore, NULL);
  uv_signal_init (loop, &signal_term);
  uv_signal_start (&signal_term, on_signal, SIGTERM);
  uv_signal_init (loop, &signal_int);
  uv_signal_start (&signal_int, on_signal, SIGINT);
  uv_timer_init (loop, &run_timer);
  uv_timer_start (&run_timer, on_run_timer,
                  (uint64_t)flags->max_run_s->ival[0] * 1000, 0);
  return true;
}

/* Runs STOP with DATA before the loop stops.  */
void
tool_on_stop (tool_stop_fn *stop, void *data)
{
  stop_handler = stop;
  stop_data = data;
}

/* Prints ERR and returns the exit code for it.  */
int
tool_fail (const char *program, const struct rr_error *err)
{
  fprintf (stderr, "%s: %s\n", program, err->message);
  return err->code == RR_ERROR_INVALID ? 2 : EXIT_FAILURE;
}

/* Returns the machine's monotonic clock in microseconds; comparable between
   the processes of one test.  */
int64_t
tool_now_us (void)
{
  return (int64_t)(uv_hrtime () / 1000);
}

/* Starts an HTTP server with the limits all stand-ins share.  */
struct http_server *
tool_listen (uv_loop_t *loop, const char *address, int port,
             http_handler_fn *handler, void *data, struct rr_error *err)
{
  if (port < 1 || port > 65535)
    {
      rr_error_set (err, RR_ERROR_INVALID, "port %d is out of range", port);
      return NULL;
    }
  struct http_server_limits limits
      = { .body_max_bytes = TOOL_BODY_MAX,
          .request_timeout_ms = SERVER_REQUEST_TIMEOUT_MS };
  return http_server_open (loop, address, (uint16_t)port, &limits, handler,
                           data, err);
}

/* Returns the content of the file PATH, terminated and owned by the caller;
   null with ERR when it can't be read.  */
char *
tool_read_file (const char *path, size_t *length, struct rr_error *err)
{
  FILE *f = fopen (path, "re");
  if (f == NULL)
    {
      rr_error_set (err, RR_ERROR_SYSTEM, "can't read %s: %s", path,
                    strerror (errno));
      return NULL;
    }
  char *text = NULL;
  size_t used = 0;
  size_t n;
  do
    {
      char *grown = realloc (text, used + 65536 + 1);
      assert (grown != NULL);
      text = grown;
      n = fread (text + used, 1, 65536, f);
      used += n;
    }
  while (n > 0);
  fclose (f);
  text[used] = '\0';
  *length = used;
  return text;
}

/* Parses the body of X.  Otherwise answers X with 400 and returns null.  */
struct json_object *
tool_body_json (struct http_exchange *x)
{
  struct rr_error err = { 0 };
  size_t len;
  const char *body = http_exchange_body (x, &len);
  struct json_object *o = json_parse (body, len, &err);
  if (o != NULL && !json_object_is_type (o, json_type_object))
    {
      rr_error_set (&err, RR_ERROR_INVALID, "the body is not a JSON object");
      json_object_put (o);
      o = NULL;
    }
  if (o == NULL)
    http_exchange_respond_error (x, 400, &err);
  return o;
}

/* Answers X with O and drops O.  */
void
tool_respond (struct http_exchange *x, int status, struct json_object *o)
{
  http_exchange_respond_json (x, status, json_text (o));
  json_object_put (o);
}

/* Answers X with a refusal.  */
void
tool_respond_reason (struct http_exchange *x, int status, const char *reason)
{
  struct json_object *o = json_object_new_object ();
  json_add_string (o, "reason", reason);
  tool_respond (x, status, o);
}

/* Writes O as one line in a single write, so a killed process leaves whole
   lines only, and drops O.  */
void
tool_write_line (FILE *log, struct json_object *o)
{
  if (log != NULL)
    {
      fprintf (log, "%s\n", json_text (o));
      fflush (log);
    }
  json_object_put (o);
}

/* Fills OUT (TOOL_ANSWER_MAX bytes) with the response of a service to request
   ID with BODY, and returns its length.  The response is a function of both
   alone, which lets a checker recompute it:
   - D is XXH64 of BODY seeded with XXH64 of ID (seed 0), in 16 hex digits;
   - the length L is 64 + value(D) % 1000, plus 6000 when value(D) % 8 is 0, so
     that some responses exceed the 4 KB that daemons keep;
   - the text is {"id":ID,"length":L,"digest":D,"fill":"..."}, where the fill
     repeats D so that the whole text is L bytes long (longer when ID alone
     does not leave room for it).  */
size_t
tool_answer_body (const char *id, const char *body, size_t length, char *out)
{
  uint64_t d = XXH64 (body, length, XXH64 (id, strlen (id), 0));
  size_t want = 64 + d % 1000 + (d % 8 == 0 ? 6000 : 0);
  char digest[17];
  snprintf (digest, sizeof digest, "%016llx", (unsigned long long)d);
  int n = snprintf (
      out, TOOL_ANSWER_MAX / 2,
      "{\"id\":\"%.128s\",\"length\":%zu,\"digest\":\"%s\",\"fill\":\"", id,
      want, digest);
  size_t at = (size_t)n;
  for (size_t i = 0; at + 2 < want; i++)
    out[at++] = digest[i % 16];
  out[at++] = '"';
  out[at++] = '}';
  out[at] = '\0';
  return at;
}
