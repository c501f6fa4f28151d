#include "rosemaryrail/estimate.h"

#include <gsl/gsl_histogram.h>
#include <math.h>
#include <stdlib.h>

#include "rosemaryrail/id_map.h"

/* Consecutive bin edges have a ratio of 2^(1/8), so a quantile is at most 9%
   too high.  256 bins range from 1 to 2^32 thousandths of a core, MB or ms (50
   days).  */
#define BINS_PER_OCTAVE 8
#define BINS 256

/* A task that is moved because it needs more memory than its worker has free
   gets at least this many times the memory that was reserved for it.  */
#define MOVE_GROWTH 2.0

enum measure
{
  CORES,
  MEMORY,
  WORK,
  MEASURES
};

struct profile
{
  uint64_t id;
  struct rr_time at; /* of the last sample; the weights refer to this time */
  double samples;    /* decayed number of finished tasks */
  gsl_histogram *usage[MEASURES];
};

struct rr_estimate
{
  const struct rr_policy *policy;
  struct rr_id_map index; /* profile id -> position in PROFILES + 1 */
  struct profile *profiles;
  size_t count;
  size_t capacity;
};

/* Returns an empty set of profiles; the caller frees it with rr_estimate_free.
   POLICY must outlive it.  Aborts when memory is exhausted.  */
struct rr_estimate *
rr_estimate_new (const struct rr_policy *policy)
{
  struct rr_estimate *e = calloc (1, sizeof *e);
  if (e == NULL)
    abort ();
  e->policy = policy;
  return e;
}

static void
profile_release (struct profile *p)
{
  for (int m = 0; m < MEASURES; m++)
    gsl_histogram_free (p->usage[m]);
}

/* Frees E, which may be null.  */
void
rr_estimate_free (struct rr_estimate *e)
{
  if (e == NULL)
    return;
  for (size_t i = 0; i < e->count; i++)
    profile_release (&e->profiles[i]);
  free (e->profiles);
  rr_id_map_free (&e->index);
  free (e);
}

static gsl_histogram *
histogram_new (void)
{
  double ranges[BINS + 1];
  for (int i = 0; i <= BINS; i++)
    ranges[i] = exp2 ((double)i / BINS_PER_OCTAVE);
  gsl_histogram *h = gsl_histogram_alloc (BINS);
  gsl_histogram_set_ranges (h, ranges, BINS + 1);
  return h;
}

static struct profile *
profile_get (struct rr_estimate *e, uint64_t id, struct rr_time now)
{
  uint64_t *position = rr_id_map_put (&e->index, id);
  if (*position != 0)
    return &e->profiles[*position - 1];
  if (e->count == e->capacity)
    {
      e->capacity = e->capacity == 0 ? 16 : e->capacity * 2;
      e->profiles = realloc (e->profiles, e->capacity * sizeof *e->profiles);
      if (e->profiles == NULL)
        abort ();
    }
  struct profile *p = &e->profiles[e->count++];
  *position = e->count;
  *p = (struct profile){ .id = id, .at = now };
  for (int m = 0; m < MEASURES; m++)
    p->usage[m] = histogram_new ();
  return p;
}

/* Adds X to H.  A value outside the range of H is counted in its first or last
   bin.  */
static void
histogram_add (gsl_histogram *h, double x)
{
  gsl_histogram_increment (h, fmin (fmax (x, 1), exp2 (31.9)));
}

/* Adds USAGE to the histograms of its profile.  The usage of an unfinished
   task (work_ms 0) is a lower bound, so it does not count towards
   estimate.min_samples: alone it can raise an estimate but not lower it.  */
void
rr_estimate_usage_add (struct rr_estimate *e,
                       const struct rr_estimate_usage *usage,
                       struct rr_time now)
{
  struct profile *p = profile_get (e, usage->profile, now);
  int64_t age = rr_time_diff (now, p->at);
  if (age > 0)
    {
      double f
          = exp2 (-(double)age / (double)e->policy->estimate_half_life_ms);
      for (int m = 0; m < MEASURES; m++)
        gsl_histogram_scale (p->usage[m], f);
      p->samples *= f;
      p->at = now;
    }
  histogram_add (p->usage[CORES], usage->cores_milli);
  histogram_add (p->usage[MEMORY], usage->memory_mb);
  if (usage->work_ms > 0)
    {
      histogram_add (p->usage[WORK], usage->work_ms);
      p->samples += 1;
    }
}

/* Returns the upper edge of the bin that contains quantile Q, or 0 when H is
   empty.  */
static double
quantile (const gsl_histogram *h, double q)
{
  double left = gsl_histogram_sum (h) * q - 1e-9;
  double edge = 0;
  for (size_t i = 0; i < BINS; i++)
    {
      double lower;
      double n = gsl_histogram_get (h, i);
      if (n <= 0)
        continue;
      gsl_histogram_get_range (h, i, &lower, &edge);
      left -= n;
      if (left <= 0)
        break;
    }
  return edge;
}

/* Returns what to reserve for a resource of which a task declares DECLARED and
   earlier tasks used USED.  More than DECLARED is reserved as soon as a task
   has used more.  Less is reserved only with ENOUGH finished tasks, and never
   less than estimate.floor times DECLARED.  */
static int64_t
reservation_correct (const struct rr_policy *policy, int64_t declared,
                     double used, bool enough)
{
  double required = ceil (used * policy->estimate_margin);
  if (required > (double)declared)
    return (int64_t)required;
  if (!enough || declared == 0)
    return declared;
  double least = ceil ((double)declared * policy->estimate_floor);
  return (int64_t)fmax (required, least);
}

/* Fills OUT with what to reserve for a task of PROFILE that declares DECLARED
   and DECLARED_WORK_MS.  Accelerators, slots and connections are reserved as
   declared.  Memory is reserved by the largest recorded usage, because a
   worker stops a task that exceeds its memory; cores by estimate.quantile.  */
void
rr_estimate_get (const struct rr_estimate *e, uint64_t profile,
                 const struct rr_size *declared, double declared_work_ms,
                 struct rr_time now, struct rr_estimate_size *out)
{
  *out = (struct rr_estimate_size){ .size = *declared,
                                    .work_ms = declared_work_ms };
  const uint64_t *position = rr_id_map_find (&e->index, profile);
  if (position == NULL)
    return;
  const struct profile *p = &e->profiles[*position - 1];
  double f = exp2 (-(double)rr_time_diff (now, p->at)
                   / (double)e->policy->estimate_half_life_ms);
  out->samples = p->samples * f;
  /* The tolerance of half a sample makes estimate.min_samples tasks enough
     although the weights of the earlier ones have decayed a little.  */
  bool enough = out->samples >= (double)e->policy->estimate_min_samples - 0.5;
  out->size.cores_milli = reservation_correct (
      e->policy, declared->cores_milli,
      quantile (p->usage[CORES], e->policy->estimate_quantile), enough);
  out->size.memory_mb = reservation_correct (
      e->policy, declared->memory_mb, quantile (p->usage[MEMORY], 1), enough);
  if (enough)
    out->work_ms = quantile (p->usage[WORK], 0.5);
  out->corrected = out->size.cores_milli != declared->cores_milli
                   || out->size.memory_mb != declared->memory_mb
                   || out->work_ms != declared_work_ms;
}

/* Compares the latest usage of a running task with its reservation.  RESERVED
   is what the ledger reserves for it, WORKER_FREE the free capacity of the
   worker in addition to that.  SIZE receives the reservation that the task
   needs, which never shrinks while the task runs.  With RR_OVERUSE_MOVE, the
   worker does not have that capacity, and the task must leave it before it
   uses memory that is reserved for others.  */
enum rr_estimate_overuse
rr_estimate_overuse (const struct rr_estimate *e,
                     const struct rr_size *reserved,
                     const struct rr_size *declared, double used_cores_milli,
                     double used_memory_mb, const struct rr_size *worker_free,
                     struct rr_size *size)
{
  const struct rr_policy *policy = e->policy;
  *size = *reserved;
  if (used_memory_mb
      > policy->estimate_outgrow_ratio * (double)reserved->memory_mb)
    size->memory_mb = (int64_t)ceil (used_memory_mb * policy->estimate_margin);
  /* Cores can be shared and throttled, so the reservation is raised only when
     the usage exceeds it, and at most to the declared value.  */
  if (used_cores_milli > (double)reserved->cores_milli
      && declared->cores_milli > reserved->cores_milli)
    size->cores_milli
        = (int64_t)fmin (ceil (used_cores_milli * policy->estimate_margin),
                         (double)declared->cores_milli);
  if (size->memory_mb <= reserved->memory_mb
      && size->cores_milli <= reserved->cores_milli)
    {
      *size = *reserved;
      return RR_OVERUSE_NONE;
    }
  if (size->memory_mb - reserved->memory_mb <= worker_free->memory_mb)
    {
      /* The task runs with too few cores, only more slowly: reserve what is
         free.  */
      if (size->cores_milli - reserved->cores_milli > worker_free->cores_milli)
        size->cores_milli = reserved->cores_milli + worker_free->cores_milli;
      return RR_OVERUSE_GROW;
    }
  /* With a small increase, a task could be moved many times until its memory
     reaches the peak; growing by a factor limits the number of moves.  */
  int64_t least = (int64_t)ceil (MOVE_GROWTH * (double)reserved->memory_mb);
  if (size->memory_mb < least)
    size->memory_mb = least;
  return RR_OVERUSE_MOVE;
}

/* Drops profiles that got no sample for ten half-lives and returns their
   number.  The weight of their samples is below a thousandth.  Meant to be
   called every few minutes.  */
size_t
rr_estimate_expire (struct rr_estimate *e, struct rr_time now)
{
  size_t before = e->count;
  for (size_t i = 0; i < e->count;)
    {
      struct profile *p = &e->profiles[i];
      if (rr_time_diff (now, p->at) < 10 * e->policy->estimate_half_life_ms)
        {
          i++;
          continue;
        }
      rr_id_map_remove (&e->index, p->id);
      profile_release (p);
      *p = e->profiles[--e->count];
      if (i < e->count)
        *rr_id_map_put (&e->index, p->id) = i + 1;
    }
  return before - e->count;
}
