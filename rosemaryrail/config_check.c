#include "rosemaryrail/config_check.h"

#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Adds an error at member KEY of the object at PLACE, or at the object when
   the member is absent and its default breaks the rule.  */
#define ERROR_AT(errors, place, key, ...)                                     \
  rr_document_error ((place).d, member_or_self (place, key), errors,          \
                     __VA_ARGS__)

static const struct rr_node *
member_or_self (struct rr_source_location place, const char *key)
{
  const struct rr_node *n = NULL;
  if (key != NULL)
    n = rr_node_member (place.d, place.n, key);
  return n != NULL ? n : place.n;
}

struct named
{
  const char *name;
  struct rr_source_location place;
  size_t order;
  bool *duplicate; /* set when the name was used before */
};

static int
compare_named (const void *a, const void *b)
{
  const struct named *x = a;
  const struct named *y = b;
  int order = strcmp (x->name, y->name);
  if (order != 0)
    return order;
  return x->order < y->order ? -1 : x->order > y->order;
}

/* Reports every item whose name was used before; KEY is the member that holds
   the name, or null when the item itself is the name.  */
static void
check_duplicates (struct named *items, size_t count, const char *kind,
                  const char *key, struct rr_config_errors *errors)
{
  qsort (items, count, sizeof *items, compare_named);
  const struct named *first = items;
  for (size_t i = 1; i < count; i++)
    if (strcmp (items[i].name, first->name) != 0)
      first = &items[i];
    else
      {
        const struct rr_node *n = member_or_self (first->place, key);
        *items[i].duplicate = true;
        ERROR_AT (errors, items[i].place, key,
                  "duplicate %s \"%s\"; first at %s:%u:%u", kind,
                  items[i].name, first->place.d->file, n->line, n->column);
      }
}

/* Reports and marks all items with a name that an earlier one has.  */
void
rr_config_check_duplicates (struct rr_located_config *l,
                            struct rr_config_errors *errors)
{
  size_t most
      = l->team_count + l->service_count + l->job_count + l->drain_count + 1;
  struct named *items = calloc (most, sizeof *items);
  assert (items != NULL);
  size_t n = 0;
  for (size_t i = 0; i < l->team_count; i++, n++)
    items[n] = (struct named){ l->teams[i].v.name, l->teams[i].place, i,
                               &l->teams[i].duplicate };
  check_duplicates (items, n, "team", "name", errors);
  n = 0;
  for (size_t i = 0; i < l->service_count; i++)
    if (l->services[i].v.name[0] != '\0')
      items[n++] = (struct named){ l->services[i].v.name, l->services[i].place,
                                   i, &l->services[i].duplicate };
  check_duplicates (items, n, "service", "name", errors);
  n = 0;
  for (size_t i = 0; i < l->job_count; i++)
    if (l->jobs[i].v.id[0] != '\0')
      items[n++] = (struct named){ l->jobs[i].v.id, l->jobs[i].place, i,
                                   &l->jobs[i].duplicate };
  check_duplicates (items, n, "job", "id", errors);
  n = 0;
  for (size_t i = 0; i < l->drain_count; i++, n++)
    items[n] = (struct named){ l->drains[i].v.vm, l->drains[i].place, i,
                               &l->drains[i].duplicate };
  check_duplicates (items, n, "drain", NULL, errors);
  free (items);
}

enum
{
  RESOURCES = 3 /* cores_milli, memory_mb, accelerators */
};

/* What the services of a team need together, and the largest of them alone;
   in the order of the configuration's teams.  */
struct team_usage
{
  int64_t total[RESOURCES];
  int64_t largest[RESOURCES];
};

static struct team_usage *
team_usage_new (const struct rr_config *c)
{
  struct team_usage *use = calloc (c->team_count + 1, sizeof *use);
  assert (use != NULL);
  for (size_t i = 0; i < c->service_count; i++)
    {
      const struct rr_config_service *s = &c->services[i];
      const struct rr_config_team *team = rr_config_team (c, s->team);
      const int64_t sizes[RESOURCES]
          = { s->cores_milli, s->memory_mb, s->accelerators };
      for (size_t k = 0; team != NULL && k < RESOURCES; k++)
        {
          struct team_usage *u = &use[team - c->teams];
          int64_t n = s->instances * sizes[k];
          u->total[k] += n;
          if (n > u->largest[k])
            u->largest[k] = n;
        }
    }
  return use;
}

/* One kind of resource of a task, a service's instance or a quota.  */
struct resource
{
  const char *field;
  int64_t value;
  int64_t limit; /* for one task, from the limits */
  int64_t quota;
  int64_t services; /* what the team's services use in total */
};

/* Fills R with what concerns TEAM, which may be null.  */
static void
fill_resources (const struct rr_config *c, const struct team_usage *use,
                const struct rr_config_team *team, const int64_t *sizes,
                struct resource r[RESOURCES])
{
  static const char *const fields[RESOURCES]
      = { "cores_milli", "memory_mb", "accelerators" };
  const int64_t limits[RESOURCES]
      = { c->limits.task_cores_milli, c->limits.task_memory_mb,
          c->limits.task_accelerators };
  for (size_t k = 0; k < RESOURCES; k++)
    r[k] = (struct resource){ .field = fields[k],
                              .value = sizes[k],
                              .limit = limits[k] };
  if (team == NULL)
    return;
  const int64_t quotas[RESOURCES]
      = { team->cores_milli, team->memory_mb, team->accelerators };
  for (size_t k = 0; k < RESOURCES; k++)
    {
      r[k].quota = quotas[k];
      r[k].services = use[team - c->teams].total[k];
    }
}

static void
check_task_size (const struct resource r[RESOURCES],
                 struct rr_source_location place,
                 struct rr_config_errors *errors)
{
  for (size_t i = 0; i < RESOURCES; i++)
    if (r[i].value > r[i].limit)
      ERROR_AT (errors, place, r[i].field,
                "field \"%s\": expected at most %" PRId64
                " (limit \"task_%s\"), got %" PRId64,
                r[i].field, r[i].limit, r[i].field, r[i].value);
}

static const struct rr_config_team *
find_team (const struct rr_config *c, const char *name,
           struct rr_source_location place, struct rr_config_errors *errors)
{
  const struct rr_config_team *team = rr_config_team (c, name);
  if (team == NULL)
    ERROR_AT (errors, place, "team",
              "unknown team \"%s\"; expected the name of a team in \"teams\"",
              name);
  return team;
}

static void
check_max (struct rr_source_location place, const char *field, int64_t value,
           const char *limit_name, int64_t limit,
           struct rr_config_errors *errors)
{
  if (value > limit)
    ERROR_AT (errors, place, field,
              "field \"%s\": expected at most %" PRId64
              " (limit \"%s\"), got %" PRId64,
              field, limit, limit_name, value);
}

static void
check_service (const struct rr_config *c, const struct team_usage *use,
               const struct rr_located_service *l,
               struct rr_config_errors *errors)
{
  const struct rr_config_service *s = &l->v;
  check_max (l->place, "deadline_ms", s->deadline_ms, "deadline_max_ms",
             c->limits.deadline_max_ms, errors);
  check_max (l->place, "request_max_bytes", s->request_max_bytes,
             "request_max_bytes", c->limits.request_max_bytes, errors);
  check_max (l->place, "response_max_bytes", s->response_max_bytes,
             "response_max_bytes", c->limits.response_max_bytes, errors);
  const struct rr_config_team *team = find_team (c, s->team, l->place, errors);
  const int64_t sizes[RESOURCES]
      = { s->cores_milli, s->memory_mb, s->accelerators };
  struct resource r[RESOURCES];
  fill_resources (c, use, team, sizes, r);
  check_task_size (r, l->place, errors);
  if (team == NULL)
    return;
  if (team->requests_per_s == 0)
    ERROR_AT (errors, l->place, "team",
              "team \"%s\" owns a service and has \"requests_per_s\" 0",
              s->team);
  for (size_t i = 0; i < RESOURCES; i++)
    if (s->instances * r[i].value > r[i].quota)
      ERROR_AT (errors, l->place, r[i].field,
                "service \"%s\" needs %" PRId64 " %s for its %" PRId64
                " instances; expected at most %" PRId64
                " (quota of team \"%s\")",
                s->name, s->instances * r[i].value, r[i].field, s->instances,
                r[i].quota, s->team);
}

static void
check_job (const struct rr_config *c, const struct team_usage *use,
           const struct rr_located_job *l, struct rr_config_errors *errors)
{
  const struct rr_config_job *j = &l->v;
  check_max (l->place, "tasks", j->tasks, "tasks_per_job",
             c->limits.tasks_per_job, errors);
  /* Interference is learned for pairs of a service class and a batch class;
     a class that is both would be compared with itself.  */
  for (size_t i = 0; i < c->service_count; i++)
    if (strcmp (c->services[i].class_name, j->class_name) == 0)
      {
        ERROR_AT (errors, l->place, "class",
                  "class \"%s\" is the class of service \"%s\"; expected a "
                  "class of batch jobs",
                  j->class_name, c->services[i].name);
        break;
      }
  const struct rr_config_team *team = find_team (c, j->team, l->place, errors);
  const int64_t sizes[RESOURCES]
      = { j->cores_milli, j->memory_mb, j->accelerators };
  struct resource r[RESOURCES];
  fill_resources (c, use, team, sizes, r);
  check_task_size (r, l->place, errors);
  if (team == NULL)
    return;
  for (size_t i = 0; i < RESOURCES; i++)
    if (r[i].value > r[i].quota)
      ERROR_AT (errors, l->place, r[i].field,
                "job \"%s\" can never run: a task needs %" PRId64
                " %s; expected at most %" PRId64 " (quota of team \"%s\")",
                j->id, r[i].value, r[i].field, r[i].quota, j->team);
    else if (r[i].services <= r[i].quota && r[i].value > 0
             && r[i].value > r[i].quota - r[i].services)
      ERROR_AT (errors, l->place, r[i].field,
                "job \"%s\" can never run: a task needs %" PRId64
                " %s; expected at most %" PRId64 " (quota %" PRId64
                " of team \"%s\", less %" PRId64 " for its services)",
                j->id, r[i].value, r[i].field, r[i].quota - r[i].services,
                r[i].quota, j->team, r[i].services);
}

/* Checks the job at L against C: team, class, quota and limits.  */
void
rr_config_check_job (const struct rr_config *c, const struct rr_located_job *l,
                     struct rr_config_errors *errors)
{
  struct team_usage *use = team_usage_new (c);
  check_job (c, use, l, errors);
  free (use);
}

/* Reports a team whose services together exceed its quota; a service that
   exceeds it alone is reported at the service.  */
static void
check_team (const struct rr_config *c, const struct team_usage *use,
            const struct rr_located_team *l, struct rr_config_errors *errors)
{
  const struct rr_config_team *team = rr_config_team (c, l->v.name);
  const int64_t sizes[RESOURCES] = { 0 };
  struct resource r[RESOURCES];
  assert (team != NULL);
  fill_resources (c, use, team, sizes, r);
  const struct team_usage *u = &use[team - c->teams];
  for (size_t k = 0; k < RESOURCES; k++)
    if (r[k].services > r[k].quota && u->largest[k] <= r[k].quota)
      ERROR_AT (
          errors, l->place, r[k].field,
          "team \"%s\": its services need %" PRId64
          " %s together; expected a quota of at least that, got %" PRId64,
          l->v.name, r[k].services, r[k].field, r[k].quota);
}

/* Reports parts that the platform could not store.  */
static void
check_part_sizes (const struct rr_config *c, const struct rr_located_config *l,
                  struct rr_config_errors *errors)
{
  struct rr_config_parts parts;
  rr_config_split (c, &parts);
  for (size_t i = 0; i < parts.count; i++)
    {
      const struct rr_config_part *part = &parts.items[i];
      if (part->length <= RR_CONFIG_PART_MAX_BYTES)
        continue;
      struct rr_source_location place = { 0 };
      if (strncmp (part->name, "team/", 5) == 0)
        {
          for (size_t t = 0; t < l->team_count; t++)
            if (strcmp (l->teams[t].v.name, part->name + 5) == 0)
              place = l->teams[t].place;
        }
      else if (strcmp (part->name, "services") == 0)
        place = l->services[0].place;
      else if (strcmp (part->name, "drains") == 0)
        place = l->drains[0].place;
      assert (place.n != NULL);
      ERROR_AT (errors, place, NULL,
                "part \"%s\" has %zu bytes; expected at most %d", part->name,
                part->length, RR_CONFIG_PART_MAX_BYTES);
    }
  rr_config_parts_free (&parts);
}

/* Checks the rules that concern more than one field: unknown teams, quotas
   and limits.  */
void
rr_config_check (const struct rr_config *c, const struct rr_located_config *l,
                 struct rr_config_errors *errors)
{
  assert (l->teams != NULL || l->team_count == 0);
  struct team_usage *use = team_usage_new (c);
  for (size_t i = 0; i < l->team_count; i++)
    if (!l->teams[i].duplicate)
      check_team (c, use, &l->teams[i], errors);
  for (size_t i = 0; i < l->service_count; i++)
    if (l->services[i].valid && !l->services[i].duplicate)
      check_service (c, use, &l->services[i], errors);
  for (size_t i = 0; i < l->job_count; i++)
    if (l->jobs[i].valid && !l->jobs[i].duplicate)
      check_job (c, use, &l->jobs[i], errors);
  free (use);
  if (l->job_count > (size_t)c->limits.jobs)
    ERROR_AT (errors, l->jobs[c->limits.jobs].place, NULL,
              "%zu jobs; expected at most %" PRId64 " (limit \"jobs\")",
              l->job_count, c->limits.jobs);
  if (errors->count == 0)
    check_part_sizes (c, l, errors);
}
