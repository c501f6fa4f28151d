#ifndef ROSEMARYENTRYD_REVISION_TIMES_H
#define ROSEMARYENTRYD_REVISION_TIMES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rosemaryrail/clock.h"

enum
{
  REVISION_TIMES_MAX = 128
};

/* The store had not passed REVISION at AT.  */
struct revision_time
{
  int64_t revision;
  struct rr_time at;
};

/* When the store had which revisions, as its responses have shown in the last
   seconds.  Zeroed memory is empty.  */
struct revision_times
{
  struct revision_time ring[REVISION_TIMES_MAX];
  size_t count; /* added so far */
};

void revision_times_add (struct revision_times *t, int64_t revision,
                         struct rr_time at);
bool revision_times_find (const struct revision_times *t, int64_t revision,
                          struct rr_time *at);

#endif
