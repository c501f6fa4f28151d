#ifndef ROSEMARYRAIL_RETRY_H
#define ROSEMARYRAIL_RETRY_H

#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stdint.h>

/* Token bucket: each first attempt adds RATIO tokens up to BURST, each retry
   or hedge takes one.  */
struct rr_retry_budget
{
  double ratio;
  double burst;
  double tokens;
};

/* Starts full, so that a quiet daemon can retry at all.  */
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

/* Returns the delay in ms before retry number RETRY (from 1), uniform between
   half and all of min (max_ms, base_ms * 2^(RETRY-1)); -1 when less than
   NEEDED_MS would be left of REMAINING_MS after it.  */
int64_t rr_backoff_delay (const struct rr_backoff *b, gsl_rng *rng,
                          unsigned retry, int64_t remaining_ms,
                          int64_t needed_ms);

enum rr_call_state
{
  RR_CALL_NOT_SENT, /* nothing left this process */
  RR_CALL_REFUSED,  /* the worker rejected it before starting */
  RR_CALL_UNKNOWN,  /* sent; may have run */
  RR_CALL_ANSWERED  /* complete response received */
};

/* Outcome shown to the caller.  */
enum rr_outcome
{
  RR_OUTCOME_ANSWERED,
  RR_OUTCOME_NOT_RUN,
  RR_OUTCOME_UNKNOWN
};

/* What is known about a request after its latest call.  */
struct rr_retry_input
{
  bool repeatable;
  enum rr_call_state state;       /* of the latest call */
  bool earlier_call_may_have_run; /* an earlier call of this request may have
                                     run */
  int64_t remaining_ms;           /* until the deadline */
  int64_t needed_ms; /* shortest time in which a call can succeed */
  bool budget;       /* a retry token is available */
};

struct rr_retry_decision
{
  bool should_retry;
  /* Outcome to report when it is not sent again.  */
  enum rr_outcome outcome;
};

/* Section 5.4: may this request be sent again, and if not, what is it?  */
struct rr_retry_decision rr_retry_decide (const struct rr_retry_input *in);
const char *rr_outcome_name (enum rr_outcome outcome);

#endif
