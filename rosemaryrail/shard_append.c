#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "shard_private.h"

static uint32_t
ring_slot (uint64_t sequence)
{
  return (uint32_t)(sequence % RR_RING_SLOTS);
}

/* Encodes FIXED, which may be null, and as many queued records as fit into
   BUFFER, and marks these as in flight.  Returns false if encoding fails.  */
static bool
encode_batch (struct rr_shard_log *l, const struct rr_record *fixed,
              struct rr_shard_entry *e, uint8_t *buffer)
{
  size_t n = 0;
  if (fixed != NULL)
    {
      if (!rr_record_encode (fixed, buffer, RR_ENTRY_MAX, &n, NULL))
        return false;
      e->length = n;
      e->records = 1;
    }
  for (l->in_flight = 0; l->in_flight < l->queued; l->in_flight++)
    {
      const struct queued_record *q = &l->queue[l->in_flight];
      if (e->length + q->size > RR_ENTRY_MAX)
        return true;
      if (!rr_record_encode (&q->record, buffer + e->length,
                             RR_ENTRY_MAX - e->length, &n, NULL))
        return false;
      e->length += n;
      e->records++;
    }
  if (l->state == RR_SHARD_RELEASING)
    {
      struct rr_record r
          = { .kind = RR_RECORD_OWNERSHIP_RELEASED, .at_ms = l->wall_ms };
      memcpy (r.u.ownership_released.successor, l->data->successor,
              sizeof r.u.ownership_released.successor);
      if (rr_record_encode (&r, buffer + e->length, RR_ENTRY_MAX - e->length,
                            &n, NULL))
        {
          e->length += n;
          e->records++;
          l->release_in_flight = true;
        }
    }
  return true;
}

/* Encodes the entry with SEQUENCE from FIXED, which may be null, and the
   queued records.  Retries write the same bytes until the outcome is known: if
   the content differed and the delayed first write took effect, records that
   are only in the retry would be lost.  */
bool
rr_shard_build_entry (struct rr_shard_log *l, uint64_t sequence,
                      uint64_t epoch, const struct rr_record *fixed)
{
  uint8_t *buffer = malloc (RR_ENTRY_MAX);
  if (buffer == NULL)
    return false;
  struct rr_shard_entry e = { .sequence = sequence,
                              .epoch = epoch,
                              .incarnation = l->options.incarnation,
                              .takeover_number = l->takeover_number,
                              .snapshot = l->pointer,
                              .data = buffer };
  memcpy (e.writer, l->options.owner, sizeof e.writer);
  if (l->snapshot_ready)
    e.snapshot = l->snapshot_target;
  l->release_in_flight = false;
  bool ok = encode_batch (l, fixed, &e, buffer);
  free (l->entry);
  l->entry = NULL;
  ok = ok && rr_shard_entry_encode (&e, &l->entry, &l->entry_length);
  free (buffer);
  l->entry_sequence = sequence;
  l->entry_pointer = e.snapshot;
  return ok;
}

static void
issue_append (struct rr_shard_log *l, struct rr_time now)
{
  char key[RR_KEY_SIZE];
  uint32_t slot = ring_slot (l->entry_sequence);
  rr_shard_ring_key (l, slot, key);
  l->revision_at_issue = l->max_revision;
  rr_shard_call_write (l, &l->append, key, l->entry, l->entry_length,
                       l->slot_revision[slot], now);
  l->last_append = now;
  l->appended = true;
}

/* Returns whether an entry is to be appended, apart from the append interval.
 */
static bool
append_wanted (const struct rr_shard_log *l)
{
  if (l->append.phase != CALL_NONE)
    return false;
  if (l->state == RR_SHARD_TAKING_OVER)
    return l->entry != NULL;
  if (l->state != RR_SHARD_OWNER && l->state != RR_SHARD_RELEASING)
    return false;
  const struct rr_snapshot_pointer *p
      = l->snapshot_ready ? &l->snapshot_target : &l->pointer;
  uint64_t next = l->data->sequence + 1;
  if (next - p->sequence > RING_ADVANCE_MAX)
    return false;
  /* An idle shard also appends an entry that points to its new snapshot;
     otherwise repeated takeovers would fill the ring.  */
  return l->queued > 0 || l->state == RR_SHARD_RELEASING || l->snapshot_ready;
}

/* Stores in AT the earliest time of the next append; returns false if there is
   nothing to append or an append is in flight.  */
bool
rr_shard_append_due (const struct rr_shard_log *l, struct rr_time *at)
{
  if (!append_wanted (l) || l->unconfirmed)
    return false;
  *at = l->appended ? rr_time_add (l->last_append, RR_APPEND_INTERVAL_MS)
                    : rr_time_from_ms (INT64_MIN);
  return true;
}

/* Issues the next step of the append, if any is due.  */
void
rr_shard_advance_append (struct rr_shard_log *l, struct rr_time now)
{
  if (rr_shard_call_due (&l->append, now))
    {
      if (!l->append.uncertain)
        {
          issue_append (l, now);
          return;
        }
      char key[RR_KEY_SIZE];
      rr_shard_ring_key (l, ring_slot (l->entry_sequence), key);
      rr_shard_call_read (l, &l->append, key, now);
      return;
    }
  struct rr_time at;
  if (!rr_shard_append_due (l, &at) || rr_time_before (now, at))
    return;
  if (l->state != RR_SHARD_TAKING_OVER
      && !rr_shard_build_entry (l, l->data->sequence + 1, l->data->epoch,
                                NULL))
    return;
  l->stats.appends++;
  l->entry_issued = now;
  issue_append (l, now);
}

static void
settle_record (struct rr_shard_log *l, struct queued_record *q,
               struct rr_time now)
{
  struct rr_shard_output *out = rr_shard_emit (l, RR_SHARD_SETTLED);
  out->token = q->token;
  out->commit = RR_COMMITTED;
  rr_job_store_mark_pending (l->data->jobs, &q->record, false, now);
  out->applied = rr_shard_state_apply (l->data, l->entry_sequence, &q->record,
                                       now, &out->reason);
  rr_request_log_mark_pending (l->data->requests, &q->record, false);
  l->queued_growth -= q->growth;
  l->queued_grants -= q->record.kind == RR_RECORD_REQUEST_GRANTED ? 1 : 0;
  l->stats.records++;
  rr_record_clear (&q->record);
}

static void
become_owner (struct rr_shard_log *l, struct rr_time now)
{
  struct rr_record r = { .kind = RR_RECORD_OWNERSHIP_TAKEN };
  memcpy (r.u.ownership_taken.owner, l->options.owner,
          sizeof r.u.ownership_taken.owner);
  r.u.ownership_taken.incarnation = l->options.incarnation;
  rr_shard_state_apply (l->data, l->entry_sequence, &r, now, NULL);
  rr_job_store_start_ownership (l->data->jobs, now);
  l->state = RR_SHARD_OWNER;
  rr_shard_emit (l, RR_SHARD_OWNED);
}

/* Handles the commit of the entry in flight with REVISION: applies its records
   and reports their outcome.  */
static void
append_committed (struct rr_shard_log *l, uint64_t revision,
                  struct rr_time now)
{
  l->slot_revision[ring_slot (l->entry_sequence)] = revision;
  rr_shard_update_max_revision (l, revision);
  l->max_sequence = l->entry_sequence;
  l->pointer = l->entry_pointer;
  if (l->snapshot_ready && l->pointer.slot == l->snapshot_target.slot
      && l->pointer.revision == l->snapshot_target.revision)
    l->snapshot_ready = false;
  l->confirmed_at = l->entry_issued;
  rr_shard_call_clear (&l->append);
  l->data->sequence = l->entry_sequence;
  if (l->state == RR_SHARD_TAKING_OVER)
    {
      become_owner (l, now);
      return;
    }
  size_t n = l->in_flight;
  for (size_t i = 0; i < n; i++)
    settle_record (l, &l->queue[i], now);
  if (n > 0)
    memmove (l->queue, l->queue + n, (l->queued - n) * sizeof *l->queue);
  l->queued -= n;
  l->in_flight = 0;
  if (l->release_in_flight)
    {
      rr_shard_end_ownership (l, RR_COMMIT_LOST, RR_SHARD_IDLE);
      rr_shard_emit (l, RR_SHARD_RELEASED);
    }
}

/* Handles an entry of another writer in the slot of the next entry: this
   process is no longer the owner.  The outcome of the entry in flight is lost,
   or unknown if the ring has wrapped around and the entry may have been
   overwritten.  During a takeover, entries of the previous owner are replayed
   instead.  */
static void
append_superseded (struct rr_shard_log *l, const struct rr_kv_result *r,
                   struct rr_time now)
{
  struct rr_shard_entry e;
  struct rr_error err = { 0 };
  if (r->value == NULL
      || !rr_shard_entry_decode (&e, r->value, r->length, &err))
    {
      rr_shard_halt (l, r->value == NULL ? "a ring slot is missing"
                                         : err.message);
      return;
    }
  uint64_t next = l->data->sequence + 1;
  if (e.sequence < next)
    {
      rr_shard_halt (l, "a ring slot holds an older entry than before");
      return;
    }
  rr_shard_update_max_revision (l, r->revision);
  bool ownership = e.epoch == e.sequence;
  if (l->state == RR_SHARD_TAKING_OVER && !ownership)
    {
      if (!rr_shard_catch_up (l, &e, r->revision, now))
        rr_shard_retry_takeover (l, now, false,
                                 "the owner is still appending");
      return;
    }
  bool lost = !l->append.uncertain || e.sequence == next;
  l->stats.losses++;
  rr_shard_end_ownership (l, lost ? RR_COMMIT_LOST : RR_COMMIT_UNKNOWN,
                          RR_SHARD_IDLE);
  rr_shard_emit_reason (l, RR_SHARD_LOST, RR_ERROR_CONFLICT,
                        "shard %u: %s wrote entry %llu", l->options.shard,
                        e.writer, (unsigned long long)e.sequence);
}

/* Determines the outcome of the append from the content of the slot of the
   next entry, as returned by a read or by a write conflict.  */
void
rr_shard_resolve_slot (struct rr_shard_log *l, const struct rr_kv_result *r,
                       struct rr_time now)
{
  uint64_t expected = l->slot_revision[ring_slot (l->data->sequence + 1)];
  bool own_write = l->append.phase != CALL_NONE && r->value != NULL
                   && r->length == l->entry_length
                   && memcmp (r->value, l->entry, r->length) == 0;
  if (r->revision < expected || (own_write && r->revision <= expected))
    rr_shard_halt (l, "the store went back to an older revision");
  else if (own_write)
    append_committed (l, r->revision, now);
  else if (r->revision > expected)
    append_superseded (l, r, now);
  else if (l->append.phase == CALL_WRITING)
    rr_shard_call_back_off (l, &l->append, now);
  else
    {
      /* The slot is unchanged, so the write has not taken effect and may be
         repeated.  If the first write still takes effect later, the
         compare-and-swap lets only one of the two succeed.  */
      l->stats.append_retries++;
      issue_append (l, now);
    }
}

/* Handles the result of a write or read of the slot of the entry in flight. */
void
rr_shard_append_result (struct rr_shard_log *l, const struct rr_kv_result *r,
                        struct rr_time now)
{
  bool write = l->append.phase == CALL_WRITING;
  switch (r->status)
    {
    case RR_KV_OK:
      if (!write)
        rr_shard_resolve_slot (l, r, now);
      else if (r->revision <= l->revision_at_issue)
        rr_shard_halt (l, "the store went back to an older revision");
      else
        append_committed (l, r->revision, now);
      return;
    case RR_KV_CONFLICT:
      rr_shard_resolve_slot (l, r, now);
      return;
    case RR_KV_NO_RESPONSE:
      l->append.uncertain = l->append.uncertain || write;
      rr_shard_call_back_off (l, &l->append, now);
      return;
    case RR_KV_NOT_SENT:
      rr_shard_call_back_off (l, &l->append, now);
      return;
    }
}
