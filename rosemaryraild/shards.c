#include "rosemaryraild/shards.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "rosemaryraild/shards_internal.h"

enum
{
  TICK_INTERVAL_MS = 50,
  SCAN_INTERVAL_MS = 250,
  /* Gives a daemon that has just started time to receive heartbeats, so that
     it does not take over a shard that a peer owns.  */
  ELECTION_WAIT_MS = 1500,
  /* A live owner that can't reach the platform keeps its shard for this long.
     After an outage all daemons reach the platform again within a few seconds,
     and shards should not move in that time.  */
  ELECTION_WAIT_LIVE_OWNER_MS = 6000,
  FINISHED_JOBS_MAX_AGE_MS = 24 * 3600 * 1000,
  FINISHED_JOBS_MAX = 400,
  EXPIRED_BATCH_SIZE = 16,
  EXPIRY_INTERVAL_MS = 30000
};

/* A call to the platform that reads or writes a part of a shard's log.  */
struct log_call
{
  struct shard *s;
  uint64_t call_id;
};

static void
on_log_call (void *data, const struct platform_result *r)
{
  struct log_call *c = data;
  struct rr_kv_result out = { .status = RR_KV_OK,
                              .revision = r->revision,
                              .value = (const uint8_t *)r->value,
                              .length = r->length };
  switch (r->state)
    {
    case PLATFORM_OK:
    case PLATFORM_UNCHANGED:
      break;
    case PLATFORM_NOT_FOUND:
      out.revision = 0;
      out.value = NULL;
      break;
    case PLATFORM_CONFLICT:
      out.status = RR_KV_CONFLICT;
      break;
    case PLATFORM_NOT_SENT:
      out.status = RR_KV_NOT_SENT;
      break;
    case PLATFORM_UNKNOWN:
      out.status = RR_KV_NO_RESPONSE;
      break;
    }
  rr_shard_log_complete (c->s->log, c->call_id, &out, daemon_now ());
  shard_outputs_process (c->s);
  free (c);
}

static void
log_call_start (struct shard *s, const struct rr_shard_output *o)
{
  struct log_call *c = calloc (1, sizeof *c);
  assert (c != NULL);
  c->s = s;
  c->call_id = o->call_id;
  if (o->kind == RR_SHARD_READ)
    platform_get (s->ss->d->platform, o->key, on_log_call, c);
  else
    platform_put (s->ss->d->platform, o->key, (const char *)o->value,
                  o->length, o->expect, on_log_call, c);
}

/* Registers what to do when the outcome of a record is known.  Returns the
   token to append the record with.  */
uint64_t
pending_add (struct shards *ss, enum pending_kind kind,
             const struct call_origin *origin, const char *id)
{
  struct rr_handle h;
  struct pending *p = rr_table_insert (ss->pending, &h);
  memset (p, 0, sizeof *p);
  p->kind = kind;
  if (origin != NULL)
    p->origin = *origin;
  snprintf (p->id, sizeof p->id, "%s", id);
  return rr_handle_pack (h);
}

static void
reply_status (struct shard *s, const struct call_origin *origin,
              enum rr_error_code code, const char *text)
{
  peer_status out = { .code = (int)code, .message = (char *)text };
  daemon_reply (s->ss->d, origin, (xdrproc_t)xdr_peer_status, &out);
}

static void
settled_record_handle (struct shard *s, const struct rr_shard_output *o)
{
  struct shards *ss = s->ss;
  struct rr_handle h = rr_handle_unpack (o->token);
  struct pending *row = rr_table_get (ss->pending, h);
  s->scan_needed = true;
  if (row == NULL)
    return;
  struct pending p = *row;
  rr_table_remove (ss->pending, h);
  switch (p.kind)
    {
    case PENDING_RECORD:
      break;
    case PENDING_GRANT:
      shards_grant_settled (s, &p, o->commit, o->applied);
      break;
    case PENDING_RESULT:
    case PENDING_END:
      /* A record that does not apply is a result or end that is recorded
         already, so it counts as success too.  */
      reply_status (s, &p.origin,
                    o->commit == RR_COMMITTED ? RR_OK : RR_ERROR_TIMEOUT, "");
      break;
    case PENDING_SUBMIT:
    case PENDING_CANCEL:
      shards_job_settled (s, &p, o->commit, o->applied, &o->reason);
      break;
    }
}

static void
owned_metric_update (struct shards *ss)
{
  int64_t owned = 0;
  for (uint32_t i = 0; i < RR_SHARD_COUNT; i++)
    owned += rr_shard_log_is_owner (ss->shard[i].log);
  metric_set (&ss->d->metrics, METRIC_SHARDS_OWNED, owned);
}

static void
output_handle (struct shard *s, const struct rr_shard_output *o)
{
  struct shards *ss = s->ss;
  switch (o->kind)
    {
    case RR_SHARD_READ:
    case RR_SHARD_WRITE:
      log_call_start (s, o);
      break;
    case RR_SHARD_SETTLED:
      settled_record_handle (s, o);
      break;
    case RR_SHARD_OWNED:
      metric_add (&ss->d->metrics, METRIC_SHARD_TAKEOVERS, 1);
      log_event (LOG_LEVEL_INFO, "shard_owned", "shard=%u epoch=%llu",
                 s->number, (unsigned long long)rr_shard_log_epoch (s->log));
      s->scan_needed = true;
      shards_sync_config (s);
      break;
    case RR_SHARD_CONFIRMED:
      s->scan_needed = true;
      break;
    case RR_SHARD_LOST:
      metric_add (&ss->d->metrics, METRIC_SHARD_LOSSES, 1);
      log_event (LOG_LEVEL_INFO, "shard_lost", "shard=%u reason=\"%s\"",
                 s->number, o->reason.message);
      break;
    case RR_SHARD_RELEASED:
      ss->handovers_left -= ss->handovers_left > 0;
      log_event (LOG_LEVEL_INFO, "shard_released", "shard=%u", s->number);
      break;
    case RR_SHARD_ALARM:
      snprintf (ss->alarm, sizeof ss->alarm, "shard %u: %.70s", s->number,
                o->reason.message);
      ss->alarm_since_ms = daemon_wall_ms ();
      log_event (LOG_LEVEL_ERROR, "alarm", "name=shard shard=%u detail=\"%s\"",
                 s->number, o->reason.message);
      break;
    }
  owned_metric_update (ss);
}

/* Processes all pending output of the shard's log: starts its reads and writes
   and reacts to its events.  */
void
shard_outputs_process (struct shard *s)
{
  struct rr_shard_output o;
  while (rr_shard_log_next_output (s->log, daemon_now (), &o))
    output_handle (s, &o);
}

/* Sets the time of R and queues it for the shard's log.  TOKEN comes from
   pending_add.  If the log refuses the record, nothing is written; removes the
   pending entry, sets ERR and returns false.  */
bool
shard_append (struct shard *s, struct rr_record *r, uint64_t token,
              struct rr_error *err)
{
  r->at_ms = daemon_wall_ms ();
  if (!rr_shard_log_append (s->log, r, token, daemon_now (), err))
    {
      struct rr_handle h = rr_handle_unpack (token);
      rr_table_remove (s->ss->pending, h);
      return false;
    }
  shard_outputs_process (s);
  return true;
}

/* Finds a live peer that claims to own SHARD.  Sets STORE_LOST to whether it
   has lost contact with the platform; a peer that has not is preferred.  */
static bool
claimed_by_peer (struct shards *ss, uint32_t shard, char *name, size_t size,
                 bool *store_lost)
{
  struct rr_membership *m = peers_membership (ss->d->peers);
  struct rr_time now = daemon_now ();
  bool found = false;
  for (size_t i = 0; i < rr_membership_count (m); i++)
    {
      const struct rr_member *member = rr_membership_at (m, now, i);
      if (rr_membership_is_self (m, member) || !member->alive
          || (member->shards & 1u << shard) == 0)
        continue;
      snprintf (name, size, "%s", member->info.name);
      *store_lost = member->store_lost;
      found = true;
      if (!member->store_lost)
        break;
    }
  return found;
}

static void
election_tick (struct shard *s, struct rr_time now)
{
  struct shards *ss = s->ss;
  struct daemon *d = ss->d;
  char claimant[NAME_SIZE];
  struct rr_membership *m = peers_membership (d->peers);
  const struct rr_member *elected
      = rr_membership_shard_owner (m, now, s->number);
  bool self_elected = elected != NULL && rr_membership_is_self (m, elected);
  struct rr_error err = { 0 };
  if (rr_shard_log_is_owner (s->log))
    {
      if (elected != NULL && !self_elected)
        rr_shard_log_release (s->log, elected->info.name, now,
                              daemon_wall_ms (), &err);
      else if (d->stopping)
        rr_shard_log_release (s->log, "", now, daemon_wall_ms (), &err);
      return;
    }
  if (!self_elected || rr_shard_log_state (s->log) != RR_SHARD_IDLE)
    {
      s->elected_since.ms = 0;
      return;
    }
  if (s->elected_since.ms == 0)
    s->elected_since = now;
  bool store_lost = false;
  bool claimed = claimed_by_peer (ss, s->number, claimant, sizeof claimant,
                                  &store_lost);
  int64_t wait_ms = claimed ? ELECTION_WAIT_LIVE_OWNER_MS : ELECTION_WAIT_MS;
  if ((claimed && !store_lost)
      || rr_time_diff (now, s->elected_since) < wait_ms)
    return;
  s->elected_since = now;
  rr_shard_log_take_over (s->log, now, daemon_wall_ms (), &err);
}

/* Queues the records that remove old finished jobs and old requests.  */
static void
expired_records_append (struct shard *s)
{
  struct rr_shard_state *data = rr_shard_log_shard_state (s->log);
  struct rr_job_retention retention
      = { .max_finished = FINISHED_JOBS_MAX,
          .max_age_ms = FINISHED_JOBS_MAX_AGE_MS };
  struct rr_record records[EXPIRED_BATCH_SIZE];
  size_t n = rr_job_store_expired (data->jobs, &retention, daemon_wall_ms (),
                                   records, EXPIRED_BATCH_SIZE);
  for (size_t i = 0; i < n; i++)
    shard_append (s, &records[i],
                  pending_add (s->ss, PENDING_RECORD, NULL, ""), NULL);
  struct rr_record record;
  if (rr_request_log_expired (data->requests,
                              s->ss->d->settings.request_retention_ms,
                              daemon_wall_ms (), &record))
    shard_append (s, &record, pending_add (s->ss, PENDING_RECORD, NULL, ""),
                  NULL);
}

static void
on_tick (uv_timer_t *timer)
{
  struct shards *ss = timer->data;
  struct rr_time now = daemon_now ();
  for (uint32_t i = 0; i < RR_SHARD_COUNT; i++)
    {
      struct shard *s = &ss->shard[i];
      election_tick (s, now);
      shard_outputs_process (s);
      if (!rr_shard_log_is_owner (s->log))
        continue;
      bool due = !rr_time_before (now, s->next_scan);
      if (due)
        {
          s->next_scan = rr_time_add (now, SCAN_INTERVAL_MS);
          if (!rr_time_before (now, s->next_expiry))
            {
              s->next_expiry = rr_time_add (now, EXPIRY_INTERVAL_MS);
              expired_records_append (s);
            }
        }
      if (due || s->scan_needed)
        {
          s->scan_needed = false;
          shard_scan (s, now);
        }
      shard_outputs_process (s);
    }
}

static void
ownership_confirm_all (struct shards *ss)
{
  struct rr_time now = daemon_now ();
  for (uint32_t i = 0; i < RR_SHARD_COUNT; i++)
    if (rr_shard_log_is_owner (ss->shard[i].log))
      {
        rr_shard_log_confirm (ss->shard[i].log, now);
        shard_outputs_process (&ss->shard[i]);
      }
}

static void
handle_rpc (struct shards *ss, const struct message_rpc_request *q)
{
  switch (q->procedure)
    {
    case REQUEST_GRANT:
      shards_grant_answer (ss, q);
      break;
    case REQUEST_RESULT:
      shards_result_answer (ss, q);
      break;
    case TASK_ENDED:
      shards_task_ended (ss, q);
      break;
    default:
      shards_job_answer (ss, q);
      break;
    }
}

/* Handles one message sent to the shards actor.  */
void
shards_handle (void *state, struct message *m)
{
  struct shards *ss = state;
  switch (m->type)
    {
    case MESSAGE_RPC_REQUEST:
      handle_rpc (ss, &m->u.rpc_request);
      break;
    case MESSAGE_GRANT_REQUEST:
      shards_grant_request (ss, request_take (m));
      break;
    case MESSAGE_GRANT_RESULT:
      shards_result_send (ss, request_take (m));
      break;
    case MESSAGE_CONFIG_CHANGED:
      shards_policy_update (ss);
      for (uint32_t i = 0; i < RR_SHARD_COUNT; i++)
        if (rr_shard_log_is_owner (ss->shard[i].log))
          shards_sync_config (&ss->shard[i]);
      break;
    case MESSAGE_PAUSED:
      ownership_confirm_all (ss);
      break;
    case MESSAGE_STOP:
      for (uint32_t i = 0; i < RR_SHARD_COUNT; i++)
        ss->handovers_left += rr_shard_log_is_owner (ss->shard[i].log);
      break;
    default:
      message_rpc_done_run (m);
      break;
    }
}

/* Creates the shards actor, which takes over the shards for which this daemon
   is elected and schedules their jobs.  */
struct shards *
shards_open (struct daemon *d, struct rr_error *err)
{
  (void)err;
  struct shards *ss = calloc (1, sizeof *ss);
  assert (ss != NULL);
  ss->d = d;
  ss->pending = rr_table_new (sizeof (struct pending));
  ss->busy = rr_table_new (sizeof (struct busy_task));
  ss->busy_index = rr_key_index_new ();
  for (uint32_t i = 0; i < RR_SHARD_COUNT; i++)
    {
      struct shard *s = &ss->shard[i];
      struct rr_shard_log_options options = { .shard = i,
                                              .incarnation = d->incarnation,
                                              .seed = gsl_rng_get (d->rng) };
      snprintf (options.owner, sizeof options.owner, "%s", d->settings.name);
      s->ss = ss;
      s->number = i;
      s->log = rr_shard_log_new (&options);
    }
  rr_policy_init (&ss->policy);
  struct rr_time now = daemon_now ();
  rr_pacer_init_restarts (&ss->restarts, &ss->policy, now);
  rr_pacer_init_cancels (&ss->cancels, &ss->policy, now);
  uv_timer_init (d->loop, &ss->timer);
  ss->timer.data = ss;
  uv_timer_start (&ss->timer, on_tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS);
  return ss;
}

/* Fills in the owned shards of heartbeat H.  The array is static and valid
   until the next call.  */
void
shards_heartbeat_fill (struct shards *ss, peer_heartbeat *h)
{
  static peer_shard owned[RR_SHARD_COUNT];
  u_int n = 0;
  for (uint32_t i = 0; i < RR_SHARD_COUNT; i++)
    if (rr_shard_log_is_owner (ss->shard[i].log))
      owned[n++] = (peer_shard){ i, rr_shard_log_epoch (ss->shard[i].log) };
  h->shards.shards_len = n;
  h->shards.shards_val = owned;
}

/* Stores the name of the daemon that owns SHARD, as far as this daemon knows,
   in NAME.  Returns false if none is known.  */
bool
shards_owner (struct shards *ss, uint32_t shard, char *name, size_t size)
{
  if (rr_shard_log_is_owner (ss->shard[shard].log))
    {
      snprintf (name, size, "%s", ss->d->settings.name);
      return true;
    }
  bool store_lost;
  return claimed_by_peer (ss, shard, name, size, &store_lost);
}

static const char *
state_name (enum rr_shard_log_state state)
{
  switch (state)
    {
    case RR_SHARD_IDLE:
      return "foreign";
    case RR_SHARD_TAKING_OVER:
      return "taking";
    case RR_SHARD_OWNER:
      return "owned";
    case RR_SHARD_RELEASING:
      return "releasing";
    case RR_SHARD_HALTED:
      return "halted";
    }
  return "invalid";
}

/* Fills in OUT for SHARD.  Returns false if there is no such shard.  */
bool
shards_status_at (struct shards *ss, uint32_t shard, struct shard_status *out)
{
  if (shard >= RR_SHARD_COUNT)
    return false;
  memset (out, 0, sizeof *out);
  out->state = state_name (rr_shard_log_state (ss->shard[shard].log));
  out->epoch = rr_shard_log_epoch (ss->shard[shard].log);
  shards_owner (ss, shard, out->owner, sizeof out->owner);
  return true;
}

/* Returns whether this daemon owns no shard and is not releasing any.  */
bool
shards_all_released (const struct shards *ss)
{
  for (uint32_t i = 0; i < RR_SHARD_COUNT; i++)
    {
      enum rr_shard_log_state st = rr_shard_log_state (ss->shard[i].log);
      if (st == RR_SHARD_OWNER || st == RR_SHARD_RELEASING)
        return false;
    }
  return true;
}

/* Returns whether the hand-over of every shard owned when the shutdown began
   is recorded.  */
bool
shards_handed_over (const struct shards *ss)
{
  return ss->handovers_left == 0;
}

/* Gives up all shards without recording a hand-over, at the end of a shutdown
   that could not hand them over in time.  Records that are still queued end as
   lost or unknown.  */
void
shards_drop_all (struct shards *ss)
{
  for (uint32_t i = 0; i < RR_SHARD_COUNT; i++)
    {
      rr_shard_log_drop (ss->shard[i].log, daemon_now ());
      shard_outputs_process (&ss->shard[i]);
    }
}

/* Returns the text of the latest alarm, or null if there was none, and sets
   SINCE_MS to the wall-clock time at which it was raised.  */
const char *
shards_alarm (const struct shards *ss, int64_t *since_ms)
{
  *since_ms = ss->alarm_since_ms;
  return ss->alarm[0] == '\0' ? NULL : ss->alarm;
}
