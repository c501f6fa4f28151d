#include <stdlib.h>

#include "common/json.h"
#include "rosemaryctl/ctl.h"

static void
print_summary (const struct ctl *ctl, const struct rr_config *c)
{
  struct rr_config_parts parts;
  struct rr_config_head head;
  rr_config_split (c, &parts);
  rr_config_head_build (&parts, 1, "", &head);
  if (ctl->json)
    {
      struct json_object *o = json_object_new_object ();
      json_object_object_add (o, "errors", json_object_new_array ());
      json_add_string (o, "digest", head.digest);
      puts (json_text (o));
      json_object_put (o);
    }
  else
    printf ("valid: %zu teams, %zu services, %zu jobs, %zu drains; digest "
            "%s\n",
            c->team_count, c->service_count, c->job_count, c->drain_count,
            head.digest);
  rr_config_head_free (&head);
  rr_config_parts_free (&parts);
}

/* rosemaryctl check FILE...  */
int
command_check (int argc, char **argv)
{
  struct arg_str *files
      = arg_strn (NULL, NULL, "FILE", 1, 1000, "configuration file");
  void *arguments[] = { files };
  struct ctl ctl;
  struct ctl_files read = { 0 };
  struct rr_config *c = NULL;
  enum ctl_exit rc
      = ctl_open (&ctl, argc, argv,
                  "Checks configuration files as one configuration, without "
                  "asking a daemon.",
                  arguments, 1);
  if (rc == CTL_CONTINUE)
    {
      rc = ctl_config_read (&ctl, files->sval, (size_t)files->count, &read,
                            &c);
      if (rc == CTL_OK)
        print_summary (&ctl, c);
    }
  rr_config_free (c);
  ctl_files_free (&read);
  ctl_close (&ctl);
  return rc;
}
