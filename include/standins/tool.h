#ifndef STANDINS_TOOL_H
#define STANDINS_TOOL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <uv.h>

#include "common/http_server.h"
#include "common/json.h"

enum
{
  TOOL_BODY_MAX = 4 * 1024 * 1024, /* a 1 MB value with escapes */
  TOOL_ANSWER_MAX = 16384
};

enum tool_flag_kind
{
  TOOL_SWITCH,
  TOOL_INT,
  TOOL_PORT, /* required */
  TOOL_TEXT,
  TOOL_LIST /* repeatable */
};

/* One flag: its default, and once parsed its value.  */
struct tool_flag
{
  const char *name;
  const char *about;
  enum tool_flag_kind kind;
  int number;
  const char *text;
  int count;          /* times given */
  const char **texts; /* values of a TOOL_LIST */
  char help[120];     /* ABOUT with the default */
};

#define TOOL_FLAG(flag, text_about, flag_kind, ...)                           \
  {                                                                           \
    .name = (flag), .about = (text_about), .kind = (flag_kind), __VA_ARGS__   \
  }
#define INT_FLAG(name, about, value)                                          \
  TOOL_FLAG (name, about, TOOL_INT, .number = (value))
#define TEXT_FLAG(name, about, value)                                         \
  TOOL_FLAG (name, about, TOOL_TEXT, .text = (value))
#define PORT_FLAG(name, about) TOOL_FLAG (name, about, TOOL_PORT, .number = 0)
#define LIST_FLAG(name, about) TOOL_FLAG (name, about, TOOL_LIST, .number = 0)
#define SWITCH_FLAG(name, about)                                              \
  TOOL_FLAG (name, about, TOOL_SWITCH, .number = 0)

bool tool_start (int argc, char **argv, const char *program, const char *about,
                 struct tool_flag *flags, size_t n, uv_loop_t *loop,
                 int *exit_code);
const char *tool_address (void);
int tool_fail (const char *program, const struct rr_error *err);
int64_t tool_now_us (void);
int64_t tool_wall_ms (void);
struct http_server *tool_listen (uv_loop_t *loop, int port,
                                 http_handler_fn *handler, void *data,
                                 struct rr_error *err);
FILE *tool_open_log (const char *path, struct rr_error *err);
void tool_close_timer (uv_timer_t *timer);
char *tool_read_file (const char *path, size_t *length, struct rr_error *err);
void *tool_alloc (size_t size);
void tool_timer (uv_loop_t *loop, uv_timer_t *timer, uv_timer_cb callback,
                 void *data, int64_t ms);
struct json_object *tool_member (struct json_object *o, const char *name);
bool tool_bool_or (struct json_object *o, const char *name, bool fallback);
void tool_add (struct json_object *o, const char *format, ...);
struct json_object *tool_object (const char *format, ...);
struct json_object *tool_body_json (struct http_exchange *x);
void tool_respond_error (struct http_exchange *x, int status,
                         enum rr_error_code code, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));
void tool_respond (struct http_exchange *x, int status, struct json_object *o);
void tool_respond_reason (struct http_exchange *x, int status,
                          const char *reason);
void tool_write_line (FILE *log, struct json_object *o);
size_t tool_answer_body (const char *id, const char *body, size_t length,
                         char *out);

#endif
