#ifndef ROSEMARYRAIL_LEDGER_H
#define ROSEMARYRAIL_LEDGER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rosemaryrail/clock.h"
#include "rosemaryrail/error.h"

#define RR_TASK_ID_SIZE 96

/* Amounts of the resources of a worker or task.  Free capacity may be
   negative.  */
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
  RR_LEDGER_CLAIMED, /* not rebuilt yet: admits nothing */
  RR_LEDGER_OPEN,
  RR_LEDGER_LEAVING,
  RR_LEDGER_QUARANTINED, /* admits probes only */
  RR_LEDGER_LEASE_LOST
};

/* Outcome of an admission check; all but OK name the reason of a refusal.  */
enum rr_admit
{
  RR_ADMIT_OK,
  RR_ADMIT_UNCLAIMED,
  RR_ADMIT_NOT_REBUILT,
  RR_ADMIT_LEAVING,
  RR_ADMIT_QUARANTINED,
  RR_ADMIT_LEASE_LOST,
  RR_ADMIT_SIZE_UNKNOWN, /* the declared size of a running task is unknown */
  RR_ADMIT_CORES,
  RR_ADMIT_MEMORY,
  RR_ADMIT_ACCELERATORS,
  RR_ADMIT_SLOTS,
  RR_ADMIT_CONNECTIONS,
  RR_ADMIT_DUPLICATE, /* the task is reserved or runs on this worker */
  RR_ADMIT_INVALID    /* task id too long, negative size */
};

/* State of the task of an entry.  */
enum rr_ledger_entry_state
{
  RR_ENTRY_RESERVED, /* start not sent; the reservation expires */
  RR_ENTRY_SENT,     /* start sent, outcome unknown; kept until it is void */
  RR_ENTRY_RUNNING   /* start confirmed or in a status report */
};

struct rr_ledger_options
{
  /* Longest time in ms that a request can still run on the worker after this
     daemon has stopped tracking it; the worker's own request limit.  */
  int64_t request_limit_ms;
};

/* Response to a claim.  SENT and RECEIVED are the daemon's clock before and
   after the call; WORKER_NOW is the worker's clock in the response.  */
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

/* One task of a worker's status report.  */
struct rr_ledger_reported_task
{
  const char *task;
  uint32_t attempt;
  /* Declared size; SIZED is false if it is unknown.  */
  bool sized;
  struct rr_resources declared;
  /* Measured usage, which lags behind; zero if not measured yet.  */
  struct rr_resources observed;
  /* Time on the worker's clock up to which the lease may be renewed; 0 if
     unknown, then the task is not renewed.  */
  struct rr_time granted_until;
};

/* Status report of the worker; lists all its tasks.  */
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
  /* Requests that run on the worker, of any epoch.  */
  int64_t requests;
};

/* Renewal of the lease of an attempt; UNTIL is on the worker's clock.  */
struct rr_renewal
{
  const char *task;
  uint32_t attempt;
  struct rr_time until;
};

/* Copy of a ledger entry.  */
struct rr_ledger_entry
{
  const char *task;
  uint32_t attempt;
  enum rr_ledger_entry_state state;
  uint64_t reservation;
  bool sized;
  bool grant_expired; /* the lease can't be renewed any more */
  struct rr_resources declared;
  struct rr_resources observed;
  struct rr_time granted_until;
};

/* Tracks the capacity of one worker and what uses it.  NOW is always the
   daemon's clock.  */
struct rr_ledger;

struct rr_ledger *rr_ledger_new (const struct rr_ledger_options *options);
void rr_ledger_free (struct rr_ledger *l);

/* Starts a new epoch with the response to a claim: drops all entries of older
   epochs and admits nothing until rr_ledger_rebuild.  Fails with
   RR_ERROR_CONFLICT if the epoch is not newer, or if the incarnation is older
   or was abandoned.  */
bool rr_ledger_claim (struct rr_ledger *l, const struct rr_ledger_claim *claim,
                      struct rr_error *err);
/* Fills the ledger from the status report in the response to the claim of
   EPOCH.  Fails with RR_ERROR_CONFLICT if EPOCH is not the claimed one or the
   ledger is already rebuilt.  */
bool rr_ledger_rebuild (struct rr_ledger *l, uint64_t epoch,
                        const struct rr_ledger_reported_task *tasks,
                        size_t count, int64_t requests, struct rr_error *err);
/* Applies a status report: extends the controller lease and updates the
   entries.  Fails with RR_ERROR_CONFLICT for another epoch.  The tasks of a
   report older than the last applied one are ignored.  */
bool rr_ledger_report (struct rr_ledger *l,
                       const struct rr_ledger_report *report,
                       struct rr_error *err);
/* Records that the worker refused EPOCH as stale: the controller lease is lost
   until a new claim.  */
void rr_ledger_mark_lease_lost (struct rr_ledger *l, uint64_t epoch);
/* Releases the worker: graceful shutdown, or another daemon owns it now.  */
void rr_ledger_release (struct rr_ledger *l);
/* Releases INCARNATION if it is claimed and rejects every later claim of it
   (section 5.2).  Returns true if this may be confirmed to the shard owner,
   because no renewal or start that was sent is still valid at NOW; call it
   again later otherwise.  */
bool rr_ledger_abandon (struct rr_ledger *l, uint64_t incarnation,
                        struct rr_time now);

/* Marks the incarnation as leaving, which can't be undone.  */
void rr_ledger_set_leaving (struct rr_ledger *l);
void rr_ledger_set_quarantined (struct rr_ledger *l, bool quarantined);

enum rr_ledger_state rr_ledger_state (const struct rr_ledger *l,
                                      struct rr_time now);
const char *rr_ledger_state_name (enum rr_ledger_state state);
const char *rr_admit_name (enum rr_admit admit);
uint64_t rr_ledger_epoch (const struct rr_ledger *l);
uint64_t rr_ledger_incarnation (const struct rr_ledger *l);
/* Returns the end of the controller lease on the daemon's clock.  The lease
   counts from the time at which the claim or report was sent.  */
struct rr_time rr_ledger_lease_until (const struct rr_ledger *l);
/* Returns a lower bound of the worker's clock at NOW.  */
struct rr_time rr_ledger_worker_clock (const struct rr_ledger *l,
                                       struct rr_time now);

/* Reserves NEED for TTL_MS.  A task uses at least one slot and no connection.
   A PROBE is admitted in quarantine, too.  */
enum rr_admit rr_ledger_reserve (struct rr_ledger *l, struct rr_time now,
                                 const char *task, uint32_t attempt,
                                 const struct rr_resources *need,
                                 int64_t ttl_ms, bool probe,
                                 uint64_t *reservation);
/* Returns whether a reservation would be admitted, without making it.  */
enum rr_admit rr_ledger_check_admission (const struct rr_ledger *l,
                                         struct rr_time now,
                                         const struct rr_resources *need,
                                         bool probe);
/* To be called immediately before the start is sent.  From then on the
   reservation doesn't expire by time: it is kept until the response, or until
   a status report with a worker's clock past VOID_AFTER doesn't list the task.
   Returns RR_ADMIT_OK, or the reason why the start must not be sent:
   RR_ADMIT_INVALID for an expired or unknown reservation, or if the first
   lease (VOID_AFTER plus LEASE_MS) ends after GRANTED_UNTIL.  */
enum rr_admit rr_ledger_start_sent (struct rr_ledger *l, struct rr_time now,
                                    uint64_t reservation,
                                    struct rr_time void_after,
                                    int64_t lease_ms,
                                    struct rr_time granted_until);
/* Records that the worker confirmed the start; returns false for an unknown
   reservation.  */
bool rr_ledger_start_confirmed (struct rr_ledger *l, uint64_t reservation);
/* Frees a reservation whose start was not sent or was refused.  */
bool rr_ledger_cancel_reservation (struct rr_ledger *l, uint64_t reservation);
/* Removes an attempt that ended or was sealed as never started.  Returns false
   and changes nothing if the ledger doesn't have the attempt.  */
bool rr_ledger_end_attempt (struct rr_ledger *l, const char *task,
                            uint32_t attempt);
/* Removes expired reservations and returns their number.  rr_ledger_reserve
   and rr_ledger_start_sent do this first.  */
size_t rr_ledger_expire_reservations (struct rr_ledger *l, struct rr_time now);
/* Sets the declared size of a task that was reported without one.  */
bool rr_ledger_set_declared_size (struct rr_ledger *l, const char *task,
                                  uint32_t attempt,
                                  const struct rr_resources *declared);
/* Extends the grant of an attempt; an earlier time changes nothing.  */
bool rr_ledger_extend_grant (struct rr_ledger *l, const char *task,
                             uint32_t attempt, struct rr_time granted_until);

/* Admits a request, which uses one connection.  EPOCH, the epoch under which
   it was admitted, is sent with the request and passed to
   rr_ledger_release_connection.  */
enum rr_admit rr_ledger_acquire_connection (struct rr_ledger *l,
                                            struct rr_time now,
                                            uint64_t *epoch);
/* Frees the connection of a request.  FINISHED is false if the worker may
   still process the request (timeout, broken connection); the connection then
   stays counted until a status report shows fewer requests or request_limit_ms
   have passed.  */
void rr_ledger_release_connection (struct rr_ledger *l, struct rr_time now,
                                   uint64_t epoch, bool finished);

/* Return the capacity and its use.  A task uses the larger of its declared and
   its observed amount of each resource.  */
struct rr_resources rr_ledger_capacity (const struct rr_ledger *l);
struct rr_resources rr_ledger_used (const struct rr_ledger *l);
/* Returns the capacity less its use; negative where the observed use exceeds
   the capacity.  */
struct rr_resources rr_ledger_free_resources (const struct rr_ledger *l);
size_t rr_ledger_entry_count (const struct rr_ledger *l);
bool rr_ledger_entry_at (const struct rr_ledger *l, size_t i,
                         struct rr_ledger_entry *entry);

/* Stores up to SIZE lease renewals for the next report in OUT and returns the
   number of all renewals.  The ledger assumes that those stored are sent.
   Each renewal lasts LEASE_MS from the worker's clock but not past its grant.
   There are none while the ledger is unclaimed, not rebuilt or refused by the
   worker.  A controller lease that has expired on the daemon's clock only
   doesn't stop renewals.  Task names are valid until the ledger changes.  */
size_t rr_ledger_plan_renewals (struct rr_ledger *l, struct rr_time now,
                                int64_t lease_ms, struct rr_renewal *out,
                                size_t size);

#endif
