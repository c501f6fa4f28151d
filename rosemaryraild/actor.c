#include "rosemaryraild/actor.h"

#include <assert.h>
#include <stdlib.h>

#include "rosemaryraild/message.h"

struct queued_message
{
  struct queued_message *next;
  struct actor *to;
  struct message message;
};

static void
deliver_all (struct message_router *router)
{
  while (router->first != NULL)
    {
      struct queued_message *entry = router->first;
      router->first = entry->next;
      if (router->first == NULL)
        router->last = &router->first;
      entry->to->handle (entry->to->state, &entry->message);
      message_free (&entry->message);
      free (entry);
    }
}

static void
on_prepare (uv_prepare_t *p)
{
  deliver_all (p->data);
}

static void
on_check (uv_check_t *c)
{
  deliver_all (c->data);
}

/* Starts delivery on LOOP.  Messages are delivered both before the loop waits
   for events and after it has polled for them, so that a message sent by a
   callback never waits for the next event.  */
void
message_router_open (struct message_router *router, uv_loop_t *loop)
{
  router->first = NULL;
  router->last = &router->first;
  uv_prepare_init (loop, &router->prepare);
  uv_check_init (loop, &router->check);
  router->prepare.data = router;
  router->check.data = router;
  uv_prepare_start (&router->prepare, on_prepare);
  uv_check_start (&router->check, on_check);
}

/* Queues a copy of M for TO.  The queue takes over the buffers that M owns;
   the receiver may take them over by setting their pointers in the message to
   null.  */
void
actor_send (struct message_router *router, struct actor *to,
            const struct message *m)
{
  struct queued_message *entry = calloc (1, sizeof *entry);
  assert (entry != NULL);
  entry->to = to;
  entry->message = *m;
  *router->last = entry;
  router->last = &entry->next;
}
