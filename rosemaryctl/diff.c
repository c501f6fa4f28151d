#include <stdlib.h>

#include "common/json.h"
#include "rosemaryctl/ctl.h"

static void
print_diff (const struct ctl *ctl, const struct rr_config *from,
            struct rr_config *to)
{
  rr_config_inherit_drains (to, from);
  char *text = rr_config_diff (from, to);
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
diff_with_daemon (const struct ctl *ctl, struct rr_config *to)
{
  struct ctl_response a;
  struct rr_config *from;
  long generation;
  enum ctl_exit rc = ctl_config_fetch (ctl, &a, &from, &generation);
  if (rc != CTL_OK)
    return rc;
  if (from != NULL)
    print_diff (ctl, from, to);
  else
    {
      fprintf (stderr, "rosemaryctl: the configuration in force can't be read "
                       "by this version\n");
      rc = CTL_FAILURE;
    }
  rr_config_free (from);
  ctl_response_free (&a);
  return rc;
}

static enum ctl_exit
diff_with_files (const struct ctl *ctl, const struct arg_str *old,
                 struct rr_config *to)
{
  struct ctl_files files = { 0 };
  struct rr_config *from = NULL;
  enum ctl_exit rc
      = ctl_config_read (ctl, old->sval, (size_t)old->count, &files, &from);
  if (rc == CTL_OK)
    print_diff (ctl, from, to);
  rr_config_free (from);
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
  void *own[] = { old, files };
  struct ctl ctl;
  struct ctl_files read = { 0 };
  struct rr_config *to = NULL;
  enum ctl_exit rc
      = ctl_open (&ctl, argc, argv,
                  "Shows what applying the files would change, one line for "
                  "each difference.",
                  own, 2);
  if (rc == CTL_CONTINUE)
    {
      rc = ctl_config_read (&ctl, files->sval, (size_t)files->count, &read,
                            &to);
      if (rc == CTL_OK)
        rc = old->count > 0 ? diff_with_files (&ctl, old, to)
                            : diff_with_daemon (&ctl, to);
    }
  rr_config_free (to);
  ctl_files_free (&read);
  ctl_close (&ctl);
  return rc;
}
