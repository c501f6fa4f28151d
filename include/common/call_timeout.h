#ifndef COMMON_CALL_TIMEOUT_H
#define COMMON_CALL_TIMEOUT_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/* What a timeout has to know of its call, and does at its end.  */
struct call_timeout_type
{
  /* Returns whether an answer may have arrived, and sets RECEIVED, which
     changes whenever part of one is read.  */
  bool (*awaits_answer) (void *data, uint64_t *received);
  /* Ends the call.  */
  void (*expire) (void *data);
};

/* The timeout of one call.  */
struct call_timeout
{
  uv_timer_t timer;
  const struct call_timeout_type *type;
  void *data;
  unsigned reads;    /* waited for since the time was over */
  uint64_t received; /* at the last of them */
  void (*closed) (void *data);
};

void call_timeout_init (struct call_timeout *t, uv_loop_t *loop,
                        const struct call_timeout_type *type, void *data);
void call_timeout_start (struct call_timeout *t, uint64_t ms);
void call_timeout_stop (struct call_timeout *t);
void call_timeout_close (struct call_timeout *t, void (*closed) (void *data));

#endif
