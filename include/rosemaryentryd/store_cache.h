#ifndef ROSEMARYENTRYD_STORE_CACHE_H
#define ROSEMARYENTRYD_STORE_CACHE_H

#include "rosemaryentryd/entry.h"

/* A local cache of all keys under a prefix of the store, kept up to date by a
   watch.  */
struct store_cache;

/* Called for every changed item.  Items arrive in the order of their
   revisions, except during a full read, which is done at first and after the
   store has discarded the history that the watch needs.  */
typedef void store_cache_item_fn (void *data, const struct store_item *item);

/* Called when the cache has applied all changes up to a later revision.  */
typedef void store_cache_advanced_fn (void *data);

struct store_cache *store_cache_open (struct entry *e, const char *prefix,
                                      store_cache_item_fn *on_item,
                                      void *data);
bool store_cache_synced (const struct store_cache *c);
struct rr_time store_cache_answered_at (const struct store_cache *c);
struct rr_time store_cache_complete_at (const struct store_cache *c);
int64_t store_cache_revision (const struct store_cache *c);
void store_cache_set_advanced (struct store_cache *c,
                               store_cache_advanced_fn *on_advanced,
                               void *data);
void store_cache_catch_up (struct store_cache *c);
void store_cache_set_read_interval (struct store_cache *c,
                                    uint64_t interval_ms);
void store_cache_set_watch_wait (struct store_cache *c, uint64_t wait_ms);
void store_cache_set_check (struct store_cache *c, uint64_t after_ms);
void store_cache_set_batch_interval (struct store_cache *c,
                                     uint64_t batch_interval_ms);

#endif
