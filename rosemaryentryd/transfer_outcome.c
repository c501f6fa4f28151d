#include "rosemaryentryd/transfer_outcome.h"

#include <string.h>

#include "rosemaryrail/job_graph.h"

/* Returns whether CONFLICT, the answer to a transfer from the shard SOURCE,
   shows that an earlier attempt without an answer has taken effect: the job of
   JOB_KEY is not one of SOURCE any more.  It may have moved on since, or have
   ended.  Other changes conflict as well, such as progress that was stored
   meanwhile; no attempt takes effect after them.  */
bool
transfer_took_effect (const struct store_result *conflict, const char *job_key,
                      const char *source)
{
  for (size_t i = 0; i < conflict->item_count; i++)
    {
      const struct store_item *item = &conflict->items[i];
      struct rr_error err = { 0 };
      if (strcmp (item->key, job_key) != 0 || item->removed)
        continue;
      struct rr_job_graph *g
          = rr_job_graph_decode (item->value, item->value_length, &err);
      bool kept = g != NULL && strcmp (g->shard, source) == 0;
      rr_job_graph_free (g);
      return !kept;
    }
  return true;
}
