#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "rosemaryraild/config_internal.h"
#include "rosemaryraild/peers.h"

enum
{
  KEY_SIZE = 80,
  TELL_TIMEOUT_MS = 1000
};

static const char head_key[] = "config/head";

/* Ends the apply in progress with what A says.  */
static void
finish (struct config_keeper *k)
{
  struct apply *a = k->apply;
  k->apply = NULL;
  rr_config_parts_free (&k->apply_parts);
  rr_config_head_free (&k->apply_head);
  memset (&k->apply_parts, 0, sizeof k->apply_parts);
  memset (&k->apply_head, 0, sizeof k->apply_head);
  if (a->err.code != RR_OK)
    {
      a->generation = k->head.generation;
      if (a->err.code == RR_ERROR_CONFLICT)
        metric_add (&k->d->metrics, METRIC_CONFIG_CONFLICTS, 1);
      log_event (LOG_LEVEL_INFO, "apply_refused", "reason=\"%s\"",
                 a->err.message);
    }
  struct message m = { .type = MESSAGE_CONFIG_APPLIED };
  m.u.apply = a;
  daemon_send (k->d, &k->d->front_actor, &m);
}

static void
fail (struct config_keeper *k, enum rr_error_code code, const char *text)
{
  rr_error_set (&k->apply->err, code, "%s", text);
  finish (k);
}

static void
lose_race (struct config_keeper *k)
{
  struct apply *a = k->apply;
  a->diff = rr_config_diff (k->config, a->config);
  fail (k, RR_ERROR_CONFLICT,
        "another configuration was applied first; nothing of this one is in "
        "force");
}

static void
on_peer_told (void *data, enum rpc_call_state state, const char *result,
              size_t length)
{
  (void)state;
  (void)result;
  (void)length;
  struct config_keeper *k = data;
  assert (k->apply_peers > 0);
  if (--k->apply_peers == 0)
    finish (k);
}

/* Sends the head in force to every live daemon, so that it outlives this one
   even if the store goes away now.  COUNT receives the number of calls.  */
void
config_publish_head (struct config_keeper *k, rpc_done_fn *done,
                     unsigned *count)
{
  struct rr_membership *m = peers_membership (k->d->peers);
  struct rr_time now = daemon_now ();
  char *text = rr_config_head_text (&k->head);
  peer_config_head args
      = { .from = k->d->settings.name,
          .text = { .text_len = (u_int)strlen (text), .text_val = text } };
  *count = 0;
  for (size_t i = 0; i < rr_membership_count (m); i++)
    {
      const struct rr_member *member = rr_membership_at (m, now, i);
      if (member->info.role != RR_ROLE_ENTRY || !member->alive
          || rr_membership_is_self (m, member))
        continue;
      (*count)++;
      daemon_call (k->d, &k->d->config_actor, member->info.name, CONFIG_HEAD,
                   (xdrproc_t)xdr_peer_config_head, &args, TELL_TIMEOUT_MS,
                   done, k);
    }
  free (text);
}

/* The store holds our head.  */
static void
take_acceptance (struct config_keeper *k, uint64_t revision)
{
  struct apply *a = k->apply;
  k->store_revision = revision;
  a->generation = k->apply_head.generation;
  snprintf (a->digest, sizeof a->digest, "%s", k->apply_head.digest);
  struct rr_config *config = a->config;
  a->config = NULL;
  if (k->apply_head.generation <= k->head.generation)
    {
      /* The watch saw our own write before its answer came.  */
      rr_config_free (config);
      finish (k);
      return;
    }
  config_event (k, k->chart.head_higher);
  config_activate (k, config, &k->apply_head, &k->apply_parts);
  config_event (k, k->chart.parts_fetched);
  config_publish_head (k, on_peer_told, &k->apply_peers);
  if (k->apply_peers == 0)
    finish (k);
}

static bool
is_our_head (const struct config_keeper *k, const char *text, size_t length)
{
  struct rr_config_head head = { 0 };
  struct rr_error err = { 0 };
  if (text == NULL || !rr_config_head_parse (text, length, &head, &err))
    return false;
  bool same = head.generation == k->apply_head.generation
              && strcmp (head.digest, k->apply_head.digest) == 0;
  rr_config_head_free (&head);
  return same;
}

/* The write of the head got no answer; R is the head read back.  */
static void
on_head_settled (void *data, const struct platform_result *r)
{
  struct config_keeper *k = data;
  if (r->state == PLATFORM_OK && is_our_head (k, r->value, r->length))
    take_acceptance (k, r->revision);
  else if (r->state == PLATFORM_OK && r->revision != k->apply_revision)
    {
      config_evaluate_head (k, r->value, r->length, "");
      lose_race (k);
    }
  else
    /* The write may still be on its way.  */
    fail (k, RR_ERROR_TIMEOUT,
          "the platform gave no answer; whether the configuration was "
          "accepted is unknown");
}

static void
on_head_written (void *data, const struct platform_result *r)
{
  struct config_keeper *k = data;
  switch (r->state)
    {
    case PLATFORM_OK:
      take_acceptance (k, r->revision);
      break;
    case PLATFORM_CONFLICT:
      if (is_our_head (k, r->value, r->length))
        take_acceptance (k, r->revision);
      else
        {
          config_evaluate_head (k, r->value, r->length, "");
          lose_race (k);
        }
      break;
    case PLATFORM_NOT_SENT:
      fail (k, RR_ERROR_UNAVAILABLE,
            "the platform can't be reached; nothing was applied");
      break;
    default:
      platform_get (k->d->platform, head_key, on_head_settled, k);
      break;
    }
}

static void write_next_part (struct config_keeper *k);

static void
on_part_written (void *data, const struct platform_result *r)
{
  struct config_keeper *k = data;
  /* A conflict means that the part is there: its key is its content.  */
  if (r->state != PLATFORM_OK && r->state != PLATFORM_CONFLICT)
    {
      fail (k, RR_ERROR_UNAVAILABLE,
            "the platform did not store a part; nothing was applied");
      return;
    }
  k->apply_part++;
  write_next_part (k);
}

static bool
part_in_force (const struct config_keeper *k, const char *digest)
{
  for (size_t i = 0; i < k->parts.count; i++)
    if (strcmp (k->parts.items[i].digest, digest) == 0)
      return true;
  return false;
}

static void
write_next_part (struct config_keeper *k)
{
  while (k->apply_part < k->apply_parts.count
         && part_in_force (k, k->apply_parts.items[k->apply_part].digest))
    k->apply_part++;
  if (k->apply_part < k->apply_parts.count)
    {
      const struct rr_config_part *p = &k->apply_parts.items[k->apply_part];
      char key[KEY_SIZE];
      snprintf (key, sizeof key, "config/part/%s", p->digest);
      platform_put (k->d->platform, key, p->text, p->length, 0,
                    on_part_written, k);
      return;
    }
  char *text = rr_config_head_text (&k->apply_head);
  platform_put (k->d->platform, head_key, text, strlen (text),
                k->apply_revision, on_head_written, k);
  free (text);
}

/* R is the head as the store has it now.  */
static void
on_head_read (void *data, const struct platform_result *r)
{
  struct config_keeper *k = data;
  struct apply *a = k->apply;
  if (r->state != PLATFORM_OK && r->state != PLATFORM_NOT_FOUND)
    {
      fail (k, RR_ERROR_UNAVAILABLE,
            "the platform can't be reached; nothing was applied");
      return;
    }
  bool found = r->state == PLATFORM_OK;
  /* The watch moves store_revision on while this apply writes its parts; the
     head may replace only the one that was read here.  */
  k->apply_revision = found ? r->revision : 0;
  struct rr_config_decision decision
      = config_evaluate_head (k, r->value, found ? r->length : 0, "");
  if (decision.verdict == RR_CONFIG_ADOPT || decision.verdict == RR_CONFIG_FORK
      || (a->expect >= 0 && a->expect != k->head.generation))
    {
      lose_race (k);
      return;
    }
  rr_config_split (a->config, &k->apply_parts);
  rr_config_head_build (&k->apply_parts, k->head.generation + 1,
                        k->head.digest, &k->apply_head);
  if (strcmp (k->apply_head.digest, k->head.digest) == 0 || a->dry_run)
    {
      a->generation = k->head.generation;
      snprintf (a->digest, sizeof a->digest, "%s", k->apply_head.digest);
      a->diff = rr_config_diff (k->config, a->config);
      finish (k);
      return;
    }
  k->apply_part = 0;
  write_next_part (k);
}

/* Applies A->config as a whole and answers the front with
   MESSAGE_CONFIG_APPLIED. Nothing of it is in force unless the store accepted
   its head.  */
void
config_apply (struct config_keeper *k, struct apply *a)
{
  if (k->apply != NULL)
    {
      rr_error_set (&a->err, RR_ERROR_CONFLICT,
                    "this daemon is applying another configuration");
      a->generation = k->head.generation;
      struct message m = { .type = MESSAGE_CONFIG_APPLIED };
      m.u.apply = a;
      daemon_send (k->d, &k->d->front_actor, &m);
      return;
    }
  k->apply = a;
  platform_get (k->d->platform, head_key, on_head_read, k);
}

/* Parts and head that are written back to a store that lost them.  */
struct write_back
{
  struct config_keeper *k;
  size_t part;
  uint64_t revision;
};

static void write_back_next (struct write_back *w);

static void
on_written_back (void *data, const struct platform_result *r)
{
  struct write_back *w = data;
  struct config_keeper *k = w->k;
  bool head = w->part == k->parts.count;
  bool ok
      = r->state == PLATFORM_OK || (!head && r->state == PLATFORM_CONFLICT);
  if (ok && !head)
    {
      w->part++;
      write_back_next (w);
      return;
    }
  if (ok)
    log_event (LOG_LEVEL_WARN, "config_written_back", "generation=%lld",
               (long long)k->head.generation);
  config_event (k, ok ? k->chart.written_back : k->chart.write_failed);
  free (w);
}

static void
write_back_next (struct write_back *w)
{
  struct config_keeper *k = w->k;
  if (w->part < k->parts.count)
    {
      const struct rr_config_part *p = &k->parts.items[w->part];
      char key[KEY_SIZE];
      snprintf (key, sizeof key, "config/part/%s", p->digest);
      platform_put (k->d->platform, key, p->text, p->length, 0,
                    on_written_back, w);
      return;
    }
  w->part = k->parts.count;
  char *text = rr_config_head_text (&k->head);
  platform_put (k->d->platform, head_key, text, strlen (text), w->revision,
                on_written_back, w);
  free (text);
}

/* Writes the accepted configuration to a store that is behind it, for
   instance because it was restored from a backup.  */
void
config_write_back (struct config_keeper *k)
{
  struct write_back *w = calloc (1, sizeof *w);
  assert (w != NULL);
  w->k = k;
  w->revision = k->store_revision;
  write_back_next (w);
}
