#include "rosemaryrail/membership.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "membership_internal.h"

/* Maximum number of addresses known from peers only.  Bounds the memory that
   invalid heartbeats of a peer can take; the design size is 670 workers.  */
#define UNLISTED_LIMIT 2048

/* A leaving VM that is absent from the VM list for this long is removed from
   heartbeats; otherwise daemons would send it to one another forever.  */
#define GOSSIP_EXPIRY_MS 60000

static uint64_t
hash_address (const char *address)
{
  return XXH3_64bits (address, strlen (address));
}

/* Returns the index slot of ADDRESS, or the free slot to insert it.  */
static uint32_t *
index_slot (const struct rr_membership *m, const char *address)
{
  size_t i = hash_address (address) & (m->index_size - 1);
  while (m->index[i] != 0
         && strcmp (m->vms[m->index[i] - 1].member.info.address, address) != 0)
    i = (i + 1) & (m->index_size - 1);
  return &m->index[i];
}

/* Returns the VM at ADDRESS, or null.  */
struct vm *
membership_vm (const struct rr_membership *m, const char *address)
{
  uint32_t slot = *index_slot (m, address);
  return slot == 0 ? NULL : &m->vms[slot - 1];
}

static void
index_grow (struct rr_membership *m)
{
  m->index_size = m->index_size == 0 ? 64 : 2 * m->index_size;
  free (m->index);
  m->index = calloc (m->index_size, sizeof *m->index);
  for (size_t i = 0; i < m->count; i++)
    *index_slot (m, m->vms[i].member.info.address) = (uint32_t)i + 1;
}

static void
copy_text (char *out, const char *in, size_t size)
{
  size_t length = strnlen (in, size - 1);
  memcpy (out, in, length);
  memset (out + length, 0, size - length);
}

static struct vm *
vm_add (struct rr_membership *m, struct rr_time now, const char *address,
        uint64_t incarnation)
{
  if (m->vms == NULL || m->count == m->capacity)
    {
      m->capacity = m->capacity == 0 ? 32 : 2 * m->capacity;
      m->vms = reallocarray (m->vms, m->capacity, sizeof *m->vms);
    }
  struct vm *v = &m->vms[m->count++];
  memset (v, 0, sizeof *v);
  copy_text (v->member.info.address, address, RR_MEMBER_ADDRESS_SIZE);
  v->member.info.incarnation = incarnation;
  v->member.last_response = now;
  if (2 * m->count > m->index_size)
    index_grow (m);
  else
    *index_slot (m, v->member.info.address) = (uint32_t)m->count;
  return v;
}

/* Returns the VM at ADDRESS, adding it if unknown; null for an invalid address
   or past UNLISTED_LIMIT.  */
static struct vm *
vm_find_or_add (struct rr_membership *m, struct rr_time now,
                const char *address, uint64_t incarnation)
{
  if (address[0] == '\0' || strlen (address) >= RR_MEMBER_ADDRESS_SIZE)
    return NULL;
  struct vm *v = membership_vm (m, address);
  if (v != NULL)
    return v;
  if (m->unlisted >= UNLISTED_LIMIT)
    return NULL;
  m->unlisted++;
  return vm_add (m, now, address, incarnation);
}

static void
mark_leaving (struct rr_membership *m, struct vm *v, struct rr_time now,
              enum rr_leaving_source source)
{
  if (v->leaving)
    return;
  v->leaving = true;
  if (v->member.leaving_source == RR_SOURCE_NONE)
    {
      v->member.leaving_source = source;
      v->member.leaving_since = now;
    }
  m->leaving_version++;
}

static bool
name_is_drained (const struct rr_membership *m, const char *name)
{
  for (size_t i = 0; i < m->drain_count; i++)
    if (strcmp (m->drains[i], name) == 0)
      return true;
  return false;
}

/* Returns whether the newest known configuration, of this daemon or of a peer,
   drains V.  */
bool
membership_is_drained (const struct rr_membership *m, const struct vm *v)
{
  return v->drained || v->peer_drain > m->drain_generation;
}

/* Updates the leaving source of V and the version of the leaving set after a
   drain of V may have started or ended.  */
static void
update_drain (struct rr_membership *m, struct vm *v, struct rr_time now,
              bool was_drained)
{
  bool drained = membership_is_drained (m, v);
  struct rr_member *b = &v->member;
  if (drained && b->leaving_source == RR_SOURCE_NONE)
    {
      b->leaving_source = RR_SOURCE_DRAIN;
      b->leaving_since = now;
    }
  if (!drained && !v->leaving)
    b->leaving_source = RR_SOURCE_NONE;
  if (drained && !was_drained)
    m->leaving_version++;
}

/* Makes INCARNATION the current one if it is newer; returns false if it is
   older.  Discards what is known about the previous incarnation except drains,
   which name a VM and not an incarnation.  */
static bool
vm_set_incarnation (struct rr_membership *m, struct vm *v, struct rr_time now,
                    uint64_t incarnation)
{
  struct rr_member *b = &v->member;
  if (incarnation <= b->info.incarnation)
    return incarnation == b->info.incarnation;
  if (v == &m->vms[0])
    {
      /* This daemon itself has been replaced.  */
      mark_leaving (m, v, now, RR_SOURCE_VM_LIST);
      return false;
    }
  b->info.incarnation = incarnation;
  b->info.leaving = false;
  b->leaving_source = RR_SOURCE_NONE;
  b->last_response = now;
  b->config_generation = 0;
  b->shards = 0;
  memset (b->config_digest, 0, sizeof b->config_digest);
  v->leaving = v->failed = v->gossip_expired = v->maybe_gone = false;
  v->peer_drain = 0;
  update_drain (m, v, now, false);
  return true;
}

static void
set_info (struct rr_membership *m, struct vm *v, struct rr_time now,
          const struct rr_member_info *info)
{
  bool was_drained = membership_is_drained (m, v);
  struct rr_member_info *known = &v->member.info;
  char address[RR_MEMBER_ADDRESS_SIZE];
  uint64_t incarnation = known->incarnation;
  copy_text (address, known->address, sizeof address);
  *known = *info;
  copy_text (known->address, address, sizeof known->address);
  known->name[RR_MEMBER_NAME_SIZE - 1] = '\0';
  known->zone[RR_MEMBER_NAME_SIZE - 1] = '\0';
  known->rack[RR_MEMBER_NAME_SIZE - 1] = '\0';
  known->incarnation = incarnation;
  v->drained = name_is_drained (m, known->name);
  update_drain (m, v, now, was_drained);
}

/* Returns a view that contains only SELF, this daemon.  The caller frees it
   with rr_membership_free.  */
struct rr_membership *
rr_membership_new (const struct rr_member_info *self)
{
  struct rr_membership *m = calloc (1, sizeof *m);
  struct rr_time start = rr_time_from_ms (0);
  index_grow (m);
  struct vm *v = vm_add (m, start, self->address, self->incarnation);
  set_info (m, v, start, self);
  v->member.info.role = RR_ROLE_ENTRY;
  return m;
}

/* Frees M, which may be null.  */
void
rr_membership_free (struct rr_membership *m)
{
  if (m == NULL)
    return;
  free (m->vms);
  free (m->index);
  free (m->drains);
  free (m);
}

/* Applies one entry of the VM list, which may lag behind the other sources: an
   older incarnation than the known one only proves that still older ones are
   gone.  */
static void
apply_listed_vm (struct rr_membership *m, struct rr_time now,
                 const struct rr_member_info *info)
{
  struct vm *v = membership_vm (m, info->address);
  if (v == NULL)
    v = vm_add (m, now, info->address, info->incarnation);
  else if (!v->member.listed && v != &m->vms[0] && m->unlisted > 0)
    m->unlisted--;
  v->member.listed = true;
  v->in_list = true;
  v->maybe_gone = false;
  v->gossip_expired = false;
  v->listed_incarnation = info->incarnation;
  if (info->incarnation > 0
      && (!v->gone_known || v->gone_through < info->incarnation - 1))
    {
      v->gone_known = true;
      v->gone_through = info->incarnation - 1;
    }
  if (!vm_set_incarnation (m, v, now, info->incarnation))
    return;
  /* This daemon's own settings are more recent than the list.  */
  if (v != &m->vms[0])
    set_info (m, v, now, info);
  if (info->leaving)
    mark_leaving (m, v, now, RR_SOURCE_VM_LIST);
}

/* Applies a VM list of COUNT entries.  A VM that was listed earlier and is
   absent now is gone if the list is COMPLETE; one that was never listed is
   not, since the list lags.  Of an incomplete list, one or more entries could
   not be read: such an entry may be that of any absent VM, which therefore
   only gets no new work.  Ignores a complete list that no longer contains this
   daemon: an empty or partial response of a recovering platform must not mark
   the whole fleet as gone.  */
void
rr_membership_apply_vm_list (struct rr_membership *m, struct rr_time now,
                             const struct rr_member_info *vms, size_t count,
                             bool complete)
{
  bool has_self = false;
  for (size_t i = 0; i < count; i++)
    has_self = has_self
               || strcmp (vms[i].address, m->vms[0].member.info.address) == 0;
  if (!has_self && m->vms[0].member.listed && complete)
    return;
  for (size_t i = 0; i < m->count; i++)
    m->vms[i].in_list = false;
  for (size_t i = 0; i < count; i++)
    if (vms[i].address[0] != '\0'
        && strnlen (vms[i].address, RR_MEMBER_ADDRESS_SIZE)
               < RR_MEMBER_ADDRESS_SIZE)
      apply_listed_vm (m, now, &vms[i]);
  for (size_t i = 1; i < m->count; i++)
    {
      struct vm *v = &m->vms[i];
      if (v->in_list)
        continue;
      v->maybe_gone = v->member.listed && !complete;
      if (v->member.listed && complete
          && (!v->gone_known || v->gone_through < v->listed_incarnation))
        {
          v->gone_known = true;
          v->gone_through = v->listed_incarnation;
        }
      if (v->member.leaving_source != RR_SOURCE_NONE
          && rr_time_diff (now, v->member.leaving_since) > GOSSIP_EXPIRY_MS)
        v->gossip_expired = true;
    }
}

/* Adds VMs known to a peer, for a daemon that starts while the platform is
   unavailable.  Absent VMs are not gone, and the details of known VMs don't
   change.  */
void
rr_membership_add_from_peer (struct rr_membership *m, struct rr_time now,
                             const struct rr_member_info *vms, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      if (strnlen (vms[i].address, RR_MEMBER_ADDRESS_SIZE)
          >= RR_MEMBER_ADDRESS_SIZE)
        continue;
      struct vm *v
          = vm_find_or_add (m, now, vms[i].address, vms[i].incarnation);
      if (v == NULL || v == &m->vms[0]
          || !vm_set_incarnation (m, v, now, vms[i].incarnation))
        continue;
      if (v->member.info.name[0] == '\0')
        set_info (m, v, now, &vms[i]);
      if (vms[i].leaving)
        mark_leaving (m, v, now, RR_SOURCE_VM_LIST);
    }
}

/* Marks the incarnation as leaving according to SOURCE, any but a drain, which
   can't be undone.  An unknown VM is added.  Returns false if the VM was
   already leaving or the incarnation has ended.  */
bool
rr_membership_set_leaving (struct rr_membership *m, struct rr_time now,
                           enum rr_leaving_source source, const char *address,
                           uint64_t incarnation)
{
  struct vm *v = vm_find_or_add (m, now, address, incarnation);
  if (v == NULL || !vm_set_incarnation (m, v, now, incarnation) || v->leaving)
    return false;
  mark_leaving (m, v, now, source);
  return true;
}

/* Records that a call to this incarnation failed.  */
void
rr_membership_call_failed (struct rr_membership *m, struct rr_time now,
                           const char *address, uint64_t incarnation)
{
  struct vm *v = membership_vm (m, address);
  if (v == NULL || v->member.info.incarnation != incarnation)
    return;
  v->failed = true;
  v->failed_at = now;
}

/* Records that this incarnation responded to a call sent at SENT.  Doesn't
   clear a failure seen after that time.  */
void
rr_membership_call_answered (struct rr_membership *m, struct rr_time sent,
                             const char *address, uint64_t incarnation)
{
  struct vm *v = membership_vm (m, address);
  if (v == NULL || !vm_set_incarnation (m, v, sent, incarnation))
    return;
  if (v->failed && !rr_time_before (sent, v->failed_at))
    v->failed = false;
}

/* Sets the names of the VMs drained by the configuration of GENERATION.  An
   older generation than the last is ignored.  */
void
rr_membership_set_drains (struct rr_membership *m, struct rr_time now,
                          uint64_t generation, const char *const *names,
                          size_t count)
{
  if (generation < m->drain_generation)
    return;
  bool *was_drained = calloc (m->count, sizeof *was_drained);
  for (size_t i = 0; i < m->count; i++)
    was_drained[i] = membership_is_drained (m, &m->vms[i]);
  m->drain_generation = generation;
  free (m->drains);
  m->drains = calloc (count + 1, sizeof *m->drains);
  m->drain_count = count;
  for (size_t i = 0; i < count; i++)
    copy_text (m->drains[i], names[i], sizeof m->drains[i]);
  for (size_t i = 0; i < m->count; i++)
    {
      m->vms[i].drained = name_is_drained (m, m->vms[i].member.info.name);
      update_drain (m, &m->vms[i], now, was_drained[i]);
    }
  free (was_drained);
}

/* Applies an entry of a peer's leaving set.  */
static void
apply_leaving_entry (struct rr_membership *m, struct rr_time now,
                     const struct rr_leaving *l)
{
  if (strnlen (l->address, sizeof l->address) == sizeof l->address)
    return;
  switch (l->source)
    {
    case RR_SOURCE_VM_LIST:
    case RR_SOURCE_REPORT:
    case RR_SOURCE_FAILURE:
      rr_membership_set_leaving (m, now, l->source, l->address,
                                 l->incarnation);
      return;
    case RR_SOURCE_DRAIN:
      {
        if (l->generation <= m->drain_generation)
          return;
        struct vm *v = vm_find_or_add (m, now, l->address, l->incarnation);
        if (v == NULL || !vm_set_incarnation (m, v, now, l->incarnation))
          return;
        bool was_drained = membership_is_drained (m, v);
        if (v->peer_drain < l->generation)
          v->peer_drain = l->generation;
        update_drain (m, v, now, was_drained);
        return;
      }
    case RR_SOURCE_NONE:
      return;
    }
}

/* Applies a peer's heartbeat with its leaving set.  A drain counts only if its
   generation is higher than that of this daemon's configuration.  Returns
   false and changes nothing if the sender is an ended incarnation.  */
bool
rr_membership_apply_heartbeat (struct rr_membership *m, struct rr_time now,
                               const struct rr_heartbeat *heartbeat)
{
  struct vm *v
      = vm_find_or_add (m, now, heartbeat->address, heartbeat->incarnation);
  if (v == NULL || v == &m->vms[0]
      || !vm_set_incarnation (m, v, now, heartbeat->incarnation))
    return false;
  struct rr_member *b = &v->member;
  if (b->info.name[0] == '\0')
    {
      struct rr_member_info info = { .role = RR_ROLE_ENTRY };
      copy_text (info.name, heartbeat->name, sizeof info.name);
      copy_text (info.zone, heartbeat->zone, sizeof info.zone);
      set_info (m, v, now, &info);
    }
  b->last_response = now;
  b->config_generation = heartbeat->config_generation;
  b->store_lost = heartbeat->store_lost;
  copy_text (b->config_digest, heartbeat->config_digest,
             sizeof b->config_digest);
  b->shards = heartbeat->shards;
  v->failed = false;
  if (heartbeat->leaving)
    mark_leaving (m, v, now, RR_SOURCE_REPORT);
  /* This may reallocate the VMs: V and B must not be used afterwards.  */
  for (size_t i = 0; i < heartbeat->leaving_count; i++)
    apply_leaving_entry (m, now, &heartbeat->leaving_set[i]);
  return true;
}
