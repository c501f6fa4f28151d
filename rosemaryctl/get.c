#include <stdlib.h>
#include <string.h>

#include "common/json.h"
#include "rosemaryctl/ctl.h"

/* Adds the members of PART to ALL; lists are joined.  */
static void
merge_part (struct json_object *all, struct json_object *part)
{
  json_object_object_foreach (part, key, value)
  {
    struct json_object *list = ctl_list (all, key);
    if (list == NULL)
      json_object_object_add (all, key, json_object_get (value));
    else
      for (size_t i = 0; i < json_object_array_length (value); i++)
        json_object_array_add (
            list, json_object_get (json_object_array_get_idx (value, i)));
  }
}

/* Prints C as one file that apply accepts.  */
static void
print_config (const struct rr_config *c)
{
  struct rr_config_parts parts;
  rr_config_split (c, &parts);
  struct json_object *all = json_object_new_object ();
  for (size_t i = 0; i < parts.count; i++)
    {
      struct json_object *part = json_tokener_parse (parts.items[i].text);
      merge_part (all, part);
      json_object_put (part);
    }
  puts (json_object_to_json_string_ext (
      all, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_SPACED
               | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (all);
  rr_config_parts_free (&parts);
}

static void
print_files (struct json_object *list)
{
  size_t count = list == NULL ? 0 : json_object_array_length (list);
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *f = json_object_array_get_idx (list, i);
      printf ("// %s\n%s\n", ctl_text (f, "name"), ctl_text (f, "text"));
    }
}

/* rosemaryctl get  */
int
command_get (int argc, char **argv)
{
  struct ctl ctl;
  struct ctl_response a;
  struct rr_config *c = NULL;
  long generation;
  enum ctl_exit rc
      = ctl_open (&ctl, argc, argv,
                  "Prints the configuration in force as one file that apply "
                  "accepts.",
                  NULL, 0);
  if (rc == CTL_CONTINUE)
    {
      rc = ctl_config_fetch (&ctl, &a, &c, &generation);
      if (rc == CTL_OK)
        {
          if (ctl.json)
            puts (json_text (a.json));
          else
            {
              printf ("// generation %ld, digest %s\n", generation,
                      ctl_text (a.json, "digest"));
              if (c != NULL)
                print_config (c);
              else
                print_files (ctl_list (a.json, "files"));
            }
          ctl_response_free (&a);
        }
    }
  rr_config_free (c);
  ctl_close (&ctl);
  return rc;
}
