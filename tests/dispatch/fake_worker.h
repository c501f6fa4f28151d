#ifndef TESTS_DISPATCH_FAKE_WORKER_H
#define TESTS_DISPATCH_FAKE_WORKER_H

#include "rosemaryrail/dispatch.h"

enum
{
  WORKERS_MAX = 16,
  RUNS_MAX = 256,
  LEASE_MS = 4500,
  LEASE_MAX_MS = 10000
};

struct fake_run
{
  struct rr_run_status status;
  struct rr_run_end end;
  bool ended;
  bool delayed; /* command delayed on its way to a blocked worker */
  bool sealed;
  int32_t speed;      /* in percent */
  int32_t late_speed; /* of a throttle on its way; -1: none */
};

/* A start that is under way to a worker that is out of reach.  */
struct fake_start
{
  struct rr_run_name name;
  int64_t lease;
  int64_t token;
};

/* An answer to a command that was withheld.  */
struct fake_answer
{
  enum rr_command_kind kind;
  struct rr_run_name name;
  int64_t clock_ms;
};

struct fake_worker
{
  char id[16];
  struct rr_worker_info info;
  struct rr_handle handle;
  bool registered;
  bool muted;
  bool blocked;
  bool delaying;
  bool queueing;
  bool refusing;               /* starts, for their permits */
  int64_t answer_ms;           /* between a poll and its answer */
  struct rr_command queue[64]; /* names and kinds of commands that wait */
  size_t queue_count;
  size_t listed_max; /* ends in a report; 0: all */
  bool reversing;    /* lists the latest end first */
  bool withholding;  /* answers to commands come later */
  struct fake_answer answers[16];
  size_t answer_count;
  int64_t started_ms;
  int64_t recorded_life; /* start of its life on record */
  int64_t clock_start;   /* on the script's clock, when its own showed 0 */
  int64_t lease_end;     /* on its own clock */
  int64_t token;         /* the highest that it has seen */
  /* When the connection for commands to it was opened.  */
  struct rr_time connected;
  bool disconnected;  /* the next command opens another */
  int64_t late_lease; /* of a poll under way; 0: none */
  int64_t late_token;
  struct fake_start late_starts[16];
  size_t late_start_count;
  int64_t ends;
  int64_t forgotten; /* ends up to this one are not listed any more */
  struct fake_run runs[RUNS_MAX];
  size_t run_count;
};

/* The dispatcher that the script drives, and its clock.  */
struct script
{
  struct rr_dispatch *dispatch;
  struct rr_time now;
  struct rr_time confirmed; /* when the owner last certainly held the shard */
  int64_t revision;         /* of the store */
  /* The script has all commands that store the membership record.  Otherwise
     a restarted worker is recorded at its first report.  */
  bool records_itself;
};

extern struct script script;
extern struct fake_worker fake_workers[WORKERS_MAX];
extern size_t fake_worker_count;

struct fake_worker *fake_worker_find (const char *id);
void fake_worker_add (char **word);
void fake_worker_register (struct fake_worker *w, bool recorded);
void fake_worker_execute (const struct rr_command *command);
void fake_worker_command (char **word, struct fake_worker *w);
void fake_workers_poll (const char *id);
void fake_workers_print_speeds (void);
void fake_workers_print_running (void);
struct fake_run *fake_run_find (char *job, char *task_name,
                                struct fake_worker **where);
void fake_run_end (struct fake_worker *w, struct fake_run *r,
                   enum rr_end_kind kind);

#endif
