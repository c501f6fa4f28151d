#include <string.h>

#include "rosemaryrail/placement.h"
#include "suite.h"

static struct rr_policy policy;
static struct rr_interference *model;
static struct rr_placement *p;
static gsl_rng *rng;

static void
setup (void)
{
  rr_policy_init (&policy);
  model = rr_interference_new (&policy);
  p = rr_placement_new (&policy, model);
  rng = rng_with_seed (1);
}

static void
teardown (void)
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

/* A good score must not outweigh a hard constraint: an empty worker that holds
   the checkpoint must not be selected if it violates any constraint.  */
START_TEST (constraints_come_before_scores)
{
  /* The last filter, interference, is not a hard constraint.  */
  for (int f = 0; f < RR_FILTER_INTERFERENCE; f++)
    {
      setup ();
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
      /* A second, busier worker that meets all constraints is selected.  */
      int second = add (good);
      rr_placement_task_add (
          p, second,
          &(struct rr_placement_task){ .kind = RR_WORKLOAD_BATCH,
                                       .group = 7,
                                       .size = { .cores_milli = 11000 } });
      ck_assert (rr_placement_select (p, &r, rng, &c));
      ck_assert_int_eq (c.worker, second);
      teardown ();
    }
}
END_TEST

/* A worker must not be overcommitted when its tasks use more than was
   reserved.  */
START_TEST (observed_use_counts_when_larger)
{
  setup ();
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
  teardown ();
}
END_TEST

/* The search must find the only worker with free capacity among 670, although
   candidates are drawn at random.  */
START_TEST (only_fitting_worker_is_found)
{
  setup ();
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
  teardown ();
}
END_TEST

/* The tasks of a job or service must be spread, so that the loss of one rack
   or zone does not end all of them.  */
START_TEST (tasks_of_a_group_are_spread)
{
  setup ();
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
  teardown ();
}
END_TEST

/* A class that is known to interfere with the service must be placed on the
   worker without the service.  */
START_TEST (interfering_class_avoids_service)
{
  setup ();
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
  struct rr_placement_task interfering
      = task_make (RR_WORKLOAD_BATCH, 1, 2, 4, 500);
  struct rr_placement_request r = request_make (interfering);
  struct rr_placement_selection c;
  for (int i = 0; i < 3; i++)
    {
      ck_assert (rr_placement_select (p, &r, rng, &c));
      ck_assert_int_eq (c.worker, 5);
      rr_placement_task_add (p, c.worker, &interfering);
    }
  /* The harmless class is placed on one of the other workers.  */
  r.task = task_make (RR_WORKLOAD_BATCH, 2, 3, 4, 500);
  ck_assert (rr_placement_select (p, &r, rng, &c));
  ck_assert_int_ne (c.worker, 5);
  teardown ();
}
END_TEST

/* A checkpoint must not be transferred further than necessary: its worker is
   selected, or else one in the same rack.  */
START_TEST (checkpoint_worker_is_preferred)
{
  setup ();
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
  teardown ();
}
END_TEST

/* A task that is too large for every worker must be reported, otherwise its
   job would wait for ever.  Busy workers, or the lack of any known worker,
   must not make a task count as too large.  */
START_TEST (never_fits_ignores_current_load)
{
  setup ();
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
  teardown ();
}
END_TEST

/* Exploration must not start a second task of uncertain effect on a worker
   that runs one, because a report could not be attributed to either.  */
START_TEST (one_uncertain_task_is_explored_at_a_time)
{
  setup ();
  policy.interference_exploration = 0.5;
  int64_t clock = 0;
  model_add_reports (model, 99, 1, -1, 0, 10, 50, &clock);
  int w = add (worker_make (1, 0, 0, 16));
  struct rr_placement_task service
      = task_make (RR_WORKLOAD_SERVICE, 1, 1, 1, 500);
  struct rr_placement_task uncertain
      = task_make (RR_WORKLOAD_BATCH, 3, 2, 2, 500);
  rr_placement_task_add (p, w, &service);
  struct rr_placement_request r = request_make (uncertain);
  struct rr_placement_selection c;
  int explored = 0;
  for (int i = 0; i < 40; i++)
    explored += rr_placement_select (p, &r, rng, &c) && c.exploring;
  ck_assert_int_gt (explored, 0);
  rr_placement_task_add (p, w, &uncertain);
  r.task.class_number = 4;
  for (int i = 0; i < 40; i++)
    {
      rr_placement_select (p, &r, rng, &c);
      ck_assert (!c.exploring);
    }
  teardown ();
}
END_TEST

/* A task that interferes with the service must not start on its worker
   although there is no other, but it must not wait for ever either.  */
START_TEST (slowdown_limit_rises_while_task_waits)
{
  setup ();
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
  /* The effect of the task is about ln 3 / 2, a quarter of that at a share of
     the whole worker (2 ln 3).  */
  r.waited_ms = (int64_t)(6 / policy.placement_slowdown_max)
                * policy.placement_patience_ms;
  ck_assert (rr_placement_select (p, &r, rng, &c));
  teardown ();
}
END_TEST

SUITE ("placement", constraints_come_before_scores,
       observed_use_counts_when_larger, only_fitting_worker_is_found,
       tasks_of_a_group_are_spread, interfering_class_avoids_service,
       checkpoint_worker_is_preferred, never_fits_ignores_current_load,
       one_uncertain_task_is_explored_at_a_time,
       slowdown_limit_rises_while_task_waits)
