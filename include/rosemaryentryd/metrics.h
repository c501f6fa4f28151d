#ifndef ROSEMARYENTRYD_METRICS_H
#define ROSEMARYENTRYD_METRICS_H

#include <stddef.h>
#include <stdint.h>

#include "rosemaryrail/error.h"

struct entry;

/* Event counters and latency histograms per queue, exposed as text on the
   address of the setting "metrics".  */
struct entry_metrics;

struct entry_metrics *entry_metrics_open (struct entry *e,
                                          struct rr_error *err);
void entry_metrics_event (struct entry_metrics *m, const char *event);
void entry_metrics_latency (struct entry_metrics *m, const char *queue,
                            const char *stage, int64_t ms);

#endif
