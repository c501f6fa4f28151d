#ifndef ROSEMARYRAIL_POLICY_H
#define ROSEMARYRAIL_POLICY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rosemaryrail/error.h"

/* Parameters of the decision modules.  Every field is an int64_t or a double.
   rr_policy_parameters returns the name, unit, bounds, default and meaning of
   each one; docs/policy.md explains them.  */
struct rr_policy
{
  /* placement */
  int64_t placement_candidates;
  double placement_interference_weight;
  double placement_spread_weight;
  double placement_headroom_weight;
  double placement_locality_weight;
  double placement_service_headroom;
  double placement_slowdown_max;
  int64_t placement_patience_ms;
  /* interference */
  int64_t interference_half_life_ms;
  double interference_prior_mean;
  double interference_prior_sd;
  double interference_noise_sd;
  double interference_caution;
  double interference_exploration;
  double interference_outlier_limit;
  int64_t interference_warmup_reports;
  int64_t interference_min_reports;
  double interference_change_ratio;
  double interference_change_keep;
  int64_t interference_peer_max_age_ms;
  double interference_tolerance;
  /* relief */
  double relief_hot_ratio;
  double relief_cool_ratio;
  int64_t relief_hot_reports;
  int64_t relief_cool_reports;
  int64_t relief_settle_ms;
  int64_t relief_min_requests;
  int64_t relief_throttle_step_percent;
  int64_t relief_throttle_floor_percent;
  int64_t relief_throttle_patience_ms;
  int64_t relief_long_task_ms;
  int64_t relief_task_evictions_max;
  int64_t relief_job_evictions_max;
  int64_t relief_team_evictions_max;
  int64_t relief_budget_window_ms;
  double relief_min_gain;
  /* quarantine */
  int64_t quarantine_failures;
  int64_t quarantine_starts_max;
  int64_t quarantine_confirm_ms;
  int64_t quarantine_window_ms;
  int64_t quarantine_probe_delay_ms;
  int64_t quarantine_probe_successes;
  int64_t quarantine_reopen_ms;
  double quarantine_zone_share_max;
  double quarantine_fleet_share_max;
  int64_t quarantine_job_workers;
  /* batch queue */
  int64_t queue_retry_ms;
  int64_t queue_retry_max_ms;
  int64_t queue_urgent_start_ms;
  /* estimate */
  int64_t estimate_min_samples;
  double estimate_quantile;
  double estimate_margin;
  double estimate_floor;
  int64_t estimate_half_life_ms;
  double estimate_outgrow_ratio;
  /* pacing */
  double pacing_restarts_per_s;
  double pacing_restart_burst;
  double pacing_cancels_per_s;
  double pacing_cancel_burst;
  double pacing_ramp_start;
  int64_t pacing_ramp_ms;
};

enum rr_policy_type
{
  RR_POLICY_INTEGER, /* the field is an int64_t */
  RR_POLICY_REAL     /* the field is a double */
};

/* Describes one field of struct rr_policy.  */
struct rr_policy_parameter
{
  const char *name; /* "section.parameter", as used in configurations */
  const char *unit; /* "ms", "count", "ratio", "percent", "1/s" */
  enum rr_policy_type type;
  size_t offset; /* of the field in struct rr_policy */
  double minimum;
  double maximum;
  double fallback; /* the default */
  const char *meaning;
};

const struct rr_policy_parameter *rr_policy_parameters (size_t *count);
const struct rr_policy_parameter *rr_policy_parameter_find (const char *name);
void rr_policy_init (struct rr_policy *policy);
bool rr_policy_set (struct rr_policy *policy, const char *name, double value,
                    struct rr_error *err);
bool rr_policy_check (const struct rr_policy *policy, struct rr_error *err);
double rr_policy_get (const struct rr_policy *policy,
                      const struct rr_policy_parameter *parameter);

#endif
