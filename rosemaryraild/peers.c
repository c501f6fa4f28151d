#include "rosemaryraild/peers.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "rosemaryraild/config_keeper.h"
#include "rosemaryraild/peers_internal.h"
#include "rosemaryraild/vm_list.h"

enum
{
  TICK_MS = 200,
  VM_LIST_TIMEOUT_MS = 2000
};

/* Returns the VM called NAME, or null.  */
struct vm *
peers_find_vm (const struct peers *p, const char *name)
{
  for (size_t i = 0; i < p->vm_count; i++)
    if (strcmp (p->vms[i]->name, name) == 0)
      return p->vms[i];
  return NULL;
}

static struct vm *
add_vm (struct peers *p)
{
  if (p->vm_count == VMS_MAX)
    return NULL;
  struct vm *v = calloc (1, sizeof *v);
  assert (v != NULL);
  p->vms[p->vm_count++] = v;
  return v;
}

static void
set_address (struct peers *p, struct vm *v, const struct vm_address *at)
{
  bool moved = strcmp (v->at.address, at->address) != 0
               || v->at.rpc_port != at->rpc_port;
  v->at = *at;
  if (moved && v->client != NULL)
    {
      rpc_client_close (v->client);
      v->client = NULL;
    }
  if (v->client == NULL && v->role == RR_ROLE_ENTRY
      && strcmp (v->name, p->d->settings.name) != 0)
    v->client = rpc_client_open (p->d->loop, at->address, at->rpc_port,
                                 ROSEMARYRAIL_PEER, ROSEMARYRAIL_PEER_V1);
}

/* Tells the other actors when something that they depend on changed.  */
static void
announce (struct peers *p)
{
  daemon_broadcast (p->d, MESSAGE_MEMBERSHIP_CHANGED);
}

/* The list numbers VMs, heartbeats number processes: a daemon that was started
   again on its VM is a new incarnation to its peers.  A listed daemon
   therefore counts as the process that was heard last.  */
static uint64_t
daemon_incarnation (const struct peers *p, const struct vm *v)
{
  if (strcmp (v->name, p->d->settings.name) == 0)
    return p->d->incarnation;
  return v->loaded ? v->load.incarnation : 1;
}

static void
take_list (struct peers *p, const char *text, size_t length)
{
  struct rr_error err = { 0 };
  struct vm_list_entry *entries;
  size_t count;
  if (!vm_list_parse (text, length, &entries, &count, &err))
    {
      log_event (LOG_LEVEL_WARN, "vm_list_refused", "reason=\"%s\"",
                 err.message);
      return;
    }
  struct rr_member_info *infos = calloc (count + 1, sizeof *infos);
  assert (infos != NULL);
  for (size_t i = 0; i < count; i++)
    {
      const struct vm_list_entry *e = &entries[i];
      infos[i] = e->info;
      struct vm *v = peers_find_vm (p, e->info.name);
      if (v == NULL)
        v = add_vm (p);
      if (v == NULL)
        continue;
      snprintf (v->name, sizeof v->name, "%s", e->info.name);
      v->role = e->info.role;
      if (v->role == RR_ROLE_ENTRY)
        infos[i].incarnation = daemon_incarnation (p, v);
      v->same_zone = strcmp (e->info.zone, p->d->settings.zone) == 0;
      struct vm_address at
          = { .http_port = e->info.http_port, .rpc_port = e->info.rpc_port };
      snprintf (at.address, sizeof at.address, "%s", e->address);
      set_address (p, v, &at);
    }
  rr_membership_apply_vm_list (p->membership, daemon_now (), infos, count);
  free (infos);
  free (entries);
  char *copy = malloc (length + 1);
  assert (copy != NULL);
  memcpy (copy, text, length);
  copy[length] = '\0';
  free (p->vm_list_text);
  p->vm_list_text = copy;
  p->vm_list_length = length;
  announce (p);
}

static void
on_peer_list (void *data, enum rpc_call_state state, const char *result,
              size_t length)
{
  struct peers *p = data;
  p->vm_list_pending = false;
  peer_text t = { 0 };
  if (state != RPC_CALL_ANSWERED
      || !xdr_decode ((xdrproc_t)xdr_peer_text, &t, result, length))
    return;
  if (t.text.text_len > 0 && p->vm_list_text == NULL)
    take_list (p, t.text.text_val, t.text.text_len);
  xdr_free ((xdrproc_t)xdr_peer_text, &t);
}

/* Asks a daemon of the same zone for the list, which a daemon started during
   a platform outage does not have.  */
static void
ask_peer_for_list (struct peers *p)
{
  for (size_t i = 0; i < p->vm_count; i++)
    {
      struct vm *v = p->vms[i];
      if (v->client == NULL || v->name[0] == '\0' || !v->same_zone)
        continue;
      p->vm_list_pending = true;
      rpc_client_call (v->client, VM_LIST, "", 0, VM_LIST_TIMEOUT_MS,
                       on_peer_list, p);
      return;
    }
}

static void
on_vms (void *data, const struct platform_result *r)
{
  struct peers *p = data;
  p->vm_list_pending = false;
  p->vm_list_due = rr_time_add (daemon_now (), p->d->settings.vm_list_ms);
  if (r->state == PLATFORM_OK)
    take_list (p, r->value, r->length);
  else if (r->state != PLATFORM_UNCHANGED && p->vm_list_text == NULL)
    ask_peer_for_list (p);
}

/* Counts live daemons and announces a change of their number.  */
static void
watch_liveness (struct peers *p, struct rr_time now)
{
  size_t alive = 0;
  for (size_t i = 0; i < rr_membership_count (p->membership); i++)
    {
      const struct rr_member *m = rr_membership_at (p->membership, now, i);
      if (m->info.role == RR_ROLE_ENTRY && m->alive)
        alive++;
    }
  metric_set (&p->d->metrics, METRIC_DAEMONS_ALIVE, (int64_t)alive);
  if (alive == p->alive)
    return;
  log_event (LOG_LEVEL_INFO, "daemons_alive", "count=%zu before=%zu", alive,
             p->alive);
  p->alive = alive;
  announce (p);
}

static void
on_tick (uv_timer_t *timer)
{
  struct peers *p = timer->data;
  struct rr_time now = daemon_now ();
  int64_t paused = rr_pause_check (&p->pause, now);
  if (paused > 0)
    {
      metric_add (&p->d->metrics, METRIC_PAUSES, 1);
      log_event (LOG_LEVEL_WARN, "paused", "duration_ms=%lld",
                 (long long)paused);
      rr_membership_process_resumed (p->membership, paused);
      daemon_broadcast (p->d, MESSAGE_PAUSED);
    }
  if (!p->vm_list_pending && !rr_time_before (now, p->vm_list_due))
    {
      p->vm_list_pending = true;
      platform_get_vm_list (p->d->platform, on_vms, p);
    }
  rr_membership_set_store_lost (p->membership,
                                !platform_reachable (p->d->platform));
  watch_liveness (p, now);
  peers_send_heartbeats (p, now);
}

static void
answer_vm_list (struct peers *p, const struct call_origin *origin)
{
  peer_text t = { .text = { .text_len = (u_int)p->vm_list_length,
                            .text_val = p->vm_list_text } };
  daemon_reply (p->d, origin, (xdrproc_t)xdr_peer_text, &t);
}

static struct actor *
actor_of_procedure (struct daemon *d, uint32_t procedure)
{
  switch (procedure)
    {
    case CONFIG_HEAD:
    case CONFIG_PART:
      return &d->config_actor;
    case REQUEST_FORWARD:
    case TASK_RESERVE:
    case TASK_START:
    case TASK_SEAL:
    case TASK_STOP:
    case GRANT_EXTEND:
    case LEASE_ABANDON:
      return &d->workers_actor;
    case REQUEST_GRANT:
    case REQUEST_RESULT:
    case JOB_SUBMIT:
    case JOB_QUERY:
    case JOB_CANCEL:
    case TASK_ENDED:
      return &d->shards_actor;
    default:
      return NULL;
    }
}

/* Hands a call, whoever made it, to the actor that answers it.  */
static void
route_call (struct peers *p, const struct call_origin *origin,
            uint32_t procedure, const char *args, size_t length)
{
  struct daemon *d = p->d;
  if (procedure == HEARTBEAT)
    {
      peers_answer_heartbeat (p, origin, args, length);
      return;
    }
  if (procedure == VM_LIST)
    {
      answer_vm_list (p, origin);
      return;
    }
  struct actor *to = actor_of_procedure (d, procedure);
  if (to == NULL)
    {
      daemon_reject (d, origin);
      return;
    }
  struct message m = { .type = MESSAGE_RPC_REQUEST };
  m.u.rpc_request.origin = *origin;
  m.u.rpc_request.procedure = procedure;
  m.u.rpc_request.args = malloc (length + 1);
  assert (m.u.rpc_request.args != NULL);
  memcpy (m.u.rpc_request.args, args, length);
  m.u.rpc_request.length = length;
  daemon_send (d, to, &m);
}

static void
on_rpc_request (void *data, struct rpc_request *request, uint32_t procedure,
                const char *args, size_t length)
{
  struct call_origin origin = { .request = request };
  route_call (data, &origin, procedure, args, length);
}

/* Carries a call of another actor to the peer and its answer back.  */
struct relayed_call
{
  struct daemon *d;
  struct call_origin origin;
};

static void
relay_done (void *data, enum rpc_call_state state, const char *result,
            size_t length)
{
  struct relayed_call *call = data;
  struct message m = { .type = MESSAGE_RPC_DONE };
  m.u.rpc_done.done = call->origin.done;
  m.u.rpc_done.data = call->origin.data;
  m.u.rpc_done.state = state;
  if (length > 0)
    {
      m.u.rpc_done.result = malloc (length);
      assert (m.u.rpc_done.result != NULL);
      memcpy (m.u.rpc_done.result, result, length);
      m.u.rpc_done.length = length;
    }
  daemon_send (call->d, call->origin.from, &m);
  free (call);
}

static void
handle_call (struct peers *p, const struct message_rpc_call *c)
{
  struct call_origin origin
      = { .from = c->from, .done = c->done, .data = c->data };
  if (strcmp (c->peer, p->d->settings.name) == 0)
    {
      route_call (p, &origin, c->procedure, c->args, c->length);
      return;
    }
  struct relayed_call *call = calloc (1, sizeof *call);
  assert (call != NULL);
  *call = (struct relayed_call){ p->d, origin };
  struct vm *v = peers_find_vm (p, c->peer);
  if (v == NULL || v->client == NULL)
    {
      relay_done (call, RPC_CALL_NOT_SENT, NULL, 0);
      return;
    }
  rpc_client_call (v->client, c->procedure, c->args, c->length, c->timeout_ms,
                   relay_done, call);
}

/* Handles one message to the peers actor.  */
void
peers_handle (void *state, struct message *m)
{
  struct peers *p = state;
  switch (m->type)
    {
    case MESSAGE_RPC_CALL:
      handle_call (p, &m->u.rpc_call);
      break;
    case MESSAGE_CONFIG_CHANGED:
      {
        const struct rr_config *c = config_keeper_config (p->d->config);
        const char *names[1024];
        size_t n = 0;
        for (; n < c->drain_count && n < 1024; n++)
          names[n] = c->drains[n].vm;
        rr_membership_set_drains (
            p->membership, daemon_now (),
            (uint64_t)config_keeper_generation (p->d->config), names, n);
        announce (p);
        break;
      }
    case MESSAGE_STOP:
      rr_membership_set_leaving (p->membership, daemon_now (),
                                 RR_SOURCE_REPORT, p->d->settings.name,
                                 p->d->incarnation);
      announce (p);
      break;
    default:
      message_rpc_done_run (m);
      break;
    }
}

/* Opens the RPC port and starts heartbeats and reads of the VM list.  Returns
   null with ERR when the port can't be opened.  */
struct peers *
peers_open (struct daemon *d, struct rr_error *err)
{
  struct peers *p = calloc (1, sizeof *p);
  assert (p != NULL);
  p->d = d;
  const struct settings *s = &d->settings;
  struct rr_member_info self = { .role = RR_ROLE_ENTRY,
                                 .incarnation = d->incarnation,
                                 .http_port = (uint16_t)s->http_port,
                                 .rpc_port = (uint16_t)s->rpc_port };
  snprintf (self.name, sizeof self.name, "%s", s->name);
  snprintf (self.address, sizeof self.address, "%s", s->name);
  snprintf (self.zone, sizeof self.zone, "%s", s->zone);
  p->membership = rr_membership_new (&self);
  p->server = rpc_server_open (d->loop, s->rpc_address, (uint16_t)s->rpc_port,
                               ROSEMARYRAIL_PEER, ROSEMARYRAIL_PEER_V1,
                               on_rpc_request, p, err);
  if (p->server == NULL)
    {
      rr_membership_free (p->membership);
      free (p);
      return NULL;
    }
  for (size_t i = 0; i < s->seed_peer_count; i++)
    {
      struct vm *v = add_vm (p);
      struct vm_address at = { .rpc_port = s->seed_peers[i].port };
      snprintf (at.address, sizeof at.address, "%s", s->seed_peers[i].address);
      v->role = RR_ROLE_ENTRY;
      set_address (p, v, &at);
    }
  uv_timer_init (d->loop, &p->timer);
  p->timer.data = p;
  uv_timer_start (&p->timer, on_tick, 0, TICK_MS);
  return p;
}

/* Returns the merged view of VMs and daemons.  */
struct rr_membership *
peers_membership (struct peers *p)
{
  return p->membership;
}

/* Looks up how to reach the VM called NAME.  */
bool
peers_vm_address (const struct peers *p, const char *name,
                  struct vm_address *out)
{
  const struct vm *v = peers_find_vm (p, name);
  if (v == NULL)
    return false;
  *out = v->at;
  return true;
}

/* Returns the last heartbeat of the daemon called NAME, or null.  */
const peer_heartbeat *
peers_last_heartbeat (const struct peers *p, const char *name)
{
  const struct vm *v = peers_find_vm (p, name);
  return v != NULL && v->loaded ? &v->load : NULL;
}

/* Returns the number of daemons heard from lately, this one included.  */
size_t
peers_alive_count (struct peers *p)
{
  return p->alive;
}

/* Returns the VM list as last read, or null.  */
const char *
peers_vm_list (const struct peers *p, size_t *length)
{
  *length = p->vm_list_length;
  return p->vm_list_text;
}
