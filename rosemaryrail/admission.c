#include "rosemaryrail/admission.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Weight of a new latency in the moving mean, which covers about the last 50
   calls.  A latency counts as at most MEAN_OUTLIER_FACTOR times the mean:
   under a heavy-tailed distribution a single call would otherwise cause all
   requests to be rejected for a while.  */
#define MEAN_WEIGHT 0.02
#define MEAN_OUTLIER_FACTOR 10

/* A call is sent only if this quantile of the latency fits into the time until
   the deadline.  With the median, half of the calls sent last would time out
   and their work would be wasted.  The logarithm of the estimate moves by at
   most NEEDED_STEP, so that one outlier changes it by at most 5%.  */
#define NEEDED_QUANTILE 0.9
#define NEEDED_STEP 0.05

struct queued_request
{
  uint64_t request;
  uint64_t order; /* of arrival; decides between equal deadlines */
  struct rr_time deadline;
  int team;
  bool dropped; /* by a full queue; to be reported as "not run" */
};

struct admission_worker
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
  /* Sorted by deadline.  The queue is bounded, so that moving a few kB on
     insertion is cheaper than a heap for each team.  */
  struct queued_request *queue;
  size_t count;
  /* Requests dropped by a full queue, oldest first.  */
  struct queued_request *dropped;
  size_t dropped_count;
  size_t dropped_capacity;
  struct admission_worker *workers;
  int worker_count;
  struct team *teams;
  int team_count;
  uint64_t order;
  int64_t in_flight;
  double service_ms; /* mean latency, for the rate at which slots free up */
  double needed_ms;  /* NEEDED_QUANTILE of latency, for the deadline */
};

/* Fills O with defaults.  */
void
rr_admission_options_default (struct rr_admission_options *o)
{
  o->queue_limit = 512;
  o->team_limit = 256;
  o->initial_service_ms = 1;
  /* A higher ratio reduces goodput: under sustained overload every request
     then waits until shortly before its deadline, and each slow call misses
     it.  */
  o->max_wait_ratio = 0.3;
  rr_limiter_options_default (&o->limiter);
}

/* Returns the admission control of one service, without workers.  The caller
   frees it with rr_admission_free.  */
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
   removed worker is reused after its last request has ended.  */
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

/* Removes WORKER, which is sent no more requests.  Its requests in flight
   still end with rr_admission_call_ended.  */
void
rr_admission_remove_worker (struct rr_admission *a, int worker)
{
  a->workers[worker].used = false;
}

/* Stops sending new requests to WORKER, or resumes it.  */
void
rr_admission_block_worker (struct rr_admission *a, int worker, bool blocked)
{
  a->workers[worker].blocked = blocked;
}

/* Returns the number of the team NAME, which is added with the default limit
   on first use.  */
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

/* Sets the maximum of requests in flight of TEAM; 0 restores the default.  */
void
rr_admission_set_team_limit (struct rr_admission *a, int team, int64_t limit)
{
  a->teams[team].limit = limit > 0 ? limit : a->options.team_limit;
}

/* Returns the number of waiting requests ahead of (DEADLINE, ORDER).  */
static size_t
queue_rank (const struct rr_admission *a, struct rr_time deadline,
            uint64_t order)
{
  size_t low = 0;
  size_t high = a->count;
  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      const struct queued_request *w = &a->queue[middle];
      if (rr_time_before (w->deadline, deadline)
          || (w->deadline.ms == deadline.ms && w->order < order))
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static void
queue_insert (struct rr_admission *a, const struct queued_request *w)
{
  size_t i = queue_rank (a, w->deadline, w->order);
  memmove (&a->queue[i + 1], &a->queue[i], (a->count - i) * sizeof *a->queue);
  a->queue[i] = *w;
  a->count++;
}

static struct queued_request
queue_remove (struct rr_admission *a, size_t i)
{
  struct queued_request w = a->queue[i];
  a->count--;
  memmove (&a->queue[i], &a->queue[i + 1], (a->count - i) * sizeof *a->queue);
  return w;
}

static void
dropped_append (struct rr_admission *a, const struct queued_request *w)
{
  if (a->dropped_count == a->dropped_capacity)
    {
      a->dropped_capacity
          = a->dropped_capacity == 0 ? 16 : 2 * a->dropped_capacity;
      a->dropped
          = reallocarray (a->dropped, a->dropped_capacity, sizeof *a->dropped);
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

/* Returns whether a request that is sent after WAIT_MS can still be answered
   by DEADLINE.  While a worker is idle, the measured latency is ignored: only
   new responses correct the measurement, so that after a slow phase nearly
   all requests could be rejected for a long time.  */
static bool
deadline_reachable (const struct rr_admission *a, struct rr_time now,
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

/* Returns the expected wait in ms behind AHEAD requests.  The requests that
   exceed the slots of all workers are sent at the rate at which slots free
   up.  */
static double
expected_wait_ms (const struct rr_admission *a, size_t ahead)
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

/* Offers a request, which the caller identifies by REQUEST.  Any result other
   than RR_ADMISSION_QUEUED is final and certain: nothing was sent.  */
enum rr_admission_result
rr_admission_offer (struct rr_admission *a, struct rr_time now,
                    uint64_t request, int team, struct rr_time deadline)
{
  if (!has_worker (a))
    return RR_ADMISSION_NOT_RUN_NO_WORKER;
  struct queued_request w = { request, ++a->order, deadline, team, false };
  size_t ahead = queue_rank (a, deadline, w.order);
  if (!deadline_reachable (a, now, deadline, expected_wait_ms (a, ahead)))
    return RR_ADMISSION_NOT_RUN_DEADLINE;
  if (a->count == a->options.queue_limit)
    {
      if (ahead == a->count)
        return RR_ADMISSION_NOT_RUN_FULL;
      struct queued_request last = queue_remove (a, a->count - 1);
      dropped_append (a, &last);
    }
  queue_insert (a, &w);
  return RR_ADMISSION_QUEUED;
}

/* Removes a waiting request.  Returns false when it is not waiting.  */
bool
rr_admission_withdraw (struct rr_admission *a, uint64_t request)
{
  for (size_t i = 0; i < a->count; i++)
    if (a->queue[i].request == request)
      {
        queue_remove (a, i);
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

/* Takes a slot on the worker that uses the smallest share of its limit and is
   not blocked.  Returns the worker, or -1 when there is no free slot.  */
static int
worker_acquire (struct rr_admission *a)
{
  int best = -1;
  double lowest = 0;
  for (int i = 0; i < a->worker_count; i++)
    {
      struct admission_worker *p = &a->workers[i];
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
  /* The least loaded worker may be at the halved limit at which its baseline
     is measured: use any other.  */
  for (int i = 0; i < a->worker_count; i++)
    if (a->workers[i].used && !a->workers[i].blocked
        && rr_limiter_acquire (&a->workers[i].limiter))
      return i;
  return -1;
}

static struct rr_admission_decision
decision_make (enum rr_admission_action action, const struct queued_request *w)
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

/* Returns the next action at NOW: answer "not run" to a request that a full
   queue dropped or whose deadline can't be met, or send the request with the
   earliest deadline among the teams below their limit.  A team at its limit
   does not delay the others.  */
struct rr_admission_decision
rr_admission_next (struct rr_admission *a, struct rr_time now)
{
  if (a->dropped_count > 0)
    {
      struct queued_request w = a->dropped[0];
      w.dropped = true;
      a->dropped_count--;
      memmove (a->dropped, a->dropped + 1,
               a->dropped_count * sizeof *a->dropped);
      return decision_make (RR_ADMISSION_NOT_RUN, &w);
    }
  if (a->count > 0 && !deadline_reachable (a, now, a->queue[0].deadline, 0))
    {
      struct queued_request w = queue_remove (a, 0);
      return decision_make (RR_ADMISSION_NOT_RUN, &w);
    }
  for (size_t i = 0; i < a->count; i++)
    {
      struct team *t = &a->teams[a->queue[i].team];
      if (t->in_flight >= t->limit)
        continue;
      int worker = worker_acquire (a);
      if (worker < 0)
        break;
      struct queued_request w = queue_remove (a, i);
      t->in_flight++;
      a->in_flight++;
      struct rr_admission_decision decision
          = decision_make (RR_ADMISSION_SEND, &w);
      decision.reason = RR_ADMISSION_QUEUED;
      decision.worker = worker;
      return decision;
    }
  return (struct rr_admission_decision){ .action = RR_ADMISSION_NONE,
                                         .worker = -1 };
}

static void
request_release (struct rr_admission *a, int worker, int team,
                 enum rr_limiter_sample sample, double latency_ms)
{
  rr_limiter_release (&a->workers[worker].limiter, sample, latency_ms);
  a->teams[team].in_flight--;
  a->in_flight--;
}

/* Queues the request of DECISION again, which could not be sent, ahead of
   others with the same deadline, and blocks the worker.  */
void
rr_admission_requeue (struct rr_admission *a,
                      const struct rr_admission_decision *decision)
{
  struct queued_request w
      = { decision->request, 0, decision->deadline, decision->team, false };
  request_release (a, decision->worker, decision->team, RR_SAMPLE_IGNORE, 0);
  a->workers[decision->worker].blocked = true;
  if (a->count == a->options.queue_limit)
    {
      struct queued_request last = queue_remove (a, a->count - 1);
      dropped_append (a, &last);
    }
  queue_insert (a, &w);
}

/* Records the end of a sent request of TEAM on WORKER.  */
void
rr_admission_call_ended (struct rr_admission *a, int worker, int team,
                         enum rr_limiter_sample sample, double latency_ms)
{
  request_release (a, worker, team, sample, latency_ms);
  if (sample != RR_SAMPLE_ANSWERED)
    return;
  double bounded = fmin (latency_ms, MEAN_OUTLIER_FACTOR * a->service_ms);
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

/* Returns the limiter of WORKER, for metrics and diagnostics.  */
const struct rr_limiter *
rr_admission_limiter (const struct rr_admission *a, int worker)
{
  return &a->workers[worker].limiter;
}

/* Returns the mean measured duration of a call in ms.  */
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
