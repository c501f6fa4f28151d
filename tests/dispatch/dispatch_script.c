#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake_worker.h"
#include "script_jobs.h"

/* Runs a script of events against a dispatcher and prints its decisions.
   Workers are fakes that carry out commands at once by default.
   compare.sh compares the output with the expected one.  The script has one
   command a line; # starts a comment:
     queue NAME PRIORITY ATTEMPTS [permits [DECISION PER_WORKER VALID]]
                              sets the policy of a queue, with the times of
                              the permit service in ms
     permit JOB STEP MS [W...]
                              permits these workers to run the step for MS
     permit_age MS            later answers come MS after their permits were
                              issued
     permit_lost JOB STEP     a call for permits gets no answer
     worker ID RACK CORES MEMORY
                              registers a worker, with cores in thousandths
     drain ID                 the worker drains
     unregister ID            removes the worker's registration
     drop_idle ID             drops the worker if it is unregistered and has
                              no runs
     restart ID               restarts the worker under the same id, which
                              shows in its reports first
     restart_at ID MS         the same, with this time of day for its start
     restart_clock ID         the same, and its clock starts anew
     reregister ID            restarts it and updates its registration
     resize ID CORES MEMORY   its next registration has these
     reregister_same ID       registers it again, in its present life
     job ID QUEUE STEP...     submits a job; STEP is COUNTxCORES[,FLAG]...
                              with the flags after, long_running,
                              best_effort, checkpoint, gang, spread,
                              image=NAME, rack=NAME, target=MS and estimate=MS
     spec [TEXT]              sets the spec of the next jobs
     cancel ID                cancels the job
     end ID STEP.TASK HOW     ends the task's run on its worker
     measure ID STEP.TASK N   sets the measurement in its worker's reports:
                              tail latency in ms, or used cores
     save ID STEP.TASK TEXT   sets the checkpoint in its worker's reports
     speeds                   prints the speeds of best-effort runs that a
                              worker does not run at full speed
     delay W | undelay W      throttles to W get no answer
     deliver W                carries these throttles out
     mute W | unmute W        loses the answers of W
     list_ends W N            W lists N ends at a time
     drop_connections W       the next command to W opens another connection
     reverse_ends W           W lists the latest end first
     withhold_answers W       answers of W to commands come later
     deliver_answers W        these answers come
     slow_answers W MS        the answers of W take MS
     lease W                  prints how far the next lease of W reaches
     send_poll W              a poll that renews leases leaves for W
     deliver_poll W           W takes that poll, in whichever life it is; its
                              answer is lost
     deliver_starts W         W takes the starts that were lost while it was
                              blocked, in whichever life it is; their answers
                              are lost
     running                  prints the runs that are in progress, also on
                              workers out of reach
     queue_commands W         commands to W wait in the daemon
     send_commands W          sends the commands that wait
     reconnect W              replaces the connection to W; commands that wait
                              are dropped
     refuse_permits W | accept_permits W
                              W refuses starts for their permits
     block W | unblock W      loses commands and polls to W; unblock delivers
                              the starts that were not stopped
     poll [W]                 polls one worker or all
     needed                   prints the workers that must stay in the
                              membership record
     record_by_script         the membership record is stored by the script
                              only; otherwise a worker that has restarted is
                              recorded when it reports
     record                   stores the membership record and prints it, with
                              the time that is left of the leases of silent
                              workers
     record_lost              the same, but the owner gets no answer
     stop_owner               another owner is to take over
     store                    stores all progress
     reserve                  stores more run numbers for the owner if it needs
                              them
     confirm on|off           whether ownership of the shard is confirmed
     registrations on|off     whether the workers' registrations are known as
                              of the last planning round
     takeover W...            replaces the owner by a new one, with these
                              workers in the membership record
     inherited_leases MS      the leases that an owner gives end this long
                              after the next one took over
     takeover_recorded        the same with the record that was stored last
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
     base JOB N               later owners have the job from another shard,
                              with run numbers from N on
     export                   saves the dispatcher's estimates
     import                   merges the saved estimates
     start_bytes N            bounds the starts of later rounds
     progress                 all runs that are not paused report some
                              progress
     wait MS                  advances the clock
     plan                     runs a planning round  */

enum
{
  NEEDED_MAX = 32,
  RUNS_PER_BLOCK = 16,
  REGISTRATION_AGE_MAX_MS = 1400,
  LEASE_LONGEST_MS = LEASE_MAX_MS + 900 /* that any owner can have given */
};

struct script script = { .now = { 1000000 }, .confirmed = { 1000000 } };
static bool confirming = true;
static int64_t inherited_leases_ms = LEASE_LONGEST_MS;
static struct rr_time registrations_at = { 1000000 };
static bool registrations_current = true;
static int64_t start_bytes_max = INT64_MAX / 2;
static struct rr_command commands[1024];
static size_t command_count;
/* Blocks of run numbers of the present owner.  */
static uint64_t first_block;
static uint64_t last_block;
static struct rr_recorded_worker recorded[NEEDED_MAX];
static size_t recorded_count;
static struct rr_dispatch_statistics statistics[RR_CLASSES_MAX];
static size_t statistics_count;
static struct rr_permit_calls permit_calls;
static int64_t permit_age_ms; /* of the permits in an answer */
static struct rr_run_name permit_request_name; /* of the last request */
static char empty_word[] = "";                 /* stands for missing words */

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
          "long_running_waits", "crash_suspected",
          "crash_not_suspected" };
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
permit_request_print (const struct rr_permit_request *request)
{
  permit_request_name = request->name;
  printf ("permit request %s step %d:", request->name.job, request->name.step);
  for (size_t i = 0; i < request->worker_count; i++)
    printf (" %s", request->workers[i]);
  printf ("\n");
}

/* Makes all requests for permits of the planning round.  */
static void
permits_request (void)
{
  struct rr_permit_urgency urgency;
  while (rr_dispatch_permits_wanted (script.dispatch, &urgency))
    {
      struct rr_permit_request request;
      if (rr_dispatch_permits_request (script.dispatch, &permit_calls,
                                       &request, script.now))
        permit_request_print (&request);
    }
}

static struct rr_dispatch *
dispatcher_new (void)
{
  struct rr_dispatch_options o
      = { .fencing_token = ++script.revision,
          .lease_ms = LEASE_MS,
          .lease_max_ms = LEASE_MAX_MS,
          .registration_age_max_ms = REGISTRATION_AGE_MAX_MS,
          .remote_factor = 3,
          .send_command = on_command,
          .log_decision = log_decision };
  struct rr_dispatch *fresh = rr_dispatch_new (&o);
  for (size_t i = 0; i < queue_count; i++)
    rr_dispatch_queue_set (fresh, &queues[i]);
  rr_dispatch_runs_reserve (fresh, (last_block + 1) * RUNS_PER_BLOCK + 1);
  return fresh;
}

static void
plan (void)
{
  if (confirming)
    script.confirmed = script.now;
  if (registrations_current)
    registrations_at = script.now;
  rr_dispatch_registrations_set_time (script.dispatch, registrations_at,
                                      script.now);
  command_count = 0;
  rr_dispatch_plan (script.dispatch, script.confirmed,
                    rr_time_add (script.confirmed, LEASE_MAX_MS),
                    start_bytes_max, script.now);
  permits_request ();
  for (size_t i = 0; i < command_count; i++)
    {
      struct fake_worker *w = fake_worker_find (commands[i].worker_id);
      if (w->queueing)
        {
          w->queue[w->queue_count] = commands[i];
          w->queue[w->queue_count].worker_id = w->id;
          w->queue[w->queue_count].checkpoint = NULL;
          w->queue[w->queue_count++].permit_token = NULL;
        }
      else
        fake_worker_execute (&commands[i]);
    }
}

static void
end (char **word)
{
  static const char *const names[]
      = { "done", "failed", "stopped", "lapsed", "broken", "alone" };
  struct fake_worker *w = NULL;
  struct fake_run *r = fake_run_find (word[1], word[2], &w);
  for (int i = 0; i < 6; i++)
    if (strcmp (names[i], word[3]) == 0)
      fake_run_end (w, r, (enum rr_end_kind)i);
}

static void
store (void)
{
  const char *ids[8];
  bool urgent;
  size_t n;
  while ((n = rr_dispatch_jobs_changed (script.dispatch, ids, 8, &urgent)) > 0)
    for (size_t i = 0; i < n; i++)
      {
        uint64_t version;
        char id[RR_JOB_NAME_SIZE];
        snprintf (id, sizeof id, "%s", ids[i]);
        char *text
            = rr_dispatch_progress_encode (script.dispatch, id, &version);
        for (size_t k = 0; k < job_count; k++)
          if (strcmp (jobs[k].id, id) == 0)
            {
              free (jobs[k].progress);
              jobs[k].progress = strdup (text);
            }
        free (text);
        rr_dispatch_progress_stored (script.dispatch, id, version);
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
        script.dispatch,
        rr_job_graph_decode (j->graph, strlen (j->graph), &err), p, true,
        script.now);
  rr_progress_free (p);
}

/* Stores the membership record.  The owner gets an answer if ANSWERED.  */
static void
record (bool answered)
{
  recorded_count = rr_dispatch_record_workers (script.dispatch, recorded,
                                               NEEDED_MAX, script.now);
  script.revision++;
  printf ("recorded:");
  for (size_t i = 0; i < recorded_count; i++)
    {
      const struct rr_recorded_worker *r = &recorded[i];
      printf (" %s", r->id);
      if (r->silent)
        printf (":%lld", (long long)rr_time_diff (r->expiry, script.now));
      else if (r->unfenced)
        printf (":unfenced");
      else if (r->expiry.ms > 0)
        printf (":former=%lld",
                (long long)rr_time_diff (r->expiry, script.now));
      if (answered)
        rr_dispatch_worker_mark_recorded (script.dispatch, r, script.revision);
    }
  printf ("\n");
}

static bool
recorded_as_silent (const struct rr_recorded_worker *workers, size_t count,
                    const char *id)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (workers[i].id, id) == 0)
      return workers[i].silent;
  return false;
}

/* Replaces the dispatcher by that of a new owner, which has the stored
   progress and COUNT WORKERS in the membership record.  */
static void
takeover (const struct rr_recorded_worker *workers, size_t count)
{
  uint64_t former_block = first_block;
  first_block = last_block = last_block + 1;
  rr_dispatch_free (script.dispatch);
  script.dispatch = dispatcher_new ();
  script.confirmed = script.now;
  confirming = true;
  rr_dispatch_inherit (script.dispatch,
                       rr_time_add (script.now, inherited_leases_ms),
                       rr_time_add (script.now, LEASE_LONGEST_MS),
                       former_block * RUNS_PER_BLOCK + 1,
                       first_block * RUNS_PER_BLOCK + 1, script.now);
  for (size_t i = 0; i < count; i++)
    rr_dispatch_inherit_worker (script.dispatch, &workers[i]);
  for (size_t i = 0; i < job_count; i++)
    job_restore (&jobs[i]);
  for (size_t i = 0; i < fake_worker_count; i++)
    if (fake_workers[i].registered)
      fake_worker_register (
          &fake_workers[i],
          !recorded_as_silent (workers, count, fake_workers[i].id));
}

/* Stores that the owner may use another block of run numbers, if it is short
   of them.  */
static void
reserve (void)
{
  if (!rr_dispatch_runs_low (script.dispatch))
    return;
  last_block++;
  rr_dispatch_runs_reserve (script.dispatch,
                            (last_block + 1) * RUNS_PER_BLOCK + 1);
  printf ("reserved runs up to %llu\n",
          (unsigned long long)(last_block + 1) * RUNS_PER_BLOCK);
}

static void
permits_grant (char **word, size_t words)
{
  struct rr_permit permits[16];
  memset (permits, 0, sizeof permits);
  struct rr_run_name name = { .step = (int32_t)strtol (word[2], NULL, 10) };
  snprintf (name.job, sizeof name.job, "%s", word[1]);
  /* An answer carries the name in its request.  */
  if (strcmp (name.job, permit_request_name.job) == 0
      && name.step == permit_request_name.step)
    name = permit_request_name;
  for (size_t i = 4; i < words; i++)
    {
      snprintf (permits[i - 4].worker, RR_JOB_NAME_SIZE, "%s", word[i]);
      char token[RR_JOB_NAME_SIZE];
      int n = snprintf (token, sizeof token, "t-%s", word[i]);
      permits[i - 4].permit_token = rr_text_new (token, (size_t)n);
    }
  rr_dispatch_permits_set (
      script.dispatch, &name, permits, words - 4, strtol (word[3], NULL, 10),
      rr_time_add (script.now, -permit_age_ms), script.now);
  for (size_t i = 4; i < words; i++)
    rr_text_unref (permits[i - 4].permit_token);
}

/* A call for permits for the step gets no answer.  */
static void
permits_lose (char **word)
{
  struct rr_run_name name = { .step = (int32_t)strtol (word[2], NULL, 10) };
  snprintf (name.job, sizeof name.job, "%s", word[1]);
  rr_dispatch_permits_set (script.dispatch, &name, NULL, 0, 0, script.now,
                           script.now);
}

static void
print_idle (int64_t new_ms, int64_t started_ms, size_t max)
{
  const char *ids[JOBS_MAX];
  size_t n = rr_dispatch_idle_jobs (script.dispatch, ids, max, new_ms,
                                    started_ms, script.now);
  printf ("idle:");
  for (size_t i = 0; i < n; i++)
    printf (" %s:%u", ids[i],
            (unsigned)rr_dispatch_run_base (script.dispatch, ids[i]));
  printf ("\n");
}

static void
print_steps (const char *job, size_t count)
{
  static const char *const names[] = { "over", "later", "ready" };
  enum rr_step_state states[RUNS_MAX];
  rr_dispatch_job_steps (script.dispatch, job, states, count, script.now);
  printf ("steps:");
  for (size_t i = 0; i < count; i++)
    printf (" %s", names[states[i]]);
  printf ("\n");
}

static void
print_waiting (int64_t waited_ms)
{
  struct rr_waiting_task tasks[RUNS_MAX];
  size_t n = rr_dispatch_waiting_tasks (script.dispatch, tasks, RUNS_MAX,
                                        waited_ms, script.now);
  printf ("waiting:");
  for (size_t i = 0; i < n; i++)
    printf (" %s.%u:%u", tasks[i].job, (unsigned)tasks[i].number,
            (unsigned)tasks[i].next_run);
  printf ("\n");
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
        if (rr_dispatch_statistics_get (script.dispatch, i, 7, script.now,
                                        &statistics[statistics_count]))
          statistics_count++;
      printf ("%zu images\n", statistics_count);
    }
  else if (strcmp (word, "import") == 0)
    for (size_t i = 0; i < statistics_count; i++)
      printf ("%s\n", rr_dispatch_statistics_merge (script.dispatch,
                                                    &statistics[i], script.now)
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
    print_idle (strtol (word[1], NULL, 10), strtol (word[2], NULL, 10),
                words > 3 ? strtoul (word[3], NULL, 10) : JOBS_MAX);
  else if (strcmp (word[0], "steps") == 0)
    print_steps (word[1], strtoul (word[2], NULL, 10));
  else if (strcmp (word[0], "hold") == 0 || strcmp (word[0], "release") == 0)
    rr_dispatch_job_hold (script.dispatch, word[1], word[0][0] == 'h');
  else if (strcmp (word[0], "waiting") == 0)
    print_waiting (strtol (word[1], NULL, 10));
  else if (strcmp (word[0], "withhold") == 0)
    rr_dispatch_task_withhold (script.dispatch, word[1],
                               (uint32_t)strtoul (word[2], NULL, 10));
  else if (strcmp (word[0], "restore") == 0)
    job_restore_share (word[1]);
  else if (strcmp (word[0], "base") == 0)
    job_set_base (word[1], strtoull (word[2], NULL, 10));
  else if (strcmp (word[0], "share") == 0)
    job_share (word, words);
  else if (strcmp (word[0], "drop") == 0)
    printf ("%s\n", rr_dispatch_job_drop (script.dispatch, word[1]) ? "dropped"
                                                                    : "kept");
  else
    return false;
  return true;
}

/* Runs a script command about the membership record and its next reader.
   Returns false when WORD is none.  */
static bool
membership_command (const char *word)
{
  if (strcmp (word, "record") == 0)
    record (true);
  else if (strcmp (word, "record_lost") == 0)
    record (false);
  else if (strcmp (word, "record_by_script") == 0)
    script.records_itself = true;
  else if (strcmp (word, "stop_owner") == 0)
    rr_dispatch_release (script.dispatch, script.now);
  else if (strcmp (word, "takeover_recorded") == 0)
    takeover (recorded, recorded_count);
  else
    return false;
  return true;
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
      q->permit_times = (struct rr_permit_times){ strtol (word[5], NULL, 10),
                                                  strtol (word[6], NULL, 10),
                                                  strtol (word[7], NULL, 10) };
      q->slack_factor = 2;
      q->target_runtime_ms = 500;
      rr_dispatch_queue_set (script.dispatch, q);
    }
  else if (strcmp (c, "forget_queues") == 0)
    queue_count = 0;
  else if (strcmp (c, "worker") == 0)
    fake_worker_add (word);
  else if (strcmp (c, "job") == 0)
    job_add (word, words);
  else if (strcmp (c, "spec") == 0)
    snprintf (job_spec, sizeof job_spec, "%s", word[1]);
  else if (strcmp (c, "cancel") == 0)
    {
      for (size_t i = 0; i < job_count; i++)
        if (strcmp (jobs[i].id, word[1]) == 0)
          jobs[i].cancelled = true;
      rr_dispatch_job_cancel (script.dispatch, word[1], script.now);
    }
  else if (strcmp (c, "end") == 0)
    end (word);
  else if (strcmp (c, "measure") == 0)
    fake_run_find (word[1], word[2], &w)->status.measurement
        = strtol (word[3], NULL, 10);
  else if (strcmp (c, "save") == 0)
    {
      struct fake_run *r = fake_run_find (word[1], word[2], &w);
      rr_text_unref (r->status.checkpoint);
      r->status.checkpoint = rr_text_new (word[3], strlen (word[3]));
    }
  else if (strcmp (c, "speeds") == 0)
    fake_workers_print_speeds ();
  else if (strcmp (c, "inherited_leases") == 0)
    inherited_leases_ms = strtol (word[1], NULL, 10);
  else if (strcmp (c, "running") == 0)
    fake_workers_print_running ();
  else if (strcmp (c, "poll") == 0)
    fake_workers_poll (words > 1 ? word[1] : NULL);
  else if (strcmp (c, "needed") == 0)
    {
      struct rr_recorded_worker needed[NEEDED_MAX];
      size_t n = rr_dispatch_record_workers (script.dispatch, needed,
                                             NEEDED_MAX, script.now);
      printf ("needed:");
      for (size_t i = 0; i < n; i++)
        printf (" %s", needed[i].id);
      printf ("\n");
    }
  else if (strcmp (c, "store") == 0)
    store ();
  else if (strcmp (c, "reserve") == 0)
    reserve ();
  else if (strcmp (c, "permit") == 0)
    permits_grant (word, words);
  else if (strcmp (c, "permit_age") == 0)
    permit_age_ms = strtol (word[1], NULL, 10);
  else if (strcmp (c, "permit_lost") == 0)
    permits_lose (word);
  else if (strcmp (c, "confirm") == 0)
    confirming = strcmp (word[1], "on") == 0;
  else if (strcmp (c, "registrations") == 0)
    registrations_current = strcmp (word[1], "on") == 0;
  else if (strcmp (c, "takeover") == 0)
    {
      struct rr_recorded_worker workers[NEEDED_MAX] = { 0 };
      for (size_t i = 1; i < words; i++)
        snprintf (workers[i - 1].id, RR_JOB_NAME_SIZE, "%s", word[i]);
      takeover (workers, words - 1);
    }
  else if (strcmp (c, "progress") == 0)
    {
      for (size_t i = 0; i < fake_worker_count; i++)
        for (size_t k = 0; k < fake_workers[i].run_count; k++)
          if (fake_workers[i].runs[k].speed > 0)
            fake_workers[i].runs[k].status.percent ^= 1;
    }
  else if (strcmp (c, "start_bytes") == 0)
    start_bytes_max = strtoll (word[1], NULL, 10);
  else if (strcmp (c, "wait") == 0)
    script.now.ms += strtol (word[1], NULL, 10);
  else if (strcmp (c, "plan") == 0)
    plan ();
  else if (!statistics_command (c) && !transfer_command (word, words)
           && !membership_command (c))
    fake_worker_command (word, fake_worker_find (word[1]));
}

int
main (void)
{
  char line[512];
  rr_permit_calls_init (&permit_calls);
  script.dispatch = dispatcher_new ();
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
  rr_dispatch_free (script.dispatch);
  return 0;
}
