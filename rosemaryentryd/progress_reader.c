#include "rosemaryentryd/progress_reader.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/log.h"
#include "rosemaryentryd/records.h"

struct progress_reader
{
  struct entry *entry;
  char prefix[KEY_SIZE];
  char after[KEY_SIZE]; /* last key read */
  size_t keys;
  struct rr_time begun;
  progress_read_done_fn *done;
  void *data;
};

static void page_read (struct progress_reader *p);

static void
reader_finish (struct progress_reader *p, const struct store_result *r)
{
  bool complete = r->state == STORE_OK;
  log_event (complete ? LOG_LEVEL_INFO : LOG_LEVEL_WARN, "progress_read",
             "prefix=%s keys=%zu ms=%lld state=%s why=%s", p->prefix, p->keys,
             (long long)rr_time_diff (entry_now (), p->begun),
             store_state_name (r->state), r->reason == NULL ? "" : r->reason);
  p->done (p->data, complete);
  free (p);
}

static void
on_page_read (void *data, const struct store_result *r)
{
  struct progress_reader *p = data;
  for (size_t i = 0; r->state == STORE_OK && i < r->item_count; i++)
    records_progress_item (p->entry->records, &r->items[i]);
  p->keys += r->item_count;
  if (r->state != STORE_OK || !r->truncated || r->item_count == 0)
    {
      reader_finish (p, r);
      return;
    }
  snprintf (p->after, sizeof p->after, "%s", r->items[r->item_count - 1].key);
  page_read (p);
}

static void
page_read (struct progress_reader *p)
{
  struct store_read how
      = { .timeout_ms = entry_store_timeout_ms (p->entry, STORE_TIMEOUT_MS) };
  store_range (p->entry->store, p->prefix, p->after, &how, on_page_read, p);
}

/* Reads the progress of all records of SHARD.  Calls DONE once, from the
   loop.  */
struct progress_reader *
progress_read (struct entry *e, const char *shard, progress_read_done_fn *done,
               void *data)
{
  struct progress_reader *p = calloc (1, sizeof *p);
  assert (p != NULL);
  p->entry = e;
  p->begun = entry_now ();
  p->done = done;
  p->data = data;
  records_progress_key (shard, "", p->prefix);
  page_read (p);
  return p;
}
