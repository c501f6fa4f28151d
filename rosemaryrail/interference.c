#include "rosemaryrail/interference.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "interference_model.h"

/* Reports with this many requests have half the weight of one with very
   many: the mean of few requests scatters more.  */
#define HALF_WEIGHT_REQUESTS 10.0

/* Reports over which the surprise is averaged, and the largest one that a
   single report may show, so that no few outliers pass for a change.  */
#define SURPRISE_REPORTS 32.0
#define SURPRISE_MAX 9.0

/* Without reports, estimates are decayed each time this part of the half-life
   has passed, so that certainty fades in silence too.  */
#define STALE_SHARE 16

/* Pause after a change, in ms, in which the estimates settle.  */
#define CHANGE_PAUSE_MS 30000

/* Returns an empty model; the caller frees it with rr_interference_free.
   POLICY must outlive it.  Aborts when memory is exhausted.  */
struct rr_interference *
rr_interference_new (const struct rr_policy *policy)
{
  struct rr_interference *model = calloc (1, sizeof *model);
  if (model == NULL)
    abort ();
  model->policy = policy;
  for (int kind = 0; kind < 2; kind++)
    {
      model->classes[kind].count = 1;
      model->classes[kind].name[RR_CLASS_OTHER] = strdup ("other");
      model->classes[kind].hash[RR_CLASS_OTHER]
          = XXH3_64bits ("other", strlen ("other"));
    }
  for (int s = 0; s < RR_CLASSES_MAX; s++)
    rr_interference_solve (model, s);
  return model;
}

/* Frees MODEL, which may be null.  */
void
rr_interference_free (struct rr_interference *model)
{
  if (model == NULL)
    return;
  for (int kind = 0; kind < 2; kind++)
    for (int i = 0; i < model->classes[kind].count; i++)
      free (model->classes[kind].name[i]);
  for (size_t i = 0; i < model->peer_count; i++)
    free (model->peers[i]);
  free (model->peers);
  rr_id_map_free (&model->worker_reports);
  rr_id_map_free (&model->window_ends);
  free (model);
}

/* Returns the number of the class with hash HASH, adding it while numbers
   are free; RR_CLASS_OTHER afterwards.  */
int
rr_interference_class_by_hash (struct rr_interference *model,
                               enum rr_workload_kind kind, uint64_t hash)
{
  struct rr_class_names *c = &model->classes[kind];
  for (int i = 0; i < c->count; i++)
    if (c->hash[i] == hash)
      return i;
  if (c->count == RR_CLASSES_MAX)
    return RR_CLASS_OTHER;
  c->hash[c->count] = hash;
  return c->count++;
}

/* Returns the number of class NAME, a new one when NAME is new.  The numbers
   are local to MODEL.  When all RR_CLASSES_MAX numbers are taken, the class
   shares RR_CLASS_OTHER.  */
int
rr_interference_class (struct rr_interference *model,
                       enum rr_workload_kind kind, const char *name)
{
  uint64_t hash = XXH3_64bits (name, strlen (name));
  int i = rr_interference_class_by_hash (model, kind, hash);
  if (i != RR_CLASS_OTHER && model->classes[kind].name[i] == NULL)
    model->classes[kind].name[i] = strdup (name);
  return i;
}

/* Returns the number of classes, RR_CLASS_OTHER and those known only from
   peers included.  */
int
rr_interference_class_count (const struct rr_interference *model,
                             enum rr_workload_kind kind)
{
  return model->classes[kind].count;
}

/* Returns the name of class NUMBER, or "" for a class known only from a
   peer.  Owned by MODEL.  */
const char *
rr_interference_class_name (const struct rr_interference *model,
                            enum rr_workload_kind kind, int number)
{
  const char *name = model->classes[kind].name[number];
  return name == NULL ? "" : name;
}

static void
statistics_scale (struct rr_service_moments *own, double factor)
{
  for (size_t i = 0; i < RR_MOMENTS; i++)
    own->m[i] *= factor;
  for (int b = 0; b < RR_CLASSES_MAX; b++)
    own->reports[b] *= factor;
}

/* Scales the own statistics of service S to their weight at NOW.  */
static void
decay (struct rr_interference *model, int s, struct rr_time now)
{
  struct rr_service_moments *own = &model->own[s];
  int64_t age = rr_time_diff (now, own->at);
  if (age <= 0)
    return;
  own->at = now;
  double f
      = exp2 (-(double)age / (double)model->policy->interference_half_life_ms);
  statistics_scale (own, f);
}

/* Returns the weight of a report by the age of its worker: the first report
   of a worker counts nothing and the next ones less, because a starting
   worker (cold caches, transfers of images) is not typical.  */
static double
warmup_weight (struct rr_interference *model, uint64_t worker)
{
  int64_t warmup = model->policy->interference_warmup_reports;
  uint64_t *seen = rr_id_map_put (&model->worker_reports, worker);
  double w = 1;
  if ((int64_t)*seen < warmup)
    w = (double)*seen / (double)warmup;
  (*seen)++;
  return w;
}

/* Predicts the log latency of service S for the terms X; VARIANCE receives
   that of the prediction and of the report.  */
static double
predict (const struct rr_interference *model, int s, const double *x,
         double *variance)
{
  const struct rr_service_solution *sol = &model->solution[s];
  double predicted = 0;
  *variance = pow (sol->noise_sd, 2);
  for (int i = 0; i < RR_TERMS; i++)
    {
      if (x[i] == 0)
        continue;
      predicted += x[i] * sol->coefficient[i];
      for (int j = 0; j < RR_TERMS; j++)
        *variance += x[i] * x[j] * sol->covariance[i][j];
    }
  return predicted;
}

/* Follows how far reports are from what was predicted, RESIDUAL with VARIANCE
   for the terms X.  Reports with a class of uncertain effect say nothing: a
   surprise is to be expected there.  When many others are far off, the
   workloads behave differently from before, and most of what is known is
   forgotten: decay alone would take several half-lives.  */
static void
change_detect (struct rr_interference *model, int s, const double *x,
               double residual, double variance, struct rr_time now)
{
  for (int b = 0; b < RR_CLASSES_MAX; b++)
    if (x[RR_TERM_CLASSES + b] > 0 && model->solution[s].uncertain[b])
      return;
  const struct rr_policy *policy = model->policy;
  struct rr_service_moments *own = &model->own[s];
  double z2 = fmin (residual * residual / variance, SURPRISE_MAX);
  own->surprise += (z2 - own->surprise) / SURPRISE_REPORTS;
  if (own->surprise < policy->interference_change_ratio
      || rr_time_diff (now, own->changed_at) < CHANGE_PAUSE_MS)
    return;
  own->changed_at = now;
  own->surprise = 1;
  statistics_scale (own, policy->interference_change_keep);
}

/* Learns from one service class of a worker's report, attributing it to what
   ran together in the report's own window.  Returns false when the report
   teaches nothing: no requests, an empty window, a window that overlaps one
   already learned (a repeated or late duplicate), or a worker's first report.
   The estimates change with the next rr_interference_refresh.  */
bool
rr_interference_report_add (struct rr_interference *model,
                            const struct rr_interference_report *report,
                            struct rr_time now)
{
  int s = report->service;
  if (s < 0 || s >= RR_CLASSES_MAX || report->requests <= 0
      || !(report->latency_ms > 0)
      || !rr_time_before (report->window_start, report->window_end))
    return false;
  uint64_t *end = rr_id_map_put (&model->window_ends,
                                 rr_id_pair (report->worker, (uint64_t)s));
  if (*end != 0 && report->window_start.ms < (int64_t)*end)
    return false;
  *end = (uint64_t)report->window_end.ms;
  double w = warmup_weight (model, report->worker);
  if (w <= 0)
    return false;
  w *= (double)report->requests
       / ((double)report->requests + HALF_WEIGHT_REQUESTS);

  double x[RR_TERMS + 1] = { 1, report->service_load };
  memcpy (x + RR_TERM_CLASSES, report->share, sizeof report->share);
  /* The residual is cut at the outlier limit, counted in standard deviations
     of the prediction itself, so that a surprise about an unknown class passes
     and a surprise about a well-known one is cut.  */
  double variance;
  double predicted = predict (model, s, x, &variance);
  double residual = log (report->latency_ms) - predicted;
  double limit = model->policy->interference_outlier_limit * sqrt (variance);
  x[RR_TERMS] = predicted + fmax (-limit, fmin (limit, residual));
  decay (model, s, now);
  change_detect (model, s, x, residual, variance, now);
  double *m = model->own[s].m;
  for (int b = 0; b < RR_CLASSES_MAX; b++)
    model->own[s].reports[b] += report->share[b] > 0 ? w : 0;
  for (int i = 0; i <= RR_TERMS; i++)
    for (int j = 0; x[i] != 0 && j <= i; j++)
      m[rr_moment_index (i, j)] += w * x[i] * x[j];
  model->dirty[s] = true;
  return true;
}

/* Recomputes the estimates of the service classes that changed since the last
   call; a few ms for all classes at most, so once a second is enough.  Also
   drops the statistics of peers not heard from for interference.peer_max_age.
 */
void
rr_interference_refresh (struct rr_interference *model, struct rr_time now)
{
  size_t kept = 0;
  for (size_t i = 0; i < model->peer_count; i++)
    {
      struct rr_peer_moments *peer = model->peers[i];
      if (rr_time_diff (now, peer->received)
          > model->policy->interference_peer_max_age_ms)
        {
          model->dirty[peer->service] = true;
          free (peer);
        }
      else
        model->peers[kept++] = peer;
    }
  model->peer_count = kept;
  int64_t stale = model->policy->interference_half_life_ms / STALE_SHARE;
  for (int s = 0; s < RR_CLASSES_MAX; s++)
    if (model->dirty[s]
        || (model->own[s].m[rr_moment_index (0, 0)] > 0
            && rr_time_diff (now, model->own[s].at) > stale))
      {
        decay (model, s, now);
        rr_interference_solve (model, s);
        model->dirty[s] = false;
      }
}

/* Fills OUT with what is known about SERVICE beside BATCH.  */
void
rr_interference_estimate (const struct rr_interference *model, int service,
                          int batch, struct rr_interference_estimate *out)
{
  const struct rr_service_solution *sol = &model->solution[service];
  int i = RR_TERM_CLASSES + batch;
  out->mean = sol->coefficient[i];
  out->sd = sqrt (sol->covariance[i][i]);
  out->bound = out->mean + model->policy->interference_caution * out->sd;
  out->samples = sol->samples[batch];
}

/* Returns the cautious effect of BATCH on SERVICE, never below 0: log latency
   per full worker.  Cheap; used for every placement candidate.  */
double
rr_interference_upper_bound (const struct rr_interference *model, int service,
                             int batch)
{
  return model->solution[service].cost[batch];
}

/* Returns the expected effect of BATCH on SERVICE without caution.  */
double
rr_interference_mean (const struct rr_interference *model, int service,
                      int batch)
{
  return model->solution[service].coefficient[RR_TERM_CLASSES + batch];
}

/* Tells whether the effect of BATCH on SERVICE is known too little to act on
   its expected value: the uncertainty is above half the prior's.  */
bool
rr_interference_uncertain (const struct rr_interference *model, int service,
                           int batch)
{
  return model->solution[service].uncertain[batch];
}

/* Returns the latency of SERVICE without batch work, in ms, or 0 when nothing
   is known.  */
double
rr_interference_base_ms (const struct rr_interference *model, int service)
{
  return model->solution[service].base_ms;
}

/* Forgets the windows and the age of WORKER, for instance when its
   incarnation is gone.  What it taught stays.  */
void
rr_interference_worker_remove (struct rr_interference *model, uint64_t worker)
{
  rr_id_map_remove (&model->worker_reports, worker);
  for (int s = 0; s < RR_CLASSES_MAX; s++)
    rr_id_map_remove (&model->window_ends, rr_id_pair (worker, (uint64_t)s));
}
