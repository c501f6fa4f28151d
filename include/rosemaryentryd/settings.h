#ifndef ROSEMARYENTRYD_SETTINGS_H
#define ROSEMARYENTRYD_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/settings.h"
#include "rosemaryrail/error.h"
#include "rosemaryrail/job_graph.h"

enum
{
  ENTRY_ZONES_MAX = 32,
  ENTRY_SEEDS_MAX = 8,
  CPU_DEFAULT_MILLI = 100,    /* of a core; default of "cpu_share" */
  LINK_DEFAULT_KBIT = 1000000 /* a second; default of "link_mbps" */
};

/* Settings of an entry daemon.  Times are in milliseconds.  */
struct entry_settings
{
  char name[RR_JOB_NAME_SIZE];
  char zone[RR_JOB_NAME_SIZE];
  char zones[ENTRY_ZONES_MAX][RR_JOB_NAME_SIZE]; /* all of the deployment */
  size_t zone_count;
  struct settings_peer front; /* requests of callers */
  struct settings_peer ready; /* health checks of the load balancer */
  struct settings_peer store;
  struct settings_peer permits; /* permit service; port 0: none */
  struct settings_peer metrics; /* port 0: not served */
  struct settings_peer peer;    /* calls from other daemons; port 0: none */
  char log_level[16];
  int64_t lease_max_ms; /* longest lease that workers grant */
  int64_t drain_ms;     /* until a draining worker gets no more tasks */
  int64_t shutdown_ms;  /* from SIGTERM until the platform sends SIGKILL */
  int64_t retention_ms; /* how long callers can query ended jobs */
  int64_t late_ms;      /* ... and how much longer they, and cancellations, are
                           kept for requests and writes that come late */
  int64_t cpu_milli;    /* CPU share, thousandths of a core */
  int64_t link_kbit;    /* of the VM's network link, a second */
  int64_t config_apply_ms; /* until a change of the configuration must be in
                              force */
  struct settings_peer
      seeds[ENTRY_SEEDS_MAX]; /* other daemons, perhaps gone */
  size_t seed_count;
  int64_t value_max_bytes; /* of one key in the store */
  double remote_factor; /* slowdown of a task outside the rack of its data */
};

bool entry_settings_parse (const char *text, size_t length,
                           struct entry_settings *s, struct rr_error *err);
bool entry_settings_load (const char *path, struct entry_settings *s,
                          struct rr_error *err);

#endif
