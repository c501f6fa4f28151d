#include "rosemaryentryd/peers.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "rosemaryentryd/config_view.h"
#include "rosemaryentryd/owners.h"
#include "rosemaryentryd/peer_statistics.h"
#include "rosemaryentryd/peers_xdr.h"
#include "rosemaryentryd/records.h"

enum
{
  PEER_PROGRAM = 0x20524e45, /* from the range for private programs */
  PEER_VERSION = 1,
  PEER_JOB_PHASE = 1,
  PEER_STATISTICS = 2,
  PEER_CONFIG = 3,
  /* A call takes a few milliseconds.  HTTP callers wait for the reply.  */
  PHASE_TIMEOUT_MS = 150,
  STATISTICS_TIMEOUT_MS = 1000,
  CONFIG_SILENCE_MS = 1000, /* while 1 MB arrives over a slow link */
  /* Time until a daemon that did not answer is called again.  */
  UNREACHABLE_RETRY_MS = 1000,
  PEERS_MAX = 256
};

/* The connection to one daemon.  */
struct peer
{
  char daemon[RR_JOB_NAME_SIZE];
  struct settings_peer address;
  struct rpc_client *client;
  bool registered; /* in the store, as far as this daemon knows */
  struct rr_time unregistered_at;
  bool unreachable; /* the last call was not answered */
  struct rr_time last_failure;
};

struct peers
{
  struct entry *entry;
  struct peer peers[PEERS_MAX];
  size_t count;
};

/* A phase query in flight.  */
struct phase_call
{
  struct peer *peer;
  peers_phase_done_fn *done;
  void *data;
};

/* A query for the configuration in flight.  */
struct config_call
{
  struct peer *peer;
  peers_config_done_fn *done;
  void *data;
};

/* Decodes the arguments of CALL into OBJECT.  Returns false when they are
   invalid, after rejecting REQUEST.  */
static bool
read_arguments (struct rpc_request *request, const char *call, xdrproc_t proc,
                void *object, const char *args, size_t length)
{
  if (xdr_decode (proc, object, args, length))
    return true;
  log_event (LOG_LEVEL_WARN, "peer_call_invalid", "call=%s bytes=%zu", call,
             length);
  rpc_request_reject (request);
  return false;
}

static void
reply_phase (struct peers *p, struct rpc_request *request, const char *args,
             size_t length)
{
  struct peer_job query = { .id = "" };
  if (!read_arguments (request, "phase", (xdrproc_t)xdr_peer_job, &query, args,
                       length))
    return;
  const struct job_record *j = records_job (p->entry->records, query.id);
  struct peer_phase reply = { .known = false };
  if (j != NULL && j->accepted)
    {
      const struct shard_record *s
          = records_shard (p->entry->records, j->shard);
      reply.known = s != NULL && owners_serves (p->entry->owners, s);
      reply.phase = j->phase;
      reply.revision = j->progress_revision;
    }
  char *bytes = NULL;
  size_t n = 0;
  if (!xdr_encode ((xdrproc_t)xdr_peer_phase, &reply, &bytes, &n))
    {
      log_event (LOG_LEVEL_ERROR, "peer_answer_not_encoded", "job=%s",
                 query.id);
      rpc_request_reject (request);
      return;
    }
  rpc_request_reply (request, bytes, n);
  free (bytes);
}

static void
reply_config (struct peers *p, struct rpc_request *request, const char *args,
              size_t length)
{
  struct peer_config query = { .text = NULL };
  if (!read_arguments (request, "config", (xdrproc_t)xdr_peer_config, &query,
                       args, length))
    return;
  const struct config_view *v = p->entry->config;
  static char empty[] = "";
  const char *text = config_view_text (v);
  bool newer = config_view_version (v) > query.version;
  struct peer_config reply = { .known = text != NULL,
                               .version = config_view_version (v),
                               .age_ms = config_view_age_ms (v),
                               .text = newer ? (char *)text : empty };
  xdr_free ((xdrproc_t)xdr_peer_config, (char *)&query);
  char *bytes = NULL;
  size_t n = 0;
  if (!xdr_encode ((xdrproc_t)xdr_peer_config, &reply, &bytes, &n))
    {
      log_event (LOG_LEVEL_ERROR, "peer_answer_not_encoded",
                 "call=config version=%lld", (long long)reply.version);
      rpc_request_reject (request);
      return;
    }
  rpc_request_reply (request, bytes, n);
  free (bytes);
}

static void
receive_statistics (struct peers *p, struct rpc_request *request,
                    const char *args, size_t length)
{
  static struct statistics_list list; /* 100 KB, not on the stack */
  memset (&list, 0, sizeof list);
  if (!read_arguments (request, "statistics", (xdrproc_t)xdr_statistics_list,
                       &list, args, length))
    return;
  peer_statistics_update (p->entry->peer_statistics, &list);
  rpc_request_reply (request, "", 0);
}

static void
on_call (void *data, struct rpc_request *request, uint32_t procedure,
         const char *args, size_t length)
{
  struct peers *p = data;
  switch (procedure)
    {
    case PEER_JOB_PHASE:
      reply_phase (p, request, args, length);
      return;
    case PEER_STATISTICS:
      receive_statistics (p, request, args, length);
      return;
    case PEER_CONFIG:
      reply_config (p, request, args, length);
      return;
    default:
      log_event (LOG_LEVEL_WARN, "peer_call_invalid", "procedure=%u",
                 (unsigned)procedure);
      rpc_request_reject (request);
    }
}

static void
peer_update_reachability (struct peer *c, enum rpc_call_state state)
{
  bool unreachable = state != RPC_CALL_ANSWERED;
  if (unreachable != c->unreachable)
    log_event (unreachable ? LOG_LEVEL_WARN : LOG_LEVEL_INFO,
               unreachable ? "peer_unreached" : "peer_reached", "peer=%s",
               c->daemon);
  c->unreachable = unreachable;
  if (unreachable)
    c->last_failure = entry_now ();
}

static void
on_statistics_sent (void *data, enum rpc_call_state state, const char *result,
                    size_t length)
{
  (void)result;
  (void)length;
  peer_update_reachability (data, state);
}

static void
on_phase (void *data, enum rpc_call_state state, const char *result,
          size_t length)
{
  struct phase_call *call = data;
  struct peer_phase phase = { .known = false };
  peer_update_reachability (call->peer, state);
  bool decoded
      = state == RPC_CALL_ANSWERED
        && xdr_decode ((xdrproc_t)xdr_peer_phase, &phase, result, length);
  if (state == RPC_CALL_ANSWERED && !decoded)
    log_event (LOG_LEVEL_WARN, "peer_answer_invalid", "peer=%s bytes=%zu",
               call->peer->daemon, length);
  call->done (call->data, decoded ? &phase : NULL);
  free (call);
}

static void
on_config (void *data, enum rpc_call_state state, const char *result,
           size_t length)
{
  struct config_call *call = data;
  struct peer_config c = { .text = NULL };
  /* A daemon of an earlier version rejects the call, and answers others.  */
  if (state != RPC_CALL_REJECTED)
    peer_update_reachability (call->peer, state);
  bool decoded
      = state == RPC_CALL_ANSWERED
        && xdr_decode ((xdrproc_t)xdr_peer_config, &c, result, length);
  if (state == RPC_CALL_ANSWERED && !decoded)
    log_event (LOG_LEVEL_WARN, "peer_answer_invalid", "peer=%s bytes=%zu",
               call->peer->daemon, length);
  c.daemon = call->peer->daemon;
  call->done (call->data, decoded ? &c : NULL);
  if (decoded)
    xdr_free ((xdrproc_t)xdr_peer_config, (char *)&c);
  free (call);
}

static struct peer *
peer_find (struct peers *p, const char *daemon)
{
  for (size_t i = 0; i < p->count; i++)
    if (strcmp (p->peers[i].daemon, daemon) == 0)
      return &p->peers[i];
  return NULL;
}

/* Returns an unused slot.  If there is none, takes that of the daemon whose
   registration ended first; null if all are registered.  */
static struct peer *
peer_add (struct peers *p)
{
  if (p->count < PEERS_MAX)
    return &p->peers[p->count++];
  struct peer *oldest = NULL;
  for (size_t i = 0; i < p->count; i++)
    if (!p->peers[i].registered
        && (oldest == NULL
            || rr_time_before (p->peers[i].unregistered_at,
                               oldest->unregistered_at)))
      oldest = &p->peers[i];
  if (oldest == NULL)
    return NULL;
  if (oldest->client != NULL)
    rpc_client_close (oldest->client);
  memset (oldest, 0, sizeof *oldest);
  return oldest;
}

/* Records the address of the daemon D, which has registered.  The address is
   kept when the registration ends, since a daemon that can't reach the store
   may still answer calls.  */
void
peers_daemon_update (struct peers *p, const struct daemon_record *d)
{
  struct peer *c = peer_find (p, d->name);
  if (c == NULL)
    {
      c = peer_add (p);
      if (c == NULL)
        {
          log_event (LOG_LEVEL_WARN, "peer_ignored", "peer=%s peers=%zu",
                     d->name, p->count);
          return;
        }
      snprintf (c->daemon, sizeof c->daemon, "%s", d->name);
    }
  c->registered = true;
  if (c->address.port == d->peer.port
      && strcmp (c->address.address, d->peer.address) == 0)
    return;
  if (c->client != NULL)
    rpc_client_close (c->client);
  c->client = NULL;
  c->address = d->peer;
}

/* The registration of DAEMON has ended.  */
void
peers_daemon_unregister (struct peers *p, const char *daemon)
{
  struct peer *c = peer_find (p, daemon);
  if (c == NULL)
    return;
  c->registered = false;
  c->unregistered_at = entry_now ();
}

/* Returns C with an open connection; null when its address is not known or a
   call has just failed.  */
static struct peer *
peer_connect (struct peers *p, struct peer *c)
{
  if (c == NULL || c->address.port == 0
      || (c->unreachable
          && rr_time_diff (entry_now (), c->last_failure)
                 < UNREACHABLE_RETRY_MS))
    return NULL;
  if (c->client == NULL)
    c->client = rpc_client_open (p->entry->loop, c->address.address,
                                 c->address.port, PEER_PROGRAM, PEER_VERSION);
  return c->client == NULL ? NULL : c;
}

/* Calls PROCEDURE of C with OBJECT, which PROC encodes, by SEND.  Returns
   false, and does not call DONE, when it can't be encoded.  */
static bool
call_peer (struct peer *c, rpc_call_fn *send, uint32_t procedure,
           xdrproc_t proc, void *object, uint64_t timeout_ms,
           rpc_done_fn *done, void *data)
{
  char *bytes = NULL;
  size_t length = 0;
  if (!xdr_encode (proc, object, &bytes, &length))
    {
      log_event (LOG_LEVEL_ERROR, "peer_call_not_encoded", "procedure=%u",
                 (unsigned)procedure);
      return false;
    }
  send (c->client, procedure, bytes, length, timeout_ms, done, data);
  free (bytes);
  return true;
}

/* Queries DAEMON for the phase of JOB.  Calls DONE once, possibly before it
   returns.  */
void
peers_query_phase (struct peers *p, const char *daemon, const char *job,
                   peers_phase_done_fn *done, void *data)
{
  struct peer *c = peer_connect (p, peer_find (p, daemon));
  struct phase_call *call = c == NULL ? NULL : calloc (1, sizeof *call);
  if (call == NULL)
    {
      done (data, NULL);
      return;
    }
  *call = (struct phase_call){ .peer = c, .done = done, .data = data };
  struct peer_job query;
  snprintf (query.id, sizeof query.id, "%s", job);
  if (!call_peer (c, rpc_client_call, PEER_JOB_PHASE, (xdrproc_t)xdr_peer_job,
                  &query, PHASE_TIMEOUT_MS, on_phase, call))
    {
      free (call);
      done (data, NULL);
    }
}

/* Returns the number of daemons whose addresses are known.  */
size_t
peers_count (const struct peers *p)
{
  return p->count;
}

static bool
peer_is_self (const struct peers *p, const struct peer *c)
{
  const struct settings_peer *self = &p->entry->settings.peer;
  return c->address.port == self->port
         && strcmp (c->address.address, self->address) == 0;
}

/* Returns the first registered daemon from NUMBER on, other than this one; if
   there is none, number NUMBER, perhaps a seed; null if none is known.  */
static struct peer *
peer_select (struct peers *p, size_t number)
{
  for (size_t i = 0; i < p->count; i++)
    {
      struct peer *c = &p->peers[(number + i) % p->count];
      if (c->registered && !peer_is_self (p, c))
        return c;
    }
  return p->count == 0 ? NULL : &p->peers[number % p->count];
}

/* Queries a daemon for its configuration, if that is newer than VERSION, and
   its age.  NUMBER selects the daemon, modulo their count.  Calls DONE once,
   possibly before it returns.  */
void
peers_query_config (struct peers *p, size_t number, int64_t version,
                    peers_config_done_fn *done, void *data)
{
  struct peer *c = peer_select (p, number);
  c = c == NULL || peer_is_self (p, c) ? NULL : peer_connect (p, c);
  struct config_call *call = c == NULL ? NULL : calloc (1, sizeof *call);
  if (call == NULL)
    {
      done (data, NULL);
      return;
    }
  *call = (struct config_call){ .peer = c, .done = done, .data = data };
  static char empty[] = "";
  struct peer_config query
      = { .known = true, .version = version, .age_ms = -1, .text = empty };
  if (!call_peer (c, rpc_client_fetch, PEER_CONFIG, (xdrproc_t)xdr_peer_config,
                  &query, CONFIG_SILENCE_MS, on_config, call))
    {
      free (call);
      done (data, NULL);
    }
}

/* Sends the estimates LIST to DAEMON.  */
void
peers_send_statistics (struct peers *p, const char *daemon,
                       const struct statistics_list *list)
{
  struct peer *c = peer_connect (p, peer_find (p, daemon));
  if (c != NULL)
    call_peer (c, rpc_client_call, PEER_STATISTICS,
               (xdrproc_t)xdr_statistics_list, (void *)list,
               STATISTICS_TIMEOUT_MS, on_statistics_sent, c);
}

/* Adds the daemons that the settings name.  They are known before the store
   has been read, and may be gone.  */
static void
add_seeds (struct peers *p)
{
  const struct entry_settings *s = &p->entry->settings;
  for (size_t i = 0; i < s->seed_count; i++)
    {
      struct peer *c = &p->peers[p->count++];
      snprintf (c->daemon, sizeof c->daemon, "seed-%s", s->seeds[i].address);
      c->address = s->seeds[i];
    }
}

/* Starts to listen for calls of other daemons, if a peer address is set.
   Returns null with ERR when the address can't be bound.  */
struct peers *
peers_open (struct entry *e, struct rr_error *err)
{
  struct peers *p = calloc (1, sizeof *p);
  assert (p != NULL);
  p->entry = e;
  const struct settings_peer *at = &e->settings.peer;
  if (at->port != 0
      && rpc_server_open (e->loop, at->address, at->port, PEER_PROGRAM,
                          PEER_VERSION, on_call, p, err)
             == NULL)
    {
      free (p);
      return NULL;
    }
  add_seeds (p);
  return p;
}
