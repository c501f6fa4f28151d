#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryrail/chart.h"

#define STATES                                                                \
  "\"states\":[{\"name\":\"a\",\"description\":\"x\"},"                       \
  "{\"name\":\"b\",\"description\":\"x\"},"                                   \
  "{\"name\":\"z\",\"description\":\"x\",\"final\":true}],"                   \
  "\"events\":[{\"name\":\"go\",\"description\":\"x\"},"                      \
  "{\"name\":\"end\",\"description\":\"x\"}],"
#define HEAD "{\"name\":\"n\",\"description\":\"x\",\"initial\":\"a\"," STATES
#define TO(from, event, to)                                                   \
  "{\"from\":\"" from "\",\"event\":\"" event "\",\"to\":\"" to "\"}"

static struct rr_chart *
load (const char *text, struct rr_error *err)
{
  return rr_chart_load ("test.jsonc", text, strlen (text), err);
}

static char *
read_chart (const char *name, size_t *length)
{
  char path[500];
  snprintf (path, sizeof path, "%s/%s.jsonc", CHART_DIR, name);
  FILE *in = fopen (path, "r");
  ck_assert_ptr_nonnull (in);
  char *text = malloc (100000);
  *length = fread (text, 1, 100000, in);
  ck_assert_uint_lt (*length, 100000);
  fclose (in);
  return text;
}

/* Guards against a shipped chart that the daemon would refuse at startup.  */
START_TEST (shipped_charts_load)
{
  static const char *const names[]
      = { "attempt", "request", "shard", "worker", "config" };
  const char *name = names[_i];
  size_t length = 0;
  char *text = read_chart (name, &length);
  struct rr_error err = { 0 };
  struct rr_chart *c = rr_chart_load (name, text, length, &err);
  ck_assert_msg (c != NULL, "%s", err.message);
  ck_assert_str_eq (rr_chart_name (c), name);
  ck_assert_uint_gt (strlen (rr_chart_description (c)), 0);
  rr_chart_free (c);
  free (text);
}
END_TEST

/* Follows EVENTS (ends with null) from the initial state of the shipped chart
   NAME and returns the name of the state reached, or "refused".  */
static const char *
follow (const char *name, const char *const *events)
{
  static char result[100];
  size_t length = 0;
  char *text = read_chart (name, &length);
  struct rr_error err = { 0 };
  struct rr_chart *c = rr_chart_load (name, text, length, &err);
  ck_assert_msg (c != NULL, "%s", err.message);
  int state = rr_chart_initial (c);
  for (; *events != NULL && state != RR_CHART_NONE; events++)
    {
      int event = rr_chart_event (c, *events, &err);
      ck_assert_msg (event >= 0, "%s", err.message);
      state = rr_chart_next (c, state, event);
    }
  snprintf (result, sizeof result, "%s",
            state == RR_CHART_NONE ? "refused"
                                   : rr_chart_state_name (c, state));
  rr_chart_free (c);
  free (text);
  return result;
}

#define FOLLOW(name, ...)                                                     \
  follow (name, (const char *const[]){ __VA_ARGS__, NULL })

/* Guards against a next attempt while the earlier one may run, and against a
   late report that revives an attempt.  */
START_TEST (attempt_ends_only_by_proof)
{
  ck_assert_str_eq (FOLLOW ("attempt", "start_sent", "worker_unreachable"),
                    "unreachable");
  ck_assert_str_eq (FOLLOW ("attempt", "start_sent", "lease_expired"),
                    "refused");
  ck_assert_str_eq (FOLLOW ("attempt", "start_sent", "worker_unreachable",
                            "lease_expired", "start_confirmed"),
                    "refused");
  ck_assert_str_eq (
      FOLLOW ("attempt", "seal_sent", "seal_never", "start_confirmed"),
      "refused");
  ck_assert_str_eq (FOLLOW ("attempt", "seal_sent", "seal_running",
                            "checkpoint_sent", "checkpoint_done", "stop_sent",
                            "worker_ended"),
                    "ended");
}
END_TEST

/* Guards against "not run" for a request that may have run, and against a
   non-repeatable request that is sent without permission.  */
START_TEST (request_outcomes_are_truthful)
{
  ck_assert_str_eq (FOLLOW ("request", "ask", "go", "send", "deadline"),
                    "unknown");
  ck_assert_str_eq (FOLLOW ("request", "ask", "go", "deadline"), "not_run");
  ck_assert_str_eq (FOLLOW ("request", "ask", "send"), "refused");
  ck_assert_str_eq (FOLLOW ("request", "ask", "unresolved"), "unknown");
  ck_assert_str_eq (FOLLOW ("request", "ask", "not_attempted"), "not_run");
  ck_assert_str_eq (
      FOLLOW ("request", "queue", "send", "refused", "send", "refused_last"),
      "not_run");
  ck_assert_str_eq (
      FOLLOW ("request", "queue", "send", "lost", "send", "refused_last"),
      "unknown");
  ck_assert_str_eq (FOLLOW ("request", "queue", "send", "lost", "deadline"),
                    "unknown");
}
END_TEST

/* Guards against appends after a pause without confirming ownership, and
   against admissions before the account is known.  */
START_TEST (ownership_is_confirmed_after_a_pause)
{
  ck_assert_str_eq (FOLLOW ("shard", "elected", "replayed", "append_confirmed",
                            "paused", "append_sent"),
                    "refused");
  ck_assert_str_eq (FOLLOW ("shard", "elected", "replayed", "append_confirmed",
                            "paused", "slot_confirmed"),
                    "owned");
  ck_assert_str_eq (FOLLOW ("shard", "elected", "replayed", "append_confirmed",
                            "append_sent", "paused"),
                    "unresolved");
  ck_assert_str_eq (FOLLOW ("worker", "elected", "claim_granted"),
                    "rebuilding");
  ck_assert_str_eq (
      FOLLOW ("worker", "elected", "claim_granted", "rebuilt", "paused"),
      "unconfirmed");
  ck_assert_str_eq (FOLLOW ("worker", "abandon", "elected"), "refused");
}
END_TEST

/* Guards against a configuration that reverts or replaces its equal.  */
START_TEST (configuration_never_reverts)
{
  ck_assert_str_eq (FOLLOW ("config", "head_higher", "parts_fetched",
                            "head_higher", "parts_failed"),
                    "in_force");
  ck_assert_str_eq (FOLLOW ("config", "head_higher", "parts_fetched",
                            "head_fork", "parts_fetched"),
                    "refused");
  ck_assert_str_eq (
      FOLLOW ("config", "head_higher", "parts_fetched", "store_behind"),
      "writing_back");
}
END_TEST

/* Guards against a look-up that is off by a row or accepts numbers outside the
   chart.  */
START_TEST (transitions_are_looked_up)
{
  struct rr_error err = { 0 };
  struct rr_chart *c
      = load ("// comment\n" HEAD "/* another */\"transitions\":[" TO (
                  "a", "go", "b") "," TO ("b", "end", "z") "]}\n",
              &err);
  ck_assert_msg (c != NULL, "%s", err.message);
  int a = -1;
  int b = -1;
  int z = -1;
  int go = -1;
  int end = -1;
  const struct rr_chart_name states[]
      = { { "a", &a }, { "b", &b }, { "z", &z }, { NULL, NULL } };
  const struct rr_chart_name events[]
      = { { "go", &go }, { "end", &end }, { NULL, NULL } };
  ck_assert (rr_chart_bind_states (c, states, &err));
  ck_assert (rr_chart_bind_events (c, events, &err));
  ck_assert_int_eq (rr_chart_initial (c), a);
  ck_assert_int_eq (rr_chart_next (c, a, go), b);
  ck_assert_int_eq (rr_chart_next (c, a, end), RR_CHART_NONE);
  ck_assert_int_eq (rr_chart_next (c, b, end), z);
  ck_assert_int_eq (rr_chart_next (c, b, go), RR_CHART_NONE);
  ck_assert_int_eq (rr_chart_next (c, z, go), RR_CHART_NONE);
  ck_assert_int_eq (rr_chart_next (c, 3, 0), RR_CHART_NONE);
  ck_assert_int_eq (rr_chart_next (c, RR_CHART_NONE, 0), RR_CHART_NONE);
  ck_assert_int_eq (rr_chart_next (c, 0, 2), RR_CHART_NONE);
  ck_assert_int_eq (rr_chart_next (c, 0, RR_CHART_NONE), RR_CHART_NONE);
  ck_assert (rr_chart_is_final (c, z));
  ck_assert (!rr_chart_is_final (c, b));
  ck_assert_str_eq (rr_chart_event_name (c, end), "end");
  ck_assert_str_eq (rr_chart_state_name (c, 99), "none");
  const struct rr_chart_name missing[] = { { "q", &a }, { NULL, NULL } };
  ck_assert (!rr_chart_bind_events (c, missing, &err));
  ck_assert_str_eq (err.message, "test.jsonc: no event \"q\"");
  rr_chart_free (c);
}
END_TEST

#define GOOD TO ("a", "go", "b") "," TO ("b", "end", "z")

static const struct
{
  const char *text;
  const char *message;
} faults[] = {
  { HEAD "\"transitions\":[" GOOD "," TO ("q", "go", "b") "]}",
    "test.jsonc: transition from unknown state \"q\"" },
  { HEAD "\"transitions\":[" GOOD "," TO ("b", "go", "q") "]}",
    "test.jsonc: transition to unknown state \"q\"" },
  { HEAD "\"transitions\":[" GOOD "," TO ("b", "q", "a") "]}",
    "test.jsonc: transition on unknown event \"q\"" },
  { HEAD "\"transitions\":[" GOOD "," TO ("a", "go", "a") "]}",
    "test.jsonc: duplicate transition from \"a\" on \"go\"" },
  { HEAD "\"transitions\":[" GOOD "," TO ("z", "go", "a") "]}",
    "test.jsonc: transition from final state \"z\"" },
  { HEAD "\"transitions\":[" TO ("a", "go", "a") "," TO ("a", "end", "z") "]}",
    "test.jsonc: unreachable state \"b\"" },
  { HEAD "\"transitions\":[" TO ("a", "go", "b") "," TO ("a", "end", "z") "]}",
    "test.jsonc: no final state can be reached from state \"b\"" },
  { HEAD "\"transitions\":[" TO ("a", "go", "b") "," TO ("b", "go", "z") "]}",
    "test.jsonc: no transition uses event \"end\"" },
  { "{\"name\":\"n\",\"description\":\"x\",\"initial\":\"q\"," STATES
    "\"transitions\":[" GOOD "]}",
    "test.jsonc: unknown initial state \"q\"" },
  { "{\"name\":\"n\",\"description\":\"x\",\"initial\":\"a\",\"states\":["
    "{\"name\":\"a\",\"description\":\"x\"},"
    "{\"name\":\"a\",\"description\":\"x\"}]}",
    "test.jsonc: duplicate name \"a\"" },
  { "{\"name\":\"n\",\"description\":\"x\",\"initial\":\"a\",\"states\":["
    "{\"name\":\"a\",\"description\":\"x\",\"fnal\":true}]}",
    "test.jsonc: unknown field \"fnal\"" },
  { HEAD "\"transitions\":[" GOOD "]} 7",
    "test.jsonc:1: text after the chart" },
  { "{\"name\":\"n\",\n\"description\" 7}",
    "test.jsonc:2: object property name separator ':' expected" },
  { "[]", "test.jsonc: not a JSON object" },
  { "{\"description\":\"x\"}",
    "test.jsonc: field \"name\" of the chart is missing or not a text" },
};

/* Guards against a faulty chart that is loaded, or refused without telling
   where the fault is.  */
START_TEST (faults_are_named)
{
  struct rr_error err = { 0 };
  struct rr_chart *c = load (faults[_i].text, &err);
  ck_assert_ptr_null (c);
  ck_assert_int_eq (err.code, RR_ERROR_INVALID);
  ck_assert_str_eq (err.message, faults[_i].message);
}
END_TEST

/* Guards against crashes on cut files: every prefix must be refused.  */
START_TEST (prefixes_are_refused)
{
  size_t length = 0;
  char *text = read_chart ("attempt", &length);
  while (length > 0 && text[length - 1] != '}')
    length--;
  for (size_t i = 0; i < length; i++)
    {
      char *part = malloc (i + 1);
      memcpy (part, text, i);
      struct rr_error err = { 0 };
      ck_assert_ptr_null (rr_chart_load ("cut", part, i, &err));
      ck_assert_int_eq (err.code, RR_ERROR_INVALID);
      free (part);
    }
  free (text);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("chart");
  TCase *t = tcase_create ("core");
  tcase_set_timeout (t, 60);
  tcase_add_loop_test (t, shipped_charts_load, 0, 5);
  tcase_add_test (t, attempt_ends_only_by_proof);
  tcase_add_test (t, request_outcomes_are_truthful);
  tcase_add_test (t, ownership_is_confirmed_after_a_pause);
  tcase_add_test (t, configuration_never_reverts);
  tcase_add_test (t, transitions_are_looked_up);
  tcase_add_loop_test (t, faults_are_named, 0,
                       (int)(sizeof faults / sizeof faults[0]));
  tcase_add_test (t, prefixes_are_refused);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
