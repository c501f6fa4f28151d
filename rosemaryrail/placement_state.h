#ifndef ROSEMARYRAIL_PLACEMENT_STATE_H
#define ROSEMARYRAIL_PLACEMENT_STATE_H

/* Internal to the placement module.  */

#include "placement_index.h"
#include "rosemaryrail/id_map.h"
#include "rosemaryrail/placement.h"

struct rr_placement_entry
{
  bool used;
  struct rr_placement_worker worker;
  struct rr_size reserved;
  struct rr_size observed;
  uint32_t service_mask; /* classes with a non-zero count */
  uint32_t batch_mask;
  uint16_t service_count[RR_CLASSES_MAX];
  uint16_t batch_count[RR_CLASSES_MAX];
  int64_t batch_cores_milli[RR_CLASSES_MAX];
};

struct rr_placement
{
  const struct rr_policy *policy;
  const struct rr_interference *model;
  struct rr_placement_entry *slots;
  size_t count; /* slots in use or free, below capacity */
  size_t capacity;
  struct rr_index index;
  struct rr_id_map nearby; /* (group, worker|rack|zone): tasks */
};

bool
rr_placement_over_slowdown_limit (const struct rr_placement *p, int worker,
                                  const struct rr_placement_request *request,
                                  bool exploring);

enum rr_spread_level
{
  RR_SPREAD_WORKER = 1,
  RR_SPREAD_RACK,
  RR_SPREAD_ZONE
};

/* Returns the key of the number of tasks of GROUP in a place.  */
static inline uint64_t
rr_spread_key (uint64_t group, enum rr_spread_level level, int place)
{
  return rr_id_pair (group, ((uint64_t)level << 32) | (uint32_t)place);
}

#endif
