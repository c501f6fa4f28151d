#ifndef ROSEMARYRAILD_CONFIG_INTERNAL_H
#define ROSEMARYRAILD_CONFIG_INTERNAL_H

#include <uv.h>

#include "rosemaryrail/config_order.h"
#include "rosemaryraild/config_keeper.h"
#include "rosemaryraild/daemon.h"

/* Numbers of the states and events of charts/config.jsonc.  */
struct config_chart
{
  struct rr_chart *chart;
  int none, fetching_first, in_force, fetching, writing_back, forked;
  int head_higher, head_fork, store_behind, parts_fetched, parts_failed,
      written_back, write_failed, fork_resolved;
};

/* A configuration being fetched part by part.  */
struct config_fetch
{
  struct config_keeper *k;
  struct rr_config_head head;
  struct rr_config_parts parts;
  size_t next;          /* part being fetched */
  char peer[NAME_SIZE]; /* where from; empty: the store */
};

struct config_keeper
{
  struct daemon *d;
  struct config_chart chart;
  int state;
  struct rr_config *config;   /* never null; empty before the first one */
  struct rr_config_head head; /* generation 0: none */
  struct rr_config_parts parts;
  uint64_t store_revision; /* of config/head, as last read */
  uv_timer_t timer;
  unsigned failures;
  struct config_fetch *fetch;
  struct apply *apply;
  uint64_t apply_revision; /* of the head that the apply replaces */
  size_t apply_part;
  struct rr_config_parts apply_parts;
  struct rr_config_head apply_head;
  unsigned apply_peers;
  char alarm[REASON_SIZE];
  int64_t alarm_since_ms;
};

/* config_keeper.c */
void config_event (struct config_keeper *k, int event);
void config_activate (struct config_keeper *k, struct rr_config *config,
                      struct rr_config_head *head,
                      struct rr_config_parts *parts);
struct rr_config_decision config_evaluate_head (struct config_keeper *k,
                                                const char *text,
                                                size_t length,
                                                const char *peer);

/* config_apply.c */
void config_apply (struct config_keeper *k, struct apply *a);
void config_write_back (struct config_keeper *k);
void config_publish_head (struct config_keeper *k, rpc_done_fn *done,
                          unsigned *count);

#endif
