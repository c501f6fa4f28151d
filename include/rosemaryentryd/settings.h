#ifndef ROSEMARYENTRYD_SETTINGS_H
#define ROSEMARYENTRYD_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/settings.h"
#include "rosemaryrail/error.h"
#include "rosemaryrail/graph.h"

enum
{
  ENTRY_ZONES_MAX = 32,
  CPU_DEFAULT_MILLI = 100 /* of a core, when the settings don't tell */
};

/* The settings of one entry daemon.  Times are in milliseconds.  */
struct entry_settings
{
  char name[RR_JOB_NAME_SIZE];
  char zone[RR_JOB_NAME_SIZE];
  char zones[ENTRY_ZONES_MAX][RR_JOB_NAME_SIZE]; /* of the deployment */
  size_t zone_count;
  struct settings_peer front; /* callers */
  struct settings_peer ready; /* health checks of the load balancer */
  struct settings_peer store;
  struct settings_peer permits; /* service for permits; port 0: none */
  struct settings_peer metrics; /* port 0: not served */
  struct settings_peer peer;    /* calls of other daemons; port 0: none */
  char log_level[16];
  int64_t lease_max_ms; /* longest lease that workers give */
  int64_t shutdown_ms;  /* between the request to stop and the kill */
  int64_t retention_ms; /* state of finished jobs is kept this long */
  int64_t cpu_milli;    /* share of a core, in thousandths */
  double remote_factor; /* slowdown away from the data's rack */
};

bool entry_settings_parse (const char *text, size_t length,
                           struct entry_settings *s, struct rr_error *err);
bool entry_settings_load (const char *path, struct entry_settings *s,
                          struct rr_error *err);

#endif
