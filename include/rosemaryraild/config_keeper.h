#ifndef ROSEMARYRAILD_CONFIG_KEEPER_H
#define ROSEMARYRAILD_CONFIG_KEEPER_H

#include <stdbool.h>
#include <stdint.h>

#include "rosemaryrail/config.h"
#include "rosemaryrail/error.h"
#include "rosemaryraild/message.h"

struct daemon;
struct config_keeper;

struct config_keeper *config_keeper_open (struct daemon *d,
                                          struct rr_error *err);
void config_keeper_handle (void *state, struct message *m);

/* Read-only accessors for the other actors.  The configuration is replaced as
   a whole, so that a pointer into it is valid only until control returns to
   the event loop.  */
const struct rr_config *config_keeper_config (const struct config_keeper *k);
int64_t config_keeper_generation (const struct config_keeper *k);
const char *config_keeper_digest (const struct config_keeper *k);
const char *config_keeper_alarm (const struct config_keeper *k,
                                 int64_t *since_ms);
const struct rr_config_parts *
config_keeper_parts (const struct config_keeper *k);

#endif
