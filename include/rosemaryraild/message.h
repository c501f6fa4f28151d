#ifndef ROSEMARYRAILD_MESSAGE_H
#define ROSEMARYRAILD_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/peer.h"
#include "common/rpc.h"
#include "rosemaryrail/clock.h"
#include "rosemaryrail/config.h"
#include "rosemaryrail/error.h"
#include "rosemaryrail/retry.h"
#include "rosemaryraild/actor.h"

enum
{
  REQUEST_ID_SIZE = 129,
  NAME_SIZE = 65,
  REASON_SIZE = 96
};

/* Where to send the answer to a call from another daemon or from an actor of
   this one.  */
struct call_origin
{
  struct rpc_request *request; /* null for a call within this daemon */
  struct actor *from;
  rpc_done_fn *done;
  void *data;
};

/* A caller's request while the daemon processes it.  Exactly one actor owns it
   at a time; ownership passes with the messages that carry it.  */
struct request
{
  uint64_t token;            /* front actor's handle of the HTTP exchange */
  struct call_origin origin; /* set for a forwarded request */
  bool forwarded;
  char id[REQUEST_ID_SIZE];
  char service[NAME_SIZE];
  char team[NAME_SIZE];
  struct rr_time received;
  uint64_t received_ns; /* for the latency histogram */
  struct rr_time deadline;
  bool repeatable;
  bool resent;  /* the caller sent it before and got no outcome */
  uint64_t ask; /* non-repeatable: random id of the grant request */
  char *body;
  size_t body_length;
  /* Progress.  */
  int state; /* of the state chart charts/request.jsonc */
  unsigned calls;
  /* Outcome.  */
  enum rr_outcome outcome;
  int status;
  char reason[REASON_SIZE];
  char content_type[NAME_SIZE];
  char *answer;
  size_t answer_length;
};

enum message_type
{
  MESSAGE_RPC_CALL,
  MESSAGE_RPC_DONE,
  MESSAGE_RPC_REQUEST,
  MESSAGE_MEMBERSHIP_CHANGED, /* the known VMs and daemons changed */
  MESSAGE_CONFIG_CHANGED,     /* another configuration took effect */
  MESSAGE_CONFIG_HINT,        /* a peer may have a newer configuration */
  MESSAGE_CONFIG_APPLY,       /* front to config */
  MESSAGE_CONFIG_APPLIED,     /* config to front */
  MESSAGE_REQUEST_RUN,        /* front to workers */
  MESSAGE_REQUEST_DONE,       /* workers to front */
  MESSAGE_GRANT_REQUEST,      /* front to shards: request a grant to send it */
  MESSAGE_GRANT_VERDICT,      /* shards to front */
  MESSAGE_GRANT_RESULT, /* front to shards: outcome of a granted request */
  MESSAGE_PAUSED,       /* the process was suspended for a while */
  MESSAGE_STOP          /* graceful shutdown has begun */
};

struct message_rpc_call
{
  char peer[NAME_SIZE];
  uint32_t procedure;
  char *args;
  size_t length;
  uint64_t timeout_ms;
  struct actor *from;
  rpc_done_fn *done;
  void *data;
};

struct message_rpc_done
{
  rpc_done_fn *done;
  void *data;
  enum rpc_call_state state;
  char *result;
  size_t length;
};

struct message_rpc_request
{
  struct call_origin origin;
  uint32_t procedure;
  char *args;
  size_t length;
};

struct message_config_hint
{
  char peer[NAME_SIZE];
  int64_t generation;
};

/* A request to write a new configuration to the store, and its outcome.  */
struct apply
{
  uint64_t token; /* front actor's handle of the HTTP exchange */
  struct rr_config *config;
  int64_t expect; /* generation it replaces, or -1 for any */
  int64_t wait_ms;
  bool dry_run;
  struct rr_error err;
  int64_t generation;
  char digest[RR_CONFIG_DIGEST_SIZE];
  char *diff;
};

struct message_grant_verdict
{
  struct request *request;
  enum peer_grant_verdict verdict;
};

struct message
{
  enum message_type type;
  union
  {
    struct message_rpc_call rpc_call;
    struct message_rpc_done rpc_done;
    struct message_rpc_request rpc_request;
    struct message_config_hint config_hint;
    struct request *request; /* REQUEST_RUN, REQUEST_DONE, GRANT_ASK,
                                GRANT_RESULT */
    struct message_grant_verdict verdict;
    struct apply *apply; /* APPLY, APPLIED */
    int64_t pause_ms;
  } u;
};

void apply_free (struct apply *a);
void message_free (struct message *m);
struct request *request_take (struct message *m);
void request_free (struct request *r);
void request_set_outcome (struct request *r, enum rr_outcome outcome,
                          int status, const char *reason);

#endif
