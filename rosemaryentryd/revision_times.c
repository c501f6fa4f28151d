#include "rosemaryentryd/revision_times.h"

enum
{
  SPACING_MS = 25 /* between two times, so that they reach back 3.2 s */
};

/* Records that the store showed REVISION as its latest in the response to a
   call of AT.  */
void
revision_times_add (struct revision_times *t, int64_t revision,
                    struct rr_time at)
{
  if (t->count > 0)
    {
      struct revision_time *last
          = &t->ring[(t->count - 1) % REVISION_TIMES_MAX];
      if (rr_time_before (at, last->at))
        return;
      if (revision <= last->revision)
        {
          *last = (struct revision_time){ revision, at };
          return;
        }
      if (rr_time_diff (at, last->at) < SPACING_MS)
        return;
    }
  t->ring[t->count++ % REVISION_TIMES_MAX]
      = (struct revision_time){ revision, at };
}

/* Sets AT to the latest time known at which the store had not passed REVISION,
   so that all changes made before are at or below it.  Returns false when no
   such time is known.  */
bool
revision_times_find (const struct revision_times *t, int64_t revision,
                     struct rr_time *at)
{
  size_t n = t->count < REVISION_TIMES_MAX ? t->count : REVISION_TIMES_MAX;
  for (size_t i = 1; i <= n; i++)
    {
      const struct revision_time *r
          = &t->ring[(t->count - i) % REVISION_TIMES_MAX];
      if (r->revision > revision)
        continue;
      *at = r->at;
      return true;
    }
  return false;
}
