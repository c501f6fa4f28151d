#ifndef ROSEMARYRAIL_ERROR_H
#define ROSEMARYRAIL_ERROR_H

#include <stdbool.h>

/* Kind of failure; stable, since exit codes and HTTP statuses map from it.  */
enum rr_error_code
{
  RR_OK = 0,
  RR_ERROR_INVALID,     /* input that breaks a rule */
  RR_ERROR_NOT_FOUND,   /* no such object */
  RR_ERROR_CONFLICT,    /* lost a race or state does not allow it */
  RR_ERROR_LIMIT,       /* over a size, rate or capacity limit */
  RR_ERROR_UNAVAILABLE, /* a peer or the platform can't be reached */
  RR_ERROR_TIMEOUT,     /* no answer in time; the effect is unknown */
  RR_ERROR_SYSTEM       /* operating system or library failure */
};

/* Carries the first failure of a call chain; zero-initialized means none.  */
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
