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

/* Adds WORKER with a clean record.  Adding a known one clears its record,
   which is how an operator takes it back.  */
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

/* Forgets WORKER; what it showed about jobs stays.  */
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

/* Tells whether T is enough to take a worker out.  Excused failures and
   withdrawn starts count only beside others, and one start less, which is kept
   for the probe.  A worker
   that succeeds now and then is taken out when blame outweighs success four to
   one.  */
static bool
condemned (const struct rr_quarantine *q,
           const struct rr_quarantine_start_counts *t)
{
  const struct rr_policy *policy = q->policy;
  int64_t open = t->blamed + t->unknown;
  return t->blamed >= policy->quarantine_failures
         || open >= policy->quarantine_starts_max
         || (open > 0
             && open + t->job_faults + t->withdrawn
                    >= policy->quarantine_starts_max - 1)
         || (t->blamed_all >= 2 * policy->quarantine_failures
             && t->blamed_all >= 4 * t->successes_in_window);
}

/* Tells whether one more worker of ZONE may be taken out.  One worker of a
   zone always may.  */
static bool
cap_allows (const struct rr_quarantine *q, int zone)
{
  size_t in_zone = 0;
  size_t out_zone = 0;
  size_t out_all = 0;
  for (size_t i = 0; i < q->count; i++)
    {
      out_all += q->workers[i].out;
      if (q->workers[i].zone == zone)
        {
          in_zone++;
          out_zone += q->workers[i].out;
        }
    }
  double zone_max = q->policy->quarantine_zone_share_max * (double)in_zone;
  double all_max = q->policy->quarantine_fleet_share_max * (double)q->count;
  return (out_zone == 0 && out_all == 0)
         || ((double)(out_zone + 1) <= zone_max
             && (double)(out_all + 1) <= all_max);
}

/* Lets W back with a clean record of failures.  Good starts stay, so that its
   later failures can speak against a job.  */
static void
worker_return (struct rr_quarantine_worker *w)
{
  w->out = false;
  w->tally_valid = false;
  for (int i = 0; i < RR_QUARANTINE_STARTS; i++)
    if (w->starts[i].state == RR_START_FAILED)
      w->starts[i].state = RR_START_UNUSED;
}

/* Records the starts of W that have run for quarantine.confirm as successes
   of their jobs.  Long tasks would otherwise say nothing for days.  */
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
      w->tally_valid = false;
      rr_evidence_add (&q->evidence, RR_SUBJECT_JOB, s->job, w->id, true, now,
                       q->policy->quarantine_window_ms);
      w->probes_succeeded += w->out;
    }
  if (w->out && w->probes_succeeded >= q->policy->quarantine_probe_successes)
    worker_return (w);
}

/* Brings the state of W up to date.  */
static void
review (struct rr_quarantine *q, struct rr_quarantine_worker *w,
        struct rr_time now)
{
  starts_confirm (q, w, now);
  if (w->out)
    {
      if (rr_time_diff (now, w->out_since) < q->policy->quarantine_reopen_ms)
        return;
      worker_return (w);
      return;
    }
  struct rr_quarantine_start_counts t = rr_quarantine_start_counts (q, w, now);
  if (!condemned (q, &t) || !cap_allows (q, w->zone))
    return;
  w->out = true;
  w->out_since = now;
  w->probes_failed = 0;
  w->probes_succeeded = 0;
}

/* Returns the starts left to a worker with T.  Once a failure is not excused,
   those that are excused or were withdrawn count too: a worker that fails
   everything is also given tasks that fail everywhere, and relief moves tasks
   away from it before they fail.  */
static int64_t
starts_left (const struct rr_quarantine *q,
             const struct rr_quarantine_start_counts *t)
{
  int64_t open = t->blamed + t->unknown;
  return q->policy->quarantine_starts_max - t->pending - open
         - (open > 0 ? t->job_faults + t->withdrawn : 0);
}

/* Returns the state of WORKER at NOW; an unknown worker is clear.  */
enum rr_quarantine_state
rr_quarantine_state (struct rr_quarantine *q, uint64_t worker,
                     struct rr_time now)
{
  struct rr_quarantine_worker *w = rr_quarantine_worker_find (q, worker);
  if (w == NULL)
    return RR_QUARANTINE_CLEAR;
  review (q, w, now);
  struct rr_quarantine_start_counts t = rr_quarantine_start_counts (q, w, now);
  if (w->out)
    return t.pending == 0 && starts_left (q, &t) <= 0 ? RR_QUARANTINE_EXHAUSTED
                                                      : RR_QUARANTINE_ACTIVE;
  if (condemned (q, &t))
    return RR_QUARANTINE_CAPPED;
  return t.blamed + t.unknown > 0 ? RR_QUARANTINE_SUSPECT
                                  : RR_QUARANTINE_CLEAR;
}

/* Tells whether WORKER may be given a start at NOW.  At no time does a worker
   have more than quarantine.starts_max starts that are neither good nor
   excused, pending ones included, so that a worker that fails everything gets
   no more than that even if it fails them all at once.  */
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
  int64_t open = t.blamed + t.unknown;
  switch (state)
    {
    case RR_QUARANTINE_CLEAR:
    case RR_QUARANTINE_SUSPECT:
      /* The last starts are kept for probes, which a worker that works passes
         even while a bad job makes it look otherwise.  */
      if ((open > 0 && open + t.pending >= q->policy->quarantine_failures)
          || (open + t.job_faults > 0
              && open + t.job_faults + t.withdrawn + t.pending
                     >= q->policy->quarantine_starts_max - 1))
        return t.pending == 0 && starts_left (q, &t) > 0
                       && t.blamed < q->policy->quarantine_failures
                   ? RR_QUARANTINE_PROBE
                   : RR_QUARANTINE_WAIT;
      return starts_left (q, &t) > 0 ? RR_QUARANTINE_ALLOW
                                     : RR_QUARANTINE_WAIT;
    case RR_QUARANTINE_CAPPED:
      /* The cap outranks the limit of starts, but only with paced starts.  */
      return t.pending == 0 && since >= delay ? RR_QUARANTINE_PROBE
                                              : RR_QUARANTINE_WAIT;
    case RR_QUARANTINE_ACTIVE:
      if (w->probes_failed < 16)
        delay <<= w->probes_failed;
      return t.pending == 0 && starts_left (q, &t) > 0
                     && rr_time_diff (now, w->out_since) >= delay
                     && since >= delay
                 ? RR_QUARANTINE_PROBE
                 : RR_QUARANTINE_WAIT;
    case RR_QUARANTINE_EXHAUSTED:
      return RR_QUARANTINE_WAIT;
    }
  return RR_QUARANTINE_WAIT;
}

/* Returns the entry of TASK on W, or null.  */
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
start_slot (struct rr_quarantine_worker *w)
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
  *start_slot (w) = (struct rr_quarantine_start){
    .state = RR_START_PENDING, .task = task, .job = job, .at = now
  };
  w->last_start = now;
  w->tally_valid = false;
}

/* Records the end of TASK's attempt on WORKER and what it shows about JOB and
   TASK.  */
static void
ended (struct rr_quarantine *q, uint64_t worker, uint64_t task, uint64_t job,
       bool success, struct rr_time now)
{
  int64_t window = q->policy->quarantine_window_ms;
  struct rr_quarantine_worker *w = rr_quarantine_worker_find (q, worker);
  struct rr_quarantine_start *s = w == NULL ? NULL : start_find (w, task);
  if (s != NULL && s->confirmed && !success)
    rr_evidence_withdraw (&q->evidence, RR_SUBJECT_JOB, job, worker);
  rr_evidence_add (&q->evidence, RR_SUBJECT_JOB, job, worker, success, now,
                   window);
  rr_evidence_add (&q->evidence, RR_SUBJECT_TASK, task, worker, success, now,
                   window);
  if (w == NULL)
    return;
  if (s == NULL && success)
    return; /* it can't be told when it was started */
  if (s == NULL)
    {
      s = start_slot (w);
      *s = (struct rr_quarantine_start){ .task = task, .job = job, .at = now };
    }
  s->state = success ? RR_START_SUCCEEDED : RR_START_FAILED;
  s->outcome = now;
  w->tally_valid = false;
  if (!w->out)
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

/* Records that TASK's attempt on WORKER ended well.  */
void
rr_quarantine_attempt_succeeded (struct rr_quarantine *q, uint64_t worker,
                                 uint64_t task, uint64_t job,
                                 struct rr_time now)
{
  ended (q, worker, task, job, true, now);
}

/* Records that TASK's attempt on WORKER failed by itself.  Evictions,
   cancellations and lost workers are not failures: see
   rr_quarantine_attempt_withdrawn.  */
void
rr_quarantine_attempt_failed (struct rr_quarantine *q, uint64_t worker,
                              uint64_t task, uint64_t job, struct rr_time now)
{
  ended (q, worker, task, job, false, now);
}

/* Records that TASK left WORKER for a reason that says nothing about either
   (moved, cancelled).  */
void
rr_quarantine_attempt_withdrawn (struct rr_quarantine *q, uint64_t worker,
                                 uint64_t task)
{
  struct rr_quarantine_worker *w = rr_quarantine_worker_find (q, worker);
  struct rr_quarantine_start *s = w == NULL ? NULL : start_find (w, task);
  if (s == NULL)
    return;
  s->state = s->confirmed ? RR_START_UNUSED : RR_START_WITHDRAWN;
  w->tally_valid = false;
}

/* Tells whether JOB is at fault for its failures; its next attempts should
   wait longer and longer.  */
bool
rr_quarantine_job_suspect (struct rr_quarantine *q, uint64_t job,
                           struct rr_time now)
{
  struct rr_subject *s = rr_evidence_find (&q->evidence, RR_SUBJECT_JOB, job);
  return rr_quarantine_at_fault (q, s, job, 0, now);
}

/* Tells whether JOB succeeded lately somewhere, which makes its tasks fit for
   probes.  */
bool
rr_quarantine_job_succeeded_recently (struct rr_quarantine *q, uint64_t job,
                                      struct rr_time now)
{
  const struct rr_subject *s
      = rr_evidence_find (&q->evidence, RR_SUBJECT_JOB, job);
  return rr_quarantine_succeeds_elsewhere (q, s, 0, now);
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
