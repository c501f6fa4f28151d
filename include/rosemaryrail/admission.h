#ifndef ROSEMARYRAIL_ADMISSION_H
#define ROSEMARYRAIL_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rosemaryrail/clock.h"
#include "rosemaryrail/histogram.h"
#include "rosemaryrail/retry.h"

/* Concurrency limit of one service on one worker, adapted to measured
   latency.  */
struct rr_limiter_options
{
  double initial;
  double min;
  double max;
  /* Typical latency, as a multiple of the baseline, above which the limit
     falls.  */
  double tolerance;
  /* Samples in one adjustment.  */
  unsigned window;
};

struct rr_limiter
{
  struct rr_limiter_options options;
  double limit;
  double baseline_ms; /* typical latency without queueing; 0 if unmeasured */
  int64_t in_flight;
  unsigned samples;
  double log_sum; /* of the window: logarithms of latencies in ms */
  double log_square_sum;
  int64_t peak_in_flight;
  unsigned windows;
  int64_t ignored_overloads; /* further overloads that don't lower the limit */
};

void rr_limiter_options_default (struct rr_limiter_options *o);
void rr_limiter_init (struct rr_limiter *l,
                      const struct rr_limiter_options *options);
/* Takes a place; false at the limit.  */
bool rr_limiter_acquire (struct rr_limiter *l);

/* How a call ended; LATENCY_MS counts from the moment it was sent.  */
enum rr_limiter_sample
{
  RR_SAMPLE_ANSWERED, /* after LATENCY_MS */
  RR_SAMPLE_TIMEOUT,  /* no answer within LATENCY_MS */
  RR_SAMPLE_OVERLOAD, /* refused as full: lowers the limit */
  RR_SAMPLE_IGNORE    /* ended for another reason; says nothing */
};

/* Gives the place back with what was learned.  */
void rr_limiter_release (struct rr_limiter *l, enum rr_limiter_sample sample,
                         double latency_ms);

/* Requests of one service waiting for a worker, by deadline.  */
struct rr_admission;

struct rr_admission_options
{
  size_t queue_limit;        /* requests waiting */
  int64_t team_limit;        /* requests in flight for each team */
  double initial_service_ms; /* until latency has been measured */
  /* Share of the time to the deadline that the expected wait may take.  */
  double max_wait_ratio;
  struct rr_limiter_options limiter;
};

enum rr_admission_result
{
  RR_ADMISSION_QUEUED,
  RR_ADMISSION_NOT_RUN_DEADLINE, /* can't be answered in time */
  RR_ADMISSION_NOT_RUN_FULL,     /* queue is full of earlier deadlines */
  RR_ADMISSION_NOT_RUN_NO_WORKER /* no worker runs the service */
};

enum rr_admission_action
{
  RR_ADMISSION_NONE,   /* nothing can be sent now */
  RR_ADMISSION_SEND,   /* send REQUEST to WORKER */
  RR_ADMISSION_NOT_RUN /* answer REQUEST "not run" for REASON */
};

/* What to do next; returned by rr_admission_next.  */
struct rr_admission_decision
{
  enum rr_admission_action action;
  enum rr_admission_result reason;
  uint64_t request;
  int team;
  int worker;
  struct rr_time deadline;
};

void rr_admission_options_default (struct rr_admission_options *o);
struct rr_admission *
rr_admission_new (const struct rr_admission_options *options);
void rr_admission_free (struct rr_admission *a);

/* Adds a worker that runs the service and returns its number, which is reused
   after removal.  A removed worker's requests in flight still end with
   rr_admission_call_ended.  */
int rr_admission_add_worker (struct rr_admission *a);
void rr_admission_remove_worker (struct rr_admission *a, int worker);
/* Withholds new requests from a worker (its ledger is full or closed).  */
void rr_admission_block_worker (struct rr_admission *a, int worker,
                                bool blocked);
/* Returns the number of a team, added on first use; LIMIT 0 means the default
   of the options.  */
int rr_admission_team (struct rr_admission *a, const char *name);
void rr_admission_set_team_limit (struct rr_admission *a, int team,
                                  int64_t limit);

/* Offers a request.  Anything but RR_ADMISSION_QUEUED is final: it did not
   run.  REQUEST is the caller's number for it.  A full queue drops its latest
   deadline for an earlier one; the dropped request comes out of
   rr_admission_next as "not run".  */
enum rr_admission_result rr_admission_offer (struct rr_admission *a,
                                             struct rr_time now,
                                             uint64_t request, int team,
                                             struct rr_time deadline);
/* Removes a waiting request (the caller went away); false if not waiting.  */
bool rr_admission_withdraw (struct rr_admission *a, uint64_t request);
/* Returns the next action; call until it is RR_ADMISSION_NONE, after every
   offer, done and unblock, and every few ms while requests wait.  */
struct rr_admission_decision rr_admission_next (struct rr_admission *a,
                                                struct rr_time now);
/* Takes back a step that could not be sent (ledger refused): the request
   waits again and the worker is blocked.  */
void rr_admission_requeue (struct rr_admission *a,
                           const struct rr_admission_decision *step);
/* A sent request ended.  Call it when the call to the worker is really over
   (response, refusal, broken connection), even if its caller was answered at
   the deadline before: the worker is busy until then.  */
void rr_admission_call_ended (struct rr_admission *a, int worker, int team,
                              enum rr_limiter_sample sample,
                              double latency_ms);

size_t rr_admission_waiting (const struct rr_admission *a);
const struct rr_limiter *rr_admission_limiter (const struct rr_admission *a,
                                               int worker);
/* Mean measured time of a call in ms.  */
double rr_admission_service_ms (const struct rr_admission *a);
const char *rr_admission_result_name (enum rr_admission_result result);

/* Hedging.  */
struct rr_hedge_options
{
  double quantile;       /* hedge after this quantile of latency, e.g. 0.95 */
  uint64_t min_samples;  /* below this nothing is known about latency */
  double min_tail_ratio; /* quantile must be this multiple of the median */
};

enum rr_hedge
{
  RR_HEDGE_SEND,
  RR_HEDGE_WAIT,           /* ask again at DELAY_MS */
  RR_HEDGE_NOT_REPEATABLE, /* never */
  RR_HEDGE_UNMEASURED,
  RR_HEDGE_NO_TAIL, /* a second call is not expected to be faster */
  RR_HEDGE_LATE,    /* a second call can't be answered in time */
  RR_HEDGE_BUDGET
};

struct rr_hedge_decision
{
  enum rr_hedge verdict;
  double delay_ms; /* since the first call */
};

void rr_hedge_options_default (struct rr_hedge_options *o);
/* Decides whether a second call of a request, first sent ELAPSED_MS ago and
   with REMAINING_MS until its deadline, is worth it given the latencies in H.
   Takes a token of BUDGET when the verdict is RR_HEDGE_SEND.  */
struct rr_hedge_decision rr_hedge_decide (const struct rr_hedge_options *o,
                                          const struct rr_histogram *h,
                                          struct rr_retry_budget *budget,
                                          bool repeatable, double elapsed_ms,
                                          double remaining_ms);
const char *rr_hedge_name (enum rr_hedge verdict);

#endif
