#include <check.h>
#include <stdlib.h>

#include "rosemaryentryd/entry.h"
#include "rosemaryentryd/store_cache.h"

struct rr_time
store_cache_confirmed_at (const struct store_cache *c)
{
  (void)c;
  return rr_time_from_ms (0);
}

/* Guards against a daemon behind a slow link that never finishes reading the
   store: a page of 1 MB takes 5.6 s over 2 Mbit/s, and four reads share it.  */
START_TEST (page_timeout_follows_the_link)
{
  ck_assert_uint_eq (entry_page_timeout_ms (2000), 13200);
  ck_assert_uint_eq (entry_page_timeout_ms (10000), 4240);
  ck_assert_uint_eq (entry_page_timeout_ms (1000000), 2022);
  ck_assert_uint_gt (entry_page_timeout_ms (0), 2000);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("entry");
  TCase *tc = tcase_create ("core");
  tcase_add_test (tc, page_timeout_follows_the_link);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
