#include "dispatch_private.h"

#include <string.h>

/* Says in the log why long-running tasks wait: their users notice a missing
   task after some seconds.  */

enum
{
  WAIT_LOG_AFTER_MS = 2000,
  /* At most this many lines a round, when many workers leave at once.  */
  WAIT_LINES_MAX = 8
};

/* How many workers each condition excludes; the first one that fails
   counts.  */
struct wait_reasons
{
  size_t unusable; /* draining, silent, full, or not on record */
  size_t service;
  size_t label;
  size_t cores;
  size_t memory;
  size_t suitable; /* excluded by something else, such as a held worker */
  int64_t largest_free_milli;
};

static void
count_worker (struct wait_reasons *c, const struct dispatch_worker *w,
              const struct rr_job_graph_step *s, const char *service,
              struct rr_time now)
{
  if (!dispatch_worker_usable (w, now))
    c->unusable++;
  else if (strcmp (w->info.service, service) != 0)
    c->service++;
  else if (s->required_label[0] != '\0'
           && !rr_worker_has_label (&w->info, s->required_label))
    c->label++;
  else if (w->free_cores_milli < s->cores_milli)
    c->cores++;
  else if (w->free_memory_mb < s->memory_mb)
    c->memory++;
  else
    c->suitable++;
  if (w->free_cores_milli > c->largest_free_milli)
    c->largest_free_milli = w->free_cores_milli;
}

static void
log_waiting_task (struct rr_dispatch *d, struct dispatch_job *j,
                  uint32_t number, int64_t waited_ms, struct rr_time now)
{
  struct rr_run_name name;
  dispatch_task_name (j, number, &name);
  const struct rr_job_graph_step *s = &j->graph->steps[name.step];
  const struct rr_queue_policy *q = dispatch_queue_policy (d, j);
  const char *service = q->service[0] != '\0' ? q->service : j->graph->service;
  struct wait_reasons c = { 0 };
  struct rr_handle h = { 0 };
  const struct dispatch_worker *w;
  while ((w = rr_table_next (d->workers, &h)) != NULL)
    count_worker (&c, w, s, service, now);
  dispatch_log_decision (
      d, "long_running_waits",
      "job=%s task=%d.%d.%d waited_ms=%lld held=%d cores=%lld memory=%lld "
      "unusable=%zu other_service=%zu no_label=%zu no_cores=%zu no_memory=%zu "
      "suitable=%zu largest_free=%lld",
      name.job, name.occurrence, name.step, name.task, (long long)waited_ms,
      j->held ? 1 : 0, (long long)s->cores_milli, (long long)s->memory_mb,
      c.unusable, c.service, c.label, c.cores, c.memory, c.suitable,
      (long long)c.largest_free_milli);
}

/* Logs each long-running task once it has waited for WAIT_LOG_AFTER_MS.  Runs
   every INTERVAL_MS.  */
void
dispatch_log_waiting (struct rr_dispatch *d, int64_t interval_ms,
                      struct rr_time now)
{
  size_t lines = 0;
  struct rr_handle h = { 0 };
  struct dispatch_job *j;
  while ((j = rr_table_next (d->jobs, &h)) != NULL)
    {
      if (!j->graph->steps[0].long_running || j->cancelled
          || j->steps[0].waiting == 0)
        continue;
      for (uint32_t i = 0; i < j->task_count && lines < WAIT_LINES_MAX; i++)
        {
          const struct dispatch_task *t = &j->tasks[i];
          struct rr_time since = t->not_before;
          if (rr_time_before (since, j->accepted))
            since = j->accepted;
          int64_t waited = rr_time_diff (now, since) - WAIT_LOG_AFTER_MS;
          if (t->state != TASK_WAITING || waited < 0 || waited >= interval_ms)
            continue;
          log_waiting_task (d, j, i, rr_time_diff (now, since), now);
          lines++;
        }
    }
}
