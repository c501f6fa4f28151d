#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "common/log.h"
#include "rosemaryraild/config_keeper.h"
#include "rosemaryraild/shards_internal.h"
#include "rosemaryraild/workers.h"

enum
{
  RESERVE_CALLS_MAX = 64 /* per placement round of a shard */
};

/* Returns whether the daemon that sent H may have free capacity for a task of
   JOB.  */
static bool
has_free_capacity (const peer_heartbeat *h, const struct rr_job *job)
{
  return h->workers > 0 && h->free_slots > 0
         && h->free_cores_milli >= job->spec.cores_milli
         && h->free_memory_mb >= job->spec.memory_mb
         && h->free_accelerators >= job->spec.accelerators;
}

/* Counts the tasks of JOB in ZONE: live attempts and reservations in progress.
   Without the latter, all instances of a service, which are placed in one
   round, could end up in one zone.  */
static unsigned
attempts_in_zone (struct shards *ss, const struct rr_job *job,
                  const char *zone)
{
  unsigned n = 0;
  for (uint32_t i = 0; i < job->spec.tasks; i++)
    n += rr_attempt_is_live (&job->tasks[i].attempt)
         && strcmp (job->tasks[i].attempt.zone, zone) == 0;
  struct rr_handle cursor = { 0 };
  struct busy_task *b;
  while ((b = rr_table_next (ss->busy, &cursor)) != NULL)
    n += b->reserving && strcmp (b->job, job->spec.job) == 0
         && strcmp (b->zone, zone) == 0
         && !rr_attempt_is_live (&job->tasks[b->task].attempt);
  return n;
}

/* Selects the daemon to send the reservation to: the one with the fewest
   attempts of the job in its zone, then with the most free cores, randomised
   so that shard owners with the same view do not all select the same
   daemon.  */
static bool
daemon_select (struct shards *ss, const struct rr_job *job, char *name,
               char *zone)
{
  struct daemon *d = ss->d;
  struct rr_membership *m = peers_membership (d->peers);
  struct rr_time now = daemon_now ();
  double best = -1e18;
  peer_heartbeat own = { 0 };
  workers_fill_heartbeat (d->workers, &own);
  for (size_t i = 0; i < rr_membership_count (m); i++)
    {
      const struct rr_member *member = rr_membership_at (m, now, i);
      if (member->info.role != RR_ROLE_ENTRY || !member->alive
          || member->state != RR_MEMBER_LIVE)
        continue;
      bool self = rr_membership_is_self (m, member);
      const peer_heartbeat *h
          = self ? &own : peers_last_heartbeat (d->peers, member->info.name);
      if (h == NULL || h->stopping || !has_free_capacity (h, job))
        continue;
      double score = h->free_cores_milli * gsl_rng_uniform (d->rng)
                     - 1e9 * attempts_in_zone (ss, job, member->info.zone);
      if (score > best)
        {
          best = score;
          snprintf (name, NAME_SIZE, "%s", member->info.name);
          snprintf (zone, NAME_SIZE, "%s", member->info.zone);
        }
    }
  return best > -1e18;
}

static void
on_reserved (void *data, enum rpc_call_state state, const char *result,
             size_t length)
{
  struct task_call *c = data;
  struct rr_job *job;
  struct busy_task *b = task_call_resolve (c, &job);
  peer_reserve_result r = { 0 };
  bool decoded
      = state == RPC_CALL_ANSWERED
        && xdr_decode ((xdrproc_t)xdr_peer_reserve_result, &r, result, length);
  if (b != NULL && (!decoded || r.code != RR_OK))
    {
      if (decoded)
        snprintf (b->filters, sizeof b->filters, "%.*s",
                  (int)r.filters.filters_len, r.filters.filters_val);
      b->reserving = false;
      busy_task_back_off (b);
    }
  else if (b != NULL)
    {
      struct shard *s = b->shard;
      shards_clock_update (c->ss, r.worker, r.incarnation, r.worker_now_ms);
      struct rr_record rec = { .kind = RR_RECORD_ATTEMPT_PLACED };
      struct rr_record_attempt_placed *p = &rec.u.attempt_placed;
      snprintf (p->job, sizeof p->job, "%s", b->job);
      p->task = b->task;
      p->attempt = c->attempt;
      snprintf (p->worker, sizeof p->worker, "%s", r.worker);
      snprintf (p->zone, sizeof p->zone, "%s", c->zone);
      p->worker_incarnation = r.incarnation;
      p->controller_epoch = r.controller_epoch;
      /* Both limits count from a reading of the worker's clock that precedes
         the append, so that a later shard owner knows when they have
         passed.  */
      p->void_after_ms = r.worker_now_ms + RR_START_WINDOW_MS;
      p->granted_until_ms = r.worker_now_ms + job->spec.isolation_limit_ms;
      b->retries = 0;
      b->waiting_since.ms = 0;
      b->filters[0] = '\0';
      busy_task_resume (b);
      shard_record_queue (s, &rec);
    }
  if (decoded)
    xdr_free ((xdrproc_t)xdr_peer_reserve_result, &r);
  free (c);
}

/* Returns whether no known worker, even an empty one, is large enough for a
   task of JOB.  */
static bool
exceeds_every_worker (struct shards *ss, const struct rr_job *job)
{
  struct daemon *d = ss->d;
  struct rr_membership *m = peers_membership (d->peers);
  struct rr_time now = daemon_now ();
  peer_heartbeat own = { 0 };
  workers_fill_heartbeat (d->workers, &own);
  bool any_worker_known = false;
  for (size_t i = 0; i < rr_membership_count (m); i++)
    {
      const struct rr_member *member = rr_membership_at (m, now, i);
      const peer_heartbeat *h
          = rr_membership_is_self (m, member)
                ? &own
                : peers_last_heartbeat (d->peers, member->info.name);
      if (h == NULL || h->workers == 0)
        continue;
      any_worker_known = true;
      if (h->largest_cores_milli >= job->spec.cores_milli
          && h->largest_memory_mb >= job->spec.memory_mb
          && h->largest_accelerators >= job->spec.accelerators)
        return false;
    }
  return any_worker_known;
}

/* Requests a reservation for TASK from a ledger owner.  Returns false if none
   has enough free capacity.  */
static bool
task_reserve (struct shard *s, struct rr_job *job, uint32_t task,
              struct rr_time now)
{
  struct shards *ss = s->ss;
  struct busy_task *b = busy_task_get (s, job, task);
  uint32_t attempt = job->tasks[task].attempt.number + 1;
  char daemon[NAME_SIZE];
  char zone[NAME_SIZE];
  if (b->waiting_since.ms == 0)
    b->waiting_since = now;
  if (!daemon_select (ss, job, daemon, zone))
    {
      snprintf (b->filters, sizeof b->filters, "%s",
                exceeds_every_worker (ss, job)
                    ? "no known worker is large enough"
                    : "no daemon advertises enough free capacity");
      busy_task_back_off (b);
      return false;
    }
  struct task_call *c = task_call_new (b, attempt);
  snprintf (c->zone, sizeof c->zone, "%s", zone);
  snprintf (b->zone, sizeof b->zone, "%s", zone);
  b->reserving = true;
  peer_task args = shards_task_args (s, job, task, attempt, b->name);
  args.waited_ms = (u_quad_t)rr_time_diff (now, b->waiting_since);
  daemon_call (ss->d, &ss->d->shards_actor, daemon, TASK_RESERVE,
               (xdrproc_t)xdr_peer_task, &args, SHARD_CALL_TIMEOUT_MS,
               on_reserved, c);
  return true;
}

static uint64_t
team_id (const char *team)
{
  return XXH3_64bits (team, strlen (team));
}

static struct rr_size
task_size (const struct rr_job *job)
{
  return (struct rr_size){ .cores_milli = job->spec.cores_milli,
                           .memory_mb = job->spec.memory_mb,
                           .accelerators = (int32_t)job->spec.accelerators,
                           .slots = 1 };
}

/* Returns the total capacity that the live daemons advertise.  */
static struct rr_size
fleet_capacity (struct shards *ss)
{
  struct daemon *d = ss->d;
  struct rr_membership *m = peers_membership (d->peers);
  struct rr_time now = daemon_now ();
  struct rr_size total = { 0 };
  peer_heartbeat own = { 0 };
  workers_fill_heartbeat (d->workers, &own);
  for (size_t i = 0; i < rr_membership_count (m); i++)
    {
      const struct rr_member *member = rr_membership_at (m, now, i);
      const peer_heartbeat *h
          = rr_membership_is_self (m, member)
                ? &own
                : peers_last_heartbeat (d->peers, member->info.name);
      if (h == NULL || !member->alive)
        continue;
      total.cores_milli += (int64_t)h->total_cores_milli;
      total.memory_mb += (int64_t)h->total_memory_mb;
      total.accelerators += (int32_t)h->total_accelerators;
      total.slots += (int32_t)h->total_slots;
    }
  return total;
}

/* Starts a placement round.  The queue is rebuilt from the shard's records in
   each round, so that it can't diverge from them.  */
void
shard_placement_begin (struct shard *s)
{
  struct shards *ss = s->ss;
  const struct rr_config *c = config_keeper_config (ss->d->config);
  s->queue = rr_batch_queue_new (&ss->policy);
  struct rr_size total = fleet_capacity (ss);
  rr_batch_queue_capacity_set (s->queue, &total);
  for (size_t i = 0; i < c->team_count; i++)
    {
      const struct rr_config_team *t = &c->teams[i];
      if (rr_shard_for_key (t->name) != s->number)
        continue;
      struct rr_batch_team team
          = { .team = team_id (t->name),
              .weight = t->weight,
              .limit = { .cores_milli = t->cores_milli,
                         .memory_mb = t->memory_mb,
                         .accelerators = (int32_t)t->accelerators } };
      rr_batch_queue_team_set (s->queue, &team);
    }
}

/* Charges a live task of JOB to its team.  */
void
shard_placement_charge (struct shard *s, const struct rr_job *job)
{
  struct rr_size size = task_size (job);
  rr_batch_queue_charge (s->queue, team_id (job->spec.team), &size);
}

/* Adds a task without a live attempt to the placement round.  Restarts after
   lost attempts are rate-limited, except those of services and urgent jobs, so
   that the loss of a zone does not overload the other zones.  */
void
shard_placement_task_add (struct shard *s, const struct rr_job *job,
                          uint32_t task)
{
  struct shards *ss = s->ss;
  const struct rr_attempt *a = &job->tasks[task].attempt;
  struct rr_handle h = rr_job_store_handle (
      rr_shard_log_shard_state (s->log)->jobs, job->spec.job);
  uint64_t id = rr_handle_pack (h);
  bool high_priority = job->spec.urgent || job->spec.kind == RR_JOB_SERVICE;
  if (a->number > 0 && a->result == RR_RESULT_LOST && !high_priority
      && rr_pacer_take (&ss->restarts, 1, daemon_now ()) == 0)
    return;
  struct rr_batch_job queued
      = { .job = id,
          .team = team_id (job->spec.team),
          .size = task_size (job),
          .urgent = high_priority,
          .submitted = rr_time_from_ms (job->submitted_ms) };
  rr_batch_queue_job_add (s->queue, &queued, NULL);
  rr_batch_queue_task_add (s->queue, id, task, NULL);
}

/* Places the queued tasks in the order of urgency and of their teams' weighted
   dominant shares, and ends the round.  */
void
shard_placement_run (struct shard *s, struct rr_time now)
{
  struct rr_batch_pick pick;
  struct rr_job_store *jobs = rr_shard_log_shard_state (s->log)->jobs;
  for (int calls = 0; calls < RESERVE_CALLS_MAX
                      && rr_batch_queue_next (s->queue, now, &pick);)
    {
      struct rr_handle h = rr_handle_unpack (pick.job);
      struct rr_job *job = rr_job_store_get (jobs, h);
      assert (job != NULL);
      if (task_reserve (s, job, (uint32_t)pick.task, now))
        {
          rr_batch_queue_task_started (s->queue, &pick);
          calls++;
        }
      else
        rr_batch_queue_job_blocked (s->queue, &pick, RR_BATCH_BLOCK_CAPACITY,
                                    now);
    }
  rr_batch_queue_free (s->queue);
  s->queue = NULL;
}

/* Applies the policy parameters of the active configuration.  */
void
shards_policy_update (struct shards *ss)
{
  rr_config_policy_fill (config_keeper_config (ss->d->config), &ss->policy);
  struct rr_time now = daemon_now ();
  rr_pacer_init_restarts (&ss->restarts, &ss->policy, now);
  rr_pacer_init_cancels (&ss->cancels, &ss->policy, now);
}
