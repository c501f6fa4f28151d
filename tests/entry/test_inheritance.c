#include "../check_suite.h"

#include "rosemaryentryd/inheritance.h"
#include "rosemaryrail/dispatch.h"

static int64_t
wait_ms (int64_t lease_max_ms)
{
  struct rr_time since = rr_time_from_ms (5000);
  return rr_time_diff (inheritance_leases_until (since, lease_max_ms), since);
}

/* Guards against a task that starts again while a former owner, which is cut
   off from the store, may still keep it running, and against a wait that is
   longer than that: tasks of one lost worker hold up all others.  */
START_TEST (owner_that_was_cut_off)
{
  /* It confirmed at 0, its lease expires at 1.5 s, it renews until 7 s, and a
     worker with a slow clock runs on until 7.14 s.  */
  int64_t confirmed = 0;
  int64_t ownerless = confirmed + SESSION_TTL_MS;
  int64_t last = confirmed + 7140;
  ck_assert_int_gt (ownerless + wait_ms (10000), last);
  ck_assert_int_lt (ownerless + wait_ms (10000), last + 1000);
  ck_assert_int_gt (ownerless + wait_ms (6000), confirmed + 6120);
}
END_TEST

/* An owner that releases its shard may have given a lease just before.  */
START_TEST (owner_that_released)
{
  int64_t last = (TASK_LEASE_MS + RR_LEASE_EXCESS_MAX_MS) * 102 / 100;
  ck_assert_int_gt (wait_ms (10000), last);
  ck_assert_int_gt (wait_ms (6000), last);
  ck_assert_int_gt (wait_ms (1000), last);
}
END_TEST

/* Guards against two runs of a task: a command of the former owner reaches a
   worker that has restarted, and gives the longest lease there.  */
START_TEST (worker_that_restarted)
{
  struct rr_time since = rr_time_from_ms (5000);
  int64_t wait
      = rr_time_diff (inheritance_longest_until (since, 10000), since);
  ck_assert_int_gt (wait, 10200);
  ck_assert_int_lt (wait, 11200);
}
END_TEST

SUITE ("inheritance", owner_that_was_cut_off, owner_that_released,
       worker_that_restarted)
