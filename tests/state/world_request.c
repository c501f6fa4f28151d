#include <assert.h>
#include <string.h>

#include "world.h"

enum
{
  EXECUTE_MS = 50,
  ASK_AGAIN_MS = 200
};

static int
executions (const struct world *w, const char *request)
{
  int n = 0;
  for (int i = 0; i < w->call_count; i++)
    if (strcmp (w->calls[i].request, request) == 0 && w->calls[i].ran)
      n++;
  return n;
}

static void
caller_gets (struct world *w, struct call *c, const char *outcome)
{
  if (c->answered)
    return;
  c->answered = true;
  world_log (w, "%s answers the caller of %s: %s", w->daemons[c->daemon].name,
             c->request, outcome);
}

static void
ask (struct world *w, struct call *c)
{
  int owner = world_owner (w);
  c->next_at = w->now + ASK_AGAIN_MS;
  if (owner < 0)
    {
      /* With an ask sent before, its outcome is open.  */
      if (c->ask == 0)
        {
          caller_gets (w, c, "not-run");
          c->state = CALL_DONE;
        }
      return;
    }
  if (c->ask == 0)
    c->ask = ++w->daemons[c->daemon].next_ask;
  struct message *m = world_send (w, MESSAGE_ASK, c->daemon, owner, STEP_MS);
  memcpy (m->request, c->request, sizeof m->request);
  m->ask = c->ask;
}

static void
report (struct world *w, struct call *c)
{
  int owner = world_owner (w);
  c->next_at = w->now + ASK_AGAIN_MS;
  if (owner < 0)
    return;
  struct message *m
      = world_send (w, MESSAGE_RESULT, c->daemon, owner, STEP_MS);
  memcpy (m->request, c->request, sizeof m->request);
  m->ask = c->ask;
  m->outcome = c->outcome;
  m->status = c->status;
}

/* A caller sends the non-repeatable REQUEST to the entry daemon D.  */
void
request_begin (struct world *w, int d, const char *request,
               int64_t deadline_ms)
{
  assert (w->call_count < CALLS_MAX);
  struct call *c = &w->calls[w->call_count++];
  memset (c, 0, sizeof *c);
  snprintf (c->request, sizeof c->request, "%s", request);
  c->daemon = d;
  c->deadline = w->now + deadline_ms;
  ask (w, c);
}

void
request_step (struct world *w, int d)
{
  for (int i = 0; i < w->call_count; i++)
    {
      struct call *c = &w->calls[i];
      if (c->daemon != d || c->state == CALL_DONE)
        continue;
      if (c->state == CALL_ASKING && w->now >= c->deadline)
        {
          caller_gets (w, c, "unknown");
          c->state = CALL_DONE;
        }
      else if (c->state == CALL_RETURNING && w->now >= c->deadline)
        {
          caller_gets (w, c, "not-run");
          c->state = CALL_DONE;
        }
      else if (c->state == CALL_RUNNING && w->now >= c->next_at)
        {
          c->state = CALL_REPORTING;
          c->status = 200;
          c->outcome = RR_REQUEST_ANSWERED;
          caller_gets (w, c, "answered 200");
          report (w, c);
        }
      else if (w->now >= c->next_at)
        {
          if (c->state == CALL_ASKING)
            ask (w, c);
          else
            report (w, c);
        }
    }
}

static void
reply (struct world *w, int d, int to, const char *request, uint64_t ask_id,
       enum reply what, uint32_t status)
{
  struct message *m = world_send (w, MESSAGE_REPLY, d, to, STEP_MS);
  snprintf (m->request, sizeof m->request, "%s", request);
  m->ask = ask_id;
  m->reply = what;
  m->status = status;
}

/* Tells what the owner D has on record about a request that it may not
   grant.  */
static void
reply_recorded (struct world *w, int d, int to, const char *request,
                uint64_t ask_id)
{
  const struct rr_shard_state *s
      = rr_shard_log_shard_state (w->daemons[d].log);
  if (s == NULL)
    {
      reply (w, d, to, request, ask_id, REPLY_WAIT, 0);
      return;
    }
  struct rr_request_entry e = rr_request_log_find (s->requests, request);
  enum reply what = REPLY_WAIT;
  if (e.state == RR_REQUEST_DONE)
    what = e.outcome == RR_REQUEST_ANSWERED ? REPLY_ANSWERED : REPLY_UNKNOWN;
  else if (e.state == RR_REQUEST_GRANTED
           && e.holder_incarnation == w->daemons[to].incarnation
           && e.ask == ask_id)
    what = REPLY_YOURS;
  reply (w, d, to, request, ask_id, what, e.status);
}

void
request_asked (struct world *w, int d, const struct message *m)
{
  struct daemon *v = &w->daemons[d];
  if (!rr_shard_log_is_owner (v->log))
    {
      reply (w, d, m->from, m->request, m->ask, REPLY_WAIT, 0);
      return;
    }
  const struct rr_shard_state *s = rr_shard_log_shard_state (v->log);
  if (rr_request_log_find (s->requests, m->request).state != RR_REQUEST_NEW)
    {
      reply_recorded (w, d, m->from, m->request, m->ask);
      return;
    }
  if (rr_shard_log_is_stalled (v->log))
    {
      reply (w, d, m->from, m->request, m->ask, REPLY_NOT_RUN, 0);
      return;
    }
  struct rr_record r = { .kind = RR_RECORD_REQUEST_GRANTED, .at_ms = w->now };
  struct rr_record_request_granted *p = &r.u.request_granted;
  snprintf (p->request, sizeof p->request, "%s", m->request);
  snprintf (p->holder, sizeof p->holder, "%s", w->daemons[m->from].name);
  p->holder_incarnation = w->daemons[m->from].incarnation;
  p->ask = m->ask;
  p->deadline_ms = w->now;
  struct token t = { .from = m->from, .kind = MESSAGE_ASK, .ask = m->ask };
  memcpy (t.request, m->request, sizeof t.request);
  if (!daemon_append (w, d, &r, &t))
    reply (w, d, m->from, m->request, m->ask, REPLY_NOT_RUN, 0);
}

void
request_result (struct world *w, int d, const struct message *m)
{
  struct rr_record r = { .kind = RR_RECORD_REQUEST_RESULT, .at_ms = w->now };
  struct rr_record_request_result *p = &r.u.request_result;
  /* The entry daemon reports again until the result is recorded.  */
  if (!rr_shard_log_is_owner (w->daemons[d].log)
      || rr_shard_log_is_stalled (w->daemons[d].log))
    return;
  snprintf (p->request, sizeof p->request, "%s", m->request);
  p->holder_incarnation = w->daemons[m->from].incarnation;
  p->ask = m->ask;
  p->outcome = m->outcome;
  p->status = m->status;
  struct token t = { .from = m->from,
                     .kind = MESSAGE_RESULT,
                     .ask = m->ask,
                     .outcome = m->outcome };
  memcpy (t.request, m->request, sizeof t.request);
  daemon_append (w, d, &r, &t);
}

/* Goes on with a request once its record has an outcome.  */
void
request_settled (struct world *w, int d, const struct token *t,
                 const struct rr_shard_output *out)
{
  struct daemon *v = &w->daemons[d];
  if (t->kind == MESSAGE_RESULT)
    {
      if (out->commit == RR_COMMITTED)
        {
          struct message *m = world_send (w, MESSAGE_ACK, d, t->from, STEP_MS);
          memcpy (m->request, t->request, sizeof m->request);
          m->ask = t->ask;
        }
      return;
    }
  if (out->commit == RR_COMMIT_LOST)
    reply (w, d, t->from, t->request, t->ask, REPLY_NOT_RUN, 0);
  else if (out->commit == RR_COMMIT_UNKNOWN)
    reply (w, d, t->from, t->request, t->ask, REPLY_WAIT, 0);
  else if (!out->applied)
    reply_recorded (w, d, t->from, t->request, t->ask);
  else if (v->hold_go)
    {
      v->hold_go = false;
      v->has_go = true;
      v->go.to = t->from;
      v->go.ask = t->ask;
      memcpy (v->go.request, t->request, sizeof v->go.request);
      v->paused = true;
      v->paused_at = w->now;
      world_log (w, "%s freezes before it allows %s", v->name, t->request);
    }
  else
    {
      struct message *m = world_send (w, MESSAGE_GO, d, t->from, STEP_MS);
      memcpy (m->request, t->request, sizeof m->request);
      m->ask = t->ask;
    }
}

/* Handles what the owner says at the entry daemon D.  Messages about an
   earlier ask are too late and change nothing.  */
void
request_told (struct world *w, int d, const struct message *m)
{
  for (int i = 0; i < w->call_count; i++)
    {
      struct call *c = &w->calls[i];
      if (c->daemon != d || c->ask != m->ask
          || strcmp (c->request, m->request) != 0)
        continue;
      if (m->kind == MESSAGE_ACK && c->state == CALL_REPORTING)
        c->state = CALL_DONE;
      if (m->kind == MESSAGE_ACK && c->state == CALL_RETURNING)
        {
          c->state = CALL_ASKING;
          c->ask = 0;
          ask (w, c);
        }
      if (c->state != CALL_ASKING || c->ask != m->ask)
        return;
      if (m->kind == MESSAGE_GO)
        {
          c->state = CALL_RUNNING;
          c->ran = true;
          c->next_at = w->now + EXECUTE_MS;
          world_log (w, "%s executes %s", w->daemons[d].name, c->request);
          if (executions (w, c->request) > 1)
            world_violation (w, "%s runs again", c->request);
        }
      else if (m->reply == REPLY_YOURS)
        {
          /* The permission was lost on the way and nothing was sent.  The
             grant is given back, and from now on a late permission for this
             ask is ignored.  */
          c->state = CALL_RETURNING;
          c->outcome = RR_REQUEST_NOT_RUN;
          report (w, c);
        }
      else if (m->reply == REPLY_ANSWERED)
        {
          char text[32];
          snprintf (text, sizeof text, "answered %u", m->status);
          caller_gets (w, c, text);
          c->state = CALL_DONE;
        }
      else if (m->reply == REPLY_NOT_RUN || m->reply == REPLY_UNKNOWN)
        {
          caller_gets (w, c,
                       m->reply == REPLY_UNKNOWN ? "unknown" : "not-run");
          c->state = CALL_DONE;
        }
      return;
    }
}
