#include "world.h"

#include <stdlib.h>
#include <string.h>

/* Workers.  What a task does stands in its spec: "work=MS" at full speed,
   "cpu=" in thousandths of a core, "lasts=1", "fails=MS upto=N": runs up to N
   fail after that time, and "saves=N": a checkpoint of N bytes each second. */

enum
{
  LISTED_MAX = 500, /* ends in an answer */
  RACK = 2,         /* workers in a rack */
  STOP_MS = 50,
  CPU = 32000,
  MEMORY_MB = 125000
};

struct worker workers[WORKERS_MAX];
int worker_count;
struct run *runs;
size_t run_count;
bool tickets;
int foreign_checkpoints;

/* The highest run of a task that was stopped or has ended on a worker.  */
struct seal
{
  int worker;
  int life;
  char task[TEXT];
  int64_t run;
};

static struct seal *seals;
static size_t seal_count;

static struct seal *
seal_of (const struct worker *w, const char *task)
{
  for (size_t i = seal_count; i-- > 0;)
    if (seals[i].worker == w->index && seals[i].life == w->life
        && strcmp (seals[i].task, task) == 0)
      return &seals[i];
  if (seal_count % 1024 == 0)
    seals = grow (seals, (seal_count + 1024) * sizeof *seals);
  struct seal *s = &seals[seal_count++];
  memset (s, 0, sizeof *s);
  s->worker = w->index;
  s->life = w->life;
  snprintf (s->task, sizeof s->task, "%s", task);
  return s;
}

static bool
at_work (const struct run *r, const struct worker *w)
{
  return r->ended == 0 && r->worker == w->index && r->life == w->life;
}

static int64_t
clock_of (const struct worker *w)
{
  return now_ms () - w->life_began + 1000;
}

static long
spec_value (const char *spec, const char *name)
{
  const char *p = strstr (spec, name);
  return p == NULL ? 0 : strtol (p + strlen (name), NULL, 10);
}

static void
run_end (struct worker *w, struct run *r, const char *how)
{
  r->ended = now_ms ();
  snprintf (r->how, sizeof r->how, "%s", how);
  if (strcmp (how, "crash") != 0)
    r->end_no = ++w->last_end;
  struct seal *s = seal_of (w, r->task);
  if (s->run < r->number)
    s->run = r->number;
  note ("%s: run %lld of %s ends: %s", w->id, (long long)r->number, r->task,
        how);
  pthread_cond_broadcast (&changed);
}

static void
lease_extend (struct worker *w, int64_t deadline)
{
  int64_t clock = clock_of (w);
  if (deadline > clock + LEASE_MAX_MS)
    deadline = clock + LEASE_MAX_MS;
  int64_t end = now_ms () + deadline - clock;
  if (deadline > 0 && end > w->lease_end)
    w->lease_end = end;
}

static void
answer_clock (const struct worker *w, struct answer *a, int status,
              const char *reason)
{
  struct json_object *o = json_object_new_object ();
  json_object_object_add (o, "clockMs", json_object_new_int64 (clock_of (w)));
  if (reason[0] != '\0')
    json_object_object_add (o, "reason", json_object_new_string (reason));
  a->status = status;
  a->body = text_of (o);
}

static int64_t
cpu_in_use (const struct worker *w)
{
  int64_t sum = 0;
  for (size_t i = 0; i < run_count; i++)
    if (at_work (&runs[i], w))
      sum += runs[i].cpu;
  return sum;
}

static struct run *
run_add (struct worker *w, const char *task, int64_t number, const char *spec)
{
  if (run_count % 4096 == 0)
    runs = grow (runs, (run_count + 4096) * sizeof *runs);
  struct run *r = &runs[run_count++];
  memset (r, 0, sizeof *r);
  snprintf (r->task, sizeof r->task, "%s", task);
  r->number = number;
  r->worker = w->index;
  r->life = w->life;
  r->began = now_ms ();
  r->work_ms = spec_value (spec, "lasts=") != 0 ? INT64_MAX
                                                : spec_value (spec, "work=");
  r->cpu = spec_value (spec, "cpu=");
  r->token = w->token;
  r->saves = (size_t)spec_value (spec, "saves=");
  if (number <= spec_value (spec, "upto="))
    r->fails_ms = spec_value (spec, "fails=");
  return r;
}

/* Writes the checkpoint number N of R, or nothing for number 0.  */
static void
checkpoint_text (const struct run *r, int64_t n, char *out, size_t size)
{
  int at = 0;
  out[0] = '\0';
  if (n == 0 || r->saves == 0)
    return;
  at = snprintf (out, size, "%016llx-%s-", (unsigned long long)n, r->task);
  while (at > 0 && (size_t)at < r->saves && (size_t)at + 1 < size)
    {
      out[at] = (char)('a' + at % 26);
      at++;
    }
  out[at] = '\0';
}

static int64_t
checkpoint_number (const struct run *r)
{
  enum
  {
    CHECKPOINT_MS = 1000
  };
  return r->resumed
         + ((r->ended == 0 ? now_ms () : r->ended) - r->began) / CHECKPOINT_MS;
}

/* Returns the number of CHECKPOINT if a run of TASK has saved it, else -1.  */
static int64_t
checkpoint_find (const char *task, const char *checkpoint)
{
  char text[512];
  for (size_t i = 0; i < run_count; i++)
    for (int64_t n = checkpoint_number (&runs[i]);
         n > 0 && strcmp (runs[i].task, task) == 0; n--)
      {
        checkpoint_text (&runs[i], n, text, sizeof text);
        if (strcmp (text, checkpoint) == 0)
          return n;
      }
  return -1;
}

static void
checkpoint_resume (struct run *r, const char *checkpoint)
{
  if (checkpoint[0] == '\0')
    return;
  int64_t n = checkpoint_find (r->task, checkpoint);
  note ("run %lld of %s has %s checkpoint, of %zu bytes: %s",
        (long long)r->number, r->task, n > 0 ? "the task's" : "a FOREIGN",
        strlen (checkpoint), checkpoint);
  if (n < 0)
    foreign_checkpoints++;
  else
    r->resumed = n;
}

static void
on_start (struct worker *w, struct json_object *o, struct answer *a)
{
  const char *task = get_text (o, "task");
  const char *spec = get_text (o, "spec");
  int64_t number = get_int (o, "run", 0);
  int64_t deadline = get_int (o, "deadlineMs", 0);
  const char *reason = "";
  bool present = false;
  for (size_t i = 0; i < run_count; i++)
    if (at_work (&runs[i], w) && strcmp (runs[i].task, task) == 0)
      {
        if (runs[i].number == number)
          present = true;
        else
          reason = "old";
      }
  if (present)
    {
      answer_clock (w, a, 200, "");
      return;
    }
  if (number <= seal_of (w, task)->run)
    reason = "old";
  else if (deadline <= clock_of (w))
    reason = "late";
  else if (tickets && get_text (o, "ticket")[0] == '\0')
    reason = "ticket";
  else if (cpu_in_use (w) + spec_value (spec, "cpu=") > CPU)
    reason = "room";
  if (reason[0] == '\0' || strcmp (reason, "old") == 0
      || strcmp (reason, "room") == 0)
    lease_extend (w, deadline);
  if (reason[0] != '\0')
    {
      w->starts_refused++;
      note ("%s: start of run %lld of %s is refused: %s", w->id,
            (long long)number, task, reason);
      answer_clock (w, a, 409, reason);
      return;
    }
  struct run *r = run_add (w, task, number, spec);
  checkpoint_resume (r, get_text (o, "checkpoint"));
  note ("%s: run %lld of %s starts (token %lld)", w->id, (long long)number,
        task, (long long)w->token);
  answer_clock (w, a, 200, "");
}

static void
on_stop (struct worker *w, struct json_object *o, struct answer *a)
{
  const char *task = get_text (o, "task");
  int64_t number = get_int (o, "run", 0);
  struct seal *s = seal_of (w, task);
  if (s->run < number)
    s->run = number;
  for (size_t i = 0; i < run_count; i++)
    if (at_work (&runs[i], w) && runs[i].number == number
        && strcmp (runs[i].task, task) == 0 && runs[i].stop_at == 0)
      {
        runs[i].stop_at = now_ms () + STOP_MS;
        note ("%s: run %lld of %s is told to stop", w->id, (long long)number,
              task);
      }
  answer_clock (w, a, 200, "");
}

static void
take_note (struct worker *w, int64_t observed)
{
  for (size_t i = 0; i < run_count; i++)
    {
      struct run *r = &runs[i];
      if (r->worker != w->index || r->life != w->life || r->noted
          || r->ended == 0 || r->end_no == 0 || r->end_no > observed)
        continue;
      r->forgotten = true;
      r->noted = w->lapsed_at < r->ended;
      r->noted_at = now_ms ();
    }
}

static void
add_run_row (struct json_object *rows, const struct run *r)
{
  struct json_object *row = json_object_new_array ();
  int64_t percent = r->work_ms == INT64_MAX ? 100
                    : r->work_ms <= 0
                        ? 99
                        : (now_ms () - r->began) * 100 / r->work_ms;
  json_object_array_add (row, json_object_new_string (r->task));
  char saved[512];
  checkpoint_text (r, checkpoint_number (r), saved, sizeof saved);
  json_object_array_add (row, json_object_new_int64 (r->number));
  json_object_array_add (row, json_object_new_string (saved));
  json_object_array_add (row, json_object_new_int64 (percent));
  json_object_array_add (row, json_object_new_int64 (r->cpu));
  json_object_array_add (rows, row);
}

/* An end in the list of a worker.  */
struct listed
{
  int64_t number;
  const struct run *run;
};

static int
by_number (const void *a, const void *b)
{
  const struct listed *x = a;
  const struct listed *y = b;
  return (x->number > y->number) - (x->number < y->number);
}

/* Returns the rows of the first LISTED_MAX ends that are not forgotten.  */
static struct json_object *
ends_json (const struct worker *w)
{
  struct json_object *rows = json_object_new_array ();
  struct listed *found = calloc (run_count + 1, sizeof *found);
  if (found == NULL)
    give_up ("no memory");
  size_t n = 0;
  for (size_t i = 0; i < run_count; i++)
    if (runs[i].worker == w->index && runs[i].life == w->life
        && runs[i].end_no > 0 && !runs[i].forgotten)
      found[n++] = (struct listed){ runs[i].end_no, &runs[i] };
  qsort (found, n, sizeof *found, by_number);
  for (size_t i = 0; i < n && i < LISTED_MAX; i++)
    {
      const struct run *r = found[i].run;
      struct json_object *row = json_object_new_array ();
      char saved[512];
      checkpoint_text (r, checkpoint_number (r), saved, sizeof saved);
      json_object_array_add (row, json_object_new_int64 (r->end_no));
      json_object_array_add (row, json_object_new_string (r->task));
      json_object_array_add (row, json_object_new_int64 (r->number));
      json_object_array_add (row, json_object_new_string (r->how));
      json_object_array_add (row, json_object_new_string (saved));
      json_object_array_add (rows, row);
    }
  free (found);
  return rows;
}

static bool
has_ends (const struct worker *w)
{
  for (size_t i = run_count; i-- > 0;)
    if (runs[i].worker == w->index && runs[i].life == w->life
        && runs[i].end_no > 0 && !runs[i].forgotten)
      return true;
  return false;
}

static void
on_hold (struct worker *w, struct json_object *o, struct answer *a)
{
  take_note (w, get_int (o, "observed", 0));
  lease_extend (w, get_int (o, "deadlineMs", 0));
  int64_t until = now_ms () + get_int (o, "waitMs", 0);
  int life = w->life;
  while (!has_ends (w) && now_ms () < until && w->life == life && !w->cut)
    wait_ms (until - now_ms ());
  if (w->life != life || w->cut)
    return;
  struct json_object *r = json_object_new_object ();
  struct json_object *running = json_object_new_array ();
  for (size_t i = 0; i < run_count; i++)
    if (at_work (&runs[i], w))
      add_run_row (running, &runs[i]);
  json_object_object_add (r, "clockMs", json_object_new_int64 (clock_of (w)));
  json_object_object_add (r, "born", json_object_new_int64 (w->born));
  json_object_object_add (r, "running", running);
  json_object_object_add (r, "finished", ends_json (w));
  a->status = 200;
  a->body = text_of (r);
}

static void
on_call (void *data, const struct request *q, struct answer *a)
{
  struct worker *w = data;
  if (!w->up || w->cut)
    return;
  struct json_object *o = json_tokener_parse (q->body);
  int64_t token = get_int (o, "fencingToken", 0);
  if (q->instance[0] != '\0' && strcmp (q->instance, w->id) != 0)
    answer_clock (w, a, 421, "");
  else if (token < w->token)
    answer_clock (w, a, 409, "fence");
  else
    {
      w->token = token;
      if (strcmp (q->path, "/-/hold") == 0)
        on_hold (w, o, a);
      else if (strcmp (q->path, "/-/run-start") == 0)
        on_start (w, o, a);
      else if (strcmp (q->path, "/-/run-stop") == 0)
        on_stop (w, o, a);
      else
        answer_clock (w, a, 200, "");
    }
  json_object_put (o);
}

static void
beat (struct worker *w)
{
  char key[TEXT + 16];
  char entry[512];
  snprintf (key, sizeof key, "servers/%s", w->id);
  snprintf (entry, sizeof entry,
            "{\"service\":\"desk\",\"address\":\"%s:%d\",\"zone\":\"z%d\","
            "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
            "\"coldRemainingMs\":0,\"capacity\":{\"cpu\":%d,\"memMb\":%d,"
            "\"gpu\":0},\"labels\":[\"a\",\"r%d-1\"],\"clockMs\":%lld,"
            "\"born\":%lld,\"sequence\":%lld}",
            address, w->server.port, w->index % 3 + 1, CPU, MEMORY_MB,
            w->index / RACK + 1, (long long)clock_of (w), (long long)w->born,
            (long long)++w->sequence);
  store_put (key, entry);
  w->beat_at = now_ms ();
}

static void
life_begin (struct worker *w)
{
  w->life++;
  w->life_began = now_ms ();
  w->born = wall_ms ();
  w->token = 0;
  w->lease_end = 0;
  w->lapsed_at = 0;
  w->last_end = 0;
  w->sequence = 0;
  w->up = true;
  w->server.down = false;
  beat (w);
}

void
worker_crash (struct worker *w)
{
  note ("%s: crashes", w->id);
  for (size_t i = 0; i < run_count; i++)
    if (at_work (&runs[i], w))
      run_end (w, &runs[i], "crash");
  w->up = false;
  w->server.down = true;
  server_reset (&w->server);
}

void
worker_return (struct worker *w)
{
  life_begin (w);
  note ("%s: is back, as a new life", w->id);
}

static void
run_advance (struct worker *w, struct run *r, int64_t now)
{
  int64_t age = now - r->began;
  if (r->stop_at != 0 && r->stop_at <= now)
    run_end (w, r, "stopped");
  else if (r->fails_ms != 0 && age >= r->fails_ms)
    run_end (w, r, "failed");
  else if (age >= r->work_ms)
    run_end (w, r, "done");
}

void
workers_tick (void)
{
  int64_t now = now_ms ();
  for (int i = 0; i < worker_count; i++)
    {
      struct worker *w = &workers[i];
      bool lapsed = w->up && now > w->lease_end;
      if (lapsed)
        w->lapsed_at = now;
      for (size_t k = 0; w->up && k < run_count; k++)
        if (at_work (&runs[k], w) && lapsed)
          run_end (w, &runs[k], "lapsed");
        else if (at_work (&runs[k], w))
          run_advance (w, &runs[k], now);
      if (store_mode != STORE_SERVES)
        continue;
      if (w->up && now - w->beat_at >= BEAT_MS)
        beat (w);
      if (!w->up && w->beat_at != 0
          && now - w->beat_at >= INT64_C (3) * BEAT_MS)
        {
          char key[TEXT + 16];
          snprintf (key, sizeof key, "servers/%s", w->id);
          store_remove (key);
          w->beat_at = 0;
        }
    }
}

void
workers_open (int count)
{
  worker_count = count;
  for (int i = 0; i < count; i++)
    {
      struct worker *w = &workers[i];
      w->index = i;
      snprintf (w->id, sizeof w->id, "i-%04x%d", 0x5a00 + i, i);
      server_open (&w->server, on_call, w);
      life_begin (w);
    }
}

size_t
runs_of (const char *job)
{
  size_t n = 0;
  for (size_t i = 0; i < run_count; i++)
    if (runs[i].ended == 0 && strncmp (runs[i].task, job, strlen (job)) == 0)
      n++;
  return n;
}

static int64_t
end_or_now (const struct run *r)
{
  return r->ended == 0 ? now_ms () : r->ended;
}

/* Reports the first violations of TWICE: two runs of a task at the same time,
   or a start after a run has ended "done", if that end is taken note of.  */
int
rule_twice (void)
{
  enum
  {
    SHOWN = 10
  };
  int found = 0;
  for (size_t i = 0; i < run_count; i++)
    for (size_t k = 0; k < run_count; k++)
      {
        const struct run *a = &runs[i];
        const struct run *b = &runs[k];
        if (i == k || strcmp (a->task, b->task) != 0 || b->began < a->began
            || (b->began == a->began && k < i))
          continue;
        bool together = b->began < end_or_now (a);
        bool after_done = a->ended != 0 && strcmp (a->how, "done") == 0
                          && a->noted && b->began > a->ended;
        if (!together && !after_done)
          continue;
        if (found++ >= SHOWN)
          continue;
        if (together)
          note ("TWICE: %s: run %lld on %s began while run %lld was at work "
                "on %s, for %lld ms",
                b->task, (long long)b->number, workers[b->worker].id,
                (long long)a->number, workers[a->worker].id,
                (long long)((end_or_now (a) < end_or_now (b) ? end_or_now (a)
                                                             : end_or_now (b))
                            - b->began));
        else
          note ("TWICE: %s: run %lld began on %s %lld ms after run %lld had "
                "ended done on %s; that end was taken note of",
                b->task, (long long)b->number, workers[b->worker].id,
                (long long)(b->began - a->ended), (long long)a->number,
                workers[a->worker].id);
      }
  return found;
}
