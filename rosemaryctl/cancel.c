#include "common/json.h"
#include "rosemaryctl/ctl.h"

/* rosemaryctl cancel JOB  */
int
command_cancel (int argc, char **argv)
{
  struct arg_str *id = arg_str1 (NULL, NULL, "JOB", "id of the job");
  void *own[] = { id };
  struct ctl ctl;
  enum ctl_exit rc
      = ctl_open (&ctl, argc, argv,
                  "Cancels a job; its running tasks are stopped.", own, 1);
  if (rc == CTL_CONTINUE && !ctl_job_valid (id->sval[0]))
    rc = CTL_USAGE;
  if (rc == CTL_CONTINUE)
    {
      char path[256];
      snprintf (path, sizeof path, "/v1/jobs/%s/cancel", id->sval[0]);
      struct ctl_request r
          = { .method = "POST", .path = path, .generation = -1 };
      struct ctl_response a;
      rc = ctl_call (&ctl, &r, &a);
      if (rc == CTL_OK)
        {
          rc = ctl_response_check (&ctl, &a);
          if (rc == CTL_OK && ctl.json)
            puts (json_text (a.json));
          else if (rc == CTL_OK)
            printf ("job %s: cancellation accepted\n", id->sval[0]);
          ctl_response_free (&a);
        }
    }
  ctl_close (&ctl);
  return rc;
}
