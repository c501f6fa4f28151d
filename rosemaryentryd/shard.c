#include "rosemaryentryd/shard.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/json.h"
#include "common/log.h"
#include "rosemaryentryd/link.h"
#include "rosemaryentryd/mirror.h"
#include "rosemaryentryd/owners.h"
#include "rosemaryentryd/session.h"

enum
{
  TICK_MS = 100,
  PLAN_PAUSE_MS = 3,    /* gathers what arrives together */
  COMMIT_PAUSE_MS = 60, /* the same for progress that nobody waits for */
  COMMIT_RETRY_MS = 100,
  COMMIT_TIMEOUT_MS = 900,
  /* Each job takes a condition and a write; the owner key a condition.  */
  COMMIT_JOBS_MAX = (STORE_TXN_ENTRIES_MAX - 1) / 2,
  LOAD_MS = 700,
  /* Leases of workers' tasks: the time to notice a dead owner and to take
     over, and as short as that allows, since tasks of a silent worker wait
     for its end.  */
  TASK_LEASE_MS = 4500,
  /* Added to the leases of a former owner for clocks that are 2% slow and
     for orders under way.  */
  INHERIT_MARGIN_MS = 700,
  LINKS_MAX = 1024
};

struct commit_entry
{
  char id[RR_GRAPH_NAME_SIZE];
  uint64_t version;
  char *text; /* progress as it was sent */
};

struct shard
{
  struct entry *entry;
  struct shard_record *record;
  char owner_key[KEY_SIZE];
  int64_t token;
  struct rr_dispatch *dispatch;
  struct link *links[LINKS_MAX];
  size_t link_count;
  uv_timer_t tick;
  uv_timer_t plan_timer;
  uv_timer_t commit_timer;
  struct commit_entry commit[COMMIT_JOBS_MAX];
  size_t commit_count;
  bool committing;
  struct rr_time commit_after; /* a failed write is not repeated sooner */
  bool roster_writing;
  char *roster; /* last one stored */
  char *roster_sent;
  uint64_t marks;
  struct rr_time load_sent;
  bool load_writing;
  int64_t last_demand;
  bool stopping; /* starts nothing more */
  bool closed;
  size_t calls;
  size_t timers_open;
  struct rr_order *orders; /* of the planning round */
  size_t order_count;
  size_t order_capacity;
};

static void commit (struct shard *s);
static void wake (struct shard *s);

const char *
shard_name (const struct shard *s)
{
  return s->record->name;
}

int64_t
shard_token (const struct shard *s)
{
  return s->token;
}

static void
shard_free (struct shard *s)
{
  if (!s->closed || s->calls > 0 || s->timers_open > 0)
    return;
  rr_dispatch_free (s->dispatch);
  free (s->roster);
  free (s->roster_sent);
  free (s->orders);
  free (s);
}

static void
on_timer_closed (uv_handle_t *h)
{
  struct shard *s = h->data;
  s->timers_open--;
  shard_free (s);
}

/* Drops the shard; nothing more is ordered or stored.  */
void
shard_close (struct shard *s)
{
  s->closed = true;
  for (size_t i = 0; i < s->link_count; i++)
    link_close (s->links[i]);
  s->link_count = 0;
  uv_close ((uv_handle_t *)&s->tick, on_timer_closed);
  uv_close ((uv_handle_t *)&s->plan_timer, on_timer_closed);
  uv_close ((uv_handle_t *)&s->commit_timer, on_timer_closed);
}

static void
lose (struct shard *s, const char *why)
{
  if (!s->closed)
    owners_shard_lost (s->entry->owners, s, why);
}

/* Returns the last time at which we certainly owned the shard.  */
static struct rr_time
confirmed (const struct shard *s)
{
  struct rr_time lease = session_confirmed (s->entry->session);
  struct rr_time news = mirror_confirmed (s->entry->records_mirror);
  return rr_time_before (lease, news) ? lease : news;
}

/* Returns the end of our right to act: no lease reaches further.  */
static struct rr_time
valid_until (void *data)
{
  const struct shard *s = data;
  return rr_time_add (confirmed (s), s->entry->settings.lease_max_ms);
}

static void
on_order (void *data, const struct rr_order *o)
{
  struct shard *s = data;
  if (s->order_count == s->order_capacity)
    {
      s->order_capacity = s->order_capacity == 0 ? 64 : s->order_capacity * 2;
      s->orders = realloc (s->orders, s->order_capacity * sizeof *s->orders);
      assert (s->orders != NULL);
    }
  s->orders[s->order_count++] = *o;
}

static void
on_note (void *data, const char *event, const char *text)
{
  const struct shard *s = data;
  log_event (LOG_LEVEL_INFO, event, "shard=%s token=%lld %s", s->record->name,
             (long long)s->token, text);
}

static struct link *
link_find (const struct shard *s, const char *worker_id)
{
  for (size_t i = 0; i < s->link_count; i++)
    if (strcmp (link_worker_id (s->links[i]), worker_id) == 0)
      return s->links[i];
  return NULL;
}

static void
link_drop (struct shard *s, const char *worker_id)
{
  for (size_t i = 0; i < s->link_count; i++)
    if (strcmp (link_worker_id (s->links[i]), worker_id) == 0)
      {
        link_close (s->links[i]);
        s->links[i] = s->links[--s->link_count];
        return;
      }
}

/* Sends what the planning round has ordered.  */
static void
send_orders (struct shard *s)
{
  size_t n = s->order_count;
  for (size_t i = 0; i < n && !s->closed; i++)
    {
      struct link *l = link_find (s, s->orders[i].worker_id);
      if (l != NULL)
        link_order (l, &s->orders[i]);
      else
        rr_dispatch_answer (s->dispatch, s->orders[i].worker,
                            s->orders[i].kind, &s->orders[i].name,
                            RR_OUTCOME_NOT_SENT, 0, entry_now ());
    }
  s->order_count = 0;
}

static void
on_commit_timer (uv_timer_t *timer)
{
  commit (timer->data);
}

static void
schedule_commit (struct shard *s, uint64_t ms)
{
  int64_t pause = rr_time_diff (s->commit_after, entry_now ());
  if (pause > 0 && (uint64_t)pause > ms)
    ms = (uint64_t)pause;
  if (!uv_is_active ((uv_handle_t *)&s->commit_timer)
      || uv_timer_get_due_in (&s->commit_timer) > ms)
    uv_timer_start (&s->commit_timer, on_commit_timer, ms, 0);
}

static void
plan (struct shard *s)
{
  struct rr_time now = entry_now ();
  struct rr_time until
      = s->stopping ? rr_time_from_ms (INT64_MIN / 2) : valid_until (s);
  rr_dispatch_plan (s->dispatch, confirmed (s), until, now);
  send_orders (s);
  const char *ids[1];
  bool urgent;
  if (!s->closed && !s->committing
      && rr_dispatch_changed (s->dispatch, ids, 1, &urgent) > 0)
    schedule_commit (s, urgent ? 0 : COMMIT_PAUSE_MS);
}

static void
on_plan_timer (uv_timer_t *timer)
{
  plan (timer->data);
}

static void
wake (struct shard *s)
{
  if (!uv_is_active ((uv_handle_t *)&s->plan_timer))
    uv_timer_start (&s->plan_timer, on_plan_timer, PLAN_PAUSE_MS, 0);
}

static bool
owner_changed (const struct shard *s, const struct store_result *r)
{
  for (size_t i = 0; i < r->item_count; i++)
    if (strcmp (r->items[i].key, s->owner_key) == 0)
      return r->items[i].revision != s->token;
  return true;
}

/* A condition on a job's progress failed although we own the shard: an earlier
   write of ours took effect without an answer.  Takes its revision.  */
static void
adopt_revisions (struct shard *s, const struct store_result *r)
{
  for (size_t i = 0; i < s->commit_count; i++)
    {
      struct job_record *j = records_job (s->entry->records, s->commit[i].id);
      if (j == NULL)
        continue;
      char key[KEY_SIZE];
      snprintf (key, sizeof key, "%s%s", KEY_PROGRESS, j->id);
      for (size_t k = 0; k < r->item_count; k++)
        if (strcmp (r->items[k].key, key) == 0
            && r->items[k].revision > j->progress_revision)
          {
            log_event (LOG_LEVEL_INFO, "progress_write_found",
                       "job=%s revision=%lld before=%lld", j->id,
                       (long long)r->items[k].revision,
                       (long long)j->progress_revision);
            j->progress_revision = r->items[k].revision;
          }
    }
}

static void
commit_took_effect (struct shard *s, int64_t revision)
{
  for (size_t i = 0; i < s->commit_count; i++)
    {
      struct commit_entry *c = &s->commit[i];
      records_progress_set (s->entry->records, c->id, c->text, revision);
      rr_dispatch_stored (s->dispatch, c->id, c->version);
    }
  for (size_t i = 0; i < s->link_count; i++)
    link_progress_stored (s->links[i]);
}

static void
commit_clear (struct shard *s)
{
  for (size_t i = 0; i < s->commit_count; i++)
    free (s->commit[i].text);
  s->commit_count = 0;
}

static void
on_committed (void *data, const struct store_result *r)
{
  struct shard *s = data;
  s->calls--;
  s->committing = false;
  if (s->closed)
    {
      commit_clear (s);
      shard_free (s);
      return;
    }
  if (r->state == STORE_OK)
    {
      commit_took_effect (s, r->revision);
      commit_clear (s);
      wake (s);
      return;
    }
  if (r->state == STORE_CONFLICT && owner_changed (s, r))
    {
      commit_clear (s);
      lose (s, "commit-rejected");
      return;
    }
  if (r->state == STORE_CONFLICT)
    adopt_revisions (s, r);
  else
    log_event (LOG_LEVEL_WARN, "progress_not_stored",
               "shard=%s jobs=%zu state=%d why=%s", s->record->name,
               s->commit_count, (int)r->state,
               r->reason == NULL ? "" : r->reason);
  commit_clear (s);
  if (r->state != STORE_CONFLICT)
    s->commit_after = rr_time_add (entry_now (), COMMIT_RETRY_MS);
  schedule_commit (s, 0);
}

/* Stores the progress of changed jobs, under the condition that we still own
   the shard and that nothing else was written.  */
static void
commit (struct shard *s)
{
  if (s->committing || s->closed)
    return;
  const char *ids[COMMIT_JOBS_MAX];
  bool urgent;
  size_t n = rr_dispatch_changed (s->dispatch, ids, COMMIT_JOBS_MAX, &urgent);
  if (n == 0)
    return;
  static char keys[COMMIT_JOBS_MAX][KEY_SIZE];
  struct store_condition conds[COMMIT_JOBS_MAX + 1];
  struct store_write writes[COMMIT_JOBS_MAX];
  char mark[RR_GRAPH_NAME_SIZE];
  snprintf (mark, sizeof mark, "%lld-%llu", (long long)s->token,
            (unsigned long long)++s->marks);
  conds[0] = (struct store_condition){ s->owner_key, s->token };
  s->commit_count = n;
  for (size_t i = 0; i < n; i++)
    {
      struct commit_entry *c = &s->commit[i];
      snprintf (c->id, sizeof c->id, "%s", ids[i]);
      snprintf (keys[i], KEY_SIZE, "%s%s", KEY_PROGRESS, ids[i]);
      c->text = rr_dispatch_progress (s->dispatch, ids[i], mark, &c->version);
      struct job_record *j = records_job (s->entry->records, ids[i]);
      conds[i + 1]
          = (struct store_condition){ keys[i],
                                      j == NULL ? 0 : j->progress_revision };
      writes[i] = (struct store_write){ .key = keys[i], .value = c->text };
    }
  struct store_txn txn = { .conditions = conds,
                           .condition_count = n + 1,
                           .writes = writes,
                           .write_count = n };
  s->committing = true;
  s->calls++;
  store_commit (s->entry->store, &txn, COMMIT_TIMEOUT_MS, on_committed, s);
}

static bool
list_has (struct json_object *list, const char *id)
{
  for (size_t i = 0; i < json_object_array_length (list); i++)
    if (strcmp (json_object_get_string (json_object_array_get_idx (list, i)),
                id)
        == 0)
      return true;
  return false;
}

static void
list_add (struct json_object *list, const char *id)
{
  if (!list_has (list, id))
    json_object_array_add (list, json_object_new_string (id));
}

/* Returns the workers that may be given tasks or may run some: those in use,
   and those of former owners that are not heard yet.  */
static char *
roster_text (struct shard *s)
{
  struct json_object *list = json_object_new_array ();
  struct rr_time now = entry_now ();
  struct rr_handle h = { 0 };
  const struct platform_worker *w;
  while ((w = records_worker_next (s->entry->records, &h)) != NULL)
    if (link_find (s, w->info.id) != NULL
        && rr_dispatch_worker_needed (s->dispatch, w->info.id, now))
      list_add (list, w->info.id);
  for (size_t i = 0; i < s->link_count; i++)
    if (rr_dispatch_worker_needed (s->dispatch, link_worker_id (s->links[i]),
                                   now))
      list_add (list, link_worker_id (s->links[i]));
  struct rr_error err = { 0 };
  struct json_object *before
      = s->record->roster == NULL
            ? NULL
            : json_parse (s->record->roster, strlen (s->record->roster), &err);
  size_t n = before == NULL ? 0 : json_object_array_length (before);
  for (size_t i = 0; i < n; i++)
    {
      const char *id
          = json_object_get_string (json_object_array_get_idx (before, i));
      if (rr_dispatch_worker_needed (s->dispatch, id, now))
        list_add (list, id);
    }
  json_object_put (before);
  char *text = strdup (json_text (list));
  json_object_put (list);
  return text;
}

static void
roster_recorded (struct shard *s)
{
  struct rr_error err = { 0 };
  struct json_object *list = json_parse (s->roster, strlen (s->roster), &err);
  size_t n = list == NULL ? 0 : json_object_array_length (list);
  for (size_t i = 0; i < n; i++)
    rr_dispatch_worker_recorded (
        s->dispatch,
        json_object_get_string (json_object_array_get_idx (list, i)));
  json_object_put (list);
}

static void
on_roster_written (void *data, const struct store_result *r)
{
  struct shard *s = data;
  s->calls--;
  s->roster_writing = false;
  if (s->closed)
    {
      shard_free (s);
      return;
    }
  if (r->state == STORE_CONFLICT && owner_changed (s, r))
    {
      lose (s, "roster-rejected");
      return;
    }
  if (r->state != STORE_OK)
    return;
  free (s->roster);
  s->roster = s->roster_sent;
  s->roster_sent = NULL;
  roster_recorded (s);
  wake (s);
}

/* Writes the list of workers that we may use, so that a later owner asks all
   of them before it takes a task as not running.  */
static void
write_roster (struct shard *s)
{
  if (s->roster_writing)
    return;
  char *text = roster_text (s);
  if (s->roster != NULL && strcmp (text, s->roster) == 0)
    {
      free (text);
      return;
    }
  char key[KEY_SIZE];
  snprintf (key, sizeof key, "%s%s", KEY_ROSTER, s->record->name);
  struct store_condition cond = { s->owner_key, s->token };
  struct store_write w = { .key = key, .value = text };
  struct store_txn txn = {
    .conditions = &cond, .condition_count = 1, .writes = &w, .write_count = 1
  };
  free (s->roster_sent);
  s->roster_sent = text;
  s->roster_writing = true;
  s->calls++;
  store_commit (s->entry->store, &txn, COMMIT_TIMEOUT_MS, on_roster_written,
                s);
}

static void
on_load_written (void *data, const struct store_result *r)
{
  struct shard *s = data;
  (void)r; /* a load that is not stored is replaced by the next one */
  s->calls--;
  s->load_writing = false;
  shard_free (s);
}

/* Tells the other daemons how much work the shard has, for the choice of a
   shard for new jobs.  */
static void
write_load (struct shard *s, struct rr_time now)
{
  if (s->load_writing || rr_time_diff (now, s->load_sent) < LOAD_MS)
    return;
  struct rr_dispatch_load load;
  rr_dispatch_load_get (s->dispatch, &load, now);
  int64_t demand = load.used_milli + load.queued_core_ms;
  int64_t change = demand - s->last_demand;
  if ((change < 0 ? -change : change) * 20 < load.cores_milli
      && s->load_sent.ms != 0 && load.cores_milli == s->record->capacity_milli)
    return;
  char key[KEY_SIZE];
  char value[128];
  snprintf (key, sizeof key, "%s%s", KEY_LOAD, s->record->name);
  snprintf (value, sizeof value, "{\"capacity\":%lld,\"demand\":%lld}",
            (long long)load.cores_milli, (long long)demand);
  struct store_condition cond = { s->owner_key, s->token };
  struct store_write w = { .key = key, .value = value };
  struct store_txn txn = {
    .conditions = &cond, .condition_count = 1, .writes = &w, .write_count = 1
  };
  s->load_writing = true;
  s->load_sent = now;
  s->last_demand = demand;
  s->calls++;
  store_commit (s->entry->store, &txn, COMMIT_TIMEOUT_MS, on_load_written, s);
}

static void
drop_idle_workers (struct shard *s, struct rr_time now)
{
  for (size_t i = s->link_count; i-- > 0;)
    {
      struct rr_handle h = link_worker (s->links[i]);
      if (!rr_dispatch_worker_droppable (s->dispatch, h, now))
        continue;
      link_close (s->links[i]);
      s->links[i] = s->links[--s->link_count];
      rr_dispatch_worker_drop (s->dispatch, h);
    }
}

static void
on_tick (uv_timer_t *timer)
{
  struct shard *s = timer->data;
  struct rr_time now = entry_now ();
  drop_idle_workers (s, now);
  write_roster (s);
  write_load (s, now);
  plan (s);
}

static void
on_link_changed (void *data)
{
  wake (data);
}

static void
on_fenced (void *data)
{
  lose (data, "fenced-by-worker");
}

/* A worker of the shard was registered or has changed.  */
void
shard_worker_seen (struct shard *s, const struct platform_worker *w)
{
  struct rr_handle h
      = rr_dispatch_worker_set (s->dispatch, &w->info, entry_now ());
  struct link *l = link_find (s, w->info.id);
  if (l != NULL && !link_same_address (l, w))
    {
      link_drop (s, w->info.id);
      l = NULL;
    }
  if (l == NULL && s->link_count < LINKS_MAX)
    {
      struct link_owner owner = { .data = s,
                                  .dispatch = s->dispatch,
                                  .token = s->token,
                                  .valid_until = valid_until,
                                  .changed = on_link_changed,
                                  .fenced = on_fenced };
      s->links[s->link_count++] = link_open (s->entry->loop, &owner, w, h);
    }
  wake (s);
}

void
shard_worker_gone (struct shard *s, const struct platform_worker *w)
{
  rr_dispatch_worker_unlist (s->dispatch, w->info.id, entry_now ());
  wake (s);
}

/* A job of the shard was accepted, or is taken over when INHERITED.  */
void
shard_job_seen (struct shard *s, const struct job_record *j, bool inherited)
{
  enum rr_job_phase phase = records_job_phase (j);
  if (j->graph_text == NULL || phase == RR_PHASE_COMPLETED
      || phase == RR_PHASE_FAILED || phase == RR_PHASE_CANCELLED)
    return;
  struct rr_error err = { 0 };
  struct rr_graph *g
      = rr_graph_decode (j->graph_text, strlen (j->graph_text), &err);
  struct rr_progress *p
      = j->progress_text == NULL
            ? NULL
            : rr_progress_decode (j->progress_text, strlen (j->progress_text),
                                  &err);
  if (g == NULL)
    log_event (LOG_LEVEL_ERROR, "job_unreadable", "job=%s %s", j->id,
               err.message);
  else
    rr_dispatch_job_add (s->dispatch, g, p, inherited, entry_now ());
  rr_progress_free (p);
  wake (s);
}

void
shard_job_cancelled (struct shard *s, const struct job_record *j)
{
  rr_dispatch_job_cancel (s->dispatch, j->id, entry_now ());
  wake (s);
}

/* The queues' policies may have changed.  */
void
shard_queues_changed (struct shard *s)
{
  const struct rr_queues *q = s->entry->queues;
  for (size_t i = 0; q != NULL && i < q->route_count; i++)
    rr_dispatch_queue_set (s->dispatch, &q->routes[i].policy);
}

/* Starts nothing more; what runs goes on.  */
void
shard_stop_starting (struct shard *s)
{
  s->stopping = true;
}

/* Tells whether all progress is stored.  */
bool
shard_stored (struct shard *s)
{
  const char *ids[1];
  bool urgent;
  return !s->committing
         && rr_dispatch_changed (s->dispatch, ids, 1, &urgent) == 0;
}

static void
inherit_workers (struct shard *s)
{
  struct rr_error err = { 0 };
  struct json_object *list
      = json_parse (s->record->roster, strlen (s->record->roster), &err);
  size_t n = list == NULL ? 0 : json_object_array_length (list);
  for (size_t i = 0; i < n; i++)
    rr_dispatch_inherit_worker (
        s->dispatch,
        json_object_get_string (json_object_array_get_idx (list, i)));
  json_object_put (list);
  int64_t leases = s->entry->settings.lease_max_ms * 102 / 100;
  rr_dispatch_inherit_until (
      s->dispatch, rr_time_add (entry_now (), leases + INHERIT_MARGIN_MS));
}

static void
open_timers (struct shard *s)
{
  uv_timer_t *timers[] = { &s->tick, &s->plan_timer, &s->commit_timer };
  for (size_t i = 0; i < sizeof timers / sizeof timers[0]; i++)
    {
      uv_timer_init (s->entry->loop, timers[i]);
      timers[i]->data = s;
      s->timers_open++;
    }
  uv_timer_start (&s->tick, on_tick, 0, TICK_MS);
}

/* Begins to serve the shard RECORD with our claim TOKEN.  INHERITED: there was
   an owner before.  */
struct shard *
shard_open (struct entry *e, struct shard_record *record, int64_t token,
            bool inherited)
{
  struct shard *s = calloc (1, sizeof *s);
  assert (s != NULL);
  s->entry = e;
  s->record = record;
  s->token = token;
  snprintf (s->owner_key, sizeof s->owner_key, "%s%s", KEY_OWNER,
            record->name);
  struct rr_dispatch_options o
      = { .lease_ms = TASK_LEASE_MS < e->settings.lease_max_ms
                          ? TASK_LEASE_MS
                          : e->settings.lease_max_ms,
          .lease_max_ms = e->settings.lease_max_ms,
          .stop_grace_ms = e->settings.stop_grace_ms,
          .gang_timeout_ms = e->settings.gang_timeout_ms,
          .remote_factor = e->settings.remote_factor,
          .wall_offset_ms = entry_wall_ms () - entry_now ().ms,
          .order = on_order,
          .note = on_note,
          .data = s };
  s->dispatch = rr_dispatch_new (&o);
  open_timers (s);
  shard_queues_changed (s);
  if (inherited)
    inherit_workers (s);
  struct rr_handle h = { 0 };
  const struct job_record *j;
  size_t jobs = 0;
  while ((j = records_job_next (e->records, &h)) != NULL)
    if (strcmp (j->shard, record->name) == 0)
      {
        shard_job_seen (s, j, inherited);
        jobs++;
      }
  struct rr_handle hw = { 0 };
  const struct platform_worker *w;
  while ((w = records_worker_next (e->records, &hw)) != NULL)
    if (strcmp (records_shard_of_worker (e->records, w), record->name) == 0)
      shard_worker_seen (s, w);
  log_event (LOG_LEVEL_INFO, "shard_owned",
             "shard=%s token=%lld inherited=%s jobs=%zu workers=%zu",
             record->name, (long long)token, inherited ? "true" : "false",
             jobs, s->link_count);
  return s;
}
