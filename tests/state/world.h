#ifndef TESTS_STATE_WORLD_H
#define TESTS_STATE_WORLD_H

#include <stdio.h>

#include "fake_store.h"

enum
{
  DAEMONS_MAX = 24,
  WORKERS_MAX = 24,
  RUNS_MAX = 4096,
  CALLS_MAX = 128,
  MESSAGES_MAX = 1024,
  HELD_MAX = 16,
  TOKENS_MAX = 512,
  STEP_MS = 10,
  LEASE_MS = 10000,
  VM_LIST_LAG_MS = 500
};

/* One attempt as its worker knows it.  */
struct run
{
  char task[RR_NAME_MAX + 16];
  uint32_t attempt;
  int worker;
  bool live;
  bool sealed;   /* never ran and never will */
  bool recorded; /* its success is in the log */
  enum rr_attempt_result result;
  char checkpoint[RR_CHECKPOINT_MAX + 1];
  int64_t until_ms; /* lease, worker's clock */
  int64_t granted_until_ms;
  int64_t ends_ms; /* virtual time at which the work is done */
};

struct worker
{
  char name[16];
  uint64_t incarnation;
  int64_t clock_offset;
  bool cut;       /* unreachable; its zone keeps renewing */
  bool abandoned; /* unreachable; nobody renews */
  bool forsaken;  /* its daemons confirmed that they never claim it again */
  int64_t vanished_ms; /* 0: in the VM list */
  uint64_t shard_epoch;
  bool hold_start; /* the next start arrives only on "land" */
};

/* A start on its way to a worker.  */
struct start
{
  int daemon;
  int worker;
  char job[RR_NAME_MAX + 1];
  uint32_t task;
  uint32_t attempt;
  uint64_t shard_epoch;
  int64_t void_after_ms;
  int64_t granted_until_ms;
  int64_t work_ms;
  char checkpoint[RR_CHECKPOINT_MAX + 1];
};

enum fault
{
  FAULT_NONE,
  FAULT_LOSE, /* takes effect, the answer is lost */
  FAULT_DROP, /* has no effect and no answer */
  FAULT_HOLD, /* no answer; takes effect on "land" */
  FAULT_READS /* reads of all other keys get no answer */
};

struct held_write
{
  int daemon;
  char key[RR_KEY_SIZE];
  uint8_t *data;
  size_t length;
  uint64_t expect;
};

enum message_kind
{
  MESSAGE_STORE,  /* result of a store call */
  MESSAGE_ASK,    /* entry daemon asks for permission to send a request */
  MESSAGE_GO,     /* permission */
  MESSAGE_REPLY,  /* no permission: what is known instead */
  MESSAGE_RESULT, /* entry daemon reports the outcome */
  MESSAGE_ACK     /* outcome recorded */
};

enum reply
{
  REPLY_NOT_RUN,
  REPLY_UNKNOWN,
  REPLY_WAIT,
  REPLY_YOURS, /* granted to the asking daemon by the same ask */
  REPLY_ANSWERED
};

struct message
{
  bool used;
  int64_t at;
  uint64_t order;
  enum message_kind kind;
  int from;
  int to;
  uint64_t call_id;
  struct rr_kv_result result; /* owns its value */
  char request[32];
  uint64_t ask;
  enum reply reply;
  enum rr_request_outcome outcome;
  uint32_t status;
};

enum call_state
{
  CALL_ASKING,
  CALL_RETURNING, /* gives a grant back that it did not use */
  CALL_RUNNING,
  CALL_REPORTING,
  CALL_DONE
};

/* A request at its entry daemon.  */
struct call
{
  char request[32];
  int daemon;
  uint64_t ask;
  enum call_state state;
  bool answered; /* the caller has its outcome */
  bool ran;
  int64_t deadline;
  int64_t next_at;
  uint32_t status;
  enum rr_request_outcome outcome;
};

struct token
{
  uint64_t id;
  bool used;
  int from; /* -1: none */
  enum message_kind kind;
  char request[32];
  uint64_t ask;
  enum rr_request_outcome outcome;
};

struct daemon
{
  char name[16];
  uint64_t incarnation;
  struct rr_shard_log *log;
  bool paused;
  bool dead;
  enum fault fault;
  char fault_key[RR_KEY_SIZE];
  bool hold_start; /* pause between the decision to send a start and sending */
  bool hold_go;
  bool has_start;
  struct start start;
  bool has_go;
  struct message go;
  int64_t paused_at;
  uint64_t next_token;
  uint64_t next_ask;
  struct token tokens[TOKENS_MAX];
};

enum store_mode
{
  STORE_UP,
  STORE_DOWN,  /* calls are refused */
  STORE_SILENT /* calls have no effect and no answer */
};

struct world
{
  FILE *out; /* null: quiet */
  int64_t now;
  enum store_mode store_mode;
  struct fake_store store;
  struct daemon daemons[DAEMONS_MAX];
  int daemon_count;
  struct worker workers[WORKERS_MAX];
  int worker_count;
  struct run runs[RUNS_MAX];
  int run_count;
  struct call calls[CALLS_MAX];
  int call_count;
  struct message messages[MESSAGES_MAX];
  uint64_t next_order;
  struct held_write held[HELD_MAX];
  int held_count;
  struct start held_starts[HELD_MAX];
  int held_start_count;
  uint64_t next_incarnation;
  int violations;
  int alarms;
  uint32_t snapshot_max;
};

/* world.c */
void world_free (struct world *w);
void world_log (struct world *w, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void world_violation (struct world *w, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
struct message *world_send (struct world *w, enum message_kind kind, int from,
                            int to, int64_t delay);
void world_step (struct world *w);
void world_run (struct world *w, int64_t ms);
void world_land (struct world *w);
int world_owner (struct world *w);
bool world_command (struct world *w, const char *line);

/* world_worker.c */
int64_t worker_clock (const struct world *w, int worker);
bool worker_reachable (const struct world *w, int worker);
struct run *worker_find_run (struct world *w, int worker, const char *task,
                             uint32_t attempt);
enum rr_start_response worker_start (struct world *w, const struct start *s);
struct run *worker_seal (struct world *w, int worker, const char *task,
                         uint32_t attempt, uint64_t shard_epoch);
void worker_stop (struct world *w, struct run *r,
                  enum rr_attempt_result result, const char *checkpoint);
void worker_step (struct world *w);
void worker_vanish (struct world *w, int worker);
bool worker_prove_lease (struct world *w, int worker);

/* world_daemon.c */
int daemon_add (struct world *w, const char *name);
void daemon_step (struct world *w, int d);
void daemon_message (struct world *w, int d, const struct message *m);
bool daemon_append (struct world *w, int d, const struct rr_record *r,
                    const struct token *token);
void daemon_kill (struct world *w, int d);
void daemon_resume (struct world *w, int d);
void daemon_tasks (struct world *w, int d);

/* world_request.c */
void request_begin (struct world *w, int d, const char *request,
                    int64_t deadline_ms);
void request_step (struct world *w, int d);
void request_asked (struct world *w, int d, const struct message *m);
void request_told (struct world *w, int d, const struct message *m);
void request_result (struct world *w, int d, const struct message *m);
void request_settled (struct world *w, int d, const struct token *t,
                      const struct rr_shard_output *out);

#endif
