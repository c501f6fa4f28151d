#ifndef ROSEMARYENTRYD_ENTRY_H
#define ROSEMARYENTRYD_ENTRY_H

#include <uv.h>

#include "platform/store.h"
#include "rosemaryentryd/command_window.h"
#include "rosemaryentryd/revision_times.h"
#include "rosemaryentryd/settings.h"
#include "rosemaryrail/answer_time.h"
#include "rosemaryrail/clock.h"
#include "rosemaryrail/queues.h"

struct store_cache;
struct config_view;
struct config_poll;
struct permit_queue;
struct records;
struct session;
struct owners;
struct front;
struct entry_metrics;
struct peers;
struct peer_statistics;

/* State that the modules of an entry daemon share.  */
struct entry
{
  uv_loop_t *loop;
  struct entry_settings settings;
  struct store *store;
  struct permit_queue *permits; /* of the permit service; null: none */
  struct rr_queues *queues; /* applied configuration; null before the first */
  struct config_view *config;
  struct config_poll *config_poll;
  struct store_cache *records_cache;
  struct store_cache *workers_cache;
  struct store_cache *config_cache;
  struct records *records;
  struct session *session;
  struct owners *owners;
  struct front *front;
  struct entry_metrics *metrics;
  struct peers *peers;
  struct peer_statistics *peer_statistics;
  struct command_window command_window; /* of commands to workers */
  struct revision_times revision_times; /* of the store */
  struct rr_answer_time store_answers;  /* to renewals of the lease */
  bool stopping;
};

enum
{
  /* Timeout of one call to the store: 15 times its response time when that is
     60 times the usual 4 ms.  */
  STORE_TIMEOUT_MS = 1000,
  /* Longest timeout of a call to a store whose answers take longer.  */
  STORE_TIMEOUT_MAX_MS = 6000,
  /* A daemon accepts no work when the store has not responded for this long.
     A watch returns after at most 1 s.  */
  STORE_RESPONSE_AGE_MAX_MS = 2500
};

struct rr_time entry_now (void);
int64_t entry_wall_ms (void);
struct rr_time entry_store_last_response (const struct entry *e);
uint64_t entry_store_timeout_ms (const struct entry *e, int64_t min_ms);

#endif
