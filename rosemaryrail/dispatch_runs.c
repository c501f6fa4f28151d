#include "dispatch_private.h"

/* Numbers of runs: each names one run of its task for ever.  The members of a
   shard that own it one after the other have ranges of their own, which are
   stored before the first start with one of their numbers is sent.  */

enum
{
  /* A task that has fewer numbers left makes the owner reserve more.  A task
     that fails again and again starts about ten times a second at first, and
     the write takes less than a second.  */
  RUNS_LOW = 8
};

/* The numbers below END are stored as those of this owner, and of former ones.
   For a task that came from another shard they count from the lowest number
   that is free in this one.  */
void
rr_dispatch_runs_reserve (struct rr_dispatch *d, uint64_t end)
{
  d->runs_end = end;
  d->runs_low = false;
}

/* Returns whether a task will soon need numbers that are not reserved.  */
bool
rr_dispatch_runs_low (const struct rr_dispatch *d)
{
  return d->runs_low;
}

/* Returns whether this owner may start T as RUN.  */
bool
dispatch_run_number_reserved (struct rr_dispatch *d,
                              const struct dispatch_task *t, uint64_t run)
{
  uint64_t end = d->runs_end + t->first_run;
  d->runs_low = d->runs_low || run + RUNS_LOW >= end;
  return run < end;
}

/* Returns whether T is placed on WORKER as RUN.  What another worker says of
   a run with that number is not about this one.  */
bool
dispatch_task_placed_as (const struct dispatch_task *t, uint64_t run,
                         struct rr_handle worker)
{
  return t->state == TASK_PLACED && t->current_run == run
         && rr_handle_equal (t->worker, worker);
}
