#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryrail/config_check.h"

/* The only place that binds the configuration to the policy's parameters.  */

/* Returns the parameters that the decision modules read.  */
struct rr_parameter_table
rr_config_parameters (void)
{
  struct rr_parameter_table table;
  table.items = rr_policy_parameters (&table.count);
  return table;
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
field_name (const struct rr_policy_parameter *p)
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
      const struct rr_policy_parameter *p = &table.items[i];
      items[i] = (struct rr_field){ .name = field_name (p),
                                    .kind = p->type == RR_POLICY_INTEGER
                                                ? RR_FIELD_WHOLE
                                                : RR_FIELD_NUMBER,
                                    .offset = i * sizeof (double),
                                    .min = p->minimum,
                                    .max = p->maximum,
                                    .value_default = p->fallback };
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

/* Sets every parameter of POLICY as C says.  */
void
rr_config_policy_fill (const struct rr_config *c, struct rr_policy *policy)
{
  rr_policy_init (policy);
  for (size_t i = 0; i < c->parameters.count; i++)
    rr_policy_set (policy, c->parameters.items[i].name, c->policy[i], NULL);
}

/* Checks the rules between parameters.  PLACES tells where each was set; the
   error is reported at one of those that the rule names.  */
void
rr_config_check_policy (const struct rr_config *c,
                        const struct rr_source_location *places,
                        struct rr_config_errors *errors)
{
  struct rr_policy policy;
  struct rr_error err = { 0 };
  rr_config_policy_fill (c, &policy);
  if (rr_policy_check (&policy, &err))
    return;
  const struct rr_source_location *place = NULL;
  for (size_t i = 0; i < c->parameters.count; i++)
    if (places[i].n != NULL
        && (place == NULL
            || strstr (err.message, c->parameters.items[i].name) != NULL))
      place = &places[i];
  assert (place != NULL); /* the defaults agree with each other */
  rr_document_error (place->d, place->n, errors, "%s", err.message);
}
