#include "rosemaryrail/error.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* Records a failure in ERR unless one is already recorded there, and returns
   false so that a caller can write "return rr_error_set (...)".  ERR may be
   null.  The message is cut to the size of the struct.  */
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

/* Resets ERR to "no failure".  */
void
rr_error_clear (struct rr_error *err)
{
  memset (err, 0, sizeof *err);
}

/* Returns the stable lower-case name of CODE, as shown to callers.  */
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
