#include "dispatch_private.h"
#include "interference_model.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/* Latency-critical tasks share a worker's caches and memory bandwidth with
   best-effort tasks.  How much a best-effort image interferes with a
   latency-critical image is estimated from reported tail latencies.  The
   estimates decide where best-effort tasks are placed and how fast they may
   run.  */

enum
{
  REFRESH_MS = 500,
  /* Window of the reported tail latency.  */
  TAIL_WINDOW_MS = 500,
  /* The full effect of a speed change shows only after the window of the tail
     latency.  */
  SPEED_SETTLE_MS = 600,
  LIMIT_STEP_PERCENT = 25,
  /* Below this limit all best-effort tasks slow down, also those that the
     model takes as harmless: several reductions of the others have not
     helped.  */
  LIMIT_ALL_PERCENT = 15,
  SPEED_MIN_PERCENT = 10,  /* a task below this is paused */
  HALF_LIFE_MS = 10000,    /* of the estimates: effects change in seconds */
  PEER_AGE_MAX_MS = 10000, /* of estimates of other owners */
  /* Weight of one reported tail latency in the model, in requests.  */
  TAIL_REQUESTS = 30
};

/* Latency-critical tasks queue their users' requests: at utilisation u the
   tail latency is B / (1 - u).  Best-effort tasks add to u in proportion to
   their cores.  The model therefore works on u = 1 - B / tail, where B is the
   lowest tail latency seen of the image.  */

/* Limits of the tail latency as a ratio of its target: of the predicted one
   when best-effort tasks start and while they run, and of the reported one.
   Above CUT_TAIL_RATIO the prediction is wrong, and all best-effort tasks are
   slowed down until the ratio is below RECOVER_TAIL_RATIO.  */
#define START_TAIL_RATIO 0.65
#define RUN_TAIL_RATIO 0.8
#define CUT_TAIL_RATIO 1.0
#define RECOVER_TAIL_RATIO 0.8
/* Weight of a new report in the smoothed load of a latency-critical task.  */
#define LOAD_SMOOTHING 0.4
/* Utilisation that a best-effort task on all cores may add to latency-critical
   tasks that tolerate it.  */
#define HARMLESS_COST_MAX 0.6
/* Smaller effects are within the model's error.  */
#define EFFECT_MIN 0.01
/* Initial values of a latency-critical task's utilisation without best-effort
   tasks, and of its lowest tail latency as a ratio of its target.  */
#define LOAD_INITIAL 0.5
#define BASE_INITIAL 0.25

/* Initialises D's interference model.  */
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

/* Refreshes the model's estimates every REFRESH_MS.  */
void
dispatch_interference_refresh (struct rr_dispatch *d, struct rr_time now)
{
  if (rr_time_diff (now, d->model_refreshed) < REFRESH_MS)
    return;
  d->model_refreshed = now;
  rr_interference_refresh (d->model, now);
}

/* Fills OUT with this dispatcher's estimates for latency-critical tasks of
   IMAGE, a number from 1 to RR_CLASSES_MAX - 1.  Returns false when there are
   none.  ORIGIN identifies the dispatcher.  */
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

/* Merges estimates of the dispatcher of another shard.  Returns false when IN
   is malformed or older than an earlier one from there.  */
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

/* Sets the image class and the initial load of R, a run of step S.  */
void
dispatch_interference_classify (struct rr_dispatch *d, struct dispatch_run *r,
                                const struct rr_job_graph_step *s)
{
  r->image = RR_CLASS_OTHER;
  r->load = LOAD_INITIAL;
  if (s->image[0] == '\0' || (!s->best_effort && s->tail_target_ms == 0))
    return;
  r->image = rr_interference_class (
      d->model, s->best_effort ? RR_WORKLOAD_BATCH : RR_WORKLOAD_SERVICE,
      s->image);
  if (!s->best_effort && d->base_ms[r->image] == 0)
    d->base_ms[r->image] = BASE_INITIAL * (double)s->tail_target_ms;
}

/* Returns the utilisation of a latency-critical task of IMAGE with the tail
   latency TAIL_MS.  */
static double
utilisation (const struct rr_dispatch *d, int image, double tail_ms)
{
  double base = d->base_ms[image];
  return tail_ms <= base ? 0 : 1 - base / tail_ms;
}

/* Returns the highest utilisation at which the tail latency of R, a
   latency-critical task, stays below TAIL_RATIO of its target.  */
static double
utilisation_limit (const struct rr_dispatch *d, const struct dispatch_run *r,
                   double tail_ratio)
{
  return utilisation (d, r->image, tail_ratio * (double)r->tail_target_ms);
}

static bool
is_latency_critical (const struct dispatch_run *r)
{
  return r->tail_target_ms > 0;
}

static double
core_fraction (const struct dispatch_worker *w, double cores_milli)
{
  return w->info.cores_milli <= 0 ? 0
                                  : cores_milli / (double)w->info.cores_milli;
}

static double
predicted_effect (const struct rr_dispatch *d, const struct dispatch_worker *w,
                  int service, int batch, double cores_milli)
{
  return rr_interference_upper_bound (d->model, service, batch)
         * core_fraction (w, cores_milli);
}

/* Returns the predicted utilisation of R, a latency-critical task, when W's
   best-effort tasks run at their target speeds.  */
static double
predicted_utilisation (const struct rr_dispatch *d,
                       const struct dispatch_worker *w,
                       const struct dispatch_run *r)
{
  double sum = r->load;
  for (size_t i = 0; i < w->run_count; i++)
    if (w->runs[i].best_effort && !w->runs[i].stop_wanted)
      sum += predicted_effect (d, w, r->image, w->runs[i].image,
                               (double)w->runs[i].cores_milli
                                   * w->runs[i].speed_target / 100);
  return sum;
}

/* Returns the speed in percent at which a best-effort task of IMAGE with
   CORES_MILLI could run on W in addition to the present ones.  */
int32_t
dispatch_interference_speed (const struct rr_dispatch *d,
                             const struct dispatch_worker *w, int image,
                             int64_t cores_milli)
{
  double speed = w->best_effort_percent;
  for (size_t i = 0; i < w->run_count; i++)
    {
      const struct dispatch_run *r = &w->runs[i];
      if (!is_latency_critical (r))
        continue;
      double more
          = predicted_effect (d, w, r->image, image, (double)cores_milli);
      double headroom = utilisation_limit (d, r, START_TAIL_RATIO)
                        - predicted_utilisation (d, w, r);
      if (more > EFFECT_MIN && headroom < more * speed / 100)
        speed = headroom <= 0 ? 0 : 100 * headroom / more;
    }
  return (int32_t)speed;
}

/* Returns the percentage of known best-effort images other than IMAGE that
   interfere with none of W's latency-critical tasks.  */
int32_t
dispatch_interference_tolerance (const struct rr_dispatch *d,
                                 const struct dispatch_worker *w, int image)
{
  int32_t tolerated = 0;
  int32_t known = 0;
  int count = rr_interference_class_count (d->model, RR_WORKLOAD_BATCH);
  for (int f = 1; f < count; f++)
    {
      if (f == image)
        continue;
      known++;
      bool harmless = true;
      for (size_t i = 0; i < w->run_count && harmless; i++)
        harmless = !is_latency_critical (&w->runs[i])
                   || rr_interference_mean (d->model, w->runs[i].image, f)
                          < HARMLESS_COST_MAX;
      tolerated += harmless ? 1 : 0;
    }
  return known == 0 ? 0 : tolerated * 100 / known;
}

/* Updates the model with the tail latencies of W's latency-critical tasks of
   one image.  */
static void
model_update_image (struct rr_dispatch *d, struct dispatch_worker *w,
                    size_t first, struct rr_interference_report *report,
                    struct rr_time now)
{
  double sum = 0;
  int n = 0;
  for (size_t i = first; i < w->run_count; i++)
    {
      const struct dispatch_run *r = &w->runs[i];
      if (!is_latency_critical (r) || r->image != w->runs[first].image
          || r->phase != RUN_RUNNING || r->percent < 100
          || r->measurement <= 0)
        continue;
      sum += utilisation (d, r->image, (double)r->measurement);
      n++;
    }
  if (n == 0)
    return;
  report->service = w->runs[first].image;
  /* The model takes the logarithm of its input.  */
  report->latency_ms = exp (sum / n);
  report->requests = (int64_t)n * TAIL_REQUESTS;
  rr_interference_report_add (d->model, report, now);
}

static void
model_update (struct rr_dispatch *d, struct dispatch_worker *w,
              struct rr_time now)
{
  struct rr_interference_report report
      = { .worker = (uint64_t)w->info.started_ms ^ rr_handle_pack (w->handle),
          .window_start = rr_time_from_ms (w->clock_ms - TAIL_WINDOW_MS),
          .window_end = rr_time_from_ms (w->clock_ms) };
  bool seen[RR_CLASSES_MAX] = { false };
  for (size_t i = 0; i < w->run_count; i++)
    if (w->runs[i].best_effort)
      report.share[w->runs[i].image]
          += core_fraction (w, (double)w->runs[i].measurement);
  for (size_t i = 0; i < w->run_count; i++)
    if (is_latency_critical (&w->runs[i]) && !seen[w->runs[i].image])
      {
        seen[w->runs[i].image] = true;
        model_update_image (d, w, i, &report, now);
      }
}

/* Updates the estimated load that each latency-critical task of W would have
   without best-effort tasks.  */
static void
update_loads (struct rr_dispatch *d, struct dispatch_worker *w)
{
  for (size_t i = 0; i < w->run_count; i++)
    {
      struct dispatch_run *r = &w->runs[i];
      if (!is_latency_critical (r) || r->percent < 100 || r->measurement <= 0)
        continue;
      if ((double)r->measurement < d->base_ms[r->image])
        d->base_ms[r->image] = (double)r->measurement;
      double alone = utilisation (d, r->image, (double)r->measurement);
      for (size_t k = 0; k < w->run_count; k++)
        if (w->runs[k].best_effort)
          alone -= predicted_effect (d, w, r->image, w->runs[k].image,
                                     (double)w->runs[k].measurement);
      r->load += LOAD_SMOOTHING * (alone - r->load);
    }
}

/* Reduces the speed of the best-effort task that interferes most with R by the
   utilisation OVER R's limit, or pauses it.  Returns false when none
   interferes with R.  */
static bool
slow_worst_interferer (const struct rr_dispatch *d, struct dispatch_worker *w,
                       const struct dispatch_run *r, double over)
{
  struct dispatch_run *worst = NULL;
  double worst_effect = EFFECT_MIN;
  for (size_t i = 0; i < w->run_count; i++)
    {
      struct dispatch_run *f = &w->runs[i];
      if (!f->best_effort || f->stop_wanted || f->speed_target == 0)
        continue;
      double e
          = predicted_effect (d, w, r->image, f->image,
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
  /* KEEP may be 1 within the accuracy of a double: the caller goes on until
     nothing is left to slow down.  */
  int32_t slower = (int32_t)(worst->speed_target * keep);
  worst->speed_target
      = slower < worst->speed_target ? slower : worst->speed_target - 1;
  if (worst->speed_target < SPEED_MIN_PERCENT)
    worst->speed_target = 0;
  return true;
}

/* Returns true when best-effort tasks of IMAGE are known to interfere with
   none of W's latency-critical tasks.  */
static bool
is_harmless (const struct rr_dispatch *d, const struct dispatch_worker *w,
             int image)
{
  for (size_t i = 0; i < w->run_count; i++)
    if (is_latency_critical (&w->runs[i])
        && rr_interference_upper_bound (d->model, w->runs[i].image, image)
               >= HARMLESS_COST_MAX)
      return false;
  return true;
}

/* Sets the target speeds of W's best-effort tasks so that no latency-critical
   task is predicted to exceed its limit.  */
static void
set_speeds (struct rr_dispatch *d, struct dispatch_worker *w)
{
  for (size_t i = 0; i < w->run_count; i++)
    {
      struct dispatch_run *f = &w->runs[i];
      f->speed_target = 100;
      if (f->best_effort && w->best_effort_percent < 100
          && (w->best_effort_percent < LIMIT_ALL_PERCENT
              || !is_harmless (d, w, f->image)))
        f->speed_target = w->best_effort_percent;
    }
  for (size_t i = 0; i < w->run_count; i++)
    {
      const struct dispatch_run *r = &w->runs[i];
      if (!is_latency_critical (r))
        continue;
      double over = predicted_utilisation (d, w, r)
                    - utilisation_limit (d, r, RUN_TAIL_RATIO);
      while (over > 0 && slow_worst_interferer (d, w, r, over))
        over = predicted_utilisation (d, w, r)
               - utilisation_limit (d, r, RUN_TAIL_RATIO);
    }
}

static double
worst_tail_ratio (const struct dispatch_worker *w)
{
  double worst = 0;
  for (size_t i = 0; i < w->run_count; i++)
    {
      const struct dispatch_run *r = &w->runs[i];
      if (!is_latency_critical (r) || r->percent < 100)
        continue;
      double ratio = (double)r->measurement / (double)r->tail_target_ms;
      if (ratio > worst)
        worst = ratio;
    }
  return worst;
}

/* Lowers the speed limit of W's best-effort tasks when a tail latency is over
   its target in spite of the model, and raises it again afterwards.  */
static void
update_best_effort_limit (struct rr_dispatch *d, struct dispatch_worker *w,
                          struct rr_time now)
{
  if (rr_time_diff (now, w->best_effort_changed) < SPEED_SETTLE_MS)
    return;
  double tail = worst_tail_ratio (w);
  int32_t before = w->best_effort_percent;
  if (tail > CUT_TAIL_RATIO && w->best_effort_cores_milli > 0)
    w->best_effort_percent = before / 2 < LIMIT_ALL_PERCENT ? 0 : before / 2;
  else if (tail < RECOVER_TAIL_RATIO)
    w->best_effort_percent = before + LIMIT_STEP_PERCENT > 100
                                 ? 100
                                 : before + LIMIT_STEP_PERCENT;
  if (w->best_effort_percent == before)
    return;
  w->best_effort_changed = now;
  dispatch_log_decision (d, "fillers_cut",
                         "vm=%s percent=%d before=%d tail=%.2f", w->info.id,
                         w->best_effort_percent, before, tail);
}

/* Updates the model from W's report and sets the speeds of its best-effort
   tasks.  */
void
dispatch_interference_update (struct rr_dispatch *d, struct dispatch_worker *w,
                              struct rr_time now)
{
  model_update (d, w, now);
  update_loads (d, w);
  update_best_effort_limit (d, w, now);
  set_speeds (d, w);
}
