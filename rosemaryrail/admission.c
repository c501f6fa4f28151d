#include "rosemaryrail/admission.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Weight of a new latency in the mean: about the last 50 answers count.  One
   latency counts for at most so many times the mean, since in a heavy tail a
   single answer would otherwise reject everything for a while.  */
#define MEAN_WEIGHT 0.02
#define MEAN_OUTLIER 10

/* A call is sent only if this share of calls is answered in the time left: at
   the median, half the calls sent last would time out and their work be
   lost.  The estimate moves by this step of its logarithm, so that one
   outlier moves it by at most 5%.  */
#define NEEDED_QUANTILE 0.9
#define NEEDED_STEP 0.05

struct waiting
{
  uint64_t request;
  uint64_t order; /* arrival, for equal deadlines */
  struct rr_time deadline;
  int team;
  bool dropped; /* left the queue; to be reported as "not run" */
};

struct place
{
  bool used;
  bool blocked;
  struct rr_limiter limiter;
};

struct team
{
  char *name;
  int64_t limit;
  int64_t in_flight;
};

struct rr_admission
{
  struct rr_admission_options options;
  /* Sorted by deadline.  With a bounded queue, moving a few kB on an insertion
     costs less than keeping a heap for each team.  */
  struct waiting *queue;
  size_t count;
  /* Requests that a full queue gave up, oldest first.  */
  struct waiting *dropped;
  size_t dropped_count;
  size_t dropped_room;
  struct place *workers;
  int worker_count;
  struct team *teams;
  int team_count;
  uint64_t order;
  int64_t in_flight;
  double service_ms; /* mean, for the rate at which places get free */
  double needed_ms;  /* NEEDED_QUANTILE, for the deadline */
};

/* Fills O with defaults.  */
void
rr_admission_options_default (struct rr_admission_options *o)
{
  o->queue_limit = 512;
  o->team_limit = 256;
  o->initial_service_ms = 1;
  /* A longer queue than this costs goodput: under lasting overload every
     request then waits until shortly before its deadline, and a slow call is
     late.  */
  o->max_wait_ratio = 0.3;
  rr_limiter_options_default (&o->limiter);
}

/* Returns the admission of one service, without workers; the caller frees it
   with rr_admission_free.  */
struct rr_admission *
rr_admission_new (const struct rr_admission_options *options)
{
  struct rr_admission *a = calloc (1, sizeof *a);
  a->options = *options;
  if (a->options.queue_limit == 0)
    a->options.queue_limit = 1;
  a->queue = calloc (a->options.queue_limit, sizeof *a->queue);
  a->service_ms = a->needed_ms = options->initial_service_ms;
  return a;
}

/* Frees A, which may be null.  */
void
rr_admission_free (struct rr_admission *a)
{
  if (a == NULL)
    return;
  for (int i = 0; i < a->team_count; i++)
    free (a->teams[i].name);
  free (a->teams);
  free (a->workers);
  free (a->queue);
  free (a->dropped);
  free (a);
}

/* Adds a worker that runs the service and returns its number.  The number of a
   removed worker is used again once its last request has ended.  */
int
rr_admission_add_worker (struct rr_admission *a)
{
  int i = 0;
  while (i < a->worker_count
         && (a->workers[i].used || a->workers[i].limiter.in_flight > 0))
    i++;
  if (i == a->worker_count)
    a->workers = reallocarray (a->workers, (size_t)++a->worker_count,
                               sizeof *a->workers);
  a->workers[i].used = true;
  a->workers[i].blocked = false;
  rr_limiter_init (&a->workers[i].limiter, &a->options.limiter);
  return i;
}

/* Sends nothing more to WORKER; its requests in flight still end with
   rr_admission_call_ended.  */
void
rr_admission_remove_worker (struct rr_admission *a, int worker)
{
  a->workers[worker].used = false;
}

/* Withholds new requests from WORKER, or ends that.  */
void
rr_admission_block_worker (struct rr_admission *a, int worker, bool blocked)
{
  a->workers[worker].blocked = blocked;
}

/* Returns the number of the team NAME, added with the default limit on first
   use.  */
int
rr_admission_team (struct rr_admission *a, const char *name)
{
  for (int i = 0; i < a->team_count; i++)
    if (strcmp (a->teams[i].name, name) == 0)
      return i;
  a->teams
      = reallocarray (a->teams, (size_t)a->team_count + 1, sizeof *a->teams);
  a->teams[a->team_count]
      = (struct team){ strdup (name), a->options.team_limit, 0 };
  return a->team_count++;
}

/* Sets how many requests of TEAM may be in flight; 0 restores the default.  */
void
rr_admission_set_team_limit (struct rr_admission *a, int team, int64_t limit)
{
  a->teams[team].limit = limit > 0 ? limit : a->options.team_limit;
}

/* Returns the number of waiting requests that go before (DEADLINE, ORDER).  */
static size_t
rank_of (const struct rr_admission *a, struct rr_time deadline, uint64_t order)
{
  size_t low = 0;
  size_t high = a->count;
  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      const struct waiting *w = &a->queue[middle];
      if (rr_time_before (w->deadline, deadline)
          || (w->deadline.ms == deadline.ms && w->order < order))
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static void
insert (struct rr_admission *a, const struct waiting *w)
{
  size_t i = rank_of (a, w->deadline, w->order);
  memmove (&a->queue[i + 1], &a->queue[i], (a->count - i) * sizeof *a->queue);
  a->queue[i] = *w;
  a->count++;
}

static struct waiting
take (struct rr_admission *a, size_t i)
{
  struct waiting w = a->queue[i];
  a->count--;
  memmove (&a->queue[i], &a->queue[i + 1], (a->count - i) * sizeof *a->queue);
  return w;
}

static void
drop (struct rr_admission *a, const struct waiting *w)
{
  if (a->dropped_count == a->dropped_room)
    {
      a->dropped_room = a->dropped_room == 0 ? 16 : 2 * a->dropped_room;
      a->dropped
          = reallocarray (a->dropped, a->dropped_room, sizeof *a->dropped);
    }
  a->dropped[a->dropped_count++] = *w;
}

static bool
has_idle_worker (const struct rr_admission *a)
{
  for (int i = 0; i < a->worker_count; i++)
    if (a->workers[i].used && !a->workers[i].blocked
        && a->workers[i].limiter.in_flight == 0)
      return true;
  return false;
}

/* Tells whether a request sent after WAIT_MS can still be answered by
   DEADLINE.  While a worker is idle the measured time doesn't count: otherwise
   one slow phase could reject nearly everything for long, since only answers
   correct the measure.  */
static bool
in_time (const struct rr_admission *a, struct rr_time now,
         struct rr_time deadline, double wait_ms)
{
  double left = (double)rr_time_diff (deadline, now);
  if (left <= 0)
    return false;
  if (wait_ms + a->needed_ms <= left
      && wait_ms <= a->options.max_wait_ratio * left)
    return true;
  return has_idle_worker (a);
}

/* Returns the expected wait in ms behind AHEAD requests: those that exceed
   the places of all workers leave at the rate of the places.  */
static double
expected_wait (const struct rr_admission *a, size_t ahead)
{
  double limit = 0;
  for (int i = 0; i < a->worker_count; i++)
    if (a->workers[i].used && !a->workers[i].blocked)
      limit += a->workers[i].limiter.limit;
  double excess = (double)ahead + (double)a->in_flight + 1 - limit;
  if (excess <= 0 || limit <= 0)
    return 0;
  return excess / limit * a->service_ms;
}

static bool
has_worker (const struct rr_admission *a)
{
  for (int i = 0; i < a->worker_count; i++)
    if (a->workers[i].used)
      return true;
  return false;
}

/* Offers a request with the caller's number REQUEST.  Any result but
   RR_ADMISSION_QUEUED is final and truthful: nothing was sent.  */
enum rr_admission_result
rr_admission_offer (struct rr_admission *a, struct rr_time now,
                    uint64_t request, int team, struct rr_time deadline)
{
  if (!has_worker (a))
    return RR_ADMISSION_NOT_RUN_NO_WORKER;
  struct waiting w = { request, ++a->order, deadline, team, false };
  size_t ahead = rank_of (a, deadline, w.order);
  if (!in_time (a, now, deadline, expected_wait (a, ahead)))
    return RR_ADMISSION_NOT_RUN_DEADLINE;
  if (a->count == a->options.queue_limit)
    {
      if (ahead == a->count)
        return RR_ADMISSION_NOT_RUN_FULL;
      struct waiting last = take (a, a->count - 1);
      drop (a, &last);
    }
  insert (a, &w);
  return RR_ADMISSION_QUEUED;
}

/* Removes a waiting request; false when it isn't waiting.  */
bool
rr_admission_withdraw (struct rr_admission *a, uint64_t request)
{
  for (size_t i = 0; i < a->count; i++)
    if (a->queue[i].request == request)
      {
        take (a, i);
        return true;
      }
  for (size_t i = 0; i < a->dropped_count; i++)
    if (a->dropped[i].request == request)
      {
        a->dropped_count--;
        memmove (&a->dropped[i], &a->dropped[i + 1],
                 (a->dropped_count - i) * sizeof *a->dropped);
        return true;
      }
  return false;
}

/* Returns the open worker with the smallest share of its limit in use, or -1.
   Takes a place there.  */
static int
take_worker (struct rr_admission *a)
{
  int best = -1;
  double lowest = 0;
  for (int i = 0; i < a->worker_count; i++)
    {
      struct place *p = &a->workers[i];
      if (!p->used || p->blocked)
        continue;
      double share = (double)p->limiter.in_flight / p->limiter.limit;
      if (best < 0 || share < lowest)
        {
          best = i;
          lowest = share;
        }
    }
  if (best >= 0 && rr_limiter_acquire (&a->workers[best].limiter))
    return best;
  /* The emptiest may be measuring its baseline; any other will do.  */
  for (int i = 0; i < a->worker_count; i++)
    if (a->workers[i].used && !a->workers[i].blocked
        && rr_limiter_acquire (&a->workers[i].limiter))
      return i;
  return -1;
}

static struct rr_admission_decision
make_step (enum rr_admission_action action, const struct waiting *w)
{
  return (struct rr_admission_decision){
    .action = action,
    .reason
    = w->dropped ? RR_ADMISSION_NOT_RUN_FULL : RR_ADMISSION_NOT_RUN_DEADLINE,
    .request = w->request,
    .team = w->team,
    .worker = -1,
    .deadline = w->deadline,
  };
}

/* Returns what to do next at NOW: answer a request that a full queue gave up
   or whose deadline can't be met as "not run", or send the request with the
   earliest deadline among teams below their limit.  A team at its limit does
   not hold up the others.  */
struct rr_admission_decision
rr_admission_next (struct rr_admission *a, struct rr_time now)
{
  if (a->dropped_count > 0)
    {
      struct waiting w = a->dropped[0];
      w.dropped = true;
      a->dropped_count--;
      memmove (a->dropped, a->dropped + 1,
               a->dropped_count * sizeof *a->dropped);
      return make_step (RR_ADMISSION_NOT_RUN, &w);
    }
  if (a->count > 0 && !in_time (a, now, a->queue[0].deadline, 0))
    {
      struct waiting w = take (a, 0);
      return make_step (RR_ADMISSION_NOT_RUN, &w);
    }
  for (size_t i = 0; i < a->count; i++)
    {
      struct team *t = &a->teams[a->queue[i].team];
      if (t->in_flight >= t->limit)
        continue;
      int worker = take_worker (a);
      if (worker < 0)
        break;
      struct waiting w = take (a, i);
      t->in_flight++;
      a->in_flight++;
      struct rr_admission_decision step = make_step (RR_ADMISSION_SEND, &w);
      step.reason = RR_ADMISSION_QUEUED;
      step.worker = worker;
      return step;
    }
  return (struct rr_admission_decision){ .action = RR_ADMISSION_NONE,
                                         .worker = -1 };
}

static void
leave (struct rr_admission *a, int worker, int team,
       enum rr_limiter_sample sample, double latency_ms)
{
  rr_limiter_release (&a->workers[worker].limiter, sample, latency_ms);
  a->teams[team].in_flight--;
  a->in_flight--;
}

/* Takes back a step that could not be sent: the request waits again, before
   others of its deadline, and the worker is blocked.  */
void
rr_admission_requeue (struct rr_admission *a,
                      const struct rr_admission_decision *step)
{
  struct waiting w = { step->request, 0, step->deadline, step->team, false };
  leave (a, step->worker, step->team, RR_SAMPLE_IGNORE, 0);
  a->workers[step->worker].blocked = true;
  if (a->count == a->options.queue_limit)
    {
      struct waiting last = take (a, a->count - 1);
      drop (a, &last);
    }
  insert (a, &w);
}

/* Records the end of a sent request of TEAM on WORKER.  */
void
rr_admission_call_ended (struct rr_admission *a, int worker, int team,
                         enum rr_limiter_sample sample, double latency_ms)
{
  leave (a, worker, team, sample, latency_ms);
  if (sample != RR_SAMPLE_ANSWERED)
    return;
  double bounded = fmin (latency_ms, MEAN_OUTLIER * a->service_ms);
  a->service_ms += MEAN_WEIGHT * (bounded - a->service_ms);
  a->needed_ms *= exp (
      NEEDED_STEP
      * (latency_ms > a->needed_ms ? NEEDED_QUANTILE : NEEDED_QUANTILE - 1));
}

/* Returns the number of waiting requests.  */
size_t
rr_admission_waiting (const struct rr_admission *a)
{
  return a->count;
}

/* Returns the limiter of WORKER, for counters and explanations.  */
const struct rr_limiter *
rr_admission_limiter (const struct rr_admission *a, int worker)
{
  return &a->workers[worker].limiter;
}

/* Returns the mean measured service time in ms.  */
double
rr_admission_service_ms (const struct rr_admission *a)
{
  return a->service_ms;
}

/* Returns the lower-case name of RESULT.  */
const char *
rr_admission_result_name (enum rr_admission_result result)
{
  switch (result)
    {
    case RR_ADMISSION_QUEUED:
      return "queued";
    case RR_ADMISSION_NOT_RUN_DEADLINE:
      return "deadline";
    case RR_ADMISSION_NOT_RUN_FULL:
      return "queue-full";
    case RR_ADMISSION_NOT_RUN_NO_WORKER:
      return "no-worker";
    }
  return "unknown";
}
