#ifndef ROSEMARYENTRYD_RECORDS_H
#define ROSEMARYENTRYD_RECORDS_H

#include "platform/documents.h"
#include "rosemaryentryd/entry.h"
#include "rosemaryrail/table.h"

/* What the store holds of this deployment, decoded: jobs, owners of shards,
   workers.  Filled by the mirrors.  */
struct records;

/* Keys of the project in the store.  */
#define KEY_ROOT "rail/"
#define KEY_JOB KEY_ROOT "job/"
/* Apart from the others, since it changes most and is needed least soon.  */
#define KEY_PROGRESS "rail-progress/"
#define KEY_CANCEL KEY_ROOT "cancel/"
#define KEY_OWNER KEY_ROOT "owner/"
#define KEY_MEMBERSHIP KEY_ROOT "workers/"
#define KEY_LOAD KEY_ROOT "load/"
#define KEY_DAEMON KEY_ROOT "daemon/"
/* The number of shards, set once when the deployment first starts.  */
#define KEY_PARTITIONING KEY_ROOT "layout"

enum
{
  KEY_SIZE = 128,
  SHARDS_MAX = 64
};

/* A job as the store has it, or the share that one shard has of a divided
   job; its id is then JOB.SHARD.  GRAPH_TEXT is dropped once the job is over.
 */
struct job_record
{
  char id[RR_JOB_NAME_SIZE];
  char job[RR_JOB_NAME_SIZE]; /* id of the job */
  char queue[RR_JOB_NAME_SIZE];
  char shard[RR_JOB_NAME_SIZE];
  char *graph_text;
  bool accepted; /* the job itself was seen, not only its progress */
  bool cancelled;
  bool has_progress;
  enum rr_job_phase phase;
  char *progress_text;
  int64_t progress_revision;    /* 0: none */
  int64_t owner_phase_revision; /* of the phase that the owner told; 0: none */
  int64_t job_revision;
  int32_t transfers;       /* changes of its shard that were seen here */
  int64_t accepted_ms;     /* since 1970 */
  struct rr_time finished; /* when its end was seen here */
};

/* The owner of a shard, and what it last said of its load.  */
struct shard_record
{
  char name[RR_JOB_NAME_SIZE];
  char owner[RR_JOB_NAME_SIZE]; /* empty: none */
  int64_t owner_revision;
  int64_t owner_lease; /* tells incarnations of the owner apart */
  struct rr_time ownerless_since;
  char *stored_membership; /* JSON list of worker ids */
  int64_t membership_revision;
  int64_t capacity_milli;
  int64_t demand_milli;
  int64_t firm_milli;    /* without fillers */
  int64_t largest_milli; /* most cores that are free on one worker */
};

struct daemon_record
{
  char name[RR_JOB_NAME_SIZE];
  char zone[RR_JOB_NAME_SIZE];
  int64_t cpu_milli;         /* its share of a core */
  struct settings_peer peer; /* where other daemons call it; port 0: none */
};

struct records *records_open (struct entry *e);
struct job_record *records_job (struct records *r, const char *id);
struct job_record *records_job_next (struct records *r,
                                     struct rr_handle *cursor);
void records_job_remove (struct records *r, struct rr_handle h);
void records_part_id (const char *job, const char *shard,
                      char out[RR_JOB_NAME_SIZE]);
void records_job_set (struct records *r, const char *id, const char *text,
                      int64_t revision);
void records_progress_set (struct records *r, const char *id, const char *text,
                           int64_t revision);
void records_set_owner_phase (struct records *r, const char *id,
                              enum rr_job_phase phase, int64_t revision);
enum rr_job_phase records_job_phase (const struct job_record *j);
size_t records_pending (struct records *r, const char *queue);
struct shard_record *records_shard (struct records *r, const char *name);
struct shard_record *records_shard_at (struct records *r, size_t i);
size_t records_shard_count (const struct records *r);
size_t records_daemon_count (const struct records *r);
const struct daemon_record *records_daemon_next (const struct records *r,
                                                 struct rr_handle *cursor);
const struct platform_worker *records_worker_next (const struct records *r,
                                                   struct rr_handle *cursor);
const char *records_shard_of_worker (const struct records *r,
                                     const struct platform_worker *w);

#endif
