#include "quarantine_state.h"

/* Returns the record of worker ID, or null.  */
struct rr_quarantine_worker *
rr_quarantine_worker_find (const struct rr_quarantine *q, uint64_t id)
{
  const uint64_t *position = rr_id_map_find (&q->index, id);
  return position == NULL ? NULL : &q->workers[*position - 1];
}

static bool
in_window (const struct rr_quarantine *q, struct rr_time at,
           struct rr_time now)
{
  return rr_time_diff (now, at) <= q->policy->quarantine_window_ms;
}

/* Returns whether start S succeeded: its task succeeded, or is still running
   after quarantine.confirm.  */
static bool
start_successful (const struct rr_quarantine *q,
                  const struct rr_quarantine_start *s, struct rr_time now)
{
  return s->state == RR_START_SUCCEEDED
         || (s->state == RR_START_PENDING
             && rr_time_diff (now, s->at) >= q->policy->quarantine_confirm_ms);
}

/* Returns the time of the latest successful start of W, or INT64_MIN.  Starts
   are ordered by the time of the start, not of the end: a task that was
   running before a worker broke can succeed long after that.  */
static struct rr_time
last_successful_start (const struct rr_quarantine *q,
                       const struct rr_quarantine_worker *w,
                       struct rr_time now)
{
  struct rr_time last = rr_time_from_ms (INT64_MIN);
  for (int i = 0; i < RR_QUARANTINE_STARTS; i++)
    if (start_successful (q, &w->starts[i], now)
        && rr_time_before (last, w->starts[i].at))
      last = w->starts[i].at;
  return last;
}

/* Returns whether worker ID is known to work: it had a successful start, and
   nothing but JOB failed there since.  Failures of JOB on it then count
   against the job.  The second condition is needed because a worker that has
   just broken has old successes too.  */
static bool
worker_trusted (const struct rr_quarantine *q, uint64_t id, uint64_t job,
                struct rr_time now)
{
  const struct rr_quarantine_worker *w = rr_quarantine_worker_find (q, id);
  if (w == NULL || w->quarantined)
    return false;
  struct rr_time last_success = last_successful_start (q, w, now);
  if (last_success.ms == INT64_MIN)
    return false;
  for (int i = 0; i < RR_QUARANTINE_STARTS; i++)
    if (w->starts[i].state == RR_START_FAILED && w->starts[i].job != job
        && rr_time_before (last_success, w->starts[i].at))
      return false;
  return true;
}

/* Returns whether S succeeded in quarantine.window on a worker other than
   WORKER.  */
bool
rr_quarantine_subject_succeeds_elsewhere (const struct rr_quarantine *q,
                                          const struct rr_subject *s,
                                          uint64_t worker, struct rr_time now)
{
  for (int i = 0; s != NULL && i < s->success_count; i++)
    if (s->success[i].worker != worker && in_window (q, s->success[i].at, now))
      return true;
  return false;
}

/* Computes the masks of S, which is JOB or a task of it, unless they were
   computed within RR_QUARANTINE_CACHE_MS.  */
static void
fault_masks_update (const struct rr_quarantine *q, struct rr_subject *s,
                    uint64_t job, struct rr_time now)
{
  int64_t age = rr_time_diff (now, s->masks_updated_at);
  if (s->masks_valid && age >= 0 && age < RR_QUARANTINE_CACHE_MS)
    return;
  s->masks_valid = true;
  s->masks_updated_at = now;
  s->trusted_mask = 0;
  s->unquarantined_mask = 0;
  for (int i = 0; i < s->failure_count; i++)
    {
      uint64_t id = s->failure[i].worker;
      const struct rr_quarantine_worker *w = rr_quarantine_worker_find (q, id);
      if (w == NULL || w->quarantined || !in_window (q, s->failure[i].at, now))
        continue;
      s->unquarantined_mask |= 1U << i;
      if (worker_trusted (q, id, job, now))
        s->trusted_mask |= 1U << i;
    }
}

/* Returns whether S, which is JOB or a task of it, is itself at fault.  Apart
   from WORKER, it succeeded nowhere and failed on quarantine.job_workers
   workers that are known to work, or on twice as many that are not
   quarantined.  */
bool
rr_quarantine_subject_at_fault (const struct rr_quarantine *q,
                                struct rr_subject *s, uint64_t job,
                                uint64_t worker, struct rr_time now)
{
  if (s == NULL || s->failure_count < q->policy->quarantine_job_workers
      || rr_quarantine_subject_succeeds_elsewhere (q, s, worker, now))
    return false;
  fault_masks_update (q, s, job, now);
  unsigned others = ~0U;
  for (int i = 0; i < s->failure_count; i++)
    if (s->failure[i].worker == worker)
      others &= ~(1U << i);
  return __builtin_popcount (s->trusted_mask & others)
             >= q->policy->quarantine_job_workers
         || __builtin_popcount (s->unquarantined_mask & others)
                >= 2 * q->policy->quarantine_job_workers;
}

/* Counts the starts of W.  Failures of a job or task that is itself at fault
   are counted separately.  */
static void
start_counts_update (const struct rr_quarantine *q,
                     struct rr_quarantine_worker *w, struct rr_time now)
{
  struct rr_quarantine_start_counts t = { 0 };
  struct rr_time last_success = last_successful_start (q, w, now);
  w->start_counts_until = rr_time_add (now, RR_QUARANTINE_CACHE_MS);
  for (int i = 0; i < RR_QUARANTINE_STARTS; i++)
    {
      const struct rr_quarantine_start *s = &w->starts[i];
      if (start_successful (q, s, now))
        t.successes_in_window += in_window (q, s->at, now);
      else if (s->state == RR_START_PENDING)
        {
          struct rr_time confirm
              = rr_time_add (s->at, q->policy->quarantine_confirm_ms);
          if (rr_time_before (confirm, w->start_counts_until))
            w->start_counts_until = confirm;
          t.pending++;
        }
      t.withdrawn += s->state == RR_START_WITHDRAWN
                     && rr_time_before (last_success, s->at)
                     && in_window (q, s->at, now);
      if (s->state != RR_START_FAILED || !in_window (q, s->ended_at, now))
        continue;
      struct rr_subject *job
          = rr_evidence_find (&q->evidence, RR_SUBJECT_JOB, s->job);
      struct rr_subject *task
          = rr_evidence_find (&q->evidence, RR_SUBJECT_TASK, s->task);
      if (rr_quarantine_subject_at_fault (q, job, s->job, w->id, now)
          || rr_quarantine_subject_at_fault (q, task, s->job, w->id, now))
        {
          t.job_faults += rr_time_before (last_success, s->at);
          continue;
        }
      bool worker_at_fault
          = rr_quarantine_subject_succeeds_elsewhere (q, job, w->id, now);
      t.worker_faults_in_window += worker_at_fault;
      if (!rr_time_before (last_success, s->at))
        continue;
      t.worker_faults += worker_at_fault;
      t.undetermined += !worker_at_fault;
    }
  w->start_counts = t;
  w->start_counts_at = now;
  w->start_counts_valid = true;
}

/* Returns the counts of W's starts.  They are computed again when a start of W
   was recorded, ended or reached quarantine.confirm, and after
   RR_QUARANTINE_CACHE_MS.  */
struct rr_quarantine_start_counts
rr_quarantine_start_counts (const struct rr_quarantine *q,
                            struct rr_quarantine_worker *w, struct rr_time now)
{
  if (!w->start_counts_valid || rr_time_before (now, w->start_counts_at)
      || !rr_time_before (now, w->start_counts_until))
    start_counts_update (q, w, now);
  return w->start_counts;
}
