#ifndef ROSEMARYENTRYD_PEERS_H
#define ROSEMARYENTRYD_PEERS_H

#include "rosemaryentryd/entry.h"
#include "rosemaryrail/dispatch.h"

enum
{
  STATISTICS_MAX = RR_CLASSES_MAX /* service images in one call */
};

/* The phase of a job as the owner of its shard has stored it.  */
struct peer_phase
{
  bool known; /* the called daemon owns the job's shard */
  enum rr_job_phase phase;
  int64_t revision; /* of the stored progress with this phase */
};

/* The estimates of the owner of SHARD: how much best-effort tasks interfere
   with latency-critical tasks.  */
struct statistics_list
{
  char shard[RR_JOB_NAME_SIZE];
  struct rr_dispatch_statistics entries[STATISTICS_MAX];
  size_t count;
};

/* The configuration that a daemon has in force.  */
struct peer_config
{
  const char *daemon; /* its name */
  bool known;         /* it has one */
  int64_t version;
  int64_t age_ms; /* since it knew that there was no newer one */
  char *text;     /* empty unless newer than the version in the query */
};

struct daemon_record;

/* Calls between entry daemons.  A daemon asks the owner of a job's shard for
   the job's phase, which reaches it later through the store too, owners send
   each other their estimates, and a daemon that the store does not tell asks
   for the configuration.  Correctness does not depend on any answer.  */
struct peers;

/* Called with the answer; P is null when there was none.  */
typedef void peers_phase_done_fn (void *data, const struct peer_phase *p);

struct peers *peers_open (struct entry *e, struct rr_error *err);
void peers_daemon_update (struct peers *p, const struct daemon_record *d);
void peers_daemon_unregister (struct peers *p, const char *daemon);
void peers_query_phase (struct peers *p, const char *daemon, const char *job,
                        peers_phase_done_fn *done, void *data);
/* Called with the answer; C is null when there was none.  */
typedef void peers_config_done_fn (void *data, const struct peer_config *c);

size_t peers_count (const struct peers *p);
void peers_query_config (struct peers *p, size_t number, int64_t version,
                         peers_config_done_fn *done, void *data);
void peers_send_statistics (struct peers *p, const char *daemon,
                            const struct statistics_list *list);

#endif
