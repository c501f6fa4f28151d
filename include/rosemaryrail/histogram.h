#ifndef ROSEMARYRAIL_HISTOGRAM_H
#define ROSEMARYRAIL_HISTOGRAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RR_HISTOGRAM_MIN_MS 0.05
#define RR_HISTOGRAM_MAX_MS 120000.0

/* Histogram of latencies in milliseconds with logarithmic bins from 0.05 ms to
   120 s, each about 9% wide.  Values outside the range are counted in the
   first or last bin.  */
struct rr_histogram;

struct rr_histogram *rr_histogram_new (void);
void rr_histogram_free (struct rr_histogram *h);
void rr_histogram_reset (struct rr_histogram *h);
void rr_histogram_add (struct rr_histogram *h, double ms);
/* Adds the counts of FROM to INTO.  */
void rr_histogram_merge (struct rr_histogram *into,
                         const struct rr_histogram *from);
uint64_t rr_histogram_count (const struct rr_histogram *h);
double rr_histogram_sum (const struct rr_histogram *h);
double rr_histogram_max (const struct rr_histogram *h);
/* Returns the quantile Q (0 to 1) in ms, interpolated inside its bin and
   never above the largest value; 0 when empty.  */
double rr_histogram_quantile (const struct rr_histogram *h, double q);

/* Access to the bins, for transfer between processes.  All histograms have the
   same bins.  */
size_t rr_histogram_bins (void);
uint64_t rr_histogram_bin (const struct rr_histogram *h, size_t bin);
/* Upper bound of BIN in ms.  */
double rr_histogram_bin_upper (size_t bin);
/* Adds N values to BIN.  The sum is estimated from the geometric mean of the
   bin's bounds, the maximum from its upper bound.  Returns false when there is
   no such bin.  */
bool rr_histogram_bin_add (struct rr_histogram *h, size_t bin, uint64_t n);

/* Draws H as a bar chart for a terminal of COLUMNS columns, one line per range
   of bins, followed by a line with count and quantiles.  The caller frees the
   text.  */
char *rr_histogram_draw (const struct rr_histogram *h, const char *title,
                         int columns);

/* Set of histograms, one for each combination of service, class and team.  */
struct rr_histogram_set;

struct rr_histogram_key
{
  const char *service;
  const char *class_name;
  const char *team;
};

struct rr_histogram_set *rr_histogram_set_new (void);
void rr_histogram_set_free (struct rr_histogram_set *s);
/* Returns the histogram of KEY, created empty on first use and owned by the
   set.  The pointer stays valid until the set is freed.  */
struct rr_histogram *rr_histogram_set_get (struct rr_histogram_set *s,
                                           const struct rr_histogram_key *key);
/* Adds to INTO every histogram that matches KEY; a null member of KEY matches
   any value.  Returns the number of matching histograms.  */
size_t rr_histogram_set_collect (const struct rr_histogram_set *s,
                                 const struct rr_histogram_key *key,
                                 struct rr_histogram *into);
void rr_histogram_set_merge (struct rr_histogram_set *into,
                             const struct rr_histogram_set *from);
size_t rr_histogram_set_size (const struct rr_histogram_set *s);
/* Returns the I-th histogram in order of creation and its key.  */
struct rr_histogram *rr_histogram_set_at (const struct rr_histogram_set *s,
                                          size_t i,
                                          struct rr_histogram_key *key);
/* Returns the text exposition of the set as one histogram family in seconds;
   the caller frees it.  */
char *rr_histogram_set_expose (const struct rr_histogram_set *s,
                               const char *name, const char *help);

#endif
