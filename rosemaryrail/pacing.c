#include "rosemaryrail/pacing.h"

#include <math.h>

/* Sets PACER to RATE_PER_S events per second with at most BURST at once.
   During the first RAMP_MS after rr_pacer_wave_begin the rate climbs from
   RAMP_START times the rate.  Starts with a full bucket.  */
void
rr_pacer_init (struct rr_pacer *pacer, double rate_per_s, double burst,
               double ramp_start, int64_t ramp_ms, struct rr_time now)
{
  *pacer = (struct rr_pacer){ .rate_per_s = rate_per_s,
                              .burst = burst,
                              .ramp_start = ramp_start,
                              .ramp_ms = ramp_ms,
                              .tokens = burst,
                              .wave_start = now,
                              .last = now };
}

/* Sets PACER up for restarts after the loss of workers.  */
void
rr_pacer_init_restarts (struct rr_pacer *pacer, const struct rr_policy *policy,
                        struct rr_time now)
{
  rr_pacer_init (pacer, policy->pacing_restarts_per_s,
                 policy->pacing_restart_burst, policy->pacing_ramp_start,
                 policy->pacing_ramp_ms, now);
}

/* Sets PACER up for cancellations, which need no ramp: they only free
   capacity.  */
void
rr_pacer_init_cancels (struct rr_pacer *pacer, const struct rr_policy *policy,
                       struct rr_time now)
{
  rr_pacer_init (pacer, policy->pacing_cancels_per_s,
                 policy->pacing_cancel_burst, 1, 0, now);
}

/* Returns the rate at time T, in events per ms.  */
static double
rate_at (const struct rr_pacer *pacer, struct rr_time t)
{
  double rate = pacer->rate_per_s / 1000;
  int64_t age = rr_time_diff (t, pacer->wave_start);
  if (!pacer->in_wave || pacer->ramp_ms == 0 || age >= pacer->ramp_ms)
    return rate;
  double done = age < 0 ? 0 : (double)age / (double)pacer->ramp_ms;
  return rate * (pacer->ramp_start + (1 - pacer->ramp_start) * done);
}

/* Adds the tokens earned since the last call.  The rate in the middle of the
   interval is exact while the ramp is linear.  */
static void
earn (struct rr_pacer *pacer, struct rr_time now)
{
  int64_t passed = rr_time_diff (now, pacer->last);
  if (passed <= 0)
    return;
  struct rr_time middle = rr_time_add (pacer->last, passed / 2);
  pacer->tokens = fmin (
      pacer->burst, pacer->tokens + rate_at (pacer, middle) * (double)passed);
  pacer->last = now;
}

/* Tells PACER that a wave begins: the rate starts low and the burst is
   reduced in the same proportion.  A wave within the ramp of the previous one
   does not restart the ramp, so that repeated losses can't hold back restarts
   for ever.  */
void
rr_pacer_wave_begin (struct rr_pacer *pacer, struct rr_time now)
{
  earn (pacer, now);
  if (pacer->in_wave && rr_time_diff (now, pacer->wave_start) < pacer->ramp_ms)
    return;
  pacer->in_wave = true;
  pacer->wave_start = now;
  pacer->tokens
      = fmin (pacer->tokens, fmax (1, pacer->burst * pacer->ramp_start));
}

/* Takes up to WANTED events and returns how many may happen now.  */
int64_t
rr_pacer_take (struct rr_pacer *pacer, int64_t wanted, struct rr_time now)
{
  earn (pacer, now);
  int64_t given = (int64_t)floor (pacer->tokens + 1e-9);
  if (given > wanted)
    given = wanted;
  if (given < 0)
    given = 0;
  pacer->tokens -= (double)given;
  return given;
}

/* Returns the ms until the next event may happen, at least 1 when none may
   happen now; the present rate is assumed.  */
int64_t
rr_pacer_wait_ms (const struct rr_pacer *pacer, struct rr_time now)
{
  struct rr_pacer p = *pacer;
  earn (&p, now);
  if (p.tokens >= 1 - 1e-9)
    return 0;
  return (int64_t)ceil ((1 - p.tokens) / rate_at (&p, now));
}

/* Returns a random delay in ms from 0 to the time that COUNT events take at
   RATE_PER_S; gives each of COUNT parties that act on their own a different
   moment.  */
int64_t
rr_pacer_random_delay_ms (int64_t count, double rate_per_s, gsl_rng *rng)
{
  return (int64_t)(gsl_rng_uniform (rng) * (double)count * 1000 / rate_per_s);
}
