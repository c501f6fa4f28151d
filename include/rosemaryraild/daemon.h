#ifndef ROSEMARYRAILD_DAEMON_H
#define ROSEMARYRAILD_DAEMON_H

#include <gsl/gsl_rng.h>
#include <uv.h>

#include "common/http_client.h"
#include "common/settings.h"
#include "rosemaryrail/chart.h"
#include "rosemaryrail/config.h"
#include "rosemaryrail/histogram.h"
#include "rosemaryraild/actor.h"
#include "rosemaryraild/message.h"
#include "rosemaryraild/metrics.h"
#include "rosemaryraild/platform.h"
#include "rosemaryraild/request_chart.h"

struct front;
struct peers;
struct config_keeper;
struct shards;
struct workers;

/* What all actors of the process share.  An actor's state is its own; the
   others read it only through the functions of its header.  */
struct daemon
{
  uv_loop_t *loop;
  struct settings settings;
  uint64_t incarnation; /* of this process; grows with each restart */
  struct message_router message_router;
  struct http_client *http;
  struct platform *platform;
  gsl_rng *rng;
  struct metrics metrics;
  struct rr_histogram_set *histograms;
  struct request_chart request_chart;
  bool stopping;

  struct front *front;
  struct peers *peers;
  struct config_keeper *config;
  struct shards *shards;
  struct workers *workers;
  struct actor front_actor;
  struct actor peers_actor;
  struct actor config_actor;
  struct actor shards_actor;
  struct actor workers_actor;
};

struct rr_time daemon_now (void);
int64_t daemon_wall_ms (void);
void daemon_send (struct daemon *d, struct actor *to, const struct message *m);
void daemon_broadcast (struct daemon *d, enum message_type type);
void daemon_call (struct daemon *d, struct actor *from, const char *peer,
                  uint32_t procedure, xdrproc_t proc, void *args,
                  uint64_t timeout_ms, rpc_done_fn *done, void *data);
void daemon_reply (struct daemon *d, const struct call_origin *origin,
                   xdrproc_t proc, void *result);
void daemon_reject (struct daemon *d, const struct call_origin *origin);
bool message_rpc_done_run (struct message *m);

#endif
