#ifndef ROSEMARYRAIL_LEDGER_H
#define ROSEMARYRAIL_LEDGER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rosemaryrail/clock.h"
#include "rosemaryrail/error.h"

#define RR_TASK_ID_SIZE 96

/* What a worker has or a task needs.  Amounts left over may be negative.  */
struct rr_resources
{
  int64_t cores_milli;
  int64_t memory_mb;
  int64_t accelerators;
  int64_t slots;
  int64_t connections;
};

enum rr_ledger_state
{
  RR_LEDGER_UNCLAIMED,
  RR_LEDGER_CLAIMED, /* claimed, not yet rebuilt: admits nothing */
  RR_LEDGER_OPEN,
  RR_LEDGER_LEAVING,
  RR_LEDGER_QUARANTINED, /* admits probes only */
  RR_LEDGER_LEASE_LOST
};

/* Outcome of an admission.  */
enum rr_admit
{
  RR_ADMIT_OK,
  RR_ADMIT_UNCLAIMED,
  RR_ADMIT_NOT_REBUILT,
  RR_ADMIT_LEAVING,
  RR_ADMIT_QUARANTINED,
  RR_ADMIT_LEASE_LOST,
  RR_ADMIT_SIZE_UNKNOWN, /* the declared size of a running task is not known
                            yet */
  RR_ADMIT_CORES,
  RR_ADMIT_MEMORY,
  RR_ADMIT_ACCELERATORS,
  RR_ADMIT_SLOTS,
  RR_ADMIT_CONNECTIONS,
  RR_ADMIT_DUPLICATE, /* the task holds a reservation or runs here */
  RR_ADMIT_INVALID    /* task id too long or negative size */
};

/* Where an entry of the ledger stands.  */
enum rr_ledger_entry_state
{
  RR_ENTRY_RESERVED, /* capacity held; nothing sent; expires */
  RR_ENTRY_SENT,     /* start sent, answer unknown; held until void */
  RR_ENTRY_RUNNING   /* in the worker's account */
};

struct rr_ledger_options
{
  /* Longest time in ms a request may still run on the worker after this
     daemon lost track of it (worker's own request limit).  */
  int64_t request_limit_ms;
};

/* Answer to a claim.  SENT is read from the daemon's clock before the call,
   RECEIVED after it; WORKER_NOW is the worker's clock in the answer.  */
struct rr_ledger_claim
{
  struct rr_time sent;
  struct rr_time received;
  struct rr_time worker_now;
  int64_t lease_ms;
  uint64_t epoch;
  uint64_t incarnation;
  struct rr_resources capacity;
  bool leaving;
};

/* One task of the worker's account.  */
struct rr_ledger_reported_task
{
  const char *task;
  uint32_t attempt;
  /* Declared size; SIZED is false when it is not known yet.  */
  bool sized;
  struct rr_resources declared;
  /* Lagging usage; zero when none has been measured.  */
  struct rr_resources observed;
  /* Last point on the worker's clock up to which renewals are granted; 0 when
     not known, in which case the task is not renewed.  */
  struct rr_time granted_until;
};

/* Answer to a report; the account lists everything on the worker.  */
struct rr_ledger_report
{
  struct rr_time sent;
  struct rr_time received;
  struct rr_time worker_now;
  int64_t lease_ms;
  uint64_t epoch;
  bool leaving;
  const struct rr_ledger_reported_task *tasks;
  size_t task_count;
  /* Requests running on the worker, under any epoch.  */
  int64_t requests;
};

/* One line of a renewal plan; UNTIL is on the worker's clock.  */
struct rr_renewal
{
  const char *task;
  uint32_t attempt;
  struct rr_time until;
};

/* One entry as seen from outside.  */
struct rr_ledger_entry
{
  const char *task;
  uint32_t attempt;
  enum rr_ledger_entry_state state;
  uint64_t reservation;
  bool sized;
  bool overdue; /* the renewal plan can't extend it further */
  struct rr_resources declared;
  struct rr_resources observed;
  struct rr_time granted_until;
};

/* The capacity of one worker.  "now" is always the daemon's clock.  */
struct rr_ledger;

struct rr_ledger *rr_ledger_new (const struct rr_ledger_options *options);
void rr_ledger_free (struct rr_ledger *l);

/* Starts a new epoch: drops every entry of older epochs and admits nothing
   until rr_ledger_rebuild.  RR_ERROR_CONFLICT for an epoch that is not newer,
   for an older incarnation and for one that was abandoned.  */
bool rr_ledger_claim (struct rr_ledger *l, const struct rr_ledger_claim *claim,
                      struct rr_error *err);
/* Fills the ledger from the worker's account given in the answer to the claim
   of EPOCH.  RR_ERROR_CONFLICT when EPOCH is not the one claimed or the ledger
   is not waiting for an account.  */
bool rr_ledger_rebuild (struct rr_ledger *l, uint64_t epoch,
                        const struct rr_ledger_reported_task *tasks,
                        size_t count, int64_t requests, struct rr_error *err);
/* Takes over the answer to a report: renews the controller lease and updates
   the account.  RR_ERROR_CONFLICT for another epoch.  A report older than the
   last one taken over is ignored.  */
bool rr_ledger_report (struct rr_ledger *l,
                       const struct rr_ledger_report *report,
                       struct rr_error *err);
/* The worker refused EPOCH as stale: the lease is lost until a new claim.  */
void rr_ledger_mark_lease_lost (struct rr_ledger *l, uint64_t epoch);
/* Gives the worker up on purpose (graceful shutdown, owner moved).  */
void rr_ledger_release (struct rr_ledger *l);
/* Releases INCARNATION if it is held and refuses every later claim of it
   (section 5.2).  Returns true once this may be confirmed to the shard owner:
   every renewal and start sent is no longer in force at NOW; until then it
   must be asked again.  */
bool rr_ledger_abandon (struct rr_ledger *l, uint64_t incarnation,
                        struct rr_time now);

/* Leaving can't be undone for this incarnation.  */
void rr_ledger_set_leaving (struct rr_ledger *l);
void rr_ledger_set_quarantined (struct rr_ledger *l, bool quarantined);

enum rr_ledger_state rr_ledger_state (const struct rr_ledger *l,
                                      struct rr_time now);
const char *rr_ledger_state_name (enum rr_ledger_state state);
const char *rr_admit_name (enum rr_admit admit);
uint64_t rr_ledger_epoch (const struct rr_ledger *l);
uint64_t rr_ledger_incarnation (const struct rr_ledger *l);
/* End of the controller lease on the daemon's clock, counted from the time
   the claim or report was sent.  */
struct rr_time rr_ledger_lease_until (const struct rr_ledger *l);
/* Lowest value the worker's clock can have at NOW.  */
struct rr_time rr_ledger_worker_clock (const struct rr_ledger *l,
                                       struct rr_time now);

/* Reserves capacity for TTL_MS.  A task takes at least one slot and no
   connection.  PROBE is admitted in quarantine.  */
enum rr_admit rr_ledger_reserve (struct rr_ledger *l, struct rr_time now,
                                 const char *task, uint32_t attempt,
                                 const struct rr_resources *need,
                                 int64_t ttl_ms, bool probe,
                                 uint64_t *reservation);
/* Tells whether a reservation would be admitted, without making it.  */
enum rr_admit rr_ledger_check_admission (const struct rr_ledger *l,
                                         struct rr_time now,
                                         const struct rr_resources *need,
                                         bool probe);
/* Call immediately before the start is sent.  The reservation no longer
   expires by itself: it is held until the answer, or until the worker's clock
   in a report is past VOID_AFTER and the account doesn't list the task.
   Returns RR_ADMIT_OK, or why the start must not be sent (RR_ADMIT_INVALID for
   an expired or unknown reservation, or a first lease, VOID_AFTER plus
   LEASE_MS, that reaches past GRANTED_UNTIL).  */
enum rr_admit rr_ledger_start_sent (struct rr_ledger *l, struct rr_time now,
                                    uint64_t reservation,
                                    struct rr_time void_after,
                                    int64_t lease_ms,
                                    struct rr_time granted_until);
/* The worker confirmed the start; false for an unknown reservation.  */
bool rr_ledger_start_confirmed (struct rr_ledger *l, uint64_t reservation);
/* Nothing was sent, or the worker refused the start.  */
bool rr_ledger_cancel_reservation (struct rr_ledger *l, uint64_t reservation);
/* The attempt ended or was sealed as never started.  A late call for an
   attempt that isn't here changes nothing and returns false.  */
bool rr_ledger_end_attempt (struct rr_ledger *l, const char *task,
                            uint32_t attempt);
/* Drops expired reservations; returns how many.  Admissions do it as well.  */
size_t rr_ledger_expire_reservations (struct rr_ledger *l, struct rr_time now);
/* Sets the declared size of a task rebuilt without one.  */
bool rr_ledger_set_declared_size (struct rr_ledger *l, const char *task,
                                  uint32_t attempt,
                                  const struct rr_resources *declared);
/* Moves the grant of an attempt forward; never back.  */
bool rr_ledger_extend_grant (struct rr_ledger *l, const char *task,
                             uint32_t attempt, struct rr_time granted_until);

/* A request takes one connection.  The epoch under which it was admitted goes
   into the call and into rr_ledger_release_connection.  */
enum rr_admit rr_ledger_acquire_connection (struct rr_ledger *l,
                                            struct rr_time now,
                                            uint64_t *epoch);
/* Gives the connection back.  FINISHED is false when the worker may still be
   working on the request (timeout, broken connection): it then stays counted
   until a report shows fewer requests or request_limit_ms have passed.  */
void rr_ledger_release_connection (struct rr_ledger *l, struct rr_time now,
                                   uint64_t epoch, bool finished);

/* Capacity, and the use counted against it: for each task the larger of
   declared and observed, plus connections.  */
struct rr_resources rr_ledger_capacity (const struct rr_ledger *l);
struct rr_resources rr_ledger_used (const struct rr_ledger *l);
/* Capacity less use; negative where observed use exceeds capacity.  */
struct rr_resources rr_ledger_free_resources (const struct rr_ledger *l);
size_t rr_ledger_entry_count (const struct rr_ledger *l);
bool rr_ledger_entry_at (const struct rr_ledger *l, size_t i,
                         struct rr_ledger_entry *entry);

/* Fills OUT (SIZE lines) with the renewals for the next report and returns
   how many there are in all; the plan counts as sent.  Each reaches LEASE_MS
   from the worker's clock but no further than its grant.  Empty while the
   ledger is unclaimed, not rebuilt or refused by the worker; a lease that ran
   out on our clock alone doesn't empty it.  Names stay valid until the ledger
   changes.  */
size_t rr_ledger_plan_renewals (struct rr_ledger *l, struct rr_time now,
                                int64_t lease_ms, struct rr_renewal *out,
                                size_t size);

#endif
