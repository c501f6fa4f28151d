#ifndef ROSEMARYRAILD_ACTOR_H
#define ROSEMARYRAILD_ACTOR_H

#include <stddef.h>
#include <stdint.h>
#include <uv.h>

struct message;

/* A part of the daemon with sockets and state of its own.  Other parts send it
   messages; HANDLE runs for one message at a time.  */
struct actor
{
  const char *name;
  void *state;
  void (*handle) (void *state, struct message *m);
};

/* Queue of the messages between the actors of one event loop.  They are
   delivered in the order in which they were sent.  */
struct message_router
{
  uv_prepare_t prepare;
  uv_check_t check;
  struct queued_message *first;
  struct queued_message **last;
};

void message_router_open (struct message_router *router, uv_loop_t *loop);
void actor_send (struct message_router *router, struct actor *to,
                 const struct message *m);

#endif
