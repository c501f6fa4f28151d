#ifndef ROSEMARYRAIL_PERMIT_CALLS_H
#define ROSEMARYRAIL_PERMIT_CALLS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rosemaryrail/clock.h"

/* Decides which calls one daemon makes to the permit service: when the next
   one may go out, which step it is for, how many workers it lists and how long
   its answer is waited for.  It performs no I/O.  */

enum
{
  RR_PERMIT_CALLS_MAX = 4 /* without an answer at a time, overdue ones too */
};

/* Times of the permit service for one queue.  */
struct rr_permit_times
{
  int64_t decision_ms;   /* for a call */
  int64_t per_worker_ms; /* and for each worker listed */
  int64_t valid_ms;      /* of a permit */
};

/* What decides which step comes next: lower values first.  */
struct rr_permit_urgency
{
  int32_t priority; /* of the queue */
  int32_t group;    /* class of the job within its priority */
  struct rr_time due;
};

enum rr_permit_outcome
{
  RR_PERMIT_ANSWERED,
  RR_PERMIT_REFUSED, /* the service does not handle the call */
  RR_PERMIT_LOST     /* no answer; the service may still handle the call */
};

/* A call without an answer.  */
struct rr_permit_call
{
  uint64_t number; /* 0: unused */
  int64_t cost_ms; /* that the service needs for it */
  struct rr_time sent;
  struct rr_time overdue_at;
};

/* The calls of one daemon.  */
struct rr_permit_calls
{
  struct rr_permit_call open[RR_PERMIT_CALLS_MAX];
  uint64_t last_number;
  /* Last call that was answered, and when the service decided on it at the
     earliest.  */
  uint64_t answered_number;
  struct rr_time decided;
  struct rr_time answered_at;
  /* Time that the service takes for a call, in proportion to what it should
     take by the policy; 1 or more.  */
  double slowdown;
  /* Last call that was given up, and what the service needs for such calls
     that it may not have handled yet.  */
  uint64_t abandoned_number;
  int64_t abandoned_ms;
  int64_t backoff_ms; /* 0: the last call was answered */
  struct rr_time retry_at;
  double asked; /* workers in recent calls, and how many were allowed */
  double allowed;
};

void rr_permit_calls_init (struct rr_permit_calls *c);
struct rr_permit_times rr_permit_times_check (struct rr_permit_times t);
int64_t rr_permit_cost_ms (const struct rr_permit_times *t, size_t workers);
int64_t rr_permit_valid_ms (const struct rr_permit_times *t,
                            int64_t answered_ms);
int64_t rr_permit_delivery_ms (int64_t valid_ms);
int rr_permit_urgency_compare (const struct rr_permit_urgency *a,
                               const struct rr_permit_urgency *b);
int64_t rr_permit_calls_cost_ms (const struct rr_permit_calls *c,
                                 const struct rr_permit_times *t,
                                 size_t workers);
size_t rr_permit_calls_workers (const struct rr_permit_calls *c, size_t needed,
                                uint32_t refusals);
int64_t rr_permit_calls_wait_ms (const struct rr_permit_calls *c,
                                 struct rr_time now);
uint64_t rr_permit_calls_begin (struct rr_permit_calls *c,
                                const struct rr_permit_times *t,
                                size_t workers, struct rr_time now,
                                int64_t *timeout_ms);
struct rr_time rr_permit_calls_issued (const struct rr_permit_calls *c,
                                       uint64_t number, int64_t valid_ms,
                                       struct rr_time now);
void rr_permit_calls_end (struct rr_permit_calls *c, uint64_t number,
                          enum rr_permit_outcome outcome, size_t asked,
                          size_t allowed, struct rr_time now);

#endif
