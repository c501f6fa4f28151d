#include <check.h>
#include <stdio.h>
#include <time.h>

#include "../check_suite.h"
#include "rosemaryrail/dispatch.h"

enum
{
  FEW = 2000,
  MANY = 16000,
  ROUNDS = 3,
  /* Between what linear and what quadratic work takes: 8 and 64 times.  */
  SLOWDOWN_MAX = 24
};

/* Returns the processor time in which the policies of COUNT queues are set for
   the first time and once more.  */
static double
seconds_to_set (int count)
{
  struct rr_dispatch_options o = { .fencing_token = 1 };
  struct rr_dispatch *d = rr_dispatch_new (&o);
  clock_t begun = clock ();
  for (int i = 0; i < 2 * count; i++)
    {
      struct rr_queue_policy p = { .attempts_max = 1 };
      snprintf (p.queue, sizeof p.queue, "queue-%d", i % count);
      rr_dispatch_queue_set (d, &p);
    }
  double seconds = (double)(clock () - begun) / CLOCKS_PER_SEC;
  rr_dispatch_free (d);
  return seconds;
}

static double
shortest (int count)
{
  double best = seconds_to_set (count);
  for (int i = 1; i < ROUNDS; i++)
    {
      double seconds = seconds_to_set (count);
      best = seconds < best ? seconds : best;
    }
  return best;
}

/* Guards against an owner that stands still for longer than its lease while it
   takes over a configuration of thousands of queues, so that no daemon keeps
   the shard (LOST).  */
START_TEST (queues_are_set_in_linear_time)
{
  double few = shortest (FEW);
  double many = shortest (MANY);
  ck_assert_msg (many < SLOWDOWN_MAX * few, "%d queues %.6f s, %d queues %.6f",
                 FEW, few, MANY, many);
}
END_TEST

SUITE ("many queues", queues_are_set_in_linear_time)
