#ifndef ROSEMARYENTRYD_FRONT_H
#define ROSEMARYENTRYD_FRONT_H

#include "rosemaryentryd/entry.h"

/* HTTP servers for callers, who submit, query and cancel jobs, and for the
   load balancer's health checks.  */
struct front;

struct front *front_open (struct entry *e, struct rr_error *err);
void front_drain (struct front *f);
size_t front_handled_count (const struct front *f);
size_t front_in_progress_count (const struct front *f);

#endif
