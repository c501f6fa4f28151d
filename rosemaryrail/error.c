#include "rosemaryrail/error.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* Records a failure in ERR unless ERR is null or already holds one.  Always
   returns false, so that a caller can write "return rr_error_set (...)".  The
   message is truncated to the size of its buffer.  */
bool
rr_error_set (struct rr_error *err, enum rr_error_code code,
              const char *format, ...)
{
  if (err == NULL || err->code != RR_OK)
    return false;
  err->code = code;
  va_list args;
  va_start (args, format);
  vsnprintf (err->message, sizeof err->message, format, args);
  va_end (args);
  return false;
}

/* Clears ERR so that it holds no failure.  */
void
rr_error_clear (struct rr_error *err)
{
  memset (err, 0, sizeof *err);
}

/* Returns the name of CODE as sent to callers.  The names must not change.  */
const char *
rr_error_code_name (enum rr_error_code code)
{
  switch (code)
    {
    case RR_OK:
      return "ok";
    case RR_ERROR_INVALID:
      return "invalid";
    case RR_ERROR_NOT_FOUND:
      return "not-found";
    case RR_ERROR_CONFLICT:
      return "conflict";
    case RR_ERROR_LIMIT:
      return "limit";
    case RR_ERROR_UNAVAILABLE:
      return "unavailable";
    case RR_ERROR_TIMEOUT:
      return "timeout";
    case RR_ERROR_SYSTEM:
      return "system";
    }
  return "unknown";
}
