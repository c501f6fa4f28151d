#include "rosemaryrail/batch_queue.h"

#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "batch_queue_state.h"

/* Returns an empty queue; the caller frees it with rr_batch_queue_free.
   POLICY must outlive it.  Aborts when memory is exhausted.  */
struct rr_batch_queue *
rr_batch_queue_new (const struct rr_policy *policy)
{
  struct rr_batch_queue *q = calloc (1, sizeof *q);
  if (q == NULL)
    abort ();
  q->policy = policy;
  q->job_count = 1;
  q->task_count = 1;
  q->team_count = 1;
  return q;
}

/* Frees Q, which may be null.  */
void
rr_batch_queue_free (struct rr_batch_queue *q)
{
  if (q == NULL)
    return;
  rr_id_map_free (&q->team_index);
  rr_id_map_free (&q->job_index);
  rr_id_map_free (&q->task_index);
  free (q->teams);
  free (q->jobs);
  free (q->tasks);
  free (q->timers);
  free (q);
}

static struct rr_queue_job *
job_find (const struct rr_batch_queue *q, uint64_t job)
{
  const uint64_t *position = rr_id_map_find (&q->job_index, job);
  return position == NULL ? NULL : &q->jobs[*position];
}

/* Returns TEAM, which is added if needed.  Adding may move the array.  */
static struct rr_queue_team *
team_get (struct rr_batch_queue *q, uint64_t team)
{
  uint32_t position = rr_queue_team_get (q, team);
  return &q->teams[position];
}

/* Makes the first job of LIST of team T ready.  Returns false when there is
   none.  */
static bool
first_job_release (struct rr_batch_queue *q, struct rr_queue_team *t,
                   enum rr_job_list list)
{
  uint32_t job = t->first[list];
  if (job == 0)
    return false;
  rr_queue_job_move (q, job, rr_queue_ready_list (&q->jobs[job]));
  return true;
}

/* Sets the capacity of the fleet, relative to which shares are computed.
   Unschedulable jobs become ready again.  */
void
rr_batch_queue_capacity_set (struct rr_batch_queue *q,
                             const struct rr_size *total)
{
  q->total = *total;
  for (size_t i = 1; i < q->team_count; i++)
    while (first_job_release (q, &q->teams[i], RR_JOB_UNSCHEDULABLE))
      ;
}

/* Sets the weight and limit of a team, which is added if needed.  The defaults
   are a weight of 1 and no limit; the minimum weight is 0.001.  */
void
rr_batch_queue_team_set (struct rr_batch_queue *q,
                         const struct rr_batch_team *team)
{
  struct rr_queue_team *t = team_get (q, team->team);
  t->team = *team;
  t->team.weight = fmax (team->weight, 0.001);
  while (first_job_release (q, t, RR_JOB_OVER_LIMIT))
    ;
}

/* Adds JOB without tasks.  Fails with RR_ERROR_CONFLICT when it was added
   before.  */
bool
rr_batch_queue_job_add (struct rr_batch_queue *q,
                        const struct rr_batch_job *job, struct rr_error *err)
{
  if (job_find (q, job->job) != NULL)
    return rr_error_set (err, RR_ERROR_CONFLICT, "job is already queued");
  uint32_t i = q->free_job;
  assert (i == 0 || q->jobs != NULL);
  if (i != 0)
    q->free_job = q->jobs[i].next;
  else
    {
      q->jobs = rr_queue_grow (q->jobs, &q->job_capacity, q->job_count + 1,
                               sizeof *q->jobs);
      i = (uint32_t)q->job_count++;
    }
  /* The generation goes on from that of an earlier job in this entry, so that
     timers of that job stay stale.  */
  uint32_t timer_generation = q->jobs[i].timer_generation + 1;
  q->jobs[i] = (struct rr_queue_job){ .job = *job,
                                      .timer_generation = timer_generation };
  q->jobs[i].team = rr_queue_team_get (q, job->team);
  *rr_id_map_put (&q->job_index, job->job) = i;
  return true;
}

/* Sets the size of JOB's queued tasks.  If the size changes, the job becomes
   ready again unless it backs off.  Returns false when the job is unknown.  */
bool
rr_batch_queue_job_resize (struct rr_batch_queue *q, uint64_t job,
                           const struct rr_size *size)
{
  struct rr_queue_job *j = job_find (q, job);
  if (j == NULL)
    return false;
  bool same = rr_size_equal (&j->job.size, size);
  j->job.size = *size;
  if (!same && j->reason != RR_BATCH_BLOCK_BACKOFF)
    rr_queue_job_move (q, (uint32_t)(j - q->jobs), rr_queue_ready_list (j));
  return true;
}

/* Adds TASK to JOB's queued tasks, at the front or at the end.  */
static bool
task_insert (struct rr_batch_queue *q, uint64_t job, uint64_t task, bool front,
             struct rr_error *err)
{
  struct rr_queue_job *j = job_find (q, job);
  if (j == NULL)
    return rr_error_set (err, RR_ERROR_NOT_FOUND, "job is not queued");
  uint64_t *position
      = rr_id_map_put (&q->task_index, rr_id_combine (job, task));
  if (*position != 0)
    return rr_error_set (err, RR_ERROR_CONFLICT, "task is already queued");
  uint32_t i = q->free_task;
  if (i != 0)
    q->free_task = q->tasks[i].next;
  else
    {
      q->tasks = rr_queue_grow (q->tasks, &q->task_capacity, q->task_count + 1,
                                sizeof *q->tasks);
      i = (uint32_t)q->task_count++;
    }
  *position = i;
  struct rr_queue_task *t = &q->tasks[i];
  *t = (struct rr_queue_task){ .id = task };
  if (front)
    {
      t->next = j->first_task;
      *(j->first_task != 0 ? &q->tasks[j->first_task].previous : &j->last_task)
          = i;
      j->first_task = i;
    }
  else
    {
      t->previous = j->last_task;
      *(j->last_task != 0 ? &q->tasks[j->last_task].next : &j->first_task) = i;
      j->last_task = i;
    }
  j->tasks++;
  q->list_tasks[j->list]++;
  if (j->list == RR_JOB_IDLE)
    rr_queue_job_move (q, (uint32_t)(j - q->jobs), rr_queue_ready_list (j));
  return true;
}

/* Queues TASK behind the other tasks of JOB.  Fails with RR_ERROR_NOT_FOUND
   when the job is unknown, and with RR_ERROR_CONFLICT when the task is already
   queued.  */
bool
rr_batch_queue_task_add (struct rr_batch_queue *q, uint64_t job, uint64_t task,
                         struct rr_error *err)
{
  return task_insert (q, job, task, false, err);
}

/* Queues TASK, which was evicted or lost its worker, in front of the other
   tasks of JOB.  Fails as rr_batch_queue_task_add does.  */
bool
rr_batch_queue_task_return (struct rr_batch_queue *q, uint64_t job,
                            uint64_t task, struct rr_error *err)
{
  return task_insert (q, job, task, true, err);
}

/* Removes TASK from the queued tasks of J.  */
static void
task_remove (struct rr_batch_queue *q, struct rr_queue_job *j, uint32_t task)
{
  struct rr_queue_task *t = &q->tasks[task];
  rr_id_map_remove (&q->task_index, rr_id_combine (j->job.job, t->id));
  *(t->previous != 0 ? &q->tasks[t->previous].next : &j->first_task) = t->next;
  *(t->next != 0 ? &q->tasks[t->next].previous : &j->last_task) = t->previous;
  t->next = q->free_task;
  q->free_task = task;
  j->tasks--;
  q->list_tasks[j->list]--;
  if (j->tasks == 0)
    rr_queue_job_move (q, (uint32_t)(j - q->jobs), RR_JOB_IDLE);
}

/* Removes JOB and its queued tasks, in constant time for each task.  Running
   tasks are not affected.  Returns the number of tasks removed.  */
size_t
rr_batch_queue_job_cancel (struct rr_batch_queue *q, uint64_t job)
{
  struct rr_queue_job *j = job_find (q, job);
  if (j == NULL)
    return 0;
  size_t removed = j->tasks;
  while (j->first_task != 0)
    task_remove (q, j, j->first_task);
  rr_queue_job_move (q, (uint32_t)(j - q->jobs), RR_JOB_IDLE);
  rr_id_map_remove (&q->job_index, job);
  j->next = q->free_job;
  q->free_job = (uint32_t)(j - q->jobs);
  return removed;
}

/* Removes TASK of JOB in constant time.  Returns false when it is not
   queued.  */
bool
rr_batch_queue_task_cancel (struct rr_batch_queue *q, uint64_t job,
                            uint64_t task)
{
  struct rr_queue_job *j = job_find (q, job);
  const uint64_t *position
      = rr_id_map_find (&q->task_index, rr_id_combine (job, task));
  if (j == NULL || position == NULL)
    return false;
  task_remove (q, j, (uint32_t)*position);
  return true;
}

static double
fraction (int64_t used, int64_t total)
{
  return total > 0 ? (double)used / (double)total : 0;
}

/* Returns the dominant share of team T divided by its weight.  */
static double
team_share (const struct rr_batch_queue *q, const struct rr_queue_team *t)
{
  const struct rr_size *u = &t->used;
  double share = fraction (u->cores_milli, q->total.cores_milli);
  share = fmax (share, fraction (u->memory_mb, q->total.memory_mb));
  share = fmax (share, fraction (u->accelerators, q->total.accelerators));
  share = fmax (share, fraction (u->slots, q->total.slots));
  return share / t->team.weight;
}

static bool
exceeds (int64_t used, int64_t need, int64_t limit)
{
  return limit > 0 && need > 0 && used + need > limit;
}

/* Returns whether one more task of SIZE would exceed the limit of team T.  */
static bool
team_limit_exceeded (const struct rr_queue_team *t, const struct rr_size *size)
{
  const struct rr_size *u = &t->used;
  const struct rr_size *l = &t->team.limit;
  return exceeds (u->cores_milli, size->cores_milli, l->cores_milli)
         || exceeds (u->memory_mb, size->memory_mb, l->memory_mb)
         || exceeds (u->accelerators, size->accelerators, l->accelerators)
         || exceeds (u->slots, size->slots, l->slots)
         || exceeds (u->connections, size->connections, l->connections);
}

/* Returns the first job of LIST of T that the team's limit allows, or 0.  Jobs
   before it are moved to RR_JOB_OVER_LIMIT until a task of the team ends.  */
static uint32_t
team_candidate (struct rr_batch_queue *q, struct rr_queue_team *t,
                enum rr_job_list list)
{
  while (t->first[list] != 0
         && team_limit_exceeded (t, &q->jobs[t->first[list]].job.size))
    rr_queue_job_move (q, t->first[list], RR_JOB_OVER_LIMIT);
  return t->first[list];
}

/* Picks a job from LIST: that of the team with the lowest weighted share. When
   the oldest urgent job has waited for half of queue.urgent_start, it goes
   first.  Returns 0 when there is no job.  */
static uint32_t
list_pick (struct rr_batch_queue *q, enum rr_job_list list, struct rr_time now)
{
  uint32_t best = 0;
  uint32_t oldest = 0;
  double best_share = 0;
  for (size_t i = 1; i < q->team_count; i++)
    {
      struct rr_queue_team *t = &q->teams[i];
      uint32_t job = team_candidate (q, t, list);
      if (job == 0)
        continue;
      double share = team_share (q, t);
      if (best == 0 || share < best_share)
        {
          best = job;
          best_share = share;
        }
      if (oldest == 0
          || rr_time_before (q->jobs[job].job.submitted,
                             q->jobs[oldest].job.submitted))
        oldest = job;
    }
  if (list == RR_JOB_URGENT && oldest != 0
      && rr_time_diff (now, q->jobs[oldest].job.submitted)
             >= q->policy->queue_urgent_start_ms / 2)
    return oldest;
  return best;
}

/* Stores the task to be started next in OUT and returns true, or returns false
   when no job is ready.  The task stays queued and is returned again unless
   rr_batch_queue_task_started or rr_batch_queue_job_blocked is called.  The
   cost is linear in the number of teams.  */
bool
rr_batch_queue_next (struct rr_batch_queue *q, struct rr_time now,
                     struct rr_batch_pick *out)
{
  rr_queue_timers_run (q, now);
  uint32_t job = list_pick (q, RR_JOB_URGENT, now);
  if (job == 0)
    job = list_pick (q, RR_JOB_READY, now);
  if (job == 0)
    return false;
  const struct rr_queue_job *j = &q->jobs[job];
  *out = (struct rr_batch_pick){ .job = j->job.job,
                                 .team = j->job.team,
                                 .task = q->tasks[j->first_task].id,
                                 .size = j->job.size,
                                 .urgent = j->job.urgent,
                                 .submitted = j->job.submitted };
  return true;
}

/* Removes the task of PICK from the queue and charges its team.  */
void
rr_batch_queue_task_started (struct rr_batch_queue *q,
                             const struct rr_batch_pick *pick)
{
  struct rr_queue_job *j = job_find (q, pick->job);
  /* A job that backs off keeps its delay, since its next attempt may fail
     too.  */
  if (j != NULL && j->reason != RR_BATCH_BLOCK_BACKOFF)
    j->delay_ms = 0;
  rr_batch_queue_task_cancel (q, pick->job, pick->task);
  rr_batch_queue_charge (q, pick->team, &pick->size);
}

/* Blocks the job of PICK, so that it does not delay the jobs behind it.  It
   becomes ready again after a delay that starts at queue.retry and doubles up
   to queue.retry_max or, unless it backs off, when capacity becomes free.
   After RR_BATCH_BLOCK_UNSCHEDULABLE it becomes ready only when its size or
   the capacity of the fleet changes.  */
void
rr_batch_queue_job_blocked (struct rr_batch_queue *q,
                            const struct rr_batch_pick *pick,
                            enum rr_batch_block_reason reason,
                            struct rr_time now)
{
  struct rr_queue_job *j = job_find (q, pick->job);
  if (j == NULL || j->tasks == 0)
    return;
  uint32_t job = (uint32_t)(j - q->jobs);
  j->reason = reason;
  if (reason == RR_BATCH_BLOCK_UNSCHEDULABLE)
    {
      rr_queue_job_move (q, job, RR_JOB_UNSCHEDULABLE);
      return;
    }
  int64_t max = j->job.urgent ? q->policy->queue_urgent_start_ms / 4
                              : q->policy->queue_retry_max_ms;
  j->delay_ms = j->delay_ms == 0 ? q->policy->queue_retry_ms : j->delay_ms * 2;
  if (j->delay_ms > max && reason == RR_BATCH_BLOCK_CAPACITY)
    j->delay_ms = max;
  if (j->delay_ms > q->policy->queue_retry_max_ms)
    j->delay_ms = q->policy->queue_retry_max_ms;
  rr_queue_job_move (q, job, RR_JOB_BLOCKED);
  rr_queue_timer_add (q, rr_time_add (now, j->delay_ms), job);
}

/* Charges TEAM for a running task of SIZE.  rr_batch_queue_task_started does
   this for tasks from the queue.  */
void
rr_batch_queue_charge (struct rr_batch_queue *q, uint64_t team,
                       const struct rr_size *size)
{
  rr_size_add (&team_get (q, team)->used, size);
  q->running++;
}

/* Ends the charge of TEAM for a task of SIZE that has ended, whether it
   succeeded or not.  Jobs over the team's limit become ready again.  */
void
rr_batch_queue_task_ended (struct rr_batch_queue *q, uint64_t team,
                           const struct rr_size *size)
{
  struct rr_queue_team *t = team_get (q, team);
  rr_size_subtract (&t->used, size);
  q->running--;
  while (first_job_release (q, t, RR_JOB_OVER_LIMIT))
    ;
}

/* Reacts to an increase of free capacity on some worker.  For each team, the
   job that was blocked first becomes ready again.  The cost is thus bounded by
   the number of teams, and every blocked job is tried in rotation.  */
void
rr_batch_queue_capacity_changed (struct rr_batch_queue *q)
{
  for (size_t i = 1; i < q->team_count; i++)
    {
      uint32_t job = q->teams[i].first[RR_JOB_BLOCKED];
      while (job != 0 && q->jobs[job].reason == RR_BATCH_BLOCK_BACKOFF)
        job = q->jobs[job].next;
      if (job != 0)
        rr_queue_job_move (q, job, rr_queue_ready_list (&q->jobs[job]));
    }
}

/* Returns the dominant share of TEAM divided by its weight; 0 for an unknown
   team.  */
double
rr_batch_queue_team_share (const struct rr_batch_queue *q, uint64_t team)
{
  const uint64_t *position = rr_id_map_find (&q->team_index, team);
  return position == NULL ? 0 : team_share (q, &q->teams[*position]);
}

/* Stores the counts of the queue in OUT.  */
void
rr_batch_queue_count (const struct rr_batch_queue *q, struct rr_time now,
                      struct rr_batch_counts *out)
{
  *out = (struct rr_batch_counts){
    .queued = q->list_tasks[RR_JOB_URGENT] + q->list_tasks[RR_JOB_READY],
    .blocked
    = q->list_tasks[RR_JOB_BLOCKED] + q->list_tasks[RR_JOB_OVER_LIMIT],
    .never = q->list_tasks[RR_JOB_UNSCHEDULABLE],
    .running = q->running,
  };
  for (size_t i = 1; i < q->team_count; i++)
    {
      uint32_t job = q->teams[i].first[RR_JOB_URGENT];
      if (job == 0)
        continue;
      int64_t wait = rr_time_diff (now, q->jobs[job].job.submitted);
      if (wait > out->urgent_wait_ms)
        out->urgent_wait_ms = wait;
    }
}
