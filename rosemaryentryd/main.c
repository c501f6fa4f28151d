#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/log.h"
#include "rosemaryentryd/config_poll.h"
#include "rosemaryentryd/config_view.h"
#include "rosemaryentryd/entry.h"
#include "rosemaryentryd/front.h"
#include "rosemaryentryd/metrics.h"
#include "rosemaryentryd/owners.h"
#include "rosemaryentryd/peer_statistics.h"
#include "rosemaryentryd/peers.h"
#include "rosemaryentryd/permit_queue.h"
#include "rosemaryentryd/session.h"

enum
{
  SHUTDOWN_TICK_MS = 20,
  /* Requests are served for this long after SIGTERM at least: the load
     balancer needs two failed checks, one second apart, to send callers
     elsewhere.  */
  DRAIN_MIN_MS = 2300,
  /* Ownership of the shards is given up this long after SIGTERM at the latest.
   */
  HANDOVER_MAX_MS = 600,
  /* A request may still be on its way, so the daemon exits only after this
     long without one.  */
  IDLE_MS = 400,
  EXIT_MARGIN_MS = 700 /* before the platform's SIGKILL */
};

static const char usage[]
    = "usage: rosemaryentryd [--check] [FILE]\n"
      "Serves callers of one entry VM.  FILE, or the file that\n"
      "ROSEMARYRAIL_SETTINGS names, holds the settings.\n"
      "  --check  report errors in the settings and exit\n";

/* State of a graceful shutdown, and the handlers of signals.  */
struct shutdown_state
{
  struct entry *entry;
  uv_signal_t term;
  uv_signal_t interrupt;
  uv_signal_t hangup;
  uv_timer_t timer;
  struct rr_time started;
  bool handed_over;
  size_t requests_handled;    /* callers' requests by the previous tick */
  struct rr_time last_active; /* last tick with a request in progress */
  bool exit_next_tick;        /* unless a request arrives */
  const char *path;
};

static void
on_shutdown_tick (uv_timer_t *timer)
{
  struct shutdown_state *s = timer->data;
  struct entry *e = s->entry;
  int64_t age = rr_time_diff (entry_now (), s->started);
  if (!s->handed_over
      && (owners_released (e->owners) || age > HANDOVER_MAX_MS))
    {
      s->handed_over = true;
      log_event (LOG_LEVEL_INFO, "handed_over", "ms=%lld shards=%zu",
                 (long long)age, owners_shard_count (e->owners));
      owners_lease_lost (e->owners);
      session_close (e->session);
    }
  if (front_in_progress_count (e->front) > 0
      || front_handled_count (e->front) != s->requests_handled)
    s->last_active = entry_now ();
  s->requests_handled = front_handled_count (e->front);
  bool idle = rr_time_diff (entry_now (), s->last_active) >= IDLE_MS;
  bool at_limit = age >= e->settings.shutdown_ms - EXIT_MARGIN_MS;
  if (!s->handed_over || age < DRAIN_MIN_MS || (!idle && !at_limit))
    {
      s->exit_next_tick = false;
      return;
    }
  /* Requests that arrived while the process was suspended are read only in the
     next iteration of the loop, so wait for one more tick.  */
  if (!s->exit_next_tick && !at_limit)
    {
      s->exit_next_tick = true;
      return;
    }
  log_event (LOG_LEVEL_INFO, "stopped", "ms=%lld in_progress=%zu",
             (long long)age, front_in_progress_count (e->front));
  /* uv_stop would let the loop read further requests, which would then get no
     response.  */
  log_flush ();
  exit (0);
}

static void
on_stop_signal (uv_signal_t *signal, int number)
{
  struct shutdown_state *s = signal->data;
  if (s->entry->stopping)
    return;
  s->entry->stopping = true;
  s->started = entry_now ();
  log_event (LOG_LEVEL_INFO, "stopping", "signal=%d", number);
  s->last_active = s->started;
  front_drain (s->entry->front);
  owners_release (s->entry->owners);
  uv_timer_start (&s->timer, on_shutdown_tick, 0, SHUTDOWN_TICK_MS);
}

/* Applies the settings shutdown_s, retention_s and late_s from the file.  The
   others need a restart.  */
static void
on_reload_signal (uv_signal_t *signal, int number)
{
  (void)number;
  struct shutdown_state *s = signal->data;
  struct entry_settings fresh;
  struct rr_error err = { 0 };
  if (!entry_settings_load (s->path, &fresh, &err))
    {
      log_event (LOG_LEVEL_WARN, "reload_failed", "path=%s %s", s->path,
                 err.message);
      return;
    }
  s->entry->settings.shutdown_ms = fresh.shutdown_ms;
  s->entry->settings.retention_ms = fresh.retention_ms;
  s->entry->settings.late_ms = fresh.late_ms;
  log_event (LOG_LEVEL_INFO, "reloaded", "path=%s", s->path);
}

static void
signals_watch (struct shutdown_state *s)
{
  uv_loop_t *loop = s->entry->loop;
  uv_timer_init (loop, &s->timer);
  s->timer.data = s;
  uv_signal_init (loop, &s->term);
  uv_signal_init (loop, &s->interrupt);
  uv_signal_init (loop, &s->hangup);
  s->term.data = s;
  s->interrupt.data = s;
  s->hangup.data = s;
  uv_signal_start (&s->term, on_stop_signal, SIGTERM);
  uv_signal_start (&s->interrupt, on_stop_signal, SIGINT);
  uv_signal_start (&s->hangup, on_reload_signal, SIGHUP);
}

static void
on_loop_iteration (uv_prepare_t *prepare)
{
  (void)prepare;
  log_flush ();
}

static int
daemon_run (struct entry *e, const char *path)
{
  static uv_prepare_t iterations;
  static struct shutdown_state state;
  struct rr_error err = { 0 };
  signal (SIGPIPE, SIG_IGN);
  srand ((unsigned)entry_wall_ms () ^ (unsigned)getpid ());
  e->loop = uv_default_loop ();
  state.entry = e;
  state.path = path;
  signals_watch (&state);
  e->store = store_open (e->loop, e->settings.store.address,
                         e->settings.store.port);
  if (e->store == NULL)
    {
      fprintf (stderr, "rosemaryentryd: invalid store IP address\n");
      return 1;
    }
  if (e->settings.permits.port != 0)
    {
      e->permits = permit_queue_open (e);
      if (e->permits == NULL)
        {
          fprintf (stderr, "rosemaryentryd: invalid permits IP address\n");
          return 1;
        }
    }
  e->metrics = entry_metrics_open (e, &err);
  if (e->metrics == NULL)
    {
      fprintf (stderr, "rosemaryentryd: %s\n", err.message);
      return 1;
    }
  e->peers = peers_open (e, &err);
  if (e->peers == NULL)
    {
      fprintf (stderr, "rosemaryentryd: %s\n", err.message);
      return 1;
    }
  command_window_init (&e->command_window, e->settings.link_kbit);
  e->peer_statistics = peer_statistics_open (e);
  e->owners = owners_open (e);
  e->config = config_view_open (e);
  records_open (e);
  config_view_follow (e->config);
  e->config_poll = config_poll_open (e);
  e->session = session_open (e);
  e->front = front_open (e, &err);
  if (e->front == NULL)
    {
      fprintf (stderr, "rosemaryentryd: %s\n", err.message);
      return 1;
    }
  log_event (LOG_LEVEL_INFO, "started",
             "name=%s zone=%s zones=%zu front=%s:%u", e->settings.name,
             e->settings.zone, e->settings.zone_count,
             e->settings.front.address, e->settings.front.port);
  uv_prepare_init (e->loop, &iterations);
  uv_prepare_start (&iterations, on_loop_iteration);
  log_defer (true);
  uv_run (e->loop, UV_RUN_DEFAULT);
  log_flush ();
  return 0;
}

int
main (int argc, char **argv)
{
  static struct entry e;
  struct rr_error err = { 0 };
  bool check = argc > 1 && strcmp (argv[1], "--check") == 0;
  if (argc > 1 && strcmp (argv[1], "--help") == 0)
    {
      fputs (usage, stdout);
      return 0;
    }
  int first = check ? 2 : 1;
  const char *path
      = argc > first ? argv[first] : getenv ("ROSEMARYRAIL_SETTINGS");
  if (path == NULL || argc > first + 1)
    {
      fputs (usage, stderr);
      return 2;
    }
  log_open ("rosemaryentryd", LOG_LEVEL_INFO);
  if (!entry_settings_load (path, &e.settings, &err))
    {
      fprintf (stderr, "rosemaryentryd: %s: %s\n", path, err.message);
      return 1;
    }
  if (check)
    return 0;
  enum log_level level;
  if (log_level_from_name (e.settings.log_level, &level))
    {
      static char program[RR_JOB_NAME_SIZE + 32];
      snprintf (program, sizeof program, "rosemaryentryd daemon=%s",
                e.settings.name);
      log_open (program, level);
    }
  return daemon_run (&e, path);
}
