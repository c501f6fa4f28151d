#include "placement_index.h"

#include <stdlib.h>
#include <string.h>

static int32_t
clamp_int32 (int64_t x)
{
  return x > INT32_MAX ? INT32_MAX : x < -1 ? -1 : (int32_t)x;
}

/* Returns SIZE as a node.  Negative amounts become -1, which is less than any
   request.  */
struct rr_index_node
rr_index_node_from (const struct rr_size *size)
{
  return (struct rr_index_node){
    .free = { clamp_int32 (size->cores_milli), clamp_int32 (size->memory_mb),
              clamp_int32 (size->accelerators), clamp_int32 (size->slots),
              clamp_int32 (size->connections) }
  };
}

static bool
node_covers (const struct rr_index_node *free,
             const struct rr_index_node *need)
{
  int short_of = 0;
  for (int r = 0; r < RR_INDEX_RESOURCES; r++)
    short_of |= free->free[r] < need->free[r];
  return !short_of;
}

/* Grows INDEX to at least COUNT leaves.  New leaves fit no request.  */
void
rr_index_reserve (struct rr_index *index, size_t count)
{
  if (count <= index->leaves)
    return;
  struct rr_index old = *index;
  index->leaves = old.leaves == 0 ? 16 : old.leaves * 2;
  while (index->leaves < count)
    index->leaves *= 2;
  index->nodes = malloc (2 * index->leaves * sizeof *index->nodes);
  if (index->nodes == NULL)
    abort ();
  memset (index->nodes, 0xff, 2 * index->leaves * sizeof *index->nodes);
  for (size_t i = 0; i < old.leaves; i++)
    rr_index_set (index, i, &old.nodes[old.leaves + i]);
  free (old.nodes);
}

/* Sets the free capacity of LEAF and updates the nodes above it.  */
void
rr_index_set (struct rr_index *index, size_t leaf,
              const struct rr_index_node *free)
{
  size_t i = index->leaves + leaf;
  index->nodes[i] = *free;
  for (i /= 2; i > 0; i /= 2)
    {
      const struct rr_index_node *a = &index->nodes[2 * i];
      const struct rr_index_node *b = a + 1;
      for (int r = 0; r < RR_INDEX_RESOURCES; r++)
        index->nodes[i].free[r]
            = a->free[r] > b->free[r] ? a->free[r] : b->free[r];
    }
}

/* Returns the first leaf at or after START that covers NEED, continuing at
   leaf 0 after the last one, or -1.  Descends into a node that covers NEED and
   skips the whole subtree otherwise.  */
int
rr_index_find (const struct rr_index *index, size_t start,
               const struct rr_index_node *need)
{
  if (index->leaves == 0 || !node_covers (&index->nodes[1], need))
    return -1;
  for (int pass = 0; pass < 2; pass++)
    {
      size_t i = index->leaves + (pass == 0 ? start : 0);
      for (;;)
        {
          if (node_covers (&index->nodes[i], need))
            {
              if (i >= index->leaves)
                return (int)(i - index->leaves);
              i *= 2;
              continue;
            }
          /* Go up while this is a right child, then to the right sibling.  */
          while (i > 1 && (i & 1) != 0)
            i /= 2;
          if (i <= 1)
            break;
          i++;
        }
    }
  return -1;
}

/* Releases the memory of INDEX.  */
void
rr_index_free (struct rr_index *index)
{
  free (index->nodes);
  memset (index, 0, sizeof *index);
}
