#ifndef ROSEMARYRAIL_MEMBERSHIP_INTERNAL_H
#define ROSEMARYRAIL_MEMBERSHIP_INTERNAL_H

#include "rosemaryrail/membership.h"

/* VM at an address; MEMBER describes the newest known incarnation.  */
struct vm
{
  struct rr_member member;
  bool leaving; /* according to a source other than a drain */
  bool failed;  /* a call failed at FAILED_AT */
  struct rr_time failed_at;
  bool drained;        /* by this daemon's configuration */
  uint64_t peer_drain; /* generation of a peer's drain, or 0 */
  bool in_list;        /* LISTED_INCARNATION is in the last VM list */
  bool maybe_gone;     /* absent from the last VM list, which is incomplete */
  bool gone_known;     /* incarnations up to GONE_THROUGH are gone */
  bool gossip_expired; /* no longer sent in heartbeats */
  uint64_t listed_incarnation;
  uint64_t gone_through;
};

struct rr_membership
{
  struct vm *vms; /* the first is this daemon */
  size_t count;
  size_t capacity;
  /* Hash table by address, open addressing; the index in VMS plus 1, 0 for a
     free slot.  */
  uint32_t *index;
  size_t index_size;
  size_t unlisted;
  uint64_t drain_generation;
  char (*drains)[RR_MEMBER_NAME_SIZE];
  size_t drain_count;
  uint64_t leaving_version;
};

struct vm *membership_vm (const struct rr_membership *m, const char *address);
void membership_refresh (struct rr_membership *m, struct vm *v,
                         struct rr_time now);
bool membership_is_drained (const struct rr_membership *m, const struct vm *v);

#endif
