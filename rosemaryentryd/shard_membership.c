#include "rosemaryentryd/shard_private.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "rosemaryentryd/membership_record.h"

/* The membership record of a shard: what an owner reads when it takes over,
   and writes as long as it serves the shard.  */

enum
{
  /* Workers of this owner, and of former owners that have not responded.  */
  MEMBERSHIP_MAX = 2 * WORKER_CONNECTIONS_MAX,
  /* Longer than the store takes while it still renews a daemon's lease:
     without an answer, workers that are back get no lease.  */
  MEMBERSHIP_TIMEOUT_MS = 2000
};

/* Returns the lowest run number of BLOCK.  */
static uint64_t
block_start (int64_t block)
{
  return (uint64_t)block * RUNS_PER_BLOCK + 1;
}

/* Returns a hash of a record with the COUNT workers and LAST_BLOCK of run
   numbers.  What is left of a lease changes with time, its end does not.  */
static uint64_t
record_hash (const struct rr_recorded_worker *workers, size_t count,
             int64_t last_block)
{
  uint64_t hash = XXH64 (&last_block, sizeof last_block, count);
  for (size_t i = 0; i < count; i++)
    {
      const struct rr_recorded_worker *w = &workers[i];
      const int64_t values[]
          = { w->started_ms, w->silent, w->unfenced, w->expiry.ms };
      hash = XXH64 (w->id, strlen (w->id), hash);
      hash = XXH64 (values, sizeof values, hash);
    }
  return hash;
}

/* Takes over the revision of the record from R, a write whose condition
   failed: an earlier write without an answer took effect.  */
static void
adopt_revision (struct shard *s, const char *key, const struct store_result *r)
{
  int64_t revision = store_result_revision (r, key);
  if (revision > s->membership.revision)
    s->membership.revision = revision;
}

static void
membership_key (const struct shard *s, char out[KEY_SIZE])
{
  snprintf (out, KEY_SIZE, "%s%s", KEY_MEMBERSHIP, s->record->name);
}

/* The record that was sent last is stored as REVISION.  */
static void
membership_confirm (struct shard *s, int64_t revision)
{
  s->membership.stored = true;
  s->membership.revision = revision;
  rr_dispatch_runs_reserve (s->dispatch,
                            block_start (s->membership.last_block + 1));
  s->membership.release_stored
      = s->membership.release_stored || s->membership.stopping;
  for (size_t i = 0; i < s->membership.worker_count; i++)
    rr_dispatch_worker_mark_recorded (s->dispatch, &s->membership.workers[i],
                                      revision);
  shard_schedule_planning (s);
}

/* Takes note of a record that was sent without an answer in time, once this
   daemon has read it from the store.  */
static void
membership_check_stored (struct shard *s)
{
  const struct shard_record *record = s->record;
  if (s->membership.stored || s->membership.text == NULL
      || record->membership_revision <= s->membership.revision
      || record->stored_membership == NULL
      || strcmp (record->stored_membership, s->membership.text) != 0)
    return;
  log_event (LOG_LEVEL_INFO, "membership_write_found",
             "shard=%s revision=%lld", record->name,
             (long long)record->membership_revision);
  membership_confirm (s, record->membership_revision);
}

static void
on_membership_written (void *data, const struct store_result *r)
{
  struct shard *s = data;
  s->membership.in_flight = false;
  if (!shard_write_ended (s, r, "roster-rejected"))
    return;
  char key[KEY_SIZE];
  membership_key (s, key);
  if (r->state == STORE_CONFLICT)
    adopt_revision (s, key, r);
  if (r->state != STORE_OK)
    {
      log_event (LOG_LEVEL_WARN, "membership_not_stored",
                 "shard=%s state=%s why=%s", s->record->name,
                 store_state_name (r->state),
                 r->reason == NULL ? "" : r->reason);
      return;
    }
  membership_confirm (s, r->revision);
}

/* Sends the record with the COUNT workers of WORKERS.  */
static void
membership_send (struct shard *s, const struct rr_recorded_worker *workers,
                 size_t count)
{
  free (s->membership.workers);
  s->membership.workers = calloc (count + 1, sizeof *workers);
  assert (s->membership.workers != NULL);
  memcpy (s->membership.workers, workers, count * sizeof *workers);
  s->membership.worker_count = count;
  s->membership.last_block = s->last_block;
  struct membership_record m = { .first_block = s->first_block,
                                 .last_block = s->last_block,
                                 .workers = s->membership.workers,
                                 .worker_count = count };
  free (s->membership.text);
  s->membership.text = membership_record_encode (&m, entry_now ());
  char key[KEY_SIZE];
  membership_key (s, key);
  if (s->membership.revision < s->record->membership_revision)
    s->membership.revision = s->record->membership_revision;
  /* A write without an answer may still take effect; not after a later one,
     which has the revision as its condition.  */
  struct store_condition conditions[] = { { s->owner_key, s->fencing_token },
                                          { key, s->membership.revision } };
  struct store_write w = { .key = key, .value = s->membership.text };
  struct store_txn txn = { .conditions = conditions,
                           .condition_count = 2,
                           .writes = &w,
                           .write_count = 1 };
  s->membership.in_flight = true;
  s->membership.stored = false;
  s->membership.stopping = s->stopping;
  s->calls_in_flight++;
  store_commit (s->entry->store, &txn,
                entry_store_timeout_ms (s->entry, MEMBERSHIP_TIMEOUT_MS),
                on_membership_written, s);
}

/* Reserves another block of run numbers if a task will soon need it.  The
   blocks before are stored.  */
static void
reserve_runs (struct shard *s)
{
  if (!s->membership.stored || s->stopping
      || !rr_dispatch_runs_low (s->dispatch))
    return;
  s->last_block++;
  log_event (LOG_LEVEL_INFO, "run_numbers_reserved",
             "shard=%s token=%lld block=%lld first=%lld", s->record->name,
             (long long)s->fencing_token, (long long)s->last_block,
             (long long)s->first_block);
}

/* Writes the membership record if it has changed: the run numbers of this
   owner, and the workers that may receive tasks or may run some.  A later
   owner polls all of them before it concludes that a task is not running, or
   waits for the leases of those that are silent.  */
void
shard_write_membership (struct shard *s)
{
  membership_check_stored (s);
  if (s->membership.in_flight)
    return;
  static struct rr_recorded_worker workers[MEMBERSHIP_MAX];
  size_t count = rr_dispatch_record_workers (s->dispatch, workers,
                                             MEMBERSHIP_MAX, entry_now ());
  reserve_runs (s);
  uint64_t hash = record_hash (workers, count, s->last_block);
  if (s->membership.stored && hash == s->membership.hash
      && !rr_dispatch_record_due (s->dispatch, entry_now ()))
    {
      s->membership.release_stored
          = s->membership.release_stored || s->stopping;
      return;
    }
  s->membership.hash = hash;
  membership_send (s, workers, count);
}

/* Returns whether a record of the time since this owner was told to stop is
   stored, which has the workers that do not answer.  */
bool
shard_release_recorded (struct shard *s)
{
  if (!s->membership.release_stored)
    shard_write_membership (s);
  return s->membership.release_stored;
}

/* Tells the dispatcher which workers former owners may have used and until
   when their leases may hold, and reserves run numbers for this owner.  */
void
shard_inherit_workers (struct shard *s)
{
  struct membership_record m;
  struct rr_error err = { 0 };
  bool valid = membership_record_decode (s->record->stored_membership,
                                         s->record->membership_seen, &m, &err);
  /* Each block took a revision of the store, so there are fewer than that.  */
  s->first_block = (valid ? m.last_block : s->fencing_token) + 1;
  s->last_block = s->first_block;
  rr_dispatch_inherit (
      s->dispatch,
      inheritance_leases_until (s->record->owner_seen,
                                s->entry->settings.lease_max_ms),
      inheritance_longest_until (s->record->owner_seen,
                                 s->entry->settings.lease_max_ms),
      block_start (valid ? m.first_block : s->first_block),
      block_start (s->first_block), entry_now ());
  if (!valid)
    {
      log_event (LOG_LEVEL_ERROR, "roster_unreadable", "shard=%s %s",
                 s->record->name, err.message);
      rr_dispatch_inherit_unknown (s->dispatch);
      return;
    }
  for (size_t i = 0; i < m.worker_count; i++)
    rr_dispatch_inherit_worker (s->dispatch, &m.workers[i]);
  membership_record_clear (&m);
}
