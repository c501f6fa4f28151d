#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "rosemaryraild/workers_internal.h"

/* A call that sets the speed of a task.  */
struct speed_call
{
  struct worker *w;
  char task[RR_TASK_ID_SIZE];
  struct worker_attempt to;
  int speed_percent;
};

/* Sets the speed that T is known to have at its worker.  */
static void
speed_set (struct hosted_task *t, int speed_percent)
{
  bool was_throttled
      = t->speed_percent != WORKER_SPEED_UNKNOWN && t->speed_percent < 100;
  if (!was_throttled)
    t->throttled_since = daemon_now ();
  t->speed_percent = speed_percent;
}

/* Updates the speed of T from a report of W that states it.  A report that was
   requested before the last throttle ended may be older than that throttle. */
void
task_speed_reported (const struct worker *w, struct hosted_task *t,
                     int speed_percent)
{
  if (speed_percent == WORKER_SPEED_UNKNOWN || t->speed_call_pending
      || rr_time_before (w->call_sent, t->speed_call_ended))
    return;
  bool full_speed_adopted
      = t->speed_percent == WORKER_SPEED_UNKNOWN && speed_percent == 100;
  if (t->speed_percent != speed_percent && !full_speed_adopted)
    log_event (LOG_LEVEL_INFO, "speed_reported",
               "worker=%s task=%s attempt=%u percent=%d believed=%d", w->name,
               t->task, t->attempt, speed_percent, t->speed_percent);
  speed_set (t, speed_percent);
}

static void
on_throttled (void *data, const struct worker_reply *r)
{
  struct speed_call *c = data;
  struct worker *w = c->w;
  struct hosted_task *t = worker_find_task (w, c->task, c->to.attempt);
  if (t != NULL && c->to.epoch == rr_ledger_epoch (w->ledger))
    {
      t->speed_call_pending = false;
      t->speed_call_ended = daemon_now ();
      if (r->state == WORKER_OK)
        speed_set (t, c->speed_percent);
      else if (r->state == WORKER_UNKNOWN)
        t->speed_percent = WORKER_SPEED_UNKNOWN;
    }
  if (r->state != WORKER_OK)
    log_event (LOG_LEVEL_WARN, "speed_not_confirmed",
               "worker=%s task=%s attempt=%u percent=%d outcome=%s "
               "reason=\"%s\"",
               w->name, c->task, c->to.attempt, c->speed_percent,
               r->state == WORKER_UNKNOWN ? "unknown" : "not-carried-out",
               r->reason);
  w->other_calls--;
  free (c);
}

/* Tells W to run T at SPEED_PERCENT of its full speed.  */
void
task_speed_send (struct worker *w, struct hosted_task *t, int speed_percent)
{
  struct daemon *d = w->ws->d;
  struct speed_call *c = calloc (1, sizeof *c);
  assert (c != NULL);
  c->w = w;
  w->other_calls++;
  t->speed_call_pending = true;
  t->speed_target = speed_percent;
  snprintf (c->task, sizeof c->task, "%s", t->task);
  c->speed_percent = speed_percent;
  c->to = (struct worker_attempt){ .epoch = rr_ledger_epoch (w->ledger),
                                   .task = c->task,
                                   .attempt = t->attempt };
  worker_throttle (d->http, &w->endpoint, &c->to, speed_percent,
                   (uint64_t)d->settings.worker_timeout_ms, on_throttled, c);
}

/* Returns whether the speed of T is known, and no call to change it is in
   progress.  */
bool
task_speed_is_known (const struct hosted_task *t)
{
  return t->speed_percent != WORKER_SPEED_UNKNOWN && !t->speed_call_pending;
}

/* Sends W the last target of each batch task whose speed is unknown; full
   speed if there has been none.  */
void
worker_send_unknown_speeds (struct worker *w)
{
  for (size_t i = 0; i < w->hosted_task_count; i++)
    {
      struct hosted_task *t = &w->hosted[i];
      if (!t->running || t->evicting || t->speed_call_pending
          || t->speed_percent != WORKER_SPEED_UNKNOWN
          || strcmp (t->kind, "batch") != 0)
        continue;
      log_event (LOG_LEVEL_INFO, "speed_unknown",
                 "worker=%s task=%s attempt=%u percent=%d", w->name, t->task,
                 t->attempt, t->speed_target);
      task_speed_send (w, t, t->speed_target);
    }
}
