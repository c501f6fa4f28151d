#include "rosemaryentryd/shard_fit.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryrail/queues.h"

/* Compares the steps of a job with the registered workers of each shard, by
   the conditions under which the dispatcher selects a worker.  */

/* Returns the service whose workers run G: that of its queue now, or on
   acceptance if the queue is gone.  */
static const char *
job_service (const struct entry *e, const struct rr_job_graph *g)
{
  const struct rr_queues *q = e->queues;
  for (size_t i = 0; q != NULL && i < q->route_count; i++)
    if (strcmp (q->routes[i].policy.queue, g->queue) == 0
        && q->routes[i].policy.service[0] != '\0')
      return q->routes[i].policy.service;
  return g->service;
}

/* Returns the rack of the first step of G that names one, or "".  */
static const char *
first_rack (const struct rr_job_graph *g)
{
  for (size_t i = 0; i < g->step_count; i++)
    if (g->steps[i].rack[0] != '\0')
      return g->steps[i].rack;
  return "";
}

/* Returns LIMIT, or AVAILABLE / NEEDED if that is less.  */
static int64_t
limit_tasks (int64_t limit, int64_t available, int64_t needed)
{
  if (needed <= 0 || available / needed >= limit)
    return limit;
  return available / needed;
}

/* Returns how many tasks of S can run at a time on the idle worker W, at most
   LIMIT.  */
static int64_t
worker_room (const struct rr_worker_info *w, const struct rr_job_graph_step *s,
             int64_t limit)
{
  if (s->required_label[0] != '\0'
      && !rr_worker_has_label (w, s->required_label))
    return 0;
  int64_t cores = w->cores_milli;
  /* The dispatcher starts the last one where this share is unused.  */
  if (s->best_effort)
    cores += s->cores_milli * (100 - RR_BEST_EFFORT_UNUSED_MIN_PERCENT) / 100;
  limit = limit_tasks (limit, cores, s->cores_milli);
  limit = limit_tasks (limit, w->memory_mb, s->memory_mb);
  limit = limit_tasks (limit, w->accelerators, s->accelerators);
  if (s->per_worker_max > 0 && s->per_worker_max < limit)
    limit = s->per_worker_max;
  return limit > 0 ? limit : 0;
}

/* Returns how many tasks of S must run at a time for it to run.  */
static int32_t
step_room_needed (const struct rr_job_graph_step *s)
{
  return s->gang ? s->task_count : 1;
}

/* Returns whether the workers of SHARD can run a step of G that is ready by
   STATES.  Stops at the first one, since this is asked for each waiting job
   and nearly always true.  */
bool
shard_fit_any_ready (struct entry *e, const struct shard_record *shard,
                     const struct rr_job_graph *g,
                     const enum rr_step_state *states)
{
  const char *service = job_service (e, g);
  for (size_t i = 0; i < g->step_count; i++)
    {
      int32_t needed = step_room_needed (&g->steps[i]);
      struct rr_handle h = { 0 };
      const struct platform_worker *w;
      while (states[i] == RR_STEP_READY && needed > 0
             && (w = records_worker_next (e->records, &h)) != NULL)
        if (!w->info.draining
            && records_shard_of_worker (e->records, w) == shard
            && strcmp (w->info.service, service) == 0)
          needed -= (int32_t)worker_room (&w->info, &g->steps[i], needed);
      if (needed <= 0)
        return true;
    }
  return false;
}

/* Adds the worker W of the shard number SHARD to F.  */
static void
fits_add_worker (struct shard_fits *f, size_t shard,
                 const struct rr_worker_info *w, const struct rr_job_graph *g,
                 const char *rack)
{
  struct shard_fit *fit = &f->shards[shard];
  fit->capacity_milli += w->cores_milli;
  if (worker_room (w, &g->steps[0], 1) == 0)
    fit->unfit_milli += w->cores_milli;
  fit->has_rack = fit->has_rack || rr_worker_has_label (w, rack);
  int32_t *room = &f->room[shard * f->step_count];
  for (size_t i = 0; i < f->step_count; i++)
    if (room[i] < f->room_needed[i])
      room[i] += (int32_t)worker_room (w, &g->steps[i],
                                       f->room_needed[i] - room[i]);
}

/* Computes F, what each shard can run of G.  */
void
shard_fits_init (struct shard_fits *f, struct entry *e,
                 const struct rr_job_graph *g)
{
  memset (f, 0, sizeof *f);
  f->shard_count = records_shard_count (e->records);
  f->step_count = g->step_count;
  f->room = calloc (f->shard_count * f->step_count + 1, sizeof *f->room);
  f->room_needed = calloc (f->step_count + 1, sizeof *f->room_needed);
  assert (f->room != NULL && f->room_needed != NULL);
  for (size_t i = 0; i < f->step_count; i++)
    f->room_needed[i] = step_room_needed (&g->steps[i]);
  if (f->shard_count == 0)
    return;
  const char *service = job_service (e, g);
  const char *rack = first_rack (g);
  for (size_t i = 0; i < f->shard_count; i++)
    f->shards[i].has_rack = rack[0] == '\0';
  const struct shard_record *first = records_shard_at (e->records, 0);
  struct rr_handle h = { 0 };
  const struct platform_worker *w;
  while ((w = records_worker_next (e->records, &h)) != NULL)
    if (!w->info.draining && strcmp (w->info.service, service) == 0)
      fits_add_worker (
          f, (size_t)(records_shard_of_worker (e->records, w) - first),
          &w->info, g, rack);
}

void
shard_fits_clear (struct shard_fits *f)
{
  free (f->room);
  free (f->room_needed);
  f->room = NULL;
  f->room_needed = NULL;
}

/* Returns whether the workers of the shard number SHARD can run STEP.  */
bool
shard_fits_step (const struct shard_fits *f, size_t shard, size_t step)
{
  return f->room[shard * f->step_count + step] >= f->room_needed[step];
}

/* Returns how many steps in a state of LEAST or above, by STATES, the workers
   of the shard number SHARD can run.  */
size_t
shard_fits_count (const struct shard_fits *f, size_t shard,
                  const enum rr_step_state *states, enum rr_step_state least)
{
  size_t n = 0;
  for (size_t i = 0; i < f->step_count; i++)
    n += states[i] >= least && shard_fits_step (f, shard, i);
  return n;
}

/* Returns whether the shard number SHARD can run each step that is left, by
   STATES, and that the shard number OTHER can run.  */
bool
shard_fits_includes (const struct shard_fits *f, size_t shard, size_t other,
                     const enum rr_step_state *states)
{
  for (size_t i = 0; i < f->step_count; i++)
    if (states[i] != RR_STEP_OVER && shard_fits_step (f, other, i)
        && !shard_fits_step (f, shard, i))
      return false;
  return true;
}

/* Returns what the workers of all shards lack that STEP of G needs: the first
   condition that no worker meets which meets those before.  */
const char *
shard_fit_missing (struct entry *e, const struct rr_job_graph *g, size_t step)
{
  static const char *const reasons[]
      = { "service", "label", "cores", "memory", "accelerators", "gang" };
  const struct rr_job_graph_step *s = &g->steps[step];
  const char *service = job_service (e, g);
  size_t met_most = 0;
  struct rr_handle h = { 0 };
  const struct platform_worker *w;
  while ((w = records_worker_next (e->records, &h)) != NULL)
    {
      if (w->info.draining || strcmp (w->info.service, service) != 0)
        continue;
      /* The needs of S up to and including each condition.  */
      struct rr_job_graph_step part = *s;
      part.cores_milli = part.memory_mb = part.accelerators = 0;
      size_t met = 1;
      if (worker_room (&w->info, &part, 1) > 0)
        {
          met = 2;
          part.cores_milli = s->cores_milli;
          met += worker_room (&w->info, &part, 1) > 0;
          part.memory_mb = s->memory_mb;
          met += met == 3 && worker_room (&w->info, &part, 1) > 0;
          part.accelerators = s->accelerators;
          met += met == 4 && worker_room (&w->info, &part, 1) > 0;
        }
      if (met > met_most)
        met_most = met;
    }
  return reasons[met_most];
}
