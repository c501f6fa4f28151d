#include "rosemaryentryd/entry.h"

#include <time.h>

#include "rosemaryentryd/store_cache.h"

/* Returns the time since boot.  Unlike the monotonic clock, it includes the
   time during which a VM is suspended; workers' leases go on expiring then. */
struct rr_time
entry_now (void)
{
  struct timespec t;
  clock_gettime (CLOCK_BOOTTIME, &t);
  return rr_time_from_ms ((int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000);
}

/* Returns the wall-clock time in milliseconds since 1970.  */
int64_t
entry_wall_ms (void)
{
  struct timespec t;
  clock_gettime (CLOCK_REALTIME, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

/* Returns when the last answered watch of the records of E was sent to the
   store.  */
struct rr_time
entry_store_last_response (const struct entry *e)
{
  return store_cache_answered_at (e->records_cache);
}

/* Returns after how many milliseconds, MIN_MS or more, a call to the store
   that has no answer is given up.  It is longer while the store is slow: a
   call that is given up too early is carried out all the same, and its
   successors are answered as late.  */
uint64_t
entry_store_timeout_ms (const struct entry *e, int64_t min_ms)
{
  return rr_answer_timeout_ms (&e->store_answers, min_ms,
                               STORE_TIMEOUT_MAX_MS);
}
