#ifndef ROSEMARYENTRYD_SHARD_ASSIGNMENT_H
#define ROSEMARYENTRYD_SHARD_ASSIGNMENT_H

#include <stddef.h>
#include <stdint.h>

/* How many shards there are, and which daemons own them best.  Pure functions
   of what the daemons have registered.  */

/* A daemon as a candidate owner.  */
struct shard_candidate
{
  const char *name;
  int64_t cpu_milli; /* CPU share, thousandths of a core */
  int64_t link_kbit; /* of its network link, a second and direction */
  size_t shards;     /* that it owns */
};

int64_t shard_assignment_capacity (int64_t cpu_milli, int64_t link_kbit);
size_t shard_assignment_count (const int64_t *capacities, size_t daemons,
                               size_t workers, size_t max);
uint64_t shard_assignment_cost (const char *shard,
                                const struct shard_candidate *c);

#endif
