#ifndef ROSEMARYRAIL_SIZE_H
#define ROSEMARYRAIL_SIZE_H

#include <stdbool.h>
#include <stdint.h>

/* An amount of each resource of a worker: the request of a task, or the total
   or free capacity of a worker.  */
struct rr_size
{
  int64_t cores_milli; /* thousandths of a core */
  int64_t memory_mb;
  int32_t accelerators;
  int32_t slots;       /* number of tasks */
  int32_t connections; /* connections that a service task keeps open */
};

bool rr_size_fits (const struct rr_size *need, const struct rr_size *free);
bool rr_size_equal (const struct rr_size *a, const struct rr_size *b);
void rr_size_add (struct rr_size *a, const struct rr_size *b);
void rr_size_subtract (struct rr_size *a, const struct rr_size *b);

#endif
