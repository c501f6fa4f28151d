#ifndef ROSEMARYRAILD_SHARDS_H
#define ROSEMARYRAILD_SHARDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/peer.h"
#include "rosemaryrail/error.h"
#include "rosemaryraild/message.h"

struct daemon;
struct shards;

/* State of one shard, as shown on the status page.  */
struct shard_status
{
  const char *state;
  char owner[NAME_SIZE]; /* empty if not known */
  uint64_t epoch;
};

struct shards *shards_open (struct daemon *d, struct rr_error *err);
void shards_handle (void *state, struct message *m);

/* Called directly by other parts of the daemon, without a message.  */
void shards_heartbeat_fill (struct shards *s, peer_heartbeat *h);
bool shards_owner (struct shards *s, uint32_t shard, char *name, size_t size);
bool shards_status_at (struct shards *s, uint32_t shard,
                       struct shard_status *out);
bool shards_all_released (const struct shards *s);
bool shards_handed_over (const struct shards *s);
void shards_drop_all (struct shards *s);
const char *shards_alarm (const struct shards *s, int64_t *since_ms);

#endif
