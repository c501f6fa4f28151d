#include <string.h>

#include "rosemaryrail/batch_queue.h"
#include "suite.h"

static struct rr_policy policy;
static struct rr_batch_queue *q;
static struct rr_time now;

static void
begin (void)
{
  rr_policy_init (&policy);
  q = rr_batch_queue_new (&policy);
  now = rr_time_from_ms (0);
  struct rr_size total
      = { .cores_milli = 100000, .memory_mb = 100000, .slots = 100 };
  rr_batch_queue_capacity_set (q, &total);
}

static void
job (uint64_t id, uint64_t team, int cores, bool urgent, int tasks)
{
  struct rr_batch_job j = { .job = id,
                            .team = team,
                            .size = { .cores_milli = cores * INT64_C (1000),
                                      .memory_mb = cores * INT64_C (100),
                                      .slots = 1 },
                            .urgent = urgent,
                            .submitted = now };
  ck_assert (rr_batch_queue_job_add (q, &j, NULL));
  for (int i = 0; i < tasks; i++)
    ck_assert (rr_batch_queue_task_add (q, id, (uint64_t)i, NULL));
}

/* Starts the next task and returns its job, or 0.  */
static uint64_t
start (void)
{
  struct rr_batch_pick pick;
  if (!rr_batch_queue_next (q, now, &pick))
    return 0;
  rr_batch_queue_task_started (q, &pick);
  return pick.job;
}

/* Sets the next task aside and returns its job, or 0.  */
static uint64_t
block (enum rr_batch_block_reason why)
{
  struct rr_batch_pick pick;
  if (!rr_batch_queue_next (q, now, &pick))
    return 0;
  rr_batch_queue_job_blocked (q, &pick, why, now);
  return pick.job;
}

/* Guards against a team that gets more by submitting more, and against
   weights without effect.  */
START_TEST (shares_follow_weights)
{
  begin ();
  rr_batch_queue_team_set (q,
                           &(struct rr_batch_team){ .team = 1, .weight = 3 });
  rr_batch_queue_team_set (q,
                           &(struct rr_batch_team){ .team = 2, .weight = 1 });
  job (11, 1, 1, false, 100);
  for (uint64_t j = 20; j < 30; j++)
    job (j, 2, 1, false, 100);
  int count[3] = { 0 };
  for (int i = 0; i < 80; i++)
    count[start () < 20 ? 1 : 2]++;
  ck_assert_int_eq (count[1], 60);
  ck_assert_int_eq (count[2], 20);
  rr_batch_queue_free (q);
}
END_TEST

/* Guards against a dominant share by one resource only: a team heavy on
   memory and one heavy on cores get equal dominant shares.  */
START_TEST (dominant_share_counts)
{
  begin ();
  struct rr_batch_job a
      = { .job = 1,
          .team = 1,
          .size = { .cores_milli = 1000, .memory_mb = 4000, .slots = 1 } };
  struct rr_batch_job b
      = { .job = 2,
          .team = 2,
          .size = { .cores_milli = 2000, .memory_mb = 100, .slots = 1 } };
  ck_assert (rr_batch_queue_job_add (q, &a, NULL));
  ck_assert (rr_batch_queue_job_add (q, &b, NULL));
  for (uint64_t t = 0; t < 100; t++)
    {
      ck_assert (rr_batch_queue_task_add (q, 1, t, NULL));
      ck_assert (rr_batch_queue_task_add (q, 2, t, NULL));
    }
  int count[3] = { 0 };
  for (int i = 0; i < 30; i++)
    count[start ()]++;
  ck_assert_int_eq (count[1], 10);
  ck_assert_int_eq (count[2], 20);
  rr_batch_queue_free (q);
}
END_TEST

/* Guards against urgent work that waits behind other work, and against an
   urgent job of a team with a large share that waits behind urgent jobs of
   all others.  */
START_TEST (urgent_work_goes_first)
{
  begin ();
  job (1, 1, 1, false, 10);
  job (2, 2, 1, false, 10);
  for (int i = 0; i < 4; i++)
    start ();
  now.ms = 100;
  job (3, 1, 1, true, 1);
  ck_assert_uint_eq (start (), 3);
  struct rr_size big = { .cores_milli = 50000, .slots = 1 };
  rr_batch_queue_charge (q, 1, &big);
  job (4, 1, 1, true, 1);
  now.ms = 200;
  job (5, 2, 1, true, 5);
  ck_assert_uint_eq (start (), 5);
  now.ms = 100 + policy.queue_urgent_start_ms / 2;
  ck_assert_uint_eq (start (), 4);
  rr_batch_queue_free (q);
}
END_TEST

/* Guards against a large job that can't run now and blocks those behind it,
   of its own team or of others.  */
START_TEST (blocked_job_blocks_nobody)
{
  begin ();
  job (1, 1, 90, false, 3);
  job (2, 1, 1, false, 1);
  job (3, 2, 1, false, 1);
  ck_assert_uint_eq (block (RR_BATCH_BLOCK_CAPACITY), 1);
  ck_assert_uint_eq (start (), 2);
  ck_assert_uint_eq (start (), 3);
  ck_assert_uint_eq (start (), 0);
  /* It is tried again when there is more room, and after a while.  */
  rr_batch_queue_capacity_changed (q);
  ck_assert_uint_eq (block (RR_BATCH_BLOCK_CAPACITY), 1);
  now.ms += 2 * policy.queue_retry_ms - 1;
  ck_assert_uint_eq (start (), 0);
  now.ms += 1;
  ck_assert_uint_eq (start (), 1);
  rr_batch_queue_free (q);
}
END_TEST

/* Guards against a small job starved by larger ones of its team that are set
   aside before it: with each change of capacity another one has its turn.  */
START_TEST (blocked_jobs_take_turns)
{
  begin ();
  for (uint64_t j = 1; j <= 5; j++)
    job (j, 1, 50, false, 1);
  for (int i = 0; i < 5; i++)
    block (RR_BATCH_BLOCK_CAPACITY);
  uint64_t seen = 0;
  for (int i = 0; i < 5; i++)
    {
      rr_batch_queue_capacity_changed (q);
      seen |= UINT64_C (1) << block (RR_BATCH_BLOCK_CAPACITY);
    }
  ck_assert_uint_eq (seen, 0x3e);
  rr_batch_queue_free (q);
}
END_TEST

/* Guards against a job at its team's limit that blocks smaller ones, and
   against a limit that is not released.  */
START_TEST (team_limit_holds_and_is_released)
{
  begin ();
  struct rr_batch_team t
      = { .team = 1, .weight = 1, .limit = { .cores_milli = 10000 } };
  rr_batch_queue_team_set (q, &t);
  job (1, 1, 6, false, 3);
  job (2, 1, 2, false, 3);
  ck_assert_uint_eq (start (), 1);
  ck_assert_uint_eq (start (), 2);
  ck_assert_uint_eq (start (), 2);
  ck_assert_uint_eq (start (), 0);
  struct rr_size size = { .cores_milli = 6000, .memory_mb = 600, .slots = 1 };
  rr_batch_queue_task_ended (q, 1, &size);
  ck_assert_uint_eq (start (), 1);
  ck_assert_uint_eq (start (), 0);
  rr_batch_queue_free (q);
}
END_TEST

/* Guards against retrying for ever what no worker can hold, and against
   forgetting it when a larger worker joins or the job is resized.  */
START_TEST (never_waits_for_a_change)
{
  begin ();
  job (1, 1, 99, false, 1);
  ck_assert_uint_eq (block (RR_BATCH_BLOCK_UNSCHEDULABLE), 1);
  now.ms += 100 * policy.queue_retry_max_ms;
  rr_batch_queue_capacity_changed (q);
  ck_assert_uint_eq (start (), 0);
  struct rr_batch_counts counts;
  rr_batch_queue_count (q, now, &counts);
  ck_assert_uint_eq (counts.never, 1);
  struct rr_size total = { .cores_milli = 200000 };
  rr_batch_queue_capacity_set (q, &total);
  ck_assert_uint_eq (block (RR_BATCH_BLOCK_UNSCHEDULABLE), 1);
  struct rr_size small = { .cores_milli = 1000, .slots = 1 };
  ck_assert (rr_batch_queue_job_resize (q, 1, &small));
  ck_assert_uint_eq (start (), 1);
  rr_batch_queue_free (q);
}
END_TEST

/* Guards against a wave of cancellations that leaves entries behind or breaks
   the order of the rest.  */
START_TEST (bulk_cancellation_leaves_the_rest)
{
  begin ();
  job (1, 1, 1, false, 5000);
  job (2, 2, 1, false, 5000);
  job (3, 3, 1, true, 2);
  ck_assert_uint_eq (rr_batch_queue_job_cancel (q, 1), 5000);
  ck_assert_uint_eq (rr_batch_queue_job_cancel (q, 1), 0);
  for (uint64_t t = 0; t < 5000; t += 2)
    ck_assert (rr_batch_queue_task_cancel (q, 2, t));
  ck_assert (!rr_batch_queue_task_cancel (q, 2, 0));
  struct rr_batch_counts counts;
  rr_batch_queue_count (q, now, &counts);
  ck_assert_uint_eq (counts.queued, 2502);
  ck_assert_uint_eq (start (), 3);
  ck_assert_uint_eq (start (), 3);
  struct rr_batch_pick pick;
  ck_assert (rr_batch_queue_next (q, now, &pick));
  ck_assert_uint_eq (pick.job, 2);
  ck_assert_uint_eq (pick.task, 1);
  /* The places are reused.  */
  job (4, 1, 1, false, 5000);
  ck_assert_uint_eq (rr_batch_queue_job_cancel (q, 4), 5000);
  rr_batch_queue_free (q);
}
END_TEST

/* Guards against an evicted task that waits behind all others of its job, and
   against a task queued twice.  */
START_TEST (returned_task_goes_first)
{
  begin ();
  job (1, 1, 1, false, 3);
  ck_assert_uint_eq (start (), 1);
  ck_assert (rr_batch_queue_task_return (q, 1, 0, NULL));
  struct rr_error err = { 0 };
  ck_assert (!rr_batch_queue_task_return (q, 1, 0, &err));
  ck_assert_int_eq (err.code, RR_ERROR_CONFLICT);
  struct rr_batch_pick pick;
  ck_assert (rr_batch_queue_next (q, now, &pick));
  ck_assert_uint_eq (pick.task, 0);
  rr_error_clear (&err);
  ck_assert (!rr_batch_queue_task_add (q, 9, 0, &err));
  ck_assert_int_eq (err.code, RR_ERROR_NOT_FOUND);
  rr_batch_queue_free (q);
}
END_TEST

SUITE ("batch_queue", shares_follow_weights, dominant_share_counts,
       urgent_work_goes_first, blocked_job_blocks_nobody,
       blocked_jobs_take_turns, team_limit_holds_and_is_released,
       never_waits_for_a_change, bulk_cancellation_leaves_the_rest,
       returned_task_goes_first)
