#include "rosemaryraild/config_json.h"

#include <stdio.h>

/* Returns the body of an error response for an invalid document: a message
   that names the document with WHAT, and all ERRORS with their positions.  The
   caller frees it.  */
struct json_object *
config_errors_json (const struct rr_config_errors *errors, const char *what)
{
  char message[64];
  snprintf (message, sizeof message, "%s is not valid", what);
  struct json_object *o = json_object_new_object ();
  struct json_object *e = json_object_new_object ();
  json_add_string (e, "code", "invalid");
  json_add_string (e, "message", message);
  json_object_object_add (o, "error", e);
  struct json_object *list = json_object_new_array ();
  for (size_t i = 0; i < errors->count; i++)
    {
      struct json_object *line = json_object_new_object ();
      json_add_string (line, "file", errors->items[i].file);
      json_add_int (line, "line", errors->items[i].line);
      json_add_int (line, "column", errors->items[i].column);
      json_add_string (line, "message", errors->items[i].message);
      json_object_array_add (list, line);
    }
  json_object_object_add (o, "errors", list);
  return o;
}
