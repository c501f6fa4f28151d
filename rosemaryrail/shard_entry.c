#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "shard_private.h"

enum
{
  ENTRY_MAGIC = 0x52524c31, /* "RRL1" */
  CHECKSUM_SIZE = 8
};

static bool
xdr_header (XDR *x, struct rr_shard_entry *e)
{
  uint32_t magic = ENTRY_MAGIC;
  return rr_xdr_u32 (x, &magic) && magic == ENTRY_MAGIC
         && rr_xdr_u64 (x, &e->sequence) && e->sequence > 0
         && rr_xdr_u64 (x, &e->epoch) && e->epoch <= e->sequence
         && rr_xdr_text (x, e->writer, RR_NAME_MAX)
         && rr_xdr_u64 (x, &e->incarnation)
         && rr_xdr_u64 (x, &e->takeover_number)
         && rr_xdr_enum (x, &e->snapshot.slot, NO_SNAPSHOT)
         && rr_xdr_u64 (x, &e->snapshot.revision)
         && rr_xdr_u64 (x, &e->snapshot.sequence)
         && e->snapshot.sequence < e->sequence && rr_xdr_u32 (x, &e->records);
}

/* Encodes E with its records into a buffer that the caller frees.  Returns
   false if out of memory.  */
bool
rr_shard_entry_encode (const struct rr_shard_entry *e, uint8_t **data,
                       size_t *length)
{
  size_t capacity = ENTRY_HEADER_MAX + e->length + CHECKSUM_SIZE;
  uint8_t *buffer = malloc (capacity);
  if (buffer == NULL)
    return false;
  struct rr_shard_entry copy = *e;
  XDR x;
  xdrmem_create (&x, (char *)buffer, (u_int)capacity, XDR_ENCODE);
  bool ok = xdr_header (&x, &copy)
            && xdr_opaque (&x, (char *)e->data, (u_int)e->length);
  uint64_t sum = XXH3_64bits (buffer, xdr_getpos (&x));
  ok = ok && rr_xdr_u64 (&x, &sum);
  *length = xdr_getpos (&x);
  xdr_destroy (&x);
  if (!ok)
    {
      free (buffer);
      return false;
    }
  *data = buffer;
  return true;
}

/* Decodes the header of an entry and points E at its records within DATA.
   Fails with RR_ERROR_INVALID if the entry is malformed.  */
bool
rr_shard_entry_decode (struct rr_shard_entry *e, const uint8_t *data,
                       size_t length, struct rr_error *err)
{
  memset (e, 0, sizeof *e);
  if (length < CHECKSUM_SIZE || length > INT32_MAX)
    return rr_error_set (err, RR_ERROR_INVALID,
                         "ring entry: invalid length of %zu bytes", length);
  XDR x;
  size_t body = length - CHECKSUM_SIZE;
  uint64_t sum = 0;
  xdrmem_create (&x, (char *)data + body, CHECKSUM_SIZE, XDR_DECODE);
  bool ok = rr_xdr_u64 (&x, &sum) && sum == XXH3_64bits (data, body);
  xdr_destroy (&x);
  if (!ok)
    return rr_error_set (err, RR_ERROR_INVALID,
                         "ring entry: checksum mismatch");
  xdrmem_create (&x, (char *)data, (u_int)body, XDR_DECODE);
  ok = xdr_header (&x, e);
  size_t at = xdr_getpos (&x);
  xdr_destroy (&x);
  if (!ok)
    return rr_error_set (err, RR_ERROR_INVALID,
                         "malformed ring entry at byte %zu", at);
  e->data = data + at;
  e->length = body - at;
  return true;
}
