#include "common/json.h"
#include "rosemaryctl/ctl.h"

static void
print_filters (struct json_object *list)
{
  size_t count = list == NULL ? 0 : json_object_array_length (list);
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *f = json_object_array_get_idx (list, i);
      printf ("    %s: %s workers rejected\n", ctl_text (f, "name"),
              ctl_text (f, "rejected"));
    }
}

static void
print_explanation (struct json_object *o)
{
  struct json_object *list = ctl_list (o, "tasks");
  size_t count = list == NULL ? 0 : json_object_array_length (list);
  printf ("job %s\n", ctl_text (o, "id"));
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *t = json_object_array_get_idx (list, i);
      printf ("  task %s: %s: %s\n", ctl_text (t, "task"),
              ctl_text (t, "state"), ctl_text (t, "reason"));
      print_filters (ctl_list (t, "filters"));
    }
}

/* rosemaryctl explain JOB  */
int
command_explain (int argc, char **argv)
{
  struct arg_str *id = arg_str1 (NULL, NULL, "JOB", "id of the job");
  void *own[] = { id };
  struct ctl ctl;
  struct ctl_answer a;
  enum ctl_exit rc
      = ctl_open (&ctl, argc, argv,
                  "Tells why each task of a job is in its state, and which "
                  "rules rejected workers.",
                  own, 1);
  if (rc == CTL_CONTINUE && !ctl_name_valid ("job", id->sval[0]))
    rc = CTL_USAGE;
  if (rc == CTL_CONTINUE)
    {
      char path[128];
      snprintf (path, sizeof path, "/v1/jobs/%s/explain", id->sval[0]);
      rc = ctl_get (&ctl, path, &a);
      if (rc == CTL_OK)
        {
          if (ctl.json)
            puts (json_text (a.json));
          else
            print_explanation (a.json);
          ctl_answer_free (&a);
        }
    }
  ctl_close (&ctl);
  return rc;
}
