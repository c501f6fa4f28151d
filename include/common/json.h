#ifndef COMMON_JSON_H
#define COMMON_JSON_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rosemaryrail/error.h"

struct json_object *json_parse (const char *text, size_t length,
                                struct rr_error *err);
struct json_object *json_parse_nested (const char *text, size_t length,
                                       int depth, struct rr_error *err);
const char *json_text (struct json_object *o);
bool json_get_int (struct json_object *o, const char *name, int64_t *value,
                   struct rr_error *err);
const char *json_get_string (struct json_object *o, const char *name,
                             struct rr_error *err);
int64_t json_int_or (struct json_object *o, const char *name,
                     int64_t fallback);
int64_t json_int_within (struct json_object *o, const char *name,
                         int64_t fallback, int64_t min, int64_t max,
                         struct rr_error *err);
const char *json_string_or (struct json_object *o, const char *name,
                            const char *fallback);
struct json_object *json_list_or_null (struct json_object *o,
                                       const char *name);
void json_add_int (struct json_object *o, const char *name, int64_t value);
void json_add_string (struct json_object *o, const char *name,
                      const char *value);

#endif
