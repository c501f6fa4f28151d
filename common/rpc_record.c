#include "common/rpc_record.h"

#include <stdlib.h>
#include <string.h>

enum
{
  MARK_BYTES = 4
};

#define LAST_FRAGMENT 0x80000000u

static uint32_t
read_u32 (const char *p)
{
  const unsigned char *u = (const unsigned char *)p;
  return (uint32_t)u[0] << 24 | (uint32_t)u[1] << 16 | (uint32_t)u[2] << 8
         | u[3];
}

/* Appends received bytes to the buffer.  Returns false if the buffer would
   exceed twice the record limit or can't be allocated; the caller must then
   close the connection.  */
bool
rpc_record_feed (struct rpc_record_reader *r, const char *bytes, size_t length)
{
  size_t needed = r->length + length;
  if (needed > 2 * (size_t)RPC_RECORD_MAX_BYTES)
    return false;
  if (needed > r->capacity)
    {
      size_t capacity = r->capacity == 0 ? 4096 : r->capacity;
      while (capacity < needed)
        capacity *= 2;
      char *grown = realloc (r->bytes, capacity);
      if (grown == NULL)
        return false;
      r->bytes = grown;
      r->capacity = capacity;
    }
  memcpy (r->bytes + r->length, bytes, length);
  r->length = needed;
  return true;
}

/* Sets RECORD and LENGTH to the first complete record, without its mark.
   Returns false if no complete record is buffered.  Sets MALFORMED for a
   record over the size limit or split into fragments, neither of which
   rpc_stream_write produces.  */
bool
rpc_record_next (struct rpc_record_reader *r, const char **record,
                 size_t *length, bool *malformed)
{
  *malformed = false;
  if (r->length < MARK_BYTES)
    return false;
  uint32_t mark = read_u32 (r->bytes);
  size_t n = mark & ~LAST_FRAGMENT;
  if ((mark & LAST_FRAGMENT) == 0 || n > RPC_RECORD_MAX_BYTES)
    {
      *malformed = true;
      return false;
    }
  if (r->length < MARK_BYTES + n)
    return false;
  *record = r->bytes + MARK_BYTES;
  *length = n;
  return true;
}

/* Removes the record returned by the last call of rpc_record_next.  */
void
rpc_record_consume (struct rpc_record_reader *r)
{
  size_t n = MARK_BYTES + (read_u32 (r->bytes) & ~LAST_FRAGMENT);
  memmove (r->bytes, r->bytes + n, r->length - n);
  r->length -= n;
}

/* Frees the buffer and leaves R empty and usable.  */
void
rpc_record_reader_free (struct rpc_record_reader *r)
{
  free (r->bytes);
  memset (r, 0, sizeof *r);
}

/* Writes the four-byte record mark of a single-fragment record of LENGTH bytes
   to MARK.  */
void
rpc_record_write_mark (char *mark, size_t length)
{
  uint32_t v = LAST_FRAGMENT | (uint32_t)length;
  mark[0] = (char)(v >> 24);
  mark[1] = (char)(v >> 16);
  mark[2] = (char)(v >> 8);
  mark[3] = (char)v;
}
