#include "dispatch_private.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Gives up tasks under which workers crash.  Such a task ends its worker soon
   after it starts, so that the worker never reports it as running for long;
   most of what else was lost with the worker had run before.  Tasks that are
   suspected are started on different workers, so that each crash tells more
   about them.

   That a worker was lost soon after a start is no proof: it may be out of
   reach, or have been lost for another reason.  So a suspicion is withdrawn
   when the worker is heard again in the same life, and when many of the
   workers beside it, on which nothing had just started, were lost at about the
   same time.  A task is given up only when its suspicions have stood for a
   while.  */

enum
{
  /* A run that is reported as running for this long after its start has not
     crashed its worker.  */
  SURVIVAL_MS = 500,
  /* From this many crashes on, a task is started where nothing else starts
     until it has survived.  */
  TRIAL_CRASHES = 2,
  /* A task is not started any more after this many crashes in a row.  */
  CRASHES_MAX = 3,
  /* The stored count of a task that was given up.  */
  CRASHES_GIVEN_UP = CRASHES_MAX + 1,
  /* Losses of workers are noticed up to the interval between polls and the
     time for an answer after they happened; closer ones may have one cause. */
  SAME_CAUSE_MS = 1500,
  /* A worker that has been silent for this long counts as lost.  */
  SILENCE_MS = 2000,
  /* Until a task is given up: longer than its worker, if that is only out of
     reach, usually takes to answer again.  */
  CONFIRM_MS = 10000,
  /* The same if the worker has restarted: until other losses of the time are
     known.  */
  CONFIRM_RESTARTED_MS = SILENCE_MS + SAME_CAUSE_MS,
  /* Shares of the workers of a rack, and of the shard, which are not lost at
     the same time by chance, and their least number.  Only workers on which
     nothing had just started count: a job whose tasks crash their workers may
     start many at once.  */
  RACK_LOSS_PERCENT = 50,
  SHARD_LOSS_PERCENT = 30,
  LOSSES_MIN = 2,
  /* The same for all workers of the shard: more than such a job uses.  */
  ANY_LOSS_PERCENT = 50,
  ANY_LOSSES_MIN = 8,
  EVIDENCE_KEEP_MS = 60000
};

/* Returns whether workers have crashed under T in its last runs.  */
bool
dispatch_crash_suspected (const struct dispatch_task *t)
{
  return t->crashes > 0;
}

/* Returns whether the next run of T shows if T crashes its worker.  */
bool
dispatch_crash_on_trial (const struct dispatch_task *t)
{
  return t->crashes >= TRIAL_CRASHES;
}

/* Returns whether T is not started any more, or not for now.  */
bool
dispatch_crash_given_up (const struct dispatch_task *t)
{
  return t->crashes >= CRASHES_MAX;
}

static void
suspicion_remove (struct rr_dispatch *d, size_t i)
{
  d->suspicions[i] = d->suspicions[--d->suspicion_count];
}

static bool
same_task (const struct dispatch_suspicion *s, struct rr_handle job,
           uint32_t number)
{
  return rr_handle_equal (s->job, job) && s->number == number;
}

/* Task NUMBER of J has run without a crash of its worker.  */
void
dispatch_crash_clear (struct rr_dispatch *d, struct dispatch_job *j,
                      uint32_t number)
{
  struct dispatch_task *t = &j->tasks[number];
  if (t->crashes == 0)
    return;
  t->crashes = 0;
  t->restored_crashes = 0;
  j->version++;
  for (size_t i = d->suspicion_count; i-- > 0;)
    if (same_task (&d->suspicions[i], j->handle, number))
      suspicion_remove (d, i);
}

/* The worker of R has reported that it is running.  */
void
dispatch_crash_run_reported (struct rr_dispatch *d,
                             const struct dispatch_worker *w,
                             struct dispatch_run *r, struct rr_time now)
{
  if (r->survived || rr_time_diff (now, r->started) < SURVIVAL_MS)
    return;
  r->survived = true;
  struct dispatch_job *j = dispatch_job_get (d, r->job);
  if (j != NULL
      && dispatch_task_placed_as (&j->tasks[r->number], r->name.run,
                                  w->handle))
    dispatch_crash_clear (d, j, r->number);
}

/* Withdraws suspicion I for REASON.  */
static void
suspicion_withdraw (struct rr_dispatch *d, size_t i, const char *reason)
{
  struct dispatch_suspicion s = d->suspicions[i];
  suspicion_remove (d, i);
  struct dispatch_job *j = dispatch_job_get (d, s.job);
  if (j == NULL || j->tasks[s.number].crashes == 0
      || j->tasks[s.number].crashes >= CRASHES_GIVEN_UP)
    return;
  struct rr_run_name name;
  dispatch_task_name (j, s.number, &name);
  j->tasks[s.number].crashes--;
  j->version++;
  dispatch_log_decision (
      d, "crash_not_suspected",
      "job=%s task=%d.%d.%d vm=%s reason=%s crashes=%u max=%d", name.job,
      name.occurrence, name.step, name.task, s.worker, reason,
      j->tasks[s.number].crashes, CRASHES_MAX);
}

/* W has answered: it has not crashed in its present life.  */
void
dispatch_crash_worker_heard (struct rr_dispatch *d,
                             const struct dispatch_worker *w)
{
  for (size_t i = d->suspicion_count; i-- > 0;)
    if (d->suspicions[i].started_ms == w->info.started_ms
        && strcmp (d->suspicions[i].worker, w->info.id) == 0)
      suspicion_withdraw (d, i, "vm-heard");
}

static bool
same_time (struct rr_time a, struct rr_time b)
{
  int64_t apart_ms = rr_time_diff (a, b);
  return apart_ms <= SAME_CAUSE_MS && apart_ms >= -SAME_CAUSE_MS;
}

/* Returns whether a loss is of the same time as AT, and the loss of the same
   worker at PREVIOUS, 0 for none, is not.  */
static bool
first_loss (struct rr_time loss, struct rr_time previous, struct rr_time at)
{
  return same_time (loss, at)
         && (previous.ms == 0 || !same_time (previous, at));
}

/* Workers that were lost at about the same time, each counted once: tasks that
   crash few workers may do so several times in that time.  */
struct loss_count
{
  size_t unprovoked; /* nothing had been started on them shortly before */
  size_t all;
  size_t others; /* were not lost then */
};

/* Counts the workers of RACK, or of the shard if that is null, that were lost
   when one was that was last heard AT.  */
static struct loss_count
losses_count (struct rr_dispatch *d, const char *rack, struct rr_time at)
{
  struct loss_count n = { 0 };
  for (size_t i = 0; i < d->loss_count; i++)
    {
      const struct dispatch_loss *l = &d->losses[i];
      if (rack != NULL && strcmp (l->rack, rack) != 0)
        continue;
      n.all += first_loss (l->at, l->previous, at) ? 1 : 0;
      n.unprovoked
          += !l->provoked && first_loss (l->at, l->previous_unprovoked, at)
                 ? 1
                 : 0;
    }
  struct rr_handle h = { 0 };
  const struct dispatch_worker *w;
  while ((w = rr_table_next (d->workers, &h)) != NULL)
    if (w->heard && !(w->lost && same_time (w->lost_at, at))
        && (rack == NULL || strcmp (w->info.rack, rack) == 0))
      n.others++;
  return n;
}

static bool
is_share (size_t part, size_t rest, size_t percent, size_t least)
{
  return part >= least && part * 100 >= (part + rest) * percent;
}

/* Returns whether so many workers were lost with the one of S that their
   losses have another cause than a task.  */
static bool
many_lost (struct rr_dispatch *d, const struct dispatch_suspicion *s)
{
  struct loss_count rack = losses_count (d, s->rack, s->lost_at);
  struct loss_count shard = losses_count (d, NULL, s->lost_at);
  return is_share (rack.unprovoked, rack.others, RACK_LOSS_PERCENT, LOSSES_MIN)
         || is_share (shard.unprovoked, shard.others, SHARD_LOSS_PERCENT,
                      LOSSES_MIN)
         || is_share (shard.all, shard.others, ANY_LOSS_PERCENT,
                      ANY_LOSSES_MIN);
}

/* Returns whether a run that was sent to W may have crashed it.  */
static bool
has_fresh_run (const struct dispatch_worker *w)
{
  for (size_t i = 0; i < w->run_count; i++)
    if (!w->runs[i].queued && !w->runs[i].survived)
      return true;
  return false;
}

/* Takes note that W is lost.  */
static void
loss_note (struct rr_dispatch *d, struct dispatch_worker *w,
           struct rr_time now)
{
  if (w->loss_noted || !w->heard || w->info.draining)
    return;
  w->loss_noted = true;
  size_t kept = 0;
  for (size_t i = 0; i < d->loss_count; i++)
    if (rr_time_diff (now, d->losses[i].at) < EVIDENCE_KEEP_MS)
      d->losses[kept++] = d->losses[i];
  d->losses = realloc (d->losses, (kept + 1) * sizeof *d->losses);
  assert (d->losses != NULL);
  struct dispatch_loss *l = &d->losses[kept++];
  *l = (struct dispatch_loss){ .at = w->last_report,
                               .provoked = has_fresh_run (w),
                               .previous = w->lost_at,
                               .previous_unprovoked = w->lost_unprovoked_at };
  snprintf (l->rack, sizeof l->rack, "%s", w->info.rack);
  d->loss_count = kept;
  w->lost = true;
  w->lost_at = w->last_report;
  if (!l->provoked)
    w->lost_unprovoked_at = w->last_report;
}

/* Takes note of W if it has been silent for long.  */
void
dispatch_crash_silence_check (struct rr_dispatch *d, struct dispatch_worker *w,
                              struct rr_time now)
{
  if (w->unresponsive && rr_time_diff (now, w->last_report) >= SILENCE_MS)
    loss_note (d, w, now);
}

static struct dispatch_suspicion *
suspicion_add (struct rr_dispatch *d, struct rr_handle job, uint32_t number)
{
  d->suspicions = realloc (d->suspicions,
                           (d->suspicion_count + 1) * sizeof *d->suspicions);
  assert (d->suspicions != NULL);
  struct dispatch_suspicion *s = &d->suspicions[d->suspicion_count++];
  *s = (struct dispatch_suspicion){ .job = job, .number = number };
  return s;
}

/* Restores the STORED count of crashes under task NUMBER of J, of which this
   owner knows nothing else.  */
void
dispatch_crash_restore (struct rr_dispatch *d, struct dispatch_job *j,
                        uint32_t number, uint32_t stored, struct rr_time now)
{
  struct dispatch_task *t = &j->tasks[number];
  t->crashes = stored;
  t->restored_crashes = stored;
  if (stored != CRASHES_MAX)
    return;
  struct dispatch_suspicion *s = suspicion_add (d, j->handle, number);
  s->lost_at = now;
  s->stands_at = rr_time_add (now, CONFIRM_MS);
}

/* Another shard has counted CRASHES under T, of which this owner knows nothing
   else.  The last one that gives it up is counted by the shard that saw it. */
void
dispatch_crash_receive (struct dispatch_task *t, uint32_t crashes)
{
  if (crashes >= CRASHES_MAX)
    crashes = CRASHES_MAX - 1;
  if (crashes <= t->crashes)
    return;
  t->crashes = crashes;
  t->restored_crashes = crashes;
}

/* A worker has listed how a run of task NUMBER of J ended, so it did not crash
   under that run.  If a former owner had suspected that, its count has one too
   many.  */
void
dispatch_crash_end_reported (struct rr_dispatch *d, struct dispatch_job *j,
                             uint32_t number)
{
  struct dispatch_task *t = &j->tasks[number];
  if (t->restored_crashes == 0 || t->crashes == 0
      || t->crashes >= CRASHES_GIVEN_UP)
    return;
  t->restored_crashes--;
  t->crashes--;
  j->version++;
  struct rr_run_name name;
  dispatch_task_name (j, number, &name);
  dispatch_log_decision (
      d, "crash_not_suspected",
      "job=%s task=%d.%d.%d reason=end-reported crashes=%u max=%d", name.job,
      name.occurrence, name.step, name.task, t->crashes, CRASHES_MAX);
}

/* Counts a crash under the task of R, which is not started any more after the
   last one, until it is given up.  */
static void
crash_count (struct rr_dispatch *d, struct dispatch_run *r,
             const struct dispatch_worker *w, bool restarted,
             const char *reason, struct rr_time now)
{
  struct dispatch_job *j = dispatch_job_get (d, r->job);
  if (j == NULL
      || !dispatch_task_placed_as (&j->tasks[r->number], r->name.run,
                                   w->handle))
    return;
  struct dispatch_task *t = &j->tasks[r->number];
  r->crash_counted = true;
  t->failed_worker = w->handle;
  t->crashes++;
  j->version++;
  struct dispatch_suspicion *s = suspicion_add (d, r->job, r->number);
  snprintf (s->worker, sizeof s->worker, "%s", w->info.id);
  snprintf (s->rack, sizeof s->rack, "%s", w->info.rack);
  s->started_ms = w->info.started_ms;
  s->lost_at = w->last_report;
  s->stands_at
      = rr_time_add (now, restarted ? CONFIRM_RESTARTED_MS : CONFIRM_MS);
  dispatch_log_decision (
      d, "crash_suspected",
      "job=%s task=%d.%d.%d run=%llu vm=%s reason=%s crashes=%u max=%d",
      r->name.job, r->name.occurrence, r->name.step, r->name.task,
      (unsigned long long)r->name.run, w->info.id, reason, t->crashes,
      CRASHES_MAX);
}

/* The runs of W are lost with it for REASON.  Counts a crash for those that
   may have caused it: it is known that they have started.  A worker that is
   still registered when its leases have expired is only out of reach.  */
void
dispatch_crash_worker_lost (struct rr_dispatch *d, struct dispatch_worker *w,
                            bool restarted, const char *reason,
                            struct rr_time now)
{
  loss_note (d, w, now);
  if (w->registered && !restarted)
    return;
  for (size_t i = 0; i < w->run_count; i++)
    {
      struct dispatch_run *r = &w->runs[i];
      if (r->phase == RUN_RUNNING && !r->survived && !r->crash_counted)
        crash_count (d, r, w, restarted, reason, now);
    }
}

/* Gives up task NUMBER of J.  The other tasks of a divided job go on, since
   other shards run them too.  */
static void
task_give_up (struct rr_dispatch *d, struct dispatch_job *j, uint32_t number)
{
  struct dispatch_task *t = &j->tasks[number];
  struct rr_run_name name;
  dispatch_task_name (j, number, &name);
  dispatch_log_decision (d, j->graph->divided ? "task_given_up" : "job_failed",
                         "job=%s task=%d.%d.%d crashes=%u max=%d", name.job,
                         name.occurrence, name.step, name.task, t->crashes,
                         CRASHES_MAX);
  t->crashes = CRASHES_GIVEN_UP;
  j->version++;
  if (!j->graph->divided && !j->cancelled && j->phase != RR_PHASE_FAILED
      && j->phase != RR_PHASE_COMPLETED)
    dispatch_job_fail (d, j);
}

/* Withdraws suspicions that are explained by the losses of other workers.  */
static void
suspicions_check (struct rr_dispatch *d, struct rr_time now)
{
  for (size_t i = d->suspicion_count; i-- > 0;)
    {
      const struct dispatch_suspicion *s = &d->suspicions[i];
      if (s->worker[0] != '\0' && rr_time_before (now, s->stands_at)
          && many_lost (d, s))
        suspicion_withdraw (d, i, "many-lost");
    }
}

/* Returns whether all suspicions of task NUMBER of JOB stand.  */
static bool
suspicions_stand (const struct rr_dispatch *d, struct rr_handle job,
                  uint32_t number, struct rr_time now)
{
  for (size_t i = 0; i < d->suspicion_count; i++)
    if (same_task (&d->suspicions[i], job, number)
        && rr_time_before (now, d->suspicions[i].stands_at))
      return false;
  return true;
}

/* Withdraws suspicions, gives up the tasks whose suspicions have all stood for
   long enough, and forgets old ones.  */
void
dispatch_crash_audit (struct rr_dispatch *d, struct rr_time now)
{
  suspicions_check (d, now);
  for (size_t i = d->suspicion_count; i-- > 0;)
    {
      const struct dispatch_suspicion s = d->suspicions[i];
      struct dispatch_job *j = dispatch_job_get (d, s.job);
      if (j == NULL || rr_time_diff (now, s.stands_at) >= EVIDENCE_KEEP_MS)
        suspicion_remove (d, i);
      else if (j->tasks[s.number].crashes == CRASHES_MAX
               && suspicions_stand (d, s.job, s.number, now))
        task_give_up (d, j, s.number);
    }
}
