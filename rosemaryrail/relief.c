#include "rosemaryrail/relief.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "relief_budget.h"

/* A task is throttled only if it causes at least this share of the expected
   slowdown: throttling the others would delay batch work for little gain.  */
#define THROTTLE_EFFECT_SHARE_MIN 0.2

/* State of a worker between reports.  A report is overloaded when its latency
   ratio is at least relief.hot_ratio, recovered when it is below
   relief.cool_ratio.  */
struct worker_state
{
  bool acted;
  struct rr_time valid_from;   /* if ACTED: windows that begin earlier are
                                  ignored; worker's clock */
  int64_t overloaded_reports;  /* consecutive */
  int64_t recovered_reports;   /* consecutive */
  int64_t relax_after_reports; /* recovered reports before a throttle is
                                  relaxed; doubles each time the worker is
                                  overloaded again afterwards */
  bool last_was_unthrottle;    /* the last action raised a throttle limit */
};

struct rr_relief
{
  const struct rr_policy *policy;
  struct worker_state *workers;
  size_t worker_count;
  struct rr_budgets budgets;
};

/* Returns an empty relief state, which the caller frees with rr_relief_free.
   POLICY must outlive it.  Aborts when memory is exhausted.  */
struct rr_relief *
rr_relief_new (const struct rr_policy *policy)
{
  struct rr_relief *relief = calloc (1, sizeof *relief);
  if (relief == NULL)
    abort ();
  relief->policy = policy;
  return relief;
}

/* Frees RELIEF, which may be null.  */
void
rr_relief_free (struct rr_relief *relief)
{
  if (relief == NULL)
    return;
  free (relief->workers);
  rr_budgets_free (&relief->budgets);
  free (relief);
}

static struct worker_state *
worker_state_get (struct rr_relief *relief, int worker)
{
  size_t n = (size_t)worker + 1;
  if (n > relief->worker_count)
    {
      relief->workers = realloc (relief->workers, n * sizeof *relief->workers);
      if (relief->workers == NULL)
        abort ();
      memset (relief->workers + relief->worker_count, 0,
              (n - relief->worker_count) * sizeof *relief->workers);
      relief->worker_count = n;
    }
  return &relief->workers[worker];
}

/* Resets the state of WORKER, for instance before its number is reused.  */
void
rr_relief_worker_reset (struct rr_relief *relief, int worker)
{
  memset (worker_state_get (relief, worker), 0, sizeof (struct worker_state));
}

/* Returns whether the budgets of JOB and TEAM allow one more eviction.  */
bool
rr_relief_budget_allows (struct rr_relief *relief, uint64_t job, uint64_t team,
                         struct rr_time now)
{
  const struct rr_policy *policy = relief->policy;
  return rr_budgets_allow (&relief->budgets, RR_BUDGET_JOB, job,
                           policy->relief_job_evictions_max,
                           policy->relief_budget_window_ms, now)
         && rr_budgets_allow (&relief->budgets, RR_BUDGET_TEAM, team,
                              policy->relief_team_evictions_max,
                              policy->relief_budget_window_ms, now);
}

/* Charges one eviction to the budgets of JOB and TEAM.  rr_relief_decide does
   this for the evictions that it decides; callers do it for evictions for
   other reasons.  */
void
rr_relief_budget_charge (struct rr_relief *relief, uint64_t job, uint64_t team,
                         struct rr_time now)
{
  const struct rr_policy *policy = relief->policy;
  rr_budgets_charge (&relief->budgets, RR_BUDGET_JOB, job,
                     policy->relief_job_evictions_max,
                     policy->relief_budget_window_ms, now);
  rr_budgets_charge (&relief->budgets, RR_BUDGET_TEAM, team,
                     policy->relief_team_evictions_max,
                     policy->relief_budget_window_ms, now);
}

/* Returns the largest latency / target of the services with enough requests,
   or -1 when there is none.  */
static double
max_latency_ratio (const struct rr_relief *relief,
                   const struct rr_relief_view *view,
                   const struct rr_interference *model)
{
  double latency_ratio = -1;
  for (size_t i = 0; i < view->service_count; i++)
    {
      const struct rr_relief_service *s = &view->services[i];
      double target = s->target_ms > 0
                          ? s->target_ms
                          : rr_interference_base_ms (model, s->service);
      if (s->requests >= relief->policy->relief_min_requests && target > 0)
        latency_ratio = fmax (latency_ratio, s->latency_ms / target);
    }
  return latency_ratio;
}

/* Returns the log slowdown of the services of VIEW that TASK causes at its
   current throttle limit: the upper bound with UPPER_BOUND, otherwise the
   expected value.  */
static double
task_effect (const struct rr_relief_view *view,
             const struct rr_placement_worker *worker,
             const struct rr_interference *model,
             const struct rr_relief_task *task, bool upper_bound)
{
  double sum = 0;
  for (size_t i = 0; i < view->service_count; i++)
    {
      int s = view->services[i].service;
      int b = task->placement.class_number;
      sum += upper_bound ? rr_interference_upper_bound (model, s, b)
                         : fmax (0, rr_interference_mean (model, s, b));
    }
  return sum * (double)task->placement.size.cores_milli
         / (double)worker->total.cores_milli * task->percent / 100.0;
}

/* Selects the task with the largest effect among those above the throttle
   floor.  Returns false when its share of the slowdown is too small or there
   is none.  */
static bool
throttle_select (const struct rr_relief *relief,
                 const struct rr_relief_view *view,
                 const struct rr_placement_worker *worker,
                 const struct rr_interference *model,
                 struct rr_relief_decision *out)
{
  const struct rr_policy *policy = relief->policy;
  double total = 0;
  double best = 0;
  for (size_t i = 0; i < view->task_count; i++)
    {
      double effect = task_effect (view, worker, model, &view->tasks[i], true);
      total += effect;
      if (view->tasks[i].percent > policy->relief_throttle_floor_percent
          && effect > best)
        {
          best = effect;
          out->task_index = i;
        }
    }
  if (best <= 0 || best < THROTTLE_EFFECT_SHARE_MIN * total)
    return false;
  int percent = view->tasks[out->task_index].percent;
  percent -= (int)(percent * policy->relief_throttle_step_percent / 100);
  if (percent < policy->relief_throttle_floor_percent)
    percent = (int)policy->relief_throttle_floor_percent;
  out->action = RR_RELIEF_THROTTLE;
  out->percent = percent;
  return true;
}

/* Returns the work in ms that is lost when TASK is evicted.  */
static double
work_lost_ms (const struct rr_relief_task *task)
{
  return (double)(task->can_checkpoint ? task->checkpoint_cost_ms
                                       : task->since_checkpoint_ms);
}

/* Returns whether A should be evicted rather than B.  A task whose total run
   time is at least relief.long_task is evicted last; otherwise the task that
   loses less work per effect removed is evicted first.  */
static bool
evicted_before (const struct rr_relief *relief, const struct rr_relief_task *a,
                double effect_a, const struct rr_relief_task *b,
                double effect_b)
{
  bool long_a = a->total_ms >= relief->policy->relief_long_task_ms;
  bool long_b = b->total_ms >= relief->policy->relief_long_task_ms;
  if (long_a != long_b)
    return long_b;
  return (work_lost_ms (a) + 1) * effect_b < (work_lost_ms (b) + 1) * effect_a;
}

/* Selects a task to evict.  Its effect must be at least relief.min_gain, its
   budgets must allow it, and there must be a destination where the upper bound
   of the slowdown is lower by at least relief.min_gain than its effect here.
   With THROTTLED_ONLY, only tasks are considered that have been throttled for
   relief.throttle_patience and can be checkpointed, so that a move loses
   little work.  If no task is found, OUT->reason is the last reason for which
   one was rejected.  */
static bool
eviction_select (struct rr_relief *relief, const struct rr_relief_view *view,
                 const struct rr_placement *placement,
                 const struct rr_placement_worker *worker,
                 const struct rr_interference *model, gsl_rng *rng,
                 bool throttled_only, struct rr_relief_decision *out)
{
  const struct rr_policy *policy = relief->policy;
  bool found = false;
  double best_effect = 0;
  out->reason = RR_RELIEF_NO_CANDIDATE;
  for (size_t i = 0; i < view->task_count; i++)
    {
      const struct rr_relief_task *t = &view->tasks[i];
      if (throttled_only
          && (t->percent == 100 || !t->can_checkpoint
              || t->throttled_ms < policy->relief_throttle_patience_ms))
        continue;
      struct rr_relief_task unthrottled = *t;
      unthrottled.percent = 100;
      double effect = task_effect (view, worker, model, &unthrottled, false);
      if (effect < policy->relief_min_gain
          || (found
              && !evicted_before (relief, t, effect,
                                  &view->tasks[out->task_index], best_effect)))
        continue;
      if (t->evictions >= policy->relief_task_evictions_max
          || !rr_relief_budget_allows (relief, t->job, t->team, view->now))
        {
          if (!found)
            out->reason = RR_RELIEF_NO_BUDGET;
          continue;
        }
      int here = view->worker;
      struct rr_placement_request request = {
        .task = t->placement,
        .checkpoint_worker = RR_WORKER_NONE,
        .checkpoint_zone = worker->zone,
        .avoid = &here,
        .avoid_count = 1,
      };
      struct rr_placement_selection selection;
      if (!rr_placement_select (placement, &request, rng, &selection)
          || selection.slowdown + policy->relief_min_gain > effect)
        {
          if (!found)
            out->reason = RR_RELIEF_NO_DESTINATION;
          continue;
        }
      found = true;
      best_effect = effect;
      out->task_index = i;
      out->destination = selection.worker;
      out->action = t->can_checkpoint ? RR_RELIEF_MOVE : RR_RELIEF_STOP;
    }
  return found;
}

/* Selects a throttled task that can run at 100 percent again, because the
   services are not expected to become overloaded by it.  The estimates may
   have changed since it was throttled.  */
static bool
unthrottle_select (const struct rr_relief *relief,
                   const struct rr_relief_view *view,
                   const struct rr_placement_worker *worker,
                   const struct rr_interference *model,
                   struct rr_relief_decision *out)
{
  double total = 0;
  double least = 0;
  bool found = false;
  for (size_t i = 0; i < view->task_count; i++)
    {
      struct rr_relief_task unthrottled = view->tasks[i];
      double now = task_effect (view, worker, model, &unthrottled, true);
      unthrottled.percent = 100;
      double more
          = task_effect (view, worker, model, &unthrottled, true) - now;
      total += now;
      if (view->tasks[i].percent < 100 && (!found || more < least))
        {
          found = true;
          least = more;
          out->task_index = i;
        }
    }
  /* Half-way between the two ratios on the log scale.  The effects are upper
     bounds, so below it the worker is not expected to be overloaded again.  */
  double limit = 0.5
                 * (log (relief->policy->relief_cool_ratio)
                    + log (relief->policy->relief_hot_ratio));
  if (!found || total + least > limit)
    return false;
  out->percent = 100;
  out->action = RR_RELIEF_UNTHROTTLE;
  return true;
}

/* Raises the limit of the task that is throttled most by one step.  Returns
   false when no task is throttled.  */
static bool
throttle_relax (const struct rr_relief *relief,
                const struct rr_relief_view *view,
                struct rr_relief_decision *out)
{
  int least = 100;
  for (size_t i = 0; i < view->task_count; i++)
    if (view->tasks[i].percent < least)
      {
        least = view->tasks[i].percent;
        out->task_index = i;
      }
  if (least == 100)
    return false;
  int step = (int)relief->policy->relief_throttle_step_percent;
  int percent = least * 100 / (100 - step);
  out->percent = percent > 100 ? 100 : percent;
  out->action = RR_RELIEF_UNTHROTTLE;
  return true;
}

/* Records that an action was decided.  Reports whose window begins before it
   takes effect are ignored, because they do not show its result.  */
static void
action_record (const struct rr_relief *relief, struct worker_state *state,
               const struct rr_relief_view *view,
               struct rr_relief_decision *out)
{
  state->acted = true;
  state->valid_from
      = rr_time_add (view->worker_now, relief->policy->relief_settle_ms);
  state->overloaded_reports = 0;
  state->recovered_reports = 0;
  state->last_was_unthrottle = out->action == RR_RELIEF_UNTHROTTLE;
  out->reason = RR_RELIEF_ACTION_DECIDED;
}

/* Charges the eviction in OUT to its budgets and records the action.  */
static void
eviction_record (struct rr_relief *relief, struct worker_state *state,
                 const struct rr_relief_view *view,
                 struct rr_relief_decision *out)
{
  const struct rr_relief_task *t = &view->tasks[out->task_index];
  rr_relief_budget_charge (relief, t->job, t->team, view->now);
  action_record (relief, state, view, out);
}

/* Counts an overloaded or recovered report.  A ratio between the two
   thresholds resets both counts, so that values around one threshold can't
   cause alternating actions.  */
static void
report_count (const struct rr_relief *relief, struct worker_state *state,
              double latency_ratio)
{
  const struct rr_policy *policy = relief->policy;
  if (state->relax_after_reports == 0)
    state->relax_after_reports = policy->relief_cool_reports;
  bool overloaded = latency_ratio >= policy->relief_hot_ratio;
  bool recovered = latency_ratio < policy->relief_cool_ratio;
  state->overloaded_reports = overloaded ? state->overloaded_reports + 1 : 0;
  state->recovered_reports = recovered ? state->recovered_reports + 1 : 0;
  if (overloaded && state->last_was_unthrottle)
    {
      /* The worker is overloaded again after a throttle was relaxed: wait for
         twice as many reports before the next attempt, up to 32 times
         relief.cool_reports.  */
      state->last_was_unthrottle = false;
      if (state->relax_after_reports < 32 * policy->relief_cool_reports)
        state->relax_after_reports *= 2;
    }
}

/* Decides on at most one action for the worker of VIEW, given its latest
   report.  The least disruptive action that is expected to help is taken:
   throttle, then checkpoint and move, then stop.  OUT->reason says why nothing
   is done.  The caller must execute the action, or call rr_relief_worker_reset
   if it can't.  */
void
rr_relief_decide (struct rr_relief *relief, const struct rr_relief_view *view,
                  const struct rr_placement *placement,
                  const struct rr_interference *model, gsl_rng *rng,
                  struct rr_relief_decision *out)
{
  const struct rr_policy *policy = relief->policy;
  const struct rr_placement_worker *worker
      = rr_placement_worker_get (placement, view->worker);
  struct worker_state *state = worker_state_get (relief, view->worker);
  *out = (struct rr_relief_decision){ .destination = RR_WORKER_NONE };
  out->reason = RR_RELIEF_NO_CANDIDATE;
  if (worker == NULL)
    return;
  if (state->acted && rr_time_before (view->window_start, state->valid_from))
    {
      out->reason = RR_RELIEF_STALE_REPORT;
      return;
    }
  out->latency_ratio = max_latency_ratio (relief, view, model);
  if (out->latency_ratio < 0)
    {
      out->reason = RR_RELIEF_FEW_REQUESTS;
      return;
    }
  report_count (relief, state, out->latency_ratio);
  if (out->latency_ratio < policy->relief_hot_ratio)
    {
      out->reason = RR_RELIEF_NOT_OVERLOADED;
      if ((state->recovered_reports >= policy->relief_hot_reports
           && unthrottle_select (relief, view, worker, model, out))
          || (state->recovered_reports >= state->relax_after_reports
              && throttle_relax (relief, view, out)))
        action_record (relief, state, view, out);
      else if (eviction_select (relief, view, placement, worker, model, rng,
                                true, out))
        eviction_record (relief, state, view, out);
      else
        out->reason = RR_RELIEF_NOT_OVERLOADED;
      return;
    }
  if (state->overloaded_reports < policy->relief_hot_reports)
    {
      out->reason = RR_RELIEF_UNCONFIRMED;
      return;
    }
  if (throttle_select (relief, view, worker, model, out))
    {
      action_record (relief, state, view, out);
      return;
    }
  if (eviction_select (relief, view, placement, worker, model, rng, false,
                       out))
    eviction_record (relief, state, view, out);
}
