#ifndef TESTS_STATE_FAKE_STORE_H
#define TESTS_STATE_FAKE_STORE_H

#include "rosemaryrail/shard_log.h"

enum
{
  STORE_KEYS_MAX = RR_RING_SLOTS + 32
};

struct store_value
{
  char key[RR_KEY_SIZE];
  uint8_t *data;
  size_t length;
  uint64_t revision;
};

/* Key-value service with single-key compare-and-swap and one backup.  */
struct fake_store
{
  uint64_t revision;
  struct store_value values[STORE_KEYS_MAX];
  int count;
  uint64_t backup_revision;
  struct store_value backup[STORE_KEYS_MAX];
  int backup_count;
};

void store_free (struct fake_store *s);
struct store_value *store_find (struct fake_store *s, const char *key);
void store_read (struct fake_store *s, const char *key,
                 struct rr_kv_result *result);
void store_write (struct fake_store *s, const char *key, const uint8_t *data,
                  size_t length, uint64_t expect, struct rr_kv_result *result);
void store_backup (struct fake_store *s);
void store_restore (struct fake_store *s);

#endif
