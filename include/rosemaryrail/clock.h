#ifndef ROSEMARYRAIL_CLOCK_H
#define ROSEMARYRAIL_CLOCK_H

#include <stdbool.h>
#include <stdint.h>

/* A point in time, in milliseconds since the origin of the clock that it was
   read from: the monotonic clock of a process, the clock of a worker or the
   virtual clock of a test.  Do not compare times of different clocks.  */
struct rr_time
{
  int64_t ms;
};

struct rr_time rr_time_from_ms (int64_t ms);
struct rr_time rr_time_add (struct rr_time t, int64_t ms);
int64_t rr_time_diff (struct rr_time later, struct rr_time earlier);
bool rr_time_before (struct rr_time a, struct rr_time b);

#endif
