#include <stdio.h>
#include <time.h>

#include "common/log.h"

/* Logs far more than a pipe holds, with many events.  Run with a pipe that
   nobody reads, it exits only if no call blocks on the reader.  */
int
main (void)
{
  log_open ("log_flood", LOG_LEVEL_INFO);
  for (int i = 0; i < 20000; i++)
    {
      char event[32];
      snprintf (event, sizeof event, "flood%d", i % 50);
      log_event (LOG_LEVEL_INFO, event, "line=%d text=%0200d", i, i);
    }
  log_flush ();
  return 0;
}
