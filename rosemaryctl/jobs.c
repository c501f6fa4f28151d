#include "common/json.h"
#include "rosemaryctl/ctl.h"

/* Tells what the answering daemon could not learn anew.  */
static void
print_stale (struct json_object *list)
{
  size_t count = list == NULL ? 0 : json_object_array_length (list);
  if (count == 0)
    return;
  printf ("STALE, owner can't be reached:");
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *s = json_object_array_get_idx (list, i);
      printf ("%s %s", i == 0 ? "" : ",",
              json_object_is_type (s, json_type_string)
                  ? json_object_get_string (s)
                  : json_text (s));
    }
  putchar ('\n');
}

static void
print_jobs (struct json_object *o)
{
  struct ctl_columns t = { 0 };
  struct json_object *list = ctl_list (o, "jobs");
  size_t count = list == NULL ? 0 : json_object_array_length (list);
  ctl_columns_add (&t, 8, "JOB", "TEAM", "STATE", "TASKS", "RUNNING", "DONE",
                   "FAILED", "PENDING");
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *j = json_object_array_get_idx (list, i);
      ctl_columns_add (&t, 8, ctl_text (j, "id"), ctl_text (j, "team"),
                       ctl_text (j, "state"), ctl_text (j, "tasks"),
                       ctl_text (j, "running"), ctl_text (j, "done"),
                       ctl_text (j, "failed"), ctl_text (j, "pending"));
    }
  ctl_columns_print (&t);
  print_stale (ctl_list (o, "stale"));
}

/* rosemaryctl jobs  */
int
command_jobs (int argc, char **argv)
{
  struct ctl ctl;
  struct ctl_response a;
  enum ctl_exit rc
      = ctl_open (&ctl, argc, argv, "Lists the jobs of all teams.", NULL, 0);
  if (rc == CTL_CONTINUE)
    {
      rc = ctl_get (&ctl, "/v1/jobs", &a);
      if (rc == CTL_OK)
        {
          if (ctl.json)
            puts (json_text (a.json));
          else
            print_jobs (a.json);
          ctl_response_free (&a);
        }
    }
  ctl_close (&ctl);
  return rc;
}
