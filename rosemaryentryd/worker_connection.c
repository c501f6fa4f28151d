#include "rosemaryentryd/worker_connection.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "platform/worker.h"
#include "rosemaryrail/answer_time.h"

enum
{
  /* Longest time between two status reports.  */
  POLL_WAIT_MS = RR_POLL_WAIT_MAX_MS,
  /* For an answer over a slow network, besides the wait.  */
  ANSWER_TIMEOUT_MS = 600,
  /* The same for a worker whose answers take longer.  */
  ANSWER_TIMEOUT_MAX_MS = 3000,
  /* An answer that comes later is still used, for as long as a lease: it says
     what runs on a slow worker, and which runs have ended.  Meanwhile the
     worker is polled on other connections.  */
  POLL_ANSWER_MAX_MS = 4500,
  POLLS_IN_FLIGHT_MAX = 3,
  POLL_RETRY_MIN_MS = 50,
  POLL_RETRY_MAX_MS = 400,
  /* A poll returns at once while the worker has ends that are not stored yet,
     so the next poll is delayed until they are, but at most this long, since
     polls renew the leases.  */
  STORE_WAIT_MAX_MS = 400,
  POLL_DELAY_MS = 10, /* batches ends that happen together */
  /* Between polls that may not renew leases, until the membership record says
     that the worker is back.  */
  RECORD_WAIT_MS = 100,
  /* Connections of an owner that has lost power stay open at the worker, which
     takes only so many.  So one is used for commands, beside the poll's.  */
  COMMANDS_IN_FLIGHT_MAX = 1,
  /* A command without its spec: headers and the other fields.  */
  COMMAND_BYTES = 500,
  COMMAND_WAIT_REPORT_MS = 400 /* a longer wait in the queue is logged */
};

/* A command, whose texts are retained.  */
struct queued_command
{
  struct rr_command command;
  struct worker_connection *connection;
  struct rr_time queued;
  struct rr_time sent;
  int64_t bytes; /* counted in the command window */
  int64_t token; /* with which it was sent */
  struct queued_command *next;
};

struct worker_connection
{
  uv_loop_t *loop;
  struct worker_connection_owner owner;
  struct upstream *upstream;
  char id[RR_JOB_NAME_SIZE];
  char address[RR_JOB_NAME_SIZE];
  uint16_t port;
  struct rr_handle worker;
  uv_timer_t timer; /* the next poll, or the timeout of the last one */
  bool polling;     /* the last poll may still be answered in time */
  bool renewing;    /* the last poll renews leases */
  uint64_t poll_number;
  struct rr_answer_time answer_time;
  size_t polls_in_flight; /* late ones included */
  bool awaiting_store;    /* the next poll waits until ends are stored */
  bool unresponsive;      /* the last poll had no valid answer */
  uint64_t retry_ms;
  size_t commands_in_flight;
  struct queued_command *queue_head;
  struct queued_command **queue_tail;
  size_t calls; /* in flight; the connection is freed after the last one */
  bool closed;
};

/* A poll in flight.  */
struct poll
{
  struct worker_connection *connection;
  uint64_t number;
  int64_t token;
  int64_t wait_ms;
  struct rr_time sent;
};

static void poll_worker (struct worker_connection *c);
static void schedule_poll (struct worker_connection *c, uint64_t ms);

const char *
worker_connection_worker_id (const struct worker_connection *c)
{
  return c->id;
}

struct rr_handle
worker_connection_worker (const struct worker_connection *c)
{
  return c->worker;
}

bool
worker_connection_same_address (const struct worker_connection *c,
                                const struct platform_worker *w)
{
  return c->port == w->port && strcmp (c->address, w->address) == 0;
}

static void
on_timer_closed (uv_handle_t *h)
{
  struct worker_connection *c = h->data;
  upstream_close (c->upstream);
  free (c);
}

/* Frees C once it is closed and no call refers to it.  */
static void
worker_connection_free_if_unused (struct worker_connection *c)
{
  if (c->closed && c->calls == 0 && !uv_is_closing ((uv_handle_t *)&c->timer))
    uv_close ((uv_handle_t *)&c->timer, on_timer_closed);
}

static void on_poll_unanswered (struct worker_connection *c,
                                enum rr_command_outcome outcome);

static void
on_timer (uv_timer_t *timer)
{
  struct worker_connection *c = timer->data;
  c->awaiting_store = false;
  if (c->closed)
    return;
  if (c->polling)
    on_poll_unanswered (c, RR_OUTCOME_UNKNOWN);
  else if (c->polls_in_flight < POLLS_IN_FLIGHT_MAX || !c->unresponsive)
    poll_worker (c);
  else
    schedule_poll (c, c->retry_ms);
}

static void
schedule_poll (struct worker_connection *c, uint64_t ms)
{
  uv_timer_start (&c->timer, on_timer, ms, 0);
}

static void
on_worker_responded (struct worker_connection *c)
{
  if (c->unresponsive)
    log_event (LOG_LEVEL_INFO, "vm_regained", "vm=%s", c->id);
  c->unresponsive = false;
  c->retry_ms = POLL_RETRY_MIN_MS;
}

static void
on_worker_unresponsive (struct worker_connection *c,
                        enum rr_command_outcome outcome)
{
  if (!c->unresponsive)
    log_event (LOG_LEVEL_WARN, "vm_lost", "vm=%s outcome=%s", c->id,
               rr_command_outcome_name (outcome));
  c->unresponsive = true;
  schedule_poll (c, c->retry_ms);
  if (c->retry_ms < POLL_RETRY_MAX_MS)
    c->retry_ms *= 2;
}

/* The last poll was not answered in time, or not at all.  */
static void
on_poll_unanswered (struct worker_connection *c,
                    enum rr_command_outcome outcome)
{
  c->polling = false;
  rr_dispatch_worker_unreachable (c->owner.dispatch, c->worker);
  on_worker_unresponsive (c, outcome);
  c->owner.changed (c->owner.data);
}

/* Returns how long after a report the next poll is sent, in ms.  */
static uint64_t
delay_until_next_poll (const struct worker_connection *c)
{
  if (c->awaiting_store)
    return STORE_WAIT_MAX_MS;
  return rr_dispatch_worker_awaits_record (c->owner.dispatch, c->worker)
             ? RECORD_WAIT_MS
             : POLL_DELAY_MS;
}

/* Applies a report, which may have come late.  */
static void
on_report (struct worker_connection *c, const struct rr_worker_report *report)
{
  on_worker_responded (c);
  rr_dispatch_report_apply (c->owner.dispatch, c->worker, report,
                            entry_now ());
  /* A probe that is waited for renews no lease.  An answered poll that does
     is waited for, and its answer schedules the next one.  */
  if (!c->polling || !c->renewing)
    {
      c->polling = false;
      c->awaiting_store = rr_dispatch_worker_has_unstored_ends (
          c->owner.dispatch, c->worker);
      schedule_poll (c, delay_until_next_poll (c));
    }
  c->owner.changed (c->owner.data);
}

/* Returns whether a worker that refuses a call for its TOKEN knows another
   owner: the tokens of commands to its former lives are lower than its
   own.  */
static bool
token_current (const struct worker_connection *c, int64_t token)
{
  return token >= rr_dispatch_worker_token (c->owner.dispatch, c->worker);
}

static uint64_t
answer_timeout_ms (const struct worker_connection *c)
{
  return rr_answer_timeout_ms (&c->answer_time, ANSWER_TIMEOUT_MS,
                               ANSWER_TIMEOUT_MAX_MS);
}

/* The poll P is answered.  One that is answered early tells only how long the
   answer took at most.  */
static void
learn_answer_time (struct worker_connection *c, const struct poll *p)
{
  int64_t ms = rr_time_diff (entry_now (), p->sent);
  if (ms > p->wait_ms)
    rr_answer_time_add (&c->answer_time, ms - p->wait_ms);
  else if (ms < c->answer_time.seen_ms)
    rr_answer_time_add (&c->answer_time, ms);
}

static void
on_poll_done (void *data, enum rr_command_outcome outcome,
              const struct rr_worker_report *report)
{
  struct poll *poll = data;
  struct worker_connection *c = poll->connection;
  bool in_time = c->polling && poll->number == c->poll_number;
  /* The dispatcher of a closed connection may be gone.  */
  bool fenced = !c->closed && outcome == RR_OUTCOME_FENCED
                && token_current (c, poll->token);
  if (report != NULL)
    learn_answer_time (c, poll);
  free (poll);
  c->calls--;
  c->polls_in_flight--;
  if (c->closed)
    worker_connection_free_if_unused (c);
  else if (fenced)
    c->owner.fenced (c->owner.data);
  else if (report != NULL)
    {
      if (in_time)
        c->polling = false;
      on_report (c, report);
    }
  else if (in_time)
    on_poll_unanswered (c, outcome);
}

static void
poll_worker (struct worker_connection *c)
{
  struct rr_time now = entry_now ();
  struct platform_worker_poll k = {
    .id = c->id,
    .token = rr_dispatch_worker_token (c->owner.dispatch, c->worker),
    .observed
    = rr_dispatch_worker_stored_end (c->owner.dispatch, c->worker, now),
    .timeout_ms = POLL_ANSWER_MAX_MS,
  };
  k.lease_end = rr_dispatch_worker_lease (
      c->owner.dispatch, c->worker, c->owner.valid_until (c->owner.data), now);
  /* There is no lease while the worker's clock is not known or the worker is
     unresponsive.  */
  if (k.lease_end > 0)
    k.wait_ms = POLL_WAIT_MS;
  struct poll *poll = calloc (1, sizeof *poll);
  assert (poll != NULL);
  poll->connection = c;
  poll->number = ++c->poll_number;
  poll->token = k.token;
  poll->wait_ms = k.wait_ms;
  poll->sent = now;
  c->polling = true;
  c->renewing = k.lease_end > 0;
  c->calls++;
  c->polls_in_flight++;
  schedule_poll (c, (uint64_t)k.wait_ms + answer_timeout_ms (c));
  platform_worker_poll (c->upstream, &k, entry_now, on_poll_done, poll);
}

/* Progress was stored.  Polls the worker if all ends that it listed are
   stored, so that it can drop them.  */
void
worker_connection_progress_stored (struct worker_connection *c)
{
  if (!c->awaiting_store || c->polling
      || rr_dispatch_worker_has_unstored_ends (c->owner.dispatch, c->worker))
    return;
  c->awaiting_store = false;
  poll_worker (c);
}

static void
queued_command_free (struct queued_command *q)
{
  command_window_remove (q->connection->owner.window, q->bytes);
  rr_command_release (&q->command);
  free (q);
}

static void send_commands (struct worker_connection *c);

static void
on_command_done (void *data, enum rr_command_outcome outcome, int64_t clock_ms,
                 int64_t connection_age_ms)
{
  struct queued_command *q = data;
  struct worker_connection *c = q->connection;
  c->calls--;
  c->commands_in_flight--;
  if (outcome != RR_OUTCOME_UNKNOWN && outcome != RR_OUTCOME_NOT_SENT)
    {
      struct rr_time now = entry_now ();
      command_window_answered (c->owner.window, rr_time_diff (now, q->queued),
                               now);
      rr_answer_time_add (&c->answer_time, rr_time_diff (now, q->sent));
    }
  bool fenced = !c->closed && outcome == RR_OUTCOME_FENCED;
  if (fenced && token_current (c, q->token))
    c->owner.fenced (c->owner.data);
  else if (!c->closed)
    {
      if (fenced)
        outcome = RR_OUTCOME_NOT_SENT;
      if (outcome != RR_OUTCOME_ACCEPTED)
        log_event (LOG_LEVEL_WARN, "order_failed",
                   "vm=%s kind=%s job=%s task=%d.%d.%d run=%llu outcome=%s",
                   c->id, rr_command_kind_name (q->command.kind),
                   q->command.name.job, q->command.name.occurrence,
                   q->command.name.step, q->command.name.task,
                   (unsigned long long)q->command.name.run,
                   rr_command_outcome_name (outcome));
      if (outcome == RR_OUTCOME_UNKNOWN)
        rr_dispatch_command_connected (
            c->owner.dispatch, c->worker, q->command.kind, &q->command.name,
            rr_time_add (entry_now (), -connection_age_ms));
      rr_dispatch_command_answered (c->owner.dispatch, c->worker,
                                    q->command.kind, &q->command.name, outcome,
                                    clock_ms, entry_now ());
      c->owner.changed (c->owner.data);
      send_commands (c);
    }
  queued_command_free (q);
  worker_connection_free_if_unused (c);
}

static void
send_command (struct worker_connection *c, struct queued_command *q)
{
  int64_t lease_end = 0;
  /* The command may have waited, or the process may have been suspended, since
     the decision: what counts is whether this daemon may act now.  */
  bool wanted
      = rr_time_before (entry_now (), c->owner.valid_until (c->owner.data))
        && rr_dispatch_command_begin (c->owner.dispatch, c->worker,
                                      q->command.kind, &q->command.name,
                                      entry_now ());
  if (wanted && q->command.kind == RR_COMMAND_START)
    {
      lease_end = rr_dispatch_worker_lease (
          c->owner.dispatch, c->worker, c->owner.valid_until (c->owner.data),
          entry_now ());
      wanted = lease_end > 0;
    }
  int64_t waited_ms = rr_time_diff (entry_now (), q->queued);
  if (waited_ms > COMMAND_WAIT_REPORT_MS)
    log_event (LOG_LEVEL_INFO, "order_waited",
               "vm=%s kind=%s job=%s task=%d.%d.%d run=%llu waited_ms=%lld "
               "sent=%s",
               c->id, rr_command_kind_name (q->command.kind),
               q->command.name.job, q->command.name.occurrence,
               q->command.name.step, q->command.name.task,
               (unsigned long long)q->command.name.run, (long long)waited_ms,
               wanted ? "true" : "false");
  c->calls++;
  c->commands_in_flight++;
  if (!wanted)
    {
      on_command_done (q, RR_OUTCOME_NOT_SENT, 0, 0);
      return;
    }
  q->token = rr_dispatch_worker_token (c->owner.dispatch, c->worker);
  q->sent = entry_now ();
  platform_worker_send_command (c->upstream, &q->command, q->token, lease_end,
                                answer_timeout_ms (c), on_command_done, q);
}

static void
send_commands (struct worker_connection *c)
{
  while (c->queue_head != NULL
         && c->commands_in_flight < COMMANDS_IN_FLIGHT_MAX)
    {
      struct queued_command *q = c->queue_head;
      c->queue_head = q->next;
      if (c->queue_head == NULL)
        c->queue_tail = &c->queue_head;
      send_command (c, q);
    }
}

/* Sends the command O, or queues it while too many are in flight.  */
void
worker_connection_send (struct worker_connection *c,
                        const struct rr_command *command)
{
  struct queued_command *q = calloc (1, sizeof *q);
  assert (q != NULL);
  q->command = *command;
  q->command.worker_id = c->id;
  q->connection = c;
  q->queued = entry_now ();
  rr_command_retain (command);
  q->bytes = COMMAND_BYTES + (int64_t)rr_text_length (q->command.spec);
  command_window_add (c->owner.window, q->bytes);
  *c->queue_tail = q;
  c->queue_tail = &q->next;
  send_commands (c);
}

/* Opens a connection to the worker W and starts to poll it.  */
struct worker_connection *
worker_connection_open (uv_loop_t *loop,
                        const struct worker_connection_owner *owner,
                        const struct platform_worker *w,
                        struct rr_handle worker)
{
  struct worker_connection *c = calloc (1, sizeof *c);
  assert (c != NULL);
  c->loop = loop;
  c->owner = *owner;
  c->worker = worker;
  c->retry_ms = POLL_RETRY_MIN_MS;
  c->queue_tail = &c->queue_head;
  snprintf (c->id, sizeof c->id, "%s", w->info.id);
  snprintf (c->address, sizeof c->address, "%s", w->address);
  c->port = w->port;
  c->upstream = upstream_open (loop, w->address, w->port);
  assert (c->upstream != NULL);
  uv_timer_init (loop, &c->timer);
  c->timer.data = c;
  poll_worker (c);
  return c;
}

/* Closes the connection; answers to calls in flight are ignored.  */
void
worker_connection_close (struct worker_connection *c)
{
  c->closed = true;
  uv_timer_stop (&c->timer);
  while (c->queue_head != NULL)
    {
      struct queued_command *q = c->queue_head;
      c->queue_head = q->next;
      queued_command_free (q);
    }
  c->queue_tail = &c->queue_head;
  worker_connection_free_if_unused (c);
}
