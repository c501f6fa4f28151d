#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <json-c/json.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

/* Stand-ins for the cases of the review: the platform's store, workers and
   clients, in one process with a thread for each connection.  All state is
   guarded by LOCK.  */

enum
{
  DAEMONS_MAX = 8,
  WORKERS_MAX = 16,
  TEXT = 128,
  VALUE_MAX = 1 << 20,
  BEAT_MS = 1500,      /* heartbeatMs of the settings */
  LEASE_MAX_MS = 10000 /* holdMaxMs */
};

extern pthread_mutex_t lock;
extern pthread_cond_t changed;
extern FILE *record_file;
extern char address[32]; /* loopback, of this run alone */
extern char folder[64];  /* temporary */

int64_t now_ms (void);  /* steady */
int64_t wall_ms (void); /* since 1970 */
void note (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
void sleep_ms (int64_t ms); /* without LOCK */
void wait_ms (int64_t ms);  /* with LOCK, until a change or MS have passed */
void give_up (const char *why) __attribute__ ((noreturn)); /* exit status 2 */
void *grow (void *list, size_t bytes);

/* A request that a stand-in received.  */
struct request
{
  char method[16];
  char path[1024]; /* with the query */
  char instance[TEXT];
  char *body;
  size_t length;
};

/* What is answered; status 0: nothing, and the connection stays silent.  */
struct answer
{
  int status;
  char *body; /* freed after it was sent */
};

typedef void handler_fn (void *data, const struct request *q,
                         struct answer *a);

struct server
{
  int fd;
  int port;
  handler_fn *handler;
  void *data;
  bool down; /* connections are reset */
  int conns[512];
};

void server_open (struct server *s, handler_fn *handler, void *data);
void server_reset (struct server *s);
int free_port (void);
int call (int port, const char *method, const char *path, const char *host,
          int deadline_ms, const char *body, char *out, size_t size);
char *text_of (struct json_object *o);
int64_t get_int (struct json_object *o, const char *name, int64_t fallback);
const char *get_text (struct json_object *o, const char *name);

/* The store.  Each daemon has a port of its own there.  */
enum store_mode
{
  STORE_SERVES,
  STORE_DOWN, /* 503, nothing is done */
  STORE_SILENT
};

extern enum store_mode store_mode;
void store_open (void);
int store_port (int daemon);
void store_put (const char *key, const char *value);
void store_remove (const char *key);
void store_tick (void);
/* A write that creates KEY is not answered until UNTIL, and carried out
   LATE_MS after it came.  */
void store_lose (const char *key, int64_t until, int64_t late_ms);
extern int store_writes; /* since the start */
extern int store_lost;   /* of these, not answered and late */

/* A run on a worker, for the rules; kept after its end.  */
struct run
{
  char task[TEXT];
  int64_t number; /* of the run */
  int worker;
  int life;
  int64_t began;
  int64_t ended;  /* 0: it runs */
  char how[16];   /* its end; "crash" */
  int64_t end_no; /* in the list of ends */
  bool noted;     /* "observed" has reached its end */
  int64_t noted_at;
  bool forgotten; /* with the worker's life */
  int64_t work_ms;
  int64_t fails_ms; /* fails after this time; 0: it does not */
  int64_t cpu;
  int64_t stop_at; /* 0: no stop */
  int64_t token;
  size_t saves;    /* length of its checkpoints; 0: it has none */
  int64_t resumed; /* number of the checkpoint that it began with */
};

struct worker
{
  int index;
  char id[TEXT];
  struct server server;
  int life;
  int64_t life_began; /* steady */
  int64_t born;       /* wall */
  int64_t token;
  int64_t lease_end; /* steady */
  int64_t lapsed_at;
  int64_t last_end;
  int64_t beat_at;
  int64_t sequence;
  bool up;
  bool cut; /* from all daemons; it runs on and reaches the store */
  int64_t starts_refused;
};

extern struct worker workers[WORKERS_MAX];
extern int worker_count;
extern struct run *runs;
extern size_t run_count;
extern bool tickets; /* starts need one */
void workers_open (int count);
void workers_tick (void);
void worker_crash (struct worker *w);
void worker_return (struct worker *w);
size_t runs_of (const char *job); /* at work now */
int rule_twice (void);            /* violations */
extern int foreign_checkpoints;   /* starts with one that no run has saved */

struct daemon_process
{
  char name[32];
  char zone[32];
  int front;
  int ready;
  int metrics;
  int peer;
  pid_t pid;
  int own_ends; /* it ended by itself */
  int64_t restart_at;
  bool stopped; /* by the test */
};

extern struct daemon_process daemons[DAEMONS_MAX];
extern int daemon_count;
extern int permit_port; /* 0: none */
void daemons_start (int count);
void daemon_start (struct daemon_process *d);
void daemon_signal (struct daemon_process *d, int number);
void daemons_tick (void); /* restarts those that ended */
int daemons_own_ends (void);
struct daemon_process *daemon_owner (void);
void world_open (int daemon_total, int worker_total, const char *config);
void world_close (void);

/* A client's request.  Returns the status, 0 without an answer.  */
int client (int daemon, const char *method, const char *path, int deadline_ms,
            const char *body, char *out, size_t size);
int client_submit (const char *id, const char *body, bool until_accepted);
/* Asks for the state of job ID; "" without an answer.  */
const char *client_state (const char *id, char *out, size_t size);

extern const char *const config_plain;

#endif
