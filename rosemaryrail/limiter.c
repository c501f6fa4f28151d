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

/* The first such measurement, and the next one after the baseline fell by a
   fifth, come after so few windows: a service that starts under overload has
   never been seen without queueing, and one halving may not be enough.  */
#define PROBE_SOON 6
#define PROBE_FALL 0.8

/* Shorter latencies are all the same to the limiter, and 0 has no logarithm.
 */
#define MIN_LATENCY_MS 0.01

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
  o->window = 64;
}

/* Prepares L for a service on a worker about which nothing is known.  */
void
rr_limiter_init (struct rr_limiter *l,
                 const struct rr_limiter_options *options)
{
  memset (l, 0, sizeof *l);
  l->options = *options;
  l->limit = options->initial;
  l->windows = PROBE_EVERY - PROBE_SOON;
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
  if (l->in_flight > l->peak_in_flight)
    l->peak_in_flight = l->in_flight;
  return true;
}

static void
set_limit (struct rr_limiter *l, double limit)
{
  l->limit = fmin (fmax (limit, l->options.min), l->options.max);
}

/* Applies the gradient: the limit scales with how far the TYPICAL latency lies
   above the tolerated multiple of the baseline, less its sampling ERROR (both
   as logarithms), and grows by a step when it was used and latency is fine. */
static void
adjust (struct rr_limiter *l, double typical, double error)
{
  double excess
      = typical - error - log (l->options.tolerance * l->baseline_ms);
  double gradient = fmin (fmax (exp (-excess), MIN_GRADIENT), 1);
  /* Far from the tolerated latency the limit may grow fast, near it by one
     place.  */
  double step = excess < log (0.8) ? sqrt (l->limit) : 1;
  double target = l->limit * gradient + step;
  if (target > l->limit && (double)l->peak_in_flight < USED_SHARE * l->limit)
    return;
  set_limit (l, l->limit + SMOOTHING * (target - l->limit));
}

/* Ends a window.  Latency is judged by its geometric mean: in a service with a
   heavy tail the arithmetic mean of one window is decided by a few requests,
   and the limit would follow chance.  For the same reason the baseline falls
   only when a window lies below it by more than its sampling error.  */
static void
end_window (struct rr_limiter *l)
{
  double n = l->samples;
  double typical = l->log_sum / n;
  double variance = fmax (l->log_square_sum / n - typical * typical, 0);
  double error = sqrt (variance / n);
  l->windows++;
  bool measured = l->windows == PROBE_EVERY + 2;
  double before = l->baseline_ms;
  if (before == 0 || measured || typical + error < log (before))
    l->baseline_ms = exp (typical);
  if (l->windows <= PROBE_EVERY)
    adjust (l, typical, error);
  if (measured)
    l->windows
        = l->baseline_ms < PROBE_FALL * before ? PROBE_EVERY - PROBE_SOON : 0;
  l->samples = 0;
  l->log_sum = l->log_square_sum = 0;
  l->peak_in_flight = l->in_flight;
}

static void
add_sample (struct rr_limiter *l, double latency_ms)
{
  double x = log (fmax (latency_ms, MIN_LATENCY_MS));
  l->log_sum += x;
  l->log_square_sum += x * x;
  if (++l->samples >= l->options.window)
    end_window (l);
}

/* Lowers the limit once for all requests that were in flight together, since
   they fail together.  */
static void
overload (struct rr_limiter *l)
{
  if (l->ignored_overloads > 0)
    {
      l->ignored_overloads--;
      return;
    }
  set_limit (l, l->limit * OVERLOAD_FACTOR);
  l->ignored_overloads = l->in_flight;
}

/* Gives a place back with what was learned in LATENCY_MS since the call was
   sent.  A timeout counts as a latency of at least that; one shorter than the
   baseline says nothing, since a request that waited here until shortly before
   its deadline can time out on an idle worker.  */
void
rr_limiter_release (struct rr_limiter *l, enum rr_limiter_sample sample,
                    double latency_ms)
{
  if (l->in_flight > 0)
    l->in_flight--;
  switch (sample)
    {
    case RR_SAMPLE_ANSWERED:
      add_sample (l, latency_ms);
      return;
    case RR_SAMPLE_TIMEOUT:
      if (latency_ms > l->baseline_ms)
        add_sample (l, latency_ms);
      return;
    case RR_SAMPLE_OVERLOAD:
      overload (l);
      return;
    case RR_SAMPLE_IGNORE:
      return;
    }
}
