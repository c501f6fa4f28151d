#ifndef ROSEMARYRAIL_QUARANTINE_STATE_H
#define ROSEMARYRAIL_QUARANTINE_STATE_H

/* Internal to the quarantine module: the recorded starts of each worker and
   their evaluation.  */

#include "quarantine_evidence.h"
#include "rosemaryrail/id_map.h"
#include "rosemaryrail/quarantine.h"

/* Number of starts recorded for each worker; several times its slots.  */
#define RR_QUARANTINE_STARTS 32

enum rr_start_state
{
  RR_START_UNUSED,
  RR_START_PENDING,
  RR_START_SUCCEEDED,
  RR_START_FAILED,
  RR_START_WITHDRAWN /* moved or cancelled before it counted as a success */
};

struct rr_quarantine_start
{
  enum rr_start_state state;
  bool confirmed; /* ran for quarantine.confirm; recorded as a success */
  uint64_t task;
  uint64_t job;
  struct rr_time at; /* of the start */
  struct rr_time ended_at;
};

/* Recorded starts of a worker, counted by outcome and cause.  */
struct rr_quarantine_start_counts
{
  int64_t pending; /* running for less than quarantine.confirm */
  /* Failures since the last successful start, by cause.  */
  int64_t undetermined;
  int64_t worker_faults; /* the job succeeds on other workers */
  int64_t job_faults;    /* the job or task fails on other workers too */
  int64_t withdrawn;     /* withdrawn since the last successful start */
  /* In quarantine.window, whether or not a successful start followed.  */
  int64_t successes_in_window;
  int64_t worker_faults_in_window;
};

/* Time in ms for which an evaluation is cached.  A change of the worker's own
   starts invalidates it at once; outcomes of its jobs on other workers take
   effect with up to this delay.  */
#define RR_QUARANTINE_CACHE_MS 1000

struct rr_quarantine_worker
{
  uint64_t id;
  int zone;
  bool quarantined;
  struct rr_time quarantined_since;
  struct rr_time last_start;
  int64_t probes_failed; /* since the worker was quarantined */
  int64_t probes_succeeded;
  struct rr_quarantine_start starts[RR_QUARANTINE_STARTS];
  struct rr_quarantine_start_counts start_counts;
  bool start_counts_valid;
  struct rr_time start_counts_at;
  struct rr_time start_counts_until;
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
bool rr_quarantine_subject_succeeds_elsewhere (const struct rr_quarantine *q,
                                               const struct rr_subject *s,
                                               uint64_t worker,
                                               struct rr_time now);
bool rr_quarantine_subject_at_fault (const struct rr_quarantine *q,
                                     struct rr_subject *s, uint64_t job,
                                     uint64_t worker, struct rr_time now);
struct rr_quarantine_start_counts
rr_quarantine_start_counts (const struct rr_quarantine *q,
                            struct rr_quarantine_worker *w,
                            struct rr_time now);

#endif
