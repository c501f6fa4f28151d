#include "rosemaryrail/clock.h"

/* Returns the time MS milliseconds after the origin of a clock.  */
struct rr_time
rr_time_from_ms (int64_t ms)
{
  return (struct rr_time){ .ms = ms };
}

/* Returns T plus MS milliseconds, which may be negative.  */
struct rr_time
rr_time_add (struct rr_time t, int64_t ms)
{
  return (struct rr_time){ .ms = t.ms + ms };
}

/* Returns the milliseconds from EARLIER to LATER, negative if LATER precedes
   EARLIER.  */
int64_t
rr_time_diff (struct rr_time later, struct rr_time earlier)
{
  return later.ms - earlier.ms;
}

/* Returns whether A is strictly before B.  */
bool
rr_time_before (struct rr_time a, struct rr_time b)
{
  return a.ms < b.ms;
}
