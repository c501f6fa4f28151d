#include <gsl/gsl_linalg.h>
#include <gsl/gsl_matrix.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "interference_model.h"

/* Prior of the intercept (log of 1 ms, give or take a factor of e^10) and of
   the effect of the services' own load.  */
#define INTERCEPT_PRIOR_SD 10.0
#define LOAD_PRIOR_MEAN 0.3
#define LOAD_PRIOR_SD 1.0

/* Reports that the configured scatter weighs as much as, and the least scatter
   assumed: below it, errors of the model itself prevail.  */
#define NOISE_PRIOR_WEIGHT 20.0
#define NOISE_SD_MIN 0.05

/* An uncertain pair has at least this share of the prior's uncertainty.  */
#define UNCERTAIN_SHARE 0.5

/* Fills the prior's mean and standard deviation of term I.  */
static void
prior_of (const struct rr_policy *policy, int i, double *mean, double *sd)
{
  switch (i)
    {
    case RR_TERM_INTERCEPT:
      *mean = 0;
      *sd = INTERCEPT_PRIOR_SD;
      return;
    case RR_TERM_LOAD:
      *mean = LOAD_PRIOR_MEAN;
      *sd = LOAD_PRIOR_SD;
      return;
    default:
      *mean = policy->interference_prior_mean;
      *sd = policy->interference_prior_sd;
    }
}

/* Adds up the own statistics of service S and those of its peers in SUM and
   REPORTS.  */
static void
moments_sum (const struct rr_interference *model, int s, double *sum,
             double *reports)
{
  memcpy (sum, model->own[s].m, sizeof model->own[s].m);
  memcpy (reports, model->own[s].reports, sizeof model->own[s].reports);
  for (size_t p = 0; p < model->peer_count; p++)
    {
      const struct rr_peer_moments *peer = model->peers[p];
      if (peer->service != s)
        continue;
      for (size_t i = 0; i < RR_MOMENTS; i++)
        sum[i] += peer->m[i];
      for (int b = 0; b < RR_CLASSES_MAX; b++)
        reports[b] += peer->reports[b];
    }
}

/* Solves the regression with moments SUM, taking NOISE_SD as the scatter of a
   report.  A receives the covariance of the coefficients V.  The matrix is
   positive definite because of the prior.  */
static void
regress (const struct rr_policy *policy, const double *sum, double noise_sd,
         gsl_matrix *a, gsl_vector *v)
{
  double precision = 1 / (noise_sd * noise_sd);
  for (int i = 0; i < RR_TERMS; i++)
    {
      for (int j = 0; j <= i; j++)
        {
          double x = precision * sum[rr_moment_index (i, j)];
          gsl_matrix_set (a, (size_t)i, (size_t)j, x);
          gsl_matrix_set (a, (size_t)j, (size_t)i, x);
        }
      double mean;
      double sd;
      prior_of (policy, i, &mean, &sd);
      double *diagonal = gsl_matrix_ptr (a, (size_t)i, (size_t)i);
      *diagonal += 1 / (sd * sd);
      gsl_vector_set (v, (size_t)i,
                      precision * sum[rr_moment_index (RR_TERMS, i)]
                          + mean / (sd * sd));
    }
  gsl_linalg_cholesky_decomp1 (a);
  gsl_linalg_cholesky_svx (a, v);
  gsl_linalg_cholesky_invert (a);
}

/* Returns the scatter of reports around the fit V, with the setting as prior:
   the mean of few requests scatters more in one service than in another.  */
static double
noise_of (const struct rr_policy *policy, const double *sum,
          const gsl_vector *v)
{
  double rss = sum[rr_moment_index (RR_TERMS, RR_TERMS)];
  for (int i = 0; i < RR_TERMS; i++)
    {
      double x = gsl_vector_get (v, (size_t)i);
      rss -= 2 * x * sum[rr_moment_index (RR_TERMS, i)];
      for (int j = 0; j < RR_TERMS; j++)
        rss += x * gsl_vector_get (v, (size_t)j)
               * sum[rr_moment_index (i > j ? i : j, i > j ? j : i)];
    }
  double prior = pow (policy->interference_noise_sd, 2);
  double variance = (NOISE_PRIOR_WEIGHT * prior + fmax (0, rss))
                    / (NOISE_PRIOR_WEIGHT + sum[rr_moment_index (0, 0)]);
  return fmax (NOISE_SD_MIN, sqrt (variance));
}

/* Computes the estimates of service S from its statistics and the prior.  */
void
rr_interference_solve (struct rr_interference *model, int s)
{
  const struct rr_policy *policy = model->policy;
  double sum[RR_MOMENTS];
  double reports[RR_CLASSES_MAX];
  moments_sum (model, s, sum, reports);
  gsl_matrix *a = gsl_matrix_alloc (RR_TERMS, RR_TERMS);
  gsl_vector *v = gsl_vector_alloc (RR_TERMS);
  struct rr_service_solution *sol = &model->solution[s];
  regress (policy, sum, policy->interference_noise_sd, a, v);
  sol->noise_sd = noise_of (policy, sum, v);
  regress (policy, sum, sol->noise_sd, a, v);
  for (int i = 0; i < RR_TERMS; i++)
    {
      sol->coefficient[i] = gsl_vector_get (v, (size_t)i);
      for (int j = 0; j < RR_TERMS; j++)
        sol->covariance[i][j] = gsl_matrix_get (a, (size_t)i, (size_t)j);
    }
  for (int b = 0; b < RR_CLASSES_MAX; b++)
    {
      int i = RR_TERM_CLASSES + b;
      double sd = sqrt (sol->covariance[i][i]);
      sol->cost[b]
          = fmax (0, sol->coefficient[i] + policy->interference_caution * sd);
      bool rare = reports[b] < (double)policy->interference_min_reports;
      sol->uncertain[b]
          = rare || sd > UNCERTAIN_SHARE * policy->interference_prior_sd;
      sol->samples[b] = reports[b];
      /* A few lucky reports must not make a rare class look harmless.  */
      if (rare)
        sol->cost[b] = fmax (sol->cost[b], policy->interference_prior_mean);
    }
  sol->base_ms = sum[rr_moment_index (0, 0)] > 0
                     ? exp (sol->coefficient[RR_TERM_INTERCEPT])
                     : 0;
  gsl_matrix_free (a);
  gsl_vector_free (v);
}

/* Fills OUT with the own statistics of SERVICE as of NOW, for peers; ORIGIN is
   the incarnation of this daemon.  Peers' statistics are not passed on, so
   nothing is counted twice.  Returns false when there are none.  */
bool
rr_interference_export (const struct rr_interference *model, int service,
                        uint64_t origin, struct rr_time now,
                        struct rr_interference_export *out)
{
  const struct rr_service_moments *own = &model->own[service];
  const double *m = own->m;
  if (m[rr_moment_index (0, 0)] <= 0)
    return false;
  double f = exp2 (-(double)rr_time_diff (now, model->own[service].at)
                   / (double)model->policy->interference_half_life_ms);
  int row[RR_TERMS + 1] = { RR_TERM_INTERCEPT, RR_TERM_LOAD };
  int rows = RR_TERM_CLASSES;
  memset (out, 0, sizeof *out);
  out->origin = origin;
  out->service = model->classes[RR_WORKLOAD_SERVICE].hash[service];
  out->at = now;
  for (int b = 0; b < model->classes[RR_WORKLOAD_BATCH].count; b++)
    {
      int i = RR_TERM_CLASSES + b;
      if (m[rr_moment_index (i, i)] <= 0)
        continue;
      out->reports[out->classes] = (float)(f * own->reports[b]);
      out->batch[out->classes++] = model->classes[RR_WORKLOAD_BATCH].hash[b];
      row[rows++] = i;
    }
  row[rows++] = RR_TERMS;
  for (int i = 0; i < rows; i++)
    for (int j = 0; j <= i; j++)
      out->moments[rr_moment_index (i, j)]
          = (float)(f * m[rr_moment_index (row[i], row[j])]);
  return true;
}

/* Returns the peer entry for ORIGIN and service S, a new one if needed.  */
static struct rr_peer_moments *
peer_entry (struct rr_interference *model, uint64_t origin, int s)
{
  for (size_t i = 0; i < model->peer_count; i++)
    if (model->peers[i]->origin == origin && model->peers[i]->service == s)
      return model->peers[i];
  struct rr_peer_moments **grown
      = realloc (model->peers,
                 (model->peer_count + 1) * sizeof (struct rr_peer_moments *));
  struct rr_peer_moments *peer = calloc (1, sizeof *peer);
  if (grown == NULL || peer == NULL)
    abort ();
  peer->origin = origin;
  peer->service = s;
  peer->at = rr_time_from_ms (INT64_MIN);
  model->peers = grown;
  model->peers[model->peer_count++] = peer;
  return peer;
}

/* Takes over the statistics IN of a peer.  They replace what the same peer
   sent before, so that repeated exports are not added up.  Returns false when
   IN is malformed or older than what is known; the model is then unchanged. */
bool
rr_interference_merge (struct rr_interference *model,
                       const struct rr_interference_export *in,
                       struct rr_time now)
{
  if (in->classes < 0 || in->classes > RR_CLASSES_MAX)
    return false;
  int rows = in->classes + RR_TERM_CLASSES + 1;
  for (int i = 0; i < rows; i++)
    for (int j = 0; j <= i; j++)
      if (!isfinite (in->moments[rr_moment_index (i, j)])
          || (i == j && in->moments[rr_moment_index (i, j)] < 0))
        return false;
  for (int b = 0; b < in->classes; b++)
    if (!isfinite (in->reports[b]) || in->reports[b] < 0)
      return false;
  int s = rr_interference_class_by_hash (model, RR_WORKLOAD_SERVICE,
                                         in->service);
  struct rr_peer_moments *peer = peer_entry (model, in->origin, s);
  if (!rr_time_before (peer->at, in->at))
    return false;
  peer->at = in->at;
  peer->received = now;
  memset (peer->m, 0, sizeof peer->m);
  int row[RR_TERMS + 1] = { RR_TERM_INTERCEPT, RR_TERM_LOAD };
  memset (peer->reports, 0, sizeof peer->reports);
  for (int b = 0; b < in->classes; b++)
    {
      int local = rr_interference_class_by_hash (model, RR_WORKLOAD_BATCH,
                                                 in->batch[b]);
      row[RR_TERM_CLASSES + b] = RR_TERM_CLASSES + local;
      peer->reports[local] += in->reports[b];
    }
  row[rows - 1] = RR_TERMS;
  /* Classes that share RR_CLASS_OTHER add up; an off-diagonal moment of two
     of them counts twice on the diagonal.  */
  for (int i = 0; i < rows; i++)
    for (int j = 0; j <= i; j++)
      {
        int a = row[i] > row[j] ? row[i] : row[j];
        int b = row[i] > row[j] ? row[j] : row[i];
        double x = in->moments[rr_moment_index (i, j)];
        peer->m[rr_moment_index (a, b)] += i != j && a == b ? 2 * x : x;
      }
  model->dirty[s] = true;
  return true;
}
