#include <check.h>
#include <stdlib.h>

#include "rosemaryrail/admission.h"

static struct rr_time
at (int64_t ms)
{
  return rr_time_from_ms (ms);
}

/* One service with WORKERS workers of a fixed limit of LIMIT each.  */
static struct rr_admission *
make (int workers, double limit, size_t queue)
{
  struct rr_admission_options o;
  rr_admission_options_default (&o);
  o.queue_limit = queue;
  o.initial_service_ms = 10;
  o.max_wait_ratio = 1;
  o.limiter.initial = o.limiter.min = o.limiter.max = limit;
  struct rr_admission *a = rr_admission_new (&o);
  for (int i = 0; i < workers; i++)
    rr_admission_add_worker (a);
  return a;
}

static void
expect (struct rr_admission *a, int64_t now, enum rr_admission_action action,
        uint64_t request)
{
  struct rr_admission_decision s = rr_admission_next (a, at (now));
  ck_assert_int_eq (s.action, action);
  if (action != RR_ADMISSION_NONE)
    ck_assert_uint_eq (s.request, request);
}

/* Guards against urgent requests behind others, and against reordering of
   equal deadlines.  */
START_TEST (earliest_deadline_goes_first)
{
  struct rr_admission *a = make (1, 1, 10);
  int t = rr_admission_team (a, "lab");
  ck_assert_int_eq (rr_admission_offer (a, at (0), 1, t, at (900)),
                    RR_ADMISSION_QUEUED);
  rr_admission_offer (a, at (0), 2, t, at (500));
  rr_admission_offer (a, at (0), 3, t, at (900));
  rr_admission_offer (a, at (0), 4, t, at (100));
  static const uint64_t expected[] = { 4, 2, 1, 3 };
  for (int64_t i = 0; i < 4; i++)
    {
      expect (a, i * 10, RR_ADMISSION_SEND, expected[i]);
      expect (a, i * 10, RR_ADMISSION_NONE, 0);
      rr_admission_call_ended (a, 0, t, RR_SAMPLE_ANSWERED, 10);
    }
  rr_admission_free (a);
}
END_TEST

/* Guards against one team that takes all places, and against its waiting
   requests holding up other teams.  */
START_TEST (team_limit_does_not_block_others)
{
  struct rr_admission *a = make (1, 10, 10);
  int lab = rr_admission_team (a, "lab");
  int press = rr_admission_team (a, "press");
  ck_assert_int_eq (rr_admission_team (a, "lab"), lab);
  rr_admission_set_team_limit (a, lab, 1);
  rr_admission_offer (a, at (0), 1, lab, at (100));
  rr_admission_offer (a, at (0), 2, lab, at (200));
  rr_admission_offer (a, at (0), 3, press, at (300));
  expect (a, 0, RR_ADMISSION_SEND, 1);
  expect (a, 0, RR_ADMISSION_SEND, 3);
  expect (a, 0, RR_ADMISSION_NONE, 0);
  rr_admission_call_ended (a, 0, lab, RR_SAMPLE_ANSWERED, 10);
  expect (a, 10, RR_ADMISSION_SEND, 2);
  rr_admission_free (a);
}
END_TEST

/* Guards against requests that are sent, or wait, though their deadline can't
   be met, and against rejecting for ever on a measure that only answers
   correct.  */
START_TEST (not_run_early)
{
  struct rr_admission *a = make (1, 1, 10);
  int t = rr_admission_team (a, "lab");
  /* The worker is idle: tried although 10 ms are expected.  */
  ck_assert_int_eq (rr_admission_offer (a, at (0), 1, t, at (5)),
                    RR_ADMISSION_QUEUED);
  expect (a, 0, RR_ADMISSION_SEND, 1);
  ck_assert_int_eq (rr_admission_offer (a, at (0), 2, t, at (5)),
                    RR_ADMISSION_NOT_RUN_DEADLINE);
  ck_assert_int_eq (rr_admission_offer (a, at (0), 2, t, at (0)),
                    RR_ADMISSION_NOT_RUN_DEADLINE);
  /* One place, one ahead in flight: 10 ms of wait and 10 ms of service.  */
  ck_assert_int_eq (rr_admission_offer (a, at (0), 2, t, at (19)),
                    RR_ADMISSION_NOT_RUN_DEADLINE);
  ck_assert_int_eq (rr_admission_offer (a, at (0), 2, t, at (20)),
                    RR_ADMISSION_QUEUED);
  ck_assert_int_eq (rr_admission_offer (a, at (0), 3, t, at (30)),
                    RR_ADMISSION_QUEUED);
  ck_assert_int_eq (rr_admission_offer (a, at (0), 4, t, at (39)),
                    RR_ADMISSION_NOT_RUN_DEADLINE);
  /* The first call takes longer than expected: the second is given up in
     time for its caller.  */
  expect (a, 10, RR_ADMISSION_NONE, 0);
  struct rr_admission_decision s = rr_admission_next (a, at (11));
  ck_assert_int_eq (s.action, RR_ADMISSION_NOT_RUN);
  ck_assert_uint_eq (s.request, 2);
  ck_assert_int_eq (s.reason, RR_ADMISSION_NOT_RUN_DEADLINE);
  rr_admission_call_ended (a, 0, t, RR_SAMPLE_ANSWERED, 10);
  expect (a, 20, RR_ADMISSION_SEND, 3);
  rr_admission_free (a);
}
END_TEST

/* Guards against a standing queue in which everyone waits until shortly before
   the deadline, so that each slow call is late.  */
START_TEST (expected_wait_is_bounded)
{
  struct rr_admission_options o;
  rr_admission_options_default (&o);
  o.initial_service_ms = 10;
  o.limiter.initial = o.limiter.min = o.limiter.max = 1;
  struct rr_admission *a = rr_admission_new (&o);
  rr_admission_add_worker (a);
  int t = rr_admission_team (a, "lab");
  rr_admission_offer (a, at (0), 1, t, at (100));
  expect (a, 0, RR_ADMISSION_SEND, 1);
  for (uint64_t i = 2; i < 5; i++)
    ck_assert_int_eq (rr_admission_offer (a, at (0), i, t, at (100)),
                      RR_ADMISSION_QUEUED);
  /* Would wait 40 ms of its 100.  */
  ck_assert_int_eq (rr_admission_offer (a, at (0), 5, t, at (100)),
                    RR_ADMISSION_NOT_RUN_DEADLINE);
  ck_assert_int_eq (rr_admission_offer (a, at (0), 5, t, at (200)),
                    RR_ADMISSION_QUEUED);
  rr_admission_free (a);
}
END_TEST

/* Guards against calls sent so late that about half of them time out: the
   spread of latencies counts, and not only their mean.  */
START_TEST (spread_counts_for_the_deadline)
{
  struct rr_admission *a = make (1, 1000, 10);
  int t = rr_admission_team (a, "lab");
  rr_admission_offer (a, at (0), 1, t, at (1000));
  rr_admission_offer (a, at (0), 2, t, at (1000));
  expect (a, 0, RR_ADMISSION_SEND, 1);
  for (int i = 0; i < 400; i++)
    {
      struct rr_admission_decision s = rr_admission_next (a, at (0));
      ck_assert_int_eq (s.action, RR_ADMISSION_SEND);
      rr_admission_call_ended (a, s.worker, t, RR_SAMPLE_ANSWERED,
                               i % 2 == 0 ? 5 : 15);
      rr_admission_offer (a, at (0), 2, t, at (1000));
    }
  ck_assert_double_eq_tol (rr_admission_service_ms (a), 10, 1);
  ck_assert_int_eq (rr_admission_offer (a, at (0), 3, t, at (13)),
                    RR_ADMISSION_NOT_RUN_DEADLINE);
  ck_assert_int_eq (rr_admission_offer (a, at (0), 3, t, at (25)),
                    RR_ADMISSION_QUEUED);
  rr_admission_free (a);
}
END_TEST

/* Guards against a full queue that turns urgent requests away, and against a
   dropped request whose caller never hears of it.  */
START_TEST (full_queue_drops_the_latest)
{
  struct rr_admission *a = make (1, 1, 2);
  int t = rr_admission_team (a, "lab");
  rr_admission_offer (a, at (0), 1, t, at (1000));
  rr_admission_offer (a, at (0), 2, t, at (2000));
  ck_assert_int_eq (rr_admission_offer (a, at (0), 3, t, at (3000)),
                    RR_ADMISSION_NOT_RUN_FULL);
  ck_assert_int_eq (rr_admission_offer (a, at (0), 4, t, at (500)),
                    RR_ADMISSION_QUEUED);
  ck_assert_uint_eq (rr_admission_waiting (a), 2);
  struct rr_admission_decision s = rr_admission_next (a, at (0));
  ck_assert_int_eq (s.action, RR_ADMISSION_NOT_RUN);
  ck_assert_int_eq (s.reason, RR_ADMISSION_NOT_RUN_FULL);
  ck_assert_uint_eq (s.request, 2);
  expect (a, 0, RR_ADMISSION_SEND, 4);
  /* Withdrawn requests are neither sent nor reported.  */
  rr_admission_offer (a, at (0), 5, t, at (4000));
  rr_admission_offer (a, at (0), 6, t, at (600));
  ck_assert (rr_admission_withdraw (a, 5));
  ck_assert (!rr_admission_withdraw (a, 5));
  ck_assert (rr_admission_withdraw (a, 6));
  expect (a, 0, RR_ADMISSION_NONE, 0);
  rr_admission_call_ended (a, 0, t, RR_SAMPLE_ANSWERED, 10);
  expect (a, 10, RR_ADMISSION_SEND, 1);
  rr_admission_free (a);
}
END_TEST

/* Guards against a request lost when the ledger refuses it, and against places
   that stay taken.  */
START_TEST (undo_keeps_the_request)
{
  struct rr_admission *a = make (2, 1, 10);
  int t = rr_admission_team (a, "lab");
  rr_admission_set_team_limit (a, t, 1);
  rr_admission_offer (a, at (0), 1, t, at (1000));
  rr_admission_offer (a, at (0), 2, t, at (1000));
  struct rr_admission_decision s = rr_admission_next (a, at (0));
  ck_assert_int_eq (s.action, RR_ADMISSION_SEND);
  ck_assert_uint_eq (s.request, 1);
  rr_admission_requeue (a, &s);
  struct rr_admission_decision again = rr_admission_next (a, at (0));
  ck_assert_int_eq (again.action, RR_ADMISSION_SEND);
  ck_assert_uint_eq (again.request, 1);
  ck_assert_int_ne (again.worker, s.worker);
  rr_admission_requeue (a, &again);
  expect (a, 0, RR_ADMISSION_NONE, 0);
  ck_assert_int_eq (rr_admission_limiter (a, s.worker)->in_flight, 0);
  rr_admission_block_worker (a, s.worker, false);
  expect (a, 0, RR_ADMISSION_SEND, 1);
  rr_admission_free (a);
}
END_TEST

/* Guards against sending to a removed worker, and against the late end of its
   request being counted for the worker that took its number.  */
START_TEST (removed_worker_gets_nothing)
{
  struct rr_admission *a = make (1, 1, 10);
  int t = rr_admission_team (a, "lab");
  rr_admission_offer (a, at (0), 1, t, at (1000));
  rr_admission_offer (a, at (0), 2, t, at (1000));
  expect (a, 0, RR_ADMISSION_SEND, 1);
  rr_admission_remove_worker (a, 0);
  ck_assert_int_eq (rr_admission_offer (a, at (0), 3, t, at (1000)),
                    RR_ADMISSION_NOT_RUN_NO_WORKER);
  expect (a, 0, RR_ADMISSION_NONE, 0);
  ck_assert_int_eq (rr_admission_add_worker (a), 1);
  rr_admission_call_ended (a, 0, t, RR_SAMPLE_ANSWERED, 10);
  struct rr_admission_decision s = rr_admission_next (a, at (0));
  ck_assert_int_eq (s.worker, 1);
  ck_assert_int_eq (rr_admission_add_worker (a), 0);
  rr_admission_free (a);
}
END_TEST

/* Runs N windows in which USED places are taken and given back at LATENCY. */
static void
windows (struct rr_limiter *l, int n, int used, double latency)
{
  for (int i = 0; i < n * (int)l->options.window;)
    {
      int taken = 0;
      while (taken < used && rr_limiter_acquire (l))
        taken++;
      ck_assert_int_gt (taken, 0);
      for (; taken > 0; taken--, i++)
        rr_limiter_release (l, RR_SAMPLE_ANSWERED, latency);
    }
}

/* Guards against a limit that stays low on a fast worker, grows though nobody
   uses it, or stays high when latency rises.  */
START_TEST (limit_follows_latency)
{
  struct rr_limiter_options o;
  rr_limiter_options_default (&o);
  struct rr_limiter l;
  rr_limiter_init (&l, &o);
  windows (&l, 10, 2, 5);
  ck_assert_double_eq (l.limit, o.initial);
  windows (&l, 40, 64, 5);
  ck_assert_double_ge (l.limit, 40);
  double before = l.limit;
  windows (&l, 10, 64, 20);
  ck_assert_double_le (l.limit, before / 4);
  ck_assert_double_ge (l.limit, o.min);
  ck_assert_int_eq (l.in_flight, 0);
}
END_TEST

/* Guards against a service that became slower for good being held at one
   place for ever: the baseline is measured again.  */
START_TEST (baseline_is_measured_again)
{
  struct rr_limiter_options o;
  rr_limiter_options_default (&o);
  struct rr_limiter l;
  rr_limiter_init (&l, &o);
  windows (&l, 60, 64, 5);
  windows (&l, 200, 64, 30);
  ck_assert_double_eq_tol (l.baseline_ms, 30, 0.001);
  ck_assert_double_ge (l.limit, 10);
}
END_TEST

/* Guards against one burst of timeouts closing the worker altogether.  */
START_TEST (overload_counts_once_for_each_burst)
{
  struct rr_limiter_options o;
  rr_limiter_options_default (&o);
  o.initial = 40;
  struct rr_limiter l;
  rr_limiter_init (&l, &o);
  while (rr_limiter_acquire (&l))
    continue;
  for (int i = 0; i < 40; i++)
    rr_limiter_release (&l, RR_SAMPLE_OVERLOAD, 0);
  ck_assert_double_eq_tol (l.limit, 28, 0.001);
  ck_assert (rr_limiter_acquire (&l));
  rr_limiter_release (&l, RR_SAMPLE_OVERLOAD, 0);
  ck_assert_double_eq_tol (l.limit, 19.6, 0.001);
  for (int i = 0; i < 1000; i++)
    {
      ck_assert (rr_limiter_acquire (&l));
      rr_limiter_release (&l, RR_SAMPLE_OVERLOAD, 0);
    }
  ck_assert_double_ge (l.limit, o.min);
  ck_assert (rr_limiter_acquire (&l));
}
END_TEST

/* Guards against closing an idle worker because requests that waited here
   timed out shortly after they were sent, and against a hanging worker that
   keeps its limit because it gives no answers to measure.  */
START_TEST (timeouts_count_as_latency)
{
  struct rr_limiter_options o;
  rr_limiter_options_default (&o);
  struct rr_limiter l;
  rr_limiter_init (&l, &o);
  windows (&l, 4, 64, 10);
  double before = l.limit;
  for (unsigned i = 0; i < 10 * o.window; i++)
    {
      ck_assert (rr_limiter_acquire (&l));
      rr_limiter_release (&l, RR_SAMPLE_TIMEOUT, 9);
    }
  ck_assert_double_eq (l.limit, before);
  ck_assert_double_eq_tol (l.baseline_ms, 10, 0.001);
  for (unsigned i = 0; i < 2 * o.window; i++)
    {
      ck_assert (rr_limiter_acquire (&l));
      rr_limiter_release (&l, RR_SAMPLE_TIMEOUT, 50);
    }
  ck_assert_double_le (l.limit, 0.7 * before);
}
END_TEST

/* Guards against a heavy tail that rejects requests, or closes the worker,
   though there is room: one answer in 50 takes 100 times as long.  */
START_TEST (outliers_do_not_reject)
{
  struct rr_admission_options o;
  rr_admission_options_default (&o);
  struct rr_admission *a = rr_admission_new (&o);
  rr_admission_add_worker (a);
  int t = rr_admission_team (a, "lab");
  rr_admission_offer (a, at (0), 1, t, at (50));
  rr_admission_next (a, at (0));
  for (int i = 0; i < 5000; i++)
    {
      ck_assert_int_eq (rr_admission_offer (a, at (0), 2, t, at (50)),
                        RR_ADMISSION_QUEUED);
      struct rr_admission_decision s = rr_admission_next (a, at (0));
      ck_assert_int_eq (s.action, RR_ADMISSION_SEND);
      rr_admission_call_ended (a, s.worker, t, RR_SAMPLE_ANSWERED,
                               i % 50 == 49 ? 500 : 5);
    }
  ck_assert_double_ge (rr_admission_limiter (a, 0)->limit, 4);
  ck_assert_double_le (rr_admission_service_ms (a), 8);
  rr_admission_free (a);
}
END_TEST

/* Guards against a second run of a non-repeatable request and against hedges
   that can't help or exceed their budget.  */
START_TEST (hedging_needs_a_reason)
{
  struct rr_hedge_options o;
  rr_hedge_options_default (&o);
  struct rr_histogram *h = rr_histogram_new ();
  struct rr_retry_budget b;
  rr_retry_budget_init (&b, 0.05, 1);
  ck_assert_int_eq (rr_hedge_decide (&o, h, &b, true, 100, 1000).verdict,
                    RR_HEDGE_UNMEASURED);
  for (int i = 0; i < 1000; i++)
    rr_histogram_add (h, 5);
  ck_assert_int_eq (rr_hedge_decide (&o, h, &b, true, 100, 1000).verdict,
                    RR_HEDGE_NO_TAIL);
  for (int i = 0; i < 100; i++)
    rr_histogram_add (h, 80);
  ck_assert_int_eq (rr_hedge_decide (&o, h, &b, false, 100, 1000).verdict,
                    RR_HEDGE_NOT_REPEATABLE);
  struct rr_hedge_decision d = rr_hedge_decide (&o, h, &b, true, 5, 1000);
  ck_assert_int_eq (d.verdict, RR_HEDGE_WAIT);
  ck_assert_double_eq_tol (d.delay_ms, 80, 8);
  ck_assert_int_eq (rr_hedge_decide (&o, h, &b, true, 100, 4).verdict,
                    RR_HEDGE_LATE);
  ck_assert_int_eq (rr_hedge_decide (&o, h, &b, true, 5, 60).verdict,
                    RR_HEDGE_LATE);
  ck_assert_int_eq (rr_hedge_decide (&o, h, &b, true, 100, 1000).verdict,
                    RR_HEDGE_SEND);
  ck_assert_int_eq (rr_hedge_decide (&o, h, &b, true, 100, 1000).verdict,
                    RR_HEDGE_BUDGET);
  rr_histogram_free (h);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("admission");
  TCase *t = tcase_create ("core");
  tcase_set_timeout (t, 60);
  tcase_add_test (t, earliest_deadline_goes_first);
  tcase_add_test (t, team_limit_does_not_block_others);
  tcase_add_test (t, not_run_early);
  tcase_add_test (t, expected_wait_is_bounded);
  tcase_add_test (t, spread_counts_for_the_deadline);
  tcase_add_test (t, full_queue_drops_the_latest);
  tcase_add_test (t, undo_keeps_the_request);
  tcase_add_test (t, removed_worker_gets_nothing);
  tcase_add_test (t, limit_follows_latency);
  tcase_add_test (t, baseline_is_measured_again);
  tcase_add_test (t, overload_counts_once_for_each_burst);
  tcase_add_test (t, timeouts_count_as_latency);
  tcase_add_test (t, outliers_do_not_reject);
  tcase_add_test (t, hedging_needs_a_reason);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
