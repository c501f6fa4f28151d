#include <assert.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "common/json.h"
#include "rosemaryctl/ctl.h"

enum
{
  FILE_MAX_BYTES = 16 * 1024 * 1024,
  CHUNK_BYTES = 65536,
};

/* Reads all of IN into a terminated text; null when that fails.  */
static char *
read_all (FILE *in, size_t *length)
{
  char *text = NULL;
  *length = 0;
  for (;;)
    {
      char *grown = realloc (text, *length + CHUNK_BYTES + 1);
      assert (grown != NULL);
      text = grown;
      size_t n = fread (text + *length, 1, CHUNK_BYTES, in);
      *length += n;
      text[*length] = '\0';
      if (n < CHUNK_BYTES || *length > FILE_MAX_BYTES)
        break;
    }
  if (!ferror (in) && *length <= FILE_MAX_BYTES)
    return text;
  if (!ferror (in))
    errno = EFBIG;
  free (text);
  return NULL;
}

/* Reads the files at PATHS; "-" is standard input.  Reports the first that
   can't be read.  The caller frees FILES in both cases.  */
bool
ctl_files_read (struct ctl_files *files, const char *const *paths,
                size_t count)
{
  files->count = 0;
  files->items = calloc (count + 1, sizeof *files->items);
  assert (files->items != NULL);
  for (size_t i = 0; i < count; i++)
    {
      bool standard = strcmp (paths[i], "-") == 0;
      FILE *in = standard ? stdin : fopen (paths[i], "re");
      size_t length = 0;
      char *text = in == NULL ? NULL : read_all (in, &length);
      int error = errno;
      if (in != NULL && !standard)
        fclose (in);
      if (text == NULL)
        {
          fprintf (stderr, "rosemaryctl: %s: %s\n", paths[i],
                   strerror (error));
          return false;
        }
      files->items[files->count++]
          = (struct rr_config_file){ paths[i], text, length };
    }
  return true;
}

/* Frees the texts of FILES; the names belong to the caller.  */
void
ctl_files_free (struct ctl_files *files)
{
  for (size_t i = 0; i < files->count; i++)
    free ((char *)files->items[i].text);
  free (files->items);
  memset (files, 0, sizeof *files);
}

/* Prints ERRORS to standard error, or as JSON to standard output.  */
void
ctl_print_errors (const struct ctl *ctl, const struct rr_config_errors *errors)
{
  if (!ctl->json)
    {
      char *text = rr_config_errors_text (errors);
      fputs (text, stderr);
      free (text);
      return;
    }
  struct json_object *list = json_object_new_array ();
  for (size_t i = 0; i < errors->count; i++)
    {
      struct json_object *e = json_object_new_object ();
      json_add_string (e, "file", errors->items[i].file);
      json_add_int (e, "line", errors->items[i].line);
      json_add_int (e, "column", errors->items[i].column);
      json_add_string (e, "message", errors->items[i].message);
      json_object_array_add (list, e);
    }
  struct json_object *o = json_object_new_object ();
  json_object_object_add (o, "errors", list);
  puts (json_text (o));
  json_object_put (o);
}

/* Reads and checks the configuration files at PATHS.  Returns CTL_OK, or the
   exit code when something was reported.  The caller frees FILES, and C when
   it is not null.  */
enum ctl_exit
ctl_config_read (const struct ctl *ctl, const char *const *paths, size_t count,
                 struct ctl_files *files, struct rr_config **c)
{
  *c = NULL;
  if (!ctl_files_read (files, paths, count))
    return CTL_FAILURE;
  struct rr_config_errors errors = { 0 };
  *c = rr_config_parse (files->items, files->count, rr_config_parameters (),
                        &errors);
  if (*c == NULL)
    ctl_print_errors (ctl, &errors);
  rr_config_errors_free (&errors);
  return *c == NULL ? CTL_CHECK_ERRORS : CTL_OK;
}

/* Fetches the configuration in force into A.  C becomes null when this
   version can't read it, for example because the daemon is newer.  The caller
   frees A and C after CTL_OK.  */
enum ctl_exit
ctl_config_fetch (const struct ctl *ctl, struct ctl_response *a,
                  struct rr_config **c, long *generation)
{
  *c = NULL;
  enum ctl_exit rc = ctl_get (ctl, "/v1/config", a);
  if (rc != CTL_OK)
    return rc;
  *generation = (long)json_int_or (a->json, "generation", 0);
  struct json_object *list = ctl_list (a->json, "files");
  size_t count = list == NULL ? 0 : json_object_array_length (list);
  struct rr_config_file *files = calloc (count + 1, sizeof *files);
  assert (files != NULL);
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *f = json_object_array_get_idx (list, i);
      files[i].name = json_string_or (f, "name", "?");
      files[i].text = json_string_or (f, "text", "");
      files[i].length = strlen (files[i].text);
    }
  struct rr_config_errors errors = { 0 };
  *c = rr_config_parse (files, count, rr_config_parameters (), &errors);
  rr_config_errors_free (&errors);
  free (files);
  return CTL_OK;
}
