#ifndef ROSEMARYRAIL_SHARD_LOG_H
#define ROSEMARYRAIL_SHARD_LOG_H

#include "rosemaryrail/shard_state.h"

enum
{
  /* With 32 slots a shard at its full entry rate wrote 141 to 182 KB/s of
     snapshots; the length of the ring divides that.  */
  RR_RING_SLOTS = 256,
  /* A snapshot is due after this many entries, less than half a turn, so that
     retries of the snapshot fit before the ring may not advance further.  */
  RR_SNAPSHOT_INTERVAL = 120,
  /* Reads of one takeover in flight at once: the store sustains about 2,000
     reads per second for all its clients.  */
  RR_TAKEOVER_READS_MAX = 16,
  RR_APPEND_INTERVAL_MS = 100, /* 16 shards: 160 writes/s at most */
  RR_ENTRY_MAX = 128 * 1024,   /* bytes of one ring entry */
  /* Records that may wait for an append; a daemon that repeats reports during
     an outage is stopped here.  */
  RR_QUEUE_MAX = 8192,
  RR_KEY_SIZE = 48
};

struct rr_shard_log_options
{
  uint32_t shard;
  char owner[RR_NAME_MAX + 1]; /* this daemon */
  uint64_t incarnation;        /* of this daemon; unique per process */
  size_t snapshot_max;         /* bytes; 0: RR_SNAPSHOT_MAX */
  uint32_t requests_max;       /* requests kept; 0: 20,000 */
  int64_t retry_min_ms;        /* first retry of store calls; 0: 200 */
  int64_t retry_max_ms;        /* longest; 0: 5,000 */
  uint64_t seed;               /* jitter of retries */
};

enum rr_shard_log_state
{
  RR_SHARD_IDLE = 0,    /* not owner, nothing to do */
  RR_SHARD_TAKING_OVER, /* reading, or appending the ownership record */
  RR_SHARD_OWNER,       /* ownership record confirmed */
  RR_SHARD_RELEASING,   /* the released record is queued or in flight */
  RR_SHARD_HALTED       /* the store went backwards or is damaged */
};

/* Result of a queued record.  */
enum rr_commit
{
  RR_COMMITTED = 0, /* in the log; see `applied` */
  RR_COMMIT_LOST,   /* provably not written, and never will be */
  RR_COMMIT_UNKNOWN /* may or may not be written */
};

enum rr_shard_output_kind
{
  RR_SHARD_READ = 0,  /* read `key`, feed back rr_shard_log_complete */
  RR_SHARD_WRITE,     /* compare-and-swap `key`, feed back as above */
  RR_SHARD_SETTLED,   /* the record with `token` has an outcome */
  RR_SHARD_OWNED,     /* takeover confirmed; state may be acted on */
  RR_SHARD_CONFIRMED, /* rr_shard_log_confirm: still the owner */
  RR_SHARD_LOST,      /* another daemon owns the shard, or takeover lost */
  RR_SHARD_RELEASED,  /* the released record is confirmed */
  RR_SHARD_ALARM      /* halted; `reason` says why */
};

/* Something the caller has to carry out or to know.  */
struct rr_shard_output
{
  enum rr_shard_output_kind kind;
  uint64_t ticket;        /* READ, WRITE */
  char key[RR_KEY_SIZE];  /* READ, WRITE */
  const uint8_t *value;   /* WRITE; binary, valid until the next call */
  size_t length;          /* WRITE */
  uint64_t expect;        /* WRITE: expected revision; 0: absent */
  uint64_t token;         /* SETTLED */
  enum rr_commit commit;  /* SETTLED */
  bool applied;           /* SETTLED, committed: the record changed the state;
                             false: it was refused, see `reason` */
  struct rr_error reason; /* SETTLED, LOST, ALARM */
};

enum rr_kv_status
{
  RR_KV_OK = 0,
  RR_KV_CONFLICT,    /* write: revision differs; value and revision are current
                        (revision 0: absent) */
  RR_KV_NO_RESPONSE, /* may have taken effect, now or later */
  RR_KV_NOT_SENT     /* certainly has no effect */
};

/* Result of a read or write.  */
struct rr_kv_result
{
  enum rr_kv_status status;
  uint64_t revision;    /* of the key; read of an absent key: 0 */
  const uint8_t *value; /* read, conflict; null: absent */
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

/* State machine of one shard's log (design section 5.1).  The caller drives
   it: after every other call, and when rr_shard_log_wakeup says so, it calls
   rr_shard_log_next_output until that returns false and carries out each
   output. Every READ and WRITE is answered exactly once with
   rr_shard_log_complete; a call that timed out is answered with
   RR_KV_NO_RESPONSE, and whatever arrives for its ticket afterwards may be
   dropped or passed on (it is ignored).

   Nothing becomes visible before its record is SETTLED as committed and
   applied.  A record may be committed but refused (applied is false) when an
   earlier record made it meaningless, such as a second grant for a request.
   After a pause of the process call rr_shard_log_confirm and act only once
   rr_shard_log_is_owner is true again.  */
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
void rr_shard_log_complete (struct rr_shard_log *l, uint64_t ticket,
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
