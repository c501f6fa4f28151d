#include "rosemaryentryd/inheritance.h"

#include "rosemaryrail/dispatch.h"

enum
{
  /* Workers' clocks may run 2% slow.  */
  CLOCK_SLOW_PERCENT = 102,
  /* For commands in flight, and for the end of a task whose lease expires.  */
  INHERIT_MARGIN_MS = 700
};

/* Returns how long an owner continues after it has last confirmed its
   ownership.  No lease of a task ends later.  Workers give leases of at most
   LEASE_MAX_MS.  */
int64_t
inheritance_ownership_ms (int64_t lease_max_ms)
{
  return lease_max_ms < OWNERSHIP_GRACE_MS ? lease_max_ms : OWNERSHIP_GRACE_MS;
}

/* Returns when the leases that former owners gave have certainly expired, if
   this daemon saw its own claim at CLAIM_SEEN: by then the keys of all former
   owners were gone.  An owner whose lease in the store expired had confirmed
   its ownership for the last time at least SESSION_TTL_MS earlier; one that
   gave up its lease had stopped to renew those of its tasks.  */
struct rr_time
inheritance_leases_until (struct rr_time claim_seen, int64_t lease_max_ms)
{
  int64_t expired
      = inheritance_ownership_ms (lease_max_ms) * CLOCK_SLOW_PERCENT / 100
        - SESSION_TTL_MS;
  int64_t released = ((int64_t)TASK_LEASE_MS + RR_LEASE_EXCESS_MAX_MS)
                     * CLOCK_SLOW_PERCENT / 100;
  return rr_time_add (claim_seen, (expired > released ? expired : released)
                                      + INHERIT_MARGIN_MS);
}

/* Returns the same for leases that commands of former owners gave to a worker
   which had restarted meanwhile: these may be as long as workers give.  */
struct rr_time
inheritance_longest_until (struct rr_time claim_seen, int64_t lease_max_ms)
{
  return rr_time_add (claim_seen, lease_max_ms * CLOCK_SLOW_PERCENT / 100
                                      + INHERIT_MARGIN_MS);
}
