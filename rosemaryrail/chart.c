#include "rosemaryrail/chart.h"

#include <json-c/json.h>
#include <limits.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

/* A chart of this many states or events is a mistake in the file.  */
#define CHART_MAX_NAMES 256

struct rr_chart
{
  char *file;
  char *name;
  char *description;
  int state_count;
  int event_count;
  char **states;
  char **events;
  bool *final;
  int initial;
  /* state_count rows of event_count entries: next state + 1, or 0.  */
  int16_t *next;
};

static bool
fail (const struct rr_chart *c, struct rr_error *err, const char *what,
      const char *name)
{
  return rr_error_set (err, RR_ERROR_INVALID, "%s: %s \"%.80s\"", c->file,
                       what, name);
}

static int
find_name (char *const *names, int count, const char *name)
{
  for (int i = 0; i < count; i++)
    if (strcmp (names[i], name) == 0)
      return i;
  return RR_CHART_NONE;
}

/* Returns the string member NAME of O; null with ERR, which names WHERE.  */
static const char *
get_string (const struct rr_chart *c, struct json_object *o, const char *name,
            const char *where, struct rr_error *err)
{
  struct json_object *v = NULL;
  if (json_object_is_type (o, json_type_object)
      && json_object_object_get_ex (o, name, &v)
      && json_object_is_type (v, json_type_string)
      && json_object_get_string_len (v) > 0)
    return json_object_get_string (v);
  rr_error_set (err, RR_ERROR_INVALID,
                "%s: field \"%s\" of %s is missing or not a text", c->file,
                name, where);
  return NULL;
}

static struct json_object *
get_array (const struct rr_chart *c, struct json_object *o, const char *name,
           struct rr_error *err)
{
  struct json_object *v = NULL;
  if (json_object_object_get_ex (o, name, &v)
      && json_object_is_type (v, json_type_array)
      && json_object_array_length (v) > 0
      && json_object_array_length (v) <= CHART_MAX_NAMES)
    return v;
  rr_error_set (err, RR_ERROR_INVALID,
                "%s: field \"%s\" is missing, empty, too long or not a list",
                c->file, name);
  return NULL;
}

/* Rejects members other than ALLOWED (ends with null), so that a misspelled
   "final" is not silently dropped.  */
static bool
check_members (const struct rr_chart *c, struct json_object *o,
               const char *const *allowed, struct rr_error *err)
{
  json_object_object_foreach (o, key, value)
  {
    (void)value;
    bool known = false;
    for (size_t i = 0; allowed[i] != NULL; i++)
      known = known || strcmp (allowed[i], key) == 0;
    if (!known)
      return fail (c, err, "unknown field", key);
  }
  return true;
}

/* Reads the list MEMBER of named objects into NAMES and COUNT.  */
static bool
read_names (struct rr_chart *c, struct json_object *root, const char *member,
            char ***names, int *count, struct rr_error *err)
{
  static const char *const allowed[]
      = { "name", "description", "final", NULL };
  struct json_object *list = get_array (c, root, member, err);
  if (list == NULL)
    return false;
  size_t n = json_object_array_length (list);
  *names = calloc (CHART_MAX_NAMES, sizeof **names);
  for (size_t i = 0; i < n; i++)
    {
      struct json_object *o = json_object_array_get_idx (list, i);
      const char *name = get_string (c, o, "name", member, err);
      if (name == NULL || !check_members (c, o, allowed, err)
          || get_string (c, o, "description", name, err) == NULL)
        return false;
      if (find_name (*names, *count, name) >= 0)
        return fail (c, err, "duplicate name", name);
      (*names)[(*count)++] = strdup (name);
    }
  return true;
}

static bool
read_final_flags (struct rr_chart *c, struct json_object *root,
                  struct rr_error *err)
{
  struct json_object *list = get_array (c, root, "states", err);
  if (list == NULL)
    return false;
  c->final = calloc (CHART_MAX_NAMES, sizeof *c->final);
  for (int i = 0; i < c->state_count; i++)
    {
      struct json_object *o = json_object_array_get_idx (list, (size_t)i);
      struct json_object *v = NULL;
      if (!json_object_object_get_ex (o, "final", &v))
        continue;
      if (!json_object_is_type (v, json_type_boolean))
        return fail (c, err, "field \"final\" is not true or false in state",
                     c->states[i]);
      c->final[i] = json_object_get_boolean (v);
    }
  return true;
}

static bool
read_transition (struct rr_chart *c, struct json_object *o,
                 struct rr_error *err)
{
  static const char *const allowed[] = { "from", "event", "to", NULL };
  const char *from = get_string (c, o, "from", "a transition", err);
  const char *event = get_string (c, o, "event", "a transition", err);
  const char *to = get_string (c, o, "to", "a transition", err);
  if (from == NULL || event == NULL || to == NULL
      || !check_members (c, o, allowed, err))
    return false;
  int f = find_name (c->states, c->state_count, from);
  int e = find_name (c->events, c->event_count, event);
  int t = find_name (c->states, c->state_count, to);
  if (f < 0)
    return fail (c, err, "transition from unknown state", from);
  if (e < 0)
    return fail (c, err, "transition on unknown event", event);
  if (t < 0)
    return fail (c, err, "transition to unknown state", to);
  if (c->final[f])
    return fail (c, err, "transition from final state", from);
  int16_t *slot = &c->next[f * c->event_count + e];
  if (*slot != 0)
    return rr_error_set (err, RR_ERROR_INVALID,
                         "%s: duplicate transition from \"%.60s\" on "
                         "\"%.60s\"",
                         c->file, from, event);
  *slot = (int16_t)(t + 1);
  return true;
}

static bool
read_transitions (struct rr_chart *c, struct json_object *root,
                  struct rr_error *err)
{
  size_t cells = (size_t)c->state_count * (size_t)c->event_count;
  c->next = calloc (cells + 1, sizeof *c->next);
  struct json_object *list = NULL;
  if (!json_object_object_get_ex (root, "transitions", &list)
      || !json_object_is_type (list, json_type_array))
    return rr_error_set (err, RR_ERROR_INVALID,
                         "%s: field \"transitions\" is missing or not a list",
                         c->file);
  for (size_t i = 0; i < json_object_array_length (list); i++)
    if (!read_transition (c, json_object_array_get_idx (list, i), err))
      return false;
  for (int e = 0; e < c->event_count; e++)
    {
      bool used = false;
      for (int s = 0; s < c->state_count; s++)
        used = used || rr_chart_next (c, s, e) != RR_CHART_NONE;
      if (!used)
        return fail (c, err, "no transition uses event", c->events[e]);
    }
  return true;
}

/* Grows MARKED until no transition leads from a marked state to an unmarked
   one (FORWARD) or from an unmarked state to a marked one.  */
static void
propagate_marks (const struct rr_chart *c, bool *marked, bool forward)
{
  for (bool changed = true; changed;)
    {
      changed = false;
      for (int s = 0; s < c->state_count; s++)
        for (int e = 0; e < c->event_count; e++)
          {
            int t = rr_chart_next (c, s, e);
            if (t == RR_CHART_NONE || marked[s] == marked[t])
              continue;
            if (marked[forward ? s : t])
              {
                marked[s] = marked[t] = true;
                changed = true;
              }
          }
    }
}

static bool
check_reachable (const struct rr_chart *c, struct rr_error *err)
{
  bool reached[CHART_MAX_NAMES] = { false };
  bool ends[CHART_MAX_NAMES] = { false };
  bool any_final = false;
  reached[c->initial] = true;
  for (int s = 0; s < c->state_count; s++)
    {
      ends[s] = c->final[s];
      any_final = any_final || c->final[s];
    }
  propagate_marks (c, reached, true);
  propagate_marks (c, ends, false);
  for (int s = 0; s < c->state_count; s++)
    {
      if (!reached[s])
        return fail (c, err, "unreachable state", c->states[s]);
      if (any_final && !ends[s])
        return fail (c, err, "no final state can be reached from state",
                     c->states[s]);
    }
  return true;
}

static bool
read_chart (struct rr_chart *c, struct json_object *root, struct rr_error *err)
{
  static const char *const allowed[]
      = { "name",   "description", "initial", "states",
          "events", "transitions", NULL };
  if (!json_object_is_type (root, json_type_object))
    return rr_error_set (err, RR_ERROR_INVALID, "%s: not a JSON object",
                         c->file);
  const char *name = get_string (c, root, "name", "the chart", err);
  const char *text = get_string (c, root, "description", "the chart", err);
  const char *initial = get_string (c, root, "initial", "the chart", err);
  if (name == NULL || text == NULL || initial == NULL
      || !check_members (c, root, allowed, err))
    return false;
  c->name = strdup (name);
  c->description = strdup (text);
  if (!read_names (c, root, "states", &c->states, &c->state_count, err)
      || !read_names (c, root, "events", &c->events, &c->event_count, err)
      || !read_final_flags (c, root, err))
    return false;
  c->initial = find_name (c->states, c->state_count, initial);
  if (c->initial < 0)
    return fail (c, err, "unknown initial state", initial);
  return read_transitions (c, root, err) && check_reachable (c, err);
}

/* Returns the line of TEXT that holds the byte at OFFSET, from 1.  */
static int
line_at (const char *text, size_t offset)
{
  int line = 1;
  for (size_t i = 0; i < offset; i++)
    line += text[i] == '\n';
  return line;
}

static struct json_object *
parse (const struct rr_chart *c, const char *text, size_t length,
       struct rr_error *err)
{
  if (length == 0 || length > INT_MAX)
    {
      rr_error_set (err, RR_ERROR_INVALID, "%s: empty or too long", c->file);
      return NULL;
    }
  struct json_tokener *tok = json_tokener_new ();
  struct json_object *root = json_tokener_parse_ex (tok, text, (int)length);
  enum json_tokener_error rc = json_tokener_get_error (tok);
  size_t end = json_tokener_get_parse_end (tok);
  if (rc != json_tokener_success)
    rr_error_set (err, RR_ERROR_INVALID, "%s:%d: %s", c->file,
                  line_at (text, end < length ? end : length),
                  json_tokener_error_desc (rc));
  else
    {
      while (end < length && strchr (" \t\r\n", text[end]) != NULL)
        end++;
      if (end < length)
        {
          rr_error_set (err, RR_ERROR_INVALID, "%s:%d: text after the chart",
                        c->file, line_at (text, end));
          json_object_put (root);
          root = NULL;
        }
    }
  json_tokener_free (tok);
  return root;
}

/* Parses and checks the chart in LENGTH bytes of TEXT, JSON with comments.
   FILE appears in messages only.  Returns null with RR_ERROR_INVALID, which
   names the file and the line, state, event or field at fault.  The caller
   frees the chart with rr_chart_free.  */
struct rr_chart *
rr_chart_load (const char *file, const char *text, size_t length,
               struct rr_error *err)
{
  struct rr_chart *c = calloc (1, sizeof *c);
  c->file = strdup (file);
  struct json_object *root = parse (c, text, length, err);
  bool ok = root != NULL && read_chart (c, root, err);
  json_object_put (root);
  if (ok)
    return c;
  rr_chart_free (c);
  return NULL;
}

static void
free_names (char **names, int count)
{
  for (int i = 0; i < count; i++)
    free (names[i]);
  free (names);
}

/* Frees C, which may be null.  */
void
rr_chart_free (struct rr_chart *c)
{
  if (c == NULL)
    return;
  free_names (c->states, c->state_count);
  free_names (c->events, c->event_count);
  free (c->final);
  free (c->next);
  free (c->name);
  free (c->description);
  free (c->file);
  free (c);
}

/* Returns the number of the state NAME, or RR_CHART_NONE with
   RR_ERROR_NOT_FOUND.  */
int
rr_chart_state (const struct rr_chart *c, const char *name,
                struct rr_error *err)
{
  int s = find_name (c->states, c->state_count, name);
  if (s < 0)
    rr_error_set (err, RR_ERROR_NOT_FOUND, "%s: no state \"%s\"", c->file,
                  name);
  return s;
}

/* Returns the number of the event NAME, or RR_CHART_NONE with
   RR_ERROR_NOT_FOUND.  */
int
rr_chart_event (const struct rr_chart *c, const char *name,
                struct rr_error *err)
{
  int e = find_name (c->events, c->event_count, name);
  if (e < 0)
    rr_error_set (err, RR_ERROR_NOT_FOUND, "%s: no event \"%s\"", c->file,
                  name);
  return e;
}

/* Stores the number of each state in NAMES (ends with a null name) in its
   variable; false with RR_ERROR_NOT_FOUND at the first unknown name.  */
bool
rr_chart_bind_states (const struct rr_chart *c,
                      const struct rr_chart_name *names, struct rr_error *err)
{
  for (; names->name != NULL; names++)
    if ((*names->value = rr_chart_state (c, names->name, err)) < 0)
      return false;
  return true;
}

/* Does the same for events.  */
bool
rr_chart_bind_events (const struct rr_chart *c,
                      const struct rr_chart_name *names, struct rr_error *err)
{
  for (; names->name != NULL; names++)
    if ((*names->value = rr_chart_event (c, names->name, err)) < 0)
      return false;
  return true;
}

/* Returns the state that EVENT leads to from STATE, or RR_CHART_NONE when the
   chart doesn't allow it; also for numbers outside the chart.  */
int
rr_chart_next (const struct rr_chart *c, int state, int event)
{
  if (state < 0 || state >= c->state_count || event < 0
      || event >= c->event_count)
    return RR_CHART_NONE;
  return c->next[state * c->event_count + event] - 1;
}

/* Returns the initial state.  */
int
rr_chart_initial (const struct rr_chart *c)
{
  return c->initial;
}

/* Tells whether STATE is final.  */
bool
rr_chart_is_final (const struct rr_chart *c, int state)
{
  return state >= 0 && state < c->state_count && c->final[state];
}

/* Returns the chart's name, owned by C.  */
const char *
rr_chart_name (const struct rr_chart *c)
{
  return c->name;
}

/* Returns the chart's prose description, owned by C.  */
const char *
rr_chart_description (const struct rr_chart *c)
{
  return c->description;
}

/* Returns the name of STATE, or "none" outside the chart.  */
const char *
rr_chart_state_name (const struct rr_chart *c, int state)
{
  return state >= 0 && state < c->state_count ? c->states[state] : "none";
}

/* Returns the name of EVENT, or "none" outside the chart.  */
const char *
rr_chart_event_name (const struct rr_chart *c, int event)
{
  return event >= 0 && event < c->event_count ? c->events[event] : "none";
}

/* Returns the number of states.  */
int
rr_chart_state_count (const struct rr_chart *c)
{
  return c->state_count;
}

/* Returns the number of events.  */
int
rr_chart_event_count (const struct rr_chart *c)
{
  return c->event_count;
}
