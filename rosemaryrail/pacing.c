#include "rosemaryrail/pacing.h"

#include <math.h>

/* Initialises PACER with a full bucket for RATE_PER_S events per second and at
   most BURST at once.  In the first RAMP_MS after rr_pacer_wave_begin the rate
   rises linearly from RAMP_START * RATE_PER_S to RATE_PER_S.  */
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

/* Initialises PACER for restarts after the loss of workers.  */
void
rr_pacer_init_restarts (struct rr_pacer *pacer, const struct rr_policy *policy,
                        struct rr_time now)
{
  rr_pacer_init (pacer, policy->pacing_restarts_per_s,
                 policy->pacing_restart_burst, policy->pacing_ramp_start,
                 policy->pacing_ramp_ms, now);
}

/* Initialises PACER for cancellations, which need no ramp since they only free
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

/* Adds the tokens for the time since the last call.  They are computed from
   the rate in the middle of the interval, which is exact where the rate is
   linear.  */
static void
tokens_refill (struct rr_pacer *pacer, struct rr_time now)
{
  int64_t elapsed_ms = rr_time_diff (now, pacer->last);
  if (elapsed_ms <= 0)
    return;
  struct rr_time middle = rr_time_add (pacer->last, elapsed_ms / 2);
  pacer->tokens
      = fmin (pacer->burst,
              pacer->tokens + rate_at (pacer, middle) * (double)elapsed_ms);
  pacer->last = now;
}

/* Begins a wave: the rate is reduced to the start of the ramp and the burst in
   the same proportion.  A wave that begins during the ramp of the previous one
   does not restart the ramp, so that repeated losses of workers can't delay
   restarts indefinitely.  */
void
rr_pacer_wave_begin (struct rr_pacer *pacer, struct rr_time now)
{
  tokens_refill (pacer, now);
  if (pacer->in_wave && rr_time_diff (now, pacer->wave_start) < pacer->ramp_ms)
    return;
  pacer->in_wave = true;
  pacer->wave_start = now;
  pacer->tokens
      = fmin (pacer->tokens, fmax (1, pacer->burst * pacer->ramp_start));
}

/* Takes up to WANTED tokens and returns the number taken, which is the number
   of events allowed at NOW.  */
int64_t
rr_pacer_take (struct rr_pacer *pacer, int64_t wanted, struct rr_time now)
{
  tokens_refill (pacer, now);
  int64_t granted = (int64_t)floor (pacer->tokens + 1e-9);
  if (granted > wanted)
    granted = wanted;
  if (granted < 0)
    granted = 0;
  pacer->tokens -= (double)granted;
  return granted;
}

/* Returns the time in ms until the next event is allowed at the present rate:
   0 when one is allowed at NOW, else at least 1.  */
int64_t
rr_pacer_wait_ms (const struct rr_pacer *pacer, struct rr_time now)
{
  struct rr_pacer p = *pacer;
  tokens_refill (&p, now);
  if (p.tokens >= 1 - 1e-9)
    return 0;
  return (int64_t)ceil ((1 - p.tokens) / rate_at (&p, now));
}

/* Returns a random delay in ms between 0 and the time that COUNT events take
   at RATE_PER_S.  It spreads the events of COUNT independent processes over
   that time.  */
int64_t
rr_pacer_random_delay_ms (int64_t count, double rate_per_s, gsl_rng *rng)
{
  return (int64_t)(gsl_rng_uniform (rng) * (double)count * 1000 / rate_per_s);
}
