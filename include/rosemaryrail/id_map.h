#ifndef ROSEMARYRAIL_ID_MAP_H
#define ROSEMARYRAIL_ID_MAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Map from 64-bit ids to 64-bit values with open addressing; the zero value is
   an empty map.  Used by the decision modules, whose lookups are on the path
   of every placement.  */
struct rr_id_map
{
  struct rr_id_map_entry *entries;
  size_t capacity; /* power of two */
  size_t used;
};

struct rr_id_map_entry
{
  uint64_t key;
  uint64_t value;
  bool occupied;
};

uint64_t *rr_id_map_find (const struct rr_id_map *map, uint64_t key);
uint64_t *rr_id_map_put (struct rr_id_map *map, uint64_t key);
bool rr_id_map_remove (struct rr_id_map *map, uint64_t key);
void rr_id_map_free (struct rr_id_map *map);
uint64_t rr_id_combine (uint64_t a, uint64_t b);

#endif
