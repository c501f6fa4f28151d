#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "common/json.h"
#include "rosemaryctl/ctl.h"

enum
{
  WAIT_MS = 17000, /* the time within which every daemon of a platform of
                      the design size uses an accepted configuration */
  STATUS_CONFLICT = 409,
};

struct apply_options
{
  bool wait;
  bool dry_run;
  long generation; /* negative: the generation in force */
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

/* Prints the response to an accepted configuration and returns the exit
   code.  */
static enum ctl_exit
print_accepted (const struct ctl *ctl, const struct apply_options *o,
                struct json_object *response)
{
  struct json_object *missing = ctl_list (response, "missing");
  if (ctl->json)
    puts (json_text (response));
  else if (o->dry_run)
    puts ("dry run: the configuration is valid; nothing was changed");
  else
    {
      printf ("generation %s, digest %s\n", ctl_text (response, "generation"),
              ctl_text (response, "digest"));
      print_names ("confirmed by", ctl_list (response, "confirmed"));
      print_names ("not confirmed by", missing);
    }
  bool all = missing == NULL || json_object_array_length (missing) == 0;
  return o->wait && !o->dry_run && !all ? CTL_NOT_CONFIRMED : CTL_OK;
}

static enum ctl_exit
config_put (const struct ctl *ctl, const struct apply_options *o,
            long generation, const struct ctl_files *files)
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
  struct ctl_response response;
  enum ctl_exit rc = ctl_call (ctl, &r, &response);
  free (body);
  if (rc != CTL_OK)
    return rc;
  rc = ctl_response_check (ctl, &response);
  if (rc == CTL_OK)
    rc = print_accepted (ctl, o, response.json);
  else if (response.status == STATUS_CONFLICT && !ctl->json)
    {
      fprintf (stderr,
               "rosemaryctl: generation %s is in force; nothing was "
               "changed\n",
               ctl_text (response.json, "generation"));
      const char *diff = json_string_or (response.json, "diff", "");
      if (diff[0] != '\0')
        printf ("compared with generation %s:\n%s",
                ctl_text (response.json, "generation"), diff);
    }
  ctl_response_free (&response);
  return rc;
}

static enum ctl_exit
config_apply (const struct ctl *ctl, const struct apply_options *o,
              const struct ctl_files *files, struct rr_config *new_config)
{
  struct ctl_response response;
  struct rr_config *old_config;
  long generation;
  enum ctl_exit rc
      = ctl_config_fetch (ctl, &response, &old_config, &generation);
  if (rc != CTL_OK)
    return rc;
  bool unchanged = false;
  if (old_config != NULL)
    {
      rr_config_inherit_drains (new_config, old_config);
      char *diff = rr_config_diff (old_config, new_config);
      unchanged = diff[0] == '\0';
      if (!ctl->json)
        fputs (diff, stdout);
      free (diff);
    }
  else
    fprintf (stderr, "rosemaryctl: the configuration in force can't be read "
                     "by this version; no difference is shown\n");
  rr_config_free (old_config);
  /* An apply that is repeated because its response was lost needs no new
     generation.  With --wait the request is sent all the same, because its
     response lists the daemons that have confirmed.  */
  if (unchanged && !o->wait && !o->dry_run && !ctl->json)
    printf ("no difference; generation %ld is in force\n", generation);
  else
    rc = config_put (ctl, o, o->generation >= 0 ? o->generation : generation,
                     files);
  ctl_response_free (&response);
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
  void *arguments[] = { wait, dry_run, generation, files };
  struct ctl ctl;
  struct ctl_files read = { 0 };
  struct rr_config *new_config = NULL;
  enum ctl_exit rc
      = ctl_open (&ctl, argc, argv,
                  "Puts the files in force as one configuration: all of it or "
                  "nothing.",
                  arguments, 4);
  if (rc == CTL_CONTINUE)
    {
      struct apply_options o
          = { wait->count > 0, dry_run->count > 0,
              generation->count > 0 ? generation->ival[0] : -1 };
      rc = ctl_config_read (&ctl, files->sval, (size_t)files->count, &read,
                            &new_config);
      if (rc == CTL_OK)
        rc = config_apply (&ctl, &o, &read, new_config);
    }
  rr_config_free (new_config);
  ctl_files_free (&read);
  ctl_close (&ctl);
  return rc;
}
