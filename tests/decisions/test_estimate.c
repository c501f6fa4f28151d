#include "rosemaryrail/estimate.h"
#include "suite.h"

static struct rr_policy policy;
static struct rr_estimate *e;
static struct rr_time now;
static const struct rr_size declared
    = { .cores_milli = 4000, .memory_mb = 8000, .slots = 1 };

static void
begin (void)
{
  rr_policy_init (&policy);
  e = rr_estimate_new (&policy);
  now = rr_time_from_ms (0);
}

static void
learn (double cores_milli, double memory_mb, double work_ms, int n)
{
  struct rr_estimate_usage u = { .profile = 1,
                                 .cores_milli = cores_milli,
                                 .memory_mb = memory_mb,
                                 .work_ms = work_ms };
  for (int i = 0; i < n; i++)
    rr_estimate_usage_add (e, &u, now);
}

static struct rr_estimate_size
get (void)
{
  struct rr_estimate_size s;
  rr_estimate_get (e, 1, &declared, 60000, now, &s);
  return s;
}

/* Guards against trusting a few samples: a lower size needs enough finished
   tasks, a higher one applies at once.  */
START_TEST (sizes_are_raised_at_once_and_lowered_late)
{
  begin ();
  ck_assert (!get ().corrected);
  learn (1000, 2000, 30000, (int)policy.estimate_min_samples - 1);
  ck_assert_int_eq (get ().size.cores_milli, 4000);
  ck_assert_int_eq (get ().size.memory_mb, 8000);
  learn (1000, 2000, 30000, 1);
  ck_assert_int_ge (get ().size.cores_milli, 1000);
  ck_assert_int_le (get ().size.cores_milli, 1300);
  ck_assert_int_ge (get ().size.memory_mb, 2000);
  ck_assert_int_le (get ().size.memory_mb, 2600);
  ck_assert_double_eq_tol (get ().work_ms, 30000, 3000);
  learn (1000, 20000, 0, 1);
  ck_assert_int_ge (get ().size.memory_mb, 20000);
  rr_estimate_free (e);
}
END_TEST

/* Guards against a reservation near zero after very small samples, and
   against correcting what has no usage.  */
START_TEST (floor_holds)
{
  begin ();
  learn (1, 1, 1000, 50);
  ck_assert_int_eq (get ().size.cores_milli, 400);
  ck_assert_int_eq (get ().size.memory_mb, 800);
  ck_assert_int_eq (get ().size.slots, 1);
  rr_estimate_free (e);
}
END_TEST

/* Guards against one rare large task among many small ones being stopped for
   its memory.  */
START_TEST (memory_follows_the_largest)
{
  begin ();
  learn (1000, 1000, 1000, 98);
  learn (1000, 7000, 1000, 2);
  ck_assert_int_ge (get ().size.memory_mb, 7000);
  ck_assert_int_le (get ().size.cores_milli, 1300);
  rr_estimate_free (e);
}
END_TEST

/* Guards against a task that outgrows its estimate: it grows while the worker
   has room and goes before it takes what others were promised.  */
START_TEST (guard_acts_before_the_worker_is_full)
{
  begin ();
  struct rr_size reserved
      = { .cores_milli = 1000, .memory_mb = 2000, .slots = 1 };
  struct rr_size room = { .cores_milli = 500, .memory_mb = 1000 };
  struct rr_size size;
  ck_assert_int_eq (
      rr_estimate_overuse (e, &reserved, &declared, 900, 1700, &room, &size),
      RR_OVERUSE_NONE);
  ck_assert_int_eq (size.memory_mb, 2000);
  ck_assert_int_eq (
      rr_estimate_overuse (e, &reserved, &declared, 900, 1900, &room, &size),
      RR_OVERUSE_GROW);
  ck_assert_int_gt (size.memory_mb, 2000);
  ck_assert_int_le (size.memory_mb, 3000);
  ck_assert_int_eq (size.cores_milli, 1000);
  /* Cores never force a move, and the growth stops at the free ones.  */
  ck_assert_int_eq (
      rr_estimate_overuse (e, &reserved, &declared, 3000, 100, &room, &size),
      RR_OVERUSE_GROW);
  ck_assert_int_eq (size.cores_milli, 1500);
  room.memory_mb = 100;
  ck_assert_int_eq (
      rr_estimate_overuse (e, &reserved, &declared, 900, 1900, &room, &size),
      RR_OVERUSE_MOVE);
  rr_estimate_free (e);
}
END_TEST

/* Guards against profiles kept for ever and against losing others when one
   is dropped.  */
START_TEST (old_profiles_expire)
{
  begin ();
  learn (1000, 2000, 30000, 10);
  now.ms = 9 * policy.estimate_half_life_ms;
  struct rr_estimate_usage u = {
    .profile = 2, .cores_milli = 500, .memory_mb = 100, .work_ms = 1000
  };
  rr_estimate_usage_add (e, &u, now);
  now.ms = 11 * policy.estimate_half_life_ms;
  ck_assert_uint_eq (rr_estimate_expire (e, now), 1);
  ck_assert (!get ().corrected);
  struct rr_estimate_size s;
  rr_estimate_get (e, 2, &declared, 60000, now, &s);
  ck_assert_double_gt (s.samples, 0);
  rr_estimate_free (e);
}
END_TEST

SUITE ("estimate", sizes_are_raised_at_once_and_lowered_late, floor_holds,
       memory_follows_the_largest, guard_acts_before_the_worker_is_full,
       old_profiles_expire)
