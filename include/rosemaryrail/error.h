#ifndef ROSEMARYRAIL_ERROR_H
#define ROSEMARYRAIL_ERROR_H

#include <stdbool.h>

/* Kind of failure.  Exit codes and HTTP statuses are derived from the codes,
   so their meanings must not change.  */
enum rr_error_code
{
  RR_OK = 0,
  RR_ERROR_INVALID,     /* invalid input */
  RR_ERROR_NOT_FOUND,   /* no such object */
  RR_ERROR_CONFLICT,    /* concurrent change, or not allowed in this state */
  RR_ERROR_LIMIT,       /* size, rate or capacity limit exceeded */
  RR_ERROR_UNAVAILABLE, /* a peer or the platform can't be reached */
  RR_ERROR_TIMEOUT,     /* no response in time; the effect is unknown */
  RR_ERROR_SYSTEM       /* operating system or library failure */
};

/* Holds the first failure of a chain of calls.  A zeroed struct means that
   there is none.  */
struct rr_error
{
  enum rr_error_code code;
  char message[240];
};

bool rr_error_set (struct rr_error *err, enum rr_error_code code,
                   const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
void rr_error_clear (struct rr_error *err);
const char *rr_error_code_name (enum rr_error_code code);

#endif
