#include "dispatch_private.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Requests for permits.  A planning round notes the steps that need them;
   requests are made for them, the most urgent first, as the daemon's calls to
   the permit service allow.  */

enum
{
  /* A job's objective leaves time for one request about this many workers.  */
  REQUEST_WORKERS_MAX = 30,
  /* Delay before the next request, when no permitted worker has capacity.  */
  REQUEST_INTERVAL_MS = 300,
  /* Before all groups of ready jobs.  */
  GROUP_FIRST = -1
};

/* Returns whether W was permitted to run the step S, though its permit may
   have expired.  */
static bool
permitted_before (const struct dispatch_step *s,
                  const struct dispatch_worker *w)
{
  for (size_t i = 0; i < s->permit_count; i++)
    if (rr_handle_equal (s->permits[i].worker, w->handle))
      return s->permits[i].started_ms == w->info.started_ms;
  return false;
}

/* Returns whether the service has not permitted W to run the step S.  */
static bool
denied (const struct dispatch_step *s, const struct dispatch_worker *w,
        struct rr_time now)
{
  for (size_t i = 0; i < s->denial_count; i++)
    if (rr_handle_equal (s->denials[i].worker, w->handle)
        && s->denials[i].started_ms == w->info.started_ms)
      return rr_time_before (now, s->denials[i].expires);
  return false;
}

/* Notes that the service is asked whether W may run the step S.  */
static void
denial_await (struct dispatch_step *s, const struct dispatch_worker *w)
{
  struct dispatch_denial *denial = NULL;
  for (size_t i = 0; i < s->denial_count; i++)
    if (rr_handle_equal (s->denials[i].worker, w->handle))
      denial = &s->denials[i];
  if (denial == NULL)
    {
      s->denials
          = realloc (s->denials, (s->denial_count + 1) * sizeof *s->denials);
      assert (s->denials != NULL);
      denial = &s->denials[s->denial_count++];
    }
  *denial = (struct dispatch_denial){ .worker = w->handle,
                                      .started_ms = w->info.started_ms,
                                      .pending = true };
}

/* Notes that the step of NAME needs permits: no permitted worker has capacity
   for it.  */
void
dispatch_permit_want_add (struct rr_dispatch *d, struct dispatch_job *j,
                          const struct rr_run_name *name, struct rr_time now)
{
  const struct dispatch_step *s = dispatch_step_of (j, name);
  struct dispatch_ready_job ready;
  if (s->request_in_flight || rr_time_before (now, s->request_at)
      || !dispatch_ready_job_init (d, j, &ready, now))
    return;
  if (d->permit_want_count == d->permit_want_capacity)
    {
      d->permit_want_capacity
          = d->permit_want_capacity == 0 ? 16 : d->permit_want_capacity * 2;
      d->permit_wants = realloc (
          d->permit_wants, d->permit_want_capacity * sizeof *d->permit_wants);
      assert (d->permit_wants != NULL);
    }
  struct dispatch_permit_want *want = &d->permit_wants[d->permit_want_count++];
  want->job = j->handle;
  want->name = *name;
  /* A permit is for all tasks of the step, and a gang that found no capacity
     leaves no valid task number in NAME.  */
  want->name.task = 0;
  want->name.run = 0;
  want->urgency = (struct rr_permit_urgency){ .priority = ready.priority,
                                              .group = (int32_t)ready.group,
                                              .due = ready.due };
  /* It has waited so long that it is placed before all others.  */
  if (d->holding)
    want->urgency.group = GROUP_FIRST;
}

/* Returns the most urgent step that needs permits, or null.  */
static struct dispatch_permit_want *
want_first (const struct rr_dispatch *d)
{
  struct dispatch_permit_want *first = NULL;
  for (size_t i = 0; i < d->permit_want_count; i++)
    if (first == NULL
        || rr_permit_urgency_compare (&d->permit_wants[i].urgency,
                                      &first->urgency)
               < 0)
      first = &d->permit_wants[i];
  return first;
}

bool
rr_dispatch_permits_wanted (const struct rr_dispatch *d,
                            struct rr_permit_urgency *urgency)
{
  const struct dispatch_permit_want *want = want_first (d);
  if (want != NULL)
    *urgency = want->urgency;
  return want != NULL;
}

/* The order in which a request lists workers.  Which of them may run a step
   doesn't change.  */
enum candidate_rank
{
  RACK_PERMITTED, /* in the rack of the step, and permitted before */
  RACK_UNKNOWN,
  OTHER_PERMITTED,
  OTHER_UNKNOWN,
  RANK_COUNT
};

/* A worker that a request may list.  */
struct candidate
{
  const struct dispatch_worker *worker;
  size_t position; /* in the table */
  int32_t room;    /* tasks that it has capacity for */
  enum candidate_rank rank;
};

/* Returns the rack in which the tasks of S should run, or null.  That of a
   gang on one rack is the one with capacity for most of its members.  */
static const char *
rack_wanted (const struct rr_job_graph_step *s, const struct candidate *list,
             size_t count)
{
  if (!s->gang || !s->same_rack)
    return s->rack[0] == '\0' ? NULL : s->rack;
  const char *best = NULL;
  int64_t best_room = 0;
  for (size_t i = 0; i < count; i++)
    {
      const char *rack = list[i].worker->info.rack;
      if (rack[0] == '\0' || (best != NULL && strcmp (rack, best) == 0))
        continue;
      int64_t room = 0;
      for (size_t k = i; k < count; k++)
        if (strcmp (list[k].worker->info.rack, rack) == 0)
          room += list[k].room;
      if (room > best_room)
        {
          best = rack;
          best_room = room;
        }
    }
  return best;
}

/* Fills LIST with the workers that have capacity for the step of NAME, the
   permitted ones too, and returns their number.  */
static size_t
candidates_list (struct rr_dispatch *d, struct dispatch_job *j,
                 const struct rr_run_name *name, struct candidate *list,
                 struct rr_time now)
{
  const struct rr_job_graph_step *step = &j->graph->steps[name->step];
  size_t n = 0;
  size_t position = 0;
  struct rr_handle h = { 0 };
  const struct dispatch_worker *w;
  for (; (w = rr_table_next (d->workers, &h)) != NULL; position++)
    {
      int32_t room = dispatch_worker_room (d, w, j, name, now);
      if (room > 0)
        list[n++] = (struct candidate){ w, position, room, OTHER_UNKNOWN };
    }
  const char *rack = rack_wanted (step, list, n);
  for (size_t i = 0; i < n; i++)
    {
      struct candidate *c = &list[i];
      bool known = permitted_before (dispatch_step_of (j, name), c->worker);
      if (rack != NULL && rr_worker_has_label (&c->worker->info, rack))
        c->rank = known ? RACK_PERMITTED : RACK_UNKNOWN;
      else if (known)
        c->rank = OTHER_PERMITTED;
    }
  return n;
}

/* What a request is still to list.  */
struct request_need
{
  int64_t tasks; /* without capacity on workers that are listed or permitted */
  size_t needed; /* workers listed for them */
  size_t max;    /* workers in the request */
  uint32_t refusals;
  struct rr_time valid_at; /* permits that expire before are asked for again */
  struct rr_time now;
  const struct rr_permit_calls *calls;
};

/* Lists the candidates of RANK from FROM to TO (excluded) that have no valid
   permit, as long as the request needs more.  */
static void
candidates_take (struct dispatch_job *j, struct rr_permit_request *request,
                 struct request_need *need, const struct candidate *list,
                 size_t from, size_t to, enum candidate_rank rank)
{
  struct dispatch_step *s = dispatch_step_of (j, &request->name);
  for (size_t i = from; i < to && request->worker_count < need->max; i++)
    {
      const struct candidate *c = &list[i];
      if (need->tasks <= 0
          && request->worker_count >= rr_permit_calls_workers (
                 need->calls, need->needed, need->refusals))
        return;
      if (c->rank != rank || denied (s, c->worker, need->now)
          || dispatch_permit_find (j, &request->name, c->worker,
                                   need->valid_at)
                 != NULL)
        continue;
      request->workers[request->worker_count++] = c->worker->info.id;
      denial_await (s, c->worker);
      need->needed += need->tasks > 0;
      need->tasks -= c->room;
      s->permit_cursor = c->position + 1;
    }
}

/* Lists workers for the step in REQUEST by their rank, and each request goes
   on after the workers of the last one.  A gang needs permits for the workers
   of all members at the same time, so its request may be longer, the capacity
   of permitted workers counts, and permits that may expire before the answer
   is there are asked for again.  */
static void
request_fill (struct rr_dispatch *d, struct dispatch_job *j,
              const struct rr_permit_calls *calls,
              struct rr_permit_request *request, struct rr_time now)
{
  struct dispatch_step *s = dispatch_step_of (j, &request->name);
  const struct rr_job_graph_step *step = &j->graph->steps[request->name.step];
  struct candidate *list
      = calloc (rr_table_count (d->workers) + 1, sizeof *list);
  assert (list != NULL);
  size_t n = candidates_list (d, j, &request->name, list, now);
  struct request_need need
      = { .tasks = s->waiting,
          .max = step->gang ? RR_PERMIT_WORKERS_MAX : REQUEST_WORKERS_MAX,
          .refusals = s->permit_refusals,
          .valid_at = now,
          .now = now,
          .calls = calls };
  if (step->gang)
    {
      size_t listed = n < need.max ? n : need.max;
      need.valid_at = rr_time_add (
          now, rr_permit_calls_cost_ms (calls, &request->times, listed));
    }
  for (size_t i = 0; step->gang && i < n; i++)
    if (dispatch_permit_find (j, &request->name, list[i].worker, need.valid_at)
        != NULL)
      need.tasks -= list[i].room;
  size_t start = 0;
  while (start < n && list[start].position < s->permit_cursor)
    start++;
  for (int rank = 0; rank < RANK_COUNT; rank++)
    {
      candidates_take (j, request, &need, list, start, n,
                       (enum candidate_rank)rank);
      candidates_take (j, request, &need, list, 0, start,
                       (enum candidate_rank)rank);
    }
  free (list);
}

bool
rr_dispatch_permits_request (struct rr_dispatch *d,
                             const struct rr_permit_calls *calls,
                             struct rr_permit_request *request,
                             struct rr_time now)
{
  struct dispatch_permit_want *want = want_first (d);
  if (want == NULL)
    return false;
  memset (request, 0, sizeof *request);
  request->name = want->name;
  struct dispatch_job *j = dispatch_job_get (d, want->job);
  *want = d->permit_wants[--d->permit_want_count];
  if (j == NULL || j->cancelled || j->held)
    return false;
  struct dispatch_step *s = dispatch_step_of (j, &request->name);
  if (s->waiting <= 0 || s->request_in_flight)
    return false;
  if (!s->requested)
    s->permit_cursor = d->permit_start % (rr_table_count (d->workers) + 1);
  request->times
      = rr_permit_times_check (dispatch_queue_policy (d, j)->permit_times);
  request_fill (d, j, calls, request, now);
  s->request_at = rr_time_add (now, REQUEST_INTERVAL_MS);
  if (request->worker_count == 0)
    return false;
  /* Steps that begin at different workers don't all get permits for the same
     few, which soon have no capacity left.  */
  if (!s->requested)
    d->permit_start = s->permit_cursor;
  s->requested = true;
  s->request_in_flight = true;
  dispatch_log_decision (d, "permits_asked", "job=%s step=%d.%d workers=%zu",
                         request->name.job, request->name.occurrence,
                         request->name.step, request->worker_count);
  return true;
}
