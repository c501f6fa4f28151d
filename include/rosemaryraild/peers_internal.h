#ifndef ROSEMARYRAILD_PEERS_INTERNAL_H
#define ROSEMARYRAILD_PEERS_INTERNAL_H

#include <uv.h>

#include "rosemaryraild/daemon.h"
#include "rosemaryraild/peers.h"

enum
{
  VMS_MAX = 4096
};

/* A VM of the platform's list, or a daemon configured as a seed peer.  */
struct vm
{
  char name[RR_MEMBER_NAME_SIZE]; /* empty: a seed that hasn't responded */
  struct vm_address endpoint;
  enum rr_role role;
  bool same_zone;
  struct rpc_client *client; /* set only for daemons */
  bool heartbeat_pending;
  struct rr_time last_exchange;
  bool has_heartbeat;
  peer_heartbeat heartbeat; /* last one received */
};

struct peers
{
  struct daemon *d;
  struct rr_membership *membership;
  struct rpc_server *server;
  uv_timer_t timer;
  struct vm *vms[VMS_MAX]; /* entries are never moved or freed */
  size_t vm_count;
  char *vm_list_text;
  size_t vm_list_length;
  size_t vm_list_left_out;        /* entries of it that name no VM */
  struct rr_error vm_list_reason; /* of the first of these */
  bool vm_list_pending;
  struct rr_time vm_list_due;
  uint64_t sent_leaving_version;
  size_t alive;
  struct rr_pause pause_detector;
};

struct vm *peers_find_vm (const struct peers *p, const char *name);

/* peers_heartbeat.c */
void peers_send_heartbeats (struct peers *p, struct rr_time now);
void peers_answer_heartbeat (struct peers *p, const struct call_origin *origin,
                             const char *args, size_t length);

#endif
