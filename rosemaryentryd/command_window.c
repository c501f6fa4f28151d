#include "rosemaryentryd/command_window.h"

enum
{
  /* What may be in flight is what the link carries in this time.  A command
     has 600 ms until it counts as unanswered.  */
  WINDOW_MS = 150,
  /* ... but at least a few starts.  */
  WINDOW_MIN_BYTES = 16384,
  /* A smoothed latency above this shows that the link carries less than its
     nominal rate, or that other traffic uses it.  */
  LATENCY_HIGH_MS = 200,
  LATENCY_LOW_MS = 100,
  /* Between two reductions: a reduction needs that long to show.  */
  ADJUST_INTERVAL_MS = 250,
  GROWTH_BYTES = 256 /* for each command answered in time */
};

#define SMOOTHING 0.1
#define REDUCTION 0.7

/* Sets W up for a link of LINK_KBIT a second, which is idle.  */
void
command_window_init (struct command_window *w, int64_t link_kbit)
{
  *w = (struct command_window){ .bytes_limit = link_kbit * WINDOW_MS / 8 };
  if (w->bytes_limit < WINDOW_MIN_BYTES)
    w->bytes_limit = WINDOW_MIN_BYTES;
  w->bytes_max = w->bytes_limit;
}

/* Returns how many bytes of starts may be sent now; 0 if none.  */
int64_t
command_window_room (const struct command_window *w)
{
  int64_t room = w->bytes_max - w->bytes_in_flight;
  return room > 0 ? room : 0;
}

/* A command of BYTES is queued or sent.  */
void
command_window_add (struct command_window *w, int64_t bytes)
{
  w->bytes_in_flight += bytes;
}

/* A command of BYTES has ended, in whatever way.  */
void
command_window_remove (struct command_window *w, int64_t bytes)
{
  w->bytes_in_flight -= bytes;
}

/* A command was answered LATENCY_MS after it was queued.  Commands without an
   answer say nothing about the link: their worker may be gone.  */
void
command_window_answered (struct command_window *w, int64_t latency_ms,
                         struct rr_time now)
{
  w->latency_ms += SMOOTHING * ((double)latency_ms - w->latency_ms);
  if (w->latency_ms < LATENCY_LOW_MS)
    w->bytes_max += GROWTH_BYTES;
  if (w->bytes_max > w->bytes_limit)
    w->bytes_max = w->bytes_limit;
  if (w->latency_ms <= LATENCY_HIGH_MS
      || rr_time_diff (now, w->adjusted) < ADJUST_INTERVAL_MS)
    return;
  w->adjusted = now;
  w->bytes_max = (int64_t)((double)w->bytes_max * REDUCTION);
  if (w->bytes_max < WINDOW_MIN_BYTES)
    w->bytes_max = WINDOW_MIN_BYTES;
}
