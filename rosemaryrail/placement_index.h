#ifndef ROSEMARYRAIL_PLACEMENT_INDEX_H
#define ROSEMARYRAIL_PLACEMENT_INDEX_H

/* Internal to the placement module: a binary tree over the workers whose inner
   nodes hold, for each resource, the largest free amount below them.  A search
   skips every subtree in which some resource does not suffice.  */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rosemaryrail/size.h"

#define RR_INDEX_RESOURCES 5

struct rr_index_node
{
  int32_t free[RR_INDEX_RESOURCES];
};

struct rr_index
{
  size_t leaves;               /* power of two */
  struct rr_index_node *nodes; /* 2 * LEAVES; node 1 is the root, the children
                                  of node I are 2 * I and 2 * I + 1 */
};

struct rr_index_node rr_index_node_from (const struct rr_size *size);
void rr_index_reserve (struct rr_index *index, size_t count);
void rr_index_set (struct rr_index *index, size_t leaf,
                   const struct rr_index_node *free);
int rr_index_find (const struct rr_index *index, size_t start,
                   const struct rr_index_node *need);
void rr_index_free (struct rr_index *index);

#endif
