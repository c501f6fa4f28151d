#ifndef ROSEMARYRAIL_QUARANTINE_H
#define ROSEMARYRAIL_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rosemaryrail/clock.h"
#include "rosemaryrail/policy.h"

/* Quarantine of the workers of one ledger owner: workers on which tasks fail
   get no new tasks, except for probes.  A worker id identifies one incarnation
   of a VM and is never 0.  */
struct rr_quarantine;

enum rr_quarantine_state
{
  RR_QUARANTINE_CLEAR,
  RR_QUARANTINE_SUSPECT, /* has failures not attributed to a job or task */
  RR_QUARANTINE_CAPPED,  /* over the limits, but the cap on quarantined workers
                            is reached; starts are rate-limited */
  RR_QUARANTINE_ACTIVE,  /* quarantined: only probes are started */
  RR_QUARANTINE_EXHAUSTED /* quarantined, and all starts are used: no probe
                             either until the worker's incarnation changes or
                             quarantine.reopen has passed */
};

/* Whether a worker may be given a new start.  */
enum rr_quarantine_verdict
{
  RR_QUARANTINE_ALLOW,
  RR_QUARANTINE_PROBE, /* only as a probe: select a task of a job that
                          succeeded recently */
  RR_QUARANTINE_WAIT   /* no start at this time */
};

struct rr_quarantine_counts
{
  size_t workers;
  size_t suspect;
  size_t out;    /* quarantined: active and exhausted */
  size_t capped; /* not quarantined only because of the cap */
};

struct rr_quarantine *rr_quarantine_new (const struct rr_policy *policy);
void rr_quarantine_free (struct rr_quarantine *q);

void rr_quarantine_worker_add (struct rr_quarantine *q, uint64_t worker,
                               int zone);
void rr_quarantine_worker_remove (struct rr_quarantine *q, uint64_t worker);

enum rr_quarantine_verdict rr_quarantine_check (struct rr_quarantine *q,
                                                uint64_t worker,
                                                struct rr_time now);
void rr_quarantine_attempt_started (struct rr_quarantine *q, uint64_t worker,
                                    uint64_t task, uint64_t job,
                                    struct rr_time now);
void rr_quarantine_attempt_succeeded (struct rr_quarantine *q, uint64_t worker,
                                      uint64_t task, uint64_t job,
                                      struct rr_time now);
void rr_quarantine_attempt_failed (struct rr_quarantine *q, uint64_t worker,
                                   uint64_t task, uint64_t job,
                                   struct rr_time now);
void rr_quarantine_attempt_withdrawn (struct rr_quarantine *q, uint64_t worker,
                                      uint64_t task);

enum rr_quarantine_state rr_quarantine_state (struct rr_quarantine *q,
                                              uint64_t worker,
                                              struct rr_time now);
bool rr_quarantine_job_suspect (struct rr_quarantine *q, uint64_t job,
                                struct rr_time now);
bool rr_quarantine_job_succeeded_recently (struct rr_quarantine *q,
                                           uint64_t job, struct rr_time now);
void rr_quarantine_count (struct rr_quarantine *q, struct rr_time now,
                          struct rr_quarantine_counts *out);

#endif
