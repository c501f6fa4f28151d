#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "common/settings.h"

static const char valid_settings[]
    = "{\"name\":\"d1\",\"region\":\"r\",\"zone\":\"z\",\n"
      "\"platform_address\":\"127.0.0.1\",\"platform_port\":7000,\n"
      "\"seed_peers\":[\"127.0.0.1:9000\"], // peers\n"
      "\"drain_ms\":10}";

static void
assert_error_report (const char *text, const char *const *overrides,
                     size_t count, const char *report)
{
  struct rr_config_file file = { "d.jsonc", text, strlen (text) };
  struct rr_config_errors errors = { 0 };
  struct settings s;
  ck_assert (!settings_parse (&file, overrides, count, &s, &errors));
  char *actual = rr_config_errors_text (&errors);
  ck_assert_str_eq (actual, report);
  free (actual);
  rr_config_errors_free (&errors);
}

/* Guards against flags that do not override the file, or that change other
   settings.  */
START_TEST (overrides_take_precedence)
{
  struct rr_config_file file
      = { "d.jsonc", valid_settings, strlen (valid_settings) };
  struct rr_config_errors errors = { 0 };
  struct settings s;
  static const char *const overrides[]
      = { "http_port=0", "name=7", "seed_peers=127.0.0.1:1,127.0.0.2:2" };
  ck_assert (settings_parse (&file, NULL, 0, &s, &errors));
  ck_assert_str_eq (s.name, "d1");
  ck_assert_int_eq (s.http_port, 8080);
  ck_assert_int_eq (s.drain_ms, 10);
  ck_assert_uint_eq (s.seed_peer_count, 1);
  settings_free (&s);
  ck_assert (settings_parse (&file, overrides, 3, &s, &errors));
  ck_assert_str_eq (s.name, "7");
  ck_assert_int_eq (s.http_port, 0);
  ck_assert_int_eq (s.drain_ms, 10);
  ck_assert_uint_eq (s.seed_peer_count, 2);
  ck_assert_str_eq (s.seed_peers[1].address, "127.0.0.2");
  ck_assert_uint_eq (s.seed_peers[1].port, 2);
  settings_free (&s);
}
END_TEST

/* Guards against a daemon that starts with invalid settings, and against
   errors without a source location.  */
START_TEST (file_errors_have_locations)
{
  assert_error_report (
      "{\"name\":\"\", \"http_port\":65536,\n\"heartbeat\":1,\n"
      "\"seed_peers\":[\"127.0.0.1\",\"localhost:80\",7,"
      "\"127.0.0.1:65536\"],\n"
      "\"http_address\":\"::1\",\"region\":\"r\",\"zone\":\"z\"}",
      NULL, 0,
      "d.jsonc:1:9: field \"name\": expected a name of 1 to 63 "
      "letters, digits, \".\", \"-\" and \"_\" that starts with a "
      "letter or digit, got \"\"\n"
      "d.jsonc:1:25: field \"http_port\": expected an integer from "
      "0 to 65535, got 65536\n"
      "d.jsonc:2:1: unknown field \"heartbeat\" in the settings; "
      "the closest names are: heartbeat_zone_ms, "
      "heartbeat_remote_ms, name\n"
      "d.jsonc:3:15: field \"seed_peers\": expected "
      "\"ADDRESS:PORT\" with an IPv4 address and a port from 1 to "
      "65535, got \"127.0.0.1\"\n"
      "d.jsonc:3:27: field \"seed_peers\": expected "
      "\"ADDRESS:PORT\" with an IPv4 address and a port from 1 to "
      "65535, got \"localhost:80\"\n"
      "d.jsonc:3:42: field \"seed_peers\": expected "
      "\"ADDRESS:PORT\"\n"
      "d.jsonc:3:44: field \"seed_peers\": expected "
      "\"ADDRESS:PORT\" with an IPv4 address and a port from 1 to "
      "65535, got \"127.0.0.1:65536\"\n"
      "d.jsonc:4:16: field \"http_address\": expected an IPv4 "
      "address such as \"127.0.0.1\", got \"::1\"\n"
      "d.jsonc:1:1: missing field \"platform_address\" in the "
      "settings\n"
      "d.jsonc:1:1: missing field \"platform_port\" in the "
      "settings\n");
}
END_TEST

/* Guards against a mistyped flag that is silently ignored.  */
START_TEST (override_errors_name_the_flag)
{
  static const char *const overrides[]
      = { "no_equals", "colour=red", "http_port=eighty", "http_port=80x" };
  struct rr_config_errors errors = { 0 };
  struct rr_config_file file
      = { "d.jsonc", valid_settings, strlen (valid_settings) };
  struct settings s;
  ck_assert (!settings_parse (&file, overrides, 4, &s, &errors));
  ck_assert_uint_eq (errors.count, 4);
  for (unsigned i = 0; i < 4; i++)
    {
      ck_assert_str_eq (errors.items[i].file, "--set");
      ck_assert_uint_eq (errors.items[i].line, i + 1);
    }
  ck_assert_uint_eq (errors.items[2].column, 11);
  rr_config_errors_free (&errors);
}
END_TEST

/* Guards against timeouts that are too short for the heartbeat or report
   interval, so that every peer or worker would be considered failed.  */
START_TEST (contradictory_settings_are_rejected)
{
  static const char *const overrides[]
      = { "peer_timeout_zone_ms=1000", "log_level=loud", "rpc_port=8080",
          "controller_lease_ms=2000" };
  assert_error_report (
      valid_settings, overrides, 4,
      "--set:2:11: field \"log_level\": expected error, warn, info "
      "or debug, got \"loud\"\n"
      "--set:3:10: field \"rpc_port\": expected another port than "
      "\"http_port\" (8080)\n"
      "--set:1:22: field \"peer_timeout_zone_ms\": expected more "
      "than \"heartbeat_zone_ms\" (1000), got 1000\n"
      "--set:4:21: field \"controller_lease_ms\": expected more "
      "than \"worker_report_ms\" (2000), got 2000\n");
}
END_TEST

/* Guards against a shipped example that the daemon rejects.  */
START_TEST (example_is_valid)
{
  struct rr_config_errors errors = { 0 };
  struct settings s;
  const char *path = getenv ("DAEMON_EXAMPLE");
  ck_assert_ptr_nonnull (path);
  bool ok = settings_load (path, NULL, 0, &s, &errors);
  char *report = rr_config_errors_text (&errors);
  ck_assert_msg (ok, "%s", report);
  free (report);
  settings_free (&s);
  ck_assert (!settings_load ("/nonexistent", NULL, 0, &s, &errors));
  ck_assert_uint_eq (errors.count, 1);
  rr_config_errors_free (&errors);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("settings");
  TCase *t = tcase_create ("core");
  tcase_add_test (t, overrides_take_precedence);
  tcase_add_test (t, file_errors_have_locations);
  tcase_add_test (t, override_errors_name_the_flag);
  tcase_add_test (t, contradictory_settings_are_rejected);
  tcase_add_test (t, example_is_valid);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
