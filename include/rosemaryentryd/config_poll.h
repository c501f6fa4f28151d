#ifndef ROSEMARYENTRYD_CONFIG_POLL_H
#define ROSEMARYENTRYD_CONFIG_POLL_H

#include "rosemaryentryd/entry.h"

/* Asks other daemons for the configuration while the store does not tell
   whether it has changed.  */
struct config_poll;

struct config_poll *config_poll_open (struct entry *e);

#endif
