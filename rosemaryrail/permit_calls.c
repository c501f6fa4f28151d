#include "rosemaryrail/permit_calls.h"

#include <assert.h>
#include <string.h>

enum
{
  /* Calls under way that are not overdue: the service handles one at a time,
     and the second keeps it at work while the answer to the first travels.
     More would only wait there in the order in which they were sent, where a
     more urgent step can't overtake them.  */
  CALLS_AHEAD = 2,
  /* A call counts as overdue this long after the service should have answered
     it.  Another one may then go out in its place.  */
  OVERDUE_MS = 1000,
  /* Bounds of the time for which an answer is waited for beyond the time that
     the service needs.  In between, it is the time for which permits are
     valid, after which the answer is of no use.  */
  LATE_MIN_MS = 1000,
  LATE_MAX_MS = 10000,
  /* The service keeps at most 32 calls waiting, so calls that were given up
     don't hold it for longer than about this.  */
  ABANDONED_MAX_MS = 10000,
  /* Longest time beyond the declared one that calls are given because the
     service was slow before.  */
  SLOWNESS_MAX_MS = 10000,
  /* Delay before the next call after one that was refused or got no answer,
     doubled each time.  */
  BACKOFF_MIN_MS = 100,
  BACKOFF_MAX_MS = 1600,
  /* Times that a queue without them in its policy is taken to have.  */
  DEFAULT_DECISION_MS = 100,
  DEFAULT_PER_WORKER_MS = 10,
  DEFAULT_VALID_MS = 1000,
  TIME_MAX_MS = 3600000, /* of a policy; longer times count as this */
  /* Time for a start to arrive while its permit is valid, and the share of a
     short validity that is kept for it at most.  */
  DELIVERY_MS = 150,
  DELIVERY_MAX_PERCENT = 25,
  /* Workers asked for beyond the expected need: one more takes a few
     milliseconds, a second call at least its decision time.  */
  SPARE_WORKERS = 1,
  REFUSALS_MAX = 5 /* that still double the workers in a step's next call */
};

/* Half of the workers are taken to be allowed until calls have shown more.  */
static const double first_asked = 8;
static const double first_allowed = 4;
static const double asked_max = 400; /* older answers then count by half */
static const double share_min = 0.05;
static const double slowdown_max = 100;
static const double slowdown_lost = 2; /* after a call without an answer */
static const double slowdown_decay = 0.75;

/* Initializes C for a daemon that has made no calls.  */
void
rr_permit_calls_init (struct rr_permit_calls *c)
{
  memset (c, 0, sizeof *c);
  c->asked = first_asked;
  c->allowed = first_allowed;
  c->slowdown = 1;
}

static int64_t
clamp (int64_t ms, int64_t min, int64_t max)
{
  if (ms < min)
    return min;
  return ms > max ? max : ms;
}

/* Returns T with missing times replaced by defaults and the others in
   range.  */
struct rr_permit_times
rr_permit_times_check (struct rr_permit_times t)
{
  if (t.decision_ms <= 0 && t.per_worker_ms <= 0)
    {
      t.decision_ms = DEFAULT_DECISION_MS;
      t.per_worker_ms = DEFAULT_PER_WORKER_MS;
    }
  t.decision_ms = clamp (t.decision_ms, 0, TIME_MAX_MS);
  t.per_worker_ms = clamp (t.per_worker_ms, 0, TIME_MAX_MS);
  if (t.valid_ms <= 0)
    t.valid_ms = DEFAULT_VALID_MS;
  t.valid_ms = clamp (t.valid_ms, 0, TIME_MAX_MS);
  return t;
}

/* Returns how long the service needs for a call that lists WORKERS.  */
int64_t
rr_permit_cost_ms (const struct rr_permit_times *t, size_t workers)
{
  return t->decision_ms + t->per_worker_ms * (int64_t)workers;
}

/* Returns how long the service is expected to need for calls that should take
   COST_MS.  */
static int64_t
expected_ms (const struct rr_permit_calls *c, int64_t cost_ms)
{
  return cost_ms
         + clamp ((int64_t)((double)cost_ms * (c->slowdown - 1)), 0,
                  SLOWNESS_MAX_MS);
}

/* Returns how long the service is expected to need for a call that lists
   WORKERS, by what it has needed lately.  */
int64_t
rr_permit_calls_cost_ms (const struct rr_permit_calls *c,
                         const struct rr_permit_times *t, size_t workers)
{
  return expected_ms (c, rr_permit_cost_ms (t, workers));
}

/* Returns for how long permits are valid.  ANSWERED_MS is what the answer
   says; 0: nothing.  */
int64_t
rr_permit_valid_ms (const struct rr_permit_times *t, int64_t answered_ms)
{
  return answered_ms > 0 && answered_ms < t->valid_ms ? answered_ms
                                                      : t->valid_ms;
}

/* Returns how much of the validity of a permit, VALID_MS in all, must be left
   for a start to be sent.  */
int64_t
rr_permit_delivery_ms (int64_t valid_ms)
{
  int64_t share_ms = valid_ms * DELIVERY_MAX_PERCENT / 100;
  return share_ms < DELIVERY_MS ? share_ms : DELIVERY_MS;
}

/* Returns a negative value when A comes before B.  */
int
rr_permit_urgency_compare (const struct rr_permit_urgency *a,
                           const struct rr_permit_urgency *b)
{
  if (a->priority != b->priority)
    return a->priority < b->priority ? -1 : 1;
  if (a->group != b->group)
    return a->group < b->group ? -1 : 1;
  int64_t diff = rr_time_diff (a->due, b->due);
  return diff < 0 ? -1 : diff > 0;
}

/* Returns how many workers to list for a step that needs NEEDED permitted
   workers and got none from its last REFUSALS calls.  */
size_t
rr_permit_calls_workers (const struct rr_permit_calls *c, size_t needed,
                         uint32_t refusals)
{
  double share = c->allowed / c->asked;
  if (share < share_min)
    share = share_min;
  if (refusals > REFUSALS_MAX)
    refusals = REFUSALS_MAX;
  return ((size_t)((double)needed / share + 0.999) + SPARE_WORKERS)
         << refusals;
}

/* Returns how long the next call has to wait: 0 if it may go out now, -1 if
   until a call ends.  */
int64_t
rr_permit_calls_wait_ms (const struct rr_permit_calls *c, struct rr_time now)
{
  size_t open = 0;
  size_t on_time = 0;
  struct rr_time overdue_at = { 0 };
  for (size_t i = 0; i < RR_PERMIT_CALLS_MAX; i++)
    {
      const struct rr_permit_call *call = &c->open[i];
      if (call->number == 0)
        continue;
      open++;
      if (!rr_time_before (now, call->overdue_at))
        continue;
      if (on_time++ == 0 || rr_time_before (call->overdue_at, overdue_at))
        overdue_at = call->overdue_at;
    }
  if (open == RR_PERMIT_CALLS_MAX)
    return -1;
  struct rr_time next = on_time < CALLS_AHEAD ? now : overdue_at;
  if (rr_time_before (next, c->retry_at))
    next = c->retry_at;
  return rr_time_diff (next, now);
}

/* Records that a call that lists WORKERS goes out now, which
   rr_permit_calls_wait_ms allows, and returns its number.  Sets TIMEOUT_MS to
   the time for which its answer is of use, behind all earlier calls that the
   service may still have to handle.  */
uint64_t
rr_permit_calls_begin (struct rr_permit_calls *c,
                       const struct rr_permit_times *t, size_t workers,
                       struct rr_time now, int64_t *timeout_ms)
{
  int64_t work_ms = c->abandoned_ms + rr_permit_cost_ms (t, workers);
  struct rr_permit_call *unused = NULL;
  for (size_t i = 0; i < RR_PERMIT_CALLS_MAX; i++)
    {
      work_ms += c->open[i].number == 0 ? 0 : c->open[i].cost_ms;
      if (c->open[i].number == 0)
        unused = &c->open[i];
    }
  assert (unused != NULL);
  work_ms = expected_ms (c, work_ms);
  unused->number = ++c->last_number;
  unused->cost_ms = rr_permit_cost_ms (t, workers);
  unused->sent = now;
  unused->overdue_at = rr_time_add (now, work_ms + OVERDUE_MS);
  *timeout_ms = work_ms + clamp (t->valid_ms, LATE_MIN_MS, LATE_MAX_MS);
  return unused->number;
}

/* Returns the position of call NUMBER, which is open.  */
static size_t
call_position (const struct rr_permit_calls *c, uint64_t number)
{
  size_t i = 0;
  while (i < RR_PERMIT_CALLS_MAX && c->open[i].number != number)
    i++;
  assert (i < RR_PERMIT_CALLS_MAX);
  return i;
}

/* Returns when the service decided on CALL, whose answer is there NOW, at the
   earliest: it begins with it after it has decided on the calls before.  */
static struct rr_time
decided_earliest (const struct rr_permit_calls *c,
                  const struct rr_permit_call *call, struct rr_time now)
{
  struct rr_time begun = call->sent;
  if (call->number > c->answered_number && rr_time_before (begun, c->decided))
    begun = c->decided;
  struct rr_time decided = rr_time_add (begun, call->cost_ms);
  return rr_time_before (now, decided) ? now : decided;
}

/* Returns the time from which on the permits in the answer to call NUMBER,
   which is there NOW, count as valid for VALID_MS.  The service issues them
   when it has decided, which is not told: it is the earliest such time, unless
   the permits would be of no use by now.  In that case the service took
   longer, or had calls of others to handle, and the answer was sent at once
   when the decision was there; whether the permits are valid is up to the
   workers.  */
struct rr_time
rr_permit_calls_issued (const struct rr_permit_calls *c, uint64_t number,
                        int64_t valid_ms, struct rr_time now)
{
  const struct rr_permit_call *call = &c->open[call_position (c, number)];
  struct rr_time decided = decided_earliest (c, call, now);
  int64_t left_ms = valid_ms - rr_time_diff (now, decided);
  return left_ms > 2 * rr_permit_delivery_ms (valid_ms) ? decided : now;
}

/* Takes note of how long the service has needed for CALL, which is answered
   NOW.  It has handled the calls before it first.  */
static void
slowdown_learn (struct rr_permit_calls *c, const struct rr_permit_call *call,
                struct rr_time now)
{
  struct rr_time begun = call->sent;
  if (call->number > c->answered_number
      && rr_time_before (begun, c->answered_at))
    begun = c->answered_at;
  if (call->cost_ms <= 0)
    return;
  double seen = (double)rr_time_diff (now, begun) / (double)call->cost_ms;
  double kept = seen > c->slowdown ? 1 - slowdown_decay : slowdown_decay;
  c->slowdown = c->slowdown * kept + seen * (1 - kept);
  c->slowdown = c->slowdown < 1 ? 1 : c->slowdown;
  c->slowdown = c->slowdown > slowdown_max ? slowdown_max : c->slowdown;
}

/* Records the end of call NUMBER, in which ALLOWED of ASKED workers were
   allowed if it was answered.  */
void
rr_permit_calls_end (struct rr_permit_calls *c, uint64_t number,
                     enum rr_permit_outcome outcome, size_t asked,
                     size_t allowed, struct rr_time now)
{
  struct rr_permit_call *call = &c->open[call_position (c, number)];
  if (outcome == RR_PERMIT_ANSWERED)
    slowdown_learn (c, call, now);
  else if (outcome == RR_PERMIT_LOST && !rr_time_before (now, call->overdue_at)
           && c->slowdown < slowdown_max)
    c->slowdown *= slowdown_lost;
  if (outcome == RR_PERMIT_ANSWERED && number > c->answered_number)
    {
      c->decided = decided_earliest (c, call, now);
      c->answered_number = number;
      c->answered_at = now;
    }
  call->number = 0;
  if (outcome == RR_PERMIT_ANSWERED)
    {
      c->asked += (double)asked;
      c->allowed += (double)allowed;
      if (c->asked > asked_max)
        {
          c->asked /= 2;
          c->allowed /= 2;
        }
      c->backoff_ms = 0;
      /* Calls are handled in turn, so earlier ones are over.  */
      if (number > c->abandoned_number)
        c->abandoned_ms = 0;
      return;
    }
  if (outcome == RR_PERMIT_LOST)
    {
      c->abandoned_number
          = number > c->abandoned_number ? number : c->abandoned_number;
      c->abandoned_ms
          = clamp (c->abandoned_ms + call->cost_ms, 0, ABANDONED_MAX_MS);
    }
  c->backoff_ms = clamp (c->backoff_ms * 2, BACKOFF_MIN_MS, BACKOFF_MAX_MS);
  c->retry_at = rr_time_add (now, c->backoff_ms);
}
