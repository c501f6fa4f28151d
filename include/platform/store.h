#ifndef PLATFORM_STORE_H
#define PLATFORM_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

/* Client of the platform's key-value store: transactions on expected
   revisions, watches and leases.  Each function makes one call and never
   retries.  The timeout of a read starts again with each part of the response
   that arrives.  */
struct store;

enum
{
  STORE_TXN_ENTRIES_MAX = 32 /* sum of conditions, writes and removals */
};

enum store_state
{
  STORE_OK,
  STORE_CONFLICT,  /* a condition failed; ITEMS has the current state */
  STORE_MISSING,   /* no such key or lease */
  STORE_COMPACTED, /* the requested history was discarded */
  STORE_REFUSED,   /* the call had no effect */
  STORE_UNKNOWN,   /* no response: the call may take effect, even later */
  STORE_INVALID    /* the store rejected the call, or its response cannot be
                      decoded */
};

const char *store_state_name (enum store_state state);

struct store_item
{
  const char *key;
  char *value; /* NUL-terminated; null for a removed key */
  size_t value_length;
  int64_t revision;
  int64_t lease; /* 0: none */
  bool removed;
};

/* Valid only during the callback.  */
struct store_result
{
  enum store_state state;
  struct store_item *items;
  size_t item_count;
  bool truncated;   /* more keys follow; of a watch: more changes may */
  int64_t revision; /* of the write, otherwise the current one; of a truncated
                       watch: of the last change that it contains */
  int64_t lease;
  int64_t ttl_ms;
  const char *reason; /* why there was no response */
};

typedef void store_done_fn (void *data, const struct store_result *r);

struct store_condition
{
  const char *key;
  int64_t revision; /* 0: the key does not exist */
};

struct store_write
{
  const char *key;
  const char *value; /* NUL-terminated */
  int64_t lease;     /* 0: none */
};

/* A transaction: all of its changes are made, or none.  */
struct store_txn
{
  const struct store_condition *conditions;
  size_t condition_count;
  const struct store_write *writes;
  size_t write_count;
  const char *const *removals;
  size_t removal_count;
};

/* How a read is sent.  */
struct store_read
{
  uint64_t timeout_ms; /* starts again with each part of the response */
  bool may_be_stale;   /* the result may be seconds old, for a lower price */
  bool new_connection; /* the others may be dead without a reset */
};

int64_t store_result_revision (const struct store_result *r, const char *key);
struct store *store_open (uv_loop_t *loop, const char *address, uint16_t port);
void store_get (struct store *s, const char *key, uint64_t timeout_ms,
                store_done_fn *done, void *data);
void store_range (struct store *s, const char *prefix, const char *after,
                  const struct store_read *how, store_done_fn *done,
                  void *data);
void store_watch (struct store *s, const char *prefix, int64_t after,
                  uint64_t wait_ms, const struct store_read *how,
                  store_done_fn *done, void *data);
void store_commit (struct store *s, const struct store_txn *txn,
                   uint64_t timeout_ms, store_done_fn *done, void *data);
void store_put_if (struct store *s, const struct store_condition *condition,
                   const struct store_write *write, uint64_t timeout_ms,
                   store_done_fn *done, void *data);
void store_lease_grant (struct store *s, int64_t ttl_ms, uint64_t timeout_ms,
                        store_done_fn *done, void *data);
void store_lease_renew (struct store *s, int64_t lease, uint64_t timeout_ms,
                        store_done_fn *done, void *data);
void store_lease_end (struct store *s, int64_t lease, uint64_t timeout_ms,
                      store_done_fn *done, void *data);
uint64_t store_calls (const struct store *s);

#endif
