#include "rosemaryentryd/partitioning.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/log.h"
#include "rosemaryentryd/records.h"
#include "rosemaryentryd/shard_assignment.h"

enum
{
  /* The number of shards follows from the daemons that are registered this
     long after the start.  Machines start within 0.3 s of each other.  */
  PARTITIONING_SETTLE_MS = 700,
  /* ... and from the workers, once their number has not changed for the first
     time, or the second has passed without any.  */
  WORKERS_SETTLE_MS = 1200,
  WORKERS_WAIT_MAX_MS = 4000
};

static void
on_partitioning_written (void *data, const struct store_result *r)
{
  struct partitioning *p = data;
  p->writing = false;
  log_event (LOG_LEVEL_INFO, "layout_written", "state=%s revision=%lld",
             store_state_name (r->state), (long long)r->revision);
}

/* Returns the number of shards that suits the registered daemons and
   workers.  */
static size_t
partition_count (const struct entry *e)
{
  const struct records *r = e->records;
  int64_t *capacities
      = calloc (records_daemon_count (r) + 1, sizeof *capacities);
  assert (capacities != NULL);
  size_t daemons = 0;
  struct rr_handle h = { 0 };
  const struct daemon_record *d;
  while ((d = records_daemon_next (r, &h)) != NULL)
    capacities[daemons++]
        = shard_assignment_capacity (d->cpu_milli, d->link_kbit);
  size_t n = shard_assignment_count (capacities, daemons,
                                     records_worker_count (r), SHARDS_MAX);
  free (capacities);
  return n;
}

/* Writes the number of shards, once when the deployment first starts.  */
static void
write_partitioning (struct partitioning *p, struct entry *e)
{
  char value[64];
  size_t n = partition_count (e);
  log_event (
      LOG_LEVEL_INFO, "layout_chosen", "shards=%zu daemons=%zu workers=%zu", n,
      records_daemon_count (e->records), records_worker_count (e->records));
  snprintf (value, sizeof value, "{\"shards\":%zu,\"format\":%d}", n,
            KEY_FORMAT);
  struct store_condition cond = { .key = KEY_PARTITIONING, .revision = 0 };
  struct store_write w = { .key = KEY_PARTITIONING, .value = value };
  p->writing = true;
  store_put_if (e->store, &cond, &w,
                entry_store_timeout_ms (e, STORE_TIMEOUT_MS),
                on_partitioning_written, p);
}

/* Returns whether the workers have registered, as far as can be told: their
   number is stable, or none have for a long time.  */
static bool
workers_settled (struct partitioning *p, const struct entry *e,
                 struct rr_time now)
{
  size_t n = records_worker_count (e->records);
  if (n != p->worker_count)
    {
      p->worker_count = n;
      p->workers_changed = now;
    }
  int64_t stable = rr_time_diff (now, p->workers_changed);
  return n > 0 ? stable >= WORKERS_SETTLE_MS
               : rr_time_diff (now, p->opened) >= WORKERS_WAIT_MAX_MS;
}

/* Writes the number of shards once the daemons and workers of a new deployment
   have registered.  */
void
partitioning_update (struct partitioning *p, struct entry *e,
                     struct rr_time now)
{
  if (!p->writing && workers_settled (p, e, now)
      && rr_time_diff (now, p->opened) > PARTITIONING_SETTLE_MS)
    write_partitioning (p, e);
}
