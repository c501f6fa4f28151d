#include "rosemaryraild/metrics.h"

#include <assert.h>
#include <stddef.h>

struct metric_definition
{
  enum rr_counter_kind kind;
  const char *name;
  const char *help;
};

static const struct metric_definition metric_definitions[METRIC_COUNT] = {
  [METRIC_REQUESTS_ANSWERED]
  = { RR_COUNTER, "rosemaryrail_requests_answered_total",
      "Requests with outcome answered." },
  [METRIC_REQUESTS_NOT_RUN]
  = { RR_COUNTER, "rosemaryrail_requests_not_run_total",
      "Requests refused without having run." },
  [METRIC_REQUESTS_UNKNOWN]
  = { RR_COUNTER, "rosemaryrail_requests_unknown_total",
      "Requests whose outcome is unknown." },
  [METRIC_REQUESTS_FORWARDED]
  = { RR_COUNTER, "rosemaryrail_requests_forwarded_total",
      "Requests forwarded to another daemon." },
  [METRIC_REQUEST_RETRIES]
  = { RR_COUNTER, "rosemaryrail_request_retries_total",
      "Calls to workers after the first of a request." },
  [METRIC_REQUESTS_BAD] = { RR_COUNTER, "rosemaryrail_requests_bad_total",
                            "HTTP requests refused as malformed." },
  [METRIC_GRANTS] = { RR_COUNTER, "rosemaryrail_grants_total",
                      "Non-repeatable requests granted by this owner." },
  [METRIC_GRANT_DUPLICATES]
  = { RR_COUNTER, "rosemaryrail_grant_duplicates_total",
      "Non-repeatable requests that had been granted before." },
  [METRIC_RPC_MALFORMED] = { RR_COUNTER, "rosemaryrail_rpc_malformed_total",
                             "RPC records and arguments refused." },
  [METRIC_RPC_BYTES_IN]
  = { RR_COUNTER, "rosemaryrail_rpc_received_bytes_total",
      "Bytes received from other daemons." },
  [METRIC_RPC_BYTES_OUT] = { RR_COUNTER, "rosemaryrail_rpc_sent_bytes_total",
                             "Bytes sent to other daemons." },
  [METRIC_PLATFORM_READS] = { RR_COUNTER, "rosemaryrail_platform_reads_total",
                              "Read calls to the platform." },
  [METRIC_PLATFORM_WRITES]
  = { RR_COUNTER, "rosemaryrail_platform_writes_total",
      "Write calls to the platform." },
  [METRIC_PLATFORM_WATCHES]
  = { RR_COUNTER, "rosemaryrail_platform_watches_total",
      "Watches opened at the platform." },
  [METRIC_PLATFORM_FAILURES]
  = { RR_COUNTER, "rosemaryrail_platform_failures_total",
      "Calls to the platform without a usable answer." },
  [METRIC_PLATFORM_BYTES] = { RR_COUNTER, "rosemaryrail_platform_bytes_total",
                              "Body bytes exchanged with the platform." },
  [METRIC_WORKER_CALLS] = { RR_COUNTER, "rosemaryrail_worker_calls_total",
                            "Control calls to workers." },
  [METRIC_WORKER_BYTES] = { RR_COUNTER, "rosemaryrail_worker_bytes_total",
                            "Body bytes of control calls to workers." },
  [METRIC_WORKER_CLAIMS] = { RR_COUNTER, "rosemaryrail_worker_claims_total",
                             "Controller leases granted to this daemon." },
  [METRIC_WORKER_LEASES_LOST]
  = { RR_COUNTER, "rosemaryrail_worker_leases_lost_total",
      "Controller leases that ran out or were refused." },
  [METRIC_WORKER_BAD_ANSWERS]
  = { RR_COUNTER, "rosemaryrail_worker_bad_answers_total",
      "Answers of workers that break the protocol." },
  [METRIC_TASKS_STARTED] = { RR_COUNTER, "rosemaryrail_tasks_started_total",
                             "Attempts started on workers." },
  [METRIC_TASKS_ENDED] = { RR_COUNTER, "rosemaryrail_tasks_ended_total",
                           "Attempts that ended on workers." },
  [METRIC_TASKS_EVICTED] = { RR_COUNTER, "rosemaryrail_tasks_evicted_total",
                             "Attempts stopped to relieve a worker." },
  [METRIC_TASK_START_REFUSALS]
  = { RR_COUNTER, "rosemaryrail_task_start_refusals_total",
      "Starts refused by workers." },
  [METRIC_SHARD_TAKEOVERS]
  = { RR_COUNTER, "rosemaryrail_shard_takeovers_total",
      "Shards that this daemon took over." },
  [METRIC_SHARD_LOSSES] = { RR_COUNTER, "rosemaryrail_shard_losses_total",
                            "Shards that another daemon took over." },
  [METRIC_SHARD_APPENDS] = { RR_COUNTER, "rosemaryrail_shard_appends_total",
                             "Entries appended to shard logs." },
  [METRIC_CONFIG_APPLIED] = { RR_COUNTER, "rosemaryrail_config_applied_total",
                              "Configurations put in force." },
  [METRIC_CONFIG_CONFLICTS]
  = { RR_COUNTER, "rosemaryrail_config_conflicts_total",
      "Applies refused because another one came first." },
  [METRIC_CONFIG_IGNORED]
  = { RR_COUNTER, "rosemaryrail_config_ignored_total",
      "Heads ignored because they are older or a fork." },
  [METRIC_PAUSES] = { RR_COUNTER, "rosemaryrail_pauses_total",
                      "Times the process was stopped for over 2 s." },
  [METRIC_CONFIG_GENERATION] = { RR_GAUGE, "rosemaryrail_config_generation",
                                 "Generation of the configuration in force." },
  [METRIC_WORKERS_OWNED] = { RR_GAUGE, "rosemaryrail_workers_owned",
                             "Workers whose controller lease is held." },
  [METRIC_SHARDS_OWNED]
  = { RR_GAUGE, "rosemaryrail_shards_owned", "Shards owned by this daemon." },
  [METRIC_DAEMONS_ALIVE] = { RR_GAUGE, "rosemaryrail_daemons_alive",
                             "Daemons heard from lately, this one included." },
};

/* Declares all counters and gauges of the daemon.  */
void
metrics_open (struct metrics *m)
{
  m->counters = rr_counters_new ();
  for (int i = 0; i < METRIC_COUNT; i++)
    {
      const struct metric_definition *d = &metric_definitions[i];
      struct rr_error err = { 0 };
      int family = rr_counter_declare (m->counters, d->kind, d->name, d->help,
                                       NULL, &err);
      assert (family >= 0);
      m->series[i] = rr_counter_series (m->counters, family, NULL);
    }
}

/* Adds N to a counter.  */
void
metric_add (struct metrics *m, enum metric which, uint64_t n)
{
  rr_counter_add (m->counters, m->series[which], n);
}

/* Sets a gauge, or a counter whose total is maintained elsewhere.  */
void
metric_set (struct metrics *m, enum metric which, int64_t value)
{
  rr_gauge_set (m->counters, m->series[which], value);
}

/* Returns the text exposition; the caller frees it.  */
char *
metrics_expose (const struct metrics *m)
{
  return rr_counters_expose (m->counters);
}
