#include "rosemaryrail/config_check.h"

enum
{
  CORES_MILLI_MAX = 1024000, /* of one VM */
  MEMORY_MB_MAX = 16777216,
  ACCELERATORS_MAX = 64,
  QUOTA_MAX = 1000000000,
  /* A forwarded body must fit into an RPC record of at most 1 MB.  */
  BODY_MAX_BYTES = 900 * 1024,
  DEADLINE_MAX_MS = 3600000,
  ISOLATION_MAX_MS = 604800000, /* a week */
  TASKS_MAX = 100000,
};

#define WORK_MAX_MS 7776000000.0 /* 90 days */

#define INT_FIELD(type, field, low, high, fallback)                           \
  {                                                                           \
    .name = #field, .kind = RR_FIELD_INT,                                     \
    .offset = offsetof (struct type, field), .min = (low), .max = (high),     \
    .value_default = (fallback)                                               \
  }

#define REQUIRED_INT_FIELD(type, field, low, high)                            \
  {                                                                           \
    .name = #field, .kind = RR_FIELD_INT, .required = true,                   \
    .offset = offsetof (struct type, field), .min = (low), .max = (high)      \
  }

#define NAME_FIELD(type, text, field)                                         \
  {                                                                           \
    .name = (text), .kind = RR_FIELD_NAME, .required = true,                  \
    .offset = offsetof (struct type, field)                                   \
  }

static const struct rr_field limits_fields[] = {
  INT_FIELD (rr_config_limits, requests_per_s, 1, 1000000, 10000),
  INT_FIELD (rr_config_limits, request_max_bytes, 1, BODY_MAX_BYTES, 262144),
  INT_FIELD (rr_config_limits, response_max_bytes, 1, BODY_MAX_BYTES, 262144),
  INT_FIELD (rr_config_limits, deadline_max_ms, 1, DEADLINE_MAX_MS, 60000),
  INT_FIELD (rr_config_limits, concurrency_per_service, 1, 100000, 1024),
  INT_FIELD (rr_config_limits, jobs, 1, 100000, 10000),
  INT_FIELD (rr_config_limits, tasks_per_job, 1, TASKS_MAX, 1000),
  INT_FIELD (rr_config_limits, task_cores_milli, 1, CORES_MILLI_MAX,
             CORES_MILLI_MAX),
  INT_FIELD (rr_config_limits, task_memory_mb, 1, MEMORY_MB_MAX,
             MEMORY_MB_MAX),
  INT_FIELD (rr_config_limits, task_accelerators, 0, ACCELERATORS_MAX,
             ACCELERATORS_MAX),
  INT_FIELD (rr_config_limits, isolation_limit_ms, 1000, ISOLATION_MAX_MS,
             7200000),
};

static const struct rr_field team_fields[] = {
  NAME_FIELD (rr_config_team, "name", name),
  REQUIRED_INT_FIELD (rr_config_team, cores_milli, 0, QUOTA_MAX),
  REQUIRED_INT_FIELD (rr_config_team, memory_mb, 0, QUOTA_MAX),
  INT_FIELD (rr_config_team, accelerators, 0, QUOTA_MAX, 0),
  { .name = "weight",
    .kind = RR_FIELD_NUMBER,
    .offset = offsetof (struct rr_config_team, weight),
    .min = 0.01,
    .max = 1000,
    .value_default = 1 },
  INT_FIELD (rr_config_team, requests_per_s, 0, 1000000, 1000),
};

/* A size limit of 0 means "absent" and is replaced by the value from the
   limits.  */
static const struct rr_field service_fields[] = {
  NAME_FIELD (rr_config_service, "name", name),
  NAME_FIELD (rr_config_service, "class", class_name),
  NAME_FIELD (rr_config_service, "team", team),
  REQUIRED_INT_FIELD (rr_config_service, instances, 1, 10000),
  REQUIRED_INT_FIELD (rr_config_service, cores_milli, 1, CORES_MILLI_MAX),
  REQUIRED_INT_FIELD (rr_config_service, memory_mb, 1, MEMORY_MB_MAX),
  INT_FIELD (rr_config_service, accelerators, 0, ACCELERATORS_MAX, 0),
  REQUIRED_INT_FIELD (rr_config_service, deadline_ms, 1, DEADLINE_MAX_MS),
  INT_FIELD (rr_config_service, concurrency, 1, 1000, 8),
  INT_FIELD (rr_config_service, request_max_bytes, 1, BODY_MAX_BYTES, 0),
  INT_FIELD (rr_config_service, response_max_bytes, 1, BODY_MAX_BYTES, 0),
};

static const struct rr_field job_fields[] = {
  NAME_FIELD (rr_config_job, "id", id),
  NAME_FIELD (rr_config_job, "team", team),
  NAME_FIELD (rr_config_job, "class", class_name),
  INT_FIELD (rr_config_job, tasks, 1, TASKS_MAX, 1),
  REQUIRED_INT_FIELD (rr_config_job, cores_milli, 1, CORES_MILLI_MAX),
  REQUIRED_INT_FIELD (rr_config_job, memory_mb, 1, MEMORY_MB_MAX),
  INT_FIELD (rr_config_job, accelerators, 0, ACCELERATORS_MAX, 0),
  REQUIRED_INT_FIELD (rr_config_job, work_ms, 1, WORK_MAX_MS),
  { .name = "urgent",
    .kind = RR_FIELD_BOOL,
    .offset = offsetof (struct rr_config_job, urgent) },
  INT_FIELD (rr_config_job, isolation_limit_ms, 1000, ISOLATION_MAX_MS, 0),
};

const struct rr_fields rr_config_limits_fields
    = { "the limits", limits_fields, RR_FIELD_COUNT (limits_fields) };
const struct rr_fields rr_config_team_fields
    = { "a team", team_fields, RR_FIELD_COUNT (team_fields) };
const struct rr_fields rr_config_service_fields
    = { "a service", service_fields, RR_FIELD_COUNT (service_fields) };
const struct rr_fields rr_config_job_fields
    = { "a job", job_fields, RR_FIELD_COUNT (job_fields) };
