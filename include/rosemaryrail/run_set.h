#ifndef ROSEMARYRAIL_RUN_SET_H
#define ROSEMARYRAIL_RUN_SET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A small set of run numbers.  All 0 is the empty set.  */
struct rr_run_set
{
  uint64_t *runs; /* ascending */
  size_t count;
};

bool rr_run_set_contains (const struct rr_run_set *s, uint64_t run);
void rr_run_set_add (struct rr_run_set *s, uint64_t run);
void rr_run_set_keep_highest (struct rr_run_set *s, size_t max);
void rr_run_set_assign (struct rr_run_set *s, const struct rr_run_set *from);
void rr_run_set_clear (struct rr_run_set *s);

#endif
