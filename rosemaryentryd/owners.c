#include "rosemaryentryd/owners.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "rosemaryentryd/inheritance.h"
#include "rosemaryentryd/partitioning.h"
#include "rosemaryentryd/progress_reader.h"
#include "rosemaryentryd/session.h"
#include "rosemaryentryd/shard.h"
#include "rosemaryentryd/shard_assignment.h"
#include "rosemaryentryd/store_cache.h"

enum
{
  TICK_MS = 50,
  /* Daemons claim a free shard in the order of their rank, this far apart.
     That is longer than a claim takes, so that usually only one is made.  */
  CLAIM_RANK_STEP_MS = 60,
  /* A daemon that has a shard leaves the next one to others for this long, so
     that the first one up after a loss of power doesn't claim all.  */
  CLAIM_HELD_STEP_MS = 400,
  /* A daemon that has just started first waits for the others to register.  */
  SETTLE_MS = 300,
  /* Changes of the store are batched for this long while the daemon owns no
     shard.  */
  FOLLOWER_BATCH_MS = 400,
  /* The same for the workers' entries, which heartbeats change all the time.
     An owner has to see within 2 s that a worker drains, and the first daemons
     count the workers; others use the entries only to select a shard.  */
  OWNER_WORKERS_BATCH_MS = 400,
  WORKERS_WATCH_WAIT_MS = 400, /* on a deployment of a few workers */
  FOLLOWER_WORKERS_BATCH_MS = 1500,
  OWNER_BATCH_MS = 10, /* changes of the store, while it owns a shard */
  /* The daemons that would claim a shard first follow the workers' entries
     like an owner.  Others read them at this interval, since heartbeats change
     each entry every 1.5 s.  */
  STANDBY_RANKS = 2,
  WORKERS_READ_INTERVAL_MS = 10000,
  STANDBY_CHECK_INTERVAL_MS = 3000
};

/* A claim of a shard, for the callbacks of its calls.  */
struct claim
{
  struct owners *owners;
  struct shard_record *record;
  int64_t reading_token; /* owner key's revision when the read began */
};

struct owners
{
  struct entry *entry;
  uv_timer_t timer;
  struct shard *shards[SHARDS_MAX]; /* by number; null: not owned */
  /* By number: the token of the ownership that was last lost.  */
  int64_t lost_fencing_token[SHARDS_MAX];
  bool claiming[SHARDS_MAX];
  /* By number: the token of the ownership for which the progress was read.  */
  int64_t progress_token[SHARDS_MAX];
  struct progress_reader *reading[SHARDS_MAX]; /* null: not being read */
  struct claim claims[SHARDS_MAX];
  struct rr_time opened;
  struct partitioning partitioning;
  bool follows_workers;
  struct rr_time standby_checked;
  bool releasing;
};

static size_t
shard_number (const struct owners *o, const struct shard_record *s)
{
  return (size_t)(s - records_shard_at (o->entry->records, 0));
}

/* Returns the number of shards that this daemon owns.  */
size_t
owners_shard_count (const struct owners *o)
{
  size_t n = 0;
  for (size_t i = 0; i < SHARDS_MAX; i++)
    n += o->shards[i] != NULL ? 1 : 0;
  return n;
}

/* Returns the shard with the step that most urgently needs permits, or
   null.  */
struct shard *
owners_permits_next (const struct owners *o)
{
  struct shard *first = NULL;
  struct rr_permit_urgency best = { 0 };
  struct rr_permit_urgency urgency;
  for (size_t i = 0; i < SHARDS_MAX; i++)
    if (o->shards[i] != NULL && shard_permits_wanted (o->shards[i], &urgency)
        && (first == NULL || rr_permit_urgency_compare (&urgency, &best) < 0))
      {
        first = o->shards[i];
        best = urgency;
      }
  return first;
}

/* Returns whether this daemon serves the shard S: it owns it and has read its
   jobs' progress.  */
bool
owners_serves (const struct owners *o, const struct shard_record *s)
{
  return o->shards[shard_number (o, s)] != NULL;
}

static struct shard *
shard_named (const struct owners *o, const char *name)
{
  struct shard_record *s = records_shard (o->entry->records, name);
  return s == NULL ? NULL : o->shards[shard_number (o, s)];
}

/* The job J was accepted or read from the store, or has changed.  */
void
owners_job_update (struct owners *o, struct job_record *j)
{
  struct shard *s = shard_named (o, j->shard);
  if (s != NULL)
    shard_job_update (s, j, false);
}

/* The job was transferred away from the shard that J still names.  */
void
owners_job_remove (struct owners *o, const struct job_record *j)
{
  struct shard *s = shard_named (o, j->shard);
  if (s != NULL)
    shard_job_remove (s, j->id);
}

void
owners_job_cancel (struct owners *o, struct job_record *j)
{
  struct shard *s = shard_named (o, j->shard);
  if (s != NULL)
    shard_job_cancel (s, j);
}

static struct shard *
shard_of_worker (const struct owners *o, const struct platform_worker *w)
{
  const struct shard_record *s
      = records_shard_of_worker (o->entry->records, w);
  return s == NULL ? NULL : o->shards[shard_number (o, s)];
}

void
owners_worker_update (struct owners *o, const struct platform_worker *w)
{
  struct shard *s = shard_of_worker (o, w);
  if (s != NULL)
    shard_worker_update (s, w);
}

void
owners_worker_unlist (struct owners *o, const struct platform_worker *w)
{
  struct shard *s = shard_of_worker (o, w);
  if (s != NULL)
    shard_worker_unlist (s, w);
}

void
owners_queues_update (struct owners *o)
{
  for (size_t i = 0; i < SHARDS_MAX; i++)
    if (o->shards[i] != NULL)
      shard_queues_update (o->shards[i]);
}

/* Merges estimates of another shard's owner into the shards owned here.  */
void
owners_statistics_merge (struct owners *o, const struct statistics_list *list)
{
  for (size_t i = 0; i < SHARDS_MAX; i++)
    if (o->shards[i] != NULL)
      shard_statistics_merge (o->shards[i], list);
}

/* Sets how long changes of the store are batched: shorter while this daemon
   owns a shard and acts on them.  */
static void
set_batch_intervals (struct owners *o)
{
  bool owner = owners_shard_count (o) > 0;
  store_cache_set_batch_interval (o->entry->records_cache,
                                  owner ? OWNER_BATCH_MS : FOLLOWER_BATCH_MS);
  bool starting = records_shard_count (o->entry->records) == 0;
  store_cache_set_batch_interval (
      o->entry->workers_cache,
      owner || starting ? OWNER_WORKERS_BATCH_MS : FOLLOWER_WORKERS_BATCH_MS);
}

/* All changes up to a later revision of the store are known.  */
static void
on_records_advanced (void *data)
{
  struct owners *o = data;
  for (size_t i = 0; i < SHARDS_MAX; i++)
    if (o->shards[i] != NULL)
      shard_jobs_confirm (o->shards[i]);
}

/* The caches of the store are open; the daemon owns no shard yet.  */
void
owners_caches_opened (struct owners *o)
{
  store_cache_set_advanced (o->entry->records_cache, on_records_advanced, o);
  store_cache_set_watch_wait (o->entry->workers_cache, WORKERS_WATCH_WAIT_MS);
  set_batch_intervals (o);
}

/* The number of shards is known.  */
void
owners_partitioned (struct owners *o)
{
  set_batch_intervals (o);
}

static void
drop_shard (struct owners *o, size_t i, const char *why)
{
  log_event (LOG_LEVEL_WARN, "shard_lost", "shard=%s token=%lld why=%s",
             shard_name (o->shards[i]),
             (long long)shard_fencing_token (o->shards[i]), why);
  o->lost_fencing_token[i] = shard_fencing_token (o->shards[i]);
  shard_close (o->shards[i]);
  o->shards[i] = NULL;
  set_batch_intervals (o);
}

/* Gives up the shard S, which another daemon owns or may own.  WHY is for the
   log.  */
void
owners_shard_lost (struct owners *o, struct shard *s, const char *why)
{
  for (size_t i = 0; i < SHARDS_MAX; i++)
    if (o->shards[i] == s)
      drop_shard (o, i, why);
}

/* The lease is lost, and with it the owner keys; gives up all shards.  */
void
owners_lease_lost (struct owners *o)
{
  for (size_t i = 0; i < SHARDS_MAX; i++)
    if (o->shards[i] != NULL)
      drop_shard (o, i, "lease-lost");
}

static void serve_shard (struct owners *o, size_t i);
static void set_following (struct owners *o, bool follow);

static void
on_progress_read (void *data, bool complete)
{
  struct claim *c = data;
  struct owners *o = c->owners;
  size_t i = shard_number (o, c->record);
  o->reading[i] = NULL;
  /* After a failure the timer reads again.  */
  if (!complete)
    return;
  o->progress_token[i] = c->reading_token;
  serve_shard (o, i);
}

/* Returns whether the progress of shard I was read since this daemon claimed
   it; starts to read it if necessary.  */
static bool
progress_is_read (struct owners *o, size_t i)
{
  struct shard_record *s = records_shard_at (o->entry->records, i);
  if (o->progress_token[i] == s->owner_revision)
    return true;
  if (o->reading[i] != NULL)
    return false;
  struct claim *c = &o->claims[i];
  c->owners = o;
  c->record = s;
  c->reading_token = s->owner_revision;
  o->reading[i] = progress_read (o->entry, s->name, on_progress_read, c);
  return false;
}

/* Starts to serve shard I if this daemon owns it and has read everything that
   was written before the claim.  The timer calls it again until then.  */
static void
serve_shard (struct owners *o, size_t i)
{
  struct shard_record *s = records_shard_at (o->entry->records, i);
  int64_t lease = session_lease (o->entry->session);
  bool owned_here
      = s->owner_revision != 0 && lease != 0 && s->owner_lease == lease;
  if (!owned_here || s->owner_revision <= o->lost_fencing_token[i]
      || o->shards[i] != NULL || o->releasing)
    return;
  /* During a full read the cached membership record may be out of date.  */
  if (store_cache_revision (o->entry->records_cache) < s->owner_revision
      || !store_cache_synced (o->entry->config_cache))
    return;
  if (!progress_is_read (o, i))
    return;
  /* A new owner must not start tasks on a worker that drains meanwhile.  */
  set_following (o, true);
  if (!store_cache_synced (o->entry->workers_cache)
      || store_cache_revision (o->entry->workers_cache) < s->owner_revision)
    {
      store_cache_catch_up (o->entry->workers_cache);
      return;
    }
  o->shards[i] = shard_open (o->entry, s, s->owner_revision,
                             s->stored_membership != NULL);
  set_batch_intervals (o);
}

/* The owner key of the shard S has changed.  */
void
owners_shard_owner_update (struct owners *o, struct shard_record *s)
{
  size_t i = shard_number (o, s);
  if (o->shards[i] != NULL
      && shard_fencing_token (o->shards[i]) != s->owner_revision)
    drop_shard (o, i, "owner-changed");
  serve_shard (o, i);
}

static void
on_claimed (void *data, const struct store_result *r)
{
  struct claim *c = data;
  size_t i = shard_number (c->owners, c->record);
  log_event (LOG_LEVEL_INFO, "shard_claim", "shard=%s state=%s revision=%lld",
             c->record->name, store_state_name (r->state),
             (long long)r->revision);
  c->owners->claiming[i] = false;
  if (r->state == STORE_OK)
    store_cache_catch_up (c->owners->entry->records_cache);
}

static void
claim_shard (struct owners *o, size_t i)
{
  struct shard_record *s = records_shard_at (o->entry->records, i);
  char key[KEY_SIZE];
  snprintf (key, sizeof key, "%s%s", KEY_OWNER, s->name);
  struct store_condition cond = { .key = key, .revision = 0 };
  struct store_write w = { .key = key,
                           .value = o->entry->settings.name,
                           .lease = session_lease (o->entry->session) };
  o->claiming[i] = true;
  o->claims[i].owners = o;
  o->claims[i].record = s;
  store_put_if (o->entry->store, &cond, &w,
                entry_store_timeout_ms (o->entry, STORE_TIMEOUT_MS),
                on_claimed, &o->claims[i]);
}

static size_t
shards_owned_by (const struct owners *o, const char *daemon)
{
  size_t n = 0;
  for (size_t i = 0; i < records_shard_count (o->entry->records); i++)
    if (strcmp (records_shard_at (o->entry->records, i)->owner, daemon) == 0)
      n++;
  return n;
}

/* Returns the cost of the daemon NAME as the owner of S as well.  */
static uint64_t
ownership_cost (const struct owners *o, const struct shard_record *s,
                const char *name, int64_t cpu_milli, int64_t link_kbit)
{
  struct shard_candidate c = { .name = name,
                               .cpu_milli = cpu_milli,
                               .link_kbit = link_kbit,
                               .shards = shards_owned_by (o, name) };
  return shard_assignment_cost (s->name, &c);
}

/* Returns the other daemon with the lowest cost as the next owner of S; empty
   when there is no other.  */
const char *
owners_successor (const struct owners *o, const struct shard_record *s)
{
  const char *best = "";
  uint64_t lowest = UINT64_MAX;
  struct rr_handle h = { 0 };
  const struct daemon_record *d;
  while ((d = records_daemon_next (o->entry->records, &h)) != NULL)
    {
      uint64_t cost
          = ownership_cost (o, s, d->name, d->cpu_milli, d->link_kbit);
      if (strcmp (d->name, o->entry->settings.name) == 0 || cost >= lowest)
        continue;
      best = d->name;
      lowest = cost;
    }
  return best;
}

/* Returns the number of daemons with a lower cost as owners of S.  */
static size_t
claim_rank (const struct owners *o, const struct shard_record *s)
{
  const struct entry_settings *self = &o->entry->settings;
  uint64_t own_cost
      = ownership_cost (o, s, self->name, self->cpu_milli, self->link_kbit);
  size_t lower = 0;
  struct rr_handle h = { 0 };
  const struct daemon_record *d;
  while ((d = records_daemon_next (o->entry->records, &h)) != NULL)
    if (strcmp (d->name, self->name) != 0
        && ownership_cost (o, s, d->name, d->cpu_milli, d->link_kbit)
               < own_cost)
      lower++;
  return lower;
}

/* Returns whether this daemon owns a shard, is claiming one or would be among
   the first to claim one.  */
static bool
is_standby (const struct owners *o)
{
  for (size_t i = 0; i < records_shard_count (o->entry->records); i++)
    {
      const struct shard_record *s = records_shard_at (o->entry->records, i);
      if (o->shards[i] != NULL || o->claiming[i]
          || strcmp (s->owner, o->entry->settings.name) == 0
          || claim_rank (o, s) < STANDBY_RANKS)
        return true;
    }
  return records_shard_count (o->entry->records) == 0;
}

static void
set_following (struct owners *o, bool follow)
{
  if (o->follows_workers == follow)
    return;
  o->follows_workers = follow;
  log_event (LOG_LEVEL_INFO, "workers_followed", "follow=%s",
             follow ? "true" : "false");
  store_cache_set_read_interval (o->entry->workers_cache,
                                 follow ? 0 : WORKERS_READ_INTERVAL_MS);
}

/* Returns the number of shards that this daemon owns or claims.  */
static size_t
shards_held (const struct owners *o)
{
  size_t n = 0;
  for (size_t i = 0; i < records_shard_count (o->entry->records); i++)
    n += o->shards[i] != NULL || o->claiming[i] ? 1 : 0;
  return n;
}

static void
check_standby (struct owners *o, struct rr_time now)
{
  if (rr_time_diff (now, o->standby_checked) < STANDBY_CHECK_INTERVAL_MS)
    return;
  o->standby_checked = now;
  set_following (o, is_standby (o));
}

static void
on_tick (uv_timer_t *timer)
{
  struct owners *o = timer->data;
  struct rr_time now = entry_now ();
  check_standby (o, now);
  /* Without the configuration an owner would not know the queues' policies. */
  if (o->releasing || !store_cache_synced (o->entry->records_cache)
      || !store_cache_synced (o->entry->config_cache)
      || session_lease (o->entry->session) == 0
      || rr_time_diff (now, o->opened) < SETTLE_MS
      || rr_time_diff (now, session_confirmed_at (o->entry->session))
             > SESSION_TTL_MS)
    return;
  if (records_shard_count (o->entry->records) == 0)
    partitioning_update (&o->partitioning, o->entry, now);
  for (size_t i = 0; i < records_shard_count (o->entry->records); i++)
    {
      struct shard_record *s = records_shard_at (o->entry->records, i);
      if (o->shards[i] != NULL)
        continue;
      serve_shard (o, i);
      if (s->owner_revision != 0 || o->claiming[i])
        continue;
      int64_t wait = (int64_t)(claim_rank (o, s) * CLAIM_RANK_STEP_MS
                               + shards_held (o) * CLAIM_HELD_STEP_MS);
      if (rr_time_diff (now, s->ownerless_since) >= wait)
        claim_shard (o, i);
    }
}

/* Starts to claim shards that have no owner.  */
struct owners *
owners_open (struct entry *e)
{
  struct owners *o = calloc (1, sizeof *o);
  assert (o != NULL);
  o->entry = e;
  o->opened = entry_now ();
  o->partitioning.opened = o->opened;
  o->follows_workers = true;
  uv_timer_init (e->loop, &o->timer);
  o->timer.data = o;
  uv_timer_start (&o->timer, on_tick, TICK_MS, TICK_MS);
  return o;
}

/* Starts no more tasks and claims no more shards.  owners_released returns
   whether other daemons can take over.  */
void
owners_release (struct owners *o)
{
  o->releasing = true;
  for (size_t i = 0; i < SHARDS_MAX; i++)
    if (o->shards[i] != NULL)
      shard_stop_starting (o->shards[i]);
}

bool
owners_released (const struct owners *o)
{
  for (size_t i = 0; i < SHARDS_MAX; i++)
    if (o->shards[i] != NULL && !shard_released (o->shards[i]))
      return false;
  return true;
}
