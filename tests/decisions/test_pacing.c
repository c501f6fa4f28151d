#include "rosemaryrail/pacing.h"
#include "suite.h"

/* Guards against a storm of restarts after the loss of a zone: 3,000 wanted
   at once must stay within rate * time + burst in every second, start low,
   and all be done in the time the rate allows.  */
START_TEST (restart_wave_is_paced)
{
  struct rr_policy policy;
  rr_policy_init (&policy);
  struct rr_pacer pacer;
  struct rr_time now = rr_time_from_ms (5000);
  rr_pacer_init_restarts (&pacer, &policy, now);
  rr_pacer_wave_begin (&pacer, now);
  int64_t left = 3000;
  int64_t steps = 0;
  while (left > 0)
    {
      int64_t second = 0;
      for (int i = 0; i < 10; i++)
        {
          second += rr_pacer_take (&pacer, left - second, now);
          now = rr_time_add (now, 100);
        }
      ck_assert_int_le (second, (int64_t)(policy.pacing_restarts_per_s
                                          + policy.pacing_restart_burst));
      if (steps == 0)
        ck_assert_int_le (second,
                          (int64_t)(0.5
                                    * (policy.pacing_restarts_per_s
                                       + policy.pacing_restart_burst)));
      left -= second;
      ck_assert_int_lt (++steps, 100);
    }
  ck_assert_int_le (steps, 3000 / 40 + 10);
}
END_TEST

/* Guards against losses in quick succession that hold the rate down for
   ever.  */
START_TEST (repeated_waves_do_not_stall)
{
  struct rr_pacer pacer;
  struct rr_time now = rr_time_from_ms (0);
  rr_pacer_init (&pacer, 40, 20, 0.25, 10000, now);
  int64_t done = 0;
  for (int i = 0; i < 600; i++)
    {
      rr_pacer_wave_begin (&pacer, now);
      done += rr_pacer_take (&pacer, 1000, now);
      now = rr_time_add (now, 100);
    }
  ck_assert_int_ge (done, 60 * 40 / 2);
}
END_TEST

/* Guards against a caller that wakes too early or never.  */
START_TEST (wait_is_exact)
{
  struct rr_pacer pacer;
  struct rr_time now = rr_time_from_ms (0);
  rr_pacer_init (&pacer, 10, 1, 1, 0, now);
  ck_assert_int_eq (rr_pacer_wait_ms (&pacer, now), 0);
  ck_assert_int_eq (rr_pacer_take (&pacer, 5, now), 1);
  ck_assert_int_eq (rr_pacer_wait_ms (&pacer, now), 100);
  now = rr_time_add (now, 99);
  ck_assert_int_eq (rr_pacer_take (&pacer, 5, now), 0);
  now = rr_time_add (now, 1);
  ck_assert_int_eq (rr_pacer_take (&pacer, 5, now), 1);
  /* A clock that goes back earns nothing.  */
  ck_assert_int_eq (rr_pacer_take (&pacer, 5, rr_time_from_ms (-50000)), 0);
}
END_TEST

/* Guards against parties that all act at the same moment.  */
START_TEST (spread_covers_the_interval)
{
  gsl_rng *rng = rng_with_seed (1);
  int in_quarter[4] = { 0 };
  for (int i = 0; i < 400; i++)
    {
      int64_t ms = rr_pacer_random_delay_ms (500, 100, rng);
      ck_assert_int_ge (ms, 0);
      ck_assert_int_lt (ms, 5000);
      in_quarter[ms / 1250]++;
    }
  for (int i = 0; i < 4; i++)
    ck_assert_int_ge (in_quarter[i], 50);
  gsl_rng_free (rng);
}
END_TEST

SUITE ("pacing", restart_wave_is_paced, repeated_waves_do_not_stall,
       wait_is_exact, spread_covers_the_interval)
