#include "rosemaryrail/shard_log.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "shard_private.h"

enum
{
  DEFAULT_REQUESTS_MAX = 20000,
  DEFAULT_RETRY_MIN_MS = 200,
  DEFAULT_RETRY_MAX_MS = 5000
};

/* Returns the log of one shard in state RR_SHARD_IDLE, or null if out of
   memory.  The caller frees it with rr_shard_log_free.  */
struct rr_shard_log *
rr_shard_log_new (const struct rr_shard_log_options *options)
{
  struct rr_shard_log *l = calloc (1, sizeof *l);
  if (l == NULL)
    return NULL;
  l->options = *options;
  struct rr_shard_log_options *o = &l->options;
  if (o->snapshot_max == 0)
    o->snapshot_max = RR_SNAPSHOT_MAX;
  if (o->requests_max == 0)
    o->requests_max = DEFAULT_REQUESTS_MAX;
  if (o->retry_min_ms <= 0)
    o->retry_min_ms = DEFAULT_RETRY_MIN_MS;
  if (o->retry_max_ms < o->retry_min_ms)
    o->retry_max_ms = o->retry_min_ms > DEFAULT_RETRY_MAX_MS
                          ? o->retry_min_ms
                          : DEFAULT_RETRY_MAX_MS;
  l->pointer.slot = NO_SNAPSHOT;
  return l;
}

/* Frees everything that belongs to the current ownership or takeover.  */
static void
ownership_clear (struct rr_shard_log *l)
{
  for (size_t i = 0; i < l->queued; i++)
    rr_record_clear (&l->queue[i].record);
  l->queued = 0;
  l->in_flight = 0;
  l->queued_growth = 0;
  l->queued_grants = 0;
  free (l->entry);
  l->entry = NULL;
  free (l->snapshot_data);
  l->snapshot_data = NULL;
  l->snapshot_ready = false;
  l->snapshot_recheck = false;
  rr_shard_free_images (l);
  rr_shard_call_clear (&l->append);
  rr_shard_call_clear (&l->snapshot);
  rr_shard_call_clear (&l->confirm);
  l->unconfirmed = false;
  l->confirm_wanted = false;
  rr_shard_state_free (l->data);
  l->data = NULL;
}

/* Frees L without reporting the outcome of queued records.  L may be null.  */
void
rr_shard_log_free (struct rr_shard_log *l)
{
  if (l == NULL)
    return;
  ownership_clear (l);
  free (l->queue);
  free (l->outputs);
  free (l);
}

/* Appends an output of KIND and returns it; its other fields are zero.  */
struct rr_shard_output *
rr_shard_emit (struct rr_shard_log *l, enum rr_shard_output_kind kind)
{
  if (l->output_count == l->output_capacity)
    {
      size_t n = l->output_capacity == 0 ? 16 : 2 * l->output_capacity;
      struct rr_shard_output *o = realloc (l->outputs, n * sizeof *o);
      /* Dropping an output would leave its caller waiting forever, so the
         process aborts when out of memory; the next owner replays the log.  */
      if (o == NULL)
        abort ();
      l->outputs = o;
      l->output_capacity = n;
    }
  struct rr_shard_output *out = &l->outputs[l->output_count++];
  memset (out, 0, sizeof *out);
  out->kind = kind;
  return out;
}

/* Appends an output of KIND with CODE and a formatted message as its reason.
 */
void
rr_shard_emit_reason (struct rr_shard_log *l, enum rr_shard_output_kind kind,
                      enum rr_error_code code, const char *format, ...)
{
  struct rr_shard_output *out = rr_shard_emit (l, kind);
  out->reason.code = code;
  va_list args;
  va_start (args, format);
  vsnprintf (out->reason.message, sizeof out->reason.message, format, args);
  va_end (args);
}

void
rr_shard_ring_key (const struct rr_shard_log *l, uint32_t slot, char *key)
{
  snprintf (key, RR_KEY_SIZE, "shard/%u/ring/%u", l->options.shard, slot);
}

void
rr_shard_snapshot_key (const struct rr_shard_log *l, uint32_t slot, char *key)
{
  snprintf (key, RR_KEY_SIZE, "shard/%u/snapshot/%u", l->options.shard, slot);
}

/* Issues a read of KEY as the next step of C.  */
void
rr_shard_call_read (struct rr_shard_log *l, struct store_call *c,
                    const char *key, struct rr_time now)
{
  struct rr_shard_output *out = rr_shard_emit (l, RR_SHARD_READ);
  out->call_id = ++l->last_call_id;
  snprintf (out->key, sizeof out->key, "%s", key);
  c->phase = CALL_READING;
  c->call_id = out->call_id;
  c->issued = now;
}

/* Issues a write of KEY as the next step of C.  */
void
rr_shard_call_write (struct rr_shard_log *l, struct store_call *c,
                     const char *key, const uint8_t *value, size_t length,
                     uint64_t expect, struct rr_time now)
{
  struct rr_shard_output *out = rr_shard_emit (l, RR_SHARD_WRITE);
  out->call_id = ++l->last_call_id;
  snprintf (out->key, sizeof out->key, "%s", key);
  out->value = value;
  out->length = length;
  out->expect = expect;
  c->phase = CALL_WRITING;
  c->call_id = out->call_id;
  c->issued = now;
}

/* Schedules the next step of C after a jittered exponential backoff.  */
void
rr_shard_call_back_off (struct rr_shard_log *l, struct store_call *c,
                        struct rr_time now)
{
  const struct rr_shard_log_options *o = &l->options;
  c->backoff_ms = c->backoff_ms == 0 ? o->retry_min_ms : 2 * c->backoff_ms;
  if (c->backoff_ms > o->retry_max_ms)
    c->backoff_ms = o->retry_max_ms;
  uint64_t n = l->jitter_counter++;
  uint64_t r = XXH3_64bits_withSeed (&n, sizeof n, o->seed + l->options.shard);
  int64_t half = c->backoff_ms / 2;
  c->at = rr_time_add (now, half + (int64_t)(r % (uint64_t)(half + 1)));
  c->phase = CALL_WAIT;
  c->call_id = 0;
}

/* Resets C once its outcome is known or no longer needed.  */
void
rr_shard_call_clear (struct store_call *c)
{
  memset (c, 0, sizeof *c);
}

/* Returns whether the next step of C is due at NOW.  */
bool
rr_shard_call_due (const struct store_call *c, struct rr_time now)
{
  return c->phase == CALL_WAIT && !rr_time_before (now, c->at);
}

void
rr_shard_update_max_revision (struct rr_shard_log *l, uint64_t revision)
{
  if (revision > l->max_revision)
    l->max_revision = revision;
}

/* Ends the ownership or takeover and enters STATE.  Records in flight get the
   outcome IN_FLIGHT; the others were never sent and are lost.  */
void
rr_shard_end_ownership (struct rr_shard_log *l, enum rr_commit in_flight,
                        enum rr_shard_log_state state)
{
  for (size_t i = 0; i < l->queued; i++)
    {
      struct rr_shard_output *out = rr_shard_emit (l, RR_SHARD_SETTLED);
      out->token = l->queue[i].token;
      out->commit = i < l->in_flight ? in_flight : RR_COMMIT_LOST;
      rr_error_set (&out->reason, RR_ERROR_UNAVAILABLE,
                    "shard %u: ownership ended", l->options.shard);
      if (out->commit == RR_COMMIT_UNKNOWN)
        l->stats.unknown++;
    }
  /* Discard the calls the caller has not fetched yet: they refer to values
     that are about to be freed.  */
  size_t kept = l->output_next;
  for (size_t i = l->output_next; i < l->output_count; i++)
    if (l->outputs[i].kind != RR_SHARD_WRITE
        && l->outputs[i].kind != RR_SHARD_READ)
      l->outputs[kept++] = l->outputs[i];
  l->output_count = kept;
  ownership_clear (l);
  l->state = state;
}

/* Stops with an alarm because the store contradicts what this process read or
   wrote earlier; only rr_shard_log_accept_rewind ends the halt.  */
void
rr_shard_halt (struct rr_shard_log *l, const char *what)
{
  rr_shard_end_ownership (l, RR_COMMIT_UNKNOWN, RR_SHARD_HALTED);
  rr_shard_emit_reason (l, RR_SHARD_ALARM, RR_ERROR_CONFLICT, "shard %u: %s",
                        l->options.shard, what);
}

/* Starts a takeover.  WALL_MS is the wall-clock time of the ownership record.
   The result is an output RR_SHARD_OWNED, RR_SHARD_LOST or RR_SHARD_ALARM.
   While the store is unavailable the takeover is retried until
   rr_shard_log_drop.  */
bool
rr_shard_log_take_over (struct rr_shard_log *l, struct rr_time now,
                        int64_t wall_ms, struct rr_error *err)
{
  (void)now;
  if (l->state == RR_SHARD_HALTED)
    return rr_error_set (err, RR_ERROR_CONFLICT,
                         "shard %u is halted after an alarm",
                         l->options.shard);
  if (l->state != RR_SHARD_IDLE)
    return rr_error_set (err, RR_ERROR_CONFLICT,
                         "shard %u is owned or being taken over already",
                         l->options.shard);
  l->state = RR_SHARD_TAKING_OVER;
  l->takeover_number++;
  l->tries = 0;
  l->last_read_sequence = 0;
  l->wall_ms = wall_ms;
  l->stats.takeovers++;
  rr_shard_start_reading (l);
  return true;
}

/* Verifies with the store that this process still owns the shard; required
   after a pause of the process.  rr_shard_log_is_owner is false until the
   output RR_SHARD_CONFIRMED or RR_SHARD_LOST.  Returns false if this process
   is not the owner.  */
bool
rr_shard_log_confirm (struct rr_shard_log *l, struct rr_time now)
{
  if (l->state != RR_SHARD_OWNER && l->state != RR_SHARD_RELEASING)
    return false;
  l->unconfirmed = true;
  l->confirm_wanted = true;
  rr_shard_call_clear (&l->confirm);
  l->confirm.phase = CALL_WAIT;
  l->confirm.at = now;
  return true;
}

/* Queues the "released" record after the records queued so far and accepts no
   further records.  RR_SHARD_RELEASED is emitted once it is committed.
   SUCCESSOR may be empty.  */
bool
rr_shard_log_release (struct rr_shard_log *l, const char *successor,
                      struct rr_time now, int64_t wall_ms,
                      struct rr_error *err)
{
  (void)now;
  if (l->state != RR_SHARD_OWNER)
    return rr_error_set (err, RR_ERROR_UNAVAILABLE,
                         "shard %u is not owned by this process",
                         l->options.shard);
  l->state = RR_SHARD_RELEASING;
  l->wall_ms = wall_ms;
  snprintf (l->data->successor, sizeof l->data->successor, "%s", successor);
  return true;
}

/* Ends the ownership or takeover at once, without a "released" record.  Queued
   records get RR_COMMIT_LOST, records in flight RR_COMMIT_UNKNOWN unless no
   write of them was sent.  */
void
rr_shard_log_drop (struct rr_shard_log *l, struct rr_time now)
{
  (void)now;
  if (l->state == RR_SHARD_IDLE || l->state == RR_SHARD_HALTED)
    return;
  bool unsent = l->append.phase == CALL_WAIT && !l->append.uncertain;
  rr_shard_end_ownership (l, unsent ? RR_COMMIT_LOST : RR_COMMIT_UNKNOWN,
                          RR_SHARD_IDLE);
}

/* Ends the halt after an alarm when the operator accepts the rewound store:
   discards the revisions and sequence seen so far.  */
void
rr_shard_log_accept_rewind (struct rr_shard_log *l)
{
  if (l->state != RR_SHARD_HALTED)
    return;
  l->state = RR_SHARD_IDLE;
  l->max_revision = 0;
  l->max_sequence = 0;
  memset (l->slot_revision, 0, sizeof l->slot_revision);
  memset (l->snapshot_revision, 0, sizeof l->snapshot_revision);
}

/* Stores the next output in OUT; returns false if there is none at NOW.  */
bool
rr_shard_log_next_output (struct rr_shard_log *l, struct rr_time now,
                          struct rr_shard_output *out)
{
  if (l->output_next == l->output_count)
    {
      l->output_next = 0;
      l->output_count = 0;
      if (l->state == RR_SHARD_TAKING_OVER)
        rr_shard_advance_takeover (l, now);
      if (l->state == RR_SHARD_OWNER || l->state == RR_SHARD_RELEASING)
        {
          rr_shard_advance_confirm (l, now);
          rr_shard_advance_snapshot (l, now);
        }
      if (l->state != RR_SHARD_IDLE && l->state != RR_SHARD_HALTED)
        rr_shard_advance_append (l, now);
    }
  if (l->output_next == l->output_count)
    return false;
  *out = l->outputs[l->output_next++];
  return true;
}

/* Completes the READ or WRITE with CALL_ID.  Results of calls that are no
   longer pending are ignored.  */
void
rr_shard_log_complete (struct rr_shard_log *l, uint64_t call_id,
                       const struct rr_kv_result *result, struct rr_time now)
{
  if (call_id == 0)
    return;
  /* During a takeover only its own reads show that the store is available
     again: results of calls issued before the outage may still arrive.  */
  if (l->state != RR_SHARD_TAKING_OVER)
    l->store_unresponsive = result->status == RR_KV_NO_RESPONSE
                            || result->status == RR_KV_NOT_SENT;
  if (l->append.call_id == call_id)
    rr_shard_append_result (l, result, now);
  else if (l->snapshot.call_id == call_id)
    rr_shard_snapshot_result (l, result, now);
  else if (l->confirm.call_id == call_id)
    rr_shard_confirm_result (l, result, now);
  else
    for (uint32_t i = 0; i < RR_RING_SLOTS + 2; i++)
      if (l->reads[i].call_id == call_id)
        {
          rr_shard_takeover_result (l, i, result, now);
          return;
        }
}

static void
keep_earliest (bool *any, struct rr_time *at, struct rr_time t)
{
  if (!*any || rr_time_before (t, *at))
    *at = t;
  *any = true;
}

/* Stores in AT the time at which rr_shard_log_next_output must be called again
   even without another event; returns false if there is no such time.  */
bool
rr_shard_log_wakeup (const struct rr_shard_log *l, struct rr_time *at)
{
  bool any = false;
  struct rr_time t;
  if (l->output_next < l->output_count)
    keep_earliest (&any, at, rr_time_from_ms (INT64_MIN));
  if (l->append.phase == CALL_WAIT)
    keep_earliest (&any, at, l->append.at);
  if (l->snapshot.phase == CALL_WAIT)
    keep_earliest (&any, at, l->snapshot.at);
  if (l->confirm.phase == CALL_WAIT)
    keep_earliest (&any, at, l->confirm.at);
  if (rr_shard_reads_due (l, &t))
    keep_earliest (&any, at, t);
  if (rr_shard_append_due (l, &t))
    keep_earliest (&any, at, t);
  return any;
}

/* Returns the state of the log.  */
enum rr_shard_log_state
rr_shard_log_state (const struct rr_shard_log *l)
{
  return l->state;
}

/* Returns whether this process may act as the owner: its ownership record is
   committed and no confirmation after a pause is pending.  */
bool
rr_shard_log_is_owner (const struct rr_shard_log *l)
{
  return (l->state == RR_SHARD_OWNER || l->state == RR_SHARD_RELEASING)
         && !l->unconfirmed;
}

/* Returns whether the append in flight waits for a retry because the store did
   not respond.  New non-repeatable requests are then rejected as "not run"
   instead of being queued behind a write of unknown outcome.  */
bool
rr_shard_log_is_stalled (const struct rr_shard_log *l)
{
  return l->append.backoff_ms > 0;
}

/* Returns the shard epoch to send to workers, which is the sequence of the
   latest ownership record; 0 if this process is not the owner.  */
uint64_t
rr_shard_log_epoch (const struct rr_shard_log *l)
{
  return l->state == RR_SHARD_OWNER || l->state == RR_SHARD_RELEASING
             ? l->data->epoch
             : 0;
}

/* Returns a time, on this process's clock, at which the ownership was still
   proven: the last store call that proved it was issued at or after it.  */
struct rr_time
rr_shard_log_confirmed_at (const struct rr_shard_log *l)
{
  return l->confirmed_at;
}

/* Returns the shard's state if this process is the owner, else null.  The
   pointer is valid until the next call.  */
struct rr_shard_state *
rr_shard_log_shard_state (const struct rr_shard_log *l)
{
  return l->state == RR_SHARD_OWNER || l->state == RR_SHARD_RELEASING ? l->data
                                                                      : NULL;
}

/* Returns L's counters.  */
const struct rr_shard_log_stats *
rr_shard_log_stats (const struct rr_shard_log *l)
{
  return &l->stats;
}
