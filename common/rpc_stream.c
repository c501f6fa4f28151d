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

/* Writes one record made of HEADER and BODY.  Returns false when the stream
   refuses it.  */
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

/* Gives libuv a read buffer; one per process is enough, since every reader
   copies what it received before it returns to the loop.  */
void
rpc_read_buffer (uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
  (void)h;
  (void)suggested;
  static char bytes[READ_BUFFER_BYTES];
  *buf = uv_buf_init (bytes, sizeof bytes);
}

/* Encodes OBJECT into a new buffer that the caller frees.  Returns false when
   a value exceeds the limits of its type.  */
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

/* Decodes OBJECT, which must be zeroed, from exactly LENGTH bytes.  On success
   the caller frees it with xdr_free; on failure nothing is left behind.  */
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
