#include "rosemaryrail/estimate.h"
#include "suite.h"

static struct rr_policy policy;
static struct rr_estimate *e;
static struct rr_time now;
static const struct rr_size declared
    = { .cores_milli = 4000, .memory_mb = 8000, .slots = 1 };

static void
setup (void)
{
  rr_policy_init (&policy);
  e = rr_estimate_new (&policy);
  now = rr_time_from_ms (0);
}

static void
usage_add (double cores_milli, double memory_mb, double work_ms, int n)
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

/* A few samples must not lower a reservation: this needs enough finished
   tasks.  A larger usage must raise it at once.  */
START_TEST (sizes_are_raised_at_once_and_lowered_late)
{
  setup ();
  ck_assert (!get ().corrected);
  usage_add (1000, 2000, 30000, (int)policy.estimate_min_samples - 1);
  ck_assert_int_eq (get ().size.cores_milli, 4000);
  ck_assert_int_eq (get ().size.memory_mb, 8000);
  usage_add (1000, 2000, 30000, 1);
  ck_assert_int_ge (get ().size.cores_milli, 1000);
  ck_assert_int_le (get ().size.cores_milli, 1300);
  ck_assert_int_ge (get ().size.memory_mb, 2000);
  ck_assert_int_le (get ().size.memory_mb, 2600);
  ck_assert_double_eq_tol (get ().work_ms, 30000, 3000);
  usage_add (1000, 20000, 0, 1);
  ck_assert_int_ge (get ().size.memory_mb, 20000);
  rr_estimate_free (e);
}
END_TEST

/* Very small samples must not lower a reservation below the floor, and slots,
   for which no usage is recorded, must be reserved as declared.  */
START_TEST (reservation_has_a_floor)
{
  setup ();
  usage_add (1, 1, 1000, 50);
  ck_assert_int_eq (get ().size.cores_milli, 400);
  ck_assert_int_eq (get ().size.memory_mb, 800);
  ck_assert_int_eq (get ().size.slots, 1);
  rr_estimate_free (e);
}
END_TEST

/* A rare large task among many small ones must not be stopped because its
   memory was reserved by their usage.  */
START_TEST (memory_is_reserved_by_largest_usage)
{
  setup ();
  usage_add (1000, 1000, 1000, 98);
  usage_add (1000, 7000, 1000, 2);
  ck_assert_int_ge (get ().size.memory_mb, 7000);
  ck_assert_int_le (get ().size.cores_milli, 1300);
  rr_estimate_free (e);
}
END_TEST

/* The reservation of a task that uses more than estimated must grow while the
   worker has free capacity.  The task must leave the worker before it uses
   memory that is reserved for others.  */
START_TEST (overuse_grows_or_moves_the_task)
{
  setup ();
  struct rr_size reserved
      = { .cores_milli = 1000, .memory_mb = 2000, .slots = 1 };
  struct rr_size free_capacity = { .cores_milli = 500, .memory_mb = 1000 };
  struct rr_size size;
  ck_assert_int_eq (rr_estimate_overuse (e, &reserved, &declared, 900, 1700,
                                         &free_capacity, &size),
                    RR_OVERUSE_NONE);
  ck_assert_int_eq (size.memory_mb, 2000);
  ck_assert_int_eq (rr_estimate_overuse (e, &reserved, &declared, 900, 1900,
                                         &free_capacity, &size),
                    RR_OVERUSE_GROW);
  ck_assert_int_gt (size.memory_mb, 2000);
  ck_assert_int_le (size.memory_mb, 3000);
  ck_assert_int_eq (size.cores_milli, 1000);
  /* Cores never cause a move; they are raised at most to the free ones.  */
  ck_assert_int_eq (rr_estimate_overuse (e, &reserved, &declared, 3000, 100,
                                         &free_capacity, &size),
                    RR_OVERUSE_GROW);
  ck_assert_int_eq (size.cores_milli, 1500);
  free_capacity.memory_mb = 100;
  ck_assert_int_eq (rr_estimate_overuse (e, &reserved, &declared, 900, 1900,
                                         &free_capacity, &size),
                    RR_OVERUSE_MOVE);
  rr_estimate_free (e);
}
END_TEST

/* Old profiles must be dropped, and the others must be kept then.  */
START_TEST (old_profiles_expire)
{
  setup ();
  usage_add (1000, 2000, 30000, 10);
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

SUITE ("estimate", sizes_are_raised_at_once_and_lowered_late,
       reservation_has_a_floor, memory_is_reserved_by_largest_usage,
       overuse_grows_or_moves_the_task, old_profiles_expire)
