#include <check.h>
#include <stdlib.h>

#include "rosemaryrail/error.h"

/* Guards against a later failure that overwrites the first one.  */
START_TEST (first_failure_is_kept)
{
  struct rr_error err = { 0 };
  ck_assert (!rr_error_set (&err, RR_ERROR_CONFLICT, "first"));
  ck_assert (!rr_error_set (&err, RR_ERROR_SYSTEM, "second"));
  ck_assert_int_eq (err.code, RR_ERROR_CONFLICT);
  ck_assert_str_eq (err.message, "first");
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("error");
  TCase *t = tcase_create ("core");
  tcase_add_test (t, first_failure_is_kept);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
