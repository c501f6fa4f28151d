#include "standins/taskworker.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "standins/tool.h"

/* The runs of rr-taskworker and their ends.  */

enum
{
  STOP_MS = 30,
  FAILURE_MS = 100 /* until a run that must fail does */
};

struct run
{
  LIST_ENTRY (run) link;
  char task[TASKWORKER_TEXT_MAX];
  int64_t run;
  int64_t work_us; /* at full speed */
  int64_t done_us;
  int64_t counted_us; /* time up to which DONE_US is counted */
  int64_t stop_us;    /* end of a run that is stopped, else 0 */
  int64_t cores_milli;
  int64_t tail_ms; /* of a latency-critical task, else 0 */
  int64_t peak_tail_ms;
  int64_t percent; /* speed */
  long saved_bytes;
  bool fails;
};

struct end
{
  int64_t number;
  char task[TASKWORKER_TEXT_MAX];
  int64_t run;
  const char *how;
  long saved_bytes;
  int64_t at_us;
  bool noted;
};

/* The highest run that was stopped or has ended here, by task.  */
struct seal
{
  char task[TASKWORKER_TEXT_MAX];
  int64_t run;
};

static const char *id;
static FILE *log_file;
static int64_t token; /* the highest seen */
LIST_HEAD (run_list, run);
static struct run_list runs;
static struct end *ends;
static size_t end_count;
static int64_t last_end;
static struct seal *seals;
static size_t seal_count;
static bool peak;

/* Sets the id of the worker and the file of its log lines.  */
void
taskruns_init (const char *worker_id, FILE *log)
{
  id = worker_id;
  log_file = log;
}

/* Writes a log line.  */
void
taskruns_log (const char *event, const char *task, int64_t run,
              const char *how)
{
  fprintf (log_file,
           "{\"t\":%lld,\"vm\":\"%s\",\"event\":\"%s\",\"task\":\"%s\","
           "\"run\":%lld,\"how\":\"%s\",\"token\":%lld}\n",
           (long long)tool_wall_ms (), id, event, task, (long long)run, how,
           (long long)token);
  fflush (log_file);
}

/* Takes note of the fencing token GIVEN.  Returns false when it is lower than
   an earlier one.  */
bool
taskruns_fence (int64_t given)
{
  if (given < token)
    return false;
  token = given;
  return true;
}

static struct run *
run_find (const char *task)
{
  struct run *r = LIST_FIRST (&runs);
  while (r != NULL && strcmp (r->task, task) != 0)
    r = LIST_NEXT (r, link);
  return r;
}

/* Returns the run of TASK that is at work here, or 0.  */
int64_t
taskrun_present (const char *task)
{
  const struct run *r = run_find (task);
  return r == NULL ? 0 : r->run;
}

static struct seal *
seal_of (const char *task)
{
  for (size_t i = 0; i < seal_count; i++)
    if (strcmp (seals[i].task, task) == 0)
      return &seals[i];
  struct seal *grown = realloc (seals, (seal_count + 1) * sizeof *seals);
  if (grown == NULL)
    abort ();
  seals = grown;
  struct seal *s = &seals[seal_count++];
  memset (s, 0, sizeof *s);
  snprintf (s->task, sizeof s->task, "%s", task);
  return s;
}

/* Returns whether RUN is not higher than a run of TASK that was stopped or has
   ended here.  */
bool
taskrun_is_sealed (const char *task, int64_t run)
{
  return run <= seal_of (task)->run;
}

static long
spec_value (const char *spec, const char *name)
{
  const char *p = strstr (spec, name);
  return p == NULL ? 0 : strtol (p + strlen (name), NULL, 10);
}

/* Starts RUN of TASK, which does what SPEC, of LENGTH bytes, says.  */
void
taskrun_start (const char *task, int64_t run, const char *spec, int length)
{
  struct run *r = tool_alloc (sizeof *r);
  memset (r, 0, sizeof *r);
  snprintf (r->task, sizeof r->task, "%s", task);
  r->run = run;
  bool again = run > 1 && strstr (spec, "again=") != NULL;
  r->work_us = spec_value (spec, again ? "again=" : "work=") * 1000;
  r->counted_us = tool_now_us ();
  r->cores_milli = spec_value (spec, "cpu=");
  r->tail_ms = spec_value (spec, "tail=");
  r->peak_tail_ms = spec_value (spec, "peak=");
  r->percent = 100;
  r->saved_bytes = spec_value (spec, "save=");
  r->fails = rand () % 100 < spec_value (spec, "fail=")
             || (run == 1 && strstr (spec, "fails_first") != NULL);
  if (!peak && strstr (spec, "fails_off_peak") != NULL)
    {
      r->fails = true;
      r->work_us = FAILURE_MS * INT64_C (1000);
    }
  LIST_INSERT_HEAD (&runs, r, link);
  char size[16];
  snprintf (size, sizeof size, "%d", length);
  taskruns_log ("spec", task, run, size);
  taskruns_log ("start", task, run, "");
}

/* Stops RUN of TASK, or keeps it from starting later.  */
void
taskrun_stop (const char *task, int64_t run)
{
  struct run *r = run_find (task);
  struct seal *s = seal_of (task);
  if (s->run < run)
    s->run = run;
  if (r != NULL && r->run == run)
    r->stop_us = tool_now_us () + STOP_MS * INT64_C (1000);
}

static void
count_work (struct run *r)
{
  int64_t now = tool_now_us ();
  r->done_us += (now - r->counted_us) * r->percent / 100;
  r->counted_us = now;
}

/* Sets the speed of RUN of TASK, if it is at work here.  */
void
taskrun_pace (const char *task, int64_t run, int64_t percent)
{
  struct run *r = run_find (task);
  if (percent < 0 || percent > 100 || r == NULL || r->run != run
      || r->percent == percent)
    return;
  count_work (r);
  r->percent = percent;
  char text[8];
  snprintf (text, sizeof text, "%d", (int)percent);
  taskruns_log ("pace", task, run, text);
}

/* Changes all latency-critical tasks to their tail latency at peak load, or
   back.  */
void
taskruns_toggle_peak (void)
{
  peak = !peak;
  taskruns_log ("peak", "", 0, peak ? "begin" : "end");
}

static void
run_end (struct run *r, const char *how)
{
  struct end *grown = realloc (ends, (end_count + 1) * sizeof *ends);
  if (grown == NULL)
    abort ();
  ends = grown;
  struct end *e = &ends[end_count++];
  memset (e, 0, sizeof *e);
  e->number = ++last_end;
  snprintf (e->task, sizeof e->task, "%s", r->task);
  e->run = r->run;
  e->how = how;
  e->saved_bytes = r->saved_bytes;
  e->at_us = tool_now_us ();
  struct seal *s = seal_of (r->task);
  if (s->run < r->run)
    s->run = r->run;
  taskruns_log ("end", r->task, r->run, how);
  LIST_REMOVE (r, link);
  free (r);
}

/* Counts the work of all runs and ends those that are over: all of them when
   their lease has LAPSED.  Returns whether a run has ended.  */
bool
taskruns_advance (bool lapsed)
{
  int64_t before = last_end;
  struct run *r = LIST_FIRST (&runs);
  while (r != NULL)
    {
      struct run *next = LIST_NEXT (r, link);
      count_work (r);
      if (lapsed)
        run_end (r, "lapsed");
      else if (r->stop_us != 0)
        {
          if (r->stop_us <= r->counted_us)
            run_end (r, "stopped");
        }
      else if (r->done_us >= r->work_us)
        run_end (r, r->fails ? "failed" : "done");
      r = next;
    }
  return last_end > before;
}

/* Returns the number of the last end.  */
int64_t
taskruns_last_end (void)
{
  return last_end;
}

/* Logs the ends that the caller has taken note of: those up to OBSERVED,
   unless the lease expired in between, last at LAPSED_US.  */
void
taskruns_note_ends (int64_t observed, int64_t lapsed_us)
{
  for (size_t i = 0; i < end_count; i++)
    if (!ends[i].noted && ends[i].number <= observed)
      {
        ends[i].noted = true;
        if (ends[i].at_us > lapsed_us)
          taskruns_log ("noted", ends[i].task, ends[i].run, ends[i].how);
      }
}

static void
add_int (struct json_object *row, int64_t value)
{
  json_object_array_add (row, json_object_new_int64 (value));
}

static void
add_text (struct json_object *row, const char *text)
{
  json_object_array_add (row, json_object_new_string (text));
}

/* Adds a checkpoint of BYTES zeros.  */
static void
add_checkpoint (struct json_object *row, long bytes)
{
  char *text = tool_alloc ((size_t)bytes + 1);
  memset (text, '0', (size_t)bytes);
  text[bytes] = '\0';
  add_text (row, text);
  free (text);
}

/* Returns the rows of the runs at work.  Latency-critical tasks are at work
   from their start on.  */
struct json_object *
taskruns_running (void)
{
  struct json_object *rows = json_object_new_array ();
  for (struct run *r = LIST_FIRST (&runs); r != NULL; r = LIST_NEXT (r, link))
    {
      struct json_object *row = json_object_new_array ();
      count_work (r);
      bool serves = r->tail_ms > 0;
      add_text (row, r->task);
      add_int (row, r->run);
      add_checkpoint (row, r->saved_bytes);
      add_int (row, serves ? 100 : r->done_us * 100 / (r->work_us + 1));
      if (serves)
        add_int (row, peak ? r->peak_tail_ms : r->tail_ms);
      else
        add_int (row, r->cores_milli * r->percent / 100);
      json_object_array_add (rows, row);
    }
  return rows;
}

/* Returns the rows of the ends after OBSERVED.  */
struct json_object *
taskruns_finished (int64_t observed)
{
  struct json_object *rows = json_object_new_array ();
  for (size_t i = 0; i < end_count; i++)
    {
      if (ends[i].number <= observed)
        continue;
      struct json_object *row = json_object_new_array ();
      add_int (row, ends[i].number);
      add_text (row, ends[i].task);
      add_int (row, ends[i].run);
      add_text (row, ends[i].how);
      add_checkpoint (row, ends[i].saved_bytes);
      json_object_array_add (rows, row);
    }
  return rows;
}
