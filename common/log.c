#include "common/log.h"

#include <errno.h>
#include <log4c.h>
#include <poll.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum
{
  BUFFER_BYTES = 1 << 16,
  /* PIPE_BUF on Linux: a pipe that polls as writable accepts this much without
     blocking.  */
  WRITE_BYTES = 4096,
  LINE_BYTES = 2200,
  /* Maximum lines per event and second; further lines are dropped and counted.
     At present deployment sizes the most frequent event of a daemon occurs 300
     times a second.  */
  EVENT_LINES_PER_S = 600,
  EVENTS_MAX = 128
};

/* Rate limit of one event: the lines written and dropped in SECOND.  */
struct event_budget
{
  const char *event;
  int64_t second;
  unsigned lines;
  unsigned dropped;
};

static const struct
{
  const char *name;
  int priority;
} levels[] = {
  [LOG_LEVEL_ERROR] = { "error", LOG4C_PRIORITY_ERROR },
  [LOG_LEVEL_WARN] = { "warn", LOG4C_PRIORITY_WARN },
  [LOG_LEVEL_INFO] = { "info", LOG4C_PRIORITY_INFO },
  [LOG_LEVEL_DEBUG] = { "debug", LOG4C_PRIORITY_DEBUG },
};

static log4c_category_t *category;

/* Sets LEVEL to the level called NAME.  Returns false if there is none.  */
bool
log_level_from_name (const char *name, enum log_level *level)
{
  for (size_t i = 0; i < sizeof levels / sizeof levels[0]; i++)
    if (strcmp (levels[i].name, name) == 0)
      {
        *level = (enum log_level)i;
        return true;
      }
  return false;
}

static const char *
format_line (const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
  (void)layout;
  static char line[LINE_BYTES];
  struct timespec now;
  struct tm utc;
  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &utc);
  char stamp[32];
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &utc);
  snprintf (line, sizeof line, "time=%s.%03ldZ level=%s program=%s %s\n",
            stamp, now.tv_nsec / 1000000,
            log4c_priority_to_string (event->evt_priority),
            event->evt_category, event->evt_msg);
  return line;
}

static const log4c_layout_type_t layout_type
    = { .name = "rosemaryrail", .format = format_line };

static char buffer[BUFFER_BYTES];
static size_t buffered;
static unsigned lines_dropped; /* dropped because the buffer was full */
static int log_fd = STDOUT_FILENO;
static bool deferred;
static struct event_budget budgets[EVENTS_MAX];

/* Writes buffered lines as far as possible without blocking.  */
void
log_flush (void)
{
  size_t done = 0;
  while (done < buffered)
    {
      struct pollfd p = { .fd = log_fd, .events = POLLOUT };
      if (poll (&p, 1, 0) <= 0 || (p.revents & POLLOUT) == 0)
        break;
      size_t n = buffered - done;
      ssize_t rc
          = write (log_fd, buffer + done, n < WRITE_BYTES ? n : WRITE_BYTES);
      if (rc < 0 && errno == EINTR)
        continue;
      if (rc <= 0)
        break;
      done += (size_t)rc;
    }
  memmove (buffer, buffer + done, buffered - done);
  buffered -= done;
}

/* If DEFER is set, buffers lines until log_flush is called, so that an event
   loop can write once per iteration.  */
void
log_defer (bool defer)
{
  deferred = defer;
}

static int
append_line (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  (void)appender;
  size_t n = strlen (event->evt_rendered_msg);
  if (buffered + n > sizeof buffer)
    log_flush ();
  if (buffered + n > sizeof buffer)
    {
      lines_dropped++;
      return -1;
    }
  memcpy (buffer + buffered, event->evt_rendered_msg, n);
  buffered += n;
  if (!deferred)
    log_flush ();
  return (int)n;
}

/* Used instead of the stream appenders of log4c, which prefix each line with
   the name of the appender.  */
static const log4c_appender_type_t appender_type
    = { .name = "rosemaryrail", .append = append_line };

/* Starts logging for PROGRAM to standard output, at LEVEL and more severe
   levels.  */
void
log_open (const char *program, enum log_level level)
{
  log_open_on (program, level, STDOUT_FILENO);
}

/* Starts logging for PROGRAM to FD, at LEVEL and more severe levels.  */
void
log_open_on (const char *program, enum log_level level, int fd)
{
  log_fd = fd;
  log4c_init ();
  log4c_layout_type_set (&layout_type);
  log4c_layout_t *layout = log4c_layout_get ("rosemaryrail");
  log4c_layout_set_type (layout, &layout_type);
  log4c_appender_type_set (&appender_type);
  log4c_appender_t *appender = log4c_appender_get ("rosemaryrail");
  log4c_appender_set_type (appender, &appender_type);
  log4c_appender_set_layout (appender, layout);
  category = log4c_category_get (program);
  log4c_category_set_appender (category, appender);
  log4c_category_set_additivity (category, 0);
  log4c_category_set_priority (category, levels[level].priority);
}

/* Returns the budget of EVENT.  When the table is full, all further events
   share the last one.  */
static struct event_budget *
event_budget_find (const char *event)
{
  size_t i = 0;
  for (; i < EVENTS_MAX - 1 && budgets[i].event != NULL; i++)
    if (strcmp (budgets[i].event, event) == 0)
      return &budgets[i];
  if (budgets[i].event == NULL)
    budgets[i].event = strdup (event);
  return &budgets[i];
}

static void
write_line (enum log_level level, const char *event, const char *pairs)
{
  log4c_category_log (category, levels[level].priority, "event=%s %s", event,
                      pairs);
}

/* Counts one line of EVENT.  Returns false if the event has reached its limit
   for the current second.  The number of dropped lines is logged before the
   next line of the event in a later second.  */
static bool
event_budget_consume (const char *event)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  struct event_budget *b = event_budget_find (event);
  if (b->second != now.tv_sec)
    {
      char pairs[96];
      snprintf (pairs, sizeof pairs, "of=%.40s lines=%u", event, b->dropped);
      if (b->dropped > 0)
        write_line (LOG_LEVEL_WARN, "log_lines_left_out", pairs);
      b->second = now.tv_sec;
      b->lines = 0;
      b->dropped = 0;
    }
  if (b->lines >= EVENT_LINES_PER_S)
    {
      b->dropped++;
      return false;
    }
  b->lines++;
  return true;
}

/* Writes one line with EVENT and the key=value pairs given by FORMAT.  Never
   blocks on a slow reader: lines that do not fit into the buffer are dropped
   and counted.  Does nothing before log_open.  */
void
log_event (enum log_level level, const char *event, const char *format, ...)
{
  if (category == NULL
      || !log4c_category_is_priority_enabled (category, levels[level].priority)
      || !event_budget_consume (event))
    return;
  char pairs[1500];
  if (lines_dropped > 0 && buffered + LINE_BYTES + LINE_BYTES < sizeof buffer)
    {
      snprintf (pairs, sizeof pairs, "of=all lines=%u", lines_dropped);
      lines_dropped = 0;
      write_line (LOG_LEVEL_WARN, "log_lines_left_out", pairs);
    }
  va_list args;
  va_start (args, format);
  vsnprintf (pairs, sizeof pairs, format, args);
  va_end (args);
  write_line (level, event, pairs);
}
