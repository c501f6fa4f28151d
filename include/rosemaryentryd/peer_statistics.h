#ifndef ROSEMARYENTRYD_PEER_STATISTICS_H
#define ROSEMARYENTRYD_PEER_STATISTICS_H

#include "rosemaryentryd/peers.h"

/* What owners of other shards, and former owners, have last said of servers
   and fillers.  Kept by every daemon that is told, so that it need not learn
   everything again when it takes a shard over.  */
struct peer_statistics;

struct peer_statistics *peer_statistics_open (struct entry *e);
void peer_statistics_update (struct peer_statistics *l,
                             const struct statistics_list *list);
void peer_statistics_merge (const struct peer_statistics *l,
                            struct rr_dispatch *d);

#endif
