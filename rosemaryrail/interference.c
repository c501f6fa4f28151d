#include "rosemaryrail/interference.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "interference_model.h"

/* Number of requests at which a report has half the weight of a report with
   very many: the mean of few requests has a larger variance.  */
#define HALF_WEIGHT_REQUESTS 10.0

/* Number of reports over which the squared standardized residual is averaged,
   and the limit for that of a single report, so that a few outliers are not
   detected as a change of the workloads.  */
#define CHANGE_MEAN_REPORTS 32.0
#define RESIDUAL_Z2_MAX 9.0

/* Without new reports, a service's statistics are decayed this many times per
   half-life, so that the uncertainty grows then too.  */
#define IDLE_DECAY_STEPS 16

/* Time in ms after a detected change during which no other change is detected,
   so that the estimates can settle.  */
#define CHANGE_HOLDOFF_MS 30000

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

/* Returns the number of the class with hash HASH.  An unknown class is added
   if a number is free, otherwise RR_CLASS_OTHER is returned.  */
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

/* Returns the number of class NAME and adds the class if it is unknown.  The
   numbers are local to MODEL.  When all RR_CLASSES_MAX numbers are in use, a
   new class is counted under RR_CLASS_OTHER.  */
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

/* Returns the number of classes, including RR_CLASS_OTHER and classes known
   only from peers.  */
int
rr_interference_class_count (const struct rr_interference *model,
                             enum rr_workload_kind kind)
{
  return model->classes[kind].count;
}

/* Returns the name of class NUMBER, or "" for a class known only from a
   peer.  MODEL owns the string.  */
const char *
rr_interference_class_name (const struct rr_interference *model,
                            enum rr_workload_kind kind, int number)
{
  const char *name = model->classes[kind].name[number];
  return name == NULL ? "" : name;
}

static void
moments_scale (struct rr_service_moments *moments, double factor)
{
  for (size_t i = 0; i < RR_MOMENTS; i++)
    moments->m[i] *= factor;
  for (int b = 0; b < RR_CLASSES_MAX; b++)
    moments->reports[b] *= factor;
}

/* Scales this daemon's statistics of service S to their weight at NOW.  */
static void
moments_decay (struct rr_interference *model, int s, struct rr_time now)
{
  struct rr_service_moments *moments = &model->local_moments[s];
  int64_t age = rr_time_diff (now, moments->at);
  if (age <= 0)
    return;
  moments->at = now;
  double f
      = exp2 (-(double)age / (double)model->policy->interference_half_life_ms);
  moments_scale (moments, f);
}

/* Returns the weight of a report by the number of earlier reports of its
   worker.  The first report of a worker has weight 0 and the next ones less
   than 1, because the latencies on a worker that has just started (cold
   caches, image downloads) are not typical.  */
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

/* Predicts the log latency of service S for the terms X.  VARIANCE receives
   the sum of the variances of the prediction and of a single report.  */
static double
latency_predict (const struct rr_interference *model, int s, const double *x,
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

/* Detects changes in how the workloads behave.  RESIDUAL and VARIANCE are
   those of a report with the terms X.  Reports that contain a class of
   uncertain effect are ignored, because large residuals are expected there.
   When the mean squared residual of the others is too large, the statistics
   are scaled down by interference.change_keep: with decay alone it would take
   several half-lives until the estimates follow.  */
static void
change_detect (struct rr_interference *model, int s, const double *x,
               double residual, double variance, struct rr_time now)
{
  for (int b = 0; b < RR_CLASSES_MAX; b++)
    if (x[RR_TERM_CLASSES + b] > 0 && model->solution[s].uncertain[b])
      return;
  const struct rr_policy *policy = model->policy;
  struct rr_service_moments *moments = &model->local_moments[s];
  double z2 = fmin (residual * residual / variance, RESIDUAL_Z2_MAX);
  moments->residual_z2 += (z2 - moments->residual_z2) / CHANGE_MEAN_REPORTS;
  if (moments->residual_z2 < policy->interference_change_ratio
      || rr_time_diff (now, moments->changed_at) < CHANGE_HOLDOFF_MS)
    return;
  moments->changed_at = now;
  moments->residual_z2 = 1;
  moments_scale (moments, policy->interference_change_keep);
}

/* Adds one service class of a worker's report to the statistics.  The latency
   is attributed to the batch classes that ran in the same window.  Returns
   false when the report is ignored: it has no requests or an empty window, its
   window overlaps one already added (a repeated or late duplicate), or it is
   the worker's first report.  The estimates change with the next
   rr_interference_refresh.  */
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
                                 rr_id_combine (report->worker, (uint64_t)s));
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
  /* The residual is limited to interference.outlier_limit standard deviations
     of the prediction, so that large residuals are kept for a class of unknown
     effect and cut for a class whose effect is well known.  */
  double variance;
  double predicted = latency_predict (model, s, x, &variance);
  double residual = log (report->latency_ms) - predicted;
  double limit = model->policy->interference_outlier_limit * sqrt (variance);
  x[RR_TERMS] = predicted + fmax (-limit, fmin (limit, residual));
  moments_decay (model, s, now);
  change_detect (model, s, x, residual, variance, now);
  double *m = model->local_moments[s].m;
  for (int b = 0; b < RR_CLASSES_MAX; b++)
    model->local_moments[s].reports[b] += report->share[b] > 0 ? w : 0;
  for (int i = 0; i <= RR_TERMS; i++)
    for (int j = 0; x[i] != 0 && j <= i; j++)
      m[rr_moment_index (i, j)] += w * x[i] * x[j];
  model->dirty[s] = true;
  return true;
}

/* Recomputes the estimates of the service classes whose statistics changed
   since the last call.  This takes at most a few ms for all classes; calling
   it once a second is enough.  Also drops the statistics of peers that have
   not sent any for interference.peer_max_age.  */
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
  int64_t stale = model->policy->interference_half_life_ms / IDLE_DECAY_STEPS;
  for (int s = 0; s < RR_CLASSES_MAX; s++)
    if (model->dirty[s]
        || (model->local_moments[s].m[rr_moment_index (0, 0)] > 0
            && rr_time_diff (now, model->local_moments[s].at) > stale))
      {
        moments_decay (model, s, now);
        rr_interference_solve (model, s);
        model->dirty[s] = false;
      }
}

/* Fills OUT with the estimated effect of BATCH on SERVICE.  */
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

/* Returns the upper bound of the effect of BATCH on SERVICE, at least 0: the
   increase of the log latency when BATCH uses the whole worker.  Only reads a
   stored value, because it is called for every placement candidate.  */
double
rr_interference_upper_bound (const struct rr_interference *model, int service,
                             int batch)
{
  return model->solution[service].upper_bound[batch];
}

/* Returns the expected effect of BATCH on SERVICE.  */
double
rr_interference_mean (const struct rr_interference *model, int service,
                      int batch)
{
  return model->solution[service].coefficient[RR_TERM_CLASSES + batch];
}

/* Returns whether the estimated effect of BATCH on SERVICE is too uncertain to
   be used: it has fewer than interference.min_reports reports, or its standard
   deviation is above half that of the prior.  */
bool
rr_interference_uncertain (const struct rr_interference *model, int service,
                           int batch)
{
  return model->solution[service].uncertain[batch];
}

/* Returns the estimated latency of SERVICE without batch work in ms, or 0 when
   there are no statistics of SERVICE.  */
double
rr_interference_base_ms (const struct rr_interference *model, int service)
{
  return model->solution[service].base_ms;
}

/* Drops the report windows and the report count of WORKER, for instance when
   its incarnation has ended.  The statistics from its reports are kept.  */
void
rr_interference_worker_remove (struct rr_interference *model, uint64_t worker)
{
  rr_id_map_remove (&model->worker_reports, worker);
  for (int s = 0; s < RR_CLASSES_MAX; s++)
    rr_id_map_remove (&model->window_ends,
                      rr_id_combine (worker, (uint64_t)s));
}
