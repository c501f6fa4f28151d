#include "rosemaryentryd/config_view.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "platform/documents.h"
#include "rosemaryentryd/owners.h"
#include "rosemaryentryd/store_cache.h"

enum
{
  /* Shares of the time in which a change must be in force, in percent: the
     wait of a watch, and how much later its answer is missed.  */
  WATCH_WAIT_PERCENT = 30,
  CHECK_PERCENT = 12,
  WATCH_WAIT_MIN_MS = 100,
  WATCH_WAIT_MAX_MS = 1000
};

struct config_view
{
  struct entry *entry;
  char *text;                /* as it was read; null: none */
  bool confirmed;            /* PEERS_KNOW is set */
  struct rr_time peers_know; /* other daemons had no newer version then */
};

/* Creates a view without a configuration.  */
struct config_view *
config_view_open (struct entry *e)
{
  struct config_view *v = calloc (1, sizeof *v);
  assert (v != NULL);
  v->entry = e;
  return v;
}

/* Sets how closely the configuration in the store is followed.  Its cache must
   be open.  */
void
config_view_follow (struct config_view *v)
{
  struct store_cache *c = v->entry->config_cache;
  int64_t bound = v->entry->settings.config_apply_ms;
  int64_t wait = bound * WATCH_WAIT_PERCENT / 100;
  if (wait < WATCH_WAIT_MIN_MS)
    wait = WATCH_WAIT_MIN_MS;
  if (wait > WATCH_WAIT_MAX_MS)
    wait = WATCH_WAIT_MAX_MS;
  store_cache_set_watch_wait (c, (uint64_t)wait);
  store_cache_set_check (c, (uint64_t)(bound * CHECK_PERCENT / 100));
}

/* Returns the version in force; 0 before the first.  */
int64_t
config_view_version (const struct config_view *v)
{
  const struct rr_queues *q = v->entry->queues;
  return q == NULL ? 0 : q->version;
}

/* Returns the configuration in force as it was read; null before the first.
 */
const char *
config_view_text (const struct config_view *v)
{
  return v->text;
}

/* Puts D in force if it is newer than the present configuration.  Returns
   whether this daemon has D's version or a newer one now.  */
bool
config_view_apply (struct config_view *v, const struct config_document *d)
{
  static const char *const sources[] = { "store", "peer" };
  struct entry *e = v->entry;
  struct rr_error err = { 0 };
  struct rr_queues *q = platform_config_decode (d->text, d->length, &err);
  if (q == NULL)
    {
      log_event (LOG_LEVEL_ERROR, "config_unreadable",
                 "source=%s origin=%s revision=%lld %s", sources[d->source],
                 d->origin, (long long)d->revision, err.message);
      return false;
    }
  int64_t before = config_view_version (v);
  if (e->queues != NULL && q->version <= before)
    {
      log_event (q->version < before ? LOG_LEVEL_WARN : LOG_LEVEL_DEBUG,
                 "config_ignored",
                 "version=%lld in_force=%lld source=%s origin=%s "
                 "revision=%lld",
                 (long long)q->version, (long long)before, sources[d->source],
                 d->origin, (long long)d->revision);
      rr_queues_free (q);
      return true;
    }
  log_event (LOG_LEVEL_INFO, "config_applied",
             "version=%lld before=%lld routes=%zu revision=%lld source=%s "
             "origin=%s age_ms=%lld",
             (long long)q->version, (long long)before, q->route_count,
             (long long)d->revision, sources[d->source], d->origin,
             (long long)(e->queues == NULL ? -1 : config_view_age_ms (v)));
  rr_queues_free (e->queues);
  e->queues = q;
  free (v->text);
  v->text = strndup (d->text, d->length);
  assert (v->text != NULL);
  owners_queues_update (e->owners);
  return true;
}

/* Another daemon knew at AT that VERSION was the newest.  Does nothing if this
   daemon has only an older one.  */
void
config_view_confirm (struct config_view *v, int64_t version, struct rr_time at)
{
  if (version > config_view_version (v)
      || (v->confirmed && !rr_time_before (v->peers_know, at)))
    return;
  v->confirmed = true;
  v->peers_know = at;
}

/* Returns how long ago the configuration in force was certainly the newest, in
   milliseconds; CONFIG_AGE_NEVER if it never was.  */
int64_t
config_view_age_ms (const struct config_view *v)
{
  const struct store_cache *c = v->entry->config_cache;
  int64_t age = CONFIG_AGE_NEVER;
  if (store_cache_synced (c))
    age = rr_time_diff (entry_now (), store_cache_complete_at (c));
  int64_t peers_age = v->confirmed ? rr_time_diff (entry_now (), v->peers_know)
                                   : CONFIG_AGE_NEVER;
  return peers_age < age ? peers_age : age;
}

/* Returns whether each change that must be in force by now is: no queue that
   is missing from the configuration exists, and each one in it may be used. */
bool
config_view_current (const struct config_view *v)
{
  return v->entry->queues != NULL
         && config_view_age_ms (v) <= v->entry->settings.config_apply_ms;
}
