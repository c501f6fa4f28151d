#include "rosemaryentryd/peer_statistics.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryentryd/owners.h"

enum
{
  STATISTICS_SHARDS_MAX = 16 /* the most recent senders are kept */
};

struct kept_statistics
{
  struct statistics_list list;
  struct rr_time received_at;
};

struct peer_statistics
{
  struct entry *entry;
  struct kept_statistics *kept[STATISTICS_SHARDS_MAX];
};

/* Returns the index of the slot for the estimates of SHARD: its own, a free
   one, or the one that was updated longest ago.  */
static size_t
statistics_slot (const struct peer_statistics *l, const char *shard)
{
  size_t oldest = 0;
  for (size_t i = 0; i < STATISTICS_SHARDS_MAX; i++)
    {
      if (l->kept[i] == NULL || strcmp (l->kept[i]->list.shard, shard) == 0)
        return i;
      if (rr_time_before (l->kept[i]->received_at,
                          l->kept[oldest]->received_at))
        oldest = i;
    }
  return oldest;
}

/* Stores a copy of LIST and merges it into the shards that this daemon
   owns.  */
void
peer_statistics_update (struct peer_statistics *l,
                        const struct statistics_list *list)
{
  size_t i = statistics_slot (l, list->shard);
  if (l->kept[i] == NULL)
    l->kept[i] = calloc (1, sizeof *l->kept[i]);
  assert (l->kept[i] != NULL);
  l->kept[i]->list = *list;
  l->kept[i]->received_at = entry_now ();
  owners_statistics_merge (l->entry->owners, list);
}

/* Merges all stored estimates into D, the dispatcher of a shard that this
   daemon has just taken over.  */
void
peer_statistics_merge (const struct peer_statistics *l, struct rr_dispatch *d)
{
  for (size_t i = 0; i < STATISTICS_SHARDS_MAX; i++)
    for (size_t k = 0; l->kept[i] != NULL && k < l->kept[i]->list.count; k++)
      rr_dispatch_statistics_merge (d, &l->kept[i]->list.entries[k],
                                    l->kept[i]->received_at);
}

/* Returns an empty collection.  */
struct peer_statistics *
peer_statistics_open (struct entry *e)
{
  struct peer_statistics *l = calloc (1, sizeof *l);
  assert (l != NULL);
  l->entry = e;
  return l;
}
