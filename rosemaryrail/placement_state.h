#ifndef ROSEMARYRAIL_PLACEMENT_STATE_H
#define ROSEMARYRAIL_PLACEMENT_STATE_H

/* Internal to the placement module: the state of the index.  */

#include "placement_index.h"
#include "rosemaryrail/id_map.h"
#include "rosemaryrail/placement.h"

/* A worker and the tasks on it.  */
struct rr_placement_entry
{
  bool used; /* false: the number is free */
  struct rr_placement_worker worker;
  struct rr_size reserved; /* sum over the tasks */
  struct rr_size observed; /* from the last usage report */
  uint32_t service_mask;   /* classes with a non-zero count */
  uint32_t batch_mask;
  uint16_t service_count[RR_CLASSES_MAX];
  uint16_t batch_count[RR_CLASSES_MAX];
  int64_t batch_cores_milli[RR_CLASSES_MAX];
};

struct rr_placement
{
  const struct rr_policy *policy;
  const struct rr_interference *model;
  struct rr_placement_entry *entries;
  size_t count; /* entries, used or free, up to CAPACITY */
  size_t capacity;
  struct rr_index index;
  struct rr_id_map group_tasks; /* rr_spread_key -> number of tasks */
};

bool
rr_placement_over_slowdown_limit (const struct rr_placement *p, int worker,
                                  const struct rr_placement_request *request,
                                  bool exploring);

/* Levels at which the tasks of a group are counted.  */
enum rr_spread_level
{
  RR_SPREAD_WORKER = 1,
  RR_SPREAD_RACK,
  RR_SPREAD_ZONE
};

/* Returns the key of the number of tasks of GROUP on worker LOCATION, or in
   rack or zone LOCATION, by LEVEL.  */
static inline uint64_t
rr_spread_key (uint64_t group, enum rr_spread_level level, int location)
{
  return rr_id_combine (group, ((uint64_t)level << 32) | (uint32_t)location);
}

#endif
