#include "rosemaryentryd/shard_private.h"

#include <stdio.h>
#include <string.h>

#include "rosemaryentryd/owners.h"
#include "rosemaryentryd/peer_statistics.h"

/* Sends the shard's interference estimates to the owners of the other shards,
   and to the daemon that would take over the shard.  */

/* Merges the estimates LIST of the owner of another shard, or of a former
   owner, into the dispatcher's.  */
void
shard_statistics_merge (struct shard *s, const struct statistics_list *list)
{
  if (strcmp (list->shard, s->record->name) == 0)
    return;
  struct rr_time now = entry_now ();
  for (size_t i = 0; i < list->count; i++)
    rr_dispatch_statistics_merge (s->dispatch, &list->entries[i], now);
}

static bool
already_sent (const char *const *sent_to, size_t n, const char *daemon)
{
  for (size_t i = 0; i < n; i++)
    if (strcmp (sent_to[i], daemon) == 0)
      return true;
  return false;
}

/* Sends the estimates at intervals.  */
void
shard_send_statistics (struct shard *s, struct rr_time now)
{
  if (rr_time_diff (now, s->statistics_sent) < STATISTICS_INTERVAL_MS)
    return;
  s->statistics_sent = now;
  static struct statistics_list list; /* 100 KB */
  list.count = 0;
  snprintf (list.shard, sizeof list.shard, "%s", s->record->name);
  for (int i = 1; i < RR_CLASSES_MAX; i++)
    if (rr_dispatch_statistics_get (s->dispatch, i, (uint64_t)s->fencing_token,
                                    now, &list.entries[list.count]))
      list.count++;
  if (list.count == 0)
    return;
  struct entry *e = s->entry;
  const char *sent_to[SHARDS_MAX + 1] = { e->settings.name };
  size_t n = 1;
  owners_statistics_merge (e->owners, &list);
  for (size_t i = 0; i <= records_shard_count (e->records); i++)
    {
      const char *daemon = i < records_shard_count (e->records)
                               ? records_shard_at (e->records, i)->owner
                               : owners_successor (e->owners, s->record);
      if (daemon[0] == '\0' || already_sent (sent_to, n, daemon))
        continue;
      sent_to[n++] = daemon;
      peers_send_statistics (e->peers, daemon, &list);
    }
}
