#ifndef ROSEMARYRAILD_CONFIG_JSON_H
#define ROSEMARYRAILD_CONFIG_JSON_H

#include "common/json.h"
#include "rosemaryrail/config.h"

struct json_object *config_errors_json (const struct rr_config_errors *errors,
                                        const char *what);

#endif
