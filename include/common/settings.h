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
  char address[SETTINGS_ADDRESS_SIZE]; /* IPv4 address */
  uint16_t port;
};

/* The settings of one daemon.  Ports range from 0 to 65535; only the listening
   ports may be 0, which lets the kernel choose.  */
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
  char log_level[16]; /* accepted by log_level_from_name */
  int64_t drain_ms;
  int64_t request_timeout_ms; /* for a whole incoming request and for idle
                                 keep-alive connections */
  int64_t body_max_bytes;
  int64_t request_retention_ms; /* for records of non-repeatable requests */
  int64_t platform_timeout_ms;  /* per call to the platform */
  int64_t platform_writes_per_s;
  int64_t platform_reads_per_s;
  int64_t append_interval_ms; /* minimum between two appends of a shard */
  int64_t heartbeat_zone_ms;
  int64_t heartbeat_remote_ms;
  int64_t peer_timeout_zone_ms;
  int64_t peer_timeout_remote_ms;
  int64_t controller_lease_ms;
  int64_t task_lease_ms;
  int64_t worker_report_ms;  /* between two reports of a worker */
  int64_t worker_timeout_ms; /* per control call to a worker */
  int64_t vm_list_ms;        /* between two reads of the VM list */
};

/* settings_parse reads FILE without any I/O; settings_load reads the file at
   PATH.  Both may be null if all values come from OVERRIDES.  Each override is
   "NAME=VALUE" as given with --set, and a list is given as comma-separated
   values.  An error in an override has the file name "--set" and, as its line,
   the number of the override.  On errors both functions return false and add
   them to ERRORS; S must then not be used.  */
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
  SETTINGS_DONE,    /* help was printed, or --check found no errors */
  SETTINGS_USAGE,   /* wrong command line; the error was printed */
  SETTINGS_INVALID, /* the settings have errors; they were printed */
};

/* Reads the settings from the command line ARGV of PROGRAM:
   [--set NAME=VALUE]... [--check] [--help] [FILE].  Prints errors to standard
   error.  S is filled only if the result is SETTINGS_READ.  */
enum settings_outcome settings_from_arguments (const char *program, int argc,
                                               char **argv,
                                               struct settings *s);
int settings_exit_code (enum settings_outcome outcome);

/* Parses "ADDRESS:PORT" with an IPv4 address and a port from 1 to 65535.  */
bool settings_parse_peer (const char *text, struct settings_peer *peer);

#endif
