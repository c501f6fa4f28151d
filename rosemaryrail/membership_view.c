#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "membership_internal.h"

static bool
vm_is_gone (const struct vm *v)
{
  return v->gone_known && v->member.info.incarnation <= v->gone_through;
}

static bool
is_alive (const struct rr_membership *m, const struct vm *v,
          struct rr_time now)
{
  if (v == &m->vms[0])
    return true;
  if (v->member.info.role != RR_ROLE_ENTRY || vm_is_gone (v))
    return false;
  bool same_zone
      = strcmp (v->member.info.zone, m->vms[0].member.info.zone) == 0;
  int64_t timeout
      = same_zone ? RR_PEER_TIMEOUT_ZONE_MS : RR_PEER_TIMEOUT_REMOTE_MS;
  return rr_time_diff (now, v->member.last_response) < timeout;
}

/* Updates the derived fields of V.  */
void
membership_refresh (struct rr_membership *m, struct vm *v, struct rr_time now)
{
  struct rr_member *b = &v->member;
  b->alive = is_alive (m, v, now);
  if (vm_is_gone (v))
    b->state = RR_MEMBER_GONE;
  else if (v->leaving || membership_is_drained (m, v))
    b->state = RR_MEMBER_LEAVING;
  else
    b->state = v->failed || v->maybe_gone ? RR_MEMBER_SUSPECT : RR_MEMBER_LIVE;
}

/* Returns the newest incarnation at ADDRESS, or null.  */
const struct rr_member *
rr_membership_find (struct rr_membership *m, struct rr_time now,
                    const char *address)
{
  struct vm *v = membership_vm (m, address);
  if (v == NULL)
    return NULL;
  membership_refresh (m, v, now);
  return &v->member;
}

/* Returns the number of known addresses, including those of gone VMs.  */
size_t
rr_membership_count (const struct rr_membership *m)
{
  return m->count;
}

/* Returns the I-th member in the order of discovery, with this daemon first;
   null past the end.  */
const struct rr_member *
rr_membership_at (struct rr_membership *m, struct rr_time now, size_t i)
{
  if (i >= m->count)
    return NULL;
  membership_refresh (m, &m->vms[i], now);
  return &m->vms[i].member;
}

/* Stores the state of an incarnation; returns false if it is unknown.  */
bool
rr_membership_state (struct rr_membership *m, struct rr_time now,
                     const char *address, uint64_t incarnation,
                     enum rr_member_state *state)
{
  struct vm *v = membership_vm (m, address);
  if (v == NULL || incarnation > v->member.info.incarnation)
    return false;
  membership_refresh (m, v, now);
  *state = incarnation < v->member.info.incarnation ? RR_MEMBER_DEAD
                                                    : v->member.state;
  return true;
}

/* Returns whether new work may be sent to this incarnation.  */
bool
rr_membership_is_usable (struct rr_membership *m, struct rr_time now,
                         const char *address, uint64_t incarnation)
{
  enum rr_member_state state;
  return rr_membership_state (m, now, address, incarnation, &state)
         && state == RR_MEMBER_LIVE;
}

/* Returns whether this incarnation provably no longer exists; see the header.
 */
bool
rr_membership_has_disappeared (const struct rr_membership *m,
                               const char *address, uint64_t incarnation)
{
  const struct vm *v = membership_vm (m, address);
  return v != NULL && v->gone_known && incarnation <= v->gone_through;
}

/* Stores up to SIZE entries of the leaving set in OUT and returns the size of
   the set.  */
size_t
rr_membership_leaving_set (const struct rr_membership *m,
                           struct rr_leaving *out, size_t size)
{
  size_t count = 0;
  for (size_t i = 0; i < m->count; i++)
    {
      const struct vm *v = &m->vms[i];
      bool drained = membership_is_drained (m, v);
      if (v->gossip_expired || vm_is_gone (v) || (!v->leaving && !drained))
        continue;
      if (count < size)
        {
          struct rr_leaving *l = &out[count];
          memset (l, 0, sizeof *l);
          memcpy (l->address, v->member.info.address, sizeof l->address);
          l->incarnation = v->member.info.incarnation;
          l->source = v->member.leaving_source;
          /* If another source followed a drain, send the one that can't be
             undone.  */
          if (v->leaving && l->source == RR_SOURCE_DRAIN)
            l->source = RR_SOURCE_REPORT;
          if (l->source == RR_SOURCE_DRAIN)
            l->generation = v->drained ? m->drain_generation : v->peer_drain;
        }
      count++;
    }
  return count;
}

/* Returns a number that increases whenever the leaving set gains an entry.  */
uint64_t
rr_membership_leaving_version (const struct rr_membership *m)
{
  return m->leaving_version;
}

/* Shifts the times of the last heartbeats by LENGTH_MS, the length of a pause
   of this process.  Otherwise all peers would time out before the heartbeats
   that arrived meanwhile are read.  */
void
rr_membership_process_resumed (struct rr_membership *m, int64_t length_ms)
{
  for (size_t i = 1; i < m->count; i++)
    m->vms[i].member.last_response
        = rr_time_add (m->vms[i].member.last_response, length_ms);
}

/* Selects the owner of KEY by rendezvous hashing: the live daemon that is not
   leaving and has the highest score, in ZONE or in any zone if it is null.
   NEEDS_STORE excludes daemons that can't reach the store.  A daemon's score
   depends only on KEY and its own address, so the loss of a daemon moves only
   what it owned.  */
static const struct rr_member *
select_owner (struct rr_membership *m, struct rr_time now, const char *key,
              const char *zone, bool needs_store)
{
  uint64_t seed = XXH3_64bits (key, strlen (key));
  uint64_t best = 0;
  const struct vm *winner = NULL;
  for (size_t i = 0; i < m->count; i++)
    {
      struct vm *v = &m->vms[i];
      const struct rr_member_info *info = &v->member.info;
      if (info->role != RR_ROLE_ENTRY
          || (zone != NULL && strcmp (info->zone, zone) != 0))
        continue;
      membership_refresh (m, v, now);
      if (!v->member.alive || v->member.state == RR_MEMBER_LEAVING
          || v->member.state == RR_MEMBER_GONE
          || (needs_store && v->member.store_lost))
        continue;
      uint64_t score
          = XXH3_64bits_withSeed (info->address, strlen (info->address), seed);
      if (winner == NULL || score > best
          || (score == best
              && strcmp (info->address, winner->member.info.address) < 0))
        {
          best = score;
          winner = v;
        }
    }
  return winner == NULL ? NULL : &winner->member;
}

/* Sets whether this daemon can't reach the store, without which it can't own a
   shard.  */
void
rr_membership_set_store_lost (struct rr_membership *m, bool lost)
{
  m->vms[0].member.store_lost = lost;
}

/* Returns the owner of SHARD among all live daemons that are not leaving and
   can reach the store; null if there is none.  */
const struct rr_member *
rr_membership_shard_owner (struct rr_membership *m, struct rr_time now,
                           unsigned shard)
{
  char key[32];
  snprintf (key, sizeof key, "shard/%u", shard);
  return select_owner (m, now, key, NULL, true);
}

/* Returns the owner of the worker at ADDRESS among the live daemons of its
   zone; null if the worker is unknown or there is no such daemon.  */
const struct rr_member *
rr_membership_worker_owner (struct rr_membership *m, struct rr_time now,
                            const char *address)
{
  const struct vm *v = membership_vm (m, address);
  if (v == NULL || v->member.info.name[0] == '\0')
    return NULL;
  return select_owner (m, now, address, v->member.info.zone, false);
}

/* Returns whether MEMBER is this daemon.  */
bool
rr_membership_is_self (const struct rr_membership *m,
                       const struct rr_member *member)
{
  return member == &m->vms[0].member;
}

/* Returns the lower-case name of STATE.  */
const char *
rr_member_state_name (enum rr_member_state state)
{
  switch (state)
    {
    case RR_MEMBER_LIVE:
      return "live";
    case RR_MEMBER_SUSPECT:
      return "suspect";
    case RR_MEMBER_LEAVING:
      return "leaving";
    case RR_MEMBER_GONE:
      return "gone";
    case RR_MEMBER_DEAD:
      return "dead";
    }
  return "unknown";
}

/* Returns the lower-case name of SOURCE.  */
const char *
rr_leaving_source_name (enum rr_leaving_source source)
{
  switch (source)
    {
    case RR_SOURCE_NONE:
      return "none";
    case RR_SOURCE_VM_LIST:
      return "vm-list";
    case RR_SOURCE_REPORT:
      return "report";
    case RR_SOURCE_FAILURE:
      return "failure";
    case RR_SOURCE_DRAIN:
      return "drain";
    }
  return "unknown";
}

/* Records NOW, the event loop's clock, and returns the time in ms since the
   previous call if it is more than RR_PAUSE_MS, else 0.  */
int64_t
rr_pause_check (struct rr_pause *p, struct rr_time now)
{
  int64_t passed = p->started ? rr_time_diff (now, p->last) : 0;
  p->started = true;
  p->last = now;
  return passed > RR_PAUSE_MS ? passed : 0;
}
