#include <stdlib.h>

#include "common/json.h"
#include "rosemaryctl/ctl.h"

static void
print_diff (const struct ctl *ctl, const struct rr_config *old_config,
            struct rr_config *new_config)
{
  rr_config_inherit_drains (new_config, old_config);
  char *text = rr_config_diff (old_config, new_config);
  if (ctl->json)
    {
      struct json_object *o = json_object_new_object ();
      json_add_string (o, "diff", text);
      puts (json_text (o));
      json_object_put (o);
    }
  else
    fputs (text[0] == '\0' ? "no difference\n" : text, stdout);
  free (text);
}

static enum ctl_exit
diff_with_daemon (const struct ctl *ctl, struct rr_config *new_config)
{
  struct ctl_response response;
  struct rr_config *old_config;
  long generation;
  enum ctl_exit rc
      = ctl_config_fetch (ctl, &response, &old_config, &generation);
  if (rc != CTL_OK)
    return rc;
  if (old_config != NULL)
    print_diff (ctl, old_config, new_config);
  else
    {
      fprintf (stderr, "rosemaryctl: the configuration in force can't be read "
                       "by this version\n");
      rc = CTL_FAILURE;
    }
  rr_config_free (old_config);
  ctl_response_free (&response);
  return rc;
}

static enum ctl_exit
diff_with_files (const struct ctl *ctl, const struct arg_str *old,
                 struct rr_config *new_config)
{
  struct ctl_files files = { 0 };
  struct rr_config *old_config = NULL;
  enum ctl_exit rc = ctl_config_read (ctl, old->sval, (size_t)old->count,
                                      &files, &old_config);
  if (rc == CTL_OK)
    print_diff (ctl, old_config, new_config);
  rr_config_free (old_config);
  ctl_files_free (&files);
  return rc;
}

/* rosemaryctl diff [--old FILE]... FILE...  */
int
command_diff (int argc, char **argv)
{
  struct arg_str *old
      = arg_strn (NULL, "old", "FILE", 0, 1000,
                  "compare with this file, not with the daemon; repeatable");
  struct arg_str *files
      = arg_strn (NULL, NULL, "FILE", 1, 1000, "configuration file");
  void *arguments[] = { old, files };
  struct ctl ctl;
  struct ctl_files read = { 0 };
  struct rr_config *new_config = NULL;
  enum ctl_exit rc
      = ctl_open (&ctl, argc, argv,
                  "Shows what applying the files would change, one line for "
                  "each difference.",
                  arguments, 2);
  if (rc == CTL_CONTINUE)
    {
      rc = ctl_config_read (&ctl, files->sval, (size_t)files->count, &read,
                            &new_config);
      if (rc == CTL_OK)
        rc = old->count > 0 ? diff_with_files (&ctl, old, new_config)
                            : diff_with_daemon (&ctl, new_config);
    }
  rr_config_free (new_config);
  ctl_files_free (&read);
  ctl_close (&ctl);
  return rc;
}
