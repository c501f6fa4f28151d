#ifndef ROSEMARYRAILD_FRONT_H
#define ROSEMARYRAILD_FRONT_H

#include <stdbool.h>
#include <stddef.h>

#include "rosemaryrail/error.h"
#include "rosemaryraild/message.h"

struct daemon;
struct front;

struct front *front_open (struct daemon *d, struct rr_error *err);
void front_handle (void *state, struct message *m);
size_t front_in_progress_count (const struct front *f);
void front_shutdown (struct front *f);

#endif
