#ifndef ROSEMARYRAIL_TEXT_H
#define ROSEMARYRAIL_TEXT_H

#include <stdbool.h>
#include <stddef.h>

/* An immutable text of any length, which may contain any byte, with a
   reference count.  A null pointer is the empty text, so that a text that was
   left out when it was stored needs no check.  */
struct rr_text;

struct json_object;

struct rr_text *rr_text_new (const char *bytes, size_t length);
struct rr_text *rr_text_ref (struct rr_text *t);
void rr_text_unref (struct rr_text *t);
void rr_text_assign (struct rr_text **slot, struct rr_text *t);
const char *rr_text_bytes (const struct rr_text *t);
size_t rr_text_length (const struct rr_text *t);
int rr_text_compare (const struct rr_text *a, const struct rr_text *b);
bool rr_text_equal (const struct rr_text *a, const struct rr_text *b);
struct rr_text *rr_text_from_json (struct json_object *v);
struct json_object *rr_text_to_json (const struct rr_text *t);

#endif
