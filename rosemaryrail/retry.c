#include "rosemaryrail/retry.h"

#include <math.h>

/* Prepares B: each first attempt adds RATIO tokens, BURST are kept at most.
   The bucket starts full, so that a quiet daemon can retry at all.  */
void
rr_retry_budget_init (struct rr_retry_budget *b, double ratio, double burst)
{
  b->ratio = ratio;
  b->burst = burst;
  b->tokens = burst;
}

/* Counts a first attempt.  */
void
rr_retry_budget_refill (struct rr_retry_budget *b)
{
  b->tokens = fmin (b->tokens + b->ratio, b->burst);
}

/* Tells whether rr_retry_budget_take would succeed.  */
bool
rr_retry_budget_available (const struct rr_retry_budget *b)
{
  return b->tokens >= 1;
}

/* Takes a token for a retry or a hedge; false when there is none.  */
bool
rr_retry_budget_take (struct rr_retry_budget *b)
{
  if (b->tokens < 1)
    return false;
  b->tokens -= 1;
  return true;
}

/* Returns the delay in ms before retry number RETRY (from 1): uniform between
   half and all of base_ms * 2^(RETRY-1), which max_ms bounds.  Keeping half of
   it fixed avoids immediate repeats, which a uniform delay from 0 allows.
   Returns -1 when less than NEEDED_MS would be left of REMAINING_MS.  */
int64_t
rr_backoff_delay (const struct rr_backoff *b, gsl_rng *rng, unsigned retry,
                  int64_t remaining_ms, int64_t needed_ms)
{
  int64_t full = b->base_ms;
  for (unsigned i = 1; i < retry && full < b->max_ms; i++)
    full *= 2;
  if (full > b->max_ms)
    full = b->max_ms;
  int64_t half = full / 2;
  int64_t delay
      = half + (int64_t)(gsl_rng_uniform (rng) * (double)(full - half + 1));
  return remaining_ms - delay < needed_ms ? -1 : delay;
}

/* Decides about a request after a call of it.  A call that was not sent or was
   refused can't have run, so that even a non-repeatable request may be sent
   after it.  Once any call may have run, only a repeatable request is sent
   again, and its outcome is never "not run".  */
struct rr_retry_decision
rr_retry_decide (const struct rr_retry_input *in)
{
  struct rr_retry_decision d = { false, RR_OUTCOME_UNKNOWN };
  if (in->state == RR_CALL_ANSWERED)
    {
      d.outcome = RR_OUTCOME_ANSWERED;
      return d;
    }
  bool may_have_run
      = in->earlier_call_may_have_run || in->state == RR_CALL_UNKNOWN;
  d.outcome = may_have_run ? RR_OUTCOME_UNKNOWN : RR_OUTCOME_NOT_RUN;
  d.should_retry = (in->repeatable || !may_have_run) && in->budget
                   && in->remaining_ms > 0
                   && in->remaining_ms >= in->needed_ms;
  return d;
}

/* Returns the name of OUTCOME as shown to callers.  */
const char *
rr_outcome_name (enum rr_outcome outcome)
{
  switch (outcome)
    {
    case RR_OUTCOME_ANSWERED:
      return "answered";
    case RR_OUTCOME_NOT_RUN:
      return "not-run";
    case RR_OUTCOME_UNKNOWN:
      return "unknown";
    }
  return "unknown";
}
