#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "rosemaryrail/config_order.h"
#include "rosemaryrail/retry.h"

static struct rr_retry_decision
decide (bool repeatable, enum rr_call_state state,
        bool earlier_call_may_have_run)
{
  const struct rr_retry_input in = {
    .repeatable = repeatable,
    .state = state,
    .earlier_call_may_have_run = earlier_call_may_have_run,
    .remaining_ms = 100,
    .needed_ms = 10,
    .budget = true,
  };
  return rr_retry_decide (&in);
}

/* Guards against a second run of a non-repeatable request, and against the
   outcome "not run" of a request that may have run.  The table holds every
   combination.  */
START_TEST (decision_table)
{
  static const struct
  {
    bool repeatable;
    enum rr_call_state state;
    bool earlier_call_may_have_run;
    bool again;
    enum rr_outcome outcome;
  } rows[] = {
    { true, RR_CALL_NOT_SENT, false, true, RR_OUTCOME_NOT_RUN },
    { true, RR_CALL_REFUSED, false, true, RR_OUTCOME_NOT_RUN },
    { true, RR_CALL_UNKNOWN, false, true, RR_OUTCOME_UNKNOWN },
    { true, RR_CALL_ANSWERED, false, false, RR_OUTCOME_ANSWERED },
    { true, RR_CALL_NOT_SENT, true, true, RR_OUTCOME_UNKNOWN },
    { true, RR_CALL_REFUSED, true, true, RR_OUTCOME_UNKNOWN },
    { true, RR_CALL_UNKNOWN, true, true, RR_OUTCOME_UNKNOWN },
    { true, RR_CALL_ANSWERED, true, false, RR_OUTCOME_ANSWERED },
    { false, RR_CALL_NOT_SENT, false, true, RR_OUTCOME_NOT_RUN },
    { false, RR_CALL_REFUSED, false, true, RR_OUTCOME_NOT_RUN },
    { false, RR_CALL_UNKNOWN, false, false, RR_OUTCOME_UNKNOWN },
    { false, RR_CALL_ANSWERED, false, false, RR_OUTCOME_ANSWERED },
    { false, RR_CALL_NOT_SENT, true, false, RR_OUTCOME_UNKNOWN },
    { false, RR_CALL_REFUSED, true, false, RR_OUTCOME_UNKNOWN },
    { false, RR_CALL_UNKNOWN, true, false, RR_OUTCOME_UNKNOWN },
    { false, RR_CALL_ANSWERED, true, false, RR_OUTCOME_ANSWERED },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct rr_retry_decision d = decide (rows[i].repeatable, rows[i].state,
                                           rows[i].earlier_call_may_have_run);
      ck_assert_msg (d.should_retry == rows[i].again
                         && d.outcome == rows[i].outcome,
                     "row %zu", i);
    }
}
END_TEST

/* Guards against calls that can't meet the deadline, and against retries
   without a token of the budget.  */
START_TEST (deadline_and_budget_stop_retries)
{
  struct rr_retry_input in = { .repeatable = true,
                               .state = RR_CALL_REFUSED,
                               .remaining_ms = 10,
                               .needed_ms = 10,
                               .budget = true };
  ck_assert (rr_retry_decide (&in).should_retry);
  in.remaining_ms = 9;
  ck_assert (!rr_retry_decide (&in).should_retry);
  in.remaining_ms = 0;
  in.needed_ms = 0;
  ck_assert (!rr_retry_decide (&in).should_retry);
  in.remaining_ms = 10;
  in.budget = false;
  ck_assert (!rr_retry_decide (&in).should_retry);
  ck_assert_int_eq (rr_retry_decide (&in).outcome, RR_OUTCOME_NOT_RUN);
}
END_TEST

/* Guards against a retry storm: while every call fails, the number of retries
   stays a fixed fraction of the first attempts.  */
START_TEST (budget_bounds_retries)
{
  struct rr_retry_budget b;
  rr_retry_budget_init (&b, 0.1, 10);
  int retries = 0;
  for (int i = 0; i < 10000; i++)
    {
      rr_retry_budget_refill (&b);
      for (int k = 0; k < 5; k++)
        {
          bool available = rr_retry_budget_available (&b);
          bool taken = rr_retry_budget_take (&b);
          ck_assert (taken == available);
          retries += taken;
        }
    }
  ck_assert_int_ge (retries, 1000);
  ck_assert_int_le (retries, 1010);
}
END_TEST

/* Guards against synchronised retries, and against delays above the maximum or
   beyond the deadline.  */
START_TEST (backoff_is_jittered_and_bounded)
{
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (rng, 7);
  const struct rr_backoff b = { .base_ms = 10, .max_ms = 100 };
  static const int64_t full[] = { 10, 20, 40, 80, 100, 100 };
  for (unsigned retry = 1; retry <= 6; retry++)
    {
      int64_t low = INT64_MAX;
      int64_t high = 0;
      for (int i = 0; i < 1000; i++)
        {
          int64_t d = rr_backoff_delay (&b, rng, retry, 100000, 0);
          low = d < low ? d : low;
          high = d > high ? d : high;
        }
      ck_assert_int_eq (low, full[retry - 1] / 2);
      ck_assert_int_eq (high, full[retry - 1]);
    }
  ck_assert_int_eq (rr_backoff_delay (&b, rng, 5, 54, 5), -1);
  ck_assert_int_ge (rr_backoff_delay (&b, rng, 5, 105, 5), 50);
  ck_assert_int_le (rr_backoff_delay (&b, rng, 4000000000U, 100000, 0), 100);
  gsl_rng_free (rng);
}
END_TEST

static struct rr_config_decision
order (uint64_t accepted, const char *digest, uint64_t offered,
       const char *other, enum rr_config_source source)
{
  struct rr_config_id a = { .generation = accepted };
  struct rr_config_id o = { .generation = offered };
  snprintf (a.digest, sizeof a.digest, "%s", digest);
  snprintf (o.digest, sizeof o.digest, "%s", other);
  return rr_config_evaluate_offer (&a, &o, source);
}

/* Guards against a configuration that reverts to an older generation, diverges
   between daemons unnoticed, or is lost because the store was restored from an
   older state.  */
START_TEST (configuration_order)
{
  static const struct
  {
    uint64_t accepted;
    uint64_t offered;
    const char *digest;
    enum rr_config_source source;
    enum rr_config_verdict verdict;
    bool write_back;
  } rows[] = {
    { 0, 0, "", RR_CONFIG_FROM_STORE, RR_CONFIG_IGNORE, false },
    { 0, 1, "b", RR_CONFIG_FROM_PEER, RR_CONFIG_ADOPT, false },
    { 5, 6, "b", RR_CONFIG_FROM_STORE, RR_CONFIG_ADOPT, false },
    { 5, 9, "a", RR_CONFIG_FROM_PEER, RR_CONFIG_ADOPT, false },
    { 5, 5, "a", RR_CONFIG_FROM_STORE, RR_CONFIG_CURRENT, false },
    { 5, 5, "b", RR_CONFIG_FROM_STORE, RR_CONFIG_FORK, false },
    { 5, 5, "b", RR_CONFIG_FROM_PEER, RR_CONFIG_FORK, false },
    { 5, 4, "b", RR_CONFIG_FROM_STORE, RR_CONFIG_IGNORE, true },
    { 5, 0, "", RR_CONFIG_FROM_STORE, RR_CONFIG_IGNORE, true },
    { 5, 4, "b", RR_CONFIG_FROM_PEER, RR_CONFIG_IGNORE, false },
    { 5, 0, "", RR_CONFIG_FROM_PEER, RR_CONFIG_IGNORE, false },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct rr_config_decision d
          = order (rows[i].accepted, rows[i].accepted > 0 ? "a" : "",
                   rows[i].offered, rows[i].digest, rows[i].source);
      ck_assert_msg (d.verdict == rows[i].verdict
                         && d.write_back == rows[i].write_back,
                     "row %zu: %s", i, rr_config_verdict_name (d.verdict));
    }
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("retry");
  TCase *t = tcase_create ("core");
  tcase_set_timeout (t, 60);
  tcase_add_test (t, decision_table);
  tcase_add_test (t, deadline_and_budget_stop_retries);
  tcase_add_test (t, budget_bounds_retries);
  tcase_add_test (t, backoff_is_jittered_and_bounded);
  tcase_add_test (t, configuration_order);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
