#ifndef ROSEMARYRAIL_TABLE_H
#define ROSEMARYRAIL_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Address of a table row.  A removed row's handle never matches the row that
   reuses its place.  Generation 0 is never issued, so a zeroed handle is
   null.  */
struct rr_handle
{
  uint32_t index;
  uint32_t generation;
};

bool rr_handle_equal (struct rr_handle a, struct rr_handle b);

/* A handle as one number, for messages and callbacks.  */
uint64_t rr_handle_pack (struct rr_handle h);
struct rr_handle rr_handle_unpack (uint64_t packed);

/* Rows of one fixed size; a row keeps its address until it is removed.  */
struct rr_table;

struct rr_table *rr_table_new (size_t row_size);
void rr_table_free (struct rr_table *t);
void *rr_table_insert (struct rr_table *t, struct rr_handle *h);
void *rr_table_get (const struct rr_table *t, struct rr_handle h);
bool rr_table_remove (struct rr_table *t, struct rr_handle h);
size_t rr_table_count (const struct rr_table *t);
void *rr_table_next (const struct rr_table *t, struct rr_handle *cursor);

/* Map from text keys to handles.  */
struct rr_key_index;

struct rr_key_index *rr_key_index_new (void);
void rr_key_index_free (struct rr_key_index *x);
bool rr_key_index_put (struct rr_key_index *x, const char *key,
                       struct rr_handle h);
struct rr_handle rr_key_index_get (const struct rr_key_index *x,
                                   const char *key);
bool rr_key_index_remove (struct rr_key_index *x, const char *key);

#endif
