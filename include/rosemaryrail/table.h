#ifndef ROSEMARYRAIL_TABLE_H
#define ROSEMARYRAIL_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Reference to a table row.  The handle of a removed row does not match a
   later row with the same index, as the generation differs.  Generation 0 is
   never issued, so a zeroed handle is the null handle.  */
struct rr_handle
{
  uint32_t index;
  uint32_t generation;
};

bool rr_handle_equal (struct rr_handle a, struct rr_handle b);

/* Conversion of a handle to and from one number, for messages and callbacks.
 */
uint64_t rr_handle_pack (struct rr_handle h);
struct rr_handle rr_handle_unpack (uint64_t packed);

/* Table of rows of one fixed size.  A row does not move in memory until it is
   removed.  */
struct rr_table;

struct rr_table *rr_table_new (size_t row_size);
void rr_table_free (struct rr_table *t);
void *rr_table_insert (struct rr_table *t, struct rr_handle *h);
void *rr_table_get (const struct rr_table *t, struct rr_handle h);
bool rr_table_remove (struct rr_table *t, struct rr_handle h);
size_t rr_table_count (const struct rr_table *t);
void *rr_table_next (const struct rr_table *t, struct rr_handle *cursor);

/* Hash map from strings to handles.  */
struct rr_key_index;

struct rr_key_index *rr_key_index_new (void);
void rr_key_index_free (struct rr_key_index *x);
bool rr_key_index_put (struct rr_key_index *x, const char *key,
                       struct rr_handle h);
struct rr_handle rr_key_index_get (const struct rr_key_index *x,
                                   const char *key);
bool rr_key_index_remove (struct rr_key_index *x, const char *key);

#endif
