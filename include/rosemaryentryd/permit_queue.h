#ifndef ROSEMARYENTRYD_PERMIT_QUEUE_H
#define ROSEMARYENTRYD_PERMIT_QUEUE_H

struct entry;

/* The calls of this daemon to the permit service, for all of its shards.  */
struct permit_queue;

struct permit_queue *permit_queue_open (struct entry *e);
void permit_queue_advance (struct permit_queue *q);

#endif
