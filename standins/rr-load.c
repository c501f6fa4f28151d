#include <gsl/gsl_histogram.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "common/http_client.h"
#include "standins/tool.h"

enum
{
  BODY_MAX = 8192,
  DUPLICATE_DELAY_MAX_US = 200000,
  ANSWER_GRACE_MS = 2000, /* a daemon may answer a little past the deadline */
  HISTOGRAM_RANGES = 400  /* 4.7% apart from 1 us to 100 s */
};

/* One sending of a request or job at its scheduled time.  */
struct sending
{
  bool job;
  bool duplicate;
  bool repeatable;
  bool urgent;
  bool unresolved; /* an earlier attempt of this job may have been accepted */
  int index;       /* of the request or job; sendings of one id share it */
  int daemon;
  int attempts;
  int64_t scheduled_us;
  int64_t sent_us;
  uv_timer_t retry;
  char id[96];
};

enum
{
  FLAG_DAEMON,
  FLAG_SERVICE,
  FLAG_REQUESTS,
  FLAG_RATE,
  FLAG_NON_REPEATABLE,
  FLAG_DUPLICATE,
  FLAG_TIMEOUT,
  FLAG_BODY,
  FLAG_JOBS,
  FLAG_JOB_INTERVAL,
  FLAG_JOB_ATTEMPTS,
  FLAG_JOB_RETRY,
  FLAG_TASKS,
  FLAG_TEAM,
  FLAG_CLASS,
  FLAG_WORK,
  FLAG_CORES,
  FLAG_MEMORY,
  FLAG_ACCELERATORS,
  FLAG_URGENT,
  FLAG_SEED,
  FLAG_PREFIX,
  FLAG_LOG,
  FLAGS
};

static struct tool_flag flags[FLAGS] = {
  LIST_FLAG ("daemon", "IP:PORT of a daemon's HTTP address"),
  TEXT_FLAG ("service", "service to call", "check"),
  INT_FLAG ("requests", "requests to send", 0),
  INT_FLAG ("rate", "requests per second", 100),
  INT_FLAG ("non-repeatable-pct", "share of non-repeatable requests", 20),
  INT_FLAG ("duplicate-pct", "share also sent through another daemon", 0),
  INT_FLAG ("timeout-ms", "deadline of a request", 1000),
  INT_FLAG ("body-bytes", "size of a request body", 200),
  INT_FLAG ("jobs", "batch jobs to submit", 0),
  INT_FLAG ("job-interval-ms", "time between jobs", 100),
  INT_FLAG ("job-attempts", "sendings of a job until accepted", 60),
  INT_FLAG ("job-retry-ms", "time between sendings of a job", 500),
  INT_FLAG ("tasks", "tasks of a job", 1),
  TEXT_FLAG ("team", "team of the jobs", "team"),
  TEXT_FLAG ("class", "class of the jobs", "batch"),
  INT_FLAG ("work-ms", "simulated work of a task", 1000),
  INT_FLAG ("cores-milli", "cores of a task", 1000),
  INT_FLAG ("memory-mb", "memory of a task", 1000),
  INT_FLAG ("accelerators", "accelerators of a task", 0),
  INT_FLAG ("urgent-pct", "share of urgent jobs", 0),
  INT_FLAG ("seed", "seed of the schedule", 1),
  TEXT_FLAG ("id-prefix", "prefix of all ids", "load"),
  TEXT_FLAG ("log", "caller log, appended to", NULL),
};

static struct
{
  uv_loop_t loop;
  struct http_client *client;
  FILE *log;
  struct sending *sendings; /* by scheduled time */
  size_t count;
  size_t next;
  size_t open;
  int timer_fd;
  uv_poll_t poll;
  int64_t start_us;
  gsl_histogram *latencies_us;
  int64_t sent;
  int64_t answered;
  int64_t not_run;
  int64_t unknown;
  int64_t no_answer;
  int64_t other;
  int64_t wrong;
  int64_t good;
  int64_t jobs_accepted;
} load;

static size_t
request_body (const struct sending *s, char *body)
{
  int n = snprintf (body, BODY_MAX, "{\"request\":\"%s\",\"text\":\"", s->id);
  size_t at = (size_t)n;
  for (int i = 0; at + 2 < (size_t)flags[FLAG_BODY].number; i++)
    body[at++] = (char)('a' + (s->index + i) % 26);
  body[at++] = '"';
  body[at++] = '}';
  body[at] = '\0';
  return at;
}

static struct json_object *
sending_line (const struct sending *s, const struct http_result *r)
{
  struct json_object *o = tool_object (
      "kind:s id:s daemon:s scheduled_us:i sent_us:i answered_us:i status:d",
      s->job ? "job" : "request", s->id, flags[FLAG_DAEMON].texts[s->daemon],
      s->scheduled_us, s->sent_us, tool_now_us (), r->status);
  if (r->reason != NULL)
    json_add_string (o, "reason", r->reason);
  return o;
}

static void
count_result (const struct sending *s, int status, const char *outcome,
              bool wrong)
{
  if (status == 0)
    load.no_answer++;
  else if (strcmp (outcome, "answered") == 0)
    load.answered++;
  else if (strcmp (outcome, "not-run") == 0)
    load.not_run++;
  else if (strcmp (outcome, "unknown") == 0)
    load.unknown++;
  else
    load.other++;
  load.wrong += wrong;
  if (s->duplicate)
    return;
  /* A rejected, failed or wrong answer counts as one at the deadline, so that
     quick rejections don't improve the percentiles.  */
  double us = (double)(tool_now_us () - s->scheduled_us);
  double deadline = (double)flags[FLAG_TIMEOUT].number * 1000;
  bool good = status == 200 && !wrong && us <= deadline;
  load.good += good;
  gsl_histogram_increment (load.latencies_us,
                           good || us > deadline ? us : deadline);
}

static void
sending_close (void)
{
  load.open--;
  if (load.open == 0)
    uv_stop (&load.loop);
}

static void
on_request_done (void *data, const struct http_result *r)
{
  const struct sending *s = data;
  char outcome[32] = "";
  http_result_header (r, "Request-Outcome", outcome, sizeof outcome);
  const char *check = "none";
  if (r->status == 200)
    {
      static char body[BODY_MAX];
      static char expected[TOOL_ANSWER_MAX];
      size_t len
          = tool_answer_body (s->id, body, request_body (s, body), expected);
      check = len == r->body_length && memcmp (expected, r->body, len) == 0
                  ? "ok"
                  : "wrong";
    }
  struct json_object *o = sending_line (s, r);
  tool_add (o, "repeatable:b duplicate:b outcome:s check:s", s->repeatable,
            s->duplicate, outcome, check);
  tool_write_line (load.log, o);
  count_result (s, r->status, outcome, strcmp (check, "wrong") == 0);
  sending_close ();
}

static void
send_request (struct sending *s)
{
  static char body[BODY_MAX];
  char url[256];
  char timeout[24];
  snprintf (url, sizeof url, "http://%s/v1/services/%s",
            flags[FLAG_DAEMON].texts[s->daemon], flags[FLAG_SERVICE].text);
  snprintf (timeout, sizeof timeout, "%d", flags[FLAG_TIMEOUT].number);
  struct http_header headers[]
      = { { "Request-Id", s->id },
          { "Request-Timeout-Ms", timeout },
          { "Request-Repeatable", s->repeatable ? "true" : "false" } };
  struct http_call call = {
    .method = "POST",
    .url = url,
    .headers = headers,
    .header_count = 3,
    .body = body,
    .body_length = request_body (s, body),
    .timeout_ms = (uint64_t)(flags[FLAG_TIMEOUT].number + ANSWER_GRACE_MS),
    .answer_max_bytes = TOOL_ANSWER_MAX,
    .idempotent = s->repeatable,
  };
  s->sent_us = tool_now_us ();
  load.sent++;
  http_client_send (load.client, &call, on_request_done, s);
}

static void send_job (struct sending *s);

static void
on_job_retry (uv_timer_t *timer)
{
  send_job (timer->data);
}

/* Sends S again later, through the next daemon.  */
static void
retry_job (struct sending *s)
{
  s->daemon = (s->daemon + 1) % flags[FLAG_DAEMON].count;
  tool_timer (&load.loop, &s->retry, on_job_retry, s,
              flags[FLAG_JOB_RETRY].number);
}

static void
on_job_done (void *data, const struct http_result *r)
{
  struct sending *s = data;
  /* A conflict after an unresolved attempt means that the attempt had been
     accepted.  */
  bool accepted = r->status / 100 == 2 || (r->status == 409 && s->unresolved);
  struct json_object *o = sending_line (s, r);
  /* Workers know the job under the id that the daemon gave it.  */
  struct rr_error err = { 0 };
  struct json_object *answer = json_parse (r->body, r->body_length, &err);
  json_add_string (o, "id", json_string_or (answer, "id", s->id));
  json_object_put (answer);
  tool_add (o, "tasks:d accepted:b", flags[FLAG_TASKS].number, accepted);
  tool_write_line (load.log, o);
  load.jobs_accepted += accepted;
  bool unclear = r->state == HTTP_CALL_UNKNOWN || r->status == 504;
  s->unresolved = s->unresolved || unclear;
  bool retry = r->status == 0 || r->status == 429 || r->status >= 500;
  if (!accepted && retry && s->attempts < flags[FLAG_JOB_ATTEMPTS].number)
    retry_job (s);
  else
    sending_close ();
}

static void
send_job (struct sending *s)
{
  struct json_object *o = tool_object (
      "id:s team:s class:s tasks:d cores_milli:d memory_mb:d accelerators:d "
      "work_ms:d urgent:b",
      s->id, flags[FLAG_TEAM].text, flags[FLAG_CLASS].text,
      flags[FLAG_TASKS].number, flags[FLAG_CORES].number,
      flags[FLAG_MEMORY].number, flags[FLAG_ACCELERATORS].number,
      flags[FLAG_WORK].number, s->urgent);
  char url[256];
  snprintf (url, sizeof url, "http://%s/v1/jobs",
            flags[FLAG_DAEMON].texts[s->daemon]);
  struct http_call call = {
    .method = "POST",
    .url = url,
    .body = json_text (o),
    .body_length = strlen (json_text (o)),
    .timeout_ms = (uint64_t)(flags[FLAG_TIMEOUT].number + ANSWER_GRACE_MS),
    .answer_max_bytes = TOOL_ANSWER_MAX,
  };
  s->attempts++;
  s->sent_us = tool_now_us ();
  http_client_send (load.client, &call, on_job_done, s);
  json_object_put (o);
}

/* Arms the timer for the next sending.  libuv's timers are too coarse: their
   millisecond would show in the latency of every request.  */
static void
arm_timer (void)
{
  if (load.next == load.count)
    return;
  int64_t us = load.start_us + load.sendings[load.next].scheduled_us;
  struct itimerspec at = { .it_value = { .tv_sec = us / 1000000,
                                         .tv_nsec = us % 1000000 * 1000 } };
  timerfd_settime (load.timer_fd, TFD_TIMER_ABSTIME, &at, NULL);
}

static void
on_due (uv_poll_t *poll, int status, int events)
{
  (void)poll;
  (void)status;
  (void)events;
  uint64_t expirations;
  if (read (load.timer_fd, &expirations, sizeof expirations) < 0)
    return;
  while (load.next < load.count
         && load.start_us + load.sendings[load.next].scheduled_us
                <= tool_now_us ())
    {
      struct sending *s = &load.sendings[load.next++];
      s->scheduled_us += load.start_us;
      if (s->job)
        send_job (s);
      else
        send_request (s);
    }
  arm_timer ();
}

static int
compare_sendings (const void *a, const void *b)
{
  const struct sending *x = a;
  const struct sending *y = b;
  return (x->scheduled_us > y->scheduled_us)
         - (x->scheduled_us < y->scheduled_us);
}

/* Draws the whole schedule from the seed; times count from the start.  */
static void
plan (void)
{
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (rng, (unsigned long)flags[FLAG_SEED].number);
  size_t requests = (size_t)flags[FLAG_REQUESTS].number;
  size_t jobs = (size_t)flags[FLAG_JOBS].number;
  unsigned long daemons = (unsigned long)flags[FLAG_DAEMON].count;
  load.sendings
      = tool_alloc ((2 * requests + jobs + 1) * sizeof *load.sendings);
  double at_us = 0;
  for (size_t i = 0; i < requests; i++)
    {
      struct sending *s = &load.sendings[load.count++];
      at_us += gsl_ran_exponential (rng, 1e6 / flags[FLAG_RATE].number);
      s->index = (int)i;
      s->scheduled_us = (int64_t)at_us;
      s->daemon = (int)gsl_rng_uniform_int (rng, daemons);
      s->repeatable
          = gsl_rng_uniform (rng) * 100 >= flags[FLAG_NON_REPEATABLE].number;
      snprintf (s->id, sizeof s->id, "%.48s-r%zu", flags[FLAG_PREFIX].text, i);
      if (gsl_rng_uniform (rng) * 100 >= flags[FLAG_DUPLICATE].number)
        continue;
      struct sending *d = &load.sendings[load.count++];
      *d = *s;
      d->duplicate = true;
      d->daemon = (s->daemon + 1) % (int)daemons;
      d->scheduled_us
          += (int64_t)gsl_rng_uniform_int (rng, DUPLICATE_DELAY_MAX_US);
    }
  for (size_t i = 0; i < jobs; i++)
    {
      struct sending *s = &load.sendings[load.count++];
      s->job = true;
      s->index = (int)i;
      s->scheduled_us
          = (int64_t)i * flags[FLAG_JOB_INTERVAL].number * INT64_C (1000);
      s->daemon = (int)gsl_rng_uniform_int (rng, daemons);
      s->urgent = gsl_rng_uniform (rng) * 100 < flags[FLAG_URGENT].number;
      snprintf (s->id, sizeof s->id, "%.48s-j%zu", flags[FLAG_PREFIX].text, i);
    }
  gsl_rng_free (rng);
  qsort (load.sendings, load.count, sizeof *load.sendings, compare_sendings);
  load.open = load.count;
}

/* Returns the upper edge of the range that holds the quantile Q, in ms.  */
static double
quantile_ms (double q)
{
  const gsl_histogram *h = load.latencies_us;
  double rank = q * gsl_histogram_sum (h);
  double seen = 0;
  for (size_t i = 0; i < h->n; i++)
    {
      seen += h->bin[i];
      if (seen > 0 && seen >= rank)
        return h->range[i + 1] / 1000;
    }
  return 0;
}

static void
print_summary (void)
{
  double seconds = (double)(tool_now_us () - load.start_us) / 1e6;
  printf ("requests sent=%lld answered=%lld not_run=%lld unknown=%lld "
          "no_answer=%lld other=%lld wrong=%lld\n",
          (long long)load.sent, (long long)load.answered,
          (long long)load.not_run, (long long)load.unknown,
          (long long)load.no_answer, (long long)load.other,
          (long long)load.wrong);
  printf ("jobs sent=%d accepted=%lld\n", flags[FLAG_JOBS].number,
          (long long)load.jobs_accepted);
  printf ("latency_ms p50=%.3f p99=%.3f p99.9=%.3f\n", quantile_ms (0.5),
          quantile_ms (0.99), quantile_ms (0.999));
  printf ("goodput in_deadline=%lld per_second=%.1f seconds=%.3f\n",
          (long long)load.good, (double)load.good / seconds, seconds);
}

static bool
check_flags (struct rr_error *err)
{
  if (flags[FLAG_DAEMON].count < 1)
    return rr_error_set (err, RR_ERROR_INVALID, "give at least one --daemon");
  if (flags[FLAG_REQUESTS].number < 0 || flags[FLAG_RATE].number < 1
      || flags[FLAG_JOBS].number < 0 || flags[FLAG_TIMEOUT].number < 1
      || flags[FLAG_BODY].number > BODY_MAX - 256)
    return rr_error_set (err, RR_ERROR_INVALID,
                         "a count, rate, time or size is out of range");
  for (int i = 0; i < flags[FLAG_DAEMON].count; i++)
    if (strncmp (flags[FLAG_DAEMON].texts[i], "127.", 4) != 0)
      return rr_error_set (err, RR_ERROR_INVALID,
                           "%s is not a loopback address",
                           flags[FLAG_DAEMON].texts[i]);
  return true;
}

int
main (int argc, char **argv)
{
  int code;
  if (!tool_start (argc, argv, "rr-load",
                   "Callers with an open-loop schedule, for tests.", flags,
                   FLAGS, &load.loop, &code))
    return code;
  struct rr_error err = { 0 };
  if (check_flags (&err))
    load.log = tool_open_log (flags[FLAG_LOG].text, &err);
  if (err.code == RR_OK)
    load.client = http_client_open (&load.loop, &err);
  if (err.code != RR_OK)
    return tool_fail ("rr-load", &err);
  double edges[HISTOGRAM_RANGES + 1];
  for (int i = 0; i <= HISTOGRAM_RANGES; i++)
    edges[i] = pow (10, 8.0 * i / HISTOGRAM_RANGES);
  load.latencies_us = gsl_histogram_alloc (HISTOGRAM_RANGES);
  gsl_histogram_set_ranges (load.latencies_us, edges, HISTOGRAM_RANGES + 1);
  plan ();
  load.timer_fd = timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  uv_poll_init (&load.loop, &load.poll, load.timer_fd);
  uv_poll_start (&load.poll, UV_READABLE, on_due);
  load.start_us = tool_now_us ();
  arm_timer ();
  if (load.open > 0)
    uv_run (&load.loop, UV_RUN_DEFAULT);
  print_summary ();
  gsl_histogram_free (load.latencies_us);
  return EXIT_SUCCESS;
}
