#include "rosemaryrail/stored_fields.h"

#include <assert.h>
#include <json-c/json.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include "rosemaryrail/job_graph.h"
#include "rosemaryrail/run_set.h"

/* Returns S as an array of numbers, or null if it is empty.  */
static struct json_object *
runs_new (const struct rr_run_set *s)
{
  if (s->count == 0)
    return NULL;
  struct json_object *runs = json_object_new_array ();
  for (size_t i = 0; i < s->count; i++)
    json_object_array_add (runs, json_object_new_int64 ((int64_t)s->runs[i]));
  return runs;
}

/* Returns the value of field F in BASE, or null if it is 0 or empty.  */
static struct json_object *
value_new (const struct rr_stored_field *f, const void *base)
{
  const char *member = (const char *)base + f->offset;
  int64_t n = 0;
  switch (f->kind)
    {
    case RR_STORED_BOOL:
      n = *(const bool *)member ? 1 : 0;
      break;
    case RR_STORED_INT32:
      n = *(const int32_t *)(const void *)member;
      break;
    case RR_STORED_INT64:
      n = *(const int64_t *)(const void *)member;
      break;
    case RR_STORED_UINT32:
      n = *(const uint32_t *)(const void *)member;
      break;
    case RR_STORED_COUNT:
    case RR_STORED_BITS:
      n = (int64_t) * (const uint64_t *)(const void *)member;
      break;
    case RR_STORED_NAME:
      return member[0] == '\0' ? NULL : json_object_new_string (member);
    case RR_STORED_TEXT:
      {
        const struct rr_text *t
            = *(struct rr_text *const *)(const void *)member;
        return rr_text_length (t) == 0 ? NULL : rr_text_to_json (t);
      }
    case RR_STORED_RUNS:
      return runs_new ((const struct rr_run_set *)(const void *)member);
    }
  return n == 0 ? NULL : json_object_new_int64 (n);
}

static bool
int_read (struct json_object *v, int64_t min, int64_t max, int64_t *out)
{
  *out = json_object_get_int64 (v);
  return json_object_is_type (v, json_type_int) && *out >= min && *out <= max;
}

/* Reads the array V into OUT.  Returns false if V is no array of rising run
   numbers.  */
static bool
runs_read (struct json_object *v, struct rr_run_set *out)
{
  if (!json_object_is_type (v, json_type_array))
    return false;
  int64_t last = 0;
  for (size_t i = 0; i < json_object_array_length (v); i++)
    {
      int64_t run = 0;
      if (!int_read (json_object_array_get_idx (v, i), last + 1, INT64_MAX - 1,
                     &run))
        return false;
      rr_run_set_add (out, (uint64_t)run);
      last = run;
    }
  return true;
}

/* Reads V into field F of BASE.  Returns false if V is no value of the field's
   kind.  */
static bool
value_read (struct json_object *v, const struct rr_stored_field *f, void *base)
{
  void *member = (char *)base + f->offset;
  int64_t n = 0;
  switch (f->kind)
    {
    case RR_STORED_BOOL:
      if (!int_read (v, 0, 1, &n))
        return false;
      *(bool *)member = n != 0;
      return true;
    case RR_STORED_INT32:
      if (!int_read (v, INT32_MIN, INT32_MAX, &n))
        return false;
      *(int32_t *)member = (int32_t)n;
      return true;
    case RR_STORED_INT64:
      return int_read (v, INT64_MIN, INT64_MAX, member);
    case RR_STORED_UINT32:
      if (!int_read (v, 0, UINT32_MAX, &n))
        return false;
      *(uint32_t *)member = (uint32_t)n;
      return true;
    case RR_STORED_COUNT:
    case RR_STORED_BITS:
      if (!int_read (v, f->kind == RR_STORED_COUNT ? 0 : INT64_MIN, INT64_MAX,
                     &n))
        return false;
      *(uint64_t *)member = (uint64_t)n;
      return true;
    case RR_STORED_NAME:
      if (!json_object_is_type (v, json_type_string)
          || json_object_get_string_len (v) >= RR_JOB_NAME_SIZE)
        return false;
      snprintf (member, RR_JOB_NAME_SIZE, "%s", json_object_get_string (v));
      return true;
    case RR_STORED_TEXT:
      if (!json_object_is_type (v, json_type_string))
        return false;
      rr_text_unref (*(struct rr_text **)member);
      *(struct rr_text **)member = rr_text_from_json (v);
      return true;
    case RR_STORED_RUNS:
      return runs_read (v, member);
    }
  return false;
}

/* Adds the FIELDS of BASE to the object O.  */
void
rr_stored_object_write (struct json_object *o,
                        const struct rr_stored_field *fields, size_t count,
                        const void *base)
{
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *v = value_new (&fields[i], base);
      if (v != NULL)
        json_object_object_add (o, fields[i].name, v);
    }
}

/* Reads the FIELDS of the object O into BASE, which is all 0 before.  Returns
   false with RR_ERROR_INVALID if a member is not of its field's kind, or O is
   no object.  */
bool
rr_stored_object_read (struct json_object *o,
                       const struct rr_stored_field *fields, size_t count,
                       void *base, struct rr_error *err)
{
  if (!json_object_is_type (o, json_type_object))
    return rr_error_set (err, RR_ERROR_INVALID, "not an object");
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *v = NULL;
      if (json_object_object_get_ex (o, fields[i].name, &v)
          && !value_read (v, &fields[i], base))
        return rr_error_set (err, RR_ERROR_INVALID, "field \"%s\" is invalid",
                             fields[i].name);
    }
  return true;
}

/* Returns the value of a field of KIND that is 0 or empty.  */
static struct json_object *
empty_value_new (enum rr_stored_kind kind)
{
  switch (kind)
    {
    case RR_STORED_NAME:
    case RR_STORED_TEXT:
      return json_object_new_string ("");
    case RR_STORED_RUNS:
      return json_object_new_array ();
    case RR_STORED_BOOL:
    case RR_STORED_INT32:
    case RR_STORED_INT64:
    case RR_STORED_UINT32:
    case RR_STORED_COUNT:
    case RR_STORED_BITS:
      break;
    }
  return json_object_new_int64 (0);
}

/* Returns a new array with the FIELDS of BASE, in their order, without those
   at its end that are 0 or empty.  */
struct json_object *
rr_stored_row_new (const struct rr_stored_field *fields, size_t count,
                   const void *base)
{
  struct json_object *row = json_object_new_array ();
  size_t left_out = 0;
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *v = value_new (&fields[i], base);
      if (v == NULL)
        {
          left_out++;
          continue;
        }
      for (; left_out > 0; left_out--)
        json_object_array_add (row,
                               empty_value_new (fields[i - left_out].kind));
      json_object_array_add (row, v);
    }
  return row;
}

/* Reads the FIELDS of the array ROW into BASE, which is all 0 before.  Returns
   false with RR_ERROR_INVALID if an element is not of its field's kind, or ROW
   is no array.  */
bool
rr_stored_row_read (struct json_object *row,
                    const struct rr_stored_field *fields, size_t count,
                    void *base, struct rr_error *err)
{
  /* The library ends the process when this is not an array.  */
  if (!json_object_is_type (row, json_type_array))
    return rr_error_set (err, RR_ERROR_INVALID, "not a row");
  size_t length = json_object_array_length (row);
  for (size_t i = 0; i < count && i < length; i++)
    if (!value_read (json_object_array_get_idx (row, i), &fields[i], base))
      return rr_error_set (err, RR_ERROR_INVALID, "field \"%s\" is invalid",
                           fields[i].name);
  return true;
}

/* Returns O as text, which the caller frees, and releases O.  */
char *
rr_stored_finish (struct json_object *o)
{
  char *text
      = strdup (json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN));
  assert (text != NULL);
  json_object_put (o);
  return text;
}
