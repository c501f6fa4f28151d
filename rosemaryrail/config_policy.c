#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryrail/config_check.h"

/* The only place that binds the configuration to the policy's parameters.
   This table stands in until include/rosemaryrail/policy.h provides one.  */
static const struct rr_parameter parameters[] = {
  { "interference.half_life", "ms", 60000, 86400000, 600000, true },
  { "relief.hot_ratio", "ratio", 1.01, 10, 1.25, false },
  { "relief.settle", "ms", 0, 600000, 2000, true },
  { "relief.task_evictions_max", "count", 0, 100, 2, true },
  { "relief.job_evictions_max", "count", 0, 10000, 4, true },
  { "quarantine.failures", "count", 1, 5, 3, true },
  { "pacing.restarts", "1/s", 0.1, 1000, 40, false },
};

/* Returns the parameters that the decision modules read.  */
struct rr_parameter_table
rr_config_parameters (void)
{
  return (struct rr_parameter_table){ parameters,
                                      RR_FIELD_COUNT (parameters) };
}

static const char *
unit_suffix (const char *unit)
{
  if (strcmp (unit, "count") == 0 || strcmp (unit, "ratio") == 0)
    return "";
  return strcmp (unit, "1/s") == 0 ? "per_s" : unit;
}

/* Returns the name of the field for P; the caller frees it.  */
static char *
field_name (const struct rr_parameter *p)
{
  char *name = NULL;
  const char *suffix = unit_suffix (p->unit);
  int n = asprintf (&name, "%s%s%s", p->name, suffix[0] ? "_" : "", suffix);
  assert (n > 0);
  (void)n;
  for (char *c = name; *c != '\0'; c++)
    if (*c == '.')
      *c = '_';
  return name;
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
      items[i] = (struct rr_field){ .name = field_name (p),
                                    .kind = p->whole ? RR_FIELD_WHOLE
                                                     : RR_FIELD_NUMBER,
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
