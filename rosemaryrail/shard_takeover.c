#include <stdlib.h>
#include <string.h>

#include "shard_private.h"

enum
{
  INCONSISTENT_READS_MAX = 3
};

/* Frees the values read during a takeover.  */
void
rr_shard_free_images (struct rr_shard_log *l)
{
  for (uint32_t i = 0; i < RR_RING_SLOTS + 2; i++)
    {
      free (l->images[i].value);
      memset (&l->images[i], 0, sizeof l->images[i]);
      rr_shard_call_clear (&l->reads[i]);
    }
  rr_shard_call_clear (&l->read_backoff);
}

static void
schedule_reads (struct rr_shard_log *l, uint32_t first, uint32_t end,
                struct rr_time at)
{
  for (uint32_t i = first; i < end; i++)
    {
      rr_shard_call_clear (&l->reads[i]);
      l->reads[i].phase = CALL_WAIT;
      l->reads[i].at = at;
    }
}

/* Discards what the takeover has read so far and schedules the reads of all
   ring slots.  */
void
rr_shard_start_reading (struct rr_shard_log *l)
{
  rr_shard_free_images (l);
  free (l->entry);
  l->entry = NULL;
  rr_shard_call_clear (&l->append);
  rr_shard_state_free (l->data);
  l->data = NULL;
  l->reading_snapshots = false;
  schedule_reads (l, 0, RR_RING_SLOTS, rr_time_from_ms (INT64_MIN));
}

/* Restarts the reading after a backoff, either because the owner appended
   meanwhile (INCONSISTENT false) or because the values read were inconsistent.
   Inconsistent values INCONSISTENT_READS_MAX times in a row without a new
   entry are corruption and not a race.  */
void
rr_shard_retry_takeover (struct rr_shard_log *l, struct rr_time now,
                         bool inconsistent, const char *reason)
{
  l->inconsistent_reads = inconsistent ? l->inconsistent_reads + 1 : 0;
  if (l->inconsistent_reads >= INCONSISTENT_READS_MAX)
    {
      rr_shard_halt (l, reason);
      return;
    }
  if (++l->tries >= TAKEOVER_TRIES)
    {
      l->stats.losses++;
      rr_shard_end_ownership (l, RR_COMMIT_LOST, RR_SHARD_IDLE);
      rr_shard_emit_reason (l, RR_SHARD_LOST, RR_ERROR_UNAVAILABLE,
                            "shard %u: %s", l->options.shard, reason);
      return;
    }
  rr_shard_start_reading (l);
  struct store_call delay = { 0 };
  rr_shard_call_back_off (l, &delay, now);
  schedule_reads (l, 0, RR_RING_SLOTS, delay.at);
}

/* Decodes the entry in SLOT into E, which is zeroed for an empty slot.  Halts
   and returns false if the entry is corrupt.  */
static bool
read_entry (struct rr_shard_log *l, uint32_t slot, struct rr_shard_entry *e)
{
  const struct slot_image *image = &l->images[slot];
  memset (e, 0, sizeof *e);
  if (image->value == NULL)
    return true;
  struct rr_error err = { 0 };
  if (!rr_shard_entry_decode (e, image->value, image->length, &err))
    {
      rr_shard_halt (l, err.message);
      return false;
    }
  if (e->sequence % RR_RING_SLOTS != slot)
    {
      rr_shard_halt (l, "a ring slot holds an entry of another slot");
      return false;
    }
  return true;
}

/* Stores the newest entry of the ring in NEWEST.  Returns false if the ring is
   inconsistent; the takeover has then been restarted or halted.  */
static bool
find_newest (struct rr_shard_log *l, struct rr_time now,
             struct rr_shard_entry *newest)
{
  uint64_t found[RR_RING_SLOTS];
  memset (newest, 0, sizeof *newest);
  newest->snapshot.slot = NO_SNAPSHOT;
  for (uint32_t i = 0; i < RR_RING_SLOTS; i++)
    {
      struct rr_shard_entry e;
      if (!read_entry (l, i, &e))
        return false;
      found[i] = e.sequence;
      if (e.sequence > newest->sequence)
        *newest = e;
    }
  if (newest->sequence < l->max_sequence)
    {
      rr_shard_halt (l, "the store went back to an older entry");
      return false;
    }
  bool moved = newest->sequence != l->last_read_sequence;
  l->last_read_sequence = newest->sequence;
  if (moved)
    l->inconsistent_reads = 0;
  /* Check every slot, not only those to be replayed: a slot that was read long
     before the others would leave a stale revision in slot_revision.  */
  for (uint32_t i = 0; i < RR_RING_SLOTS; i++)
    {
      uint64_t age = (newest->sequence - i) % RR_RING_SLOTS;
      uint64_t expected = age < newest->sequence ? newest->sequence - age : 0;
      if (found[i] != expected)
        {
          rr_shard_retry_takeover (l, now, true,
                                   "the entries of the ring do not follow "
                                   "each other");
          return false;
        }
    }
  if (newest->sequence - newest->snapshot.sequence > RR_RING_SLOTS)
    {
      rr_shard_halt (l, "entries since the snapshot were overwritten");
      return false;
    }
  return true;
}

/* Applies the records of E, the entry that follows the state.  Halts and
   returns false if it is corrupt.  */
static bool
replay_entry (struct rr_shard_log *l, const struct rr_shard_entry *e,
              struct rr_time now)
{
  size_t at = 0;
  for (uint32_t i = 0; i < e->records; i++)
    {
      struct rr_record r;
      struct rr_error err = { 0 };
      size_t used = 0;
      if (!rr_record_decode (&r, e->data + at, e->length - at, &used, &err))
        {
          rr_shard_halt (l, err.message);
          return false;
        }
      at += used;
      /* A record rejected here was rejected at its commit as well.  */
      rr_shard_state_apply (l->data, e->sequence, &r, now, NULL);
      rr_record_clear (&r);
    }
  if (at != e->length)
    {
      rr_shard_halt (l, "a ring entry has bytes after its records");
      return false;
    }
  l->data->sequence = e->sequence;
  return true;
}

/* Loads the snapshot that P points to, or the empty state if there is none.
   Returns false if the snapshot is missing or corrupt.  */
static bool
load_snapshot (struct rr_shard_log *l, const struct rr_snapshot_pointer *p,
               struct rr_time now)
{
  if (p->slot == NO_SNAPSHOT)
    {
      l->data = rr_shard_state_new ();
      return l->data != NULL;
    }
  const struct slot_image *image = &l->images[RR_RING_SLOTS + p->slot];
  if (image->value == NULL || image->revision != p->revision)
    {
      rr_shard_retry_takeover (l, now, true,
                               "the current snapshot was overwritten");
      return false;
    }
  struct rr_error err = { 0 };
  l->data = rr_shard_state_decode (image->value, image->length, &err);
  if (l->data == NULL || l->data->sequence != p->sequence)
    {
      rr_shard_halt (l,
                     l->data == NULL
                         ? err.message
                         : "the snapshot's sequence differs from its pointer");
      return false;
    }
  return true;
}

/* Encodes the ownership record as the entry that follows the state.  */
static void
prepare_ownership (struct rr_shard_log *l, struct rr_time now)
{
  uint64_t next = l->data->sequence + 1;
  if (next - l->pointer.sequence > RR_RING_SLOTS)
    {
      /* Happens only if successive owners filled the rest of the ring and each
         stopped before it wrote a snapshot.  */
      rr_shard_halt (l, "all ring slots were used since the last snapshot");
      return;
    }
  struct rr_record r
      = { .kind = RR_RECORD_OWNERSHIP_TAKEN, .at_ms = l->wall_ms };
  memcpy (r.u.ownership_taken.owner, l->options.owner,
          sizeof r.u.ownership_taken.owner);
  r.u.ownership_taken.incarnation = l->options.incarnation;
  r.u.ownership_taken.takeover_number = l->takeover_number;
  if (!rr_shard_build_entry (l, next, next, &r))
    rr_shard_retry_takeover (l, now, false, "out of memory");
}

/* Replays E, which the owner appended with REVISION while this process was
   reading, and prepares the ownership record for the next slot.  Reading the
   whole ring again instead could fail forever: it takes about as long as an
   owner at the full rate needs for its next entry.  Returns false if the ring
   must be read again, because E does not follow the state or the owner was
   faster too often.  */
bool
rr_shard_catch_up (struct rr_shard_log *l, const struct rr_shard_entry *e,
                   uint64_t revision, struct rr_time now)
{
  if (e->sequence != l->data->sequence + 1 || e->epoch != l->data->epoch
      || l->tries + 1 >= TAKEOVER_TRIES)
    return false;
  l->tries++;
  if (!replay_entry (l, e, now))
    return true;
  l->slot_revision[e->sequence % RR_RING_SLOTS] = revision;
  l->max_sequence = e->sequence;
  l->pointer = e->snapshot;
  if (e->snapshot.slot != NO_SNAPSHOT
      && l->snapshot_revision[e->snapshot.slot] < e->snapshot.revision)
    l->snapshot_revision[e->snapshot.slot] = e->snapshot.revision;
  rr_shard_call_clear (&l->append);
  prepare_ownership (l, now);
  if (l->state != RR_SHARD_TAKING_OVER || l->entry == NULL)
    return true;
  /* Append at once.  The owner waits RR_APPEND_INTERVAL_MS, so after the same
     delay the takeover might lose again.  */
  l->append.phase = CALL_WAIT;
  l->append.at = now;
  return true;
}

/* Restores the state from the snapshot and the ring entries read, and prepares
   the ownership record.  */
static void
restore_state (struct rr_shard_log *l, struct rr_time now)
{
  struct rr_shard_entry newest;
  if (!find_newest (l, now, &newest)
      || !load_snapshot (l, &newest.snapshot, now))
    return;
  for (uint64_t q = newest.snapshot.sequence + 1; q <= newest.sequence; q++)
    {
      struct rr_shard_entry e;
      if (!read_entry (l, (uint32_t)(q % RR_RING_SLOTS), &e)
          || !replay_entry (l, &e, now))
        return;
    }
  l->pointer = newest.snapshot;
  l->max_sequence = newest.sequence;
  for (uint32_t i = 0; i < RR_RING_SLOTS; i++)
    l->slot_revision[i] = l->images[i].revision;
  for (uint32_t i = 0; i < 2; i++)
    l->snapshot_revision[i] = l->images[RR_RING_SLOTS + i].revision;
  rr_shard_free_images (l);
  prepare_ownership (l, now);
}

/* Returns how many more reads may be issued.  While the store is unresponsive
   only one read is in flight, so that an outage costs one read per retry.  */
static uint32_t
reads_allowed (const struct rr_shard_log *l)
{
  uint32_t most = l->store_unresponsive ? 1 : RR_TAKEOVER_READS_MAX;
  uint32_t n = 0;
  for (uint32_t i = 0; i < RR_RING_SLOTS + 2; i++)
    n += l->reads[i].phase == CALL_READING ? 1 : 0;
  return n < most ? most - n : 0;
}

/* Stores in AT the earliest time of the next read; returns false if no read is
   scheduled or a read in flight must complete first.  */
bool
rr_shard_reads_due (const struct rr_shard_log *l, struct rr_time *at)
{
  if (l->state != RR_SHARD_TAKING_OVER || l->entry != NULL
      || reads_allowed (l) == 0)
    return false;
  bool any = false;
  for (uint32_t i = 0; i < RR_RING_SLOTS + 2; i++)
    if (l->reads[i].phase == CALL_WAIT
        && (!any || rr_time_before (l->reads[i].at, *at)))
      {
        *at = l->reads[i].at;
        any = true;
      }
  if (any && l->read_backoff.phase == CALL_WAIT
      && rr_time_before (*at, l->read_backoff.at))
    *at = l->read_backoff.at;
  return any;
}

/* Issues the reads that are due; restores the state once all have completed.
   The snapshots are read after the ring, because their revisions must not be
   older than the entry that points to one of them.  */
void
rr_shard_advance_takeover (struct rr_shard_log *l, struct rr_time now)
{
  if (l->entry != NULL)
    return;
  bool waiting = false;
  uint32_t allowed = reads_allowed (l);
  if (l->read_backoff.phase == CALL_WAIT
      && rr_time_before (now, l->read_backoff.at))
    allowed = 0;
  for (uint32_t i = 0; i < RR_RING_SLOTS + 2; i++)
    {
      if (allowed > 0 && rr_shard_call_due (&l->reads[i], now))
        {
          allowed--;
          char key[RR_KEY_SIZE];
          if (i < RR_RING_SLOTS)
            rr_shard_ring_key (l, i, key);
          else
            rr_shard_snapshot_key (l, i - RR_RING_SLOTS, key);
          rr_shard_call_read (l, &l->reads[i], key, now);
        }
      waiting = waiting || l->reads[i].phase != CALL_NONE;
    }
  if (waiting)
    return;
  if (l->reading_snapshots)
    {
      restore_state (l, now);
      return;
    }
  l->reading_snapshots = true;
  schedule_reads (l, RR_RING_SLOTS, RR_RING_SLOTS + 2, now);
  rr_shard_advance_takeover (l, now);
}

/* Updates store_unresponsive and the backoff of reads after the read C, and
   reschedules C if the store did not respond.  A read issued before the end of
   the current backoff says nothing about the store after it.  */
static void
detect_unresponsive_store (struct rr_shard_log *l, struct store_call *c,
                           bool responded, struct rr_time now)
{
  bool issued_before_retry = l->read_backoff.phase == CALL_WAIT
                             && rr_time_before (c->issued, l->read_backoff.at);
  if (!issued_before_retry)
    {
      l->store_unresponsive = !responded;
      if (responded)
        rr_shard_call_clear (&l->read_backoff);
      else
        rr_shard_call_back_off (l, &l->read_backoff, now);
    }
  if (!responded)
    {
      rr_shard_call_clear (c);
      c->phase = CALL_WAIT;
      c->at = now;
    }
}

/* Handles the result of the read of IMAGE, the number of a ring slot or
   RR_RING_SLOTS plus that of a snapshot.  */
void
rr_shard_takeover_result (struct rr_shard_log *l, uint32_t image,
                          const struct rr_kv_result *r, struct rr_time now)
{
  detect_unresponsive_store (l, &l->reads[image], r->status == RR_KV_OK, now);
  if (r->status != RR_KV_OK)
    return;
  uint64_t known = image < RR_RING_SLOTS
                       ? l->slot_revision[image]
                       : l->snapshot_revision[image - RR_RING_SLOTS];
  if (r->revision < known)
    {
      rr_shard_halt (l, "the store went back to an older revision");
      return;
    }
  struct slot_image *to = &l->images[image];
  if (r->value != NULL)
    {
      /* One byte more keeps an empty value apart from an absent key; the
         decoder reports it as corrupt.  */
      to->value = malloc (r->length + 1);
      if (to->value == NULL)
        {
          rr_shard_call_back_off (l, &l->reads[image], now);
          return;
        }
      memcpy (to->value, r->value, r->length);
      to->length = r->length;
    }
  to->revision = r->revision;
  rr_shard_update_max_revision (l, r->revision);
  rr_shard_call_clear (&l->reads[image]);
}
