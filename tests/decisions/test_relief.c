#include <string.h>

#include "rosemaryrail/relief.h"
#include "suite.h"

/* Worker 0 runs the service and the tasks of the view, worker 1 is empty.
   Batch class 1 is known to be noisy, 2 to be harmless.  */
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
begin (size_t task_count)
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
end (void)
{
  rr_relief_free (relief);
  rr_placement_free (p);
  rr_interference_free (model);
  gsl_rng_free (rng);
}

/* Decides on the present view, then advances it by one report.  A throttle is
   applied to the view.  */
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

/* Decides on hot reports until something other than a throttle happens.  */
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

/* Guards against evicting at once: the order is throttle, then move.  */
START_TEST (throttle_precedes_move)
{
  begin (1);
  ck_assert_int_eq (decide (), RR_RELIEF_UNCONFIRMED);
  ck_assert_int_eq (decide (), RR_RELIEF_ACTION_DECIDED);
  ck_assert_int_eq (out.action, RR_RELIEF_THROTTLE);
  ck_assert_int_eq (out.percent, 50);
  decide_past_throttles ();
  ck_assert_int_eq (tasks[0].percent, 25);
  ck_assert_int_eq (out.action, RR_RELIEF_MOVE);
  ck_assert_int_eq (out.destination, 1);
  end ();
}
END_TEST

/* Guards against relief that chases the lag of its reports: hot reports whose
   window began before the last action took hold cause nothing, however many
   arrive, and do not count towards the next action.  */
START_TEST (reports_older_than_the_action_are_ignored)
{
  begin (1);
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
  end ();
}
END_TEST

/* Guards against moving a noisy task to a place where it does the same, and
   against stopping it without a better place.  */
START_TEST (eviction_needs_a_better_destination)
{
  for (int can_checkpoint = 0; can_checkpoint < 2; can_checkpoint++)
    {
      begin (1);
      tasks[0].can_checkpoint = can_checkpoint;
      struct rr_placement_task s
          = task_make (RR_WORKLOAD_SERVICE, 1, 1, 1, 500);
      rr_placement_task_add (p, 1, &s);
      decide_past_throttles ();
      ck_assert_int_eq (out.action, RR_RELIEF_NONE);
      ck_assert_int_eq (out.reason, RR_RELIEF_NO_DESTINATION);
      /* Once the other worker is free of the service, it is better.  */
      rr_placement_task_remove (p, 1, &s);
      decide_past_throttles ();
      ck_assert_int_eq (out.action,
                        can_checkpoint ? RR_RELIEF_MOVE : RR_RELIEF_STOP);
      end ();
    }
}
END_TEST

/* Guards against evicting harmless work for heat it does not cause.  */
START_TEST (harmless_tasks_are_not_blamed)
{
  begin (2);
  tasks[0].placement.class_number = 2;
  tasks[1].placement.class_number = 2;
  tasks[0].percent = 25;
  tasks[1].percent = 25;
  decide_past_throttles ();
  ck_assert_int_eq (out.action, RR_RELIEF_NONE);
  ck_assert_int_eq (out.reason, RR_RELIEF_NO_CANDIDATE);
  end ();
}
END_TEST

/* Guards against losing more work than needed, and against moving a task that
   has run for days while another one would do.  */
START_TEST (least_work_is_lost_and_long_tasks_move_last)
{
  begin (3);
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
  end ();
}
END_TEST

/* Guards against a task evicted more than twice and against a job or team
   that pays for everybody's heat.  */
START_TEST (budgets_limit_evictions)
{
  begin (1);
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
  /* Other jobs of the team have what is left of the team's budget.  */
  moves = 0;
  for (uint64_t job = 100; job < 120; job++)
    {
      tasks[0].job = job;
      decide_past_throttles ();
      moves += out.action == RR_RELIEF_MOVE;
    }
  ck_assert_int_eq (moves, policy.relief_team_evictions_max
                               - policy.relief_job_evictions_max);
  /* The budget comes back over the window.  */
  view.now.ms += policy.relief_budget_window_ms;
  decide_past_throttles ();
  ck_assert_int_eq (out.action, RR_RELIEF_MOVE);
  end ();
}
END_TEST

/* Guards against alternating throttle and release: a band between the two
   thresholds, several cool reports before a release, and twice as many after
   each release that made the worker hot again.  */
START_TEST (hysteresis_prevents_oscillation)
{
  begin (1);
  int changes = 0;
  for (int i = 0; i < 600; i++)
    {
      /* Hot above 50 percent, cool at 50 and below.  */
      service.latency_ms = tasks[0].percent > 50 ? 30 : 10;
      decide ();
      changes += out.action != RR_RELIEF_NONE;
    }
  /* The waits double from 5 to 160 reports: 600 reports hold at most 7 of
     them, each with a release and a throttle, after the first throttle.  */
  ck_assert_int_le (changes, 1 + 2 * 7);
  service.latency_ms = 10 * (policy.relief_cool_ratio + 0.05);
  tasks[0].percent = 50;
  for (int i = 0; i < 50; i++)
    {
      decide ();
      ck_assert_int_eq (out.action, RR_RELIEF_NONE);
    }
  end ();
}
END_TEST

/* Guards against judging a worker by a handful of requests.  */
START_TEST (few_requests_are_no_evidence)
{
  begin (1);
  service.requests = policy.relief_min_requests - 1;
  for (int i = 0; i < 10; i++)
    ck_assert_int_eq (decide (), RR_RELIEF_FEW_REQUESTS);
  end ();
}
END_TEST

SUITE ("relief", throttle_precedes_move,
       reports_older_than_the_action_are_ignored,
       eviction_needs_a_better_destination, harmless_tasks_are_not_blamed,
       least_work_is_lost_and_long_tasks_move_last, budgets_limit_evictions,
       hysteresis_prevents_oscillation, few_requests_are_no_evidence)
