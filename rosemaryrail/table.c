#include "rosemaryrail/table.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

enum
{
  CHUNK_ROWS = 64
};

struct rr_table
{
  size_t row_size;
  size_t count;
  uint32_t capacity;
  uint32_t *generations; /* odd: row in use */
  uint32_t *free_rows;
  uint32_t free_count;
  char **chunks; /* rows never move, so pointers to them stay valid */
};

/* Tells whether A and B are the address of the same row.  */
bool
rr_handle_equal (struct rr_handle a, struct rr_handle b)
{
  return a.index == b.index && a.generation == b.generation;
}

/* Returns H as one number, which is never 0 for an issued handle.  */
uint64_t
rr_handle_pack (struct rr_handle h)
{
  return (uint64_t)h.generation << 32 | h.index;
}

/* Returns the handle that TOKEN was made from.  */
struct rr_handle
rr_handle_unpack (uint64_t token)
{
  return (struct rr_handle){ .index = (uint32_t)token,
                             .generation = (uint32_t)(token >> 32) };
}

/* Returns an empty table with rows of ROW_SIZE bytes, or null without
   memory.  */
struct rr_table *
rr_table_new (size_t row_size)
{
  struct rr_table *t = calloc (1, sizeof *t);
  if (t != NULL)
    t->row_size = row_size;
  return t;
}

/* Frees T and all rows; rows' own memory is the caller's.  T may be null.  */
void
rr_table_free (struct rr_table *t)
{
  if (t == NULL)
    return;
  for (uint32_t i = 0; i < t->capacity / CHUNK_ROWS; i++)
    free (t->chunks[i]);
  free ((void *)t->chunks);
  free (t->generations);
  free (t->free_rows);
  free (t);
}

/* Adds one chunk of rows; false without memory.  */
static bool
table_grow (struct rr_table *t)
{
  uint32_t chunks = t->capacity / CHUNK_ROWS;
  uint32_t capacity = t->capacity + CHUNK_ROWS;
  char **c = realloc ((void *)t->chunks, (chunks + 1) * sizeof *c);
  if (c == NULL)
    return false;
  t->chunks = c;
  uint32_t *g = realloc (t->generations, capacity * sizeof *g);
  if (g == NULL)
    return false;
  t->generations = g;
  uint32_t *f = realloc (t->free_rows, capacity * sizeof *f);
  if (f == NULL)
    return false;
  t->free_rows = f;
  t->chunks[chunks] = calloc (CHUNK_ROWS, t->row_size);
  if (t->chunks[chunks] == NULL)
    return false;
  for (uint32_t i = 0; i < CHUNK_ROWS; i++)
    {
      t->generations[t->capacity + i] = 0;
      t->free_rows[t->free_count++] = capacity - 1 - i;
    }
  t->capacity = capacity;
  return true;
}

static void *
table_row (const struct rr_table *t, uint32_t index)
{
  return t->chunks[index / CHUNK_ROWS] + (index % CHUNK_ROWS) * t->row_size;
}

/* Adds a zeroed row, stores its handle in H and returns the row; null without
   memory.  */
void *
rr_table_insert (struct rr_table *t, struct rr_handle *h)
{
  if (t->free_count == 0 && !table_grow (t))
    return NULL;
  uint32_t i = t->free_rows[--t->free_count];
  t->generations[i]++;
  h->index = i;
  h->generation = t->generations[i];
  t->count++;
  void *row = table_row (t, i);
  memset (row, 0, t->row_size);
  return row;
}

/* Returns the row of H, or null if it was removed or never existed.  */
void *
rr_table_get (const struct rr_table *t, struct rr_handle h)
{
  if (h.index >= t->capacity || (h.generation & 1) == 0
      || t->generations[h.index] != h.generation)
    return NULL;
  return table_row (t, h.index);
}

/* Removes the row of H; false if there is none.  */
bool
rr_table_remove (struct rr_table *t, struct rr_handle h)
{
  if (rr_table_get (t, h) == NULL)
    return false;
  t->generations[h.index]++;
  t->free_rows[t->free_count++] = h.index;
  t->count--;
  return true;
}

/* Returns the number of rows.  */
size_t
rr_table_count (const struct rr_table *t)
{
  return t->count;
}

/* Returns the row after CURSOR and moves CURSOR to it; null at the end.  A
   zeroed cursor stands before the first row.  Rows may be removed while
   iterating.  */
void *
rr_table_next (const struct rr_table *t, struct rr_handle *cursor)
{
  uint32_t i = cursor->generation == 0 ? 0 : cursor->index + 1;
  for (; i < t->capacity; i++)
    if ((t->generations[i] & 1) != 0)
      {
        cursor->index = i;
        cursor->generation = t->generations[i];
        return table_row (t, i);
      }
  return NULL;
}

struct index_slot
{
  char *key; /* null: free */
  struct rr_handle handle;
};

struct rr_key_index
{
  struct index_slot *slots;
  size_t capacity; /* power of two */
  size_t count;
};

/* Returns an empty map, or null without memory.  */
struct rr_key_index *
rr_key_index_new (void)
{
  struct rr_key_index *x = calloc (1, sizeof *x);
  if (x == NULL)
    return NULL;
  x->capacity = 64;
  x->slots = calloc (x->capacity, sizeof *x->slots);
  if (x->slots == NULL)
    {
      free (x);
      return NULL;
    }
  return x;
}

/* Frees X and its keys; X may be null.  */
void
rr_key_index_free (struct rr_key_index *x)
{
  if (x == NULL)
    return;
  for (size_t i = 0; i < x->capacity; i++)
    free (x->slots[i].key);
  free (x->slots);
  free (x);
}

/* Returns the place of KEY, or the free place where it belongs.  */
static size_t
index_find_slot (const struct rr_key_index *x, const char *key)
{
  size_t mask = x->capacity - 1;
  size_t i = (size_t)XXH3_64bits (key, strlen (key)) & mask;
  while (x->slots[i].key != NULL && strcmp (x->slots[i].key, key) != 0)
    i = (i + 1) & mask;
  return i;
}

static bool
index_grow (struct rr_key_index *x)
{
  struct rr_key_index bigger
      = { .capacity = x->capacity * 2, .count = x->count };
  bigger.slots = calloc (bigger.capacity, sizeof *bigger.slots);
  if (bigger.slots == NULL)
    return false;
  for (size_t i = 0; i < x->capacity; i++)
    if (x->slots[i].key != NULL)
      bigger.slots[index_find_slot (&bigger, x->slots[i].key)] = x->slots[i];
  free (x->slots);
  *x = bigger;
  return true;
}

/* Maps KEY to H, replacing an earlier mapping; false without memory.  */
bool
rr_key_index_put (struct rr_key_index *x, const char *key, struct rr_handle h)
{
  if (x->count * 4 >= x->capacity * 3 && !index_grow (x))
    return false;
  size_t i = index_find_slot (x, key);
  if (x->slots[i].key == NULL)
    {
      x->slots[i].key = strdup (key);
      if (x->slots[i].key == NULL)
        return false;
      x->count++;
    }
  x->slots[i].handle = h;
  return true;
}

/* Returns the handle of KEY, or the null handle.  */
struct rr_handle
rr_key_index_get (const struct rr_key_index *x, const char *key)
{
  size_t i = index_find_slot (x, key);
  if (x->slots[i].key == NULL)
    return (struct rr_handle){ 0 };
  return x->slots[i].handle;
}

/* Removes KEY; false if it is not mapped.  */
bool
rr_key_index_remove (struct rr_key_index *x, const char *key)
{
  size_t mask = x->capacity - 1;
  size_t i = index_find_slot (x, key);
  if (x->slots[i].key == NULL)
    return false;
  free (x->slots[i].key);
  x->slots[i].key = NULL;
  x->count--;
  /* Reinserts the rest of the probe sequence, which may have passed i.  */
  for (size_t j = (i + 1) & mask; x->slots[j].key != NULL; j = (j + 1) & mask)
    {
      struct index_slot moved = x->slots[j];
      x->slots[j].key = NULL;
      x->slots[index_find_slot (x, moved.key)] = moved;
    }
  return true;
}
