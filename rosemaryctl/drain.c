#include "common/json.h"
#include "rosemaryctl/ctl.h"

/* Runs "drain" or "undrain", which differ only in the ACTION of the path.  */
int
ctl_set_drain (int argc, char **argv, const char *summary, const char *action)
{
  struct arg_str *vm = arg_str1 (NULL, NULL, "VM", "name of the VM");
  void *own[] = { vm };
  struct ctl ctl;
  enum ctl_exit rc = ctl_open (&ctl, argc, argv, summary, own, 1);
  if (rc == CTL_CONTINUE && !ctl_name_valid ("VM", vm->sval[0]))
    rc = CTL_USAGE;
  if (rc == CTL_CONTINUE)
    {
      char path[128];
      snprintf (path, sizeof path, "/v1/vms/%s/%s", vm->sval[0], action);
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
            printf ("VM %s: %s accepted, generation %s\n", vm->sval[0], action,
                    ctl_text (a.json, "generation"));
          ctl_response_free (&a);
        }
    }
  ctl_close (&ctl);
  return rc;
}

/* rosemaryctl drain VM  */
int
command_drain (int argc, char **argv)
{
  return ctl_set_drain (argc, argv,
                        "Stops new work on a VM; what runs there goes on or "
                        "is moved.",
                        "drain");
}
