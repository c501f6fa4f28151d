#include <math.h>
#include <string.h>

#include "rosemaryrail/admission.h"

/* Lower bound of the gradient: one adjustment computes a limit of at least
   half the current one, since a single window can be an outlier.  */
#define MIN_GRADIENT 0.5

/* Fraction of the difference to the computed limit that one adjustment
   applies.  Applying all of it makes the limit oscillate, since the latency
   reacts one window later.  */
#define SMOOTHING 0.5

/* Factor on the limit after an overload (a refusal or a failed call), which
   shows without any latency that the limit is too high.  */
#define OVERLOAD_FACTOR 0.7

/* After this number of windows the limit is halved for two windows: in the
   first the queue drains, and in the second the baseline is measured again.
   A baseline that could only fall would not follow a service that became
   slower, and one that followed the mean would include the latency of its own
   queueing.  */
#define PROBE_INTERVAL_WINDOWS 64

/* The first measurement, and the next one after the baseline fell by a fifth,
   take place after this smaller number of windows: for a service that starts
   under overload no latency without queueing has been measured, and halving
   the limit once may not be enough.  */
#define EARLY_PROBE_WINDOWS 6
#define REPROBE_RATIO 0.8

/* Shorter latencies count as this one, since 0 has no logarithm.  */
#define MIN_LATENCY_MS 0.01

/* The limit does not grow when less than this fraction of it was in use: the
   latency then says nothing about a higher limit.  */
#define MIN_UTILIZATION 0.8

/* Fills O with defaults.  */
void
rr_limiter_options_default (struct rr_limiter_options *o)
{
  o->initial = 8;
  o->min = 1;
  o->max = 64;
  o->tolerance = 1.5;
  o->window = 64;
}

/* Initialises L for a service on a worker without any measurements.  */
void
rr_limiter_init (struct rr_limiter *l,
                 const struct rr_limiter_options *options)
{
  memset (l, 0, sizeof *l);
  l->options = *options;
  l->limit = options->initial;
  l->windows = PROBE_INTERVAL_WINDOWS - EARLY_PROBE_WINDOWS;
}

/* Returns the number of slots at present, at least one: the limit, or half of
   it while the baseline is measured.  */
static int64_t
current_limit (const struct rr_limiter *l)
{
  bool probing = l->windows >= PROBE_INTERVAL_WINDOWS;
  double limit = probing ? l->limit / 2 : l->limit;
  return (int64_t)fmax (limit, 1);
}

/* Takes a slot for a request.  Returns false when the limit is reached.  */
bool
rr_limiter_acquire (struct rr_limiter *l)
{
  if (l->in_flight >= current_limit (l))
    return false;
  l->in_flight++;
  if (l->in_flight > l->peak_in_flight)
    l->peak_in_flight = l->in_flight;
  return true;
}

static void
limit_set (struct rr_limiter *l, double limit)
{
  l->limit = fmin (fmax (limit, l->options.min), l->options.max);
}

/* Adjusts the limit by the gradient.  The limit is reduced in proportion to
   the excess of the TYPICAL latency, less its sampling ERROR (both as
   logarithms), over the tolerated multiple of the baseline.  It grows by a
   step when it was in use and the latency is within the tolerance.  */
static void
limit_adjust (struct rr_limiter *l, double typical, double error)
{
  double excess
      = typical - error - log (l->options.tolerance * l->baseline_ms);
  double gradient = fmin (fmax (exp (-excess), MIN_GRADIENT), 1);
  /* Far below the tolerated latency the limit grows fast, near it by one
     slot.  */
  double step = excess < log (0.8) ? sqrt (l->limit) : 1;
  double target = l->limit * gradient + step;
  if (target > l->limit
      && (double)l->peak_in_flight < MIN_UTILIZATION * l->limit)
    return;
  limit_set (l, l->limit + SMOOTHING * (target - l->limit));
}

/* Ends a window.  The typical latency is the geometric mean: with a
   heavy-tailed distribution a few requests dominate the arithmetic mean of a
   window, and the limit would fluctuate at random.  For the same reason the
   baseline falls only when the mean of a window is below it by more than the
   sampling error.  */
static void
window_end (struct rr_limiter *l)
{
  double n = l->samples;
  double typical = l->log_sum / n;
  double variance = fmax (l->log_square_sum / n - typical * typical, 0);
  double error = sqrt (variance / n);
  l->windows++;
  bool remeasured = l->windows == PROBE_INTERVAL_WINDOWS + 2;
  double previous_ms = l->baseline_ms;
  if (previous_ms == 0 || remeasured || typical + error < log (previous_ms))
    l->baseline_ms = exp (typical);
  if (l->windows <= PROBE_INTERVAL_WINDOWS)
    limit_adjust (l, typical, error);
  if (remeasured)
    l->windows = l->baseline_ms < REPROBE_RATIO * previous_ms
                     ? PROBE_INTERVAL_WINDOWS - EARLY_PROBE_WINDOWS
                     : 0;
  l->samples = 0;
  l->log_sum = l->log_square_sum = 0;
  l->peak_in_flight = l->in_flight;
}

static void
sample_add (struct rr_limiter *l, double latency_ms)
{
  double x = log (fmax (latency_ms, MIN_LATENCY_MS));
  l->log_sum += x;
  l->log_square_sum += x * x;
  if (++l->samples >= l->options.window)
    window_end (l);
}

/* Lowers the limit once for all requests in flight at the same time, since
   they fail together.  */
static void
overload_apply (struct rr_limiter *l)
{
  if (l->ignored_overloads > 0)
    {
      l->ignored_overloads--;
      return;
    }
  limit_set (l, l->limit * OVERLOAD_FACTOR);
  l->ignored_overloads = l->in_flight;
}

/* Releases a slot and adds SAMPLE, with LATENCY_MS since the call was sent.  A
   timeout counts as a latency of LATENCY_MS, unless that is below the
   baseline: a request that waited in the queue until shortly before its
   deadline can time out on an idle worker.  */
void
rr_limiter_release (struct rr_limiter *l, enum rr_limiter_sample sample,
                    double latency_ms)
{
  if (l->in_flight > 0)
    l->in_flight--;
  switch (sample)
    {
    case RR_SAMPLE_ANSWERED:
      sample_add (l, latency_ms);
      return;
    case RR_SAMPLE_TIMEOUT:
      if (latency_ms > l->baseline_ms)
        sample_add (l, latency_ms);
      return;
    case RR_SAMPLE_OVERLOAD:
      overload_apply (l);
      return;
    case RR_SAMPLE_IGNORE:
      return;
    }
}
