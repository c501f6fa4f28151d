#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryentryd/store_cache.h"

/* Runs a script of answers against a cache of the store and prints its calls.
   compare.sh compares the output with the expected one.  The script has one
   command a line; # starts a comment:
     wait MS                     advances the clock
     page ITEMS REVISION         answers the read of a page, which is the last
     changes ITEMS REVISION [truncated]
                                 answers the oldest call of a watch with
                                 changes up to REVISION
     store REVISION              another call now shows the store's revision
     catch_up                    requests the changes so far
     batch MS                    sets the batch interval, and runs the loop
   once lost                        ends the oldest call without an answer
     gone                        answers it: the history was dropped
     check MS                    reads when a call has no answer MS after its
                                 wait, and after a lost one
     answers MS                  the store answers other calls after MS
     run MS                      runs the loop
     state                       prints what the cache knows  */

enum
{
  CALLS_MAX = 8,
  ITEMS_MAX = 1000,
  /* No watch follows this batch interval within the script.  */
  BATCH_INTERVAL_MS = 3600000
};

struct call
{
  store_done_fn *done;
  void *data;
};

static struct rr_time now = { 1000000 };
static struct call calls[CALLS_MAX];
static size_t call_count;
static struct entry script_entry;

uint64_t
entry_store_timeout_ms (const struct entry *e, int64_t min_ms)
{
  return rr_answer_timeout_ms (&e->store_answers, min_ms,
                               STORE_TIMEOUT_MAX_MS);
}

struct rr_time
entry_now (void)
{
  return now;
}

static void
call_add (store_done_fn *done, void *data)
{
  assert (call_count < CALLS_MAX);
  calls[call_count++] = (struct call){ .done = done, .data = data };
}

void
store_range (struct store *s, const char *prefix, const char *after,
             const struct store_read *how, store_done_fn *done, void *data)
{
  (void)s;
  (void)prefix;
  printf ("range after=\"%s\"%s%s\n", after, how->may_be_stale ? " stale" : "",
          how->new_connection ? " new connection" : "");
  call_add (done, data);
}

void
store_watch (struct store *s, const char *prefix, int64_t after,
             uint64_t wait_ms, const struct store_read *how,
             store_done_fn *done, void *data)
{
  (void)s;
  (void)prefix;
  printf ("watch after=%" PRId64 " wait=%" PRIu64 "%s\n", after, wait_ms,
          how->new_connection ? " new connection" : "");
  call_add (done, data);
}

const char *
store_state_name (enum store_state state)
{
  return state == STORE_OK ? "ok" : "other";
}

/* Answers the oldest call with COUNT items, whose revisions end at REVISION.
 */
static void
answer (size_t count, int64_t revision, bool truncated)
{
  static struct store_item items[ITEMS_MAX];
  static char keys[ITEMS_MAX][32];
  static char value[] = "{}";
  assert (count <= ITEMS_MAX);
  if (call_count == 0)
    {
      printf ("no call to answer\n");
      return;
    }
  for (size_t i = 0; i < count; i++)
    {
      snprintf (keys[i], sizeof keys[i], "servers/w%zu", i);
      items[i] = (struct store_item){ .key = keys[i],
                                      .value = value,
                                      .value_length = strlen (value),
                                      .revision
                                      = revision - (int64_t)(count - 1 - i) };
    }
  struct call c = calls[0];
  memmove (calls, calls + 1, --call_count * sizeof *calls);
  struct store_result r = { .state = STORE_OK,
                            .items = items,
                            .item_count = count,
                            .truncated = truncated,
                            .revision = revision };
  c.done (c.data, &r);
}

/* Ends the oldest call in STATE, without a result.  */
static void
answer_without_items (enum store_state state)
{
  assert (call_count > 0);
  struct call c = calls[0];
  memmove (calls, calls + 1, --call_count * sizeof *calls);
  struct store_result r = { .state = state };
  c.done (c.data, &r);
}

static void
run_loop (uint64_t ms)
{
  uv_loop_t *loop = uv_default_loop ();
  uv_update_time (loop);
  uint64_t until = uv_now (loop) + ms;
  while (uv_now (loop) < until)
    {
      uv_run (loop, UV_RUN_NOWAIT);
      uv_sleep (1);
    }
}

static void
on_item (void *data, const struct store_item *item)
{
  (void)item;
  ++*(size_t *)data;
}

static void
run_command (struct store_cache *c, char *line, size_t *changes)
{
  char name[16] = "";
  char flag[16] = "";
  long long first = 0;
  long long second = 0;
  sscanf (line, "%15s %lld %lld %15s", name, &first, &second, flag);
  if (strcmp (name, "wait") == 0)
    now = rr_time_add (now, first);
  else if (strcmp (name, "page") == 0)
    answer ((size_t)first, second, false);
  else if (strcmp (name, "changes") == 0)
    answer ((size_t)first, second, strcmp (flag, "truncated") == 0);
  else if (strcmp (name, "store") == 0)
    revision_times_add (&script_entry.revision_times, first, now);
  else if (strcmp (name, "catch_up") == 0)
    store_cache_catch_up (c);
  else if (strcmp (name, "batch") == 0)
    {
      store_cache_set_batch_interval (c, (uint64_t)first);
      uv_run (uv_default_loop (), UV_RUN_NOWAIT);
    }
  else if (strcmp (name, "lost") == 0)
    answer_without_items (STORE_UNKNOWN);
  else if (strcmp (name, "gone") == 0)
    answer_without_items (STORE_COMPACTED);
  else if (strcmp (name, "answers") == 0)
    script_entry.store_answers.seen_ms = first;
  else if (strcmp (name, "check") == 0)
    store_cache_set_check (c, (uint64_t)first);
  else if (strcmp (name, "run") == 0)
    run_loop ((uint64_t)first);
  else if (strcmp (name, "state") == 0)
    printf ("revision=%" PRId64 " changes=%zu complete=%" PRId64
            " ms ago, answered=%" PRId64 " ms ago, calls=%zu\n",
            store_cache_revision (c), *changes,
            rr_time_diff (now, store_cache_complete_at (c)),
            rr_time_diff (now, store_cache_answered_at (c)), call_count);
  else
    {
      fprintf (stderr, "unknown command: %s\n", line);
      exit (1);
    }
}

int
main (void)
{
  script_entry.loop = uv_default_loop ();
  size_t changes = 0;
  struct store_cache *c
      = store_cache_open (&script_entry, "servers/", on_item, &changes);
  store_cache_set_batch_interval (c, BATCH_INTERVAL_MS);
  char line[256];
  while (fgets (line, sizeof line, stdin) != NULL)
    {
      line[strcspn (line, "#\n")] = '\0';
      if (line[strspn (line, " ")] == '\0')
        continue;
      printf ("> %s\n", line);
      run_command (c, line, &changes);
    }
  return 0;
}
