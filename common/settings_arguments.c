#include <argtable2.h>
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/settings.h"

enum
{
  OVERRIDES_MAX = 100,
  ARGUMENT_ERRORS_MAX = 10,
  EXIT_USAGE = 2,
  EXIT_INVALID = 3,
};

static enum settings_outcome
read_settings (const struct arg_str *set, const struct arg_str *file,
               struct settings *s)
{
  struct rr_config_errors errors = { 0 };
  size_t count = (size_t)set->count;
  bool ok = file->count > 0
                ? settings_load (file->sval[0], set->sval, count, s, &errors)
                : settings_parse (NULL, set->sval, count, s, &errors);
  char *text = rr_config_errors_text (&errors);
  fputs (text, stderr);
  free (text);
  rr_config_errors_free (&errors);
  return ok ? SETTINGS_READ : SETTINGS_INVALID;
}

/* Reads the settings from the command line and from the file named there.  */
enum settings_outcome
settings_from_arguments (const char *program, int argc, char **argv,
                         struct settings *s)
{
  struct arg_str *set = arg_strn (NULL, "set", "NAME=VALUE", 0, OVERRIDES_MAX,
                                  "override a setting");
  struct arg_lit *check
      = arg_lit0 (NULL, "check", "check the settings and exit");
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_str *file
      = arg_str0 (NULL, NULL, "FILE", "settings, JSON with comments");
  struct arg_end *end = arg_end (ARGUMENT_ERRORS_MAX);
  void *table[] = { set, check, help, file, end };
  assert (arg_nullcheck (table) == 0);
  int errors = arg_parse (argc, argv, table);
  enum settings_outcome outcome;
  if (help->count > 0)
    {
      printf ("Usage: %s", program);
      arg_print_syntaxv (stdout, table, "\n\n");
      arg_print_glossary (stdout, table, "  %-20s %s\n");
      outcome = SETTINGS_DONE;
    }
  else if (errors > 0)
    {
      arg_print_errors (stderr, end, program);
      fprintf (stderr, "Try \"%s --help\".\n", program);
      outcome = SETTINGS_USAGE;
    }
  else
    outcome = read_settings (set, file, s);
  if (outcome == SETTINGS_READ && check->count > 0)
    {
      settings_free (s);
      outcome = SETTINGS_DONE;
    }
  arg_freetable (table, sizeof table / sizeof table[0]);
  return outcome;
}

/* Returns the exit code for a program that exits because of OUTCOME.  */
int
settings_exit_code (enum settings_outcome outcome)
{
  switch (outcome)
    {
    case SETTINGS_READ:
    case SETTINGS_DONE:
      return EXIT_SUCCESS;
    case SETTINGS_USAGE:
      return EXIT_USAGE;
    case SETTINGS_INVALID:
      return EXIT_INVALID;
    }
  return EXIT_FAILURE;
}
