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
  TIMER_INTERVAL_MS = 200,
  VM_LIST_TIMEOUT_MS = 2000
};

/* Returns the VM called NAME, or null if it is unknown.  */
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
set_endpoint (struct peers *p, struct vm *v, const struct vm_address *endpoint)
{
  bool moved = strcmp (v->endpoint.address, endpoint->address) != 0
               || v->endpoint.rpc_port != endpoint->rpc_port;
  v->endpoint = *endpoint;
  if (moved && v->client != NULL)
    {
      rpc_client_close (v->client);
      v->client = NULL;
    }
  if (v->client == NULL && v->role == RR_ROLE_ENTRY
      && strcmp (v->name, p->d->settings.name) != 0)
    v->client
        = rpc_client_open (p->d->loop, endpoint->address, endpoint->rpc_port,
                           ROSEMARYRAIL_PEER, ROSEMARYRAIL_PEER_V1);
}

/* Notifies all actors that the membership changed.  */
static void
broadcast_membership_change (struct peers *p)
{
  daemon_broadcast (p->d, MESSAGE_MEMBERSHIP_CHANGED);
}

/* Returns the incarnation under which the membership lists the daemon on V.
   The VM list counts incarnations of VMs, heartbeats those of processes, so
   that a daemon restarted on the same VM is a new incarnation to its peers.
   The incarnation of the last heartbeat received is therefore used.  */
static uint64_t
daemon_incarnation (const struct peers *p, const struct vm *v)
{
  if (strcmp (v->name, p->d->settings.name) == 0)
    return p->d->incarnation;
  return v->has_heartbeat ? v->heartbeat.incarnation : 1;
}

/* Logs which entries of LIST were left out, unless the last list had as many
   for the same reason.  */
static void
log_left_out (struct peers *p, const struct vm_list *list)
{
  if (list->left_out > 0
      && (list->left_out != p->vm_list_left_out
          || strcmp (list->reason.message, p->vm_list_reason.message) != 0))
    log_event (LOG_LEVEL_WARN, "vm_list_entries_left_out",
               "entries=%zu of=%zu first_reason=\"%s\"", list->left_out,
               list->left_out + list->count, list->reason.message);
  p->vm_list_left_out = list->left_out;
  p->vm_list_reason = list->reason;
}

static void
apply_vm_list (struct peers *p, const char *text, size_t length)
{
  struct rr_error err = { 0 };
  struct vm_list list;
  if (!vm_list_parse (text, length, &list, &err))
    {
      log_event (LOG_LEVEL_WARN, "vm_list_refused", "reason=\"%s\"",
                 err.message);
      return;
    }
  struct rr_member_info *infos = calloc (list.count + 1, sizeof *infos);
  assert (infos != NULL);
  for (size_t i = 0; i < list.count; i++)
    {
      const struct vm_list_entry *e = &list.entries[i];
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
      struct vm_address endpoint
          = { .http_port = e->info.http_port, .rpc_port = e->info.rpc_port };
      snprintf (endpoint.address, sizeof endpoint.address, "%s", e->address);
      set_endpoint (p, v, &endpoint);
    }
  rr_membership_apply_vm_list (p->membership, daemon_now (), infos, list.count,
                               list.left_out == 0);
  log_left_out (p, &list);
  free (infos);
  vm_list_free (&list);
  char *copy = malloc (length + 1);
  assert (copy != NULL);
  memcpy (copy, text, length);
  copy[length] = '\0';
  free (p->vm_list_text);
  p->vm_list_text = copy;
  p->vm_list_length = length;
  broadcast_membership_change (p);
}

static void
on_peer_vm_list (void *data, enum rpc_call_state state, const char *result,
                 size_t length)
{
  struct peers *p = data;
  p->vm_list_pending = false;
  peer_text t = { 0 };
  if (state != RPC_CALL_ANSWERED
      || !xdr_decode ((xdrproc_t)xdr_peer_text, &t, result, length))
    return;
  if (t.text.text_len > 0 && p->vm_list_text == NULL)
    apply_vm_list (p, t.text.text_val, t.text.text_len);
  xdr_free ((xdrproc_t)xdr_peer_text, &t);
}

/* Requests the VM list from a daemon of the same zone.  Needed by a daemon
   that starts during a platform outage.  */
static void
request_vm_list_from_peer (struct peers *p)
{
  for (size_t i = 0; i < p->vm_count; i++)
    {
      struct vm *v = p->vms[i];
      if (v->client == NULL || v->name[0] == '\0' || !v->same_zone)
        continue;
      p->vm_list_pending = true;
      rpc_client_call (v->client, VM_LIST, "", 0, VM_LIST_TIMEOUT_MS,
                       on_peer_vm_list, p);
      return;
    }
}

static void
on_vm_list (void *data, const struct platform_result *r)
{
  struct peers *p = data;
  p->vm_list_pending = false;
  p->vm_list_due = rr_time_add (daemon_now (), p->d->settings.vm_list_ms);
  if (r->state == PLATFORM_OK)
    apply_vm_list (p, r->value, r->length);
  else if (r->state != PLATFORM_UNCHANGED && p->vm_list_text == NULL)
    request_vm_list_from_peer (p);
}

/* Counts the live daemons and notifies all actors if their number changed.  */
static void
update_alive_count (struct peers *p, struct rr_time now)
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
  broadcast_membership_change (p);
}

static void
on_timer (uv_timer_t *timer)
{
  struct peers *p = timer->data;
  struct rr_time now = daemon_now ();
  int64_t paused = rr_pause_check (&p->pause_detector, now);
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
      platform_get_vm_list (p->d->platform, on_vm_list, p);
    }
  rr_membership_set_store_lost (p->membership,
                                !platform_reachable (p->d->platform));
  update_alive_count (p, now);
  peers_send_heartbeats (p, now);
}

static void
reply_vm_list (struct peers *p, const struct call_origin *origin)
{
  peer_text t = { .text = { .text_len = (u_int)p->vm_list_length,
                            .text_val = p->vm_list_text } };
  daemon_reply (p->d, origin, (xdrproc_t)xdr_peer_text, &t);
}

static struct actor *
procedure_actor (struct daemon *d, uint32_t procedure)
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

/* Dispatches a call from a peer or from a local actor to the actor that
   implements PROCEDURE.  */
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
      reply_vm_list (p, origin);
      return;
    }
  struct actor *to = procedure_actor (d, procedure);
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

/* A call of another actor that was sent to a peer.  */
struct forwarded_call
{
  struct daemon *d;
  struct call_origin origin;
};

static void
on_forwarded_call_done (void *data, enum rpc_call_state state,
                        const char *result, size_t length)
{
  struct forwarded_call *call = data;
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
forward_call (struct peers *p, const struct message_rpc_call *c)
{
  struct call_origin origin
      = { .from = c->from, .done = c->done, .data = c->data };
  if (strcmp (c->peer, p->d->settings.name) == 0)
    {
      route_call (p, &origin, c->procedure, c->args, c->length);
      return;
    }
  struct forwarded_call *call = calloc (1, sizeof *call);
  assert (call != NULL);
  *call = (struct forwarded_call){ p->d, origin };
  struct vm *v = peers_find_vm (p, c->peer);
  if (v == NULL || v->client == NULL)
    {
      on_forwarded_call_done (call, RPC_CALL_NOT_SENT, NULL, 0);
      return;
    }
  rpc_client_call (v->client, c->procedure, c->args, c->length, c->timeout_ms,
                   on_forwarded_call_done, call);
}

/* Handles one message to the peers actor.  */
void
peers_handle (void *state, struct message *m)
{
  struct peers *p = state;
  switch (m->type)
    {
    case MESSAGE_RPC_CALL:
      forward_call (p, &m->u.rpc_call);
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
        broadcast_membership_change (p);
        break;
      }
    case MESSAGE_STOP:
      rr_membership_set_leaving (p->membership, daemon_now (),
                                 RR_SOURCE_REPORT, p->d->settings.name,
                                 p->d->incarnation);
      broadcast_membership_change (p);
      break;
    default:
      message_rpc_done_run (m);
      break;
    }
}

/* Opens the RPC port and starts sending heartbeats and reading the VM list.
   Returns null and sets ERR if the port can't be opened.  */
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
      struct vm_address endpoint = { .rpc_port = s->seed_peers[i].port };
      snprintf (endpoint.address, sizeof endpoint.address, "%s",
                s->seed_peers[i].address);
      v->role = RR_ROLE_ENTRY;
      set_endpoint (p, v, &endpoint);
    }
  uv_timer_init (d->loop, &p->timer);
  p->timer.data = p;
  uv_timer_start (&p->timer, on_timer, 0, TIMER_INTERVAL_MS);
  return p;
}

/* Returns the membership, merged from the VM list and the heartbeats.  */
struct rr_membership *
peers_membership (struct peers *p)
{
  return p->membership;
}

/* Looks up the address of the VM called NAME.  Returns false if the VM is
   unknown.  */
bool
peers_vm_address (const struct peers *p, const char *name,
                  struct vm_address *out)
{
  const struct vm *v = peers_find_vm (p, name);
  if (v == NULL)
    return false;
  *out = v->endpoint;
  return true;
}

/* Returns the last heartbeat received from the daemon called NAME, or null. */
const peer_heartbeat *
peers_last_heartbeat (const struct peers *p, const char *name)
{
  const struct vm *v = peers_find_vm (p, name);
  return v != NULL && v->has_heartbeat ? &v->heartbeat : NULL;
}

/* Returns the number of live daemons, this one included.  */
size_t
peers_alive_count (struct peers *p)
{
  return p->alive;
}

/* Returns the JSON text of the last VM list read, or null.  */
const char *
peers_vm_list (const struct peers *p, size_t *length)
{
  *length = p->vm_list_length;
  return p->vm_list_text;
}
