#include "rosemaryentryd/config_poll.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "rosemaryentryd/config_view.h"
#include "rosemaryentryd/metrics.h"
#include "rosemaryentryd/peers.h"

enum
{
  /* The age from which other daemons are asked, in percent of the time in
     which a change must be in force.  */
  POLL_PERCENT = 65,
  /* Between queries, as long as none helps: the first ones in quick
     succession, as some daemons may be as badly off as this one.  */
  QUERY_INTERVAL_MS = 50,
  QUERIES_QUICK = 8,
  QUERY_SLOW_INTERVAL_MS = 500,
  QUERIES_IN_FLIGHT_MAX = 3
};

struct config_poll
{
  struct entry *entry;
  uv_timer_t timer;
  size_t next; /* the daemon to ask */
  size_t in_flight;
  size_t useless; /* queries in a row that did not help */
  bool outdated;  /* as logged */
};

/* A query in flight.  */
struct config_query
{
  struct config_poll *poll;
  struct rr_time sent;
};

static void on_timer (uv_timer_t *timer);

static int64_t
poll_age_ms (const struct config_poll *p)
{
  return p->entry->settings.config_apply_ms * POLL_PERCENT / 100;
}

/* Returns the time until the next query while none has helped.  */
static int64_t
query_interval_ms (const struct config_poll *p)
{
  return p->useless < QUERIES_QUICK ? QUERY_INTERVAL_MS
                                    : QUERY_SLOW_INTERVAL_MS;
}

static void
schedule (struct config_poll *p, int64_t ms)
{
  uv_timer_start (&p->timer, on_timer, ms > 0 ? (uint64_t)ms : 0, 0);
}

/* Logs when the configuration begins to be too old to be relied on, and when
   it no longer is.  */
static void
log_currency (struct config_poll *p)
{
  const struct config_view *v = p->entry->config;
  bool outdated = !config_view_current (v);
  if (outdated == p->outdated)
    return;
  p->outdated = outdated;
  log_event (outdated ? LOG_LEVEL_WARN : LOG_LEVEL_INFO,
             outdated ? "config_outdated" : "config_current",
             "version=%lld age_ms=%lld peers=%zu",
             (long long)config_view_version (v),
             (long long)config_view_age_ms (v), peers_count (p->entry->peers));
  entry_metrics_event (p->entry->metrics,
                       outdated ? "config_outdated" : "config_current");
}

/* C is the answer of a daemon, or null.  What it knew, it knew before it
   answered, and at most its age before this daemon asked.  */
static void
on_answer (void *data, const struct peer_config *c)
{
  struct config_query *q = data;
  struct config_poll *p = q->poll;
  struct config_view *v = p->entry->config;
  p->in_flight--;
  bool has_version = c != NULL && c->known;
  if (has_version && c->text != NULL && c->text[0] != '\0')
    {
      struct config_document d = { .text = c->text,
                                   .length = strlen (c->text),
                                   .source = CONFIG_FROM_PEER,
                                   .origin = c->daemon };
      has_version = config_view_apply (v, &d);
    }
  if (has_version && c->age_ms >= 0 && c->age_ms < CONFIG_AGE_NEVER)
    config_view_confirm (v, c->version, rr_time_add (q->sent, -c->age_ms));
  free (q);
  bool helped = config_view_age_ms (v) < poll_age_ms (p);
  p->useless = helped ? 0 : p->useless + 1;
  if (!helped)
    p->next++;
  log_currency (p);
  schedule (p, helped ? poll_age_ms (p) - config_view_age_ms (v)
                      : query_interval_ms (p));
}

static void
ask (struct config_poll *p)
{
  struct config_query *q = calloc (1, sizeof *q);
  assert (q != NULL);
  *q = (struct config_query){ .poll = p, .sent = entry_now () };
  p->in_flight++;
  schedule (p, query_interval_ms (p));
  peers_query_config (p->entry->peers, p->next,
                      config_view_version (p->entry->config), on_answer, q);
}

static void
on_timer (uv_timer_t *timer)
{
  struct config_poll *p = timer->data;
  int64_t age = config_view_age_ms (p->entry->config);
  log_currency (p);
  if (age < poll_age_ms (p))
    {
      p->useless = 0;
      schedule (p, poll_age_ms (p) - age);
      return;
    }
  if (p->in_flight > 0)
    p->next++;
  if (p->in_flight < QUERIES_IN_FLIGHT_MAX
      && peers_count (p->entry->peers) > 0)
    ask (p);
  else
    schedule (p, query_interval_ms (p));
}

/* Starts to ask other daemons whenever E does not learn from the store in time
   whether its configuration is the newest.  */
struct config_poll *
config_poll_open (struct entry *e)
{
  struct config_poll *p = calloc (1, sizeof *p);
  assert (p != NULL);
  p->entry = e;
  p->next = (size_t)rand ();
  uv_timer_init (e->loop, &p->timer);
  p->timer.data = p;
  schedule (p, poll_age_ms (p));
  return p;
}
