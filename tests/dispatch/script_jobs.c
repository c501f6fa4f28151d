#include "script_jobs.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake_worker.h"

/* The jobs of a script, and their stored forms.  */

struct fake_job jobs[JOBS_MAX];
size_t job_count;
struct rr_queue_policy queues[QUEUES_MAX];
size_t queue_count;
char job_spec[64] = "spec";

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
  if (strncmp (flag, "rack=", 5) == 0)
    snprintf (s->rack, sizeof s->rack, "%s", flag + 5);
  if (strncmp (flag, "target=", 7) == 0)
    s->tail_target_ms = strtol (flag + 7, NULL, 10);
  if (strncmp (flag, "estimate=", 9) == 0)
    s->estimate_ms = strtol (flag + 9, NULL, 10);
}

/* Submits the job of a script line.  */
void
job_add (char **word, size_t words)
{
  struct rr_job_graph *g = rr_job_graph_new (words - 3);
  snprintf (g->id, sizeof g->id, "%s", word[1]);
  snprintf (g->queue, sizeof g->queue, "%s", word[2]);
  snprintf (g->service, sizeof g->service, "desk");
  for (size_t i = 0; i < queue_count; i++)
    if (strcmp (queues[i].queue, g->queue) == 0)
      {
        g->attempts_max = queues[i].attempts_max;
        g->needs_permits = queues[i].needs_permits;
      }
  g->spec = rr_text_new (job_spec, strlen (job_spec));
  g->accepted_ms = script.now.ms;
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
  rr_dispatch_job_add (script.dispatch, g, NULL, false, script.now);
}

/* Stores the share of a divided job in a script line, and passes it on.  */
void
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
          char *crashes = NULL;
          uint64_t first = strtoul (run + 1, &crashes, 10);
          rr_job_graph_share_add (
              g, task, first,
              *crashes == ':' ? (uint32_t)strtoul (crashes + 1, NULL, 10) : 0);
        }
      free (jobs[i].graph);
      jobs[i].graph = rr_job_graph_encode (g);
      rr_dispatch_job_set_share (script.dispatch, g);
      rr_job_graph_free (g);
    }
}

/* Stores that the shard may use run numbers from BASE on for the job, which
   came from another one.  */
void
job_set_base (const char *id, uint64_t base)
{
  for (size_t i = 0; i < job_count; i++)
    if (strcmp (jobs[i].id, id) == 0)
      {
        struct rr_error err = { 0 };
        struct rr_job_graph *g = rr_job_graph_decode (
            jobs[i].graph, strlen (jobs[i].graph), &err);
        g->run_base = base;
        free (jobs[i].graph);
        jobs[i].graph = rr_job_graph_encode (g);
        rr_job_graph_free (g);
      }
}

/* Passes the stored share of the job ID on.  */
void
job_restore_share (const char *id)
{
  for (size_t i = 0; i < job_count; i++)
    if (strcmp (jobs[i].id, id) == 0)
      {
        struct rr_error err = { 0 };
        struct rr_job_graph *g = rr_job_graph_decode (
            jobs[i].graph, strlen (jobs[i].graph), &err);
        rr_dispatch_job_set_share (script.dispatch, g);
        rr_job_graph_free (g);
      }
}
