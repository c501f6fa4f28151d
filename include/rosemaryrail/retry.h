#ifndef ROSEMARYRAIL_RETRY_H
#define ROSEMARYRAIL_RETRY_H

#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stdint.h>

/* Token bucket that bounds retries: each first attempt adds RATIO tokens, up
   to BURST in total, and each retry or hedge takes one.  */
struct rr_retry_budget
{
  double ratio;
  double burst;
  double tokens;
};

/* The bucket starts full, so that a daemon with few requests can retry.  */
void rr_retry_budget_init (struct rr_retry_budget *b, double ratio,
                           double burst);
void rr_retry_budget_refill (struct rr_retry_budget *b);
bool rr_retry_budget_available (const struct rr_retry_budget *b);
bool rr_retry_budget_take (struct rr_retry_budget *b);

struct rr_backoff
{
  int64_t base_ms;
  int64_t max_ms;
};

/* Returns the delay in ms before retry number RETRY (from 1): a uniform random
   value between half and all of min (max_ms, base_ms * 2^(RETRY-1)).  Returns
   -1 when less than NEEDED_MS of REMAINING_MS would be left after it.  */
int64_t rr_backoff_delay (const struct rr_backoff *b, gsl_rng *rng,
                          unsigned retry, int64_t remaining_ms,
                          int64_t needed_ms);

enum rr_call_state
{
  RR_CALL_NOT_SENT, /* nothing was sent */
  RR_CALL_REFUSED,  /* the worker refused it without starting it */
  RR_CALL_UNKNOWN,  /* sent without a complete response; may have run */
  RR_CALL_ANSWERED  /* complete response received */
};

/* Outcome of a request as reported to the caller.  */
enum rr_outcome
{
  RR_OUTCOME_ANSWERED,
  RR_OUTCOME_NOT_RUN,
  RR_OUTCOME_UNKNOWN
};

/* State of a request after its latest call.  */
struct rr_retry_input
{
  bool repeatable;
  enum rr_call_state state; /* of the latest call */
  bool earlier_call_may_have_run;
  int64_t remaining_ms; /* until the deadline */
  int64_t needed_ms;    /* shortest time in which a call can succeed */
  bool budget;          /* a retry token is available */
};

struct rr_retry_decision
{
  bool should_retry;
  /* Outcome to report when the request is not sent again.  */
  enum rr_outcome outcome;
};

/* Decides whether a request is sent again, and with which outcome it ends if
   not (section 5.4 of the design).  */
struct rr_retry_decision rr_retry_decide (const struct rr_retry_input *in);
const char *rr_outcome_name (enum rr_outcome outcome);

#endif
