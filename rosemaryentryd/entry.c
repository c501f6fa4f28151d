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

enum
{
  /* For a page over an idle, fast link.  */
  PAGE_TIMEOUT_MIN_MS = 2000,
  /* The store's largest page, 1 MB of values in base64, in kilobits.  */
  PAGE_MAX_KBIT = 11200,
  /* Other calls and other pages share the link.  */
  PAGE_LINK_SHARE_DIVISOR = 2
};

/* Returns how long a page of a range may take over a link of LINK_KBIT a
   second.  With a shorter timeout a daemon behind a slow link would never
   finish its first read.  */
uint64_t
entry_page_timeout_ms (int64_t link_kbit)
{
  int64_t kbit = link_kbit > 0 ? link_kbit : 1;
  return PAGE_TIMEOUT_MIN_MS
         + (uint64_t)(PAGE_LINK_SHARE_DIVISOR * PAGE_MAX_KBIT * 1000LL / kbit);
}

/* Returns when the last answered watch of the records of E was sent to the
   store.  */
struct rr_time
entry_store_last_response (const struct entry *e)
{
  return store_cache_confirmed_at (e->records_cache);
}
