#ifndef ROSEMARYRAIL_PACING_H
#define ROSEMARYRAIL_PACING_H

#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stdint.h>

#include "rosemaryrail/clock.h"
#include "rosemaryrail/policy.h"

/* Token bucket whose rate ramps up after the start of a wave.  Plain value;
   no allocation.  */
struct rr_pacer
{
  double rate_per_s;
  double burst;
  double ramp_start; /* share of the rate at the start of a wave */
  int64_t ramp_ms;   /* time until the full rate */
  double tokens;
  bool in_wave;
  struct rr_time wave_start;
  struct rr_time last;
};

void rr_pacer_init (struct rr_pacer *pacer, double rate_per_s, double burst,
                    double ramp_start, int64_t ramp_ms, struct rr_time now);
void rr_pacer_init_restarts (struct rr_pacer *pacer,
                             const struct rr_policy *policy,
                             struct rr_time now);
void rr_pacer_init_cancels (struct rr_pacer *pacer,
                            const struct rr_policy *policy,
                            struct rr_time now);
void rr_pacer_wave_begin (struct rr_pacer *pacer, struct rr_time now);
int64_t rr_pacer_take (struct rr_pacer *pacer, int64_t wanted,
                       struct rr_time now);
int64_t rr_pacer_wait_ms (const struct rr_pacer *pacer, struct rr_time now);
int64_t rr_pacer_random_delay_ms (int64_t count, double rate_per_s,
                                  gsl_rng *rng);

#endif
