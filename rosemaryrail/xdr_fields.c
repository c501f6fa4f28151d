#include "xdr_fields.h"

#include <stdlib.h>
#include <string.h>

bool
rr_xdr_u32 (XDR *x, uint32_t *v)
{
  return xdr_uint32_t (x, v);
}

bool
rr_xdr_i32 (XDR *x, int32_t *v)
{
  return xdr_int32_t (x, v);
}

bool
rr_xdr_u64 (XDR *x, uint64_t *v)
{
  return xdr_uint64_t (x, v);
}

bool
rr_xdr_i64 (XDR *x, int64_t *v)
{
  return xdr_int64_t (x, v);
}

/* Encodes or decodes a boolean as 0 or 1; rejects any other value.  */
bool
rr_xdr_flag (XDR *x, bool *v)
{
  uint32_t n = *v ? 1 : 0;
  if (!rr_xdr_enum (x, &n, 1))
    return false;
  *v = n == 1;
  return true;
}

/* Encodes or decodes a value from 0 to LAST.  */
bool
rr_xdr_enum (XDR *x, uint32_t *v, uint32_t last)
{
  return xdr_uint32_t (x, v) && *v <= last;
}

/* Encodes or decodes a string of at most MAX bytes; TEXT has a size of at
   least MAX + 1 bytes.  Rejects an embedded zero byte, as two different
   encoded strings would then compare equal after decoding.  */
bool
rr_xdr_text (XDR *x, char *text, uint32_t max)
{
  uint32_t n = 0;
  if (x->x_op == XDR_ENCODE)
    {
      n = (uint32_t)strnlen (text, (size_t)max + 1);
      if (n > max)
        return false;
    }
  if (!xdr_uint32_t (x, &n) || n > max || !xdr_opaque (x, text, n))
    return false;
  if (x->x_op == XDR_DECODE)
    {
      text[n] = '\0';
      return strlen (text) == n;
    }
  return true;
}

/* Encodes or decodes at most MAX bytes.  Decoding allocates them; the caller
   frees them with rr_record_clear.  The length is checked against the rest of
   the stream before memory is allocated.  */
bool
rr_xdr_bytes (XDR *x, struct rr_bytes *b, uint32_t max)
{
  if (!xdr_uint32_t (x, &b->length))
    return false;
  if (b->length > max || (x->x_op == XDR_DECODE && b->length > x->x_handy))
    {
      b->length = 0;
      return false;
    }
  if (x->x_op == XDR_DECODE)
    {
      b->data = NULL;
      if (b->length == 0)
        return true;
      b->data = malloc (b->length);
      if (b->data == NULL)
        {
          b->length = 0;
          return false;
        }
    }
  return b->length == 0 || xdr_opaque (x, (char *)b->data, b->length);
}

/* Returns the number of bytes that CODE writes for VALUE, at most MAX.  Also
   returns MAX when the value cannot be encoded or memory is exhausted.  */
size_t
rr_xdr_measure (bool (*code) (XDR *x, void *value), void *value, size_t max)
{
  char *buffer = malloc (max);
  if (buffer == NULL)
    return max;
  XDR x;
  xdrmem_create (&x, buffer, (u_int)max, XDR_ENCODE);
  size_t n = code (&x, value) ? xdr_getpos (&x) : max;
  xdr_destroy (&x);
  free (buffer);
  return n;
}
