#ifndef ROSEMARYCTL_CTL_H
#define ROSEMARYCTL_CTL_H

#include <argtable2.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

#include "common/settings.h"
#include "rosemaryrail/config.h"

/* Exit codes, documented in rosemaryctl(1).  */
enum ctl_exit
{
  CTL_CONTINUE = -1, /* not an exit code: go on */
  CTL_OK = 0,
  CTL_FAILURE = 1,
  CTL_USAGE = 2,
  CTL_CHECK_ERRORS = 3,
  CTL_CONFLICT = 4,
  CTL_UNREACHABLE = 5, /* nothing was changed */
  CTL_NOT_CONFIRMED = 6,
  CTL_NOT_FOUND = 7,
  CTL_UNKNOWN = 8, /* sent, and no answer: it may have taken effect */
};

enum
{
  CTL_DAEMONS_MAX = 16,
  CTL_TABLE_MAX = 16,
  CTL_STALE_MS = 10000, /* a daemon of another zone counts as failed then */
};

/* What the common flags say, and the argument table of the command.  */
struct ctl
{
  struct settings_peer daemons[CTL_DAEMONS_MAX];
  size_t daemon_count;
  bool json; /* print the daemon's answer as it is */
  long timeout_ms;
  void *table[CTL_TABLE_MAX];
  size_t table_count;
};

struct ctl_request
{
  const char *method;
  const char *path; /* with the query */
  const char *body; /* null: none */
  long generation;  /* sent as If-Match when not negative */
  long extra_ms;    /* added to the timeout */
};

struct ctl_response
{
  long status;
  char *body; /* terminated */
  size_t length;
  struct json_object *json; /* null when the body is not JSON */
};

struct ctl_files
{
  struct rr_config_file *items;
  size_t count;
};

enum ctl_exit ctl_open (struct ctl *ctl, int argc, char **argv,
                        const char *summary, void **own, size_t own_count);
void ctl_close (struct ctl *ctl);
bool ctl_name_valid (const char *what, const char *name);
bool ctl_job_valid (const char *id);

enum ctl_exit ctl_call (const struct ctl *ctl, const struct ctl_request *r,
                        struct ctl_response *a);
enum ctl_exit ctl_get (const struct ctl *ctl, const char *path,
                       struct ctl_response *a);
enum ctl_exit ctl_response_check (const struct ctl *ctl,
                                  const struct ctl_response *a);
void ctl_response_free (struct ctl_response *a);

bool ctl_files_read (struct ctl_files *files, const char *const *paths,
                     size_t count);
void ctl_files_free (struct ctl_files *files);
void ctl_print_errors (const struct ctl *ctl,
                       const struct rr_config_errors *errors);
enum ctl_exit ctl_config_read (const struct ctl *ctl, const char *const *paths,
                               size_t count, struct ctl_files *files,
                               struct rr_config **c);
enum ctl_exit ctl_config_fetch (const struct ctl *ctl, struct ctl_response *a,
                                struct rr_config **c, long *generation);

/* Output in columns.  */
struct ctl_columns
{
  char ***rows;
  size_t row_count;
  size_t column_count;
};

void ctl_columns_add (struct ctl_columns *t, size_t count, ...);
void ctl_columns_print (struct ctl_columns *t);
const char *ctl_text (struct json_object *o, const char *name);
const char *ctl_count (struct json_object *o, const char *name);
struct json_object *ctl_list (struct json_object *o, const char *name);
const char *ctl_duration (long long ms, char text[32]);
const char *ctl_time (int64_t ms, char text[40]);

int command_apply (int argc, char **argv);
int command_cancel (int argc, char **argv);
int command_check (int argc, char **argv);
int command_diff (int argc, char **argv);
int command_drain (int argc, char **argv);
int command_explain (int argc, char **argv);
int command_get (int argc, char **argv);
int command_histograms (int argc, char **argv);
int command_job (int argc, char **argv);
int command_jobs (int argc, char **argv);
int command_status (int argc, char **argv);
int command_submit (int argc, char **argv);
int command_undrain (int argc, char **argv);
int ctl_set_drain (int argc, char **argv, const char *summary,
                   const char *action);

#endif
