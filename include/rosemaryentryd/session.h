#ifndef ROSEMARYENTRYD_SESSION_H
#define ROSEMARYENTRYD_SESSION_H

#include "rosemaryentryd/entry.h"

/* The daemon's lease in the store, which its registration and its shards
   depend on.  */
struct session;

enum
{
  /* Long enough for a few lost renewals, short enough that a dead owner's
     shards move before the leases of its workers' tasks expire.  */
  SESSION_TTL_MS = 1500
};

struct session *session_open (struct entry *e);
int64_t session_lease (const struct session *s);
struct rr_time session_confirmed_at (const struct session *s);
void session_close (struct session *s);

#endif
