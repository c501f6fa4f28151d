#ifndef ROSEMARYRAIL_ANSWER_TIME_H
#define ROSEMARYRAIL_ANSWER_TIME_H

#include <stdint.h>

/* How long a server lately needed for its answers.  A call that is given up
   earlier gets no answer however often it is repeated.  Zero-initialized:
   nothing is known.  */
struct rr_answer_time
{
  int64_t seen_ms;
};

void rr_answer_time_add (struct rr_answer_time *t, int64_t ms);
uint64_t rr_answer_timeout_ms (const struct rr_answer_time *t, int64_t min_ms,
                               int64_t max_ms);

#endif
