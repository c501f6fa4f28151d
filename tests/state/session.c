#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

enum
{
  WORDS_MAX = 8
};

struct words
{
  int count;
  char text[WORDS_MAX][64];
};

static struct words
split (const char *line)
{
  struct words v = { 0 };
  char copy[512];
  snprintf (copy, sizeof copy, "%s", line);
  char *save = NULL;
  for (char *p = strtok_r (copy, " \t\n", &save);
       p != NULL && v.count < WORDS_MAX; p = strtok_r (NULL, " \t\n", &save))
    snprintf (v.text[v.count++], sizeof v.text[0], "%s", p);
  return v;
}

static int
find_daemon (const struct world *w, const char *name)
{
  for (int i = 0; i < w->daemon_count; i++)
    if (strcmp (w->daemons[i].name, name) == 0 && !w->daemons[i].dead)
      return i;
  return -1;
}

static int
find_worker (const struct world *w, const char *name)
{
  for (int i = 0; i < w->worker_count; i++)
    if (strcmp (w->workers[i].name, name) == 0
        && w->workers[i].vanished_ms == 0)
      return i;
  return -1;
}

static long
number (const struct words *v, int i, long otherwise)
{
  return i < v->count ? strtol (v->text[i], NULL, 10) : otherwise;
}

static bool
submit (struct world *w, int d, const struct words *v)
{
  struct rr_record r = { .kind = RR_RECORD_JOB_SUBMITTED, .at_ms = w->now };
  struct rr_record_job_submitted *p = &r.u.job_submitted;
  snprintf (p->job, sizeof p->job, "%s", v->text[2]);
  snprintf (p->team, sizeof p->team, "lab");
  snprintf (p->job_class, sizeof p->job_class, "archive");
  p->tasks = (uint32_t)number (v, 3, 1);
  p->work_ms = number (v, 4, 1000);
  p->isolation_limit_ms = number (v, 5, 60000);
  p->cores_milli = 1000;
  p->memory_mb = 512;
  return daemon_append (w, d, &r, NULL);
}

static bool
cancel (struct world *w, int d, const char *job)
{
  struct rr_record r = { .kind = RR_RECORD_JOB_CANCELLED, .at_ms = w->now };
  snprintf (r.u.job_cancelled.job, sizeof r.u.job_cancelled.job, "%s", job);
  snprintf (r.u.job_cancelled.reason, sizeof r.u.job_cancelled.reason,
            "by operator");
  return daemon_append (w, d, &r, NULL);
}

/* Appends one note after the other so that the ring advances.  */
static void
churn (struct world *w, int d, const char *job, long times)
{
  for (long i = 0; i < times; i++)
    {
      struct rr_record r = { .kind = RR_RECORD_JOB_NOTED, .at_ms = w->now };
      snprintf (r.u.job_noted.job, sizeof r.u.job_noted.job, "%s", job);
      snprintf (r.u.job_noted.text, sizeof r.u.job_noted.text, "note %ld", i);
      daemon_append (w, d, &r, NULL);
      world_run (w, 2 * (int64_t)RR_APPEND_INTERVAL_MS);
    }
}

/* Feeds the owner a report of an attempt, as a late or repeated message
   would.  */
static void
late_report (struct world *w, int d, const struct words *v)
{
  struct rr_record r = { .kind = RR_RECORD_ATTEMPT_ENDED, .at_ms = w->now };
  struct rr_record_attempt_ended *p = &r.u.attempt_ended;
  snprintf (p->job, sizeof p->job, "%s", v->text[2]);
  p->task = (uint32_t)number (v, 3, 0);
  p->attempt = (uint32_t)number (v, 4, 1);
  p->result = RR_RESULT_SUCCEEDED;
  daemon_append (w, d, &r, NULL);
}

static void
show_job (struct world *w, const char *name)
{
  int d = world_owner (w);
  if (d < 0 || w->out == NULL)
    return;
  const struct rr_shard_state *s
      = rr_shard_log_shard_state (w->daemons[d].log);
  const struct rr_job *job = rr_job_store_find (s->jobs, name);
  char text[4096] = "no such job\n";
  if (job != NULL)
    rr_job_explain (job, text, sizeof text);
  fputs (text, w->out);
}

static void
show_ring (struct world *w)
{
  int d = world_owner (w);
  world_log (w, "owner %s, %d keys, %d violations",
             d < 0 ? "none" : w->daemons[d].name, w->store.count,
             w->violations);
}

static bool
daemon_command (struct world *w, const struct words *v, int d)
{
  const char *c = v->text[0];
  struct daemon *p = &w->daemons[d];
  struct rr_time now = rr_time_from_ms (w->now);
  const char *arg = v->count > 2 ? v->text[2] : "";
  struct rr_error err = { 0 };
  bool ok = true;
  if (strcmp (c, "take") == 0)
    ok = rr_shard_log_take_over (p->log, now, w->now, &err);
  else if (strcmp (c, "release") == 0)
    ok = rr_shard_log_release (p->log, arg, now, w->now, &err);
  else if (strcmp (c, "drop") == 0)
    rr_shard_log_drop (p->log, now);
  else if (strcmp (c, "kill") == 0)
    daemon_kill (w, d);
  else if (strcmp (c, "pause") == 0)
    {
      p->paused = true;
      p->paused_at = w->now;
    }
  else if (strcmp (c, "resume") == 0)
    daemon_resume (w, d);
  else if (strcmp (c, "freeze-before") == 0)
    {
      p->hold_start = strcmp (arg, "start") == 0;
      p->hold_go = strcmp (arg, "go") == 0;
    }
  else if (strcmp (c, "fault") == 0)
    {
      static const char *const kinds[]
          = { "none", "lose", "drop", "hold", "reads" };
      for (int i = 0; i < 5; i++)
        if (strcmp (arg, kinds[i]) == 0)
          p->fault = (enum fault)i;
      snprintf (p->fault_key, sizeof p->fault_key, "%.40s",
                v->count > 3 ? v->text[3] : "/ring/");
    }
  else if (strcmp (c, "submit") == 0)
    submit (w, d, v);
  else if (strcmp (c, "cancel") == 0)
    cancel (w, d, arg);
  else if (strcmp (c, "churn") == 0)
    churn (w, d, arg, number (v, 3, 1));
  else if (strcmp (c, "late-report") == 0)
    late_report (w, d, v);
  else if (strcmp (c, "request") == 0)
    request_begin (w, d, arg, number (v, 3, 3000));
  else
    return false;
  if (!ok)
    world_log (w, "%s: %s", p->name, err.message);
  return true;
}

/* Ends attempt 1 or later of TASK on the worker K as an eviction or failure.
 */
static void
end_run (struct world *w, int k, const struct words *v)
{
  bool evict = strcmp (v->text[0], "evict") == 0;
  for (int i = 0; i < w->run_count; i++)
    if (w->runs[i].worker == k && w->runs[i].live
        && strcmp (w->runs[i].task, v->text[2]) == 0)
      worker_stop (w, &w->runs[i],
                   evict ? RR_RESULT_EVICTED : RR_RESULT_FAILED,
                   v->count > 3 ? v->text[3] : "");
}

static bool
worker_command (struct world *w, const struct words *v, int k)
{
  const char *c = v->text[0];
  struct worker *p = &w->workers[k];
  if (strcmp (c, "cut") == 0)
    p->cut = true;
  else if (strcmp (c, "abandon") == 0)
    p->abandoned = true;
  else if (strcmp (c, "join") == 0)
    {
      p->cut = false;
      p->abandoned = p->forsaken;
    }
  else if (strcmp (c, "vanish") == 0)
    worker_vanish (w, k);
  else if (strcmp (c, "hold-start") == 0)
    p->hold_start = true;
  else if (strcmp (c, "evict") == 0 || strcmp (c, "fail") == 0)
    end_run (w, k, v);
  else
    return false;
  return true;
}

static bool
store_command (struct world *w, const char *arg)
{
  if (strcmp (arg, "up") == 0)
    w->store_mode = STORE_UP;
  else if (strcmp (arg, "down") == 0)
    w->store_mode = STORE_DOWN;
  else if (strcmp (arg, "silent") == 0)
    w->store_mode = STORE_SILENT;
  else if (strcmp (arg, "backup") == 0)
    store_backup (&w->store);
  else if (strcmp (arg, "restore") == 0)
    store_restore (&w->store);
  else
    return false;
  return true;
}

static void
add_worker (struct world *w, const char *name, long offset)
{
  assert (w->worker_count < WORKERS_MAX);
  struct worker *p = &w->workers[w->worker_count++];
  memset (p, 0, sizeof *p);
  snprintf (p->name, sizeof p->name, "%.15s", name);
  p->incarnation = ++w->next_incarnation;
  p->clock_offset = offset;
}

/* Carries out one line of a session script; false if it is not understood.  */
bool
world_command (struct world *w, const char *line)
{
  struct words v = split (line);
  if (v.count == 0)
    return true;
  const char *c = v.text[0];
  const char *arg = v.count > 1 ? v.text[1] : "";
  if (strcmp (c, "daemon") == 0)
    daemon_add (w, arg);
  else if (strcmp (c, "worker") == 0)
    add_worker (w, arg, number (&v, 2, 0));
  else if (strcmp (c, "run") == 0)
    world_run (w, number (&v, 1, 0));
  else if (strcmp (c, "land") == 0)
    world_land (w);
  else if (strcmp (c, "store") == 0)
    return store_command (w, arg);
  else if (strcmp (c, "show-job") == 0)
    show_job (w, arg);
  else if (strcmp (c, "show") == 0)
    show_ring (w);
  else if (find_worker (w, arg) >= 0)
    return worker_command (w, &v, find_worker (w, arg));
  else if (find_daemon (w, arg) >= 0)
    return daemon_command (w, &v, find_daemon (w, arg));
  else
    return false;
  return true;
}
