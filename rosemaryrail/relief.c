#include "rosemaryrail/relief.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "relief_budget.h"

/* A task is worth throttling when it causes at least this share of the
   expected slowdown; throttling the others costs work and gains little.  */
#define THROTTLE_SHARE_MIN 0.2

struct worker_state
{
  bool acted;
  struct rr_time last_action; /* worker's clock */
  int64_t hot;                /* hot reports in a row */
  int64_t cool;
  int64_t cool_needed; /* doubles when easing a throttle made it hot again */
  bool eased;          /* the last action eased a throttle */
};

struct rr_relief
{
  const struct rr_policy *policy;
  struct worker_state *workers;
  size_t worker_count;
  struct rr_budgets budgets;
};

/* Returns the relief of one ledger owner; the caller frees it with
   rr_relief_free.  POLICY must outlive it.  Aborts when memory is exhausted.
 */
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
state_of (struct rr_relief *relief, int worker)
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

/* Forgets what is known about WORKER, whose number may be reused.  */
void
rr_relief_worker_reset (struct rr_relief *relief, int worker)
{
  memset (state_of (relief, worker), 0, sizeof (struct worker_state));
}

/* Tells whether the budgets of JOB and TEAM allow one more eviction.  */
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

/* Charges one eviction to JOB and TEAM.  rr_relief_decide does so for its own
   evictions; callers charge evictions they make for other reasons.  */
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

/* Returns the worst latency / target over the services with enough requests,
   or -1 when there is none.  */
static double
heat_of (const struct rr_relief *relief, const struct rr_relief_view *view,
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

/* Returns the expected log slowdown that TASK causes now on the services of
   the view; WITH_CAUTION takes the cautious value.  */
static double
effect_of (const struct rr_relief_view *view,
           const struct rr_placement_worker *worker,
           const struct rr_interference *model,
           const struct rr_relief_task *task, bool with_caution)
{
  double sum = 0;
  for (size_t i = 0; i < view->service_count; i++)
    {
      int s = view->services[i].service;
      int b = task->placement.class_number;
      sum += with_caution ? rr_interference_upper_bound (model, s, b)
                          : fmax (0, rr_interference_mean (model, s, b));
    }
  return sum * (double)task->placement.size.cores_milli
         / (double)worker->total.cores_milli * task->percent / 100.0;
}

/* Chooses the task whose throttle helps most.  Returns false when no task
   above the floor has a share worth it.  */
static bool
throttle_choose (const struct rr_relief *relief,
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
      double effect = effect_of (view, worker, model, &view->tasks[i], true);
      total += effect;
      if (view->tasks[i].percent > policy->relief_throttle_floor_percent
          && effect > best)
        {
          best = effect;
          out->task_index = i;
        }
    }
  if (best <= 0 || best < THROTTLE_SHARE_MIN * total)
    return false;
  int percent = view->tasks[out->task_index].percent;
  percent -= (int)(percent * policy->relief_throttle_step_percent / 100);
  if (percent < policy->relief_throttle_floor_percent)
    percent = (int)policy->relief_throttle_floor_percent;
  out->action = RR_RELIEF_THROTTLE;
  out->percent = percent;
  return true;
}

/* Returns the work lost when TASK is evicted, in ms.  */
static double
loss_of (const struct rr_relief_task *task)
{
  return (double)(task->can_checkpoint ? task->checkpoint_cost_ms
                                       : task->since_checkpoint_ms);
}

/* Tells whether A is the better task to evict than B: tasks that have run for
   long move last, then least work lost for the effect removed.  */
static bool
better_to_evict (const struct rr_relief *relief,
                 const struct rr_relief_task *a, double effect_a,
                 const struct rr_relief_task *b, double effect_b)
{
  bool long_a = a->total_ms >= relief->policy->relief_long_task_ms;
  bool long_b = b->total_ms >= relief->policy->relief_long_task_ms;
  if (long_a != long_b)
    return long_b;
  return (loss_of (a) + 1) * effect_b < (loss_of (b) + 1) * effect_a;
}

/* Chooses a task to evict.  Each needs an effect worth removing, a budget and
   a destination that is expected, with caution, to be better than here by
   relief.min_gain.  With THROTTLED_ONLY, only tasks are considered that have
   been throttled for long and lose next to nothing by a move.  Sets
   OUT->reason to the last obstacle.  */
static bool
eviction_choose (struct rr_relief *relief, const struct rr_relief_view *view,
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
      struct rr_relief_task full = *t;
      full.percent = 100;
      double effect = effect_of (view, worker, model, &full, false);
      if (effect < policy->relief_min_gain
          || (found
              && !better_to_evict (relief, t, effect,
                                   &view->tasks[out->task_index],
                                   best_effect)))
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
      struct rr_placement_selection choice;
      if (!rr_placement_select (placement, &request, rng, &choice)
          || choice.slowdown + policy->relief_min_gain > effect)
        {
          if (!found)
            out->reason = RR_RELIEF_NO_DESTINATION;
          continue;
        }
      found = true;
      best_effect = effect;
      out->task_index = i;
      out->destination = choice.worker;
      out->action = t->can_checkpoint ? RR_RELIEF_MOVE : RR_RELIEF_STOP;
    }
  return found;
}

/* Chooses a throttle that can go altogether: the model, which may have learned
   since, expects the services to stay cool without it.  */
static bool
release_choose (const struct rr_relief *relief,
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
      struct rr_relief_task full = view->tasks[i];
      double now = effect_of (view, worker, model, &full, true);
      full.percent = 100;
      double more = effect_of (view, worker, model, &full, true) - now;
      total += now;
      if (view->tasks[i].percent < 100 && (!found || more < least))
        {
          found = true;
          least = more;
          out->task_index = i;
        }
    }
  /* Half-way between the ratios, on the log scale: with caution added, the
     worker is then not expected to get hot again.  */
  double limit = 0.5
                 * (log (relief->policy->relief_cool_ratio)
                    + log (relief->policy->relief_hot_ratio));
  if (!found || total + least > limit)
    return false;
  out->percent = 100;
  out->action = RR_RELIEF_UNTHROTTLE;
  return true;
}

/* Eases the strongest throttle by one step.  Returns false when nothing is
   throttled.  */
static bool
ease_choose (const struct rr_relief *relief, const struct rr_relief_view *view,
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

/* Records that an action was decided: reports whose window began before it
   took hold say nothing about it.  */
static void
action_record (const struct rr_relief *relief, struct worker_state *state,
               const struct rr_relief_view *view,
               struct rr_relief_decision *out)
{
  state->acted = true;
  state->last_action
      = rr_time_add (view->worker_now, relief->policy->relief_settle_ms);
  state->hot = 0;
  state->cool = 0;
  state->eased = out->action == RR_RELIEF_UNTHROTTLE;
  out->reason = RR_RELIEF_ACTION_DECIDED;
}

/* Charges an eviction to its budgets and records it.  */
static void
eviction_record (struct rr_relief *relief, struct worker_state *state,
                 const struct rr_relief_view *view,
                 struct rr_relief_decision *out)
{
  const struct rr_relief_task *t = &view->tasks[out->task_index];
  rr_relief_budget_charge (relief, t->job, t->team, view->now);
  action_record (relief, state, view, out);
}

/* Counts a hot or cool report; the band between the two ratios resets both
   counts, so that a value near one threshold can't alternate actions.  */
static void
report_count (const struct rr_relief *relief, struct worker_state *state,
              double latency_ratio)
{
  const struct rr_policy *policy = relief->policy;
  if (state->cool_needed == 0)
    state->cool_needed = policy->relief_cool_reports;
  bool hot = latency_ratio >= policy->relief_hot_ratio;
  bool cool = latency_ratio < policy->relief_cool_ratio;
  state->hot = hot ? state->hot + 1 : 0;
  state->cool = cool ? state->cool + 1 : 0;
  if (hot && state->eased)
    {
      /* Easing made it hot again: wait longer before the next attempt, up to
         32 times.  */
      state->eased = false;
      if (state->cool_needed < 32 * policy->relief_cool_reports)
        state->cool_needed *= 2;
    }
}

/* Decides on one action for the worker of VIEW, on its latest report: the
   mildest that can help, first a throttle, then checkpoint and move, then
   stop.  OUT->reason says why nothing is done.  The caller carries the action
   out, or calls rr_relief_worker_reset if it can't.  */
void
rr_relief_decide (struct rr_relief *relief, const struct rr_relief_view *view,
                  const struct rr_placement *placement,
                  const struct rr_interference *model, gsl_rng *rng,
                  struct rr_relief_decision *out)
{
  const struct rr_policy *policy = relief->policy;
  const struct rr_placement_worker *worker
      = rr_placement_worker_get (placement, view->worker);
  struct worker_state *state = state_of (relief, view->worker);
  *out = (struct rr_relief_decision){ .destination = RR_WORKER_NONE };
  out->reason = RR_RELIEF_NO_CANDIDATE;
  if (worker == NULL)
    return;
  if (state->acted && rr_time_before (view->window_start, state->last_action))
    {
      out->reason = RR_RELIEF_STALE_REPORT;
      return;
    }
  out->latency_ratio = heat_of (relief, view, model);
  if (out->latency_ratio < 0)
    {
      out->reason = RR_RELIEF_FEW_REQUESTS;
      return;
    }
  report_count (relief, state, out->latency_ratio);
  if (out->latency_ratio < policy->relief_hot_ratio)
    {
      out->reason = RR_RELIEF_NOT_OVERLOADED;
      if ((state->cool >= policy->relief_hot_reports
           && release_choose (relief, view, worker, model, out))
          || (state->cool >= state->cool_needed
              && ease_choose (relief, view, out)))
        action_record (relief, state, view, out);
      else if (eviction_choose (relief, view, placement, worker, model, rng,
                                true, out))
        eviction_record (relief, state, view, out);
      else
        out->reason = RR_RELIEF_NOT_OVERLOADED;
      return;
    }
  if (state->hot < policy->relief_hot_reports)
    {
      out->reason = RR_RELIEF_UNCONFIRMED;
      return;
    }
  if (throttle_choose (relief, view, worker, model, out))
    {
      action_record (relief, state, view, out);
      return;
    }
  if (eviction_choose (relief, view, placement, worker, model, rng, false,
                       out))
    eviction_record (relief, state, view, out);
}
