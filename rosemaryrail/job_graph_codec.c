#include "rosemaryrail/job_graph.h"

#include <assert.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryrail/stored_fields.h"

/* Stored form of job graphs.  */

#define COUNT(array) (sizeof (array) / sizeof (array)[0])
#define GRAPH(member) offsetof (struct rr_job_graph, member)
#define STEP(member) offsetof (struct rr_job_graph_step, member)
#define SHARE(member) offsetof (struct rr_job_graph_share, member)

static const struct rr_stored_field graph_fields[] = {
  { "id", RR_STORED_NAME, GRAPH (id) },
  { "queue", RR_STORED_NAME, GRAPH (queue) },
  { "service", RR_STORED_NAME, GRAPH (service) },
  { "attempts", RR_STORED_INT32, GRAPH (attempts_max) },
  { "permits", RR_STORED_BOOL, GRAPH (needs_permits) },
  { "shard", RR_STORED_NAME, GRAPH (shard) },
  { "spec", RR_STORED_TEXT, GRAPH (spec) },
  { "first_run", RR_STORED_INT64, GRAPH (first_run_ms) },
  { "interval", RR_STORED_INT64, GRAPH (interval_ms) },
  { "accepted", RR_STORED_INT64, GRAPH (accepted_ms) },
  { "run_base", RR_STORED_COUNT, GRAPH (run_base) },
};

static const struct rr_stored_field step_fields[] = {
  { "tasks", RR_STORED_INT32, STEP (task_count) },
  { "cores", RR_STORED_INT64, STEP (cores_milli) },
  { "memory", RR_STORED_INT64, STEP (memory_mb) },
  { "accelerators", RR_STORED_INT64, STEP (accelerators) },
  { "estimate", RR_STORED_INT64, STEP (estimate_ms) },
  { "per_worker_max", RR_STORED_INT32, STEP (per_worker_max) },
  { "unavailable_max", RR_STORED_INT32, STEP (unavailable_max) },
  { "tail_target", RR_STORED_INT64, STEP (tail_target_ms) },
  { "label", RR_STORED_NAME, STEP (required_label) },
  { "rack", RR_STORED_NAME, STEP (rack) },
  { "image", RR_STORED_NAME, STEP (image) },
};

/* The members of a step that share the field "flags": bit I is member I.  */
static const size_t step_flags[]
    = { STEP (gang),         STEP (same_rack),     STEP (speculative),
        STEP (long_running), STEP (checkpointing), STEP (best_effort) };

static const struct rr_stored_field share_fields[]
    = { { "task", RR_STORED_UINT32, SHARE (task) },
        { "first_run", RR_STORED_COUNT, SHARE (first_run) },
        { "crashes", RR_STORED_UINT32, SHARE (crashes) },
        { "moves", RR_STORED_UINT32, SHARE (moves) } };

/* What is stored of a graph in another form than its members have.  */
struct derived
{
  int32_t occurrences; /* 0: not scheduled */
  struct rr_text *progress;
};

static const struct rr_stored_field derived_fields[]
    = { { "occurrences", RR_STORED_INT32,
          offsetof (struct derived, occurrences) },
        { "progress", RR_STORED_TEXT, offsetof (struct derived, progress) } };

static struct json_object *
encode_step (const struct rr_job_graph_step *s)
{
  struct json_object *o = json_object_new_object ();
  rr_stored_object_write (o, step_fields, COUNT (step_fields), s);
  int flags = 0;
  for (size_t i = 0; i < COUNT (step_flags); i++)
    flags |= *((const bool *)s + step_flags[i]) ? 1 << i : 0;
  if (flags != 0)
    json_object_object_add (o, "flags", json_object_new_int (flags));
  if (s->after_count > 0)
    {
      struct json_object *a = json_object_new_array ();
      for (size_t i = 0; i < s->after_count; i++)
        json_object_array_add (a, json_object_new_int (s->after[i]));
      json_object_object_add (o, "after", a);
    }
  return o;
}

/* Reads the member NAME of O, an array that may be missing.  Returns false if
   it has another type.  */
static bool
list_read (struct json_object *o, const char *name, struct json_object **list)
{
  *list = NULL;
  return !json_object_object_get_ex (o, name, list)
         || json_object_is_type (*list, json_type_array);
}

static bool
decode_step (struct json_object *o, struct rr_job_graph_step *s,
             struct rr_error *err)
{
  if (!rr_stored_object_read (o, step_fields, COUNT (step_fields), s, err))
    return false;
  struct json_object *flags = NULL;
  struct json_object *after;
  json_object_object_get_ex (o, "flags", &flags);
  for (size_t i = 0; i < COUNT (step_flags); i++)
    *((bool *)s + step_flags[i]) = (json_object_get_int (flags) >> i & 1) != 0;
  if (!list_read (o, "after", &after))
    return rr_error_set (err, RR_ERROR_INVALID, "field \"after\" is invalid");
  if (after == NULL)
    return true;
  s->after_count = json_object_array_length (after);
  s->after = calloc (s->after_count + 1, sizeof *s->after);
  assert (s->after != NULL);
  for (size_t i = 0; i < s->after_count; i++)
    s->after[i] = json_object_get_int (json_object_array_get_idx (after, i));
  return true;
}

static struct json_object *
encode_share (const struct rr_job_graph *g)
{
  struct json_object *list = json_object_new_array ();
  for (size_t i = 0; i < g->share_count; i++)
    json_object_array_add (
        list,
        rr_stored_row_new (share_fields, COUNT (share_fields), &g->share[i]));
  return list;
}

/* Reads the share; a job without one is not divided.  */
static bool
decode_share (struct json_object *o, struct rr_job_graph *g,
              struct rr_error *err)
{
  struct json_object *list;
  if (!list_read (o, "share", &list))
    return rr_error_set (err, RR_ERROR_INVALID, "field \"share\" is invalid");
  if (list == NULL)
    return true;
  rr_job_graph_divide (g, false);
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      struct rr_job_graph_share share = { 0 };
      if (!rr_stored_row_read (json_object_array_get_idx (list, i),
                               share_fields, COUNT (share_fields), &share,
                               err))
        return false;
      rr_job_graph_share_add (g, share.task, share.first_run, share.crashes);
      g->share[g->share_count - 1].moves = share.moves;
    }
  return true;
}

/* Returns the stored form of G, which the caller frees.  */
char *
rr_job_graph_encode (const struct rr_job_graph *g)
{
  struct json_object *o = json_object_new_object ();
  struct derived d
      = { .occurrences = g->scheduled ? g->occurrence_count : 0,
          .progress = g->progress == NULL
                          ? NULL
                          : rr_text_new (g->progress, strlen (g->progress)) };
  rr_stored_object_write (o, graph_fields, COUNT (graph_fields), g);
  rr_stored_object_write (o, derived_fields, COUNT (derived_fields), &d);
  rr_text_unref (d.progress);
  struct json_object *steps = json_object_new_array ();
  for (size_t i = 0; i < g->step_count; i++)
    json_object_array_add (steps, encode_step (&g->steps[i]));
  json_object_object_add (o, "steps", steps);
  if (g->divided)
    json_object_object_add (o, "share", encode_share (g));
  return rr_stored_finish (o);
}

static bool
decode_graph (struct json_object *o, struct json_object *steps,
              struct rr_job_graph *g, struct rr_error *err)
{
  struct derived d = { 0 };
  bool valid
      = rr_stored_object_read (o, graph_fields, COUNT (graph_fields), g, err)
        && rr_stored_object_read (o, derived_fields, COUNT (derived_fields),
                                  &d, err);
  g->scheduled = d.occurrences > 0;
  g->occurrence_count = g->scheduled ? d.occurrences : 1;
  if (d.progress != NULL)
    g->progress = strdup (rr_text_bytes (d.progress));
  rr_text_unref (d.progress);
  for (size_t i = 0; valid && i < g->step_count; i++)
    valid = decode_step (json_object_array_get_idx (steps, i), &g->steps[i],
                         err);
  return valid && decode_share (o, g, err) && rr_job_graph_check (g, err);
}

/* Reads the stored form.  Returns null with RR_ERROR_INVALID when TEXT is not
   valid.  */
struct rr_job_graph *
rr_job_graph_decode (const char *text, size_t length, struct rr_error *err)
{
  struct json_tokener *tok = json_tokener_new ();
  struct json_object *o = json_tokener_parse_ex (tok, text, (int)length);
  json_tokener_free (tok);
  struct json_object *steps;
  if (!json_object_is_type (o, json_type_object)
      || !list_read (o, "steps", &steps) || steps == NULL)
    {
      json_object_put (o);
      rr_error_set (err, RR_ERROR_INVALID, "stored job can't be read");
      return NULL;
    }
  struct rr_job_graph *g = rr_job_graph_new (json_object_array_length (steps));
  bool valid = decode_graph (o, steps, g, err);
  json_object_put (o);
  if (valid)
    return g;
  rr_job_graph_free (g);
  return NULL;
}
