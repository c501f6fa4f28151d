#include <math.h>
#include <string.h>

#include "rosemaryrail/policy.h"
#include "suite.h"

/* Guards against a default out of bounds, a duplicate name, and a field of the
   struct without an entry in the table.  */
START_TEST (table_is_consistent)
{
  size_t count;
  const struct rr_policy_parameter *p = rr_policy_parameters (&count);
  ck_assert_uint_eq (count * 8, sizeof (struct rr_policy));
  for (size_t i = 0; i < count; i++)
    {
      ck_assert (p[i].minimum <= p[i].fallback);
      ck_assert (p[i].fallback <= p[i].maximum);
      ck_assert (strchr (p[i].name, '.') != NULL);
      ck_assert_ptr_eq (rr_policy_parameter_find (p[i].name), &p[i]);
      for (size_t j = 0; j < i; j++)
        ck_assert_uint_ne (p[i].offset, p[j].offset);
    }
  struct rr_policy policy;
  struct rr_error err = { 0 };
  rr_policy_init (&policy);
  ck_assert (rr_policy_check (&policy, &err));
  for (size_t i = 0; i < count; i++)
    ck_assert_double_eq (rr_policy_get (&policy, &p[i]), p[i].fallback);
}
END_TEST

/* Guards against a value that takes effect although it is out of bounds, not
   an integer or not a number.  */
START_TEST (invalid_values_are_rejected)
{
  struct rr_policy policy;
  rr_policy_init (&policy);
  struct rr_policy before = policy;
  struct rr_error err = { 0 };
  ck_assert (!rr_policy_set (&policy, "relief.hot_ratio", 0.5, &err));
  ck_assert_str_eq (err.message, "relief.hot_ratio is 0.5 ratio, must be from "
                                 "1.01 to 10");
  rr_error_clear (&err);
  ck_assert (!rr_policy_set (&policy, "relief.hot_reports", 2.5, &err));
  ck_assert_str_eq (err.message,
                    "relief.hot_reports is 2.5, must be a whole number");
  rr_error_clear (&err);
  ck_assert (!rr_policy_set (&policy, "relief.hot_ratio", NAN, &err));
  rr_error_clear (&err);
  ck_assert (!rr_policy_set (&policy, "relief.heat", 1, &err));
  ck_assert_int_eq (err.code, RR_ERROR_NOT_FOUND);
  size_t count;
  const struct rr_policy_parameter *p = rr_policy_parameters (&count);
  for (size_t i = 0; i < count; i++)
    ck_assert_double_eq (rr_policy_get (&policy, &p[i]),
                         rr_policy_get (&before, &p[i]));
}
END_TEST

/* Guards against thresholds without hysteresis, and against limits that
   contradict each other.  */
START_TEST (contradictions_are_rejected)
{
  struct rr_policy policy;
  struct rr_error err = { 0 };
  rr_policy_init (&policy);
  policy.relief_cool_ratio = policy.relief_hot_ratio;
  ck_assert (!rr_policy_check (&policy, &err));
  rr_policy_init (&policy);
  policy.quarantine_starts_max = policy.quarantine_failures - 1;
  ck_assert (!rr_policy_check (&policy, &err));
  rr_policy_init (&policy);
  policy.queue_retry_ms = policy.queue_retry_max_ms + 1;
  ck_assert (!rr_policy_check (&policy, &err));
}
END_TEST

SUITE ("policy", table_is_consistent, invalid_values_are_rejected,
       contradictions_are_rejected)
