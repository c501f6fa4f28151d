#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "common/log.h"

static size_t
count_lines (const char *path, const char *word)
{
  char line[4096];
  size_t n = 0;
  FILE *f = fopen (path, "r");
  ck_assert_ptr_nonnull (f);
  while (fgets (line, sizeof line, f) != NULL)
    n += strstr (line, word) != NULL ? 1 : 0;
  fclose (f);
  return n;
}

/* Guards against a log that grows with the load: the lines of one event are
   limited per second, other events are not affected, and the number of dropped
   lines is logged.  */
START_TEST (test_event_budget)
{
  char path[] = "/tmp/rr-log-budget-XXXXXX";
  int fd = mkstemp (path);
  ck_assert_int_ge (fd, 0);
  log_open_on ("log_budget", LOG_LEVEL_INFO, fd);
  for (int i = 0; i < 5000; i++)
    log_event (LOG_LEVEL_INFO, "busy", "n=%d", i);
  log_event (LOG_LEVEL_INFO, "rare", "n=1");
  struct timespec second = { 1, 100000000 };
  nanosleep (&second, NULL);
  log_event (LOG_LEVEL_INFO, "busy", "n=-1");
  log_flush ();
  /* The 5,000 lines may be spread over two seconds, each with its own limit of
     600.  */
  ck_assert_uint_le (count_lines (path, "event=busy "), 1201);
  ck_assert_uint_ge (count_lines (path, "event=busy "), 601);
  ck_assert_uint_eq (count_lines (path, "event=rare "), 1);
  ck_assert_uint_ge (count_lines (path, "event=log_lines_left_out of=busy"),
                     1);
  close (fd);
  unlink (path);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("log");
  TCase *tc = tcase_create ("budget");
  tcase_add_test (tc, test_event_budget);
  suite_add_tcase (s, tc);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? 0 : 1;
}
