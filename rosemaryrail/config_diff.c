#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryrail/config_check.h"

static const char *
value_text (struct json_object *o)
{
  return json_object_to_json_string_ext (
      o, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);
}

/* Writes one line for each field that differs.  */
static void
diff_fields (FILE *out, const char *kind, const char *name,
             const struct rr_fields *fields, const void *from, const void *to)
{
  for (size_t i = 0; i < fields->count; i++)
    {
      struct json_object *a = rr_field_json (&fields->items[i], from);
      struct json_object *b = rr_field_json (&fields->items[i], to);
      if (strcmp (value_text (a), value_text (b)) != 0)
        {
          fprintf (out, "~ %s%s%s: %s %s", kind, name[0] ? " " : "", name,
                   fields->items[i].name, value_text (a));
          fprintf (out, " -> %s\n", value_text (b));
        }
      json_object_put (a);
      json_object_put (b);
    }
}

/* Writes one line for an item that only one of the configurations has.  The
   first field of an item is its name.  */
static void
write_item (FILE *out, char sign, const char *kind,
            const struct rr_fields *fields, const void *item)
{
  fprintf (out, "%c %s %s:", sign, kind,
           (const char *)item + fields->items[0].offset);
  for (size_t i = 1; i < fields->count; i++)
    {
      struct json_object *v = rr_field_json (&fields->items[i], item);
      fprintf (out, "%s %s %s", i == 1 ? "" : ",", fields->items[i].name,
               value_text (v));
      json_object_put (v);
    }
  fputc ('\n', out);
}

/* Array of items of one kind, sorted by their first field, the name.  */
struct item_list
{
  const char *items;
  size_t count;
  size_t size;
};

static const char *
item_name (const struct rr_fields *fields, const void *item)
{
  return (const char *)item + fields->items[0].offset;
}

/* Writes the differences of two lists that are sorted by name.  */
static void
diff_lists (FILE *out, const char *kind, const struct rr_fields *fields,
            struct item_list from, struct item_list to)
{
  size_t a = 0;
  size_t b = 0;
  while (a < from.count || b < to.count)
    {
      const char *x = from.items + a * from.size;
      const char *y = to.items + b * to.size;
      int order;
      if (a == from.count)
        order = 1;
      else if (b == to.count)
        order = -1;
      else
        order = strcmp (item_name (fields, x), item_name (fields, y));
      if (order < 0)
        write_item (out, '-', kind, fields, x);
      else if (order > 0)
        write_item (out, '+', kind, fields, y);
      else
        diff_fields (out, kind, item_name (fields, x), fields, x, y);
      a += order <= 0;
      b += order >= 0;
    }
}

static int
compare_job_ids (const void *a, const void *b)
{
  return strcmp (((const struct rr_config_job *)a)->id,
                 ((const struct rr_config_job *)b)->id);
}

/* Returns the jobs of C sorted by id, so that a job that moved to another team
   is shown as changed and not as removed and added.  */
static struct rr_config_job *
jobs_by_id (const struct rr_config *c)
{
  struct rr_config_job *jobs = calloc (c->job_count + 1, sizeof *jobs);
  assert (jobs != NULL);
  if (c->job_count > 0)
    memcpy (jobs, c->jobs, c->job_count * sizeof *jobs);
  qsort (jobs, c->job_count, sizeof *jobs, compare_job_ids);
  return jobs;
}

static void
diff_drains (FILE *out, const struct rr_config *from,
             const struct rr_config *to)
{
  for (size_t i = 0; i < from->drain_count; i++)
    if (!rr_config_is_drained (to, from->drains[i].vm))
      fprintf (out, "- drain %s\n", from->drains[i].vm);
  for (size_t i = 0; i < to->drain_count; i++)
    if (!rr_config_is_drained (from, to->drains[i].vm))
      fprintf (out, "+ drain %s\n", to->drains[i].vm);
}

/* Returns the differences between FROM and TO, one line for each: "+" for an
   added item, "-" for a removed one, "~" for a changed field.  A null FROM
   means an empty configuration.  The text is empty when there is no
   difference; the caller frees it.  */
char *
rr_config_diff (const struct rr_config *from, const struct rr_config *to)
{
  struct rr_config *empty = NULL;
  if (from == NULL)
    {
      struct rr_config_errors errors = { 0 };
      empty = rr_config_parse (NULL, 0, to->parameters, &errors);
      from = empty;
    }
  char *text = NULL;
  size_t length = 0;
  FILE *out = open_memstream (&text, &length);
  assert (out != NULL && from != NULL);
  diff_fields (out, "limits", "", &rr_config_limits_fields, &from->limits,
               &to->limits);
  struct rr_fields policy;
  rr_config_policy_fields (to->parameters, &policy);
  if (from->parameters.items == to->parameters.items)
    diff_fields (out, "policy", "", &policy, from->policy, to->policy);
  rr_config_policy_fields_free (&policy);
  diff_lists (out, "team", &rr_config_team_fields,
              (struct item_list){ (const char *)from->teams, from->team_count,
                                  sizeof *from->teams },
              (struct item_list){ (const char *)to->teams, to->team_count,
                                  sizeof *to->teams });
  diff_lists (out, "service", &rr_config_service_fields,
              (struct item_list){ (const char *)from->services,
                                  from->service_count,
                                  sizeof *from->services },
              (struct item_list){ (const char *)to->services,
                                  to->service_count, sizeof *to->services });
  struct rr_config_job *a = jobs_by_id (from);
  struct rr_config_job *b = jobs_by_id (to);
  diff_lists (
      out, "job", &rr_config_job_fields,
      (struct item_list){ (const char *)a, from->job_count, sizeof *a },
      (struct item_list){ (const char *)b, to->job_count, sizeof *b });
  free (a);
  free (b);
  diff_drains (out, from, to);
  fclose (out);
  rr_config_free (empty);
  return text;
}
