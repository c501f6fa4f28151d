#include "common/json.h"
#include "rosemaryctl/ctl.h"

static void
print_history (struct json_object *list)
{
  struct ctl_columns t = { 0 };
  ctl_columns_add (&t, 6, "TIME", "TASK", "ATTEMPT", "EVENT", "WORKER",
                   "DETAIL");
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      struct json_object *h = json_object_array_get_idx (list, i);
      char text[40];
      ctl_columns_add (&t, 6, ctl_time (json_int_or (h, "at_ms", 0), text),
                       ctl_text (h, "task"), ctl_text (h, "attempt"),
                       ctl_text (h, "event"), ctl_text (h, "worker"),
                       ctl_text (h, "detail"));
    }
  putchar ('\n');
  ctl_columns_print (&t);
}

static void
print_job (struct json_object *o)
{
  printf ("job %s of team %s: %s\n", ctl_text (o, "id"), ctl_text (o, "team"),
          ctl_text (o, "state"));
  printf ("tasks %s: running %s, done %s, failed %s, pending %s\n",
          ctl_text (o, "tasks"), ctl_text (o, "running"), ctl_text (o, "done"),
          ctl_text (o, "failed"), ctl_text (o, "pending"));
  struct json_object *stale = NULL;
  if (json_object_object_get_ex (o, "stale", &stale)
      && (json_object_is_type (stale, json_type_array)
              ? json_object_array_length (stale) > 0
              : json_object_get_boolean (stale)))
    puts ("STALE, owner can't be reached");
  struct json_object *list = ctl_list (o, "history");
  if (list != NULL && json_object_array_length (list) > 0)
    print_history (list);
}

/* rosemaryctl job ID  */
int
command_job (int argc, char **argv)
{
  struct arg_str *id = arg_str1 (NULL, NULL, "ID", "id of the job");
  void *own[] = { id };
  struct ctl ctl;
  struct ctl_response a;
  enum ctl_exit rc
      = ctl_open (&ctl, argc, argv, "Shows one job and its history.", own, 1);
  if (rc == CTL_CONTINUE && !ctl_job_valid (id->sval[0]))
    rc = CTL_USAGE;
  if (rc == CTL_CONTINUE)
    {
      char path[256];
      snprintf (path, sizeof path, "/v1/jobs/%s", id->sval[0]);
      rc = ctl_get (&ctl, path, &a);
      if (rc == CTL_OK)
        {
          if (ctl.json)
            puts (json_text (a.json));
          else
            print_job (a.json);
          ctl_response_free (&a);
        }
    }
  ctl_close (&ctl);
  return rc;
}
