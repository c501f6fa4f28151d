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
deliver_all (struct message_router *mr)
{
  while (mr->first != NULL)
    {
      struct queued_message *q = mr->first;
      mr->first = q->next;
      if (mr->first == NULL)
        mr->last = &mr->first;
      q->to->handle (q->to->state, &q->message);
      message_free (&q->message);
      free (q);
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

/* Starts delivery on LOOP.  Messages are delivered before the loop waits for
   events and after it handled them, so that a message sent by a callback never
   waits for another event.  */
void
message_router_open (struct message_router *mr, uv_loop_t *loop)
{
  mr->first = NULL;
  mr->last = &mr->first;
  uv_prepare_init (loop, &mr->prepare);
  uv_check_init (loop, &mr->check);
  mr->prepare.data = mr;
  mr->check.data = mr;
  uv_prepare_start (&mr->prepare, on_prepare);
  uv_check_start (&mr->check, on_check);
}

/* Queues a copy of M for TO.  Buffers that M owns now belong to the queue; the
   receiver may take them by setting their pointers to null.  */
void
actor_send (struct message_router *mr, struct actor *to,
            const struct message *m)
{
  struct queued_message *q = calloc (1, sizeof *q);
  assert (q != NULL);
  q->to = to;
  q->message = *m;
  *mr->last = q;
  mr->last = &q->next;
}
