#include <stdlib.h>
#include <string.h>

#include "batch_queue_state.h"

/* Grows ARRAY to at least NEEDED elements of SIZE bytes, of which new ones are
   zero, and returns it.  Aborts when memory is exhausted.  */
void *
rr_queue_grow (void *array, size_t *capacity, size_t needed, size_t size)
{
  if (needed <= *capacity)
    return array;
  size_t old = *capacity;
  *capacity = old == 0 ? 64 : old * 2;
  array = realloc (array, *capacity * size);
  if (array == NULL)
    abort ();
  memset ((char *)array + old * size, 0, (*capacity - old) * size);
  return array;
}

/* Returns the position of TEAM, which is added with weight 1 and no limit if
   needed.  */
uint32_t
rr_queue_team_get (struct rr_batch_queue *q, uint64_t team)
{
  uint64_t *position = rr_id_map_put (&q->team_index, team);
  if (*position != 0)
    return (uint32_t)*position;
  if (q->team_count == 0)
    q->team_count = 1;
  q->teams = rr_queue_grow (q->teams, &q->team_capacity, q->team_count + 1,
                            sizeof *q->teams);
  *position = q->team_count;
  q->teams[q->team_count].team
      = (struct rr_batch_team){ .team = team, .weight = 1 };
  return (uint32_t)q->team_count++;
}

static void
job_unlink (struct rr_batch_queue *q, uint32_t job)
{
  struct rr_queue_job *j = &q->jobs[job];
  struct rr_queue_team *t = &q->teams[j->team];
  q->list_tasks[j->list] -= j->tasks;
  if (j->list == RR_JOB_IDLE)
    return;
  if (j->previous != 0)
    q->jobs[j->previous].next = j->next;
  else
    t->first[j->list] = j->next;
  if (j->next != 0)
    q->jobs[j->next].previous = j->previous;
  else
    t->last[j->list] = j->previous;
  j->next = 0;
  j->previous = 0;
}

/* Moves JOB to LIST of its team.  Lists of ready jobs are sorted by time of
   submission.  The position is searched from the end, since jobs usually
   arrive in that order.  */
void
rr_queue_job_move (struct rr_batch_queue *q, uint32_t job,
                   enum rr_job_list list)
{
  struct rr_queue_job *j = &q->jobs[job];
  struct rr_queue_team *t = &q->teams[j->team];
  job_unlink (q, job);
  j->list = list;
  j->timer_generation++;
  q->list_tasks[list] += j->tasks;
  if (list == RR_JOB_IDLE)
    return;
  uint32_t before = t->last[list];
  if (list == RR_JOB_READY || list == RR_JOB_URGENT)
    while (before != 0
           && rr_time_before (j->job.submitted, q->jobs[before].job.submitted))
      before = q->jobs[before].previous;
  j->previous = before;
  j->next = before == 0 ? t->first[list] : q->jobs[before].next;
  if (before == 0)
    t->first[list] = job;
  else
    q->jobs[before].next = job;
  if (j->next == 0)
    t->last[list] = job;
  else
    q->jobs[j->next].previous = job;
}

/* Sets a timer that makes JOB ready at AT, unless it moves to another list
   before.  */
void
rr_queue_timer_add (struct rr_batch_queue *q, struct rr_time at, uint32_t job)
{
  q->timers = rr_queue_grow (q->timers, &q->timer_capacity, q->timer_count + 1,
                             sizeof *q->timers);
  size_t i = q->timer_count++;
  struct rr_queue_timer timer = {
    .at = at, .job = job, .timer_generation = q->jobs[job].timer_generation
  };
  while (i > 0 && rr_time_before (at, q->timers[(i - 1) / 2].at))
    {
      q->timers[i] = q->timers[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  q->timers[i] = timer;
}

static void
timer_pop (struct rr_batch_queue *q)
{
  struct rr_queue_timer last = q->timers[--q->timer_count];
  size_t i = 0;
  for (;;)
    {
      size_t child = 2 * i + 1;
      if (child >= q->timer_count)
        break;
      if (child + 1 < q->timer_count
          && rr_time_before (q->timers[child + 1].at, q->timers[child].at))
        child++;
      if (!rr_time_before (q->timers[child].at, last.at))
        break;
      q->timers[i] = q->timers[child];
      i = child;
    }
  q->timers[i] = last;
}

/* Makes the blocked jobs ready whose timers have expired.  */
void
rr_queue_timers_run (struct rr_batch_queue *q, struct rr_time now)
{
  while (q->timer_count > 0 && !rr_time_before (now, q->timers[0].at))
    {
      struct rr_queue_timer timer = q->timers[0];
      timer_pop (q);
      struct rr_queue_job *j = &q->jobs[timer.job];
      if (j->timer_generation == timer.timer_generation
          && j->list == RR_JOB_BLOCKED)
        rr_queue_job_move (q, timer.job, rr_queue_ready_list (j));
    }
}
