#include <math.h>
#include <string.h>

#include "rosemaryrail/interference.h"
#include "suite.h"

static struct rr_policy policy;
static struct rr_interference *model;
static int64_t clock_ms;

static void
setup (void)
{
  rr_policy_init (&policy);
  model = rr_interference_new (&policy);
  clock_ms = 0;
}

static struct rr_interference_estimate
estimate (int service, int batch)
{
  struct rr_interference_estimate e;
  rr_interference_estimate (model, service, batch, &e);
  return e;
}

/* Two classes often run in the same window and only the first slows the
   service down.  Its effect must not be attributed to both.  */
START_TEST (effects_of_mixed_windows_are_separated)
{
  setup ();
  model_add_reports (model, 1, 1, -1, 0, 10, 30, &clock_ms);
  for (int i = 0; i < 200; i++)
    {
      struct rr_interference_report r = { .worker = 1,
                                          .service = 1,
                                          .window_start = { clock_ms },
                                          .window_end = { clock_ms + 1000 },
                                          .requests = 100 };
      r.share[1] = 0.1 * (i % 5);
      r.share[2] = 0.1 * (i % 7);
      r.latency_ms = 10 * exp (2 * r.share[1]);
      clock_ms += 1000;
      rr_interference_report_add (model, &r, rr_time_from_ms (clock_ms));
    }
  rr_interference_refresh (model, rr_time_from_ms (clock_ms));
  ck_assert_double_eq_tol (estimate (1, 1).mean, 2, 0.2);
  ck_assert_double_eq_tol (estimate (1, 2).mean, 0, 0.2);
  ck_assert_double_eq_tol (rr_interference_base_ms (model, 1), 10, 1);
  rr_interference_free (model);
}
END_TEST

/* A few reports with low latency must not give a rare class a low upper bound:
   it must stay above that of a class with a known small effect.  */
START_TEST (rare_class_keeps_high_upper_bound)
{
  setup ();
  model_add_reports (model, 1, 1, -1, 0, 10, 50, &clock_ms);
  model_add_reports (model, 1, 1, 1, 0.5, 10 * exp (0.15), 200, &clock_ms);
  model_add_reports (model, 1, 1, 2, 0.1, 9, 2, &clock_ms);
  ck_assert (rr_interference_uncertain (model, 1, 2));
  ck_assert (!rr_interference_uncertain (model, 1, 1));
  ck_assert (rr_interference_upper_bound (model, 1, 2)
             > rr_interference_upper_bound (model, 1, 1));
  rr_interference_free (model);
}
END_TEST

/* The first report of a new worker is not typical: one with eight times the
   latency must not change the estimate.  */
START_TEST (first_report_of_worker_is_ignored)
{
  setup ();
  model_add_reports (model, 1, 1, -1, 0, 10, 50, &clock_ms);
  model_add_reports (model, 1, 1, 1, 0.5, 10, 20, &clock_ms);
  double before = estimate (1, 1).mean;
  model_add_reports (model, 2, 1, 1, 0.5, 80, 1, &clock_ms);
  ck_assert_double_eq_tol (estimate (1, 1).mean, before, 1e-6);
  /* The same report from a known worker counts, limited as an outlier.  */
  model_add_reports (model, 1, 1, 1, 0.5, 80, 1, &clock_ms);
  ck_assert (estimate (1, 1).mean > before);
  ck_assert (estimate (1, 1).mean < before + 0.2);
  rr_interference_free (model);
}
END_TEST

/* A report that is repeated or overlaps an earlier window must not be counted
   twice, and one without requests, latency or window must not be counted.  */
START_TEST (repeated_and_empty_reports_are_ignored)
{
  setup ();
  struct rr_interference_report r = { .worker = 1,
                                      .service = 1,
                                      .window_start = { 0 },
                                      .window_end = { 1000 },
                                      .requests = 10,
                                      .latency_ms = 5 };
  rr_interference_report_add (model, &r, rr_time_from_ms (1000));
  r.window_start.ms = 1000;
  r.window_end.ms = 2000;
  ck_assert (rr_interference_report_add (model, &r, rr_time_from_ms (2000)));
  ck_assert (!rr_interference_report_add (model, &r, rr_time_from_ms (2001)));
  r.window_start.ms = 1500;
  r.window_end.ms = 2500;
  ck_assert (!rr_interference_report_add (model, &r, rr_time_from_ms (2500)));
  r.window_start.ms = 2500;
  ck_assert (!rr_interference_report_add (model, &r, rr_time_from_ms (2500)));
  r.window_end.ms = 3500;
  r.requests = 0;
  ck_assert (!rr_interference_report_add (model, &r, rr_time_from_ms (3500)));
  r.requests = 5;
  r.latency_ms = NAN;
  ck_assert (!rr_interference_report_add (model, &r, rr_time_from_ms (3500)));
  rr_interference_free (model);
}
END_TEST

/* After the workloads changed, the old reports must not keep the estimates at
   their old values.  */
START_TEST (estimates_follow_changed_workload)
{
  setup ();
  model_add_reports (model, 1, 1, -1, 0, 10, 100, &clock_ms);
  model_add_reports (model, 1, 1, 1, 0.5, 10, 300, &clock_ms);
  ck_assert (estimate (1, 1).mean < 0.2);
  for (int i = 0; i < 60; i++)
    {
      model_add_reports (model, 1, 1, -1, 0, 10, 5, &clock_ms);
      model_add_reports (model, 1, 1, 1, 0.5, 20, 10, &clock_ms);
    }
  ck_assert (estimate (1, 1).mean > 0.9);
  /* Without reports the uncertainty grows again.  */
  double sd = estimate (1, 1).sd;
  clock_ms += 20 * policy.interference_half_life_ms;
  rr_interference_refresh (model, rr_time_from_ms (clock_ms));
  ck_assert (estimate (1, 1).sd > 2 * sd);
  rr_interference_free (model);
}
END_TEST

/* Statistics that a peer sends repeatedly must be counted once, and its class
   numbers, which differ from the local ones, must be mapped by name.  */
START_TEST (peer_statistics_are_merged_once)
{
  setup ();
  struct rr_interference *peer = rr_interference_new (&policy);
  int noise = rr_interference_class (model, RR_WORKLOAD_BATCH, "noise");
  int check = rr_interference_class (model, RR_WORKLOAD_SERVICE, "check");
  rr_interference_class (peer, RR_WORKLOAD_BATCH, "padding");
  rr_interference_class (peer, RR_WORKLOAD_SERVICE, "padding");
  int peer_noise = rr_interference_class (peer, RR_WORKLOAD_BATCH, "noise");
  int peer_check = rr_interference_class (peer, RR_WORKLOAD_SERVICE, "check");
  ck_assert_int_ne (noise, peer_noise);
  model_add_reports (peer, 1, peer_check, -1, 0, 10, 50, &clock_ms);
  model_add_reports (peer, 1, peer_check, peer_noise, 0.5, 20, 50, &clock_ms);
  struct rr_time now = rr_time_from_ms (clock_ms);
  static struct rr_interference_export x;
  ck_assert (rr_interference_export (peer, peer_check, 77, now, &x));
  ck_assert (rr_interference_merge (model, &x, now));
  rr_interference_refresh (model, now);
  struct rr_interference_estimate merged = estimate (check, noise);
  struct rr_interference_estimate peer_estimate;
  rr_interference_estimate (peer, peer_check, peer_noise, &peer_estimate);
  ck_assert_double_eq_tol (merged.mean, peer_estimate.mean, 0.01);
  ck_assert_double_eq_tol (merged.sd, peer_estimate.sd, 0.01);
  ck_assert (!rr_interference_merge (model, &x, now));
  x.at.ms++;
  ck_assert (rr_interference_merge (model, &x, now));
  rr_interference_refresh (model, now);
  ck_assert_double_eq_tol (estimate (check, noise).sd, merged.sd, 1e-6);
  /* Only statistics from a daemon's own reports are exported.  */
  ck_assert (!rr_interference_export (model, check, 78, now, &x));
  /* The statistics are dropped when the peer sends none for too long.  */
  now.ms += policy.interference_peer_max_age_ms + 1;
  rr_interference_refresh (model, now);
  ck_assert_double_eq_tol (estimate (check, noise).sd,
                           policy.interference_prior_sd, 1e-6);
  rr_interference_free (peer);
  rr_interference_free (model);
}
END_TEST

/* Malformed statistics from a peer must be rejected.  */
START_TEST (malformed_statistics_are_rejected)
{
  setup ();
  static struct rr_interference_export x;
  x.at = rr_time_from_ms (1);
  x.classes = RR_CLASSES_MAX + 1;
  ck_assert (!rr_interference_merge (model, &x, x.at));
  x.classes = 1;
  x.moments[0] = NAN;
  ck_assert (!rr_interference_merge (model, &x, x.at));
  x.moments[0] = -1;
  ck_assert (!rr_interference_merge (model, &x, x.at));
  x.moments[0] = 1;
  ck_assert (rr_interference_merge (model, &x, x.at));
  rr_interference_free (model);
}
END_TEST

/* When all class numbers are in use, new classes must share RR_CLASS_OTHER and
   known ones keep their number.  */
START_TEST (surplus_classes_share_a_number)
{
  setup ();
  char name[16];
  for (int i = 1; i < RR_CLASSES_MAX; i++)
    {
      snprintf (name, sizeof name, "c%d", i);
      ck_assert_int_eq (rr_interference_class (model, RR_WORKLOAD_BATCH, name),
                        i);
    }
  ck_assert_int_eq (rr_interference_class (model, RR_WORKLOAD_BATCH, "more"),
                    RR_CLASS_OTHER);
  ck_assert_int_eq (rr_interference_class (model, RR_WORKLOAD_BATCH, "c3"), 3);
  ck_assert_str_eq (
      rr_interference_class_name (model, RR_WORKLOAD_BATCH, RR_CLASS_OTHER),
      "other");
  rr_interference_free (model);
}
END_TEST

SUITE ("interference", effects_of_mixed_windows_are_separated,
       rare_class_keeps_high_upper_bound, first_report_of_worker_is_ignored,
       repeated_and_empty_reports_are_ignored,
       estimates_follow_changed_workload, peer_statistics_are_merged_once,
       malformed_statistics_are_rejected, surplus_classes_share_a_number)
