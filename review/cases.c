#include "world.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* The cases.  Each returns whether the rule was broken.  */

static bool trouble;

/* A job with an empty spec.  */
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
  snprintf (body, sizeof body, "{\"spec\":\"%s\",%s", trouble ? "" : "x",
            steps);
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

/* The store is down while many short tasks end.  */
static bool
case_many_ends (void)
{
  enum
  {
    JOBS = 200,
    DOWN_MS = 4500,
    WAIT_MAX_MS = 60000
  };
  char id[TEXT];
  char state[64];
  world_open (3, 2, config_plain);
  for (int i = 0; i < JOBS; i++)
    {
      snprintf (id, sizeof id, "00000000000001%02x", (unsigned)i);
      client_submit (id,
                     "{\"spec\":\"work=300 cpu=250\",\"steps\":[{\"count\":"
                     "36,\"cpu\":250,\"memMb\":64,\"estimateMs\":300}]}",
                     true);
    }
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
  for (int i = 0; i < JOBS && now_ms () < until;)
    {
      snprintf (id, sizeof id, "00000000000001%02x", (unsigned)i);
      if (strcmp (client_state (id, state, sizeof state), "completed") == 0)
        i++;
      else
        sleep_ms (500);
    }
  sleep_ms (2000);
  pthread_mutex_lock (&lock);
  int found = rule_twice ();
  note ("%zu runs of %d tasks; %d violations of TWICE", run_count, JOBS * 36,
        found);
  pthread_mutex_unlock (&lock);
  return found > 0;
}

/* Hands in an ordinary job every 100 ms, for MS milliseconds.  */
static void
traffic (int64_t ms)
{
  enum
  {
    INTERVAL_MS = 100,
    DEADLINE_MS = 1000
  };
  static unsigned count;
  int64_t until = now_ms () + ms;
  char path[TEXT];
  char out[512];
  while (now_ms () < until)
    {
      snprintf (path, sizeof path, "/q/0000000000aa%04x", count);
      client ((int)(count++ % (unsigned)daemon_count), "POST", path,
              DEADLINE_MS,
              "{\"spec\":\"work=300 cpu=500\",\"steps\":[{\"count\":1,"
              "\"cpu\":500,\"memMb\":256,\"estimateMs\":300}]}",
              out, sizeof out);
      sleep_ms (INTERVAL_MS);
    }
}

static struct run *
run_at_work (const char *job)
{
  for (size_t i = run_count; i-- > 0;)
    if (runs[i].ended == 0 && strncmp (runs[i].task, job, strlen (job)) == 0)
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

/* A worker is cut off while the daemons are restarted in turn, as a
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
  traffic (2000);
  if (trouble)
    {
      struct daemon_process *owner = daemon_owner ();
      pthread_mutex_lock (&lock);
      note ("%s: is cut off from the daemons for %d ms and runs on", w->id,
            CUT_MS);
      w->cut = true;
      pthread_cond_broadcast (&changed);
      pthread_mutex_unlock (&lock);
      traffic (TERM_MS);
      pthread_mutex_lock (&lock);
      daemon_signal (owner, SIGTERM);
      pthread_mutex_unlock (&lock);
      traffic (CUT_MS - TERM_MS);
      pthread_mutex_lock (&lock);
      w->cut = false;
      note ("%s: the cut is over", w->id);
      pthread_mutex_unlock (&lock);
    }
  traffic (AFTER_MS);
  pthread_mutex_lock (&lock);
  int found = rule_twice ();
  note ("%zu runs are at work; %d violations of TWICE",
        runs_of ("00000000000000e2"), found);
  pthread_mutex_unlock (&lock);
  return found > 0;
}

/* One worker of seven crashes three times, each time soon after a task that
   lasts has started there.  The others are sound and idle.  */
static bool
case_crashes (void)
{
  enum
  {
    CRASHES = 3,
    AFTER_START_MS = 250,
    DARK_MS = 3000,
    CALM_MS = 14000
  };
  static const char *const id = "00000000000000e3";
  char state[64] = "";
  world_open (3, 7, config_plain);
  client_submit (id,
                 "{\"spec\":\"lasts=1 cpu=6400\",\"steps\":[{\"count\":1,"
                 "\"cpu\":6400,\"memMb\":13000,\"estimateMs\":60000,"
                 "\"longRunning\":true}]}",
                 true);
  struct worker *bad = await_run (id, 1, 15000);
  for (int i = 0; trouble && i < CRASHES; i++)
    {
      if (await_run (id, i + 1, 15000) != bad)
        {
          note ("the task has gone to a sound worker");
          break;
        }
      sleep_ms (AFTER_START_MS);
      pthread_mutex_lock (&lock);
      worker_crash (bad);
      pthread_mutex_unlock (&lock);
      sleep_ms (DARK_MS);
      pthread_mutex_lock (&lock);
      worker_return (bad);
      pthread_mutex_unlock (&lock);
    }
  sleep_ms (CALM_MS);
  client_state (id, state, sizeof state);
  pthread_mutex_lock (&lock);
  size_t failed = 0;
  for (size_t i = 0; i < run_count; i++)
    failed += strcmp (runs[i].how, "failed") == 0 ? 1 : 0;
  size_t at_work = runs_of (id);
  note ("after %d ms of calm the job is shown as %s; %zu of its runs have "
        "ended failed; %zu are at work",
        CALM_MS, state, failed, at_work);
  pthread_mutex_unlock (&lock);
  return at_work == 0 || (strcmp (state, "failed") == 0 && failed == 0);
}

/* A job is cancelled whose write is carried out late.  */
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
  note ("store: %d of %d writes were lost", store_lost, store_writes - writes);
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
              runs[i].task, (long long)(runs[i].began - acknowledged), status);
      }
  pthread_mutex_unlock (&lock);
  return found > 0;
}

/* The permit service: every worker may run every step.  */
static void
on_advise (void *data, const struct request *q, struct answer *a)
{
  (void)data;
  struct json_object *o = json_tokener_parse (q->body);
  struct json_object *list = NULL;
  struct json_object *rows = json_object_new_array ();
  json_object_object_get_ex (o, "workers", &list);
  for (size_t i = 0; list != NULL && i < json_object_array_length (list); i++)
    {
      struct json_object *row = json_object_new_array ();
      json_object_array_add (
          row, json_object_get (json_object_array_get_idx (list, i)));
      json_object_array_add (row, json_object_new_string ("c81e-7a21d94b"));
      json_object_array_add (rows, row);
    }
  json_object_put (o);
  o = json_object_new_object ();
  json_object_object_add (o, "allowed", rows);
  json_object_object_add (o, "validMs", json_object_new_int (3000));
  a->status = 200;
  a->body = text_of (o);
}

#define SERVICES                                                              \
  "\"services\":[{\"name\":\"desk\",\"healthPath\":\"/healthz\","             \
  "\"maxConnections\":64,\"protocol\":\"h1\",\"tls\":false,"                  \
  "\"enforcesCapacity\":true,\"standby\":false}],"                            \
  "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"             \
  "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}"
#define OTHER_ROUTE                                                           \
  "{\"name\":\"r-2\",\"host\":\"desk.example\",\"prefix\":\"/other/\","       \
  "\"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"targetRuntimeMs\":1000,"  \
  "\"priority\":0,\"service\":\"desk\",\"maxAttempts\":4,"                    \
  "\"slackFactor\":2.0}"

/* A queue with advice is removed, and the owner is restarted, while a job of
   the queue is at work.  */
static bool
case_removed_queue (void)
{
  enum
  {
    FINISH_MS = 14000
  };
  static const char *const id = "00000000000000e5";
  static struct server permits;
  server_open (&permits, on_advise, NULL);
  permit_port = permits.port;
  tickets = true;
  world_open (3, 6,
              "{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":"
              "\"desk.example\",\"prefix\":\"/q/\",\"kind\":"
              "\"non_idempotent\",\"timeoutMs\":3000,\"targetRuntimeMs\":"
              "1000,\"priority\":0,\"service\":\"desk\",\"maxAttempts\":4,"
              "\"slackFactor\":2.0,\"advice\":{\"decisionMs\":5,"
              "\"perWorkerMs\":1,\"validMs\":3000}}," OTHER_ROUTE
              "]," SERVICES);
  client_submit (id,
                 "{\"spec\":\"work=5000 cpu=2000\",\"steps\":[{\"count\":2,"
                 "\"cpu\":2000,\"memMb\":256,\"estimateMs\":5000},{\"count\":"
                 "2,\"cpu\":2000,\"memMb\":256,\"estimateMs\":5000,"
                 "\"after\":[0]}]}",
                 true);
  sleep_ms (1000);
  if (trouble)
    {
      struct daemon_process *owner = daemon_owner ();
      pthread_mutex_lock (&lock);
      note ("operator: version 2, without the queue");
      store_put ("op/config",
                 "{\"version\":2,\"routes\":[" OTHER_ROUTE "]," SERVICES);
      pthread_mutex_unlock (&lock);
      sleep_ms (1500);
      pthread_mutex_lock (&lock);
      daemon_signal (owner, SIGTERM);
      pthread_mutex_unlock (&lock);
    }
  sleep_ms (10000 + FINISH_MS);
  pthread_mutex_lock (&lock);
  int done = 0;
  for (size_t i = 0; i < run_count; i++)
    done += strcmp (runs[i].how, "done") == 0 ? 1 : 0;
  int64_t refused = 0;
  for (int i = 0; i < worker_count; i++)
    refused += workers[i].starts_refused;
  note ("%d of 4 tasks are done, %zu are at work; %lld starts were refused",
        done, runs_of (id), (long long)refused);
  pthread_mutex_unlock (&lock);
  return done < 4;
}

/* The worker of a task with a checkpoint of 100 bytes crashes.  */
static bool
case_long_checkpoint (void)
{
  static const char *const id = "00000000000000e6";
  world_open (3, 6, config_plain);
  client_submit (id,
                 "{\"spec\":\"work=9000 cpu=2000 saves=100\",\"steps\":[{"
                 "\"count\":1,\"cpu\":2000,\"memMb\":256,\"estimateMs\":9000,"
                 "\"checkpointing\":true}]}",
                 true);
  struct worker *w = await_run (id, 1, 15000);
  sleep_ms (4000);
  if (trouble)
    {
      pthread_mutex_lock (&lock);
      worker_crash (w);
      pthread_mutex_unlock (&lock);
      sleep_ms (3000);
      pthread_mutex_lock (&lock);
      worker_return (w);
      pthread_mutex_unlock (&lock);
    }
  sleep_ms (14000);
  note ("%d starts had a checkpoint that isn't the task's",
        foreign_checkpoints);
  return foreign_checkpoints > 0;
}

/* The workers of a rack are lost for good.  A task that lasts has its data in
   that rack.  */
static bool
case_rack_lost (void)
{
  enum
  {
    WORKERS = 14,
    AWAY_MAX_MS = 6000, /* from its last run on */
    IDLE_MAX_MS = 3000,
    CALM_MS = 4000,
    WATCH_MS = 40000
  };
  static const char *const id = "00000000000000e7";
  world_open (3, WORKERS, config_plain);
  client_submit (id,
                 "{\"spec\":\"lasts=1 cpu=6400\",\"steps\":[{\"count\":1,"
                 "\"cpu\":6400,\"memMb\":13000,\"estimateMs\":3600000,"
                 "\"affinity\":\"r1-1\",\"longRunning\":true}]}",
                 true);
  struct worker *w = await_run (id, 1, 15000);
  note ("the task runs on %s", w->id);
  sleep_ms (2000);
  pthread_mutex_lock (&lock);
  for (int i = 0; trouble && i < 2; i++)
    worker_crash (&workers[i]);
  int64_t lost = now_ms ();
  pthread_mutex_unlock (&lock);
  int64_t away = 0;
  while (now_ms () < lost + WATCH_MS)
    {
      sleep_ms (100);
      pthread_mutex_lock (&lock);
      bool runs_now = runs_of (id) > 0;
      pthread_mutex_unlock (&lock);
      if (runs_now && away > 0)
        break;
      if (!runs_now)
        away = now_ms () - lost;
    }
  note ("the task was away for %lld ms; %d workers stood idle",
        (long long)away, WORKERS - 2);
  return away > AWAY_MAX_MS + IDLE_MAX_MS + CALM_MS;
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
                { "cancelled-late", case_cancelled_late },
                { "removed-queue", case_removed_queue },
                { "long-checkpoint", case_long_checkpoint },
                { "rack-lost", case_rack_lost } };
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
