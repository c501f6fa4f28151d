#include <stdio.h>
#include <string.h>

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
  while (rr_shard_log_next (b->log, now, &out))
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
  ck_assert (rr_shard_log_next (b.log, rr_time_from_ms (b.now), &out));
  while (out.kind != RR_SHARD_WRITE || strstr (out.key, "/ring/") == NULL)
    ck_assert (rr_shard_log_next (b.log, rr_time_from_ms (b.now), &out));
  ck_assert (append (&b, unit_job ("y", 1), NULL));
  b.now += 1000;
  ck_assert (!rr_shard_log_next (b.log, rr_time_from_ms (b.now), &out));
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
  const struct rr_shard_state *s = rr_shard_log_data (b.log);
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

/* Guards against reads past the end, and against folding a part of the state,
   when any byte that a takeover reads is damaged.  */
START_TEST (damaged_store_raises_an_alarm)
{
  struct bench b = { .log = new_log (0, 0) };
  take (&b);
  char name[16];
  for (int i = 0; i < 20; i++)
    {
      snprintf (name, sizeof name, "job-%d", i);
      ck_assert (append (&b, unit_job (name, 1), NULL));
      b.now += 100;
      drive (&b);
    }
  uint64_t total = rr_shard_log_data (b.log)->sequence;
  rr_shard_log_free (b.log);
  for (int k = 0; k < b.store.count; k++)
    for (size_t at = 0; at < b.store.values[k].length; at += 13)
      {
        struct bench c = { .log = new_log (0, 0), .store = b.store };
        struct store_value *v = &c.store.values[k];
        uint8_t *whole = v->data;
        size_t length = v->length;
        bool snapshot = strstr (v->key, "/snapshot/") != NULL;
        v->data = malloc (length);
        memcpy (v->data, whole, length);
        v->data[at] ^= 0x40;
        if (at % 2 == 1)
          v->length = at;
        ck_assert (
            rr_shard_log_take_over (c.log, rr_time_from_ms (0), 0, NULL));
        /* Stops before the ownership record is written to the shared
           store.  */
        for (int i = 0; i < 40 && c.alarms == 0; i++)
          {
            struct rr_shard_output out;
            while (rr_shard_log_next (c.log, rr_time_from_ms (c.now), &out))
              {
                struct rr_kv_result r = { 0 };
                c.alarms += out.kind == RR_SHARD_ALARM;
                if (out.kind != RR_SHARD_READ)
                  continue;
                store_read (&c.store, out.key, &r);
                rr_shard_log_complete (c.log, out.ticket, &r,
                                       rr_time_from_ms (c.now));
              }
            c.now += 1000;
          }
        /* One of two snapshots is not in force, and its damage is
           harmless.  */
        ck_assert_msg (c.alarms == 1 || snapshot, "%s at %zu", v->key, at);
        rr_shard_log_free (c.log);
        free (v->data);
        v->data = whole;
        v->length = length;
      }
  ck_assert_uint_gt (total, 20);
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
  ck_assert (rr_shard_log_next (b.log, rr_time_from_ms (b.now), &out));
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

int
main (void)
{
  const TTest *const tests[] = { appends_are_grouped,
                                 bursts_are_split_into_entries,
                                 full_shard_rejects_new_work,
                                 request_count_is_bounded,
                                 damaged_store_raises_an_alarm,
                                 every_record_gets_an_outcome,
                                 queue_is_bounded };
  return unit_run ("shard_log", tests, sizeof tests / sizeof tests[0]);
}
