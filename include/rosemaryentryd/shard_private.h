#ifndef ROSEMARYENTRYD_SHARD_PRIVATE_H
#define ROSEMARYENTRYD_SHARD_PRIVATE_H

#include "common/json.h"
#include "common/log.h"
#include "platform/permits.h"
#include "rosemaryentryd/inheritance.h"
#include "rosemaryentryd/metrics.h"
#include "rosemaryentryd/peers.h"
#include "rosemaryentryd/shard.h"
#include "rosemaryentryd/shard_selection.h"
#include "rosemaryentryd/worker_connection.h"

enum
{
  TICK_MS = 100,
  PAUSE_MS = 1000, /* between planning rounds: the process stood still */
  START_DELIVERY_MS = 600, /* until a start that is sent has arrived */
  PLAN_DELAY_MS = 3,       /* batches events that arrive together */
  COMMIT_DELAY_MS = 60,    /* batches progress that no caller waits for */
  COMMIT_RETRY_MS = 100,
  COMMIT_TIMEOUT_MS = 900,
  /* Each job needs a condition and a write, and the owner key a
     condition.  */
  COMMIT_JOBS_MAX = (STORE_TXN_ENTRIES_MAX - 1) / 2,
  LOAD_INTERVAL_MS = 700,
  /* The load is published when the largest free capacity of a worker changes
     by this much.  */
  LOAD_LARGEST_CHANGE_MILLI = 1500,
  /* Numbers of runs are reserved in blocks of this many, one with each stored
     membership record at most: so there are never more blocks than revisions
     of the store.  */
  RUNS_PER_BLOCK = 16,
  WORKER_CONNECTIONS_MAX = 1024,
  /* A new job that waits for free capacity is transferred to another shard
     after this long.  Tasks have ended here several times by then, and it is
     soon enough for the shortest latency objectives, about a second.  */
  TRANSFER_WAIT_MS = 300,
  /* The same for a started job: it has had capacity here before.  */
  TRANSFER_STARTED_WAIT_MS = 1000,
  /* Transfers of one job for free capacity, since published loads are out of
     date.  Those to a shard that can run it are not limited.  */
  TRANSFERS_MAX = 5,
  /* Interval between looks for a worker for a job that none can run: each one
     compares all its steps with all workers.  */
  UNFIT_INTERVAL_MS = 500,
  /* A job that no worker can run is logged after this long: workers that
     restart, or register while the deployment starts, are back by then.  */
  UNFIT_LOG_AFTER_MS = 2000,
  /* A job that was not looked at for this long has run meanwhile and is logged
     anew: several times what a look at 1000 waiting jobs takes.  */
  UNFIT_FORGET_AFTER_MS = 30000,
  /* Each job needs two conditions, two writes and a removal, and the owner key
     a condition.  */
  TRANSFER_JOBS_MAX = (STORE_TXN_ENTRIES_MAX - 1) / 5,
  /* A long-running task that waits for free capacity is transferred to another
     shard after this long: later than whole jobs, which go first, and well
     before callers notice a missing task, after 6 s.  */
  DIVIDE_WAIT_MS = 800,
  DIVIDE_TASKS_MAX = 32, /* tasks of a job in one transfer */
  /* Interval between estimates sent to other owners.  Interference changes
     within seconds; the estimates for 18 best-effort and 10 latency-critical
     images take 13 KB.  */
  STATISTICS_INTERVAL_MS = 2000,
  /* Interval between removals of old jobs from the store.  */
  FORGET_INTERVAL_MS = 3000,
  /* Each job has three keys; the owner key needs a condition.  */
  FORGET_JOBS_MAX = (STORE_TXN_ENTRIES_MAX - 1) / 3,
  /* Interval between writes of summaries of ended jobs.  */
  SUMMARY_INTERVAL_MS = 1000,
  SUMMARY_JOBS_MAX = STORE_TXN_ENTRIES_MAX - 1
};

/* The progress of one job in the write in flight.  */
struct commit_entry
{
  char id[RR_JOB_NAME_SIZE];     /* of the job */
  char record[RR_JOB_NAME_SIZE]; /* id of this shard's record of it */
  uint64_t version;
  char *text; /* progress as it was sent */
};

/* A job that is being transferred to another shard.  */
struct transfer_entry
{
  char id[RR_JOB_NAME_SIZE];
  char target[RR_JOB_NAME_SIZE];
  int64_t revision;          /* of the stored job before */
  int64_t progress_revision; /* before; 0: no progress is stored */
  char *text;                /* the job as it will be written */
  char *progress;            /* its progress; null: none */
};

/* A record with part of a job's tasks, which the division changes.  */
struct divided_record
{
  char id[RR_JOB_NAME_SIZE];
  int64_t revision; /* before; 0: it does not exist yet */
  char *text;       /* the record as it will be written */
};

/* A transfer of some tasks of one job to another shard.  */
struct division
{
  bool active;
  bool sending;
  bool unknown; /* an earlier attempt without an answer may take effect */
  char job[RR_JOB_NAME_SIZE];
  size_t tasks;
  struct divided_record source;
  struct divided_record destination;
};

/* A job that was stored when this daemon may not have owned the shard any
   more.  */
struct unconfirmed_job
{
  char id[RR_JOB_NAME_SIZE]; /* of its record */
  bool inherited;            /* as of shard_job_update */
  struct rr_time since;
};

/* The membership record that this owner sent last.  */
struct membership_write
{
  bool in_flight;
  bool stored;         /* it certainly is, until another one is sent */
  bool stopping;       /* it was sent while this owner was stopping */
  bool release_stored; /* one that was is stored */
  int64_t last_block;  /* of run numbers, in it */
  int64_t revision;    /* of the stored record, as last known */
  uint64_t hash;       /* of WORKERS */
  char *text;
  struct rr_recorded_worker *workers;
  size_t worker_count;
};

struct shard
{
  struct entry *entry;
  struct shard_record *record;
  char owner_key[KEY_SIZE];
  int64_t fencing_token;
  /* The last one at which the store has confirmed that this daemon owned the
     shard, by a write.  */
  int64_t owned_revision;
  struct unconfirmed_job *unconfirmed;
  size_t unconfirmed_count;
  struct rr_dispatch *dispatch;
  struct rr_table *connections;          /* of struct worker_connection * */
  struct rr_key_index *connection_index; /* by worker id */
  struct rr_time planned;                /* the last round */
  struct rr_time resumed; /* when the process last went on after a pause */
  uv_timer_t tick;
  uv_timer_t plan_timer;
  uv_timer_t commit_timer;
  struct commit_entry commit[COMMIT_JOBS_MAX];
  size_t commit_count;
  bool committing;
  struct rr_time commit_after; /* earliest retry of a failed write */
  struct transfer_entry transfer[TRANSFER_JOBS_MAX];
  size_t transfer_count;
  bool transferring;
  bool transfer_unknown;       /* an attempt without answer may take effect */
  struct rr_time unfit_looked; /* when waiting jobs were last compared */
  struct division division;
  int64_t first_block; /* of run numbers of this owner */
  int64_t last_block;  /* its last one, which may not be stored yet */
  struct membership_write membership;
  struct rr_time load_sent;
  struct rr_time statistics_sent; /* to other owners */
  bool load_writing;
  bool load_stale; /* other daemons added new jobs to the published load */
  int64_t published_demand;
  int64_t published_largest;
  char *published_pending; /* JSON; null: not published yet */
  bool stopping;           /* starts no more tasks */
  bool closed;
  size_t calls_in_flight;
  struct rr_time last_forget; /* when old jobs were last removed */
  bool forgetting;
  struct rr_time last_summary;
  bool summarizing;
  size_t timers_open;
  struct rr_command *commands; /* of the current planning round */
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

void shard_ownership_confirmed (struct shard *s, int64_t revision);
bool shard_job_confirmed (const struct shard *s, const struct job_record *j);
void shard_jobs_catch_up (struct shard *s, struct rr_time now);
void shard_jobs_log_unconfirmed (const struct shard *s);
void shard_commit (struct shard *s);
void shard_schedule_commit (struct shard *s, uint64_t ms);
void shard_commit_clear (struct shard *s);
void shard_inherit_workers (struct shard *s);
void shard_write_membership (struct shard *s);
bool shard_release_recorded (struct shard *s);
void shard_write_load (struct shard *s, struct rr_time now);
void shard_record_id (const struct shard *s, const char *job,
                      char out[RR_JOB_NAME_SIZE]);
void shard_divide_jobs (struct shard *s, struct rr_time now);
void shard_divide_clear (struct shard *s);
void shard_send_statistics (struct shard *s, struct rr_time now);
void shard_transfer_jobs (struct shard *s, struct rr_time now);
void shard_transfer_clear (struct shard *s);
bool shard_unfit_recently (const struct job_record *j, struct rr_time now);
bool shard_unfit_note (struct shard *s, struct job_record *j,
                       const struct rr_job_graph *g,
                       const enum rr_step_state *states,
                       enum shard_verdict verdict, struct rr_time now);
void shard_forget_jobs (struct shard *s, struct rr_time now);
void shard_summarize_jobs (struct shard *s, struct rr_time now);

#endif
