#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryraild/shards_internal.h"

enum
{
  RETRY_MIN_MS = 200,
  RETRY_MAX_MS = 5000
};

/* Returns the busy_task of TASK, and creates it if there is none.  */
struct busy_task *
busy_task_get (struct shard *s, const struct rr_job *job, uint32_t task)
{
  struct shards *ss = s->ss;
  char name[TASK_NAME_SIZE];
  rr_task_name (job->spec.job, task, name, sizeof name);
  struct rr_handle h = rr_key_index_get (ss->busy_index, name);
  struct busy_task *b = rr_table_get (ss->busy, h);
  if (b != NULL)
    return b;
  b = rr_table_insert (ss->busy, &h);
  memset (b, 0, sizeof *b);
  b->shard = s;
  snprintf (b->job, sizeof b->job, "%s", job->spec.job);
  b->task = task;
  snprintf (b->name, sizeof b->name, "%s", name);
  rr_key_index_put (ss->busy_index, name, h);
  return b;
}

/* Returns the busy_task of the task called NAME, or null.  */
struct busy_task *
busy_task_find (struct shards *ss, const char *name)
{
  return rr_table_get (ss->busy, rr_key_index_get (ss->busy_index, name));
}

/* Removes and frees B.  */
void
busy_task_remove (struct shards *ss, struct busy_task *b)
{
  struct rr_handle h = rr_key_index_get (ss->busy_index, b->name);
  rr_key_index_remove (ss->busy_index, b->name);
  rr_table_remove (ss->busy, h);
}

/* Excludes the task from scans for a delay that doubles with each retry, up to
   a maximum.  */
void
busy_task_back_off (struct busy_task *b)
{
  int64_t delay = (int64_t)RETRY_MIN_MS << (b->retries < 5 ? b->retries : 5);
  if (delay > RETRY_MAX_MS)
    delay = RETRY_MAX_MS;
  b->retries++;
  b->call_in_progress = false;
  b->retry_at = rr_time_add (daemon_now (), delay);
}

/* Lets the next scan of the shard process the task again.  */
void
busy_task_resume (struct busy_task *b)
{
  b->call_in_progress = false;
  b->retry_at.ms = 0;
  b->shard->scan_needed = true;
}

static struct rr_job *
busy_task_job (const struct busy_task *b)
{
  if (!rr_shard_log_is_owner (b->shard->log))
    return NULL;
  return rr_job_store_find (rr_shard_log_shard_state (b->shard->log)->jobs,
                            b->job);
}

/* Queues R.  Its outcome only triggers the next scan of the jobs.  */
void
shard_record_queue (struct shard *s, struct rr_record *r)
{
  shard_append (s, r, pending_add (s->ss, PENDING_RECORD, NULL, ""), NULL);
}

/* Returns the clock offset known for an incarnation of a worker, or null.  */
struct worker_clock *
shards_clock_find (struct shards *ss, const char *worker, uint64_t incarnation)
{
  for (size_t i = 0; i < ss->clock_count; i++)
    if (ss->clocks[i].incarnation == incarnation
        && strcmp (ss->clocks[i].worker, worker) == 0)
      return &ss->clocks[i];
  return NULL;
}

/* Updates the offset of a worker's clock from a reading of it; a reading of 0
   means that none was taken.  When the table is full, a random entry is
   replaced.  */
void
shards_clock_update (struct shards *ss, const char *worker,
                     uint64_t incarnation, int64_t worker_now_ms)
{
  if (worker_now_ms == 0)
    return;
  struct worker_clock *c = shards_clock_find (ss, worker, incarnation);
  if (c == NULL)
    {
      size_t n = sizeof ss->clocks / sizeof ss->clocks[0];
      c = &ss->clocks[ss->clock_count < n
                          ? ss->clock_count++
                          : gsl_rng_uniform_int (ss->d->rng, n)];
      snprintf (c->worker, sizeof c->worker, "%s", worker);
      c->incarnation = incarnation;
    }
  c->offset_ms = worker_now_ms - daemon_now ().ms;
}

/* Describes an attempt of TASK for a ledger owner.  The result points to
   strings of JOB and to NAME.  */
peer_task
shards_task_args (struct shard *s, const struct rr_job *job, uint32_t task,
                  uint32_t attempt, const char *name)
{
  const struct rr_record_job_submitted *spec = &job->spec;
  return (peer_task){
    .task = (char *)name,
    .attempt = attempt,
    .shard = s->number,
    .shard_epoch = rr_shard_log_epoch (s->log),
    .kind = spec->kind == RR_JOB_SERVICE ? "service" : "batch",
    .service = (char *)spec->service,
    .task_class = (char *)spec->job_class,
    .team = (char *)spec->team,
    .cores_milli = spec->cores_milli,
    .memory_mb = spec->memory_mb,
    .accelerators = spec->accelerators,
    .work_ms = (u_quad_t)spec->work_ms,
    .checkpoint = job->tasks[task].checkpoint,
    .urgent = spec->urgent,
    .evictions = job->tasks[task].evictions,
  };
}

/* Marks a call about ATTEMPT as in progress and returns its context, which the
   completion callback frees.  */
struct task_call *
task_call_new (struct busy_task *b, uint32_t attempt)
{
  struct task_call *c = calloc (1, sizeof *c);
  assert (c != NULL);
  c->ss = b->shard->ss;
  snprintf (c->name, sizeof c->name, "%s", b->name);
  c->attempt = attempt;
  b->call_in_progress = true;
  b->reserving = false;
  b->attempt = attempt;
  return c;
}

/* Returns the busy_task that C is about and sets JOB, if this daemon still
   owns the shard and the task's call is still about the same attempt;
   otherwise null.  */
struct busy_task *
task_call_resolve (const struct task_call *c, struct rr_job **job)
{
  struct busy_task *b = busy_task_find (c->ss, c->name);
  if (b == NULL || !b->call_in_progress || b->attempt != c->attempt)
    return NULL;
  *job = busy_task_job (b);
  if (*job == NULL)
    {
      busy_task_remove (c->ss, b);
      return NULL;
    }
  return b;
}
