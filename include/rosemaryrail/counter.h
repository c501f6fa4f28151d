#ifndef ROSEMARYRAIL_COUNTER_H
#define ROSEMARYRAIL_COUNTER_H

#include <stddef.h>
#include <stdint.h>

#include "rosemaryrail/error.h"

#define RR_COUNTER_LABELS 4

enum rr_counter_kind
{
  RR_COUNTER, /* only increases */
  RR_GAUGE    /* can be set to any value */
};

/* A registry of metric families.  Each family has fixed label names and one
   series for each combination of label values.  */
struct rr_counters;

struct rr_counters *rr_counters_new (void);
void rr_counters_free (struct rr_counters *r);

/* Declares a family and returns its number, or -1 with RR_ERROR_INVALID (the
   name or a label is not valid in the exposition format, or there are too many
   labels) or RR_ERROR_CONFLICT (declared before with another kind, help text
   or labels).  LABELS ends with null; a null LABELS means none.  Repeating a
   declaration returns the same number.  */
int rr_counter_declare (struct rr_counters *r, enum rr_counter_kind kind,
                        const char *name, const char *help,
                        const char *const *labels, struct rr_error *err);

/* Returns the series of FAMILY with VALUES (one for each label), created with
   value 0 on first use.  Callers should look it up once and keep the number.
   When a family has reached its limit of series, all further combinations
   share one series whose label values are "other".  */
int rr_counter_series (struct rr_counters *r, int family,
                       const char *const *values);
/* Adds N to a series.  */
void rr_counter_add (struct rr_counters *r, int series, uint64_t n);
/* Sets a gauge.  */
void rr_gauge_set (struct rr_counters *r, int series, int64_t value);
int64_t rr_counter_value (const struct rr_counters *r, int series);

/* Returns the text exposition (HELP, TYPE and sample lines) of all families;
   the caller frees it.  */
char *rr_counters_expose (const struct rr_counters *r);

/* Writes TEXT to OUT (SIZE bytes, always terminated) with backslash, double
   quote and line feed escaped as in a label value.  */
void rr_label_escape (const char *text, char *out, size_t size);

#endif
