#include "rosemaryrail/id_map.h"

#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

static size_t
home_slot (const struct rr_id_map *map, uint64_t key)
{
  return (size_t)XXH3_64bits (&key, sizeof key) & (map->capacity - 1);
}

static void
grow (struct rr_id_map *map)
{
  struct rr_id_map old = *map;
  map->capacity = old.capacity == 0 ? 16 : old.capacity * 2;
  map->entries = calloc (map->capacity, sizeof *map->entries);
  if (map->entries == NULL)
    abort ();
  map->used = 0;
  for (size_t i = 0; i < old.capacity; i++)
    if (old.entries[i].occupied)
      *rr_id_map_put (map, old.entries[i].key) = old.entries[i].value;
  free (old.entries);
}

static struct rr_id_map_entry *
entry_find (const struct rr_id_map *map, uint64_t key)
{
  if (map->used == 0)
    return NULL;
  for (size_t i = home_slot (map, key); map->entries[i].occupied;
       i = (i + 1) & (map->capacity - 1))
    if (map->entries[i].key == key)
      return &map->entries[i];
  return NULL;
}

/* Returns the place of KEY's value, or null when KEY is absent.  The pointer
   is valid until the next put or remove.  */
uint64_t *
rr_id_map_find (const struct rr_id_map *map, uint64_t key)
{
  struct rr_id_map_entry *e = entry_find (map, key);
  return e == NULL ? NULL : &e->value;
}

/* Returns the place of KEY's value, which is 0 for a new key.  The pointer is
   valid until the next put or remove.  Aborts when memory is exhausted.  */
uint64_t *
rr_id_map_put (struct rr_id_map *map, uint64_t key)
{
  if ((map->used + 1) * 2 > map->capacity)
    grow (map);
  size_t i = home_slot (map, key);
  while (map->entries[i].occupied && map->entries[i].key != key)
    i = (i + 1) & (map->capacity - 1);
  struct rr_id_map_entry *e = &map->entries[i];
  if (!e->occupied)
    {
      *e = (struct rr_id_map_entry){ .key = key, .occupied = true };
      map->used++;
    }
  return &e->value;
}

/* Removes KEY; returns false when it was absent.  Later entries of the same
   run are moved back, so that no tombstones pile up.  */
bool
rr_id_map_remove (struct rr_id_map *map, uint64_t key)
{
  struct rr_id_map_entry *e = entry_find (map, key);
  if (e == NULL)
    return false;
  size_t mask = map->capacity - 1;
  size_t hole = (size_t)(e - map->entries);
  for (size_t i = (hole + 1) & mask; map->entries[i].occupied;
       i = (i + 1) & mask)
    {
      size_t home = home_slot (map, map->entries[i].key);
      if (((i - home) & mask) >= ((i - hole) & mask))
        {
          map->entries[hole] = map->entries[i];
          hole = i;
        }
    }
  map->entries[hole].occupied = false;
  map->used--;
  return true;
}

/* Releases the memory of MAP, which is then empty.  */
void
rr_id_map_free (struct rr_id_map *map)
{
  free (map->entries);
  memset (map, 0, sizeof *map);
}

/* Returns one id for the pair A, B.  */
uint64_t
rr_id_combine (uint64_t a, uint64_t b)
{
  uint64_t both[2] = { a, b };
  return XXH3_64bits (both, sizeof both);
}
