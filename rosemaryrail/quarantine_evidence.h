#ifndef ROSEMARYRAIL_QUARANTINE_EVIDENCE_H
#define ROSEMARYRAIL_QUARANTINE_EVIDENCE_H

/* Internal to the quarantine module: on which workers a job, or a single
   task, succeeded and failed.  */

#include "rosemaryrail/id_map.h"
#include "rosemaryrail/quarantine.h"

/* Enough to tell a bad job (2 to 10 other workers) from a bad worker.  */
#define RR_SUBJECT_WORKERS 12

struct rr_subject_outcome
{
  uint64_t worker;
  struct rr_time at;
};

struct rr_subject
{
  uint64_t key;
  struct rr_time at; /* of the last outcome */
  int failure_count;
  struct rr_subject_outcome failure[RR_SUBJECT_WORKERS];
  bool judged; /* the masks below are valid */
  struct rr_time judged_at;
  unsigned trusted_mask; /* failures on workers known to work */
  unsigned open_mask;    /* failures on workers not known to be bad */
  int success_count;
  struct rr_subject_outcome success[2]; /* distinct workers, newest first */
};

struct rr_evidence
{
  struct rr_id_map index; /* subject key: position + 1 */
  struct rr_subject *subjects;
  size_t count;
  size_t capacity;
};

enum rr_subject_kind
{
  RR_SUBJECT_JOB = 1,
  RR_SUBJECT_TASK
};

struct rr_subject *rr_evidence_find (const struct rr_evidence *e,
                                     enum rr_subject_kind kind, uint64_t id);
void rr_evidence_add (struct rr_evidence *e, enum rr_subject_kind kind,
                      uint64_t id, uint64_t worker, bool success,
                      struct rr_time now, int64_t window_ms);
void rr_evidence_withdraw (struct rr_evidence *e, enum rr_subject_kind kind,
                           uint64_t id, uint64_t worker);
void rr_evidence_free (struct rr_evidence *e);

#endif
