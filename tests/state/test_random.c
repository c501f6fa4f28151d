#include <check.h>
#include <gsl/gsl_rng.h>
#include <stdarg.h>
#include <stdlib.h>

#include "world.h"

enum
{
  SEEDS = 120,
  ACTIONS = 220,
  JOBS = 14,
  REQUESTS = 24,
  /* Long enough for about 10 snapshots and 4 full turns of the ring in a
     session; with less, faults rarely meet either.  */
  CHURN_MAX = 2 * RR_RING_SLOTS
};

struct chaos
{
  struct world *w;
  gsl_rng *rng;
  int jobs;
  int requests;
  int daemons;
  int workers;
};

static int
pick (struct chaos *c, int n)
{
  return (int)gsl_rng_uniform_int (c->rng, (unsigned long)n);
}

__attribute__ ((format (printf, 2, 3))) static void
command (struct chaos *c, const char *format, ...)
{
  char line[256];
  va_list args;
  va_start (args, format);
  vsnprintf (line, sizeof line, format, args);
  va_end (args);
  if (c->w->out != NULL)
    fprintf (c->w->out, "> %s\n", line);
  world_command (c->w, line);
}

static bool
idle (const struct daemon *d)
{
  return !d->dead && !d->paused
         && rr_shard_log_state (d->log) == RR_SHARD_IDLE;
}

/* Returns a random daemon that is alive and runs, or null.  */
static struct daemon *
any_daemon (struct chaos *c)
{
  struct daemon *found = NULL;
  int seen = 0;
  for (int i = 0; i < c->w->daemon_count; i++)
    {
      struct daemon *d = &c->w->daemons[i];
      if (!d->dead && !d->paused && pick (c, ++seen) == 0)
        found = d;
    }
  return found;
}

static void
resume_all (struct chaos *c)
{
  for (int i = 0; i < c->w->daemon_count; i++)
    if (!c->w->daemons[i].dead && c->w->daemons[i].paused)
      command (c, "resume %s", c->w->daemons[i].name);
}

static void
store_fault (struct chaos *c, const struct daemon *d)
{
  static const char *const kinds[] = { "lose", "drop", "hold" };
  static const char *const keys[] = { "/ring/", "/snapshot/" };
  command (c, "fault %s %s %s", d->name, kinds[pick (c, 3)],
           keys[pick (c, 2)]);
}

static void
daemon_fault (struct chaos *c, struct daemon *d)
{
  switch (pick (c, 6))
    {
    case 0:
      command (c, "pause %s", d->name);
      break;
    case 1:
      if (c->daemons < DAEMONS_MAX)
        {
          command (c, "kill %s", d->name);
          command (c, "daemon D%d", c->daemons++);
        }
      break;
    case 2:
      command (c, "freeze-before %s %s", d->name,
               pick (c, 2) == 0 ? "start" : "go");
      break;
    case 3:
      command (c, "drop %s", d->name);
      break;
    case 4:
      command (c, "release %s", d->name);
      break;
    default:
      resume_all (c);
      break;
    }
}

static void
worker_fault (struct chaos *c)
{
  int k = pick (c, c->workers);
  const struct worker *p = &c->w->workers[k];
  if (p->vanished_ms != 0)
    return;
  switch (pick (c, 6))
    {
    case 0:
      if (c->workers < WORKERS_MAX)
        {
          command (c, "vanish %s", p->name);
          command (c, "worker w%d %d", c->workers, pick (c, 100000));
          c->workers++;
        }
      break;
    case 1:
      command (c, "cut %s", p->name);
      break;
    case 2:
      command (c, "abandon %s", p->name);
      break;
    case 3:
      command (c, "hold-start %s", p->name);
      break;
    case 4:
      command (c, "%s %s J%d.%d mark-%d", pick (c, 2) == 0 ? "evict" : "fail",
               p->name, pick (c, JOBS), pick (c, 2), pick (c, 100));
      break;
    default:
      command (c, "join %s", p->name);
      break;
    }
}

static void
act (struct chaos *c)
{
  struct daemon *d = any_daemon (c);
  if (d == NULL)
    {
      resume_all (c);
      return;
    }
  int owner = world_owner (c->w);
  switch (pick (c, 12))
    {
    case 0:
      if (owner >= 0 && c->jobs < JOBS)
        command (c, "submit %s J%d %d %d 15000", c->w->daemons[owner].name,
                 c->jobs++, 1 + pick (c, 2), 500 + pick (c, 8000));
      break;
    case 1:
    case 2:
      command (c, "request %s r%d %d", d->name, pick (c, REQUESTS), 3000);
      break;
    case 3:
      store_fault (c, d);
      break;
    case 4:
      daemon_fault (c, d);
      break;
    case 5:
      worker_fault (c);
      break;
    case 6:
      command (c, "land");
      break;
    case 7:
      if (owner >= 0 && pick (c, 4) == 0)
        command (c, "cancel %s J%d", c->w->daemons[owner].name,
                 pick (c, JOBS));
      else if (owner >= 0)
        command (c, "late-report %s J%d %d %d", c->w->daemons[owner].name,
                 pick (c, JOBS), pick (c, 2), 1);
      break;
    case 8:
      command (c, "store %s",
               pick (c, 3) == 0   ? "down"
               : pick (c, 2) == 0 ? "silent"
                                  : "up");
      break;
    case 9:
      if (owner >= 0)
        command (c, "churn %s J0 %d", c->w->daemons[owner].name,
                 1 + pick (c, CHURN_MAX));
      break;
    default:
      if (idle (d) && (owner < 0 || pick (c, 3) == 0))
        command (c, "take %s", d->name);
      break;
    }
  command (c, "run %d", 10 * pick (c, 120));
}

/* Ends all faults and lets one daemon own the shard.  Returns it.  */
static int
heal (struct chaos *c)
{
  struct world *w = c->w;
  command (c, "store up");
  command (c, "land");
  resume_all (c);
  for (int i = 0; i < c->workers; i++)
    if (w->workers[i].forsaken && w->workers[i].vanished_ms == 0)
      command (c, "vanish %s", w->workers[i].name);
    else
      command (c, "join %s", w->workers[i].name);
  command (c, "worker x1");
  command (c, "run 2000");
  int owner = -1;
  for (int i = 0; i < w->daemon_count; i++)
    if (!w->daemons[i].dead)
      {
        w->daemons[i].hold_start = false;
        w->daemons[i].hold_go = false;
        w->daemons[i].fault = FAULT_NONE;
        if (w->daemons[i].paused)
          command (c, "resume %s", w->daemons[i].name);
        command (c, "drop %s", w->daemons[i].name);
        owner = i;
      }
  ck_assert_int_ge (owner, 0);
  command (c, "take %s", w->daemons[owner].name);
  command (c, "run 120000");
  return owner;
}

/* Guards against a second live attempt of a task, a second run of a request,
   and work that is lost or stuck after any mixture of faults.  SESSION_SEED
   repeats one seed and prints its session, SESSION_SEEDS sets their number. */
START_TEST (invariants_hold_under_faults)
{
  const char *only = getenv ("SESSION_SEED");
  int seed = only != NULL ? atoi (only) : _i;
  struct world *w = calloc (1, sizeof *w);
  ck_assert_ptr_nonnull (w);
  struct chaos c = { .w = w, .daemons = 3, .workers = 3 };
  c.rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (c.rng, (unsigned long)seed + 1);
  if (only != NULL)
    w->out = stdout;
  for (int i = 0; i < 3; i++)
    {
      command (&c, "daemon D%d", i);
      command (&c, "worker w%d %d", i, 1000 * i);
    }
  command (&c, "take D0");
  command (&c, "run 100");
  for (int i = 0; i < ACTIONS; i++)
    act (&c);
  int owner = heal (&c);
  ck_assert_msg (w->violations == 0, "seed %d: %d violations", seed,
                 w->violations);
  ck_assert_msg (w->alarms == 0, "seed %d: %d false alarms", seed, w->alarms);
  struct rr_shard_state *s = rr_shard_log_shard_state (w->daemons[owner].log);
  ck_assert_msg (s != NULL, "seed %d: no owner after the faults ended", seed);
  struct rr_handle h = { 0 };
  const struct rr_job *job;
  while ((job = rr_job_store_next (s->jobs, &h)) != NULL)
    ck_assert_msg (job->state != RR_JOB_OPEN, "seed %d: job %s is stuck", seed,
                   job->spec.job);
  for (int i = 0; i < w->call_count; i++)
    ck_assert_msg (w->calls[i].answered || w->daemons[w->calls[i].daemon].dead,
                   "seed %d: the caller of %s got no answer", seed,
                   w->calls[i].request);
  gsl_rng_free (c.rng);
  world_free (w);
  free (w);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("random");
  TCase *t = tcase_create ("sessions");
  /* A verdict must not depend on the speed of the machine; meson's own limit
     only ends a hang.  */
  tcase_set_timeout (t, 0);
  const char *count = getenv ("SESSION_SEEDS");
  int seeds = count != NULL ? atoi (count) : SEEDS;
  if (getenv ("SESSION_SEED") != NULL)
    seeds = 1;
  tcase_add_loop_test (t, invariants_hold_under_faults, 0, seeds);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
