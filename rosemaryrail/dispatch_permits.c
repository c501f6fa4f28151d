#include "dispatch_private.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Permits of workers to run a step, for queues whose policy is kept by an
   external permit service.  */

enum
{
  REQUEST_RETRY_MS = 200, /* after an unanswered request */
  /* Delay after an answer whose permits workers refuse, doubled each time.  */
  REFUSED_DELAY_MIN_MS = 200,
  REFUSED_DELAY_MAX_MS = 6400,
  /* Which workers may run a step doesn't change.  One that was not in the
     answer is still asked about again after this long, in case the answer was
     not understood.  */
  DENIAL_MS = 10000
};

/* Returns W's permit for the step of NAME, or null when it has no valid
   one.  */
const struct dispatch_permit *
dispatch_permit_find (struct dispatch_job *j, const struct rr_run_name *name,
                      const struct dispatch_worker *w, struct rr_time now)
{
  const struct dispatch_step *s = dispatch_step_of (j, name);
  for (size_t i = 0; i < s->permit_count; i++)
    {
      const struct dispatch_permit *p = &s->permits[i];
      if (rr_handle_equal (p->worker, w->handle)
          && p->started_ms == w->info.started_ms
          && rr_time_before (rr_time_add (now, p->delivery_ms), p->expires))
        return p;
    }
  return NULL;
}

/* Discards W's permit token for the step of NAME.  */
static void
permit_drop (struct dispatch_step *s, const struct dispatch_worker *w)
{
  for (size_t i = 0; i < s->permit_count; i++)
    if (rr_handle_equal (s->permits[i].worker, w->handle))
      {
        rr_text_unref (s->permits[i].token);
        s->permits[i] = s->permits[--s->permit_count];
        return;
      }
}

/* W has refused a start for its permit.  Another request at once would
   probably get permits that are refused as well, and hold up other steps.  */
void
dispatch_permit_refused (struct rr_dispatch *d, struct dispatch_job *j,
                         const struct rr_run_name *name,
                         const struct dispatch_worker *w, struct rr_time now)
{
  struct dispatch_step *s = dispatch_step_of (j, name);
  permit_drop (s, w);
  if (s->answer_refused)
    return;
  s->answer_refused = true;
  s->refused_delay_ms = s->refused_delay_ms == 0 ? REFUSED_DELAY_MIN_MS
                                                 : s->refused_delay_ms * 2;
  if (s->refused_delay_ms > REFUSED_DELAY_MAX_MS)
    s->refused_delay_ms = REFUSED_DELAY_MAX_MS;
  struct rr_time again = rr_time_add (now, s->refused_delay_ms);
  if (rr_time_before (s->request_at, again))
    s->request_at = again;
  dispatch_log_decision (d, "permit_refused",
                         "job=%s step=%d.%d vm=%s next_request_ms=%lld",
                         name->job, name->occurrence, name->step, w->info.id,
                         (long long)rr_time_diff (s->request_at, now));
}

/* A worker has accepted a start of the step of NAME with its permit.  */
void
dispatch_permit_accepted (struct dispatch_job *j,
                          const struct rr_run_name *name)
{
  dispatch_step_of (j, name)->refused_delay_ms = 0;
}

/* Frees the permits of all steps of J.  */
void
dispatch_permits_free (struct dispatch_job *j)
{
  size_t n = j->graph->step_count * (size_t)j->graph->occurrence_count;
  for (size_t i = 0; i < n; i++)
    {
      for (size_t k = 0; k < j->steps[i].permit_count; k++)
        rr_text_unref (j->steps[i].permits[k].token);
      free (j->steps[i].permits);
      free (j->steps[i].denials);
    }
}

static void
denial_remove (struct dispatch_step *s, size_t i)
{
  s->denials[i] = s->denials[--s->denial_count];
}

/* The workers that were asked about and are not permitted by now are denied if
   the call was ANSWERED.  */
static void
denials_settle (struct dispatch_step *s, bool answered, struct rr_time now)
{
  for (size_t i = s->denial_count; i-- > 0;)
    {
      struct dispatch_denial *denial = &s->denials[i];
      if (!denial->pending)
        continue;
      denial->pending = false;
      denial->expires = rr_time_add (now, DENIAL_MS);
      if (!answered)
        denial_remove (s, i);
    }
}

static void
permit_set (struct rr_dispatch *d, struct dispatch_step *s,
            const struct rr_permit *permit, struct rr_time issued,
            int64_t valid_ms)
{
  struct rr_handle h = rr_key_index_get (d->worker_ids, permit->worker);
  const struct dispatch_worker *w = dispatch_worker_get (d, h);
  if (w == NULL)
    return;
  struct dispatch_permit *p = NULL;
  for (size_t i = 0; i < s->permit_count; i++)
    if (rr_handle_equal (s->permits[i].worker, h))
      p = &s->permits[i];
  if (p == NULL)
    {
      s->permits
          = realloc (s->permits, (s->permit_count + 1) * sizeof *s->permits);
      assert (s->permits != NULL);
      p = &s->permits[s->permit_count++];
      p->token = NULL;
    }
  p->worker = h;
  p->started_ms = w->info.started_ms;
  p->expires = rr_time_add (issued, valid_ms);
  p->delivery_ms = rr_permit_delivery_ms (valid_ms);
  rr_text_assign (&p->token, permit->permit_token);
  for (size_t i = s->denial_count; i-- > 0;)
    if (rr_handle_equal (s->denials[i].worker, h))
      denial_remove (s, i);
}

void
rr_dispatch_permits_set (struct rr_dispatch *d, const struct rr_run_name *name,
                         const struct rr_permit *permits, size_t count,
                         int64_t valid_ms, struct rr_time issued,
                         struct rr_time now)
{
  struct dispatch_job *j = dispatch_job_find (d, name->job);
  uint32_t number;
  if (j == NULL || !dispatch_task_number (j, name, &number))
    {
      dispatch_log_decision (d, "permits_unused", "job=%s step=%d.%d",
                             name->job, name->occurrence, name->step);
      return;
    }
  struct dispatch_step *s = dispatch_step_of (j, name);
  s->request_in_flight = false;
  dispatch_log_decision (
      d, "permits", "job=%s step=%d.%d allowed=%zu valid_ms=%lld age_ms=%lld",
      name->job, name->occurrence, name->step, count, (long long)valid_ms,
      (long long)rr_time_diff (now, issued));
  if (permits == NULL)
    {
      denials_settle (s, false, now);
      s->request_at = rr_time_add (now, REQUEST_RETRY_MS);
      return;
    }
  s->answer_refused = false;
  s->permit_refusals = count == 0 ? s->permit_refusals + 1 : 0;
  for (size_t i = 0; i < count; i++)
    permit_set (d, s, &permits[i], issued, valid_ms);
  denials_settle (s, true, now);
}
