#include "unit.h"

#include <stdio.h>

struct rr_record
unit_job (const char *job, uint32_t tasks)
{
  struct rr_record r = { .kind = RR_RECORD_JOB_SUBMITTED, .at_ms = 1000 };
  struct rr_record_job_submitted *p = &r.u.job_submitted;
  snprintf (p->job, sizeof p->job, "%s", job);
  snprintf (p->team, sizeof p->team, "lab");
  snprintf (p->job_class, sizeof p->job_class, "archive");
  p->tasks = tasks;
  p->cores_milli = 2000;
  p->memory_mb = 4096;
  p->work_ms = 60000;
  p->urgent = true;
  p->isolation_limit_ms = 100000;
  p->priority = -3;
  p->weight_milli = 1500;
  p->max_failures = 2;
  return r;
}

struct rr_record
unit_placed (const char *job, uint32_t task, uint32_t attempt)
{
  struct rr_record r = { .kind = RR_RECORD_ATTEMPT_PLACED, .at_ms = 2000 };
  struct rr_record_attempt_placed *p = &r.u.attempt_placed;
  snprintf (p->job, sizeof p->job, "%s", job);
  p->task = task;
  p->attempt = attempt;
  snprintf (p->worker, sizeof p->worker, "w1");
  snprintf (p->zone, sizeof p->zone, "z1");
  p->worker_incarnation = 7;
  p->controller_epoch = 9;
  p->void_after_ms = 505000;
  p->granted_until_ms = 600000;
  return r;
}

struct rr_record
unit_running (const char *job, uint32_t task, uint32_t attempt)
{
  struct rr_record r = { .kind = RR_RECORD_ATTEMPT_RUNNING, .at_ms = 3000 };
  snprintf (r.u.attempt_running.job, sizeof r.u.attempt_running.job, "%s",
            job);
  r.u.attempt_running.task = task;
  r.u.attempt_running.attempt = attempt;
  return r;
}

struct rr_record
unit_ended (const char *job, uint32_t task, uint32_t attempt,
            enum rr_attempt_result result)
{
  struct rr_record r = { .kind = RR_RECORD_ATTEMPT_ENDED, .at_ms = 4000 };
  struct rr_record_attempt_ended *p = &r.u.attempt_ended;
  snprintf (p->job, sizeof p->job, "%s", job);
  p->task = task;
  p->attempt = attempt;
  p->result = result;
  if (result == RR_RESULT_EVICTED)
    snprintf (p->checkpoint, sizeof p->checkpoint, "page-%u", attempt);
  return r;
}

struct rr_record
unit_extended (const char *job, uint32_t task, uint32_t attempt, int64_t until)
{
  struct rr_record r = { .kind = RR_RECORD_GRANT_EXTENDED, .at_ms = 5000 };
  struct rr_record_grant_extended *p = &r.u.grant_extended;
  snprintf (p->job, sizeof p->job, "%s", job);
  p->task = task;
  p->attempt = attempt;
  p->granted_until_ms = until;
  return r;
}

struct rr_record
unit_granted (const char *request, uint64_t holder, uint64_t ask)
{
  struct rr_record r = { .kind = RR_RECORD_REQUEST_GRANTED, .at_ms = 1000 };
  struct rr_record_request_granted *p = &r.u.request_granted;
  snprintf (p->request, sizeof p->request, "%s", request);
  snprintf (p->holder, sizeof p->holder, "entry-%llu",
            (unsigned long long)holder);
  p->holder_incarnation = holder;
  p->ask = ask;
  p->deadline_ms = 3000;
  return r;
}

/* The body of the result is static and must not be freed.  */
struct rr_record
unit_result (const char *request, uint64_t holder, uint64_t ask,
             enum rr_request_outcome outcome)
{
  static uint8_t body[RR_BODY_MAX];
  struct rr_record r = { .kind = RR_RECORD_REQUEST_RESULT, .at_ms = 1500 };
  struct rr_record_request_result *p = &r.u.request_result;
  snprintf (p->request, sizeof p->request, "%s", request);
  p->holder_incarnation = holder;
  p->ask = ask;
  p->outcome = outcome;
  p->status = 200;
  if (outcome == RR_REQUEST_ANSWERED)
    {
      for (size_t i = 0; i < sizeof body; i++)
        body[i] = (uint8_t)(i * 7);
      snprintf (p->content_type, sizeof p->content_type, "text/plain");
      p->body_kept = true;
      p->body.data = body;
      p->body.length = sizeof body;
    }
  return r;
}

/* Runs COUNT tests as the suite NAME and returns the exit status of the
   program.  */
int
unit_run (const char *name, const TTest *const *tests, size_t count)
{
  Suite *s = suite_create (name);
  TCase *t = tcase_create ("core");
  tcase_set_timeout (t, 0);
  for (size_t i = 0; i < count; i++)
    tcase_add_test (t, tests[i]);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
