#include <string.h>

#include "rosemaryrail/placement.h"
#include "suite.h"

static struct rr_policy policy;
static struct rr_interference *model;
static struct rr_placement *p;
static gsl_rng *rng;

static void
begin (void)
{
  rr_policy_init (&policy);
  model = rr_interference_new (&policy);
  p = rr_placement_new (&policy, model);
  rng = rng_with_seed (1);
}

static void
end (void)
{
  rr_placement_free (p);
  rr_interference_free (model);
  gsl_rng_free (rng);
}

static int
add (struct rr_placement_worker w)
{
  return rr_placement_worker_add (p, &w);
}

/* Guards against a score outweighing a hard constraint: the one worker that
   holds the checkpoint and is empty must not be chosen while it breaks any
   constraint.  */
START_TEST (constraints_come_before_scores)
{
  /* The last filter, interference, is a limit and no hard constraint.  */
  for (int f = 0; f < RR_FILTER_INTERFERENCE; f++)
    {
      begin ();
      struct rr_placement_worker bad = worker_make (1, 0, 0, 16);
      struct rr_placement_request r
          = request_make (task_make (RR_WORKLOAD_BATCH, 1, 7, 4, 4000));
      r.task.size.accelerators = 1;
      r.task.size.connections = 1;
      int avoid = 0;
      bad.total.accelerators = 2;
      struct rr_placement_worker good = bad;
      good.id = 2;
      good.rack = 1;
      bad.leased = f != RR_FILTER_LEASE;
      bad.leaving = f == RR_FILTER_LEAVING;
      bad.quarantined = f == RR_FILTER_QUARANTINE;
      r.avoid = &avoid;
      r.avoid_count = f == RR_FILTER_AVOIDED;
      if (f == RR_FILTER_CORES)
        bad.total.cores_milli = 3999;
      if (f == RR_FILTER_MEMORY)
        bad.total.memory_mb = 3999;
      if (f == RR_FILTER_ACCELERATORS)
        bad.total.accelerators = 0;
      if (f == RR_FILTER_SLOTS)
        bad.total.slots = 0;
      if (f == RR_FILTER_CONNECTIONS)
        bad.total.connections = 0;
      add (bad);
      r.checkpoint_worker = 0;
      struct rr_placement_selection c;
      ck_assert (!rr_placement_select (p, &r, rng, &c));
      struct rr_placement_explanation e;
      rr_placement_explain (p, &r, &e);
      ck_assert_uint_eq (e.rejected[f], 1);
      ck_assert_uint_eq (e.fitting, 0);
      /* Placing a second worker keeps the reason apart from the choice.  */
      int second = add (good);
      rr_placement_task_add (
          p, second,
          &(struct rr_placement_task){ .kind = RR_WORKLOAD_BATCH,
                                       .group = 7,
                                       .size = { .cores_milli = 11000 } });
      ck_assert (rr_placement_select (p, &r, rng, &c));
      ck_assert_int_eq (c.worker, second);
      end ();
    }
}
END_TEST

/* Guards against overcommitting a worker whose tasks use more than was
   reserved.  */
START_TEST (observed_use_counts_when_larger)
{
  begin ();
  int w = add (worker_make (1, 0, 0, 16));
  struct rr_placement_task t = task_make (RR_WORKLOAD_BATCH, 1, 7, 4, 4000);
  rr_placement_task_add (p, w, &t);
  struct rr_size used = { .cores_milli = 14000, .memory_mb = 1000 };
  rr_placement_worker_observe (p, w, &used);
  struct rr_size free;
  rr_placement_worker_free_size (p, w, &free);
  ck_assert_int_eq (free.cores_milli, 2000);
  ck_assert_int_eq (free.memory_mb, 60000);
  struct rr_placement_request r = request_make (t);
  struct rr_placement_selection c;
  ck_assert (!rr_placement_select (p, &r, rng, &c));
  end ();
}
END_TEST

/* Guards against a sampled search that misses the only worker with room among
   670.  */
START_TEST (only_fitting_worker_is_found)
{
  begin ();
  struct rr_placement_task full
      = task_make (RR_WORKLOAD_BATCH, 1, 1, 16, 1000);
  for (int i = 0; i < 670; i++)
    {
      add (worker_make ((uint64_t)i + 1, i / 84, i / 8, 16));
      if (i != 417)
        rr_placement_task_add (p, i, &full);
    }
  struct rr_placement_request r
      = request_make (task_make (RR_WORKLOAD_BATCH, 1, 2, 1, 1000));
  struct rr_placement_selection c;
  ck_assert (rr_placement_select (p, &r, rng, &c));
  ck_assert_int_eq (c.worker, 417);
  int avoid = 417;
  r.avoid = &avoid;
  r.avoid_count = 1;
  ck_assert (!rr_placement_select (p, &r, rng, &c));
  end ();
}
END_TEST

/* Guards against one rack or zone holding a whole job or service, whose loss
   would then end all of it.  */
START_TEST (tasks_of_a_group_are_spread)
{
  begin ();
  for (int i = 0; i < 24; i++)
    add (worker_make ((uint64_t)i + 1, i / 8, i / 4, 32));
  int racks[6] = { 0 };
  for (int i = 0; i < 12; i++)
    {
      struct rr_placement_task t
          = task_make (RR_WORKLOAD_SERVICE, 1, 9, 1, 500);
      struct rr_placement_request r = request_make (t);
      struct rr_placement_selection c;
      ck_assert (rr_placement_select (p, &r, rng, &c));
      rr_placement_task_add (p, c.worker, &t);
      racks[rr_placement_worker_get (p, c.worker)->rack]++;
    }
  for (int i = 0; i < 6; i++)
    ck_assert_int_eq (racks[i], 2);
  end ();
}
END_TEST

/* Guards against ignoring what is known about a pair, and against moving a
   noisy task to a place where it does the same.  */
START_TEST (noisy_class_stays_away_from_the_service)
{
  begin ();
  int64_t clock = 0;
  model_add_reports (model, 99, 1, -1, 0, 10, 50, &clock);
  model_add_reports (model, 99, 1, 1, 0.5, 30, 100, &clock);
  model_add_reports (model, 99, 1, 2, 0.5, 10, 100, &clock);
  struct rr_placement_task service
      = task_make (RR_WORKLOAD_SERVICE, 1, 1, 1, 500);
  for (int i = 0; i < 8; i++)
    {
      add (worker_make ((uint64_t)i + 1, 0, i, 16));
      if (i != 5)
        rr_placement_task_add (p, i, &service);
    }
  struct rr_placement_task noisy = task_make (RR_WORKLOAD_BATCH, 1, 2, 4, 500);
  struct rr_placement_request r = request_make (noisy);
  struct rr_placement_selection c;
  for (int i = 0; i < 3; i++)
    {
      ck_assert (rr_placement_select (p, &r, rng, &c));
      ck_assert_int_eq (c.worker, 5);
      rr_placement_task_add (p, c.worker, &noisy);
    }
  /* The harmless class may go anywhere else.  */
  r.task = task_make (RR_WORKLOAD_BATCH, 2, 3, 4, 500);
  ck_assert (rr_placement_select (p, &r, rng, &c));
  ck_assert_int_ne (c.worker, 5);
  end ();
}
END_TEST

/* Guards against moving a checkpoint across zones without need.  */
START_TEST (checkpoint_stays_near)
{
  begin ();
  for (int i = 0; i < 8; i++)
    add (worker_make ((uint64_t)i + 1, i / 4, i / 2, 16));
  struct rr_placement_request r
      = request_make (task_make (RR_WORKLOAD_BATCH, 1, 2, 4, 500));
  r.checkpoint_worker = 6;
  r.checkpoint_zone = 1;
  struct rr_placement_selection c;
  ck_assert (rr_placement_select (p, &r, rng, &c));
  ck_assert_int_eq (c.worker, 6);
  int avoid = 6;
  r.avoid = &avoid;
  r.avoid_count = 1;
  ck_assert (rr_placement_select (p, &r, rng, &c));
  ck_assert_int_eq (c.worker, 7);
  end ();
}
END_TEST

/* Guards against a job waiting for ever for a worker that does not exist, and
   against calling a job impossible because all workers are busy or none is
   known.  */
START_TEST (never_is_told_from_not_now)
{
  begin ();
  struct rr_size size = { .cores_milli = 20000, .slots = 1 };
  int filter;
  ck_assert (!rr_placement_never_fits (p, &size, &filter));
  int w = add (worker_make (1, 0, 0, 16));
  ck_assert (rr_placement_never_fits (p, &size, &filter));
  ck_assert_int_eq (filter, RR_FILTER_CORES);
  size.cores_milli = 16000;
  struct rr_placement_task t = task_make (RR_WORKLOAD_BATCH, 1, 1, 16, 500);
  rr_placement_task_add (p, w, &t);
  ck_assert (!rr_placement_never_fits (p, &size, &filter));
  size.accelerators = 1;
  ck_assert (rr_placement_never_fits (p, &size, &filter));
  ck_assert_str_eq (rr_placement_filter_name (filter), "accelerators");
  end ();
}
END_TEST

/* Guards against exploration that starts a second task of unknown effect
   beside the first, so that their reports can't be told apart.  */
START_TEST (one_unknown_task_is_tried_at_a_time)
{
  begin ();
  policy.interference_exploration = 0.5;
  int64_t clock = 0;
  model_add_reports (model, 99, 1, -1, 0, 10, 50, &clock);
  int w = add (worker_make (1, 0, 0, 16));
  struct rr_placement_task service
      = task_make (RR_WORKLOAD_SERVICE, 1, 1, 1, 500);
  struct rr_placement_task unknown
      = task_make (RR_WORKLOAD_BATCH, 3, 2, 2, 500);
  rr_placement_task_add (p, w, &service);
  struct rr_placement_request r = request_make (unknown);
  struct rr_placement_selection c;
  int explored = 0;
  for (int i = 0; i < 40; i++)
    explored += rr_placement_select (p, &r, rng, &c) && c.exploring;
  ck_assert_int_gt (explored, 0);
  rr_placement_task_add (p, w, &unknown);
  r.task.class_number = 4;
  for (int i = 0; i < 40; i++)
    {
      rr_placement_select (p, &r, rng, &c);
      ck_assert (!c.exploring);
    }
  end ();
}
END_TEST

/* Guards against a noisy task started beside the service because there is no
   other place, and against the same task waiting for ever.  */
START_TEST (too_noisy_waits_but_not_for_ever)
{
  begin ();
  int64_t clock = 0;
  model_add_reports (model, 99, 1, -1, 0, 10, 100, &clock);
  model_add_reports (model, 99, 1, 1, 0.5, 30, 100, &clock);
  int w = add (worker_make (1, 0, 0, 16));
  struct rr_placement_task service
      = task_make (RR_WORKLOAD_SERVICE, 1, 1, 1, 500);
  rr_placement_task_add (p, w, &service);
  struct rr_placement_request r
      = request_make (task_make (RR_WORKLOAD_BATCH, 1, 2, 4, 500));
  struct rr_placement_selection c;
  struct rr_placement_explanation e;
  ck_assert (!rr_placement_select (p, &r, rng, &c));
  rr_placement_explain (p, &r, &e);
  ck_assert_uint_eq (e.rejected[RR_FILTER_INTERFERENCE], 1);
  ck_assert (!e.never);
  r.urgent = true;
  ck_assert (rr_placement_select (p, &r, rng, &c));
  r.urgent = false;
  /* Its effect is about ln 3 / 2, a quarter of that of a full worker.  */
  r.waited_ms = (int64_t)(6 / policy.placement_slowdown_max)
                * policy.placement_patience_ms;
  ck_assert (rr_placement_select (p, &r, rng, &c));
  end ();
}
END_TEST

SUITE ("placement", constraints_come_before_scores,
       observed_use_counts_when_larger, only_fitting_worker_is_found,
       tasks_of_a_group_are_spread, noisy_class_stays_away_from_the_service,
       checkpoint_stays_near, never_is_told_from_not_now,
       one_unknown_task_is_tried_at_a_time, too_noisy_waits_but_not_for_ever)
