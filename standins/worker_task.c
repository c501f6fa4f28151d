#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "standins/tool.h"
#include "standins/worker.h"

static struct task *
task_find (const struct worker *w, const char *id, int64_t attempt)
{
  struct task *t = LIST_FIRST (&w->tasks);
  while (t != NULL && (t->attempt != attempt || strcmp (t->id, id) != 0))
    t = LIST_NEXT (t, link);
  return t;
}

/* Forgets all tasks, as a VM that fails does.  */
void
worker_drop_tasks (struct worker *w)
{
  while (!LIST_EMPTY (&w->tasks))
    {
      struct task *t = LIST_FIRST (&w->tasks);
      LIST_REMOVE (t, link);
      free (t->id);
      free (t->class);
      free (t->label_class);
      free (t->team);
      free (t->checkpoint);
      free (t);
    }
  memset (&w->used, 0, sizeof w->used);
}

/* Returns a hidden number in [0, 1) that belongs to the pair A, B.  */
static double
table_unit (const struct worker *w, const char *a, const char *b)
{
  char pair[300];
  int n = snprintf (pair, sizeof pair, "%.140s/%.140s", a, b);
  return (double)(XXH64 (pair, (size_t)n, w->settings->table_seed) >> 11)
         / (double)(1ULL << 53);
}

/* Cores a task really uses: its class takes 30% to 100% of the declaration.
 */
static double
task_cores (const struct worker *w, const struct task *t)
{
  return (double)t->need.cores_milli
         * (0.3 + 0.7 * table_unit (w, t->class, "cores")) * (double)t->percent
         / 100;
}

/* Returns the factor by which work of CLASS is slowed on W by the batch tasks
   other than SELF.  The cube makes few pairs harmful and most harmless; a task
   on an eighth of the worker's cores counts once.  */
double
worker_interference (const struct worker *w, const char *class,
                     const struct task *self)
{
  double sum = 0;
  double eighth = (double)w->settings->capacity.cores_milli / 8;
  for (const struct task *t = LIST_FIRST (&w->tasks); t != NULL;
       t = LIST_NEXT (t, link))
    {
      double u = table_unit (w, class, t->class);
      if (t != self && t->state == TASK_RUNNING && !t->service)
        sum += 1.5 * u * u * u * task_cores (w, t) / eighth;
    }
  return 1 + sum;
}

/* Progress in simulated work per millisecond.  Requests in execution slow
   batch tasks by 1% each.  */
static double
task_rate (const struct worker *w, const struct task *t)
{
  return (double)t->percent / 100
         / (worker_interference (w, t->class, t)
            + 0.01 * (double)w->used.connections);
}

/* Returns the memory T really uses, in MB.  */
double
worker_task_memory_mb (const struct worker *w, const struct task *t)
{
  double share = 0.4 + 0.5 * table_unit (w, t->class, "memory");
  if (w->settings->hog_class != NULL
      && strcmp (t->class, w->settings->hog_class) == 0
      && t->done_ms * 2 > t->work_ms)
    share = 1.3;
  return share * (double)t->need.memory_mb;
}

static struct json_object *
task_event (const struct worker *w, const struct task *t, const char *event)
{
  struct json_object *o = worker_event (w, event);
  tool_add (o, "task:s attempt:i", t->id, t->attempt);
  if (t->checkpoint != NULL)
    json_add_string (o, "checkpoint", t->checkpoint);
  return o;
}

static void
task_end (struct worker *w, struct task *t, const char *result, int64_t at_ms)
{
  t->state = TASK_ENDED;
  t->result = result;
  t->ended_ms = at_ms;
  t->sequence = ++w->ended_count;
  w->used.cores_milli -= t->need.cores_milli;
  w->used.memory_mb -= t->need.memory_mb;
  w->used.accelerators -= t->need.accelerators;
  w->used.slots--;
  struct json_object *o = task_event (w, t, "end");
  json_add_string (o, "result", result);
  /* The end counts from the moment it was due: a process that was paused past
     it did no work in between.  */
  int64_t late_us = (worker_now_ms (w) - at_ms) * 1000;
  if (late_us > 0)
    json_add_int (o, "at_us", tool_now_us () - late_us);
  worker_log (w, o);
}

/* Moves T from w->advanced_ms to NOW, to the end of its work or to the end of
   its lease, whichever comes first.  */
static void
task_advance (struct worker *w, struct task *t, int64_t now)
{
  int64_t to = t->until_ms < now ? t->until_ms : now;
  double span = (double)(to - w->advanced_ms);
  double rate = task_rate (w, t);
  if (span > 0)
    {
      t->window_core_ms += task_cores (w, t) * span;
      t->window_participated = true;
    }
  bool batch = !t->service;
  double left = t->work_ms - t->done_ms;
  const char *class = w->settings->fail_class;
  if (batch && span > 0 && span * rate >= left)
    {
      t->done_ms = t->work_ms;
      bool fails = w->fail_everything
                   || (class != NULL && strcmp (t->class, class) == 0);
      task_end (w, t, fails ? "failed" : "ok",
                w->advanced_ms + (int64_t)(left / rate));
      return;
    }
  if (span > 0)
    t->done_ms += span * rate;
  if (w->fail_everything && now > w->advanced_ms)
    task_end (w, t, "failed", to);
  else if (w->settings->guard
           && worker_task_memory_mb (w, t) > (double)t->need.memory_mb)
    task_end (w, t, "over-memory", to);
  else if (t->until_ms <= now)
    task_end (w, t, "lease-expired", t->until_ms);
}

/* Brings the simulated work of W up to its present clock and enforces the task
   leases.  Runs before every call, so no late timer lets a task outlive its
   lease.  */
void
worker_advance (struct worker *w)
{
  int64_t now = worker_now_ms (w);
  for (struct task *t = LIST_FIRST (&w->tasks); t != NULL;
       t = LIST_NEXT (t, link))
    if (t->state == TASK_RUNNING)
      task_advance (w, t, now);
  w->advanced_ms = now;
}

static struct json_object *
task_summary (const struct task *t)
{
  bool running = t->state == TASK_RUNNING;
  struct json_object *o
      = tool_object ("task:s attempt:i state:s checkpoint:s", t->id,
                     t->attempt, running ? "running" : "ended", t->checkpoint);
  tool_add (o,
            "kind:s service:s class:s team:s cores_milli:i memory_mb:i "
            "accelerators:i evictions:i granted_until_ms:i",
            t->service ? "service" : "batch", t->service ? t->class : "",
            t->label_class, t->team, t->need.cores_milli, t->need.memory_mb,
            t->need.accelerators, t->evictions, t->granted_until_ms);
  if (running)
    tool_add (o, "percent:i until_ms:i", t->percent, t->until_ms);
  else
    tool_add (o, "result:s ended_ms:i sequence:i", t->result, t->ended_ms,
              t->sequence);
  return o;
}

/* Returns the running attempts.  */
struct json_object *
worker_tasks (const struct worker *w)
{
  struct json_object *list = json_object_new_array ();
  for (const struct task *t = LIST_FIRST (&w->tasks); t != NULL;
       t = LIST_NEXT (t, link))
    if (t->state == TASK_RUNNING)
      json_object_array_add (list, task_summary (t));
  return list;
}

/* Returns the attempts that ended with a sequence above the last one that a
   controller has recorded.  Repeated because the answer that carries them may
   be lost, and told to a new controller as well.  */
struct json_object *
worker_ended (const struct worker *w)
{
  struct json_object *list = json_object_new_array ();
  for (const struct task *t = LIST_FIRST (&w->tasks); t != NULL;
       t = LIST_NEXT (t, link))
    if (t->state == TASK_ENDED && t->sequence > w->ended_recorded)
      json_object_array_add (list, task_summary (t));
  return list;
}

/* Extends task leases; one that has run out is not revived.  */
void
worker_renew (struct worker *w, struct json_object *renew)
{
  size_t n = json_object_is_type (renew, json_type_array)
                 ? json_object_array_length (renew)
                 : 0;
  for (size_t i = 0; i < n; i++)
    {
      struct json_object *r = json_object_array_get_idx (renew, i);
      struct task *t = task_find (w, json_string_or (r, "task", ""),
                                  json_int_or (r, "attempt", 0));
      int64_t until = json_int_or (r, "until_ms", 0);
      if (t != NULL && t->state == TASK_RUNNING && until > t->until_ms)
        t->until_ms = until;
      if (t != NULL)
        t->granted_until_ms
            = json_int_or (r, "granted_until_ms", t->granted_until_ms);
    }
}

static struct task *
task_new (struct worker *w, const char *id, int64_t attempt)
{
  struct task *t = tool_alloc (sizeof *t);
  t->id = strdup (id);
  t->attempt = attempt;
  t->percent = 100;
  LIST_INSERT_HEAD (&w->tasks, t, link);
  return t;
}

static bool
fits (const struct worker *w, const struct capacity *need)
{
  const struct capacity *c = &w->settings->capacity;
  return w->used.slots < c->slots
         && need->cores_milli <= c->cores_milli - w->used.cores_milli
         && need->memory_mb <= c->memory_mb - w->used.memory_mb
         && need->accelerators <= c->accelerators - w->used.accelerators;
}

/* Returns why attempt ATTEMPT of ID may not start, or null.  */
static const char *
start_refusal (const struct worker *w, const char *id, int64_t attempt,
               int64_t void_after_ms, const struct capacity *need)
{
  if (worker_now_ms (w) > void_after_ms)
    return "void";
  bool seen = false;
  for (const struct task *t = LIST_FIRST (&w->tasks); t != NULL;
       t = LIST_NEXT (t, link))
    {
      bool same = strcmp (t->id, id) == 0;
      bool later = attempt > t->attempt;
      if (same && t->state == TASK_SEALED && !later)
        return "sealed";
      seen = seen || (same && (t->state == TASK_RUNNING || !later));
    }
  if (seen)
    return "duplicate";
  if (w->leaving)
    return "leaving";
  return fits (w, need) ? NULL : "full";
}

static bool
start_fields (struct json_object *o, struct capacity *need, int64_t *void_ms,
              int64_t *lease_ms, struct rr_error *err)
{
  need->accelerators = json_int_or (o, "accelerators", 0);
  if (!json_get_int (o, "cores_milli", &need->cores_milli, err)
      || !json_get_int (o, "memory_mb", &need->memory_mb, err)
      || !json_get_int (o, "void_after_ms", void_ms, err)
      || !json_get_int (o, "lease_ms", lease_ms, err))
    return false;
  if (need->cores_milli < 0 || need->memory_mb < 0 || need->accelerators < 0
      || *lease_ms < 1 || *lease_ms > LEASE_MAX_MS)
    return rr_error_set (
        err, RR_ERROR_INVALID,
        "sizes must not be negative, lease_ms must be 1 to %d", LEASE_MAX_MS);
  return true;
}

static void
call_start (struct worker *w, struct http_exchange *x, struct json_object *o,
            const char *id, int64_t attempt)
{
  struct rr_error err = { 0 };
  struct capacity need = { 0 };
  int64_t void_ms = 0;
  int64_t lease_ms = 0;
  if (!start_fields (o, &need, &void_ms, &lease_ms, &err))
    {
      http_exchange_respond_error (x, 400, &err);
      return;
    }
  const char *reason = start_refusal (w, id, attempt, void_ms, &need);
  if (reason != NULL)
    {
      worker_refuse (w, "start", id, attempt, reason);
      tool_respond_reason (x, 409, reason);
      return;
    }
  struct task *t = task_new (w, id, attempt);
  t->service = strcmp (json_string_or (o, "kind", "batch"), "service") == 0;
  t->label_class = strdup (json_string_or (o, "class", ""));
  t->team = strdup (json_string_or (o, "team", ""));
  t->evictions = json_int_or (o, "evictions", 0);
  t->granted_until_ms = json_int_or (o, "granted_until_ms", 0);
  t->class = strdup (t->service ? json_string_or (o, "service", "")
                                : json_string_or (o, "class", ""));
  t->need = need;
  t->work_ms = (double)json_int_or (o, "work_ms", 0)
               / (double)w->settings->work_speed;
  t->until_ms = worker_now_ms (w) + lease_ms;
  const char *checkpoint = json_string_or (o, "checkpoint", "");
  if (*checkpoint != '\0')
    {
      /* The last field of a checkpoint is the work done so far.  */
      const char *done = strrchr (checkpoint, ':');
      t->checkpoint = strdup (checkpoint);
      t->done_ms = done == NULL ? 0 : (double)strtoll (done + 1, NULL, 10);
    }
  w->used.cores_milli += need.cores_milli;
  w->used.memory_mb += need.memory_mb;
  w->used.accelerators += need.accelerators;
  w->used.slots++;
  need.slots = 1;
  struct json_object *e = task_event (w, t, "start");
  tool_add (e, "kind:s class:s team:s need:o",
            t->service ? "service" : "batch", t->class,
            json_string_or (o, "team", ""), capacity_object (&need));
  worker_log (w, e);
  tool_respond (
      x, 200,
      tool_object ("now_ms:i until_ms:i", worker_now_ms (w), t->until_ms));
}

static void
call_seal (struct worker *w, struct http_exchange *x, const char *id,
           int64_t attempt)
{
  struct task *t = task_find (w, id, attempt);
  if (t == NULL)
    {
      t = task_new (w, id, attempt);
      t->state = TASK_SEALED;
      worker_log (w, task_event (w, t, "seal"));
    }
  tool_respond (x, 200,
                t->state == TASK_SEALED ? tool_object ("state:s", "never")
                                        : task_summary (t));
}

static void
call_checkpoint (struct worker *w, struct http_exchange *x, struct task *t)
{
  char text[256];
  snprintf (text, sizeof text, "%.160s:%lld:%lld:%lld", t->id,
            (long long)t->attempt, (long long)++t->checkpoints,
            (long long)t->done_ms);
  free (t->checkpoint);
  t->checkpoint = strdup (text);
  worker_log (w, task_event (w, t, "checkpoint"));
  tool_respond (x, 200, task_summary (t));
}

/* Applies the shard's fencing: a start or seal from an owner that a later one
   has replaced is stale.  */
static bool
shard_epoch_raise (struct worker *w, struct json_object *o,
                   struct rr_error *err)
{
  int64_t shard = 0;
  int64_t epoch = 0;
  if (!json_get_int (o, "shard", &shard, err)
      || !json_get_int (o, "shard_epoch", &epoch, err))
    return false;
  if (shard < 0 || shard >= WORKER_SHARDS_MAX)
    return rr_error_set (err, RR_ERROR_INVALID, "shard is out of range");
  if (epoch < w->shard_epochs[shard])
    return false;
  w->shard_epochs[shard] = epoch;
  return true;
}

/* Serves POST /v1/tasks/NAME; false when there is no such call.  */
bool
worker_task_call (struct worker *w, struct http_exchange *x, const char *name)
{
  char call[16];
  snprintf (call, sizeof call, "%s", name);
  bool start = strcmp (call, "start") == 0;
  bool seal = strcmp (call, "seal") == 0;
  bool stop = strcmp (call, "stop") == 0;
  bool throttle = strcmp (call, "throttle") == 0;
  if (!start && !seal && !stop && !throttle
      && strcmp (call, "checkpoint") != 0)
    return false;
  struct json_object *o = tool_body_json (x);
  if (o == NULL)
    return true;
  struct rr_error err = { 0 };
  int64_t epoch = 0;
  int64_t attempt = 0;
  const char *id = json_get_string (o, "task", &err);
  if (id == NULL || !json_get_int (o, "epoch", &epoch, &err)
      || !json_get_int (o, "attempt", &attempt, &err))
    {
      http_exchange_respond_error (x, 400, &err);
      json_object_put (o);
      return true;
    }
  struct task *t = task_find (w, id, attempt);
  const char *reason = NULL;
  if (!worker_epoch_valid (w, epoch))
    reason = "stale-epoch";
  else if ((start || seal) && !shard_epoch_raise (w, o, &err))
    reason = "stale-shard-epoch";
  else if (!start && !seal && (t == NULL || t->state == TASK_SEALED))
    reason = "unknown";
  else if (!start && !seal && !stop && t->state == TASK_ENDED)
    reason = "ended";
  if (err.code != RR_OK)
    http_exchange_respond_error (x, 400, &err);
  else if (reason != NULL)
    {
      worker_refuse (w, call, id, attempt, reason);
      tool_respond_reason (x, 409, reason);
    }
  else if (start)
    call_start (w, x, o, id, attempt);
  else if (seal)
    call_seal (w, x, id, attempt);
  else if (throttle)
    {
      int64_t percent = json_int_or (o, "percent", 100);
      t->percent = percent < 1 ? 1 : percent > 100 ? 100 : percent;
      tool_respond (x, 200, task_summary (t));
    }
  else if (stop)
    {
      if (t->state == TASK_RUNNING)
        task_end (w, t, "stopped", worker_now_ms (w));
      tool_respond (x, 200, task_summary (t));
    }
  else
    call_checkpoint (w, x, t);
  json_object_put (o);
  return true;
}
