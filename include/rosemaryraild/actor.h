#ifndef ROSEMARYRAILD_ACTOR_H
#define ROSEMARYRAILD_ACTOR_H

#include <stddef.h>
#include <stdint.h>
#include <uv.h>

struct message;

/* A part of the daemon that owns its sockets and state.  Other parts reach it
   only through its mailbox; HANDLE runs for one message at a time.  */
struct actor
{
  const char *name;
  void *state;
  void (*handle) (void *state, struct message *m);
};

/* Delivers the messages of all actors of one loop, in order of sending.  */
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
