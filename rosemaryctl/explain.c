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

/* Tells whether two tasks differ in nothing but their number.  */
static bool
same_answer (struct json_object *a, struct json_object *b)
{
  static const char *const names[] = { "state", "reason", "filters" };
  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    {
      struct json_object *x = NULL;
      struct json_object *y = NULL;
      json_object_object_get_ex (a, names[i], &x);
      json_object_object_get_ex (b, names[i], &y);
      if (!json_object_equal (x, y))
        return false;
    }
  return true;
}

/* Prints the tasks of a job; neighbours with the same answer in one line.  */
static void
print_explanation (struct json_object *o)
{
  struct json_object *list = ctl_list (o, "tasks");
  size_t count = list == NULL ? 0 : json_object_array_length (list);
  printf ("job %s\n", ctl_text (o, "id"));
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *first = json_object_array_get_idx (list, i);
      struct json_object *last = first;
      while (i + 1 < count
             && same_answer (first, json_object_array_get_idx (list, i + 1)))
        last = json_object_array_get_idx (list, ++i);
      if (last == first)
        printf ("  task %s", ctl_text (first, "task"));
      else
        {
          printf ("  tasks %s", ctl_text (first, "task"));
          printf (" to %s", ctl_text (last, "task"));
        }
      printf (": %s: %s\n", ctl_text (first, "state"),
              ctl_text (first, "reason"));
      print_filters (ctl_list (first, "filters"));
    }
}

/* rosemaryctl explain JOB  */
int
command_explain (int argc, char **argv)
{
  struct arg_str *id = arg_str1 (NULL, NULL, "JOB", "id of the job");
  void *own[] = { id };
  struct ctl ctl;
  struct ctl_response a;
  enum ctl_exit rc
      = ctl_open (&ctl, argc, argv,
                  "Tells why each task of a job is in its state, and which "
                  "rules rejected workers.",
                  own, 1);
  if (rc == CTL_CONTINUE && !ctl_job_valid (id->sval[0]))
    rc = CTL_USAGE;
  if (rc == CTL_CONTINUE)
    {
      char path[256];
      snprintf (path, sizeof path, "/v1/jobs/%s/explain", id->sval[0]);
      rc = ctl_get (&ctl, path, &a);
      if (rc == CTL_OK)
        {
          if (ctl.json)
            puts (json_text (a.json));
          else
            print_explanation (a.json);
          ctl_response_free (&a);
        }
    }
  ctl_close (&ctl);
  return rc;
}
