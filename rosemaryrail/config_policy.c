#include <assert.h>
#include <stdio.h>
#include <stdlib.h>

#include "rosemaryrail/config_check.h"

/* The only place that binds the configuration to the policy's parameters.
   This table stands in until include/rosemaryrail/policy.h provides one.  */
static const struct rr_parameter parameters[] = {
  { "interference_half_life", "ms", 1000, 86400000, 1800000 },
  { "relief_hold", "ms", 100, 3600000, 10000 },
  { "eviction_budget_per_job", "", 0, 100, 2 },
  { "retry_budget", "percent", 0, 100, 10 },
  { "quarantine_failures", "", 1, 100, 5 },
  { "quarantine_workers_max", "percent", 0, 50, 10 },
};

/* Returns the parameters that the decision modules read.  */
struct rr_parameter_table
rr_config_parameters (void)
{
  return (struct rr_parameter_table){ parameters,
                                      RR_FIELD_COUNT (parameters) };
}

/* Fills FIELDS for an array of doubles in the order of TABLE.  */
void
rr_config_policy_fields (struct rr_parameter_table table,
                         struct rr_fields *fields)
{
  struct rr_field *items = calloc (table.count + 1, sizeof *items);
  assert (items != NULL);
  for (size_t i = 0; i < table.count; i++)
    {
      const struct rr_parameter *p = &table.items[i];
      char *name = NULL;
      int n = asprintf (&name, "%s%s%s", p->name, p->unit[0] ? "_" : "",
                        p->unit);
      assert (n > 0);
      (void)n;
      items[i] = (struct rr_field){ .name = name,
                                    .kind = RR_FIELD_NUMBER,
                                    .offset = i * sizeof (double),
                                    .min = p->min,
                                    .max = p->max,
                                    .value_default = p->value_default };
    }
  *fields = (struct rr_fields){ "the policy", items, table.count };
}

/* Frees what rr_config_policy_fields allocated.  */
void
rr_config_policy_fields_free (struct rr_fields *fields)
{
  for (size_t i = 0; i < fields->count; i++)
    free ((char *)fields->items[i].name);
  free ((struct rr_field *)fields->items);
}
