#include "rosemaryrail/run_set.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* Returns the position of the first run of S that is RUN or higher.  */
static size_t
position (const struct rr_run_set *s, uint64_t run)
{
  size_t i = s->count;
  while (i > 0 && s->runs[i - 1] >= run)
    i--;
  return i;
}

bool
rr_run_set_contains (const struct rr_run_set *s, uint64_t run)
{
  size_t i = position (s, run);
  return i < s->count && s->runs[i] == run;
}

/* Adds RUN to S, unless S has it.  */
void
rr_run_set_add (struct rr_run_set *s, uint64_t run)
{
  size_t i = position (s, run);
  if (i < s->count && s->runs[i] == run)
    return;
  s->runs = realloc (s->runs, (s->count + 1) * sizeof *s->runs);
  assert (s->runs != NULL);
  memmove (&s->runs[i + 1], &s->runs[i], (s->count - i) * sizeof *s->runs);
  s->runs[i] = run;
  s->count++;
}

/* Removes the lowest runs of S until there are at most MAX.  */
void
rr_run_set_keep_highest (struct rr_run_set *s, size_t max)
{
  if (s->count <= max)
    return;
  memmove (s->runs, &s->runs[s->count - max], max * sizeof *s->runs);
  s->count = max;
}

/* Makes S a copy of FROM.  */
void
rr_run_set_assign (struct rr_run_set *s, const struct rr_run_set *from)
{
  rr_run_set_clear (s);
  for (size_t i = 0; i < from->count; i++)
    rr_run_set_add (s, from->runs[i]);
}

/* Removes all runs of S and frees its memory.  */
void
rr_run_set_clear (struct rr_run_set *s)
{
  free (s->runs);
  *s = (struct rr_run_set){ 0 };
}
