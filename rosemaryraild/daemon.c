#include "rosemaryraild/daemon.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

/* Returns this process's clock.  It runs on while the VM is suspended, so that
   leases also end during a suspension.  */
struct rr_time
daemon_now (void)
{
  struct timespec t;
  clock_gettime (CLOCK_BOOTTIME, &t);
  return rr_time_from_ms ((int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000);
}

/* Returns milliseconds since 1970 for records and logs; never used to decide
   whether a lease is in force.  */
int64_t
daemon_wall_ms (void)
{
  struct timespec t;
  clock_gettime (CLOCK_REALTIME, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

/* Sends M to the actor TO of this daemon.  */
void
daemon_send (struct daemon *d, struct actor *to, const struct message *m)
{
  actor_send (&d->message_router, to, m);
}

/* Sends a message without content to every actor.  */
void
daemon_broadcast (struct daemon *d, enum message_type type)
{
  struct message m = { .type = type };
  daemon_send (d, &d->peers_actor, &m);
  daemon_send (d, &d->config_actor, &m);
  daemon_send (d, &d->shards_actor, &m);
  daemon_send (d, &d->workers_actor, &m);
  daemon_send (d, &d->front_actor, &m);
}

/* Calls PROCEDURE of the daemon named PEER, which may be this one.  DONE runs
   once, as part of the actor FROM, after TIMEOUT_MS at the latest.  */
void
daemon_call (struct daemon *d, struct actor *from, const char *peer,
             uint32_t procedure, xdrproc_t proc, void *args,
             uint64_t timeout_ms, rpc_done_fn *done, void *data)
{
  struct message m = { .type = MESSAGE_RPC_CALL };
  struct message_rpc_call *c = &m.u.rpc_call;
  snprintf (c->peer, sizeof c->peer, "%s", peer);
  c->procedure = procedure;
  c->timeout_ms = timeout_ms;
  c->from = from;
  c->done = done;
  c->data = data;
  bool encoded = xdr_encode (proc, args, &c->args, &c->length);
  assert (encoded);
  daemon_send (d, &d->peers_actor, &m);
}

static void
send_done (struct daemon *d, const struct call_origin *origin,
           enum rpc_call_state state, char *result, size_t length)
{
  struct message m = { .type = MESSAGE_RPC_DONE };
  m.u.rpc_done = (struct message_rpc_done){ origin->done, origin->data, state,
                                            result, length };
  daemon_send (d, origin->from, &m);
}

/* Answers a call with RESULT, which the caller still owns.  */
void
daemon_reply (struct daemon *d, const struct call_origin *origin,
              xdrproc_t proc, void *result)
{
  char *bytes;
  size_t length;
  bool encoded = xdr_encode (proc, result, &bytes, &length);
  assert (encoded);
  if (origin->request == NULL)
    {
      send_done (d, origin, RPC_CALL_ANSWERED, bytes, length);
      return;
    }
  rpc_request_reply (origin->request, bytes, length);
  free (bytes);
}

/* Answers that a call was malformed and that nothing was executed.  */
void
daemon_reject (struct daemon *d, const struct call_origin *origin)
{
  if (origin->request == NULL)
    send_done (d, origin, RPC_CALL_REJECTED, NULL, 0);
  else
    rpc_request_reject (origin->request);
}

/* Runs the completion that M carries; false when M is another message.  */
bool
message_rpc_done_run (struct message *m)
{
  if (m->type != MESSAGE_RPC_DONE)
    return false;
  struct message_rpc_done *r = &m->u.rpc_done;
  r->done (r->data, r->state, r->result, r->length);
  return true;
}
