#ifndef ROSEMARYRAIL_MEMBERSHIP_INTERNAL_H
#define ROSEMARYRAIL_MEMBERSHIP_INTERNAL_H

#include "rosemaryrail/membership.h"

/* One address; MEMBER describes its newest known incarnation.  */
struct vm
{
  struct rr_member member;
  bool left;   /* some source other than a drain says "leaving" */
  bool failed; /* a call failed at FAILED_AT */
  struct rr_time failed_at;
  bool drained;        /* by our configuration */
  uint64_t peer_drain; /* generation in which a peer saw it drained, or 0 */
  bool in_list;        /* LISTED_INCARNATION is in the last list */
  bool gone_known;     /* incarnations up to GONE_THROUGH don't exist */
  bool silent;         /* no longer worth a place in heartbeats */
  uint64_t listed_incarnation;
  uint64_t gone_through;
};

struct rr_membership
{
  struct vm *vms; /* the first is this daemon */
  size_t count;
  size_t room;
  /* Open addressing by address; holds number + 1, 0 is free.  */
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
