#ifndef PLATFORM_POST_H
#define PLATFORM_POST_H

#include <json-c/json.h>

#include "common/upstream.h"

void platform_post (struct upstream *u, const char *url, const char *instance,
                    struct json_object *body, uint64_t timeout_ms,
                    size_t response_max_bytes, http_done_fn *done, void *data);

#endif
