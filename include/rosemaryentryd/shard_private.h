#ifndef ROSEMARYENTRYD_SHARD_PRIVATE_H
#define ROSEMARYENTRYD_SHARD_PRIVATE_H

#include "common/json.h"
#include "common/log.h"
#include "platform/permits.h"
#include "rosemaryentryd/metrics.h"
#include "rosemaryentryd/peers.h"
#include "rosemaryentryd/shard.h"
#include "rosemaryentryd/worker_connection.h"

enum
{
  TICK_MS = 100,
  PLAN_DELAY_MS = 3,    /* gathers what arrives together */
  COMMIT_DELAY_MS = 60, /* the same for progress that nobody waits for */
  COMMIT_RETRY_MS = 100,
  COMMIT_TIMEOUT_MS = 900,
  /* Each job takes a condition and a write; the owner key a condition.  */
  COMMIT_JOBS_MAX = (STORE_TXN_ENTRIES_MAX - 1) / 2,
  LOAD_INTERVAL_MS = 700,
  LOAD_LARGEST_CHANGE_MILLI
  = 1500, /* change of the largest room that is sent_to */
  /* Leases of workers' tasks: the time to notice a dead owner and to take
     over, and as short as that allows, since tasks of a silent worker wait
     for its end.  */
  TASK_LEASE_MS = 4500,
  /* An owner that can't confirm its ownership goes on for so long, which
     outlasts most outages of the store; a new owner waits as long for workers
     that it can't hear.  */
  OWNERSHIP_GRACE_MS = 7000,
  /* Added to the leases of a former owner for clocks that are 2% slow and
     for orders under way.  */
  INHERIT_MARGIN_MS = 700,
  /* Calls of one daemon are answered one after the other.  */
  PERMITS_TIMEOUT_MS = 2500,
  /* Runs of one task that an owner starts at most without a stored end.  */
  RUNS_PER_OWNER_MAX = 16,
  WORKER_CONNECTIONS_MAX = 1024,
  /* A job without room goes to another shard after this long: several rounds
     of ends, and soon enough for the shortest objectives, about a second.  */
  TRANSFER_WAIT_MS = 300,
  /* The same for one that has begun: it has had room here before.  */
  TRANSFER_STARTED_WAIT_MS = 1000,
  TRANSFERS_MAX = 5, /* of one job, since loads are known late */
  /* Each job takes two conditions and two writes; the owner key a
     condition.  */
  TRANSFER_JOBS_MAX = (STORE_TXN_ENTRIES_MAX - 1) / 4,
  /* A lasting task without room goes to another shard after this long: whole
     jobs go first, and callers notice an absence after 6 s.  */
  DIVIDE_WAIT_MS = 800,
  DIVIDE_TASKS_MAX = 32, /* of a job at a time */
  /* Between statistics for other owners.  Effects change within seconds; those
     of 18 filler images and 10 server images have 13 KB.  */
  STATISTICS_INTERVAL_MS = 2000,
  /* Between removals of old jobs from the store.  */
  FORGET_INTERVAL_MS = 3000,
  /* A finished job is kept this much longer than callers were promised, for
     repeated submissions that are still under way.  */
  FORGET_MARGIN_MS = 60000,
  /* Each job has three keys, beside the condition on the owner key.  */
  FORGET_JOBS_MAX = (STORE_TXN_ENTRIES_MAX - 1) / 3
};

struct commit_entry
{
  char id[RR_GRAPH_NAME_SIZE];     /* of the job */
  char record[RR_GRAPH_NAME_SIZE]; /* where this shard stores it */
  uint64_t version;
  char *text; /* progress as it was sent */
};

/* A job on its way to another shard.  */
struct transfer_entry
{
  char id[RR_GRAPH_NAME_SIZE];
  char target[RR_GRAPH_NAME_SIZE];
  int64_t revision;          /* of the job before */
  int64_t progress_revision; /* before; 0: it has none */
  char *text;                /* the job as it will be stored */
  char *progress;            /* its progress; null: none */
};

/* A record of a job whose share changes.  */
struct divided_record
{
  char id[RR_GRAPH_NAME_SIZE];
  int64_t revision; /* before; 0: it does not exist yet */
  char *text;       /* the record as it will be stored */
};

/* Tasks of one job on their way to another shard.  */
struct division
{
  bool active;
  bool sending;
  bool unknown; /* an attempt without an answer may take effect */
  char job[RR_GRAPH_NAME_SIZE];
  size_t tasks;
  struct divided_record source;
  struct divided_record destination;
};

struct shard
{
  struct entry *entry;
  struct shard_record *record;
  char owner_key[KEY_SIZE];
  int64_t fencing_token;
  struct rr_dispatch *dispatch;
  struct worker_connection *connections[WORKER_CONNECTIONS_MAX];
  size_t connection_count;
  uv_timer_t tick;
  uv_timer_t plan_timer;
  uv_timer_t commit_timer;
  struct commit_entry commit[COMMIT_JOBS_MAX];
  size_t commit_count;
  bool committing;
  struct rr_time commit_after; /* a failed write is not repeated sooner */
  struct transfer_entry transfer[TRANSFER_JOBS_MAX];
  size_t transfer_count;
  bool transferring;
  bool transfer_unknown; /* an attempt without an answer may take effect */
  struct division division;
  bool membership_writing;
  int64_t ordinal;         /* of this owner among those of the shard, from 0 */
  char *membership_record; /* last one stored */
  char *membership_record_sent;
  struct rr_time load_sent;
  struct rr_time statistics_sent; /* to other owners */
  bool load_writing;
  bool load_stale; /* others have added jobs to what was last sent_to */
  int64_t published_demand;
  int64_t published_largest;
  bool stopping; /* starts nothing more */
  bool closed;
  size_t calls_in_flight;
  struct rr_time last_forget; /* when old jobs were last removed */
  bool forgetting;
  size_t timers_open;
  struct rr_order *commands; /* of the planning round */
  size_t command_count;
  size_t command_capacity;
};

void shard_free_if_unused (struct shard *s);
void shard_abandon (struct shard *s, const char *why);
void shard_schedule_planning (struct shard *s);
struct worker_connection *shard_worker_connection (const struct shard *s,
                                                   const char *worker_id);
bool shard_write_ended (struct shard *s, const struct store_result *r,
                        const char *why);

void shard_commit (struct shard *s);
void shard_schedule_commit (struct shard *s, uint64_t ms);
void shard_commit_clear (struct shard *s);
struct json_object *shard_membership_parse (const char *text,
                                            int64_t *ordinal);
void shard_write_membership (struct shard *s);
void shard_write_load (struct shard *s, struct rr_time now);
void shard_record_id (const struct shard *s, const char *job,
                      char out[RR_GRAPH_NAME_SIZE]);
void shard_divide_jobs (struct shard *s, struct rr_time now);
void shard_divide_clear (struct shard *s);
void shard_send_statistics (struct shard *s, struct rr_time now);
void shard_transfer_jobs (struct shard *s, struct rr_time now);
void shard_transfer_clear (struct shard *s);
void shard_forget_jobs (struct shard *s, struct rr_time now);

#endif
