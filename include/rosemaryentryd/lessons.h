#ifndef ROSEMARYENTRYD_LESSONS_H
#define ROSEMARYENTRYD_LESSONS_H

#include "rosemaryentryd/peers.h"

/* What owners of other shards, and former owners, have last said of servers
   and fillers.  Kept by every daemon that is told, so that it need not learn
   everything again when it takes a shard over.  */
struct lessons;

struct lessons *lessons_open (struct entry *e);
void lessons_take (struct lessons *l, const struct lesson_list *list);
void lessons_recall (const struct lessons *l, struct rr_dispatch *d);

#endif
