#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "common/json.h"
#include "rosemaryctl/ctl.h"

enum
{
  WAIT_MS = 17000, /* within this an accepted configuration is in force
                      everywhere at the design size */
  STATUS_CONFLICT = 409,
};

struct apply_options
{
  bool wait;
  bool dry_run;
  long generation; /* negative: the one in force */
};

static char *
request_body (const struct ctl_files *files)
{
  struct json_object *list = json_object_new_array ();
  for (size_t i = 0; i < files->count; i++)
    {
      struct json_object *f = json_object_new_object ();
      json_add_string (f, "name", files->items[i].name);
      json_object_object_add (
          f, "text",
          json_object_new_string_len (files->items[i].text,
                                      (int)files->items[i].length));
      json_object_array_add (list, f);
    }
  struct json_object *o = json_object_new_object ();
  json_object_object_add (o, "files", list);
  char *body = strdup (json_text (o));
  assert (body != NULL);
  json_object_put (o);
  return body;
}

static void
print_names (const char *title, struct json_object *list)
{
  if (list == NULL || json_object_array_length (list) == 0)
    return;
  printf ("%s:", title);
  for (size_t i = 0; i < json_object_array_length (list); i++)
    printf ("%s %s", i == 0 ? "" : ",",
            json_object_get_string (json_object_array_get_idx (list, i)));
  putchar ('\n');
}

/* Prints the answer to an accepted configuration and returns the exit
   code.  */
static enum ctl_exit
report_accepted (const struct ctl *ctl, const struct apply_options *o,
                 struct json_object *answer)
{
  struct json_object *missing = ctl_list (answer, "missing");
  if (ctl->json)
    puts (json_text (answer));
  else if (o->dry_run)
    puts ("dry run: the configuration is valid; nothing was changed");
  else
    {
      printf ("generation %s, digest %s\n", ctl_text (answer, "generation"),
              ctl_text (answer, "digest"));
      print_names ("confirmed by", ctl_list (answer, "confirmed"));
      print_names ("not confirmed by", missing);
    }
  bool all = missing == NULL || json_object_array_length (missing) == 0;
  return o->wait && !o->dry_run && !all ? CTL_NOT_CONFIRMED : CTL_OK;
}

static enum ctl_exit
send (const struct ctl *ctl, const struct apply_options *o, long generation,
      const struct ctl_files *files)
{
  char *body = request_body (files);
  char path[64];
  snprintf (path, sizeof path, "/v1/config?wait_ms=%d%s",
            o->wait ? WAIT_MS : 0, o->dry_run ? "&dry_run=1" : "");
  struct ctl_request r = { .method = "PUT",
                           .path = path,
                           .body = body,
                           .generation = generation,
                           .extra_ms = o->wait ? WAIT_MS : 0 };
  struct ctl_response a;
  enum ctl_exit rc = ctl_call (ctl, &r, &a);
  free (body);
  if (rc != CTL_OK)
    return rc;
  rc = ctl_response_check (ctl, &a);
  if (rc == CTL_OK)
    rc = report_accepted (ctl, o, a.json);
  else if (a.status == STATUS_CONFLICT && !ctl->json)
    {
      fprintf (stderr,
               "rosemaryctl: generation %s is in force; nothing was "
               "changed\n",
               ctl_text (a.json, "generation"));
      const char *diff = json_string_or (a.json, "diff", "");
      if (diff[0] != '\0')
        printf ("compared with generation %s:\n%s",
                ctl_text (a.json, "generation"), diff);
    }
  ctl_response_free (&a);
  return rc;
}

static enum ctl_exit
apply (const struct ctl *ctl, const struct apply_options *o,
       const struct ctl_files *files, struct rr_config *to)
{
  struct ctl_response a;
  struct rr_config *from;
  long generation;
  enum ctl_exit rc = ctl_config_fetch (ctl, &a, &from, &generation);
  if (rc != CTL_OK)
    return rc;
  bool same = false;
  if (from != NULL)
    {
      rr_config_inherit_drains (to, from);
      char *diff = rr_config_diff (from, to);
      same = diff[0] == '\0';
      if (!ctl->json)
        fputs (diff, stdout);
      free (diff);
    }
  else
    fprintf (stderr, "rosemaryctl: the configuration in force can't be read "
                     "by this version; no difference is shown\n");
  rr_config_free (from);
  /* An operator who repeats an apply whose answer was lost needs no second
     generation.  With --wait, the daemon is asked for confirmations.  */
  if (same && !o->wait && !o->dry_run && !ctl->json)
    printf ("no difference; generation %ld is in force\n", generation);
  else
    rc = send (ctl, o, o->generation >= 0 ? o->generation : generation, files);
  ctl_response_free (&a);
  return rc;
}

/* rosemaryctl apply [--wait] [--dry-run] [--generation N] FILE...  */
int
command_apply (int argc, char **argv)
{
  struct arg_lit *wait = arg_lit0 (
      NULL, "wait", "wait until all daemons confirmed, at most 17 s");
  struct arg_lit *dry_run
      = arg_lit0 (NULL, "dry-run", "let the daemon check, change nothing");
  struct arg_int *generation
      = arg_int0 (NULL, "generation", "N",
                  "fail with a conflict unless generation N is in force");
  struct arg_str *files
      = arg_strn (NULL, NULL, "FILE", 1, 1000, "configuration file");
  void *own[] = { wait, dry_run, generation, files };
  struct ctl ctl;
  struct ctl_files read = { 0 };
  struct rr_config *to = NULL;
  enum ctl_exit rc
      = ctl_open (&ctl, argc, argv,
                  "Puts the files in force as one configuration: all of it or "
                  "nothing.",
                  own, 4);
  if (rc == CTL_CONTINUE)
    {
      struct apply_options o
          = { wait->count > 0, dry_run->count > 0,
              generation->count > 0 ? generation->ival[0] : -1 };
      rc = ctl_config_read (&ctl, files->sval, (size_t)files->count, &read,
                            &to);
      if (rc == CTL_OK)
        rc = apply (&ctl, &o, &read, to);
    }
  rr_config_free (to);
  ctl_files_free (&read);
  ctl_close (&ctl);
  return rc;
}
