#ifndef ROSEMARYRAIL_RELIEF_BUDGET_H
#define ROSEMARYRAIL_RELIEF_BUDGET_H

/* Internal to the relief module: eviction budgets of jobs and teams.  A set of
   budgets that is all zero is empty.  */

#include <stdbool.h>
#include <stddef.h>

#include "rosemaryrail/clock.h"
#include "rosemaryrail/id_map.h"

enum rr_budget_kind
{
  RR_BUDGET_JOB = 1,
  RR_BUDGET_TEAM
};

struct rr_budget
{
  uint64_t key; /* kind and id */
  double used;  /* evictions, reduced at a constant rate over the window */
  struct rr_time at; /* time to which USED refers */
};

struct rr_budgets
{
  struct rr_id_map index; /* key -> position in BUDGETS + 1 */
  struct rr_budget *budgets;
  size_t count;
  size_t capacity;
};

bool rr_budgets_allow (struct rr_budgets *set, enum rr_budget_kind kind,
                       uint64_t id, int64_t max, int64_t window_ms,
                       struct rr_time now);
void rr_budgets_charge (struct rr_budgets *set, enum rr_budget_kind kind,
                        uint64_t id, int64_t max, int64_t window_ms,
                        struct rr_time now);
void rr_budgets_free (struct rr_budgets *set);

#endif
