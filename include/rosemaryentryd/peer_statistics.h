#ifndef ROSEMARYENTRYD_PEER_STATISTICS_H
#define ROSEMARYENTRYD_PEER_STATISTICS_H

#include "rosemaryentryd/peers.h"

/* The last interference estimates that owners of other shards, and former
   owners, have sent.  Every daemon that receives them keeps them, so that it
   does not start without estimates when it takes over a shard.  */
struct peer_statistics;

struct peer_statistics *peer_statistics_open (struct entry *e);
void peer_statistics_update (struct peer_statistics *l,
                             const struct statistics_list *list);
void peer_statistics_merge (const struct peer_statistics *l,
                            struct rr_dispatch *d);

#endif
