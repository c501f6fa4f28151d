#ifndef TESTS_STATE_UNIT_H
#define TESTS_STATE_UNIT_H

#include <check.h>
#include <stdlib.h>

#include "rosemaryrail/shard_log.h"

struct rr_record unit_job (const char *job, uint32_t tasks);
struct rr_record unit_placed (const char *job, uint32_t task,
                              uint32_t attempt);
struct rr_record unit_running (const char *job, uint32_t task,
                               uint32_t attempt);
struct rr_record unit_ended (const char *job, uint32_t task, uint32_t attempt,
                             enum rr_attempt_result result);
struct rr_record unit_extended (const char *job, uint32_t task,
                                uint32_t attempt, int64_t until);
struct rr_record unit_granted (const char *request, uint64_t holder,
                               uint64_t ask);
struct rr_record unit_result (const char *request, uint64_t holder,
                              uint64_t ask, enum rr_request_outcome outcome);
int unit_run (const char *name, const TTest *const *tests, size_t count);

#endif
