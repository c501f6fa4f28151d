#ifndef ROSEMARYENTRYD_SESSION_H
#define ROSEMARYENTRYD_SESSION_H

#include "rosemaryentryd/entry.h"

/* The daemon's lease in the store.  The keys of its registration and of its
   shards are bound to this lease and go when it ends.  */
struct session;

enum
{
  /* Long enough to survive a few lost renewals, and short enough that the
     shards of a dead owner are taken over before the leases of its workers'
     tasks expire.  */
  SESSION_TTL_MS = 1500
};

struct session *session_open (struct entry *e);
int64_t session_lease (const struct session *s);
struct rr_time session_confirmed_at (const struct session *s);
void session_close (struct session *s);

#endif
