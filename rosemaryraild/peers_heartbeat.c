#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryraild/config_keeper.h"
#include "rosemaryraild/peers_internal.h"
#include "rosemaryraild/shards.h"
#include "rosemaryraild/workers.h"

enum
{
  HEARTBEAT_TIMEOUT_MS = 2000,
  LEAVING_MAX = 4096
};

/* What a completed heartbeat needs to know.  */
struct heartbeat_call
{
  struct peers *peers;
  struct vm *vm;
};

/* Builds our heartbeat; its strings belong to others and must not be
   freed, its arrays are in STORAGE.  */
struct heartbeat_storage
{
  peer_leaving leaving[LEAVING_MAX];
  struct rr_leaving entries[LEAVING_MAX];
};

static void
build_heartbeat (struct peers *p, peer_heartbeat *h,
                 struct heartbeat_storage *storage)
{
  struct daemon *d = p->d;
  memset (h, 0, sizeof *h);
  h->name = d->settings.name;
  h->incarnation = d->incarnation;
  h->zone = d->settings.zone;
  h->generation = (uint64_t)config_keeper_generation (d->config);
  h->digest = (char *)config_keeper_digest (d->config);
  h->stopping = d->stopping;
  h->platform_reachable = platform_reachable (d->platform);
  size_t n = rr_membership_leaving_set (p->membership, storage->entries,
                                        LEAVING_MAX);
  if (n > LEAVING_MAX)
    n = LEAVING_MAX;
  for (size_t i = 0; i < n; i++)
    {
      struct rr_leaving *e = &storage->entries[i];
      storage->leaving[i] = (peer_leaving){ .vm = e->address,
                                            .incarnation = e->incarnation,
                                            .source = (u_int)e->source,
                                            .generation = e->generation };
    }
  h->leaving.leaving_len = (u_int)n;
  h->leaving.leaving_val = storage->leaving;
  workers_fill_heartbeat (d->workers, h);
  shards_heartbeat_fill (d->shards, h);
}

static void
take_heartbeat (struct peers *p, const peer_heartbeat *h)
{
  struct rr_time now = daemon_now ();
  static struct rr_leaving leaving[LEAVING_MAX];
  for (u_int i = 0; i < h->leaving.leaving_len; i++)
    {
      const peer_leaving *l = &h->leaving.leaving_val[i];
      snprintf (leaving[i].address, sizeof leaving[i].address, "%s", l->vm);
      leaving[i].incarnation = l->incarnation;
      leaving[i].source = (enum rr_leaving_source)l->source;
      leaving[i].generation = l->generation;
    }
  uint32_t owned = 0;
  for (u_int i = 0; i < h->shards.shards_len; i++)
    if (h->shards.shards_val[i].shard < RR_SHARD_COUNT)
      owned |= 1u << h->shards.shards_val[i].shard;
  struct rr_heartbeat in = { .incarnation = h->incarnation,
                             .leaving = h->stopping,
                             .store_lost = !h->platform_reachable,
                             .config_generation = h->generation,
                             .shards = owned,
                             .leaving_set = leaving,
                             .leaving_count = h->leaving.leaving_len };
  snprintf (in.name, sizeof in.name, "%s", h->name);
  snprintf (in.address, sizeof in.address, "%s", h->name);
  snprintf (in.zone, sizeof in.zone, "%s", h->zone);
  snprintf (in.config_digest, sizeof in.config_digest, "%s", h->digest);
  if (!rr_membership_apply_heartbeat (p->membership, now, &in))
    return;
  struct vm *v = peers_find_vm (p, h->name);
  if (v != NULL)
    {
      v->last_exchange = now;
      v->same_zone = strcmp (h->zone, p->d->settings.zone) == 0;
      if (v->loaded)
        xdr_free ((xdrproc_t)xdr_peer_heartbeat, &v->load);
      char *bytes;
      size_t length;
      memset (&v->load, 0, sizeof v->load);
      v->loaded = xdr_encode ((xdrproc_t)xdr_peer_heartbeat, (void *)h, &bytes,
                              &length)
                  && xdr_decode ((xdrproc_t)xdr_peer_heartbeat, &v->load,
                                 bytes, length);
      free (bytes);
    }
  if ((int64_t)h->generation > config_keeper_generation (p->d->config))
    {
      struct message m = { .type = MESSAGE_CONFIG_HINT };
      snprintf (m.u.config_hint.peer, sizeof m.u.config_hint.peer, "%s",
                h->name);
      m.u.config_hint.generation = (int64_t)h->generation;
      daemon_send (p->d, &p->d->config_actor, &m);
    }
}

/* A seed that answered is known under its name from now on; one that is known
   already, or is this daemon, gets no heartbeats of its own.  */
static void
name_seed (struct peers *p, struct vm *v, const peer_heartbeat *h)
{
  if (v->name[0] != '\0')
    return;
  if (peers_find_vm (p, h->name) != NULL
      || strcmp (h->name, p->d->settings.name) == 0)
    {
      rpc_client_close (v->client);
      v->client = NULL;
      return;
    }
  snprintf (v->name, sizeof v->name, "%s", h->name);
  v->same_zone = strcmp (h->zone, p->d->settings.zone) == 0;
}

static void
on_heartbeat_done (void *data, enum rpc_call_state state, const char *result,
                   size_t length)
{
  struct heartbeat_call *call = data;
  struct peers *p = call->peers;
  call->vm->heartbeat_pending = false;
  peer_heartbeat h = { 0 };
  if (state == RPC_CALL_ANSWERED)
    {
      if (xdr_decode ((xdrproc_t)xdr_peer_heartbeat, &h, result, length))
        {
          name_seed (p, call->vm, &h);
          take_heartbeat (p, &h);
          xdr_free ((xdrproc_t)xdr_peer_heartbeat, &h);
        }
      else
        metric_add (&p->d->metrics, METRIC_RPC_MALFORMED, 1);
    }
  free (call);
}

static void
send_heartbeat (struct peers *p, struct vm *v)
{
  static struct heartbeat_storage storage;
  peer_heartbeat h;
  build_heartbeat (p, &h, &storage);
  char *bytes;
  size_t length;
  if (!xdr_encode ((xdrproc_t)xdr_peer_heartbeat, &h, &bytes, &length))
    return;
  struct heartbeat_call *call = calloc (1, sizeof *call);
  assert (call != NULL);
  *call = (struct heartbeat_call){ p, v };
  v->heartbeat_pending = true;
  v->last_exchange = daemon_now ();
  rpc_client_call (v->client, HEARTBEAT, bytes, length, HEARTBEAT_TIMEOUT_MS,
                   on_heartbeat_done, call);
  free (bytes);
}

/* Starts the heartbeats that are due.  A heartbeat received counts as well as
   one sent, so that each pair of daemons exchanges only one per interval.  */
void
peers_send_heartbeats (struct peers *p, struct rr_time now)
{
  uint64_t version = rr_membership_leaving_version (p->membership);
  bool at_once = version != p->leaving_version;
  p->leaving_version = version;
  for (size_t i = 0; i < p->vm_count; i++)
    {
      struct vm *v = p->vms[i];
      if (v->client == NULL || v->heartbeat_pending)
        continue;
      int64_t interval = v->same_zone || v->name[0] == '\0'
                             ? p->d->settings.heartbeat_zone_ms
                             : p->d->settings.heartbeat_remote_ms;
      if (at_once || rr_time_diff (now, v->last_exchange) >= interval)
        send_heartbeat (p, v);
    }
}

/* Takes a heartbeat of another daemon and answers with ours.  */
void
peers_answer_heartbeat (struct peers *p, const struct call_origin *origin,
                        const char *args, size_t length)
{
  peer_heartbeat in = { 0 };
  if (!xdr_decode ((xdrproc_t)xdr_peer_heartbeat, &in, args, length))
    {
      daemon_reject (p->d, origin);
      return;
    }
  take_heartbeat (p, &in);
  xdr_free ((xdrproc_t)xdr_peer_heartbeat, &in);
  static struct heartbeat_storage storage;
  peer_heartbeat out;
  build_heartbeat (p, &out, &storage);
  daemon_reply (p->d, origin, (xdrproc_t)xdr_peer_heartbeat, &out);
}
