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

/* A daemon not heard from for this long is failed for ownership.  */
#define RR_PEER_TIMEOUT_ZONE_MS 4000
#define RR_PEER_TIMEOUT_REMOTE_MS 10000
#define RR_HEARTBEAT_ZONE_MS 1000
#define RR_HEARTBEAT_REMOTE_MS 3000

enum rr_role
{
  RR_ROLE_WORKER,
  RR_ROLE_ENTRY
};

/* Who says that a VM is leaving.  */
enum rr_leaving_source
{
  RR_SOURCE_NONE,
  RR_SOURCE_VM_LIST,
  RR_SOURCE_REPORT,  /* the worker or the daemon itself */
  RR_SOURCE_FAILURE, /* a call was refused because the VM is leaving */
  RR_SOURCE_DRAIN    /* operator, part `drains` of the configuration */
};

enum rr_member_state
{
  RR_MEMBER_LIVE,
  RR_MEMBER_SUSPECT, /* calls to it fail; new work waits for a sign of life */
  RR_MEMBER_LEAVING,
  RR_MEMBER_GONE, /* listed earlier and disappeared from the VM list */
  RR_MEMBER_DEAD  /* replaced by a newer incarnation at its address */
};

/* One VM of the platform's list.  ADDRESS must be unique among VMs that exist
   at the same time; where VMs share an IP address (tests on loopback) it
   includes the port.  */
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

/* One member of the leaving set in a heartbeat.  GENERATION is that of the
   configuration for RR_SOURCE_DRAIN (an operator may undo a drain in a later
   one) and 0 otherwise.  */
struct rr_leaving
{
  char address[RR_MEMBER_ADDRESS_SIZE];
  uint64_t incarnation;
  enum rr_leaving_source source;
  uint64_t generation;
};

/* What membership takes from a heartbeat.  */
struct rr_heartbeat
{
  char name[RR_MEMBER_NAME_SIZE];
  char address[RR_MEMBER_ADDRESS_SIZE];
  char zone[RR_MEMBER_NAME_SIZE];
  uint64_t incarnation;
  bool leaving;    /* the sender is shutting down */
  bool store_lost; /* the sender can't reach the platform */
  uint64_t config_generation;
  char config_digest[72];
  uint32_t shards; /* bit S: the sender owns shard S */
  const struct rr_leaving *leaving_set;
  size_t leaving_count;
};

/* One VM as seen from this daemon.  */
struct rr_member
{
  struct rr_member_info info;
  enum rr_member_state state;
  enum rr_leaving_source leaving_source; /* first that said so */
  struct rr_time leaving_since;
  bool listed; /* seen in the VM list */
  /* Entry VMs only.  */
  bool alive; /* within the heartbeat timeout */
  bool store_lost;
  struct rr_time last_response;
  uint64_t config_generation;
  char config_digest[72];
  uint32_t shards;
};

struct rr_membership;

/* SELF is this daemon; it is always a live owner until it leaves.  */
struct rr_membership *rr_membership_new (const struct rr_member_info *self);
void rr_membership_free (struct rr_membership *m);

/* Sources.  Each may lag behind any other.  */

/* Takes over a complete VM list.  A VM listed earlier and absent now is gone
   and stays so until a newer incarnation appears; one known from other sources
   only is not.  An entry with an older incarnation than known is ignored, and
   so is a list without this daemon once it was listed: it is incomplete.  */
void rr_membership_apply_vm_list (struct rr_membership *m, struct rr_time now,
                                  const struct rr_member_info *vms,
                                  size_t count);
/* Adds VMs that a peer knows, for a daemon that starts while the platform is
   down.  Unlike the list it proves nothing about absent ones.  */
void rr_membership_add_from_peer (struct rr_membership *m, struct rr_time now,
                                  const struct rr_member_info *vms,
                                  size_t count);
/* SOURCE (not RR_SOURCE_DRAIN) says that this incarnation is leaving, which
   can't be undone.  An unknown VM is remembered until the list shows it.
   False when it was known already or the incarnation is dead.  */
bool rr_membership_set_leaving (struct rr_membership *m, struct rr_time now,
                                enum rr_leaving_source source,
                                const char *address, uint64_t incarnation);
/* A call to the VM failed; cleared by a sign of life.  */
void rr_membership_call_failed (struct rr_membership *m, struct rr_time now,
                                const char *address, uint64_t incarnation);
/* The VM answered a call that was sent at SENT.  Clears a failure observed
   before that time, and makes older incarnations dead.  */
void rr_membership_call_answered (struct rr_membership *m, struct rr_time sent,
                                  const char *address, uint64_t incarnation);
/* Takes over the names drained by the configuration of GENERATION; an older
   generation is ignored.  */
void rr_membership_set_drains (struct rr_membership *m, struct rr_time now,
                               uint64_t generation, const char *const *names,
                               size_t count);
/* Takes over a peer's heartbeat with its leaving set.  False when it comes
   from a dead incarnation and was ignored.  */
bool rr_membership_apply_heartbeat (struct rr_membership *m,
                                    struct rr_time now,
                                    const struct rr_heartbeat *heartbeat);

/* Fills OUT (SIZE entries) with the leaving set for the next heartbeat and
   returns its full size.  */
size_t rr_membership_leaving_set (const struct rr_membership *m,
                                  struct rr_leaving *out, size_t size);
/* Grows whenever the leaving set gains an entry: heartbeats to all peers are
   then due at once, since a remote one may be up to 3 s away.  */
uint64_t rr_membership_leaving_version (const struct rr_membership *m);

/* Views.  A pointer stays valid until the next call that is given a source. */

const struct rr_member *rr_membership_find (struct rr_membership *m,
                                            struct rr_time now,
                                            const char *address);
size_t rr_membership_count (const struct rr_membership *m);
const struct rr_member *rr_membership_at (struct rr_membership *m,
                                          struct rr_time now, size_t i);
/* Stores the state of one incarnation (RR_MEMBER_DEAD for an older one); false
   when nothing is known of it.  */
bool rr_membership_state (struct rr_membership *m, struct rr_time now,
                          const char *address, uint64_t incarnation,
                          enum rr_member_state *state);
/* Tells whether new work may be sent to this incarnation.  */
bool rr_membership_is_usable (struct rr_membership *m, struct rr_time now,
                              const char *address, uint64_t incarnation);
/* Tells whether this incarnation provably no longer exists: it was in the VM
   list and disappeared, or a newer one was listed at its address.  */
bool rr_membership_has_disappeared (const struct rr_membership *m,
                                    const char *address, uint64_t incarnation);
/* Says whether this daemon itself can reach the platform.  */
void rr_membership_set_store_lost (struct rr_membership *m, bool lost);
/* Owner of a shard among all live daemons, this one included, that are not
   leaving and reach the platform; null when there is none.  */
const struct rr_member *rr_membership_shard_owner (struct rr_membership *m,
                                                   struct rr_time now,
                                                   unsigned shard);
/* Owner of the worker at ADDRESS among the live daemons of its zone; null when
   the worker is unknown or its zone has no live daemon.  */
const struct rr_member *rr_membership_worker_owner (struct rr_membership *m,
                                                    struct rr_time now,
                                                    const char *address);
bool rr_membership_is_self (const struct rr_membership *m,
                            const struct rr_member *member);
const char *rr_member_state_name (enum rr_member_state state);
const char *rr_leaving_source_name (enum rr_leaving_source source);

/* Detects that the process was paused: the clock jumped by more than
   RR_PAUSE_MS between two calls.  Call it at the start of every turn of the
   event loop and from a timer well below that interval.  */
#define RR_PAUSE_MS 2000

struct rr_pause
{
  bool started;
  struct rr_time last;
};

/* Returns the length of the pause in ms, or 0 when there was none.  */
int64_t rr_pause_check (struct rr_pause *p, struct rr_time now);
/* Moves what was heard from peers by the length of a pause of this process, so
   that they are not taken for failed before waiting heartbeats are read.  */
void rr_membership_process_resumed (struct rr_membership *m,
                                    int64_t length_ms);

#endif
