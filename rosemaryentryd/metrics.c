#include "rosemaryentryd/metrics.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/http_server.h"
#include "rosemaryentryd/config_view.h"
#include "rosemaryentryd/entry.h"
#include "rosemaryentryd/owners.h"
#include "rosemaryentryd/records.h"
#include "rosemaryentryd/store_cache.h"
#include "rosemaryrail/counter.h"
#include "rosemaryrail/histogram.h"

enum
{
  REQUEST_TIMEOUT_MS = 5000,
  BODY_MAX_BYTES = 1024
};

struct entry_metrics
{
  struct entry *entry;
  struct rr_counters *counters;
  int events;      /* family of counters, one per event */
  int store_calls; /* series of a gauge, like JOBS and SHARDS */
  int jobs;
  int shards;
  int registration_age;
  int config_age;
  int config_version;
  struct rr_histogram_set *latencies;
  struct http_server *server; /* null: not exposed */
};

/* Increments the counter of EVENT, the name of a log event.  */
void
entry_metrics_event (struct entry_metrics *m, const char *event)
{
  const char *values[] = { event, NULL };
  rr_counter_add (m->counters,
                  rr_counter_series (m->counters, m->events, values), 1);
}

/* Records that STAGE of a job or request of QUEUE took MS milliseconds.  */
void
entry_metrics_latency (struct entry_metrics *m, const char *queue,
                       const char *stage, int64_t ms)
{
  struct rr_histogram_key key
      = { .service = queue, .class_name = stage, .team = "" };
  rr_histogram_add (rr_histogram_set_get (m->latencies, &key), (double)ms);
}

static int
declare_gauge (struct entry_metrics *m, const char *name, const char *help)
{
  struct rr_error err = { 0 };
  int family
      = rr_counter_declare (m->counters, RR_GAUGE, name, help, NULL, &err);
  assert (family >= 0);
  return rr_counter_series (m->counters, family, NULL);
}

static size_t
count_jobs (struct entry_metrics *m)
{
  size_t n = 0;
  struct rr_handle h = { 0 };
  while (records_job_next (m->entry->records, &h) != NULL)
    n++;
  return n;
}

static void
on_scrape_request (void *data, struct http_exchange *x)
{
  struct entry_metrics *m = data;
  static const struct http_header type
      = { "content-type", "text/plain; version=0.0.4" };
  rr_gauge_set (m->counters, m->store_calls,
                (int64_t)store_calls (m->entry->store));
  rr_gauge_set (m->counters, m->jobs, (int64_t)count_jobs (m));
  rr_gauge_set (m->counters, m->shards,
                (int64_t)owners_shard_count (m->entry->owners));
  rr_gauge_set (m->counters, m->registration_age,
                rr_time_diff (entry_now (), store_cache_complete_at (
                                                m->entry->workers_cache)));
  rr_gauge_set (m->counters, m->config_age,
                config_view_age_ms (m->entry->config));
  rr_gauge_set (m->counters, m->config_version,
                config_view_version (m->entry->config));
  char *counters = rr_counters_expose (m->counters);
  char *latencies = rr_histogram_set_expose (
      m->latencies, "rosemaryrail_stage_duration_seconds",
      "Time from the first request, by queue (service) and stage (class).");
  char *text = NULL;
  int n = asprintf (&text, "%s%s", counters, latencies);
  if (n < 0)
    http_exchange_respond (x, 500, NULL, 0, "", 0);
  else
    http_exchange_respond (x, 200, &type, 1, text, (size_t)n);
  free (counters);
  free (latencies);
  if (n >= 0)
    free (text);
}

/* Creates the metrics of E and exposes them if the settings give an address;
   null with ERR if the address cannot be bound.  */
struct entry_metrics *
entry_metrics_open (struct entry *e, struct rr_error *err)
{
  static const char *const labels[] = { "event", NULL };
  struct entry_metrics *m = calloc (1, sizeof *m);
  assert (m != NULL);
  m->entry = e;
  m->counters = rr_counters_new ();
  m->latencies = rr_histogram_set_new ();
  m->events = rr_counter_declare (
      m->counters, RR_COUNTER, "rosemaryrail_events_total",
      "Decisions and changes, as in the log.", labels, err);
  m->store_calls = declare_gauge (m, "rosemaryrail_store_calls",
                                  "Calls made to the store.");
  m->jobs = declare_gauge (m, "rosemaryrail_jobs",
                           "Jobs known, finished included.");
  m->shards = declare_gauge (m, "rosemaryrail_shards_owned",
                             "Shards that this daemon owns.");
  m->registration_age
      = declare_gauge (m, "rosemaryrail_registration_age_ms",
                       "Age of what is known of the workers' registrations.");
  m->config_age = declare_gauge (
      m, "rosemaryrail_config_age_ms",
      "Time since the configuration was certainly the newest.");
  m->config_version = declare_gauge (m, "rosemaryrail_config_version",
                                     "Version of the configuration.");
  if (e->settings.metrics.port == 0)
    return m;
  struct http_server_limits limits
      = { .body_max_bytes = BODY_MAX_BYTES,
          .request_timeout_ms = REQUEST_TIMEOUT_MS };
  m->server = http_server_open (e->loop, e->settings.metrics.address,
                                e->settings.metrics.port, &limits,
                                on_scrape_request, m, err);
  return m->server == NULL ? NULL : m;
}
