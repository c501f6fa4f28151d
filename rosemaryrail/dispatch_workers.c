#include "dispatch_private.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* A worker is kept for this long after its registration is removed, since a
     registration that passes to another writer is removed and written
     again.  */
  UNREGISTERED_KEEP_MS = 500
};

struct dispatch_worker *
dispatch_worker_get (const struct rr_dispatch *d, struct rr_handle h)
{
  return rr_table_get (d->workers, h);
}

/* Returns true when the worker of INFO has LABEL.  */
bool
rr_worker_has_label (const struct rr_worker_info *info, const char *label)
{
  for (size_t i = 0; i < info->label_count; i++)
    if (strcmp (info->labels[i], label) == 0)
      return true;
  return false;
}

struct dispatch_worker *
dispatch_worker_find (const struct rr_dispatch *d, const char *id)
{
  return dispatch_worker_get (d, rr_key_index_get (d->worker_ids, id));
}

/* Returns the run of W with the task and run number of NAME, or null.  */
struct dispatch_run *
dispatch_run_find (struct dispatch_worker *w, const struct rr_run_name *name)
{
  for (size_t i = 0; i < w->run_count; i++)
    {
      struct rr_run_name *n = &w->runs[i].name;
      if (n->run == name->run && n->task == name->task && n->step == name->step
          && n->occurrence == name->occurrence
          && strcmp (n->job, name->job) == 0)
        return &w->runs[i];
    }
  return NULL;
}

/* Adds a run to W.  J is null when its job is not known.  */
struct dispatch_run *
dispatch_run_add (struct rr_dispatch *d, struct dispatch_worker *w,
                  struct dispatch_job *j, const struct rr_run_name *name,
                  struct rr_time now)
{
  if (w->run_count == w->run_capacity)
    {
      w->run_capacity = w->run_capacity == 0 ? 16 : w->run_capacity * 2;
      w->runs = realloc (w->runs, w->run_capacity * sizeof *w->runs);
      assert (w->runs != NULL);
    }
  struct dispatch_run *r = &w->runs[w->run_count++];
  memset (r, 0, sizeof *r);
  r->name = *name;
  r->started = now;
  r->progressed = now;
  r->speed_percent = 100;
  r->speed_target = 100;
  if (j == NULL)
    return r;
  const struct rr_job_graph_step *s = &j->graph->steps[name->step];
  r->job = j->handle;
  dispatch_task_number (j, name, &r->number);
  r->cores_milli = s->cores_milli;
  r->memory_mb = s->memory_mb;
  r->accelerators = s->accelerators;
  r->best_effort = s->best_effort;
  r->long_running = s->long_running;
  r->tail_target_ms = s->tail_target_ms;
  r->estimate_ms = s->estimate_ms;
  dispatch_interference_classify (d, r, s);
  j->run_count++;
  return r;
}

/* Removes R from W.  The state of its task doesn't change.  */
void
dispatch_run_remove (struct rr_dispatch *d, struct dispatch_worker *w,
                     struct dispatch_run *r)
{
  struct dispatch_job *j = dispatch_job_get (d, r->job);
  if (j != NULL)
    j->run_count--;
  rr_text_unref (r->start_checkpoint);
  *r = w->runs[--w->run_count];
}

/* Frees the memory that W owns, but not its row in the table.  */
void
dispatch_worker_release (struct dispatch_worker *w)
{
  for (size_t i = 0; i < w->run_count; i++)
    rr_text_unref (w->runs[i].start_checkpoint);
  free (w->runs);
  free (w->ends);
}

/* Requests a stop of R, which also prevents a start that arrives later.  */
void
dispatch_run_stop (struct dispatch_run *r, const char *reason)
{
  if (r->stop_wanted)
    return;
  r->stop_wanted = true;
  r->stop_reason = reason;
}

/* Removes R from W and returns its task to the waiting tasks.  REASON is
   logged.  */
void
dispatch_run_requeue (struct rr_dispatch *d, struct dispatch_worker *w,
                      struct dispatch_run *r, const char *reason,
                      struct rr_time now)
{
  struct dispatch_job *j = dispatch_job_get (d, r->job);
  dispatch_log_decision (
      d, "run_lost", "job=%s task=%d.%d.%d run=%llu vm=%s reason=%s",
      r->name.job, r->name.occurrence, r->name.step, r->name.task,
      (unsigned long long)r->name.run, w->info.id, reason);
  if (j != NULL)
    {
      struct dispatch_task *t = &j->tasks[r->number];
      if (dispatch_task_placed_as (t, r->name.run, w->handle))
        dispatch_task_requeue (d, j, r->number, now);
    }
  dispatch_run_remove (d, w, r);
}

/* Gives up the runs of W's former incarnation.  The start of a run that was
   never reported may have reached the new incarnation, so such a run stays
   until the new one has reported.  */
static void
requeue_former_runs (struct rr_dispatch *d, struct dispatch_worker *w,
                     struct rr_time now)
{
  for (size_t i = w->run_count; i-- > 0;)
    {
      struct dispatch_run *r = &w->runs[i];
      if (!r->reported && !r->queued)
        {
          r->phase = RUN_UNRESOLVED;
          r->stop_confirmed = false;
          r->settled_clock = 0;
        }
      else
        dispatch_run_requeue (d, w, r, "vm-restarted", now);
    }
}

/* W has restarted: its new life, which began at STARTED_MS, runs nothing that
   was reported before.  */
void
dispatch_worker_restarted (struct rr_dispatch *d, struct dispatch_worker *w,
                           int64_t started_ms, struct rr_time now)
{
  dispatch_log_decision (
      d, "vm_restarted", "vm=%s born=%lld before=%lld runs=%zu", w->info.id,
      (long long)started_ms, (long long)w->info.started_ms, w->run_count);
  dispatch_crash_worker_lost (d, w, true, "vm-restarted", now);
  dispatch_life_begin (w, started_ms, now);
  requeue_former_runs (d, w, now);
  /* Assume the longest lease for the runs that are kept, so that they expire
     when the new incarnation never reports.  */
  if (w->run_count > 0)
    {
      w->clock_ms = 0;
      w->clock_received = now;
      w->lease_clock_ms = d->o.lease_max_ms;
    }
}

/* Adds or updates the registered worker INFO.  */
struct rr_handle
rr_dispatch_worker_set (struct rr_dispatch *d,
                        const struct rr_worker_info *info, struct rr_time now)
{
  struct dispatch_worker *w = dispatch_worker_find (d, info->id);
  if (w == NULL)
    {
      struct rr_handle h;
      w = rr_table_insert (d->workers, &h);
      memset (w, 0, sizeof *w);
      w->handle = h;
      w->info = *info;
      const struct dispatch_inherited *former
          = dispatch_inherited_find (d, info->id);
      w->silence_recorded = former != NULL && former->silence_recorded;
      dispatch_life_first (d, w, now);
      rr_key_index_put (d->worker_ids, info->id, h);
    }
  if (info->started_ms > w->info.started_ms && w->info.started_ms != 0)
    dispatch_worker_restarted (d, w, info->started_ms, now);
  dispatch_inherited_restarted (d, info->id, info->started_ms, now);
  if (info->draining && !w->info.draining)
    dispatch_log_decision (d, "vm_draining", "vm=%s runs=%zu", info->id,
                           w->run_count);
  int64_t started_ms = w->info.started_ms;
  w->info = *info;
  w->registered_life = info->started_ms;
  if (started_ms > info->started_ms)
    w->info.started_ms = started_ms;
  w->registered = true;
  return w->handle;
}

/* Records that the registrations of all workers are known as of AT: no change
   made before is missing.  The store, in which they are, last responded to a
   call of STORE_RESPONDED.  While it responds to nothing, no worker can have
   told it since that it drains, so only the difference counts.  */
void
rr_dispatch_registrations_set_time (struct rr_dispatch *d, struct rr_time at,
                                    struct rr_time store_responded)
{
  d->registrations_at = at;
  int64_t age_ms = rr_time_diff (store_responded, at);
  bool stale = age_ms > d->o.registration_age_max_ms;
  if (stale != d->registrations_stale)
    dispatch_log_decision (d, stale ? "starts_suspended" : "starts_resumed",
                           "registration_age_ms=%lld max=%lld",
                           (long long)age_ms,
                           (long long)d->o.registration_age_max_ms);
  d->registrations_stale = stale;
}

/* Returns whether the workers' registrations are too old to start tasks.  */
bool
rr_dispatch_registrations_stale (const struct rr_dispatch *d)
{
  return d->registrations_stale;
}

/* Records that the worker ID is no longer registered.  Its tasks may go
   on.  */
void
rr_dispatch_worker_unregister (struct rr_dispatch *d, const char *id,
                               struct rr_time now)
{
  struct dispatch_worker *w = dispatch_worker_find (d, id);
  if (w == NULL || !w->registered)
    return;
  w->registered = false;
  w->unregistered_at = now;
  dispatch_log_decision (d, "vm_unlisted", "vm=%s runs=%zu", id, w->run_count);
}

/* Returns true when worker H is unregistered, has no runs and can be
   removed.  */
bool
rr_dispatch_worker_droppable (const struct rr_dispatch *d, struct rr_handle h,
                              struct rr_time now)
{
  const struct dispatch_worker *w = dispatch_worker_get (d, h);
  if (w == NULL || w->registered || w->run_count > 0)
    return false;
  return rr_time_diff (now, w->unregistered_at) > UNREGISTERED_KEEP_MS;
}

/* Removes worker H, which has no runs.  */
void
rr_dispatch_worker_drop (struct rr_dispatch *d, struct rr_handle h,
                         struct rr_time now)
{
  struct dispatch_worker *w = dispatch_worker_get (d, h);
  assert (w != NULL && w->run_count == 0);
  struct dispatch_dropped dropped = { .started_ms = w->info.started_ms,
                                      .token = w->token,
                                      .restarted = w->life > 0,
                                      .at = now };
  snprintf (dropped.id, sizeof dropped.id, "%s", w->info.id);
  dispatch_life_dropped (d, &dropped);
  rr_key_index_remove (d->worker_ids, w->info.id);
  dispatch_worker_release (w);
  rr_table_remove (d->workers, h);
}

/* Removes W's ends whose effect is stored from its queue.  */
static void
remove_stored_ends (struct rr_dispatch *d, struct dispatch_worker *w)
{
  size_t kept = 0;
  while (kept < w->end_count)
    {
      struct dispatch_end *e = &w->ends[kept];
      struct dispatch_job *j = dispatch_job_get (d, e->job);
      if (j != NULL && !j->cancelled && j->stored_version < e->version)
        break;
      w->observed = e->number;
      kept++;
    }
  w->end_count -= kept;
  if (kept > 0)
    memmove (w->ends, w->ends + kept, w->end_count * sizeof *w->ends);
}

/* Returns the highest number of an end that worker H may discard with the next
   poll.  Returns 0 when it has not answered lately: it may have restarted
   under its id, and have ends of its own with these numbers.  */
int64_t
rr_dispatch_worker_stored_end (struct rr_dispatch *d, struct rr_handle h,
                               struct rr_time now)
{
  struct dispatch_worker *w = dispatch_worker_get (d, h);
  if (w == NULL)
    return 0;
  remove_stored_ends (d, w);
  bool recent = !w->unresponsive
                && rr_time_diff (now, w->last_report) <= REPORT_AGE_MAX_MS;
  return recent ? w->observed : 0;
}

/* Returns true when worker H has reported ends that are not stored yet.  */
bool
rr_dispatch_worker_has_unstored_ends (struct rr_dispatch *d,
                                      struct rr_handle h)
{
  struct dispatch_worker *w = dispatch_worker_get (d, h);
  if (w == NULL)
    return false;
  remove_stored_ends (d, w);
  return w->end_count > 0;
}

/* Records that worker H has not answered a poll.  It gets no lease until it
   answers one: a worker that receives polls but whose answers are lost would
   otherwise keep its tasks for ever.  */
void
rr_dispatch_worker_unreachable (struct rr_dispatch *d, struct rr_handle h)
{
  struct dispatch_worker *w = dispatch_worker_get (d, h);
  if (w != NULL)
    w->unresponsive = true;
}
