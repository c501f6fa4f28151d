#ifndef ROSEMARYENTRYD_INHERITANCE_H
#define ROSEMARYENTRYD_INHERITANCE_H

#include "rosemaryrail/clock.h"

/* How long tasks of a former owner may run on workers that have not responded
   to the new one.  */

enum
{
  /* Leases of the tasks on workers.  They outlast the detection of a dead
     owner and the takeover, and are otherwise as short as possible, since the
     tasks of an unresponsive worker can't restart before they expire.  */
  TASK_LEASE_MS = 4500,
  /* An owner that can't confirm its ownership continues for this long, which
     outlasts most outages of the store.  */
  OWNERSHIP_GRACE_MS = 7000,
  /* A daemon's lease in the store expires this long after the last renewal:
     long enough to survive a few lost renewals, and short enough that the
     shards of a dead owner are taken over before the leases of its workers'
     tasks expire.  */
  SESSION_TTL_MS = 1500
};

int64_t inheritance_ownership_ms (int64_t lease_max_ms);
struct rr_time inheritance_leases_until (struct rr_time claim_seen,
                                         int64_t lease_max_ms);
struct rr_time inheritance_longest_until (struct rr_time claim_seen,
                                          int64_t lease_max_ms);

#endif
