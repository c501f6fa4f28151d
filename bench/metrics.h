#ifndef BENCH_METRICS_H
#define BENCH_METRICS_H

#include <gsl/gsl_histogram.h>
#include <stdio.h>

#include "world.h"

/* Parts of a run: cold start, learned, and after the change of the table.  */
#define SEGMENTS 3
#define SEGMENT_MS 600000

/* Results of one segment.  Histograms are merged over seeds; quantiles are
   computed from merged histograms and never averaged.  */
struct metrics
{
  gsl_histogram *latency[SERVICES]; /* log-spaced; the last bin holds
                                       everything over the deadline, refused
                                       or failed */
  double requests[SERVICES];
  double answered[SERVICES]; /* within the deadline */
  double refused[SERVICES];
  double work_core_ms;
  double lost_core_ms;
  double capacity_core_ms;
  double relief_evictions;
  double guard_evictions; /* moved for its size, or stopped over its memory */
  double throttles;
  double finished;
  double started;
  double urgent_late;
  double urgent;
  double queued_end;
  double slot_ms;     /* batch slots in use */
  double slowed_ms;   /* the part of them lost to throttles */
  double healthy_out; /* workers out at the end that never failed */
};

void metrics_init (struct metrics *m);
void metrics_release (struct metrics *m);
void metrics_add (struct metrics *sum, const struct metrics *m);
void metrics_latency (struct metrics *m, int service, double ms, bool in_time);
double metrics_quantile (const struct metrics *m, int service, double q);
double metrics_useful (const struct metrics *m);
double median_of (double *values, int count, double *low, double *high);

#endif
