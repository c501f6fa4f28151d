#include "rosemaryrail/fields.h"

#include <arpa/inet.h>
#include <assert.h>
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Tells whether the LENGTH bytes at S form a name: 1 to 63 letters, digits,
   ".", "-" and "_", the first a letter or digit.  */
bool
rr_name_valid (const char *s, size_t length)
{
  if (length == 0 || length >= RR_CONFIG_NAME_SIZE)
    return false;
  for (size_t i = 0; i < length; i++)
    {
      char c = s[i];
      bool alnum = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
                   || (c >= '0' && c <= '9');
      if (!alnum && (i == 0 || (c != '.' && c != '-' && c != '_')))
        return false;
    }
  return true;
}

static void
store_text (const struct rr_field *f, void *out, const char *value)
{
  size_t size = f->kind == RR_FIELD_NAME ? RR_CONFIG_NAME_SIZE : f->size;
  snprintf ((char *)out + f->offset, size, "%s", value);
}

static void
store_number (const struct rr_field *f, void *out, double value)
{
  char *to = (char *)out + f->offset;
  int64_t integer = (int64_t)value;
  bool truth = value != 0;
  if (f->kind == RR_FIELD_INT)
    memcpy (to, &integer, sizeof integer);
  else if (f->kind == RR_FIELD_NUMBER || f->kind == RR_FIELD_WHOLE)
    memcpy (to, &value, sizeof value);
  else
    memcpy (to, &truth, sizeof truth);
}

static bool
is_text (const struct rr_field *f)
{
  return f->kind == RR_FIELD_NAME || f->kind == RR_FIELD_ADDRESS
         || f->kind == RR_FIELD_TEXT;
}

/* Sets all fields of OUT to their defaults.  */
void
rr_fields_set_defaults (const struct rr_fields *fields, void *out)
{
  for (size_t i = 0; i < fields->count; i++)
    {
      const struct rr_field *f = &fields->items[i];
      if (is_text (f))
        store_text (f, out, f->text_default == NULL ? "" : f->text_default);
      else
        store_number (f, out, f->value_default);
    }
}

/* Writes what F accepts into TEXT.  */
static void
describe (const struct rr_field *f, char *text, size_t size)
{
  switch (f->kind)
    {
    case RR_FIELD_INT:
    case RR_FIELD_WHOLE:
      snprintf (text, size, "an integer from %.0f to %.0f", f->min, f->max);
      break;
    case RR_FIELD_NUMBER:
      snprintf (text, size, "a number from %.10g to %.10g", f->min, f->max);
      break;
    case RR_FIELD_BOOL:
      snprintf (text, size, "true or false");
      break;
    case RR_FIELD_NAME:
      snprintf (text, size,
                "a name of 1 to %d letters, digits, \".\", \"-\" and \"_\" "
                "that starts with a letter or digit",
                RR_CONFIG_NAME_SIZE - 1);
      break;
    case RR_FIELD_ADDRESS:
      snprintf (text, size, "an IPv4 address such as \"127.0.0.1\"");
      break;
    case RR_FIELD_TEXT:
      snprintf (text, size,
                "a text of 1 to %zu bytes without control characters",
                f->size - 1);
      break;
    }
}

/* Writes a short form of the value N into TEXT.  */
static void
quote (const struct rr_node *n, char *text, size_t size)
{
  if (n->type == json_type_object)
    snprintf (text, size, "an object");
  else if (n->type == json_type_array)
    snprintf (text, size, "an array");
  else
    {
      int n_max = 40;
      const char *s = json_object_to_json_string_ext (
          n->scalar, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);
      snprintf (text, size, "%.*s%s", n_max, s,
                strlen (s) > (size_t)n_max ? "..." : "");
    }
}

static bool
text_valid (const struct rr_field *f, const struct rr_node *n)
{
  if (n->type != json_type_string)
    return false;
  const char *s = json_object_get_string (n->scalar);
  size_t length = (size_t)json_object_get_string_len (n->scalar);
  struct in_addr address;
  if (strlen (s) != length)
    return false;
  if (f->kind == RR_FIELD_NAME)
    return rr_name_valid (s, length);
  if (f->kind == RR_FIELD_ADDRESS)
    return length < f->size && inet_pton (AF_INET, s, &address) == 1;
  if (length == 0 || length >= f->size)
    return false;
  for (size_t i = 0; i < length; i++)
    if ((unsigned char)s[i] < ' ' || s[i] == 127)
      return false;
  return true;
}

/* Checks the VALUE of field F and stores it in OUT; otherwise adds an error
   and returns false.  */
bool
rr_field_read (const struct rr_document *d, const struct rr_node *value,
               const struct rr_field *field, void *out,
               struct rr_config_errors *errors)
{
  bool ok = false;
  if (is_text (field))
    {
      ok = text_valid (field, value);
      if (ok)
        store_text (field, out, json_object_get_string (value->scalar));
    }
  else if (field->kind == RR_FIELD_BOOL)
    {
      ok = value->type == json_type_boolean;
      if (ok)
        store_number (field, out, json_object_get_boolean (value->scalar));
    }
  else
    {
      double v = 0;
      ok = value->type == json_type_int
           || (field->kind == RR_FIELD_NUMBER
               && value->type == json_type_double);
      if (ok)
        v = json_object_get_double (value->scalar);
      ok = ok && v >= field->min && v <= field->max; /* false for NaN */
      if (ok)
        store_number (field, out, v);
    }
  if (ok)
    return true;
  char expected[160];
  char actual[64];
  describe (field, expected, sizeof expected);
  quote (value, actual, sizeof actual);
  rr_document_error (d, value, errors, "field \"%s\": expected %s, got %s",
                     field->name, expected, actual);
  return false;
}

static const struct rr_field *
find_field (const struct rr_fields *fields, const char *name)
{
  for (size_t i = 0; i < fields->count; i++)
    if (strcmp (fields->items[i].name, name) == 0)
      return &fields->items[i];
  return NULL;
}

enum
{
  LIST_MAX = 16, /* longer lists of known fields are hard to read */
  SUGGESTIONS = 3,
  COMPARED_MAX = 60, /* characters of a name */
};

/* Returns the number of insertions, removals and replacements that turn A
   into B; 0 when B contains A, as for a name without its unit.  */
static size_t
edit_distance (const char *a, const char *b)
{
  if (strstr (b, a) != NULL)
    return 0;
  size_t row[COMPARED_MAX + 1];
  size_t length = strnlen (b, COMPARED_MAX);
  for (size_t j = 0; j <= length; j++)
    row[j] = j;
  for (size_t i = 0; i < COMPARED_MAX && a[i] != '\0'; i++)
    {
      size_t diagonal = row[0];
      row[0] = i + 1;
      for (size_t j = 0; j < length; j++)
        {
          size_t best = diagonal + (a[i] != b[j]);
          if (row[j] + 1 < best)
            best = row[j] + 1;
          if (row[j + 1] + 1 < best)
            best = row[j + 1] + 1;
          diagonal = row[j + 1];
          row[j + 1] = best;
        }
    }
  return row[length];
}

/* Writes the known names that come closest to NAME.  */
static void
write_suggestions (FILE *out, const struct rr_fields *fields, const char *name)
{
  size_t *distances = calloc (fields->count, sizeof *distances);
  assert (distances != NULL);
  for (size_t i = 0; i < fields->count; i++)
    distances[i] = edit_distance (name, fields->items[i].name);
  for (size_t n = 0; n < SUGGESTIONS; n++)
    {
      size_t best = 0;
      for (size_t i = 1; i < fields->count; i++)
        if (distances[i] < distances[best])
          best = i;
      fprintf (out, "%s%s", n == 0 ? "" : ", ", fields->items[best].name);
      distances[best] = SIZE_MAX;
    }
  free (distances);
}

/* Adds the error for the unknown field NAME.  */
void
rr_fields_report_unknown (const struct rr_fields *fields, const char *name,
                          const char *file, unsigned line, unsigned column,
                          struct rr_config_errors *errors)
{
  if (errors->count == RR_CONFIG_ERRORS_MAX)
    return;
  char *known = NULL;
  size_t length = 0;
  FILE *out = open_memstream (&known, &length);
  assert (out != NULL);
  if (fields->count > LIST_MAX)
    write_suggestions (out, fields, name);
  else
    for (size_t i = 0; i < fields->count; i++)
      fprintf (out, "%s%s", i == 0 ? "" : ", ", fields->items[i].name);
  fclose (out);
  rr_config_errors_add (
      errors, file, line, column, "unknown field \"%.60s\" in %s; %s: %s",
      name, fields->object,
      fields->count > LIST_MAX ? "the closest names are" : "expected one of",
      known);
  free (known);
}

/* Reads OBJECT into OUT; absent fields get their defaults.  Adds an error for
   each unknown, missing or invalid field, and returns false if there was
   one.  Valid fields are stored all the same.  */
bool
rr_fields_read (const struct rr_document *d, const struct rr_node *object,
                const struct rr_fields *fields, void *out,
                struct rr_config_errors *errors)
{
  rr_fields_set_defaults (fields, out);
  if (object->type != json_type_object)
    {
      char actual[64];
      quote (object, actual, sizeof actual);
      rr_document_error (d, object, errors, "expected an object (%s), got %s",
                         fields->object, actual);
      return false;
    }
  bool ok = true;
  const struct rr_node *n;
  for (n = rr_node_first (d, object); n != NULL; n = rr_node_next (d, n))
    {
      const struct rr_field *f = find_field (fields, n->key);
      if (f == NULL)
        {
          rr_fields_report_unknown (fields, n->key, d->file, n->key_line,
                                    n->key_column, errors);
          ok = false;
        }
      else if (!rr_field_read (d, n, f, out, errors))
        ok = false;
    }
  for (size_t i = 0; i < fields->count; i++)
    if (fields->items[i].required
        && rr_node_member (d, object, fields->items[i].name) == NULL)
      {
        char expected[160];
        describe (&fields->items[i], expected, sizeof expected);
        rr_document_error (d, object, errors,
                           "missing field \"%s\" in %s; expected %s",
                           fields->items[i].name, fields->object, expected);
        ok = false;
      }
  return ok;
}

/* Returns VALUE as a JSON number in its shortest form that reads back
   equal.  */
struct json_object *
rr_number_json (double value)
{
  if (fabs (value) < 1e15 && value == floor (value))
    return json_object_new_int64 ((int64_t)value);
  char text[32];
  for (int digits = 6; digits <= 17; digits++)
    {
      snprintf (text, sizeof text, "%.*g", digits, value);
      if (strtod (text, NULL) == value)
        break;
    }
  return json_object_new_double_s (value, text);
}

/* Returns the value of FIELD in IN as JSON.  */
struct json_object *
rr_field_json (const struct rr_field *field, const void *in)
{
  const char *from = (const char *)in + field->offset;
  int64_t integer;
  double number;
  bool truth;
  switch (field->kind)
    {
    case RR_FIELD_INT:
      memcpy (&integer, from, sizeof integer);
      return json_object_new_int64 (integer);
    case RR_FIELD_NUMBER:
    case RR_FIELD_WHOLE:
      memcpy (&number, from, sizeof number);
      return rr_number_json (number);
    case RR_FIELD_BOOL:
      memcpy (&truth, from, sizeof truth);
      return json_object_new_boolean (truth);
    case RR_FIELD_NAME:
    case RR_FIELD_ADDRESS:
    case RR_FIELD_TEXT:
      return json_object_new_string (from);
    }
  return NULL;
}

/* Returns all fields of IN as a JSON object, in the order of FIELDS.  */
struct json_object *
rr_fields_json (const struct rr_fields *fields, const void *in)
{
  struct json_object *o = json_object_new_object ();
  for (size_t i = 0; i < fields->count; i++)
    json_object_object_add (o, fields->items[i].name,
                            rr_field_json (&fields->items[i], in));
  return o;
}
