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
  PUBLISH_TIMEOUT_MS = 1000
};

static const char head_key[] = "config/head";

/* Ends the apply in progress and sends its result to the front actor.  */
static void
apply_finish (struct config_keeper *k)
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
apply_fail (struct config_keeper *k, enum rr_error_code code, const char *text)
{
  rr_error_set (&k->apply->err, code, "%s", text);
  apply_finish (k);
}

/* Fails the apply because another configuration was applied first, and adds
   the difference from the active configuration.  */
static void
apply_fail_conflict (struct config_keeper *k)
{
  struct apply *a = k->apply;
  a->diff = rr_config_diff (k->config, a->config);
  apply_fail (
      k, RR_ERROR_CONFLICT,
      "another configuration was applied first; nothing of this one is in "
      "force");
}

static void
on_peer_acknowledged (void *data, enum rpc_call_state state,
                      const char *result, size_t length)
{
  (void)state;
  (void)result;
  (void)length;
  struct config_keeper *k = data;
  assert (k->apply_pending_peers > 0);
  if (--k->apply_pending_peers == 0)
    apply_finish (k);
}

/* Sends the active head to all other live daemons, so that the configuration
   survives a failure of this daemon during a store outage.  COUNT receives the
   number of calls, for each of which DONE is called.  */
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
                   (xdrproc_t)xdr_peer_config_head, &args, PUBLISH_TIMEOUT_MS,
                   done, k);
    }
  free (text);
}

/* Activates the applied configuration, whose head the store now holds at
   REVISION.  */
static void
apply_accepted (struct config_keeper *k, uint64_t revision)
{
  struct apply *a = k->apply;
  k->store_revision = revision;
  a->generation = k->apply_head.generation;
  snprintf (a->digest, sizeof a->digest, "%s", k->apply_head.digest);
  struct rr_config *config = a->config;
  a->config = NULL;
  if (k->apply_head.generation <= k->head.generation)
    {
      /* The watch reported the write before the write's response arrived.  */
      rr_config_free (config);
      apply_finish (k);
      return;
    }
  config_handle_event (k, k->chart.head_higher);
  config_activate (k, config, &k->apply_head, &k->apply_parts);
  config_handle_event (k, k->chart.parts_fetched);
  config_publish_head (k, on_peer_acknowledged, &k->apply_pending_peers);
  if (k->apply_pending_peers == 0)
    apply_finish (k);
}

/* Returns whether TEXT is the head that the apply in progress writes.  */
static bool
is_apply_head (const struct config_keeper *k, const char *text, size_t length)
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

/* Determines from the current head R whether a write of the head that got no
   response took effect.  */
static void
on_head_reread (void *data, const struct platform_result *r)
{
  struct config_keeper *k = data;
  if (r->state == PLATFORM_OK && is_apply_head (k, r->value, r->length))
    apply_accepted (k, r->revision);
  else if (r->state == PLATFORM_OK && r->revision != k->apply_revision)
    {
      config_evaluate_head (k, r->value, r->length, "");
      apply_fail_conflict (k);
    }
  else
    /* The write may still take effect.  */
    apply_fail (k, RR_ERROR_TIMEOUT,
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
      apply_accepted (k, r->revision);
      break;
    case PLATFORM_CONFLICT:
      if (is_apply_head (k, r->value, r->length))
        apply_accepted (k, r->revision);
      else
        {
          config_evaluate_head (k, r->value, r->length, "");
          apply_fail_conflict (k);
        }
      break;
    case PLATFORM_NOT_SENT:
      apply_fail (k, RR_ERROR_UNAVAILABLE,
                  "the platform can't be reached; nothing was applied");
      break;
    default:
      platform_get (k->d->platform, head_key, on_head_reread, k);
      break;
    }
}

static void write_next_part (struct config_keeper *k);

static void
on_part_written (void *data, const struct platform_result *r)
{
  struct config_keeper *k = data;
  /* A conflict means that the part is stored already: its key contains the
     digest of its content.  */
  if (r->state != PLATFORM_OK && r->state != PLATFORM_CONFLICT)
    {
      apply_fail (k, RR_ERROR_UNAVAILABLE,
                  "the platform did not store a part; nothing was applied");
      return;
    }
  k->apply_next_part++;
  write_next_part (k);
}

static bool
part_is_active (const struct config_keeper *k, const char *digest)
{
  for (size_t i = 0; i < k->parts.count; i++)
    if (strcmp (k->parts.items[i].digest, digest) == 0)
      return true;
  return false;
}

/* Writes the next part that the active configuration does not contain; after
   the last one writes the head.  */
static void
write_next_part (struct config_keeper *k)
{
  while (
      k->apply_next_part < k->apply_parts.count
      && part_is_active (k, k->apply_parts.items[k->apply_next_part].digest))
    k->apply_next_part++;
  if (k->apply_next_part < k->apply_parts.count)
    {
      const struct rr_config_part *p
          = &k->apply_parts.items[k->apply_next_part];
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

/* Checks that the store's current head R is not newer than the active one and
   that the expected generation is active.  Then starts to write the new
   configuration, unless it is a dry run or nothing changed.  */
static void
on_head_read (void *data, const struct platform_result *r)
{
  struct config_keeper *k = data;
  struct apply *a = k->apply;
  if (r->state != PLATFORM_OK && r->state != PLATFORM_NOT_FOUND)
    {
      apply_fail (k, RR_ERROR_UNAVAILABLE,
                  "the platform can't be reached; nothing was applied");
      return;
    }
  bool found = r->state == PLATFORM_OK;
  /* The watch may update store_revision while this apply writes its parts, but
     the new head must replace only the head read here.  */
  k->apply_revision = found ? r->revision : 0;
  struct rr_config_decision decision
      = config_evaluate_head (k, r->value, found ? r->length : 0, "");
  if (decision.verdict == RR_CONFIG_ADOPT || decision.verdict == RR_CONFIG_FORK
      || (a->expect >= 0 && a->expect != k->head.generation))
    {
      apply_fail_conflict (k);
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
      apply_finish (k);
      return;
    }
  k->apply_next_part = 0;
  write_next_part (k);
}

/* Applies A->config atomically and sends the result to the front actor in
   MESSAGE_CONFIG_APPLIED.  The configuration becomes active only once the
   store has accepted its head.  */
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

/* Progress of writing the active configuration back to the store.  */
struct write_back
{
  struct config_keeper *k;
  size_t part;       /* next part; parts.count: the head */
  uint64_t revision; /* of the head to replace */
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
  config_handle_event (k, ok ? k->chart.written_back : k->chart.write_failed);
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

/* Writes the active configuration to a store that holds an older one, for
   example because the store was restored from a backup.  */
void
config_write_back (struct config_keeper *k)
{
  struct write_back *w = calloc (1, sizeof *w);
  assert (w != NULL);
  w->k = k;
  w->revision = k->store_revision;
  write_back_next (w);
}
