#ifndef ROSEMARYRAIL_CONFIG_H
#define ROSEMARYRAIL_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rosemaryrail/error.h"
#include "rosemaryrail/policy.h"

enum
{
  RR_CONFIG_NAME_SIZE = 64,   /* a name has at most 63 characters */
  RR_CONFIG_DIGEST_SIZE = 33, /* 128 bits as lower-case hex digits */
  RR_CONFIG_PART_NAME_SIZE = 80,
  RR_CONFIG_ERRORS_MAX = 1000, /* later errors are dropped, as a file of the
                                  wrong kind yields one for each value */
  RR_CONFIG_PART_MAX_BYTES = 900 * 1024, /* the platform stores at most 1 MB
                                            per value */
};

/* The policy parameters that a configuration may set.  The name of the field
   in a file is the name of the parameter with "_" for each "." and the unit as
   suffix: "relief.settle" in "ms" is the field relief_settle_ms.  The units
   "count" and "ratio" add no suffix, and "1/s" adds "_per_s".  */
struct rr_parameter_table
{
  const struct rr_policy_parameter *items;
  size_t count;
};

struct rr_config_limits
{
  int64_t requests_per_s; /* per daemon, for all services together */
  int64_t request_max_bytes;
  int64_t response_max_bytes;
  int64_t deadline_max_ms;
  int64_t concurrency_per_service; /* requests in flight per daemon */
  int64_t jobs;                    /* unfinished jobs, all teams */
  int64_t tasks_per_job;
  int64_t task_cores_milli; /* largest task or service instance */
  int64_t task_memory_mb;
  int64_t task_accelerators;
  int64_t isolation_limit_ms; /* default of jobs without their own */
};

struct rr_config_team
{
  char name[RR_CONFIG_NAME_SIZE];
  int64_t cores_milli; /* quota, like memory_mb and accelerators */
  int64_t memory_mb;
  int64_t accelerators;
  double weight;
  int64_t requests_per_s;
};

struct rr_config_service
{
  char name[RR_CONFIG_NAME_SIZE];
  char class_name[RR_CONFIG_NAME_SIZE]; /* "class" in files */
  char team[RR_CONFIG_NAME_SIZE];
  int64_t instances;
  int64_t cores_milli; /* of one instance, like memory and accelerators */
  int64_t memory_mb;
  int64_t accelerators;
  int64_t deadline_ms; /* default of requests without a deadline */
  int64_t concurrency; /* requests in flight per instance */
  int64_t request_max_bytes;
  int64_t response_max_bytes;
};

struct rr_config_job
{
  char id[RR_CONFIG_NAME_SIZE];
  char team[RR_CONFIG_NAME_SIZE];
  char class_name[RR_CONFIG_NAME_SIZE]; /* "class" in files */
  int64_t tasks;
  int64_t cores_milli; /* of one task, like memory and accelerators */
  int64_t memory_mb;
  int64_t accelerators;
  int64_t work_ms; /* declared run time of one task */
  bool urgent;
  int64_t isolation_limit_ms; /* taken from the limits when absent */
};

struct rr_config_drain
{
  char vm[RR_CONFIG_NAME_SIZE];
};

/* A valid configuration.  Its arrays are sorted, so that the order of items in
   the files does not change the digest: services, teams and drains by name,
   jobs by team, then id.  POLICY has one value per entry of PARAMETERS.  */
struct rr_config
{
  struct rr_config_limits limits;
  struct rr_config_team *teams;
  size_t team_count;
  struct rr_config_service *services;
  size_t service_count;
  struct rr_config_job *jobs;
  size_t job_count;
  struct rr_config_drain *drains;
  size_t drain_count;
  struct rr_parameter_table parameters;
  double *policy;
  bool drains_given; /* a file has the field "drains", even if empty */
};

/* One input text.  NAME is used in error messages only and never opened.  */
struct rr_config_file
{
  const char *name;
  const char *text;
  size_t length;
};

/* LINE and COLUMN start at 1; columns count bytes.  */
struct rr_config_error
{
  char *file;
  unsigned line;
  unsigned column;
  char *message;
};

struct rr_config_errors
{
  struct rr_config_error *items;
  size_t count;
  size_t capacity;
};

/* A part of a configuration, stored under config/part/DIGEST.  TEXT is itself
   a valid configuration file: {"limits":...}, {"policy":...}, {"drains":...},
   {"services":...}, or {"teams":[one],"jobs":[the jobs of this team]}.  The
   names of parts are "limits", "policy", "drains", "services" and
   "team/NAME".  */
struct rr_config_part
{
  char name[RR_CONFIG_PART_NAME_SIZE];
  char digest[RR_CONFIG_DIGEST_SIZE];
  char *text;
  size_t length;
};

struct rr_config_parts
{
  struct rr_config_part *items;
  size_t count;
};

struct rr_config_part_ref
{
  char name[RR_CONFIG_PART_NAME_SIZE];
  char digest[RR_CONFIG_DIGEST_SIZE];
};

/* The value stored under config/head.  DIGEST covers the names and digests of
   all parts; PARENT is the digest of the replaced configuration, or empty.  */
struct rr_config_head
{
  int64_t generation; /* from 1 */
  char digest[RR_CONFIG_DIGEST_SIZE];
  char parent[RR_CONFIG_DIGEST_SIZE];
  struct rr_config_part_ref *parts;
  size_t part_count;
};

/* Parsing and checking.  The caller frees a returned configuration with
   rr_config_free and a returned text with free.  */
struct rr_parameter_table rr_config_parameters (void);
struct rr_config *rr_config_parse (const struct rr_config_file *files,
                                   size_t file_count,
                                   struct rr_parameter_table parameters,
                                   struct rr_config_errors *errors);
bool rr_config_parse_job (const struct rr_config *c,
                          const struct rr_config_file *file,
                          struct rr_config_job *job,
                          struct rr_config_errors *errors);
void rr_config_free (struct rr_config *c);
void rr_config_errors_free (struct rr_config_errors *errors);
char *rr_config_errors_text (const struct rr_config_errors *errors);

/* Lookups; they return null when nothing matches.  */
const struct rr_config_team *rr_config_team (const struct rr_config *c,
                                             const char *name);
const struct rr_config_service *rr_config_service (const struct rr_config *c,
                                                   const char *name);
const struct rr_config_job *rr_config_job (const struct rr_config *c,
                                           const char *id);
bool rr_config_is_drained (const struct rr_config *c, const char *vm);
bool rr_config_policy (const struct rr_config *c, const char *name,
                       double *value); /* NAME as in the parameter table */
void rr_config_policy_fill (const struct rr_config *c,
                            struct rr_policy *policy);

/* Returns a copy of C with VM added to the drains (DRAINED) or removed.  */
struct rr_config *rr_config_with_drain (const struct rr_config *c,
                                        const char *vm, bool drained);

/* Copies the drains of IN_FORCE to C unless the files of C have the field
   "drains", so that applying files does not undo the drain command.  Call it
   before C is compared with IN_FORCE or split.  */
void rr_config_inherit_drains (struct rr_config *c,
                               const struct rr_config *in_force);

/* Parts, digests and the head.  */
void rr_config_split (const struct rr_config *c,
                      struct rr_config_parts *parts);
struct rr_config *rr_config_join (const struct rr_config_parts *parts,
                                  struct rr_parameter_table parameters,
                                  struct rr_config_errors *errors);
void rr_config_parts_free (struct rr_config_parts *parts);
void rr_config_text_digest (const char *text, size_t length,
                            char digest[RR_CONFIG_DIGEST_SIZE]);
void rr_config_head_build (const struct rr_config_parts *parts,
                           int64_t generation, const char *parent,
                           struct rr_config_head *head);
char *rr_config_head_text (const struct rr_config_head *head);
bool rr_config_head_parse (const char *text, size_t length,
                           struct rr_config_head *head, struct rr_error *err);
void rr_config_head_free (struct rr_config_head *head);

/* Returns a text with one line for each difference, empty when there is none.
   A null FROM means an empty configuration.  */
char *rr_config_diff (const struct rr_config *from,
                      const struct rr_config *to);

#endif
