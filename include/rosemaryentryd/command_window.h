#ifndef ROSEMARYENTRYD_COMMAND_WINDOW_H
#define ROSEMARYENTRYD_COMMAND_WINDOW_H

#include <stdint.h>

#include "rosemaryrail/clock.h"

/* Bounds the bytes of the commands that an owner has queued or in flight, so
   that they arrive long before their timeouts: more would only wait in front
   of a saturated link, be given up and be sent again.  Starts wait in the
   dispatcher instead, in its order; stops are counted but never wait.  */
struct command_window
{
  int64_t bytes_max; /* present size */
  int64_t bytes_limit;
  int64_t bytes_in_flight;
  double latency_ms;       /* smoothed, of answered commands */
  struct rr_time adjusted; /* when the size was last reduced */
};

void command_window_init (struct command_window *w, int64_t link_kbit);
int64_t command_window_room (const struct command_window *w);
void command_window_add (struct command_window *w, int64_t bytes);
void command_window_remove (struct command_window *w, int64_t bytes);
void command_window_answered (struct command_window *w, int64_t latency_ms,
                              struct rr_time now);

#endif
