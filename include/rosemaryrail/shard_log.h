#ifndef ROSEMARYRAIL_SHARD_LOG_H
#define ROSEMARYRAIL_SHARD_LOG_H

#include "rosemaryrail/shard_state.h"

enum
{
  /* The rate of snapshot writes is inversely proportional to the number of
     slots: with 32 slots a shard at its full entry rate wrote 141 to 182 KB/s
     of snapshots.  */
  RR_RING_SLOTS = 256,
  /* Entries between two snapshots.  Less than half of the ring, so that a
     snapshot write can be retried before appends must stop.  */
  RR_SNAPSHOT_INTERVAL = 120,
  /* Concurrent reads of one takeover.  The store sustains about 2,000 reads
     per second for all its clients together.  */
  RR_TAKEOVER_READS_MAX = 16,
  RR_APPEND_INTERVAL_MS = 100, /* at most 160 writes/s for 16 shards */
  RR_ENTRY_MAX = 128 * 1024,   /* encoded records of one ring entry, bytes */
  /* Records that may wait for an append.  Bounds the queue of a daemon that
     queues repeated reports during an outage of the store.  */
  RR_QUEUE_MAX = 8192,
  RR_KEY_SIZE = 48
};

struct rr_shard_log_options
{
  uint32_t shard;
  char owner[RR_NAME_MAX + 1]; /* name of this daemon */
  uint64_t incarnation;        /* of this daemon; unique per process */
  size_t snapshot_max;         /* bytes; 0: RR_SNAPSHOT_MAX */
  uint32_t requests_max;       /* requests kept; 0: 20,000 */
  int64_t retry_min_ms;        /* first retry delay of store calls; 0: 200 */
  int64_t retry_max_ms;        /* longest retry delay; 0: 5,000 */
  uint64_t seed;               /* of the retry jitter */
};

enum rr_shard_log_state
{
  RR_SHARD_IDLE = 0,    /* not the owner, no takeover in progress */
  RR_SHARD_TAKING_OVER, /* reading the log or appending the ownership record */
  RR_SHARD_OWNER,       /* ownership record confirmed */
  RR_SHARD_RELEASING,   /* the "released" record is queued or in flight */
  RR_SHARD_HALTED       /* the store was rolled back or is corrupt */
};

/* Outcome of a queued record.  */
enum rr_commit
{
  RR_COMMITTED = 0, /* in the log; see `applied` */
  RR_COMMIT_LOST,   /* certainly not written, now or later */
  RR_COMMIT_UNKNOWN /* possibly written */
};

enum rr_shard_output_kind
{
  RR_SHARD_READ = 0,  /* read `key`, then call rr_shard_log_complete */
  RR_SHARD_WRITE,     /* compare-and-swap `key`, then the same call */
  RR_SHARD_SETTLED,   /* the record with `token` has an outcome */
  RR_SHARD_OWNED,     /* takeover complete: the caller may act on the state */
  RR_SHARD_CONFIRMED, /* rr_shard_log_confirm: still the owner */
  RR_SHARD_LOST,      /* another daemon owns the shard, or takeover failed */
  RR_SHARD_RELEASED,  /* the "released" record is committed */
  RR_SHARD_ALARM      /* halted, see `reason` */
};

/* A store call for the caller to make, or an event.  */
struct rr_shard_output
{
  enum rr_shard_output_kind kind;
  uint64_t call_id;       /* READ, WRITE: identifies the call */
  char key[RR_KEY_SIZE];  /* READ, WRITE */
  const uint8_t *value;   /* WRITE; binary, valid until the next call */
  size_t length;          /* WRITE */
  uint64_t expect;        /* WRITE: expected revision; 0: key absent */
  uint64_t token;         /* SETTLED: as given to rr_shard_log_append */
  enum rr_commit commit;  /* SETTLED */
  bool applied;           /* SETTLED, committed: false if the state rejected
                             the record, see `reason` */
  struct rr_error reason; /* SETTLED, LOST, ALARM */
};

enum rr_kv_status
{
  RR_KV_OK = 0,
  RR_KV_CONFLICT,    /* write: the revision differs; the result holds the
                        current value and revision (0: key absent) */
  RR_KV_NO_RESPONSE, /* a write may have taken effect or still will */
  RR_KV_NOT_SENT     /* a write certainly has no effect */
};

/* Result of a store read or write.  */
struct rr_kv_result
{
  enum rr_kv_status status;
  uint64_t revision;    /* of the key; 0 for a read of an absent key */
  const uint8_t *value; /* of a read or conflict; null: key absent */
  size_t length;
};

struct rr_shard_log_stats
{
  uint64_t appends;
  uint64_t append_retries;
  uint64_t records;
  uint64_t snapshots;
  uint64_t takeovers;
  uint64_t losses;
  uint64_t unknown;
  uint64_t rejected_full;
};

/* Replicated log of one shard (design section 5.1): a ring of entries in the
   key-value store, each appended by compare-and-swap, and two snapshot keys.
   It does no I/O itself.  After every other call, and at the time returned by
   rr_shard_log_wakeup, the caller calls rr_shard_log_next_output until it
   returns false and handles each output.  The caller completes every READ and
   WRITE exactly once with rr_shard_log_complete, a timed-out call with
   RR_KV_NO_RESPONSE.  A result that arrives after that may be dropped; the log
   ignores it.

   The effect of a record must not become visible before the record is SETTLED
   as committed and applied.  A committed record is rejected (applied is false)
   if an earlier record made it meaningless, such as a second grant for a
   request.  After a pause of the process the caller calls rr_shard_log_confirm
   and does not act as the owner until rr_shard_log_is_owner is true again.  */
struct rr_shard_log;

struct rr_shard_log *
rr_shard_log_new (const struct rr_shard_log_options *options);
void rr_shard_log_free (struct rr_shard_log *l);
bool rr_shard_log_take_over (struct rr_shard_log *l, struct rr_time now,
                             int64_t wall_ms, struct rr_error *err);
bool rr_shard_log_append (struct rr_shard_log *l, const struct rr_record *r,
                          uint64_t token, struct rr_time now,
                          struct rr_error *err);
bool rr_shard_log_confirm (struct rr_shard_log *l, struct rr_time now);
bool rr_shard_log_release (struct rr_shard_log *l, const char *successor,
                           struct rr_time now, int64_t wall_ms,
                           struct rr_error *err);
void rr_shard_log_drop (struct rr_shard_log *l, struct rr_time now);
void rr_shard_log_accept_rewind (struct rr_shard_log *l);
bool rr_shard_log_next_output (struct rr_shard_log *l, struct rr_time now,
                               struct rr_shard_output *out);
void rr_shard_log_complete (struct rr_shard_log *l, uint64_t call_id,
                            const struct rr_kv_result *result,
                            struct rr_time now);
bool rr_shard_log_wakeup (const struct rr_shard_log *l, struct rr_time *at);
enum rr_shard_log_state rr_shard_log_state (const struct rr_shard_log *l);
bool rr_shard_log_is_owner (const struct rr_shard_log *l);
bool rr_shard_log_is_stalled (const struct rr_shard_log *l);
uint64_t rr_shard_log_epoch (const struct rr_shard_log *l);
struct rr_time rr_shard_log_confirmed_at (const struct rr_shard_log *l);
struct rr_shard_state *rr_shard_log_shard_state (const struct rr_shard_log *l);
const struct rr_shard_log_stats *
rr_shard_log_stats (const struct rr_shard_log *l);

#endif
