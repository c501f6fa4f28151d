/* Embeds the admission and retry modules of librosemaryrail in an event loop.
   Requests arrive, queue for one of two workers, are answered or refused, and
   are retried while the retry budget and the deadline allow.  The loop passes
   the current time to the library, which reads no clock and does no I/O.

   cc embed.c $(pkg-config --cflags --libs rosemaryrail)  */
#include <inttypes.h>
#include <stdio.h>

#include <rosemaryrail/admission.h>
#include <rosemaryrail/retry.h>

enum
{
  REQUESTS = 6,
  SERVICE_MS = 20,
  DEADLINE_MS = 120
};

/* The state of one request; WORKER is -1 while no call is in progress.  */
struct call
{
  int worker;
  int team;
  unsigned calls;
  struct rr_time end_time;
  struct rr_time deadline;
  struct rr_time send_time;
};

/* Simulates the network: worker 1 refuses the first call of each request.  */
static enum rr_call_state
call_result (const struct call *c)
{
  return c->worker == 1 && c->calls == 1 ? RR_CALL_REFUSED : RR_CALL_ANSWERED;
}

/* Ends the call of request I and decides whether to retry it.  */
static void
finish_call (struct rr_admission *a, struct rr_retry_budget *budget,
             gsl_rng *rng, struct call *c, uint64_t i, struct rr_time now)
{
  enum rr_call_state state = call_result (c);
  bool answered = state == RR_CALL_ANSWERED;
  rr_admission_call_ended (a, c->worker, c->team,
                           answered ? RR_SAMPLE_ANSWERED : RR_SAMPLE_OVERLOAD,
                           SERVICE_MS);
  c->worker = -1;
  struct rr_retry_input in = { .repeatable = true,
                               .state = state,
                               .remaining_ms = rr_time_diff (c->deadline, now),
                               .needed_ms = SERVICE_MS,
                               .budget = rr_retry_budget_available (budget) };
  struct rr_retry_decision retry = rr_retry_decide (&in);
  struct rr_backoff backoff = { 5, 50 };
  int64_t delay = retry.should_retry ? rr_backoff_delay (
                      &backoff, rng, c->calls, in.remaining_ms, SERVICE_MS)
                                     : -1;
  if (delay >= 0 && rr_retry_budget_take (budget))
    {
      c->send_time = rr_time_add (now, delay);
      printf ("%3" PRId64 " ms  request %" PRIu64 " refused, again\n", now.ms,
              i);
    }
  else
    printf ("%3" PRId64 " ms  request %" PRIu64 " %s\n", now.ms, i,
            rr_outcome_name (retry.outcome));
}

int
main (void)
{
  struct rr_admission_options options;
  rr_admission_options_default (&options);
  options.initial_service_ms = SERVICE_MS;
  options.limiter.initial = options.limiter.min = options.limiter.max = 1;
  struct rr_admission *a = rr_admission_new (&options);
  int team = rr_admission_team (a, "checks");
  rr_admission_add_worker (a);
  rr_admission_add_worker (a);
  struct rr_retry_budget budget;
  rr_retry_budget_init (&budget, 0.1, 10);
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_mt19937);
  struct call calls[REQUESTS];
  for (uint64_t i = 0; i < REQUESTS; i++)
    calls[i] = (struct call){ .worker = -1,
                              .team = team,
                              .deadline = rr_time_from_ms (DEADLINE_MS),
                              .send_time = rr_time_from_ms ((int64_t)i) };

  for (struct rr_time now = { 0 }; now.ms <= DEADLINE_MS;
       now = rr_time_add (now, 1))
    {
      for (uint64_t i = 0; i < REQUESTS; i++)
        {
          struct call *c = &calls[i];
          if (c->worker >= 0 && c->end_time.ms == now.ms)
            finish_call (a, &budget, rng, c, i, now);
          if (c->worker >= 0 || c->send_time.ms != now.ms)
            continue;
          if (c->calls == 0)
            rr_retry_budget_refill (&budget);
          enum rr_admission_result result
              = rr_admission_offer (a, now, i, team, c->deadline);
          if (result != RR_ADMISSION_QUEUED)
            printf ("%3" PRId64 " ms  request %" PRIu64 " not-run: %s\n",
                    now.ms, i, rr_admission_result_name (result));
        }
      struct rr_admission_decision decision;
      while ((decision = rr_admission_next (a, now)).action
             != RR_ADMISSION_NONE)
        if (decision.action == RR_ADMISSION_SEND)
          {
            struct call *c = &calls[decision.request];
            c->worker = decision.worker;
            c->calls++;
            c->end_time = rr_time_add (now, SERVICE_MS);
            printf ("%3" PRId64 " ms  request %" PRIu64 " to worker %d\n",
                    now.ms, decision.request, decision.worker);
          }
        else
          printf ("%3" PRId64 " ms  request %" PRIu64 " not-run: %s\n", now.ms,
                  decision.request,
                  rr_admission_result_name (decision.reason));
    }
  gsl_rng_free (rng);
  rr_admission_free (a);
  return 0;
}
