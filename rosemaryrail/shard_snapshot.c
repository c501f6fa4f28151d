#include <stdlib.h>
#include <string.h>

#include "shard_private.h"

static void
issue_snapshot (struct rr_shard_log *l, struct rr_time now)
{
  char key[RR_KEY_SIZE];
  uint32_t slot = l->snapshot_target.slot;
  rr_shard_snapshot_key (l, slot, key);
  rr_shard_call_write (l, &l->snapshot, key, l->snapshot_data,
                       l->snapshot_length, l->snapshot_revision[slot], now);
}

/* Starts a snapshot once RR_SNAPSHOT_INTERVAL entries follow the last one.  It
   is written to the key that the log does not point to, and the next one is
   not started before a committed entry points to it.  */
void
rr_shard_advance_snapshot (struct rr_shard_log *l, struct rr_time now)
{
  if (l->unconfirmed || l->snapshot_recheck)
    return;
  if (rr_shard_call_due (&l->snapshot, now))
    {
      issue_snapshot (l, now);
      return;
    }
  if (l->snapshot.phase != CALL_NONE || l->snapshot_ready
      || l->data->sequence - l->pointer.sequence < RR_SNAPSHOT_INTERVAL)
    return;
  if (!rr_shard_state_encode (l->data, &l->snapshot_data, &l->snapshot_length,
                              NULL))
    return;
  l->snapshot_target.slot = l->pointer.slot == 0 ? 1 : 0;
  l->snapshot_target.sequence = l->data->sequence;
  l->stats.snapshots++;
  issue_snapshot (l, now);
}

static void
snapshot_written (struct rr_shard_log *l, uint64_t revision)
{
  uint32_t slot = l->snapshot_target.slot;
  if (revision <= l->snapshot_revision[slot])
    {
      rr_shard_halt (l, "the store went back to an older revision");
      return;
    }
  l->snapshot_revision[slot] = revision;
  l->snapshot_target.revision = revision;
  l->snapshot_ready = true;
  rr_shard_update_max_revision (l, revision);
  free (l->snapshot_data);
  l->snapshot_data = NULL;
  rr_shard_call_clear (&l->snapshot);
}

/* Handles the result of a snapshot write.  */
void
rr_shard_snapshot_result (struct rr_shard_log *l, const struct rr_kv_result *r,
                          struct rr_time now)
{
  uint64_t expected = l->snapshot_revision[l->snapshot_target.slot];
  bool own_write = r->value != NULL && r->length == l->snapshot_length
                   && memcmp (r->value, l->snapshot_data, r->length) == 0;
  if (r->status == RR_KV_OK || (r->status == RR_KV_CONFLICT && own_write))
    snapshot_written (l, r->revision);
  else if (r->status != RR_KV_CONFLICT || r->revision == expected)
    rr_shard_call_back_off (l, &l->snapshot, now);
  else if (r->revision < expected)
    rr_shard_halt (l, "the store went back to an older revision");
  else
    {
      /* Another process wrote this key, possibly a new owner whose entry
         points to it.  Overwrite it only if a later read of the ring shows no
         new owner.  */
      l->snapshot_recheck = true;
      l->snapshot_conflict_revision = r->revision;
      rr_shard_update_max_revision (l, r->revision);
      l->snapshot.phase = CALL_NONE;
      l->snapshot.call_id = 0;
      rr_shard_call_clear (&l->confirm);
      l->confirm.phase = CALL_WAIT;
      l->confirm.at = now;
    }
}

/* Issues the read of the next ring slot that confirms the ownership, if it is
   due.  */
void
rr_shard_advance_confirm (struct rr_shard_log *l, struct rr_time now)
{
  if (!rr_shard_call_due (&l->confirm, now))
    return;
  char key[RR_KEY_SIZE];
  l->confirm_slot = (uint32_t)((l->data->sequence + 1) % RR_RING_SLOTS);
  l->confirm_revision = l->slot_revision[l->confirm_slot];
  rr_shard_ring_key (l, l->confirm_slot, key);
  rr_shard_call_read (l, &l->confirm, key, now);
}

static void
ownership_confirmed (struct rr_shard_log *l, struct rr_time now)
{
  if (rr_time_before (l->confirmed_at, l->confirm.issued))
    l->confirmed_at = l->confirm.issued;
  rr_shard_call_clear (&l->confirm);
  if (l->confirm_wanted)
    {
      l->confirm_wanted = false;
      l->unconfirmed = false;
      rr_shard_emit (l, RR_SHARD_CONFIRMED);
    }
  if (l->snapshot_recheck)
    {
      l->snapshot_recheck = false;
      l->snapshot_revision[l->snapshot_target.slot]
          = l->snapshot_conflict_revision;
      l->snapshot.phase = CALL_WAIT;
      l->snapshot.at = now;
    }
}

/* Handles the result of the read that confirms the ownership.  An unchanged
   slot proves it, because the first entry of a new owner would be there.  If
   the slot holds an entry of this process, the slot after it must be read.  */
void
rr_shard_confirm_result (struct rr_shard_log *l, const struct rr_kv_result *r,
                         struct rr_time now)
{
  if (r->status != RR_KV_OK)
    {
      rr_shard_call_back_off (l, &l->confirm, now);
      return;
    }
  if (r->revision == l->confirm_revision)
    {
      ownership_confirmed (l, now);
      return;
    }
  /* Schedule the next read at once.  rr_shard_resolve_slot may end the
     ownership, which cancels it.  */
  struct store_call again = { .phase = CALL_WAIT, .at = now };
  l->confirm = again;
  if (r->revision == l->slot_revision[l->confirm_slot])
    return;
  if (l->append.phase == CALL_WRITING)
    l->append.uncertain = true;
  rr_shard_resolve_slot (l, r, now);
}
