#include <stdlib.h>
#include <string.h>

#include "ledger_internal.h"

/* A request can still reach the worker up to this time after its connection
   was closed, so the number of requests in a report that was sent earlier may
   not include it.  */
#define UNTRACKED_DELAY_MS 1000

/* Appends an entry.  TASK must be shorter than RR_TASK_ID_SIZE.  */
struct entry *
ledger_entry_add (struct rr_ledger *l, const char *task, uint32_t attempt)
{
  if (l->entry_count == l->entry_capacity)
    {
      l->entry_capacity = l->entry_capacity == 0 ? 16 : 2 * l->entry_capacity;
      l->entries
          = reallocarray (l->entries, l->entry_capacity, sizeof *l->entries);
    }
  struct entry *e = &l->entries[l->entry_count++];
  memset (e, 0, sizeof *e);
  strncpy (e->task, task, sizeof e->task - 1);
  e->attempt = attempt;
  e->declared.slots = 1;
  return e;
}

/* Returns the entry of an attempt, or null.  */
struct entry *
ledger_entry_find (struct rr_ledger *l, const char *task, uint32_t attempt)
{
  for (size_t i = 0; i < l->entry_count; i++)
    if (l->entries[i].attempt == attempt
        && strcmp (l->entries[i].task, task) == 0)
      return &l->entries[i];
  return NULL;
}

/* Removes E and keeps the order of the other entries.  */
void
ledger_entry_remove (struct rr_ledger *l, struct entry *e)
{
  size_t after = (size_t)(&l->entries[l->entry_count] - (e + 1));
  memmove (e, e + 1, after * sizeof *e);
  l->entry_count--;
}

/* Removes all entries.  */
void
ledger_entries_clear (struct rr_ledger *l)
{
  l->entry_count = 0;
}

static int64_t
max_int64 (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

static bool
is_expired (const struct entry *e, struct rr_time now)
{
  return e->state == RR_ENTRY_RESERVED && !rr_time_before (now, e->expires);
}

/* Returns the use of the capacity: for each entry and resource the larger of
   the declared and the observed amount, plus the connections.  */
struct rr_resources
ledger_used_capacity (const struct rr_ledger *l, const struct rr_time *now)
{
  struct rr_resources use = { 0 };
  for (size_t i = 0; i < l->entry_count; i++)
    {
      const struct entry *e = &l->entries[i];
      if (now != NULL && is_expired (e, *now))
        continue;
      const struct rr_resources *d = &e->declared;
      const struct rr_resources *o = &e->observed;
      use.cores_milli += max_int64 (d->cores_milli, o->cores_milli);
      use.memory_mb += max_int64 (d->memory_mb, o->memory_mb);
      use.accelerators += max_int64 (d->accelerators, o->accelerators);
      use.slots += max_int64 (max_int64 (d->slots, o->slots), 1);
    }
  use.connections = l->connections;
  for (size_t i = 0; i < l->untracked_count; i++)
    if (now == NULL || rr_time_before (*now, l->untracked[i].until))
      use.connections += l->untracked[i].count;
  return use;
}

/* Adds COUNT untracked requests, which can run for up to the request limit. */
void
ledger_untracked_add (struct rr_ledger *l, struct rr_time now, int64_t count)
{
  if (count <= 0)
    return;
  if (l->untracked_count == l->untracked_capacity)
    {
      l->untracked_capacity
          = l->untracked_capacity == 0 ? 8 : 2 * l->untracked_capacity;
      l->untracked = reallocarray (l->untracked, l->untracked_capacity,
                                   sizeof *l->untracked);
    }
  l->untracked[l->untracked_count++] = (struct untracked_requests){
    count, now, rr_time_add (now, l->options.request_limit_ms)
  };
}

static void
untracked_compact (struct rr_ledger *l)
{
  size_t kept = 0;
  for (size_t i = 0; i < l->untracked_count; i++)
    if (l->untracked[i].count > 0)
      l->untracked[kept++] = l->untracked[i];
  l->untracked_count = kept;
}

/* Removes the untracked requests that must have ended by NOW.  */
void
ledger_untracked_expire (struct rr_ledger *l, struct rr_time now)
{
  for (size_t i = 0; i < l->untracked_count; i++)
    if (!rr_time_before (now, l->untracked[i].until))
      l->untracked[i].count = 0;
  untracked_compact (l);
}

/* Reduces the untracked requests to LIMIT, the number of requests in a status
   report that was requested at SENT.  Those added less than
   UNTRACKED_DELAY_MS before SENT, or later, are kept.  */
void
ledger_untracked_limit (struct rr_ledger *l, struct rr_time sent,
                        int64_t limit)
{
  for (size_t i = 0; i < l->untracked_count; i++)
    {
      struct untracked_requests *s = &l->untracked[i];
      if (rr_time_before (sent, rr_time_add (s->since, UNTRACKED_DELAY_MS)))
        continue;
      if (s->count > limit)
        s->count = max_int64 (limit, 0);
      limit -= s->count;
    }
  untracked_compact (l);
}

static enum rr_admit
admit_state (const struct rr_ledger *l, struct rr_time now, bool probe)
{
  switch (rr_ledger_state (l, now))
    {
    case RR_LEDGER_UNCLAIMED:
      return RR_ADMIT_UNCLAIMED;
    case RR_LEDGER_CLAIMED:
      return RR_ADMIT_NOT_REBUILT;
    case RR_LEDGER_OPEN:
      return RR_ADMIT_OK;
    case RR_LEDGER_LEAVING:
      return RR_ADMIT_LEAVING;
    case RR_LEDGER_QUARANTINED:
      return probe ? RR_ADMIT_OK : RR_ADMIT_QUARANTINED;
    case RR_LEDGER_LEASE_LOST:
      return RR_ADMIT_LEASE_LOST;
    }
  return RR_ADMIT_UNCLAIMED;
}

/* Returns whether NEED fits into the free capacity.  A resource that is not
   needed fits even if its observed use exceeds the capacity.  */
static bool
fits (int64_t capacity, int64_t use, int64_t need)
{
  return need == 0 || need <= capacity - use;
}

static enum rr_admit
admit_size (const struct rr_ledger *l, struct rr_time now,
            const struct rr_resources *need)
{
  struct rr_resources use = ledger_used_capacity (l, &now);
  if (need->cores_milli < 0 || need->memory_mb < 0 || need->accelerators < 0
      || need->slots < 0 || need->connections < 0)
    return RR_ADMIT_INVALID;
  if (!fits (l->capacity.cores_milli, use.cores_milli, need->cores_milli))
    return RR_ADMIT_CORES;
  if (!fits (l->capacity.memory_mb, use.memory_mb, need->memory_mb))
    return RR_ADMIT_MEMORY;
  if (!fits (l->capacity.accelerators, use.accelerators, need->accelerators))
    return RR_ADMIT_ACCELERATORS;
  if (!fits (l->capacity.slots, use.slots, need->slots))
    return RR_ADMIT_SLOTS;
  if (!fits (l->capacity.connections, use.connections, need->connections))
    return RR_ADMIT_CONNECTIONS;
  return RR_ADMIT_OK;
}

/* Returns NEED as counted for a task: at least one slot and no connection.  */
static struct rr_resources
task_need (const struct rr_resources *need)
{
  struct rr_resources n = *need;
  n.slots = max_int64 (n.slots, 1);
  n.connections = 0;
  return n;
}

/* Returns whether a task that needs NEED would be admitted at NOW.  */
enum rr_admit
rr_ledger_check_admission (const struct rr_ledger *l, struct rr_time now,
                           const struct rr_resources *need, bool probe)
{
  enum rr_admit admit = admit_state (l, now, probe);
  if (admit != RR_ADMIT_OK)
    return admit;
  for (size_t i = 0; i < l->entry_count; i++)
    if (!l->entries[i].sized)
      return RR_ADMIT_SIZE_UNKNOWN;
  if (need->slots < 0 || need->connections < 0)
    return RR_ADMIT_INVALID;
  struct rr_resources n = task_need (need);
  return admit_size (l, now, &n);
}

/* Reserves NEED for an attempt for TTL_MS and stores the number of the
   reservation, or returns the reason of the refusal.  It is a duplicate if the
   ledger has any attempt of the same task.  */
enum rr_admit
rr_ledger_reserve (struct rr_ledger *l, struct rr_time now, const char *task,
                   uint32_t attempt, const struct rr_resources *need,
                   int64_t ttl_ms, bool probe, uint64_t *reservation)
{
  rr_ledger_expire_reservations (l, now);
  if (task[0] == '\0' || strlen (task) >= RR_TASK_ID_SIZE)
    return RR_ADMIT_INVALID;
  enum rr_admit admit = rr_ledger_check_admission (l, now, need, probe);
  if (admit != RR_ADMIT_OK)
    return admit;
  for (size_t i = 0; i < l->entry_count; i++)
    if (strcmp (l->entries[i].task, task) == 0)
      return RR_ADMIT_DUPLICATE;
  struct entry *e = ledger_entry_add (l, task, attempt);
  e->state = RR_ENTRY_RESERVED;
  e->reservation = *reservation = ++l->last_reservation;
  e->probe = probe;
  e->sized = true;
  e->declared = task_need (need);
  e->expires = rr_time_add (now, ttl_ms);
  return RR_ADMIT_OK;
}

static struct entry *
find_reservation (struct rr_ledger *l, uint64_t reservation)
{
  for (size_t i = 0; i < l->entry_count; i++)
    if (reservation != 0 && l->entries[i].reservation == reservation)
      return &l->entries[i];
  return NULL;
}

/* Records that the start of a reservation is about to be sent; see the header.
   The first lease ends at the latest LEASE_MS after VOID_AFTER, which must not
   be after the grant, else RR_ADMIT_INVALID.  */
enum rr_admit
rr_ledger_start_sent (struct rr_ledger *l, struct rr_time now,
                      uint64_t reservation, struct rr_time void_after,
                      int64_t lease_ms, struct rr_time granted_until)
{
  rr_ledger_expire_reservations (l, now);
  struct entry *e = find_reservation (l, reservation);
  struct rr_time until = rr_time_add (void_after, lease_ms);
  if (e == NULL || rr_time_before (granted_until, until))
    return RR_ADMIT_INVALID;
  enum rr_admit admit = admit_state (l, now, e->probe);
  if (admit != RR_ADMIT_OK)
    return admit;
  if (e->state == RR_ENTRY_RESERVED)
    e->state = RR_ENTRY_SENT;
  if (rr_time_before (e->void_after, void_after))
    e->void_after = void_after;
  if (rr_time_before (e->granted_until, granted_until))
    e->granted_until = granted_until;
  if (rr_time_before (l->in_force_until, until))
    l->in_force_until = until;
  return RR_ADMIT_OK;
}

/* Records that the worker confirmed the start.  Returns false for an unknown
   reservation, such as one of an older epoch.  */
bool
rr_ledger_start_confirmed (struct rr_ledger *l, uint64_t reservation)
{
  struct entry *e = find_reservation (l, reservation);
  if (e == NULL)
    return false;
  e->state = RR_ENTRY_RUNNING;
  return true;
}

/* Frees a reservation whose start was not sent or was refused.  */
bool
rr_ledger_cancel_reservation (struct rr_ledger *l, uint64_t reservation)
{
  struct entry *e = find_reservation (l, reservation);
  if (e == NULL)
    return false;
  ledger_entry_remove (l, e);
  return true;
}

/* Removes an attempt that ended or was sealed as never started.  */
bool
rr_ledger_end_attempt (struct rr_ledger *l, const char *task, uint32_t attempt)
{
  struct entry *e = ledger_entry_find (l, task, attempt);
  if (e == NULL)
    return false;
  ledger_entry_remove (l, e);
  return true;
}

/* Removes the reservations and untracked requests that have expired at NOW.
   Returns the number of reservations removed.  */
size_t
rr_ledger_expire_reservations (struct rr_ledger *l, struct rr_time now)
{
  size_t count = 0;
  for (size_t i = l->entry_count; i-- > 0;)
    if (is_expired (&l->entries[i], now))
      {
        ledger_entry_remove (l, &l->entries[i]);
        count++;
      }
  ledger_untracked_expire (l, now);
  return count;
}

/* Sets the declared size of an attempt that was reported without one.  Returns
   false if the ledger doesn't have the attempt.  */
bool
rr_ledger_set_declared_size (struct rr_ledger *l, const char *task,
                             uint32_t attempt,
                             const struct rr_resources *declared)
{
  struct entry *e = ledger_entry_find (l, task, attempt);
  if (e == NULL)
    return false;
  e->declared = task_need (declared);
  e->sized = true;
  return true;
}

/* Extends the grant of an attempt; an earlier time changes nothing.  Returns
   false if the ledger doesn't have the attempt.  */
bool
rr_ledger_extend_grant (struct rr_ledger *l, const char *task,
                        uint32_t attempt, struct rr_time granted_until)
{
  struct entry *e = ledger_entry_find (l, task, attempt);
  if (e == NULL)
    return false;
  if (rr_time_before (e->granted_until, granted_until))
    e->granted_until = granted_until;
  return true;
}

/* Admits a request, which uses one connection, and stores the epoch that must
   be sent with it.  */
enum rr_admit
rr_ledger_acquire_connection (struct rr_ledger *l, struct rr_time now,
                              uint64_t *epoch)
{
  static const struct rr_resources need = { .connections = 1 };
  ledger_untracked_expire (l, now);
  enum rr_admit admit = admit_state (l, now, false);
  if (admit == RR_ADMIT_OK)
    admit = admit_size (l, now, &need);
  if (admit != RR_ADMIT_OK)
    return admit;
  l->connections++;
  *epoch = l->epoch;
  return RR_ADMIT_OK;
}

/* Frees the connection of a request admitted under EPOCH.  An older epoch
   changes nothing: the status report of the newer claim counted the
   request.  */
void
rr_ledger_release_connection (struct rr_ledger *l, struct rr_time now,
                              uint64_t epoch, bool finished)
{
  if (!l->claimed || epoch != l->epoch || l->connections == 0)
    return;
  l->connections--;
  if (!finished)
    ledger_untracked_add (l, now, 1);
}

/* Returns the capacity from the worker's response to the claim.  */
struct rr_resources
rr_ledger_capacity (const struct rr_ledger *l)
{
  return l->capacity;
}

/* Returns the use of the capacity, expired reservations included.  */
struct rr_resources
rr_ledger_used (const struct rr_ledger *l)
{
  return ledger_used_capacity (l, NULL);
}

/* Returns the capacity less its use; negative where the observed use exceeds
   the capacity.  */
struct rr_resources
rr_ledger_free_resources (const struct rr_ledger *l)
{
  struct rr_resources use = ledger_used_capacity (l, NULL);
  struct rr_resources left = l->capacity;
  left.cores_milli -= use.cores_milli;
  left.memory_mb -= use.memory_mb;
  left.accelerators -= use.accelerators;
  left.slots -= use.slots;
  left.connections -= use.connections;
  return left;
}

/* Returns the number of entries.  */
size_t
rr_ledger_entry_count (const struct rr_ledger *l)
{
  return l->entry_count;
}

/* Stores a copy of the I-th entry, in the order in which they were added;
   returns false past the end.  The task name is valid until the ledger
   changes.  */
bool
rr_ledger_entry_at (const struct rr_ledger *l, size_t i,
                    struct rr_ledger_entry *entry)
{
  if (i >= l->entry_count)
    return false;
  const struct entry *e = &l->entries[i];
  *entry = (struct rr_ledger_entry){
    .task = e->task,
    .attempt = e->attempt,
    .state = e->state,
    .reservation = e->reservation,
    .sized = e->sized,
    .grant_expired = e->state == RR_ENTRY_RUNNING
                     && !rr_time_before (l->worker_now, e->granted_until),
    .declared = e->declared,
    .observed = e->observed,
    .granted_until = e->granted_until,
  };
  return true;
}

/* Returns the lower-case name of ADMIT.  */
const char *
rr_admit_name (enum rr_admit admit)
{
  static const char *const names[] = {
    [RR_ADMIT_OK] = "ok",
    [RR_ADMIT_UNCLAIMED] = "unclaimed",
    [RR_ADMIT_NOT_REBUILT] = "not-rebuilt",
    [RR_ADMIT_LEAVING] = "leaving",
    [RR_ADMIT_QUARANTINED] = "quarantined",
    [RR_ADMIT_LEASE_LOST] = "lease-lost",
    [RR_ADMIT_SIZE_UNKNOWN] = "unsized",
    [RR_ADMIT_CORES] = "cores",
    [RR_ADMIT_MEMORY] = "memory",
    [RR_ADMIT_ACCELERATORS] = "accelerators",
    [RR_ADMIT_SLOTS] = "slots",
    [RR_ADMIT_CONNECTIONS] = "connections",
    [RR_ADMIT_DUPLICATE] = "duplicate",
    [RR_ADMIT_INVALID] = "invalid",
  };
  return names[admit];
}
