#ifndef ROSEMARYENTRYD_MIRROR_H
#define ROSEMARYENTRYD_MIRROR_H

#include "rosemaryentryd/entry.h"

/* A copy of all keys under a prefix of the store, kept up to date by a
   watch.  */
struct store_cache;

/* Called for every change in the order of revisions; on a first read and after
   lost history in any order.  */
typedef void store_cache_item_fn (void *data, const struct store_item *item);

struct store_cache *store_cache_open (struct entry *e, const char *prefix,
                                      store_cache_item_fn *on_item,
                                      void *data);
bool store_cache_synced (const struct store_cache *m);
struct rr_time store_cache_confirmed_at (const struct store_cache *m);
int64_t store_cache_revision (const struct store_cache *m);
void store_cache_catch_up (struct store_cache *m);
void store_cache_set_batch_interval (struct store_cache *m, uint64_t pause_ms);

#endif
