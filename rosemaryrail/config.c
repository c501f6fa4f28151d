#include "rosemaryrail/config.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryrail/config_check.h"

static void *
array_grow (void *items, size_t count, size_t size)
{
  /* Capacities are powers of two, so COUNT tells when one is reached.  */
  if (count != 0 && (count & (count - 1)) != 0)
    return items;
  void *grown = realloc (items, (count == 0 ? 1 : count * 2) * size);
  assert (grown != NULL);
  return grown;
}

/* State of one parse.  */
struct parse
{
  struct rr_config *config;
  struct rr_located_config located;
  struct rr_config_errors *errors;
  struct rr_fields policy;
  struct rr_source_location *limit_locations; /* where each field was set */
  struct rr_source_location *policy_locations;
};

/* Reads an object that may be spread over several files, each field at most
   once.  */
static void
read_merged_object (struct parse *p, struct rr_source_location from,
                    const struct rr_fields *fields,
                    struct rr_source_location *places, void *out, size_t size)
{
  char *values = malloc (size);
  assert (values != NULL);
  memcpy (values, out, size);
  if (from.n->type != json_type_object)
    {
      rr_fields_read (from.d, from.n, fields, values, p->errors);
      free (values);
      return;
    }
  rr_fields_read (from.d, from.n, fields, values, p->errors);
  for (size_t i = 0; i < fields->count; i++)
    {
      const struct rr_field *f = &fields->items[i];
      const struct rr_node *n = rr_node_member (from.d, from.n, f->name);
      if (n == NULL)
        continue;
      if (places[i].n != NULL)
        rr_config_errors_add (
            p->errors, from.d->file, n->key_line, n->key_column,
            "field \"%s\" is already set at %s:%u:%u", f->name,
            places[i].d->file, places[i].n->key_line, places[i].n->key_column);
      else
        {
          places[i] = (struct rr_source_location){ from.d, n };
          memcpy ((char *)out + f->offset, values + f->offset,
                  sizeof (int64_t));
        }
    }
  free (values);
}

static void
read_team (struct parse *p, struct rr_source_location at)
{
  struct rr_located_config *l = &p->located;
  struct rr_located_team t = { .place = at };
  if (!rr_fields_read (at.d, at.n, &rr_config_team_fields, &t.v, p->errors))
    /* Jobs of this team are not to be reported as too large.  */
    t.v.cores_milli = t.v.memory_mb = t.v.accelerators = INT64_MAX;
  if (t.v.name[0] == '\0')
    return;
  l->teams = array_grow (l->teams, l->team_count, sizeof *l->teams);
  l->teams[l->team_count++] = t;
}

static void
read_service (struct parse *p, struct rr_source_location at)
{
  struct rr_located_config *l = &p->located;
  struct rr_located_service s = { .place = at };
  s.valid = rr_fields_read (at.d, at.n, &rr_config_service_fields, &s.v,
                            p->errors);
  l->services
      = array_grow (l->services, l->service_count, sizeof *l->services);
  l->services[l->service_count++] = s;
}

static void
read_job (struct parse *p, struct rr_source_location at)
{
  struct rr_located_config *l = &p->located;
  struct rr_located_job j = { .place = at };
  j.valid
      = rr_fields_read (at.d, at.n, &rr_config_job_fields, &j.v, p->errors);
  l->jobs = array_grow (l->jobs, l->job_count, sizeof *l->jobs);
  l->jobs[l->job_count++] = j;
}

static void
read_drain (struct parse *p, struct rr_source_location at)
{
  static const struct rr_field field
      = { .name = "drains", .kind = RR_FIELD_NAME };
  struct rr_located_config *l = &p->located;
  struct rr_located_drain d = { .place = at };
  if (!rr_field_read (at.d, at.n, &field, &d.v, p->errors))
    return;
  l->drains = array_grow (l->drains, l->drain_count, sizeof *l->drains);
  l->drains[l->drain_count++] = d;
}

static void
read_list (struct parse *p, struct rr_source_location at,
           void (*read) (struct parse *p, struct rr_source_location at))
{
  if (at.n->type != json_type_array)
    {
      rr_document_error (at.d, at.n, p->errors,
                         "field \"%s\": expected an array", at.n->key);
      return;
    }
  const struct rr_node *n;
  for (n = rr_node_first (at.d, at.n);
       n != NULL && p->errors->count < RR_CONFIG_ERRORS_MAX;
       n = rr_node_next (at.d, n))
    read (p, (struct rr_source_location){ at.d, n });
}

static void
read_document (struct parse *p, const struct rr_document *d)
{
  const struct rr_node *n;
  for (n = rr_node_first (d, &d->nodes[0]); n != NULL; n = rr_node_next (d, n))
    {
      struct rr_source_location at = { d, n };
      if (strcmp (n->key, "teams") == 0)
        read_list (p, at, read_team);
      else if (strcmp (n->key, "services") == 0)
        read_list (p, at, read_service);
      else if (strcmp (n->key, "jobs") == 0)
        read_list (p, at, read_job);
      else if (strcmp (n->key, "drains") == 0)
        {
          p->config->drains_given = true;
          read_list (p, at, read_drain);
        }
      else if (strcmp (n->key, "limits") == 0)
        read_merged_object (p, at, &rr_config_limits_fields,
                            p->limit_locations, &p->config->limits,
                            sizeof p->config->limits);
      else if (strcmp (n->key, "policy") == 0)
        read_merged_object (p, at, &p->policy, p->policy_locations,
                            p->config->policy,
                            p->policy.count * sizeof *p->config->policy);
      else
        rr_config_errors_add (p->errors, d->file, n->key_line, n->key_column,
                              "unknown field \"%.60s\" in a configuration; "
                              "expected one of: limits, policy, teams, "
                              "services, jobs, drains",
                              n->key);
    }
}

static int
compare_teams (const void *a, const void *b)
{
  return strcmp (((const struct rr_config_team *)a)->name,
                 ((const struct rr_config_team *)b)->name);
}

static int
compare_services (const void *a, const void *b)
{
  return strcmp (((const struct rr_config_service *)a)->name,
                 ((const struct rr_config_service *)b)->name);
}

static int
compare_jobs (const void *a, const void *b)
{
  const struct rr_config_job *x = a;
  const struct rr_config_job *y = b;
  int order = strcmp (x->team, y->team);
  return order != 0 ? order : strcmp (x->id, y->id);
}

static int
compare_drains (const void *a, const void *b)
{
  return strcmp (((const struct rr_config_drain *)a)->vm,
                 ((const struct rr_config_drain *)b)->vm);
}

static void
job_set_limit_defaults (struct rr_config_job *j,
                        const struct rr_config_limits *limits)
{
  if (j->isolation_limit_ms == 0)
    j->isolation_limit_ms = limits->isolation_limit_ms;
}

static void *
array_new (size_t count, size_t size)
{
  void *items = calloc (count + 1, size);
  assert (items != NULL);
  return items;
}

/* Copies the items that were read into the sorted arrays of the
   configuration.  */
static void
build (struct parse *p)
{
  struct rr_config *c = p->config;
  const struct rr_located_config *l = &p->located;
  c->teams = array_new (l->team_count, sizeof *c->teams);
  for (size_t i = 0; i < l->team_count; i++)
    if (!l->teams[i].duplicate)
      c->teams[c->team_count++] = l->teams[i].v;
  c->services = array_new (l->service_count, sizeof *c->services);
  for (size_t i = 0; i < l->service_count; i++)
    if (l->services[i].valid && !l->services[i].duplicate)
      {
        struct rr_config_service s = l->services[i].v;
        if (s.request_max_bytes == 0)
          s.request_max_bytes = c->limits.request_max_bytes;
        if (s.response_max_bytes == 0)
          s.response_max_bytes = c->limits.response_max_bytes;
        c->services[c->service_count++] = s;
      }
  c->jobs = array_new (l->job_count, sizeof *c->jobs);
  for (size_t i = 0; i < l->job_count; i++)
    if (l->jobs[i].valid && !l->jobs[i].duplicate)
      {
        struct rr_config_job j = l->jobs[i].v;
        job_set_limit_defaults (&j, &c->limits);
        c->jobs[c->job_count++] = j;
      }
  c->drains = array_new (l->drain_count, sizeof *c->drains);
  for (size_t i = 0; i < l->drain_count; i++)
    c->drains[c->drain_count++] = l->drains[i].v;
  qsort (c->teams, c->team_count, sizeof *c->teams, compare_teams);
  qsort (c->services, c->service_count, sizeof *c->services, compare_services);
  qsort (c->jobs, c->job_count, sizeof *c->jobs, compare_jobs);
  qsort (c->drains, c->drain_count, sizeof *c->drains, compare_drains);
}

/* Parses FILES, merges them into one configuration and checks it against
   PARAMETERS, which must outlive it.  Returns null with every error added to
   ERRORS, in the order of the files, when there is any.  The caller frees the
   configuration with rr_config_free.  */
struct rr_config *
rr_config_parse (const struct rr_config_file *files, size_t file_count,
                 struct rr_parameter_table parameters,
                 struct rr_config_errors *errors)
{
  struct parse p = { .errors = errors };
  size_t known_errors = errors->count;
  assert (known_errors < RR_CONFIG_ERRORS_MAX);
  p.config = calloc (1, sizeof *p.config);
  assert (p.config != NULL);
  p.config->parameters = parameters;
  p.config->policy = array_new (parameters.count, sizeof (double));
  rr_config_policy_fields (parameters, &p.policy);
  rr_fields_set_defaults (&rr_config_limits_fields, &p.config->limits);
  rr_fields_set_defaults (&p.policy, p.config->policy);
  p.limit_locations
      = array_new (rr_config_limits_fields.count, sizeof *p.limit_locations);
  p.policy_locations
      = array_new (parameters.count, sizeof *p.policy_locations);
  struct rr_document *documents = array_new (file_count, sizeof *documents);
  bool parsed = true;
  for (size_t i = 0; i < file_count; i++)
    if (rr_document_parse (&documents[i], &files[i], errors))
      read_document (&p, &documents[i]);
    else
      parsed = false;
  rr_config_check_duplicates (&p.located, errors);
  build (&p);
  rr_config_check_policy (p.config, p.policy_locations, errors);
  /* Without all files, names that exist would be reported as unknown.  */
  if (parsed)
    rr_config_check (p.config, &p.located, errors);
  rr_config_errors_sort (errors, files, file_count);
  for (size_t i = 0; i < file_count; i++)
    rr_document_free (&documents[i]);
  free (documents);
  free (p.limit_locations);
  free (p.policy_locations);
  free (p.located.teams);
  free (p.located.services);
  free (p.located.jobs);
  free (p.located.drains);
  rr_config_policy_fields_free (&p.policy);
  if (errors->count == known_errors)
    return p.config;
  rr_config_free (p.config);
  return NULL;
}

/* Parses FILE, one job as an object, and checks it against C: its team and
   quota, and the limits.  An id that C uses is an error as well.  */
bool
rr_config_parse_job (const struct rr_config *c,
                     const struct rr_config_file *file,
                     struct rr_config_job *job,
                     struct rr_config_errors *errors)
{
  struct rr_document d;
  size_t known_errors = errors->count;
  if (rr_document_parse (&d, file, errors))
    {
      struct rr_located_job j = { .place = { &d, &d.nodes[0] } };
      j.valid = rr_fields_read (&d, &d.nodes[0], &rr_config_job_fields, &j.v,
                                errors);
      if (j.valid)
        {
          job_set_limit_defaults (&j.v, &c->limits);
          rr_config_check_job (c, &j, errors);
          if (rr_config_job (c, j.v.id) != NULL)
            rr_document_error (&d, rr_node_member (&d, &d.nodes[0], "id"),
                               errors,
                               "job \"%s\" is part of the configuration; "
                               "expected an unused id",
                               j.v.id);
        }
      *job = j.v;
    }
  rr_document_free (&d);
  rr_config_errors_sort (errors, file, 1);
  return errors->count == known_errors;
}

/* Frees C, which may be null.  */
void
rr_config_free (struct rr_config *c)
{
  if (c == NULL)
    return;
  free (c->teams);
  free (c->services);
  free (c->jobs);
  free (c->drains);
  free (c->policy);
  free (c);
}

/* Returns the team NAME of C or null.  */
const struct rr_config_team *
rr_config_team (const struct rr_config *c, const char *name)
{
  struct rr_config_team key = { 0 };
  if (!rr_name_valid (name, strlen (name)))
    return NULL;
  snprintf (key.name, sizeof key.name, "%s", name);
  return bsearch (&key, c->teams, c->team_count, sizeof key, compare_teams);
}

/* Returns the service NAME of C or null.  */
const struct rr_config_service *
rr_config_service (const struct rr_config *c, const char *name)
{
  struct rr_config_service key = { 0 };
  if (!rr_name_valid (name, strlen (name)))
    return NULL;
  snprintf (key.name, sizeof key.name, "%s", name);
  return bsearch (&key, c->services, c->service_count, sizeof key,
                  compare_services);
}

/* Returns the job ID of C or null.  */
const struct rr_config_job *
rr_config_job (const struct rr_config *c, const char *id)
{
  for (size_t i = 0; i < c->job_count; i++)
    if (strcmp (c->jobs[i].id, id) == 0)
      return &c->jobs[i];
  return NULL;
}

/* Tells whether the operator drains VM.  */
bool
rr_config_is_drained (const struct rr_config *c, const char *vm)
{
  struct rr_config_drain key = { 0 };
  if (c->drain_count == 0 || !rr_name_valid (vm, strlen (vm)))
    return false;
  snprintf (key.vm, sizeof key.vm, "%s", vm);
  return bsearch (&key, c->drains, c->drain_count, sizeof key, compare_drains)
         != NULL;
}

/* Reads the policy parameter NAME (without its unit); false when the table
   has none.  */
bool
rr_config_policy (const struct rr_config *c, const char *name, double *value)
{
  for (size_t i = 0; i < c->parameters.count; i++)
    if (strcmp (c->parameters.items[i].name, name) == 0)
      {
        *value = c->policy[i];
        return true;
      }
  return false;
}

static void *
array_copy (const void *items, size_t count, size_t size)
{
  void *copy = array_new (count + 1, size);
  if (count > 0)
    memcpy (copy, items, count * size);
  return copy;
}

/* Returns a copy of C in which VM is drained, or no longer is.  VM must be a
   valid name.  The caller frees it with rr_config_free.  */
struct rr_config *
rr_config_with_drain (const struct rr_config *c, const char *vm, bool drained)
{
  assert (rr_name_valid (vm, strlen (vm)));
  struct rr_config *n = array_copy (c, 1, sizeof *c);
  n->teams = array_copy (c->teams, c->team_count, sizeof *c->teams);
  n->services
      = array_copy (c->services, c->service_count, sizeof *c->services);
  n->jobs = array_copy (c->jobs, c->job_count, sizeof *c->jobs);
  n->drains = array_copy (c->drains, c->drain_count, sizeof *c->drains);
  n->policy = array_copy (c->policy, c->parameters.count, sizeof *c->policy);
  n->drain_count = 0;
  for (size_t i = 0; i < c->drain_count; i++)
    if (strcmp (c->drains[i].vm, vm) != 0)
      n->drains[n->drain_count++] = c->drains[i];
  if (drained)
    snprintf (n->drains[n->drain_count++].vm, RR_CONFIG_NAME_SIZE, "%s", vm);
  qsort (n->drains, n->drain_count, sizeof *n->drains, compare_drains);
  return n;
}

/* Gives C the drains of IN_FORCE unless its files have their own.  */
void
rr_config_inherit_drains (struct rr_config *c,
                          const struct rr_config *in_force)
{
  if (c->drains_given)
    return;
  free (c->drains);
  c->drains = array_copy (in_force->drains, in_force->drain_count,
                          sizeof *in_force->drains);
  c->drain_count = in_force->drain_count;
  c->drains_given = true;
}
