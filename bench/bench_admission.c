#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryrail/admission.h"

/* Measures one service under open-loop load in a virtual clock, with and
   without the limiter.  A worker serves SERVERS requests at a time, the others
   wait on it in order of arrival, and each one waiting costs all of them some
   time (switching, caches).  A request past its deadline is not cancelled: the
   worker still completes it, and it keeps its connection and its place in the
   limit until then.  Latency counts from the scheduled time.  */

#define WORKERS 4
#define SERVERS 8
#define SERVICE_MS 5.0
#define SIGMA 0.5 /* of the logarithm of the service time */
#define DEADLINE_MS 50
#define CONNECTIONS 64 /* per worker, as at the current deployments */
#define OVERHEAD 0.005 /* longer service for each request waiting */
#define WARMUP_MS 10000.0
#define RUN_MS 40000.0

enum mode
{
  MODE_NONE,    /* first come, first served, no "not run", no limit */
  MODE_FIXED,   /* deadline queue and early "not run", fixed limit */
  MODE_ADAPTIVE /* the same with the adaptive limit */
};

struct request
{
  double scheduled;
  double sent_at;
  double left; /* service time */
  int worker;
};

struct event
{
  double time;
  int kind; /* 0 arrival, 1 end of service, 2 deadline */
  size_t request;
};

struct worker
{
  int busy;
  int in_flight; /* on this worker, whatever the daemon believes */
  size_t *fifo;
  size_t head;
  size_t tail;
};

struct sim
{
  enum mode mode;
  gsl_rng *rng;
  double rate; /* requests in 1 ms */
  struct request *requests;
  size_t count;
  size_t room;
  struct event *heap;
  size_t heap_count;
  size_t heap_room;
  struct worker workers[WORKERS];
  struct rr_admission *admission;
  struct rr_histogram *latency;
  int team;
  size_t offered;
  size_t good;
  size_t late;
  size_t not_run;
  int highest;
  /* Requests that wait for a connection in MODE_NONE.  */
  size_t *waiting;
  size_t waiting_head;
  size_t waiting_tail;
};

static void
push (struct sim *s, double time, int kind, size_t request)
{
  if (s->heap_count == s->heap_room)
    {
      s->heap_room = s->heap_room == 0 ? 1024 : 2 * s->heap_room;
      s->heap = reallocarray (s->heap, s->heap_room, sizeof *s->heap);
    }
  size_t i = s->heap_count++;
  for (; i > 0 && s->heap[(i - 1) / 2].time > time; i = (i - 1) / 2)
    s->heap[i] = s->heap[(i - 1) / 2];
  s->heap[i] = (struct event){ time, kind, request };
}

static struct event
pop (struct sim *s)
{
  struct event first = s->heap[0];
  struct event last = s->heap[--s->heap_count];
  size_t i = 0;
  for (size_t c = 1; c < s->heap_count; c = 2 * i + 1)
    {
      if (c + 1 < s->heap_count && s->heap[c + 1].time < s->heap[c].time)
        c++;
      if (s->heap[c].time >= last.time)
        break;
      s->heap[i] = s->heap[c];
      i = c;
    }
  s->heap[i] = last;
  return first;
}

static bool
counts (const struct request *r)
{
  return r->scheduled >= WARMUP_MS;
}

static void
serve (struct sim *s, struct worker *w, double now)
{
  while (w->busy < SERVERS && w->head < w->tail)
    {
      size_t i = w->fifo[w->head++];
      double waiting = (double)(w->tail - w->head);
      w->busy++;
      push (s, now + s->requests[i].left * (1 + OVERHEAD * waiting), 1, i);
    }
}

static void
send_request (struct sim *s, size_t i, int worker, double now)
{
  struct worker *w = &s->workers[worker];
  s->requests[i].worker = worker;
  s->requests[i].sent_at = now;
  w->in_flight++;
  if (w->in_flight > s->highest)
    s->highest = w->in_flight;
  /* Room for everything that arrives in one run.  */
  w->fifo[w->tail++] = i;
  serve (s, w, now);
}

static void
drain_waiting (struct sim *s, double now)
{
  while (s->waiting_head < s->waiting_tail)
    {
      int best = 0;
      for (int w = 1; w < WORKERS; w++)
        if (s->workers[w].in_flight < s->workers[best].in_flight)
          best = w;
      if (s->workers[best].in_flight >= CONNECTIONS)
        return;
      send_request (s, s->waiting[s->waiting_head++], best, now);
    }
}

static void
drain (struct sim *s, double now)
{
  if (s->mode == MODE_NONE)
    {
      drain_waiting (s, now);
      return;
    }
  for (;;)
    {
      struct rr_admission_decision step = rr_admission_next (
          s->admission, rr_time_from_ms ((int64_t)floor (now)));
      if (step.action == RR_ADMISSION_NONE)
        return;
      if (step.action == RR_ADMISSION_NOT_RUN)
        s->not_run += counts (&s->requests[step.request]);
      else if (s->workers[step.worker].in_flight < CONNECTIONS)
        send_request (s, step.request, step.worker, now);
      else
        /* The ledger refuses; the end of a request unblocks the worker.  */
        rr_admission_requeue (s->admission, &step);
    }
}

static void
arrive (struct sim *s, size_t i, double now)
{
  struct request *r = &s->requests[i];
  s->offered += counts (r);
  if (s->mode == MODE_NONE)
    {
      s->waiting[s->waiting_tail++] = i;
      drain (s, now);
      return;
    }
  struct rr_time t = rr_time_from_ms ((int64_t)floor (now));
  if (rr_admission_offer (s->admission, t, i, s->team,
                          rr_time_add (t, DEADLINE_MS))
      != RR_ADMISSION_QUEUED)
    s->not_run += counts (r);
  else
    push (s, now + DEADLINE_MS, 2, i);
  drain (s, now);
}

static void
end_service (struct sim *s, size_t i, double now)
{
  struct request *r = &s->requests[i];
  struct worker *w = &s->workers[r->worker];
  double latency = now - r->scheduled;
  w->busy--;
  w->in_flight--;
  if (counts (r))
    {
      rr_histogram_add (s->latency, latency);
      s->good += latency <= DEADLINE_MS;
      s->late += latency > DEADLINE_MS;
    }
  serve (s, w, now);
  if (s->mode != MODE_NONE)
    rr_admission_call_ended (s->admission, r->worker, s->team,
                             RR_SAMPLE_ANSWERED, now - r->sent_at);
  rr_admission_block_worker (s->admission, r->worker, false);
  drain (s, now);
}

static void
schedule (struct sim *s)
{
  double mu = log (SERVICE_MS) - SIGMA * SIGMA / 2;
  s->room = (size_t)(1.2 * s->rate * (WARMUP_MS + RUN_MS)) + 1000;
  s->requests = calloc (s->room, sizeof *s->requests);
  double t = 0;
  while (s->count < s->room)
    {
      t += gsl_ran_exponential (s->rng, 1 / s->rate);
      if (t >= WARMUP_MS + RUN_MS)
        break;
      s->requests[s->count].scheduled = t;
      s->requests[s->count].left = gsl_ran_lognormal (s->rng, mu, SIGMA);
      push (s, t, 0, s->count);
      s->count++;
    }
}

static void
run (enum mode mode, double load, unsigned long seed)
{
  static const char *const names[] = { "none", "fixed", "adaptive" };
  struct sim s = { .mode = mode };
  s.rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (s.rng, seed);
  s.rate = load * WORKERS * SERVERS / SERVICE_MS;
  s.latency = rr_histogram_new ();
  schedule (&s);
  s.waiting = calloc (s.room, sizeof *s.waiting);
  struct rr_admission_options o;
  rr_admission_options_default (&o);
  o.team_limit = 100000;
  o.limiter.max = CONNECTIONS;
  if (mode == MODE_FIXED)
    o.limiter.initial = o.limiter.min = CONNECTIONS;
  s.admission = rr_admission_new (&o);
  s.team = rr_admission_team (s.admission, "all");
  for (int w = 0; w < WORKERS; w++)
    {
      rr_admission_add_worker (s.admission);
      s.workers[w].fifo = calloc (s.room, sizeof (size_t));
    }
  while (s.heap_count > 0)
    {
      struct event e = pop (&s);
      if (e.kind == 0)
        arrive (&s, e.request, e.time);
      else if (e.kind == 1)
        end_service (&s, e.request, e.time);
      else
        drain (&s, e.time);
    }
  printf ("%s,%.0f,%lu,%zu,%.0f,%.1f,%.1f,%.2f,%.2f,%.2f,%d,%.1f\n",
          names[mode], load * 100, seed, s.offered,
          (double)s.good / (RUN_MS / 1000),
          100.0 * (double)s.not_run / (double)s.offered,
          100.0 * (double)s.late / (double)s.offered,
          rr_histogram_quantile (s.latency, 0.5),
          rr_histogram_quantile (s.latency, 0.99),
          rr_histogram_quantile (s.latency, 0.999), s.highest,
          rr_admission_limiter (s.admission, 0)->limit);
  for (int w = 0; w < WORKERS; w++)
    free (s.workers[w].fifo);
  free (s.waiting);
  free (s.requests);
  free (s.heap);
  rr_admission_free (s.admission);
  rr_histogram_free (s.latency);
  gsl_rng_free (s.rng);
}

int
main (int argc, char **argv)
{
  static const double loads[] = { 0.5, 0.75, 0.9, 1.0, 1.1, 1.25, 1.5, 2.0 };
  unsigned long seeds = argc > 1 ? strtoul (argv[1], NULL, 10) : 3;
  puts ("limiter,load_percent,seed,offered,goodput_per_s,not_run_percent,"
        "late_percent,p50_ms,p99_ms,p99.9_ms,most_on_a_worker,last_limit");
  for (size_t l = 0; l < sizeof loads / sizeof loads[0]; l++)
    for (int mode = MODE_NONE; mode <= MODE_ADAPTIVE; mode++)
      for (unsigned long seed = 1; seed <= seeds; seed++)
        run ((enum mode)mode, loads[l], seed);
  return EXIT_SUCCESS;
}
