#include "report.h"

#include <math.h>

static const char *const segment_names[SEGMENTS]
    = { "cold", "learned", "changed" };

/* Figures of one chooser in one segment of one seed, derived from metrics. */
enum figure
{
  FIGURE_P50,
  FIGURE_P99,
  FIGURE_P999,
  FIGURE_RATIO, /* p99 / p99 without batch, same seed and segment */
  FIGURE_GOODPUT,
  FIGURE_USEFUL,
  FIGURE_RELIEF,
  FIGURE_GUARD,
  FIGURE_LOST,
  FIGURE_REFUSED,
  FIGURE_QUEUED,
  FIGURE_URGENT_LATE,
  FIGURE_HEALTHY_OUT,
  FIGURE_THROTTLES,
  FIGURE_OCCUPIED,
  FIGURE_SLOWED,
  FIGURES
};

static const char *const figure_names[FIGURES] = {
  "p50_ms",        "p99_ms",    "p999_ms",  "p99_ratio",
  "goodput_per_s", "useful",    "relief",   "guard",
  "lost_core_s",   "refused",   "queued",   "urgent_late",
  "healthy_out",   "throttles", "occupied", "slowed",
};

static double
figure_of (const struct report *r, int chooser, int seed, int segment,
           enum figure figure)
{
  const struct metrics *m = &r->results[chooser][seed].segment[segment];
  const struct metrics *alone
      = &r->results[CHOOSER_NO_BATCH][seed].segment[segment];
  switch (figure)
    {
    case FIGURE_P50:
      return metrics_quantile (m, 0, 0.5);
    case FIGURE_P99:
      return metrics_quantile (m, 0, 0.99);
    case FIGURE_P999:
      return metrics_quantile (m, 0, 0.999);
    case FIGURE_RATIO:
      return r->ran[CHOOSER_NO_BATCH] ? metrics_quantile (m, 0, 0.99)
                                            / metrics_quantile (alone, 0, 0.99)
                                      : NAN;
    case FIGURE_GOODPUT:
      return m->answered[0] / (SEGMENT_MS / 1000.0);
    case FIGURE_USEFUL:
      return metrics_useful (m);
    case FIGURE_RELIEF:
      return m->relief_evictions;
    case FIGURE_GUARD:
      return m->guard_evictions;
    case FIGURE_LOST:
      return m->lost_core_ms / 1000;
    case FIGURE_REFUSED:
      return m->refused[0];
    case FIGURE_QUEUED:
      return m->queued_end;
    case FIGURE_URGENT_LATE:
      return m->urgent > 0 ? m->urgent_late / m->urgent : 0;
    case FIGURE_THROTTLES:
      return m->throttles;
    case FIGURE_OCCUPIED: /* of all slots */
      return m->slot_ms
             / ((double)r->deployment->workers * SLOTS * SEGMENT_MS);
    case FIGURE_SLOWED: /* of the occupied slots */
      return m->slot_ms > 0 ? m->slowed_ms / m->slot_ms : 0;
    case FIGURE_HEALTHY_OUT:
      return m->healthy_out;
    case FIGURES:
      break;
    }
  return NAN;
}

/* Prints one row for each service with the quantiles of the merged histograms
   of all seeds.  */
static void
merged_print (const struct report *r, int segment, FILE *out)
{
  for (int s = 0; s < SERVICES; s++)
    {
      fprintf (out, "%-14s", s == 0 ? "checks merged" : "drafts merged");
      for (int c = 0; c < CHOOSERS; c++)
        {
          struct metrics sum;
          char text[40];
          if (!r->ran[c])
            continue;
          metrics_init (&sum);
          for (int i = 0; i < r->seed_count; i++)
            metrics_add (&sum, &r->results[c][i].segment[segment]);
          snprintf (text, sizeof text, "%.1f/%.1f/%.1f",
                    metrics_quantile (&sum, s, 0.5),
                    metrics_quantile (&sum, s, 0.99),
                    metrics_quantile (&sum, s, 0.999));
          fprintf (out, " %-25s", text);
          metrics_release (&sum);
        }
      fprintf (out, "\n");
    }
}

/* Prints one row with FIGURE of every chooser: the median over the seeds and
   the extremes, or the figure of seed number SEED unless that is -1.  */
static void
figure_print (const struct report *r, int segment, enum figure figure,
              int seed, FILE *out)
{
  fprintf (out, "%-14s", figure_names[figure]);
  for (int c = 0; c < CHOOSERS; c++)
    {
      double values[SEEDS_MAX];
      double low;
      double high;
      char text[60];
      if (!r->ran[c])
        continue;
      for (int i = 0; i < r->seed_count; i++)
        values[i] = figure_of (r, c, i, segment, figure);
      if (seed >= 0)
        snprintf (text, sizeof text, "%.4g", values[seed]);
      else
        {
          double m = median_of (values, r->seed_count, &low, &high);
          snprintf (text, sizeof text, "%.4g [%.4g %.4g]", m, low, high);
        }
      fprintf (out, " %-25s", text);
    }
  fprintf (out, "\n");
}

/* Figures with targets in section 10 of the design page, medians over the
   seeds with the extremes.  "Excess" is the p99 ratio less 1, compared with
   the best baseline of the same seed; useful work is compared with the
   baseline that completes the most, evictions with the baseline that makes the
   fewest.  */
struct targets
{
  double median[4];
  double low[4];
  double high[4];
};

static const char *const target_names[4]
    = { "p99 ratio", "baseline excess / excess", "useful / most",
        "evictions / fewest" };

/* Fills T for SEGMENT; returns false unless all choosers ran.  */
static bool
targets_fill (const struct report *r, int segment, struct targets *t)
{
  double values[4][SEEDS_MAX];
  for (int c = 0; c < CHOOSERS; c++)
    if (!r->ran[c])
      return false;
  for (int i = 0; i < r->seed_count; i++)
    {
      double best_ratio = INFINITY;
      double most = 0;
      double fewest = INFINITY;
      for (int c = CHOOSER_FIRST_FIT; c <= CHOOSER_TWO_CHOICES; c++)
        {
          best_ratio
              = fmin (best_ratio, figure_of (r, c, i, segment, FIGURE_RATIO));
          most = fmax (most, figure_of (r, c, i, segment, FIGURE_USEFUL));
          fewest = fmin (fewest, figure_of (r, c, i, segment, FIGURE_RELIEF));
        }
      double ratio = figure_of (r, CHOOSER_POLICY, i, segment, FIGURE_RATIO);
      values[0][i] = ratio;
      values[1][i] = (best_ratio - 1) / (ratio - 1);
      values[2][i]
          = figure_of (r, CHOOSER_POLICY, i, segment, FIGURE_USEFUL) / most;
      values[3][i]
          = figure_of (r, CHOOSER_POLICY, i, segment, FIGURE_RELIEF) / fewest;
    }
  for (int v = 0; v < 4; v++)
    t->median[v]
        = median_of (values[v], r->seed_count, &t->low[v], &t->high[v]);
  return true;
}

static void
targets_print (const struct report *r, int segment, FILE *out)
{
  struct targets t;
  if (!targets_fill (r, segment, &t))
    return;
  fprintf (out, "targets, %s:", segment_names[segment]);
  for (int v = 0; v < 4; v++)
    fprintf (out, "%s %s %.3g [%.3g %.3g]", v > 0 ? "," : "", target_names[v],
             t.median[v], t.low[v], t.high[v]);
  fprintf (out, "\n");
}

/* Holds the segment with learned estimates against the targets of section 10
   of the design page, and whole runs against the limits for single tasks and
   workers; prints to OUT what is missed.  Returns whether all are met.  */
bool
report_check (const struct report *r, FILE *out)
{
  static const double limits[4] = { 1.25, 2, 0.9, 0.25 };
  static const bool upper[4] = { true, false, false, true };
  struct targets t;
  bool met = targets_fill (r, 1, &t);
  for (int v = 0; met && v < 4; v++)
    if (upper[v] ? t.median[v] > limits[v] : t.median[v] < limits[v])
      {
        fprintf (out, "%s is %.3g, target %.3g\n", target_names[v],
                 t.median[v], limits[v]);
        met = false;
      }
  for (int i = 0; i < r->seed_count; i++)
    {
      const struct loop_result *x = &r->results[CHOOSER_POLICY][i];
      if (x->task_evictions_max <= 2 && x->failing_worker_starts_max <= 5
          && x->over_capacity == 0)
        continue;
      fprintf (out,
               "seed %u: %d evictions of one task, %d starts on a failing "
               "worker, %d workers over capacity\n",
               r->seeds[i], x->task_evictions_max,
               x->failing_worker_starts_max, x->over_capacity);
      met = false;
    }
  return met;
}

/* Prints the largest values over whole runs and all seeds.  */
static void
largest_print (const struct report *r, FILE *out)
{
  for (int c = 0; c < CHOOSERS; c++)
    {
      int evicted = 0;
      int starts = 0;
      int over = 0;
      for (int i = 0; r->ran[c] && i < r->seed_count; i++)
        {
          const struct loop_result *x = &r->results[c][i];
          evicted = x->task_evictions_max > evicted ? x->task_evictions_max
                                                    : evicted;
          starts = x->failing_worker_starts_max > starts
                       ? x->failing_worker_starts_max
                       : starts;
          over += x->over_capacity;
        }
      if (r->ran[c])
        fprintf (out,
                 "%-13s largest number of evictions of one task %d, of starts "
                 "on a failing worker %d; workers over capacity %d\n",
                 chooser_name ((enum chooser)c), evicted, starts, over);
    }
}

/* Writes R as text: for each segment a table of medians over the seeds with
   the extremes, and the quantiles (p50/p99/p99.9, ms) of merged histograms;
   with PER_SEED, a table for each seed too.  */
void
report_text (const struct report *r, bool per_seed, FILE *out)
{
  for (int segment = 0; segment < SEGMENTS; segment++)
    for (int seed = -1; seed < (per_seed ? r->seed_count : 0); seed++)
      {
        fprintf (out, "\n%s, %s, ", r->deployment->name,
                 segment_names[segment]);
        if (seed < 0)
          fprintf (out, "%d seeds: median [lowest highest]\n%-14s",
                   r->seed_count, "");
        else
          fprintf (out, "seed %u\n%-14s", r->seeds[seed], "");
        for (int c = 0; c < CHOOSERS; c++)
          if (r->ran[c])
            fprintf (out, " %-25s", chooser_name ((enum chooser)c));
        fprintf (out, "\n");
        for (int f = 0; f < FIGURES; f++)
          figure_print (r, segment, (enum figure)f, seed, out);
        if (seed < 0)
          merged_print (r, segment, out);
      }
  fprintf (out, "\n");
  for (int segment = 0; segment < SEGMENTS; segment++)
    targets_print (r, segment, out);
  largest_print (r, out);
}

/* Writes the header of report_csv.  */
void
report_csv_header (FILE *out)
{
  fprintf (out, "deployment,segment,chooser,seed");
  for (int f = 0; f < FIGURES; f++)
    fprintf (out, ",%s", figure_names[f]);
  fprintf (out, ",task_evictions_max,failing_starts_max,over_capacity\n");
}

/* Writes one row for each segment, chooser and seed.  */
void
report_csv (const struct report *r, FILE *out)
{
  for (int segment = 0; segment < SEGMENTS; segment++)
    for (int c = 0; c < CHOOSERS; c++)
      for (int i = 0; r->ran[c] && i < r->seed_count; i++)
        {
          const struct loop_result *x = &r->results[c][i];
          fprintf (out, "%s,%s,%s,%u", r->deployment->name,
                   segment_names[segment], chooser_name ((enum chooser)c),
                   r->seeds[i]);
          for (int f = 0; f < FIGURES; f++)
            fprintf (out, ",%.6g",
                     figure_of (r, c, i, segment, (enum figure)f));
          fprintf (out, ",%d,%d,%d\n", x->task_evictions_max,
                   x->failing_worker_starts_max, x->over_capacity);
        }
}
