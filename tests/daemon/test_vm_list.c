#include <stdio.h>
#include <string.h>

#include "../check_suite.h"
#include "rosemaryraild/vm_list.h"

/* Guards against one odd entry of another writer in the VM list after which
   the daemon no longer follows the list.  */

enum
{
  NESTING = 500, /* deeper than the parser allows */
  TEXT_SIZE = 8192
};

#define GOOD_1                                                                \
  "{\"name\":\"w1\",\"role\":\"worker\",\"address\":\"10.0.1.1\","            \
  "\"http_port\":8080,\"zone\":\"z1\",\"incarnation\":5,\"state\":\"live\"}"
#define GOOD_2                                                                \
  "{\"name\":\"d1\",\"role\":\"entry\",\"address\":\"10.0.0.1\","             \
  "\"http_port\":8080,\"rpc_port\":8081,\"zone\":\"z1\",\"incarnation\":1,"   \
  "\"state\":\"live\"}"

/* Writes an entry in which FIELD has VALUE; w2 is otherwise valid.  */
static void
print_entry (char *out, size_t size, const char *field, const char *value)
{
  static const char *const members[][2]
      = { { "name", "\"w2\"" },          { "role", "\"worker\"" },
          { "address", "\"10.0.1.2\"" }, { "http_port", "8080" },
          { "zone", "\"z1\"" },          { "incarnation", "5" },
          { "state", "\"live\"" } };
  size_t n = 0;
  for (size_t i = 0; i < sizeof members / sizeof members[0]; i++)
    n += (size_t)snprintf (
        out + n, size - n, "%s\"%s\":%s", i == 0 ? "{" : ",", members[i][0],
        strcmp (members[i][0], field) == 0 ? value : members[i][1]);
  snprintf (out + n, size - n, "}");
}

/* Checks that of a list with ODD between two valid entries only ODD is left
   out.  */
static void
check_left_out (const char *odd)
{
  char text[TEXT_SIZE];
  struct vm_list list;
  struct rr_error err = { 0 };
  snprintf (text, sizeof text, "{\"vms\":[" GOOD_1 ",%s," GOOD_2 "]}", odd);
  ck_assert_msg (vm_list_parse (text, strlen (text), &list, &err),
                 "list refused for %.160s: %s", odd, err.message);
  ck_assert_msg (list.count == 2 && list.left_out == 1,
                 "%zu entries and %zu left out for %.160s", list.count,
                 list.left_out, odd);
  ck_assert_str_eq (list.entries[0].info.name, "w1");
  ck_assert_str_eq (list.entries[1].info.name, "d1");
  ck_assert_int_eq (list.entries[1].info.rpc_port, 8081);
  ck_assert_int_ne (list.reason.message[0], '\0');
  vm_list_free (&list);
}

/* Guards against a list that is refused for an entry with a field that no
   writer of the platform sets so.  */
START_TEST (odd_field)
{
  static const char *const odd[][2] = {
    { "http_port", "99999" },
    { "http_port", "-1" },
    { "http_port", "\"8080\"" },
    { "incarnation", "1e30" },
    { "incarnation", "-5" },
    { "incarnation", "99999999999999999999999" },
    { "incarnation", "9223372036854775807" },
    { "role", "\"broker\"" },
    { "role", "null" },
    { "name", "7" },
    { "name", "\"\"" },
    { "address", "\"nowhere\"" },
    { "state", "\"happy\"" },
    { "zone", "{}" },
  };
  char entry[TEXT_SIZE / 2];
  print_entry (entry, sizeof entry, odd[_i][0], odd[_i][1]);
  check_left_out (entry);
}
END_TEST

/* Guards against a list that is refused for an element that is no object.  */
START_TEST (odd_element)
{
  static const char *const odd[] = { "7", "null", "\"w2\"", "[]", "{}" };
  check_left_out (odd[_i]);
}
END_TEST

/* Guards against a list that is refused because one entry is nested too deeply
   or can't be read for another reason.  */
START_TEST (unreadable_entry)
{
  char nested[2 * NESTING + 1];
  char entry[TEXT_SIZE / 2];
  memset (nested, '[', NESTING);
  memset (nested + NESTING, ']', NESTING);
  nested[sizeof nested - 1] = '\0';
  check_left_out (nested);
  print_entry (entry, sizeof entry, "zone", nested);
  check_left_out (entry);
  print_entry (entry, sizeof entry, "zone", "nothing");
  check_left_out (entry);
  print_entry (entry, sizeof entry, "zone", "\"]}\\\"]}\",\"x\":nothing");
  check_left_out (entry);
}
END_TEST

/* Guards against a text without a list that is taken for an empty one, or read
   beyond its end.  */
START_TEST (no_list)
{
  static const char *const bad[] = { "",
                                     "{",
                                     "[]",
                                     "{}",
                                     "{\"vms\":7}",
                                     "{\"vms\":[{\"a\":\"",
                                     "{\"vms\":[{\"a\":\"\\",
                                     "{\"vms\":[{]}",
                                     "{\"vms\":[[[[" };
  struct vm_list list;
  struct rr_error err = { 0 };
  ck_assert_msg (!vm_list_parse (bad[_i], strlen (bad[_i]), &list, &err),
                 "accepted %s", bad[_i]);
  ck_assert_int_ne (err.message[0], '\0');
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("vm-list");
  TCase *t = tcase_create ("odd entries");
  tcase_add_loop_test (t, odd_field, 0, 14);
  tcase_add_loop_test (t, odd_element, 0, 5);
  tcase_add_test (t, unreadable_entry);
  tcase_add_loop_test (t, no_list, 0, 9);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
