#ifndef ROSEMARYRAILD_WORKERS_INTERNAL_H
#define ROSEMARYRAILD_WORKERS_INTERNAL_H

#include <uv.h>

#include "rosemaryrail/admission.h"
#include "rosemaryrail/estimate.h"
#include "rosemaryrail/ledger.h"
#include "rosemaryrail/placement.h"
#include "rosemaryrail/quarantine.h"
#include "rosemaryrail/relief.h"
#include "rosemaryrail/table.h"
#include "rosemaryraild/daemon.h"
#include "rosemaryraild/worker_api.h"
#include "rosemaryraild/workers.h"

enum
{
  WORKERS_MAX = 1024,
  SERVICES_MAX = 256,
  INSTANCES_MAX = 1024,
  HOSTED_TASKS_MAX = 64
};

/* The state chart charts/worker.jsonc and the numbers of its states and
   events.  */
struct worker_chart
{
  struct rr_chart *chart;
  int unclaimed, claiming, rebuilding, open, quarantined, leaving, unconfirmed,
      lease_lost, abandoned, gone;
  int elected, claim_granted, claim_refused, rebuilt, confirmed, report_failed,
      lease_expired, epoch_refused, paused, quarantine, quarantine_ended, left,
      release, abandon, disappeared;
};

/* An attempt of a task that is reserved, starting, running or ended on a
   worker.  */
struct hosted_task
{
  char task[RR_TASK_ID_SIZE];
  uint32_t attempt;
  char kind[16];
  char service[NAME_SIZE];
  char task_class[NAME_SIZE];
  char team[NAME_SIZE];
  struct rr_resources need;
  uint64_t reservation;
  bool running;
  bool ended;
  bool end_being_recorded; /* a call to the shard owner is in progress */
  bool end_recorded;       /* the shard owner has recorded the end */
  int64_t sequence;        /* of the end, as the worker numbers it */
  char result[32];
  char checkpoint[WORKER_CHECKPOINT_SIZE];
  int instance; /* worker number in the route of its service, or -1 */
  bool indexed; /* the placement index counts `placement` */
  struct rr_placement_task placement;
  unsigned evictions;
  int speed_percent; /* at the worker, or WORKER_SPEED_UNKNOWN; 100: not
                        throttled */
  int speed_target;  /* sent last, or to send while the speed is unknown */
  bool speed_call_pending;
  struct rr_time speed_call_ended;
  struct rr_time throttled_since; /* if throttled: since when, as far as this
                                     daemon knows */
  bool evicting;
  struct rr_time started;
  double peak_memory_mb;
  double mean_cores_milli;
  int64_t done_ms;
};

struct worker
{
  struct workers *ws;
  char name[NAME_SIZE];
  char rack[NAME_SIZE];
  uint64_t incarnation;
  struct worker_endpoint endpoint;
  struct upstream *upstream;
  struct rr_ledger *ledger;
  int state;
  bool call_pending;    /* a claim, report or release is in progress */
  unsigned other_calls; /* calls in progress besides that one */
  struct rr_time call_sent;
  struct rr_time next_call;
  struct rr_time last_report;
  unsigned failures;
  int64_t ended_after;
  struct hosted_task hosted[HOSTED_TASKS_MAX];
  size_t hosted_task_count;
  int index;   /* in the placement index, or RR_WORKER_NONE */
  uint64_t id; /* hash of name and incarnation, for the decision modules */
  int64_t last_usage_window_end_ms; /* the last one processed */
};

/* A service, its instances on the workers whose ledgers this daemon owns, and
   the admission of requests to them.  */
struct route
{
  struct workers *ws;
  char service[NAME_SIZE];
  struct rr_admission *admission;
  /* Indexed by the worker number in `admission`.  */
  struct worker *instances[INSTANCES_MAX];
  size_t instance_count;
  int instances_used; /* highest worker number used so far, plus one */
};

struct workers
{
  struct daemon *d;
  struct worker_chart chart;
  struct worker *workers[WORKERS_MAX];
  size_t count;
  uv_timer_t timer;
  struct route *routes[SERVICES_MAX];
  size_t route_count;
  struct rr_table *requests; /* waiting; of struct request * */
  uv_timer_t queue_timer;
  bool queue_timer_active;
  struct rr_retry_budget retry_budget;
  size_t in_progress;
  struct decisions *decisions;
};

/* The decision modules for the workers of this daemon, and their
   parameters.  */
struct decisions
{
  struct rr_policy policy;
  struct rr_interference *interference;
  struct rr_placement *placement;
  struct rr_relief *relief;
  struct rr_quarantine *quarantine;
  struct rr_estimate *estimate;
};

/* workers.c */
struct worker *workers_find (struct workers *ws, const char *name,
                             uint64_t incarnation);
bool worker_apply_event (struct worker *w, int event);
bool worker_is_open (const struct worker *w, struct rr_time now);
struct hosted_task *worker_find_task (struct worker *w, const char *task,
                                      uint32_t attempt);
struct hosted_task *worker_add_task (struct worker *w, const char *task,
                                     uint32_t attempt);
void worker_remove_task (struct worker *w, struct hosted_task *t);
void worker_mark_lease_lost (struct worker *w, int event);

/* workers_decisions.c */
void decisions_open (struct workers *ws);
void decisions_set_policy (struct workers *ws);
void decisions_add_worker (struct worker *w);
void decisions_remove_worker (struct worker *w);
void decisions_sync_worker (struct worker *w, struct rr_time now);
void decisions_add_task (struct worker *w, struct hosted_task *t);
void decisions_remove_task (struct worker *w, struct hosted_task *t);
struct worker *decisions_select_worker (struct workers *ws, const peer_task *t,
                                        struct rr_time now,
                                        struct rr_resources *need, bool *probe,
                                        struct rr_placement_explanation *why);
void decisions_attempt_started (struct worker *w, const struct hosted_task *t);
void decisions_attempt_ended (struct worker *w, const struct hosted_task *t,
                              const char *result);
uint64_t decisions_hash (const char *text);

/* workers_relief.c */
void decisions_apply_report (struct worker *w,
                             const struct worker_status_report *a);
void decisions_drain_leaving (struct worker *w);

/* workers_speed.c */
void task_speed_reported (const struct worker *w, struct hosted_task *t,
                          int speed_percent);
void task_speed_send (struct worker *w, struct hosted_task *t,
                      int speed_percent);
bool task_speed_is_known (const struct hosted_task *t);
void worker_send_unknown_speeds (struct worker *w);

/* workers_tasks.c */
void workers_handle_rpc (struct workers *ws, struct message_rpc_request *q);
void worker_apply_report (struct worker *w,
                          const struct worker_status_report *a);
void worker_send_ended_attempts (struct worker *w);

/* workers_forward.c */
bool request_forward (struct workers *ws, struct request *r);

/* workers_requests.c */
int64_t request_remaining_ms (const struct request *r);
void request_finish (struct workers *ws, struct request *r);
void request_finish_on (struct workers *ws, struct request *r, int event,
                        const char *reason);
void request_retry_or_finish (struct workers *ws, struct request *r,
                              enum rr_call_state state, const char *reason);
void request_dispatch (struct workers *ws, struct request *r);
void workers_run_request (struct workers *ws, struct request *r);
void workers_handle_forwarded_request (struct workers *ws,
                                       const struct message_rpc_request *q);
struct route *workers_route (struct workers *ws, const char *service);
void route_add_instance (struct worker *w, struct hosted_task *t);
void route_remove_instance (struct worker *w, struct hosted_task *t);
void workers_requests_open (struct workers *ws);
void workers_run_queues (struct workers *ws);

#endif
