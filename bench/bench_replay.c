#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "rosemaryrail/shard_log.h"

enum
{
  JOBS = 250,
  TASKS = 700,
  ROUNDS = 20,
  LATENCY_MS = 5, /* of a store call where latency counts */
  CALLS_MAX = 512,
  FIRST_SPREAD = 1, /* attempt of the tasks that spread () restarts */
  KEYS_MAX = RR_RING_SLOTS + 32
};

struct value
{
  char key[RR_KEY_SIZE];
  uint8_t *data;
  size_t length;
  uint64_t revision;
};

/* The store and what was written to it.  */
struct store
{
  struct value values[KEYS_MAX];
  int count;
  uint64_t revision;
  size_t ring_bytes;
  size_t snapshot_bytes;
  uint64_t ring_writes;
  uint64_t snapshot_writes;
  size_t read_bytes;
  uint64_t reads;
};

static struct value *
find (struct store *s, const char *key)
{
  for (int i = 0; i < s->count; i++)
    if (strcmp (s->values[i].key, key) == 0)
      return &s->values[i];
  struct value *v = &s->values[s->count++];
  memset (v, 0, sizeof *v);
  memcpy (v->key, key, strlen (key) + 1);
  return v;
}

static void
write_value (struct store *s, const struct rr_shard_output *out,
             struct rr_kv_result *r)
{
  struct value *v = find (s, out->key);
  free (v->data);
  v->data = malloc (out->length);
  if (v->data == NULL)
    abort ();
  memcpy (v->data, out->value, out->length);
  v->length = out->length;
  v->revision = ++s->revision;
  r->revision = v->revision;
  if (strstr (out->key, "/ring/") != NULL)
    {
      s->ring_bytes += out->length;
      s->ring_writes++;
    }
  else
    {
      s->snapshot_bytes += out->length;
      s->snapshot_writes++;
    }
}

/* Carries out OUT; false if it is not a store call.  */
static bool
call_store (struct store *s, const struct rr_shard_output *out,
            struct rr_kv_result *r)
{
  memset (r, 0, sizeof *r);
  if (out->kind == RR_SHARD_WRITE)
    {
      write_value (s, out, r);
      return true;
    }
  if (out->kind == RR_SHARD_READ)
    {
      const struct value *v = find (s, out->key);
      r->revision = v->revision;
      r->value = v->data;
      r->length = v->length;
      s->read_bytes += v->length;
      s->reads++;
      return true;
    }
  if (out->kind == RR_SHARD_ALARM
      || (out->kind == RR_SHARD_SETTLED && !out->applied))
    {
      fprintf (stderr, "%s\n", out->reason.message);
      exit (EXIT_FAILURE);
    }
  return false;
}

static void
drive (struct rr_shard_log *l, struct store *s, int64_t now)
{
  struct rr_shard_output out;
  struct rr_kv_result r;
  while (rr_shard_log_next_output (l, rr_time_from_ms (now), &out))
    if (call_store (s, &out, &r))
      rr_shard_log_complete (l, out.call_id, &r, rr_time_from_ms (now));
}

/* As drive, with every store call answered after LATENCY_MS of virtual time.
   Returns the time when the last one was answered.  */
static int64_t
drive_late (struct rr_shard_log *l, struct store *s, int64_t now)
{
  static struct rr_kv_result results[CALLS_MAX];
  static uint64_t tickets[CALLS_MAX];
  for (;;)
    {
      struct rr_shard_output out;
      int n = 0;
      while (rr_shard_log_next_output (l, rr_time_from_ms (now), &out))
        if (call_store (s, &out, &results[n]))
          tickets[n++] = out.call_id;
      if (n == 0)
        return now;
      now += LATENCY_MS;
      for (int i = 0; i < n; i++)
        rr_shard_log_complete (l, tickets[i], &results[i],
                               rr_time_from_ms (now));
    }
}

static double
seconds (void)
{
  struct timespec t;
  clock_gettime (CLOCK_MONOTONIC, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static struct rr_shard_log *
new_owner (uint64_t incarnation)
{
  struct rr_shard_log_options o
      = { .shard = 5, .owner = "entry-a1", .incarnation = incarnation };
  struct rr_shard_log *l = rr_shard_log_new (&o);
  if (l == NULL || !rr_shard_log_take_over (l, rr_time_from_ms (0), 0, NULL))
    abort ();
  return l;
}

static struct rr_shard_log *
take_over (struct store *s, uint64_t incarnation)
{
  struct rr_shard_log *l = new_owner (incarnation);
  drive (l, s, 0);
  if (rr_shard_log_state (l) != RR_SHARD_OWNER)
    abort ();
  return l;
}

static void
append (struct rr_shard_log *l, const struct rr_record *r, int64_t now)
{
  struct rr_error err = { 0 };
  if (rr_shard_log_append (l, r, 1, rr_time_from_ms (now), &err))
    return;
  fprintf (stderr, "%s\n", err.message);
  exit (EXIT_FAILURE);
}

static struct rr_record
job_record (int job, uint32_t tasks)
{
  struct rr_record r
      = { .kind = RR_RECORD_JOB_SUBMITTED, .at_ms = 1764800000000 };
  struct rr_record_job_submitted *p = &r.u.job_submitted;
  snprintf (p->job, sizeof p->job, "team-%03d-%08x", job % 10, 7919U * job);
  snprintf (p->team, sizeof p->team, "team-%03d", job % 10);
  snprintf (p->job_class, sizeof p->job_class, "archive");
  p->tasks = tasks;
  p->cores_milli = 2000;
  p->memory_mb = 4096;
  p->work_ms = 3600000;
  p->isolation_limit_ms = 7200000;
  p->weight_milli = 1000;
  return r;
}

static struct rr_record
placed_record (int job, uint32_t task, uint32_t attempt)
{
  struct rr_record r
      = { .kind = RR_RECORD_ATTEMPT_PLACED, .at_ms = 1764800000000 };
  struct rr_record_attempt_placed *p = &r.u.attempt_placed;
  snprintf (p->job, sizeof p->job, "team-%03d-%08x", job % 10, 7919U * job);
  p->task = task;
  p->attempt = attempt;
  snprintf (p->worker, sizeof p->worker, "worker-%03u", (job + task) % 670);
  snprintf (p->zone, sizeof p->zone, "zone-%u", task % 8);
  p->worker_incarnation = 1764700000123;
  p->controller_epoch = 4711;
  p->void_after_ms = 1234567;
  p->granted_until_ms = 8434567;
  return r;
}

static struct rr_record
running_record (int job, uint32_t task, uint32_t attempt)
{
  struct rr_record r
      = { .kind = RR_RECORD_ATTEMPT_RUNNING, .at_ms = 1764800000000 };
  struct rr_record_attempt_running *p = &r.u.attempt_running;
  snprintf (p->job, sizeof p->job, "team-%03d-%08x", job % 10, 7919U * job);
  p->task = task;
  p->attempt = attempt;
  return r;
}

static struct rr_record
ended_record (int job, uint32_t task, uint32_t attempt)
{
  struct rr_record r
      = { .kind = RR_RECORD_ATTEMPT_ENDED, .at_ms = 1764800000000 };
  struct rr_record_attempt_ended *p = &r.u.attempt_ended;
  snprintf (p->job, sizeof p->job, "team-%03d-%08x", job % 10, 7919U * job);
  p->task = task;
  p->attempt = attempt;
  p->result = RR_RESULT_EVICTED;
  snprintf (p->checkpoint, sizeof p->checkpoint, "ckpt-%08x-%u", 104729U * job,
            attempt);
  return r;
}

static uint32_t
tasks_of (int job)
{
  return (uint32_t)(TASKS / JOBS + (job < TASKS % JOBS ? 1 : 0));
}

/* Fills the shard with JOBS jobs whose TASKS tasks all run.  */
static int64_t
fill (struct rr_shard_log *l, struct store *s)
{
  int64_t now = 1000;
  for (int job = 0; job < JOBS; job++)
    {
      struct rr_record r = job_record (job, tasks_of (job));
      append (l, &r, now);
      for (uint32_t task = 0; task < tasks_of (job); task++)
        {
          r = placed_record (job, task, 1);
          append (l, &r, now);
          r = running_record (job, task, 1);
          append (l, &r, now);
        }
      if (job % 10 == 9)
        {
          now += 100;
          drive (l, s, now);
        }
    }
  for (int i = 0; i < 20; i++)
    {
      now += 100;
      drive (l, s, now);
    }
  return now;
}

/* Evicts and restarts one task after the other, RATE records per entry, and
   prints what that writes.  */
static int64_t
churn (struct rr_shard_log *l, struct store *s, int64_t now, int rate)
{
  struct store before = *s;
  uint64_t records = rr_shard_log_stats (l)->records;
  static uint32_t attempts[JOBS];
  int64_t start = now;
  int job = 0;
  for (int entry = 0; entry < 600; entry++)
    {
      for (int i = 0; i < rate; i++)
        {
          uint32_t k = ++attempts[job];
          struct rr_record r = ended_record (job, 0, k);
          append (l, &r, now);
          r = placed_record (job, 0, k + 1);
          append (l, &r, now);
          r = running_record (job, 0, k + 1);
          append (l, &r, now);
          job = (job + 1) % JOBS;
        }
      now += 100;
      drive (l, s, now);
    }
  double n = (double)(rr_shard_log_stats (l)->records - records);
  double time = (double)(now - start) / 1000;
  printf ("%2d starts per entry, an entry each 100 ms (%.0f starts/s):\n",
          rate, n / 3 / time);
  printf ("  ring      %6.0f bytes per record, %7.1f KB/s, %.1f writes/s\n",
          (double)(s->ring_bytes - before.ring_bytes) / n,
          (double)(s->ring_bytes - before.ring_bytes) / 1000 / time,
          (double)(s->ring_writes - before.ring_writes) / time);
  printf ("  snapshots %6.0f bytes per record, %7.1f KB/s, %.1f writes/s\n",
          (double)(s->snapshot_bytes - before.snapshot_bytes) / n,
          (double)(s->snapshot_bytes - before.snapshot_bytes) / 1000 / time,
          (double)(s->snapshot_writes - before.snapshot_writes) / time);
  return now;
}

/* Starts tasks one after the other at PER_SECOND on average.  The three
   records of a start come at random times, as those of independent tasks do,
   so that most entries carry one record.  */
static int64_t
spread (struct rr_shard_log *l, struct store *s, int64_t now,
        double per_second, int64_t ms)
{
  struct store before = *s;
  static uint32_t attempts[JOBS];
  unsigned short seed[3] = { 1, 2, 3 };
  const int64_t start = now;
  int job = 0;
  for (int step = 0; now < start + ms; now += 10)
    {
      drive (l, s, now);
      if (erand48 (seed) >= 3 * per_second / 100)
        continue;
      uint32_t k = attempts[job] + FIRST_SPREAD;
      struct rr_record r = step == 0   ? ended_record (job, 1, k)
                           : step == 1 ? placed_record (job, 1, k + 1)
                                       : running_record (job, 1, k + 1);
      append (l, &r, now);
      step = (step + 1) % 3;
      attempts[job] += step == 0 ? 1 : 0;
      job = step == 0 ? (job + 1) % JOBS : job;
    }
  double time = (double)ms / 1000;
  printf ("%.3f starts/s at random times for %.0f s:\n", per_second, time);
  printf ("  ring %.3f KB/s, %.2f writes/s; snapshots %.3f KB/s, %llu "
          "writes\n",
          (double)(s->ring_bytes - before.ring_bytes) / 1000 / time,
          (double)(s->ring_writes - before.ring_writes) / time,
          (double)(s->snapshot_bytes - before.snapshot_bytes) / 1000 / time,
          (unsigned long long)(s->snapshot_writes - before.snapshot_writes));
  return now;
}

static void
print_sizes (void)
{
  struct rr_record r = job_record (1, 3);
  printf ("encoded bytes: submitted %zu", rr_record_size (&r));
  r = placed_record (1, 0, 1);
  printf (", placed %zu", rr_record_size (&r));
  r = running_record (1, 0, 1);
  printf (", running %zu", rr_record_size (&r));
  r = ended_record (1, 0, 1);
  printf (", ended %zu\n", rr_record_size (&r));
}

static int
compare_double (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;
  return (x > y) - (x < y);
}

/* Measures the recovery of a shard, with the store answering at once, and the
   bytes written per record.  */
int
main (void)
{
  static struct store store;
  struct store *s = &store;
  print_sizes ();
  struct rr_shard_log *l = take_over (s, 1);
  int64_t now = fill (l, s);
  uint8_t *data;
  size_t length;
  struct rr_shard_state *state = rr_shard_log_shard_state (l);
  if (!rr_shard_state_encode (state, &data, &length, NULL))
    return EXIT_FAILURE;
  printf ("%d jobs, %d running tasks: snapshot %zu bytes, reserved %zu of "
          "%d\n",
          JOBS, TASKS, length, rr_shard_state_size (state), RR_SNAPSHOT_MAX);
  double t = seconds ();
  struct rr_shard_state *copy = rr_shard_state_decode (data, length, NULL);
  printf ("decode of the snapshot: %.2f ms\n", (seconds () - t) * 1e3);
  rr_shard_state_free (copy);
  free (data);
  now = churn (l, s, now, 1);
  now = churn (l, s, now, 4);
  /* The design size over 16 shards: 55 starts per second, and 4,000 jobs of 10
     tasks per day.  */
  now = spread (l, s, now + 1000, 55.0 / 16, 600000);
  spread (l, s, now + 1000, 40000.0 / 86400 / 16, 86400000);
  rr_shard_log_free (l);
  double times[ROUNDS];
  s->read_bytes = 0;
  for (int i = 0; i < ROUNDS; i++)
    {
      t = seconds ();
      l = take_over (s, (uint64_t)i + 2);
      times[i] = seconds () - t;
      drive (l, s, 1000);
      rr_shard_log_free (l);
    }
  qsort (times, ROUNDS, sizeof times[0], compare_double);
  printf ("takeover without the store's latency: median %.2f ms, longest "
          "%.2f ms, %zu bytes read\n",
          times[ROUNDS / 2] * 1e3, times[ROUNDS - 1] * 1e3,
          s->read_bytes / ROUNDS);
  s->reads = 0;
  l = new_owner (ROUNDS + 2);
  int64_t end = drive_late (l, s, 0);
  if (rr_shard_log_state (l) != RR_SHARD_OWNER)
    return EXIT_FAILURE;
  printf ("takeover with %d ms per store call: %lld ms, %llu reads\n",
          LATENCY_MS, (long long)end, (unsigned long long)s->reads);
  rr_shard_log_free (l);
  for (int i = 0; i < s->count; i++)
    free (s->values[i].data);
  return EXIT_SUCCESS;
}
