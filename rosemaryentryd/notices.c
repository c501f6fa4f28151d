#include "rosemaryentryd/notices.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "rosemaryentryd/lessons.h"
#include "rosemaryentryd/notices_xdr.h"
#include "rosemaryentryd/records.h"

enum
{
  NOTICE_PROGRAM = 0x20524e45, /* from the range for private programs */
  NOTICE_VERSION = 1,
  NOTICE_JOBS_ENDED = 1,
  NOTICE_LESSONS = 2,
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

static bool
take_ended (struct notices *n, const char *args, size_t length)
{
  struct notice_list list = { 0 };
  if (!xdr_decode ((xdrproc_t)xdr_notice_list, &list, args, length))
    return false;
  for (unsigned int i = 0; i < list.count; i++)
    records_phase_told (n->entry->records, list.entries[i].job,
                        list.entries[i].phase, list.entries[i].revision);
  return true;
}

static bool
take_lessons (struct notices *n, const char *args, size_t length)
{
  static struct lesson_list list; /* 100 KB */
  memset (&list, 0, sizeof list);
  if (!xdr_decode ((xdrproc_t)xdr_lesson_list, &list, args, length))
    return false;
  lessons_take (n->entry->lessons, &list);
  return true;
}

static void
on_call (void *data, struct rpc_request *request, uint32_t procedure,
         const char *args, size_t length)
{
  struct notices *n = data;
  bool taken = false;
  switch (procedure)
    {
    case NOTICE_JOBS_ENDED:
      taken = take_ended (n, args, length);
      break;
    case NOTICE_LESSONS:
      taken = take_lessons (n, args, length);
      break;
    default:
      break;
    }
  if (taken)
    rpc_request_reply (request, "", 0);
  else
    {
      log_event (LOG_LEVEL_WARN, "notice_invalid", "procedure=%u bytes=%zu",
                 (unsigned)procedure, length);
      rpc_request_reject (request);
    }
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

static struct notice_client *
client_named (struct notices *n, const char *daemon)
{
  for (size_t i = 0; i < n->client_count; i++)
    if (strcmp (n->clients[i].daemon, daemon) == 0)
      return &n->clients[i];
  return NULL;
}

/* The daemon D has registered.  Its address is kept when the registration
   ends, since a daemon that is cut off from the store can be told all the
   same.  */
void
notices_daemon_seen (struct notices *n, const struct daemon_record *d)
{
  struct notice_client *c = client_named (n, d->name);
  if (c == NULL && n->client_count < NOTICE_CLIENTS_MAX)
    {
      c = &n->clients[n->client_count++];
      snprintf (c->daemon, sizeof c->daemon, "%s", d->name);
    }
  if (c == NULL
      || (c->address.port == d->peer.port
          && strcmp (c->address.address, d->peer.address) == 0))
    return;
  if (c->client != NULL)
    rpc_client_close (c->client);
  c->client = NULL;
  c->address = d->peer;
}

/* Returns the open client for DAEMON, or null when its address is not known.
 */
static struct notice_client *
client_for (struct notices *n, const char *daemon)
{
  struct notice_client *c = client_named (n, daemon);
  if (c == NULL || c->address.port == 0)
    return NULL;
  if (c->client == NULL)
    c->client
        = rpc_client_open (n->entry->loop, c->address.address, c->address.port,
                           NOTICE_PROGRAM, NOTICE_VERSION);
  return c->client == NULL ? NULL : c;
}

/* Sends OBJECT, which PROC encodes, to DAEMON unless that is not registered.
 */
static void
call_daemon (struct notices *n, const char *daemon, uint32_t procedure,
             xdrproc_t proc, void *object)
{
  struct notice_client *c = client_for (n, daemon);
  if (c == NULL)
    return;
  char *bytes = NULL;
  size_t length = 0;
  if (!xdr_encode (proc, object, &bytes, &length))
    {
      log_event (LOG_LEVEL_ERROR, "notice_not_encoded", "procedure=%u",
                 (unsigned)procedure);
      return;
    }
  rpc_client_call (c->client, procedure, bytes, length, NOTICE_TIMEOUT_MS,
                   on_answered, c);
  free (bytes);
}

/* Tells DAEMON of COUNT jobs that have ended, at most NOTICES_MAX.  */
void
notices_send (struct notices *n, const char *daemon, const struct notice *list,
              size_t count)
{
  struct notice_list args = { .count = (unsigned int)count };
  memcpy (args.entries, list, count * sizeof *list);
  call_daemon (n, daemon, NOTICE_JOBS_ENDED, (xdrproc_t)xdr_notice_list,
               &args);
}

/* Passes LIST on to DAEMON.  */
void
notices_send_lessons (struct notices *n, const char *daemon,
                      const struct lesson_list *list)
{
  call_daemon (n, daemon, NOTICE_LESSONS, (xdrproc_t)xdr_lesson_list,
               (void *)list);
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
