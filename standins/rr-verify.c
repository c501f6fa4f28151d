#include <assert.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "standins/tool.h"

enum rule
{
  RUN_TWICE,
  LOST,
  OVERFILLED,
  FALSE_NOT_RUN,
  WRONG_ANSWER,
  TWO_PLACES,
  RESUMED_TWICE,
  RULES
};

static const char *const rule_names[RULES] = { "run twice",
                                               "lost",
                                               "overfilled",
                                               "false \"not run\"",
                                               "wrong answer",
                                               "task in two places at once",
                                               "resumed more than once" };

enum
{
  RESOURCES = 5
};

static const char *const resource_names[RESOURCES]
    = { "cores_milli", "memory_mb", "accelerators", "slots", "connections" };

/* One run of a task attempt, or one execution of a request.  */
struct run
{
  bool request;
  const char *id;
  int64_t attempt;
  const char *place; /* worker and incarnation */
  int64_t start_us;
  int64_t end_us;
  const char *result;  /* null while no end is logged */
  const char *resumed; /* checkpoint it started from, or null */
  const char *left;    /* its last checkpoint, or null */
  int64_t need[RESOURCES];
};

/* What a caller was told about one sending of a request.  */
struct told
{
  const char *id;
  int64_t sent_us;
  bool not_run;
  bool repeatable;
  bool answered; /* 200 */
  bool wrong;
};

/* Start or end of the use of capacity at a place.  */
struct step
{
  const char *place;
  int64_t at_us;
  int sign;
  const struct run *run;
};

static struct
{
  struct json_object *lines;    /* all log lines; owns every string */
  struct json_object *places;   /* place -> {"last_us","capacity"} */
  struct json_object *open;     /* key of a run without end -> index */
  struct json_object *refusals; /* reason -> count */
  struct json_object *canceled; /* id of a canceled job -> true */
  struct run *runs;             /* by id and start */
  size_t run_count;
  struct told *told; /* by id and time of sending */
  size_t told_count;
  int64_t events;
  int64_t counts[RULES];
  char offenders[RULES][200];
} verify;

static void violation (enum rule rule, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Counts a violation of RULE and keeps the description of the first one.  */
static void
violation (enum rule rule, const char *format, ...)
{
  if (verify.counts[rule]++ > 0)
    return;
  va_list args;
  va_start (args, format);
  vsnprintf (verify.offenders[rule], sizeof verify.offenders[rule], format,
             args);
  va_end (args);
}

/* Returns the record of the place of event O, and its PLACE name.  */
static struct json_object *
place_record (struct json_object *o, const char **place)
{
  char name[160];
  snprintf (name, sizeof name, "%s/%lld", json_string_or (o, "worker", "?"),
            (long long)json_int_or (o, "incarnation", 0));
  struct json_object *record = tool_member (verify.places, name);
  if (record == NULL)
    {
      record = tool_object ("name:s", name);
      json_object_object_add (verify.places, name, record);
    }
  *place = json_string_or (record, "name", "");
  int64_t at = json_int_or (o, "at_us", 0);
  if (at > json_int_or (record, "last_us", 0))
    json_add_int (record, "last_us", at);
  return record;
}

static void
add_start (struct json_object *o, const char *place, const char *id,
           bool request, const char *key)
{
  verify.runs
      = realloc (verify.runs, (verify.run_count + 1) * sizeof *verify.runs);
  assert (verify.runs != NULL);
  struct run *r = &verify.runs[verify.run_count];
  *r = (struct run){
    .request = request,
    .id = id,
    .attempt = json_int_or (o, "attempt", 0),
    .place = place,
    .start_us = json_int_or (o, "at_us", 0),
    .resumed = json_string_or (o, "checkpoint", NULL),
    .left = json_string_or (o, "checkpoint", NULL),
  };
  for (int i = 0; i < RESOURCES; i++)
    r->need[i] = json_int_or (tool_member (o, "need"), resource_names[i], 0);
  if (request)
    r->need[RESOURCES - 1] = 1;
  json_add_int (verify.open, key, (int64_t)verify.run_count++);
}

static void
add_event (struct json_object *o, const char *event)
{
  const char *place;
  struct json_object *record = place_record (o, &place);
  const char *task = json_string_or (o, "task", "");
  const char *request = json_string_or (o, "request", "");
  bool execute = strncmp (event, "execute-", 8) == 0;
  const char *id = execute ? request : task;
  char key[400];
  snprintf (key, sizeof key, "%s %d %s %lld", place, execute, id,
            (long long)json_int_or (o, "attempt", 0));
  verify.events++;
  int64_t index = json_int_or (verify.open, key, -1);
  if (strcmp (event, "boot") == 0)
    json_object_object_add (record, "capacity",
                            json_object_get (tool_member (o, "capacity")));
  else if (strcmp (event, "start") == 0
           || strcmp (event, "execute-start") == 0)
    add_start (o, place, id, execute, key);
  else if (strcmp (event, "checkpoint") == 0 && index >= 0)
    verify.runs[index].left = json_string_or (o, "checkpoint", NULL);
  else if ((strcmp (event, "end") == 0 || strcmp (event, "execute-end") == 0)
           && index >= 0)
    {
      struct run *r = &verify.runs[index];
      r->end_us = json_int_or (o, "at_us", 0);
      r->result = json_string_or (o, "result", "");
      r->left = json_string_or (o, "checkpoint", r->left);
      json_object_object_del (verify.open, key);
    }
  else if (strcmp (event, "refuse") == 0)
    {
      const char *reason = json_string_or (o, "reason", "?");
      json_add_int (verify.refusals, reason,
                    json_int_or (verify.refusals, reason, 0) + 1);
    }
}

static void
add_request (struct json_object *o)
{
  verify.told
      = realloc (verify.told, (verify.told_count + 1) * sizeof *verify.told);
  assert (verify.told != NULL);
  verify.told[verify.told_count++] = (struct told){
    .id = json_string_or (o, "id", ""),
    .sent_us = json_int_or (o, "sent_us", 0),
    .not_run = strcmp (json_string_or (o, "outcome", ""), "not-run") == 0,
    .repeatable = tool_bool_or (o, "repeatable", true),
    .answered = json_int_or (o, "status", 0) == 200,
    .wrong = strcmp (json_string_or (o, "check", ""), "wrong") == 0,
  };
}

/* Reads the log PATH, one JSON object on each line.  */
static bool
read_log (const char *path, struct rr_error *err)
{
  size_t len;
  char *text = tool_read_file (path, &len, err);
  if (text == NULL)
    return false;
  int number = 1;
  for (char *line = text; *line != '\0' && err->code == RR_OK; number++)
    {
      char *end = strchrnul (line, '\n');
      struct rr_error cause = { 0 };
      struct json_object *o = json_parse (line, (size_t)(end - line), &cause);
      if (o == NULL)
        rr_error_set (err, RR_ERROR_INVALID, "%s:%d: %s", path, number,
                      cause.message);
      const char *event = json_string_or (o, "event", NULL);
      const char *kind = json_string_or (o, "kind", "");
      if (o != NULL)
        json_object_array_add (verify.lines, o);
      if (event != NULL)
        add_event (o, event);
      else if (strcmp (kind, "request") == 0)
        add_request (o);
      else if (strcmp (kind, "cancel") == 0)
        json_add_int (verify.canceled, json_string_or (o, "id", ""), 1);
      line = *end == '\n' ? end + 1 : end;
    }
  free (text);
  return err->code == RR_OK;
}

static int
compare_runs (const void *a, const void *b)
{
  const struct run *x = a;
  const struct run *y = b;
  int order = (int)x->request - (int)y->request;
  if (order == 0)
    order = strcmp (x->id, y->id);
  return order != 0
             ? order
             : (x->start_us > y->start_us) - (x->start_us < y->start_us);
}

static int
compare_told (const void *a, const void *b)
{
  const struct told *x = a;
  const struct told *y = b;
  int order = strcmp (x->id, y->id);
  return order != 0 ? order
                    : (x->sent_us > y->sent_us) - (x->sent_us < y->sent_us);
}

static int
compare_steps (const void *a, const void *b)
{
  const struct step *x = a;
  const struct step *y = b;
  int order = strcmp (x->place, y->place);
  if (order == 0)
    order = (x->at_us > y->at_us) - (x->at_us < y->at_us);
  return order != 0 ? order : x->sign - y->sign;
}

/* A run without a logged end lasted until the last sign of its place.  */
static void
close_runs (void)
{
  for (size_t i = 0; i < verify.run_count; i++)
    {
      struct run *r = &verify.runs[i];
      if (r->result == NULL)
        r->end_us = json_int_or (tool_member (verify.places, r->place),
                                 "last_us", 0);
    }
  qsort (verify.runs, verify.run_count, sizeof *verify.runs, compare_runs);
  qsort (verify.told, verify.told_count, sizeof *verify.told, compare_told);
}

static bool
ended_as (const struct run *r, const char *result)
{
  return r->result != NULL && strcmp (r->result, result) == 0;
}

/* Judges the later run B of a task against the earlier run A.  Resuming twice
   from one checkpoint is allowed when A was lost or failed before it left a
   newer one.  */
static void
check_pair (const struct run *a, const struct run *b)
{
  bool overlap = b->start_us < a->end_us;
  if (overlap)
    violation (TWO_PLACES, "%s attempt %lld on %s and attempt %lld on %s",
               a->id, (long long)a->attempt, a->place, (long long)b->attempt,
               b->place);
  if (a->attempt == b->attempt)
    violation (RUN_TWICE, "%s attempt %lld on %s and %s", a->id,
               (long long)a->attempt, a->place, b->place);
  else if (ended_as (a, "ok") && ended_as (b, "ok"))
    violation (RUN_TWICE, "%s attempts %lld and %lld both ended ok", a->id,
               (long long)a->attempt, (long long)b->attempt);
  bool newer = a->left != NULL && a->resumed != NULL
               && strcmp (a->left, a->resumed) != 0;
  if (a->resumed != NULL && b->resumed != NULL
      && strcmp (a->resumed, b->resumed) == 0
      && (overlap || ended_as (a, "ok") || (ended_as (a, "stopped") && newer)))
    violation (RESUMED_TWICE, "%s attempts %lld and %lld from %s", a->id,
               (long long)a->attempt, (long long)b->attempt, a->resumed);
}

/* Judges all runs of one task, given in order of their starts.  */
static void
check_task (const struct run *runs, size_t n)
{
  for (size_t i = 0; i < n; i++)
    for (size_t j = i + 1; j < n; j++)
      check_pair (&runs[i], &runs[j]);
  for (size_t i = 0; i + 1 < n; i++)
    if (ended_as (&runs[i], "stopped") && runs[i].left != NULL
        && runs[i + 1].resumed == NULL)
      violation (LOST, "%s attempt %lld starts without checkpoint %s",
                 runs[i].id, (long long)runs[i + 1].attempt, runs[i].left);
}

/* Judges all executions RUNS of one request against what the callers were
   told.  An execution is accounted for by a sending made before it whose
   caller was not told "not run".  */
static void
check_request (const struct run *runs, size_t n, const struct told *told,
               size_t m)
{
  if (n > 1 && !told[0].repeatable)
    violation (RUN_TWICE, "request %s on %s and %s", told[0].id, runs[0].place,
               runs[1].place);
  bool completed = false;
  for (size_t i = 0; i < n; i++)
    {
      bool accounted = false;
      completed = completed || ended_as (&runs[i], "ok");
      for (size_t j = 0; j < m; j++)
        accounted
            = accounted
              || (!told[j].not_run && told[j].sent_us <= runs[i].start_us);
      if (!accounted)
        violation (FALSE_NOT_RUN, "request %s ran on %s", told[0].id,
                   runs[i].place);
    }
  for (size_t j = 0; j < m; j++)
    if (told[j].wrong)
      violation (WRONG_ANSWER, "request %s: body differs", told[j].id);
    else if (told[j].answered && !completed)
      violation (WRONG_ANSWER, "request %s: answered without an execution",
                 told[j].id);
}

/* Returns the first run of request ID and the number N of its runs.  */
static const struct run *
find_runs (const char *id, size_t *n)
{
  size_t low = 0;
  size_t high = verify.run_count;
  struct run wanted = { .request = true, .id = id, .start_us = INT64_MIN };
  while (low < high)
    {
      size_t middle = (low + high) / 2;
      if (compare_runs (&verify.runs[middle], &wanted) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  *n = 0;
  while (low + *n < verify.run_count && verify.runs[low + *n].request
         && strcmp (verify.runs[low + *n].id, id) == 0)
    (*n)++;
  return &verify.runs[low];
}

static void
check_runs (void)
{
  for (size_t i = 0; i < verify.run_count && !verify.runs[i].request;)
    {
      size_t n = 1;
      while (i + n < verify.run_count && !verify.runs[i + n].request
             && strcmp (verify.runs[i + n].id, verify.runs[i].id) == 0)
        n++;
      check_task (&verify.runs[i], n);
      i += n;
    }
  for (size_t i = 0; i < verify.told_count;)
    {
      size_t m = 1;
      size_t n;
      while (i + m < verify.told_count
             && strcmp (verify.told[i + m].id, verify.told[i].id) == 0)
        m++;
      const struct run *runs = find_runs (verify.told[i].id, &n);
      check_request (runs, n, &verify.told[i], m);
      i += m;
    }
}

/* Sums up the capacity in use at each place and compares it with the capacity
   the place announced.  Ends come before starts of the same microsecond.  */
static void
check_capacity (void)
{
  size_t n = 2 * verify.run_count;
  struct step *steps = tool_alloc ((n + 1) * sizeof *steps);
  for (size_t i = 0; i < verify.run_count; i++)
    {
      const struct run *r = &verify.runs[i];
      /* A run may end in the microsecond in which it starts.  */
      int64_t end = r->end_us > r->start_us ? r->end_us : r->start_us + 1;
      steps[2 * i] = (struct step){ r->place, r->start_us, 1, r };
      steps[2 * i + 1] = (struct step){ r->place, end, -1, r };
    }
  qsort (steps, n, sizeof *steps, compare_steps);
  int64_t used[RESOURCES] = { 0 };
  for (size_t i = 0; i < n; i++)
    {
      const struct step *s = &steps[i];
      struct json_object *capacity
          = tool_member (tool_member (verify.places, s->place), "capacity");
      for (int k = 0; k < RESOURCES; k++)
        {
          used[k] += s->sign * s->run->need[k];
          if (s->sign > 0 && s->run->need[k] > 0 && capacity != NULL
              && used[k] > json_int_or (capacity, resource_names[k], 0))
            violation (OVERFILLED, "%s: %s %lld with %s", s->place,
                       resource_names[k], (long long)used[k], s->run->id);
        }
    }
  free (steps);
}

/* Tells whether TASK belongs to JOB: the same id, or the job's id followed by
   a separator.  */
static bool
task_of_job (const char *task, const char *job)
{
  size_t n = strlen (job);
  return strncmp (task, job, n) == 0
         && (task[n] == '\0' || strchr ("/.:#", task[n]) != NULL);
}

/* Every task of an accepted job must have run to its end.  */
static void
check_jobs (void)
{
  struct json_object *seen = json_object_new_object ();
  for (size_t i = 0; i < json_object_array_length (verify.lines); i++)
    {
      struct json_object *o = json_object_array_get_idx (verify.lines, i);
      const char *id = json_string_or (o, "id", "");
      if (strcmp (json_string_or (o, "kind", ""), "job") != 0
          || !tool_bool_or (o, "accepted", false)
          || tool_member (seen, id) != NULL
          || tool_member (verify.canceled, id) != NULL)
        continue;
      json_add_int (seen, id, 1);
      int64_t ended = 0;
      const char *last = "";
      for (size_t k = 0; k < verify.run_count && !verify.runs[k].request; k++)
        {
          const struct run *r = &verify.runs[k];
          if (task_of_job (r->id, id) && strcmp (r->id, last) != 0
              && (ended_as (r, "ok") || ended_as (r, "failed")))
            {
              last = r->id;
              ended++;
            }
        }
      int64_t tasks = json_int_or (o, "tasks", 1);
      for (int64_t k = ended; k < tasks; k++)
        violation (LOST, "job %s: %lld of %lld tasks ended", id,
                   (long long)ended, (long long)tasks);
    }
  json_object_put (seen);
}

/* Prints the table and returns the exit code.  */
static int
print_table (void)
{
  int64_t total = 0;
  printf ("%-28s %7s  %s\n", "rule", "count", "first offender");
  for (int i = 0; i < RULES; i++)
    {
      printf ("%-28s %7lld  %s\n", rule_names[i], (long long)verify.counts[i],
              verify.counts[i] == 0 ? "-" : verify.offenders[i]);
      total += verify.counts[i];
    }
  printf ("events %lld, runs %zu, callers' answers %zu, refusals %s\n",
          (long long)verify.events, verify.run_count, verify.told_count,
          json_text (verify.refusals));
  printf ("%lld violations\n", (long long)total);
  return total == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main (int argc, char **argv)
{
  static struct tool_flag flags[] = {
    LIST_FLAG ("log", "execution or caller log; all are read together"),
    SWITCH_FLAG ("full-is-overfilled", "count refusals as full as overfilled"),
  };
  int code;
  if (!tool_start (argc, argv, "rr-verify",
                   "Checks execution logs against callers' logs.", flags, 2,
                   NULL, &code))
    return code;
  struct rr_error err = { 0 };
  verify.runs = calloc (1, sizeof *verify.runs);
  verify.told = calloc (1, sizeof *verify.told);
  verify.lines = json_object_new_array ();
  verify.places = json_object_new_object ();
  verify.open = json_object_new_object ();
  verify.refusals = json_object_new_object ();
  verify.canceled = json_object_new_object ();
  for (int i = 0; i < flags[0].count; i++)
    if (!read_log (flags[0].texts[i], &err))
      return tool_fail ("rr-verify", &err);
  if (verify.events == 0)
    {
      rr_error_set (&err, RR_ERROR_INVALID, "the logs hold no events");
      return tool_fail ("rr-verify", &err);
    }
  close_runs ();
  check_runs ();
  check_capacity ();
  check_jobs ();
  int64_t full = json_int_or (verify.refusals, "full", 0);
  for (int64_t i = 0; i < full && flags[1].count > 0; i++)
    violation (OVERFILLED, "%lld starts refused as full", (long long)full);
  return print_table ();
}
