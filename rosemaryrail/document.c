#include "rosemaryrail/document.h"

#include <assert.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* json-c does not report the positions of values.  Parsing therefore takes
   three steps: comments are replaced by spaces, which keeps lines and columns;
   json-c checks the grammar in strict mode; and one scan over the now valid
   text records the location of each value and decodes the scalars with
   json-c.  */
struct scanner
{
  struct rr_document *d;
  struct rr_config_errors *errors;
  const char *text;
  size_t length;
  size_t at;
  unsigned line;
  size_t line_start;
  struct json_tokener *tokener;
};

static void
offset_to_position (const char *text, size_t at, unsigned *line,
                    unsigned *column)
{
  *line = 1;
  size_t start = 0;
  for (size_t i = 0; i < at; i++)
    if (text[i] == '\n')
      {
        ++*line;
        start = i + 1;
      }
  *column = (unsigned)(at - start) + 1;
}

static bool
report_at_offset (const char *file, const char *text, size_t at,
                  const char *message, struct rr_config_errors *errors)
{
  unsigned line;
  unsigned column;
  offset_to_position (text, at, &line, &column);
  rr_config_errors_add (errors, file, line, column, "%s", message);
  return false;
}

/* Returns the offset after the string that starts at AT.  */
static size_t
string_end (const char *text, size_t length, size_t at)
{
  for (at++; at < length && text[at] != '"'; at++)
    if (text[at] == '\\' && at + 1 < length)
      at++;
  return at < length ? at + 1 : length;
}

/* Reports the first control character in the string from START to END.  json-c
   would accept it, and a missing closing quote would then be reported far
   after its line.  */
static bool
check_string (const char *text, size_t start, size_t end, const char *file,
              struct rr_config_errors *errors)
{
  for (size_t i = start; i < end; i++)
    if ((unsigned char)text[i] < ' ')
      return report_at_offset (
          file, text, i,
          "line end or control character in a string; expected "
          "a closing quote or an escape such as \\n",
          errors);
  return true;
}

/* Overwrites comments with spaces but keeps the line ends in them.  */
static bool
blank_comments (char *text, size_t length, const char *file,
                struct rr_config_errors *errors)
{
  for (size_t i = 0; i < length;)
    {
      if (text[i] == '"')
        {
          size_t end = string_end (text, length, i);
          if (!check_string (text, i, end, file, errors))
            return false;
          i = end;
        }
      else if (text[i] != '/')
        i++;
      else if (i + 1 < length && text[i + 1] == '/')
        while (i < length && text[i] != '\n')
          text[i++] = ' ';
      else if (i + 1 < length && text[i + 1] == '*')
        {
          char *end = memmem (text + i + 2, length - i - 2, "*/", 2);
          if (end == NULL)
            return report_at_offset (file, text, i, "comment without an end",
                                     errors);
          for (size_t stop = (size_t)(end - text) + 2; i < stop; i++)
            if (text[i] != '\n')
              text[i] = ' ';
        }
      else
        return report_at_offset (
            file, text, i, "unexpected \"/\"; expected a comment or a value",
            errors);
    }
  return true;
}

/* Checks the grammar of TEXT with json-c and discards the parsed values.  */
static bool
check_grammar (const char *text, size_t length, const char *file,
               struct rr_config_errors *errors)
{
  struct json_tokener *tok = json_tokener_new ();
  assert (tok != NULL);
  json_tokener_set_flags (tok,
                          JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
  struct json_object *o = json_tokener_parse_ex (tok, text, (int)length);
  enum json_tokener_error rc = json_tokener_get_error (tok);
  size_t end = json_tokener_get_parse_end (tok);
  json_object_put (o);
  json_tokener_free (tok);
  if (rc == json_tokener_continue)
    return report_at_offset (
        file, text, length,
        "unexpected end of the text; an object, array or string "
        "is not closed",
        errors);
  if (rc == json_tokener_error_parse_unexpected && end < length
      && text[end] > ' ')
    {
      char message[100];
      snprintf (message, sizeof message,
                "unexpected \"%c\"; expected a value, a field name in double "
                "quotes, or the end of the text",
                text[end]);
      return report_at_offset (file, text, end, message, errors);
    }
  if (rc != json_tokener_success)
    return report_at_offset (file, text, end, json_tokener_error_desc (rc),
                             errors);
  return true;
}

static void
skip_whitespace (struct scanner *s)
{
  for (; s->at < s->length; s->at++)
    if (s->text[s->at] == '\n')
      {
        s->line++;
        s->line_start = s->at + 1;
      }
    else if (strchr (" \t\r", s->text[s->at]) == NULL)
      break;
}

static char
peek_char (const struct scanner *s)
{
  return s->at < s->length ? s->text[s->at] : '\0';
}

static unsigned
current_column (const struct scanner *s)
{
  return (unsigned)(s->at - s->line_start) + 1;
}

/* Reports text that json-c accepts but the scan does not, such as strings in
   single quotes.  */
static bool
report_expected (struct scanner *s, const char *expected)
{
  rr_config_errors_add (s->errors, s->d->file, s->line, current_column (s),
                        "expected %s", expected);
  return false;
}

/* Decodes strings without escapes and integers of at most 18 digits, which
   always fit into 64 bits.  These are the common scalars, and a tokener costs
   more than the rest of the scan.  Returns null for anything else.  */
static struct json_object *
parse_simple_scalar (const char *text, size_t length)
{
  const size_t digits_max = 18;
  if (length >= 2 && text[0] == '"' && memchr (text, '\\', length) == NULL)
    return json_object_new_string_len (text + 1, (int)length - 2);
  size_t sign = length > 0 && text[0] == '-';
  size_t digits = strspn (text + sign, "0123456789");
  if (digits == 0 || digits > digits_max || sign + digits != length
      || (text[sign] == '0' && digits > 1))
    return NULL;
  return json_object_new_int64 (strtoll (text, NULL, 10));
}

/* Decodes the scalar at the current position and advances past it.  */
static bool
read_scalar (struct scanner *s, struct json_object **value)
{
  size_t start = s->at;
  size_t end = start;
  if (peek_char (s) == '"')
    end = string_end (s->text, s->length, start);
  else
    while (end < s->length && strchr (",]}: \t\r\n", s->text[end]) == NULL)
      end++;
  *value = parse_simple_scalar (s->text + start, end - start);
  bool ok = *value != NULL;
  if (!ok && end > start && peek_char (s) != '\'')
    {
      /* The tokener completes a number only when a character follows it.  */
      json_tokener_reset (s->tokener);
      *value = json_tokener_parse_ex (s->tokener, s->text + start,
                                      (int)(end - start));
      if (json_tokener_get_error (s->tokener) == json_tokener_continue)
        *value = json_tokener_parse_ex (s->tokener, " ", 1);
      ok = json_tokener_get_error (s->tokener) == json_tokener_success;
    }
  if (!ok)
    return report_expected (s, "a JSON value; strings stand in double quotes");
  s->at = end;
  return true;
}

static size_t
add_node (struct rr_document *d)
{
  if (d->count == d->capacity)
    {
      d->capacity = d->capacity == 0 ? 64 : d->capacity * 2;
      d->nodes = realloc (d->nodes, d->capacity * sizeof *d->nodes);
      assert (d->nodes != NULL);
    }
  memset (&d->nodes[d->count], 0, sizeof *d->nodes);
  return d->count++;
}

static bool scan_value (struct scanner *s, size_t *index);

/* Reads a member's key and the colon; sets the text and location in KEY.  */
static bool
scan_key (struct scanner *s, struct rr_node *key)
{
  struct json_object *text = NULL;
  skip_whitespace (s);
  key->key_line = s->line;
  key->key_column = current_column (s);
  if (peek_char (s) != '"')
    return report_expected (s, "a field name in double quotes");
  if (!read_scalar (s, &text))
    return false;
  const char *name = json_object_get_string (text);
  bool whole = strlen (name) == (size_t)json_object_get_string_len (text);
  key->key = strdup (name);
  json_object_put (text);
  if (!whole)
    {
      free (key->key);
      rr_config_errors_add (s->errors, s->d->file, key->key_line,
                            key->key_column, "zero byte in a field name");
      return false;
    }
  skip_whitespace (s);
  if (peek_char (s) != ':')
    {
      free (key->key);
      return report_expected (s, "\":\"");
    }
  s->at++;
  return true;
}

static bool
scan_children (struct scanner *s, size_t parent, char close)
{
  size_t last = 0;
  s->at++;
  skip_whitespace (s);
  if (peek_char (s) == close)
    {
      s->at++;
      return true;
    }
  for (;;)
    {
      struct rr_node key = { 0 };
      if (close == '}' && !scan_key (s, &key))
        return false;
      size_t child;
      if (!scan_value (s, &child))
        {
          free (key.key);
          return false;
        }
      struct rr_node *n = &s->d->nodes[child];
      n->key = key.key;
      n->key_line = key.key_line;
      n->key_column = key.key_column;
      if (last == 0)
        s->d->nodes[parent].first_child = child;
      else
        s->d->nodes[last].next = child;
      last = child;
      skip_whitespace (s);
      char c = peek_char (s);
      s->at++;
      if (c == close)
        return true;
      if (c != ',')
        {
          s->at--;
          return report_expected (s, close == '}' ? "\",\" or \"}\""
                                                  : "\",\" or \"]\"");
        }
    }
}

/* Records the value at the current position and its children.  The preceding
   grammar check limits the depth of the recursion.  */
static bool
scan_value (struct scanner *s, size_t *index)
{
  skip_whitespace (s);
  size_t i = add_node (s->d);
  *index = i;
  s->d->nodes[i].line = s->line;
  s->d->nodes[i].column = current_column (s);
  char c = peek_char (s);
  if (c == '{' || c == '[')
    {
      s->d->nodes[i].type = c == '{' ? json_type_object : json_type_array;
      return scan_children (s, i, c == '{' ? '}' : ']');
    }
  struct json_object *scalar = NULL;
  if (!read_scalar (s, &scalar))
    return false;
  s->d->nodes[i].scalar = scalar;
  s->d->nodes[i].type = json_object_get_type (scalar);
  return true;
}

struct member_ref
{
  const struct rr_node *node;
};

static int
compare_keys (const void *a, const void *b)
{
  const struct rr_node *x = ((const struct member_ref *)a)->node;
  const struct rr_node *y = ((const struct member_ref *)b)->node;
  int order = strcmp (x->key, y->key);
  if (order != 0)
    return order;
  return x < y ? -1 : x > y;
}

/* Reports each member of OBJECT that has the name of an earlier one.  */
static void
check_duplicate_members (const struct rr_document *d,
                         const struct rr_node *object,
                         struct rr_config_errors *errors)
{
  size_t count = 0;
  const struct rr_node *n;
  for (n = rr_node_first (d, object); n != NULL; n = rr_node_next (d, n))
    count++;
  if (count < 2)
    return;
  struct member_ref *keys = calloc (count, sizeof *keys);
  assert (keys != NULL);
  size_t i = 0;
  for (n = rr_node_first (d, object); n != NULL; n = rr_node_next (d, n))
    keys[i++].node = n;
  qsort (keys, count, sizeof *keys, compare_keys);
  size_t first = 0;
  for (i = 1; i < count; i++)
    if (strcmp (keys[i].node->key, keys[first].node->key) != 0)
      first = i;
    else
      rr_config_errors_add (
          errors, d->file, keys[i].node->key_line, keys[i].node->key_column,
          "duplicate field \"%.60s\"; first set at %u:%u", keys[i].node->key,
          keys[first].node->key_line, keys[first].node->key_column);
  free (keys);
}

/* Parses FILE, a JSON text with comments whose root is an object, into D.
   Returns false and adds an error when the text is not of this form.
   Duplicate members are reported in ERRORS as well, but D stays usable and the
   result is true.  The caller must free D in all cases.  */
bool
rr_document_parse (struct rr_document *d, const struct rr_config_file *file,
                   struct rr_config_errors *errors)
{
  memset (d, 0, sizeof *d);
  d->file = strdup (file->name);
  const char *nul = memchr (file->text, '\0', file->length);
  if (nul != NULL)
    return report_at_offset (d->file, file->text, (size_t)(nul - file->text),
                             "unexpected zero byte; expected text", errors);
  if (file->length > INT_MAX - 2)
    return report_at_offset (d->file, file->text, 0, "the text is too long",
                             errors);
  char *text = malloc (file->length + 1);
  assert (text != NULL);
  memcpy (text, file->text, file->length);
  text[file->length] = '\0';
  bool ok = blank_comments (text, file->length, d->file, errors);
  struct scanner s = {
    .d = d, .errors = errors, .text = text, .length = file->length, .line = 1
  };
  skip_whitespace (&s);
  if (ok && peek_char (&s) != '{')
    {
      rr_config_errors_add (errors, d->file, s.line, current_column (&s),
                            "expected an object, starting with \"{\"");
      ok = false;
    }
  s.tokener = json_tokener_new ();
  assert (s.tokener != NULL);
  json_tokener_set_flags (s.tokener, JSON_TOKENER_STRICT);
  size_t root;
  ok = ok && check_grammar (text, file->length, d->file, errors)
       && scan_value (&s, &root);
  json_tokener_free (s.tokener);
  free (text);
  if (!ok)
    return false;
  for (size_t i = 0; i < d->count; i++)
    if (d->nodes[i].type == json_type_object)
      check_duplicate_members (d, &d->nodes[i], errors);
  return true;
}

/* Frees the nodes and the file name in D and zeroes D.  */
void
rr_document_free (struct rr_document *d)
{
  for (size_t i = 0; i < d->count; i++)
    {
      json_object_put (d->nodes[i].scalar);
      free (d->nodes[i].key);
    }
  free (d->nodes);
  free (d->file);
  memset (d, 0, sizeof *d);
}

/* Returns the first child of N, or null if it has none.  */
const struct rr_node *
rr_node_first (const struct rr_document *d, const struct rr_node *n)
{
  return n->first_child == 0 ? NULL : &d->nodes[n->first_child];
}

/* Returns the sibling after N, or null if N is the last child.  */
const struct rr_node *
rr_node_next (const struct rr_document *d, const struct rr_node *n)
{
  return n->next == 0 ? NULL : &d->nodes[n->next];
}

/* Returns the first member KEY of the object N, or null if it has none.  */
const struct rr_node *
rr_node_member (const struct rr_document *d, const struct rr_node *n,
                const char *key)
{
  const struct rr_node *c = rr_node_first (d, n);
  while (c != NULL && strcmp (c->key, key) != 0)
    c = rr_node_next (d, c);
  return c;
}
