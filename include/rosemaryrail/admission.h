#ifndef ROSEMARYRAIL_ADMISSION_H
#define ROSEMARYRAIL_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rosemaryrail/clock.h"
#include "rosemaryrail/histogram.h"
#include "rosemaryrail/retry.h"

/* Concurrency limit of one service on one worker, adapted to the measured
   latency.  */
struct rr_limiter_options
{
  double initial;
  double min;
  double max;
  /* The limit falls when the typical latency exceeds the baseline by this
     factor.  */
  double tolerance;
  /* Samples for each adjustment of the limit.  */
  unsigned window;
};

struct rr_limiter
{
  struct rr_limiter_options options;
  double limit;
  double baseline_ms; /* typical latency without queueing; 0: not measured */
  int64_t in_flight;
  unsigned samples;
  double log_sum; /* in this window, of the logarithms of latencies in ms */
  double log_square_sum;
  int64_t peak_in_flight;
  unsigned windows;
  int64_t ignored_overloads; /* next overloads that don't lower the limit */
};

void rr_limiter_options_default (struct rr_limiter_options *o);
void rr_limiter_init (struct rr_limiter *l,
                      const struct rr_limiter_options *options);
/* Takes a slot for a request.  Returns false when the limit is reached.  */
bool rr_limiter_acquire (struct rr_limiter *l);

/* How a call ended, with LATENCY_MS since it was sent.  */
enum rr_limiter_sample
{
  RR_SAMPLE_ANSWERED, /* response after LATENCY_MS */
  RR_SAMPLE_TIMEOUT,  /* no response within LATENCY_MS */
  RR_SAMPLE_OVERLOAD, /* refused by a full worker; lowers the limit at once */
  RR_SAMPLE_IGNORE    /* ended for another reason; no sample */
};

/* Releases a slot and adds SAMPLE to the measurements.  */
void rr_limiter_release (struct rr_limiter *l, enum rr_limiter_sample sample,
                         double latency_ms);

/* Admission control of one service: requests that wait for a worker, ordered
   by deadline.  */
struct rr_admission;

struct rr_admission_options
{
  size_t queue_limit; /* maximum number of waiting requests */
  int64_t team_limit; /* default maximum of requests in flight per team */
  double initial_service_ms; /* assumed until latency has been measured */
  /* Maximum ratio of the expected wait to the time until the deadline.  */
  double max_wait_ratio;
  struct rr_limiter_options limiter;
};

enum rr_admission_result
{
  RR_ADMISSION_QUEUED,
  RR_ADMISSION_NOT_RUN_DEADLINE, /* the deadline can't be met */
  RR_ADMISSION_NOT_RUN_FULL,     /* queue is full of earlier deadlines */
  RR_ADMISSION_NOT_RUN_NO_WORKER /* no worker runs the service */
};

enum rr_admission_action
{
  RR_ADMISSION_NONE,   /* nothing can be sent now */
  RR_ADMISSION_SEND,   /* send REQUEST to WORKER */
  RR_ADMISSION_NOT_RUN /* answer REQUEST "not run" for REASON */
};

/* Next action of the caller, as returned by rr_admission_next.  */
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
   after its removal.  Every request in flight on a removed worker still ends
   with rr_admission_call_ended.  */
int rr_admission_add_worker (struct rr_admission *a);
void rr_admission_remove_worker (struct rr_admission *a, int worker);
/* Stops or resumes sending new requests to a worker, whose ledger is full or
   closed for example.  */
void rr_admission_block_worker (struct rr_admission *a, int worker,
                                bool blocked);
/* Returns the number of a team, which is added on first use.  */
int rr_admission_team (struct rr_admission *a, const char *name);
/* Sets the maximum of requests in flight of TEAM; 0 means the default of the
   options.  */
void rr_admission_set_team_limit (struct rr_admission *a, int team,
                                  int64_t limit);

/* Offers a request, which the caller identifies by REQUEST.  Any result other
   than RR_ADMISSION_QUEUED is final: the request was not run.  A full queue
   drops the request with the latest deadline in favour of one with an earlier
   deadline; rr_admission_next returns the dropped request as "not run".  */
enum rr_admission_result rr_admission_offer (struct rr_admission *a,
                                             struct rr_time now,
                                             uint64_t request, int team,
                                             struct rr_time deadline);
/* Removes a waiting request, when its caller has disconnected for example.
   Returns false when it is not waiting.  */
bool rr_admission_withdraw (struct rr_admission *a, uint64_t request);
/* Returns the next action.  Call it until it returns RR_ADMISSION_NONE: after
   every offered request, ended call and unblocked worker, and every few ms
   while requests wait.  */
struct rr_admission_decision rr_admission_next (struct rr_admission *a,
                                                struct rr_time now);
/* Queues the request of DECISION again, which could not be sent because the
   worker's ledger refused it, and blocks the worker.  */
void rr_admission_requeue (struct rr_admission *a,
                           const struct rr_admission_decision *decision);
/* Records the end of a request that was sent.  Call it when the call to the
   worker has ended (response, refusal, broken connection), even if the caller
   was answered earlier at the deadline: the worker is busy until the call
   ends.  */
void rr_admission_call_ended (struct rr_admission *a, int worker, int team,
                              enum rr_limiter_sample sample,
                              double latency_ms);

size_t rr_admission_waiting (const struct rr_admission *a);
const struct rr_limiter *rr_admission_limiter (const struct rr_admission *a,
                                               int worker);
/* Returns the mean measured duration of a call in ms.  */
double rr_admission_service_ms (const struct rr_admission *a);
const char *rr_admission_result_name (enum rr_admission_result result);

/* Hedging: a second call of a request whose first call is slow.  */
struct rr_hedge_options
{
  double quantile;       /* hedge after this quantile of latency, e.g. 0.95 */
  uint64_t min_samples;  /* with fewer, the quantile is not relied on */
  double min_tail_ratio; /* minimum ratio of the quantile to the median */
};

enum rr_hedge
{
  RR_HEDGE_SEND,
  RR_HEDGE_WAIT,           /* decide again at DELAY_MS */
  RR_HEDGE_NOT_REPEATABLE, /* the request may run only once */
  RR_HEDGE_UNMEASURED,     /* too few latency samples */
  RR_HEDGE_NO_TAIL,        /* a second call is not expected to be faster */
  RR_HEDGE_LATE,           /* a second call can't meet the deadline */
  RR_HEDGE_BUDGET          /* the retry budget is used up */
};

struct rr_hedge_decision
{
  enum rr_hedge verdict;
  double delay_ms; /* since the first call */
};

void rr_hedge_options_default (struct rr_hedge_options *o);
/* Decides from the latencies in H whether to make a second call of a request
   that was first sent ELAPSED_MS ago and has REMAINING_MS until its deadline.
   Takes a token of BUDGET when the verdict is RR_HEDGE_SEND.  */
struct rr_hedge_decision rr_hedge_decide (const struct rr_hedge_options *o,
                                          const struct rr_histogram *h,
                                          struct rr_retry_budget *budget,
                                          bool repeatable, double elapsed_ms,
                                          double remaining_ms);
const char *rr_hedge_name (enum rr_hedge verdict);

#endif
