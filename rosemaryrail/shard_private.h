#ifndef ROSEMARYRAIL_SHARD_PRIVATE_H
#define ROSEMARYRAIL_SHARD_PRIVATE_H

#include "rosemaryrail/shard_log.h"
#include "xdr_fields.h"

enum
{
  NO_SNAPSHOT = 2, /* value of rr_snapshot_pointer.slot */
  /* Entries since the last snapshot after which appends of records wait for a
     newer snapshot.  The 72 entries after RR_SNAPSHOT_INTERVAL take 7.2 s at
     the full rate, more than the longest retry delay (5 s).  The remaining 64
     slots are reserved for takeovers, each of which appends one entry.  */
  RING_ADVANCE_MAX = 192,
  TAKEOVER_TRIES = 8, /* rereads while the previous owner appends */
  ENTRY_HEADER_MAX = 256
};

struct rr_snapshot_pointer
{
  uint32_t slot; /* 0, 1 or NO_SNAPSHOT */
  uint64_t revision;
  uint64_t sequence; /* last entry included in the snapshot */
};

struct rr_shard_entry
{
  uint64_t sequence;
  uint64_t epoch; /* equals sequence in an ownership entry */
  char writer[RR_NAME_MAX + 1];
  uint64_t incarnation;
  uint64_t takeover_number;
  struct rr_snapshot_pointer snapshot;
  uint32_t records;
  const uint8_t *data; /* encoded records */
  size_t length;
};

bool rr_shard_entry_encode (const struct rr_shard_entry *e, uint8_t **data,
                            size_t *length);
bool rr_shard_entry_decode (struct rr_shard_entry *e, const uint8_t *data,
                            size_t length, struct rr_error *err);

struct queued_record
{
  struct rr_record record;
  uint64_t token;
  size_t size;   /* encoded bytes */
  size_t growth; /* upper bound of the bytes added to the state */
};

enum call_phase
{
  CALL_NONE = 0,
  CALL_WAIT,    /* the next call goes out at `at` */
  CALL_WRITING, /* a write is in flight */
  CALL_READING  /* a read is in flight */
};

/* A store call that is retried until its outcome is known.  */
struct store_call
{
  enum call_phase phase;
  bool uncertain; /* an earlier write may have taken effect or still will */
  uint64_t call_id;
  struct rr_time issued;
  struct rr_time at;
  int64_t backoff_ms;
};

/* Value of a key as read by a takeover.  */
struct slot_image
{
  uint64_t revision;
  uint8_t *value; /* null: absent */
  size_t length;
};

struct rr_shard_log
{
  struct rr_shard_log_options options;
  enum rr_shard_log_state state;
  struct rr_shard_state *data;
  struct rr_shard_log_stats stats;
  uint64_t takeover_number;
  uint64_t last_call_id;
  uint64_t jitter_counter;

  /* Highest revisions and sequence seen in the store.  A lower one later means
     that the store was restored from a backup.  */
  uint64_t max_revision;
  uint64_t max_sequence;
  uint64_t slot_revision[RR_RING_SLOTS];
  uint64_t snapshot_revision[2];

  struct rr_snapshot_pointer pointer; /* of the last committed entry */

  /* Group commit: `entry` holds the first `in_flight` records of the queue. */
  struct queued_record *queue;
  size_t queued;
  size_t queue_capacity;
  size_t in_flight;
  size_t queued_growth;
  size_t queued_grants;
  struct store_call append;
  uint8_t *entry;
  size_t entry_length;
  uint64_t entry_sequence;
  struct rr_snapshot_pointer entry_pointer;
  uint64_t revision_at_issue;  /* max_revision when the write was issued */
  struct rr_time entry_issued; /* time of the entry's first write */
  struct rr_time last_append;
  bool appended;          /* last_append is set */
  bool release_in_flight; /* the entry contains the "released" record */

  /* Snapshot that is being written, or is written (`snapshot_ready`) but that
     no committed entry points to yet.  */
  struct store_call snapshot;
  uint8_t *snapshot_data;
  size_t snapshot_length;
  struct rr_snapshot_pointer snapshot_target;
  bool snapshot_ready;
  bool snapshot_recheck; /* confirm ownership before overwriting */
  uint64_t snapshot_conflict_revision; /* revision of the foreign value */

  /* Takeover.  */
  int64_t wall_ms;
  uint32_t tries;
  uint32_t inconsistent_reads; /* in a row, without a new entry in between */
  bool reading_snapshots;
  bool store_unresponsive; /* the last call got no response: probe it with
                              single reads */
  /* Backoff of all reads after one got no response; its phase is CALL_WAIT
     from then until a later read succeeds.  */
  struct store_call read_backoff;
  struct store_call reads[RR_RING_SLOTS + 2];
  struct slot_image images[RR_RING_SLOTS + 2];
  uint64_t last_read_sequence; /* newest entry of the previous reading */

  /* Confirmation of ownership after a pause.  */
  struct store_call confirm;
  bool unconfirmed;
  bool confirm_wanted; /* requested by the caller: emit RR_SHARD_CONFIRMED */
  uint32_t confirm_slot;
  uint64_t confirm_revision;
  struct rr_time confirmed_at;

  struct rr_shard_output *outputs;
  size_t output_count;
  size_t output_next;
  size_t output_capacity;
};

/* shard_log.c */
struct rr_shard_output *rr_shard_emit (struct rr_shard_log *l,
                                       enum rr_shard_output_kind kind);
void rr_shard_emit_reason (struct rr_shard_log *l,
                           enum rr_shard_output_kind kind,
                           enum rr_error_code code, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));
void rr_shard_ring_key (const struct rr_shard_log *l, uint32_t slot,
                        char *key);
void rr_shard_snapshot_key (const struct rr_shard_log *l, uint32_t slot,
                            char *key);
void rr_shard_call_read (struct rr_shard_log *l, struct store_call *c,
                         const char *key, struct rr_time now);
void rr_shard_call_write (struct rr_shard_log *l, struct store_call *c,
                          const char *key, const uint8_t *value, size_t length,
                          uint64_t expect, struct rr_time now);
void rr_shard_call_back_off (struct rr_shard_log *l, struct store_call *c,
                             struct rr_time now);
void rr_shard_call_clear (struct store_call *c);
bool rr_shard_call_due (const struct store_call *c, struct rr_time now);
void rr_shard_end_ownership (struct rr_shard_log *l, enum rr_commit in_flight,
                             enum rr_shard_log_state state);
void rr_shard_halt (struct rr_shard_log *l, const char *what);
void rr_shard_update_max_revision (struct rr_shard_log *l, uint64_t revision);

/* shard_append.c */
bool rr_shard_build_entry (struct rr_shard_log *l, uint64_t sequence,
                           uint64_t epoch, const struct rr_record *ownership);
void rr_shard_advance_append (struct rr_shard_log *l, struct rr_time now);
void rr_shard_append_result (struct rr_shard_log *l,
                             const struct rr_kv_result *r, struct rr_time now);
void rr_shard_resolve_slot (struct rr_shard_log *l,
                            const struct rr_kv_result *r, struct rr_time now);
bool rr_shard_append_due (const struct rr_shard_log *l, struct rr_time *at);

/* shard_snapshot.c */
void rr_shard_advance_snapshot (struct rr_shard_log *l, struct rr_time now);
void rr_shard_snapshot_result (struct rr_shard_log *l,
                               const struct rr_kv_result *r,
                               struct rr_time now);
void rr_shard_advance_confirm (struct rr_shard_log *l, struct rr_time now);
void rr_shard_confirm_result (struct rr_shard_log *l,
                              const struct rr_kv_result *r,
                              struct rr_time now);

/* shard_takeover.c */
void rr_shard_start_reading (struct rr_shard_log *l);
void rr_shard_retry_takeover (struct rr_shard_log *l, struct rr_time now,
                              bool inconsistent, const char *reason);
bool rr_shard_catch_up (struct rr_shard_log *l, const struct rr_shard_entry *e,
                        uint64_t revision, struct rr_time now);
void rr_shard_advance_takeover (struct rr_shard_log *l, struct rr_time now);
void rr_shard_takeover_result (struct rr_shard_log *l, uint32_t image,
                               const struct rr_kv_result *r,
                               struct rr_time now);
bool rr_shard_reads_due (const struct rr_shard_log *l, struct rr_time *at);
void rr_shard_free_images (struct rr_shard_log *l);

#endif
