#include "rosemaryentryd/store_cache.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "rosemaryrail/table.h"

enum
{
  WATCH_WAIT_MS = 1000, /* by default */
  /* Of the first watch after a lost one.  It doesn't wait for changes: the
     store may tell only at the end of the wait that it has dropped the history
     that the watch needs.  */
  RESUMED_WATCH_WAIT_MS = 1,
  /* A watch that gets no response for this long is on a dead connection.  */
  WATCH_TIMEOUT_MS = 1800,
  /* What answers take beyond this shortens the wait of a watch: what the cache
     has is known to be complete as of when the watch was sent.  */
  USUAL_ANSWER_MS = 200,
  RANGE_TIMEOUT_MS = 2000,
  RETRY_MIN_MS = 40,
  RETRY_MAX_MS = 320,
  CHECK_INTERVAL_MS = 500, /* between checks during one unanswered call */
  /* A cache that gets truncated responses for longer is reported in the
     log.  */
  BEHIND_REPORT_MS = 1000
};

struct store_cache_row
{
  char key[200 + 1];
  int64_t revision;
  uint64_t sweep; /* number of the last full read that found it */
};

struct store_cache
{
  struct entry *entry;
  char prefix[64];
  store_cache_item_fn *on_item;
  void *data;
  store_cache_advanced_fn *on_advanced; /* null: not wanted */
  void *advanced_data;
  struct rr_table *rows;
  struct rr_key_index *index;
  uv_timer_t timer;
  uint64_t batch_interval_ms; /* between watches, to batch changes */
  bool batching;              /* the timer runs for that interval */
  uint64_t watch_wait_ms;     /* for the next change */
  uv_timer_t check_timer;
  uint64_t check_after_ms;   /* the end of a watch's wait; 0: no checks */
  uint64_t read_interval_ms; /* between full reads; 0: watches instead */
  bool read_wanted;          /* a full read as soon as no call is waited for */
  uint64_t retry_ms;
  int64_t revision;           /* all changes up to it are applied */
  int64_t full_read_revision; /* of the store when the full read began */
  uint64_t sweep;
  char after[200 + 1]; /* last key read by the current full read */
  bool full_read;      /* a full read is in progress */
  bool synced;
  bool catching_up;
  bool unresponsive; /* the last call got no usable response */
  bool behind;       /* reported as behind */
  struct rr_time request_sent;
  struct rr_time answered_at;
  struct rr_time complete_at;     /* all changes made by then are applied */
  struct rr_time truncated_since; /* the first of several in a row */
  bool truncated;                 /* the last response */
  struct rr_time full_read_sent;
  struct rr_time catch_up_sent;
};

static void page_read (struct store_cache *c);
static void full_read_start (struct store_cache *c);
static void follow (struct store_cache *c);
static void watch_start (struct store_cache *c);

/* Returns the timeout in milliseconds of a watch that waits for WAIT_MS.  */
static uint64_t
watch_timeout_ms (const struct store_cache *c, uint64_t wait_ms)
{
  uint64_t ms = wait_ms + entry_store_timeout_ms (c->entry, 0);
  return ms > WATCH_TIMEOUT_MS ? ms : WATCH_TIMEOUT_MS;
}

/* Returns how long the next watch waits for a change, in milliseconds.  */
static uint64_t
watch_wait_ms (const struct store_cache *c)
{
  int64_t beyond = c->entry->store_answers.seen_ms - USUAL_ANSWER_MS;
  int64_t wait = (int64_t)c->watch_wait_ms - (beyond > 0 ? beyond : 0);
  return c->unresponsive || wait < RESUMED_WATCH_WAIT_MS
             ? RESUMED_WATCH_WAIT_MS
             : (uint64_t)wait;
}

static uint64_t
range_timeout_ms (const struct store_cache *c)
{
  return entry_store_timeout_ms (c->entry, RANGE_TIMEOUT_MS);
}

/* Returns whether a full read has completed.  */
bool
store_cache_synced (const struct store_cache *c)
{
  return c->synced;
}

/* Returns when the last answered watch was sent.  The cache may still lack
   changes that the store had made by then.  */
struct rr_time
store_cache_answered_at (const struct store_cache *c)
{
  return c->answered_at;
}

/* Returns the time by which all changes that the cache contains for certain
   had been made: it lacks none of those made before.  */
struct rr_time
store_cache_complete_at (const struct store_cache *c)
{
  return c->complete_at;
}

/* Returns the revision up to which all changes are applied.  */
int64_t
store_cache_revision (const struct store_cache *c)
{
  return c->revision;
}

/* Calls ON_ADVANCED whenever all changes up to a later revision than before
   are applied.  */
void
store_cache_set_advanced (struct store_cache *c,
                          store_cache_advanced_fn *on_advanced, void *data)
{
  c->on_advanced = on_advanced;
  c->advanced_data = data;
}

/* All changes up to REVISION are applied.  */
static void
advance (struct store_cache *c, int64_t revision)
{
  bool later = revision > c->revision;
  c->revision = revision;
  if (later && c->on_advanced != NULL)
    c->on_advanced (c->advanced_data);
}

static void
on_timer (uv_timer_t *timer)
{
  struct store_cache *c = timer->data;
  c->batching = false;
  if (c->full_read)
    page_read (c);
  else if (c->read_interval_ms > 0
           || (c->unresponsive && c->check_after_ms > 0))
    full_read_start (c);
  else
    watch_start (c);
}

/* Sets the interval between watches, in milliseconds.  A longer one makes
   fewer calls and delivers changes later.  A shorter one counts at once.  */
void
store_cache_set_batch_interval (struct store_cache *c,
                                uint64_t batch_interval_ms)
{
  if (c->batching && batch_interval_ms < c->batch_interval_ms)
    uv_timer_start (&c->timer, on_timer, batch_interval_ms, 0);
  c->batch_interval_ms = batch_interval_ms;
}

/* A read beside an unanswered call.  */
struct store_cache_check
{
  struct store_cache *cache;
  struct rr_time sent;
};

static void
retry_later (struct store_cache *c, const struct store_result *r)
{
  uv_timer_stop (&c->check_timer);
  if (!c->unresponsive)
    log_event (LOG_LEVEL_WARN, "store_watch_lost", "prefix=%s state=%s why=%s",
               c->prefix, store_state_name (r->state),
               r->reason == NULL ? "" : r->reason);
  c->unresponsive = true;
  uint64_t jitter = (uint64_t)(rand () % RETRY_MIN_MS);
  uv_timer_start (&c->timer, on_timer, c->retry_ms + jitter, 0);
  if (c->retry_ms < RETRY_MAX_MS)
    c->retry_ms *= 2;
}

static void
response_received (struct store_cache *c)
{
  uv_timer_stop (&c->check_timer);
  if (c->unresponsive)
    log_event (LOG_LEVEL_INFO, "store_watch_regained",
               "prefix=%s revision=%lld silent_ms=%lld", c->prefix,
               (long long)c->revision,
               (long long)rr_time_diff (entry_now (), c->answered_at));
  c->unresponsive = false;
  c->retry_ms = RETRY_MIN_MS;
}

/* Records as of when the cache, to which R is applied, lacks no change: since
   the call of AT, or if R is truncated, since the store had no later revision.
   Logs when the cache falls behind and when it no longer is.  */
static void
note_completeness (struct store_cache *c, const struct store_result *r,
                   struct rr_time at)
{
  struct rr_time now = entry_now ();
  int64_t age_ms = rr_time_diff (now, c->complete_at);
  if (r->truncated && !c->truncated)
    c->truncated_since = now;
  c->truncated = r->truncated;
  struct revision_times *times = &c->entry->revision_times;
  if (!r->truncated)
    revision_times_add (times, r->revision, at);
  bool known = !r->truncated || revision_times_find (times, c->revision, &at);
  if (known && rr_time_before (c->complete_at, at))
    c->complete_at = at;
  bool behind = r->truncated
                && rr_time_diff (now, c->truncated_since) > BEHIND_REPORT_MS;
  if (behind == c->behind || (r->truncated && !behind))
    return;
  c->behind = behind;
  log_event (behind ? LOG_LEVEL_WARN : LOG_LEVEL_INFO,
             behind ? "store_view_behind" : "store_view_complete",
             "prefix=%s changes=%zu revision=%lld age_ms=%lld", c->prefix,
             r->item_count, (long long)r->revision, (long long)age_ms);
}

static void
item_apply (struct store_cache *c, const struct store_item *item)
{
  struct rr_handle h = rr_key_index_get (c->index, item->key);
  struct store_cache_row *row = rr_table_get (c->rows, h);
  if (row != NULL && row->revision >= item->revision)
    {
      row->sweep = c->sweep;
      return;
    }
  if (item->removed)
    {
      if (row == NULL)
        return;
      rr_key_index_remove (c->index, item->key);
      rr_table_remove (c->rows, h);
    }
  else
    {
      if (row == NULL)
        {
          row = rr_table_insert (c->rows, &h);
          memset (row, 0, sizeof *row);
          snprintf (row->key, sizeof row->key, "%s", item->key);
          rr_key_index_put (c->index, item->key, h);
        }
      row->revision = item->revision;
      row->sweep = c->sweep;
    }
  c->on_item (c->data, item);
}

/* Removes the keys that a full read did not find, with a call of ON_ITEM.  */
static void
remove_missing_rows (struct store_cache *c)
{
  struct rr_handle h = { 0 };
  struct store_cache_row *row;
  while ((row = rr_table_next (c->rows, &h)) != NULL)
    {
      if (row->sweep == c->sweep || row->revision > c->full_read_revision)
        continue;
      struct store_item item = { .key = row->key,
                                 .revision = c->full_read_revision,
                                 .removed = true };
      c->on_item (c->data, &item);
      rr_key_index_remove (c->index, row->key);
      rr_table_remove (c->rows, h);
    }
}

static void
on_page_read (void *data, const struct store_result *r)
{
  struct store_cache *c = data;
  if (r->state != STORE_OK)
    {
      retry_later (c, r);
      return;
    }
  response_received (c);
  if (c->after[0] == '\0')
    c->full_read_revision = r->revision;
  for (size_t i = 0; i < r->item_count; i++)
    item_apply (c, &r->items[i]);
  if (r->truncated && r->item_count > 0)
    {
      snprintf (c->after, sizeof c->after, "%s",
                r->items[r->item_count - 1].key);
      page_read (c);
      return;
    }
  remove_missing_rows (c);
  c->full_read = false;
  advance (c, c->full_read_revision);
  if (c->read_interval_ms == 0)
    note_completeness (c, r, c->full_read_sent);
  c->synced = !c->read_wanted;
  log_event (c->read_interval_ms > 0 ? LOG_LEVEL_DEBUG : LOG_LEVEL_INFO,
             "store_read", "prefix=%s keys=%zu revision=%lld", c->prefix,
             rr_table_count (c->rows), (long long)c->revision);
  follow (c);
}

static void
on_checked (void *data, const struct store_result *r)
{
  struct store_cache_check *check = data;
  struct store_cache *c = check->cache;
  if (r->state == STORE_OK && !r->truncated)
    {
      for (size_t i = 0; i < r->item_count; i++)
        item_apply (c, &r->items[i]);
      note_completeness (c, r, check->sent);
    }
  else
    log_event (LOG_LEVEL_WARN, "store_view_not_checked",
               "prefix=%s state=%s why=%s", c->prefix,
               store_state_name (r->state),
               r->reason != NULL ? r->reason
               : r->truncated    ? "truncated"
                                 : "");
  free (check);
}

/* The present call has no answer yet, though its wait is over.  */
static void
on_check_timer (uv_timer_t *timer)
{
  struct store_cache *c = timer->data;
  struct store_cache_check *check = calloc (1, sizeof *check);
  assert (check != NULL);
  *check = (struct store_cache_check){ .cache = c, .sent = entry_now () };
  log_event (LOG_LEVEL_INFO, "store_view_checked",
             "prefix=%s revision=%lld unanswered_ms=%lld", c->prefix,
             (long long)c->revision,
             (long long)rr_time_diff (check->sent, c->request_sent));
  uv_timer_start (&c->check_timer, on_check_timer, CHECK_INTERVAL_MS, 0);
  struct store_read how
      = { .timeout_ms = range_timeout_ms (c), .new_connection = true };
  store_range (c->entry->store, c->prefix, "", &how, on_checked, check);
}

static void
check_later (struct store_cache *c, uint64_t wait_ms)
{
  if (c->check_after_ms > 0)
    uv_timer_start (&c->check_timer, on_check_timer,
                    wait_ms + c->check_after_ms, 0);
}

static void
page_read (struct store_cache *c)
{
  c->request_sent = entry_now ();
  struct store_read how = { .timeout_ms = range_timeout_ms (c),
                            .may_be_stale = c->read_interval_ms > 0,
                            .new_connection = c->unresponsive };
  check_later (c, 0);
  store_range (c->entry->store, c->prefix, c->after, &how, on_page_read, c);
}

static void
full_read_start (struct store_cache *c)
{
  c->batching = false;
  c->full_read = true;
  c->full_read_sent = entry_now ();
  c->sweep++;
  c->after[0] = '\0';
  page_read (c);
}

/* Applies the changes in R.  Two watches can be in progress at once, so
   changes that are already applied are skipped.  */
static void
changes_apply (struct store_cache *c, const struct store_result *r)
{
  for (size_t i = 0; i < r->item_count; i++)
    if (r->items[i].revision > c->revision)
      item_apply (c, &r->items[i]);
  if (r->revision > c->revision)
    advance (c, r->revision);
}

static void
on_caught_up (void *data, const struct store_result *r)
{
  struct store_cache *c = data;
  c->catching_up = false;
  if (r->state != STORE_OK || c->full_read)
    return;
  changes_apply (c, r);
  note_completeness (c, r, c->catch_up_sent);
  if (r->truncated)
    store_cache_catch_up (c);
}

/* Requests the changes so far without waiting for the batch interval or for
   further changes.  */
void
store_cache_catch_up (struct store_cache *c)
{
  if (c->catching_up || c->full_read)
    return;
  c->catching_up = true;
  c->catch_up_sent = entry_now ();
  struct store_read how = { .timeout_ms = watch_timeout_ms (c, 1) };
  store_watch (c->entry->store, c->prefix, c->revision, 1, &how, on_caught_up,
               c);
}

static void
on_watch (void *data, const struct store_result *r)
{
  struct store_cache *c = data;
  /* A full read that began meanwhile has everything, and goes on by itself. */
  if (c->full_read)
    return;
  if (r->state == STORE_COMPACTED)
    {
      log_event (LOG_LEVEL_WARN, "store_history_lost",
                 "prefix=%s revision=%lld", c->prefix, (long long)c->revision);
      full_read_start (c);
      return;
    }
  if (r->state != STORE_OK)
    {
      retry_later (c, r);
      return;
    }
  response_received (c);
  c->answered_at = c->request_sent;
  changes_apply (c, r);
  note_completeness (c, r, c->request_sent);
  if (c->read_interval_ms > 0)
    follow (c);
  else if (c->batch_interval_ms > 0 && !r->truncated)
    {
      c->batching = true;
      uv_timer_start (&c->timer, on_timer, c->batch_interval_ms, 0);
    }
  else
    watch_start (c);
}

static void
watch_start (struct store_cache *c)
{
  c->request_sent = entry_now ();
  uint64_t wait_ms = watch_wait_ms (c);
  struct store_read how = { .timeout_ms = watch_timeout_ms (c, wait_ms),
                            .new_connection = c->unresponsive };
  check_later (c, wait_ms);
  store_watch (c->entry->store, c->prefix, c->revision, wait_ms, &how,
               on_watch, c);
}

/* Waits for the next change, or for the time of the next full read.  */
static void
follow (struct store_cache *c)
{
  if (c->read_wanted)
    {
      c->read_wanted = false;
      full_read_start (c);
    }
  else if (c->read_interval_ms == 0)
    watch_start (c);
  else
    {
      /* Spreads the reads of daemons that started together.  */
      uint64_t half = c->read_interval_ms / 2;
      uv_timer_start (&c->timer, on_timer, half + (uint64_t)rand () % half, 0);
    }
}

/* Reads all keys about every INTERVAL_MS, possibly a few seconds old, in place
   of following each change; 0: follows changes again, after a read that is up
   to date.  */
void
store_cache_set_read_interval (struct store_cache *c, uint64_t interval_ms)
{
  bool follows_again = c->read_interval_ms > 0 && interval_ms == 0;
  c->read_interval_ms = interval_ms;
  if (!follows_again)
    return;
  c->synced = false;
  /* A read in progress may be out of date.  */
  if (c->full_read && !uv_is_active ((uv_handle_t *)&c->timer))
    c->read_wanted = true;
  else
    {
      uv_timer_stop (&c->timer);
      full_read_start (c);
    }
}

/* Sets how long a watch waits for a change, in milliseconds, at most
   WATCH_WAIT_MS.  While there is none, it is known only after a wait that no
   change is missing.  */
void
store_cache_set_watch_wait (struct store_cache *c, uint64_t wait_ms)
{
  c->watch_wait_ms = wait_ms;
}

/* Reads all keys whenever a call has no answer AFTER_MS milliseconds after the
   end of its wait, and after each failed one.  For a prefix of few keys, whose
   changes must be known soon.  */
void
store_cache_set_check (struct store_cache *c, uint64_t after_ms)
{
  c->check_after_ms = after_ms;
  check_later (c, c->full_read ? 0 : c->watch_wait_ms);
}

/* Starts to cache the keys under PREFIX and to call ON_ITEM for every change.
 */
struct store_cache *
store_cache_open (struct entry *e, const char *prefix,
                  store_cache_item_fn *on_item, void *data)
{
  struct store_cache *c = calloc (1, sizeof *c);
  assert (c != NULL);
  c->entry = e;
  snprintf (c->prefix, sizeof c->prefix, "%s", prefix);
  c->on_item = on_item;
  c->data = data;
  c->rows = rr_table_new (sizeof (struct store_cache_row));
  c->index = rr_key_index_new ();
  c->retry_ms = RETRY_MIN_MS;
  c->watch_wait_ms = WATCH_WAIT_MS;
  uv_timer_init (e->loop, &c->timer);
  c->timer.data = c;
  uv_timer_init (e->loop, &c->check_timer);
  c->check_timer.data = c;
  full_read_start (c);
  return c;
}
