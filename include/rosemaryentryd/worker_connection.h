#ifndef ROSEMARYENTRYD_WORKER_CONNECTION_H
#define ROSEMARYENTRYD_WORKER_CONNECTION_H

#include "platform/documents.h"
#include "rosemaryentryd/shard.h"
#include "rosemaryrail/dispatch.h"

/* The connection from a shard's owner to one worker.  Polls the worker (a long
   poll that returns when a run ends) and sends it commands.  */
struct worker_connection;

/* The shard owner that opened a connection, and its callbacks.  */
struct worker_connection_owner
{
  void *data;
  struct rr_dispatch *dispatch;
  struct command_window *window;
  /* Returns the time until which the owner may act on the shard.  */
  struct rr_time (*valid_until) (void *data);
  /* The worker has reported, could not be reached, or answered a command.  */
  void (*changed) (void *data);
  /* The worker knows an owner with a higher fencing token.  */
  void (*fenced) (void *data);
};

struct worker_connection *worker_connection_open (
    uv_loop_t *loop, const struct worker_connection_owner *owner,
    const struct platform_worker *w, struct rr_handle worker);
void worker_connection_close (struct worker_connection *c);
bool worker_connection_same_address (const struct worker_connection *c,
                                     const struct platform_worker *w);
const char *worker_connection_worker_id (const struct worker_connection *c);
struct rr_handle worker_connection_worker (const struct worker_connection *c);
void worker_connection_send (struct worker_connection *c,
                             const struct rr_command *command);
void worker_connection_progress_stored (struct worker_connection *c);

#endif
