#ifndef ROSEMARYRAILD_PEERS_H
#define ROSEMARYRAILD_PEERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/peer.h"
#include "rosemaryrail/error.h"
#include "rosemaryrail/membership.h"
#include "rosemaryraild/message.h"

struct daemon;
struct peers;

/* How to reach a VM, by its name.  */
struct vm_address
{
  char address[RR_MEMBER_ADDRESS_SIZE];
  uint16_t http_port;
  uint16_t rpc_port;
};

struct peers *peers_open (struct daemon *d, struct rr_error *err);
void peers_handle (void *state, struct message *m);

/* Read-only views for the other actors.  The membership knows each VM under
   its name in place of an address: names stay the same when zones reach a VM
   under different addresses.  */
struct rr_membership *peers_membership (struct peers *p);
bool peers_vm_address (const struct peers *p, const char *name,
                       struct vm_address *out);
const peer_heartbeat *peers_last_heartbeat (const struct peers *p,
                                            const char *name);
size_t peers_alive_count (struct peers *p);
const char *peers_vm_list (const struct peers *p, size_t *length);

#endif
