#include "rosemaryentryd/mirror.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "rosemaryrail/table.h"

enum
{
  WATCH_WAIT_MS = 1000,
  /* A watch without an answer for this long has a dead connection.  */
  WATCH_TIMEOUT_MS = 1800,
  RANGE_TIMEOUT_MS = 2000,
  RETRY_MIN_MS = 40,
  RETRY_MAX_MS = 320
};

struct mirror_row
{
  char key[200 + 1];
  int64_t revision;
  uint64_t sweep; /* number of the last full read that saw it */
};

struct store_cache
{
  struct entry *entry;
  char prefix[64];
  store_cache_item_fn *on_item;
  void *data;
  struct rr_table *rows;
  struct rr_key_index *index;
  uv_timer_t timer;
  uint64_t pause_ms; /* between watches, to gather changes */
  uint64_t retry_ms;
  int64_t revision; /* all changes up to it are in */
  int64_t base;     /* store revision before the full read */
  uint64_t sweep;
  char after[200 + 1]; /* last key read of a full read */
  bool reading;        /* a full read is under way */
  bool synced;
  bool catching_up;
  bool lost; /* the store does not answer */
  struct rr_time sent;
  struct rr_time confirmed;
};

static void read_page (struct store_cache *m);
static void watch (struct store_cache *m);

/* Tells whether the copy was complete once.  */
bool
store_cache_synced (const struct store_cache *m)
{
  return m->synced;
}

/* Returns a time at which the copy certainly had all changes.  */
struct rr_time
store_cache_confirmed_at (const struct store_cache *m)
{
  return m->confirmed;
}

/* Returns the revision up to which all changes are in.  */
int64_t
store_cache_revision (const struct store_cache *m)
{
  return m->revision;
}

/* Sets the pause between watches, in milliseconds: a longer one means fewer
   calls and later news.  */
void
store_cache_set_batch_interval (struct store_cache *m, uint64_t pause_ms)
{
  m->pause_ms = pause_ms;
}

static void
on_timer (uv_timer_t *timer)
{
  struct store_cache *m = timer->data;
  if (m->reading)
    read_page (m);
  else
    watch (m);
}

static void
retry (struct store_cache *m, const struct store_result *r)
{
  if (!m->lost)
    log_event (LOG_LEVEL_WARN, "store_watch_lost", "prefix=%s state=%s why=%s",
               m->prefix, store_state_name (r->state),
               r->reason == NULL ? "" : r->reason);
  m->lost = true;
  uint64_t jitter = (uint64_t)(rand () % RETRY_MIN_MS);
  uv_timer_start (&m->timer, on_timer, m->retry_ms + jitter, 0);
  if (m->retry_ms < RETRY_MAX_MS)
    m->retry_ms *= 2;
}

static void
heard (struct store_cache *m)
{
  if (m->lost)
    log_event (LOG_LEVEL_INFO, "store_watch_regained",
               "prefix=%s revision=%lld silent_ms=%lld", m->prefix,
               (long long)m->revision,
               (long long)rr_time_diff (entry_now (), m->confirmed));
  m->lost = false;
  m->retry_ms = RETRY_MIN_MS;
}

static void
apply (struct store_cache *m, const struct store_item *item)
{
  struct rr_handle h = rr_key_index_get (m->index, item->key);
  struct mirror_row *row = rr_table_get (m->rows, h);
  if (row != NULL && row->revision >= item->revision)
    {
      row->sweep = m->sweep;
      return;
    }
  if (item->removed)
    {
      if (row == NULL)
        return;
      rr_key_index_remove (m->index, item->key);
      rr_table_remove (m->rows, h);
    }
  else
    {
      if (row == NULL)
        {
          row = rr_table_insert (m->rows, &h);
          memset (row, 0, sizeof *row);
          snprintf (row->key, sizeof row->key, "%s", item->key);
          rr_key_index_put (m->index, item->key, h);
        }
      row->revision = item->revision;
      row->sweep = m->sweep;
    }
  m->on_item (m->data, item);
}

/* Reports the keys that a full read did not find as removed.  */
static void
remove_unseen (struct store_cache *m)
{
  struct rr_handle h = { 0 };
  struct mirror_row *row;
  while ((row = rr_table_next (m->rows, &h)) != NULL)
    {
      if (row->sweep == m->sweep || row->revision > m->base)
        continue;
      struct store_item item
          = { .key = row->key, .revision = m->base, .removed = true };
      m->on_item (m->data, &item);
      rr_key_index_remove (m->index, row->key);
      rr_table_remove (m->rows, h);
    }
}

static void
on_page (void *data, const struct store_result *r)
{
  struct store_cache *m = data;
  if (r->state != STORE_OK)
    {
      retry (m, r);
      return;
    }
  heard (m);
  if (m->after[0] == '\0')
    m->base = r->revision;
  for (size_t i = 0; i < r->item_count; i++)
    apply (m, &r->items[i]);
  if (r->truncated && r->item_count > 0)
    {
      snprintf (m->after, sizeof m->after, "%s",
                r->items[r->item_count - 1].key);
      read_page (m);
      return;
    }
  remove_unseen (m);
  m->reading = false;
  m->revision = m->base;
  m->synced = true;
  log_event (LOG_LEVEL_INFO, "store_read", "prefix=%s keys=%zu revision=%lld",
             m->prefix, rr_table_count (m->rows), (long long)m->revision);
  watch (m);
}

static void
read_page (struct store_cache *m)
{
  m->sent = entry_now ();
  store_range (m->entry->store, m->prefix, m->after, RANGE_TIMEOUT_MS, on_page,
               m);
}

static void
read_all (struct store_cache *m)
{
  m->reading = true;
  m->sweep++;
  m->after[0] = '\0';
  read_page (m);
}

/* Two watches can be under way, so that some events are old.  */
static void
take_events (struct store_cache *m, const struct store_result *r)
{
  for (size_t i = 0; i < r->item_count; i++)
    if (r->items[i].revision > m->revision)
      apply (m, &r->items[i]);
  if (r->revision > m->revision)
    m->revision = r->revision;
}

static void
on_caught_up (void *data, const struct store_result *r)
{
  struct store_cache *m = data;
  m->catching_up = false;
  if (r->state == STORE_OK && !m->reading)
    take_events (m, r);
}

/* Asks for the changes so far without waiting for more.  */
void
store_cache_catch_up (struct store_cache *m)
{
  if (m->catching_up || m->reading)
    return;
  m->catching_up = true;
  store_watch (m->entry->store, m->prefix, m->revision, 1, WATCH_TIMEOUT_MS,
               on_caught_up, m);
}

static void
on_watch (void *data, const struct store_result *r)
{
  struct store_cache *m = data;
  if (r->state == STORE_COMPACTED)
    {
      log_event (LOG_LEVEL_WARN, "store_history_lost",
                 "prefix=%s revision=%lld", m->prefix, (long long)m->revision);
      read_all (m);
      return;
    }
  if (r->state != STORE_OK)
    {
      retry (m, r);
      return;
    }
  heard (m);
  m->confirmed = m->sent;
  take_events (m, r);
  if (m->pause_ms > 0)
    uv_timer_start (&m->timer, on_timer, m->pause_ms, 0);
  else
    watch (m);
}

static void
watch (struct store_cache *m)
{
  m->sent = entry_now ();
  store_watch (m->entry->store, m->prefix, m->revision, WATCH_WAIT_MS,
               WATCH_TIMEOUT_MS, on_watch, m);
}

/* Begins to copy the keys under PREFIX; ON_ITEM hears of every change.  */
struct store_cache *
store_cache_open (struct entry *e, const char *prefix,
                  store_cache_item_fn *on_item, void *data)
{
  struct store_cache *m = calloc (1, sizeof *m);
  assert (m != NULL);
  m->entry = e;
  snprintf (m->prefix, sizeof m->prefix, "%s", prefix);
  m->on_item = on_item;
  m->data = data;
  m->rows = rr_table_new (sizeof (struct mirror_row));
  m->index = rr_key_index_new ();
  m->retry_ms = RETRY_MIN_MS;
  uv_timer_init (e->loop, &m->timer);
  m->timer.data = m;
  read_all (m);
  return m;
}
