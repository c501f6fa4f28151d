#include "rosemaryraild/config_keeper.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "rosemaryraild/charts.h"
#include "rosemaryraild/config_internal.h"
#include "rosemaryraild/peers.h"

enum
{
  /* A restored store is noticed after this time at the latest; reading the
     head more often would cost too much of 5 KB/s at 150 teams.  */
  WATCH_WAIT_MS = 10000,
  RETRY_MIN_MS = 200,
  RETRY_MAX_MS = 5000,
  PEER_TIMEOUT_MS = 2000,
  KEY_SIZE = 80
};

static const char head_key[] = "config/head";

/* Moves the keeper along its chart; an event that the state does not allow
   changes nothing.  */
void
config_event (struct config_keeper *k, int event)
{
  int next = rr_chart_next (k->chart.chart, k->state, event);
  if (next == RR_CHART_NONE || next == k->state)
    return;
  log_event (LOG_LEVEL_INFO, "config_state", "from=%s to=%s on=%s",
             rr_chart_state_name (k->chart.chart, k->state),
             rr_chart_state_name (k->chart.chart, next),
             rr_chart_event_name (k->chart.chart, event));
  k->state = next;
}

static void
set_alarm (struct config_keeper *k, const char *text)
{
  if (strcmp (k->alarm, text) == 0)
    return;
  snprintf (k->alarm, sizeof k->alarm, "%s", text);
  k->alarm_since_ms = daemon_wall_ms ();
  if (text[0] != '\0')
    log_event (LOG_LEVEL_ERROR, "alarm", "name=config detail=\"%s\"", text);
}

/* Puts CONFIG in force and takes over everything passed in.  A generation that
   is not above the present one is a broken invariant.  */
void
config_activate (struct config_keeper *k, struct rr_config *config,
                 struct rr_config_head *head, struct rr_config_parts *parts)
{
  assert (head->generation > k->head.generation);
  rr_config_free (k->config);
  rr_config_head_free (&k->head);
  rr_config_parts_free (&k->parts);
  k->config = config;
  k->head = *head;
  k->parts = *parts;
  memset (head, 0, sizeof *head);
  memset (parts, 0, sizeof *parts);
  set_alarm (k, "");
  metric_add (&k->d->metrics, METRIC_CONFIG_APPLIED, 1);
  metric_set (&k->d->metrics, METRIC_CONFIG_GENERATION, k->head.generation);
  log_event (LOG_LEVEL_INFO, "config_in_force", "generation=%lld digest=%s",
             (long long)k->head.generation, k->head.digest);
  daemon_broadcast (k->d, MESSAGE_CONFIG_CHANGED);
}

static void
fetch_end (struct config_keeper *k, bool adopted)
{
  struct config_fetch *f = k->fetch;
  k->fetch = NULL;
  rr_config_head_free (&f->head);
  rr_config_parts_free (&f->parts);
  free (f);
  config_event (k, adopted ? k->chart.parts_fetched : k->chart.parts_failed);
}

static void fetch_next (struct config_fetch *f);

static void
fetch_adopt (struct config_fetch *f)
{
  struct config_keeper *k = f->k;
  struct rr_config_errors errors = { 0 };
  struct rr_config *config
      = rr_config_join (&f->parts, rr_config_parameters (), &errors);
  if (config == NULL)
    {
      char *text = rr_config_errors_text (&errors);
      log_event (LOG_LEVEL_ERROR, "config_refused",
                 "generation=%lld reason=\"%s\"",
                 (long long)f->head.generation, text);
      free (text);
      set_alarm (k, "the stored configuration is not valid");
    }
  rr_config_errors_free (&errors);
  bool newer = f->head.generation > k->head.generation;
  if (config != NULL && newer)
    config_activate (k, config, &f->head, &f->parts);
  else
    rr_config_free (config);
  fetch_end (k, config != NULL);
}

/* Takes the text of the part being fetched; false when it does not match its
   digest.  */
static bool
fetch_take (struct config_fetch *f, const char *text, size_t length)
{
  struct rr_config_part *p = &f->parts.items[f->next];
  char digest[RR_CONFIG_DIGEST_SIZE];
  rr_config_text_digest (text, length, digest);
  if (strcmp (digest, p->digest) != 0)
    return false;
  p->text = malloc (length + 1);
  assert (p->text != NULL);
  memcpy (p->text, text, length);
  p->text[length] = '\0';
  p->length = length;
  f->next++;
  return true;
}

static void
on_part_read (void *data, const struct platform_result *r)
{
  struct config_fetch *f = data;
  if (r->state == PLATFORM_OK && fetch_take (f, r->value, r->length))
    fetch_next (f);
  else
    fetch_end (f->k, false);
}

static void
on_part_from_peer (void *data, enum rpc_call_state state, const char *result,
                   size_t length)
{
  struct config_fetch *f = data;
  peer_text t = { 0 };
  bool taken = state == RPC_CALL_ANSWERED
               && xdr_decode ((xdrproc_t)xdr_peer_text, &t, result, length)
               && fetch_take (f, t.text.text_val, t.text.text_len);
  xdr_free ((xdrproc_t)xdr_peer_text, &t);
  if (taken)
    fetch_next (f);
  else
    fetch_end (f->k, false);
}

static const struct rr_config_part *
part_by_digest (const struct rr_config_parts *parts, const char *digest)
{
  for (size_t i = 0; i < parts->count; i++)
    if (strcmp (parts->items[i].digest, digest) == 0)
      return &parts->items[i];
  return NULL;
}

/* Fetches the next part that is not in force already.  */
static void
fetch_next (struct config_fetch *f)
{
  struct config_keeper *k = f->k;
  while (f->next < f->parts.count)
    {
      struct rr_config_part *p = &f->parts.items[f->next];
      const struct rr_config_part *have
          = part_by_digest (&k->parts, p->digest);
      if (have == NULL || !fetch_take (f, have->text, have->length))
        break;
    }
  if (f->next == f->parts.count)
    {
      fetch_adopt (f);
      return;
    }
  const char *digest = f->parts.items[f->next].digest;
  if (f->peer[0] == '\0')
    {
      char key[KEY_SIZE];
      snprintf (key, sizeof key, "config/part/%s", digest);
      platform_get (k->d->platform, key, on_part_read, f);
      return;
    }
  peer_text args = { .text = { .text_len = (u_int)strlen (digest),
                               .text_val = (char *)digest } };
  daemon_call (k->d, &k->d->config_actor, f->peer, CONFIG_PART,
               (xdrproc_t)xdr_peer_text, &args, PEER_TIMEOUT_MS,
               on_part_from_peer, f);
}

static void
fetch_start (struct config_keeper *k, struct rr_config_head *head,
             const char *peer)
{
  struct config_fetch *f = calloc (1, sizeof *f);
  assert (f != NULL);
  f->k = k;
  f->head = *head;
  memset (head, 0, sizeof *head);
  snprintf (f->peer, sizeof f->peer, "%s", peer);
  f->parts.count = f->head.part_count;
  f->parts.items = calloc (f->parts.count + 1, sizeof *f->parts.items);
  assert (f->parts.items != NULL);
  for (size_t i = 0; i < f->parts.count; i++)
    {
      snprintf (f->parts.items[i].name, sizeof f->parts.items[i].name, "%s",
                f->head.parts[i].name);
      snprintf (f->parts.items[i].digest, sizeof f->parts.items[i].digest,
                "%s", f->head.parts[i].digest);
    }
  k->fetch = f;
  config_event (k, k->chart.head_higher);
  fetch_next (f);
}

static struct rr_config_id
id_of (const struct rr_config_head *head)
{
  struct rr_config_id id = { .generation = (uint64_t)head->generation };
  snprintf (id.digest, sizeof id.digest, "%s", head->digest);
  return id;
}

/* Looks at a head that the store (PEER empty) or a peer offers and starts to
   fetch the configuration when it is newer.  An empty text stands for no
   configuration at all.  */
struct rr_config_decision
config_evaluate_head (struct config_keeper *k, const char *text, size_t length,
                      const char *peer)
{
  struct rr_config_head head = { 0 };
  struct rr_error err = { 0 };
  if (length > 0 && !rr_config_head_parse (text, length, &head, &err))
    {
      log_event (LOG_LEVEL_WARN, "config_head_refused",
                 "source=%s reason=\"%s\"", peer[0] == '\0' ? "store" : peer,
                 err.message);
      return (struct rr_config_decision){ .verdict = RR_CONFIG_IGNORE };
    }
  struct rr_config_id ours = id_of (&k->head);
  struct rr_config_id theirs = id_of (&head);
  struct rr_config_decision decision = rr_config_evaluate_offer (
      &ours, &theirs,
      peer[0] == '\0' ? RR_CONFIG_FROM_STORE : RR_CONFIG_FROM_PEER);
  switch (decision.verdict)
    {
    case RR_CONFIG_CURRENT:
      if (peer[0] == '\0')
        {
          set_alarm (k, "");
          config_event (k, k->chart.fork_resolved);
        }
      break;
    case RR_CONFIG_ADOPT:
      if (k->fetch == NULL)
        fetch_start (k, &head, peer);
      break;
    case RR_CONFIG_IGNORE:
      if (decision.write_back)
        metric_add (&k->d->metrics, METRIC_CONFIG_IGNORED, 1);
      break;
    case RR_CONFIG_FORK:
      metric_add (&k->d->metrics, METRIC_CONFIG_IGNORED, 1);
      config_event (k, k->chart.head_fork);
      set_alarm (k, "a different configuration with the accepted generation "
                    "exists");
      break;
    }
  rr_config_head_free (&head);
  return decision;
}

static void watch (struct config_keeper *k);

static void
on_retry (uv_timer_t *timer)
{
  watch (timer->data);
}

static void
watch_later (struct config_keeper *k)
{
  int64_t most = RETRY_MIN_MS << (k->failures < 5 ? k->failures : 5);
  if (most > RETRY_MAX_MS)
    most = RETRY_MAX_MS;
  k->failures++;
  double part = 0.5 + 0.5 * gsl_rng_uniform (k->d->rng);
  uv_timer_start (&k->timer, on_retry, (uint64_t)((double)most * part), 0);
}

static void
on_watch (void *data, const struct platform_result *r)
{
  struct config_keeper *k = data;
  switch (r->state)
    {
    case PLATFORM_OK:
    case PLATFORM_NOT_FOUND:
      {
        k->failures = 0;
        /* The revision of an absent head is the store's, which grows with
           every other write.  */
        bool moved
            = r->state == PLATFORM_OK && r->revision != k->store_revision;
        k->store_revision = r->state == PLATFORM_OK ? r->revision : 0;
        struct rr_config_decision decision = config_evaluate_head (
            k, r->value, r->state == PLATFORM_OK ? r->length : 0, "");
        if (decision.write_back && k->apply == NULL)
          {
            config_event (k, k->chart.store_behind);
            config_write_back (k);
          }
        /* Waits a moment when the store keeps answering the same.  */
        if (moved)
          watch (k);
        else
          watch_later (k);
        break;
      }
    case PLATFORM_UNCHANGED:
      /* The head is read again: a store restored to an older state has a lower
         revision, which no watch reports.  */
      k->failures = 0;
      k->store_revision = 0;
      watch (k);
      break;
    case PLATFORM_CONFLICT:
    case PLATFORM_NOT_SENT:
    case PLATFORM_UNKNOWN:
      /* After a lost watch the head is read again: its events may be
         missing.  */
      k->store_revision = 0;
      watch_later (k);
      break;
    }
}

/* Opens the one watch of this daemon, or reads the head when its revision is
   not known.  */
static void
watch (struct config_keeper *k)
{
  if (k->store_revision == 0)
    platform_get (k->d->platform, head_key, on_watch, k);
  else
    platform_watch (k->d->platform, head_key, k->store_revision, WATCH_WAIT_MS,
                    on_watch, k);
}

static void
on_peer_head (void *data, enum rpc_call_state state, const char *result,
              size_t length)
{
  struct config_keeper *k = data;
  peer_config_head h = { 0 };
  if (state == RPC_CALL_ANSWERED
      && xdr_decode ((xdrproc_t)xdr_peer_config_head, &h, result, length))
    {
      config_evaluate_head (k, h.text.text_val, h.text.text_len, h.from);
      xdr_free ((xdrproc_t)xdr_peer_config_head, &h);
    }
}

static void
ask_peer (struct config_keeper *k, const char *peer)
{
  peer_config_head args = { .from = k->d->settings.name };
  daemon_call (k->d, &k->d->config_actor, peer, CONFIG_HEAD,
               (xdrproc_t)xdr_peer_config_head, &args, PEER_TIMEOUT_MS,
               on_peer_head, k);
}

static void
answer_head (struct config_keeper *k, const struct message_rpc_request *q)
{
  peer_config_head in = { 0 };
  if (!xdr_decode ((xdrproc_t)xdr_peer_config_head, &in, q->args, q->length))
    {
      daemon_reject (k->d, &q->origin);
      return;
    }
  if (in.text.text_len > 0)
    config_evaluate_head (k, in.text.text_val, in.text.text_len, in.from);
  xdr_free ((xdrproc_t)xdr_peer_config_head, &in);
  char *text = k->head.generation == 0 ? NULL : rr_config_head_text (&k->head);
  peer_config_head out = {
    .from = k->d->settings.name,
    .text = { .text_len = text == NULL ? 0 : (u_int)strlen (text),
              .text_val = text },
  };
  daemon_reply (k->d, &q->origin, (xdrproc_t)xdr_peer_config_head, &out);
  free (text);
}

static void
answer_part (struct config_keeper *k, const struct message_rpc_request *q)
{
  peer_text in = { 0 };
  if (!xdr_decode ((xdrproc_t)xdr_peer_text, &in, q->args, q->length))
    {
      daemon_reject (k->d, &q->origin);
      return;
    }
  char digest[RR_CONFIG_DIGEST_SIZE];
  snprintf (digest, sizeof digest, "%.*s", (int)in.text.text_len,
            in.text.text_val);
  xdr_free ((xdrproc_t)xdr_peer_text, &in);
  const struct rr_config_part *p = part_by_digest (&k->parts, digest);
  peer_text out = { 0 };
  if (p != NULL)
    {
      out.text.text_val = p->text;
      out.text.text_len = (u_int)p->length;
    }
  daemon_reply (k->d, &q->origin, (xdrproc_t)xdr_peer_text, &out);
}

/* Handles one message to the configuration actor.  */
void
config_keeper_handle (void *state, struct message *m)
{
  struct config_keeper *k = state;
  switch (m->type)
    {
    case MESSAGE_RPC_REQUEST:
      if (m->u.rpc_request.procedure == CONFIG_HEAD)
        answer_head (k, &m->u.rpc_request);
      else
        answer_part (k, &m->u.rpc_request);
      break;
    case MESSAGE_CONFIG_HINT:
      if (k->fetch == NULL && m->u.config_hint.generation > k->head.generation)
        ask_peer (k, m->u.config_hint.peer);
      break;
    case MESSAGE_CONFIG_APPLY:
      {
        struct apply *a = m->u.apply;
        m->u.apply = NULL;
        config_apply (k, a);
        break;
      }
    default:
      message_rpc_done_run (m);
      break;
    }
}

static bool
load_chart (struct config_keeper *k, struct rr_error *err)
{
  struct config_chart *c = &k->chart;
  const struct rr_chart_name states[]
      = { { "none", &c->none },
          { "fetching_first", &c->fetching_first },
          { "in_force", &c->in_force },
          { "fetching", &c->fetching },
          { "forked", &c->forked },
          { "writing_back", &c->writing_back },
          { NULL, NULL } };
  const struct rr_chart_name events[]
      = { { "head_higher", &c->head_higher },
          { "head_fork", &c->head_fork },
          { "store_behind", &c->store_behind },
          { "parts_fetched", &c->parts_fetched },
          { "parts_failed", &c->parts_failed },
          { "written_back", &c->written_back },
          { "write_failed", &c->write_failed },
          { "fork_resolved", &c->fork_resolved },
          { NULL, NULL } };
  c->chart = chart_load_file (k->d->settings.chart_directory, "config", err);
  return c->chart != NULL && rr_chart_bind_states (c->chart, states, err)
         && rr_chart_bind_events (c->chart, events, err);
}

/* Creates the actor that keeps the configuration and starts its watch.
   Returns null with ERR when its state chart is unusable.  */
struct config_keeper *
config_keeper_open (struct daemon *d, struct rr_error *err)
{
  struct config_keeper *k = calloc (1, sizeof *k);
  assert (k != NULL);
  k->d = d;
  if (!load_chart (k, err))
    {
      free (k);
      return NULL;
    }
  k->state = rr_chart_initial (k->chart.chart);
  k->config = calloc (1, sizeof *k->config);
  assert (k->config != NULL);
  uv_timer_init (d->loop, &k->timer);
  k->timer.data = k;
  watch (k);
  return k;
}

/* Returns the configuration in force; an empty one before the first.  */
const struct rr_config *
config_keeper_config (const struct config_keeper *k)
{
  return k->config;
}

/* Returns the generation in force; 0 before the first.  */
int64_t
config_keeper_generation (const struct config_keeper *k)
{
  return k->head.generation;
}

/* Returns the digest of the configuration in force; empty before the first. */
const char *
config_keeper_digest (const struct config_keeper *k)
{
  return k->head.digest;
}

/* Returns the alarm's text or null, and since when (wall clock) it stands.  */
const char *
config_keeper_alarm (const struct config_keeper *k, int64_t *since_ms)
{
  *since_ms = k->alarm_since_ms;
  return k->alarm[0] == '\0' ? NULL : k->alarm;
}

/* Returns the parts in force.  */
const struct rr_config_parts *
config_keeper_parts (const struct config_keeper *k)
{
  return &k->parts;
}
