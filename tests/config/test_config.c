#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryrail/config.h"

static struct rr_config *
parse (const char *text, struct rr_config_errors *errors)
{
  struct rr_config_file file = { "a.jsonc", text, strlen (text) };
  return rr_config_parse (&file, 1, rr_config_parameters (), errors);
}

static struct rr_config *
parse_valid (const char *text)
{
  struct rr_config_errors errors = { 0 };
  struct rr_config *c = parse (text, &errors);
  char *report = rr_config_errors_text (&errors);
  ck_assert_msg (c != NULL, "%s", report);
  free (report);
  rr_config_errors_free (&errors);
  return c;
}

/* Asserts that parsing TEXT fails with exactly the errors in REPORT.  */
static void
assert_error_report (const char *text, const char *report)
{
  struct rr_config_errors errors = { 0 };
  struct rr_config *c = parse (text, &errors);
  ck_assert_ptr_null (c);
  char *actual = rr_config_errors_text (&errors);
  ck_assert_str_eq (actual, report);
  free (actual);
  rr_config_errors_free (&errors);
}

#define TEAM                                                                  \
  "{\"name\":\"t\",\"cores_milli\":1000,\"memory_mb\":1000,"                  \
  "\"accelerators\":1}"
#define JOB(id, cores)                                                        \
  "{\"id\":\"" id "\",\"team\":\"t\",\"class\":\"c\",\"cores_milli\":" cores  \
  ",\"memory_mb\":10,\"work_ms\":5}"

static const char small_config[] = "{\"teams\":[" TEAM "],\"jobs\":[" JOB (
    "a", "100") "," JOB ("b", "200") "],\"drains\":[\"vm-2\",\"vm-1\"],"
                                     "\"policy\":{\"relief_settle_ms\":250,"
                                     "\"relief_hot_ratio\":2}}";

/* Guards against absent fields being set to zero instead of their default.  */
START_TEST (absent_fields_have_defaults)
{
  struct rr_config *c = parse_valid (small_config);
  const struct rr_config_team *t = rr_config_team (c, "t");
  ck_assert_ptr_nonnull (t);
  ck_assert (t->weight == 1);
  ck_assert_int_eq (t->requests_per_s, 1000);
  ck_assert_int_eq (rr_config_job (c, "a")->tasks, 1);
  ck_assert_int_eq (rr_config_job (c, "a")->isolation_limit_ms, 7200000);
  double hold = 0;
  ck_assert (rr_config_policy (c, "relief.settle", &hold));
  ck_assert (hold == 250);
  ck_assert (!rr_config_policy (c, "no_such_parameter", &hold));
  struct rr_policy policy;
  rr_config_policy_fill (c, &policy);
  ck_assert_int_eq (policy.relief_settle_ms, 250);
  ck_assert (policy.relief_hot_ratio == 2);
  struct rr_policy defaults;
  rr_policy_init (&defaults);
  ck_assert_int_eq (policy.relief_task_evictions_max,
                    defaults.relief_task_evictions_max);
  rr_config_free (c);
}
END_TEST

/* Guards against a lookup that truncates an overlong name and then finds an
   item with the truncated name.  */
START_TEST (overlong_name_finds_nothing)
{
  char name[100];
  memset (name, 'n', sizeof name);
  name[RR_CONFIG_NAME_SIZE - 1] = '\0';
  char text[400];
  snprintf (text, sizeof text,
            "{\"teams\":[{\"name\":\"%s\",\"cores_milli\":1,"
            "\"memory_mb\":1}]}",
            name);
  struct rr_config *c = parse_valid (text);
  ck_assert_ptr_nonnull (rr_config_team (c, name));
  name[RR_CONFIG_NAME_SIZE - 1] = 'n';
  name[RR_CONFIG_NAME_SIZE] = '\0';
  ck_assert_ptr_null (rr_config_team (c, name));
  rr_config_free (c);
}
END_TEST

/* Guards against a digest that depends on the order of files or items.  */
START_TEST (digest_is_independent_of_order)
{
  const char *one = "{\"teams\":[" TEAM "]}";
  const char *two = "{\"jobs\":[" JOB ("b", "200") "," JOB (
      "a", "100") "],\"policy\":{\"relief_hot_ratio\":2.0,\"relief_settle_"
                  "ms\":250},\"drains\":["
                  "\"vm-1\",\"vm-2\"]}";
  struct rr_config_file files[]
      = { { "2", two, strlen (two) }, { "1", one, strlen (one) } };
  struct rr_config_errors errors = { 0 };
  struct rr_config *a = parse_valid (small_config);
  struct rr_config *b
      = rr_config_parse (files, 2, rr_config_parameters (), &errors);
  ck_assert_ptr_nonnull (b);
  struct rr_config_parts pa;
  struct rr_config_parts pb;
  struct rr_config_head ha;
  struct rr_config_head hb;
  rr_config_split (a, &pa);
  rr_config_split (b, &pb);
  rr_config_head_build (&pa, 1, "", &ha);
  rr_config_head_build (&pb, 1, "", &hb);
  ck_assert_str_eq (ha.digest, hb.digest);
  rr_config_head_free (&ha);
  rr_config_head_free (&hb);
  rr_config_parts_free (&pa);
  rr_config_parts_free (&pb);
  rr_config_free (a);
  rr_config_free (b);
}
END_TEST

/* Guards against a change to one team that also changes other parts, which
   every daemon would have to read again.  */
START_TEST (change_of_one_team_changes_one_part)
{
  static const char format[]
      = "{\"teams\":[" TEAM ",{\"name\":\"u\",\"cores_milli\":%d,"
        "\"memory_mb\":5}],\"jobs\":[" JOB ("a", "100") "]}";
  struct rr_config_parts parts[2];
  for (int i = 0; i < 2; i++)
    {
      char text[1000];
      snprintf (text, sizeof text, format, 100 + i);
      struct rr_config *c = parse_valid (text);
      rr_config_split (c, &parts[i]);
      rr_config_free (c);
    }
  ck_assert_uint_eq (parts[0].count, 6);
  for (size_t i = 0; i < parts[0].count; i++)
    {
      bool same
          = strcmp (parts[0].items[i].digest, parts[1].items[i].digest) == 0;
      ck_assert_str_eq (parts[0].items[i].name, parts[1].items[i].name);
      ck_assert_int_eq (same, strcmp (parts[0].items[i].name, "team/u") != 0);
    }
  rr_config_parts_free (&parts[0]);
  rr_config_parts_free (&parts[1]);
}
END_TEST

/* Guards against a configuration that changes when it is split, stored and
   joined again.  */
START_TEST (join_restores_split_configuration)
{
  struct rr_config *c = parse_valid (small_config);
  struct rr_config_parts parts;
  rr_config_split (c, &parts);
  struct rr_config_errors errors = { 0 };
  struct rr_config *d
      = rr_config_join (&parts, rr_config_parameters (), &errors);
  ck_assert_ptr_nonnull (d);
  char *diff = rr_config_diff (c, d);
  ck_assert_str_eq (diff, "");
  free (diff);
  rr_config_free (c);
  rr_config_free (d);
  parts.items[0].digest[0] ^= 1;
  ck_assert_ptr_null (
      rr_config_join (&parts, rr_config_parameters (), &errors));
  ck_assert_uint_eq (errors.count, 1);
  ck_assert_str_eq (errors.items[0].file, "limits");
  rr_config_errors_free (&errors);
  rr_config_parts_free (&parts);
}
END_TEST

/* Guards against a head that differs after it was written and parsed, and
   against accepting a corrupted one.  */
START_TEST (head_text_round_trips)
{
  struct rr_config *c = parse_valid (small_config);
  struct rr_config_parts parts;
  struct rr_config_head h;
  struct rr_config_head back;
  struct rr_error err = { 0 };
  rr_config_split (c, &parts);
  rr_config_head_build (&parts, 41, parts.items[0].digest, &h);
  char *text = rr_config_head_text (&h);
  ck_assert_msg (rr_config_head_parse (text, strlen (text), &back, &err), "%s",
                 err.message);
  ck_assert_int_eq (back.generation, 41);
  ck_assert_str_eq (back.parent, parts.items[0].digest);
  ck_assert_uint_eq (back.part_count, parts.count);
  ck_assert_str_eq (h.digest, back.digest);
  ck_assert_int_eq (h.generation, back.generation);
  rr_config_head_free (&back);
  char *digest = strstr (text, parts.items[2].digest);
  digest[5] = digest[5] == '0' ? '1' : '0';
  ck_assert (!rr_config_head_parse (text, strlen (text), &back, &err));
  ck_assert_int_eq (err.code, RR_ERROR_INVALID);
  free (text);
  rr_config_head_free (&h);
  rr_config_parts_free (&parts);
  rr_config_free (c);
}
END_TEST

/* Guards against a crash of the parser on a malformed head from a peer.  */
START_TEST (malformed_heads_are_rejected)
{
  static const char *const texts[] = {
    "",
    "[]",
    "{}",
    "{\"generation\":1}",
    "{\"generation\":0,\"digest\":\"\",\"parent\":\"\",\"parts\":[]}",
    "{\"generation\":1,\"digest\":\"\",\"parent\":7,\"parts\":[]}",
    "{\"generation\":1,\"digest\":\"x\",\"parent\":\"\",\"parts\":{}}",
    "{\"generation\":1,\"digest\":\"x\",\"parent\":\"x\",\"parts\":[7]}"
  };
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      struct rr_config_head h;
      struct rr_error err = { 0 };
      ck_assert (
          !rr_config_head_parse (texts[i], strlen (texts[i]), &h, &err));
      ck_assert_int_eq (err.code, RR_ERROR_INVALID);
    }
}
END_TEST

/* Guards against a drain command that changes anything but the drains.  */
START_TEST (drain_changes_only_the_drains)
{
  struct rr_config *c = parse_valid (small_config);
  struct rr_config *d = rr_config_with_drain (c, "vm-9", true);
  ck_assert (rr_config_is_drained (d, "vm-9"));
  ck_assert (!rr_config_is_drained (c, "vm-9"));
  char *diff = rr_config_diff (c, d);
  ck_assert_str_eq (diff, "+ drain vm-9\n");
  free (diff);
  struct rr_config *again = rr_config_with_drain (d, "vm-9", true);
  ck_assert_uint_eq (again->drain_count, 3);
  struct rr_config *e = rr_config_with_drain (d, "vm-9", false);
  diff = rr_config_diff (c, e);
  ck_assert_str_eq (diff, "");
  free (diff);
  rr_config_free (c);
  rr_config_free (d);
  rr_config_free (again);
  rr_config_free (e);
}
END_TEST

/* Guards against an apply of files without "drains" that puts a drained VM
   back into service.  */
START_TEST (files_without_drains_keep_drains)
{
  struct rr_config *in_force = parse_valid (small_config);
  struct rr_config *silent = parse_valid ("{}");
  struct rr_config *none = parse_valid ("{\"drains\":[]}");
  rr_config_inherit_drains (silent, in_force);
  rr_config_inherit_drains (none, in_force);
  ck_assert_uint_eq (silent->drain_count, 2);
  ck_assert (rr_config_is_drained (silent, "vm-1"));
  ck_assert_uint_eq (none->drain_count, 0);
  rr_config_free (in_force);
  rr_config_free (silent);
  rr_config_free (none);
}
END_TEST

/* Guards against reporting only the first error, and against wrong lines or
   columns after comments, escapes or multi-byte characters.  */
START_TEST (all_errors_have_locations)
{
  assert_error_report (
      "/* comment\n over lines */ {\n"
      "  // \"quoted\" comment\n"
      "  \"teams\": [{\"name\":\"t\\u0041/*no*/\", \"cores_milli\": -1,\n"
      "    \"memory_mb\": 1.5, \"colour\": null}],\n"
      "  \"limits\": {\"jobs\": true},\n"
      "  \"drains\": [\"\xc3\xa9\", \"v\"], \"x\": 1 }\n",
      "a.jsonc:4:21: field \"name\": expected a name of 1 to 63 letters, "
      "digits, \".\", \"-\" and \"_\" that starts with a letter or digit, got "
      "\"tA/*no*/\"\n"
      "a.jsonc:4:53: field \"cores_milli\": expected an integer from 0 to "
      "1000000000, got -1\n"
      "a.jsonc:5:18: field \"memory_mb\": expected an integer from 0 to "
      "1000000000, got 1.5\n"
      "a.jsonc:5:23: unknown field \"colour\" in a team; expected one of: "
      "name, cores_milli, memory_mb, accelerators, weight, requests_per_s\n"
      "a.jsonc:6:22: field \"jobs\": expected an integer from 1 to 100000, "
      "got true\n"
      "a.jsonc:7:14: field \"drains\": expected a name of 1 to 63 letters, "
      "digits, \".\", \"-\" and \"_\" that starts with a letter or digit, got "
      "\"\xc3\xa9\"\n"
      "a.jsonc:7:26: unknown field \"x\" in a configuration; expected one of: "
      "limits, policy, teams, services, jobs, drains\n");
}
END_TEST

/* Guards against accepting a job that can never run because services of its
   team use up the quota.  */
START_TEST (job_must_fit_quota_left_by_services)
{
  assert_error_report (
      "{\"teams\":[" TEAM "],\"services\":[{\"name\":\"s\",\"class\":\"q\","
      "\"team\":\"t\",\"instances\":2,\"cores_milli\":400,\"memory_mb\":1,"
      "\"deadline_ms\":9}],\n\"jobs\":[" JOB ("a", "200") ",\n" JOB (
          "b", "201") "]}",
      "a.jsonc:3:48: job \"b\" can never run: a task needs 201 cores_milli; "
      "expected at most 200 (quota 1000 of team \"t\", less 800 for its "
      "services)\n");
}
END_TEST

/* Guards against submitted jobs that bypass the checks on configured ones.  */
START_TEST (submitted_job_is_checked_like_a_configured_one)
{
  struct rr_config *c = parse_valid (small_config);
  struct rr_config_errors errors = { 0 };
  struct rr_config_job job;
  const char *good = JOB ("n", "300");
  struct rr_config_file file = { "job", good, strlen (good) };
  ck_assert (rr_config_parse_job (c, &file, &job, &errors));
  ck_assert_str_eq (job.id, "n");
  ck_assert_int_eq (job.isolation_limit_ms, 7200000);
  static const char *const bad[]
      = { JOB ("a", "300"), JOB ("n", "1001"), "{}", "[", "7", "" };
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      file = (struct rr_config_file){ "job", bad[i], strlen (bad[i]) };
      ck_assert (!rr_config_parse_job (c, &file, &job, &errors));
      ck_assert_uint_ge (errors.count, 1);
      ck_assert_uint_ge (errors.items[0].line, 1);
      ck_assert_uint_ge (errors.items[0].column, 1);
      rr_config_errors_free (&errors);
    }
  rr_config_free (c);
}
END_TEST

/* Guards against accepting a configuration with a part that is too large for
   the platform to store.  */
START_TEST (oversized_part_is_an_error)
{
  char *text = NULL;
  size_t length = 0;
  FILE *out = open_memstream (&text, &length);
  fprintf (out, "{\"teams\":[" TEAM "],\"jobs\":[");
  for (int i = 0; i < 6000; i++)
    fprintf (out,
             "%s{\"id\":\"job-%d\",\"team\":\"t\",\"class\":\"c\","
             "\"cores_milli\":1,\"memory_mb\":1,\"work_ms\":1}",
             i == 0 ? "" : ",", i);
  fprintf (out, "]}");
  fclose (out);
  struct rr_config_errors errors = { 0 };
  ck_assert_ptr_null (parse (text, &errors));
  ck_assert_uint_eq (errors.count, 1);
  ck_assert_uint_eq (errors.items[0].column, 11);
  ck_assert_ptr_nonnull (strstr (errors.items[0].message, "part \"team/t\""));
  rr_config_errors_free (&errors);
  free (text);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("config");
  TCase *t = tcase_create ("core");
  tcase_set_timeout (t, 60);
  tcase_add_test (t, absent_fields_have_defaults);
  tcase_add_test (t, overlong_name_finds_nothing);
  tcase_add_test (t, digest_is_independent_of_order);
  tcase_add_test (t, change_of_one_team_changes_one_part);
  tcase_add_test (t, join_restores_split_configuration);
  tcase_add_test (t, head_text_round_trips);
  tcase_add_test (t, malformed_heads_are_rejected);
  tcase_add_test (t, drain_changes_only_the_drains);
  tcase_add_test (t, files_without_drains_keep_drains);
  tcase_add_test (t, all_errors_have_locations);
  tcase_add_test (t, job_must_fit_quota_left_by_services);
  tcase_add_test (t, submitted_job_is_checked_like_a_configured_one);
  tcase_add_test (t, oversized_part_is_an_error);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
