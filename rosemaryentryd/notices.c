#include "rosemaryentryd/notices.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "common/rpc.h"
#include "rosemaryentryd/records.h"

enum
{
  NOTICE_PROGRAM = 0x20524e45, /* from the range for private programs */
  NOTICE_VERSION = 1,
  NOTICE_JOBS_ENDED = 1,
  NOTICE_TIMEOUT_MS = 500, /* later the store has told it anyway */
  NOTICE_CLIENTS_MAX = 256
};

/* The connection to one daemon.  */
struct notice_client
{
  char daemon[RR_GRAPH_NAME_SIZE];
  struct settings_peer address;
  struct rpc_client *client;
  bool lost; /* the last call was not answered */
};

struct notices
{
  struct entry *entry;
  struct notice_client clients[NOTICE_CLIENTS_MAX];
  size_t client_count;
};

/* The argument of NOTICE_JOBS_ENDED.  */
struct notice_list
{
  struct notice entries[NOTICES_MAX];
  unsigned int count;
};

static bool_t
xdr_notice (XDR *x, struct notice *n)
{
  char *job = n->job;
  int phase = (int)n->phase;
  if (!xdr_string (x, &job, sizeof n->job - 1) || !xdr_int (x, &phase)
      || !xdr_int64_t (x, &n->revision) || phase < RR_PHASE_QUEUED
      || phase > RR_PHASE_CANCELLED)
    return FALSE;
  n->phase = (enum rr_job_phase)phase;
  return TRUE;
}

static bool_t
xdr_notice_list (XDR *x, struct notice_list *l)
{
  if (!xdr_u_int (x, &l->count) || l->count > NOTICES_MAX)
    return FALSE;
  for (unsigned int i = 0; i < l->count; i++)
    if (!xdr_notice (x, &l->entries[i]))
      return FALSE;
  return TRUE;
}

static void
on_call (void *data, struct rpc_request *request, uint32_t procedure,
         const char *args, size_t length)
{
  struct notices *n = data;
  struct notice_list list = { 0 };
  if (procedure != NOTICE_JOBS_ENDED
      || !xdr_decode ((xdrproc_t)xdr_notice_list, &list, args, length))
    {
      log_event (LOG_LEVEL_WARN, "notice_invalid", "procedure=%u bytes=%zu",
                 (unsigned)procedure, length);
      rpc_request_reject (request);
      return;
    }
  for (unsigned int i = 0; i < list.count; i++)
    records_phase_told (n->entry->records, list.entries[i].job,
                        list.entries[i].phase, list.entries[i].revision);
  rpc_request_reply (request, "", 0);
}

static void
on_answered (void *data, enum rpc_call_state state, const char *result,
             size_t length)
{
  (void)result;
  (void)length;
  struct notice_client *c = data;
  bool lost = state != RPC_CALL_ANSWERED;
  if (lost != c->lost)
    log_event (lost ? LOG_LEVEL_WARN : LOG_LEVEL_INFO,
               lost ? "peer_unreached" : "peer_reached", "peer=%s", c->daemon);
  c->lost = lost;
}

static const struct daemon_record *
find_daemon (const struct notices *n, const char *name)
{
  struct rr_handle h = { 0 };
  const struct daemon_record *d;
  while ((d = records_daemon_next (n->entry->records, &h)) != NULL)
    if (strcmp (d->name, name) == 0)
      return d;
  return NULL;
}

/* Returns the client for the daemon D at its present address, or null when
   there are too many.  */
static struct notice_client *
client_for (struct notices *n, const struct daemon_record *d)
{
  struct notice_client *c = NULL;
  for (size_t i = 0; i < n->client_count && c == NULL; i++)
    if (strcmp (n->clients[i].daemon, d->name) == 0)
      c = &n->clients[i];
  if (c == NULL && n->client_count == NOTICE_CLIENTS_MAX)
    return NULL;
  if (c == NULL)
    {
      c = &n->clients[n->client_count++];
      snprintf (c->daemon, sizeof c->daemon, "%s", d->name);
    }
  bool same = c->client != NULL && c->address.port == d->peer.port
              && strcmp (c->address.address, d->peer.address) == 0;
  if (same)
    return c;
  if (c->client != NULL)
    rpc_client_close (c->client);
  c->address = d->peer;
  c->client = rpc_client_open (n->entry->loop, d->peer.address, d->peer.port,
                               NOTICE_PROGRAM, NOTICE_VERSION);
  return c->client == NULL ? NULL : c;
}

/* Tells DAEMON of COUNT jobs, at most NOTICES_MAX.  A daemon that is not
   registered is told nothing.  */
void
notices_send (struct notices *n, const char *daemon, const struct notice *list,
              size_t count)
{
  const struct daemon_record *d = find_daemon (n, daemon);
  if (d == NULL || d->peer.port == 0)
    return;
  struct notice_client *c = client_for (n, d);
  if (c == NULL)
    return;
  struct notice_list args = { .count = (unsigned int)count };
  memcpy (args.entries, list, count * sizeof *list);
  char *bytes = NULL;
  size_t length = 0;
  if (!xdr_encode ((xdrproc_t)xdr_notice_list, &args, &bytes, &length))
    {
      log_event (LOG_LEVEL_ERROR, "notice_not_encoded", "jobs=%zu", count);
      return;
    }
  rpc_client_call (c->client, NOTICE_JOBS_ENDED, bytes, length,
                   NOTICE_TIMEOUT_MS, on_answered, c);
  free (bytes);
}

/* Begins to listen for other daemons; null with ERR when the address can't be
   bound.  */
struct notices *
notices_open (struct entry *e, struct rr_error *err)
{
  struct notices *n = calloc (1, sizeof *n);
  assert (n != NULL);
  n->entry = e;
  const struct settings_peer *at = &e->settings.peer;
  if (at->port != 0
      && rpc_server_open (e->loop, at->address, at->port, NOTICE_PROGRAM,
                          NOTICE_VERSION, on_call, n, err)
             == NULL)
    {
      free (n);
      return NULL;
    }
  return n;
}
