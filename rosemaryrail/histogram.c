#include "rosemaryrail/histogram.h"

#include <gsl/gsl_histogram.h>
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

/* Eight bins per factor of two are each 9% wide, which bounds the error of a
   quantile.  170 bins cover 0.05 ms to 125 s, slightly more than the required
   120 s.  */
#define BINS_PER_OCTAVE 8
#define BINS 170

struct rr_histogram
{
  gsl_histogram *bins;
  uint64_t count;
  double sum;
  double max;
};

static double
bin_lower_bound (size_t i)
{
  return RR_HISTOGRAM_MIN_MS * exp2 ((double)i / BINS_PER_OCTAVE);
}

/* Returns an empty histogram; the caller frees it with rr_histogram_free.  */
struct rr_histogram *
rr_histogram_new (void)
{
  double ranges[BINS + 1];
  for (size_t i = 0; i <= BINS; i++)
    ranges[i] = bin_lower_bound (i);
  struct rr_histogram *h = calloc (1, sizeof *h);
  h->bins = gsl_histogram_alloc (BINS);
  gsl_histogram_set_ranges (h->bins, ranges, BINS + 1);
  return h;
}

/* Frees H, which may be null.  */
void
rr_histogram_free (struct rr_histogram *h)
{
  if (h == NULL)
    return;
  gsl_histogram_free (h->bins);
  free (h);
}

/* Empties H.  */
void
rr_histogram_reset (struct rr_histogram *h)
{
  gsl_histogram_reset (h->bins);
  h->count = 0;
  h->sum = h->max = 0;
}

/* Adds one value of MS milliseconds.  Values outside the range are counted in
   the first or last bin; a NaN is ignored.  */
void
rr_histogram_add (struct rr_histogram *h, double ms)
{
  if (isnan (ms))
    return;
  double x = fmax (ms, RR_HISTOGRAM_MIN_MS);
  x = fmin (x, RR_HISTOGRAM_MAX_MS);
  gsl_histogram_increment (h->bins, x);
  h->count++;
  h->sum += fmin (fmax (ms, 0), RR_HISTOGRAM_MAX_MS);
  h->max = fmax (h->max, fmin (ms, RR_HISTOGRAM_MAX_MS));
}

/* Adds the counts of FROM to INTO.  */
void
rr_histogram_merge (struct rr_histogram *into, const struct rr_histogram *from)
{
  gsl_histogram_add (into->bins, from->bins);
  into->count += from->count;
  into->sum += from->sum;
  into->max = fmax (into->max, from->max);
}

/* Returns the number of values.  */
uint64_t
rr_histogram_count (const struct rr_histogram *h)
{
  return h->count;
}

/* Returns the sum of the values in ms.  */
double
rr_histogram_sum (const struct rr_histogram *h)
{
  return h->sum;
}

/* Returns the largest value in ms; 0 when empty.  */
double
rr_histogram_max (const struct rr_histogram *h)
{
  return h->max;
}

/* Returns the quantile Q (0 to 1) in ms, interpolated logarithmically inside
   its bin and never above the largest value; 0 when H is empty.  */
double
rr_histogram_quantile (const struct rr_histogram *h, double q)
{
  if (h->count == 0)
    return 0;
  double rank = fmin (fmax (q, 0), 1) * (double)h->count;
  double below = 0;
  for (size_t i = 0; i < BINS; i++)
    {
      double n = gsl_histogram_get (h->bins, i);
      if (n > 0 && below + n >= rank)
        {
          double fraction = fmax (rank - below, 0) / n;
          double ms = bin_lower_bound (i) * exp2 (fraction / BINS_PER_OCTAVE);
          return fmin (ms, h->max);
        }
      below += n;
    }
  return h->max;
}

/* Returns the number of bins, the same for every histogram.  */
size_t
rr_histogram_bins (void)
{
  return BINS;
}

/* Returns the number of values in BIN, or 0 when there is no such bin.  */
uint64_t
rr_histogram_bin (const struct rr_histogram *h, size_t bin)
{
  return bin < BINS ? (uint64_t)gsl_histogram_get (h->bins, bin) : 0;
}

/* Returns the upper bound of BIN in ms.  */
double
rr_histogram_bin_upper (size_t bin)
{
  return bin_lower_bound (bin + 1);
}

/* Adds N values to BIN, as received from another process.  As the exact values
   are not known, each is added to the sum as the geometric mean of the bin's
   bounds, and the maximum is raised to the upper bound.  Returns false when
   there is no such bin.  */
bool
rr_histogram_bin_add (struct rr_histogram *h, size_t bin, uint64_t n)
{
  if (bin >= BINS)
    return false;
  if (n == 0)
    return true;
  double middle = bin_lower_bound (bin) * exp2 (0.5 / BINS_PER_OCTAVE);
  gsl_histogram_accumulate (h->bins, middle, (double)n);
  h->count += n;
  h->sum += middle * (double)n;
  h->max
      = fmax (h->max, fmin (bin_lower_bound (bin + 1), RR_HISTOGRAM_MAX_MS));
  return true;
}

static void
print_ms (FILE *out, double ms)
{
  if (ms < 1000)
    fprintf (out, "%7.2f ms", ms);
  else
    fprintf (out, "%7.2f s ", ms / 1000);
}

static uint64_t
octave_count (const struct rr_histogram *h, size_t octave)
{
  uint64_t n = 0;
  for (size_t i = 0; i < BINS_PER_OCTAVE; i++)
    n += rr_histogram_bin (h, octave * BINS_PER_OCTAVE + i);
  return n;
}

static void
draw_octave (FILE *out, const struct rr_histogram *h, size_t octave,
             uint64_t largest, int width)
{
  uint64_t n = octave_count (h, octave);
  print_ms (out, bin_lower_bound (octave * BINS_PER_OCTAVE));
  fputs (" |", out);
  int bar = (int)((double)n / (double)largest * width + 0.5);
  /* A range that is not empty shows at least one mark.  */
  if (bar == 0 && n > 0)
    bar = 1;
  for (int i = 0; i < width; i++)
    fputc (i < bar ? '#' : ' ', out);
  fprintf (out, "| %8" PRIu64 " %5.1f%%\n", n,
           100.0 * (double)n / (double)h->count);
}

/* Draws H as a bar chart for a terminal of COLUMNS columns.  TITLE is followed
   by one line for each factor of two between the smallest and the largest
   value, with lower bound, bar, count and percentage, and by a line with
   count, mean, quantiles and maximum.  The caller frees the text.  */
char *
rr_histogram_draw (const struct rr_histogram *h, const char *title,
                   int columns)
{
  const size_t octaves = (BINS + BINS_PER_OCTAVE - 1) / BINS_PER_OCTAVE;
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);
  fprintf (out, "%s\n", title);
  size_t first = octaves;
  size_t last = 0;
  uint64_t largest = 0;
  for (size_t o = 0; o < octaves; o++)
    {
      uint64_t n = octave_count (h, o);
      if (n == 0)
        continue;
      first = o < first ? o : first;
      last = o;
      largest = n > largest ? n : largest;
    }
  /* A line has 30 columns besides the bar.  */
  int width = columns - 30 < 10 ? 10 : columns - 30;
  for (size_t o = first; first < octaves && o <= last; o++)
    draw_octave (out, h, o, largest, width);
  fprintf (out, "count %" PRIu64, h->count);
  if (h->count > 0)
    {
      fprintf (out, "  mean %.2f ms", h->sum / (double)h->count);
      fprintf (out, "  p50 %.2f ms", rr_histogram_quantile (h, 0.5));
      fprintf (out, "  p99 %.2f ms", rr_histogram_quantile (h, 0.99));
      fprintf (out, "  p99.9 %.2f ms", rr_histogram_quantile (h, 0.999));
      fprintf (out, "  max %.2f ms", h->max);
    }
  fputc ('\n', out);
  fclose (out);
  return text;
}
