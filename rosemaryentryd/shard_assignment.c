#include "rosemaryentryd/shard_assignment.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  /* Daemons for each shard at most.  Few shards give a better placement, since
     a shard can't use free capacity of another; too few take long to recover
     when an owner is lost.  */
  DAEMONS_PER_SHARD = 10,
  /* An owner's cost for each worker that runs short tasks: thousandths of a
     core, and kilobits a second in each direction, for polls and starts.  */
  WORKER_CPU_MILLI = 1,
  WORKER_LINK_KBIT = 40,
  /* What an owner may use of its processor and link for that.  */
  OWNER_MAX_PERCENT = 50,
  COST_SCALE = 1000000 /* of shards per worker that can be carried */
};

/* Returns how many workers a daemon can own; at least 1.  */
int64_t
shard_assignment_capacity (int64_t cpu_milli, int64_t link_kbit)
{
  int64_t by_cpu
      = cpu_milli * OWNER_MAX_PERCENT / (INT64_C (100) * WORKER_CPU_MILLI);
  int64_t by_link
      = link_kbit * OWNER_MAX_PERCENT / (INT64_C (100) * WORKER_LINK_KBIT);
  int64_t least = by_cpu < by_link ? by_cpu : by_link;
  return least > 0 ? least : 1;
}

static int
compare_descending (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;
  return (x < y) - (x > y);
}

/* Returns the number of shards for WORKERS, at most MAX: the lowest number at
   which each shard's workers fit on an owner of its own, the most capable
   DAEMONS first, and at least one for every ten daemons.  */
size_t
shard_assignment_count (const int64_t *capacities, size_t daemons,
                        size_t workers, size_t max)
{
  int64_t *sorted = calloc (daemons + 1, sizeof *sorted);
  assert (sorted != NULL);
  memcpy (sorted, capacities, daemons * sizeof *sorted);
  qsort (sorted, daemons, sizeof *sorted, compare_descending);
  size_t n = 1;
  while (n < daemons && sorted[n - 1] * (int64_t)n < (int64_t)workers)
    n++;
  free (sorted);
  if (n < daemons / DAEMONS_PER_SHARD)
    n = daemons / DAEMONS_PER_SHARD;
  return n < max ? n : max;
}

/* Returns the cost of the daemon C as the owner of one more shard, SHARD; the
   lowest is best.  Compares the number of shards that it would then own for
   each worker that it can carry, and a hash spreads equals.  */
uint64_t
shard_assignment_cost (const char *shard, const struct shard_candidate *c)
{
  char text[256];
  int n = snprintf (text, sizeof text, "%s/%s", shard, c->name);
  uint64_t hash = XXH64 (text, (size_t)n, 0) >> 32;
  uint64_t capacity
      = (uint64_t)shard_assignment_capacity (c->cpu_milli, c->link_kbit);
  return ((c->shards + 1) * COST_SCALE / capacity) << 32 | hash;
}
