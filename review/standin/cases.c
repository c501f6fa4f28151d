#include "world.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* The cases.  Each returns whether the rule was broken.  */

static bool trouble;

/* Case 1: a job without a spec.  */
static bool
case_empty_spec (void)
{
  enum
  {
    JOBS = 6,
    FINISH_MS = 14000
  };
  static const char *const steps
      = "\"steps\":[{\"count\":2,\"cpu\":500,\"memMb\":256,"
        "\"estimateMs\":300}]}";
  char body[512];
  char id[TEXT];
  char state[64];
  world_open (7, 6, config_plain);
  if (trouble)
    snprintf (body, sizeof body, "{%s", steps);
  else
    snprintf (body, sizeof body, "{\"spec\":\"x\",%s", steps);
  client_submit ("00000000000000e0", body, true);
  snprintf (body, sizeof body, "{\"spec\":\"work=300 cpu=500\",%s", steps);
  for (int i = 0; i < JOBS; i++)
    {
      snprintf (id, sizeof id, "00000000000001%02x", (unsigned)i);
      client_submit (id, body, true);
    }
  sleep_ms (FINISH_MS);
  bool lost = strcmp (client_state ("00000000000000e0", state, sizeof state),
                      "completed")
              != 0;
  note ("the job: %s", lost ? "not done" : "done");
  for (int i = 0; i < JOBS; i++)
    {
      snprintf (id, sizeof id, "00000000000001%02x", (unsigned)i);
      bool done
          = strcmp (client_state (id, state, sizeof state), "completed") == 0;
      lost = lost || !done;
    }
  int machines = 0;
  for (int i = 0; i < daemon_count; i++)
    machines += daemons[i].own_ends >= 3 ? 1 : 0;
  note ("processes ended by themselves %d times; three times or more on %d "
        "of %d machines",
        daemons_own_ends (), machines, daemon_count);
  return lost || machines >= 2;
}

/* Case 2: the store is down while many short tasks end.  */
static bool
case_many_ends (void)
{
  enum
  {
    DOWN_MS = 4500,
    WAIT_MAX_MS = 40000
  };
  char state[64];
  world_open (3, 2, config_plain);
  client_submit ("00000000000000e1",
                 "{\"spec\":\"work=300 cpu=200\",\"steps\":[{\"count\":4000,"
                 "\"cpu\":200,\"memMb\":64,\"estimateMs\":300}]}",
                 true);
  sleep_ms (200);
  if (trouble)
    {
      pthread_mutex_lock (&lock);
      store_mode = STORE_DOWN;
      note ("store: down (503) for %d ms", DOWN_MS);
      pthread_mutex_unlock (&lock);
      sleep_ms (DOWN_MS);
      pthread_mutex_lock (&lock);
      store_mode = STORE_SERVES;
      note ("store: serves again");
      pthread_mutex_unlock (&lock);
    }
  int64_t until = now_ms () + WAIT_MAX_MS;
  while (strcmp (client_state ("00000000000000e1", state, sizeof state),
                 "completed")
             != 0
         && now_ms () < until)
    sleep_ms (1000);
  sleep_ms (2000);
  pthread_mutex_lock (&lock);
  int found = rule_twice ();
  note ("%zu runs of 4000 tasks; %d violations of TWICE", run_count, found);
  pthread_mutex_unlock (&lock);
  return found > 0;
}

static struct run *
run_at_work (const char *job)
{
  for (size_t i = run_count; i-- > 0;)
    if (runs[i].ended == 0
        && strncmp (runs[i].task, job, strlen (job)) == 0)
      return &runs[i];
  return NULL;
}

/* Waits until a run of JOB with the number FIRST or a higher one is at work,
   and returns its worker.  */
static struct worker *
await_run (const char *job, int64_t first, int64_t max_ms)
{
  int64_t until = now_ms () + max_ms;
  while (now_ms () < until)
    {
      pthread_mutex_lock (&lock);
      const struct run *r = run_at_work (job);
      struct worker *w
          = r != NULL && r->number >= first ? &workers[r->worker] : NULL;
      pthread_mutex_unlock (&lock);
      if (w != NULL)
        return w;
      sleep_ms (50);
    }
  give_up ("the task does not run");
}

/* Case 3: a worker is cut off while the daemons are restarted in turn, as a
   task that lasts has failed more than 16 times.  */
static bool
case_run_numbers (void)
{
  enum
  {
    FAILURES = 17,
    CUT_MS = 5500,
    TERM_MS = 1500, /* after the cut */
    AFTER_MS = 6000
  };
  char body[512];
  world_open (3, 6, config_plain);
  snprintf (body, sizeof body,
            "{\"spec\":\"lasts=1 cpu=2000 fails=300 upto=%d\",\"steps\":["
            "{\"count\":1,\"cpu\":2000,\"memMb\":256,\"estimateMs\":60000,"
            "\"longRunning\":true}]}",
            FAILURES);
  client_submit ("00000000000000e2", body, true);
  struct worker *w = await_run ("00000000000000e2", FAILURES + 1, 60000);
  sleep_ms (2000);
  if (trouble)
    {
      struct daemon_process *owner = daemon_owner ();
      pthread_mutex_lock (&lock);
      note ("%s: is cut off from the daemons for %d ms and runs on", w->id,
            CUT_MS);
      w->cut = true;
      pthread_cond_broadcast (&changed);
      pthread_mutex_unlock (&lock);
      sleep_ms (TERM_MS);
      pthread_mutex_lock (&lock);
      daemon_signal (owner, SIGTERM);
      pthread_mutex_unlock (&lock);
      sleep_ms (CUT_MS - TERM_MS);
      pthread_mutex_lock (&lock);
      w->cut = false;
      note ("%s: the cut is over", w->id);
      pthread_mutex_unlock (&lock);
    }
  sleep_ms (AFTER_MS);
  pthread_mutex_lock (&lock);
  int found = rule_twice ();
  note ("%zu runs are at work; %d violations of TWICE",
        runs_of ("00000000000000e2"), found);
  pthread_mutex_unlock (&lock);
  return found > 0;
}

/* Case 4: three times the worker of a task crashes soon after its start.  */
static bool
case_crashes (void)
{
  enum
  {
    CRASHES = 3,
    AFTER_START_MS = 250,
    DARK_MS = 3000
  };
  char state[64] = "";
  world_open (3, 7, config_plain);
  client_submit ("00000000000000e3",
                 "{\"spec\":\"work=2700 cpu=3500\",\"steps\":[{\"count\":1,"
                 "\"cpu\":3500,\"memMb\":6400,\"estimateMs\":2700}]}",
                 true);
  for (int i = 0; trouble && i < CRASHES; i++)
    {
      struct worker *w = await_run ("00000000000000e3", i + 1, 15000);
      sleep_ms (AFTER_START_MS);
      pthread_mutex_lock (&lock);
      worker_crash (w);
      pthread_mutex_unlock (&lock);
      sleep_ms (DARK_MS);
      pthread_mutex_lock (&lock);
      worker_return (w);
      pthread_mutex_unlock (&lock);
    }
  int64_t until = now_ms () + 20000;
  while (now_ms () < until
         && strcmp (client_state ("00000000000000e3", state, sizeof state),
                    "completed")
                != 0
         && strcmp (state, "failed") != 0)
    sleep_ms (500);
  size_t failed = 0;
  for (size_t i = 0; i < run_count; i++)
    failed += strcmp (runs[i].how, "failed") == 0 ? 1 : 0;
  note ("the job is shown as %s; %zu of its runs have ended failed", state,
        failed);
  return strcmp (state, "failed") == 0 && failed == 0;
}

/* Case 5: a job is cancelled whose write is carried out late.  */
static bool
case_cancelled_late (void)
{
  enum
  {
    OTHERS = 8,
    DEADLINE_MS = 1000,
    LOST_MS = 1500, /* for this long */
    LATE_MS = 5900,
    CANCEL_MS = 3000,
    STABLE_MS = 3000
  };
  static const char *const id = "00000000000000e4";
  static const char *const body
      = "{\"spec\":\"work=1000 cpu=500\",\"steps\":[{\"count\":2,\"cpu\":500,"
        "\"memMb\":256,\"estimateMs\":1000}]}";
  char other[TEXT];
  char path[TEXT];
  char out[512];
  world_open (3, 6, config_plain);
  snprintf (path, sizeof path, "/q/%s", id);
  pthread_mutex_lock (&lock);
  char key[TEXT];
  snprintf (key, sizeof key, "rail/job/%s", id);
  int64_t lost_until = now_ms () + LOST_MS;
  if (trouble)
    store_lose (key, lost_until, LATE_MS);
  int writes = store_writes;
  pthread_mutex_unlock (&lock);
  for (int i = 0; i < OTHERS; i++)
    {
      snprintf (other, sizeof other, "00000000000002%02x", (unsigned)i);
      client_submit (other, body, true);
    }
  client (0, "POST", path, DEADLINE_MS, body, out, sizeof out);
  int status = client (1, "DELETE", path, DEADLINE_MS, NULL, out, sizeof out);
  int64_t acknowledged = status == 200 || status == 410 ? now_ms () : 0;
  pthread_mutex_lock (&lock);
  note ("store: %d of %d writes were lost", store_lost,
        store_writes - writes);
  pthread_mutex_unlock (&lock);
  sleep_ms (LATE_MS + 3000);
  int found = 0;
  pthread_mutex_lock (&lock);
  for (size_t i = 0; acknowledged != 0 && i < run_count; i++)
    if (strncmp (runs[i].task, id, strlen (id)) == 0
        && runs[i].began > acknowledged + CANCEL_MS
        && runs[i].began > lost_until + STABLE_MS)
      {
        found++;
        note ("UNASKED: %s starts %lld ms after the cancelling was "
              "acknowledged with %d",
              runs[i].task, (long long)(runs[i].began - acknowledged),
              status);
      }
  pthread_mutex_unlock (&lock);
  return found > 0;
}

int
main (int argc, char **argv)
{
  static const struct
  {
    const char *name;
    bool (*play) (void);
  } cases[] = { { "empty-spec", case_empty_spec },
                { "many-ends", case_many_ends },
                { "run-numbers", case_run_numbers },
                { "crashes", case_crashes },
                { "cancelled-late", case_cancelled_late } };
  if (argc != 3)
    return 2;
  const char *text = getenv ("TROUBLE");
  trouble = text == NULL || strcmp (text, "0") != 0;
  record_file = fopen (argv[2], "w");
  if (record_file == NULL)
    return 2;
  setvbuf (record_file, NULL, _IOLBF, 0);
  signal (SIGPIPE, SIG_IGN);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    if (strcmp (cases[i].name, argv[1]) == 0)
      {
        bool broken = cases[i].play ();
        note (broken ? "the rule is BROKEN" : "the rule held");
        world_close ();
        return broken ? 1 : 0;
      }
  return 2;
}
