#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../check_suite.h"

#include "common/rpc.h"
#include "rosemaryentryd/config_view.h"
#include "rosemaryentryd/owners.h"
#include "rosemaryentryd/peer_statistics.h"
#include "rosemaryentryd/peers.h"
#include "rosemaryentryd/records.h"

/* Which daemons are called: the table of their addresses against stubs of
   everything that it calls.  */

enum
{
  TABLE_SIZE = 256,
  PORT_FIRST = 1000
};

static struct rr_time now = { 1000000 };
static int opened_port; /* of the last connection */

struct rr_time
entry_now (void)
{
  return now;
}

struct rpc_client *
rpc_client_open (uv_loop_t *loop, const char *address, uint16_t port,
                 uint32_t program, uint32_t version)
{
  static int client;
  (void)loop, (void)address, (void)program, (void)version;
  opened_port = port;
  return (struct rpc_client *)&client;
}

void
rpc_client_close (struct rpc_client *c)
{
  (void)c;
}

void
rpc_client_call (struct rpc_client *c, uint32_t procedure, const char *args,
                 size_t length, uint64_t timeout_ms, rpc_done_fn *done,
                 void *data)
{
  (void)c, (void)procedure, (void)args, (void)length, (void)timeout_ms;
  done (data, RPC_CALL_UNKNOWN, NULL, 0);
}

void
rpc_client_fetch (struct rpc_client *c, uint32_t procedure, const char *args,
                  size_t length, uint64_t silence_max_ms, rpc_done_fn *done,
                  void *data)
{
  rpc_client_call (c, procedure, args, length, silence_max_ms, done, data);
}

struct job_record *
records_job (struct records *r, const char *id)
{
  (void)r, (void)id;
  return NULL;
}

struct shard_record *
records_shard (struct records *r, const char *name)
{
  (void)r, (void)name;
  return NULL;
}

bool
owners_serves (const struct owners *o, const struct shard_record *s)
{
  (void)o, (void)s;
  return false;
}

void
peer_statistics_update (struct peer_statistics *l,
                        const struct statistics_list *list)
{
  (void)l, (void)list;
}

const char *
config_view_text (const struct config_view *v)
{
  (void)v;
  return NULL;
}

int64_t
config_view_version (const struct config_view *v)
{
  (void)v;
  return 0;
}

int64_t
config_view_age_ms (const struct config_view *v)
{
  (void)v;
  return 0;
}

static void
register_daemon (struct peers *p, int number)
{
  struct daemon_record d = { 0 };
  snprintf (d.name, sizeof d.name, "d%d", number);
  snprintf (d.peer.address, sizeof d.peer.address, "127.0.0.1");
  d.peer.port = (uint16_t)(PORT_FIRST + number);
  peers_daemon_update (p, &d);
}

static void
on_phase (void *data, const struct peer_phase *phase)
{
  (void)data, (void)phase;
}

static void
on_config (void *data, const struct peer_config *c)
{
  (void)data, (void)c;
}

static struct peers *
open_peers (void)
{
  static struct entry e;
  struct rr_error err = { 0 };
  opened_port = 0;
  return peers_open (&e, &err);
}

/* Guards against daemons that are never called, since the table of addresses
   is full of those that were replaced.  */
START_TEST (replaced_daemons_make_room)
{
  struct peers *p = open_peers ();
  for (int i = 0; i < TABLE_SIZE; i++)
    register_daemon (p, i);
  peers_daemon_unregister (p, "d7");
  now = rr_time_add (now, 1);
  peers_daemon_unregister (p, "d3");
  register_daemon (p, TABLE_SIZE);
  peers_query_phase (p, "d256", "0123456789abcdef", on_phase, NULL);
  ck_assert_int_eq (opened_port, PORT_FIRST + TABLE_SIZE);
  opened_port = 0;
  peers_query_phase (p, "d7", "0123456789abcdef", on_phase, NULL);
  ck_assert_int_eq (opened_port, 0);
  peers_query_phase (p, "d3", "0123456789abcdef", on_phase, NULL);
  ck_assert_int_eq (opened_port, PORT_FIRST + 3);
  free (p);
}
END_TEST

/* Guards against queries for the configuration that wait for daemons that are
   gone, while others could answer.  */
START_TEST (registered_daemons_are_asked_first)
{
  struct peers *p = open_peers ();
  for (int i = 0; i < 4; i++)
    register_daemon (p, i);
  for (int i = 0; i < 3; i++)
    {
      char name[8];
      snprintf (name, sizeof name, "d%d", i);
      peers_daemon_unregister (p, name);
    }
  for (size_t number = 0; number < 4; number++)
    {
      opened_port = PORT_FIRST + 3;
      peers_query_config (p, number, 1, on_config, NULL);
      ck_assert_int_eq (opened_port, PORT_FIRST + 3);
    }
  peers_daemon_unregister (p, "d3");
  peers_query_config (p, 1, 1, on_config, NULL);
  ck_assert_int_eq (opened_port, PORT_FIRST + 1);
  free (p);
}
END_TEST

SUITE ("peers", replaced_daemons_make_room, registered_daemons_are_asked_first)
