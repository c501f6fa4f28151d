#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryrail/dispatch.h"

/* Runs a script of events against a dispatcher and prints its decisions.
   Workers are fakes that carry out commands at once by default.
   compare.sh compares the output with the expected one.  The script has one
   command a line; # starts a comment:
     queue NAME PRIORITY ATTEMPTS [permits]
                              sets the policy of a queue
     permit JOB STEP MS [W...]
                              permits these workers to run the step for MS
     worker ID RACK CORES MEMORY
                              registers a worker, with cores in thousandths
     drain ID                 the worker drains
     unregister ID            removes the worker's registration
     restart ID               restarts the worker under the same id, which
                              shows in its reports only
     reregister ID            restarts it and updates its registration
     job ID QUEUE STEP...     submits a job; STEP is COUNTxCORES[,FLAG]...
                              with the flags after, long_running,
                              best_effort, checkpoint, gang, spread,
                              image=NAME, target=MS and estimate=MS
     cancel ID                cancels the job
     end ID STEP.TASK HOW     ends the task's run on its worker
     measure ID STEP.TASK N   sets the measurement in its worker's reports:
                              tail latency in ms, or used cores
     speeds                   prints the speeds of best-effort runs that a
                              worker does not run at full speed
     delay W | undelay W      throttles to W get no answer
     deliver W                carries these throttles out
     mute W | unmute W        loses the answers of W
     slow_answers W MS        the answers of W take MS
     lease W                  prints how far the next lease of W reaches
     queue_commands W         commands to W wait in the daemon
     send_commands W          sends the commands that wait
     reconnect W              replaces the connection to W; commands that wait
                              are dropped
     block W | unblock W      loses commands and polls to W; unblock delivers
                              the starts that were not stopped
     poll [W]                 polls one worker or all
     needed                   prints the workers that must stay in the
                              membership record
     store                    stores all progress
     confirm on|off           whether ownership of the shard is confirmed
     registrations on|off     whether the workers' registrations are known as
                              of the last planning round
     takeover W...            replaces the owner by a new one, with these
                              workers in the membership record
     idle NEW_MS STARTED_MS   prints the jobs that another shard may take
     forget_queues            later owners don't know the queues
     hold JOB                 starts to move the job to another shard
     release JOB | drop JOB   keeps the held job here, or drops it
     waiting MS               prints the tasks that another shard may take
     withhold JOB N           starts to move task N to another shard
     restore JOB              sets the tasks of the job that are here from the
                              stored job, after a division that failed
     share JOB N:RUN...       sets the tasks of the job that are here, with
                              the lowest numbers of their next runs
     export                   saves the dispatcher's estimates
     import                   merges the saved estimates
     start_bytes N            bounds the starts of later rounds
     progress                 all runs that are not paused report some
                              progress
     wait MS                  advances the clock
     plan                     runs a planning round  */

enum
{
  WORKERS_MAX = 16,
  NEEDED_MAX = 32,
  RUNS_MAX = 256,
  JOBS_MAX = 64,
  RUNS_PER_OWNER = 16,
  LEASE_MS = 4500,
  LEASE_MAX_MS = 10000,
  REGISTRATION_AGE_MAX_MS = 1400
};

struct fake_run
{
  struct rr_run_status status;
  struct rr_run_end end;
  bool ended;
  bool delayed; /* command delayed on its way to a blocked worker */
  bool sealed;
  int32_t speed;      /* in percent */
  int32_t late_speed; /* of a throttle on its way; -1: none */
};

struct fake_worker
{
  char id[16];
  struct rr_worker_info info;
  struct rr_handle handle;
  bool registered;
  bool muted;
  bool blocked;
  bool delaying;
  bool queueing;
  int64_t answer_ms;           /* between a poll and its answer */
  struct rr_command queue[64]; /* names and kinds of commands that wait */
  size_t queue_count;
  int64_t started_ms;
  int64_t lease_end; /* on its own clock, which equals the script's */
  int64_t ends;
  struct fake_run runs[RUNS_MAX];
  size_t run_count;
};

struct fake_job
{
  char id[RR_JOB_NAME_SIZE];
  char *graph;
  char *progress; /* null: none stored */
  bool cancelled;
};

static struct rr_dispatch *d;
static struct fake_worker workers[WORKERS_MAX];
static size_t worker_count;
static struct fake_job jobs[JOBS_MAX];
static size_t job_count;
static struct rr_time now = { 1000000 };
static struct rr_time confirmed = { 1000000 };
static bool confirming = true;
static struct rr_time registrations_at = { 1000000 };
static bool registrations_current = true;
static int64_t start_bytes_max = INT64_MAX / 2;
static struct rr_queue_policy queues[8];
static size_t queue_count;
static struct rr_command commands[1024];
static size_t command_count;
static int takeovers;
static struct rr_dispatch_statistics statistics[RR_CLASSES_MAX];
static size_t statistics_count;
static char empty_word[] = ""; /* stands for missing words */

static struct fake_worker *
worker_named (const char *id)
{
  for (size_t i = 0; i < worker_count; i++)
    if (strcmp (workers[i].id, id) == 0)
      return &workers[i];
  fprintf (stderr, "no worker %s\n", id);
  exit (1);
}

static void
log_decision (void *data, const char *event, const char *text)
{
  (void)data;
  static const char *const shown[]
      = { "run_lost",           "run_adopted",
          "run_unexpected",     "vm_lease_expired",
          "job_failed",         "job_done",
          "vm_avoided",         "vm_restarted",
          "fillers_cut",        "inheritance_settled",
          "long_running_waits", "crash_suspected" };
  for (size_t i = 0; i < sizeof shown / sizeof shown[0]; i++)
    if (strcmp (shown[i], event) == 0)
      printf ("%s %s\n", event, text);
}

static void
on_command (void *data, const struct rr_command *command)
{
  (void)data;
  assert (command_count < sizeof commands / sizeof commands[0]);
  commands[command_count++] = *command;
}

static void
on_permit_request (void *data, const struct rr_permit_request *request)
{
  (void)data;
  printf ("permit request %s step %d:", request->name.job, request->name.step);
  for (size_t i = 0; i < request->worker_count; i++)
    printf (" %s", request->workers[i]);
  printf ("\n");
}

static struct rr_dispatch *
dispatcher_new (void)
{
  struct rr_dispatch_options o
      = { .lease_ms = LEASE_MS,
          .lease_max_ms = LEASE_MAX_MS,
          .registration_age_max_ms = REGISTRATION_AGE_MAX_MS,
          .remote_factor = 3,
          .send_command = on_command,
          .request_permits = on_permit_request,
          .log_decision = log_decision };
  struct rr_dispatch *fresh = rr_dispatch_new (&o);
  for (size_t i = 0; i < queue_count; i++)
    rr_dispatch_queue_set (fresh, &queues[i]);
  return fresh;
}

static bool
same_run (const struct rr_run_name *a, const struct rr_run_name *b)
{
  return strcmp (a->job, b->job) == 0 && a->step == b->step
         && a->task == b->task && a->occurrence == b->occurrence
         && a->run == b->run;
}

static struct fake_run *
run_find (struct fake_worker *w, const struct rr_run_name *name)
{
  for (size_t i = 0; i < w->run_count; i++)
    if (same_run (&w->runs[i].status.name, name))
      return &w->runs[i];
  return NULL;
}

static void
run_end (struct fake_worker *w, struct fake_run *r, enum rr_end_kind kind)
{
  r->ended = true;
  r->end = (struct rr_run_end){ .number = ++w->ends,
                                .name = r->status.name,
                                .kind = kind };
}

static struct fake_run *
run_new (struct fake_worker *w, const struct rr_run_name *name)
{
  assert (w->run_count < RUNS_MAX);
  struct fake_run *r = &w->runs[w->run_count++];
  *r = (struct fake_run){ .status = { .name = *name, .percent = 100 },
                          .speed = 100,
                          .late_speed = -1 };
  return r;
}

static void
start (struct fake_worker *w, const struct rr_run_name *name)
{
  struct fake_run *r = run_find (w, name);
  if (r == NULL)
    run_new (w, name);
  else if (!r->sealed)
    r->delayed = false;
}

static void
stop (struct fake_worker *w, const struct rr_run_name *name)
{
  struct fake_run *r = run_find (w, name);
  if (r == NULL)
    r = run_new (w, name);
  if (r->ended)
    return;
  if (r->delayed || r->sealed)
    r->sealed = true;
  else
    run_end (w, r, RR_END_STOPPED);
}

static void
throttle (struct fake_worker *w, const struct rr_command *command)
{
  struct fake_run *r = run_find (w, &command->name);
  if (r == NULL || r->ended || r->delayed)
    return;
  if (w->delaying)
    r->late_speed = command->percent;
  else
    r->speed = command->percent;
}

static void
print_speeds (void)
{
  for (size_t i = 0; i < worker_count; i++)
    for (size_t k = 0; k < workers[i].run_count; k++)
      {
        const struct fake_run *r = &workers[i].runs[k];
        const struct rr_run_name *n = &r->status.name;
        if (!r->ended && r->speed != 100)
          printf ("%s %d.%d run %u on %s at %d%%\n", n->job, n->step, n->task,
                  n->run, workers[i].id, r->speed);
      }
}

static void
late_throttles_deliver (struct fake_worker *w)
{
  for (size_t i = 0; i < w->run_count; i++)
    {
      struct fake_run *r = &w->runs[i];
      if (r->late_speed >= 0)
        r->speed = r->late_speed;
      r->late_speed = -1;
    }
}

static const char *const kinds[] = { "start", "stop", "throttle" };

static void
command_execute (const struct rr_command *command)
{
  struct fake_worker *w = worker_named (command->worker_id);
  if (!rr_dispatch_command_begin (d, w->handle, command->kind, &command->name))
    {
      printf ("%s %s %d.%d run %u on %s withdrawn\n", kinds[command->kind],
              command->name.job, command->name.step, command->name.task,
              command->name.run, command->worker_id);
      rr_dispatch_command_answered (d, w->handle, command->kind,
                                    &command->name, RR_OUTCOME_NOT_SENT, 0,
                                    now);
      return;
    }
  printf ("%s %s %d.%d run %u on %s", kinds[command->kind], command->name.job,
          command->name.step, command->name.task, command->name.run,
          command->worker_id);
  if (command->kind == RR_COMMAND_START && command->permit_token[0] != '\0')
    printf (" with %s", command->permit_token);
  if (command->kind == RR_COMMAND_THROTTLE)
    printf (" at %d%%", command->percent);
  if (command->kind == RR_COMMAND_STOP)
    printf (" (%s)", command->reason);
  bool answered
      = !w->blocked && (!w->delaying || command->kind != RR_COMMAND_THROTTLE);
  printf ("%s\n", answered ? "" : ": no answer");
  int64_t lease
      = command->kind == RR_COMMAND_START ? rr_dispatch_worker_lease (
            d, w->handle, rr_time_add (confirmed, LEASE_MAX_MS), now)
                                          : 0;
  if (lease > w->lease_end)
    w->lease_end = lease;
  if (w->blocked)
    {
      if (command->kind == RR_COMMAND_START)
        run_new (w, &command->name)->delayed = true;
    }
  else if (command->kind == RR_COMMAND_START)
    start (w, &command->name);
  else if (command->kind == RR_COMMAND_STOP)
    stop (w, &command->name);
  else
    throttle (w, command);
  struct rr_run_name name = command->name;
  rr_dispatch_command_answered (
      d, w->handle, command->kind, &name,
      answered ? RR_OUTCOME_ACCEPTED : RR_OUTCOME_UNKNOWN, now.ms, now);
}

static void
plan (void)
{
  if (confirming)
    confirmed = now;
  if (registrations_current)
    registrations_at = now;
  rr_dispatch_registrations_set_time (d, registrations_at, now);
  command_count = 0;
  rr_dispatch_plan (d, confirmed, rr_time_add (confirmed, LEASE_MAX_MS),
                    start_bytes_max, now);
  for (size_t i = 0; i < command_count; i++)
    {
      struct fake_worker *w = worker_named (commands[i].worker_id);
      if (w->queueing)
        {
          w->queue[w->queue_count] = commands[i];
          w->queue[w->queue_count].worker_id = w->id;
          w->queue[w->queue_count++].permit_token = "";
        }
      else
        command_execute (&commands[i]);
    }
}

static void
queue_send (struct fake_worker *w)
{
  w->queueing = false;
  for (size_t i = 0; i < w->queue_count; i++)
    command_execute (&w->queue[i]);
  w->queue_count = 0;
}

static void
expire (struct fake_worker *w)
{
  for (size_t i = 0; i < w->run_count; i++)
    if (!w->runs[i].ended && !w->runs[i].delayed && w->lease_end <= now.ms)
      run_end (w, &w->runs[i], RR_END_LEASE_EXPIRED);
}

static void
worker_poll (struct fake_worker *w)
{
  int64_t observed = rr_dispatch_worker_stored_end (d, w->handle);
  int64_t lease = rr_dispatch_worker_lease (
      d, w->handle, rr_time_add (confirmed, LEASE_MAX_MS), now);
  expire (w);
  if (w->blocked || w->muted)
    {
      if (w->muted && lease > w->lease_end)
        w->lease_end = lease;
      rr_dispatch_worker_unreachable (d, w->handle);
      return;
    }
  if (lease > w->lease_end)
    w->lease_end = lease;
  static struct rr_run_status running[RUNS_MAX];
  static struct rr_run_end ended[RUNS_MAX];
  struct rr_worker_report r = { .started_ms = w->started_ms,
                                .clock_ms = now.ms,
                                .sent = rr_time_add (now, -w->answer_ms),
                                .received = now,
                                .running = running,
                                .ended = ended };
  for (size_t i = 0; i < w->run_count; i++)
    if (w->runs[i].ended && w->runs[i].end.number > observed)
      ended[r.ended_count++] = w->runs[i].end;
    else if (!w->runs[i].ended && !w->runs[i].delayed && !w->runs[i].sealed)
      running[r.running_count++] = w->runs[i].status;
  rr_dispatch_report_apply (d, w->handle, &r, now);
}

static void
poll_workers (const char *id)
{
  for (size_t i = 0; i < worker_count; i++)
    if (id == NULL || strcmp (workers[i].id, id) == 0)
      worker_poll (&workers[i]);
}

static void
worker_register (struct fake_worker *w)
{
  w->registered = true;
  w->handle = rr_dispatch_worker_set (d, &w->info, now);
  rr_dispatch_worker_mark_recorded (d, w->id);
}

static void
worker_add (char **word)
{
  struct fake_worker *w = &workers[worker_count++];
  snprintf (w->id, sizeof w->id, "%s", word[1]);
  w->started_ms = now.ms;
  snprintf (w->info.id, sizeof w->info.id, "%s", word[1]);
  snprintf (w->info.service, sizeof w->info.service, "desk");
  snprintf (w->info.rack, sizeof w->info.rack, "%s", word[2]);
  snprintf (w->info.labels[0], RR_JOB_NAME_SIZE, "%s", word[2]);
  w->info.label_count = 1;
  w->info.cores_milli = strtol (word[3], NULL, 10);
  w->info.memory_mb = strtol (word[4], NULL, 10);
  w->info.started_ms = w->started_ms;
  worker_register (w);
}

static void
step_flag (struct rr_job_graph_step *s, size_t number, char *flag)
{
  if (strcmp (flag, "after") == 0)
    {
      s->after = calloc (1, sizeof *s->after);
      s->after[0] = (int32_t)number - 1;
      s->after_count = 1;
    }
  s->long_running = s->long_running || strcmp (flag, "long_running") == 0;
  s->best_effort = s->best_effort || strcmp (flag, "best_effort") == 0;
  s->checkpointing = s->checkpointing || strcmp (flag, "checkpoint") == 0;
  s->gang = s->gang || strcmp (flag, "gang") == 0;
  if (strcmp (flag, "spread") == 0)
    s->per_worker_max = 1;
  if (strncmp (flag, "image=", 6) == 0)
    snprintf (s->image, sizeof s->image, "%s", flag + 6);
  if (strncmp (flag, "target=", 7) == 0)
    s->tail_target_ms = strtol (flag + 7, NULL, 10);
  if (strncmp (flag, "estimate=", 9) == 0)
    s->estimate_ms = strtol (flag + 9, NULL, 10);
}

static void
job_add (char **word, size_t words)
{
  struct rr_job_graph *g = rr_job_graph_new (words - 3);
  snprintf (g->id, sizeof g->id, "%s", word[1]);
  snprintf (g->queue, sizeof g->queue, "%s", word[2]);
  snprintf (g->service, sizeof g->service, "desk");
  for (size_t i = 0; i < queue_count; i++)
    if (strcmp (queues[i].queue, g->queue) == 0)
      g->attempts_max = queues[i].attempts_max;
  g->spec = strdup ("spec");
  g->accepted_ms = now.ms;
  for (size_t i = 0; i < g->step_count; i++)
    {
      struct rr_job_graph_step *s = &g->steps[i];
      char *rest = NULL;
      char *part = strtok_r (word[i + 3], ",", &rest);
      char *cores = NULL;
      s->task_count = (int32_t)strtol (part, &cores, 10);
      s->cores_milli = strtol (cores + 1, NULL, 10);
      s->memory_mb = 100;
      s->estimate_ms = 1000;
      while ((part = strtok_r (NULL, ",", &rest)) != NULL)
        step_flag (s, i, part);
    }
  struct fake_job *j = &jobs[job_count++];
  snprintf (j->id, sizeof j->id, "%s", g->id);
  j->graph = rr_job_graph_encode (g);
  rr_dispatch_job_add (d, g, NULL, false, now);
}

static struct fake_run *
run_named (char *job, char *task_name, struct fake_worker **where)
{
  char *dot = NULL;
  long step = strtol (task_name, &dot, 10);
  long task = strtol (dot + 1, NULL, 10);
  for (size_t i = 0; i < worker_count; i++)
    for (size_t k = workers[i].run_count; k-- > 0;)
      {
        struct fake_run *r = &workers[i].runs[k];
        if (!r->ended && !r->delayed && strcmp (r->status.name.job, job) == 0
            && r->status.name.step == step && r->status.name.task == task)
          {
            *where = &workers[i];
            return r;
          }
      }
  fprintf (stderr, "%s %s does not run\n", job, task_name);
  exit (1);
}

static void
end (char **word)
{
  static const char *const names[]
      = { "done", "failed", "stopped", "lapsed", "broken", "alone" };
  struct fake_worker *w = NULL;
  struct fake_run *r = run_named (word[1], word[2], &w);
  for (int i = 0; i < 6; i++)
    if (strcmp (names[i], word[3]) == 0)
      run_end (w, r, (enum rr_end_kind)i);
}

static void
store (void)
{
  const char *ids[8];
  bool urgent;
  size_t n;
  while ((n = rr_dispatch_jobs_changed (d, ids, 8, &urgent)) > 0)
    for (size_t i = 0; i < n; i++)
      {
        uint64_t version;
        char id[RR_JOB_NAME_SIZE];
        snprintf (id, sizeof id, "%s", ids[i]);
        char *text = rr_dispatch_progress_encode (d, id, &version);
        for (size_t k = 0; k < job_count; k++)
          if (strcmp (jobs[k].id, id) == 0)
            {
              free (jobs[k].progress);
              jobs[k].progress = strdup (text);
            }
        free (text);
        rr_dispatch_progress_stored (d, id, version);
      }
}

static void
job_restore (const struct fake_job *j)
{
  struct rr_error err = { 0 };
  struct rr_progress *p
      = j->progress == NULL
            ? NULL
            : rr_progress_decode (j->progress, strlen (j->progress), &err);
  bool over = j->cancelled
              || (p != NULL
                  && (p->phase == RR_PHASE_COMPLETED
                      || p->phase == RR_PHASE_FAILED));
  if (!over)
    rr_dispatch_job_add (
        d, rr_job_graph_decode (j->graph, strlen (j->graph), &err), p, true,
        now);
  rr_progress_free (p);
}

/* Replaces the dispatcher by that of a new owner, which has the stored
   progress and the workers in the membership record.  */
static void
takeover (char **word, size_t words)
{
  rr_dispatch_free (d);
  d = dispatcher_new ();
  confirmed = now;
  confirming = true;
  for (size_t i = 1; i < words; i++)
    rr_dispatch_inherit_worker (d, word[i]);
  rr_dispatch_inherit_until (d, rr_time_add (now, LEASE_MAX_MS + 900),
                             (uint32_t)(takeovers * RUNS_PER_OWNER + 1),
                             (uint32_t)((takeovers + 1) * RUNS_PER_OWNER + 1));
  takeovers++;
  for (size_t i = 0; i < job_count; i++)
    job_restore (&jobs[i]);
  for (size_t i = 0; i < worker_count; i++)
    if (workers[i].registered)
      worker_register (&workers[i]);
}

static void
permits_grant (char **word, size_t words)
{
  struct rr_permit permits[16];
  memset (permits, 0, sizeof permits);
  struct rr_run_name name = { .step = (int32_t)strtol (word[2], NULL, 10) };
  snprintf (name.job, sizeof name.job, "%s", word[1]);
  for (size_t i = 4; i < words; i++)
    {
      snprintf (permits[i - 4].worker, RR_JOB_NAME_SIZE, "%s", word[i]);
      snprintf (permits[i - 4].permit_token, RR_PERMIT_TOKEN_SIZE, "t-%s",
                word[i]);
    }
  rr_dispatch_permits_set (d, &name, permits, words - 4,
                           strtol (word[3], NULL, 10), now);
}

static void
worker_restart (struct fake_worker *w)
{
  w->run_count = 0;
  w->ends = 0;
  w->lease_end = 0;
  w->started_ms = now.ms;
}

static void
print_idle (int64_t new_ms, int64_t started_ms)
{
  const char *ids[JOBS_MAX];
  size_t n = rr_dispatch_idle_jobs (d, ids, JOBS_MAX, new_ms, started_ms, now);
  printf ("idle:");
  for (size_t i = 0; i < n; i++)
    printf (" %s:%u", ids[i], (unsigned)rr_dispatch_run_base (d, ids[i]));
  printf ("\n");
}

static void
print_waiting (int64_t waited_ms)
{
  struct rr_waiting_task tasks[RUNS_MAX];
  size_t n = rr_dispatch_waiting_tasks (d, tasks, RUNS_MAX, waited_ms, now);
  printf ("waiting:");
  for (size_t i = 0; i < n; i++)
    printf (" %s.%u:%u", tasks[i].job, (unsigned)tasks[i].number,
            (unsigned)tasks[i].next_run);
  printf ("\n");
}

static void
job_share (char **word, size_t words)
{
  for (size_t i = 0; i < job_count; i++)
    {
      if (strcmp (jobs[i].id, word[1]) != 0)
        continue;
      struct rr_error err = { 0 };
      struct rr_job_graph *g
          = rr_job_graph_decode (jobs[i].graph, strlen (jobs[i].graph), &err);
      rr_job_graph_divide (g, false);
      for (size_t k = 2; k < words; k++)
        {
          char *run = NULL;
          uint32_t task = (uint32_t)strtoul (word[k], &run, 10);
          rr_job_graph_share_add (g, task,
                                  (uint32_t)strtoul (run + 1, NULL, 10));
        }
      free (jobs[i].graph);
      jobs[i].graph = rr_job_graph_encode (g);
      rr_dispatch_job_set_share (d, g);
      rr_job_graph_free (g);
    }
}

static void
job_restore_share (const char *id)
{
  for (size_t i = 0; i < job_count; i++)
    if (strcmp (jobs[i].id, id) == 0)
      {
        struct rr_error err = { 0 };
        struct rr_job_graph *g = rr_job_graph_decode (
            jobs[i].graph, strlen (jobs[i].graph), &err);
        rr_dispatch_job_set_share (d, g);
        rr_job_graph_free (g);
      }
}

/* Runs a script command about the estimates.  Returns false when WORD is
   none.  */
static bool
statistics_command (const char *word)
{
  if (strcmp (word, "export") == 0)
    {
      statistics_count = 0;
      for (int i = 1; i < RR_CLASSES_MAX; i++)
        if (rr_dispatch_statistics_get (d, i, 7, now,
                                        &statistics[statistics_count]))
          statistics_count++;
      printf ("%zu images\n", statistics_count);
    }
  else if (strcmp (word, "import") == 0)
    for (size_t i = 0; i < statistics_count; i++)
      printf ("%s\n", rr_dispatch_statistics_merge (d, &statistics[i], now)
                          ? "merged"
                          : "refused");
  else
    return false;
  return true;
}

/* Runs a script command about the transfer of jobs and tasks.  Returns false
   when WORD is none.  */
static bool
transfer_command (char **word, size_t words)
{
  if (strcmp (word[0], "idle") == 0)
    print_idle (strtol (word[1], NULL, 10), strtol (word[2], NULL, 10));
  else if (strcmp (word[0], "hold") == 0 || strcmp (word[0], "release") == 0)
    rr_dispatch_job_hold (d, word[1], word[0][0] == 'h');
  else if (strcmp (word[0], "waiting") == 0)
    print_waiting (strtol (word[1], NULL, 10));
  else if (strcmp (word[0], "withhold") == 0)
    rr_dispatch_task_withhold (d, word[1],
                               (uint32_t)strtoul (word[2], NULL, 10));
  else if (strcmp (word[0], "restore") == 0)
    job_restore_share (word[1]);
  else if (strcmp (word[0], "share") == 0)
    job_share (word, words);
  else if (strcmp (word[0], "drop") == 0)
    printf ("%s\n", rr_dispatch_job_drop (d, word[1]) ? "dropped" : "kept");
  else
    return false;
  return true;
}

static void
worker_command (char **word, struct fake_worker *w)
{
  if (strcmp (word[0], "drain") == 0)
    {
      w->info.draining = true;
      w->info.remaining_ms = 2000;
      worker_register (w);
    }
  else if (strcmp (word[0], "unregister") == 0)
    {
      w->registered = false;
      rr_dispatch_worker_unregister (d, w->id, now);
    }
  else if (strcmp (word[0], "restart") == 0)
    worker_restart (w);
  else if (strcmp (word[0], "reregister") == 0)
    {
      worker_restart (w);
      w->info.started_ms = w->started_ms;
      worker_register (w);
    }
  else if (strcmp (word[0], "mute") == 0 || strcmp (word[0], "unmute") == 0)
    w->muted = word[0][0] == 'm';
  else if (strcmp (word[0], "slow_answers") == 0)
    w->answer_ms = strtol (word[2], NULL, 10);
  else if (strcmp (word[0], "delay") == 0)
    w->delaying = true;
  else if (strcmp (word[0], "undelay") == 0)
    w->delaying = false;
  else if (strcmp (word[0], "deliver") == 0)
    late_throttles_deliver (w);
  else if (strcmp (word[0], "lease") == 0)
    printf ("%lld ms\n",
            (long long)(rr_dispatch_worker_lease (
                            d, w->handle,
                            rr_time_add (confirmed, LEASE_MAX_MS), now)
                        - now.ms));
  else if (strcmp (word[0], "queue_commands") == 0)
    w->queueing = true;
  else if (strcmp (word[0], "send_commands") == 0)
    queue_send (w);
  else if (strcmp (word[0], "reconnect") == 0)
    {
      w->queueing = false;
      w->queue_count = 0;
      rr_dispatch_commands_abandoned (d, w->handle, now);
    }
  else
    {
      w->blocked = strcmp (word[0], "block") == 0;
      for (size_t i = 0; i < w->run_count && !w->blocked; i++)
        w->runs[i].delayed = w->runs[i].delayed && w->runs[i].sealed;
    }
}

static void
script_command (char **word, size_t words)
{
  const char *c = word[0];
  struct fake_worker *w = NULL;
  if (strcmp (c, "queue") == 0)
    {
      struct rr_queue_policy *q = &queues[queue_count++];
      snprintf (q->queue, sizeof q->queue, "%s", word[1]);
      snprintf (q->service, sizeof q->service, "desk");
      q->priority = (int32_t)strtol (word[2], NULL, 10);
      q->attempts_max = (int32_t)strtol (word[3], NULL, 10);
      q->needs_permits = strcmp (word[4], "permits") == 0;
      q->slack_factor = 2;
      q->target_runtime_ms = 500;
      rr_dispatch_queue_set (d, q);
    }
  else if (strcmp (c, "forget_queues") == 0)
    queue_count = 0;
  else if (strcmp (c, "worker") == 0)
    worker_add (word);
  else if (strcmp (c, "job") == 0)
    job_add (word, words);
  else if (strcmp (c, "cancel") == 0)
    {
      for (size_t i = 0; i < job_count; i++)
        if (strcmp (jobs[i].id, word[1]) == 0)
          jobs[i].cancelled = true;
      rr_dispatch_job_cancel (d, word[1], now);
    }
  else if (strcmp (c, "end") == 0)
    end (word);
  else if (strcmp (c, "measure") == 0)
    run_named (word[1], word[2], &w)->status.measurement
        = strtol (word[3], NULL, 10);
  else if (strcmp (c, "speeds") == 0)
    print_speeds ();
  else if (strcmp (c, "poll") == 0)
    poll_workers (words > 1 ? word[1] : NULL);
  else if (strcmp (c, "needed") == 0)
    {
      const char *ids[NEEDED_MAX];
      size_t n = rr_dispatch_needed_workers (d, ids, NEEDED_MAX, now);
      printf ("needed:");
      for (size_t i = 0; i < n; i++)
        printf (" %s", ids[i]);
      printf ("\n");
    }
  else if (strcmp (c, "store") == 0)
    store ();
  else if (strcmp (c, "permit") == 0)
    permits_grant (word, words);
  else if (strcmp (c, "confirm") == 0)
    confirming = strcmp (word[1], "on") == 0;
  else if (strcmp (c, "registrations") == 0)
    registrations_current = strcmp (word[1], "on") == 0;
  else if (strcmp (c, "takeover") == 0)
    takeover (word, words);
  else if (strcmp (c, "progress") == 0)
    {
      for (size_t i = 0; i < worker_count; i++)
        for (size_t k = 0; k < workers[i].run_count; k++)
          if (workers[i].runs[k].speed > 0)
            workers[i].runs[k].status.percent ^= 1;
    }
  else if (strcmp (c, "start_bytes") == 0)
    start_bytes_max = strtoll (word[1], NULL, 10);
  else if (strcmp (c, "wait") == 0)
    now.ms += strtol (word[1], NULL, 10);
  else if (strcmp (c, "plan") == 0)
    plan ();
  else if (!statistics_command (c) && !transfer_command (word, words))
    worker_command (word, worker_named (word[1]));
}

int
main (void)
{
  char line[512];
  d = dispatcher_new ();
  while (fgets (line, sizeof line, stdin) != NULL)
    {
      line[strcspn (line, "#\n")] = '\0';
      if (line[strspn (line, " ")] == '\0')
        continue;
      printf ("> %s\n", line);
      char *word[32];
      size_t words = 0;
      for (size_t i = 0; i < 32; i++)
        word[i] = empty_word;
      char *rest = NULL;
      for (char *p = strtok_r (line, " ", &rest); p != NULL && words < 32;
           p = strtok_r (NULL, " ", &rest))
        word[words++] = p;
      script_command (word, words);
    }
  for (size_t i = 0; i < job_count; i++)
    {
      free (jobs[i].graph);
      free (jobs[i].progress);
    }
  rr_dispatch_free (d);
  return 0;
}
