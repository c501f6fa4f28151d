#include "dispatch_private.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Permits of workers to run a step, for queues whose policy is kept by an
   external permit service.  Requests are sent in batches, since the answer
   takes longer with each worker listed.  */

enum
{
  /* A job's objective leaves time for one request about this many workers.  */
  REQUEST_WORKERS_MAX = 30,
  /* Delay before the next request, when no permitted worker has capacity.  */
  REQUEST_INTERVAL_MS = 300,
  REQUEST_RETRY_MS = 200, /* after an unanswered request */
  /* A permit token must still be valid when the start arrives.  */
  TOKEN_MARGIN_MS = 150
};

/* Returns W's permit for the step of NAME, or null when it has no valid
   one.  */
const struct dispatch_permit *
dispatch_permit_find (struct dispatch_job *j, const struct rr_run_name *name,
                      const struct dispatch_worker *w, struct rr_time now)
{
  const struct dispatch_step *s = dispatch_step_of (j, name);
  struct rr_time needed = rr_time_add (now, TOKEN_MARGIN_MS);
  for (size_t i = 0; i < s->permit_count; i++)
    {
      const struct dispatch_permit *p = &s->permits[i];
      if (rr_handle_equal (p->worker, w->handle)
          && p->started_ms == w->info.started_ms
          && rr_time_before (needed, p->expires))
        return p;
    }
  return NULL;
}

/* Discards W's permit token for the step of NAME, which W has rejected.  */
void
dispatch_permit_drop (struct dispatch_job *j, const struct rr_run_name *name,
                      const struct dispatch_worker *w)
{
  struct dispatch_step *s = dispatch_step_of (j, name);
  for (size_t i = 0; i < s->permit_count; i++)
    if (rr_handle_equal (s->permits[i].worker, w->handle))
      {
        rr_text_unref (s->permits[i].token);
        s->permits[i] = s->permits[--s->permit_count];
        return;
      }
}

/* Frees the permits of all steps of J.  */
void
dispatch_permits_free (struct dispatch_job *j)
{
  size_t n = j->graph->step_count * (size_t)j->graph->occurrence_count;
  for (size_t i = 0; i < n; i++)
    {
      for (size_t k = 0; k < j->steps[i].permit_count; k++)
        rr_text_unref (j->steps[i].permits[k].token);
      free (j->steps[i].permits);
    }
}

/* Requests permits for the step of NAME.  Each request continues after the
   workers of the last one and lists those with capacity for the step that have
   no valid permit.  */
void
dispatch_permit_request (struct rr_dispatch *d, struct dispatch_job *j,
                         const struct rr_run_name *name, struct rr_time now)
{
  struct dispatch_step *s = dispatch_step_of (j, name);
  if (d->o.request_permits == NULL || s->request_in_flight
      || rr_time_before (now, s->request_at))
    return;
  const struct rr_job_graph_step *step = &j->graph->steps[name->step];
  struct rr_permit_request request = { .name = *name };
  /* A permit is for all tasks of the step, and a gang that found no capacity
     leaves no valid task number in NAME.  */
  request.name.task = 0;
  request.name.run = 0;
  size_t seen = 0;
  size_t total = rr_table_count (d->workers);
  struct rr_handle h = { 0 };
  const struct dispatch_worker *w;
  while ((w = rr_table_next (d->workers, &h)) != NULL)
    {
      size_t position = seen++;
      bool in_cycle = position >= s->permit_cursor % (total + 1);
      if (!in_cycle || request.worker_count == REQUEST_WORKERS_MAX
          || !w->registered || w->info.draining || !w->reported
          || w->free_memory_mb < step->memory_mb
          || (!step->best_effort && w->free_cores_milli < step->cores_milli)
          || dispatch_permit_find (j, name, w, now) != NULL)
        continue;
      request.workers[request.worker_count++] = w->info.id;
      s->permit_cursor = position + 1;
    }
  s->request_at = rr_time_add (now, REQUEST_INTERVAL_MS);
  if (request.worker_count == 0)
    {
      s->permit_cursor = 0;
      return;
    }
  s->request_in_flight = true;
  dispatch_log_decision (d, "permits_asked", "job=%s step=%d.%d workers=%zu",
                         name->job, name->occurrence, name->step,
                         request.worker_count);
  d->o.request_permits (d->o.data, &request);
}

static void
permit_set (struct rr_dispatch *d, struct dispatch_step *s,
            const struct rr_permit *permit, struct rr_time expires)
{
  struct rr_handle h = rr_key_index_get (d->worker_ids, permit->worker);
  const struct dispatch_worker *w = dispatch_worker_get (d, h);
  if (w == NULL)
    return;
  struct dispatch_permit *p = NULL;
  for (size_t i = 0; i < s->permit_count; i++)
    if (rr_handle_equal (s->permits[i].worker, h))
      p = &s->permits[i];
  if (p == NULL)
    {
      s->permits
          = realloc (s->permits, (s->permit_count + 1) * sizeof *s->permits);
      assert (s->permits != NULL);
      p = &s->permits[s->permit_count++];
      p->token = NULL;
    }
  p->worker = h;
  p->started_ms = w->info.started_ms;
  p->expires = expires;
  rr_text_assign (&p->token, permit->permit_token);
}

void
rr_dispatch_permits_set (struct rr_dispatch *d, const struct rr_run_name *name,
                         const struct rr_permit *permits, size_t count,
                         int64_t valid_ms, struct rr_time now)
{
  struct dispatch_job *j = dispatch_job_find (d, name->job);
  uint32_t number;
  if (j == NULL || !dispatch_task_number (j, name, &number))
    {
      dispatch_log_decision (d, "permits_unused", "job=%s step=%d.%d",
                             name->job, name->occurrence, name->step);
      return;
    }
  struct dispatch_step *s = dispatch_step_of (j, name);
  s->request_in_flight = false;
  dispatch_log_decision (
      d, "permits", "job=%s step=%d.%d allowed=%zu valid_ms=%lld", name->job,
      name->occurrence, name->step, count, (long long)valid_ms);
  if (permits == NULL)
    {
      s->request_at = rr_time_add (now, REQUEST_RETRY_MS);
      return;
    }
  for (size_t i = 0; i < count; i++)
    permit_set (d, s, &permits[i], rr_time_add (now, valid_ms));
}
