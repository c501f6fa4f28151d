#include <stdio.h>
#include <string.h>

#include "../check_suite.h"
#include "rosemaryentryd/config_view.h"
#include "rosemaryentryd/owners.h"
#include "rosemaryentryd/store_cache.h"

/* The configuration in force and its age, against stubs of the cache and of
   the owners.  */

enum
{
  APPLY_MS = 2000
};

static struct rr_time now;
static struct rr_time store_complete_at;
static bool store_synced;
static struct entry daemon_entry;

struct rr_time
entry_now (void)
{
  return now;
}

bool
store_cache_synced (const struct store_cache *c)
{
  (void)c;
  return store_synced;
}

struct rr_time
store_cache_complete_at (const struct store_cache *c)
{
  (void)c;
  return store_complete_at;
}

void
store_cache_set_watch_wait (struct store_cache *c, uint64_t wait_ms)
{
  (void)c, (void)wait_ms;
}

void
store_cache_set_check (struct store_cache *c, uint64_t after_ms)
{
  (void)c, (void)after_ms;
}

void
owners_queues_update (struct owners *o)
{
  (void)o;
}

/* Returns the view of a daemon that has just started on a VM that booted MS
   milliseconds ago.  */
static struct config_view *
view_after_boot (int64_t ms)
{
  now = rr_time_from_ms (ms);
  store_synced = false;
  store_complete_at = rr_time_from_ms (0);
  daemon_entry = (struct entry){ .settings = { .config_apply_ms = APPLY_MS } };
  daemon_entry.config = config_view_open (&daemon_entry);
  return daemon_entry.config;
}

static bool
apply (struct config_view *v, int version, enum config_source source)
{
  char text[64];
  int n = snprintf (text, sizeof text, "{\"version\":%d,\"routes\":[]}",
                    version);
  struct config_document d = {
    .text = text, .length = (size_t)n, .source = source, .origin = "test"
  };
  return config_view_apply (v, &d);
}

/* Guards against a version that goes back: the store or a daemon tells an
   older one.  */
START_TEST (version_never_goes_back)
{
  struct config_view *v = view_after_boot (50);
  ck_assert (apply (v, 5, CONFIG_FROM_PEER));
  ck_assert (apply (v, 3, CONFIG_FROM_STORE));
  ck_assert_int_eq (config_view_version (v), 5);
  ck_assert (apply (v, 4, CONFIG_FROM_PEER));
  ck_assert_int_eq (config_view_version (v), 5);
  ck_assert_str_eq (config_view_text (v), "{\"version\":5,\"routes\":[]}");
  ck_assert (apply (v, 6, CONFIG_FROM_STORE));
  ck_assert_int_eq (config_view_version (v), 6);
}
END_TEST

/* Guards against a document that can't be read and takes the place of a good
   one.  */
START_TEST (unreadable_document)
{
  struct config_view *v = view_after_boot (50);
  ck_assert (apply (v, 5, CONFIG_FROM_STORE));
  struct config_document d = { .text = "{\"version\":6",
                               .length = 12,
                               .source = CONFIG_FROM_PEER,
                               .origin = "test" };
  ck_assert (!config_view_apply (v, &d));
  ck_assert_int_eq (config_view_version (v), 5);
}
END_TEST

/* Guards against a configuration that counts as recent just because the VM has
   booted a moment ago: the daemon that told it had heard nothing for long.  */
START_TEST (old_from_peer_after_boot)
{
  struct config_view *v = view_after_boot (500);
  ck_assert (!config_view_current (v));
  ck_assert (apply (v, 5, CONFIG_FROM_PEER));
  ck_assert (!config_view_current (v));
  config_view_confirm (v, 5, rr_time_from_ms (500 - 20000));
  ck_assert_int_eq (config_view_age_ms (v), 20000);
  ck_assert (!config_view_current (v));
  config_view_confirm (v, 5, rr_time_from_ms (100));
  ck_assert_int_eq (config_view_age_ms (v), 400);
  ck_assert (config_view_current (v));
}
END_TEST

/* Guards against an age that another daemon gave for a version that this one
   does not have.  */
START_TEST (confirmation_of_newer_version)
{
  struct config_view *v = view_after_boot (5000);
  ck_assert (apply (v, 5, CONFIG_FROM_PEER));
  config_view_confirm (v, 6, rr_time_from_ms (5000));
  ck_assert (!config_view_current (v));
  config_view_confirm (v, 4, rr_time_from_ms (5000));
  ck_assert (config_view_current (v));
}
END_TEST

/* Guards against an age that is not the least of what the store and other
   daemons tell.  */
START_TEST (age_of_store_and_peers)
{
  struct config_view *v = view_after_boot (10000);
  ck_assert (apply (v, 5, CONFIG_FROM_STORE));
  store_synced = true;
  store_complete_at = rr_time_from_ms (9000);
  ck_assert_int_eq (config_view_age_ms (v), 1000);
  config_view_confirm (v, 5, rr_time_from_ms (9500));
  ck_assert_int_eq (config_view_age_ms (v), 500);
  now = rr_time_from_ms (9500 + APPLY_MS + 1);
  ck_assert (!config_view_current (v));
  store_complete_at = rr_time_from_ms (11000);
  ck_assert (config_view_current (v));
}
END_TEST

SUITE ("config view", version_never_goes_back, unreadable_document,
       old_from_peer_after_boot, confirmation_of_newer_version,
       age_of_store_and_peers)
