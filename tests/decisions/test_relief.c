#include <string.h>

#include "rosemaryrail/relief.h"
#include "suite.h"

/* Worker 0 runs the service and the tasks of the view, worker 1 is empty.
   Batch class 1 interferes with the service, class 2 is harmless.  */
static struct rr_policy policy;
static struct rr_interference *model;
static struct rr_placement *p;
static struct rr_relief *relief;
static gsl_rng *rng;
static struct rr_relief_task tasks[4];
static struct rr_relief_service service;
static struct rr_relief_view view;
static struct rr_relief_decision out;

static void
setup (size_t task_count)
{
  rr_policy_init (&policy);
  policy.relief_settle_ms = 2000;
  policy.relief_hot_reports = 2;
  model = rr_interference_new (&policy);
  p = rr_placement_new (&policy, model);
  relief = rr_relief_new (&policy);
  rng = rng_with_seed (1);
  int64_t clock = 0;
  model_add_reports (model, 99, 1, -1, 0, 10, 100, &clock);
  model_add_reports (model, 99, 1, 1, 0.5, 40, 100, &clock);
  model_add_reports (model, 99, 1, 2, 0.5, 10, 100, &clock);
  for (int i = 0; i < 2; i++)
    {
      struct rr_placement_worker w = worker_make ((uint64_t)i + 1, 0, i, 16);
      rr_placement_worker_add (p, &w);
    }
  struct rr_placement_task s = task_make (RR_WORKLOAD_SERVICE, 1, 1, 1, 500);
  rr_placement_task_add (p, 0, &s);
  memset (tasks, 0, sizeof tasks);
  for (size_t i = 0; i < task_count; i++)
    {
      tasks[i] = (struct rr_relief_task){
        .task = i + 1,
        .job = i + 1,
        .team = 1,
        .placement = task_make (RR_WORKLOAD_BATCH, 1, i + 1, 4, 500),
        .running_ms = 60000,
        .total_ms = 60000,
        .since_checkpoint_ms = 60000,
        .checkpoint_cost_ms = 1000,
        .can_checkpoint = true,
        .percent = 100,
      };
      rr_placement_task_add (p, 0, &tasks[i].placement);
    }
  service = (struct rr_relief_service){
    .service = 1, .requests = 100, .latency_ms = 30, .target_ms = 10
  };
  view = (struct rr_relief_view){ .worker = 0,
                                  .window_end = { 1000 },
                                  .worker_now = { 1500 },
                                  .services = &service,
                                  .service_count = 1,
                                  .tasks = tasks,
                                  .task_count = task_count };
}

static void
teardown (void)
{
  rr_relief_free (relief);
  rr_placement_free (p);
  rr_interference_free (model);
  gsl_rng_free (rng);
}

/* Decides on the current view and advances it by one report.  A throttle is
   applied to the tasks.  */
static enum rr_relief_reason
decide (void)
{
  rr_relief_decide (relief, &view, p, model, rng, &out);
  if (out.action == RR_RELIEF_THROTTLE || out.action == RR_RELIEF_UNTHROTTLE)
    tasks[out.task_index].percent = out.percent;
  view.window_start.ms += 1000;
  view.window_end.ms += 1000;
  view.worker_now.ms += 1000;
  view.now.ms += 1000;
  return out.reason;
}

/* Decides on overloaded reports until the result is neither a throttle nor the
   wait for further reports.  */
static void
decide_past_throttles (void)
{
  for (int i = 0; i < 100; i++)
    {
      decide ();
      if (out.action == RR_RELIEF_MOVE || out.action == RR_RELIEF_STOP
          || (out.action == RR_RELIEF_NONE
              && out.reason != RR_RELIEF_STALE_REPORT
              && out.reason != RR_RELIEF_UNCONFIRMED))
        return;
    }
  ck_abort_msg ("relief only throttles");
}

/* A task must be throttled before it is moved.  */
START_TEST (throttle_precedes_move)
{
  setup (1);
  ck_assert_int_eq (decide (), RR_RELIEF_UNCONFIRMED);
  ck_assert_int_eq (decide (), RR_RELIEF_ACTION_DECIDED);
  ck_assert_int_eq (out.action, RR_RELIEF_THROTTLE);
  ck_assert_int_eq (out.percent, 50);
  decide_past_throttles ();
  ck_assert_int_eq (tasks[0].percent, 25);
  ck_assert_int_eq (out.action, RR_RELIEF_MOVE);
  ck_assert_int_eq (out.destination, 1);
  teardown ();
}
END_TEST

/* Reports arrive late.  Overloaded reports whose window began before the last
   action took effect must not cause another action, however many arrive, and
   must not count towards the next one.  */
START_TEST (reports_older_than_the_action_are_ignored)
{
  setup (1);
  decide ();
  view.worker_now.ms = 20000;
  ck_assert_int_eq (decide (), RR_RELIEF_ACTION_DECIDED);
  int actions = 0;
  while (view.window_start.ms < 20000 + policy.relief_settle_ms)
    {
      ck_assert_int_eq (decide (), RR_RELIEF_STALE_REPORT);
      actions += out.action != RR_RELIEF_NONE;
    }
  ck_assert_int_eq (actions, 0);
  ck_assert_int_eq (decide (), RR_RELIEF_UNCONFIRMED);
  ck_assert_int_eq (decide (), RR_RELIEF_ACTION_DECIDED);
  teardown ();
}
END_TEST

/* A task must not be moved to a worker where it interferes as much as here,
   and must not be stopped while no better worker exists.  */
START_TEST (eviction_needs_a_better_destination)
{
  for (int can_checkpoint = 0; can_checkpoint < 2; can_checkpoint++)
    {
      setup (1);
      tasks[0].can_checkpoint = can_checkpoint;
      struct rr_placement_task s
          = task_make (RR_WORKLOAD_SERVICE, 1, 1, 1, 500);
      rr_placement_task_add (p, 1, &s);
      decide_past_throttles ();
      ck_assert_int_eq (out.action, RR_RELIEF_NONE);
      ck_assert_int_eq (out.reason, RR_RELIEF_NO_DESTINATION);
      /* Without the service, the other worker is better.  */
      rr_placement_task_remove (p, 1, &s);
      decide_past_throttles ();
      ck_assert_int_eq (out.action,
                        can_checkpoint ? RR_RELIEF_MOVE : RR_RELIEF_STOP);
      teardown ();
    }
}
END_TEST

/* Harmless tasks must not be evicted for a high latency that they do not
   cause.  */
START_TEST (harmless_tasks_are_not_evicted)
{
  setup (2);
  tasks[0].placement.class_number = 2;
  tasks[1].placement.class_number = 2;
  tasks[0].percent = 25;
  tasks[1].percent = 25;
  decide_past_throttles ();
  ck_assert_int_eq (out.action, RR_RELIEF_NONE);
  ck_assert_int_eq (out.reason, RR_RELIEF_NO_CANDIDATE);
  teardown ();
}
END_TEST

/* The task that loses the least work must be moved, and one that has run for
   days only when no other task can be moved.  */
START_TEST (least_work_is_lost_and_long_tasks_move_last)
{
  setup (3);
  for (int i = 0; i < 3; i++)
    tasks[i].percent = 25;
  tasks[0].checkpoint_cost_ms = 1;
  tasks[0].total_ms = 3 * INT64_C (86400000);
  tasks[1].checkpoint_cost_ms = 9000;
  tasks[2].checkpoint_cost_ms = 3000;
  decide_past_throttles ();
  ck_assert_int_eq (out.action, RR_RELIEF_MOVE);
  ck_assert_uint_eq (out.task_index, 2);
  view.task_count = 1;
  decide_past_throttles ();
  ck_assert_int_eq (out.action, RR_RELIEF_MOVE);
  ck_assert_uint_eq (out.task_index, 0);
  teardown ();
}
END_TEST

/* A task must be evicted at most twice, and the evictions of a job and of a
   team must stay within their budgets.  */
START_TEST (budgets_limit_evictions)
{
  setup (1);
  tasks[0].percent = 25;
  tasks[0].evictions = 2;
  decide_past_throttles ();
  ck_assert_int_eq (out.reason, RR_RELIEF_NO_BUDGET);
  tasks[0].evictions = 0;
  int moves = 0;
  for (int i = 0; i < 20; i++)
    {
      decide_past_throttles ();
      moves += out.action == RR_RELIEF_MOVE;
    }
  ck_assert_int_eq (moves, policy.relief_job_evictions_max);
  ck_assert_int_eq (out.reason, RR_RELIEF_NO_BUDGET);
  /* Other jobs of the team can use the rest of the team's budget.  */
  moves = 0;
  for (uint64_t job = 100; job < 120; job++)
    {
      tasks[0].job = job;
      decide_past_throttles ();
      moves += out.action == RR_RELIEF_MOVE;
    }
  ck_assert_int_eq (moves, policy.relief_team_evictions_max
                               - policy.relief_job_evictions_max);
  /* The budgets are refilled over the window.  */
  view.now.ms += policy.relief_budget_window_ms;
  decide_past_throttles ();
  ck_assert_int_eq (out.action, RR_RELIEF_MOVE);
  teardown ();
}
END_TEST

/* Throttling and unthrottling must not alternate.  No action is taken between
   the two thresholds.  A throttle is relaxed only after several recovered
   reports, and after twice as many each time this led to an overload.  */
START_TEST (hysteresis_prevents_oscillation)
{
  setup (1);
  int changes = 0;
  for (int i = 0; i < 600; i++)
    {
      /* Overloaded above 50 percent, recovered at 50 and below.  */
      service.latency_ms = tasks[0].percent > 50 ? 30 : 10;
      decide ();
      changes += out.action != RR_RELIEF_NONE;
    }
  /* The waits double from 5 to 160 reports, so 600 reports contain at most 7
     waits.  After the first throttle, each of them ends with an unthrottle and
     a throttle.  */
  ck_assert_int_le (changes, 1 + 2 * 7);
  service.latency_ms = 10 * (policy.relief_cool_ratio + 0.05);
  tasks[0].percent = 50;
  for (int i = 0; i < 50; i++)
    {
      decide ();
      ck_assert_int_eq (out.action, RR_RELIEF_NONE);
    }
  teardown ();
}
END_TEST

/* No action must be based on the latency of only a few requests.  */
START_TEST (few_requests_cause_no_action)
{
  setup (1);
  service.requests = policy.relief_min_requests - 1;
  for (int i = 0; i < 10; i++)
    ck_assert_int_eq (decide (), RR_RELIEF_FEW_REQUESTS);
  teardown ();
}
END_TEST

SUITE ("relief", throttle_precedes_move,
       reports_older_than_the_action_are_ignored,
       eviction_needs_a_better_destination, harmless_tasks_are_not_evicted,
       least_work_is_lost_and_long_tasks_move_last, budgets_limit_evictions,
       hysteresis_prevents_oscillation, few_requests_cause_no_action)
