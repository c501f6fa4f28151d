#ifndef ROSEMARYRAIL_PROGRESS_H
#define ROSEMARYRAIL_PROGRESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rosemaryrail/error.h"
#include "rosemaryrail/job_graph.h"
#include "rosemaryrail/run_set.h"

enum rr_job_phase
{
  RR_PHASE_QUEUED, /* no task has started */
  RR_PHASE_ACTIVE,
  RR_PHASE_COMPLETED,
  RR_PHASE_FAILED,
  RR_PHASE_CANCELLED
};

/* Durable state of one task.  Task numbers count through all occurrences and
   steps.  */
struct rr_progress_row
{
  uint32_t number;
  uint64_t run; /* highest run known to have ended */
  /* Bit I: the end of run RUN - I has been processed.  */
  uint64_t recorded_ends;
  uint32_t failures;
  uint32_t crashes; /* of workers in a row, soon after they started it */
  bool done;
  struct rr_text *checkpoint;
  uint64_t checkpoint_run; /* that saved it; 0: unknown */
  /* Runs 64 or more below RUN whose ends have been processed.  */
  struct rr_run_set older_ends;
  struct rr_run_set failed_runs; /* counted in FAILURES */
};

/* The stored progress of a job.  */
struct rr_progress
{
  enum rr_job_phase phase;
  struct rr_progress_row *rows;
  size_t row_count;
};

char *rr_progress_encode (const struct rr_progress *p);
struct rr_progress *rr_progress_decode (const char *text, size_t length,
                                        struct rr_error *err);
void rr_progress_free (struct rr_progress *p);
bool rr_job_phase_final (enum rr_job_phase phase);
const char *rr_job_phase_name (enum rr_job_phase phase);

#endif
