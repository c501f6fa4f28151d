#ifndef STANDINS_TOOL_H
#define STANDINS_TOOL_H

#include <argtable2.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <uv.h>

#include "common/http_server.h"
#include "common/json.h"

enum
{
  TOOL_BODY_MAX = 4 * 1024 * 1024,
  TOOL_ANSWER_MAX = 16384
};

/* The flags every stand-in server shares.  */
struct tool_flags
{
  struct arg_lit *help;
  struct arg_str *address;
  struct arg_int *max_run_s;
  struct arg_str *log_level;
};

typedef void tool_stop_fn (void *data);

bool tool_parse (int argc, char **argv, void **table, struct arg_lit *help,
                 struct arg_end *end, const char *program, const char *about,
                 int *exit_code);
struct tool_flags tool_flags_new (void);
bool tool_open (uv_loop_t *loop, const char *program,
                const struct tool_flags *flags, struct rr_error *err);
void tool_on_stop (tool_stop_fn *stop, void *data);
int tool_fail (const char *program, const struct rr_error *err);
int64_t tool_now_us (void);
struct http_server *tool_listen (uv_loop_t *loop, const char *address,
                                 int port, http_handler_fn *handler,
                                 void *data, struct rr_error *err);
char *tool_read_file (const char *path, size_t *length, struct rr_error *err);
struct json_object *tool_body_json (struct http_exchange *x);
void tool_respond (struct http_exchange *x, int status, struct json_object *o);
void tool_respond_reason (struct http_exchange *x, int status,
                          const char *reason);
void tool_write_line (FILE *log, struct json_object *o);
size_t tool_answer_body (const char *id, const char *body, size_t length,
                         char *out);

#endif
