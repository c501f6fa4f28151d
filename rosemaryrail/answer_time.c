#include "rosemaryrail/answer_time.h"

enum
{
  /* Answers may take this many times as long as those before.  */
  TIMEOUT_FACTOR = 2,
  /* A quicker answer lowers what is expected by this share of the
     difference.  */
  FALL_PERCENT = 25
};

/* Records that an answer came after MS milliseconds.  */
void
rr_answer_time_add (struct rr_answer_time *t, int64_t ms)
{
  if (ms > t->seen_ms)
    t->seen_ms = ms;
  else
    t->seen_ms -= (t->seen_ms - ms) * FALL_PERCENT / 100;
}

/* Returns the time in milliseconds, MIN_MS to MAX_MS, after which a call that
   has no answer is given up.  */
uint64_t
rr_answer_timeout_ms (const struct rr_answer_time *t, int64_t min_ms,
                      int64_t max_ms)
{
  int64_t ms = t->seen_ms * TIMEOUT_FACTOR;
  if (ms > max_ms)
    ms = max_ms;
  return (uint64_t)(ms < min_ms ? min_ms : ms);
}
