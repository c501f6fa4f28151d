#ifndef TESTS_DECISIONS_PERMIT_SIM_H
#define TESTS_DECISIONS_PERMIT_SIM_H

#include "rosemaryrail/permit_calls.h"

enum
{
  PERMIT_SIM_CALLS_MAX = 400,
  PERMIT_SIM_WAITING_MAX = 32 /* calls that the service keeps */
};

/* Times that a simulation has at first.  */
extern const struct rr_permit_times permit_sim_times;

/* A call as the service and the daemon see it.  */
struct permit_sim_call
{
  uint64_t number;
  int64_t cost_ms;
  int64_t sent_at;
  int64_t gives_up_at;
  bool open; /* the daemon still waits for the answer */
};

/* A daemon with steps that need permits, and the service, which handles one
   call at a time, in turn.  */
struct permit_sim
{
  struct rr_permit_calls calls;
  struct rr_permit_times times;
  struct rr_time now;
  struct permit_sim_call queue[PERMIT_SIM_CALLS_MAX];
  size_t first; /* being handled */
  size_t count; /* calls made */
  int64_t handled_at;
  int64_t stalled_until;
  int64_t slowness; /* calls take so many times as long; 0: 1 */
  int64_t busy_ms;  /* that the service has worked */
  size_t waiting;   /* steps */
  size_t answered;
  size_t given_up;
  size_t given_up_since_stall; /* of those sent after it */
  size_t refused;
  size_t open_max;
};

struct permit_sim *permit_sim_new (void);
void permit_sim_step (struct permit_sim *s);

#endif
