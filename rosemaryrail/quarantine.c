#include "rosemaryrail/quarantine.h"

#include <stdlib.h>
#include <string.h>

#include "quarantine_state.h"

/* Returns the quarantine of one ledger owner; the caller frees it with
   rr_quarantine_free.  POLICY must outlive it.  Aborts when memory is
   exhausted.  */
struct rr_quarantine *
rr_quarantine_new (const struct rr_policy *policy)
{
  struct rr_quarantine *q = calloc (1, sizeof *q);
  if (q == NULL)
    abort ();
  q->policy = policy;
  return q;
}

/* Frees Q, which may be null.  */
void
rr_quarantine_free (struct rr_quarantine *q)
{
  if (q == NULL)
    return;
  free (q->workers);
  rr_id_map_free (&q->index);
  rr_evidence_free (&q->evidence);
  free (q);
}

/* Adds WORKER without recorded starts.  Adding a known worker clears its
   record; an operator ends a quarantine that way.  */
void
rr_quarantine_worker_add (struct rr_quarantine *q, uint64_t worker, int zone)
{
  struct rr_quarantine_worker *w = rr_quarantine_worker_find (q, worker);
  if (w == NULL)
    {
      if (q->count == q->capacity)
        {
          q->capacity = q->capacity == 0 ? 16 : q->capacity * 2;
          q->workers = realloc (q->workers, q->capacity * sizeof *q->workers);
          if (q->workers == NULL)
            abort ();
        }
      w = &q->workers[q->count++];
      *rr_id_map_put (&q->index, worker) = q->count;
    }
  memset (w, 0, sizeof *w);
  w->id = worker;
  w->zone = zone;
}

/* Removes WORKER.  The outcomes of jobs recorded on it are kept.  */
void
rr_quarantine_worker_remove (struct rr_quarantine *q, uint64_t worker)
{
  struct rr_quarantine_worker *w = rr_quarantine_worker_find (q, worker);
  if (w == NULL)
    return;
  rr_id_map_remove (&q->index, worker);
  *w = q->workers[--q->count];
  if (w != &q->workers[q->count])
    *rr_id_map_put (&q->index, w->id) = (uint64_t)(w - q->workers) + 1;
}

/* Returns whether a worker with the counts T is to be quarantined.  Failures
   attributed to a job and withdrawn starts count only together with other
   failures, and against a limit that is lower by one, since that start is kept
   for a probe.  A worker that succeeds from time to time is quarantined when
   the failures attributed to it outnumber its successes four to one.  */
static bool
limits_exceeded (const struct rr_quarantine *q,
                 const struct rr_quarantine_start_counts *t)
{
  const struct rr_policy *policy = q->policy;
  int64_t suspected = t->worker_faults + t->undetermined;
  return t->worker_faults >= policy->quarantine_failures
         || suspected >= policy->quarantine_starts_max
         || (suspected > 0
             && suspected + t->job_faults + t->withdrawn
                    >= policy->quarantine_starts_max - 1)
         || (t->worker_faults_in_window >= 2 * policy->quarantine_failures
             && t->worker_faults_in_window >= 4 * t->successes_in_window);
}

/* Returns whether the caps on quarantined workers allow one more of ZONE.  The
   first worker of the fleet may always be quarantined, whatever the caps.  */
static bool
cap_permits (const struct rr_quarantine *q, int zone)
{
  size_t in_zone = 0;
  size_t quarantined_in_zone = 0;
  size_t quarantined_total = 0;
  for (size_t i = 0; i < q->count; i++)
    {
      quarantined_total += q->workers[i].quarantined;
      if (q->workers[i].zone == zone)
        {
          in_zone++;
          quarantined_in_zone += q->workers[i].quarantined;
        }
    }
  double zone_max = q->policy->quarantine_zone_share_max * (double)in_zone;
  double all_max = q->policy->quarantine_fleet_share_max * (double)q->count;
  return (quarantined_in_zone == 0 && quarantined_total == 0)
         || ((double)(quarantined_in_zone + 1) <= zone_max
             && (double)(quarantined_total + 1) <= all_max);
}

/* Ends the quarantine of W and drops its recorded failures.  Successful starts
   are kept, so that W is trusted again and its later failures can be
   attributed to a job.  */
static void
worker_release (struct rr_quarantine_worker *w)
{
  w->quarantined = false;
  w->start_counts_valid = false;
  for (int i = 0; i < RR_QUARANTINE_STARTS; i++)
    if (w->starts[i].state == RR_START_FAILED)
      w->starts[i].state = RR_START_UNUSED;
}

/* Records the starts of W that have run for quarantine.confirm as successes
   of their jobs.  A long task would otherwise have no outcome for days.  */
static void
starts_confirm (struct rr_quarantine *q, struct rr_quarantine_worker *w,
                struct rr_time now)
{
  for (int i = 0; i < RR_QUARANTINE_STARTS; i++)
    {
      struct rr_quarantine_start *s = &w->starts[i];
      if (s->state != RR_START_PENDING || s->confirmed
          || rr_time_diff (now, s->at) < q->policy->quarantine_confirm_ms)
        continue;
      s->confirmed = true;
      w->start_counts_valid = false;
      rr_evidence_add (&q->evidence, RR_SUBJECT_JOB, s->job, w->id, true, now,
                       q->policy->quarantine_window_ms);
      w->probes_succeeded += w->quarantined;
    }
  if (w->quarantined
      && w->probes_succeeded >= q->policy->quarantine_probe_successes)
    worker_release (w);
}

/* Starts or ends the quarantine of W as its starts require at NOW.  */
static void
worker_state_update (struct rr_quarantine *q, struct rr_quarantine_worker *w,
                     struct rr_time now)
{
  starts_confirm (q, w, now);
  if (w->quarantined)
    {
      if (rr_time_diff (now, w->quarantined_since)
          < q->policy->quarantine_reopen_ms)
        return;
      worker_release (w);
      return;
    }
  struct rr_quarantine_start_counts t = rr_quarantine_start_counts (q, w, now);
  if (!limits_exceeded (q, &t) || !cap_permits (q, w->zone))
    return;
  w->quarantined = true;
  w->quarantined_since = now;
  w->probes_failed = 0;
  w->probes_succeeded = 0;
}

/* Returns how many more starts a worker with the counts T may be given.  Once
   a failure is not attributed to a job, failures that are and withdrawn starts
   count too: a worker on which everything fails is also given tasks that fail
   everywhere, and relief moves tasks away from it before they fail.  */
static int64_t
starts_remaining (const struct rr_quarantine *q,
                  const struct rr_quarantine_start_counts *t)
{
  int64_t suspected = t->worker_faults + t->undetermined;
  return q->policy->quarantine_starts_max - t->pending - suspected
         - (suspected > 0 ? t->job_faults + t->withdrawn : 0);
}

/* Returns the state of WORKER at NOW; an unknown worker is clear.  */
enum rr_quarantine_state
rr_quarantine_state (struct rr_quarantine *q, uint64_t worker,
                     struct rr_time now)
{
  struct rr_quarantine_worker *w = rr_quarantine_worker_find (q, worker);
  if (w == NULL)
    return RR_QUARANTINE_CLEAR;
  worker_state_update (q, w, now);
  struct rr_quarantine_start_counts t = rr_quarantine_start_counts (q, w, now);
  if (w->quarantined)
    return t.pending == 0 && starts_remaining (q, &t) <= 0
               ? RR_QUARANTINE_EXHAUSTED
               : RR_QUARANTINE_ACTIVE;
  if (limits_exceeded (q, &t))
    return RR_QUARANTINE_CAPPED;
  return t.worker_faults + t.undetermined > 0 ? RR_QUARANTINE_SUSPECT
                                              : RR_QUARANTINE_CLEAR;
}

/* Returns whether WORKER may be given a start at NOW.  A worker never has more
   than quarantine.starts_max starts that neither succeeded nor failed through
   the fault of a job.  Pending starts are included, so that a worker on which
   everything fails gets no more starts even if all fail at once.  */
enum rr_quarantine_verdict
rr_quarantine_check (struct rr_quarantine *q, uint64_t worker,
                     struct rr_time now)
{
  struct rr_quarantine_worker *w = rr_quarantine_worker_find (q, worker);
  if (w == NULL)
    return RR_QUARANTINE_ALLOW;
  enum rr_quarantine_state state = rr_quarantine_state (q, worker, now);
  struct rr_quarantine_start_counts t = rr_quarantine_start_counts (q, w, now);
  int64_t since = rr_time_diff (now, w->last_start);
  int64_t delay = q->policy->quarantine_probe_delay_ms;
  int64_t suspected = t.worker_faults + t.undetermined;
  switch (state)
    {
    case RR_QUARANTINE_CLEAR:
    case RR_QUARANTINE_SUSPECT:
      /* The last starts are kept for probes: a healthy worker passes them even
         when its failures so far came from a bad job.  */
      if ((suspected > 0
           && suspected + t.pending >= q->policy->quarantine_failures)
          || (suspected + t.job_faults > 0
              && suspected + t.job_faults + t.withdrawn + t.pending
                     >= q->policy->quarantine_starts_max - 1))
        return t.pending == 0 && starts_remaining (q, &t) > 0
                       && t.worker_faults < q->policy->quarantine_failures
                   ? RR_QUARANTINE_PROBE
                   : RR_QUARANTINE_WAIT;
      return starts_remaining (q, &t) > 0 ? RR_QUARANTINE_ALLOW
                                          : RR_QUARANTINE_WAIT;
    case RR_QUARANTINE_CAPPED:
      /* Beyond the cap the limit on starts does not apply, but the starts are
         rate-limited.  */
      return t.pending == 0 && since >= delay ? RR_QUARANTINE_PROBE
                                              : RR_QUARANTINE_WAIT;
    case RR_QUARANTINE_ACTIVE:
      if (w->probes_failed < 16)
        delay <<= w->probes_failed;
      return t.pending == 0 && starts_remaining (q, &t) > 0
                     && rr_time_diff (now, w->quarantined_since) >= delay
                     && since >= delay
                 ? RR_QUARANTINE_PROBE
                 : RR_QUARANTINE_WAIT;
    case RR_QUARANTINE_EXHAUSTED:
      return RR_QUARANTINE_WAIT;
    }
  return RR_QUARANTINE_WAIT;
}

/* Returns the entry of the pending start of TASK on W, or null.  */
static struct rr_quarantine_start *
start_find (struct rr_quarantine_worker *w, uint64_t task)
{
  for (int i = 0; i < RR_QUARANTINE_STARTS; i++)
    if (w->starts[i].state == RR_START_PENDING && w->starts[i].task == task)
      return &w->starts[i];
  return NULL;
}

/* Returns an entry for a new start: a free one, else the oldest that has
   ended, else the oldest.  */
static struct rr_quarantine_start *
start_entry_get (struct rr_quarantine_worker *w)
{
  struct rr_quarantine_start *best = &w->starts[0];
  for (int i = 0; i < RR_QUARANTINE_STARTS; i++)
    {
      struct rr_quarantine_start *s = &w->starts[i];
      if (s->state == RR_START_UNUSED)
        return s;
      bool ended = s->state != RR_START_PENDING;
      bool best_ended = best->state != RR_START_PENDING;
      if (ended != best_ended ? ended : rr_time_before (s->at, best->at))
        best = s;
    }
  return best;
}

/* Records that an attempt of TASK (of JOB) was started on WORKER.  */
void
rr_quarantine_attempt_started (struct rr_quarantine *q, uint64_t worker,
                               uint64_t task, uint64_t job, struct rr_time now)
{
  struct rr_quarantine_worker *w = rr_quarantine_worker_find (q, worker);
  if (w == NULL)
    return;
  *start_entry_get (w) = (struct rr_quarantine_start){
    .state = RR_START_PENDING, .task = task, .job = job, .at = now
  };
  w->last_start = now;
  w->start_counts_valid = false;
}

/* Records the outcome of TASK's attempt on WORKER, for the worker and as
   evidence about JOB and TASK.  */
static void
attempt_ended (struct rr_quarantine *q, uint64_t worker, uint64_t task,
               uint64_t job, bool success, struct rr_time now)
{
  int64_t window = q->policy->quarantine_window_ms;
  struct rr_quarantine_worker *w = rr_quarantine_worker_find (q, worker);
  struct rr_quarantine_start *s = w == NULL ? NULL : start_find (w, task);
  if (s != NULL && s->confirmed && !success)
    rr_evidence_success_withdraw (&q->evidence, RR_SUBJECT_JOB, job, worker);
  rr_evidence_add (&q->evidence, RR_SUBJECT_JOB, job, worker, success, now,
                   window);
  rr_evidence_add (&q->evidence, RR_SUBJECT_TASK, task, worker, success, now,
                   window);
  if (w == NULL)
    return;
  if (s == NULL && success)
    return; /* the time of its start is unknown */
  if (s == NULL)
    {
      s = start_entry_get (w);
      *s = (struct rr_quarantine_start){ .task = task, .job = job, .at = now };
    }
  s->state = success ? RR_START_SUCCEEDED : RR_START_FAILED;
  s->ended_at = now;
  w->start_counts_valid = false;
  if (!w->quarantined)
    return;
  if (!success)
    {
      w->probes_failed++;
      w->probes_succeeded = 0;
    }
  else if (!s->confirmed)
    {
      w->probes_succeeded++;
      starts_confirm (q, w, now);
    }
}

/* Records that TASK's attempt on WORKER succeeded.  */
void
rr_quarantine_attempt_succeeded (struct rr_quarantine *q, uint64_t worker,
                                 uint64_t task, uint64_t job,
                                 struct rr_time now)
{
  attempt_ended (q, worker, task, job, true, now);
}

/* Records that TASK's attempt on WORKER failed.  Evictions, cancellations and
   lost workers are not failures: see rr_quarantine_attempt_withdrawn.  */
void
rr_quarantine_attempt_failed (struct rr_quarantine *q, uint64_t worker,
                              uint64_t task, uint64_t job, struct rr_time now)
{
  attempt_ended (q, worker, task, job, false, now);
}

/* Records that TASK was moved away from WORKER or cancelled, which is evidence
   about neither.  */
void
rr_quarantine_attempt_withdrawn (struct rr_quarantine *q, uint64_t worker,
                                 uint64_t task)
{
  struct rr_quarantine_worker *w = rr_quarantine_worker_find (q, worker);
  struct rr_quarantine_start *s = w == NULL ? NULL : start_find (w, task);
  if (s == NULL)
    return;
  s->state = s->confirmed ? RR_START_UNUSED : RR_START_WITHDRAWN;
  w->start_counts_valid = false;
}

/* Returns whether JOB itself is at fault for its failures.  Its next attempts
   should then be delayed with exponential backoff.  */
bool
rr_quarantine_job_suspect (struct rr_quarantine *q, uint64_t job,
                           struct rr_time now)
{
  struct rr_subject *s = rr_evidence_find (&q->evidence, RR_SUBJECT_JOB, job);
  return rr_quarantine_subject_at_fault (q, s, job, 0, now);
}

/* Returns whether JOB succeeded on some worker in quarantine.window, so that
   its tasks are suitable as probes.  */
bool
rr_quarantine_job_succeeded_recently (struct rr_quarantine *q, uint64_t job,
                                      struct rr_time now)
{
  const struct rr_subject *s
      = rr_evidence_find (&q->evidence, RR_SUBJECT_JOB, job);
  return rr_quarantine_subject_succeeds_elsewhere (q, s, 0, now);
}

/* Fills OUT with the number of workers in each state.  */
void
rr_quarantine_count (struct rr_quarantine *q, struct rr_time now,
                     struct rr_quarantine_counts *out)
{
  memset (out, 0, sizeof *out);
  out->workers = q->count;
  for (size_t i = 0; i < q->count; i++)
    switch (rr_quarantine_state (q, q->workers[i].id, now))
      {
      case RR_QUARANTINE_CLEAR:
        break;
      case RR_QUARANTINE_SUSPECT:
        out->suspect++;
        break;
      case RR_QUARANTINE_CAPPED:
        out->capped++;
        break;
      case RR_QUARANTINE_ACTIVE:
      case RR_QUARANTINE_EXHAUSTED:
        out->out++;
        break;
      }
}
