#include "rosemaryrail/ledger.h"

#include <stdlib.h>
#include <string.h>

#include "ledger_internal.h"

/* The worker's clock may run slower than the daemon's by one part in this
   many, 1000 ppm.  NTP keeps the difference below 500 ppm.  */
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
  free (l->untracked);
  free (l);
}

/* Starts a new epoch with the response to a claim: drops all entries of older
   epochs and admits nothing until rr_ledger_rebuild.  Fails with
   RR_ERROR_CONFLICT if the epoch is not newer (a response that arrived after a
   later one), or if the incarnation is older or was abandoned.  */
bool
rr_ledger_claim (struct rr_ledger *l, const struct rr_ledger_claim *claim,
                 struct rr_error *err)
{
  if (l->has_abandoned && claim->incarnation <= l->abandoned)
    return rr_error_set (err, RR_ERROR_CONFLICT,
                         "incarnation %llu was abandoned",
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
  l->untracked_count = 0;
  l->connections = 0;
  l->claimed = true;
  l->rebuilt = l->lease_lost = false;
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
entry_update (struct entry *e, const struct rr_ledger_reported_task *a)
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

/* Adds or updates the entry of A.  The worker's status report is
   authoritative: a task that it lists is running, whatever the state of its
   entry.  */
static void
report_apply_task (struct rr_ledger *l,
                   const struct rr_ledger_reported_task *a)
{
  struct entry *e = ledger_entry_find (l, a->task, a->attempt);
  if (e == NULL)
    e = ledger_entry_add (l, a->task, a->attempt);
  e->state = RR_ENTRY_RUNNING;
  entry_update (e, a);
}

static bool
report_lists_entry (const struct rr_ledger_reported_task *tasks, size_t count,
                    const struct entry *e)
{
  for (size_t i = 0; i < count; i++)
    if (tasks[i].attempt == e->attempt && strcmp (tasks[i].task, e->task) == 0)
      return true;
  return false;
}

static bool
report_check_tasks (const struct rr_ledger_reported_task *tasks, size_t count,
                    struct rr_error *err)
{
  for (size_t i = 0; i < count; i++)
    if (strlen (tasks[i].task) >= RR_TASK_ID_SIZE)
      return rr_error_set (err, RR_ERROR_INVALID,
                           "task id \"%.40s...\" in the status report is too "
                           "long",
                           tasks[i].task);
  return true;
}

/* Fills the ledger from the status report in the response to the claim of
   EPOCH.  REQUESTS, the number of requests of any epoch that run on the
   worker, count as connections until they must have ended.  Fails with
   RR_ERROR_CONFLICT if EPOCH is not the claimed one or the ledger is already
   rebuilt, and with RR_ERROR_INVALID if a task id is too long.  */
bool
rr_ledger_rebuild (struct rr_ledger *l, uint64_t epoch,
                   const struct rr_ledger_reported_task *tasks, size_t count,
                   int64_t requests, struct rr_error *err)
{
  if (!l->claimed || l->lease_lost || l->rebuilt || epoch != l->epoch)
    return rr_error_set (err, RR_ERROR_CONFLICT,
                         "epoch %llu is not waiting for a status report",
                         (unsigned long long)epoch);
  if (!report_check_tasks (tasks, count, err))
    return false;
  for (size_t i = 0; i < count; i++)
    report_apply_task (l, &tasks[i]);
  ledger_untracked_add (l, l->received, requests);
  l->rebuilt = true;
  return true;
}

/* Applies a status report of the current epoch: extends the controller lease
   and updates entries, usage and untracked requests.  Removes an entry that
   the report doesn't list once the worker's clock is past the time up to which
   its start could take effect.  Fails with RR_ERROR_CONFLICT for another
   epoch.  A report that arrives after a later one only extends the lease and
   may mark the worker as leaving.  */
bool
rr_ledger_report (struct rr_ledger *l, const struct rr_ledger_report *report,
                  struct rr_error *err)
{
  if (!l->claimed || !l->rebuilt || l->lease_lost || report->epoch != l->epoch)
    return rr_error_set (
        err, RR_ERROR_CONFLICT,
        "status report of epoch %llu, but the ledger is at epoch %llu",
        (unsigned long long)report->epoch, (unsigned long long)l->epoch);
  if (!report_check_tasks (report->tasks, report->task_count, err))
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
          && !report_lists_entry (report->tasks, report->task_count, e))
        ledger_entry_remove (l, e);
    }
  for (size_t i = 0; i < report->task_count; i++)
    report_apply_task (l, &report->tasks[i]);
  ledger_untracked_expire (l, report->received);
  ledger_untracked_limit (l, report->sent, report->requests);
  return true;
}

/* Records that the worker refused EPOCH as stale: admits and renews nothing
   until a new claim.  */
void
rr_ledger_mark_lease_lost (struct rr_ledger *l, uint64_t epoch)
{
  if (l->claimed && epoch == l->epoch)
    l->lease_lost = true;
}

/* Releases the worker: the ledger becomes unclaimed and empty.  */
void
rr_ledger_release (struct rr_ledger *l)
{
  l->claimed = l->rebuilt = l->lease_lost = false;
  ledger_entries_clear (l);
  l->untracked_count = 0;
  l->connections = 0;
}

/* Releases the worker if INCARNATION is claimed and rejects every later claim
   of it.  Returns true if no start or renewal sent by this daemon can keep a
   task of it running at NOW; call it again later otherwise.  */
bool
rr_ledger_abandon (struct rr_ledger *l, uint64_t incarnation,
                   struct rr_time now)
{
  if (!l->has_abandoned || incarnation > l->abandoned)
    l->abandoned = incarnation;
  l->has_abandoned = true;
  if (l->incarnation != incarnation)
    {
      /* A newer incarnation is another VM; an unknown one was never claimed.
       */
      return true;
    }
  if (l->claimed)
    rr_ledger_release (l);
  return rr_time_before (l->in_force_until, rr_ledger_worker_clock (l, now));
}

/* Marks the incarnation as leaving, which can't be undone.  */
void
rr_ledger_set_leaving (struct rr_ledger *l)
{
  l->leaving = true;
}

/* Puts the worker into quarantine or releases it from quarantine.  */
void
rr_ledger_set_quarantined (struct rr_ledger *l, bool quarantined)
{
  l->quarantined = quarantined;
}

/* Returns the state at NOW.  A lease that has expired on the daemon's clock
   only is regained by the next report, since the worker checks the epoch.  */
enum rr_ledger_state
rr_ledger_state (const struct rr_ledger *l, struct rr_time now)
{
  if (!l->claimed)
    return RR_LEDGER_UNCLAIMED;
  if (l->lease_lost || !rr_time_before (now, l->lease_until))
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

/* Returns a lower bound of the worker's clock at NOW: the last reading plus
   the time since its arrival, less the maximum drift.  */
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

/* Stores up to SIZE lease renewals for the next report in OUT and returns the
   number of all renewals.  The ledger assumes that those stored are sent.
   Each lasts LEASE_MS from the worker's clock but not past its grant; an
   attempt without a grant is not renewed.  A controller lease that has expired
   on the daemon's clock only doesn't stop renewals: the worker refuses them if
   another daemon has claimed it.  */
size_t
rr_ledger_plan_renewals (struct rr_ledger *l, struct rr_time now,
                         int64_t lease_ms, struct rr_renewal *out, size_t size)
{
  if (!l->claimed || !l->rebuilt || l->lease_lost)
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
