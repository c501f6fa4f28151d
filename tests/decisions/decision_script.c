#include <stdio.h>
#include <string.h>

#include "rosemaryrail/batch_queue.h"
#include "rosemaryrail/quarantine.h"
#include "suite.h"

/* Runs a script of events against queue, quarantine and placement together
   and prints every decision.  Compared with an expected output by
   run_script.sh.  Commands, one a line; # starts a comment:
     worker ID ZONE RACK CORES      add a worker (4 GB for each core)
     state ID leaving|back          drain a worker, or take it back
     team ID WEIGHT CORES           weight and limit (0: none) of a team
     job ID TEAM CLASS CORES TASKS urgent|normal
     more ID FIRST TASKS            add tasks to a job, numbered from FIRST
     cancel ID                      cancel a job
     fails WORKER|0 JOB|0           starts there, or of that job, fail
     wait MS                        advance the clock
     run                            start what can be started
     end JOB                        one task of JOB ends well
     explain JOB CORES              why a task of CORES does not fit
     counts                         state of queue and quarantine  */

struct running
{
  uint64_t job;
  uint64_t team;
  uint64_t task;
  int worker;
  struct rr_placement_task placement;
};

static struct rr_policy policy;
static struct rr_interference *model;
static struct rr_placement *p;
static struct rr_batch_queue *queue;
static struct rr_quarantine *quarantine;
static gsl_rng *rng;
static struct rr_time now;
static struct running running[1000];
static size_t running_count;
static uint64_t job_class[100];
static int failed_on[10000]; /* by task: worker of its last failure */
static uint64_t failing_worker;
static uint64_t failing_job;

/* Passes the verdict of the quarantine about every worker on to placement;
   only proven jobs serve as probes.  */
static void
quarantine_apply (uint64_t job)
{
  bool proven = rr_quarantine_job_succeeded_recently (quarantine, job, now);
  const struct rr_placement_worker *w;
  for (int i = 0; (w = rr_placement_worker_get (p, i)) != NULL; i++)
    {
      struct rr_placement_worker next = *w;
      switch (rr_quarantine_check (quarantine, w->id, now))
        {
        case RR_QUARANTINE_ALLOW:
          next.quarantined = false;
          break;
        case RR_QUARANTINE_PROBE:
          next.quarantined = !proven;
          break;
        case RR_QUARANTINE_WAIT:
          next.quarantined = true;
          break;
        }
      rr_placement_worker_set (p, i, &next);
    }
}

/* Starts TASK on WORKER; a start that fails goes back to the queue.  */
static void
start (const struct rr_batch_pick *pick, int worker,
       const struct rr_placement_task *task)
{
  uint64_t id = rr_placement_worker_get (p, worker)->id;
  rr_batch_queue_task_started (queue, pick);
  rr_quarantine_attempt_started (quarantine, id, pick->task, pick->job, now);
  if (id == failing_worker || pick->job == failing_job)
    {
      failed_on[pick->task] = worker;
      rr_quarantine_attempt_failed (quarantine, id, pick->task, pick->job,
                                    now);
      rr_batch_queue_task_ended (queue, pick->team, &pick->size);
      rr_batch_queue_task_return (queue, pick->job, pick->task, NULL);
      if (rr_quarantine_job_suspect (quarantine, pick->job, now))
        rr_batch_queue_job_blocked (queue, pick, RR_BATCH_BLOCK_BACKOFF, now);
      printf ("job %d task %d: failed on worker %d\n", (int)pick->job,
              (int)pick->task, (int)id);
      return;
    }
  rr_placement_task_add (p, worker, task);
  running[running_count++]
      = (struct running){ pick->job, pick->team, pick->task, worker, *task };
  printf ("job %d task %d: started on worker %d\n", (int)pick->job,
          (int)pick->task, (int)id);
}

static void
run (void)
{
  struct rr_batch_pick pick;
  for (int i = 0; i < 200; i++)
    {
      if (!rr_batch_queue_next (queue, now, &pick))
        return;
      quarantine_apply (pick.job);
      struct rr_placement_request r = request_make (task_make (
          RR_WORKLOAD_BATCH, (int)job_class[pick.job], pick.job, 0, 0));
      r.task.size = pick.size;
      r.urgent = pick.urgent;
      r.avoid = &failed_on[pick.task];
      r.avoid_count = 1;
      struct rr_placement_selection c;
      if (rr_placement_select (p, &r, rng, &c))
        {
          start (&pick, c.worker, &r.task);
          continue;
        }
      bool never = rr_placement_never_fits (p, &pick.size, NULL);
      rr_batch_queue_job_blocked (
          queue, &pick,
          never ? RR_BATCH_BLOCK_UNSCHEDULABLE : RR_BATCH_BLOCK_CAPACITY, now);
      printf ("job %d: %s\n", (int)pick.job,
              never ? "can never run" : "no room now");
    }
  printf ("too many decisions\n");
}

static void
task_end (uint64_t job)
{
  for (size_t i = 0; i < running_count; i++)
    if (running[i].job == job)
      {
        struct running r = running[i];
        running[i] = running[--running_count];
        rr_placement_task_remove (p, r.worker, &r.placement);
        rr_quarantine_attempt_succeeded (
            quarantine, rr_placement_worker_get (p, r.worker)->id, r.task,
            r.job, now);
        rr_batch_queue_task_ended (queue, r.team, &r.placement.size);
        rr_batch_queue_capacity_changed (queue);
        return;
      }
}

static void
explain (int cores)
{
  quarantine_apply (0);
  struct rr_placement_request r
      = request_make (task_make (RR_WORKLOAD_BATCH, 1, 1, cores, 0));
  struct rr_placement_explanation e;
  rr_placement_explain (p, &r, &e);
  printf ("%d cores: %zu of %zu workers fit", cores, e.fitting, e.workers);
  for (int f = 0; f < RR_FILTER_COUNT; f++)
    if (e.rejected[f] > 0)
      printf (", %s %zu", rr_placement_filter_name (f), e.rejected[f]);
  printf ("%s\n", e.never ? ", never" : "");
}

static void
counts (void)
{
  struct rr_batch_counts b;
  struct rr_quarantine_counts c;
  rr_batch_queue_count (queue, now, &b);
  rr_quarantine_count (quarantine, now, &c);
  printf ("queued %zu, blocked %zu, never %zu, running %zu; suspect %zu, "
          "out %zu, capped %zu\n",
          b.queued, b.blocked, b.never, b.running, c.suspect, c.out, c.capped);
}

static void
tasks_add (int job, int first, int count)
{
  for (int t = first; t < first + count; t++)
    {
      uint64_t task = (uint64_t)job * 100 + (uint64_t)t;
      rr_batch_queue_task_add (queue, (uint64_t)job, task, NULL);
      failed_on[task] = RR_WORKER_NONE;
    }
}

static void
job_add (const int *n, bool urgent)
{
  struct rr_batch_job j = { .job = (uint64_t)n[0],
                            .team = (uint64_t)n[1],
                            .size = { .cores_milli = n[3] * INT64_C (1000),
                                      .memory_mb = 100,
                                      .slots = 1 },
                            .urgent = urgent,
                            .submitted = now };
  job_class[n[0]] = (uint64_t)n[2];
  rr_batch_queue_job_add (queue, &j, NULL);
  tasks_add (n[0], 1, n[4]);
}

static void
worker_add (const int *n)
{
  struct rr_placement_worker w
      = worker_make ((uint64_t)n[0], n[1], n[2], n[3]);
  rr_placement_worker_add (p, &w);
  rr_quarantine_worker_add (quarantine, w.id, w.zone);
}

static void
worker_state (int id, bool leaving)
{
  const struct rr_placement_worker *w;
  for (int i = 0; (w = rr_placement_worker_get (p, i)) != NULL; i++)
    if (w->id == (uint64_t)id)
      {
        struct rr_placement_worker next = *w;
        next.leaving = leaving;
        rr_placement_worker_set (p, i, &next);
      }
}

static bool
execute (const char *line)
{
  char verb[16] = "";
  char word[16] = "";
  int n[5] = { 0 };
  sscanf (line, "%15s %d %d %d %d %d %15s", verb, &n[0], &n[1], &n[2], &n[3],
          &n[4], word);
  if (strcmp (verb, "worker") == 0)
    worker_add (n);
  else if (strcmp (verb, "state") == 0)
    worker_state (n[0], strstr (line, "leaving") != NULL);
  else if (strcmp (verb, "team") == 0)
    rr_batch_queue_team_set (
        queue, &(struct rr_batch_team){
                   .team = (uint64_t)n[0],
                   .weight = n[1],
                   .limit = { .cores_milli = n[2] * INT64_C (1000) } });
  else if (strcmp (verb, "job") == 0)
    job_add (n, strcmp (word, "urgent") == 0);
  else if (strcmp (verb, "more") == 0)
    tasks_add (n[0], n[1], n[2]);
  else if (strcmp (verb, "cancel") == 0)
    printf ("job %d: %zu tasks cancelled\n", n[0],
            rr_batch_queue_job_cancel (queue, (uint64_t)n[0]));
  else if (strcmp (verb, "fails") == 0)
    {
      failing_worker = (uint64_t)n[0];
      failing_job = (uint64_t)n[1];
    }
  else if (strcmp (verb, "wait") == 0)
    now.ms += n[0];
  else if (strcmp (verb, "run") == 0)
    run ();
  else if (strcmp (verb, "end") == 0)
    task_end ((uint64_t)n[0]);
  else if (strcmp (verb, "explain") == 0)
    explain (n[0]);
  else if (strcmp (verb, "counts") == 0)
    counts ();
  else
    return verb[0] == '\0' || verb[0] == '#';
  return true;
}

int
main (void)
{
  char line[200];
  rr_policy_init (&policy);
  model = rr_interference_new (&policy);
  p = rr_placement_new (&policy, model);
  queue = rr_batch_queue_new (&policy);
  quarantine = rr_quarantine_new (&policy);
  rng = rng_with_seed (1);
  struct rr_size total
      = { .cores_milli = 64000, .memory_mb = 256000, .slots = 32 };
  rr_batch_queue_capacity_set (queue, &total);
  int status = EXIT_SUCCESS;
  while (fgets (line, sizeof line, stdin) != NULL)
    {
      if (line[0] != '#' && line[0] != '\n')
        printf ("> %s", line);
      if (!execute (line))
        {
          printf ("unknown command\n");
          status = EXIT_FAILURE;
        }
    }
  rr_quarantine_free (quarantine);
  rr_batch_queue_free (queue);
  rr_placement_free (p);
  rr_interference_free (model);
  gsl_rng_free (rng);
  return status;
}
