#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

int
daemon_add (struct world *w, const char *name)
{
  assert (w->daemon_count < DAEMONS_MAX);
  struct daemon *d = &w->daemons[w->daemon_count];
  memset (d, 0, sizeof *d);
  snprintf (d->name, sizeof d->name, "%s", name);
  d->incarnation = ++w->next_incarnation;
  struct rr_shard_log_options o = { .shard = 3,
                                    .incarnation = d->incarnation,
                                    .snapshot_max = w->snapshot_max,
                                    .seed = d->incarnation };
  snprintf (o.owner, sizeof o.owner, "%s", name);
  d->log = rr_shard_log_new (&o);
  assert (d->log != NULL);
  return w->daemon_count++;
}

void
daemon_kill (struct world *w, int d)
{
  w->daemons[d].dead = true;
  rr_shard_log_free (w->daemons[d].log);
  w->daemons[d].log = NULL;
}

/* Sends the result of a store call back to the daemon.  */
static void
answer_store (struct world *w, int d, uint64_t call_id,
              const struct rr_kv_result *result, int64_t delay)
{
  struct message *m = world_send (w, MESSAGE_STORE, -1, d, delay);
  m->call_id = call_id;
  m->result = *result;
  if (result->value != NULL)
    {
      uint8_t *copy = malloc (result->length + 1);
      assert (copy != NULL);
      memcpy (copy, result->value, result->length);
      m->result.value = copy;
    }
}

static void
hold_write (struct world *w, int d, const struct rr_shard_output *out)
{
  assert (w->held_count < HELD_MAX);
  struct held_write *h = &w->held[w->held_count++];
  h->daemon = d;
  memcpy (h->key, out->key, sizeof h->key);
  h->data = malloc (out->length + 1);
  assert (h->data != NULL);
  memcpy (h->data, out->value, out->length);
  h->length = out->length;
  h->expect = out->expect;
  world_log (w, "%s: write of %s is on its way", w->daemons[d].name, out->key);
}

static void
call_store (struct world *w, int d, const struct rr_shard_output *out)
{
  struct daemon *v = &w->daemons[d];
  struct rr_kv_result r = { 0 };
  bool write = out->kind == RR_SHARD_WRITE;
  if (w->store_mode != STORE_UP)
    {
      bool down = w->store_mode == STORE_DOWN;
      r.status = down ? RR_KV_NOT_SENT : RR_KV_NO_RESPONSE;
      answer_store (w, d, out->call_id, &r, down ? STEP_MS : 1000);
      return;
    }
  if (!write && v->fault == FAULT_READS
      && strcmp (out->key, v->fault_key) != 0)
    {
      r.status = RR_KV_NO_RESPONSE;
      answer_store (w, d, out->call_id, &r, 1000);
      return;
    }
  if (!write)
    {
      store_read (&w->store, out->key, &r);
      answer_store (w, d, out->call_id, &r, STEP_MS);
      return;
    }
  enum fault fault = FAULT_NONE;
  if (v->fault != FAULT_NONE && strstr (out->key, v->fault_key) != NULL)
    {
      fault = v->fault;
      v->fault = FAULT_NONE;
    }
  if (fault == FAULT_HOLD)
    hold_write (w, d, out);
  else if (fault == FAULT_DROP)
    world_log (w, "%s: write of %s is dropped", v->name, out->key);
  else
    store_write (&w->store, out->key, out->value, out->length, out->expect,
                 &r);
  if (fault == FAULT_LOSE)
    world_log (w, "%s: answer to the write of %s is lost", v->name, out->key);
  int64_t delay = STEP_MS;
  if (fault != FAULT_NONE)
    {
      memset (&r, 0, sizeof r);
      r.status = RR_KV_NO_RESPONSE;
      delay = 1000;
    }
  answer_store (w, d, out->call_id, &r, delay);
}

/* Queues R; TOKEN says whom to tell about its outcome and may be null.  */
bool
daemon_append (struct world *w, int d, const struct rr_record *r,
               const struct token *token)
{
  struct daemon *v = &w->daemons[d];
  struct rr_error err = { 0 };
  int i = 0;
  while (token != NULL && i < TOKENS_MAX && v->tokens[i].used)
    i++;
  assert (i < TOKENS_MAX);
  uint64_t id = ++v->next_token;
  if (!rr_shard_log_append (v->log, r, id, rr_time_from_ms (w->now), &err))
    {
      world_log (w, "%s rejects %s: %s", v->name,
                 rr_record_kind_name (r->kind), err.message);
      return false;
    }
  if (token != NULL)
    {
      v->tokens[i] = *token;
      v->tokens[i].id = id;
      v->tokens[i].used = true;
    }
  return true;
}

static void
record_settled (struct world *w, int d, const struct rr_shard_output *out)
{
  static const char *const names[] = { "committed", "lost", "unknown" };
  struct daemon *v = &w->daemons[d];
  if (out->commit != RR_COMMITTED)
    world_log (w, "%s: record %llu %s", v->name,
               (unsigned long long)out->token, names[out->commit]);
  else if (!out->applied)
    world_log (w, "%s: record %llu refused: %s", v->name,
               (unsigned long long)out->token, out->reason.message);
  for (int i = 0; i < TOKENS_MAX; i++)
    if (v->tokens[i].used && v->tokens[i].id == out->token)
      {
        struct token t = v->tokens[i];
        v->tokens[i].used = false;
        request_settled (w, d, &t, out);
      }
}

static void
drive_log (struct world *w, int d)
{
  struct daemon *v = &w->daemons[d];
  struct rr_shard_output out;
  while (rr_shard_log_next_output (v->log, rr_time_from_ms (w->now), &out))
    switch (out.kind)
      {
      case RR_SHARD_READ:
      case RR_SHARD_WRITE:
        call_store (w, d, &out);
        break;
      case RR_SHARD_SETTLED:
        record_settled (w, d, &out);
        break;
      case RR_SHARD_OWNED:
        world_log (w, "%s owns the shard, epoch %llu", v->name,
                   (unsigned long long)rr_shard_log_epoch (v->log));
        break;
      case RR_SHARD_CONFIRMED:
        world_log (w, "%s confirmed as owner", v->name);
        break;
      case RR_SHARD_RELEASED:
        world_log (w, "%s released the shard", v->name);
        break;
      case RR_SHARD_LOST:
        world_log (w, "%s lost the shard: %s", v->name, out.reason.message);
        break;
      case RR_SHARD_ALARM:
        w->alarms++;
        world_log (w, "%s ALARM %s", v->name, out.reason.message);
        break;
      }
}

void
daemon_step (struct world *w, int d)
{
  struct daemon *v = &w->daemons[d];
  if (v->dead || v->paused)
    return;
  drive_log (w, d);
  if (!v->paused)
    request_step (w, d);
  if (!v->paused && rr_shard_log_is_owner (v->log))
    daemon_tasks (w, d);
  if (!v->paused)
    drive_log (w, d);
}

void
daemon_message (struct world *w, int d, const struct message *m)
{
  struct daemon *v = &w->daemons[d];
  switch (m->kind)
    {
    case MESSAGE_STORE:
      rr_shard_log_complete (v->log, m->call_id, &m->result,
                             rr_time_from_ms (w->now));
      break;
    case MESSAGE_ASK:
      request_asked (w, d, m);
      break;
    case MESSAGE_GO:
    case MESSAGE_REPLY:
    case MESSAGE_ACK:
      request_told (w, d, m);
      break;
    case MESSAGE_RESULT:
      request_result (w, d, m);
      break;
    }
}

/* Lets a paused daemon go on with what it was about to do: it first sends what
   it had decided to send, like a process frozen between two statements.  */
void
daemon_resume (struct world *w, int d)
{
  struct daemon *v = &w->daemons[d];
  v->paused = false;
  if (v->has_start)
    {
      v->has_start = false;
      enum rr_start_response a = worker_start (w, &v->start);
      struct rr_shard_state *s = rr_shard_log_shard_state (v->log);
      struct rr_job *job
          = s == NULL ? NULL : rr_job_store_find (s->jobs, v->start.job);
      if (job != NULL)
        rr_attempt_start_response (job, v->start.task, v->start.attempt, a);
    }
  if (v->has_go)
    {
      v->has_go = false;
      struct message *m = world_send (w, MESSAGE_GO, d, v->go.to, STEP_MS);
      memcpy (m->request, v->go.request, sizeof m->request);
      m->ask = v->go.ask;
    }
  if (w->now - v->paused_at > 2000)
    rr_shard_log_confirm (v->log, rr_time_from_ms (w->now));
}
