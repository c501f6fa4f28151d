#ifndef ROSEMARYENTRYD_LINK_H
#define ROSEMARYENTRYD_LINK_H

#include "platform/documents.h"
#include "rosemaryentryd/shard.h"
#include "rosemaryrail/dispatch.h"

/* The connections from a shard's owner to one worker: a look that waits for
   news, and orders.  */
struct link;

/* The owner's side of a link.  */
struct worker_connection_owner
{
  void *data;
  struct rr_dispatch *dispatch;
  int64_t token;
  struct rr_time (*valid_until) (void *data);
  void (*changed) (void *data);
  void (*fenced) (void *data);
};

struct link *worker_connection_open (
    uv_loop_t *loop, const struct worker_connection_owner *owner,
    const struct platform_worker *w, struct rr_handle worker);
void worker_connection_close (struct link *l);
bool worker_connection_same_address (const struct link *l,
                                     const struct platform_worker *w);
const char *worker_connection_worker_id (const struct link *l);
struct rr_handle worker_connection_worker (const struct link *l);
void worker_connection_send (struct link *l, const struct rr_order *o);
void worker_connection_progress_stored (struct link *l);

#endif
