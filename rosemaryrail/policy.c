#include "rosemaryrail/policy.h"

#include <math.h>
#include <string.h>

#define INTEGER(field, name, unit, minimum, maximum, fallback, meaning)       \
  {                                                                           \
    name, unit, RR_POLICY_INTEGER, offsetof (struct rr_policy, field),        \
        minimum, maximum, fallback, meaning                                   \
  }
#define REAL(field, name, unit, minimum, maximum, fallback, meaning)          \
  {                                                                           \
    name, unit, RR_POLICY_REAL, offsetof (struct rr_policy, field), minimum,  \
        maximum, fallback, meaning                                            \
  }

static const struct rr_policy_parameter parameters[] = {
  INTEGER (placement_candidates, "placement.candidates", "count", 1, 64, 24,
           "fitting workers that are scored for one placement"),
  REAL (placement_interference_weight, "placement.interference_weight",
        "ratio", 0, 100, 4, "weight of the expected slowdown"),
  REAL (placement_spread_weight, "placement.spread_weight", "ratio", 0, 100,
        0.3, "weight of tasks of the same job or service nearby"),
  REAL (placement_headroom_weight, "placement.headroom_weight", "ratio", 0,
        100, 0.3, "weight of the share of the worker in use"),
  REAL (placement_locality_weight, "placement.locality_weight", "ratio", 0,
        100, 0.2, "weight of the distance to the checkpoint"),
  REAL (placement_service_headroom, "placement.service_headroom", "ratio", 0,
        0.9, 0,
        "share of a worker's cores that batch tasks leave free, except "
        "urgent ones"),
  REAL (
      placement_slowdown_max, "placement.slowdown_max", "ratio", 0, 10, 0.16,
      "expected log slowdown of a service that a batch task may bring about"),
  INTEGER (placement_patience_ms, "placement.patience", "ms", 1000, 86400000,
           600000, "wait after which placement.slowdown_max has doubled"),

  INTEGER (interference_half_life_ms, "interference.half_life", "ms", 60000,
           86400000, 600000, "age at which a report counts half"),
  REAL (interference_prior_mean, "interference.prior_mean", "ratio", 0, 10,
        0.5, "assumed effect of a class that fills a worker"),
  REAL (interference_prior_sd, "interference.prior_sd", "ratio", 0.01, 10, 0.7,
        "uncertainty of the assumed effect"),
  REAL (interference_noise_sd, "interference.noise_sd", "ratio", 0.01, 10, 0.2,
        "scatter of one report's log latency"),
  REAL (interference_caution, "interference.caution", "ratio", 0, 5, 1,
        "standard deviations added to an estimate"),
  REAL (interference_exploration, "interference.exploration", "ratio", 0, 0.5,
        0.05, "share of placements that may ignore uncertainty"),
  REAL (interference_outlier_limit, "interference.outlier_limit", "ratio", 0.5,
        20, 3, "residuals are cut at this many standard deviations"),
  INTEGER (interference_warmup_reports, "interference.warmup_reports", "count",
           0, 100, 3, "reports of a new worker that count less"),
  INTEGER (interference_min_reports, "interference.min_reports", "count", 1,
           1000, 8, "reports of a pair before it may count as harmless"),
  REAL (interference_change_ratio, "interference.change_ratio", "ratio", 1.5,
        100, 2,
        "mean squared surprise at which the workloads count as changed"),
  REAL (interference_change_keep, "interference.change_keep", "ratio", 0, 1,
        0.1, "share of what is known that survives a change"),
  INTEGER (interference_peer_max_age_ms, "interference.peer_max_age", "ms",
           10000, 86400000, 600000,
           "statistics of a silent peer are dropped after this time"),
  REAL (interference_tolerance, "interference.tolerance", "ratio", 0, 1, 0.03,
        "expected slowdown that placement treats as none"),

  REAL (relief_hot_ratio, "relief.hot_ratio", "ratio", 1.01, 10, 1.3,
        "latency / target at which a worker is hot"),
  REAL (relief_cool_ratio, "relief.cool_ratio", "ratio", 1, 10, 1.1,
        "latency / target below which a worker is cool"),
  INTEGER (relief_hot_reports, "relief.hot_reports", "count", 1, 20, 2,
           "hot reports in a row before an action"),
  INTEGER (relief_cool_reports, "relief.cool_reports", "count", 1, 100, 5,
           "cool reports in a row before a throttle is eased"),
  INTEGER (relief_settle_ms, "relief.settle", "ms", 0, 600000, 2000,
           "time an action needs to show its effect"),
  INTEGER (relief_min_requests, "relief.min_requests", "count", 1, 10000, 10,
           "requests a report needs to be judged"),
  INTEGER (relief_throttle_step_percent, "relief.throttle_step", "percent", 1,
           90, 50, "cut of a throttle, in percent of the current value"),
  INTEGER (relief_throttle_floor_percent, "relief.throttle_floor", "percent",
           1, 100, 25, "smallest throttle before a move is considered"),
  INTEGER (relief_throttle_patience_ms, "relief.throttle_patience", "ms", 1000,
           86400000, 30000, "time throttled after which a task may move"),
  INTEGER (relief_long_task_ms, "relief.long_task", "ms", 60000, 604800000,
           21600000, "run time beyond which a task moves last"),
  INTEGER (
      relief_task_evictions_max, "relief.task_evictions_max", "count", 0, 100,
      1, "evictions of one task, for any cause, after which relief spares it"),
  INTEGER (relief_job_evictions_max, "relief.job_evictions_max", "count", 0,
           10000, 4, "evictions of one job in the budget window"),
  INTEGER (relief_team_evictions_max, "relief.team_evictions_max", "count", 0,
           100000, 10, "evictions of one team in the budget window"),
  INTEGER (relief_budget_window_ms, "relief.budget_window", "ms", 60000,
           86400000, 3600000, "window of the eviction budgets"),
  REAL (relief_min_gain, "relief.min_gain", "ratio", 0, 5, 0.1,
        "expected fall of the slowdown that justifies a move"),

  INTEGER (quarantine_failures, "quarantine.failures", "count", 1, 5, 3,
           "failures blamed on a worker before it is taken out"),
  INTEGER (quarantine_starts_max, "quarantine.starts_max", "count", 1, 5, 5,
           "starts, probes included, on a worker that fails everything"),
  INTEGER (quarantine_confirm_ms, "quarantine.confirm", "ms", 100, 600000,
           10000, "run time after which a start counts as good"),
  INTEGER (quarantine_window_ms, "quarantine.window", "ms", 10000, 86400000,
           1800000, "age beyond which outcomes are ignored"),
  INTEGER (quarantine_probe_delay_ms, "quarantine.probe_delay", "ms", 1000,
           86400000, 60000, "delay of the first probe; doubles per failure"),
  INTEGER (quarantine_probe_successes, "quarantine.probe_successes", "count",
           1, 5, 2, "good probes before a worker returns"),
  INTEGER (quarantine_reopen_ms, "quarantine.reopen", "ms", 60000, 604800000,
           21600000, "time after which a closed worker is tried afresh"),
  REAL (quarantine_zone_share_max, "quarantine.zone_share_max", "ratio", 0, 1,
        0.25, "share of a zone's workers that may be out at once"),
  REAL (quarantine_fleet_share_max, "quarantine.fleet_share_max", "ratio", 0,
        1, 0.15, "share of all workers that may be out at once"),
  INTEGER (quarantine_job_workers, "quarantine.job_workers", "count", 2, 10, 2,
           "other workers on which a job must fail to bear the blame"),

  INTEGER (queue_retry_ms, "queue.retry", "ms", 10, 60000, 1000,
           "first delay before a job without room is tried again"),
  INTEGER (queue_retry_max_ms, "queue.retry_max", "ms", 10, 600000, 30000,
           "longest delay before a job without room is tried again"),
  INTEGER (queue_urgent_start_ms, "queue.urgent_start", "ms", 100, 60000, 2900,
           "time within which urgent work should start"),

  INTEGER (estimate_min_samples, "estimate.min_samples", "count", 1, 100, 5,
           "finished tasks before declared sizes are lowered"),
  REAL (estimate_quantile, "estimate.quantile", "ratio", 0.5, 1, 0.95,
        "quantile of the usage that is reserved"),
  REAL (estimate_margin, "estimate.margin", "ratio", 1, 3, 1.15,
        "factor on the quantile"),
  REAL (estimate_floor, "estimate.floor", "ratio", 0, 1, 0.1,
        "smallest reservation as a share of the declared size"),
  INTEGER (estimate_half_life_ms, "estimate.half_life", "ms", 60000, 604800000,
           86400000, "age at which a sample counts half"),
  REAL (estimate_outgrow_ratio, "estimate.outgrow_ratio", "ratio", 0.5, 1, 0.9,
        "usage / reservation at which a reservation grows"),

  REAL (pacing_restarts_per_s, "pacing.restarts", "1/s", 0.1, 1000, 40,
        "restarts after the loss of workers"),
  REAL (pacing_restart_burst, "pacing.restart_burst", "count", 1, 1000, 20,
        "restarts that may happen at once"),
  REAL (pacing_cancels_per_s, "pacing.cancels", "1/s", 1, 10000, 500,
        "cancellations sent to workers"),
  REAL (pacing_cancel_burst, "pacing.cancel_burst", "count", 1, 10000, 100,
        "cancellations that may be sent at once"),
  REAL (pacing_ramp_start, "pacing.ramp_start", "ratio", 0.01, 1, 0.25,
        "share of the rate at the start of a wave"),
  INTEGER (pacing_ramp_ms, "pacing.ramp", "ms", 0, 600000, 10000,
           "time until a wave runs at the full rate"),
};

static void
field_set (struct rr_policy *policy, const struct rr_policy_parameter *p,
           double value)
{
  char *field = (char *)policy + p->offset;
  switch (p->type)
    {
    case RR_POLICY_INTEGER:
      {
        int64_t n = (int64_t)value;
        memcpy (field, &n, sizeof n);
        return;
      }
    case RR_POLICY_REAL:
      memcpy (field, &value, sizeof value);
      return;
    }
}

/* Returns the table of all parameters and stores their number in COUNT.  */
const struct rr_policy_parameter *
rr_policy_parameters (size_t *count)
{
  *count = sizeof parameters / sizeof parameters[0];
  return parameters;
}

/* Returns the parameter with the NAME "section.parameter", or null.  */
const struct rr_policy_parameter *
rr_policy_parameter_find (const char *name)
{
  for (size_t i = 0; i < sizeof parameters / sizeof parameters[0]; i++)
    if (strcmp (parameters[i].name, name) == 0)
      return &parameters[i];
  return NULL;
}

/* Sets every parameter to its default.  */
void
rr_policy_init (struct rr_policy *policy)
{
  memset (policy, 0, sizeof *policy);
  for (size_t i = 0; i < sizeof parameters / sizeof parameters[0]; i++)
    field_set (policy, &parameters[i], parameters[i].fallback);
}

/* Sets the parameter NAME to VALUE, in the parameter's unit.  Fails with
   RR_ERROR_NOT_FOUND when there is no such parameter, and with
   RR_ERROR_INVALID when VALUE is out of bounds or is not an integer but has to
   be one.  POLICY is unchanged on failure.  */
bool
rr_policy_set (struct rr_policy *policy, const char *name, double value,
               struct rr_error *err)
{
  const struct rr_policy_parameter *p = rr_policy_parameter_find (name);
  if (p == NULL)
    return rr_error_set (err, RR_ERROR_NOT_FOUND, "no parameter \"%s\"", name);
  if (!(value >= p->minimum && value <= p->maximum))
    return rr_error_set (err, RR_ERROR_INVALID,
                         "%s is %g %s, must be from %g to %g", name, value,
                         p->unit, p->minimum, p->maximum);
  if (p->type == RR_POLICY_INTEGER && value != floor (value))
    return rr_error_set (err, RR_ERROR_INVALID,
                         "%s is %g, must be a whole number", name, value);
  field_set (policy, p, value);
  return true;
}

/* Checks the constraints between two parameters.  Fails with RR_ERROR_INVALID
   and an error message that names both.  */
bool
rr_policy_check (const struct rr_policy *policy, struct rr_error *err)
{
  if (policy->relief_cool_ratio >= policy->relief_hot_ratio)
    return rr_error_set (err, RR_ERROR_INVALID,
                         "relief.cool_ratio (%g) must be below "
                         "relief.hot_ratio (%g)",
                         policy->relief_cool_ratio, policy->relief_hot_ratio);
  if (policy->quarantine_failures > policy->quarantine_starts_max)
    return rr_error_set (err, RR_ERROR_INVALID,
                         "quarantine.failures must not exceed "
                         "quarantine.starts_max");
  if (policy->queue_retry_ms > policy->queue_retry_max_ms)
    return rr_error_set (err, RR_ERROR_INVALID,
                         "queue.retry must not exceed queue.retry_max");
  return true;
}

/* Returns the value of PARAMETER in POLICY, in the parameter's unit.  */
double
rr_policy_get (const struct rr_policy *policy,
               const struct rr_policy_parameter *parameter)
{
  const char *field = (const char *)policy + parameter->offset;
  switch (parameter->type)
    {
    case RR_POLICY_INTEGER:
      {
        int64_t n;
        memcpy (&n, field, sizeof n);
        return (double)n;
      }
    case RR_POLICY_REAL:
      {
        double x;
        memcpy (&x, field, sizeof x);
        return x;
      }
    }
  return 0;
}
