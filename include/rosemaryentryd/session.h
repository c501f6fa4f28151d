#ifndef ROSEMARYENTRYD_SESSION_H
#define ROSEMARYENTRYD_SESSION_H

#include "rosemaryentryd/entry.h"

/* The daemon's lease in the store.  The keys of its registration and of its
   shards are bound to this lease and go when it ends.  */
struct session;

struct session *session_open (struct entry *e);
int64_t session_lease (const struct session *s);
struct rr_time session_confirmed_at (const struct session *s);
void session_close (struct session *s);

#endif
