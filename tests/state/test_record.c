#include <string.h>

#include "unit.h"

#include <stdio.h>

enum
{
  SAMPLES = 13,
  BUFFER = 8192
};

static void
make_samples (struct rr_record r[SAMPLES])
{
  memset (r, 0, SAMPLES * sizeof *r);
  r[0].kind = RR_RECORD_OWNERSHIP_TAKEN;
  snprintf (r[0].u.ownership_taken.owner, RR_NAME_MAX, "entry-1");
  r[0].u.ownership_taken.incarnation = UINT64_MAX;
  r[0].u.ownership_taken.takeover_number = 3;
  r[1].kind = RR_RECORD_OWNERSHIP_RELEASED;
  snprintf (r[1].u.ownership_released.successor, RR_NAME_MAX, "entry-2");
  r[2] = unit_job ("thesis", 3);
  r[3].kind = RR_RECORD_JOB_CANCELLED;
  snprintf (r[3].u.job_cancelled.job, RR_NAME_MAX, "thesis");
  snprintf (r[3].u.job_cancelled.reason, RR_TEXT_MAX, "by operator");
  r[4].kind = RR_RECORD_JOB_NOTED;
  memset (r[4].u.job_noted.job, 'j', RR_NAME_MAX);
  memset (r[4].u.job_noted.text, 't', RR_TEXT_MAX);
  r[5].kind = RR_RECORD_JOB_FORGOTTEN;
  snprintf (r[5].u.job_forgotten.job, RR_NAME_MAX, "thesis");
  r[6] = unit_placed ("thesis", 2, 4);
  r[7] = unit_running ("thesis", 2, 4);
  r[8] = unit_ended ("thesis", 2, 4, RR_RESULT_EVICTED);
  r[9] = unit_extended ("thesis", 2, 4, INT64_MIN);
  r[10] = unit_granted ("r1", 5, 6);
  r[11] = unit_result ("r1", 5, 6, RR_REQUEST_ANSWERED);
  r[12].kind = RR_RECORD_REQUESTS_EXPIRED;
  r[12].u.requests_expired.until_ms = 77;
}

/* Guards against a field that is lost or changed by encoding and decoding, for
   every kind of record.  */
START_TEST (every_kind_round_trips)
{
  struct rr_record samples[SAMPLES];
  make_samples (samples);
  for (int i = 0; i < SAMPLES; i++)
    {
      uint8_t a[BUFFER];
      uint8_t b[BUFFER];
      size_t n = 0;
      size_t used = 0;
      size_t m = 0;
      struct rr_error err = { 0 };
      struct rr_record back;
      ck_assert_int_eq (samples[i].kind, i + 1);
      ck_assert (rr_record_encode (&samples[i], a, sizeof a, &n, &err));
      ck_assert_uint_eq (n, rr_record_size (&samples[i]));
      ck_assert (rr_record_decode (&back, a, n, &used, &err));
      ck_assert_uint_eq (used, n);
      ck_assert (rr_record_encode (&back, b, sizeof b, &m, &err));
      ck_assert_uint_eq (m, n);
      ck_assert_mem_eq (a, b, n);
      if (samples[i].kind == RR_RECORD_REQUEST_RESULT)
        {
          const struct rr_bytes *body = &back.u.request_result.body;
          ck_assert_uint_eq (body->length, RR_BODY_MAX);
          ck_assert_mem_eq (body->data, samples[i].u.request_result.body.data,
                            RR_BODY_MAX);
        }
      else
        ck_assert_mem_eq (&back, &samples[i], sizeof back);
      rr_record_clear (&back);
    }
}
END_TEST

/* Guards against reads past the end: every record is truncated at every length
   and decoded from a buffer of exactly that size, so that ASan detects them.
 */
START_TEST (truncated_records_are_rejected)
{
  struct rr_record samples[SAMPLES];
  make_samples (samples);
  for (int i = 0; i < SAMPLES; i++)
    {
      uint8_t encoded[BUFFER];
      size_t n = 0;
      ck_assert (
          rr_record_encode (&samples[i], encoded, sizeof encoded, &n, NULL));
      for (size_t truncated_length = 0; truncated_length < n;
           truncated_length++)
        {
          uint8_t *truncated
              = malloc (truncated_length == 0 ? 1 : truncated_length);
          struct rr_error err = { 0 };
          struct rr_record r;
          size_t used = 0;
          memcpy (truncated, encoded, truncated_length);
          ck_assert (!rr_record_decode (&r, truncated, truncated_length, &used,
                                        &err));
          ck_assert_int_eq (err.code, RR_ERROR_INVALID);
          free (truncated);
        }
    }
}
END_TEST

/* Guards against crashes and out-of-range values when decoding corrupted
   records: each byte of each record is replaced by several values.  */
START_TEST (corrupted_records_decode_safely)
{
  static const uint8_t values[] = { 0, 1, 0x7f, 0x80, 0xff };
  struct rr_record samples[SAMPLES];
  make_samples (samples);
  for (int i = 0; i < SAMPLES; i++)
    {
      uint8_t encoded[BUFFER];
      size_t n = 0;
      ck_assert (
          rr_record_encode (&samples[i], encoded, sizeof encoded, &n, NULL));
      for (size_t at = 0; at < n; at++)
        for (size_t v = 0; v < sizeof values; v++)
          {
            uint8_t *copy = malloc (n);
            struct rr_record r;
            size_t used = 0;
            memcpy (copy, encoded, n);
            copy[at] = values[v];
            if (rr_record_decode (&r, copy, n, &used, NULL))
              {
                ck_assert_uint_le (used, n);
                ck_assert_uint_gt (rr_record_size (&r), 0);
                rr_record_clear (&r);
              }
            free (copy);
          }
    }
}
END_TEST

/* Guards against values that would be truncated silently: a name that fills
   its array without a terminator, too many tasks, a body that is too long.  */
START_TEST (out_of_range_fields_are_not_encoded)
{
  struct rr_record r = unit_job ("thesis", RR_TASKS_MAX + 1);
  ck_assert_uint_eq (rr_record_size (&r), 0);
  r = unit_job ("thesis", 0);
  ck_assert_uint_eq (rr_record_size (&r), 0);
  r = unit_job ("", 1);
  ck_assert_uint_eq (rr_record_size (&r), 0);
  r = unit_job ("thesis", 1);
  memset (r.u.job_submitted.team, 'x', sizeof r.u.job_submitted.team);
  ck_assert_uint_eq (rr_record_size (&r), 0);
  r = unit_result ("r1", 1, 1, RR_REQUEST_ANSWERED);
  r.u.request_result.body.length = RR_BODY_MAX + 1;
  ck_assert_uint_eq (rr_record_size (&r), 0);
  memset (&r, 0, sizeof r);
  ck_assert_uint_eq (rr_record_size (&r), 0);
  uint8_t small[16];
  size_t n = 0;
  struct rr_error err = { 0 };
  r = unit_job ("thesis", 1);
  ck_assert (!rr_record_encode (&r, small, sizeof small, &n, &err));
  ck_assert_int_eq (err.code, RR_ERROR_LIMIT);
}
END_TEST

/* Guards against two different encoded ids that are equal after decoding.  */
START_TEST (embedded_zero_byte_is_rejected)
{
  struct rr_record r = { .kind = RR_RECORD_JOB_FORGOTTEN };
  snprintf (r.u.job_forgotten.job, RR_NAME_MAX, "abcd");
  uint8_t data[64];
  size_t n = 0;
  size_t used = 0;
  ck_assert (rr_record_encode (&r, data, sizeof data, &n, NULL));
  data[n - 2] = 0;
  ck_assert (!rr_record_decode (&r, data, n, &used, NULL));
}
END_TEST

int
main (void)
{
  const TTest *const tests[]
      = { every_kind_round_trips, truncated_records_are_rejected,
          corrupted_records_decode_safely, out_of_range_fields_are_not_encoded,
          embedded_zero_byte_is_rejected };
  return unit_run ("record", tests, sizeof tests / sizeof tests[0]);
}
