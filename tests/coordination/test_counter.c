#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryrail/counter.h"

static const char *const labels[] = { "team", "outcome", NULL };

/* Guards against label values that end the sample line or forge another, and
   against samples without HELP and TYPE.  */
START_TEST (exposition_is_escaped)
{
  struct rr_counters *r = rr_counters_new ();
  struct rr_error err = { 0 };
  int requests = rr_counter_declare (r, RR_COUNTER, "rr_requests_total",
                                     "Requests\\by\nteam.", labels, &err);
  int depth
      = rr_counter_declare (r, RR_GAUGE, "rr_queue", "Waiting.", NULL, &err);
  ck_assert_int_ge (requests, 0);
  ck_assert_int_ge (depth, 0);
  const char *const plain[] = { "lab", "answered" };
  const char *const odd[] = { "a\"b\\c\nd", "x{}=," };
  int p = rr_counter_series (r, requests, plain);
  int o = rr_counter_series (r, requests, odd);
  int g = rr_counter_series (r, depth, NULL);
  rr_counter_add (r, p, 2);
  rr_counter_add (r, o, 1);
  rr_counter_add (r, p, 3);
  rr_gauge_set (r, g, -4);
  ck_assert_int_eq (rr_counter_series (r, requests, plain), p);
  ck_assert_int_eq (rr_counter_value (r, p), 5);
  char *text = rr_counters_expose (r);
  ck_assert_str_eq (
      text, "# HELP rr_requests_total Requests\\\\by\\nteam.\n"
            "# TYPE rr_requests_total counter\n"
            "rr_requests_total{team=\"lab\",outcome=\"answered\"} 5\n"
            "rr_requests_total{team=\"a\\\"b\\\\c\\nd\",outcome=\"x{}=,\"} 1\n"
            "# HELP rr_queue Waiting.\n"
            "# TYPE rr_queue gauge\n"
            "rr_queue -4\n");
  free (text);
  rr_counters_free (r);
}
END_TEST

/* Guards against two modules that use one name for different things, and
   against names that a scraper rejects.  */
START_TEST (declarations_are_checked)
{
  struct rr_counters *r = rr_counters_new ();
  struct rr_error err = { 0 };
  int a = rr_counter_declare (r, RR_COUNTER, "a_total", "A.", labels, &err);
  ck_assert_int_eq (
      rr_counter_declare (r, RR_COUNTER, "a_total", "A.", labels, &err), a);
  ck_assert_int_eq (
      rr_counter_declare (r, RR_GAUGE, "a_total", "A.", labels, &err), -1);
  ck_assert_int_eq (err.code, RR_ERROR_CONFLICT);
  static const char *const bad_names[] = { "", "1a", "a b", "a-b" };
  for (size_t i = 0; i < 4; i++)
    {
      rr_error_clear (&err);
      ck_assert_int_eq (
          rr_counter_declare (r, RR_COUNTER, bad_names[i], "B.", NULL, &err),
          -1);
      ck_assert_int_eq (err.code, RR_ERROR_INVALID);
    }
  static const char *const many[] = { "a", "b", "c", "d", "e", NULL };
  static const char *const reserved[] = { "__a", NULL };
  ck_assert_int_eq (
      rr_counter_declare (r, RR_COUNTER, "b_total", "B.", many, NULL), -1);
  ck_assert_int_eq (
      rr_counter_declare (r, RR_COUNTER, "b_total", "B.", reserved, NULL), -1);
  rr_counters_free (r);
}
END_TEST

/* Guards against memory that grows without bound with label values from
   outside.  */
START_TEST (series_are_bounded)
{
  struct rr_counters *r = rr_counters_new ();
  int f = rr_counter_declare (r, RR_COUNTER, "a_total", "A.", labels, NULL);
  int last = -1;
  for (int i = 0; i < 5000; i++)
    {
      char team[20];
      snprintf (team, sizeof team, "t%d", i);
      const char *const values[] = { team, "x" };
      last = rr_counter_series (r, f, values);
      rr_counter_add (r, last, 1);
    }
  ck_assert_int_eq (last, 2000);
  ck_assert_int_eq (rr_counter_value (r, last), 3000);
  const char *const first[] = { "t0", "x" };
  ck_assert_int_eq (rr_counter_series (r, f, first), 0);
  rr_counters_free (r);
}
END_TEST

/* Guards against a cut in the middle of an escape, which would escape the
   closing quote.  */
START_TEST (escape_is_cut_whole)
{
  char out[4];
  rr_label_escape ("ab\"c", out, sizeof out);
  ck_assert_str_eq (out, "ab");
  rr_label_escape ("a\"c", out, sizeof out);
  ck_assert_str_eq (out, "a\\\"");
  rr_label_escape ("\n", out, sizeof out);
  ck_assert_str_eq (out, "\\n");
  rr_label_escape ("x", out, 1);
  ck_assert_str_eq (out, "");
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("counter");
  TCase *t = tcase_create ("core");
  tcase_set_timeout (t, 60);
  tcase_add_test (t, exposition_is_escaped);
  tcase_add_test (t, declarations_are_checked);
  tcase_add_test (t, series_are_bounded);
  tcase_add_test (t, escape_is_cut_whole);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
