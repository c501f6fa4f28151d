#include <endian.h>
#include <stdio.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "fake_store.h"
#include "unit.h"

struct bench
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
count_settled (struct bench *b, const struct rr_shard_output *out)
{
  b->committed += out->commit == RR_COMMITTED;
  b->refused += out->commit == RR_COMMITTED && !out->applied;
  b->lost += out->commit == RR_COMMIT_LOST;
  b->unknown += out->commit == RR_COMMIT_UNKNOWN;
}

/* Carries out all outputs at once, with the store answering at once.  */
static void
drive (struct bench *b)
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
          rr_shard_log_complete (b->log, out.ticket, &r, now);
          break;
        case RR_SHARD_WRITE:
          b->writes += strstr (out.key, "/ring/") != NULL;
          store_write (&b->store, out.key, out.value, out.length, out.expect,
                       &r);
          rr_shard_log_complete (b->log, out.ticket, &r, now);
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
take (struct bench *b)
{
  ck_assert (
      rr_shard_log_take_over (b->log, rr_time_from_ms (b->now), b->now, NULL));
  for (int i = 0; i < 100; i++)
    {
      drive (b);
      b->now += 100;
    }
}

static bool
append (struct bench *b, struct rr_record r, struct rr_error *err)
{
  return rr_shard_log_append (b->log, &r, 1, rr_time_from_ms (b->now), err);
}

static void
bench_free (struct bench *b)
{
  rr_shard_log_free (b->log);
  store_free (&b->store);
}

/* Guards against more than one write per 100 ms and against two appends in
   flight: records queued meanwhile share the next entry.  */
START_TEST (appends_are_grouped)
{
  struct bench b = { .log = new_log (0, 0) };
  take (&b);
  b.writes = 0;
  char name[16];
  for (int ms = 0; ms < 1000; ms++)
    {
      snprintf (name, sizeof name, "r%d", ms);
      ck_assert (append (&b, unit_granted (name, 1, 1), NULL));
      b.now++;
      drive (&b);
    }
  ck_assert_int_le (b.writes, 11);
  ck_assert_int_ge (b.writes, 9);
  b.now += 100;
  drive (&b);
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
  bench_free (&b);
}
END_TEST

/* Guards against one huge entry: a burst is split and nothing is dropped.  */
START_TEST (bursts_are_split_into_entries)
{
  struct bench b = { .log = new_log (0, 0) };
  take (&b);
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
  drive (&b);
  ck_assert_int_eq (b.writes, 1);
  ck_assert_int_lt (b.committed, queued);
  for (int i = 0; i < 5; i++)
    {
      b.now += 100;
      drive (&b);
    }
  ck_assert_int_eq (b.committed, queued);
  ck_assert_int_eq (b.refused, 0);
  for (int i = 0; i < b.store.count; i++)
    ck_assert_uint_le (b.store.values[i].length,
                       strstr (b.store.values[i].key, "/ring/") != NULL
                           ? RR_ENTRY_MAX + 1024
                           : RR_SNAPSHOT_MAX);
  bench_free (&b);
}
END_TEST

/* Guards against a shard that outgrows the largest value of the platform: new
   work is rejected with a reason, accepted work goes on, and outcomes are
   recorded even when there is no room for their bodies.  */
START_TEST (full_shard_rejects_new_work)
{
  struct bench b = { .log = new_log (60000, 0) };
  take (&b);
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
  drive (&b);
  rr_error_clear (&err);
  while (append (&b, unit_granted (name, 1, 1), &err))
    {
      snprintf (name, sizeof name, "q-%d", jobs++);
      b.now += 100;
      drive (&b);
    }
  ck_assert_int_eq (err.code, RR_ERROR_LIMIT);
  ck_assert (append (&b, unit_placed ("job-0", 0, 1), NULL));
  ck_assert (append (&b, unit_result ("r1", 1, 1, RR_REQUEST_ANSWERED), NULL));
  b.now += 100;
  drive (&b);
  b.now += 100;
  drive (&b);
  const struct rr_shard_state *s = rr_shard_log_shard_state (b.log);
  struct rr_request_entry e = rr_request_log_find (s->requests, "r1");
  ck_assert_int_eq (e.state, RR_REQUEST_DONE);
  ck_assert_uint_eq (e.status, 200);
  ck_assert (!e.body_kept);
  ck_assert_uint_le (rr_shard_state_size (s), 60000);
  ck_assert_uint_gt (rr_shard_log_stats (b.log)->rejected_full, 0);
  bench_free (&b);
}
END_TEST

/* Guards against requests without bound.  */
START_TEST (request_count_is_bounded)
{
  struct bench b = { .log = new_log (0, 3) };
  take (&b);
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
      drive (&b);
    }
  struct rr_record r = { .kind = RR_RECORD_REQUESTS_EXPIRED };
  r.u.requests_expired.until_ms = 100000;
  ck_assert (append (&b, r, NULL));
  b.now += 100;
  drive (&b);
  ck_assert (append (&b, unit_granted ("r3", 1, 1), NULL));
  bench_free (&b);
}
END_TEST

enum
{
  FILLED = RR_SNAPSHOT_INTERVAL + 8
};

/* Writes FILLED entries, and with them a snapshot, to the store of B and ends
   its owner.  */
static void
fill_store (struct bench *b)
{
  take (b);
  char name[16];
  for (int i = 0; i < FILLED; i++)
    {
      snprintf (name, sizeof name, "job-%d", i);
      ck_assert (append (b, unit_job (name, 1), NULL));
      b->now += 100;
      drive (b);
    }
  ck_assert_uint_gt (rr_shard_log_shard_state (b->log)->sequence, FILLED);
  ck_assert_uint_eq (rr_shard_log_stats (b->log)->snapshots, 1);
  rr_shard_log_free (b->log);
  b->log = NULL;
}

/* Reads STORE as a takeover does and stops before the ownership record is
   written.  Returns whether there was an alarm.  */
static bool
reading_alarms (struct fake_store *store)
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
          rr_shard_log_complete (log, out.ticket, &r, rr_time_from_ms (ms));
        }
    }
  rr_shard_log_free (log);
  return alarms > 0;
}

/* Guards against folding a part of the state when any byte that a takeover
   reads is damaged or cut off.  */
START_TEST (damaged_store_raises_an_alarm)
{
  struct bench b = { .log = new_log (0, 0) };
  fill_store (&b);
  ck_assert (!reading_alarms (&b.store));
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
        /* One of two snapshots is not in force, and its damage is
           harmless.  */
        ck_assert_msg (reading_alarms (&b.store) || snapshot, "%s at %zu",
                       v->key, at);
        free (v->data);
        *v = whole;
      }
  store_free (&b.store);
}
END_TEST

/* Guards against reads past the end when a ring entry is malformed although
   its checksum is right, as written by a faulty version.  */
START_TEST (malformed_entries_do_no_harm)
{
  static const uint8_t values[] = { 0, 1, 0x7f, 0xff };
  struct bench b = { .log = new_log (0, 0) };
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
        reading_alarms (&b.store);
        free (v->data);
      }
  v->data = whole;
  store_free (&b.store);
}
END_TEST

/* Guards against a queue without bound during an outage.  */
START_TEST (queue_is_bounded)
{
  struct bench b = { .log = new_log (0, 0) };
  take (&b);
  struct rr_error err = { 0 };
  int n = 0;
  while (n <= RR_QUEUE_MAX && append (&b, unit_running ("x", 0, 1), &err))
    n++;
  ck_assert_int_eq (n, RR_QUEUE_MAX);
  ck_assert_int_eq (err.code, RR_ERROR_LIMIT);
  for (int i = 0; i < 20; i++)
    {
      b.now += 100;
      drive (&b);
    }
  ck_assert_int_eq (b.committed, RR_QUEUE_MAX);
  ck_assert_int_eq (b.refused, RR_QUEUE_MAX);
  ck_assert (append (&b, unit_running ("x", 0, 1), NULL));
  bench_free (&b);
}
END_TEST

/* Guards against records without an outcome when the owner gives up: what was
   not sent is lost, what was sent is unknown.  */
START_TEST (every_record_gets_an_outcome)
{
  struct bench b = { .log = new_log (0, 0) };
  take (&b);
  struct rr_shard_output out;
  ck_assert (append (&b, unit_job ("a", 1), NULL));
  b.now += 100;
  ck_assert (rr_shard_log_next_output (b.log, rr_time_from_ms (b.now), &out));
  ck_assert_int_eq (out.kind, RR_SHARD_WRITE);
  ck_assert (append (&b, unit_job ("b", 1), NULL));
  rr_shard_log_drop (b.log, rr_time_from_ms (b.now));
  uint64_t late = out.ticket;
  drive (&b);
  ck_assert_int_eq (b.unknown, 1);
  ck_assert_int_eq (b.lost, 1);
  struct rr_kv_result r = { .revision = 99 };
  rr_shard_log_complete (b.log, late, &r, rr_time_from_ms (b.now));
  ck_assert_int_eq (rr_shard_log_state (b.log), RR_SHARD_IDLE);
  struct rr_error err = { 0 };
  ck_assert (!append (&b, unit_job ("c", 1), &err));
  ck_assert_int_eq (err.code, RR_ERROR_UNAVAILABLE);
  bench_free (&b);
}
END_TEST

enum
{
  CALLS_MAX = 64
};

/* Reads of a takeover that the store has not answered yet.  */
struct calls
{
  struct rr_shard_output call[CALLS_MAX];
  int count;
  int reads; /* since the beginning */
};

/* Collects the reads that go out now; writes are carried out at once.  */
static void
collect_reads (struct bench *b, struct calls *c)
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
          rr_shard_log_complete (b->log, out.ticket, &r, now);
        }
    }
}

/* Answers the collected read I from the store, or with STATUS.  */
static void
answer_read (struct bench *b, struct calls *c, int i, enum rr_kv_status status)
{
  struct rr_kv_result r = { .status = status };
  if (status == RR_KV_OK)
    store_read (&b->store, c->call[i].key, &r);
  uint64_t ticket = c->call[i].ticket;
  c->call[i] = c->call[--c->count];
  rr_shard_log_complete (b->log, ticket, &r, rr_time_from_ms (b->now));
}

/* Guards against a takeover that floods the store, that asks to be woken while
   it can only wait for answers, and that reads a key twice.  */
START_TEST (takeover_reads_are_bounded)
{
  struct bench b = { .log = new_log (0, 0) };
  fill_store (&b);
  b.log = new_log (0, 0);
  struct calls c = { .count = 0 };
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
  bench_free (&b);
}
END_TEST

/* Lets MS pass with a store that answers reads with STATUS a second late.
   Returns the largest number of reads in flight.  */
static int
outage (struct bench *b, struct calls *c, int ms, enum rr_kv_status status)
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

/* Guards against an outage in which each retry of a takeover reads all slots:
   after the first reads only one goes out per pause, also when the takeover
   starts over, and the takeover succeeds once the store is back.  */
START_TEST (outage_costs_one_read_per_retry)
{
  static const enum rr_kv_status kinds[]
      = { RR_KV_NO_RESPONSE, RR_KV_NOT_SENT };
  struct bench b = { .log = new_log (0, 0) };
  fill_store (&b);
  for (size_t k = 0; k < sizeof kinds / sizeof kinds[0]; k++)
    {
      b.log = new_log (0, 0);
      struct calls c = { .count = 0 };
      ck_assert (rr_shard_log_take_over (b.log, rr_time_from_ms (b.now), b.now,
                                         NULL));
      ck_assert_int_eq (outage (&b, &c, 2000, kinds[k]),
                        RR_TAKEOVER_READS_MAX);
      c.reads = 0;
      ck_assert_int_eq (outage (&b, &c, 120000, kinds[k]), 1);
      /* Pauses of 2.5 to 5 s, and a second until the answer.  */
      ck_assert_int_ge (c.reads, 120 / 7);
      ck_assert_int_le (c.reads, 120 / 3);
      rr_shard_log_drop (b.log, rr_time_from_ms (b.now));
      ck_assert (rr_shard_log_take_over (b.log, rr_time_from_ms (b.now), b.now,
                                         NULL));
      c.count = 0;
      ck_assert_int_eq (outage (&b, &c, 20000, kinds[k]), 1);
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

/* Guards against a takeover that never succeeds, or loses the entries written
   meanwhile, while the former owner appends at its full rate: with 6 ms per
   call the reading alone takes longer than the owner's interval.  */
START_TEST (takeover_overtakes_a_busy_owner)
{
  struct bench b = { .log = new_log (0, 0) };
  fill_store (&b);
  struct bench owner = { .store = b.store, .log = new_log (0, 0) };
  owner.now = b.now;
  take (&owner);
  b.log = new_log (0, 0);
  b.now = owner.now;
  struct calls c = { .count = 0 };
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
          drive (&owner);
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
  bench_free (&b);
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
                                 malformed_entries_do_no_harm,
                                 every_record_gets_an_outcome,
                                 queue_is_bounded,
                                 takeover_reads_are_bounded,
                                 outage_costs_one_read_per_retry,
                                 takeover_overtakes_a_busy_owner };
  return unit_run ("shard_log", tests, sizeof tests / sizeof tests[0]);
}
