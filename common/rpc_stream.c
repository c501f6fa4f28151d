#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "common/rpc_internal.h"
#include "common/rpc_record.h"

enum
{
  MARK_BYTES = 4,
  READ_BUFFER_BYTES = 65536
};

static void
on_written (uv_write_t *w, int status)
{
  (void)status;
  free (w);
}

/* Writes HEADER and BODY, which are copied, as one record.  Returns false if
   the write can't be started.  */
bool
rpc_stream_write (uv_stream_t *stream, const char *header,
                  size_t header_length, const char *body, size_t length)
{
  size_t n = MARK_BYTES + header_length + length;
  uv_write_t *w = malloc (sizeof *w + n);
  assert (w != NULL);
  char *p = (char *)(w + 1);
  rpc_record_write_mark (p, header_length + length);
  memcpy (p + MARK_BYTES, header, header_length);
  if (length > 0)
    memcpy (p + MARK_BYTES + header_length, body, length);
  uv_buf_t buf = uv_buf_init (p, (unsigned)n);
  if (uv_write (w, stream, &buf, 1, on_written) != 0)
    {
      free (w);
      return false;
    }
  rpc_counters.bytes_out += n;
  return true;
}

/* Allocation callback for uv_read_start.  All connections share one static
   buffer, since each read callback copies the data before it returns.  */
void
rpc_read_buffer (uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
  (void)h;
  (void)suggested;
  static char bytes[READ_BUFFER_BYTES];
  *buf = uv_buf_init (bytes, sizeof bytes);
}

/* Encodes OBJECT into a new buffer that the caller frees.  Returns false if a
   value exceeds the limits of its XDR type.  */
bool
xdr_encode (xdrproc_t proc, void *object, char **bytes, size_t *length)
{
  size_t n = xdr_sizeof (proc, object);
  *bytes = malloc (n + 4);
  assert (*bytes != NULL);
  XDR x;
  xdrmem_create (&x, *bytes, (u_int)n + 4, XDR_ENCODE);
  if (!proc (&x, object))
    {
      free (*bytes);
      *bytes = NULL;
      return false;
    }
  *length = xdr_getpos (&x);
  return true;
}

/* Decodes LENGTH bytes into OBJECT, which must be zeroed.  Returns false if
   the data is malformed or longer than the object.  On success the caller
   frees OBJECT with xdr_free; on failure its memory is already freed.  */
bool
xdr_decode (xdrproc_t proc, void *object, const char *bytes, size_t length)
{
  XDR x;
  xdrmem_create (&x, (char *)bytes, (u_int)length, XDR_DECODE);
  if (proc (&x, object) && xdr_getpos (&x) == length)
    return true;
  xdr_free (proc, object);
  return false;
}
