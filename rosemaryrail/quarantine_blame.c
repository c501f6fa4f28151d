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

/* Tells whether start S proved good: it ended well, or it has run for
   quarantine.confirm and not failed since.  */
static bool
is_good (const struct rr_quarantine *q, const struct rr_quarantine_start *s,
         struct rr_time now)
{
  return s->state == RR_START_SUCCEEDED
         || (s->state == RR_START_PENDING
             && rr_time_diff (now, s->at) >= q->policy->quarantine_confirm_ms);
}

/* Returns the time of the latest good start of W in the window, or INT64_MIN.
   Starts are compared by when they were made: a task that was running before
   a worker broke may end well for a long time after.  */
static struct rr_time
last_good_start (const struct rr_quarantine *q,
                 const struct rr_quarantine_worker *w, struct rr_time now)
{
  struct rr_time last = rr_time_from_ms (INT64_MIN);
  for (int i = 0; i < RR_QUARANTINE_STARTS; i++)
    if (is_good (q, &w->starts[i], now)
        && rr_time_before (last, w->starts[i].at))
      last = w->starts[i].at;
  return last;
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
  struct rr_time last_good = last_good_start (q, w, now);
  if (last_good.ms == INT64_MIN)
    return false;
  for (int i = 0; i < RR_QUARANTINE_STARTS; i++)
    if (w->starts[i].state == RR_START_FAILED && w->starts[i].job != job
        && rr_time_before (last_good, w->starts[i].at))
      return false;
  return true;
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

/* Fills the masks of S, which is JOB or a task of it, unless they are fresh.
 */
static void
judge (const struct rr_quarantine *q, struct rr_subject *s, uint64_t job,
       struct rr_time now)
{
  int64_t age = rr_time_diff (now, s->judged_at);
  if (s->judged && age >= 0 && age < RR_QUARANTINE_CACHE_MS)
    return;
  s->judged = true;
  s->judged_at = now;
  s->trusted_mask = 0;
  s->open_mask = 0;
  for (int i = 0; i < s->failure_count; i++)
    {
      uint64_t id = s->failure[i].worker;
      const struct rr_quarantine_worker *w = rr_quarantine_worker_find (q, id);
      if (w == NULL || w->out || !recent (q, s->failure[i].at, now))
        continue;
      s->open_mask |= 1U << i;
      if (credible (q, id, job, now))
        s->trusted_mask |= 1U << i;
    }
}

/* Tells whether S, which is JOB or a task of it, is itself at fault: it failed
   on enough workers other than WORKER that are known to work, or on twice as
   many not known to be bad, and succeeded nowhere else.  */
bool
rr_quarantine_at_fault (const struct rr_quarantine *q, struct rr_subject *s,
                        uint64_t job, uint64_t worker, struct rr_time now)
{
  if (s == NULL || s->failure_count < q->policy->quarantine_job_workers
      || rr_quarantine_succeeds_elsewhere (q, s, worker, now))
    return false;
  judge (q, s, job, now);
  unsigned others = ~0U;
  for (int i = 0; i < s->failure_count; i++)
    if (s->failure[i].worker == worker)
      others &= ~(1U << i);
  return __builtin_popcount (s->trusted_mask & others)
             >= q->policy->quarantine_job_workers
         || __builtin_popcount (s->open_mask & others)
                >= 2 * q->policy->quarantine_job_workers;
}

/* Sums up the starts of W.  Failures of a job or task that is itself at fault
   are kept apart.  */
static void
tally_fill (const struct rr_quarantine *q, struct rr_quarantine_worker *w,
            struct rr_time now)
{
  struct rr_quarantine_start_counts t = { 0 };
  struct rr_time last_good = last_good_start (q, w, now);
  w->tally_until = rr_time_add (now, RR_QUARANTINE_CACHE_MS);
  for (int i = 0; i < RR_QUARANTINE_STARTS; i++)
    {
      const struct rr_quarantine_start *s = &w->starts[i];
      if (is_good (q, s, now))
        t.successes_in_window += recent (q, s->at, now);
      else if (s->state == RR_START_PENDING)
        {
          struct rr_time confirm
              = rr_time_add (s->at, q->policy->quarantine_confirm_ms);
          if (rr_time_before (confirm, w->tally_until))
            w->tally_until = confirm;
          t.pending++;
        }
      t.withdrawn += s->state == RR_START_WITHDRAWN
                     && rr_time_before (last_good, s->at)
                     && recent (q, s->at, now);
      if (s->state != RR_START_FAILED || !recent (q, s->outcome, now))
        continue;
      struct rr_subject *job
          = rr_evidence_find (&q->evidence, RR_SUBJECT_JOB, s->job);
      struct rr_subject *task
          = rr_evidence_find (&q->evidence, RR_SUBJECT_TASK, s->task);
      if (rr_quarantine_at_fault (q, job, s->job, w->id, now)
          || rr_quarantine_at_fault (q, task, s->job, w->id, now))
        {
          t.job_faults += rr_time_before (last_good, s->at);
          continue;
        }
      bool blamed = rr_quarantine_succeeds_elsewhere (q, job, w->id, now);
      t.blamed_all += blamed;
      if (!rr_time_before (last_good, s->at))
        continue;
      t.blamed += blamed;
      t.unknown += !blamed;
    }
  w->tally = t;
  w->tally_at = now;
  w->tally_valid = true;
}

/* Returns what the starts of W say about it, evaluated anew when W had a start
   or an end, or after RR_QUARANTINE_CACHE_MS.  */
struct rr_quarantine_start_counts
rr_quarantine_start_counts (const struct rr_quarantine *q,
                            struct rr_quarantine_worker *w, struct rr_time now)
{
  if (!w->tally_valid || rr_time_before (now, w->tally_at)
      || !rr_time_before (now, w->tally_until))
    tally_fill (q, w, now);
  return w->tally;
}
