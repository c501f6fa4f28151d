#ifndef ROSEMARYENTRYD_PARTITIONING_H
#define ROSEMARYENTRYD_PARTITIONING_H

#include "rosemaryentryd/entry.h"

/* Sets the number of shards when a deployment starts for the first time.  */
struct partitioning
{
  struct rr_time opened; /* when this daemon started */
  size_t worker_count;   /* registered at the last update */
  struct rr_time workers_changed;
  bool writing;
};

void partitioning_update (struct partitioning *p, struct entry *e,
                          struct rr_time now);

#endif
