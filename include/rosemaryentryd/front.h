#ifndef ROSEMARYENTRYD_FRONT_H
#define ROSEMARYENTRYD_FRONT_H

#include "rosemaryentryd/entry.h"

/* Callers' requests: submit, look up and cancel jobs; and the health check of
   the load balancer.  */
struct front;

struct front *front_open (struct entry *e, struct rr_error *err);
void front_drain (struct front *f);
size_t front_handled (const struct front *f);
size_t front_in_progress (const struct front *f);

#endif
