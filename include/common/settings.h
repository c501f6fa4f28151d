#ifndef COMMON_SETTINGS_H
#define COMMON_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rosemaryrail/config.h"

enum
{
  SETTINGS_ADDRESS_SIZE = 46,
  SETTINGS_PATH_SIZE = 1024,
};

struct settings_peer
{
  char address[SETTINGS_ADDRESS_SIZE]; /* IP number */
  uint16_t port;
};

/* The settings of one daemon.  Ports are 0 to 65535; 0 lets the kernel
   choose and is allowed for the listening ports only.  */
struct settings
{
  char name[RR_CONFIG_NAME_SIZE];   /* required */
  char region[RR_CONFIG_NAME_SIZE]; /* required */
  char zone[RR_CONFIG_NAME_SIZE];   /* required */
  char http_address[SETTINGS_ADDRESS_SIZE];
  int64_t http_port;
  char rpc_address[SETTINGS_ADDRESS_SIZE];
  int64_t rpc_port;
  char platform_address[SETTINGS_ADDRESS_SIZE]; /* required */
  int64_t platform_port;                        /* required */
  struct settings_peer *seed_peers;
  size_t seed_peer_count;
  char chart_directory[SETTINGS_PATH_SIZE];
  char log_level[16]; /* a name known to log_level_from_name */
  int64_t drain_ms;
  int64_t request_timeout_ms; /* whole incoming request, idle keep-alive */
  int64_t body_max_bytes;
  int64_t request_retention_ms; /* records of non-repeatable requests */
  int64_t platform_timeout_ms;  /* one call to the platform */
  int64_t platform_writes_per_s;
  int64_t platform_reads_per_s;
  int64_t append_interval_ms; /* least time between appends of a shard */
  int64_t heartbeat_zone_ms;
  int64_t heartbeat_remote_ms;
  int64_t peer_timeout_zone_ms;
  int64_t peer_timeout_remote_ms;
  int64_t controller_lease_ms;
  int64_t task_lease_ms;
  int64_t worker_report_ms;  /* between reports of a worker */
  int64_t worker_timeout_ms; /* one control call to a worker */
  int64_t vm_list_ms;        /* between reads of the VM list */
};

/* FILE may be null when all values come from OVERRIDES, each "NAME=VALUE" as
   given by --set; a list is given as values separated by commas.  Errors of
   overrides carry the file name "--set" and the override's number as the
   line.  settings_parse performs no I/O; settings_load reads
   PATH first, which may be null too.
   Both return false with ERRORS filled, and S is then unusable.  */
bool settings_parse (const struct rr_config_file *file,
                     const char *const *overrides, size_t override_count,
                     struct settings *s, struct rr_config_errors *errors);
bool settings_load (const char *path, const char *const *overrides,
                    size_t override_count, struct settings *s,
                    struct rr_config_errors *errors);
void settings_free (struct settings *s);

enum settings_outcome
{
  SETTINGS_READ,    /* S is filled; the caller frees it */
  SETTINGS_DONE,    /* help was printed, or --check found no error */
  SETTINGS_USAGE,   /* wrong usage, reported */
  SETTINGS_INVALID, /* the settings have errors, reported */
};

/* Reads the settings as the command line ARGV of PROGRAM gives them:
   [--set NAME=VALUE]... [--check] [--help] [FILE].  Errors go to standard
   error.  S is filled for SETTINGS_READ only.  */
enum settings_outcome settings_from_arguments (const char *program, int argc,
                                               char **argv,
                                               struct settings *s);
int settings_exit_code (enum settings_outcome outcome);

/* Reads "ADDRESS:PORT" with an IPv4 number and a port from 1 to 65535.  */
bool settings_parse_peer (const char *text, struct settings_peer *peer);

#endif
