#include "../check_suite.h"

#include <stdio.h>
#include <stdlib.h>

#include "rosemaryentryd/membership_record.h"

static struct rr_recorded_worker
worker (const char *id, bool silent, int64_t expiry_ms)
{
  struct rr_recorded_worker w
      = { .silent = silent, .expiry = rr_time_from_ms (expiry_ms) };
  snprintf (w.id, sizeof w.id, "%s", id);
  return w;
}

static struct membership_record
decode (const char *text)
{
  struct membership_record m;
  struct rr_error err = { 0 };
  ck_assert_msg (
      membership_record_decode (text, rr_time_from_ms (1000), &m, &err), "%s",
      err.message);
  return m;
}

static void
assert_refused (const char *text)
{
  struct membership_record m;
  struct rr_error err = { 0 };
  ck_assert (
      !membership_record_decode (text, rr_time_from_ms (1000), &m, &err));
  ck_assert_str_ne (err.message, "");
  ck_assert_uint_eq (m.worker_count, 0);
}

/* Guards against a wait for silent workers that depends on the clocks of the
   two owners: only the time that is left passes between them.  */
START_TEST (time_left_counts_from_sight)
{
  struct rr_recorded_worker workers[]
      = { worker ("w1", false, 0), worker ("w2", true, 503000),
          worker ("w3", true, 499000) };
  struct membership_record written = {
    .first_block = 5, .last_block = 7, .workers = workers, .worker_count = 3
  };
  char *text = membership_record_encode (&written, rr_time_from_ms (500000));
  struct membership_record read = decode (text);
  ck_assert_int_eq (read.first_block, 5);
  ck_assert_int_eq (read.last_block, 7);
  ck_assert_uint_eq (read.worker_count, 3);
  ck_assert_str_eq (read.workers[0].id, "w1");
  ck_assert (!read.workers[0].silent);
  ck_assert (read.workers[1].silent);
  ck_assert_int_eq (read.workers[1].expiry.ms, 4000);
  ck_assert (read.workers[2].silent);
  ck_assert_int_eq (read.workers[2].expiry.ms, 1000);
  membership_record_clear (&read);
  free (text);
}
END_TEST

/* Guards against a next owner that takes the leases of a restarted worker for
   shorter than they are (TWICE): its life, whether commands to former lives
   are refused there, and the time that is left of what they gave.  */
START_TEST (lives_on_record)
{
  struct rr_recorded_worker workers[]
      = { worker ("w1", false, 0), worker ("w2", false, 503000),
          worker ("w3", false, 499000) };
  workers[0].started_ms = 1779330642849;
  workers[1].unfenced = true;
  struct membership_record written = {
    .first_block = 5, .last_block = 7, .workers = workers, .worker_count = 3
  };
  char *text = membership_record_encode (&written, rr_time_from_ms (500000));
  struct membership_record read = decode (text);
  ck_assert_uint_eq (read.worker_count, 3);
  ck_assert_int_eq (read.workers[0].started_ms, 1779330642849);
  ck_assert (!read.workers[0].unfenced);
  ck_assert_int_eq (read.workers[0].expiry.ms, 0);
  ck_assert (read.workers[1].unfenced);
  ck_assert (!read.workers[1].silent);
  ck_assert_int_eq (read.workers[1].expiry.ms, 4000);
  ck_assert_int_eq (read.workers[2].expiry.ms, 0);
  membership_record_clear (&read);
  free (text);
}
END_TEST

/* Guards against the record of an older daemon, or an odd one, from which a
   worker would pass for one that has not restarted.  */
START_TEST (life_not_given)
{
  const char *const lives[]
      = { "", ",\"lives\":[]", ",\"lives\":{\"w2\":5}",
          ",\"lives\":{\"w1\":-5}", ",\"lives\":{\"w1\":\"5\"}" };
  for (size_t i = 0; i < sizeof lives / sizeof lives[0]; i++)
    {
      char text[128];
      snprintf (text, sizeof text, "{\"ordinal\":2,\"workers\":[\"w1\"]%s}",
                lives[i]);
      struct membership_record m = decode (text);
      ck_assert_msg (m.workers[0].unfenced, "%s", lives[i]);
      membership_record_clear (&m);
    }
}
END_TEST

/* Guards against an older daemon's record that can't be read, and against a
   silence that it does not state.  */
START_TEST (record_without_silence)
{
  struct membership_record m = decode ("{\"ordinal\":2,\"workers\":[\"w1\"]}");
  ck_assert_uint_eq (m.worker_count, 1);
  ck_assert (!m.workers[0].silent);
  membership_record_clear (&m);
}
END_TEST

/* Guards against a time that no owner can have written, which would let tasks
   start that still run.  */
START_TEST (odd_time_left)
{
  const char *const odd[]
      = { "-5000", "1e30", "\"4000\"", "null", "[]", "99999999999999999999" };
  for (size_t i = 0; i < sizeof odd / sizeof odd[0]; i++)
    {
      char text[128];
      snprintf (text, sizeof text,
                "{\"ordinal\":2,\"workers\":[\"w1\"],\"silent\":{\"w1\":%s}}",
                odd[i]);
      struct membership_record m = decode (text);
      ck_assert_uint_eq (m.worker_count, 1);
      ck_assert_msg (!m.workers[0].silent, "%s", odd[i]);
      membership_record_clear (&m);
    }
}
END_TEST

/* Guards against a record that is taken for that of a shard without workers:
   its tasks would start while they run.  */
START_TEST (odd_record)
{
  assert_refused ("");
  assert_refused ("[]");
  assert_refused ("{\"workers\":[\"w1\"]}");
  assert_refused ("{\"ordinal\":2}");
  assert_refused ("{\"ordinal\":2,\"workers\":{}}");
  assert_refused ("{\"ordinal\":2,\"workers\":[\"w1\",7]}");
  assert_refused ("{\"ordinal\":-1,\"workers\":[]}");
  assert_refused ("{\"ordinal\":3,\"first\":4,\"workers\":[]}");
  assert_refused ("{\"ordinal\":3,\"first\":-1,\"workers\":[]}");
  assert_refused ("{\"ordinal\":9223372036854775807,\"workers\":[]}");
}
END_TEST

SUITE ("membership record", time_left_counts_from_sight,
       record_without_silence, lives_on_record, life_not_given, odd_time_left,
       odd_record)
