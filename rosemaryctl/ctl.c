#include "rosemaryctl/ctl.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryrail/fields.h"

static const char default_daemon[] = "127.0.0.1:8080";

enum
{
  DEFAULT_TIMEOUT_MS = 10000,
  TIMEOUT_MAX_MS = 3600000,
  ARGUMENT_ERRORS_MAX = 10,
};

static bool
daemon_add (struct ctl *ctl, const char *text)
{
  if (ctl->daemon_count == CTL_DAEMONS_MAX)
    {
      fprintf (stderr, "rosemaryctl: more than %d daemons\n", CTL_DAEMONS_MAX);
      return false;
    }
  if (!settings_parse_peer (text, &ctl->daemons[ctl->daemon_count]))
    {
      fprintf (stderr,
               "rosemaryctl: daemon \"%s\": expected ADDRESS:PORT with an "
               "IPv4 address and a port from 1 to 65535\n",
               text);
      return false;
    }
  ctl->daemon_count++;
  return true;
}

static bool
daemons_add (struct ctl *ctl, const struct arg_str *flags)
{
  for (int i = 0; i < flags->count; i++)
    if (!daemon_add (ctl, flags->sval[i]))
      return false;
  const char *list = getenv ("ROSEMARYCTL_DAEMONS");
  if (flags->count > 0 || list == NULL || list[0] == '\0')
    return flags->count > 0 || daemon_add (ctl, default_daemon);
  char *copy = strdup (list);
  assert (copy != NULL);
  char *rest = NULL;
  bool ok = true;
  for (char *p = strtok_r (copy, ",", &rest); ok && p != NULL;
       p = strtok_r (NULL, ",", &rest))
    ok = daemon_add (ctl, p);
  free (copy);
  return ok;
}

static bool
format_read (struct ctl *ctl, const struct arg_str *format)
{
  const char *value = format->count > 0 ? format->sval[0] : "text";
  ctl->json = strcmp (value, "json") == 0;
  if (ctl->json || strcmp (value, "text") == 0)
    return true;
  fprintf (stderr,
           "rosemaryctl: --format: expected text or json, got "
           "\"%s\"\n",
           value);
  return false;
}

static bool
timeout_read (struct ctl *ctl, const struct arg_int *timeout)
{
  ctl->timeout_ms = timeout->count > 0 ? timeout->ival[0] : DEFAULT_TIMEOUT_MS;
  if (ctl->timeout_ms >= 1 && ctl->timeout_ms <= TIMEOUT_MAX_MS)
    return true;
  fprintf (stderr, "rosemaryctl: --timeout-ms: expected 1 to %d, got %ld\n",
           TIMEOUT_MAX_MS, ctl->timeout_ms);
  return false;
}

/* Parses ARGV, whose first item is the name of the command, with the table
   ARGUMENTS of the command's arguments and the common flags.  Returns
   CTL_CONTINUE, or the exit code after printing help or a usage error.  The
   caller must call ctl_close in each case, which also frees the entries of
   ARGUMENTS.  */
enum ctl_exit
ctl_open (struct ctl *ctl, int argc, char **argv, const char *summary,
          void **arguments, size_t argument_count)
{
  memset (ctl, 0, sizeof *ctl);
  struct arg_str *daemon
      = arg_strn (NULL, "daemon", "ADDRESS:PORT", 0, CTL_DAEMONS_MAX,
                  "daemon to ask; the next one is tried when it can't be "
                  "reached");
  struct arg_str *format
      = arg_str0 (NULL, "format", "text|json", "form of the output");
  struct arg_int *timeout
      = arg_int0 (NULL, "timeout-ms", "MS", "time for each daemon to answer");
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_end *end = arg_end (ARGUMENT_ERRORS_MAX);
  void *common[] = { daemon, format, timeout, help, end };
  assert (argument_count + 5 <= CTL_TABLE_MAX);
  for (size_t i = 0; i < argument_count; i++)
    ctl->table[ctl->table_count++] = arguments[i];
  for (size_t i = 0; i < 5; i++)
    ctl->table[ctl->table_count++] = common[i];
  assert (arg_nullcheck (ctl->table) == 0);
  int errors = arg_parse (argc, argv, ctl->table);
  if (help->count > 0)
    {
      printf ("Usage: rosemaryctl %s", argv[0]);
      arg_print_syntaxv (stdout, ctl->table, "\n");
      printf ("%s\n\n", summary);
      arg_print_glossary (stdout, ctl->table, "  %-28s %s\n");
      return CTL_OK;
    }
  if (errors > 0)
    {
      char name[64];
      snprintf (name, sizeof name, "rosemaryctl %s", argv[0]);
      arg_print_errors (stderr, end, name);
      fprintf (stderr, "Try \"%s --help\".\n", name);
      return CTL_USAGE;
    }
  if (!format_read (ctl, format) || !timeout_read (ctl, timeout)
      || !daemons_add (ctl, daemon))
    return CTL_USAGE;
  return CTL_CONTINUE;
}

/* Frees the argument table that ctl_open filled.  */
void
ctl_close (struct ctl *ctl)
{
  arg_freetable (ctl->table, ctl->table_count);
}

/* Returns whether NAME is valid as part of a path; prints an error if not.  */
bool
ctl_name_valid (const char *what, const char *name)
{
  if (rr_name_valid (name, strlen (name)))
    return true;
  fprintf (stderr, "rosemaryctl: \"%s\" is not a valid name of a %s\n", name,
           what);
  return false;
}

/* Returns whether ID is a valid job id, "ID" or "TEAM:ID" as the daemons list
   it; prints an error if not.  */
bool
ctl_job_valid (const char *id)
{
  const char *colon = strchr (id, ':');
  if (colon == NULL || !rr_name_valid (id, (size_t)(colon - id))
      || !rr_name_valid (colon + 1, strlen (colon + 1)))
    return ctl_name_valid ("job", id);
  return true;
}
