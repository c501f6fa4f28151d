#include "rosemaryrail/ledger.h"

#include <stdlib.h>
#include <string.h>

#include "ledger_internal.h"

/* The worker's clock may run slower than ours by one part in this many; NTP
   keeps the difference below 500 ppm.  */
#define CLOCK_DRIFT_PARTS 1000

/* Returns an unclaimed ledger; the caller frees it with rr_ledger_free.  */
struct rr_ledger *
rr_ledger_new (const struct rr_ledger_options *options)
{
  struct rr_ledger *l = calloc (1, sizeof *l);
  l->options = *options;
  return l;
}

/* Frees L, which may be null.  */
void
rr_ledger_free (struct rr_ledger *l)
{
  if (l == NULL)
    return;
  free (l->entries);
  free (l->strays);
  free (l);
}

/* Takes over the answer to a claim: a new epoch begins, every entry of older
   epochs is dropped, and nothing is admitted until rr_ledger_rebuild.  False
   with RR_ERROR_CONFLICT for an epoch that is not newer (an answer that was
   overtaken), an older incarnation, or one that was abandoned.  */
bool
rr_ledger_claim (struct rr_ledger *l, const struct rr_ledger_claim *claim,
                 struct rr_error *err)
{
  if (l->abandoned_any && claim->incarnation <= l->abandoned)
    return rr_error_set (err, RR_ERROR_CONFLICT,
                         "incarnation %llu was given up for good",
                         (unsigned long long)claim->incarnation);
  if (claim->incarnation < l->incarnation)
    return rr_error_set (err, RR_ERROR_CONFLICT,
                         "incarnation %llu is older than %llu",
                         (unsigned long long)claim->incarnation,
                         (unsigned long long)l->incarnation);
  bool replaced = claim->incarnation > l->incarnation;
  if (!replaced && claim->epoch <= l->epoch)
    return rr_error_set (
        err, RR_ERROR_CONFLICT, "epoch %llu is not newer than %llu",
        (unsigned long long)claim->epoch, (unsigned long long)l->epoch);
  if (replaced)
    {
      l->leaving = l->quarantined = false;
      l->in_force_until = rr_time_from_ms (0);
    }
  ledger_entries_clear (l);
  l->stray_count = 0;
  l->connections = 0;
  l->claimed = true;
  l->rebuilt = l->lost = false;
  l->leaving = l->leaving || claim->leaving;
  l->epoch = claim->epoch;
  l->incarnation = claim->incarnation;
  l->lease_until = rr_time_add (claim->sent, claim->lease_ms);
  l->received = claim->received;
  l->worker_now = claim->worker_now;
  l->capacity = claim->capacity;
  return true;
}

static void
account_update (struct entry *e, const struct rr_ledger_reported_task *a)
{
  if (a->sized && !e->sized)
    {
      e->declared = a->declared;
      e->sized = true;
    }
  e->observed = a->observed;
  if (rr_time_before (e->granted_until, a->granted_until))
    e->granted_until = a->granted_until;
}

/* Adds or updates the entry of A.  The worker's account is the truth: what it
   lists runs, whatever this ledger believed.  */
static void
account_take (struct rr_ledger *l, const struct rr_ledger_reported_task *a)
{
  struct entry *e = ledger_entry_find (l, a->task, a->attempt);
  if (e == NULL)
    e = ledger_entry_add (l, a->task, a->attempt);
  e->state = RR_ENTRY_RUNNING;
  account_update (e, a);
}

static bool
account_lists (const struct rr_ledger_reported_task *tasks, size_t count,
               const struct entry *e)
{
  for (size_t i = 0; i < count; i++)
    if (tasks[i].attempt == e->attempt && strcmp (tasks[i].task, e->task) == 0)
      return true;
  return false;
}

static bool
account_check (const struct rr_ledger_reported_task *tasks, size_t count,
               struct rr_error *err)
{
  for (size_t i = 0; i < count; i++)
    if (strlen (tasks[i].task) >= RR_TASK_ID_SIZE)
      return rr_error_set (err, RR_ERROR_INVALID,
                           "task id \"%.40s...\" in the account is too long",
                           tasks[i].task);
  return true;
}

/* Fills the ledger from the account that the worker returned with the claim of
   EPOCH.  REQUESTS of any epoch that run there keep their connections until
   they must have ended.  False with RR_ERROR_CONFLICT when EPOCH is not the
   claimed one or the ledger is rebuilt already, RR_ERROR_INVALID for an
   account that can't be held.  */
bool
rr_ledger_rebuild (struct rr_ledger *l, uint64_t epoch,
                   const struct rr_ledger_reported_task *tasks, size_t count,
                   int64_t requests, struct rr_error *err)
{
  if (!l->claimed || l->lost || l->rebuilt || epoch != l->epoch)
    return rr_error_set (err, RR_ERROR_CONFLICT,
                         "epoch %llu does not wait for an account",
                         (unsigned long long)epoch);
  if (!account_check (tasks, count, err))
    return false;
  for (size_t i = 0; i < count; i++)
    account_take (l, &tasks[i]);
  ledger_stray_add (l, l->received, requests);
  l->rebuilt = true;
  return true;
}

/* Takes over the answer to a report of the current epoch: renews the
   controller lease, and updates usage, entries and stray requests.  An entry
   missing in the account is dropped once the worker's clock is past the time
   up to which its start could take effect.  False with RR_ERROR_CONFLICT for
   another epoch; an answer that was overtaken by a later one is ignored.  */
bool
rr_ledger_report (struct rr_ledger *l, const struct rr_ledger_report *report,
                  struct rr_error *err)
{
  if (!l->claimed || !l->rebuilt || l->lost || report->epoch != l->epoch)
    return rr_error_set (
        err, RR_ERROR_CONFLICT, "report of epoch %llu, the ledger is at %llu",
        (unsigned long long)report->epoch, (unsigned long long)l->epoch);
  if (!account_check (report->tasks, report->task_count, err))
    return false;
  struct rr_time until = rr_time_add (report->sent, report->lease_ms);
  if (rr_time_before (l->lease_until, until))
    l->lease_until = until;
  l->leaving = l->leaving || report->leaving;
  if (rr_time_before (report->worker_now, l->worker_now))
    return true;
  l->worker_now = report->worker_now;
  l->received = report->received;
  for (size_t i = l->entry_count; i-- > 0;)
    {
      struct entry *e = &l->entries[i];
      if (e->state != RR_ENTRY_RESERVED
          && rr_time_before (e->void_after, report->worker_now)
          && !account_lists (report->tasks, report->task_count, e))
        ledger_entry_remove (l, e);
    }
  for (size_t i = 0; i < report->task_count; i++)
    account_take (l, &report->tasks[i]);
  ledger_stray_expire (l, report->received);
  ledger_stray_limit (l, report->sent, report->requests);
  return true;
}

/* Records that the worker refused EPOCH as stale: nothing is admitted or
   renewed until a new claim.  */
void
rr_ledger_mark_lease_lost (struct rr_ledger *l, uint64_t epoch)
{
  if (l->claimed && epoch == l->epoch)
    l->lost = true;
}

/* Gives the worker up: the ledger is unclaimed and empty.  */
void
rr_ledger_release (struct rr_ledger *l)
{
  l->claimed = l->rebuilt = l->lost = false;
  ledger_entries_clear (l);
  l->stray_count = 0;
  l->connections = 0;
}

/* Releases the worker if INCARNATION is held and refuses every later claim of
   it.  Returns true once nothing that this daemon sent can keep a task of it
   alive at NOW; ask again until then.  */
bool
rr_ledger_abandon (struct rr_ledger *l, uint64_t incarnation,
                   struct rr_time now)
{
  if (!l->abandoned_any || incarnation > l->abandoned)
    l->abandoned = incarnation;
  l->abandoned_any = true;
  if (l->incarnation != incarnation)
    {
      /* A newer incarnation is a new VM; an unknown one was never held.  */
      return true;
    }
  if (l->claimed)
    rr_ledger_release (l);
  return rr_time_before (l->in_force_until, rr_ledger_worker_clock (l, now));
}

/* Marks this incarnation as leaving, which can't be undone.  */
void
rr_ledger_set_leaving (struct rr_ledger *l)
{
  l->leaving = true;
}

/* Puts the worker into quarantine or ends it.  */
void
rr_ledger_set_quarantined (struct rr_ledger *l, bool quarantined)
{
  l->quarantined = quarantined;
}

/* Returns the state at NOW.  A lease that ran out on our clock alone is
   regained by the next report, since the worker checks the epoch.  */
enum rr_ledger_state
rr_ledger_state (const struct rr_ledger *l, struct rr_time now)
{
  if (!l->claimed)
    return RR_LEDGER_UNCLAIMED;
  if (l->lost || !rr_time_before (now, l->lease_until))
    return RR_LEDGER_LEASE_LOST;
  if (!l->rebuilt)
    return RR_LEDGER_CLAIMED;
  if (l->leaving)
    return RR_LEDGER_LEAVING;
  return l->quarantined ? RR_LEDGER_QUARANTINED : RR_LEDGER_OPEN;
}

/* Returns the epoch of the last claim.  */
uint64_t
rr_ledger_epoch (const struct rr_ledger *l)
{
  return l->epoch;
}

/* Returns the incarnation of the last claim.  */
uint64_t
rr_ledger_incarnation (const struct rr_ledger *l)
{
  return l->incarnation;
}

/* Returns the end of the controller lease on the daemon's clock.  */
struct rr_time
rr_ledger_lease_until (const struct rr_ledger *l)
{
  return l->lease_until;
}

/* Returns the lowest value the worker's clock can have at NOW: the last
   reading, moved on by the time since its arrival less the drift.  */
struct rr_time
rr_ledger_worker_clock (const struct rr_ledger *l, struct rr_time now)
{
  int64_t passed = rr_time_diff (now, l->received);
  if (passed < 0)
    passed = 0;
  return rr_time_add (
      l->worker_now,
      passed - (passed + CLOCK_DRIFT_PARTS - 1) / CLOCK_DRIFT_PARTS);
}

/* Fills OUT with up to SIZE renewals for the next report and returns how many
   there are in all.  Each reaches LEASE_MS past the worker's clock but never
   past its grant; an attempt without a grant is left out.  The plan counts as
   sent.  A lease that ran out on our clock alone doesn't empty the plan: the
   worker refuses it if another daemon has claimed.  */
size_t
rr_ledger_plan_renewals (struct rr_ledger *l, struct rr_time now,
                         int64_t lease_ms, struct rr_renewal *out, size_t size)
{
  if (!l->claimed || !l->rebuilt || l->lost)
    return 0;
  struct rr_time clock = rr_ledger_worker_clock (l, now);
  size_t count = 0;
  for (size_t i = 0; i < l->entry_count; i++)
    {
      const struct entry *e = &l->entries[i];
      if (e->state != RR_ENTRY_RUNNING
          || !rr_time_before (clock, e->granted_until))
        continue;
      struct rr_time until = rr_time_add (clock, lease_ms);
      if (rr_time_before (e->granted_until, until))
        until = e->granted_until;
      if (count < size)
        {
          out[count] = (struct rr_renewal){ e->task, e->attempt, until };
          if (rr_time_before (l->in_force_until, until))
            l->in_force_until = until;
        }
      count++;
    }
  return count;
}

/* Returns the lower-case name of STATE.  */
const char *
rr_ledger_state_name (enum rr_ledger_state state)
{
  switch (state)
    {
    case RR_LEDGER_UNCLAIMED:
      return "unclaimed";
    case RR_LEDGER_CLAIMED:
      return "claimed";
    case RR_LEDGER_OPEN:
      return "open";
    case RR_LEDGER_LEAVING:
      return "leaving";
    case RR_LEDGER_QUARANTINED:
      return "quarantined";
    case RR_LEDGER_LEASE_LOST:
      return "lease-lost";
    }
  return "unknown";
}
