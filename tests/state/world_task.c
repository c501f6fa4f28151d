#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

static int
worker_index (const struct world *w, uint64_t incarnation)
{
  for (int i = 0; i < w->worker_count; i++)
    if (w->workers[i].incarnation == incarnation)
      return i;
  return -1;
}

/* Returns the reachable worker with the fewest live attempts, or -1.  */
static int
pick_worker (const struct world *w)
{
  int best = -1;
  int best_load = 0;
  for (int i = 0; i < w->worker_count; i++)
    {
      if (!worker_reachable (w, i))
        continue;
      int load = 0;
      for (int j = 0; j < w->run_count; j++)
        load += w->runs[j].worker == i && w->runs[j].live ? 1 : 0;
      if (best < 0 || load < best_load)
        {
          best = i;
          best_load = load;
        }
    }
  return best;
}

static void
append_placed (struct world *w, int d, const struct rr_job *job, uint32_t task,
               uint32_t attempt)
{
  int worker = pick_worker (w);
  if (worker < 0)
    return;
  struct rr_record r = { .kind = RR_RECORD_ATTEMPT_PLACED, .at_ms = w->now };
  struct rr_record_attempt_placed *p = &r.u.attempt_placed;
  memcpy (p->job, job->spec.job, sizeof p->job);
  p->task = task;
  p->attempt = attempt;
  snprintf (p->worker, sizeof p->worker, "%s", w->workers[worker].name);
  p->worker_incarnation = w->workers[worker].incarnation;
  p->void_after_ms = worker_clock (w, worker) + RR_START_WINDOW_MS;
  p->granted_until_ms
      = worker_clock (w, worker) + job->spec.isolation_limit_ms;
  daemon_append (w, d, &r, NULL);
}

static void
append_running (struct world *w, int d, const struct rr_job *job,
                uint32_t task, uint32_t attempt)
{
  struct rr_record r = { .kind = RR_RECORD_ATTEMPT_RUNNING, .at_ms = w->now };
  memcpy (r.u.attempt_running.job, job->spec.job,
          sizeof r.u.attempt_running.job);
  r.u.attempt_running.task = task;
  r.u.attempt_running.attempt = attempt;
  daemon_append (w, d, &r, NULL);
}

static void
append_ended (struct world *w, int d, const struct rr_job *job, uint32_t task,
              uint32_t attempt, enum rr_attempt_result result,
              enum rr_end_proof proof, const char *checkpoint)
{
  struct rr_record r = { .kind = RR_RECORD_ATTEMPT_ENDED, .at_ms = w->now };
  struct rr_record_attempt_ended *p = &r.u.attempt_ended;
  memcpy (p->job, job->spec.job, sizeof p->job);
  p->task = task;
  p->attempt = attempt;
  p->result = result;
  p->proof = proof;
  snprintf (p->checkpoint, sizeof p->checkpoint, "%s", checkpoint);
  daemon_append (w, d, &r, NULL);
}

static void
send_start (struct world *w, int d, struct rr_job *job, uint32_t task,
            int worker)
{
  struct daemon *v = &w->daemons[d];
  const struct rr_task *t = &job->tasks[task];
  struct start s = { .daemon = d,
                     .worker = worker,
                     .task = task,
                     .attempt = t->attempt.number,
                     .shard_epoch = rr_shard_log_epoch (v->log),
                     .void_after_ms = t->attempt.void_after_ms,
                     .granted_until_ms = t->attempt.granted_until_ms,
                     .work_ms = job->spec.work_ms };
  memcpy (s.job, job->spec.job, sizeof s.job);
  memcpy (s.checkpoint, t->checkpoint, sizeof s.checkpoint);
  if (!rr_attempt_start_sent (job, task, s.attempt))
    return;
  if (v->hold_start)
    {
      v->hold_start = false;
      v->has_start = true;
      v->start = s;
      v->paused = true;
      v->paused_at = w->now;
      world_log (w, "%s freezes before it sends the start of %s.%u attempt %u",
                 v->name, s.job, task, s.attempt);
      return;
    }
  if (w->workers[worker].hold_start && w->held_start_count < HELD_MAX)
    {
      w->workers[worker].hold_start = false;
      w->held_starts[w->held_start_count++] = s;
      world_log (w, "%s: the start of %s.%u attempt %u is on its way", v->name,
                 s.job, task, s.attempt);
      rr_attempt_start_response (job, task, s.attempt, RR_START_NO_RESPONSE);
      return;
    }
  enum rr_start_response a = worker_start (w, &s);
  rr_attempt_start_response (job, task, s.attempt, a);
  if (a == RR_START_ACCEPTED)
    append_running (w, d, job, task, s.attempt);
}

static void
seal (struct world *w, int d, const struct rr_job *job, uint32_t task,
      int worker)
{
  char name[RR_NAME_MAX + 16];
  uint32_t attempt = job->tasks[task].attempt.number;
  rr_task_name (job->spec.job, task, name, sizeof name);
  const struct run *r = worker_seal (w, worker, name, attempt,
                                     rr_shard_log_epoch (w->daemons[d].log));
  if (r == NULL)
    return;
  if (r->sealed)
    append_ended (w, d, job, task, attempt, RR_RESULT_NEVER_STARTED,
                  RR_PROOF_SEALED, "");
  else if (r->live)
    append_running (w, d, job, task, attempt);
  else
    append_ended (w, d, job, task, attempt, r->result, RR_PROOF_REPORTED,
                  r->checkpoint);
}

static void
extend_grant (struct world *w, int d, const struct rr_job *job, uint32_t task,
              int64_t until)
{
  struct rr_record r = { .kind = RR_RECORD_GRANT_EXTENDED, .at_ms = w->now };
  struct rr_record_grant_extended *p = &r.u.grant_extended;
  memcpy (p->job, job->spec.job, sizeof p->job);
  p->task = task;
  p->attempt = job->tasks[task].attempt.number;
  p->granted_until_ms = until;
  daemon_append (w, d, &r, NULL);
}

static void
act (struct world *w, int d, struct rr_job *job, uint32_t task, int worker,
     struct run *run)
{
  struct rr_worker_view view = { 0 };
  if (worker >= 0)
    {
      const struct worker *k = &w->workers[worker];
      view.reachable = worker_reachable (w, worker);
      view.gone
          = k->vanished_ms != 0 && w->now - k->vanished_ms >= VM_LIST_LAG_MS;
      view.clock_known = view.reachable;
      view.clock_ms = worker_clock (w, worker);
    }
  struct rr_time now = rr_time_from_ms (w->now);
  struct rr_task_action a = rr_task_next_action (job, task, &view, now);
  if (a.kind == RR_TASK_PROVE_LEASE && worker_prove_lease (w, worker))
    {
      view.lease_expired = true;
      a = rr_task_next_action (job, task, &view, now);
    }
  switch (a.kind)
    {
    case RR_TASK_PLACE:
      append_placed (w, d, job, task, a.attempt);
      break;
    case RR_TASK_SEND_START:
      send_start (w, d, job, task, worker);
      break;
    case RR_TASK_SEAL:
      seal (w, d, job, task, worker);
      break;
    case RR_TASK_EXTEND_GRANT:
      extend_grant (w, d, job, task, a.granted_until_ms);
      break;
    case RR_TASK_STOP:
      if (run != NULL)
        worker_stop (w, run, RR_RESULT_STOPPED, "");
      break;
    case RR_TASK_RECORD_END:
      world_log (w, "%s: %s.%u attempt %u is over: %s", w->daemons[d].name,
                 job->spec.job, task, a.attempt, rr_end_proof_name (a.proof));
      append_ended (w, d, job, task, a.attempt, a.result, a.proof, "");
      break;
    case RR_TASK_NO_ACTION:
    case RR_TASK_PROVE_LEASE:
    case RR_TASK_WAIT:
      break;
    }
}

/* Does what the owner D has to do for every task.  */
void
daemon_tasks (struct world *w, int d)
{
  struct rr_shard_state *s = rr_shard_log_shard_state (w->daemons[d].log);
  struct rr_handle h = { 0 };
  struct rr_job *job;
  while ((job = rr_job_store_next (s->jobs, &h)) != NULL)
    for (uint32_t i = 0; i < job->spec.tasks; i++)
      {
        if (w->daemons[d].paused)
          return;
        struct rr_attempt *a = &job->tasks[i].attempt;
        int worker = worker_index (w, a->worker_incarnation);
        char name[RR_NAME_MAX + 16];
        rr_task_name (job->spec.job, i, name, sizeof name);
        struct run *run
            = worker < 0 ? NULL : worker_find_run (w, worker, name, a->number);
        if (run != NULL && job->tasks[i].state == RR_TASK_SUCCEEDED)
          run->recorded = true;
        if (job->tasks[i].pending == 0 && a->state == RR_ATTEMPT_RUNNING
            && run != NULL && worker_reachable (w, worker))
          {
            /* The worker's report: the grant reaches it, or the end reaches
               the owner.  */
            run->granted_until_ms = a->granted_until_ms;
            if (!run->live)
              {
                append_ended (w, d, job, i, a->number, run->result,
                              RR_PROOF_REPORTED, run->checkpoint);
                continue;
              }
          }
        act (w, d, job, i, worker, run);
      }
}
