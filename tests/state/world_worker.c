#include <assert.h>
#include <string.h>

#include "world.h"

int64_t
worker_clock (const struct world *w, int worker)
{
  return w->now + w->workers[worker].clock_offset;
}

bool
worker_reachable (const struct world *w, int worker)
{
  const struct worker *v = &w->workers[worker];
  return !v->cut && !v->abandoned && v->vanished_ms == 0;
}

struct run *
worker_find_run (struct world *w, int worker, const char *task,
                 uint32_t attempt)
{
  for (int i = 0; i < w->run_count; i++)
    {
      struct run *r = &w->runs[i];
      if (r->worker == worker && r->attempt == attempt
          && strcmp (r->task, task) == 0)
        return r;
    }
  return NULL;
}

static struct run *
add_run (struct world *w, int worker, const char *task, uint32_t attempt)
{
  assert (w->run_count < RUNS_MAX);
  struct run *r = &w->runs[w->run_count++];
  memset (r, 0, sizeof *r);
  snprintf (r->task, sizeof r->task, "%s", task);
  r->attempt = attempt;
  r->worker = worker;
  return r;
}

/* Reports a task with another live attempt, or one that runs again although
   its success is recorded.  */
static void
check_only_run (struct world *w, const struct run *started)
{
  for (int i = 0; i < w->run_count; i++)
    {
      const struct run *r = &w->runs[i];
      if (r == started || strcmp (r->task, started->task) != 0)
        continue;
      if (r->live)
        world_violation (w, "%s attempt %u starts while attempt %u runs on %s",
                         started->task, started->attempt, r->attempt,
                         w->workers[r->worker].name);
      else if (r->recorded)
        world_violation (w, "%s attempt %u starts after attempt %u succeeded",
                         started->task, started->attempt, r->attempt);
    }
}

/* Starts an attempt under the rules of a real worker.  */
enum rr_start_response
worker_start (struct world *w, const struct start *s)
{
  struct worker *v = &w->workers[s->worker];
  char task[RR_NAME_MAX + 16];
  rr_task_name (s->job, s->task, task, sizeof task);
  const char *refused = NULL;
  struct run *r = worker_find_run (w, s->worker, task, s->attempt);
  if (v->vanished_ms != 0)
    return RR_START_NO_RESPONSE;
  if (s->shard_epoch < v->shard_epoch)
    refused = "stale-shard-epoch";
  else if (worker_clock (w, s->worker) > s->void_after_ms)
    refused = "void";
  else if (r != NULL)
    refused = r->sealed ? "sealed" : "duplicate";
  if (refused != NULL)
    {
      world_log (w, "%s refuses %s attempt %u: %s", v->name, task, s->attempt,
                 refused);
      return RR_START_REFUSED;
    }
  v->shard_epoch = s->shard_epoch;
  r = add_run (w, s->worker, task, s->attempt);
  r->live = true;
  r->until_ms = worker_clock (w, s->worker) + LEASE_MS;
  r->granted_until_ms = s->granted_until_ms;
  r->ends_ms = w->now + s->work_ms;
  world_log (w, "%s starts %s attempt %u%s%s", v->name, task, s->attempt,
             s->checkpoint[0] != '\0' ? " from " : "", s->checkpoint);
  check_only_run (w, r);
  return RR_START_ACCEPTED;
}

/* Answers a seal: an attempt that is not known never starts from now on.
   Returns null if the shard epoch is stale.  */
struct run *
worker_seal (struct world *w, int worker, const char *task, uint32_t attempt,
             uint64_t shard_epoch)
{
  struct worker *v = &w->workers[worker];
  if (shard_epoch < v->shard_epoch)
    return NULL;
  v->shard_epoch = shard_epoch;
  struct run *r = worker_find_run (w, worker, task, attempt);
  if (r == NULL)
    {
      r = add_run (w, worker, task, attempt);
      r->sealed = true;
    }
  world_log (w, "%s seals %s attempt %u: %s", v->name, task, attempt,
             r->sealed ? "never"
             : r->live ? "running"
                       : "ended");
  return r;
}

void
worker_stop (struct world *w, struct run *r, enum rr_attempt_result result,
             const char *checkpoint)
{
  if (!r->live)
    return;
  r->live = false;
  r->result = result;
  snprintf (r->checkpoint, sizeof r->checkpoint, "%s", checkpoint);
  world_log (w, "%s ends %s attempt %u: %s%s%s", w->workers[r->worker].name,
             r->task, r->attempt, rr_attempt_result_name (result),
             checkpoint[0] != '\0' ? " " : "", checkpoint);
}

/* Ends the attempts whose work is done or whose lease is over, and renews the
   others within their grants.  */
void
worker_step (struct world *w)
{
  for (int i = 0; i < w->run_count; i++)
    {
      struct run *r = &w->runs[i];
      if (!r->live)
        continue;
      struct worker *v = &w->workers[r->worker];
      int64_t clock = worker_clock (w, r->worker);
      if (!v->abandoned)
        r->until_ms = clock + LEASE_MS;
      if (clock >= r->until_ms || clock >= r->granted_until_ms)
        worker_stop (w, r, RR_RESULT_LOST, "");
      else if (w->now >= r->ends_ms)
        worker_stop (w, r, RR_RESULT_SUCCEEDED, "");
    }
}

/* Takes the worker out of the VM list; its attempts end with it.  */
void
worker_vanish (struct world *w, int worker)
{
  struct worker *v = &w->workers[worker];
  v->vanished_ms = w->now;
  for (int i = 0; i < w->run_count; i++)
    if (w->runs[i].worker == worker)
      worker_stop (w, &w->runs[i], RR_RESULT_LOST, "");
}

/* Asks every daemon of the worker's zone for the proof that no renewal is in
   force; with it they give up this incarnation for good.  */
bool
worker_prove_lease (struct world *w, int worker)
{
  if (!w->workers[worker].abandoned)
    return false;
  for (int i = 0; i < w->run_count; i++)
    if (w->runs[i].worker == worker && w->runs[i].live
        && worker_clock (w, worker) <= w->runs[i].until_ms)
      return false;
  w->workers[worker].forsaken = true;
  return true;
}
