#include "world.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

/* The processes of the project, the clock of the stand-ins and the clients. */

enum
{
  TICK_MS = 5,
  RESTART_MS = 500, /* until the platform starts a process again */
  READY_MS = 20000,
  LEAD_MS = 2000,   /* from then to the start of traffic */
  LIMIT_MS = 115000 /* a case takes less */
};

pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
pthread_cond_t changed;
FILE *record_file;
char address[32];
char folder[64];
struct daemon_process daemons[DAEMONS_MAX];
int daemon_count;
int permit_port;

static int64_t started_at;
static volatile bool closing;
static volatile sig_atomic_t ending; /* a signal has come */

const char *const config_plain
    = "{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"desk.example\","
      "\"prefix\":\"/q/\",\"kind\":\"non_idempotent\",\"timeoutMs\":3000,"
      "\"targetRuntimeMs\":1000,\"priority\":0,\"service\":\"desk\","
      "\"maxAttempts\":4,\"slackFactor\":2.0}],\"services\":[{\"name\":"
      "\"desk\",\"healthPath\":\"/healthz\",\"maxConnections\":64,"
      "\"protocol\":\"h1\",\"tls\":false,\"enforcesCapacity\":true,"
      "\"standby\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
      "\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
      "\"idleTimeoutMs\":15000}}";

int64_t
now_ms (void)
{
  struct timespec t;
  clock_gettime (CLOCK_MONOTONIC, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

int64_t
wall_ms (void)
{
  struct timespec t;
  clock_gettime (CLOCK_REALTIME, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

/* Writes a line to the record.  */
void
note (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  fprintf (record_file, "%9.3f ", (double)(now_ms () - started_at) / 1000);
  vfprintf (record_file, format, args);
  fputc ('\n', record_file);
  va_end (args);
}

void
sleep_ms (int64_t ms)
{
  struct timespec t = { .tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000 };
  while (nanosleep (&t, &t) != 0)
    continue;
}

void
wait_ms (int64_t ms)
{
  struct timespec t;
  clock_gettime (CLOCK_MONOTONIC, &t);
  int64_t ns = t.tv_nsec + ms % 1000 * 1000000;
  t.tv_sec += ms / 1000 + ns / 1000000000;
  t.tv_nsec = ns % 1000000000;
  pthread_cond_timedwait (&changed, &lock, &t);
}

void
give_up (const char *why)
{
  fprintf (stderr, "the case could not run: %s\n", why);
  if (record_file != NULL)
    note ("the case could not run: %s", why);
  world_close ();
  _exit (2);
}

void *
grow (void *list, size_t bytes)
{
  void *grown = realloc (list, bytes);
  if (grown == NULL)
    give_up ("no memory");
  return grown;
}

static void
on_end_signal (int number)
{
  ending = number;
}

static void *
tick (void *data)
{
  (void)data;
  while (!closing)
    {
      pthread_mutex_lock (&lock);
      if (ending != 0 || now_ms () - started_at > LIMIT_MS)
        give_up (ending != 0 ? "it was told to end" : "it took too long");
      store_tick ();
      workers_tick ();
      daemons_tick ();
      pthread_mutex_unlock (&lock);
      sleep_ms (TICK_MS);
    }
  return NULL;
}

/* Starts the program with the command of the deploy file.  */
void
daemon_start (struct daemon_process *d)
{
  static char *const command[]
      = { "target/rosemaryentryd/rosemaryentryd", NULL };
  char settings[256];
  char logs[256];
  char path[256];
  const char *programs = getenv ("PATH");
  snprintf (settings, sizeof settings, "ROSEMARYRAIL_SETTINGS=%s/%s.jsonc",
            folder, d->name);
  snprintf (logs, sizeof logs, "%s/%s.log", folder, d->name);
  snprintf (path, sizeof path, "PATH=%s", programs == NULL ? "" : programs);
  char *environment[] = { settings, path, "LANG=C", NULL };
  d->restart_at = 0;
  d->stopped = false;
  d->pid = fork ();
  if (d->pid < 0)
    give_up ("no process");
  if (d->pid > 0)
    {
      note ("%s: is started", d->name);
      return;
    }
  int fd = open (logs, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (fd >= 0)
    {
      dup2 (fd, 1);
      dup2 (fd, 2);
    }
  for (int i = 3; i < 4096; i++)
    close (i);
  /* It ends with this process, whatever ends that.  */
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  execve (command[0], command, environment);
  _exit (127);
}

/* Takes note of daemons that have ended and starts them again.  */
void
daemons_tick (void)
{
  for (int i = 0; i < daemon_count; i++)
    {
      struct daemon_process *d = &daemons[i];
      int status;
      if (d->pid > 0 && waitpid (d->pid, &status, WNOHANG) == d->pid)
        {
          d->pid = 0;
          if (WIFEXITED (status) && WEXITSTATUS (status) == 127)
            give_up ("target/rosemaryentryd/rosemaryentryd is missing");
          if (d->stopped)
            note ("%s: has ended, as it was told", d->name);
          else
            {
              d->own_ends++;
              note ("%s: ENDS BY ITSELF, %s %d", d->name,
                    WIFSIGNALED (status) ? "signal" : "status",
                    WIFSIGNALED (status) ? WTERMSIG (status)
                                         : WEXITSTATUS (status));
            }
          d->restart_at = now_ms () + RESTART_MS;
        }
      if (d->pid == 0 && d->restart_at != 0 && d->restart_at <= now_ms ())
        daemon_start (d);
    }
}

/* Sends a signal to D.  The caller has LOCK.  */
void
daemon_signal (struct daemon_process *d, int number)
{
  note ("%s: gets signal %d", d->name, number);
  d->stopped = true;
  if (d->pid > 0)
    kill (d->pid, number);
}

int
daemons_own_ends (void)
{
  int n = 0;
  for (int i = 0; i < daemon_count; i++)
    n += daemons[i].own_ends;
  return n;
}

/* Returns the daemon that logged last that it owns the shard, or null.  */
struct daemon_process *
daemon_owner (void)
{
  struct daemon_process *owner = NULL;
  char latest[64] = "";
  for (int i = 0; i < daemon_count; i++)
    {
      char path[1024];
      char line[2048];
      snprintf (path, sizeof path, "%s/%s.log", folder, daemons[i].name);
      FILE *f = fopen (path, "r");
      while (f != NULL && fgets (line, sizeof line, f) != NULL)
        if (strstr (line, "event=shard_owned") != NULL
            && strncmp (line, "time=", 5) == 0 && strcmp (line, latest) > 0)
          {
            snprintf (latest, sizeof latest, "%.30s", line);
            owner = &daemons[i];
          }
      if (f != NULL)
        fclose (f);
    }
  return owner;
}

static void
write_settings (int i)
{
  struct daemon_process *d = &daemons[i];
  char path[1024];
  snprintf (path, sizeof path, "%s/%s.jsonc", folder, d->name);
  FILE *f = fopen (path, "w");
  if (f == NULL)
    give_up ("no settings file");
  fprintf (f,
           "// Settings of an entry daemon, filled in by the platform.\n"
           "{\n  \"name\": \"%s\",\n  \"zone\": \"%s\",\n"
           "  \"zones\": [\"z1\",\"z2\",\"z3\"],\n"
           "  \"front\": \"%s:%d\",\n  \"ready\": \"%s:%d\",\n"
           "  \"store\": \"%s:%d\",\n",
           d->name, d->zone, address, d->front, address, d->ready, address,
           store_port (i));
  if (permit_port != 0)
    fprintf (f, "  \"permits\": \"%s:%d\",\n", address, permit_port);
  else
    fprintf (f, "  \"permits\": \"\",\n");
  fprintf (f,
           "  \"metrics\": \"%s:%d\",\n  \"peer\": \"%s:%d\",\n"
           "  \"log_level\": \"info\",\n  \"lease_max_ms\": %d,\n"
           "  \"drain_ms\": 2000,\n  \"cpu_share\": 0.1,\n"
           "  \"link_mbps\": 1000.0,\n  \"shutdown_s\": 6,\n"
           "  \"retention_s\": 120,\n  \"remote_factor\": 3\n}\n",
           address, d->metrics, address, d->peer, LEASE_MAX_MS);
  fclose (f);
}

void
daemons_start (int count)
{
  daemon_count = count;
  for (int i = 0; i < count; i++)
    {
      struct daemon_process *d = &daemons[i];
      snprintf (d->name, sizeof d->name, "edge-z%d-%d", i % 3 + 1, i / 3 + 1);
      snprintf (d->zone, sizeof d->zone, "z%d", i % 3 + 1);
      d->front = free_port ();
      d->ready = free_port ();
      d->metrics = free_port ();
      d->peer = free_port ();
      write_settings (i);
      daemon_start (d);
    }
}

static bool
all_ready (void)
{
  char out[256];
  for (int i = 0; i < daemon_count; i++)
    if (call (daemons[i].ready, "GET", "/-/readyz", "x", 500, NULL, out,
              sizeof out)
        != 200)
      return false;
  return daemon_owner () != NULL;
}

/* Starts a deployment with the configuration CONFIG and waits until it is
   ready.  */
void
world_open (int daemon_total, int worker_total, const char *config)
{
  pthread_condattr_t steady;
  pthread_condattr_init (&steady);
  pthread_condattr_setclock (&steady, CLOCK_MONOTONIC);
  pthread_cond_init (&changed, &steady);
  started_at = now_ms ();
  signal (SIGTERM, on_end_signal);
  signal (SIGINT, on_end_signal);
  int p = (int)getpid ();
  snprintf (address, sizeof address, "127.%d.%d.%d", 64 + (p >> 16 & 63),
            p >> 8 & 255, p & 255);
  snprintf (folder, sizeof folder, "/tmp/rail-review-XXXXXX");
  if (mkdtemp (folder) == NULL)
    give_up ("no temporary folder");
  pthread_mutex_lock (&lock);
  store_open ();
  store_put ("op/config", config);
  workers_open (worker_total);
  daemons_start (daemon_total);
  pthread_mutex_unlock (&lock);
  pthread_t thread;
  if (pthread_create (&thread, NULL, tick, NULL) != 0)
    give_up ("no thread");
  int64_t until = now_ms () + READY_MS;
  while (!all_ready ())
    {
      if (now_ms () > until)
        give_up ("the daemons are not ready");
      sleep_ms (100);
    }
  sleep_ms (LEAD_MS);
  note ("%d daemons and %d workers are ready", daemon_total, worker_total);
}

/* Ends all processes that were started, and removes the folder.  */
void
world_close (void)
{
  closing = true;
  for (int i = 0; i < daemon_count; i++)
    if (daemons[i].pid > 0)
      {
        kill (daemons[i].pid, SIGKILL);
        waitpid (daemons[i].pid, NULL, 0);
        daemons[i].pid = 0;
      }
  if (folder[0] == '\0' || getenv ("KEEP") != NULL)
    return;
  for (int i = 0; i < daemon_count; i++)
    {
      char path[1024];
      snprintf (path, sizeof path, "%s/%s.log", folder, daemons[i].name);
      unlink (path);
      snprintf (path, sizeof path, "%s/%s.jsonc", folder, daemons[i].name);
      unlink (path);
    }
  rmdir (folder);
}

int
client (int daemon, const char *method, const char *path, int deadline_ms,
        const char *body, char *out, size_t size)
{
  int status = call (daemons[daemon].front, method, path, "desk.example",
                     deadline_ms, body, out, size);
  pthread_mutex_lock (&lock);
  if (status == 0)
    note ("client: %s %s at %s: no answer", method, path,
          daemons[daemon].name);
  else
    note ("client: %s %s at %s: %d %s", method, path, daemons[daemon].name,
          status, out);
  pthread_mutex_unlock (&lock);
  return status;
}

/* Hands the job ID in, at the daemons in turn; until it is accepted if
   UNTIL_ACCEPTED.  Returns the last status.  */
int
client_submit (const char *id, const char *body, bool until_accepted)
{
  char path[TEXT];
  char out[512];
  snprintf (path, sizeof path, "/q/%s", id);
  pthread_mutex_lock (&lock);
  note ("client: job %s is %.300s", id, body);
  pthread_mutex_unlock (&lock);
  int status = 0;
  for (int i = 0; i < 20; i++)
    {
      status = client (i % daemon_count, "POST", path, 3000, body, out,
                       sizeof out);
      if (status == 200 || !until_accepted)
        return status;
      sleep_ms (300);
    }
  give_up ("a job was not accepted");
}

const char *
client_state (const char *id, char *out, size_t size)
{
  static int turn;
  char path[TEXT];
  char body[512];
  snprintf (path, sizeof path, "/q/%s", id);
  out[0] = '\0';
  int status = client (turn++ % daemon_count, "GET", path, 3000, NULL, body,
                       sizeof body);
  if (status != 200)
    {
      snprintf (out, size, "%s", status == 0 ? "" : "?");
      return out;
    }
  struct json_object *o = json_tokener_parse (body);
  snprintf (out, size, "%s", get_text (o, "state"));
  json_object_put (o);
  return out;
}
