#include "common/json.h"

#include <limits.h>

/* Parses TEXT, which must contain exactly one JSON value and may contain
   comments.  The caller frees the value with json_object_put.  On failure
   returns null and sets ERR to the reason and the byte offset.  */
struct json_object *
json_parse (const char *text, size_t length, struct rr_error *err)
{
  return json_parse_nested (text, length, JSON_TOKENER_DEFAULT_DEPTH, err);
}

/* Parses TEXT like json_parse, and rejects values nested as deeply as
   DEPTH.  */
struct json_object *
json_parse_nested (const char *text, size_t length, int depth,
                   struct rr_error *err)
{
  if (length == 0 || length > INT_MAX)
    {
      rr_error_set (err, RR_ERROR_INVALID, "empty or oversized JSON text");
      return NULL;
    }
  struct json_tokener *tok = json_tokener_new_ex (depth);
  struct json_object *o = json_tokener_parse_ex (tok, text, (int)length);
  enum json_tokener_error rc = json_tokener_get_error (tok);
  size_t end = json_tokener_get_parse_end (tok);
  if (rc == json_tokener_success)
    {
      while (end < length
             && (text[end] == ' ' || text[end] == '\n' || text[end] == '\r'
                 || text[end] == '\t'))
        end++;
      if (end < length)
        {
          rr_error_set (err, RR_ERROR_INVALID,
                        "text after the JSON value at byte %zu", end);
          json_object_put (o);
          o = NULL;
        }
    }
  else
    {
      rr_error_set (err, RR_ERROR_INVALID, "%s at byte %zu",
                    json_tokener_error_desc (rc), end);
      json_object_put (o);
      o = NULL;
    }
  json_tokener_free (tok);
  return o;
}

/* Returns O as compact text, owned by O.  */
const char *
json_text (struct json_object *o)
{
  return json_object_to_json_string_ext (
      o, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);
}

/* Returns the member NAME of O if it has TYPE, or null.  */
static struct json_object *
member_of_type (struct json_object *o, const char *name, enum json_type type)
{
  struct json_object *v = NULL;
  if (!json_object_is_type (o, json_type_object)
      || !json_object_object_get_ex (o, name, &v)
      || !json_object_is_type (v, type))
    return NULL;
  return v;
}

/* Reads the integer member NAME of O.  Returns false and sets ERR if the
   member is missing or has another type.  */
bool
json_get_int (struct json_object *o, const char *name, int64_t *value,
              struct rr_error *err)
{
  struct json_object *v = member_of_type (o, name, json_type_int);
  if (v == NULL)
    return rr_error_set (err, RR_ERROR_INVALID,
                         "field \"%s\" is missing or not an integer", name);
  *value = json_object_get_int64 (v);
  return true;
}

/* Returns the string member NAME of O, owned by O.  Returns null and sets ERR
   if the member is missing or has another type.  */
const char *
json_get_string (struct json_object *o, const char *name, struct rr_error *err)
{
  struct json_object *v = member_of_type (o, name, json_type_string);
  if (v == NULL)
    {
      rr_error_set (err, RR_ERROR_INVALID,
                    "field \"%s\" is missing or not a string", name);
      return NULL;
    }
  return json_object_get_string (v);
}

/* Returns the integer member NAME of O, or FALLBACK if the member is missing
   or has another type.  */
int64_t
json_int_or (struct json_object *o, const char *name, int64_t fallback)
{
  struct json_object *v = member_of_type (o, name, json_type_int);
  return v == NULL ? fallback : json_object_get_int64 (v);
}

/* Returns the number NAME of O, rounded towards zero, or FALLBACK if the
   member is missing or null.  If it has another type or isn't from MIN to MAX,
   which doubles must represent exactly, returns FALLBACK and sets ERR.  */
int64_t
json_int_within (struct json_object *o, const char *name, int64_t fallback,
                 int64_t min, int64_t max, struct rr_error *err)
{
  struct json_object *v = NULL;
  if (!json_object_is_type (o, json_type_object)
      || !json_object_object_get_ex (o, name, &v) || v == NULL)
    return fallback;
  double value = json_object_get_double (v);
  if ((json_object_is_type (v, json_type_int)
       || json_object_is_type (v, json_type_double))
      && value >= (double)min && value <= (double)max)
    return json_object_get_int64 (v);
  rr_error_set (err, RR_ERROR_INVALID,
                "field \"%s\" is not a number from %lld to %lld", name,
                (long long)min, (long long)max);
  return fallback;
}

/* Returns the string member NAME of O, owned by O, or FALLBACK if the member
   is missing or has another type.  */
const char *
json_string_or (struct json_object *o, const char *name, const char *fallback)
{
  struct json_object *v = member_of_type (o, name, json_type_string);
  return v == NULL ? fallback : json_object_get_string (v);
}

/* Returns the array member NAME of O, owned by O, or null if the member is
   missing or has another type.  */
struct json_object *
json_list_or_null (struct json_object *o, const char *name)
{
  return member_of_type (o, name, json_type_array);
}

/* Adds the integer member NAME to O.  */
void
json_add_int (struct json_object *o, const char *name, int64_t value)
{
  json_object_object_add (o, name, json_object_new_int64 (value));
}

/* Adds the string member NAME to O.  */
void
json_add_string (struct json_object *o, const char *name, const char *value)
{
  json_object_object_add (o, name, json_object_new_string (value));
}
