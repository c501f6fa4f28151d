#include "rosemaryentryd/shard_private.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryentryd/owners.h"
#include "rosemaryentryd/peer_statistics.h"
#include "rosemaryentryd/permit_queue.h"
#include "rosemaryentryd/session.h"
#include "rosemaryentryd/store_cache.h"

const char *
shard_name (const struct shard *s)
{
  return s->record->name;
}

int64_t
shard_fencing_token (const struct shard *s)
{
  return s->fencing_token;
}

/* Frees S once it is closed and no call or timer refers to it.  */
void
shard_free_if_unused (struct shard *s)
{
  if (!s->closed || s->calls_in_flight > 0 || s->timers_open > 0)
    return;
  shard_transfer_clear (s);
  shard_divide_clear (s);
  free (s->unconfirmed);
  rr_dispatch_free (s->dispatch);
  rr_table_free (s->connections);
  rr_key_index_free (s->connection_index);
  free (s->membership.workers);
  free (s->membership.text);
  free (s->published_pending);
  free (s->commands);
  shard_commit_clear (s);
  free (s);
}

static void
on_timer_closed (uv_handle_t *h)
{
  struct shard *s = h->data;
  s->timers_open--;
  shard_free_if_unused (s);
}

/* Stops serving the shard: sends no more commands and writes nothing more to
   the store.  S is freed when its calls in flight have ended.  */
void
shard_close (struct shard *s)
{
  s->closed = true;
  shard_jobs_log_unconfirmed (s);
  struct rr_handle h = { 0 };
  struct worker_connection **c;
  while ((c = rr_table_next (s->connections, &h)) != NULL)
    worker_connection_close (*c);
  rr_table_free (s->connections);
  rr_key_index_free (s->connection_index);
  s->connections = rr_table_new (sizeof (struct worker_connection *));
  s->connection_index = rr_key_index_new ();
  uv_close ((uv_handle_t *)&s->tick, on_timer_closed);
  uv_close ((uv_handle_t *)&s->plan_timer, on_timer_closed);
  uv_close ((uv_handle_t *)&s->commit_timer, on_timer_closed);
}

/* Gives up the shard, since another daemon owns or may own it.  WHY is for
   the log.  */
void
shard_abandon (struct shard *s, const char *why)
{
  if (!s->closed)
    owners_shard_lost (s->entry->owners, s, why);
}

/* Returns the last time at which this daemon certainly owned the shard.  */
static struct rr_time
ownership_confirmed_at (const struct shard *s)
{
  struct rr_time lease_alive = session_confirmed_at (s->entry->session);
  struct rr_time records_read
      = store_cache_complete_at (s->entry->records_cache);
  return rr_time_before (lease_alive, records_read) ? lease_alive
                                                    : records_read;
}

/* Returns the time until which this daemon may act as the owner.  No lease of
   a task ends later.  */
static struct rr_time
ownership_valid_until (void *data)
{
  const struct shard *s = data;
  return rr_time_add (
      ownership_confirmed_at (s),
      inheritance_ownership_ms (s->entry->settings.lease_max_ms));
}

/* Collects a command of the dispatcher until the planning round is over.  */
static void
on_command (void *data, const struct rr_command *command)
{
  struct shard *s = data;
  if (s->command_count == s->command_capacity)
    {
      s->command_capacity
          = s->command_capacity == 0 ? 64 : s->command_capacity * 2;
      s->commands
          = realloc (s->commands, s->command_capacity * sizeof *s->commands);
      assert (s->commands != NULL);
    }
  rr_command_retain (command);
  s->commands[s->command_count++] = *command;
}

/* Counts and logs a decision of the dispatcher.  */
static void
on_decision (void *data, const char *event, const char *text)
{
  const struct shard *s = data;
  entry_metrics_event (s->entry->metrics, event);
  log_event (LOG_LEVEL_INFO, event, "shard=%s token=%lld %s", s->record->name,
             (long long)s->fencing_token, text);
}

/* Returns whether steps of S need permits, and sets URGENCY to that of the
   most urgent one.  */
bool
shard_permits_wanted (const struct shard *s, struct rr_permit_urgency *urgency)
{
  return rr_dispatch_permits_wanted (s->dispatch, urgency);
}

/* Fills REQUEST for the step of S that needs permits most urgently.  Returns
   false when there is nothing to ask; otherwise shard_permits_answered must be
   called.  */
bool
shard_permits_request (struct shard *s, const struct rr_permit_calls *calls,
                       struct rr_permit_request *request)
{
  if (!rr_dispatch_permits_request (s->dispatch, calls, request, entry_now ()))
    return false;
  s->calls_in_flight++;
  return true;
}

/* Passes on the answer R to a request for the step of NAME.  The permits were
   issued at ISSUED or later.  */
void
shard_permits_answered (struct shard *s, const struct rr_run_name *name,
                        const struct permits_response *r, int64_t valid_ms,
                        struct rr_time issued)
{
  s->calls_in_flight--;
  if (s->closed)
    {
      shard_free_if_unused (s);
      return;
    }
  rr_dispatch_permits_set (s->dispatch, name, r->permits, r->count, valid_ms,
                           issued, entry_now ());
  shard_schedule_planning (s);
}

/* Returns the connection to the worker, or null.  */
struct worker_connection *
shard_worker_connection (const struct shard *s, const char *worker_id)
{
  struct worker_connection **c = rr_table_get (
      s->connections, rr_key_index_get (s->connection_index, worker_id));
  return c == NULL ? NULL : *c;
}

static void
add_connection (struct shard *s, struct worker_connection *connection)
{
  struct rr_handle h;
  struct worker_connection **c = rr_table_insert (s->connections, &h);
  *c = connection;
  rr_key_index_put (s->connection_index,
                    worker_connection_worker_id (connection), h);
}

static void
drop_connection (struct shard *s, const char *worker_id)
{
  struct rr_handle h = rr_key_index_get (s->connection_index, worker_id);
  struct worker_connection **c = rr_table_get (s->connections, h);
  if (c == NULL)
    return;
  struct worker_connection *connection = *c;
  rr_key_index_remove (s->connection_index, worker_id);
  rr_table_remove (s->connections, h);
  worker_connection_close (connection);
}

/* Sends the commands of the planning round.  */
static void
send_commands (struct shard *s)
{
  size_t n = s->command_count;
  for (size_t i = 0; i < n && !s->closed; i++)
    {
      struct worker_connection *c
          = shard_worker_connection (s, s->commands[i].worker_id);
      if (c != NULL)
        worker_connection_send (c, &s->commands[i]);
      else
        rr_dispatch_command_answered (
            s->dispatch, s->commands[i].worker, s->commands[i].kind,
            &s->commands[i].name, RR_OUTCOME_NOT_SENT, 0, entry_now ());
    }
  for (size_t i = 0; i < n; i++)
    rr_command_release (&s->commands[i]);
  s->command_count = 0;
}

/* Returns the last time at which the store may have told others what this
   daemon does not know: when it last responded, or when this process went on
   after a pause.  */
static struct rr_time
store_last_heard (struct shard *s, struct rr_time now)
{
  if (rr_time_diff (now, s->planned) > PAUSE_MS)
    s->resumed = now;
  s->planned = now;
  struct rr_time responded = session_confirmed_at (s->entry->session);
  return rr_time_before (responded, s->resumed) ? s->resumed : responded;
}

static void
shard_plan (struct shard *s)
{
  struct rr_time now = entry_now ();
  struct rr_time until = s->stopping ? rr_time_from_ms (INT64_MIN / 2)
                                     : ownership_valid_until (s);
  rr_dispatch_registrations_set_time (
      s->dispatch, store_cache_complete_at (s->entry->workers_cache),
      store_last_heard (s, now));
  rr_dispatch_plan (s->dispatch, ownership_confirmed_at (s), until,
                    command_window_room (&s->entry->command_window), now);
  send_commands (s);
  permit_queue_advance (s->entry->permits);
  const char *ids[1];
  bool urgent;
  if (!s->closed && !s->committing
      && rr_dispatch_jobs_changed (s->dispatch, ids, 1, &urgent) > 0)
    shard_schedule_commit (s, urgent ? 0 : COMMIT_DELAY_MS);
}

static void
on_plan_timer (uv_timer_t *timer)
{
  shard_plan (timer->data);
}

/* Runs a planning round after a short delay, which batches events.  */
void
shard_schedule_planning (struct shard *s)
{
  if (!uv_is_active ((uv_handle_t *)&s->plan_timer))
    uv_timer_start (&s->plan_timer, on_plan_timer, PLAN_DELAY_MS, 0);
}

static void
drop_idle_workers (struct shard *s, struct rr_time now)
{
  struct rr_handle h = { 0 };
  struct worker_connection **c;
  while ((c = rr_table_next (s->connections, &h)) != NULL)
    {
      struct rr_handle worker = worker_connection_worker (*c);
      if (!rr_dispatch_worker_droppable (s->dispatch, worker, now))
        continue;
      drop_connection (s, worker_connection_worker_id (*c));
      rr_dispatch_worker_drop (s->dispatch, worker, now);
    }
}

static void
on_tick (uv_timer_t *timer)
{
  struct shard *s = timer->data;
  struct rr_time now = entry_now ();
  drop_idle_workers (s, now);
  shard_jobs_catch_up (s, now);
  shard_write_membership (s);
  shard_write_load (s, now);
  shard_forget_jobs (s, now);
  shard_summarize_jobs (s, now);
  shard_transfer_jobs (s, now);
  shard_divide_jobs (s, now);
  shard_send_statistics (s, now);
  shard_plan (s);
}

static void
on_worker_changed (void *data)
{
  shard_schedule_planning (data);
}

static void
on_fenced (void *data)
{
  shard_abandon (data, "fenced-by-worker");
}

/* Adds a worker of the shard or takes over its changed registration; connects
   to it.  */
void
shard_worker_update (struct shard *s, const struct platform_worker *w)
{
  struct rr_handle h
      = rr_dispatch_worker_set (s->dispatch, &w->info, entry_now ());
  struct worker_connection *c = shard_worker_connection (s, w->info.id);
  if (c != NULL && !worker_connection_same_address (c, w))
    {
      drop_connection (s, w->info.id);
      rr_dispatch_commands_abandoned (s->dispatch, h, entry_now ());
      c = NULL;
    }
  if (c == NULL && rr_table_count (s->connections) < WORKER_CONNECTIONS_MAX)
    {
      struct worker_connection_owner owner
          = { .data = s,
              .dispatch = s->dispatch,
              .window = &s->entry->command_window,
              .valid_until = ownership_valid_until,
              .changed = on_worker_changed,
              .fenced = on_fenced };
      add_connection (s,
                      worker_connection_open (s->entry->loop, &owner, w, h));
    }
  shard_schedule_planning (s);
}

/* The worker W is no longer registered; tasks may still run there.  */
void
shard_worker_unlist (struct shard *s, const struct platform_worker *w)
{
  rr_dispatch_worker_unregister (s->dispatch, w->info.id, entry_now ());
  shard_schedule_planning (s);
}

/* Passes the current policies of the queues to the dispatcher.  */
void
shard_queues_update (struct shard *s)
{
  const struct rr_queues *q = s->entry->queues;
  for (size_t i = 0; q != NULL && i < q->route_count; i++)
    rr_dispatch_queue_set (s->dispatch, &q->routes[i].policy);
}

/* Starts no more tasks; running tasks continue.  */
void
shard_stop_starting (struct shard *s)
{
  s->stopping = true;
  rr_dispatch_release (s->dispatch, entry_now ());
}

/* Returns whether the next owner can take over: all progress is stored, and
   the membership record.  */
bool
shard_released (struct shard *s)
{
  const char *ids[1];
  bool urgent;
  return shard_release_recorded (s) && !s->committing
         && rr_dispatch_jobs_changed (s->dispatch, ids, 1, &urgent) == 0;
}

static void
open_timers (struct shard *s)
{
  uv_timer_t *timers[] = { &s->tick, &s->plan_timer, &s->commit_timer };
  for (size_t i = 0; i < sizeof timers / sizeof timers[0]; i++)
    {
      uv_timer_init (s->entry->loop, timers[i]);
      timers[i]->data = s;
      s->timers_open++;
    }
  uv_timer_start (&s->tick, on_tick, 0, TICK_MS);
}

/* Returns how old the knowledge of the workers may be when a task starts, so
   that none arrives at a worker that has drained for DRAIN_MS.  */
static int64_t
registration_age_max_ms (int64_t drain_ms)
{
  int64_t age_ms = drain_ms - START_DELIVERY_MS;
  return age_ms > START_DELIVERY_MS ? age_ms : START_DELIVERY_MS;
}

/* Starts to serve the shard RECORD, which this daemon owns since the revision
   FENCING_TOKEN.  INHERITED: the shard had an owner before.  */
struct shard *
shard_open (struct entry *e, struct shard_record *record,
            int64_t fencing_token, bool inherited)
{
  struct shard *s = calloc (1, sizeof *s);
  assert (s != NULL);
  s->entry = e;
  s->record = record;
  s->planned = entry_now ();
  s->fencing_token = fencing_token;
  s->connections = rr_table_new (sizeof (struct worker_connection *));
  s->connection_index = rr_key_index_new ();
  snprintf (s->owner_key, sizeof s->owner_key, "%s%s", KEY_OWNER,
            record->name);
  struct rr_dispatch_options o
      = { .fencing_token = fencing_token,
          .lease_ms = TASK_LEASE_MS < e->settings.lease_max_ms
                          ? TASK_LEASE_MS
                          : e->settings.lease_max_ms,
          .lease_max_ms = e->settings.lease_max_ms,
          .registration_age_max_ms
          = registration_age_max_ms (e->settings.drain_ms),
          .remote_factor = e->settings.remote_factor,
          .progress_max_bytes = (size_t)e->settings.value_max_bytes,
          .wall_offset_ms = entry_wall_ms () - entry_now ().ms,
          .send_command = on_command,
          .log_decision = on_decision,
          .data = s };
  s->dispatch = rr_dispatch_new (&o);
  peer_statistics_merge (e->peer_statistics, s->dispatch);
  open_timers (s);
  shard_queues_update (s);
  if (inherited)
    shard_inherit_workers (s);
  struct rr_handle h = { 0 };
  const struct job_record *j;
  size_t jobs = 0;
  while ((j = records_job_next (e->records, &h)) != NULL)
    if (strcmp (j->shard, record->name) == 0)
      {
        shard_job_update (s, j, inherited);
        jobs++;
      }
  struct rr_handle hw = { 0 };
  const struct platform_worker *w;
  while ((w = records_worker_next (e->records, &hw)) != NULL)
    if (records_shard_of_worker (e->records, w) == record)
      shard_worker_update (s, w);
  log_event (LOG_LEVEL_INFO, "shard_owned",
             "shard=%s token=%lld inherited=%s jobs=%zu workers=%zu",
             record->name, (long long)fencing_token,
             inherited ? "true" : "false", jobs,
             rr_table_count (s->connections));
  return s;
}
