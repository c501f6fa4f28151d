#include <string.h>

#include "unit.h"

static struct rr_time
at (int64_t ms)
{
  return rr_time_from_ms (ms);
}

static void
apply (struct rr_job_store *s, struct rr_record r, int64_t now)
{
  struct rr_error err = { 0 };
  rr_job_store_mark_pending (s, &r, true, at (now));
  rr_job_store_mark_pending (s, &r, false, at (now));
  ck_assert_msg (rr_job_store_apply (s, &r, at (now), &err), "%s",
                 err.message);
}

static void
apply_fails (struct rr_job_store *s, struct rr_record r,
             enum rr_error_code code)
{
  struct rr_error err = { 0 };
  ck_assert (!rr_job_store_apply (s, &r, at (0), &err));
  ck_assert_int_eq (err.code, code);
}

/* Returns a store with the job "thesis" of one task, placed at 1000 on the
   owner's clock, when the worker's clock is 500000.  */
static struct rr_job_store *
placed_store (struct rr_job **job)
{
  struct rr_job_store *s = rr_job_store_new ();
  apply (s, unit_job ("thesis", 1), 0);
  *job = rr_job_store_find (s, "thesis");
  ck_assert_int_eq (rr_task_next_action (*job, 0, NULL, at (0)).kind,
                    RR_TASK_PLACE);
  apply (s, unit_placed ("thesis", 0, 1), 1000);
  return s;
}

/* Guards against a start that is sent twice, outside its window, by an owner
   that did not place the attempt, or after the end of the attempt was
   queued.  */
START_TEST (start_is_sent_once_within_its_window)
{
  struct rr_job *job;
  struct rr_job_store *s = placed_store (&job);
  struct rr_worker_view up = { .reachable = true };
  struct rr_task_action a = rr_task_next_action (job, 0, &up, at (1100));
  ck_assert_int_eq (a.kind, RR_TASK_SEND_START);
  ck_assert_uint_eq (a.attempt, 1);
  a = rr_task_next_action (job, 0, &up, at (6000));
  ck_assert_int_eq (a.kind, RR_TASK_RECORD_END);
  ck_assert_int_eq (a.proof, RR_PROOF_NOT_SENT);
  ck_assert (!rr_attempt_start_sent (job, 0, 2));
  struct rr_record end = unit_ended ("thesis", 0, 1, RR_RESULT_NEVER_STARTED);
  rr_job_store_mark_pending (s, &end, true, at (1100));
  ck_assert (!rr_attempt_start_sent (job, 0, 1));
  rr_job_store_mark_pending (s, &end, false, at (1100));
  ck_assert (rr_attempt_start_sent (job, 0, 1));
  ck_assert (!rr_attempt_start_sent (job, 0, 1));
  ck_assert_int_eq (rr_task_next_action (job, 0, &up, at (1200)).kind,
                    RR_TASK_WAIT);
  ck_assert_int_eq (rr_task_next_action (job, 0, &up, at (6000)).kind,
                    RR_TASK_SEAL);
  rr_job_store_start_ownership (s, at (9000));
  ck_assert (!rr_attempt_start_sent (job, 0, 1));
  ck_assert_int_eq (rr_task_next_action (job, 0, &up, at (9000)).kind,
                    RR_TASK_SEAL);
  rr_job_store_free (s);
}
END_TEST

/* Guards against treating a start without a response as refused: only an
   explicit refusal ends the attempt.  */
START_TEST (unanswered_start_is_sealed)
{
  struct rr_job *job;
  struct rr_job_store *s = placed_store (&job);
  struct rr_worker_view up = { .reachable = true };
  ck_assert (!rr_attempt_start_response (job, 0, 1, RR_START_REFUSED));
  ck_assert (rr_attempt_start_sent (job, 0, 1));
  ck_assert (rr_attempt_start_response (job, 0, 1, RR_START_NO_RESPONSE));
  ck_assert_int_eq (rr_task_next_action (job, 0, &up, at (1200)).kind,
                    RR_TASK_SEAL);
  ck_assert (rr_attempt_start_response (job, 0, 1, RR_START_REFUSED));
  struct rr_task_action a = rr_task_next_action (job, 0, &up, at (1200));
  ck_assert_int_eq (a.kind, RR_TASK_RECORD_END);
  ck_assert_int_eq (a.proof, RR_PROOF_REFUSED);
  rr_job_store_free (s);
}
END_TEST

/* Guards against a new attempt before the old one has provably ended.  If the
   worker is unreachable, the owner waits until the start is void, then for the
   proof that the lease has expired or for the end of the grant, all counted
   from its takeover.  */
START_TEST (unreachable_worker_needs_proof)
{
  struct rr_job *job;
  struct rr_job_store *s = placed_store (&job);
  rr_job_store_start_ownership (s, at (20000));
  struct rr_worker_view down = { .lease_expired = true };
  struct rr_task_action a = rr_task_next_action (job, 0, &down, at (25999));
  ck_assert_int_eq (a.kind, RR_TASK_WAIT);
  ck_assert_int_eq (a.until.ms, 26000);
  a = rr_task_next_action (job, 0, &down, at (26000));
  ck_assert_int_eq (a.kind, RR_TASK_RECORD_END);
  ck_assert_int_eq (a.proof, RR_PROOF_LEASE_EXPIRED);
  down.lease_expired = false;
  a = rr_task_next_action (job, 0, &down, at (26000));
  ck_assert_int_eq (a.kind, RR_TASK_PROVE_LEASE);
  ck_assert_int_eq (a.until.ms, 20000 + 100000 + 100 + RR_CLOCK_MARGIN_MS);
  a = rr_task_next_action (job, 0, &down, at (a.until.ms - 1));
  ck_assert_int_eq (a.kind, RR_TASK_PROVE_LEASE);
  a = rr_task_next_action (job, 0, &down, at (a.until.ms));
  ck_assert_int_eq (a.kind, RR_TASK_RECORD_END);
  ck_assert_int_eq (a.proof, RR_PROOF_GRANT_EXPIRED);
  down.gone = true;
  a = rr_task_next_action (job, 0, &down, at (20001));
  ck_assert_int_eq (a.proof, RR_PROOF_INCARNATION_GONE);
  rr_job_store_free (s);
}
END_TEST

/* Guards against a grant that expires while its task runs, and against a wait
   for its end that ignores the last extension.  */
START_TEST (grant_is_extended_in_time)
{
  struct rr_job *job;
  struct rr_job_store *s = placed_store (&job);
  apply (s, unit_running ("thesis", 0, 1), 1200);
  struct rr_worker_view up
      = { .reachable = true, .clock_known = true, .clock_ms = 550000 };
  ck_assert_int_eq (rr_task_next_action (job, 0, &up, at (2000)).kind,
                    RR_TASK_NO_ACTION);
  up.clock_ms = 550001;
  struct rr_task_action a = rr_task_next_action (job, 0, &up, at (51001));
  ck_assert_int_eq (a.kind, RR_TASK_EXTEND_GRANT);
  ck_assert_int_eq (a.granted_until_ms, 650001);
  struct rr_record r = unit_extended ("thesis", 0, 1, a.granted_until_ms);
  rr_job_store_mark_pending (s, &r, true, at (51001));
  ck_assert_int_eq (rr_task_next_action (job, 0, &up, at (51002)).kind,
                    RR_TASK_NO_ACTION);
  rr_job_store_mark_pending (s, &r, false, at (51100));
  apply (s, r, 51100);
  apply_fails (s, unit_extended ("thesis", 0, 1, 600000), RR_ERROR_CONFLICT);
  struct rr_worker_view down = { 0 };
  ck_assert_int_eq (rr_task_next_action (job, 0, &down, at (150000)).kind,
                    RR_TASK_PROVE_LEASE);
  ck_assert_int_eq (rr_task_next_action (job, 0, &down, at (152200)).proof,
                    RR_PROOF_GRANT_EXPIRED);
  rr_job_store_free (s);
}
END_TEST

/* Guards against applying late and repeated reports, and against placing an
   attempt out of order or while another one is live.  */
START_TEST (late_reports_are_rejected)
{
  struct rr_job *job;
  struct rr_job_store *s = placed_store (&job);
  apply_fails (s, unit_placed ("thesis", 0, 2), RR_ERROR_CONFLICT);
  apply_fails (s, unit_running ("thesis", 0, 2), RR_ERROR_CONFLICT);
  apply_fails (s, unit_running ("thesis", 1, 1), RR_ERROR_NOT_FOUND);
  apply (s, unit_running ("thesis", 0, 1), 1200);
  apply_fails (s, unit_running ("thesis", 0, 1), RR_ERROR_CONFLICT);
  apply (s, unit_ended ("thesis", 0, 1, RR_RESULT_EVICTED), 2000);
  ck_assert_str_eq (job->tasks[0].checkpoint, "page-1");
  apply_fails (s, unit_ended ("thesis", 0, 1, RR_RESULT_SUCCEEDED),
               RR_ERROR_CONFLICT);
  apply_fails (s, unit_placed ("thesis", 0, 3), RR_ERROR_CONFLICT);
  apply (s, unit_placed ("thesis", 0, 2), 3000);
  apply_fails (s, unit_ended ("thesis", 0, 1, RR_RESULT_SUCCEEDED),
               RR_ERROR_CONFLICT);
  apply_fails (s, unit_extended ("thesis", 0, 1, 900000), RR_ERROR_CONFLICT);
  ck_assert_uint_eq (job->tasks[0].attempt.number, 2);
  ck_assert_uint_eq (job->tasks[0].evictions, 1);
  apply (s, unit_ended ("thesis", 0, 2, RR_RESULT_LOST), 3000);
  ck_assert_str_eq (job->tasks[0].checkpoint, "page-1");
  apply (s, unit_placed ("thesis", 0, 3), 4000);
  apply (s, unit_ended ("thesis", 0, 3, RR_RESULT_SUCCEEDED), 4500);
  ck_assert_int_eq (job->state, RR_JOB_SUCCEEDED);
  apply_fails (s, unit_placed ("thesis", 0, 4), RR_ERROR_CONFLICT);
  rr_job_store_free (s);
}
END_TEST

/* Guards against a task that is restarted forever although it fails, and
   against a service that counts as done when its process exits.  */
START_TEST (failures_end_batch_and_restart_services)
{
  struct rr_job_store *s = rr_job_store_new ();
  apply (s, unit_job ("thesis", 1), 0);
  const struct rr_job *job = rr_job_store_find (s, "thesis");
  for (uint32_t i = 1; i <= 2; i++)
    {
      ck_assert_int_eq (job->state, RR_JOB_OPEN);
      apply (s, unit_placed ("thesis", 0, i), 1000);
      apply (s, unit_ended ("thesis", 0, i, RR_RESULT_FAILED), 1500);
    }
  ck_assert_int_eq (job->state, RR_JOB_FAILED);
  struct rr_record r = unit_job ("watch", 1);
  r.u.job_submitted.kind = RR_JOB_SERVICE;
  apply (s, r, 0);
  job = rr_job_store_find (s, "watch");
  apply (s, unit_placed ("watch", 0, 1), 1000);
  apply (s, unit_ended ("watch", 0, 1, RR_RESULT_SUCCEEDED), 1500);
  ck_assert_int_eq (job->state, RR_JOB_OPEN);
  ck_assert_int_eq (rr_task_next_action (job, 0, NULL, at (2000)).kind,
                    RR_TASK_PLACE);
  rr_job_store_free (s);
}
END_TEST

int
main (void)
{
  const TTest *const tests[] = { start_is_sent_once_within_its_window,
                                 unanswered_start_is_sealed,
                                 unreachable_worker_needs_proof,
                                 grant_is_extended_in_time,
                                 late_reports_are_rejected,
                                 failures_end_batch_and_restart_services };
  return unit_run ("attempt", tests, sizeof tests / sizeof tests[0]);
}
