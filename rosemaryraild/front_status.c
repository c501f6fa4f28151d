#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryrail/shard_state.h"
#include "rosemaryraild/config_keeper.h"
#include "rosemaryraild/front_internal.h"
#include "rosemaryraild/peers.h"
#include "rosemaryraild/shards.h"
#include "rosemaryraild/workers.h"

static struct json_object *
daemon_list (struct front *f)
{
  struct daemon *d = f->d;
  struct rr_membership *m = peers_membership (d->peers);
  struct rr_time now = daemon_now ();
  struct json_object *list = json_object_new_array ();
  for (size_t i = 0; i < rr_membership_count (m); i++)
    {
      const struct rr_member *member = rr_membership_at (m, now, i);
      if (member->info.role != RR_ROLE_ENTRY)
        continue;
      bool self = rr_membership_is_self (m, member);
      const peer_heartbeat *h
          = self ? NULL : peers_last_heartbeat (d->peers, member->info.name);
      struct json_object *o = json_object_new_object ();
      json_add_string (o, "name", member->info.name);
      json_add_string (o, "zone", member->info.zone);
      json_add_string (o, "state",
                       member->alive ? rr_member_state_name (member->state)
                                     : "unreachable");
      json_add_int (o, "generation",
                    self ? config_keeper_generation (d->config)
                         : (int64_t)member->config_generation);
      peer_heartbeat own = { 0 };
      if (self)
        {
          workers_fill_heartbeat (d->workers, &own);
          shards_heartbeat_fill (d->shards, &own);
          h = &own;
        }
      json_add_int (o, "shards", h == NULL ? 0 : h->shards.shards_len);
      json_add_int (o, "workers", h == NULL ? 0 : h->workers);
      json_add_int (o, "age_ms",
                    self ? 0 : rr_time_diff (now, member->last_response));
      json_object_array_add (list, o);
    }
  return list;
}

static struct json_object *
worker_list (struct front *f)
{
  struct daemon *d = f->d;
  struct rr_membership *m = peers_membership (d->peers);
  struct rr_time now = daemon_now ();
  struct json_object *list = json_object_new_array ();
  for (size_t i = 0; i < rr_membership_count (m); i++)
    {
      const struct rr_member *member = rr_membership_at (m, now, i);
      if (member->info.role != RR_ROLE_WORKER)
        continue;
      struct json_object *o = json_object_new_object ();
      json_add_string (o, "name", member->info.name);
      json_add_string (o, "zone", member->info.zone);
      json_add_string (o, "rack", member->info.rack);
      json_add_string (o, "state", rr_member_state_name (member->state));
      const struct rr_member *owner
          = rr_membership_worker_owner (m, now, member->info.name);
      json_add_string (o, "owner", owner == NULL ? "" : owner->info.name);
      struct worker_status st;
      int64_t tasks = -1;
      int64_t connections = -1;
      int64_t age_ms = -1;
      const char *reason = rr_leaving_source_name (member->leaving_source);
      for (size_t j = 0; workers_status_at (d->workers, j, &st); j++)
        if (st.owned && strcmp (st.name, member->info.name) == 0)
          {
            tasks = (int64_t)st.tasks;
            connections = st.connections;
            age_ms = st.age_ms;
            if (member->state == RR_MEMBER_LIVE)
              reason = st.state;
          }
      json_add_int (o, "tasks", tasks);
      json_add_int (o, "connections", connections);
      json_add_int (o, "age_ms", age_ms);
      json_add_string (o, "reason", reason);
      json_object_array_add (list, o);
    }
  return list;
}

static void
add_alarm (struct json_object *list, const char *name, int64_t since_ms,
           const char *detail)
{
  struct json_object *o = json_object_new_object ();
  json_add_string (o, "name", name);
  json_add_int (o, "since_ms", since_ms);
  json_add_string (o, "detail", detail);
  json_object_array_add (list, o);
}

static struct json_object *
alarm_list (struct front *f)
{
  struct daemon *d = f->d;
  struct json_object *list = json_object_new_array ();
  int64_t since_ms;
  const char *text = config_keeper_alarm (d->config, &since_ms);
  if (text != NULL)
    add_alarm (list, "config", since_ms, text);
  text = shards_alarm (d->shards, &since_ms);
  if (text != NULL)
    add_alarm (list, "shard", since_ms, text);
  if (!platform_reachable (d->platform))
    add_alarm (list, "platform", 0, "the platform can't be reached");
  return list;
}

/* Answers with what this daemon knows of the whole system.  */
void
front_get_status (struct front *f, struct http_exchange *x)
{
  struct daemon *d = f->d;
  struct json_object *o = json_object_new_object ();
  json_add_string (o, "daemon", d->settings.name);
  json_add_string (o, "zone", d->settings.zone);
  json_add_int (o, "generation", config_keeper_generation (d->config));
  json_add_string (o, "digest", config_keeper_digest (d->config));
  json_object_object_add (o, "daemons", daemon_list (f));
  json_object_object_add (o, "workers", worker_list (f));
  struct json_object *shards = json_object_new_array ();
  for (uint32_t i = 0; i < RR_SHARD_COUNT; i++)
    {
      struct shard_status st;
      shards_status_at (d->shards, i, &st);
      struct json_object *s = json_object_new_object ();
      json_add_int (s, "shard", i);
      json_add_string (s, "owner", st.owner);
      json_add_string (s, "state", st.state);
      json_add_int (s, "epoch", (int64_t)st.epoch);
      json_object_array_add (shards, s);
    }
  json_object_object_add (o, "shards", shards);
  json_object_object_add (o, "alarms", alarm_list (f));
  http_exchange_respond_json (x, 200, json_text (o));
  json_object_put (o);
}

static void
collect_totals (struct daemon *d)
{
  const struct rpc_counters *rpc = rpc_counters_get ();
  const struct platform_counters *p = platform_counters_get (d->platform);
  struct metrics *m = &d->metrics;
  metric_set (m, METRIC_RPC_BYTES_IN, (int64_t)rpc->bytes_in);
  metric_set (m, METRIC_RPC_BYTES_OUT, (int64_t)rpc->bytes_out);
  metric_set (m, METRIC_RPC_MALFORMED, (int64_t)rpc->malformed);
  metric_set (m, METRIC_PLATFORM_READS, (int64_t)p->reads);
  metric_set (m, METRIC_PLATFORM_WRITES, (int64_t)p->writes);
  metric_set (m, METRIC_PLATFORM_WATCHES, (int64_t)p->watches);
  metric_set (m, METRIC_PLATFORM_FAILURES, (int64_t)p->failures);
  metric_set (m, METRIC_PLATFORM_BYTES, (int64_t)p->bytes);
}

/* Answers with all counters and histograms in the text format.  */
void
front_get_metrics (struct front *f, struct http_exchange *x)
{
  collect_totals (f->d);
  char *counters = metrics_expose (&f->d->metrics);
  char *histograms = rr_histogram_set_expose (
      f->d->histograms, "rosemaryrail_request_duration_seconds",
      "Time from receipt to response, answered requests.");
  char *text = NULL;
  int n = asprintf (&text, "%s%s", counters, histograms);
  if (n >= 0)
    {
      struct http_header type
          = { "content-type", "text/plain; version=0.0.4" };
      http_exchange_respond (x, 200, &type, 1, text, (size_t)n);
      free (text);
    }
  else
    front_respond_error (x, 500, RR_ERROR_SYSTEM, "out of memory");
  free (counters);
  free (histograms);
}

/* Answers with the histograms of this daemon by service, class and team.  */
void
front_get_histograms (struct front *f, struct http_exchange *x)
{
  struct json_object *o = json_object_new_object ();
  struct json_object *list = json_object_new_array ();
  for (size_t i = 0; i < rr_histogram_set_size (f->d->histograms); i++)
    {
      struct rr_histogram_key key;
      const struct rr_histogram *h
          = rr_histogram_set_at (f->d->histograms, i, &key);
      struct json_object *line = json_object_new_object ();
      struct json_object *bounds = json_object_new_array ();
      struct json_object *counts = json_object_new_array ();
      for (size_t b = 0; b < rr_histogram_bins (); b++)
        {
          json_object_array_add (
              bounds, json_object_new_double (rr_histogram_bin_upper (b)));
          json_object_array_add (counts, json_object_new_int64 ((
                                             int64_t)rr_histogram_bin (h, b)));
        }
      json_add_string (line, "service", key.service);
      json_add_string (line, "class", key.class_name);
      json_add_string (line, "team", key.team);
      json_add_int (line, "count", (int64_t)rr_histogram_count (h));
      json_object_object_add (line, "sum_ms",
                              json_object_new_double (rr_histogram_sum (h)));
      json_object_object_add (line, "bounds_ms", bounds);
      json_object_object_add (line, "counts", counts);
      json_object_array_add (list, line);
    }
  json_object_object_add (o, "histograms", list);
  http_exchange_respond_json (x, 200, json_text (o));
  json_object_put (o);
}
