#include "rosemaryraild/vm_list.h"

#include <arpa/inet.h>
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/json.h"

/* Containers around an entry: the document and the list "vms".  */
#define ENTRY_NESTING 2
#define ENTRY_DEPTH_MAX (JSON_TOKENER_DEFAULT_DEPTH - ENTRY_NESTING)

/* The largest integer that every JSON implementation represents exactly.  */
#define INCARNATION_MAX ((INT64_C (1) << 53) - 1)

static bool
copy_string_field (struct json_object *o, const char *field, char *out,
                   size_t size, struct rr_error *err)
{
  const char *s = json_get_string (o, field, err);
  if (s == NULL)
    return false;
  if (s[0] == '\0' || strlen (s) >= size)
    return rr_error_set (err, RR_ERROR_INVALID,
                         "field \"%s\" is empty or too long", field);
  snprintf (out, size, "%s", s);
  return true;
}

static bool
parse_role (const char *s, enum rr_role *role)
{
  if (strcmp (s, "worker") == 0)
    *role = RR_ROLE_WORKER;
  else if (strcmp (s, "entry") == 0)
    *role = RR_ROLE_ENTRY;
  else
    return false;
  return true;
}

/* Reads the member FIELD of O, a port; 0 if there is none.  */
static bool
parse_port (struct json_object *o, const char *field, uint16_t *port,
            struct rr_error *err)
{
  int64_t value = 0;
  if (json_object_object_get_ex (o, field, NULL)
      && !json_get_int (o, field, &value, err))
    return false;
  if (value < 0 || value > UINT16_MAX)
    return rr_error_set (err, RR_ERROR_INVALID, "field \"%s\" is out of range",
                         field);
  *port = (uint16_t)value;
  return true;
}

static bool
parse_entry (struct json_object *o, struct vm_list_entry *e,
             struct rr_error *err)
{
  struct rr_member_info *i = &e->info;
  struct in_addr address;
  int64_t incarnation;
  if (!copy_string_field (o, "name", i->name, sizeof i->name, err)
      || !copy_string_field (o, "address", e->address, sizeof e->address, err)
      || !copy_string_field (o, "zone", i->zone, sizeof i->zone, err)
      || !json_get_int (o, "incarnation", &incarnation, err))
    return false;
  if (inet_pton (AF_INET, e->address, &address) != 1)
    return rr_error_set (err, RR_ERROR_INVALID,
                         "field \"address\" is not an IPv4 address");
  if (incarnation < 0 || incarnation > INCARNATION_MAX)
    return rr_error_set (err, RR_ERROR_INVALID,
                         "field \"incarnation\" is out of range");
  snprintf (i->address, sizeof i->address, "%s", i->name);
  snprintf (i->rack, sizeof i->rack, "%s", json_string_or (o, "rack", ""));
  i->incarnation = (uint64_t)incarnation;
  const char *role = json_get_string (o, "role", err);
  const char *state = json_get_string (o, "state", err);
  if (role == NULL || state == NULL)
    return false;
  if (!parse_role (role, &i->role))
    return rr_error_set (err, RR_ERROR_INVALID, "unknown role");
  i->leaving = strcmp (state, "leaving") == 0;
  if (!i->leaving && strcmp (state, "live") != 0)
    return rr_error_set (err, RR_ERROR_INVALID, "unknown state");
  return parse_port (o, "http_port", &i->http_port, err)
         && parse_port (o, "rpc_port", &i->rpc_port, err);
}

/* Returns the first byte after the JSON string at TEXT, or END if the string
   isn't closed.  */
static char *
string_end (char *text, char *end)
{
  char quote = *text;
  for (char *p = text + 1; p < end; p++)
    if (*p == '\\')
      p++;
    else if (*p == quote)
      return p + 1;
  return end;
}

static bool
opens_string (char c)
{
  return c == '"' || c == '\'';
}

/* Returns the first byte after the object or array at TEXT, or END if it isn't
   closed.  */
static char *
container_end (char *text, char *end)
{
  size_t depth = 0;
  char *p = text;
  while (p < end)
    {
      if (opens_string (*p))
        {
          p = string_end (p, end);
          continue;
        }
      if (*p == '{' || *p == '[')
        depth++;
      else if (*p == '}' || *p == ']')
        depth--;
      p++;
      if (depth == 0)
        break;
    }
  return p;
}

/* Replaces each entry of the list TEXT that the parser rejects, for example
   because it is nested too deeply, with a number, which names no VM.  */
static void
blank_unreadable_entries (char *text, size_t length)
{
  char *end = text + length;
  size_t depth = 0;
  for (char *p = text; p < end;)
    {
      bool opens = *p == '{' || *p == '[';
      if (opens_string (*p))
        p = string_end (p, end);
      else if (opens && depth == ENTRY_NESTING)
        {
          char *after = container_end (p, end);
          struct json_object *o = json_parse_nested (p, (size_t)(after - p),
                                                     ENTRY_DEPTH_MAX, NULL);
          if (o == NULL)
            {
              memset (p, ' ', (size_t)(after - p));
              *p = '0';
            }
          json_object_put (o);
          p = after;
        }
      else
        {
          if (opens)
            depth++;
          else if ((*p == '}' || *p == ']') && depth > 0)
            depth--;
          p++;
        }
    }
}

/* Parses the list TEXT, without the entries that can't be read.  */
static struct json_object *
parse_readable (const char *text, size_t length, struct rr_error *err)
{
  struct json_object *o = json_parse (text, length, NULL);
  if (o != NULL)
    return o;
  char *copy = malloc (length + 1);
  assert (copy != NULL);
  memcpy (copy, text, length);
  copy[length] = '\0';
  blank_unreadable_entries (copy, length);
  o = json_parse (copy, length, err);
  free (copy);
  return o;
}

/* Parses the platform's VM list.  An entry that names no VM is left out; the
   others hold.  Returns false and sets ERR to the cause if there is no list.
   The caller frees LIST with vm_list_free.  */
bool
vm_list_parse (const char *text, size_t length, struct vm_list *list,
               struct rr_error *err)
{
  memset (list, 0, sizeof *list);
  struct json_object *o = parse_readable (text, length, err);
  if (o == NULL)
    return false;
  struct json_object *vms = json_list_or_null (o, "vms");
  if (vms == NULL)
    {
      json_object_put (o);
      return rr_error_set (err, RR_ERROR_INVALID, "field \"vms\" is missing");
    }
  size_t n = json_object_array_length (vms);
  list->entries = calloc (n + 1, sizeof *list->entries);
  assert (list->entries != NULL);
  for (size_t i = 0; i < n; i++)
    {
      struct vm_list_entry *e = &list->entries[list->count];
      memset (e, 0, sizeof *e);
      if (parse_entry (json_object_array_get_idx (vms, i), e, &list->reason))
        list->count++;
    }
  list->left_out = n - list->count;
  json_object_put (o);
  return true;
}

/* Frees the entries of LIST.  */
void
vm_list_free (struct vm_list *list)
{
  free (list->entries);
  list->entries = NULL;
}
