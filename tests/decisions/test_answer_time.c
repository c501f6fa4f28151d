#include "rosemaryrail/answer_time.h"
#include "suite.h"

/* Guards against calls that are given up before their answers come, over and
   over: once an answer has taken 1.4 s, later calls are given more than
   that.  */
START_TEST (slow_answers_are_waited_for)
{
  struct rr_answer_time t = { 0 };
  ck_assert_uint_eq (rr_answer_timeout_ms (&t, 600, 4000), 600);
  rr_answer_time_add (&t, 1400);
  ck_assert_uint_eq (rr_answer_timeout_ms (&t, 600, 4000), 2800);
  rr_answer_time_add (&t, 9000);
  ck_assert_uint_eq (rr_answer_timeout_ms (&t, 600, 4000), 4000);
}
END_TEST

/* Guards against a server that is lost unnoticed for long because it was slow
   before.  */
START_TEST (quick_answers_are_expected_again)
{
  struct rr_answer_time t = { 0 };
  rr_answer_time_add (&t, 2000);
  for (int i = 0; i < 8; i++)
    rr_answer_time_add (&t, 10);
  ck_assert_uint_eq (rr_answer_timeout_ms (&t, 600, 4000), 600);
}
END_TEST

SUITE ("answer_time", slow_answers_are_waited_for,
       quick_answers_are_expected_again)
