#include "rosemaryentryd/lessons.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryentryd/owners.h"

enum
{
  LESSON_SHARDS_MAX = 16 /* whose lessons are kept: the last ones heard */
};

struct kept_lessons
{
  struct lesson_list list;
  struct rr_time heard; /* 0: empty */
};

struct lessons
{
  struct entry *entry;
  struct kept_lessons *kept[LESSON_SHARDS_MAX];
};

/* Returns where the lessons of SHARD are kept: its place, a free one, or that
   of the shard that was heard longest ago.  */
static size_t
place_for (const struct lessons *l, const char *shard)
{
  size_t oldest = 0;
  for (size_t i = 0; i < LESSON_SHARDS_MAX; i++)
    {
      if (l->kept[i] == NULL || strcmp (l->kept[i]->list.shard, shard) == 0)
        return i;
      if (rr_time_before (l->kept[i]->heard, l->kept[oldest]->heard))
        oldest = i;
    }
  return oldest;
}

/* Keeps LIST and passes it to the shards that this daemon owns.  */
void
lessons_take (struct lessons *l, const struct lesson_list *list)
{
  size_t i = place_for (l, list->shard);
  if (l->kept[i] == NULL)
    l->kept[i] = calloc (1, sizeof *l->kept[i]);
  assert (l->kept[i] != NULL);
  l->kept[i]->list = *list;
  l->kept[i]->heard = entry_now ();
  owners_lessons_heard (l->entry->owners, list);
}

/* Passes everything that is kept to D, the dispatcher of a shard that this
   daemon begins to own.  */
void
lessons_recall (const struct lessons *l, struct rr_dispatch *d)
{
  for (size_t i = 0; i < LESSON_SHARDS_MAX; i++)
    for (size_t k = 0; l->kept[i] != NULL && k < l->kept[i]->list.count; k++)
      rr_dispatch_lesson_take (d, &l->kept[i]->list.entries[k],
                               l->kept[i]->heard);
}

/* Returns an empty collection.  */
struct lessons *
lessons_open (struct entry *e)
{
  struct lessons *l = calloc (1, sizeof *l);
  assert (l != NULL);
  l->entry = e;
  return l;
}
