#include "metrics.h"

#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <math.h>
#include <string.h>

/* Bins are 1% wide and reach from 1 ms to 20 s.  */
#define BINS 1000
#define BIN_GROWTH 1.01

/* Makes M empty.  */
void
metrics_init (struct metrics *m)
{
  static double ranges[BINS + 1];
  memset (m, 0, sizeof *m);
  for (int i = 0; i <= BINS; i++)
    ranges[i] = pow (BIN_GROWTH, i);
  for (int s = 0; s < SERVICES; s++)
    {
      m->latency[s] = gsl_histogram_alloc (BINS);
      gsl_histogram_set_ranges (m->latency[s], ranges, BINS + 1);
    }
}

/* Releases the histograms of M.  */
void
metrics_release (struct metrics *m)
{
  for (int s = 0; s < SERVICES; s++)
    gsl_histogram_free (m->latency[s]);
}

/* Adds M to SUM.  */
void
metrics_add (struct metrics *sum, const struct metrics *m)
{
  for (int s = 0; s < SERVICES; s++)
    {
      gsl_histogram_add (sum->latency[s], m->latency[s]);
      sum->requests[s] += m->requests[s];
      sum->answered[s] += m->answered[s];
      sum->refused[s] += m->refused[s];
    }
  sum->work_core_ms += m->work_core_ms;
  sum->lost_core_ms += m->lost_core_ms;
  sum->capacity_core_ms += m->capacity_core_ms;
  sum->relief_evictions += m->relief_evictions;
  sum->guard_evictions += m->guard_evictions;
  sum->throttles += m->throttles;
  sum->finished += m->finished;
  sum->started += m->started;
  sum->urgent += m->urgent;
  sum->urgent_late += m->urgent_late;
  sum->queued_end += m->queued_end;
  sum->slot_ms += m->slot_ms;
  sum->slowed_ms += m->slowed_ms;
  sum->healthy_out += m->healthy_out;
}

/* Adds a request of SERVICE; one that is not IN_TIME counts as over its
   deadline, whatever MS says.  */
void
metrics_latency (struct metrics *m, int service, double ms, bool in_time)
{
  m->requests[service]++;
  m->answered[service] += in_time;
  double last = pow (BIN_GROWTH, BINS - 1) * 1.001;
  gsl_histogram_increment (m->latency[service],
                           in_time ? fmin (fmax (ms, 1), last) : last);
}

/* Returns quantile Q of SERVICE in ms, interpolated inside its bin; infinite
   when it falls on a request over its deadline.  */
double
metrics_quantile (const struct metrics *m, int service, double q)
{
  const gsl_histogram *h = m->latency[service];
  double left = gsl_histogram_sum (h) * q;
  for (size_t i = 0; i < BINS; i++)
    {
      double n = gsl_histogram_get (h, i);
      double lower;
      double upper;
      if (n < left || n <= 0)
        {
          left -= n;
          continue;
        }
      if (i == BINS - 1)
        return INFINITY;
      gsl_histogram_get_range (h, i, &lower, &upper);
      return lower + (upper - lower) * left / n;
    }
  return INFINITY;
}

/* Returns the useful batch work as a share of the capacity: work lost to
   evictions is subtracted.  */
double
metrics_useful (const struct metrics *m)
{
  return (m->work_core_ms - m->lost_core_ms) / m->capacity_core_ms;
}

/* Returns the median of VALUES, which are sorted, and the extremes.  */
double
median_of (double *values, int count, double *low, double *high)
{
  gsl_sort (values, 1, (size_t)count);
  *low = values[0];
  *high = values[count - 1];
  return gsl_stats_median_from_sorted_data (values, 1, (size_t)count);
}
