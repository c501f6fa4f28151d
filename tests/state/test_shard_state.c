#include <stdio.h>
#include <string.h>

#include "unit.h"

static bool
apply (struct rr_shard_state *s, struct rr_record r, struct rr_error *err)
{
  return rr_shard_state_apply (s, 1, &r, rr_time_from_ms (0), err);
}

/* Returns a state with open and finished jobs and with requests in every
   state.  */
static struct rr_shard_state *
sample_state (void)
{
  struct rr_shard_state *s = rr_shard_state_new ();
  s->sequence = 17;
  ck_assert (apply (s, unit_job ("thesis", 3), NULL));
  ck_assert (apply (s, unit_placed ("thesis", 0, 1), NULL));
  ck_assert (apply (s, unit_running ("thesis", 0, 1), NULL));
  ck_assert (apply (s, unit_placed ("thesis", 1, 1), NULL));
  ck_assert (apply (s, unit_ended ("thesis", 1, 1, RR_RESULT_EVICTED), NULL));
  ck_assert (apply (s, unit_job ("plan", 1), NULL));
  ck_assert (apply (s, unit_placed ("plan", 0, 1), NULL));
  ck_assert (apply (s, unit_ended ("plan", 0, 1, RR_RESULT_SUCCEEDED), NULL));
  ck_assert (apply (s, unit_granted ("r1", 5, 1), NULL));
  ck_assert (apply (s, unit_granted ("r2", 5, 2), NULL));
  ck_assert (apply (s, unit_result ("r2", 5, 2, RR_REQUEST_ANSWERED), NULL));
  ck_assert (apply (s, unit_granted ("r3", 5, 3), NULL));
  ck_assert (apply (s, unit_result ("r3", 5, 3, RR_REQUEST_UNKNOWN), NULL));
  return s;
}

/* Guards against a snapshot that loses or changes a part of the state.  */
START_TEST (snapshot_keeps_the_state)
{
  struct rr_shard_state *s = sample_state ();
  uint8_t *a;
  uint8_t *b;
  size_t n;
  size_t m;
  struct rr_error err = { 0 };
  ck_assert (rr_shard_state_encode (s, &a, &n, &err));
  ck_assert_uint_le (n, rr_shard_state_size (s) + 8);
  struct rr_shard_state *t = rr_shard_state_decode (a, n, &err);
  ck_assert_msg (t != NULL, "%s", err.message);
  ck_assert (rr_shard_state_encode (t, &b, &m, &err));
  ck_assert_uint_eq (n, m);
  ck_assert_mem_eq (a, b, n);
  ck_assert_uint_eq (rr_shard_state_size (s), rr_shard_state_size (t));
  ck_assert_uint_eq (t->sequence, 17);
  const struct rr_job *job = rr_job_store_find (t->jobs, "thesis");
  ck_assert_uint_eq (job->open_tasks, 3);
  ck_assert_int_eq (job->tasks[0].attempt.granted_until_ms, 600000);
  ck_assert_str_eq (job->tasks[1].checkpoint, "page-1");
  struct rr_request_entry e = rr_request_log_find (t->requests, "r2");
  ck_assert_uint_eq (e.body_length, RR_BODY_MAX);
  ck_assert_uint_eq (e.body[10], 70);
  free (a);
  free (b);
  rr_shard_state_free (s);
  rr_shard_state_free (t);
}
END_TEST

/* Guards against reads past the end of a truncated or corrupt snapshot.  */
START_TEST (damaged_snapshots_are_refused)
{
  struct rr_shard_state *s = sample_state ();
  uint8_t *a;
  size_t n;
  ck_assert (rr_shard_state_encode (s, &a, &n, NULL));
  for (size_t cut = 0; cut < n; cut++)
    {
      uint8_t *part = malloc (cut == 0 ? 1 : cut);
      struct rr_error err = { 0 };
      memcpy (part, a, cut);
      ck_assert_ptr_null (rr_shard_state_decode (part, cut, &err));
      ck_assert_int_eq (err.code, RR_ERROR_INVALID);
      free (part);
    }
  for (size_t at = 0; at < n; at++)
    {
      uint8_t *copy = malloc (n);
      memcpy (copy, a, n);
      copy[at] ^= 0xff;
      ck_assert_ptr_null (rr_shard_state_decode (copy, n, NULL));
      free (copy);
    }
  free (a);
  rr_shard_state_free (s);
}
END_TEST

/* Guards against a state that exceeds the maximum size of a snapshot: the size
   reserved when jobs and requests are accepted must suffice for all that later
   records add to them.  */
START_TEST (size_estimate_is_an_upper_bound)
{
  struct rr_shard_state *s = rr_shard_state_new ();
  char name[RR_NAME_MAX + 1];
  for (int i = 0; i < 20; i++)
    {
      snprintf (name, sizeof name, "%063d", i);
      struct rr_record r = unit_job (name, 5);
      memset (r.u.job_submitted.team, 't', RR_NAME_MAX);
      memset (r.u.job_submitted.job_class, 'c', RR_NAME_MAX);
      memset (r.u.job_submitted.service, 's', RR_NAME_MAX);
      ck_assert (apply (s, r, NULL));
      r = unit_granted (name, 1, (uint64_t)i);
      memset (r.u.request_granted.holder, 'h', RR_NAME_MAX);
      ck_assert (apply (s, r, NULL));
    }
  size_t reserved = rr_shard_state_size (s);
  for (uint32_t attempt = 1; attempt <= 3; attempt++)
    for (int i = 0; i < 20; i++)
      for (uint32_t task = 0; task < 5; task++)
        {
          snprintf (name, sizeof name, "%063d", i);
          struct rr_record r = unit_placed (name, task, attempt);
          memset (r.u.attempt_placed.worker, 'w', RR_NAME_MAX);
          memset (r.u.attempt_placed.zone, 'z', RR_NAME_MAX);
          ck_assert (apply (s, r, NULL));
          r = unit_ended (name, task, attempt, RR_RESULT_EVICTED);
          memset (r.u.attempt_ended.checkpoint, 'p', RR_CHECKPOINT_MAX);
          memset (r.u.attempt_ended.detail, 'd', RR_TEXT_MAX);
          ck_assert (attempt == 3 || apply (s, r, NULL));
        }
  for (int i = 0; i < 20; i++)
    {
      struct rr_record r = { .kind = RR_RECORD_JOB_NOTED };
      snprintf (r.u.job_noted.job, RR_NAME_MAX + 1, "%063d", i);
      memset (r.u.job_noted.text, 'n', RR_TEXT_MAX);
      ck_assert (apply (s, r, NULL));
      snprintf (name, sizeof name, "%063d", i);
      r = unit_result (name, 1, (uint64_t)i, RR_REQUEST_UNKNOWN);
      memset (r.u.request_result.content_type, 'y', RR_NAME_MAX);
      ck_assert (apply (s, r, NULL));
    }
  ck_assert_uint_eq (rr_shard_state_size (s), reserved);
  uint8_t *data;
  size_t n;
  ck_assert (rr_shard_state_encode (s, &data, &n, NULL));
  ck_assert_uint_le (n, reserved);
  free (data);
  rr_shard_state_free (s);
}
END_TEST

/* Guards against finished jobs that accumulate, and against open jobs that are
   removed.  */
START_TEST (finished_jobs_are_forgotten_by_age_and_count)
{
  struct rr_shard_state *s = rr_shard_state_new ();
  char name[16];
  for (int i = 0; i < 10; i++)
    {
      snprintf (name, sizeof name, "job-%d", i);
      ck_assert (apply (s, unit_job (name, 1), NULL));
      if (i == 9)
        break;
      ck_assert (apply (s, unit_placed (name, 0, 1), NULL));
      struct rr_record r = unit_ended (name, 0, 1, RR_RESULT_SUCCEEDED);
      r.at_ms = 1000 * ((int64_t)i + 1);
      ck_assert (apply (s, r, NULL));
    }
  struct rr_job_retention keep = { .max_finished = 6, .max_age_ms = 4000 };
  struct rr_record r[16];
  size_t n = rr_job_store_expired (s->jobs, &keep, 9000, r, 16);
  ck_assert_uint_eq (n, 4);
  ck_assert_str_eq (r[0].u.job_forgotten.job, "job-0");
  keep.max_age_ms = 100000;
  ck_assert_uint_eq (rr_job_store_expired (s->jobs, &keep, 9000, r, 16), 3);
  ck_assert_uint_eq (rr_job_store_expired (s->jobs, &keep, 9000, r, 2), 2);
  rr_job_store_mark_pending (s->jobs, &r[0], true, rr_time_from_ms (0));
  ck_assert_uint_eq (rr_job_store_expired (s->jobs, &keep, 9000, r, 16), 2);
  size_t before = rr_shard_state_size (s);
  ck_assert (apply (s, r[0], NULL));
  ck_assert_uint_lt (rr_shard_state_size (s), before);
  struct rr_error err = { 0 };
  snprintf (r[0].u.job_forgotten.job, RR_NAME_MAX, "job-9");
  ck_assert (!apply (s, r[0], &err));
  ck_assert_int_eq (err.code, RR_ERROR_CONFLICT);
  rr_shard_state_free (s);
}
END_TEST

/* Guards against a second grant of a request id, a result from the wrong
   holder or for another grant, and an id that is removed before its retention
   time.  */
START_TEST (requests_are_granted_once)
{
  struct rr_shard_state *s = rr_shard_state_new ();
  struct rr_request_log *l = s->requests;
  struct rr_record first = unit_granted ("r1", 5, 1);
  rr_request_log_mark_pending (l, &first, true);
  ck_assert_int_eq (rr_request_log_find (l, "r1").state, RR_REQUEST_PENDING);
  ck_assert (apply (s, first, NULL));
  rr_request_log_mark_pending (l, &first, false);
  ck_assert_int_eq (rr_request_log_find (l, "r1").state, RR_REQUEST_GRANTED);
  ck_assert (!apply (s, unit_granted ("r1", 6, 1), NULL));
  ck_assert (!apply (s, unit_granted ("r1", 5, 1), NULL));
  ck_assert (!apply (s, unit_result ("r1", 6, 1, RR_REQUEST_ANSWERED), NULL));
  ck_assert (!apply (s, unit_result ("r1", 5, 2, RR_REQUEST_NOT_RUN), NULL));
  ck_assert (apply (s, unit_result ("r1", 5, 1, RR_REQUEST_NOT_RUN), NULL));
  ck_assert_int_eq (rr_request_log_find (l, "r1").state, RR_REQUEST_NEW);
  ck_assert (apply (s, unit_granted ("r1", 5, 2), NULL));
  ck_assert (!apply (s, unit_result ("r1", 5, 1, RR_REQUEST_NOT_RUN), NULL));
  ck_assert (apply (s, unit_result ("r1", 5, 2, RR_REQUEST_UNKNOWN), NULL));
  ck_assert (!apply (s, unit_result ("r1", 5, 2, RR_REQUEST_NOT_RUN), NULL));
  ck_assert (apply (s, unit_result ("r1", 5, 2, RR_REQUEST_ANSWERED), NULL));
  ck_assert (!apply (s, unit_result ("r1", 5, 2, RR_REQUEST_UNKNOWN), NULL));
  struct rr_record r;
  ck_assert (!rr_request_log_expired (l, 10000, 10999, &r));
  ck_assert (!rr_request_log_expired (l, 10000, 12999, &r));
  ck_assert (rr_request_log_expired (l, 10000, 13000, &r));
  ck_assert (apply (s, r, NULL));
  ck_assert_int_eq (rr_request_log_find (l, "r1").state, RR_REQUEST_NEW);
  ck_assert_uint_eq (rr_request_log_count (l), 0);
  ck_assert_uint_eq (rr_request_log_size (l), 0);
  rr_shard_state_free (s);
}
END_TEST

int
main (void)
{
  const TTest *const tests[]
      = { snapshot_keeps_the_state, damaged_snapshots_are_refused,
          size_estimate_is_an_upper_bound,
          finished_jobs_are_forgotten_by_age_and_count,
          requests_are_granted_once };
  return unit_run ("shard_state", tests, sizeof tests / sizeof tests[0]);
}
