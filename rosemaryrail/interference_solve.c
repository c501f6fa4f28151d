#include <gsl/gsl_linalg.h>
#include <gsl/gsl_matrix.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "interference_model.h"

/* Priors of the intercept (mean 0, the log of 1 ms; one standard deviation is
   a factor of e^10) and of the effect of the services' own load.  */
#define INTERCEPT_PRIOR_SD 10.0
#define LOAD_PRIOR_MEAN 0.3
#define LOAD_PRIOR_SD 1.0

/* Weight of the configured noise in number of reports, and the smallest noise
   assumed: below it, the errors of the linear model are larger.  */
#define NOISE_PRIOR_WEIGHT 20.0
#define NOISE_SD_MIN 0.05

/* A pair is uncertain when the standard deviation of its effect is above this
   share of the prior's.  */
#define UNCERTAIN_SD_RATIO 0.5

/* Returns the mean and standard deviation of the prior of term I in MEAN and
   SD.  */
static void
term_prior_get (const struct rr_policy *policy, int i, double *mean,
                double *sd)
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

/* Stores the sum of this daemon's and the peers' statistics of service S in
   SUM and REPORTS.  */
static void
moments_sum (const struct rr_interference *model, int s, double *sum,
             double *reports)
{
  memcpy (sum, model->local_moments[s].m, sizeof model->local_moments[s].m);
  memcpy (reports, model->local_moments[s].reports,
          sizeof model->local_moments[s].reports);
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

/* Solves the regression with moments SUM and NOISE_SD as the standard
   deviation of a report.  V receives the coefficients and A their covariance.
   The matrix is positive definite because of the prior.  */
static void
regression_solve (const struct rr_policy *policy, const double *sum,
                  double noise_sd, gsl_matrix *a, gsl_vector *v)
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
      term_prior_get (policy, i, &mean, &sd);
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

/* Returns the standard deviation of reports around the fit V, with
   interference.noise_sd as prior.  It is estimated for each service, because
   the mean of few requests varies more in one service than in another.  */
static double
noise_estimate (const struct rr_policy *policy, const double *sum,
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

/* Computes the estimates of service S from its statistics and the prior.  The
   first solution only serves to estimate the noise for the second.  */
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
  regression_solve (policy, sum, policy->interference_noise_sd, a, v);
  sol->noise_sd = noise_estimate (policy, sum, v);
  regression_solve (policy, sum, sol->noise_sd, a, v);
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
      sol->upper_bound[b]
          = fmax (0, sol->coefficient[i] + policy->interference_caution * sd);
      bool rare = reports[b] < (double)policy->interference_min_reports;
      sol->uncertain[b]
          = rare || sd > UNCERTAIN_SD_RATIO * policy->interference_prior_sd;
      sol->samples[b] = reports[b];
      /* A few reports with low latency by chance must not suggest that a
         rare class does not interfere.  */
      if (rare)
        sol->upper_bound[b]
            = fmax (sol->upper_bound[b], policy->interference_prior_mean);
    }
  sol->base_ms = sum[rr_moment_index (0, 0)] > 0
                     ? exp (sol->coefficient[RR_TERM_INTERCEPT])
                     : 0;
  gsl_matrix_free (a);
  gsl_vector_free (v);
}

/* Fills OUT with this daemon's statistics of SERVICE as of NOW, to be sent to
   peers; ORIGIN is the incarnation of this daemon.  Statistics received from
   peers are left out, so that no report is counted twice.  Returns false when
   this daemon has none.  */
bool
rr_interference_export (const struct rr_interference *model, int service,
                        uint64_t origin, struct rr_time now,
                        struct rr_interference_export *out)
{
  const struct rr_service_moments *moments = &model->local_moments[service];
  const double *m = moments->m;
  if (m[rr_moment_index (0, 0)] <= 0)
    return false;
  double f
      = exp2 (-(double)rr_time_diff (now, model->local_moments[service].at)
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
      out->reports[out->classes] = (float)(f * moments->reports[b]);
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

/* Returns the moments that ORIGIN sent for service S, adding an empty entry if
   there is none.  */
static struct rr_peer_moments *
peer_moments_get (struct rr_interference *model, uint64_t origin, int s)
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

/* Stores the statistics IN of a peer.  They replace those that the same peer
   sent before, so that repeated exports are not added up.  Returns false when
   IN is malformed or not newer than the last export; the estimates are then
   unchanged.  */
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
  struct rr_peer_moments *peer = peer_moments_get (model, in->origin, s);
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
  /* The moments of classes that share RR_CLASS_OTHER are added up; an
     off-diagonal moment of two of them counts twice on the diagonal.  */
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
