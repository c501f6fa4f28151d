#include "standins/tool.h"

#include <argtable2.h>
#include <assert.h>
#include <errno.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include <xxhash.h>

#include "common/log.h"

enum
{
  SERVER_REQUEST_TIMEOUT_MS = 120000,
  MAX_RUN_DEFAULT_S = 3600, /* no stand-in outlives a forgotten test run */
  FLAGS_MAX = 40,
  LIST_MAX = 256
};

static struct tool_flag shared_flags[] = {
  SWITCH_FLAG ("help", "print this help"),
  TEXT_FLAG ("address", "loopback address", "127.0.0.1"),
  INT_FLAG ("max-run-s", "end after N seconds", MAX_RUN_DEFAULT_S),
  TEXT_FLAG ("log-level", "error, warn, info or debug", "warn"),
};

static void *
flag_open (struct tool_flag *f)
{
  struct arg_int *number;
  struct arg_str *text;
  switch (f->kind)
    {
    case TOOL_SWITCH:
      return arg_lit0 (NULL, f->name, f->about);
    case TOOL_PORT:
      return arg_int1 (NULL, f->name, "PORT", f->about);
    case TOOL_LIST:
      return arg_strn (NULL, f->name, "TEXT", 0, LIST_MAX, f->about);
    case TOOL_INT:
      snprintf (f->help, sizeof f->help, "%s (%d)", f->about, f->number);
      number = arg_int0 (NULL, f->name, "N", f->help);
      number->ival[0] = f->number;
      return number;
    case TOOL_TEXT:
      snprintf (f->help, sizeof f->help, "%s (%s)", f->about,
                f->text == NULL ? "none" : f->text);
      text = arg_str0 (NULL, f->name, "TEXT", f->help);
      text->sval[0] = f->text;
      return text;
    }
  return NULL;
}

static void
flag_read (struct tool_flag *f, void *parsed)
{
  struct arg_int *number = parsed;
  struct arg_str *text = parsed;
  if (f->kind == TOOL_SWITCH)
    f->count = ((struct arg_lit *)parsed)->count;
  else if (f->kind == TOOL_INT || f->kind == TOOL_PORT)
    {
      f->count = number->count;
      f->number = number->ival[0];
    }
  else
    {
      f->count = text->count;
      f->text = text->sval[0];
      f->texts = text->sval;
    }
}

static void
on_signal (uv_signal_t *handle, int number)
{
  (void)number;
  uv_stop (handle->loop);
}

static void
on_run_timer (uv_timer_t *timer)
{
  uv_stop (timer->loop);
}

/* Arranges that SIGTERM, SIGINT and the run limit stop LOOP.  */
static void
loop_open (uv_loop_t *loop)
{
  static uv_signal_t signal_term;
  static uv_signal_t signal_int;
  static uv_timer_t run_timer;
  struct sigaction ignore = { .sa_handler = SIG_IGN };
  sigaction (SIGPIPE, &ignore, NULL);
  uv_loop_init (loop);
  uv_signal_init (loop, &signal_term);
  uv_signal_start (&signal_term, on_signal, SIGTERM);
  uv_signal_init (loop, &signal_int);
  uv_signal_start (&signal_int, on_signal, SIGINT);
  uv_timer_init (loop, &run_timer);
  uv_timer_start (&run_timer, on_run_timer,
                  (uint64_t)shared_flags[2].number * 1000, 0);
}

/* Parses ARGV into FLAGS and the shared flags and initializes LOOP (unless
   null).  Returns false with EXIT_CODE when the program ends right away: after
   --help or on a bad flag.  */
bool
tool_start (int argc, char **argv, const char *program, const char *about,
            struct tool_flag *flags, size_t n, uv_loop_t *loop, int *exit_code)
{
  size_t shared = sizeof shared_flags / sizeof shared_flags[0];
  static void *table[FLAGS_MAX];
  assert (n + shared < FLAGS_MAX);
  for (size_t i = 0; i < n; i++)
    table[i] = flag_open (&flags[i]);
  for (size_t i = 0; i < shared; i++)
    table[n + i] = flag_open (&shared_flags[i]);
  table[n + shared] = arg_end (8);
  int errors = arg_parse (argc, argv, table);
  for (size_t i = 0; i < n; i++)
    flag_read (&flags[i], table[i]);
  for (size_t i = 0; i < shared; i++)
    flag_read (&shared_flags[i], table[n + i]);
  *exit_code = 2;
  enum log_level level;
  if (shared_flags[0].count > 0)
    {
      printf ("Usage: %s", program);
      arg_print_syntax (stdout, table, "\n");
      printf ("%s\n", about);
      arg_print_glossary_gnu (stdout, table);
      *exit_code = EXIT_SUCCESS;
      return false;
    }
  if (errors > 0)
    arg_print_errors (stderr, table[n + shared], program);
  else if (!log_level_from_name (shared_flags[3].text, &level))
    fprintf (stderr, "%s: unknown log level \"%s\"\n", program,
             shared_flags[3].text);
  else if (strncmp (tool_address (), "127.", 4) != 0)
    fprintf (stderr, "%s: %s is not a loopback address\n", program,
             tool_address ());
  else
    {
      log_open_on (program, level, STDERR_FILENO);
      if (loop != NULL)
        loop_open (loop);
      return true;
    }
  return false;
}

/* Returns the loopback address given by --address.  */
const char *
tool_address (void)
{
  return shared_flags[1].text;
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

/* Returns the time of day in milliseconds since 1970.  */
int64_t
tool_wall_ms (void)
{
  struct timespec t;
  clock_gettime (CLOCK_REALTIME, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

/* Starts an HTTP server with the limits all stand-ins share.  */
struct http_server *
tool_listen (uv_loop_t *loop, int port, http_handler_fn *handler, void *data,
             struct rr_error *err)
{
  if (port < 1 || port > 65535)
    {
      rr_error_set (err, RR_ERROR_INVALID, "port %d is out of range", port);
      return NULL;
    }
  struct http_server_limits limits
      = { .body_max_bytes = TOOL_BODY_MAX,
          .request_timeout_ms = SERVER_REQUEST_TIMEOUT_MS };
  return http_server_open (loop, tool_address (), (uint16_t)port, &limits,
                           handler, data, err);
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

/* Opens the log PATH for appending.  Returns null with ERR on a failure, and
   null alone when PATH is null.  */
FILE *
tool_open_log (const char *path, struct rr_error *err)
{
  FILE *f = path == NULL ? NULL : fopen (path, "ae");
  if (path != NULL && f == NULL)
    rr_error_set (err, RR_ERROR_SYSTEM, "can't open %s: %s", path,
                  strerror (errno));
  return f;
}

static void
on_timer_closed (uv_handle_t *h)
{
  free (h->data);
}

/* Closes TIMER and then frees its data, which contains it.  */
void
tool_close_timer (uv_timer_t *timer)
{
  uv_timer_stop (timer);
  uv_close ((uv_handle_t *)timer, on_timer_closed);
}

/* Returns SIZE zeroed bytes.  */
void *
tool_alloc (size_t size)
{
  void *p = calloc (1, size);
  assert (p != NULL);
  return p;
}

/* Initializes TIMER and starts it to run CALLBACK with DATA once.  */
void
tool_timer (uv_loop_t *loop, uv_timer_t *timer, uv_timer_cb callback,
            void *data, int64_t ms)
{
  uv_timer_init (loop, timer);
  timer->data = data;
  uv_update_time (loop);
  uv_timer_start (timer, callback, ms < 0 ? 0 : (uint64_t)ms, 0);
}

/* Returns the member NAME of O, owned by O, or null.  */
struct json_object *
tool_member (struct json_object *o, const char *name)
{
  struct json_object *v = NULL;
  json_object_object_get_ex (o, name, &v);
  return v;
}

/* Returns the boolean member NAME of O, or FALLBACK.  */
bool
tool_bool_or (struct json_object *o, const char *name, bool fallback)
{
  struct json_object *v = tool_member (o, name);
  return v == NULL ? fallback : (bool)json_object_get_boolean (v);
}

static void
add_members (struct json_object *o, const char *format, va_list args)
{
  char name[64];
  char type;
  int n;
  for (; sscanf (format, " %63[^:]:%c%n", name, &type, &n) == 2; format += n)
    {
      struct json_object *v = NULL;
      const char *text;
      switch (type)
        {
        case 'i':
          v = json_object_new_int64 (va_arg (args, int64_t));
          break;
        case 'd':
          v = json_object_new_int (va_arg (args, int));
          break;
        case 'b':
          v = json_object_new_boolean (va_arg (args, int));
          break;
        case 's':
          text = va_arg (args, const char *);
          v = text == NULL ? NULL : json_object_new_string (text);
          break;
        case 'o':
          v = va_arg (args, struct json_object *);
          break;
        default:
          assert (false);
        }
      json_object_object_add (o, name, v);
    }
}

/* Adds members to O.  FORMAT is a list of NAME:TYPE apart by spaces; a type is
   i (int64_t), d (int), b (bool), s (text or null) or o (object, whose
   ownership passes to O).  */
void
tool_add (struct json_object *o, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  add_members (o, format, args);
  va_end (args);
}

/* Returns a new object with members as in tool_add.  */
struct json_object *
tool_object (const char *format, ...)
{
  struct json_object *o = json_object_new_object ();
  va_list args;
  va_start (args, format);
  add_members (o, format, args);
  va_end (args);
  return o;
}

/* Answers X with an error.  */
void
tool_respond_error (struct http_exchange *x, int status,
                    enum rr_error_code code, const char *format, ...)
{
  struct rr_error err = { .code = code };
  va_list args;
  va_start (args, format);
  vsnprintf (err.message, sizeof err.message, format, args);
  va_end (args);
  http_exchange_respond_error (x, status, &err);
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
  tool_respond (x, status, tool_object ("reason:s", reason));
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
