#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "platform/documents.h"
#include "rosemaryentryd/settings.h"

static struct rr_job_graph *
decode_job (const char *body, struct rr_error *err)
{
  memset (err, 0, sizeof *err);
  return platform_job_decode ("5c0e7a21d94b36f8", body, strlen (body), err);
}

/* Guards against fields of a submission that are lost when it is decoded, or
   when the job graph is stored and read again.  */
START_TEST (test_job_fields)
{
  struct rr_error err;
  struct rr_job_graph *g = decode_job (
      "{\"spec\":\"text\",\"repeatCount\":3,\"firstRunMs\":100,"
      "\"intervalMs\":50,\"steps\":[{\"count\":4,\"cpu\":500,\"memMb\":256,"
      "\"estimateMs\":900,\"affinity\":\"r1-3\"},{\"count\":2,\"cpu\":2000,"
      "\"gpu\":1,\"after\":[0],\"gang\":true,\"sameRack\":true,"
      "\"checkpointing\":true,\"fills\":true,\"longRunning\":true,"
      "\"requirements\":\"a\",\"antiAffinity\":2,\"image\":\"i1\","
      "\"targetMs\":18,\"mayMiss\":1}]}",
      &err);
  ck_assert_ptr_nonnull (g);
  ck_assert_str_eq (rr_text_bytes (g->spec), "text");
  ck_assert_int_eq (g->occurrence_count, 3);
  ck_assert_int_eq (g->interval_ms, 50);
  ck_assert_int_eq (g->steps[0].task_count, 4);
  ck_assert_int_eq (g->steps[0].cores_milli, 500);
  ck_assert_str_eq (g->steps[0].rack, "r1-3");
  const struct rr_job_graph_step *s = &g->steps[1];
  ck_assert (s->gang && s->same_rack && s->checkpointing && s->best_effort
             && s->long_running);
  ck_assert_int_eq (s->after[0], 0);
  ck_assert_int_eq (s->accelerators, 1);
  ck_assert_int_eq (s->per_worker_max, 2);
  ck_assert_int_eq (s->tail_target_ms, 18);
  ck_assert_int_eq (s->unavailable_max, 1);
  ck_assert_str_eq (s->required_label, "a");

  /* The stored form preserves every field.  */
  char *text = rr_job_graph_encode (g);
  struct rr_job_graph *copy = rr_job_graph_decode (text, strlen (text), &err);
  ck_assert_ptr_nonnull (copy);
  char *again = rr_job_graph_encode (copy);
  ck_assert_str_eq (text, again);
  free (text);
  free (again);
  rr_job_graph_free (copy);
  rr_job_graph_free (g);
}
END_TEST

/* Guards against malformed submissions that are accepted or crash the process.
 */
START_TEST (test_bad_jobs)
{
  static const char *const bad[] = {
    "",
    "{",
    "[]",
    "{\"spec\":\"x\"}",
    "{\"spec\":\"x\",\"steps\":[]}",
    "{\"spec\":\"x\",\"steps\":[{\"count\":0,\"cpu\":1}]}",
    "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":-5}]}",
    "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"after\":[0]}]}",
    "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"after\":[-1]}]}",
    "{\"spec\":\"x\",\"steps\":[{\"count\":30000,\"cpu\":1}]}",
    "{\"spec\":\"x\",\"repeatCount\":999999999,\"steps\":[{\"count\":9}]}",
    "{\"spec\":\"x\",\"steps\":[7]}",
  };
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      struct rr_error err;
      ck_assert_msg (decode_job (bad[i], &err) == NULL, "accepted %s", bad[i]);
      ck_assert_int_eq (err.code, RR_ERROR_INVALID);
      ck_assert_int_ne (err.message[0], '\0');
    }
}
END_TEST

/* Guards against a submission with a number beyond all sense that is accepted
   as a job of another size.  */
START_TEST (test_odd_job_numbers)
{
  static const char *const steps[]
      = { "\"cpu\":%s",        "\"memMb\":%s",        "\"gpu\":%s",
          "\"estimateMs\":%s", "\"antiAffinity\":%s", "\"mayMiss\":%s",
          "\"targetMs\":%s",   "\"count\":%s",        "\"after\":[%s]" };
  static const char *const odd[] = { "1e30",  "-1e30",
                                     "1e400", "-9000000000000000000",
                                     "NaN",   "99999999999999999999999",
                                     "\"1\"", "[1]",
                                     "true",  "9223372036854775807" };
  char field[80];
  char text[300];
  struct rr_error err;
  for (size_t i = 0; i < sizeof steps / sizeof steps[0]; i++)
    {
      char *mark = strstr (steps[i], "%s");
      snprintf (field, sizeof field, "%.*s%s%s", (int)(mark - steps[i]),
                steps[i], odd[_i], mark + 2);
      snprintf (text, sizeof text,
                "{\"spec\":\"x\",\"steps\":[{\"count\":1},{\"count\":1},"
                "{%s%s}]}",
                field, strstr (field, "count") == NULL ? ",\"count\":1" : "");
      ck_assert_msg (decode_job (text, &err) == NULL, "accepted %s", field);
      ck_assert_int_eq (err.code, RR_ERROR_INVALID);
      snprintf (field, sizeof field, "%.*s", (int)strcspn (steps[i] + 1, "\""),
                steps[i] + 1);
      ck_assert_msg (strstr (err.message, field) != NULL,
                     "the error \"%s\" doesn't name %s", err.message, field);
    }
  static const char *const schedule[]
      = { "repeatCount", "firstRunMs", "intervalMs" };
  for (size_t i = 0; i < sizeof schedule / sizeof schedule[0]; i++)
    {
      snprintf (text, sizeof text,
                "{\"spec\":\"x\",\"steps\":[{\"count\":1}],\"%s\":%s}",
                schedule[i], odd[_i]);
      ck_assert_msg (decode_job (text, &err) == NULL, "accepted %s as %s",
                     odd[_i], schedule[i]);
    }
}
END_TEST

/* Guards against a count that is taken for a smaller one since it has more
   than 32 bits, and against work whose sum overflows.  */
START_TEST (test_large_job_numbers)
{
  struct rr_error err;
  ck_assert_ptr_null (decode_job (
      "{\"spec\":\"x\",\"steps\":[{\"count\":4294967297}]}", &err));
  ck_assert_ptr_null (
      decode_job ("{\"spec\":\"x\",\"steps\":[{\"count\":20000,"
                  "\"cpu\":10000000,\"estimateMs\":30000000000}]}",
                  &err));
  ck_assert_ptr_nonnull (strstr (err.message, "work"));
  struct rr_job_graph *g
      = decode_job ("{\"spec\":\"x\",\"steps\":[{\"count\":20000,"
                    "\"cpu\":64000,\"estimateMs\":86400000.5}]}",
                    &err);
  ck_assert_ptr_nonnull (g);
  ck_assert_int_eq (rr_job_graph_core_ms (g), INT64_C (110592000000000));
  rr_job_graph_free (g);
}
END_TEST

/* Guards against malformed or foreign entries under the workers' prefix that
   are taken for workers.  */
START_TEST (test_worker_entries)
{
  static const char good[]
      = "{\"service\":\"desk\",\"address\":\"10.0.0.9:8080\",\"zone\":\"z1\","
        "\"state\":\"draining\",\"remainingMs\":1500,\"born\":17,\"capacity\":"
        "{\"cpu\":16000,\"memMb\":32768,\"gpu\":2},\"labels\":[\"a\",\"r1\"]}";
  struct platform_worker w;
  struct rr_error err = { 0 };
  ck_assert (
      platform_worker_decode ("servers/i-1", good, strlen (good), &w, &err));
  ck_assert_str_eq (w.info.id, "i-1");
  ck_assert_str_eq (w.info.rack, "r1");
  ck_assert (w.info.draining);
  ck_assert_int_eq (w.info.remaining_ms, 1500);
  ck_assert_int_eq (w.info.started_ms, 17);
  ck_assert_int_eq (w.port, 8080);
  static const char *const bad[] = {
    "\x01\x02",
    "{}",
    "[1]",
    "{\"service\":\"d\",\"address\":\"10.0.0.9:8080\",\"zone\":\"z\","
    "\"state\":\"happy\",\"capacity\":{}}",
    "{\"service\":\"d\",\"address\":\"nowhere\",\"zone\":\"z\","
    "\"state\":\"ready\",\"capacity\":{}}",
    "{\"service\":\"d\",\"address\":\"10.0.0.9:8080\",\"zone\":\"z\","
    "\"state\":\"ready\",\"capacity\":7}",
    "{\"service\":5,\"address\":\"10.0.0.9:8080\",\"zone\":\"z\","
    "\"state\":\"ready\",\"capacity\":{}}",
  };
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      struct rr_error e = { 0 };
      ck_assert_msg (!platform_worker_decode ("servers/i-2", bad[i],
                                              strlen (bad[i]), &w, &e),
                     "accepted %s", bad[i]);
      ck_assert_int_ne (e.message[0], '\0');
    }
}
END_TEST

/* Writes the entry of a worker in which FIELD has VALUE to OUT.  */
static void
print_worker (char *out, size_t size, const char *field, const char *value)
{
  static const char *const members[][2]
      = { { "remainingMs", "1500" },
          { "born", "1773545490112" },
          { "cpu", "16000" },
          { "memMb", "32768" },
          { "gpu", "2" },
          { "address", "\"10.0.0.9:8080\"" } };
  const char *v[sizeof members / sizeof members[0]] = { NULL };
  for (size_t i = 0; i < sizeof members / sizeof members[0]; i++)
    v[i] = strcmp (members[i][0], field) == 0 ? value : members[i][1];
  snprintf (out, size,
            "{\"service\":\"desk\",\"zone\":\"z1\",\"state\":\"draining\","
            "\"remainingMs\":%s,\"born\":%s,\"capacity\":{\"cpu\":%s,"
            "\"memMb\":%s,\"gpu\":%s},\"address\":%s}",
            v[0], v[1], v[2], v[3], v[4], v[5]);
}

/* Guards against an entry of another writer that is taken for a worker of
   boundless, negative or unknown capacity.  */
START_TEST (test_odd_worker_numbers)
{
  static const char *const fields[]
      = { "cpu", "memMb", "gpu", "born", "remainingMs" };
  static const char *const odd[] = { "1e30",      "-1e30",
                                     "1e400",     "-9000000000000000000",
                                     "NaN",       "99999999999999999999999",
                                     "\"16000\"", "[16000]",
                                     "true",      "9223372036854775807" };
  char text[400];
  struct platform_worker w;
  struct rr_error err = { 0 };
  for (size_t i = 0; i < sizeof fields / sizeof fields[0]; i++)
    {
      print_worker (text, sizeof text, fields[i], odd[_i]);
      memset (&err, 0, sizeof err);
      ck_assert_msg (!platform_worker_decode ("servers/i-2", text,
                                              strlen (text), &w, &err),
                     "accepted %s as %s", odd[_i], fields[i]);
      ck_assert_msg (strstr (err.message, fields[i]) != NULL,
                     "the reason \"%s\" doesn't name %s", err.message,
                     fields[i]);
    }
  print_worker (text, sizeof text, "cpu", "-16000");
  ck_assert (
      !platform_worker_decode ("servers/i-2", text, strlen (text), &w, &err));
  print_worker (text, sizeof text, "cpu", "null");
  ck_assert (
      !platform_worker_decode ("servers/i-2", text, strlen (text), &w, &err));
  print_worker (text, sizeof text, "address", "\"10.0.0.9:99999\"");
  ck_assert (
      !platform_worker_decode ("servers/i-2", text, strlen (text), &w, &err));
  /* A number with a fraction is one.  */
  print_worker (text, sizeof text, "cpu", "16000.0");
  ck_assert (
      platform_worker_decode ("servers/i-2", text, strlen (text), &w, &err));
  ck_assert_int_eq (w.info.cores_milli, 16000);
}
END_TEST

static uint64_t
digest (const char *text)
{
  return platform_worker_digest (text, strlen (text));
}

/* Guards against registrations that are decoded again at every heartbeat, and
   against a change that is taken for a heartbeat.  */
START_TEST (test_worker_digests)
{
  const char *base = "{\"state\":\"ready\",\"slots\":8,\"clockMs\":4821,"
                     "\"sequence\":4}";
  ck_assert (digest (base)
             == digest ("{\"state\":\"ready\",\"slots\":8,\"clockMs\":99,"
                        "\"sequence\":50012}"));
  ck_assert (digest (base)
             != digest ("{\"state\":\"draining\",\"slots\":8,"
                        "\"clockMs\":4821,\"sequence\":4}"));
  ck_assert (digest (base)
             != digest ("{\"state\":\"ready\",\"slots\":9,"
                        "\"clockMs\":4821,\"sequence\":4}"));
  ck_assert (digest (base)
             != digest ("{\"state\":\"ready\",\"slots\":8,"
                        "\"clockMs\":4821,\"sequence\":4,\"born\":7}"));
  ck_assert (digest ("{\"sequence\":") == digest ("{\"sequence\":12"));
  ck_assert (digest ("") != digest ("{"));
}
END_TEST

/* Guards against a request that is routed to the queue of a shorter prefix or
   of another host.  */
START_TEST (test_routes)
{
  static const char text[]
      = "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"a.example\","
        "\"prefix\":\"/x/\",\"service\":\"desk\",\"priority\":2,"
        "\"maxAttempts\":4,\"slackFactor\":1.5,\"targetRuntimeMs\":250},"
        "{\"name\":\"r2\",\"host\":\"a.example\",\"prefix\":\"/x/y/\","
        "\"service\":\"desk\"}],\"limits\":{\"maxBodyBytes\":100}}";
  struct rr_error err = { 0 };
  struct rr_queues *q = platform_config_decode (text, strlen (text), &err);
  ck_assert_ptr_nonnull (q);
  ck_assert_int_eq (q->version, 7);
  ck_assert_int_eq (q->body_max_bytes, 100);
  const struct rr_route *r = rr_queues_find (q, "A.example:80", "/x/12");
  ck_assert_ptr_nonnull (r);
  ck_assert_str_eq (r->policy.queue, "r1");
  ck_assert_int_eq (r->policy.attempts_max, 4);
  ck_assert (r->policy.slack_factor > 1.4 && r->policy.slack_factor < 1.6);
  ck_assert_str_eq (rr_queues_find (q, "a.example", "/x/y/1")->policy.queue,
                    "r2");
  ck_assert_ptr_null (rr_queues_find (q, "b.example", "/x/1"));
  ck_assert_ptr_null (rr_queues_find (q, "a.example", "/z/1"));
  rr_queues_free (q);
  ck_assert_ptr_null (platform_config_decode ("{}", 2, &err));
}
END_TEST

/* Guards against a permit service whose times are not known, which decide how
   long an answer is waited for and for how long permits are used.  */
START_TEST (test_permit_times)
{
  static const char text[]
      = "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"a.example\","
        "\"prefix\":\"/x/\",\"service\":\"desk\",\"advice\":{\"decisionMs\":"
        "90,\"perWorkerMs\":7,\"validMs\":2500}},{\"name\":\"r2\",\"host\":"
        "\"a.example\",\"prefix\":\"/y/\",\"service\":\"desk\",\"advice\":{"
        "\"decisionMs\":\"soon\"}},{\"name\":\"r3\",\"host\":\"a.example\","
        "\"prefix\":\"/z/\",\"service\":\"desk\"}]}";
  struct rr_error err = { 0 };
  struct rr_queues *q = platform_config_decode (text, strlen (text), &err);
  ck_assert_ptr_nonnull (q);
  ck_assert (q->routes[0].policy.needs_permits);
  ck_assert_int_eq (q->routes[0].policy.permit_times.decision_ms, 90);
  ck_assert_int_eq (q->routes[0].policy.permit_times.per_worker_ms, 7);
  ck_assert_int_eq (q->routes[0].policy.permit_times.valid_ms, 2500);
  ck_assert (q->routes[1].policy.needs_permits);
  ck_assert_int_eq (q->routes[1].policy.permit_times.valid_ms, 0);
  ck_assert (!q->routes[2].policy.needs_permits);
  rr_queues_free (q);
}
END_TEST

/* Guards against invalid settings that are accepted, and against unknown or
   missing optional settings that prevent a daemon from starting.  */
START_TEST (test_settings)
{
  static const char good[]
      = "// comment\n{\"name\":\"e1\",\"zone\":\"z1\",\"zones\":[\"z1\"],"
        "\"front\":\"127.0.0.1:8001\",\"ready\":\"127.0.0.1:8002\","
        "\"store\":\"127.0.0.1:8003\",\"lease_max_ms\":10000,"
        "\"shutdown_s\":6,\"later\":[1]}";
  struct entry_settings s;
  struct rr_error err = { 0 };
  ck_assert (entry_settings_parse (good, strlen (good), &s, &err));
  ck_assert_int_eq (s.shutdown_ms, 6000);
  ck_assert_int_eq (s.retention_ms, 120000);
  ck_assert_int_eq (s.metrics.port, 0);
  static const char *const bad[] = {
    "{",
    "{\"name\":\"\"}",
    "{\"name\":\"e\",\"zone\":\"z\",\"front\":\"here\"}",
    "{\"name\":\"e\",\"zone\":\"z\",\"front\":\"127.0.0.1:1\","
    "\"ready\":\"127.0.0.1:2\"}",
  };
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      struct rr_error e = { 0 };
      ck_assert (!entry_settings_parse (bad[i], strlen (bad[i]), &s, &e));
      ck_assert_int_ne (e.message[0], '\0');
    }
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("documents");
  TCase *tc = tcase_create ("platform");
  tcase_add_test (tc, test_job_fields);
  tcase_add_test (tc, test_bad_jobs);
  tcase_add_loop_test (tc, test_odd_job_numbers, 0, 10);
  tcase_add_test (tc, test_large_job_numbers);
  tcase_add_test (tc, test_worker_entries);
  tcase_add_loop_test (tc, test_odd_worker_numbers, 0, 10);
  tcase_add_test (tc, test_worker_digests);
  tcase_add_test (tc, test_routes);
  tcase_add_test (tc, test_permit_times);
  tcase_add_test (tc, test_settings);
  suite_add_tcase (s, tc);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? 0 : 1;
}
