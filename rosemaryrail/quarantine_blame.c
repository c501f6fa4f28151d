#include "quarantine_state.h"

/* Returns the record of worker ID, or null.  */
struct rr_quarantine_worker *
rr_quarantine_worker_find (const struct rr_quarantine *q, uint64_t id)
{
  const uint64_t *position = rr_id_map_find (&q->index, id);
  return position == NULL ? NULL : &q->workers[*position - 1];
}

static bool
recent (const struct rr_quarantine *q, struct rr_time at, struct rr_time now)
{
  return rr_time_diff (now, at) <= q->policy->quarantine_window_ms;
}

/* Returns when start S proved good, or false: it ended well, or it has run
   for quarantine.confirm and not failed since.  */
static bool
good_at (const struct rr_quarantine *q, const struct rr_quarantine_start *s,
         struct rr_time now, struct rr_time *at)
{
  if (s->state == RR_START_SUCCEEDED)
    {
      *at = s->outcome;
      return true;
    }
  *at = rr_time_add (s->at, q->policy->quarantine_confirm_ms);
  return s->state == RR_START_PENDING && !rr_time_before (now, *at);
}

/* Tells whether worker ID works: it had a good start lately, and nothing but
   JOB failed there since.  Its failures then speak against the job.  A worker
   that has just broken has old successes too, hence the second condition.  */
static bool
credible (const struct rr_quarantine *q, uint64_t id, uint64_t job,
          struct rr_time now)
{
  const struct rr_quarantine_worker *w = rr_quarantine_worker_find (q, id);
  if (w == NULL || w->out)
    return false;
  struct rr_time last_good = rr_time_from_ms (INT64_MIN);
  bool any = false;
  for (int i = 0; i < RR_QUARANTINE_STARTS; i++)
    {
      struct rr_time at;
      if (w->starts[i].state == RR_START_UNUSED
          || !good_at (q, &w->starts[i], now, &at) || !recent (q, at, now))
        continue;
      any = true;
      if (rr_time_before (last_good, at))
        last_good = at;
    }
  for (int i = 0; any && i < RR_QUARANTINE_STARTS; i++)
    if (w->starts[i].state == RR_START_FAILED && w->starts[i].job != job
        && rr_time_before (last_good, w->starts[i].outcome))
      return false;
  return any;
}

/* Tells whether S succeeded lately on a worker other than WORKER.  */
bool
rr_quarantine_succeeds_elsewhere (const struct rr_quarantine *q,
                                  const struct rr_subject *s, uint64_t worker,
                                  struct rr_time now)
{
  for (int i = 0; s != NULL && i < s->success_count; i++)
    if (s->success[i].worker != worker && recent (q, s->success[i].at, now))
      return true;
  return false;
}

/* Tells whether S, which is JOB or a task of it, is itself at fault: it failed
   on enough workers other than WORKER that are known to work, or on twice as
   many not known to be bad, and succeeded nowhere else.  */
bool
rr_quarantine_at_fault (const struct rr_quarantine *q,
                        const struct rr_subject *s, uint64_t job,
                        uint64_t worker, struct rr_time now)
{
  if (s == NULL || rr_quarantine_succeeds_elsewhere (q, s, worker, now))
    return false;
  int64_t sure = 0;
  int64_t open = 0;
  for (int i = 0; i < s->failure_count; i++)
    {
      uint64_t id = s->failure[i].worker;
      if (id == worker || !recent (q, s->failure[i].at, now))
        continue;
      const struct rr_quarantine_worker *w = rr_quarantine_worker_find (q, id);
      sure += credible (q, id, job, now);
      open += w != NULL && !w->out;
    }
  return sure >= q->policy->quarantine_job_workers
         || open >= 2 * q->policy->quarantine_job_workers;
}

/* Sums up the starts of W.  Failures of a job or task that is itself at fault
   count nowhere.  */
struct rr_quarantine_tally
rr_quarantine_tally (const struct rr_quarantine *q,
                     const struct rr_quarantine_worker *w, struct rr_time now)
{
  struct rr_quarantine_tally t = { 0 };
  struct rr_time last_good = rr_time_from_ms (INT64_MIN);
  for (int i = 0; i < RR_QUARANTINE_STARTS; i++)
    {
      struct rr_time at;
      const struct rr_quarantine_start *s = &w->starts[i];
      if (s->state == RR_START_UNUSED)
        continue;
      if (good_at (q, s, now, &at))
        {
          if (rr_time_before (last_good, at))
            last_good = at;
          t.good_all += recent (q, at, now);
        }
      else if (s->state == RR_START_PENDING)
        t.pending++;
    }
  for (int i = 0; i < RR_QUARANTINE_STARTS; i++)
    {
      const struct rr_quarantine_start *s = &w->starts[i];
      if (s->state != RR_START_FAILED || !recent (q, s->outcome, now))
        continue;
      const struct rr_subject *job
          = rr_evidence_find (&q->evidence, RR_SUBJECT_JOB, s->job);
      const struct rr_subject *task
          = rr_evidence_find (&q->evidence, RR_SUBJECT_TASK, s->task);
      if (rr_quarantine_at_fault (q, job, s->job, w->id, now)
          || rr_quarantine_at_fault (q, task, s->job, w->id, now))
        continue;
      bool blamed = rr_quarantine_succeeds_elsewhere (q, job, w->id, now);
      t.blamed_all += blamed;
      if (!rr_time_before (last_good, s->outcome))
        continue;
      t.blamed += blamed;
      t.unknown += !blamed;
    }
  return t;
}
