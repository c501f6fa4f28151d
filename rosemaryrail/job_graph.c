#include "rosemaryrail/job_graph.h"

#include <assert.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Returns a job graph with STEP_COUNT empty steps and one occurrence.  */
struct rr_job_graph *
rr_job_graph_new (size_t step_count)
{
  struct rr_job_graph *g = calloc (1, sizeof *g);
  assert (g != NULL);
  g->steps = calloc (step_count == 0 ? 1 : step_count, sizeof *g->steps);
  assert (g->steps != NULL);
  g->step_count = step_count;
  g->occurrence_count = 1;
  return g;
}

/* Frees G, which may be null.  */
void
rr_job_graph_free (struct rr_job_graph *g)
{
  if (g == NULL)
    return;
  for (size_t i = 0; i < g->step_count; i++)
    free (g->steps[i].after);
  free (g->steps);
  free (g->spec);
  free (g->share);
  free (g->progress);
  free (g);
}

/* Returns true when the tasks of G don't depend on each other, so that
   different shards may run them.  */
bool
rr_job_graph_divisible (const struct rr_job_graph *g)
{
  return g->step_count == 1 && g->steps[0].long_running && !g->steps[0].gang
         && !g->scheduled;
}

/* Divides the job G: its share has ALL of its tasks or none yet.  */
void
rr_job_graph_divide (struct rr_job_graph *g, bool all)
{
  if (g->divided && all)
    return;
  g->divided = true;
  g->share_count = 0;
  for (uint32_t i = 0; all && i < (uint32_t)g->steps[0].task_count; i++)
    rr_job_graph_share_add (g, i, 1);
}

/* Adds TASK to the share of G, with the lowest number of its next run.  */
void
rr_job_graph_share_add (struct rr_job_graph *g, uint32_t task,
                        uint32_t first_run)
{
  rr_job_graph_share_remove (g, task);
  g->share = realloc (g->share, (g->share_count + 1) * sizeof *g->share);
  assert (g->share != NULL);
  g->share[g->share_count++] = (struct rr_job_graph_share){ task, first_run };
}

/* Returns the entry of TASK in the share of the divided job G, or null.  */
const struct rr_job_graph_share *
rr_job_graph_share_find (const struct rr_job_graph *g, uint32_t task)
{
  for (size_t i = 0; i < g->share_count; i++)
    if (g->share[i].task == task)
      return &g->share[i];
  return NULL;
}

/* Removes TASK from the share of G.  Returns false when it is not there.  */
bool
rr_job_graph_share_remove (struct rr_job_graph *g, uint32_t task)
{
  for (size_t i = 0; i < g->share_count; i++)
    if (g->share[i].task == task)
      {
        g->share[i] = g->share[--g->share_count];
        return true;
      }
  return false;
}

/* Returns the number of tasks of one occurrence.  */
size_t
rr_job_graph_occurrence_tasks (const struct rr_job_graph *g)
{
  return rr_job_graph_step_offset (g, g->step_count);
}

/* Returns the number of tasks in the steps before STEP.  */
size_t
rr_job_graph_step_offset (const struct rr_job_graph *g, size_t step)
{
  size_t n = 0;
  for (size_t i = 0; i < step; i++)
    n += (size_t)g->steps[i].task_count;
  return n;
}

static bool
check_share (const struct rr_job_graph *g, struct rr_error *err)
{
  if (g->divided && !rr_job_graph_divisible (g))
    return rr_error_set (err, RR_ERROR_INVALID,
                         "only a job of one long-running step can be divided");
  for (size_t i = 0; i < g->share_count; i++)
    if (g->share[i].task >= (uint32_t)g->steps[0].task_count)
      return rr_error_set (err, RR_ERROR_INVALID, "share: there is no task %u",
                           (unsigned)g->share[i].task);
  return true;
}

static bool
check_step (const struct rr_job_graph *g, size_t i, struct rr_error *err)
{
  const struct rr_job_graph_step *s = &g->steps[i];
  if (s->task_count < 1 || s->task_count > RR_JOB_GRAPH_TASKS_MAX)
    return rr_error_set (err, RR_ERROR_INVALID,
                         "step %zu: the number of tasks must be 1 to %d", i,
                         RR_JOB_GRAPH_TASKS_MAX);
  if (s->cores_milli < 0 || s->memory_mb < 0 || s->accelerators < 0
      || s->estimate_ms < 0)
    return rr_error_set (err, RR_ERROR_INVALID,
                         "step %zu: sizes and estimates can't be negative", i);
  for (size_t k = 0; k < s->after_count; k++)
    if (s->after[k] < 0 || (size_t)s->after[k] >= i)
      return rr_error_set (err, RR_ERROR_INVALID,
                           "step %zu: can only wait for earlier steps, not "
                           "for step %d",
                           i, s->after[k]);
  return true;
}

/* Checks that every step is valid and depends on earlier ones only.  Returns
   false with RR_ERROR_INVALID otherwise.  */
bool
rr_job_graph_check (const struct rr_job_graph *g, struct rr_error *err)
{
  if (g->step_count == 0)
    return rr_error_set (err, RR_ERROR_INVALID, "a job needs a step");
  for (size_t i = 0; i < g->step_count; i++)
    if (!check_step (g, i, err))
      return false;
  if (g->occurrence_count < 1 || g->interval_ms < 0
      || (int64_t)rr_job_graph_occurrence_tasks (g) * g->occurrence_count
             > RR_JOB_GRAPH_TASKS_MAX)
    return rr_error_set (err, RR_ERROR_INVALID,
                         "a job can have at most %d tasks",
                         RR_JOB_GRAPH_TASKS_MAX);
  return check_share (g, err);
}

static int64_t
critical_path_ms (const struct rr_job_graph *g, size_t from)
{
  int64_t longest = 0;
  int64_t *end = calloc (g->step_count + 1, sizeof *end);
  assert (end != NULL);
  for (size_t i = from; i < g->step_count; i++)
    {
      const struct rr_job_graph_step *s = &g->steps[i];
      int64_t start = i == from ? 0 : (from == 0 ? 0 : -1);
      for (size_t k = 0; k < s->after_count; k++)
        if ((size_t)s->after[k] >= from && end[s->after[k]] > start)
          start = end[s->after[k]];
      if (start < 0)
        continue;
      end[i] = start + s->estimate_ms;
      if (end[i] > longest)
        longest = end[i];
    }
  free (end);
  return longest;
}

/* Returns the estimated run time of the critical path, in milliseconds.  */
int64_t
rr_job_graph_critical_path_ms (const struct rr_job_graph *g)
{
  return critical_path_ms (g, 0);
}

/* Returns the estimated run time of the longest path that starts with STEP, in
   milliseconds.  */
int64_t
rr_job_graph_critical_path_from_ms (const struct rr_job_graph *g, size_t step)
{
  return critical_path_ms (g, step);
}

/* Returns the estimated work of one occurrence in core-milliseconds.  */
int64_t
rr_job_graph_core_ms (const struct rr_job_graph *g)
{
  int64_t sum = 0;
  for (size_t i = 0; i < g->step_count; i++)
    sum += (int64_t)g->steps[i].task_count * g->steps[i].estimate_ms
           * g->steps[i].cores_milli / 1000;
  return sum;
}

static void
put_int (struct json_object *o, const char *name, int64_t value)
{
  if (value != 0)
    json_object_object_add (o, name, json_object_new_int64 (value));
}

static void
put_text (struct json_object *o, const char *name, const char *value)
{
  if (value != NULL && value[0] != '\0')
    json_object_object_add (o, name, json_object_new_string (value));
}

static int64_t
get_int (struct json_object *o, const char *name)
{
  struct json_object *v = NULL;
  if (!json_object_object_get_ex (o, name, &v))
    return 0;
  return json_object_get_int64 (v);
}

static void
get_text (struct json_object *o, const char *name, char *out)
{
  struct json_object *v = NULL;
  out[0] = '\0';
  if (json_object_object_get_ex (o, name, &v))
    snprintf (out, RR_JOB_NAME_SIZE, "%s", json_object_get_string (v));
}

enum
{
  FLAG_GANG = 1,
  FLAG_SAME_RACK = 2,
  FLAG_SPECULATIVE = 4,
  FLAG_LONG_RUNNING = 8,
  FLAG_CHECKPOINTING = 16,
  FLAG_BEST_EFFORT = 32
};

static struct json_object *
encode_step (const struct rr_job_graph_step *s)
{
  struct json_object *o = json_object_new_object ();
  put_int (o, "tasks", s->task_count);
  put_int (o, "cores", s->cores_milli);
  put_int (o, "memory", s->memory_mb);
  put_int (o, "accelerators", s->accelerators);
  put_int (o, "estimate", s->estimate_ms);
  put_int (o, "flags",
           (s->gang ? FLAG_GANG : 0) | (s->same_rack ? FLAG_SAME_RACK : 0)
               | (s->speculative ? FLAG_SPECULATIVE : 0)
               | (s->long_running ? FLAG_LONG_RUNNING : 0)
               | (s->checkpointing ? FLAG_CHECKPOINTING : 0)
               | (s->best_effort ? FLAG_BEST_EFFORT : 0));
  put_int (o, "per_worker_max", s->per_worker_max);
  put_int (o, "unavailable_max", s->unavailable_max);
  put_int (o, "tail_target", s->tail_target_ms);
  put_text (o, "label", s->required_label);
  put_text (o, "rack", s->rack);
  put_text (o, "image", s->image);
  if (s->after_count > 0)
    {
      struct json_object *a = json_object_new_array ();
      for (size_t i = 0; i < s->after_count; i++)
        json_object_array_add (a, json_object_new_int (s->after[i]));
      json_object_object_add (o, "after", a);
    }
  return o;
}

static void
decode_step (struct json_object *o, struct rr_job_graph_step *s)
{
  s->task_count = (int32_t)get_int (o, "tasks");
  s->cores_milli = get_int (o, "cores");
  s->memory_mb = get_int (o, "memory");
  s->accelerators = get_int (o, "accelerators");
  s->estimate_ms = get_int (o, "estimate");
  int64_t flags = get_int (o, "flags");
  s->gang = (flags & FLAG_GANG) != 0;
  s->same_rack = (flags & FLAG_SAME_RACK) != 0;
  s->speculative = (flags & FLAG_SPECULATIVE) != 0;
  s->long_running = (flags & FLAG_LONG_RUNNING) != 0;
  s->checkpointing = (flags & FLAG_CHECKPOINTING) != 0;
  s->best_effort = (flags & FLAG_BEST_EFFORT) != 0;
  s->per_worker_max = (int32_t)get_int (o, "per_worker_max");
  s->unavailable_max = (int32_t)get_int (o, "unavailable_max");
  s->tail_target_ms = get_int (o, "tail_target");
  get_text (o, "label", s->required_label);
  get_text (o, "rack", s->rack);
  get_text (o, "image", s->image);
  struct json_object *a = NULL;
  if (!json_object_object_get_ex (o, "after", &a)
      || !json_object_is_type (a, json_type_array))
    return;
  s->after_count = json_object_array_length (a);
  s->after = calloc (s->after_count + 1, sizeof *s->after);
  assert (s->after != NULL);
  for (size_t i = 0; i < s->after_count; i++)
    s->after[i] = json_object_get_int (json_object_array_get_idx (a, i));
}

static struct json_object *
encode_share (const struct rr_job_graph *g)
{
  struct json_object *list = json_object_new_array ();
  for (size_t i = 0; i < g->share_count; i++)
    {
      struct json_object *row = json_object_new_array ();
      json_object_array_add (row, json_object_new_int64 (g->share[i].task));
      json_object_array_add (row,
                             json_object_new_int64 (g->share[i].first_run));
      json_object_array_add (list, row);
    }
  return list;
}

/* Returns false when a row of the share is invalid.  */
static bool
decode_share (struct json_object *o, struct rr_job_graph *g)
{
  struct json_object *list = NULL;
  if (!json_object_object_get_ex (o, "share", &list)
      || !json_object_is_type (list, json_type_array))
    return true;
  rr_job_graph_divide (g, false);
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      struct json_object *row = json_object_array_get_idx (list, i);
      if (!json_object_is_type (row, json_type_array))
        return false;
      rr_job_graph_share_add (
          g,
          (uint32_t)json_object_get_int64 (json_object_array_get_idx (row, 0)),
          (uint32_t)json_object_get_int64 (
              json_object_array_get_idx (row, 1)));
    }
  return true;
}

/* Returns the stored form of G, which the caller frees.  */
char *
rr_job_graph_encode (const struct rr_job_graph *g)
{
  struct json_object *o = json_object_new_object ();
  put_text (o, "id", g->id);
  put_text (o, "queue", g->queue);
  put_text (o, "service", g->service);
  put_int (o, "attempts", g->attempts_max);
  put_text (o, "shard", g->shard);
  put_text (o, "spec", g->spec);
  put_int (o, "occurrences", g->scheduled ? g->occurrence_count : 0);
  put_int (o, "first_run", g->first_run_ms);
  put_int (o, "interval", g->interval_ms);
  put_int (o, "accepted", g->accepted_ms);
  struct json_object *steps = json_object_new_array ();
  for (size_t i = 0; i < g->step_count; i++)
    json_object_array_add (steps, encode_step (&g->steps[i]));
  json_object_object_add (o, "steps", steps);
  put_text (o, "progress", g->progress);
  put_int (o, "run_base", g->run_base);
  if (g->divided)
    json_object_object_add (o, "share", encode_share (g));
  char *text
      = strdup (json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN));
  assert (text != NULL);
  json_object_put (o);
  return text;
}

/* Reads the stored form.  Returns null with RR_ERROR_INVALID when TEXT is not
   valid.  */
struct rr_job_graph *
rr_job_graph_decode (const char *text, size_t length, struct rr_error *err)
{
  struct json_tokener *tok = json_tokener_new ();
  struct json_object *o = json_tokener_parse_ex (tok, text, (int)length);
  json_tokener_free (tok);
  struct json_object *steps = NULL;
  if (!json_object_is_type (o, json_type_object)
      || !json_object_object_get_ex (o, "steps", &steps)
      || !json_object_is_type (steps, json_type_array))
    {
      json_object_put (o);
      rr_error_set (err, RR_ERROR_INVALID, "stored job can't be read");
      return NULL;
    }
  struct rr_job_graph *g = rr_job_graph_new (json_object_array_length (steps));
  get_text (o, "id", g->id);
  get_text (o, "queue", g->queue);
  get_text (o, "service", g->service);
  g->attempts_max = (int32_t)get_int (o, "attempts");
  get_text (o, "shard", g->shard);
  struct json_object *spec = NULL;
  if (json_object_object_get_ex (o, "spec", &spec))
    g->spec = strdup (json_object_get_string (spec));
  int64_t n = get_int (o, "occurrences");
  g->scheduled = n > 0;
  g->occurrence_count = n > 0 ? (int32_t)n : 1;
  g->first_run_ms = get_int (o, "first_run");
  g->interval_ms = get_int (o, "interval");
  g->accepted_ms = get_int (o, "accepted");
  for (size_t i = 0; i < g->step_count; i++)
    decode_step (json_object_array_get_idx (steps, i), &g->steps[i]);
  bool valid_share = decode_share (o, g);
  struct json_object *progress = NULL;
  if (json_object_object_get_ex (o, "progress", &progress))
    g->progress = strdup (json_object_get_string (progress));
  g->run_base = (uint32_t)get_int (o, "run_base");
  json_object_put (o);
  if (!valid_share)
    rr_error_set (err, RR_ERROR_INVALID, "the stored share can't be read");
  if (!valid_share || !rr_job_graph_check (g, err))
    {
      rr_job_graph_free (g);
      return NULL;
    }
  return g;
}
