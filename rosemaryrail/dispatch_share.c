#include "dispatch_private.h"
#include "interference_model.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/* Tasks that serve users share a worker's caches and memory bandwidth with
   fillers.  How much an image of fillers disturbs an image of servers is
   learned from the reported tails; it decides where fillers go and how fast
   they may run.  */

enum
{
  REFRESH_MS = 500,
  /* The reported tail covers the last half second.  */
  TAIL_WINDOW_MS = 500,
  /* A change of speed shows in full only after the tail's window.  */
  SETTLE_MS = 600,
  CUT_STEP_PERCENT = 25,
  /* Fillers that the model takes as harmless slow down only when several cuts
     of the others have not helped.  */
  CUT_ALL_PERCENT = 15,
  PACE_CHANGE_MIN_PERCENT = 10,
  PACE_MIN_PERCENT = 10, /* slower than this is a pause */
  /* A filler that is held below this speed for this long moves, if it saves
     its progress.  */
  MOVE_BELOW_PERCENT = 30,
  MOVE_AFTER_MS = 1200,
  HALF_LIFE_MS = 10000,    /* of what was learned: effects change in seconds */
  PEER_AGE_MAX_MS = 10000, /* of what other owners have learned */
  /* Requests that a tail of half a second stands for in the model's weights.
   */
  TAIL_REQUESTS = 30
};

/* Servers queue their users' requests: a tail of B / (1 - u) belongs to the
   utilisation u, to which fillers add in proportion to their cores.  The
   model therefore works on u = 1 - B / tail, with the least tail seen of an
   image as its B.  */

/* Predicted tails stay below the first share of the target when fillers start,
   below the second while they run.  Above the third something is wrong with
   the prediction, and all fillers slow down.  */
#define PLACE_SHARE 0.65
#define RUN_SHARE 0.8
#define CUT_SHARE 1.0
#define CUT_END_SHARE 0.8
/* Weight of a new tail in the smoothed load of a server.  */
#define LOAD_WEIGHT 0.4
/* First guess of a server's utilisation without fillers, and of its least
   tail as a share of its target.  */
/* Utilisation that a filler on all cores adds to servers that bear it.  */
#define HARMLESS_MAX 0.6
/* Smaller effects are within the model's error.  */
#define EFFECT_MIN 0.01
#define LOAD_GUESS 0.5
#define BASE_GUESS 0.25

/* Begins with an empty model.  */
void
dispatch_interference_init (struct rr_dispatch *d)
{
  rr_policy_init (&d->policy);
  d->policy.interference_half_life_ms = HALF_LIFE_MS;
  d->policy.interference_peer_max_age_ms = PEER_AGE_MAX_MS;
  d->policy.interference_prior_mean = 0.4;
  d->policy.interference_prior_sd = 1.0;
  d->policy.interference_noise_sd = 0.15;
  d->policy.interference_caution = 0.3;
  d->policy.interference_warmup_reports = 2;
  d->model = rr_interference_new (&d->policy);
}

/* Brings the estimates up to date.  */
void
dispatch_interference_refresh (struct rr_dispatch *d, struct rr_time now)
{
  if (rr_time_diff (now, d->model_refreshed) < REFRESH_MS)
    return;
  d->model_refreshed = now;
  rr_interference_refresh (d->model, now);
}

/* Fills OUT with what this dispatcher has learned of the servers of IMAGE, a
   number from 1 to RR_CLASSES_MAX - 1; false when that is nothing.  ORIGIN
   names the dispatcher.  */
bool
rr_dispatch_statistics_get (const struct rr_dispatch *d, int image,
                            uint64_t origin, struct rr_time now,
                            struct rr_dispatch_statistics *out)
{
  out->base_ms = d->base_ms[image];
  return image < rr_interference_class_count (d->model, RR_WORKLOAD_SERVICE)
         && rr_interference_export (d->model, image, origin, now,
                                    &out->moments);
}

/* Takes in what the dispatcher of another shard has learned.  False when IN is
   malformed or older than what that one has said before.  */
bool
rr_dispatch_statistics_merge (struct rr_dispatch *d,
                              const struct rr_dispatch_statistics *in,
                              struct rr_time now)
{
  if (!isfinite (in->base_ms) || in->base_ms <= 0
      || !rr_interference_merge (d->model, &in->moments, now))
    return false;
  int image = rr_interference_class_by_hash (d->model, RR_WORKLOAD_SERVICE,
                                             in->moments.service);
  if (d->base_ms[image] == 0 || in->base_ms < d->base_ms[image])
    d->base_ms[image] = in->base_ms;
  return true;
}

/* Sets what the model calls R, a run of step S.  */
void
dispatch_interference_classify (struct rr_dispatch *d, struct dispatch_run *r,
                                const struct rr_job_graph_step *s)
{
  r->image = RR_CLASS_OTHER;
  r->load = LOAD_GUESS;
  if (s->image[0] == '\0' || (!s->best_effort && s->tail_target_ms == 0))
    return;
  r->image = rr_interference_class (
      d->model, s->best_effort ? RR_WORKLOAD_BATCH : RR_WORKLOAD_SERVICE,
      s->image);
  if (!s->best_effort && d->base_ms[r->image] == 0)
    d->base_ms[r->image] = BASE_GUESS * (double)s->tail_target_ms;
}

/* Returns the utilisation of a server of IMAGE with the tail TAIL_MS.  */
static double
utilisation (const struct rr_dispatch *d, int image, double tail_ms)
{
  double base = d->base_ms[image];
  return tail_ms <= base ? 0 : 1 - base / tail_ms;
}

/* Returns the highest utilisation at which server R stays below SHARE of its
   target.  */
static double
limit_of (const struct rr_dispatch *d, const struct dispatch_run *r,
          double share)
{
  return utilisation (d, r->image, share * (double)r->tail_target_ms);
}

static bool
is_server (const struct dispatch_run *r)
{
  return r->tail_target_ms > 0;
}

static double
share_of (const struct dispatch_worker *w, double cores_milli)
{
  return w->info.cores_milli <= 0 ? 0
                                  : cores_milli / (double)w->info.cores_milli;
}

static double
effect (const struct rr_dispatch *d, const struct dispatch_worker *w,
        int server, int best_effort, double cores_milli)
{
  return rr_interference_upper_bound (d->model, server, best_effort)
         * share_of (w, cores_milli);
}

/* Returns server R's utilisation as the model predicts it for the speeds that
   W's fillers shall have.  */
static double
predict (const struct rr_dispatch *d, const struct dispatch_worker *w,
         const struct dispatch_run *r)
{
  double sum = r->load;
  for (size_t i = 0; i < w->run_count; i++)
    if (w->runs[i].best_effort && !w->runs[i].stop_wanted)
      sum += effect (d, w, r->image, w->runs[i].image,
                     (double)w->runs[i].cores_milli * w->runs[i].speed_target
                         / 100);
  return sum;
}

/* Returns the speed in percent that a filler of IMAGE with CORES_MILLI could
   have on W beside the present ones.  */
int32_t
dispatch_interference_speed (const struct rr_dispatch *d,
                             const struct dispatch_worker *w, int image,
                             int64_t cores_milli)
{
  double speed = w->best_effort_percent;
  for (size_t i = 0; i < w->run_count; i++)
    {
      const struct dispatch_run *r = &w->runs[i];
      if (!is_server (r))
        continue;
      double more = effect (d, w, r->image, image, (double)cores_milli);
      double room = limit_of (d, r, PLACE_SHARE) - predict (d, w, r);
      if (more > EFFECT_MIN && room < more * speed / 100)
        speed = room <= 0 ? 0 : 100 * room / more;
    }
  return (int32_t)speed;
}

/* Returns how well W's servers bear fillers other than those of IMAGE: the
   share of known filler images that disturb none of them, in percent.  */
int32_t
dispatch_interference_tolerance (const struct rr_dispatch *d,
                                 const struct dispatch_worker *w, int image)
{
  int32_t borne = 0;
  int32_t known = 0;
  int count = rr_interference_class_count (d->model, RR_WORKLOAD_BATCH);
  for (int f = 1; f < count; f++)
    {
      if (f == image)
        continue;
      known++;
      bool harmless = true;
      for (size_t i = 0; i < w->run_count && harmless; i++)
        harmless = !is_server (&w->runs[i])
                   || rr_interference_mean (d->model, w->runs[i].image, f)
                          < HARMLESS_MAX;
      borne += harmless ? 1 : 0;
    }
  return known == 0 ? 0 : borne * 100 / known;
}

/* Teaches the model the tails of W's servers of one image.  */
static void
learn_image (struct rr_dispatch *d, struct dispatch_worker *w, size_t first,
             struct rr_interference_report *report, struct rr_time now)
{
  double sum = 0;
  int n = 0;
  for (size_t i = first; i < w->run_count; i++)
    {
      const struct dispatch_run *r = &w->runs[i];
      if (!is_server (r) || r->image != w->runs[first].image
          || r->phase != RUN_RUNNING || r->percent < 100 || r->figure <= 0)
        continue;
      sum += utilisation (d, r->image, (double)r->figure);
      n++;
    }
  if (n == 0)
    return;
  report->service = w->runs[first].image;
  /* The model takes the log of what it is given.  */
  report->latency_ms = exp (sum / n);
  report->requests = (int64_t)n * TAIL_REQUESTS;
  rr_interference_report_add (d->model, report, now);
}

static void
learn (struct rr_dispatch *d, struct dispatch_worker *w, struct rr_time now)
{
  struct rr_interference_report report
      = { .worker = (uint64_t)w->info.started_ms ^ rr_handle_pack (w->handle),
          .window_start = rr_time_from_ms (w->clock_ms - TAIL_WINDOW_MS),
          .window_end = rr_time_from_ms (w->clock_ms) };
  bool seen[RR_CLASSES_MAX] = { false };
  for (size_t i = 0; i < w->run_count; i++)
    if (w->runs[i].best_effort)
      report.share[w->runs[i].image]
          += share_of (w, (double)w->runs[i].figure);
  for (size_t i = 0; i < w->run_count; i++)
    if (is_server (&w->runs[i]) && !seen[w->runs[i].image])
      {
        seen[w->runs[i].image] = true;
        learn_image (d, w, i, &report, now);
      }
}

/* Follows the tail that each server would have without its fillers.  */
static void
follow_load (struct rr_dispatch *d, struct dispatch_worker *w)
{
  for (size_t i = 0; i < w->run_count; i++)
    {
      struct dispatch_run *r = &w->runs[i];
      if (!is_server (r) || r->percent < 100 || r->figure <= 0)
        continue;
      if ((double)r->figure < d->base_ms[r->image])
        d->base_ms[r->image] = (double)r->figure;
      double alone = utilisation (d, r->image, (double)r->figure);
      for (size_t k = 0; k < w->run_count; k++)
        if (w->runs[k].best_effort)
          alone -= effect (d, w, r->image, w->runs[k].image,
                           (double)w->runs[k].figure);
      r->load += LOAD_WEIGHT * (alone - r->load);
    }
}

/* Slows the filler that disturbs server R most by what R is over its limit, or
   to a halt.  Returns false when none disturbs it.  */
static bool
slow_worst (const struct rr_dispatch *d, struct dispatch_worker *w,
            const struct dispatch_run *r, double over)
{
  struct dispatch_run *worst = NULL;
  double worst_effect = EFFECT_MIN;
  for (size_t i = 0; i < w->run_count; i++)
    {
      struct dispatch_run *f = &w->runs[i];
      if (!f->best_effort || f->stop_wanted || f->speed_target == 0)
        continue;
      double e = effect (d, w, r->image, f->image,
                         (double)f->cores_milli * f->speed_target / 100);
      if (e > worst_effect)
        {
          worst = f;
          worst_effect = e;
        }
    }
  if (worst == NULL)
    return false;
  double keep = over >= worst_effect ? 0 : 1 - over / worst_effect;
  worst->speed_target = (int32_t)(worst->speed_target * keep);
  if (worst->speed_target < PACE_MIN_PERCENT)
    worst->speed_target = 0;
  return true;
}

/* Tells whether a filler of IMAGE is known to disturb none of W's servers. */
static bool
is_harmless (const struct rr_dispatch *d, const struct dispatch_worker *w,
             int image)
{
  for (size_t i = 0; i < w->run_count; i++)
    if (is_server (&w->runs[i])
        && rr_interference_upper_bound (d->model, w->runs[i].image, image)
               >= HARMLESS_MAX)
      return false;
  return true;
}

/* Sets the speeds of W's fillers so that no server is predicted over its
   limit.  */
static void
set_speeds (struct rr_dispatch *d, struct dispatch_worker *w)
{
  for (size_t i = 0; i < w->run_count; i++)
    {
      struct dispatch_run *f = &w->runs[i];
      f->speed_target = 100;
      if (f->best_effort && w->best_effort_percent < 100
          && (w->best_effort_percent < CUT_ALL_PERCENT
              || !is_harmless (d, w, f->image)))
        f->speed_target = w->best_effort_percent;
    }
  for (size_t i = 0; i < w->run_count; i++)
    {
      const struct dispatch_run *r = &w->runs[i];
      if (!is_server (r))
        continue;
      double over = predict (d, w, r) - limit_of (d, r, RUN_SHARE);
      while (over > 0 && slow_worst (d, w, r, over))
        over = predict (d, w, r) - limit_of (d, r, RUN_SHARE);
    }
}

static double
worst_tail (const struct dispatch_worker *w)
{
  double worst = 0;
  for (size_t i = 0; i < w->run_count; i++)
    {
      const struct dispatch_run *r = &w->runs[i];
      if (!is_server (r) || r->percent < 100)
        continue;
      double share = (double)r->figure / (double)r->tail_target_ms;
      if (share > worst)
        worst = share;
    }
  return worst;
}

/* Cuts all fillers when a tail is over its target in spite of the model.  */
static void
cut (struct rr_dispatch *d, struct dispatch_worker *w, struct rr_time now)
{
  if (rr_time_diff (now, w->best_effort_changed) < SETTLE_MS)
    return;
  double tail = worst_tail (w);
  int32_t before = w->best_effort_percent;
  if (tail > CUT_SHARE && w->best_effort_cores_milli > 0)
    w->best_effort_percent = before / 2 < CUT_ALL_PERCENT ? 0 : before / 2;
  else if (tail < CUT_END_SHARE)
    w->best_effort_percent
        = before + CUT_STEP_PERCENT > 100 ? 100 : before + CUT_STEP_PERCENT;
  if (w->best_effort_percent == before)
    return;
  w->best_effort_changed = now;
  dispatch_log_decision (d, "fillers_cut",
                         "vm=%s percent=%d before=%d tail=%.2f", w->info.id,
                         w->best_effort_percent, before, tail);
}

/* Learns from a report of W and sets the speeds of its fillers.  */
void
dispatch_interference_update (struct rr_dispatch *d, struct dispatch_worker *w,
                              struct rr_time now)
{
  learn (d, w, now);
  follow_load (d, w);
  cut (d, w, now);
  set_speeds (d, w);
}

static void
order_pace (struct rr_dispatch *d, struct dispatch_worker *w,
            struct dispatch_run *r)
{
  int32_t change = r->speed_target - r->pace;
  bool small
      = change < PACE_CHANGE_MIN_PERCENT && change > -PACE_CHANGE_MIN_PERCENT;
  bool end = r->speed_target == 0 || r->speed_target == 100;
  if (change == 0 || (small && !end))
    return;
  r->throttle_in_flight = true;
  r->pace = r->speed_target;
  struct rr_command o = { .kind = RR_COMMAND_THROTTLE,
                          .worker = w->handle,
                          .worker_id = w->info.id,
                          .name = r->name,
                          .percent = r->pace,
                          .reason = "tail" };
  d->o.order (d->o.data, &o);
}

static bool
is_saving (const struct rr_dispatch *d, const struct dispatch_run *r)
{
  const struct dispatch_job *j = dispatch_job_get (d, r->job);
  return j != NULL && j->graph->steps[r->name.step].checkpointing;
}

static bool
better_place (struct rr_dispatch *d, const struct dispatch_worker *from,
              const struct dispatch_run *r)
{
  struct rr_handle h = { 0 };
  const struct dispatch_worker *w;
  while ((w = rr_table_next (d->workers, &h)) != NULL)
    if (w != from && w->listed && !w->info.draining
        && w->free_memory_mb >= r->memory_mb
        && dispatch_interference_speed (d, w, r->image, r->cores_milli) > 80)
      return true;
  return false;
}

/* Orders the wanted speeds, and moves fillers that are held too slow while
   another worker could run them.  */
void
dispatch_interference_throttle (struct rr_dispatch *d,
                                struct dispatch_worker *w, struct rr_time now)
{
  for (size_t i = 0; i < w->run_count; i++)
    {
      struct dispatch_run *r = &w->runs[i];
      if (!r->best_effort || r->phase != RUN_RUNNING || r->stop_wanted)
        continue;
      if (!r->throttle_in_flight)
        order_pace (d, w, r);
      if (r->speed_target >= MOVE_BELOW_PERCENT || r->slowed_since.ms == 0)
        r->slowed_since = now;
      else if (rr_time_diff (now, r->slowed_since) > MOVE_AFTER_MS
               && is_saving (d, r) && better_place (d, w, r))
        dispatch_run_stop (r, "slowed");
    }
}
