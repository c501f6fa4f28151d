#include "world.h"

#include <gsl/gsl_randist.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Network time between callers and an entry VM, one way.  */
#define CALLER_MS 3.0

/* Scatter of execution times: sigma of the log.  */
#define EXECUTION_SIGMA 0.35

/* Work between two checkpoints of a task.  */
#define CHECKPOINT_EVERY_MS 60000

const struct deployment deployments[2] = {
  { .name = "heshima",
    .workers = 50,
    .zones = 3,
    .cores = 32,
    .memory_mb = 125000,
    .hop_ms = 0.5,
    .instances = { 36, 18 },
    .rate_per_s = { 600, 60 },
    .service_ms = { 30, 60 },
    .deadline_ms = { 250, 1000 },
    .task_cores = { 1, 2, 4, 8 } },
  { .name = "kamnik",
    .workers = 65,
    .zones = 4,
    .cores = 16,
    .memory_mb = 60000,
    .hop_ms = 1,
    .instances = { 40, 20 },
    .rate_per_s = { 600, 60 },
    .service_ms = { 30, 60 },
    .deadline_ms = { 250, 1000 },
    .task_cores = { 1, 1, 2, 4 } },
};

/* Fills the hidden table: for each service, two batch classes are noisy, two
   middling and the others quiet, in an order of its own, because what disturbs
   one service may be harmless to another.  */
static void
table_fill (struct world *w)
{
  int order[CLASSES];
  for (int s = 0; s < SERVICES; s++)
    {
      for (int b = 0; b < CLASSES; b++)
        order[b] = b;
      gsl_ran_shuffle (w->rng, order, CLASSES, sizeof order[0]);
      for (int b = 0; b < CLASSES; b++)
        w->table[s][order[b]] = b < 2   ? gsl_ran_flat (w->rng, 1.5, 4)
                                : b < 4 ? gsl_ran_flat (w->rng, 0.3, 0.8)
                                        : gsl_ran_flat (w->rng, 0, 0.1);
    }
  for (int b = 0; b < CLASSES; b++)
    w->back[b] = gsl_ran_flat (w->rng, 0, 0.3);
}

/* Sets up the workers of D without any task.  */
void
world_init (struct world *w, const struct deployment *d, unsigned seed)
{
  memset (w, 0, sizeof *w);
  w->deployment = d;
  w->rng = gsl_rng_alloc (gsl_rng_mt19937);
  w->rng_work = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (w->rng, seed);
  gsl_rng_set (w->rng_work, seed + 1000);
  table_fill (w);
  w->workers = calloc ((size_t)d->workers, sizeof *w->workers);
  w->instances = calloc ((size_t)d->instances[0] + (size_t)d->instances[1],
                         sizeof *w->instances);
  if (w->workers == NULL || w->instances == NULL)
    abort ();
  for (int i = 0; i < d->workers; i++)
    {
      w->workers[i].rack = i / 8;
      w->workers[i].zone = i / 8 % d->zones;
      for (int s = 0; s < SERVICES; s++)
        w->workers[i].slowdown[s] = 1;
    }
}

/* Releases everything W holds.  */
void
world_release (struct world *w)
{
  gsl_rng_free (w->rng);
  gsl_rng_free (w->rng_work);
  free (w->workers);
  free (w->instances);
  free (w->tasks);
}

/* Changes the hidden table: every class takes the effects of another.  */
void
world_table_change (struct world *w)
{
  for (int s = 0; s < SERVICES; s++)
    {
      double old[CLASSES];
      memcpy (old, w->table[s], sizeof old);
      for (int b = 0; b < CLASSES; b++)
        w->table[s][b] = old[(b + 3) % CLASSES];
    }
}

/* Adds an instance of SERVICE on WORKER.  */
void
world_instance_add (struct world *w, int service, int worker)
{
  w->instances[w->instance_count++]
      = (struct instance){ .worker = worker, .service = service };
  w->workers[worker].instances[service]++;
}

/* Returns the position of a new, zeroed task.  */
int
world_task_new (struct world *w)
{
  if (w->task_count == w->task_capacity)
    {
      w->task_capacity = w->task_capacity == 0 ? 1024 : w->task_capacity * 2;
      w->tasks
          = realloc (w->tasks, (size_t)w->task_capacity * sizeof *w->tasks);
      if (w->tasks == NULL)
        abort ();
    }
  memset (&w->tasks[w->task_count], 0, sizeof w->tasks[0]);
  w->tasks[w->task_count].worker = -1;
  w->tasks[w->task_count].avoid = -1;
  w->tasks[w->task_count].percent = 100;
  return w->task_count++;
}

/* Returns the memory T uses now: it climbs from half to the peak while the
   first half of the work is done.  */
double
world_memory_now (const struct task *t)
{
  return t->memory_mb * fmin (1, 0.5 + t->done_ms / t->work_ms);
}

/* Starts TASK on WORKER from its last checkpoint.  */
void
world_task_start (struct world *w, int task, int worker, int64_t now)
{
  struct worker *k = &w->workers[worker];
  struct task *t = &w->tasks[task];
  k->tasks[k->task_count++] = task;
  t->worker = worker;
  t->started_at = now;
  if (t->first_start == 0)
    t->first_start = now;
  t->percent = 100;
  t->done_ms = t->checkpoint_ms;
  t->next_checkpoint_at = now + CHECKPOINT_EVERY_MS;
  t->fail_at = 0;
  if (t->bad || now < k->failing_until)
    t->fail_at = now + 500 + (int64_t)gsl_rng_uniform_int (w->rng_work, 1500);
}

/* Takes TASK off its worker.  */
void
world_task_remove (struct world *w, int task)
{
  struct worker *k = &w->workers[w->tasks[task].worker];
  for (int i = 0; i < k->task_count; i++)
    if (k->tasks[i] == task)
      {
        k->tasks[i] = k->tasks[--k->task_count];
        break;
      }
  w->tasks[task].worker = -1;
}

/* Runs one request of SERVICE that is due at AT: picks the instance with the
   shorter queue out of two, refuses it when it would miss its deadline while
   waiting, else runs it.  Returns the latency from AT, in ms; REFUSED tells
   that it was not run.  */
double
world_request (struct world *w, int service, double at, bool *refused)
{
  const struct deployment *d = w->deployment;
  int first = service == 0 ? 0 : d->instances[0];
  struct instance *best = NULL;
  int best_server = 0;
  for (int i = 0; i < 2; i++)
    {
      struct instance *c
          = &w->instances[first
                          + (int)gsl_rng_uniform_int (
                              w->rng_work,
                              (unsigned long)d->instances[service])];
      int server = c->free_at[0] <= c->free_at[1] ? 0 : 1;
      if (best == NULL || c->free_at[server] < best->free_at[best_server])
        {
          best = c;
          best_server = server;
        }
    }
  struct worker *k = &w->workers[best->worker];
  double hop = w->workers[0].zone == k->zone ? 0 : d->hop_ms;
  double start = fmax (at + CALLER_MS + hop, best->free_at[best_server]);
  double execution = d->service_ms[service]
                     * gsl_ran_lognormal (w->rng_work, 0, EXECUTION_SIGMA)
                     * k->slowdown[service];
  *refused = start + d->service_ms[service] > at + d->deadline_ms[service];
  if (*refused)
    return 0;
  double finish = start + execution;
  best->free_at[best_server] = finish;
  struct window *win = &k->window[(int64_t)(finish / WINDOW_MS) % WINDOWS];
  win->requests[service]++;
  win->execution_ms[service] += execution;
  return finish + hop + CALLER_MS - at;
}

/* Recomputes how much the batch work on K slows its services.  */
static void
slowdown_update (struct world *w, struct worker *k)
{
  for (int s = 0; s < SERVICES; s++)
    {
      double x = 1;
      for (int i = 0; i < k->task_count; i++)
        {
          const struct task *t = &w->tasks[k->tasks[i]];
          x += w->table[s][t->class_number] * t->cores * t->percent / 100
               / w->deployment->cores * (0.5 + 0.5 * w->load[s]);
        }
      k->slowdown[s] = x;
    }
}

/* Returns the speed of the batch work on K as a share of the full one: cores
   are shared when too many are wanted.  */
static double
speed_of (const struct world *w, const struct worker *k)
{
  double wanted = 0;
  for (int i = 0; i < k->task_count; i++)
    wanted
        += w->tasks[k->tasks[i]].cores * w->tasks[k->tasks[i]].percent / 100;
  double room = w->deployment->cores - k->instances[0] - k->instances[1];
  return wanted > room ? room / wanted : 1;
}

/* Advances all batch tasks by one tick that ends at NOW.  Fills EVENTS, at
   most LIMIT of them, with what happened and returns their number; adds the
   work done to WORK_CORE_MS.  */
int
world_tick (struct world *w, int64_t now, struct world_event *events,
            int limit, double *work_core_ms)
{
  int count = 0;
  for (int i = 0; i < w->deployment->workers; i++)
    {
      struct worker *k = &w->workers[i];
      struct window *win = &k->window[(now - 1) / WINDOW_MS % WINDOWS];
      double speed = speed_of (w, k);
      double services = k->instances[0] + k->instances[1];
      win->ticks++;
      for (int j = 0; j < k->task_count; j++)
        {
          struct task *t = &w->tasks[k->tasks[j]];
          double rate = speed * t->percent / 100
                        / (1 + w->back[t->class_number] * services / SLOTS);
          double gain = fmin (TICK_MS * rate, t->work_ms - t->done_ms);
          t->done_ms += gain;
          t->run_ms += TICK_MS;
          *work_core_ms += gain * t->cores;
          win->share[t->class_number]
              += t->cores * t->percent / 100 * speed / w->deployment->cores;
          if (t->can_checkpoint && now >= t->next_checkpoint_at)
            {
              t->checkpoint_ms = t->done_ms;
              t->next_checkpoint_at = now + CHECKPOINT_EVERY_MS;
            }
          if (count == limit)
            continue;
          if (t->fail_at != 0 && now >= t->fail_at)
            events[count++] = (struct world_event){ k->tasks[j], TASK_FAILED };
          else if (t->done_ms >= t->work_ms - 0.5)
            events[count++]
                = (struct world_event){ k->tasks[j], TASK_FINISHED };
          else if (world_memory_now (t) > (double)t->reserved.memory_mb)
            events[count++]
                = (struct world_event){ k->tasks[j], TASK_OVER_MEMORY };
        }
      slowdown_update (w, k);
    }
  return count;
}
