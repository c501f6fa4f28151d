#include "common/base64.h"

#include <assert.h>
#include <openssl/evp.h>
#include <stdlib.h>
#include <string.h>

/* Encodes LENGTH bytes as base64 text that the caller frees.  */
char *
base64_encode (const char *bytes, size_t length)
{
  char *text = malloc ((length + 2) / 3 * 4 + 1);
  assert (text != NULL);
  EVP_EncodeBlock ((unsigned char *)text, (const unsigned char *)bytes,
                   (int)length);
  return text;
}

/* Decodes base64 TEXT into BYTES, a terminated buffer that the caller frees.
   Returns false if TEXT is not valid base64.  The text is checked before
   decoding because EVP_DecodeBlock accepts padding anywhere, as zeros, and
   skips white space at both ends.  */
bool
base64_decode (const char *text, char **bytes, size_t *length)
{
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                               "abcdefghijklmnopqrstuvwxyz0123456789+/";
  *bytes = NULL;
  size_t n = strlen (text);
  size_t padding = n - strspn (text, digits);
  if (n % 4 != 0 || padding > 2 || strspn (text + n - padding, "=") != padding)
    return false;
  *bytes = malloc (n / 4 * 3 + 4);
  assert (*bytes != NULL);
  int decoded = n == 0 ? 0
                       : EVP_DecodeBlock ((unsigned char *)*bytes,
                                          (const unsigned char *)text, (int)n);
  if (decoded < 0)
    {
      free (*bytes);
      *bytes = NULL;
      return false;
    }
  *length = (size_t)decoded - padding;
  (*bytes)[*length] = '\0';
  return true;
}
