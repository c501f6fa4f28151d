#ifndef STANDINS_STORE_H
#define STANDINS_STORE_H

#include <stdint.h>
#include <sys/queue.h>
#include <uv.h>

#include "common/http_server.h"
#include "common/json.h"

struct watcher
{
  LIST_ENTRY (watcher) link;
  struct http_exchange *exchange;
  char *key;
  int64_t after;
  uv_timer_t timer;
};

struct lease
{
  LIST_ENTRY (lease) link;
  int64_t id;
  int64_t ttl_ms;
  uv_timer_t timer;
};

/* The platform's key-value store.  */
struct store
{
  uv_loop_t loop;
  struct json_object *keys;    /* key -> {"value","revision","lease"?} */
  struct json_object *deleted; /* key -> revision of its deletion */
  int64_t revision;
  struct json_object *saved; /* copy of KEYS taken by POST /save */
  int64_t saved_revision;
  LIST_HEAD (watcher_list, watcher) watchers;
  LIST_HEAD (lease_list, lease) leases;
  int64_t last_lease;
  int64_t drop_answers; /* writes still to be left without an answer */
  int64_t writes;
  int64_t conflicts;
  int64_t dropped;
};

extern struct store store;

void store_get (struct http_exchange *x, const char *key);
void store_put (struct http_exchange *x, const char *key,
                struct json_object *body);
void store_delete (struct http_exchange *x, const char *key);
void store_watch (struct http_exchange *x, const char *key);
void store_create_lease (struct http_exchange *x, struct json_object *body);
void store_lease (struct http_exchange *x, const char *path);
void store_save (struct http_exchange *x);
void store_restore (struct http_exchange *x);
void store_abort_watches (void);

#endif
