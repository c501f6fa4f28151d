#include <string.h>

#include "rosemaryrail/batch_queue.h"
#include "rosemaryrail/pacing.h"
#include "suite.h"

#define STEP_MS 100
#define STARTS_PER_STEP 5 /* of 55 starts per second */

static struct rr_policy policy;

/* Guards against a wave of cancellations that delays urgent work: 5,000
   running tasks of a full fleet are cancelled at once, each cancellation
   frees its slot only when the pacer lets it through, and urgent tasks arrive
   meanwhile.  */
START_TEST (cancellations_do_not_delay_urgent_work)
{
  rr_policy_init (&policy);
  struct rr_batch_queue *q = rr_batch_queue_new (&policy);
  struct rr_size one = { .cores_milli = 1000, .slots = 1 };
  struct rr_size total = { .cores_milli = 5000000, .slots = 5000 };
  struct rr_pacer pacer;
  struct rr_time now = rr_time_from_ms (1000);
  rr_batch_queue_capacity_set (q, &total);
  rr_pacer_init_cancels (&pacer, &policy, now);
  for (int i = 0; i < 5000; i++)
    rr_batch_queue_charge (q, 1, &one);
  int64_t free_slots = 0;
  int64_t to_cancel = 5000;
  uint64_t next_job = 1;
  int64_t worst = 0;
  int started = 0;
  while (to_cancel > 0)
    {
      now = rr_time_add (now, STEP_MS);
      struct rr_batch_job urgent = { .job = next_job++,
                                     .team = 2,
                                     .size = one,
                                     .urgent = true,
                                     .submitted = now };
      struct rr_batch_job normal = urgent;
      normal.job = next_job++;
      normal.urgent = false;
      rr_batch_queue_job_add (q, &urgent, NULL);
      rr_batch_queue_job_add (q, &normal, NULL);
      rr_batch_queue_task_add (q, urgent.job, 1, NULL);
      for (uint64_t t = 0; t < 50; t++)
        rr_batch_queue_task_add (q, normal.job, t, NULL);
      int64_t done = rr_pacer_take (&pacer, to_cancel, now);
      for (int64_t i = 0; i < done; i++)
        rr_batch_queue_task_ended (q, 1, &one);
      to_cancel -= done;
      free_slots += done;
      if (done > 0)
        rr_batch_queue_capacity_changed (q);
      struct rr_batch_pick pick;
      for (int i = 0;
           i < STARTS_PER_STEP && rr_batch_queue_next (q, now, &pick); i++)
        {
          if (free_slots == 0)
            {
              rr_batch_queue_job_blocked (q, &pick, RR_BATCH_BLOCK_CAPACITY,
                                          now);
              continue;
            }
          free_slots--;
          rr_batch_queue_task_started (q, &pick);
          if (!pick.urgent)
            continue;
          started++;
          int64_t wait = rr_time_diff (now, pick.submitted);
          worst = wait > worst ? wait : worst;
        }
    }
  ck_assert_int_ge (started, 50);
  ck_assert_int_le (worst, 2900);
  rr_batch_queue_free (q);
}
END_TEST

struct lost_task
{
  int worker;
  struct rr_placement_task task;
};

/* Guards against a storm after the loss of a zone at design size: the lost
   tasks restart on the other zones within the pace, and no worker is
   overcommitted.  */
START_TEST (loss_of_a_zone_restarts_within_the_pace)
{
  rr_policy_init (&policy);
  struct rr_interference *model = rr_interference_new (&policy);
  struct rr_placement *p = rr_placement_new (&policy, model);
  gsl_rng *rng = rng_with_seed (7);
  static struct lost_task lost[11100];
  size_t lost_count = 0;
  for (int i = 0; i < 670; i++)
    {
      struct rr_placement_worker w
          = worker_make ((uint64_t)i + 1, i / 84, i / 8, 32);
      w.total.slots = 32;
      rr_placement_worker_add (p, &w);
    }
  for (uint64_t i = 0; i < 11100; i++)
    {
      struct rr_placement_task t
          = task_make (RR_WORKLOAD_BATCH, 1, i / 20, 1 + (int)(i % 2), 1000);
      struct rr_placement_request r = request_make (t);
      struct rr_placement_selection c;
      ck_assert (rr_placement_select (p, &r, rng, &c));
      rr_placement_task_add (p, c.worker, &t);
      if (rr_placement_worker_get (p, c.worker)->zone == 3)
        lost[lost_count++] = (struct lost_task){ c.worker, t };
    }
  for (size_t i = 0; i < lost_count; i++)
    rr_placement_task_remove (p, lost[i].worker, &lost[i].task);
  for (int i = 3 * 84; i < 4 * 84; i++)
    rr_placement_worker_remove (p, i);
  struct rr_pacer pacer;
  struct rr_time now = rr_time_from_ms (0);
  rr_pacer_init_restarts (&pacer, &policy, now);
  rr_pacer_wave_begin (&pacer, now);
  size_t next = 0;
  int seconds = 0;
  while (next < lost_count)
    {
      size_t before = next;
      for (int step = 0; step < 1000 / STEP_MS; step++)
        {
          now = rr_time_add (now, STEP_MS);
          for (int64_t n
               = rr_pacer_take (&pacer, (int64_t)(lost_count - next), now);
               n > 0; n--)
            {
              struct rr_placement_request r = request_make (lost[next].task);
              struct rr_placement_selection c;
              ck_assert (rr_placement_select (p, &r, rng, &c));
              rr_placement_task_add (p, c.worker, &lost[next++].task);
            }
        }
      ck_assert_uint_le (next - before,
                         (size_t)(policy.pacing_restarts_per_s
                                  + policy.pacing_restart_burst));
      ck_assert_int_lt (++seconds, 300);
    }
  ck_assert_uint_ge (lost_count, 1000);
  /* Free amounts are clipped at 0, so a second account is kept here.  */
  int64_t used = 0;
  for (int i = 0; i < 670; i++)
    {
      struct rr_size free;
      const struct rr_placement_worker *w = rr_placement_worker_get (p, i);
      if (w == NULL)
        continue;
      rr_placement_worker_free_size (p, i, &free);
      used += w->total.cores_milli - free.cores_milli;
    }
  ck_assert_int_eq (used, INT64_C (11100) * 1500);
  rr_placement_free (p);
  rr_interference_free (model);
  gsl_rng_free (rng);
}
END_TEST

SUITE ("waves", cancellations_do_not_delay_urgent_work,
       loss_of_a_zone_restarts_within_the_pace)
