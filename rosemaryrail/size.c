#include "rosemaryrail/size.h"

/* Returns whether NEED is at most FREE in every resource.  */
bool
rr_size_fits (const struct rr_size *need, const struct rr_size *free)
{
  return need->cores_milli <= free->cores_milli
         && need->memory_mb <= free->memory_mb
         && need->accelerators <= free->accelerators
         && need->slots <= free->slots
         && need->connections <= free->connections;
}

/* Returns whether A and B are equal in every resource.  */
bool
rr_size_equal (const struct rr_size *a, const struct rr_size *b)
{
  return a->cores_milli == b->cores_milli && a->memory_mb == b->memory_mb
         && a->accelerators == b->accelerators && a->slots == b->slots
         && a->connections == b->connections;
}

/* Adds B to A.  */
void
rr_size_add (struct rr_size *a, const struct rr_size *b)
{
  a->cores_milli += b->cores_milli;
  a->memory_mb += b->memory_mb;
  a->accelerators += b->accelerators;
  a->slots += b->slots;
  a->connections += b->connections;
}

/* Subtracts B from A; the result may be negative.  */
void
rr_size_subtract (struct rr_size *a, const struct rr_size *b)
{
  a->cores_milli -= b->cores_milli;
  a->memory_mb -= b->memory_mb;
  a->accelerators -= b->accelerators;
  a->slots -= b->slots;
  a->connections -= b->connections;
}
