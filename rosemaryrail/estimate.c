#include "rosemaryrail/estimate.h"

#include <gsl/gsl_histogram.h>
#include <math.h>
#include <stdlib.h>

#include "rosemaryrail/id_map.h"

/* Bins are 2^(1/8) wide, so a quantile is at most 9% too high.  256 of them
   reach from 1 to 2^32 thousandths of a core, MB or ms (50 days).  */
#define BINS_PER_OCTAVE 8
#define BINS 256

/* A task that is moved because it outgrew its worker gets at least this many
   times the memory it had.  */
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
  struct rr_time at; /* of the last sample, to which weights refer */
  double samples;    /* finished tasks */
  gsl_histogram *usage[MEASURES];
};

struct rr_estimate
{
  const struct rr_policy *policy;
  struct rr_id_map index; /* profile id: position + 1 */
  struct profile *profiles;
  size_t count;
  size_t capacity;
};

/* Returns an empty store; the caller frees it with rr_estimate_free.  POLICY
   must outlive it.  Aborts when memory is exhausted.  */
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

/* Adds one value, held inside the range of the histogram.  */
static void
add (gsl_histogram *h, double x)
{
  gsl_histogram_increment (h, fmin (fmax (x, 1), exp2 (31.9)));
}

/* Learns from USAGE.  An unfinished task (work_ms 0) may only raise the
   estimates: its peak so far is a lower bound.  */
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
  add (p->usage[CORES], usage->cores_milli);
  add (p->usage[MEMORY], usage->memory_mb);
  if (usage->work_ms > 0)
    {
      add (p->usage[WORK], usage->work_ms);
      p->samples += 1;
    }
}

/* Returns the upper edge of the bin that holds quantile Q, or 0.  */
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

/* Returns what to reserve for a resource declared as DECLARED and seen to use
   SEEN: at once more when tasks use more, less only once ENOUGH tasks have
   finished, and never below the floor.  */
static int64_t
corrected (const struct rr_policy *policy, int64_t declared, double seen,
           bool enough)
{
  double wanted = ceil (seen * policy->estimate_margin);
  if (wanted > (double)declared)
    return (int64_t)wanted;
  if (!enough || declared == 0)
    return declared;
  double least = ceil ((double)declared * policy->estimate_floor);
  return (int64_t)fmax (wanted, least);
}

/* Fills OUT with what to reserve for a task of PROFILE that declares DECLARED
   and DECLARED_WORK_MS.  Accelerators, slots and connections are never
   corrected.  Memory follows the largest usage remembered, because a worker
   stops a task that exceeds its memory; cores follow a quantile.  */
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
  /* Half a sample of tolerance, so that the decay between samples does not
     ask for one more than the setting says.  */
  bool enough = out->samples >= (double)e->policy->estimate_min_samples - 0.5;
  out->size.cores_milli = corrected (
      e->policy, declared->cores_milli,
      quantile (p->usage[CORES], e->policy->estimate_quantile), enough);
  out->size.memory_mb = corrected (e->policy, declared->memory_mb,
                                   quantile (p->usage[MEMORY], 1), enough);
  if (enough)
    out->work_ms = quantile (p->usage[WORK], 0.5);
  out->corrected = out->size.cores_milli != declared->cores_milli
                   || out->size.memory_mb != declared->memory_mb
                   || out->work_ms != declared_work_ms;
}

/* Judges a running task by its latest usage.  RESERVED is what the ledger
   holds for it, WORKER_FREE what the worker has free beside it.  SIZE receives
   the reservation the task needs; it never shrinks while the task runs.  On
   RR_OVERUSE_MOVE the worker can't hold that size, and the task has to go
   before it takes what others were promised.  */
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
  /* Cores can be shared and throttled, so only use above the reservation
     counts, and the growth stops at the declared value.  */
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
      /* Too few free cores only slow the task down.  */
      if (size->cores_milli - reserved->cores_milli > worker_free->cores_milli)
        size->cores_milli = reserved->cores_milli + worker_free->cores_milli;
      return RR_OVERUSE_GROW;
    }
  /* Growing by a fixed step could move a task again and again on its way to
     its peak; a factor bounds the number of moves.  */
  int64_t least = (int64_t)ceil (MOVE_GROWTH * (double)reserved->memory_mb);
  if (size->memory_mb < least)
    size->memory_mb = least;
  return RR_OVERUSE_MOVE;
}

/* Forgets profiles without a sample for ten half-lives, whose weight is below
   a thousandth; returns how many.  Meant to be called every few minutes.  */
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
