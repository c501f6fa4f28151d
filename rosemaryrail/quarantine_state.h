#ifndef ROSEMARYRAIL_QUARANTINE_STATE_H
#define ROSEMARYRAIL_QUARANTINE_STATE_H

/* Internal to the quarantine module: the record of each worker and its
   evaluation.  */

#include "quarantine_evidence.h"
#include "rosemaryrail/id_map.h"
#include "rosemaryrail/quarantine.h"

/* Starts remembered for each worker; several times its slots.  */
#define RR_QUARANTINE_STARTS 32

enum rr_start_state
{
  RR_START_UNUSED,
  RR_START_PENDING,
  RR_START_SUCCEEDED,
  RR_START_FAILED,
  RR_START_WITHDRAWN /* ended for another reason before it proved good */
};

struct rr_quarantine_start
{
  enum rr_start_state state;
  bool confirmed; /* passed quarantine.confirm; recorded as a success */
  uint64_t task;
  uint64_t job;
  struct rr_time at;      /* of the start */
  struct rr_time outcome; /* of its end */
};

/* What the starts of a worker say about it.  */
struct rr_quarantine_start_counts
{
  int64_t pending;    /* running for less than quarantine.confirm */
  int64_t unknown;    /* failures since the last good start, cause open */
  int64_t blamed;     /* the same, but the job succeeds elsewhere */
  int64_t job_faults; /* the same, but the job or task is at fault */
  int64_t withdrawn;  /* withdrawn since the last good start */
  int64_t successes_in_window; /* good starts in the window */
  int64_t blamed_all;
};

/* Evaluations are kept this long, in ms.  The worker's own starts count at
   once; what other workers show about its jobs may take this much longer.  */
#define RR_QUARANTINE_CACHE_MS 1000

struct rr_quarantine_worker
{
  uint64_t id;
  int zone;
  bool out;
  struct rr_time out_since;
  struct rr_time last_start;
  int64_t probes_failed; /* since it was taken out */
  int64_t probes_succeeded;
  struct rr_quarantine_start starts[RR_QUARANTINE_STARTS];
  struct rr_quarantine_start_counts tally;
  bool tally_valid;
  struct rr_time tally_at;
  struct rr_time tally_until;
};

struct rr_quarantine
{
  const struct rr_policy *policy;
  struct rr_id_map index; /* worker id: position + 1 */
  struct rr_quarantine_worker *workers;
  size_t count;
  size_t capacity;
  struct rr_evidence evidence;
};

struct rr_quarantine_worker *
rr_quarantine_worker_find (const struct rr_quarantine *q, uint64_t id);
bool rr_quarantine_succeeds_elsewhere (const struct rr_quarantine *q,
                                       const struct rr_subject *s,
                                       uint64_t worker, struct rr_time now);
bool rr_quarantine_at_fault (const struct rr_quarantine *q,
                             struct rr_subject *s, uint64_t job,
                             uint64_t worker, struct rr_time now);
struct rr_quarantine_start_counts
rr_quarantine_start_counts (const struct rr_quarantine *q,
                            struct rr_quarantine_worker *w,
                            struct rr_time now);

#endif
