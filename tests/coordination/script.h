#ifndef TESTS_COORDINATION_SCRIPT_H
#define TESTS_COORDINATION_SCRIPT_H

#include <stdbool.h>
#include <stdint.h>

#include "rosemaryrail/clock.h"

#define SCRIPT_WORDS 40

/* One line of a script: "NOW COMMAND WORD...", words may be KEY=VALUE.  */
struct script_line
{
  struct rr_time now;
  const char *command;
  const char *words[SCRIPT_WORDS];
  int count;
};

/* Prints every line of the file PATH, including empty lines and comments, and
   calls HANDLE for each command after printing it.  Returns false if the file
   can't be opened.  */
bool script_run (const char *path,
                 void (*handle) (void *context,
                                 const struct script_line *line),
                 void *context);
const char *script_text (const struct script_line *l, const char *key,
                         const char *fallback);
int64_t script_int (const struct script_line *l, const char *key,
                    int64_t fallback);

#endif
