#ifndef ROSEMARYRAILD_WORKERS_H
#define ROSEMARYRAILD_WORKERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/peer.h"
#include "rosemaryrail/error.h"
#include "rosemaryrail/ledger.h"
#include "rosemaryraild/message.h"

struct daemon;
struct workers;

/* One worker of this daemon's zone, for the status page.  */
struct worker_status
{
  char name[NAME_SIZE];
  char rack[NAME_SIZE];
  const char *state;
  bool owned;
  size_t tasks;
  int64_t connections;
  int64_t age_ms; /* since the last report; -1: none */
};

struct workers *workers_open (struct daemon *d, struct rr_error *err);
void workers_handle (void *state, struct message *m);

/* Read-only views for the other actors.  */
void workers_fill_heartbeat (struct workers *ws, peer_heartbeat *h);
size_t workers_count (const struct workers *ws);
bool workers_status_at (struct workers *ws, size_t i,
                        struct worker_status *out);
size_t workers_requests_in_progress (const struct workers *ws);

#endif
