#include "common/log.h"

#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

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

/* Looks up the level called NAME; false when there is none.  */
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
  static char line[2200];
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

static int
append_line (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  (void)appender;
  return fputs (event->evt_rendered_msg, stderr) < 0 ? -1 : 0;
}

/* log4c's own stream appenders put the appender's name before each line.  */
static const log4c_appender_type_t appender_type
    = { .name = "rosemaryrail", .append = append_line };

/* Sends log lines of PROGRAM at LEVEL and above to standard error.  */
void
log_open (const char *program, enum log_level level)
{
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

/* Writes one line for a change of state: EVENT and further key=value pairs
   given by FORMAT.  Does nothing before log_open.  */
void
log_event (enum log_level level, const char *event, const char *format, ...)
{
  if (category == NULL
      || !log4c_category_is_priority_enabled (category,
                                              levels[level].priority))
    return;
  char pairs[1500];
  va_list args;
  va_start (args, format);
  vsnprintf (pairs, sizeof pairs, format, args);
  va_end (args);
  log4c_category_log (category, levels[level].priority, "event=%s %s", event,
                      pairs);
}
