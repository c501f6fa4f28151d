#ifndef ROSEMARYRAIL_MEMBERSHIP_H
#define ROSEMARYRAIL_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rosemaryrail/clock.h"
#include "rosemaryrail/error.h"
#include "rosemaryrail/shard.h"

#define RR_MEMBER_NAME_SIZE 64
#define RR_MEMBER_ADDRESS_SIZE 64

/* A daemon whose heartbeats are missing for this long counts as failed and
   owns nothing.  */
#define RR_PEER_TIMEOUT_ZONE_MS 4000
#define RR_PEER_TIMEOUT_REMOTE_MS 10000
#define RR_HEARTBEAT_ZONE_MS 1000
#define RR_HEARTBEAT_REMOTE_MS 3000

enum rr_role
{
  RR_ROLE_WORKER,
  RR_ROLE_ENTRY
};

/* Source of the information that a VM is leaving.  */
enum rr_leaving_source
{
  RR_SOURCE_NONE,
  RR_SOURCE_VM_LIST,
  RR_SOURCE_REPORT,  /* the worker or the daemon itself */
  RR_SOURCE_FAILURE, /* a call was refused because the VM is leaving */
  RR_SOURCE_DRAIN    /* the operator, in `drains` of the configuration */
};

enum rr_member_state
{
  RR_MEMBER_LIVE,
  RR_MEMBER_SUSPECT, /* a call failed, or the VM is absent from an incomplete
                        VM list; gets no new work until it responds or is
                        listed */
  RR_MEMBER_LEAVING,
  RR_MEMBER_GONE, /* disappeared from the VM list */
  RR_MEMBER_DEAD  /* a newer incarnation has its address */
};

/* A VM of the platform's VM list.  The address must be unique among VMs that
   exist at the same time; it includes the port if VMs share an IP address, as
   in tests on loopback.  */
struct rr_member_info
{
  char name[RR_MEMBER_NAME_SIZE];
  char address[RR_MEMBER_ADDRESS_SIZE];
  char zone[RR_MEMBER_NAME_SIZE];
  char rack[RR_MEMBER_NAME_SIZE];
  enum rr_role role;
  uint64_t incarnation;
  uint16_t http_port;
  uint16_t rpc_port;
  bool leaving;
};

/* An entry of the leaving set in a heartbeat.  For RR_SOURCE_DRAIN, the
   generation is that of the configuration, because a later configuration may
   end the drain; otherwise it is 0.  */
struct rr_leaving
{
  char address[RR_MEMBER_ADDRESS_SIZE];
  uint64_t incarnation;
  enum rr_leaving_source source;
  uint64_t generation;
};

/* The fields of a heartbeat that the membership uses.  */
struct rr_heartbeat
{
  char name[RR_MEMBER_NAME_SIZE];
  char address[RR_MEMBER_ADDRESS_SIZE];
  char zone[RR_MEMBER_NAME_SIZE];
  uint64_t incarnation;
  bool leaving;    /* the sender is shutting down */
  bool store_lost; /* the sender can't reach the store */
  uint64_t config_generation;
  char config_digest[72];
  uint32_t shards; /* bit I: the sender owns shard I */
  const struct rr_leaving *leaving_set;
  size_t leaving_count;
};

/* This daemon's view of a VM.  */
struct rr_member
{
  struct rr_member_info info;
  enum rr_member_state state;
  enum rr_leaving_source leaving_source; /* the first one */
  struct rr_time leaving_since;
  bool listed; /* has been in the VM list */
  /* Entry VMs only.  */
  bool alive; /* a heartbeat arrived within the timeout */
  bool store_lost;
  struct rr_time last_response;
  uint64_t config_generation;
  char config_digest[72];
  uint32_t shards;
};

struct rr_membership;

/* Returns a view that contains only SELF, this daemon, which is always alive
   and can own shards and workers until it is leaving.  */
struct rr_membership *rr_membership_new (const struct rr_member_info *self);
void rr_membership_free (struct rr_membership *m);

/* Updates from the sources of the view.  Each source may lag behind the
   others.  */

/* Applies a VM list.  A VM that was in an earlier list and is absent from this
   one is gone until a newer incarnation appears; a VM known only from other
   sources is not.  Ignores an entry with an older incarnation than the known
   one.  Ignores a list without this daemon if an earlier list had it: such a
   list is partial.  A list that is not COMPLETE had entries that name no VM.
   Any absent VM may be the one, so it is suspect, not gone, until the next
   list.  */
void rr_membership_apply_vm_list (struct rr_membership *m, struct rr_time now,
                                  const struct rr_member_info *vms,
                                  size_t count, bool complete);
/* Adds VMs known to a peer, for a daemon that starts while the platform is
   unavailable.  Unlike the VM list this proves nothing about absent VMs.  */
void rr_membership_add_from_peer (struct rr_membership *m, struct rr_time now,
                                  const struct rr_member_info *vms,
                                  size_t count);
/* Marks the incarnation as leaving according to SOURCE, which must not be
   RR_SOURCE_DRAIN.  This can't be undone.  An unknown VM is added.  Returns
   false if the VM was already leaving or the incarnation has ended.  */
bool rr_membership_set_leaving (struct rr_membership *m, struct rr_time now,
                                enum rr_leaving_source source,
                                const char *address, uint64_t incarnation);
/* Records that a call to the VM failed.  A later response or heartbeat clears
   this.  */
void rr_membership_call_failed (struct rr_membership *m, struct rr_time now,
                                const char *address, uint64_t incarnation);
/* Records that the VM responded to a call sent at SENT.  Clears a failure seen
   before that time and marks older incarnations as ended.  */
void rr_membership_call_answered (struct rr_membership *m, struct rr_time sent,
                                  const char *address, uint64_t incarnation);
/* Sets the names of the VMs drained by the configuration of GENERATION.  An
   older generation is ignored.  */
void rr_membership_set_drains (struct rr_membership *m, struct rr_time now,
                               uint64_t generation, const char *const *names,
                               size_t count);
/* Applies a peer's heartbeat with its leaving set.  Returns false if it was
   ignored because it came from an ended incarnation.  */
bool rr_membership_apply_heartbeat (struct rr_membership *m,
                                    struct rr_time now,
                                    const struct rr_heartbeat *heartbeat);

/* Stores up to SIZE entries of the leaving set for the next heartbeat in OUT
   and returns the size of the set.  */
size_t rr_membership_leaving_set (const struct rr_membership *m,
                                  struct rr_leaving *out, size_t size);
/* Returns a number that increases whenever the leaving set gains an entry.
   Heartbeats to all peers must then be sent at once, since the next regular
   one to a remote peer may be up to 3 s away.  */
uint64_t rr_membership_leaving_version (const struct rr_membership *m);

/* Queries.  A returned pointer is valid until the next update.  */

const struct rr_member *rr_membership_find (struct rr_membership *m,
                                            struct rr_time now,
                                            const char *address);
size_t rr_membership_count (const struct rr_membership *m);
const struct rr_member *rr_membership_at (struct rr_membership *m,
                                          struct rr_time now, size_t i);
/* Stores the state of an incarnation, RR_MEMBER_DEAD for an older one than the
   current; returns false if the incarnation is unknown.  */
bool rr_membership_state (struct rr_membership *m, struct rr_time now,
                          const char *address, uint64_t incarnation,
                          enum rr_member_state *state);
/* Returns whether new work may be sent to this incarnation.  */
bool rr_membership_is_usable (struct rr_membership *m, struct rr_time now,
                              const char *address, uint64_t incarnation);
/* Returns whether this incarnation provably no longer exists: it was in the VM
   list and disappeared, or a newer one was listed at its address.  */
bool rr_membership_has_disappeared (const struct rr_membership *m,
                                    const char *address, uint64_t incarnation);
/* Sets whether this daemon can't reach the store.  */
void rr_membership_set_store_lost (struct rr_membership *m, bool lost);
/* Returns the owner of a shard among all live daemons, this one included, that
   are not leaving and can reach the store; null if there is none.  */
const struct rr_member *rr_membership_shard_owner (struct rr_membership *m,
                                                   struct rr_time now,
                                                   unsigned shard);
/* Returns the owner of the worker at ADDRESS among the live daemons of its
   zone that are not leaving; null if the worker is unknown or there is no such
   daemon.  */
const struct rr_member *rr_membership_worker_owner (struct rr_membership *m,
                                                    struct rr_time now,
                                                    const char *address);
bool rr_membership_is_self (const struct rr_membership *m,
                            const struct rr_member *member);
const char *rr_member_state_name (enum rr_member_state state);
const char *rr_leaving_source_name (enum rr_leaving_source source);

/* Detection of pauses of the process: the clock advanced by more than
   RR_PAUSE_MS between two calls of rr_pause_check, which must be called at the
   start of every iteration of the event loop and from a timer with a much
   shorter interval.  */
#define RR_PAUSE_MS 2000

struct rr_pause
{
  bool started;
  struct rr_time last;
};

/* Returns the length of the pause in ms, or 0 if there was none.  */
int64_t rr_pause_check (struct rr_pause *p, struct rr_time now);
/* Shifts the times of the last heartbeats by the length of a pause of this
   process, so that peers don't time out before the heartbeats that arrived
   meanwhile are read.  */
void rr_membership_process_resumed (struct rr_membership *m,
                                    int64_t length_ms);

#endif
