#include <stdlib.h>
#include <string.h>

#include "world.h"

/* Runs the session script and writes its output to OUT; false if a line is not
   understood.  */
static bool
run_script (FILE *script, FILE *out)
{
  struct world *w = calloc (1, sizeof *w);
  if (w == NULL)
    return false;
  w->out = out;
  char line[512];
  bool ok = true;
  while (ok && fgets (line, sizeof line, script) != NULL)
    {
      if (line[0] == '#' || line[0] == '\n')
        continue;
      fprintf (out, "> %s", line);
      ok = world_command (w, line);
      if (!ok)
        fprintf (out, "not understood\n");
    }
  fprintf (out, "violations: %d\n", w->violations);
  world_free (w);
  free (w);
  return ok;
}

/* Compares TEXT with the file EXPECTED and prints the first line that
   differs.  */
static bool
matches (const char *text, const char *expected)
{
  FILE *f = fopen (expected, "r");
  if (f == NULL)
    {
      fprintf (stderr, "%s: can't open\n", expected);
      return false;
    }
  char line[1024];
  int number = 0;
  bool same = true;
  while (same && fgets (line, sizeof line, f) != NULL)
    {
      number++;
      size_t n = strlen (line);
      same = strncmp (text, line, n) == 0;
      if (same)
        text += n;
      else
        fprintf (stderr, "%s:%d: expected: %sactual: %.*s\n", expected, number,
                 line, (int)strcspn (text, "\n"), text);
    }
  fclose (f);
  if (same && *text != '\0')
    {
      fprintf (stderr, "%s: output goes on: %.*s\n", expected,
               (int)strcspn (text, "\n"), text);
      same = false;
    }
  return same;
}

/* Usage: test_golden SCRIPT EXPECTED.  Without EXPECTED the output is
   printed.  */
int
main (int argc, char **argv)
{
  if (argc < 2)
    return EXIT_FAILURE;
  FILE *script = fopen (argv[1], "r");
  if (script == NULL)
    return EXIT_FAILURE;
  char *text = NULL;
  size_t length = 0;
  FILE *out = open_memstream (&text, &length);
  bool ok = out != NULL && run_script (script, out);
  fclose (script);
  if (out != NULL)
    fclose (out);
  if (text == NULL)
    return EXIT_FAILURE;
  if (argc < 3)
    fputs (text, stdout);
  else
    ok = matches (text, argv[2]) && ok;
  free (text);
  return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
