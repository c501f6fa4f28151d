#include "rosemaryraild/charts.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

enum
{
  CHART_MAX_BYTES = 65536
};

/* Reads and checks the chart NAME in DIRECTORY.  Returns null with ERR naming
   the file when it can't be read or is not sound.  */
struct rr_chart *
chart_load_file (const char *directory, const char *name, struct rr_error *err)
{
  char path[1200];
  static char text[CHART_MAX_BYTES];
  snprintf (path, sizeof path, "%s/%s.jsonc", directory, name);
  FILE *f = fopen (path, "re");
  if (f == NULL)
    {
      rr_error_set (err, RR_ERROR_NOT_FOUND, "can't read %.150s: %s", path,
                    strerror (errno));
      return NULL;
    }
  size_t n = fread (text, 1, sizeof text, f);
  fclose (f);
  return rr_chart_load (path, text, n, err);
}
