#include "dispatch_private.h"

/* Tasks that serve users share a worker's caches and memory bandwidth with
   fillers.  Their tail against its target decides how fast the fillers of the
   worker may run.  */

enum
{
  /* The reported tail covers the last half second, so that the effect of a
     change shows in full only after it.  */
  SHARE_SETTLE_MS = 500,
  /* Fillers slow down above the first share of the target, and speed up below
     the second: the gap keeps them from alternating.  */
  TAIL_HIGH_PERCENT = 95,
  TAIL_LOW_PERCENT = 75,
  SPEED_STEP_PERCENT = 15,
  SPEED_MIN_PERCENT = 10 /* below this they pause */
};

static int64_t
worst_tail_percent (const struct dispatch_worker *w)
{
  int64_t worst = 0;
  for (size_t i = 0; i < w->run_count; i++)
    {
      const struct dispatch_run *r = &w->runs[i];
      if (r->tail_target_ms <= 0 || r->phase != RUN_RUNNING
          || r->percent < 100)
        continue;
      int64_t percent = r->figure * 100 / r->tail_target_ms;
      if (percent > worst)
        worst = percent;
    }
  return worst;
}

/* Adjusts the speed of W's fillers after a report: down by half at once when a
   tail is near its target, to a halt when it is far over, up in steps.  */
void
dispatch_share_update (struct rr_dispatch *d, struct dispatch_worker *w,
                       struct rr_time now)
{
  if (rr_time_diff (now, w->filler_changed) < SHARE_SETTLE_MS)
    return;
  int64_t tail = worst_tail_percent (w);
  int32_t before = w->filler_percent;
  if (tail > TAIL_HIGH_PERCENT && w->filler_cores_milli > 0)
    {
      w->filler_percent = tail > 2 * TAIL_HIGH_PERCENT ? 0 : before / 2;
      if (w->filler_percent < SPEED_MIN_PERCENT)
        w->filler_percent = 0;
    }
  else if (tail < TAIL_LOW_PERCENT && before < 100)
    w->filler_percent = before + SPEED_STEP_PERCENT > 100
                            ? 100
                            : before + SPEED_STEP_PERCENT;
  if (w->filler_percent == before)
    return;
  w->filler_changed = now;
  dispatch_note (d, "fillers_paced", "vm=%s percent=%d before=%d tail=%lld%%",
                 w->info.id, w->filler_percent, before, (long long)tail);
}

/* Orders the allowed speed for each filler that runs at another one.  */
void
dispatch_share_order (struct rr_dispatch *d, struct dispatch_worker *w)
{
  for (size_t i = 0; i < w->run_count; i++)
    {
      struct dispatch_run *r = &w->runs[i];
      if (!r->filler || r->phase != RUN_RUNNING || r->pace_in_flight
          || r->stop_wanted || r->pace == w->filler_percent)
        continue;
      r->pace_in_flight = true;
      r->pace = w->filler_percent;
      struct rr_order o = { .kind = RR_ORDER_PACE,
                            .worker = w->handle,
                            .worker_id = w->info.id,
                            .name = r->name,
                            .percent = r->pace,
                            .reason = "tail" };
      d->o.order (d->o.data, &o);
    }
}
