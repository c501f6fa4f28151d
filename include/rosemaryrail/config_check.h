#ifndef ROSEMARYRAIL_CONFIG_CHECK_H
#define ROSEMARYRAIL_CONFIG_CHECK_H

#include "rosemaryrail/config.h"
#include "rosemaryrail/fields.h"

/* Shared by the configuration's source files only.  */

struct rr_source_location
{
  const struct rr_document *d;
  const struct rr_node *n;
};

struct rr_located_team
{
  struct rr_config_team v;
  struct rr_source_location place;
  bool duplicate; /* of an earlier item, and not part of the result */
};

struct rr_located_service
{
  struct rr_config_service v;
  struct rr_source_location place;
  bool valid; /* all fields were read */
  bool duplicate;
};

struct rr_located_job
{
  struct rr_config_job v;
  struct rr_source_location place;
  bool valid;
  bool duplicate;
};

struct rr_located_drain
{
  struct rr_config_drain v;
  struct rr_source_location place;
  bool duplicate;
};

/* What the files say, with places, in the order of the files.  */
struct rr_located_config
{
  struct rr_located_team *teams;
  size_t team_count;
  struct rr_located_service *services;
  size_t service_count;
  struct rr_located_job *jobs;
  size_t job_count;
  struct rr_located_drain *drains;
  size_t drain_count;
};

extern const struct rr_fields rr_config_limits_fields;
extern const struct rr_fields rr_config_team_fields;
extern const struct rr_fields rr_config_service_fields;
extern const struct rr_fields rr_config_job_fields;

void rr_config_policy_fields (struct rr_parameter_table parameters,
                              struct rr_fields *fields);
void rr_config_policy_fields_free (struct rr_fields *fields);

void rr_config_check_duplicates (struct rr_located_config *l,
                                 struct rr_config_errors *errors);
/* C holds the valid items of L, without duplicates.  */
void rr_config_check (const struct rr_config *c,
                      const struct rr_located_config *l,
                      struct rr_config_errors *errors);
void rr_config_check_policy (const struct rr_config *c,
                             const struct rr_source_location *places,
                             struct rr_config_errors *errors);
void rr_config_check_job (const struct rr_config *c,
                          const struct rr_located_job *job,
                          struct rr_config_errors *errors);

#endif
