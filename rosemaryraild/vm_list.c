#include "rosemaryraild/vm_list.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/json.h"

static bool
copy_name (struct json_object *o, const char *field, char *out, size_t size,
           struct rr_error *err)
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

static bool
parse_entry (struct json_object *o, struct vm_list_entry *e,
             struct rr_error *err)
{
  struct rr_member_info *i = &e->info;
  int64_t incarnation;
  if (!copy_name (o, "name", i->name, sizeof i->name, err)
      || !copy_name (o, "address", e->address, sizeof e->address, err)
      || !copy_name (o, "zone", i->zone, sizeof i->zone, err)
      || !json_get_int (o, "incarnation", &incarnation, err))
    return false;
  snprintf (i->address, sizeof i->address, "%s", i->name);
  snprintf (i->rack, sizeof i->rack, "%s", json_string_or (o, "rack", ""));
  i->incarnation = (uint64_t)incarnation;
  const char *role = json_get_string (o, "role", err);
  const char *state = json_get_string (o, "state", err);
  if (role == NULL || state == NULL)
    return false;
  if (!parse_role (role, &i->role))
    return rr_error_set (err, RR_ERROR_INVALID, "VM %s: unknown role \"%s\"",
                         i->name, role);
  i->leaving = strcmp (state, "leaving") == 0;
  if (!i->leaving && strcmp (state, "live") != 0)
    return rr_error_set (err, RR_ERROR_INVALID, "VM %s: unknown state \"%s\"",
                         i->name, state);
  int64_t http_port = json_int_or (o, "http_port", 0);
  int64_t rpc_port = json_int_or (o, "rpc_port", 0);
  if (http_port < 0 || http_port > UINT16_MAX || rpc_port < 0
      || rpc_port > UINT16_MAX)
    return rr_error_set (err, RR_ERROR_INVALID, "VM %s: port out of range",
                         i->name);
  i->http_port = (uint16_t)http_port;
  i->rpc_port = (uint16_t)rpc_port;
  return true;
}

/* Parses the platform's VM list.  The list is taken as a whole or, with ERR
   naming the VM and field at fault, not at all.  The caller frees OUT.  */
bool
vm_list_parse (const char *text, size_t length, struct vm_list_entry **out,
               size_t *count, struct rr_error *err)
{
  struct json_object *o = json_parse (text, length, err);
  if (o == NULL)
    return false;
  struct json_object *vms = NULL;
  bool ok = json_object_is_type (o, json_type_object)
            && json_object_object_get_ex (o, "vms", &vms)
            && json_object_is_type (vms, json_type_array);
  if (!ok)
    rr_error_set (err, RR_ERROR_INVALID, "field \"vms\" is missing");
  size_t n = ok ? json_object_array_length (vms) : 0;
  struct vm_list_entry *entries = calloc (n + 1, sizeof *entries);
  assert (entries != NULL);
  for (size_t i = 0; ok && i < n; i++)
    ok = parse_entry (json_object_array_get_idx (vms, i), &entries[i], err);
  json_object_put (o);
  if (!ok)
    {
      free (entries);
      return false;
    }
  *out = entries;
  *count = n;
  return true;
}
