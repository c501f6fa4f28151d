#include <string.h>

#include "rosemaryrail/batch_queue.h"
#include "suite.h"

static struct rr_policy policy;
static struct rr_batch_queue *q;
static struct rr_time now;

static void
setup (void)
{
  rr_policy_init (&policy);
  q = rr_batch_queue_new (&policy);
  now = rr_time_from_ms (0);
  struct rr_size total
      = { .cores_milli = 100000, .memory_mb = 100000, .slots = 100 };
  rr_batch_queue_capacity_set (q, &total);
}

static void
add_job (uint64_t id, uint64_t team, int cores, bool urgent, int tasks)
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
start_next (void)
{
  struct rr_batch_pick pick;
  if (!rr_batch_queue_next (q, now, &pick))
    return 0;
  rr_batch_queue_task_started (q, &pick);
  return pick.job;
}

/* Blocks the job of the next task and returns the job, or 0.  */
static uint64_t
block_next (enum rr_batch_block_reason reason)
{
  struct rr_batch_pick pick;
  if (!rr_batch_queue_next (q, now, &pick))
    return 0;
  rr_batch_queue_job_blocked (q, &pick, reason, now);
  return pick.job;
}

/* Guards against a team that gets a larger share by submitting more jobs, and
   against weights that have no effect.  */
START_TEST (shares_follow_weights)
{
  setup ();
  rr_batch_queue_team_set (q,
                           &(struct rr_batch_team){ .team = 1, .weight = 3 });
  rr_batch_queue_team_set (q,
                           &(struct rr_batch_team){ .team = 2, .weight = 1 });
  add_job (11, 1, 1, false, 100);
  for (uint64_t j = 20; j < 30; j++)
    add_job (j, 2, 1, false, 100);
  int count[3] = { 0 };
  for (int i = 0; i < 80; i++)
    count[start_next () < 20 ? 1 : 2]++;
  ck_assert_int_eq (count[1], 60);
  ck_assert_int_eq (count[2], 20);
  rr_batch_queue_free (q);
}
END_TEST

/* Guards against shares computed from one resource only: a team that needs
   mostly memory and one that needs mostly cores get equal dominant shares.  */
START_TEST (dominant_shares_are_equal)
{
  setup ();
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
    count[start_next ()]++;
  ck_assert_int_eq (count[1], 10);
  ck_assert_int_eq (count[2], 20);
  rr_batch_queue_free (q);
}
END_TEST

/* Guards against urgent jobs that wait behind other jobs, and against an
   urgent job of a team with a large share that waits behind the urgent jobs of
   all other teams.  */
START_TEST (urgent_jobs_go_first)
{
  setup ();
  add_job (1, 1, 1, false, 10);
  add_job (2, 2, 1, false, 10);
  for (int i = 0; i < 4; i++)
    start_next ();
  now.ms = 100;
  add_job (3, 1, 1, true, 1);
  ck_assert_uint_eq (start_next (), 3);
  struct rr_size big = { .cores_milli = 50000, .slots = 1 };
  rr_batch_queue_charge (q, 1, &big);
  add_job (4, 1, 1, true, 1);
  now.ms = 200;
  add_job (5, 2, 1, true, 5);
  ck_assert_uint_eq (start_next (), 5);
  now.ms = 100 + policy.queue_urgent_start_ms / 2;
  ck_assert_uint_eq (start_next (), 4);
  rr_batch_queue_free (q);
}
END_TEST

/* Guards against head-of-line blocking: a large job that can't run now must
   not delay the jobs behind it, of its own team or of others.  */
START_TEST (blocked_job_does_not_block_others)
{
  setup ();
  add_job (1, 1, 90, false, 3);
  add_job (2, 1, 1, false, 1);
  add_job (3, 2, 1, false, 1);
  ck_assert_uint_eq (block_next (RR_BATCH_BLOCK_CAPACITY), 1);
  ck_assert_uint_eq (start_next (), 2);
  ck_assert_uint_eq (start_next (), 3);
  ck_assert_uint_eq (start_next (), 0);
  /* It is tried again when capacity becomes free, and after a delay.  */
  rr_batch_queue_capacity_changed (q);
  ck_assert_uint_eq (block_next (RR_BATCH_BLOCK_CAPACITY), 1);
  now.ms += 2 * policy.queue_retry_ms - 1;
  ck_assert_uint_eq (start_next (), 0);
  now.ms += 1;
  ck_assert_uint_eq (start_next (), 1);
  rr_batch_queue_free (q);
}
END_TEST

/* Guards against starvation of a small job by larger ones of its team that
   were blocked before it: each change of capacity makes another job ready.  */
START_TEST (blocked_jobs_are_tried_in_rotation)
{
  setup ();
  for (uint64_t j = 1; j <= 5; j++)
    add_job (j, 1, 50, false, 1);
  for (int i = 0; i < 5; i++)
    block_next (RR_BATCH_BLOCK_CAPACITY);
  uint64_t seen = 0;
  for (int i = 0; i < 5; i++)
    {
      rr_batch_queue_capacity_changed (q);
      seen |= UINT64_C (1) << block_next (RR_BATCH_BLOCK_CAPACITY);
    }
  ck_assert_uint_eq (seen, 0x3e);
  rr_batch_queue_free (q);
}
END_TEST

/* Guards against a job over its team's limit that blocks smaller ones, and
   against a job that stays blocked after a task of the team ended.  */
START_TEST (team_limit_holds_and_is_released)
{
  setup ();
  struct rr_batch_team t
      = { .team = 1, .weight = 1, .limit = { .cores_milli = 10000 } };
  rr_batch_queue_team_set (q, &t);
  add_job (1, 1, 6, false, 3);
  add_job (2, 1, 2, false, 3);
  ck_assert_uint_eq (start_next (), 1);
  ck_assert_uint_eq (start_next (), 2);
  ck_assert_uint_eq (start_next (), 2);
  ck_assert_uint_eq (start_next (), 0);
  struct rr_size size = { .cores_milli = 6000, .memory_mb = 600, .slots = 1 };
  rr_batch_queue_task_ended (q, 1, &size);
  ck_assert_uint_eq (start_next (), 1);
  ck_assert_uint_eq (start_next (), 0);
  rr_batch_queue_free (q);
}
END_TEST

/* Guards against repeated attempts to start a task that no worker can hold,
   and against a job that stays blocked when a larger worker joins or the job
   is resized.  */
START_TEST (unschedulable_job_waits_for_change)
{
  setup ();
  add_job (1, 1, 99, false, 1);
  ck_assert_uint_eq (block_next (RR_BATCH_BLOCK_UNSCHEDULABLE), 1);
  now.ms += 100 * policy.queue_retry_max_ms;
  rr_batch_queue_capacity_changed (q);
  ck_assert_uint_eq (start_next (), 0);
  struct rr_batch_counts counts;
  rr_batch_queue_count (q, now, &counts);
  ck_assert_uint_eq (counts.never, 1);
  struct rr_size total = { .cores_milli = 200000 };
  rr_batch_queue_capacity_set (q, &total);
  ck_assert_uint_eq (block_next (RR_BATCH_BLOCK_UNSCHEDULABLE), 1);
  struct rr_size small = { .cores_milli = 1000, .slots = 1 };
  ck_assert (rr_batch_queue_job_resize (q, 1, &small));
  ck_assert_uint_eq (start_next (), 1);
  rr_batch_queue_free (q);
}
END_TEST

/* Guards against cancellations in large numbers that leave entries behind or
   change the order of the other tasks.  */
START_TEST (bulk_cancellation_keeps_other_tasks)
{
  setup ();
  add_job (1, 1, 1, false, 5000);
  add_job (2, 2, 1, false, 5000);
  add_job (3, 3, 1, true, 2);
  ck_assert_uint_eq (rr_batch_queue_job_cancel (q, 1), 5000);
  ck_assert_uint_eq (rr_batch_queue_job_cancel (q, 1), 0);
  for (uint64_t t = 0; t < 5000; t += 2)
    ck_assert (rr_batch_queue_task_cancel (q, 2, t));
  ck_assert (!rr_batch_queue_task_cancel (q, 2, 0));
  struct rr_batch_counts counts;
  rr_batch_queue_count (q, now, &counts);
  ck_assert_uint_eq (counts.queued, 2502);
  ck_assert_uint_eq (start_next (), 3);
  ck_assert_uint_eq (start_next (), 3);
  struct rr_batch_pick pick;
  ck_assert (rr_batch_queue_next (q, now, &pick));
  ck_assert_uint_eq (pick.job, 2);
  ck_assert_uint_eq (pick.task, 1);
  /* The entries are reused.  */
  add_job (4, 1, 1, false, 5000);
  ck_assert_uint_eq (rr_batch_queue_job_cancel (q, 4), 5000);
  rr_batch_queue_free (q);
}
END_TEST

/* Guards against an evicted task that waits behind all other tasks of its job,
   and against a task that is queued twice.  */
START_TEST (returned_task_goes_first)
{
  setup ();
  add_job (1, 1, 1, false, 3);
  ck_assert_uint_eq (start_next (), 1);
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

SUITE ("batch_queue", shares_follow_weights, dominant_shares_are_equal,
       urgent_jobs_go_first, blocked_job_does_not_block_others,
       blocked_jobs_are_tried_in_rotation, team_limit_holds_and_is_released,
       unschedulable_job_waits_for_change, bulk_cancellation_keeps_other_tasks,
       returned_task_goes_first)
