#ifndef TESTS_CHECK_SUITE_H
#define TESTS_CHECK_SUITE_H

#include <check.h>
#include <stdlib.h>

/* Runs the COUNT tests of TABLE as suite NAME and returns the exit status.  */
static inline int
suite_run (const char *name, const TTest *const *table, size_t count)
{
  Suite *s = suite_create (name);
  TCase *t = tcase_create ("core");
  for (size_t i = 0; i < count; i++)
    tcase_add_test (t, table[i]);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* Defines main, which runs the listed tests as suite NAME.  */
#define SUITE(name, ...)                                                      \
  int main (void)                                                             \
  {                                                                           \
    const TTest *const table[] = { __VA_ARGS__ };                             \
    return suite_run (name, table, sizeof table / sizeof table[0]);           \
  }

#endif
