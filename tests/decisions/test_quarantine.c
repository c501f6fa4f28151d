#include <string.h>

#include "rosemaryrail/quarantine.h"
#include "suite.h"

static struct rr_policy policy;
static struct rr_quarantine *q;
static struct rr_time now;
static uint64_t next_task;

static void
begin (uint64_t workers, int zones)
{
  rr_policy_init (&policy);
  q = rr_quarantine_new (&policy);
  now = rr_time_from_ms (1000000);
  next_task = 1;
  for (uint64_t w = 1; w <= workers; w++)
    rr_quarantine_worker_add (q, w, (int)(w % (uint64_t)zones));
}

/* Starts a task of JOB on WORKER if allowed, which ends as told; returns
   whether it was started.  */
static bool
run (uint64_t worker, uint64_t job, bool success)
{
  if (rr_quarantine_check (q, worker, now) == RR_QUARANTINE_WAIT)
    return false;
  uint64_t task = next_task++;
  rr_quarantine_attempt_started (q, worker, task, job, now);
  now.ms += 10;
  if (success)
    rr_quarantine_attempt_succeeded (q, worker, task, job, now);
  else
    rr_quarantine_attempt_failed (q, worker, task, job, now);
  return true;
}

/* Guards against a worker that fails everything and so always looks free: it
   gets 5 starts at most, probes included, while its peers run the same
   jobs.  */
START_TEST (failing_worker_gets_five_starts)
{
  begin (20, 2);
  int starts = 0;
  for (int round = 0; round < 600; round++)
    {
      now.ms += 1000;
      for (uint64_t w = 1; w <= 20; w++)
        {
          bool started = run (w, 100 + w % 3, w != 7);
          starts += w == 7 && started;
        }
    }
  ck_assert_int_le (starts, 5);
  ck_assert_int_ge (starts, 1);
  ck_assert_int_eq (rr_quarantine_state (q, 7, now), RR_QUARANTINE_EXHAUSTED);
  for (uint64_t w = 1; w <= 20; w++)
    if (w != 7)
      ck_assert_int_eq (rr_quarantine_state (q, w, now), RR_QUARANTINE_CLEAR);
  rr_quarantine_free (q);
}
END_TEST

/* Guards against more than 5 starts before the first failure is reported.  */
START_TEST (simultaneous_starts_are_bounded)
{
  begin (20, 2);
  for (uint64_t w = 1; w <= 20; w++)
    run (w, 100, true);
  now.ms += 1000;
  int starts = 0;
  for (int i = 0; i < 8; i++)
    if (rr_quarantine_check (q, 7, now) != RR_QUARANTINE_WAIT)
      rr_quarantine_attempt_started (q, 7, 1000 + (uint64_t)starts++, 100,
                                     now);
  ck_assert_int_le (starts, 5);
  /* They fail late, after they were taken for good.  */
  now.ms += 3 * policy.quarantine_confirm_ms;
  for (int i = 0; i < starts; i++)
    rr_quarantine_attempt_failed (q, 7, 1000 + (uint64_t)i, 100, now);
  now.ms += 1000;
  ck_assert_int_eq (rr_quarantine_check (q, 7, now), RR_QUARANTINE_WAIT);
  rr_quarantine_free (q);
}
END_TEST

/* Guards against a bad job that spreads blame: it fails on every worker, and
   no worker that runs other jobs may be held for it.  */
START_TEST (bad_job_condemns_no_worker)
{
  begin (20, 2);
  for (int round = 0; round < 50; round++)
    {
      now.ms += 1000;
      for (uint64_t w = 1; w <= 20; w++)
        {
          run (w, 666, false);
          run (w, 100 + w, true);
        }
    }
  struct rr_quarantine_counts counts;
  rr_quarantine_count (q, now, &counts);
  ck_assert_uint_eq (counts.out, 0);
  ck_assert_uint_eq (counts.capped, 0);
  ck_assert (rr_quarantine_job_suspect (q, 666, now));
  ck_assert (!rr_quarantine_job_succeeded_recently (q, 666, now));
  rr_quarantine_free (q);
}
END_TEST

/* Guards against the same from a cold start, when no worker has yet succeeded
   at anything: nobody may be held once the job has failed on enough
   workers.  */
START_TEST (bad_job_condemns_nobody_from_cold_start)
{
  begin (20, 2);
  for (int round = 0; round < 20; round++)
    for (uint64_t w = 1; w <= 20; w++)
      run (w, 666, false);
  struct rr_quarantine_counts counts;
  rr_quarantine_count (q, now, &counts);
  ck_assert_uint_eq (counts.out, 0);
  rr_quarantine_free (q);
}
END_TEST

/* Guards against a bad worker that condemns good jobs: its failures must not
   make a job suspect that succeeds elsewhere or was tried only there.  */
START_TEST (bad_worker_condemns_no_job)
{
  begin (20, 2);
  for (uint64_t job = 100; job < 120; job++)
    {
      run (3, job, false);
      run (4, job, false);
      if (job % 2 == 0)
        run (5, job, true);
    }
  for (uint64_t job = 100; job < 120; job++)
    ck_assert (!rr_quarantine_job_suspect (q, job, now));
  rr_quarantine_free (q);
}
END_TEST

/* Guards against a broken input within a good job: the task fails everywhere
   while its siblings succeed, which must not be held against workers.  */
START_TEST (bad_task_condemns_no_worker)
{
  begin (20, 2);
  for (int round = 0; round < 3; round++)
    for (uint64_t w = 1; w <= 20; w++)
      {
        run (w, 100, true);
        rr_quarantine_attempt_started (q, w, 9999, 100, now);
        now.ms += 10;
        rr_quarantine_attempt_failed (q, w, 9999, 100, now);
      }
  struct rr_quarantine_counts counts;
  rr_quarantine_count (q, now, &counts);
  ck_assert_uint_eq (counts.out, 0);
  rr_quarantine_free (q);
}
END_TEST

/* Guards against a common cause that would empty a zone: every worker of zone
   0 fails what succeeds in zone 1, and still only the capped share goes out;
   the others get paced starts.  */
START_TEST (common_cause_empties_no_zone)
{
  begin (40, 2);
  int starts = 0;
  for (int round = 0; round < 300; round++)
    {
      now.ms += 1000;
      for (uint64_t w = 1; w <= 40; w++)
        {
          bool started = run (w, 100 + w % 5, w % 2 == 1);
          starts += w % 2 == 0 && started;
        }
    }
  struct rr_quarantine_counts counts;
  rr_quarantine_count (q, now, &counts);
  ck_assert_uint_gt (counts.out, 0);
  ck_assert_uint_le (counts.out, 5); /* 0.25 of the 20 workers of a zone */
  ck_assert_uint_ge (counts.capped, 15);
  /* 5 starts for each, then one per probe delay for those capped.  */
  ck_assert_int_le (starts, 20 * 5 + 20 * 6);
  /* When the cause is gone, the workers come back.  */
  for (int round = 0; round < 2000; round++)
    {
      now.ms += 1000;
      for (uint64_t w = 1; w <= 40; w++)
        run (w, 100 + w % 5, true);
    }
  rr_quarantine_count (q, now, &counts);
  ck_assert_uint_eq (counts.capped, 0);
  ck_assert_uint_le (counts.out, 5);
  rr_quarantine_free (q);
}
END_TEST

/* Guards against a cause that hits everything: when all jobs fail everywhere,
   no worker stands out and none is taken out.  */
START_TEST (failure_of_everything_quarantines_nobody)
{
  begin (20, 2);
  for (uint64_t w = 1; w <= 20; w++)
    for (uint64_t job = 100; job < 105; job++)
      run (w, job, true);
  now.ms += policy.quarantine_window_ms + 1;
  for (int round = 0; round < 60; round++)
    {
      now.ms += 1000;
      for (uint64_t w = 1; w <= 20; w++)
        run (w, 100 + (w + (uint64_t)round) % 5, false);
    }
  struct rr_quarantine_counts counts;
  rr_quarantine_count (q, now, &counts);
  ck_assert_uint_le (counts.out, 3); /* 0.15 of all workers */
  rr_quarantine_free (q);
}
END_TEST

/* Guards against a worker that never returns after a repair, and against its
   return after one lucky probe.  */
START_TEST (probes_bring_a_worker_back)
{
  begin (20, 2);
  for (uint64_t w = 1; w <= 20; w++)
    for (int i = 0; i < 3; i++)
      run (w, 100, w != 7);
  ck_assert_int_eq (rr_quarantine_state (q, 7, now), RR_QUARANTINE_ACTIVE);
  ck_assert_int_eq (rr_quarantine_check (q, 7, now), RR_QUARANTINE_WAIT);
  now.ms += policy.quarantine_probe_delay_ms;
  ck_assert_int_eq (rr_quarantine_check (q, 7, now), RR_QUARANTINE_PROBE);
  run (7, 100, true);
  ck_assert_int_eq (rr_quarantine_state (q, 7, now), RR_QUARANTINE_ACTIVE);
  now.ms += policy.quarantine_probe_delay_ms;
  ck_assert_int_eq (rr_quarantine_check (q, 7, now), RR_QUARANTINE_PROBE);
  run (7, 100, true);
  ck_assert_int_eq (rr_quarantine_state (q, 7, now), RR_QUARANTINE_CLEAR);
  rr_quarantine_free (q);
}
END_TEST

/* Guards against a failing worker that gets more starts because some of its
   tasks fail everywhere and others are moved away before they fail.  */
START_TEST (excuses_do_not_add_starts)
{
  begin (20, 2);
  for (uint64_t w = 1; w <= 20; w++)
    for (uint64_t job = 100; job < 110; job++)
      if (w != 7)
        {
          run (w, job, true);
          run (w, 666, false);
        }
  int starts = 0;
  for (uint64_t i = 0; i < 200; i++)
    {
      now.ms += 1000;
      if (rr_quarantine_check (q, 7, now) == RR_QUARANTINE_WAIT)
        continue;
      starts++;
      if (i % 3 == 1)
        {
          rr_quarantine_attempt_started (q, 7, 5000 + i, 100, now);
          rr_quarantine_attempt_withdrawn (q, 7, 5000 + i);
        }
      else
        run (7, i % 3 == 0 ? 100 + i % 10 : 666, false);
    }
  ck_assert_int_le (starts, 5);
  rr_quarantine_free (q);
}
END_TEST

/* Guards against a wave of cancellations that holds back workers which never
   failed.  */
START_TEST (cancellations_hold_back_nobody)
{
  begin (20, 2);
  for (uint64_t i = 0; i < 100; i++)
    {
      ck_assert_int_eq (rr_quarantine_check (q, 7, now), RR_QUARANTINE_ALLOW);
      rr_quarantine_attempt_started (q, 7, i + 1, 100, now);
      rr_quarantine_attempt_withdrawn (q, 7, i + 1);
      now.ms += 10;
    }
  rr_quarantine_free (q);
}
END_TEST

SUITE ("quarantine", failing_worker_gets_five_starts,
       simultaneous_starts_are_bounded, bad_job_condemns_no_worker,
       bad_job_condemns_nobody_from_cold_start, bad_worker_condemns_no_job,
       bad_task_condemns_no_worker, common_cause_empties_no_zone,
       failure_of_everything_quarantines_nobody, excuses_do_not_add_starts,
       cancellations_hold_back_nobody, probes_bring_a_worker_back)
