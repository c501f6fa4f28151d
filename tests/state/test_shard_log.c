#include <endian.h>
#include <stdio.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "fake_store.h"
#include "unit.h"

struct fixture
{
  struct fake_store store;
  struct rr_shard_log *log;
  int64_t now;
  int writes; /* to the ring */
  int committed;
  int refused;
  int lost;
  int unknown;
  int alarms;
  struct rr_error reason;
};

static struct rr_shard_log *
new_log (size_t snapshot_max, uint32_t requests_max)
{
  struct rr_shard_log_options o = { .shard = 1,
                                    .owner = "A",
                                    .incarnation = 1,
                                    .snapshot_max = snapshot_max,
                                    .requests_max = requests_max };
  return rr_shard_log_new (&o);
}

static void
count_settled (struct fixture *b, const struct rr_shard_output *out)
{
  b->committed += out->commit == RR_COMMITTED;
  b->refused += out->commit == RR_COMMITTED && !out->applied;
  b->lost += out->commit == RR_COMMIT_LOST;
  b->unknown += out->commit == RR_COMMIT_UNKNOWN;
}

/* Handles all pending outputs; store calls complete immediately.  */
static void
handle_outputs (struct fixture *b)
{
  struct rr_shard_output out;
  struct rr_time now = rr_time_from_ms (b->now);
  while (rr_shard_log_next_output (b->log, now, &out))
    {
      struct rr_kv_result r = { 0 };
      switch (out.kind)
        {
        case RR_SHARD_READ:
          store_read (&b->store, out.key, &r);
          rr_shard_log_complete (b->log, out.call_id, &r, now);
          break;
        case RR_SHARD_WRITE:
          b->writes += strstr (out.key, "/ring/") != NULL;
          store_write (&b->store, out.key, out.value, out.length, out.expect,
                       &r);
          rr_shard_log_complete (b->log, out.call_id, &r, now);
          break;
        case RR_SHARD_SETTLED:
          count_settled (b, &out);
          break;
        case RR_SHARD_ALARM:
          b->alarms++;
          b->reason = out.reason;
          break;
        case RR_SHARD_OWNED:
        case RR_SHARD_CONFIRMED:
        case RR_SHARD_LOST:
        case RR_SHARD_RELEASED:
          break;
        }
    }
}

static void
take_over (struct fixture *b)
{
  ck_assert (
      rr_shard_log_take_over (b->log, rr_time_from_ms (b->now), b->now, NULL));
  for (int i = 0; i < 100; i++)
    {
      handle_outputs (b);
      b->now += 100;
    }
}

static bool
append (struct fixture *b, struct rr_record r, struct rr_error *err)
{
  return rr_shard_log_append (b->log, &r, 1, rr_time_from_ms (b->now), err);
}

static void
fixture_free (struct fixture *b)
{
  rr_shard_log_free (b->log);
  store_free (&b->store);
}

/* Guards against more than one write per 100 ms and against two appends in
   flight: records queued in the meantime go into the next entry together.  */
START_TEST (appends_are_grouped)
{
  struct fixture b = { .log = new_log (0, 0) };
  take_over (&b);
  b.writes = 0;
  char name[16];
  for (int ms = 0; ms < 1000; ms++)
    {
      snprintf (name, sizeof name, "r%d", ms);
      ck_assert (append (&b, unit_granted (name, 1, 1), NULL));
      b.now++;
      handle_outputs (&b);
    }
  ck_assert_int_le (b.writes, 11);
  ck_assert_int_ge (b.writes, 9);
  b.now += 100;
  handle_outputs (&b);
  ck_assert_int_eq (b.committed, 1000);
  struct rr_shard_output out;
  ck_assert (append (&b, unit_job ("x", 1), NULL));
  b.now += 100;
  ck_assert (rr_shard_log_next_output (b.log, rr_time_from_ms (b.now), &out));
  while (out.kind != RR_SHARD_WRITE || strstr (out.key, "/ring/") == NULL)
    ck_assert (
        rr_shard_log_next_output (b.log, rr_time_from_ms (b.now), &out));
  ck_assert (append (&b, unit_job ("y", 1), NULL));
  b.now += 1000;
  ck_assert (!rr_shard_log_next_output (b.log, rr_time_from_ms (b.now), &out));
  fixture_free (&b);
}
END_TEST

/* Guards against entries larger than RR_ENTRY_MAX: a burst of records is split
   into several entries without losing any record.  */
START_TEST (bursts_are_split_into_entries)
{
  struct fixture b = { .log = new_log (0, 0) };
  take_over (&b);
  char name[16];
  int queued = 0;
  for (int i = 0; i < 60; i++)
    {
      snprintf (name, sizeof name, "r%d", i);
      ck_assert (append (&b, unit_granted (name, 1, 1), NULL));
      ck_assert (
          append (&b, unit_result (name, 1, 1, RR_REQUEST_ANSWERED), NULL));
      queued += 2;
    }
  b.writes = 0;
  b.now += 100;
  handle_outputs (&b);
  ck_assert_int_eq (b.writes, 1);
  ck_assert_int_lt (b.committed, queued);
  for (int i = 0; i < 5; i++)
    {
      b.now += 100;
      handle_outputs (&b);
    }
  ck_assert_int_eq (b.committed, queued);
  ck_assert_int_eq (b.refused, 0);
  for (int i = 0; i < b.store.count; i++)
    ck_assert_uint_le (b.store.values[i].length,
                       strstr (b.store.values[i].key, "/ring/") != NULL
                           ? RR_ENTRY_MAX + 1024
                           : RR_SNAPSHOT_MAX);
  fixture_free (&b);
}
END_TEST

/* Guards against a state that exceeds the largest value of the platform: a
   full shard rejects new work with a reason, continues accepted work and
   records outcomes even if there is no capacity for their bodies.  */
START_TEST (full_shard_rejects_new_work)
{
  struct fixture b = { .log = new_log (60000, 0) };
  take_over (&b);
  ck_assert (append (&b, unit_granted ("r1", 1, 1), NULL));
  struct rr_error err = { 0 };
  char name[16];
  int jobs = 0;
  do
    snprintf (name, sizeof name, "job-%d", jobs++);
  while (append (&b, unit_job (name, 10), &err));
  ck_assert_int_eq (err.code, RR_ERROR_LIMIT);
  ck_assert_ptr_nonnull (strstr (err.message, "full"));
  b.now += 100;
  handle_outputs (&b);
  rr_error_clear (&err);
  while (append (&b, unit_granted (name, 1, 1), &err))
    {
      snprintf (name, sizeof name, "q-%d", jobs++);
      b.now += 100;
      handle_outputs (&b);
    }
  ck_assert_int_eq (err.code, RR_ERROR_LIMIT);
  ck_assert (append (&b, unit_placed ("job-0", 0, 1), NULL));
  ck_assert (append (&b, unit_result ("r1", 1, 1, RR_REQUEST_ANSWERED), NULL));
  b.now += 100;
  handle_outputs (&b);
  b.now += 100;
  handle_outputs (&b);
  const struct rr_shard_state *s = rr_shard_log_shard_state (b.log);
  struct rr_request_entry e = rr_request_log_find (s->requests, "r1");
  ck_assert_int_eq (e.state, RR_REQUEST_DONE);
  ck_assert_uint_eq (e.status, 200);
  ck_assert (!e.body_kept);
  ck_assert_uint_le (rr_shard_state_size (s), 60000);
  ck_assert_uint_gt (rr_shard_log_stats (b.log)->rejected_full, 0);
  fixture_free (&b);
}
END_TEST

/* Guards against an unbounded number of requests.  */
START_TEST (request_count_is_bounded)
{
  struct fixture b = { .log = new_log (0, 3) };
  take_over (&b);
  struct rr_error err = { 0 };
  char name[16];
  for (int i = 0; i < 3; i++)
    {
      snprintf (name, sizeof name, "r%d", i);
      ck_assert (append (&b, unit_granted (name, 1, 1), NULL));
    }
  /* Queued grants count as well as recorded ones.  */
  for (int i = 0; i < 2; i++)
    {
      ck_assert (!append (&b, unit_granted ("r3", 1, 1), &err));
      ck_assert_int_eq (err.code, RR_ERROR_LIMIT);
      rr_error_clear (&err);
      b.now += 100;
      handle_outputs (&b);
    }
  struct rr_record r = { .kind = RR_RECORD_REQUESTS_EXPIRED };
  r.u.requests_expired.until_ms = 100000;
  ck_assert (append (&b, r, NULL));
  b.now += 100;
  handle_outputs (&b);
  ck_assert (append (&b, unit_granted ("r3", 1, 1), NULL));
  fixture_free (&b);
}
END_TEST

enum
{
  FILLED = RR_SNAPSHOT_INTERVAL + 8
};

/* Writes FILLED entries and a snapshot to the store of B and frees the log
   that wrote them.  */
static void
fill_store (struct fixture *b)
{
  take_over (b);
  char name[16];
  for (int i = 0; i < FILLED; i++)
    {
      snprintf (name, sizeof name, "job-%d", i);
      ck_assert (append (b, unit_job (name, 1), NULL));
      b->now += 100;
      handle_outputs (b);
    }
  ck_assert_uint_gt (rr_shard_log_shard_state (b->log)->sequence, FILLED);
  ck_assert_uint_eq (rr_shard_log_stats (b->log)->snapshots, 1);
  rr_shard_log_free (b->log);
  b->log = NULL;
}

/* Runs a takeover from STORE up to the ownership record, which is not written.
   Returns whether it raised an alarm.  */
static bool
takeover_raises_alarm (struct fake_store *store)
{
  struct rr_shard_log *log = new_log (0, 0);
  int alarms = 0;
  int64_t ms = 0;
  ck_assert (rr_shard_log_take_over (log, rr_time_from_ms (0), 0, NULL));
  for (int i = 0; i < 40 && alarms == 0; i++, ms += 1000)
    {
      struct rr_shard_output out;
      while (rr_shard_log_next_output (log, rr_time_from_ms (ms), &out))
        {
          struct rr_kv_result r = { 0 };
          alarms += out.kind == RR_SHARD_ALARM;
          if (out.kind != RR_SHARD_READ)
            continue;
          store_read (store, out.key, &r);
          rr_shard_log_complete (log, out.call_id, &r, rr_time_from_ms (ms));
        }
    }
  rr_shard_log_free (log);
  return alarms > 0;
}

/* Guards against a takeover that restores a partial state: any corrupt byte or
   truncation must raise an alarm.  */
START_TEST (damaged_store_raises_an_alarm)
{
  struct fixture b = { .log = new_log (0, 0) };
  fill_store (&b);
  ck_assert (!takeover_raises_alarm (&b.store));
  for (int k = 0; k < b.store.count; k++)
    for (size_t at = 0; at < b.store.values[k].length; at += 13)
      {
        struct store_value *v = &b.store.values[k];
        struct store_value whole = *v;
        bool snapshot = strstr (v->key, "/snapshot/") != NULL;
        v->data = malloc (whole.length);
        memcpy (v->data, whole.data, whole.length);
        v->data[at] ^= 0x40;
        if (at % 2 == 1)
          v->length = at;
        /* Only one of the two snapshots is current; corruption of the other
           one is harmless.  */
        ck_assert_msg (takeover_raises_alarm (&b.store) || snapshot,
                       "%s at %zu", v->key, at);
        free (v->data);
        *v = whole;
      }
  store_free (&b.store);
}
END_TEST

/* Guards against reads past the end of a malformed ring entry whose checksum
   is correct, as a faulty version could write it.  */
START_TEST (malformed_entries_are_read_safely)
{
  static const uint8_t values[] = { 0, 1, 0x7f, 0xff };
  struct fixture b = { .log = new_log (0, 0) };
  fill_store (&b);
  char key[RR_KEY_SIZE];
  snprintf (key, sizeof key, "shard/1/ring/%d", FILLED);
  struct store_value *v = store_find (&b.store, key);
  ck_assert_ptr_nonnull (v);
  uint8_t *whole = v->data;
  size_t body = v->length - 8;
  for (size_t at = 0; at < body; at++)
    for (size_t i = 0; i < sizeof values; i++)
      {
        v->data = malloc (v->length);
        memcpy (v->data, whole, v->length);
        v->data[at] = values[i];
        uint64_t sum = htobe64 (XXH3_64bits (v->data, body));
        memcpy (v->data + body, &sum, sizeof sum);
        takeover_raises_alarm (&b.store);
        free (v->data);
      }
  v->data = whole;
  store_free (&b.store);
}
END_TEST

/* Guards against an unbounded queue during an outage of the store.  */
START_TEST (queue_is_bounded)
{
  struct fixture b = { .log = new_log (0, 0) };
  take_over (&b);
  struct rr_error err = { 0 };
  int n = 0;
  while (n <= RR_QUEUE_MAX && append (&b, unit_running ("x", 0, 1), &err))
    n++;
  ck_assert_int_eq (n, RR_QUEUE_MAX);
  ck_assert_int_eq (err.code, RR_ERROR_LIMIT);
  for (int i = 0; i < 20; i++)
    {
      b.now += 100;
      handle_outputs (&b);
    }
  ck_assert_int_eq (b.committed, RR_QUEUE_MAX);
  ck_assert_int_eq (b.refused, RR_QUEUE_MAX);
  ck_assert (append (&b, unit_running ("x", 0, 1), NULL));
  fixture_free (&b);
}
END_TEST

/* Guards against records without an outcome when the owner drops the shard:
   records that were not sent are lost, the outcome of the others is
   unknown.  */
START_TEST (every_record_gets_an_outcome)
{
  struct fixture b = { .log = new_log (0, 0) };
  take_over (&b);
  struct rr_shard_output out;
  ck_assert (append (&b, unit_job ("a", 1), NULL));
  b.now += 100;
  ck_assert (rr_shard_log_next_output (b.log, rr_time_from_ms (b.now), &out));
  ck_assert_int_eq (out.kind, RR_SHARD_WRITE);
  ck_assert (append (&b, unit_job ("b", 1), NULL));
  rr_shard_log_drop (b.log, rr_time_from_ms (b.now));
  uint64_t late = out.call_id;
  handle_outputs (&b);
  ck_assert_int_eq (b.unknown, 1);
  ck_assert_int_eq (b.lost, 1);
  struct rr_kv_result r = { .revision = 99 };
  rr_shard_log_complete (b.log, late, &r, rr_time_from_ms (b.now));
  ck_assert_int_eq (rr_shard_log_state (b.log), RR_SHARD_IDLE);
  struct rr_error err = { 0 };
  ck_assert (!append (&b, unit_job ("c", 1), &err));
  ck_assert_int_eq (err.code, RR_ERROR_UNAVAILABLE);
  fixture_free (&b);
}
END_TEST

enum
{
  CALLS_MAX = 64
};

/* Reads of a takeover that are in flight.  */
struct pending_reads
{
  struct rr_shard_output call[CALLS_MAX];
  int count;
  int reads; /* issued in total */
};

/* Collects the reads that are issued now; writes complete immediately.  */
static void
collect_reads (struct fixture *b, struct pending_reads *c)
{
  struct rr_time now = rr_time_from_ms (b->now);
  struct rr_shard_output out;
  while (rr_shard_log_next_output (b->log, now, &out))
    {
      struct rr_kv_result r = { 0 };
      if (out.kind == RR_SHARD_READ)
        {
          ck_assert_int_lt (c->count, CALLS_MAX);
          c->call[c->count++] = out;
          c->reads++;
        }
      else if (out.kind == RR_SHARD_WRITE)
        {
          store_write (&b->store, out.key, out.value, out.length, out.expect,
                       &r);
          rr_shard_log_complete (b->log, out.call_id, &r, now);
        }
    }
}

/* Completes the collected read I from the store if STATUS is RR_KV_OK, else
   with STATUS.  */
static void
answer_read (struct fixture *b, struct pending_reads *c, int i,
             enum rr_kv_status status)
{
  struct rr_kv_result r = { .status = status };
  if (status == RR_KV_OK)
    store_read (&b->store, c->call[i].key, &r);
  uint64_t call_id = c->call[i].call_id;
  c->call[i] = c->call[--c->count];
  rr_shard_log_complete (b->log, call_id, &r, rr_time_from_ms (b->now));
}

/* Guards against a takeover that exceeds RR_TAKEOVER_READS_MAX, that requests
   a wakeup while it can only wait for responses, or that reads a key twice. */
START_TEST (takeover_reads_are_bounded)
{
  struct fixture b = { .log = new_log (0, 0) };
  fill_store (&b);
  b.log = new_log (0, 0);
  struct pending_reads c = { .count = 0 };
  struct rr_time at;
  ck_assert (
      rr_shard_log_take_over (b.log, rr_time_from_ms (b.now), b.now, NULL));
  collect_reads (&b, &c);
  ck_assert_int_eq (c.count, RR_TAKEOVER_READS_MAX);
  for (int i = 0; c.count > 0; i++)
    {
      ck_assert_int_le (c.count, RR_TAKEOVER_READS_MAX);
      ck_assert (c.count < RR_TAKEOVER_READS_MAX
                 || !rr_shard_log_wakeup (b.log, &at));
      b.now++;
      answer_read (&b, &c, (7 * i) % c.count, RR_KV_OK);
      collect_reads (&b, &c);
    }
  ck_assert_int_eq (c.reads, RR_RING_SLOTS + 2);
  ck_assert (rr_shard_log_is_owner (b.log));
  fixture_free (&b);
}
END_TEST

/* Simulates MS of an outage in which reads complete with STATUS after a
   second.  Returns the largest number of reads in flight.  */
static int
run_outage (struct fixture *b, struct pending_reads *c, int ms,
            enum rr_kv_status status)
{
  int most = 0;
  for (int i = 0; i < ms; i += 100, b->now += 100)
    {
      if (i % 1000 == 0)
        while (c->count > 0)
          answer_read (b, c, 0, status);
      collect_reads (b, c);
      most = c->count > most ? c->count : most;
      struct rr_time at;
      ck_assert (!rr_shard_log_wakeup (b->log, &at)
                 || rr_time_before (rr_time_from_ms (b->now), at));
    }
  return most;
}

/* Guards against a takeover that reads all slots in each retry during an
   outage.  After the first reads it must issue only one per retry delay, also
   if it is restarted, and must succeed once the store is available again.  */
START_TEST (outage_costs_one_read_per_retry)
{
  static const enum rr_kv_status kinds[]
      = { RR_KV_NO_RESPONSE, RR_KV_NOT_SENT };
  struct fixture b = { .log = new_log (0, 0) };
  fill_store (&b);
  for (size_t k = 0; k < sizeof kinds / sizeof kinds[0]; k++)
    {
      b.log = new_log (0, 0);
      struct pending_reads c = { .count = 0 };
      ck_assert (rr_shard_log_take_over (b.log, rr_time_from_ms (b.now), b.now,
                                         NULL));
      ck_assert_int_eq (run_outage (&b, &c, 2000, kinds[k]),
                        RR_TAKEOVER_READS_MAX);
      c.reads = 0;
      ck_assert_int_eq (run_outage (&b, &c, 120000, kinds[k]), 1);
      /* Retry delays of 2.5 to 5 s, plus a second until the response.  */
      ck_assert_int_ge (c.reads, 120 / 7);
      ck_assert_int_le (c.reads, 120 / 3);
      rr_shard_log_drop (b.log, rr_time_from_ms (b.now));
      ck_assert (rr_shard_log_take_over (b.log, rr_time_from_ms (b.now), b.now,
                                         NULL));
      c.count = 0;
      ck_assert_int_eq (run_outage (&b, &c, 20000, kinds[k]), 1);
      c.reads = 0;
      for (int i = 0; i < 100 && !rr_shard_log_is_owner (b.log); i++)
        {
          while (c.count > 0)
            answer_read (&b, &c, 0, RR_KV_OK);
          b.now += 100;
          collect_reads (&b, &c);
          ck_assert_int_le (c.count, RR_TAKEOVER_READS_MAX);
        }
      ck_assert (rr_shard_log_is_owner (b.log));
      ck_assert_int_le (c.reads, RR_RING_SLOTS + 2);
      rr_shard_log_free (b.log);
    }
  store_free (&b.store);
}
END_TEST

/* Guards against a takeover that never succeeds, or loses entries written in
   the meantime, while the previous owner appends at its full rate.  With 6 ms
   per call, reading the ring takes longer than the owner's append interval. */
START_TEST (takeover_succeeds_against_busy_owner)
{
  struct fixture b = { .log = new_log (0, 0) };
  fill_store (&b);
  struct fixture owner = { .store = b.store, .log = new_log (0, 0) };
  owner.now = b.now;
  take_over (&owner);
  b.log = new_log (0, 0);
  b.now = owner.now;
  struct pending_reads c = { .count = 0 };
  ck_assert (
      rr_shard_log_take_over (b.log, rr_time_from_ms (b.now), b.now, NULL));
  int written = 0;
  char name[16];
  for (int i = 0; i < 500 && !rr_shard_log_is_owner (b.log); i++)
    {
      if (i % 17 == 12)
        {
          snprintf (name, sizeof name, "late-%d", written++);
          ck_assert (append (&owner, unit_job (name, 1), NULL));
          handle_outputs (&owner);
        }
      b.store = owner.store;
      while (c.count > 0)
        answer_read (&b, &c, 0, RR_KV_OK);
      collect_reads (&b, &c);
      owner.store = b.store;
      b.now += 6;
      owner.now = b.now;
    }
  ck_assert (rr_shard_log_is_owner (b.log));
  ck_assert_int_gt (written, 0);
  ck_assert_int_eq (owner.committed, written);
  struct rr_shard_state *s = rr_shard_log_shard_state (b.log);
  for (int i = 0; i < written; i++)
    {
      snprintf (name, sizeof name, "late-%d", i);
      ck_assert_ptr_nonnull (rr_job_store_find (s->jobs, name));
    }
  ck_assert_int_eq (c.reads, RR_RING_SLOTS + 2);
  rr_shard_log_free (owner.log);
  fixture_free (&b);
}
END_TEST

int
main (void)
{
  const TTest *const tests[] = { appends_are_grouped,
                                 bursts_are_split_into_entries,
                                 full_shard_rejects_new_work,
                                 request_count_is_bounded,
                                 damaged_store_raises_an_alarm,
                                 malformed_entries_are_read_safely,
                                 every_record_gets_an_outcome,
                                 queue_is_bounded,
                                 takeover_reads_are_bounded,
                                 outage_costs_one_read_per_retry,
                                 takeover_succeeds_against_busy_owner };
  return unit_run ("shard_log", tests, sizeof tests / sizeof tests[0]);
}
