#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "rosemaryraild/charts.h"
#include "rosemaryraild/config_keeper.h"
#include "rosemaryraild/daemon.h"
#include "rosemaryraild/front.h"
#include "rosemaryraild/peers.h"
#include "rosemaryraild/shards.h"
#include "rosemaryraild/workers.h"

enum
{
  SHUTDOWN_POLL_MS = 50,
  HANDOVER_TIMEOUT_MS = 3000,
  /* Requests end by their deadline, 120 s at most.  A request that is still in
     progress later would never end.  */
  SHUTDOWN_MAX_MS = 130000
};

/* State of a graceful shutdown.  */
struct shutdown
{
  struct daemon *d;
  uv_signal_t term;
  uv_signal_t interrupt;
  uv_timer_t timer;
  struct rr_time drain_deadline;
  struct rr_time handover_deadline;
  bool listener_closed;
};

/* Ends the process once nothing is in progress: /readyz has returned 503 for
   the drain time, every request has been answered, and the shards and workers
   have been handed over or the time limit for that has passed.  */
static void
on_shutdown_poll (uv_timer_t *timer)
{
  struct shutdown *s = timer->data;
  struct daemon *d = s->d;
  struct rr_time now = daemon_now ();
  if (rr_time_before (now, s->drain_deadline))
    return;
  if (!s->listener_closed)
    {
      s->listener_closed = true;
      s->handover_deadline = rr_time_add (now, HANDOVER_TIMEOUT_MS);
      front_shutdown (d->front);
      log_event (LOG_LEVEL_INFO, "listener_closed", "in_progress=%zu",
                 front_in_progress_count (d->front));
    }
  if (front_in_progress_count (d->front) > 0
      || workers_requests_in_progress (d->workers) > 0)
    return;
  if (!shards_all_released (d->shards)
      && rr_time_before (now, s->handover_deadline))
    return;
  log_event (LOG_LEVEL_INFO, "stopped", "handed_over=%s in_progress=%zu",
             shards_handed_over (d->shards) ? "true" : "false",
             front_in_progress_count (d->front));
  uv_stop (d->loop);
}

static void
on_signal (uv_signal_t *signal, int number)
{
  struct shutdown *s = signal->data;
  if (s->d->stopping)
    return;
  s->d->stopping = true;
  log_event (LOG_LEVEL_INFO, "stopping", "signal=%d drain_ms=%lld", number,
             (long long)s->d->settings.drain_ms);
  s->drain_deadline = rr_time_add (daemon_now (), s->d->settings.drain_ms);
  uv_timer_start (&s->timer, on_shutdown_poll, 0, SHUTDOWN_POLL_MS);
  daemon_broadcast (s->d, MESSAGE_STOP);
}

static void
handle_signals (struct shutdown *s, struct daemon *d)
{
  s->d = d;
  s->timer.data = s;
  s->term.data = s;
  s->interrupt.data = s;
  uv_timer_init (d->loop, &s->timer);
  uv_signal_init (d->loop, &s->term);
  uv_signal_init (d->loop, &s->interrupt);
  uv_signal_start (&s->term, on_signal, SIGTERM);
  uv_signal_start (&s->interrupt, on_signal, SIGINT);
}

static void
actor_init (struct actor *a, const char *name, void *state,
            void (*handle) (void *, struct message *))
{
  *a = (struct actor){ .name = name, .state = state, .handle = handle };
}

/* Checks the state charts whose states the library implements itself, so that
   a damaged chart directory is detected at startup.  */
static bool
check_library_charts (const char *directory, struct rr_error *err)
{
  static const char *const names[] = { "attempt", "shard" };
  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    {
      struct rr_chart *c = chart_load_file (directory, names[i], err);
      if (c == NULL)
        return false;
      rr_chart_free (c);
    }
  return true;
}

/* Initializes the daemon and opens all actors.  Returns false and sets ERR if
   that fails.  */
static bool
daemon_start (struct daemon *d, struct rr_error *err)
{
  const struct settings *s = &d->settings;
  d->loop = uv_default_loop ();
  d->incarnation = (uint64_t)daemon_wall_ms ();
  d->rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (d->rng, d->incarnation ^ (uint64_t)getpid () << 20);
  message_router_open (&d->message_router, d->loop);
  metrics_open (&d->metrics);
  d->histograms = rr_histogram_set_new ();
  d->http = http_client_open (d->loop, err);
  if (d->http == NULL || !check_library_charts (s->chart_directory, err)
      || !request_chart_open (&d->request_chart, s->chart_directory, err))
    return false;
  d->platform = platform_open (d->http, s->platform_address,
                               (uint16_t)s->platform_port,
                               (uint64_t)s->platform_timeout_ms);
  d->config = config_keeper_open (d, err);
  d->shards = shards_open (d, err);
  d->workers = workers_open (d, err);
  if (d->config == NULL || d->shards == NULL || d->workers == NULL)
    return false;
  d->peers = peers_open (d, err);
  d->front = d->peers == NULL ? NULL : front_open (d, err);
  if (d->front == NULL)
    return false;
  actor_init (&d->front_actor, "front", d->front, front_handle);
  actor_init (&d->peers_actor, "peers", d->peers, peers_handle);
  actor_init (&d->config_actor, "config", d->config, config_keeper_handle);
  actor_init (&d->shards_actor, "shards", d->shards, shards_handle);
  actor_init (&d->workers_actor, "workers", d->workers, workers_handle);
  return true;
}

int
main (int argc, char **argv)
{
  static struct daemon d;
  static struct shutdown s;
  struct rr_error err = { 0 };
  enum settings_outcome outcome
      = settings_from_arguments ("rosemaryraild", argc, argv, &d.settings);
  if (outcome != SETTINGS_READ)
    return settings_exit_code (outcome);
  enum log_level level = LOG_LEVEL_INFO;
  log_level_from_name (d.settings.log_level, &level);
  log_open ("rosemaryraild", level);
  signal (SIGPIPE, SIG_IGN);
  if (!daemon_start (&d, &err))
    {
      fprintf (stderr, "rosemaryraild: %s\n", err.message);
      return EXIT_FAILURE;
    }
  handle_signals (&s, &d);
  log_event (LOG_LEVEL_INFO, "started",
             "name=%s zone=%s incarnation=%llu http_port=%lld rpc_port=%lld",
             d.settings.name, d.settings.zone,
             (unsigned long long)d.incarnation,
             (long long)d.settings.http_port, (long long)d.settings.rpc_port);
  uv_run (d.loop, UV_RUN_DEFAULT);
  return EXIT_SUCCESS;
}
