#include "../check_suite.h"

#include "rosemaryentryd/command_window.h"

enum
{
  START_BYTES = 2000
};

/* Guards against an owner that fills its link with starts: a burst of 300
   starts over 2 Mbit/s needs 2.4 s, four times the timeout of each.  */
START_TEST (burst_over_a_slow_link)
{
  struct command_window w;
  command_window_init (&w, 2000);
  int sent = 0;
  while (sent < 300 && command_window_room (&w) > 0)
    {
      command_window_add (&w, START_BYTES);
      sent++;
    }
  /* What is in flight has left the link after 150 ms.  */
  ck_assert_int_eq (sent, 19);
  command_window_remove (&w, START_BYTES);
  ck_assert_int_gt (command_window_room (&w), 0);
}
END_TEST

/* Guards against a nominal rate that the link doesn't reach: the window
   shrinks while commands are slow, and grows back.  */
START_TEST (squeezed_link)
{
  struct command_window w;
  struct rr_time now = rr_time_from_ms (1000);
  command_window_init (&w, 200000);
  int64_t before = command_window_room (&w);
  for (int i = 0; i < 200; i++)
    {
      now = rr_time_add (now, 50);
      command_window_answered (&w, 500, now);
    }
  ck_assert_int_eq (command_window_room (&w), 16384);
  for (int i = 0; i < 20000; i++)
    command_window_answered (&w, 10, now);
  ck_assert_int_eq (command_window_room (&w), before);
}
END_TEST

/* Guards against a few slow workers that hold up all others.  */
START_TEST (few_slow_workers)
{
  struct command_window w;
  struct rr_time now = rr_time_from_ms (1000);
  command_window_init (&w, 20000);
  int64_t before = command_window_room (&w);
  for (int i = 0; i < 1000; i++)
    {
      now = rr_time_add (now, 10);
      command_window_answered (&w, i % 10 == 0 ? 500 : 10, now);
    }
  ck_assert_int_eq (command_window_room (&w), before);
}
END_TEST

/* Stops are sent beyond the window, and leave no negative room.  */
START_TEST (stops_beyond_the_window)
{
  struct command_window w;
  command_window_init (&w, 1);
  command_window_add (&w, 100000);
  ck_assert_int_eq (command_window_room (&w), 0);
  command_window_remove (&w, 100000);
  ck_assert_int_eq (command_window_room (&w), 16384);
}
END_TEST

SUITE ("command window", burst_over_a_slow_link, squeezed_link,
       few_slow_workers, stops_beyond_the_window)
