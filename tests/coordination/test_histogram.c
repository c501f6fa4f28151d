#include <check.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryrail/histogram.h"

/* Guards against quantiles off by more than a bin.  */
START_TEST (quantiles_are_within_a_bin)
{
  struct rr_histogram *h = rr_histogram_new ();
  ck_assert_double_eq (rr_histogram_quantile (h, 0.99), 0);
  for (int i = 1; i <= 10000; i++)
    rr_histogram_add (h, i * 0.01);
  static const double q[] = { 0.01, 0.1, 0.5, 0.9, 0.99, 0.999 };
  for (size_t i = 0; i < 6; i++)
    {
      double exact = q[i] * 100;
      double got = rr_histogram_quantile (h, q[i]);
      ck_assert_msg (fabs (got / exact - 1) < 0.05, "q %g: %g", q[i], got);
    }
  ck_assert_double_eq_tol (rr_histogram_quantile (h, 1), 100, 0.001);
  ck_assert_uint_eq (rr_histogram_count (h), 10000);
  ck_assert_double_eq_tol (rr_histogram_sum (h), 500050, 0.01);
  rr_histogram_reset (h);
  ck_assert_uint_eq (rr_histogram_count (h), 0);
  ck_assert_double_eq (rr_histogram_quantile (h, 0.5), 0);
  rr_histogram_free (h);
}
END_TEST

/* Guards against latencies that are lost because they lie outside the range,
   and against "not a number" spoiling sums.  */
START_TEST (outliers_are_counted)
{
  struct rr_histogram *h = rr_histogram_new ();
  rr_histogram_add (h, 0);
  rr_histogram_add (h, -1);
  rr_histogram_add (h, RR_HISTOGRAM_MIN_MS);
  rr_histogram_add (h, RR_HISTOGRAM_MAX_MS);
  rr_histogram_add (h, 1e12);
  rr_histogram_add (h, INFINITY);
  rr_histogram_add (h, NAN);
  ck_assert_uint_eq (rr_histogram_count (h), 6);
  ck_assert_uint_eq (rr_histogram_bin (h, 0), 3);
  ck_assert_uint_eq (rr_histogram_bin (h, rr_histogram_bins () - 1), 3);
  ck_assert (isfinite (rr_histogram_sum (h)));
  ck_assert_double_le (rr_histogram_quantile (h, 1), RR_HISTOGRAM_MAX_MS);
  ck_assert_uint_eq (rr_histogram_bin (h, rr_histogram_bins ()), 0);
  rr_histogram_free (h);
}
END_TEST

/* Guards against averaged quantiles: merging must give the same as counting
   everything in one histogram, also through the bins sent by a peer.  */
START_TEST (merge_equals_one_histogram)
{
  struct rr_histogram *fast = rr_histogram_new ();
  struct rr_histogram *slow = rr_histogram_new ();
  struct rr_histogram *all = rr_histogram_new ();
  struct rr_histogram *sent = rr_histogram_new ();
  for (int i = 0; i < 1000; i++)
    {
      rr_histogram_add (i < 980 ? fast : slow, i < 980 ? 1 : 500);
      rr_histogram_add (all, i < 980 ? 1 : 500);
    }
  rr_histogram_merge (fast, slow);
  for (size_t b = 0; b < rr_histogram_bins (); b++)
    {
      ck_assert_uint_eq (rr_histogram_bin (fast, b),
                         rr_histogram_bin (all, b));
      ck_assert (rr_histogram_bin_add (sent, b, rr_histogram_bin (all, b)));
    }
  ck_assert_double_eq (rr_histogram_quantile (fast, 0.99),
                       rr_histogram_quantile (all, 0.99));
  ck_assert_double_eq_tol (rr_histogram_quantile (sent, 0.99), 500, 50);
  ck_assert_double_eq (rr_histogram_max (fast), 500);
  ck_assert_uint_eq (rr_histogram_count (sent), 1000);
  ck_assert (!rr_histogram_bin_add (sent, rr_histogram_bins (), 1));
  rr_histogram_free (fast);
  rr_histogram_free (slow);
  rr_histogram_free (all);
  rr_histogram_free (sent);
}
END_TEST

/* Guards against latencies counted for the wrong service, class or team.  */
START_TEST (set_selects_by_key)
{
  struct rr_histogram_set *s = rr_histogram_set_new ();
  struct rr_histogram_set *other = rr_histogram_set_new ();
  const struct rr_histogram_key a = { "dossier", "quick", "lab" };
  const struct rr_histogram_key b = { "dossier", "quick", "press" };
  const struct rr_histogram_key c = { "furrow", "quick", "lab" };
  rr_histogram_add (rr_histogram_set_get (s, &a), 1);
  rr_histogram_add (rr_histogram_set_get (s, &b), 2);
  rr_histogram_add (rr_histogram_set_get (s, &c), 3);
  rr_histogram_add (rr_histogram_set_get (s, &a), 4);
  ck_assert_uint_eq (rr_histogram_set_size (s), 3);
  struct rr_histogram *sum = rr_histogram_new ();
  const struct rr_histogram_key service = { "dossier", NULL, NULL };
  ck_assert_uint_eq (rr_histogram_set_collect (s, &service, sum), 2);
  ck_assert_uint_eq (rr_histogram_count (sum), 3);
  rr_histogram_reset (sum);
  const struct rr_histogram_key team = { NULL, NULL, "lab" };
  ck_assert_uint_eq (rr_histogram_set_collect (s, &team, sum), 2);
  ck_assert_double_eq (rr_histogram_sum (sum), 8);
  rr_histogram_add (rr_histogram_set_get (other, &c), 9);
  rr_histogram_set_merge (other, s);
  ck_assert_uint_eq (rr_histogram_set_size (other), 3);
  ck_assert_double_eq (rr_histogram_sum (rr_histogram_set_get (other, &c)),
                       12);
  rr_histogram_free (sum);
  rr_histogram_set_free (s);
  rr_histogram_set_free (other);
}
END_TEST

/* Guards against an exposition whose buckets are not cumulative, not in
   seconds or not closed by "+Inf".  */
START_TEST (exposition_is_cumulative)
{
  struct rr_histogram_set *s = rr_histogram_set_new ();
  const struct rr_histogram_key key = { "a\"b", "quick", "lab" };
  struct rr_histogram *h = rr_histogram_set_get (s, &key);
  rr_histogram_add (h, 0.07);
  rr_histogram_add (h, 0.15);
  rr_histogram_add (h, 500000);
  char *text = rr_histogram_set_expose (s, "rr_seconds", "Latency.");
  const char *head = "# HELP rr_seconds Latency.\n"
                     "# TYPE rr_seconds histogram\n"
                     "rr_seconds_bucket{service=\"a\\\"b\",class=\"quick\","
                     "team=\"lab\",le=\"0.0001\"} 1\n"
                     "rr_seconds_bucket{service=\"a\\\"b\",class=\"quick\","
                     "team=\"lab\",le=\"0.0002\"} 2\n";
  const char *tail = "rr_seconds_bucket{service=\"a\\\"b\",class=\"quick\","
                     "team=\"lab\",le=\"104.8576\"} 2\n"
                     "rr_seconds_bucket{service=\"a\\\"b\",class=\"quick\","
                     "team=\"lab\",le=\"+Inf\"} 3\n"
                     "rr_seconds_sum{service=\"a\\\"b\",class=\"quick\","
                     "team=\"lab\"} 120.00022\n"
                     "rr_seconds_count{service=\"a\\\"b\",class=\"quick\","
                     "team=\"lab\"} 3\n";
  ck_assert_int_eq (strncmp (text, head, strlen (head)), 0);
  ck_assert_uint_gt (strlen (text), strlen (tail));
  ck_assert_str_eq (text + strlen (text) - strlen (tail), tail);
  free (text);
  rr_histogram_set_free (s);
}
END_TEST

/* Guards against a drawing that hides rare slow requests or overflows the
   terminal.  */
START_TEST (drawing_shows_rare_values)
{
  struct rr_histogram *h = rr_histogram_new ();
  char *text = rr_histogram_draw (h, "empty", 60);
  ck_assert_str_eq (text, "empty\ncount 0\n");
  free (text);
  for (int i = 0; i < 999; i++)
    rr_histogram_add (h, 1);
  rr_histogram_add (h, 5);
  text = rr_histogram_draw (h, "quick", 60);
  ck_assert_str_eq (
      text,
      "quick\n"
      "   0.80 ms |##############################|      999  99.9%\n"
      "   1.60 ms |                              |        0   0.0%\n"
      "   3.20 ms |#                             |        1   0.1%\n"
      "count 1000  mean 1.00 ms  p50 0.99 ms  p99 1.04 ms  p99.9 1.04 ms  "
      "max 5.00 ms\n");
  free (text);
  rr_histogram_free (h);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("histogram");
  TCase *t = tcase_create ("core");
  tcase_set_timeout (t, 60);
  tcase_add_test (t, quantiles_are_within_a_bin);
  tcase_add_test (t, outliers_are_counted);
  tcase_add_test (t, merge_equals_one_histogram);
  tcase_add_test (t, set_selects_by_key);
  tcase_add_test (t, exposition_is_cumulative);
  tcase_add_test (t, drawing_shows_rare_values);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
