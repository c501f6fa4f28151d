#include "script.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Prints the script at PATH and calls HANDLE for every command.  */
bool
script_run (const char *path,
            void (*handle) (void *context, const struct script_line *line),
            void *context)
{
  FILE *in = fopen (path, "r");
  if (in == NULL)
    return false;
  char text[1000];
  while (fgets (text, sizeof text, in) != NULL)
    {
      fputs (text, stdout);
      struct script_line l = { 0 };
      char *save = NULL;
      char *word = strtok_r (text, " \n", &save);
      if (word == NULL || word[0] == '#')
        continue;
      l.now = rr_time_from_ms (strtoll (word, NULL, 10));
      l.command = strtok_r (NULL, " \n", &save);
      if (l.command == NULL)
        continue;
      while (l.count < SCRIPT_WORDS
             && (word = strtok_r (NULL, " \n", &save)) != NULL)
        l.words[l.count++] = word;
      handle (context, &l);
    }
  fclose (in);
  return true;
}

/* Returns the value of the word KEY=VALUE, or FALLBACK.  */
const char *
script_text (const struct script_line *l, const char *key,
             const char *fallback)
{
  size_t length = strlen (key);
  for (int i = 0; i < l->count; i++)
    if (strncmp (l->words[i], key, length) == 0 && l->words[i][length] == '=')
      return l->words[i] + length + 1;
  return fallback;
}

/* Returns the number in KEY=NUMBER, or FALLBACK.  */
int64_t
script_int (const struct script_line *l, const char *key, int64_t fallback)
{
  const char *text = script_text (l, key, NULL);
  return text == NULL ? fallback : strtoll (text, NULL, 10);
}
