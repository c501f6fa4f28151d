#include "common/call_timeout.h"

/* Timeouts of calls.  The loop runs timers before it reads what has arrived.
   When the process has stood still, an answer may be there that nobody has
   read, so a timeout lets the loop read before it ends the call.  */

enum
{
  /* Not 0: the loop would run the timer again before it reads.  */
  READ_MS = 1,
  /* Iterations of the loop in which a large answer is read.  */
  READS_MAX = 32
};

static void
on_timer (uv_timer_t *timer)
{
  struct call_timeout *t = timer->data;
  uint64_t received = 0;
  if (t->type->awaits_answer (t->data, &received) && t->reads < READS_MAX
      && (t->reads == 0 || received != t->received))
    {
      t->reads++;
      t->received = received;
      uv_timer_start (&t->timer, on_timer, READ_MS, 0);
      return;
    }
  t->type->expire (t->data);
}

/* Prepares the timeout T of the call DATA, which starts with
   call_timeout_start.  */
void
call_timeout_init (struct call_timeout *t, uv_loop_t *loop,
                   const struct call_timeout_type *type, void *data)
{
  uv_timer_init (loop, &t->timer);
  t->timer.data = t;
  t->type = type;
  t->data = data;
}

/* Starts T, or starts it again: the call ends in MS milliseconds.  */
void
call_timeout_start (struct call_timeout *t, uint64_t ms)
{
  t->reads = 0;
  uv_timer_start (&t->timer, on_timer, ms, 0);
}

/* Stops T.  */
void
call_timeout_stop (struct call_timeout *t)
{
  uv_timer_stop (&t->timer);
}

static void
on_closed (uv_handle_t *handle)
{
  struct call_timeout *t = handle->data;
  t->closed (t->data);
}

/* Releases T.  CLOSED is called with the call once T may be freed.  */
void
call_timeout_close (struct call_timeout *t, void (*closed) (void *data))
{
  t->closed = closed;
  uv_close ((uv_handle_t *)&t->timer, on_closed);
}
