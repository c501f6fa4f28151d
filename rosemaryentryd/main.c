#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/log.h"
#include "common/upstream.h"
#include "rosemaryentryd/entry.h"
#include "rosemaryentryd/front.h"
#include "rosemaryentryd/metrics.h"
#include "rosemaryentryd/owners.h"
#include "rosemaryentryd/peer_statistics.h"
#include "rosemaryentryd/peers.h"
#include "rosemaryentryd/session.h"

enum
{
  SHUTDOWN_TICK_MS = 20,
  /* After SIGTERM the load balancer needs two failed checks, a second apart,
     to send callers elsewhere; until then requests are served.  */
  DRAIN_MS = 2300,
  /* The shards are handed over this long after SIGTERM at the latest.  */
  HANDOVER_MS = 600,
  /* A request may be on its way; the daemon ends once none has come for this
     long.  */
  QUIET_MS = 400,
  EXIT_MARGIN_MS = 700 /* before the kill */
};

static const char usage[]
    = "usage: rosemaryentryd [--check] [FILE]\n"
      "Serves callers of one entry VM.  FILE, or the file that\n"
      "ROSEMARYRAIL_SETTINGS names, holds the settings.\n"
      "  --check  report errors in the settings and exit\n";

/* State of a graceful shutdown.  */
struct stop
{
  struct entry *entry;
  uv_signal_t term;
  uv_signal_t interrupt;
  uv_signal_t hangup;
  uv_timer_t timer;
  struct rr_time began;
  bool handed_over;
  size_t handled;       /* requests of callers so far */
  struct rr_time quiet; /* since when there has been none */
  bool ending;          /* the last round looked at what has arrived */
  const char *path;
};

static void
on_stop_tick (uv_timer_t *timer)
{
  struct stop *s = timer->data;
  struct entry *e = s->entry;
  int64_t age = rr_time_diff (entry_now (), s->began);
  if (!s->handed_over && (owners_released (e->owners) || age > HANDOVER_MS))
    {
      s->handed_over = true;
      log_event (LOG_LEVEL_INFO, "handed_over", "ms=%lld shards=%zu",
                 (long long)age, owners_shard_count (e->owners));
      owners_lease_lost (e->owners);
      session_close (e->session);
    }
  if (front_in_progress (e->front) > 0
      || front_handled (e->front) != s->handled)
    s->quiet = entry_now ();
  s->handled = front_handled (e->front);
  bool quiet = rr_time_diff (entry_now (), s->quiet) >= QUIET_MS;
  bool last = age >= e->settings.shutdown_ms - EXIT_MARGIN_MS;
  if (!s->handed_over || age < DRAIN_MS || (!quiet && !last))
    {
      s->ending = false;
      return;
    }
  /* After a pause of the process, requests that came meanwhile are read only
     in the round of the loop that follows.  */
  if (!s->ending && !last)
    {
      s->ending = true;
      return;
    }
  log_event (LOG_LEVEL_INFO, "stopped", "ms=%lld in_progress=%zu",
             (long long)age, front_in_progress (e->front));
  /* uv_stop would read requests once more, which nobody would answer.  */
  log_flush ();
  exit (0);
}

static void
on_term (uv_signal_t *signal, int number)
{
  struct stop *s = signal->data;
  if (s->entry->stopping)
    return;
  s->entry->stopping = true;
  s->began = entry_now ();
  log_event (LOG_LEVEL_INFO, "stopping", "signal=%d", number);
  s->quiet = s->began;
  front_drain (s->entry->front);
  owners_release (s->entry->owners);
  uv_timer_start (&s->timer, on_stop_tick, 0, SHUTDOWN_TICK_MS);
}

/* Settings that can change while the daemon runs are times only; the others
   need a restart.  */
static void
on_hangup (uv_signal_t *signal, int number)
{
  (void)number;
  struct stop *s = signal->data;
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
  log_event (LOG_LEVEL_INFO, "reloaded", "path=%s", s->path);
}

static void
watch_signals (struct stop *s)
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
  uv_signal_start (&s->term, on_term, SIGTERM);
  uv_signal_start (&s->interrupt, on_term, SIGINT);
  uv_signal_start (&s->hangup, on_hangup, SIGHUP);
}

static void
on_round (uv_prepare_t *prepare)
{
  (void)prepare;
  log_flush ();
}

static int
run (struct entry *e, const char *path)
{
  static uv_prepare_t rounds;
  static struct stop stop;
  struct rr_error err = { 0 };
  signal (SIGPIPE, SIG_IGN);
  srand ((unsigned)entry_wall_ms () ^ (unsigned)getpid ());
  e->loop = uv_default_loop ();
  stop.entry = e;
  stop.path = path;
  watch_signals (&stop);
  e->store = store_open (e->loop, e->settings.store.address,
                         e->settings.store.port);
  if (e->store == NULL)
    {
      fprintf (stderr, "rosemaryentryd: bad address of the store\n");
      return 1;
    }
  if (e->settings.permits.port != 0)
    e->permits = upstream_open (e->loop, e->settings.permits.address,
                                e->settings.permits.port);
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
  e->peer_statistics = peer_statistics_open (e);
  e->owners = owners_open (e);
  records_open (e);
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
  uv_prepare_init (e->loop, &rounds);
  uv_prepare_start (&rounds, on_round);
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
  return run (&e, path);
}
