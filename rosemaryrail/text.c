#include "rosemaryrail/text.h"

#include <assert.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

struct rr_text
{
  size_t references;
  size_t length;
  char bytes[]; /* followed by a NUL */
};

/* Returns a text with the LENGTH BYTES, which the caller unreferences.  */
struct rr_text *
rr_text_new (const char *bytes, size_t length)
{
  if (length == 0)
    return NULL;
  struct rr_text *t = malloc (sizeof *t + length + 1);
  assert (t != NULL);
  t->references = 1;
  t->length = length;
  memcpy (t->bytes, bytes, length);
  t->bytes[length] = '\0';
  return t;
}

/* Returns T with one more reference.  */
struct rr_text *
rr_text_ref (struct rr_text *t)
{
  if (t != NULL)
    t->references++;
  return t;
}

/* Drops a reference to T and frees it with the last one.  */
void
rr_text_unref (struct rr_text *t)
{
  if (t != NULL && --t->references == 0)
    free (t);
}

/* Sets SLOT, which owns a reference, to T.  */
void
rr_text_assign (struct rr_text **slot, struct rr_text *t)
{
  struct rr_text *former = *slot;
  *slot = rr_text_ref (t);
  rr_text_unref (former);
}

/* Returns the bytes of T, followed by a NUL that is not part of it.  */
const char *
rr_text_bytes (const struct rr_text *t)
{
  return t == NULL ? "" : t->bytes;
}

/* Returns the number of bytes of T.  */
size_t
rr_text_length (const struct rr_text *t)
{
  return t == NULL ? 0 : t->length;
}

/* Orders texts by their bytes; a text comes after its own beginning.  */
int
rr_text_compare (const struct rr_text *a, const struct rr_text *b)
{
  size_t n = rr_text_length (a);
  size_t m = rr_text_length (b);
  int order = memcmp (rr_text_bytes (a), rr_text_bytes (b), n < m ? n : m);
  return order != 0 ? order : (n > m) - (n < m);
}

bool
rr_text_equal (const struct rr_text *a, const struct rr_text *b)
{
  return rr_text_compare (a, b) == 0;
}

/* Returns the text of the JSON string V, which the caller unreferences; empty
   if V is no string.  */
struct rr_text *
rr_text_from_json (struct json_object *v)
{
  if (!json_object_is_type (v, json_type_string))
    return NULL;
  return rr_text_new (json_object_get_string (v),
                      (size_t)json_object_get_string_len (v));
}

/* Returns T as a new JSON string.  */
struct json_object *
rr_text_to_json (const struct rr_text *t)
{
  return json_object_new_string_len (rr_text_bytes (t),
                                     (int)rr_text_length (t));
}
