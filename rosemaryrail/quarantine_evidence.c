#include "quarantine_evidence.h"

#include <stdlib.h>
#include <string.h>

/* Returns the recorded outcomes of job or task ID, or null.  */
struct rr_subject *
rr_evidence_find (const struct rr_evidence *e, enum rr_subject_kind kind,
                  uint64_t id)
{
  const uint64_t *position
      = rr_id_map_find (&e->index, rr_id_combine (kind, id));
  return position == NULL ? NULL : &e->subjects[*position - 1];
}

/* Removes the subjects without an outcome in the last WINDOW_MS.  */
static void
subjects_expire (struct rr_evidence *e, struct rr_time now, int64_t window_ms)
{
  for (size_t i = 0; i < e->count;)
    {
      struct rr_subject *s = &e->subjects[i];
      if (rr_time_diff (now, s->at) <= window_ms)
        {
          i++;
          continue;
        }
      rr_id_map_remove (&e->index, s->key);
      *s = e->subjects[--e->count];
      if (i < e->count)
        *rr_id_map_put (&e->index, s->key) = i + 1;
    }
}

static struct rr_subject *
subject_get (struct rr_evidence *e, uint64_t key, struct rr_time now,
             int64_t window_ms)
{
  const uint64_t *position = rr_id_map_find (&e->index, key);
  if (position != NULL)
    return &e->subjects[*position - 1];
  if (e->count == e->capacity)
    subjects_expire (e, now, window_ms);
  /* The array grows unless at least a quarter of it is free after the expiry,
     so that the amortised cost of expiry is constant per new subject.  */
  if (e->count >= e->capacity / 2 + e->capacity / 4 || e->capacity == 0)
    {
      e->capacity = e->capacity == 0 ? 64 : e->capacity * 2;
      e->subjects = realloc (e->subjects, e->capacity * sizeof *e->subjects);
      if (e->subjects == NULL)
        abort ();
    }
  struct rr_subject *s = &e->subjects[e->count++];
  memset (s, 0, sizeof *s);
  s->key = key;
  *rr_id_map_put (&e->index, key) = e->count;
  return s;
}

/* Records that job or task ID succeeded or failed on WORKER.  A success
   removes an earlier failure on the same worker.  */
void
rr_evidence_add (struct rr_evidence *e, enum rr_subject_kind kind, uint64_t id,
                 uint64_t worker, bool success, struct rr_time now,
                 int64_t window_ms)
{
  struct rr_subject *s
      = subject_get (e, rr_id_combine (kind, id), now, window_ms);
  s->at = now;
  s->masks_valid = false;
  struct rr_subject_outcome o = { .worker = worker, .at = now };
  int i = 0;
  while (i < s->failure_count && s->failure[i].worker != worker)
    i++;
  if (success)
    {
      if (i < s->failure_count)
        s->failure[i] = s->failure[--s->failure_count];
      if (s->success_count == 0 || s->success[0].worker != worker)
        {
          s->success[1] = s->success[0];
          if (s->success_count < 2)
            s->success_count++;
        }
      s->success[0] = o;
      return;
    }
  if (i == RR_SUBJECT_MAX_WORKERS)
    {
      i = 0;
      for (int j = 1; j < RR_SUBJECT_MAX_WORKERS; j++)
        if (rr_time_before (s->failure[j].at, s->failure[i].at))
          i = j;
    }
  else if (i == s->failure_count)
    s->failure_count++;
  s->failure[i] = o;
}

/* Removes the recorded success of job or task ID on WORKER, which failed after
   it had been confirmed.  */
void
rr_evidence_success_withdraw (struct rr_evidence *e, enum rr_subject_kind kind,
                              uint64_t id, uint64_t worker)
{
  struct rr_subject *s = rr_evidence_find (e, kind, id);
  for (int i = 0; s != NULL && i < s->success_count; i++)
    if (s->success[i].worker == worker)
      {
        s->success[i] = s->success[--s->success_count];
        return;
      }
}

/* Frees the memory of E, but not E itself.  */
void
rr_evidence_free (struct rr_evidence *e)
{
  free (e->subjects);
  rr_id_map_free (&e->index);
  memset (e, 0, sizeof *e);
}
