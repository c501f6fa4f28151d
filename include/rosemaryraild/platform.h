#ifndef ROSEMARYRAILD_PLATFORM_H
#define ROSEMARYRAILD_PLATFORM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/http_client.h"

/* The platform's key-value service and VM list.  Everything that depends on
   its protocol is in platform.c.  */
struct platform;

enum platform_state
{
  PLATFORM_OK,
  PLATFORM_NOT_FOUND, /* no such key */
  PLATFORM_CONFLICT,  /* the key's revision was not the expected one */
  PLATFORM_NOT_SENT,  /* the call had no effect */
  PLATFORM_UNKNOWN,   /* the call may have taken effect */
  PLATFORM_UNCHANGED  /* a watch ended without a change */
};

/* Valid only during the callback.  */
struct platform_result
{
  enum platform_state state;
  const char *value; /* of a read, a watch or a conflict */
  size_t length;
  uint64_t revision;
};

struct platform_counters
{
  uint64_t reads;
  uint64_t writes;
  uint64_t watches;
  uint64_t failures;
  uint64_t bytes;
};

typedef void platform_done_fn (void *data, const struct platform_result *r);

struct platform *platform_open (struct http_client *client,
                                const char *address, uint16_t port,
                                uint64_t timeout_ms);
void platform_get (struct platform *p, const char *key, platform_done_fn *done,
                   void *data);
void platform_put (struct platform *p, const char *key, const char *value,
                   size_t length, uint64_t expect, platform_done_fn *done,
                   void *data);
void platform_watch (struct platform *p, const char *key, uint64_t after,
                     uint64_t wait_ms, platform_done_fn *done, void *data);
void platform_get_vm_list (struct platform *p, platform_done_fn *done,
                           void *data);
const struct platform_counters *
platform_counters_get (const struct platform *p);
bool platform_reachable (const struct platform *p);

#endif
