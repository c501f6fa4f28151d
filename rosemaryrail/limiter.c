#include <math.h>
#include <string.h>

#include "rosemaryrail/admission.h"

/* The limit falls at most by half in one adjustment, since a single window can
   be an outlier.  */
#define MIN_GRADIENT 0.5

/* Share of the way to the computed limit taken in one adjustment; the full
   step oscillates, since latency answers one window late.  */
#define SMOOTHING 0.5

/* Factor on overload (timeouts, refusals), which needs no latency to tell that
   the limit is too high.  */
#define OVERLOAD_FACTOR 0.7

/* Every so many windows the limit is halved for two: the first drains, the
   second measures the baseline again.  A baseline that only fell would never
   notice a service that became slower; one that follows the mean would take
   its own queueing for normal.  */
#define PROBE_EVERY 64

/* Below this share of the limit in use, latency says nothing about the
   limit.  */
#define USED_SHARE 0.8

/* Fills O with defaults.  */
void
rr_limiter_options_default (struct rr_limiter_options *o)
{
  o->initial = 8;
  o->min = 1;
  o->max = 64;
  o->tolerance = 1.5;
  o->window = 32;
}

/* Prepares L for a service on a worker about which nothing is known.  */
void
rr_limiter_init (struct rr_limiter *l,
                 const struct rr_limiter_options *options)
{
  memset (l, 0, sizeof *l);
  l->options = *options;
  l->limit = options->initial;
}

/* Returns the places to give out now, at least one.  */
static int64_t
places (const struct rr_limiter *l)
{
  bool probing = l->windows >= PROBE_EVERY;
  double limit = probing ? l->limit / 2 : l->limit;
  return (int64_t)fmax (limit, 1);
}

/* Takes a place for a request; false at the limit.  */
bool
rr_limiter_acquire (struct rr_limiter *l)
{
  if (l->in_flight >= places (l))
    return false;
  l->in_flight++;
  if (l->in_flight > l->window_peak)
    l->window_peak = l->in_flight;
  return true;
}

static void
set_limit (struct rr_limiter *l, double limit)
{
  l->limit = fmin (fmax (limit, l->options.min), l->options.max);
}

/* Applies the gradient: the limit scales with how far the mean latency lies
   above the tolerated multiple of the baseline, and grows by a step when it
   was used and latency is fine.  */
static void
adjust (struct rr_limiter *l, double mean)
{
  double tolerated = l->options.tolerance * l->baseline_ms;
  double gradient = fmin (fmax (tolerated / mean, MIN_GRADIENT), 1);
  /* Far from the tolerated latency the limit may grow fast, near it by one
     place.  */
  double step = mean < 0.8 * tolerated ? sqrt (l->limit) : 1;
  double target = l->limit * gradient + step;
  if (target > l->limit && (double)l->window_peak < USED_SHARE * l->limit)
    return;
  set_limit (l, l->limit + SMOOTHING * (target - l->limit));
}

/* Ends a window.  A smaller mean than the baseline replaces it at once.  */
static void
end_window (struct rr_limiter *l)
{
  double mean = l->window_sum / l->samples;
  l->windows++;
  bool measured = l->windows == PROBE_EVERY + 2;
  if (l->baseline_ms == 0 || mean < l->baseline_ms || measured)
    l->baseline_ms = mean;
  if (l->windows <= PROBE_EVERY)
    adjust (l, mean);
  if (measured)
    l->windows = 0;
  l->samples = 0;
  l->window_sum = 0;
  l->window_peak = l->in_flight;
}

/* Gives a place back with what was learned; LATENCY_MS counts for
   RR_SAMPLE_ANSWERED only.  */
void
rr_limiter_release (struct rr_limiter *l, enum rr_sample sample,
                    double latency_ms)
{
  if (l->in_flight > 0)
    l->in_flight--;
  switch (sample)
    {
    case RR_SAMPLE_ANSWERED:
      l->window_sum += latency_ms;
      if (++l->samples >= l->options.window)
        end_window (l);
      return;
    case RR_SAMPLE_OVERLOAD:
      /* Requests that were in flight together fail together: the limit falls
         once for all of them.  */
      if (l->overload_hold > 0)
        l->overload_hold--;
      else
        {
          set_limit (l, l->limit * OVERLOAD_FACTOR);
          l->overload_hold = l->in_flight;
        }
      return;
    case RR_SAMPLE_IGNORE:
      return;
    }
}
