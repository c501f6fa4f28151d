#include <string.h>

#include "rosemaryrail/quarantine.h"
#include "suite.h"

static struct rr_policy policy;
static struct rr_quarantine *q;
static struct rr_time now;
static uint64_t next_task;

static void
setup (uint64_t workers, int zones)
{
  rr_policy_init (&policy);
  q = rr_quarantine_new (&policy);
  now = rr_time_from_ms (1000000);
  next_task = 1;
  for (uint64_t w = 1; w <= workers; w++)
    rr_quarantine_worker_add (q, w, (int)(w % (uint64_t)zones));
}

/* Starts a task of JOB on WORKER if allowed and ends it with SUCCESS.  Returns
   whether it was started.  */
static bool
run_task (uint64_t worker, uint64_t job, bool success)
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

/* A worker on which every task fails always has free capacity and would
   attract ever more tasks.  It gets at most 5 starts, probes included, while
   the other workers run the same jobs.  */
START_TEST (failing_worker_gets_five_starts)
{
  setup (20, 2);
  int starts = 0;
  for (int round = 0; round < 600; round++)
    {
      now.ms += 1000;
      for (uint64_t w = 1; w <= 20; w++)
        {
          bool started = run_task (w, 100 + w % 3, w != 7);
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

/* Guards against more than 5 starts on a worker before the first failure is
   reported.  */
START_TEST (simultaneous_starts_are_bounded)
{
  setup (20, 2);
  for (uint64_t w = 1; w <= 20; w++)
    run_task (w, 100, true);
  now.ms += 1000;
  int starts = 0;
  for (int i = 0; i < 8; i++)
    if (rr_quarantine_check (q, 7, now) != RR_QUARANTINE_WAIT)
      rr_quarantine_attempt_started (q, 7, 1000 + (uint64_t)starts++, 100,
                                     now);
  ck_assert_int_le (starts, 5);
  /* They fail late, after they were confirmed as successes.  */
  now.ms += 3 * policy.quarantine_confirm_ms;
  for (int i = 0; i < starts; i++)
    rr_quarantine_attempt_failed (q, 7, 1000 + (uint64_t)i, 100, now);
  now.ms += 1000;
  ck_assert_int_eq (rr_quarantine_check (q, 7, now), RR_QUARANTINE_WAIT);
  rr_quarantine_free (q);
}
END_TEST

/* Guards against workers that are quarantined because of a bad job: it fails
   on every worker, while other jobs succeed there.  */
START_TEST (bad_job_quarantines_no_worker)
{
  setup (20, 2);
  for (int round = 0; round < 50; round++)
    {
      now.ms += 1000;
      for (uint64_t w = 1; w <= 20; w++)
        {
          run_task (w, 666, false);
          run_task (w, 100 + w, true);
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

/* Guards against the same when no worker has a successful start yet: no worker
   may stay quarantined once the job has failed on enough workers.  */
START_TEST (bad_job_quarantines_no_worker_without_history)
{
  setup (20, 2);
  for (int round = 0; round < 20; round++)
    for (uint64_t w = 1; w <= 20; w++)
      run_task (w, 666, false);
  struct rr_quarantine_counts counts;
  rr_quarantine_count (q, now, &counts);
  ck_assert_uint_eq (counts.out, 0);
  rr_quarantine_free (q);
}
END_TEST

/* Guards against good jobs that become suspect because of bad workers: their
   failures must not count against a job that succeeds elsewhere or was tried
   only there.  */
START_TEST (bad_worker_makes_no_job_suspect)
{
  setup (20, 2);
  for (uint64_t job = 100; job < 120; job++)
    {
      run_task (3, job, false);
      run_task (4, job, false);
      if (job % 2 == 0)
        run_task (5, job, true);
    }
  for (uint64_t job = 100; job < 120; job++)
    ck_assert (!rr_quarantine_job_suspect (q, job, now));
  rr_quarantine_free (q);
}
END_TEST

/* Guards against workers that are quarantined because of one task of a good
   job, for example with a broken input, which fails everywhere while the
   job's other tasks succeed.  */
START_TEST (bad_task_quarantines_no_worker)
{
  setup (20, 2);
  for (int round = 0; round < 3; round++)
    for (uint64_t w = 1; w <= 20; w++)
      {
        run_task (w, 100, true);
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

/* Guards against a common cause that takes all workers of a zone out of use:
   every task fails in zone 0 and succeeds in zone 1.  Only the share of
   workers that the caps allow is quarantined; on the others starts are
   rate-limited.  */
START_TEST (zone_cap_limits_quarantine)
{
  setup (40, 2);
  int starts = 0;
  for (int round = 0; round < 300; round++)
    {
      now.ms += 1000;
      for (uint64_t w = 1; w <= 40; w++)
        {
          bool started = run_task (w, 100 + w % 5, w % 2 == 1);
          starts += w % 2 == 0 && started;
        }
    }
  struct rr_quarantine_counts counts;
  rr_quarantine_count (q, now, &counts);
  ck_assert_uint_gt (counts.out, 0);
  ck_assert_uint_le (counts.out, 5); /* 0.25 of the 20 workers of a zone */
  ck_assert_uint_ge (counts.capped, 15);
  /* 5 starts for each worker, then one per probe delay on capped workers.  */
  ck_assert_int_le (starts, 20 * 5 + 20 * 6);
  /* The workers are used again after the cause is gone.  */
  for (int round = 0; round < 2000; round++)
    {
      now.ms += 1000;
      for (uint64_t w = 1; w <= 40; w++)
        run_task (w, 100 + w % 5, true);
    }
  rr_quarantine_count (q, now, &counts);
  ck_assert_uint_eq (counts.capped, 0);
  ck_assert_uint_le (counts.out, 5);
  rr_quarantine_free (q);
}
END_TEST

/* Guards against a common cause that takes the whole fleet out of use: when
   all jobs fail everywhere, no more workers are quarantined than the cap on
   the fleet allows.  */
START_TEST (fleet_cap_limits_quarantine)
{
  setup (20, 2);
  for (uint64_t w = 1; w <= 20; w++)
    for (uint64_t job = 100; job < 105; job++)
      run_task (w, job, true);
  now.ms += policy.quarantine_window_ms + 1;
  for (int round = 0; round < 60; round++)
    {
      now.ms += 1000;
      for (uint64_t w = 1; w <= 20; w++)
        run_task (w, 100 + (w + (uint64_t)round) % 5, false);
    }
  struct rr_quarantine_counts counts;
  rr_quarantine_count (q, now, &counts);
  ck_assert_uint_le (counts.out, 3); /* 0.15 of all workers */
  rr_quarantine_free (q);
}
END_TEST

/* Guards against a quarantine that does not end after a repair, and against
   one that ends after a single successful probe.  */
START_TEST (probes_end_quarantine)
{
  setup (20, 2);
  for (uint64_t w = 1; w <= 20; w++)
    for (int i = 0; i < 3; i++)
      run_task (w, 100, w != 7);
  ck_assert_int_eq (rr_quarantine_state (q, 7, now), RR_QUARANTINE_ACTIVE);
  ck_assert_int_eq (rr_quarantine_check (q, 7, now), RR_QUARANTINE_WAIT);
  now.ms += policy.quarantine_probe_delay_ms;
  ck_assert_int_eq (rr_quarantine_check (q, 7, now), RR_QUARANTINE_PROBE);
  run_task (7, 100, true);
  ck_assert_int_eq (rr_quarantine_state (q, 7, now), RR_QUARANTINE_ACTIVE);
  now.ms += policy.quarantine_probe_delay_ms;
  ck_assert_int_eq (rr_quarantine_check (q, 7, now), RR_QUARANTINE_PROBE);
  run_task (7, 100, true);
  ck_assert_int_eq (rr_quarantine_state (q, 7, now), RR_QUARANTINE_CLEAR);
  rr_quarantine_free (q);
}
END_TEST

/* Guards against a failing worker that gets additional starts because some of
   its tasks fail everywhere and others are moved away before they fail.  */
START_TEST (job_faults_do_not_add_starts)
{
  setup (20, 2);
  for (uint64_t w = 1; w <= 20; w++)
    for (uint64_t job = 100; job < 110; job++)
      if (w != 7)
        {
          run_task (w, job, true);
          run_task (w, 666, false);
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
        run_task (7, i % 3 == 0 ? 100 + i % 10 : 666, false);
    }
  ck_assert_int_le (starts, 5);
  rr_quarantine_free (q);
}
END_TEST

/* Guards against cancellations in large numbers that delay starts on a worker
   without failures.  */
START_TEST (cancellations_delay_no_starts)
{
  setup (20, 2);
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
       simultaneous_starts_are_bounded, bad_job_quarantines_no_worker,
       bad_job_quarantines_no_worker_without_history,
       bad_worker_makes_no_job_suspect, bad_task_quarantines_no_worker,
       zone_cap_limits_quarantine, fleet_cap_limits_quarantine,
       job_faults_do_not_add_starts, cancellations_delay_no_starts,
       probes_end_quarantine)
