#ifndef COMMON_LOG_H
#define COMMON_LOG_H

#include <stdbool.h>

enum log_level
{
  LOG_LEVEL_ERROR,
  LOG_LEVEL_WARN,
  LOG_LEVEL_INFO,
  LOG_LEVEL_DEBUG
};

bool log_level_from_name (const char *name, enum log_level *level);
void log_open (const char *program, enum log_level level);
void log_open_on (const char *program, enum log_level level, int fd);
void log_event (enum log_level level, const char *event, const char *format,
                ...) __attribute__ ((format (printf, 3, 4)));
void log_defer (bool defer);
void log_flush (void);

#endif
