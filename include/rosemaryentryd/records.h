#ifndef ROSEMARYENTRYD_RECORDS_H
#define ROSEMARYENTRYD_RECORDS_H

#include "platform/documents.h"
#include "rosemaryentryd/entry.h"
#include "rosemaryrail/table.h"

/* Decoded contents of the store for this deployment: jobs, shard owners,
   daemons and workers.  The caches of the store keep it up to date.  */
struct records;

/* Keys of this project in the store.  */
#define KEY_ROOT "rail/"
#define KEY_JOB KEY_ROOT "job/"
/* Followed by SHARD/ID.  Outside KEY_ROOT, so that no daemon watches it:
   progress changes most often, and only a new owner reads it.  */
#define KEY_PROGRESS "rail-progress/"
#define KEY_CANCEL KEY_ROOT "cancel/"
#define KEY_OWNER KEY_ROOT "owner/"
#define KEY_MEMBERSHIP KEY_ROOT "workers/"
#define KEY_LOAD KEY_ROOT "load/"
#define KEY_DAEMON KEY_ROOT "daemon/"
/* The number of shards and the format of the other keys; written once, when
   the deployment first starts.  */
#define KEY_PARTITIONING KEY_ROOT "layout"

enum
{
  KEY_SIZE = 192,
  SHARDS_MAX = 64,
  /* Version of the keys and of the values under them.  1 had the progress of
     all shards under one prefix.  */
  KEY_FORMAT = 2
};

/* A job as stored, or the part of a divided job that runs in one shard; the id
   of such a part is JOB.SHARD.  GRAPH_TEXT and PROGRESS_TEXT are freed once
   the job has ended.  */
struct job_record
{
  char id[RR_JOB_NAME_SIZE];
  char job[RR_JOB_NAME_SIZE]; /* id of the job */
  char queue[RR_JOB_NAME_SIZE];
  char shard[RR_JOB_NAME_SIZE];
  char *graph_text;
  bool accepted; /* the job graph was read, not only progress or a cancel */
  bool cancelled;
  bool summarized; /* the store has only a summary of it */
  bool has_progress;
  enum rr_job_phase phase;
  char *progress_text;
  int64_t progress_revision;    /* 0: none */
  int64_t owner_phase_revision; /* of the phase from the owner; 0: none */
  int64_t job_revision;
  int32_t transfers; /* changes of its shard read by this daemon */
  /* When the owner, this daemon, first and last found that no worker of any
     shard can run what is ready; ms 0: one can.  */
  struct rr_time unfit_since;
  struct rr_time unfit_at;
  bool unfit_logged;
  int64_t accepted_ms;     /* since 1970 */
  struct rr_time finished; /* when this daemon read its end */
};

/* Jobs of one queue and one shard that have started no task.  */
struct queue_pending
{
  char queue[RR_JOB_NAME_SIZE];
  size_t jobs;
};

/* The owner of a shard and the load that the owner last published.  */
struct shard_record
{
  char name[RR_JOB_NAME_SIZE];
  char owner[RR_JOB_NAME_SIZE]; /* empty: none */
  int64_t owner_revision;
  int64_t owner_lease; /* identifies the incarnation of the owner */
  struct rr_time ownerless_since;
  struct rr_time owner_seen; /* when this daemon saw the present owner's key */
  char *stored_membership;   /* the membership record; null: none */
  int64_t membership_revision;
  struct rr_time membership_seen; /* when this daemon saw that revision */
  int64_t capacity_milli;
  int64_t demand_milli;
  int64_t non_best_effort_cores_milli; /* demand without best-effort tasks */
  int64_t largest_free_cores_milli;    /* most free cores on one worker */
  struct queue_pending *pending;       /* queues without any are left out */
  size_t pending_count;
  int64_t pending_revision; /* jobs of later revisions are not in PENDING */
};

struct daemon_record
{
  char name[RR_JOB_NAME_SIZE];
  char zone[RR_JOB_NAME_SIZE];
  int64_t cpu_milli;         /* CPU share, thousandths of a core */
  int64_t link_kbit;         /* of its network link, a second */
  struct settings_peer peer; /* address for other daemons; port 0: none */
};

struct json_object;

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
void records_progress_key (const char *shard, const char *id,
                           char out[KEY_SIZE]);
void records_progress_item (struct records *r, const struct store_item *item);
size_t records_pending (struct records *r, const char *queue);
struct json_object *records_pending_encode (struct records *r,
                                            const char *shard,
                                            int64_t revision);
struct shard_record *records_shard (struct records *r, const char *name);
struct shard_record *records_shard_at (struct records *r, size_t i);
size_t records_shard_count (const struct records *r);
size_t records_daemon_count (const struct records *r);
size_t records_worker_count (const struct records *r);
const struct daemon_record *records_daemon_next (const struct records *r,
                                                 struct rr_handle *cursor);
const struct platform_worker *records_worker_next (const struct records *r,
                                                   struct rr_handle *cursor);
const struct shard_record *
records_shard_of_worker (const struct records *r,
                         const struct platform_worker *w);

#endif
