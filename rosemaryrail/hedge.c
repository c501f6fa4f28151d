#include "rosemaryrail/admission.h"

/* Fills O with defaults: the budget bounds hedges, so the quantile only has to
   be high enough that most requests are over by then.  */
void
rr_hedge_options_default (struct rr_hedge_options *o)
{
  o->quantile = 0.95;
  o->min_samples = 200;
  o->min_tail_ratio = 2;
}

/* Decides about a second call of a request that was first sent ELAPSED_MS ago
   and has REMAINING_MS until its deadline, from the latencies in H.  A second
   call pays only where the tail is long against the median: otherwise the
   first answer is due about as soon as the second one could be.  Takes a token
   of BUDGET for RR_HEDGE_SEND.  */
struct rr_hedge_decision
rr_hedge_decide (const struct rr_hedge_options *o,
                 const struct rr_histogram *h, struct rr_retry_budget *budget,
                 bool repeatable, double elapsed_ms, double remaining_ms)
{
  struct rr_hedge_decision d = { RR_HEDGE_NOT_REPEATABLE, 0 };
  if (!repeatable)
    return d;
  d.verdict = RR_HEDGE_UNMEASURED;
  if (rr_histogram_count (h) < o->min_samples)
    return d;
  double median = rr_histogram_quantile (h, 0.5);
  d.delay_ms = rr_histogram_quantile (h, o->quantile);
  double wait = d.delay_ms > elapsed_ms ? d.delay_ms - elapsed_ms : 0;
  if (d.delay_ms < o->min_tail_ratio * median)
    d.verdict = RR_HEDGE_NO_TAIL;
  else if (remaining_ms - wait < median)
    d.verdict = RR_HEDGE_LATE;
  else if (wait > 0)
    d.verdict = RR_HEDGE_WAIT;
  else
    d.verdict
        = rr_retry_budget_take (budget) ? RR_HEDGE_SEND : RR_HEDGE_BUDGET;
  return d;
}

/* Returns the lower-case name of VERDICT.  */
const char *
rr_hedge_name (enum rr_hedge verdict)
{
  switch (verdict)
    {
    case RR_HEDGE_SEND:
      return "send";
    case RR_HEDGE_WAIT:
      return "wait";
    case RR_HEDGE_NOT_REPEATABLE:
      return "not-repeatable";
    case RR_HEDGE_UNMEASURED:
      return "unmeasured";
    case RR_HEDGE_NO_TAIL:
      return "no-tail";
    case RR_HEDGE_LATE:
      return "late";
    case RR_HEDGE_BUDGET:
      return "budget";
    }
  return "unknown";
}
