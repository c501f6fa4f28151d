#ifndef ROSEMARYRAIL_LEDGER_INTERNAL_H
#define ROSEMARYRAIL_LEDGER_INTERNAL_H

#include "rosemaryrail/ledger.h"

struct entry
{
  char task[RR_TASK_ID_SIZE];
  uint32_t attempt;
  enum rr_ledger_entry_state state;
  uint64_t reservation;
  bool probe;
  bool sized;
  struct rr_time expires; /* RR_ENTRY_RESERVED, daemon's clock */
  struct rr_time
      void_after; /* worker's clock; 0 if this ledger sent no start */
  struct rr_time granted_until;
  struct rr_resources declared;
  struct rr_resources observed;
};

/* Requests that may run on the worker without a connection of this epoch: they
   were running at the claim, or their connection was freed without a
   response.  */
struct untracked_requests
{
  int64_t count;
  struct rr_time since;
  struct rr_time until;
};

struct rr_ledger
{
  struct rr_ledger_options options;
  bool claimed;
  bool rebuilt;
  bool lease_lost;
  bool leaving;
  bool quarantined;
  bool has_abandoned;
  uint64_t abandoned; /* highest incarnation that must not be claimed again */
  uint64_t epoch;
  uint64_t incarnation;
  struct rr_time lease_until;
  struct rr_time received;   /* daemon's clock when worker_now arrived */
  struct rr_time worker_now; /* last reading of the worker's clock */
  /* Latest time on the worker's clock up to which a start or renewal sent by
     this daemon can keep a task running.  */
  struct rr_time in_force_until;
  struct rr_resources capacity;
  struct entry *entries;
  size_t entry_count;
  size_t entry_capacity;
  struct untracked_requests *untracked;
  size_t untracked_count;
  size_t untracked_capacity;
  int64_t connections; /* open under this epoch */
  uint64_t last_reservation;
};

struct entry *ledger_entry_add (struct rr_ledger *l, const char *task,
                                uint32_t attempt);
struct entry *ledger_entry_find (struct rr_ledger *l, const char *task,
                                 uint32_t attempt);
void ledger_entry_remove (struct rr_ledger *l, struct entry *e);
void ledger_entries_clear (struct rr_ledger *l);
/* Returns the use of all entries and connections.  Leaves out what has expired
   at NOW, unless NOW is null.  */
struct rr_resources ledger_used_capacity (const struct rr_ledger *l,
                                          const struct rr_time *now);
void ledger_untracked_add (struct rr_ledger *l, struct rr_time now,
                           int64_t count);
void ledger_untracked_expire (struct rr_ledger *l, struct rr_time now);
void ledger_untracked_limit (struct rr_ledger *l, struct rr_time sent,
                             int64_t limit);

#endif
