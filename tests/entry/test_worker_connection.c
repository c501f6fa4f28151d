#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../check_suite.h"

#include "common/upstream.h"
#include "platform/worker.h"
#include "rosemaryentryd/command_window.h"
#include "rosemaryentryd/entry.h"
#include "rosemaryentryd/worker_connection.h"

/* A connection to a worker whose calls are answered by the tests.  */

static platform_worker_poll_fn *poll_done;
static void *poll_data;
static platform_worker_command_fn *command_done;
static void *command_data;
static int commands_in_flight;
static int fenced_count;

struct rr_time
entry_now (void)
{
  return rr_time_from_ms (1000000);
}

struct upstream *
upstream_open (uv_loop_t *loop, const char *host, uint16_t port)
{
  static int upstream;
  (void)loop, (void)host, (void)port;
  return (struct upstream *)&upstream;
}

void
upstream_close (struct upstream *u)
{
  (void)u;
}

void
platform_worker_poll (struct upstream *u,
                      const struct platform_worker_poll *poll,
                      struct rr_time (*now) (void),
                      platform_worker_poll_fn *done, void *data)
{
  (void)u, (void)poll, (void)now;
  poll_done = done;
  poll_data = data;
}

void
platform_worker_send_command (struct upstream *u,
                              const struct rr_command *command,
                              int64_t fencing_token, int64_t lease_end,
                              uint64_t timeout_ms,
                              platform_worker_command_fn *done, void *data)
{
  (void)u, (void)command, (void)fencing_token, (void)lease_end;
  (void)timeout_ms;
  command_done = done;
  command_data = data;
  commands_in_flight++;
}

static void
command_answer (void)
{
  commands_in_flight--;
  command_done (command_data, RR_OUTCOME_ACCEPTED, 1, 0);
}

static struct rr_time
valid_until (void *data)
{
  (void)data;
  return rr_time_from_ms (2000000);
}

static void
on_changed (void *data)
{
  (void)data;
}

static void
on_fenced (void *data)
{
  (void)data;
  fenced_count++;
}

/* Opens a connection, whose first poll is under way.  */
static struct worker_connection *
connection_open (uv_loop_t *loop, struct rr_dispatch **d)
{
  static struct command_window window;
  struct rr_dispatch_options o
      = { .fencing_token = 7, .lease_ms = 4500, .lease_max_ms = 10000 };
  *d = rr_dispatch_new (&o);
  struct platform_worker w
      = { .info = { .id = "w1", .started_ms = 5 }, .port = 1 };
  struct rr_handle h = rr_dispatch_worker_set (*d, &w.info, entry_now ());
  struct worker_connection_owner owner = { .dispatch = *d,
                                           .window = &window,
                                           .valid_until = valid_until,
                                           .changed = on_changed,
                                           .fenced = on_fenced };
  fenced_count = 0;
  return worker_connection_open (loop, &owner, &w, h);
}

/* Guards against a daemon that ends by itself: after the first worker has
   refused a poll the shard is given up, and others refuse theirs when its
   dispatcher is gone.  */
START_TEST (refused_after_close)
{
  uv_loop_t loop;
  uv_loop_init (&loop);
  struct rr_dispatch *d;
  struct worker_connection *c = connection_open (&loop, &d);
  worker_connection_close (c);
  rr_dispatch_free (d);
  poll_done (poll_data, RR_OUTCOME_FENCED, NULL);
  ck_assert_int_eq (fenced_count, 0);
  uv_run (&loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&loop), 0);
}
END_TEST

/* Guards against an owner that goes on when another one has taken over.  */
START_TEST (refused)
{
  uv_loop_t loop;
  uv_loop_init (&loop);
  struct rr_dispatch *d;
  struct worker_connection *c = connection_open (&loop, &d);
  poll_done (poll_data, RR_OUTCOME_FENCED, NULL);
  ck_assert_int_eq (fenced_count, 1);
  worker_connection_close (c);
  rr_dispatch_free (d);
  uv_run (&loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&loop), 0);
}
END_TEST

/* Guards against owners that use up the connections of a worker (LOST): what
   one has open when it loses power stays open at the worker, so an owner has
   one connection there for its commands, beside that of its poll.  */
START_TEST (one_connection_for_commands)
{
  enum
  {
    COMMANDS = 6
  };
  uv_loop_t loop;
  uv_loop_init (&loop);
  struct rr_dispatch *d;
  struct worker_connection *c = connection_open (&loop, &d);
  struct rr_worker_report report
      = { .started_ms = 5, .token = 7, .clock_ms = 1 };
  struct rr_run_status runs[COMMANDS];
  memset (runs, 0, sizeof runs);
  for (int i = 0; i < COMMANDS; i++)
    {
      runs[i].name.task = i;
      runs[i].name.run = 1;
      snprintf (runs[i].name.job, sizeof runs[i].name.job, "unknown");
    }
  report.running = runs;
  report.running_count = COMMANDS;
  poll_done (poll_data, RR_OUTCOME_ACCEPTED, &report);
  /* Runs of an unknown job are stopped.  */
  for (int i = 0; i < COMMANDS; i++)
    {
      struct rr_command stop = { .kind = RR_COMMAND_STOP,
                                 .worker_id = "w1",
                                 .name = runs[i].name };
      worker_connection_send (c, &stop);
    }
  for (int i = 0; i < COMMANDS; i++)
    {
      ck_assert_int_eq (commands_in_flight, 1);
      command_answer ();
    }
  ck_assert_int_eq (commands_in_flight, 0);
  worker_connection_close (c);
  rr_dispatch_free (d);
  uv_run (&loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&loop), 0);
}
END_TEST

SUITE ("worker connection", refused_after_close, refused,
       one_connection_for_commands)
