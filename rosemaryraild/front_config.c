#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryraild/config_json.h"
#include "rosemaryraild/config_keeper.h"
#include "rosemaryraild/front_internal.h"
#include "rosemaryraild/peers.h"

enum
{
  CONFIRM_POLL_MS = 50,
  WAIT_MAX_MS = 60000,
  FILES_MAX = 64
};

/* Answers with the parts in force, each a valid configuration file.  */
void
front_get_config (struct front *f, struct http_exchange *x)
{
  struct config_keeper *k = f->d->config;
  const struct rr_config_parts *parts = config_keeper_parts (k);
  struct json_object *o = json_object_new_object ();
  json_add_int (o, "generation", config_keeper_generation (k));
  json_add_string (o, "digest", config_keeper_digest (k));
  struct json_object *files = json_object_new_array ();
  for (size_t i = 0; i < parts->count; i++)
    {
      struct json_object *file = json_object_new_object ();
      json_add_string (file, "name", parts->items[i].name);
      json_object_object_add (
          file, "text",
          json_object_new_string_len (parts->items[i].text,
                                      (int)parts->items[i].length));
      json_object_array_add (files, file);
    }
  json_object_object_add (o, "files", files);
  http_exchange_respond_json (x, 200, json_text (o));
  json_object_put (o);
}

static void
respond_errors (struct http_exchange *x, const struct rr_config_errors *errors)
{
  struct json_object *o = config_errors_json (errors, "the configuration");
  http_exchange_respond_json (x, 400, json_text (o));
  json_object_put (o);
}

/* Parses the files in the body; answers X itself when that fails.  */
static struct rr_config *
parse_files (struct http_exchange *x)
{
  struct rr_error err = { 0 };
  size_t length;
  const char *body = http_exchange_body (x, &length);
  struct json_object *o = json_parse (body, length, &err);
  struct json_object *list = NULL;
  if (o == NULL || !json_object_object_get_ex (o, "files", &list)
      || !json_object_is_type (list, json_type_array)
      || json_object_array_length (list) > FILES_MAX)
    {
      rr_error_set (&err, RR_ERROR_INVALID,
                    "the body must be {\"files\":[{\"name\",\"text\"}]} with "
                    "at most %d files",
                    FILES_MAX);
      http_exchange_respond_error (x, 400, &err);
      json_object_put (o);
      return NULL;
    }
  struct rr_config_file files[FILES_MAX];
  size_t n = json_object_array_length (list);
  for (size_t i = 0; i < n; i++)
    {
      struct json_object *file = json_object_array_get_idx (list, i);
      files[i].name = json_string_or (file, "name", "");
      files[i].text = json_string_or (file, "text", "");
      files[i].length = strlen (files[i].text);
    }
  struct rr_config_errors errors = { 0 };
  struct rr_config *c
      = rr_config_parse (files, n, rr_config_parameters (), &errors);
  if (c == NULL)
    respond_errors (x, &errors);
  rr_config_errors_free (&errors);
  json_object_put (o);
  return c;
}

static int64_t
query_int (const struct http_exchange *x, const char *name, int64_t fallback)
{
  char text[24];
  if (!http_exchange_query (x, name, text, sizeof text))
    return fallback;
  return strtoll (text, NULL, 10);
}

static void
send_apply (struct front *f, struct http_exchange *x, struct rr_config *c,
            int64_t expect)
{
  struct apply *a = calloc (1, sizeof *a);
  assert (a != NULL);
  a->config = c;
  a->expect = expect;
  a->dry_run = query_int (x, "dry_run", 0) != 0;
  a->wait_ms = query_int (x, "wait_ms", 0);
  if (a->wait_ms > WAIT_MAX_MS)
    a->wait_ms = WAIT_MAX_MS;
  a->token = front_add_exchange (f, x);
  struct message m = { .type = MESSAGE_CONFIG_APPLY };
  m.u.apply = a;
  daemon_send (f->d, &f->d->config_actor, &m);
}

/* Applies the configuration in the body as a whole.  */
void
front_put_config (struct front *f, struct http_exchange *x)
{
  int64_t expect = -1;
  const char *match = http_exchange_header (x, "If-Match");
  if (match != NULL)
    {
      char *end;
      if (*match == '"')
        match++;
      expect = strtoll (match, &end, 10);
      if (end == match || (*end != '\0' && *end != '"') || expect < 0)
        {
          front_respond_error (x, 400, RR_ERROR_INVALID,
                               "If-Match must be a generation");
          return;
        }
    }
  struct rr_config *c = parse_files (x);
  if (c == NULL)
    return;
  const struct config_keeper *k = f->d->config;
  if (config_keeper_generation (k) > 0)
    rr_config_inherit_drains (c, config_keeper_config (k));
  send_apply (f, x, c, expect);
}

/* Applies the configuration in force with VM drained, or no longer so.  */
void
front_drain (struct front *f, struct http_exchange *x, const char *vm,
             bool drained)
{
  struct config_keeper *k = f->d->config;
  struct rr_membership *m = peers_membership (f->d->peers);
  if (config_keeper_generation (k) == 0)
    {
      front_respond_error (x, 503, RR_ERROR_UNAVAILABLE,
                           "no configuration yet");
      return;
    }
  if (drained && rr_membership_find (m, daemon_now (), vm) == NULL)
    {
      front_respond_error (x, 404, RR_ERROR_NOT_FOUND, "no such VM");
      return;
    }
  struct rr_config *c
      = rr_config_with_drain (config_keeper_config (k), vm, drained);
  send_apply (f, x, c, config_keeper_generation (k));
}

/* An accepted configuration whose confirmations are awaited.  */
struct confirmation
{
  struct front *f;
  uv_timer_t timer;
  struct apply *a;
  struct rr_time until;
};

static size_t
list_confirmed (struct front *f, int64_t generation,
                struct json_object *confirmed, struct json_object *missing)
{
  struct rr_membership *m = peers_membership (f->d->peers);
  struct rr_time now = daemon_now ();
  size_t lacking = 0;
  for (size_t i = 0; i < rr_membership_count (m); i++)
    {
      const struct rr_member *member = rr_membership_at (m, now, i);
      if (member->info.role != RR_ROLE_ENTRY || member->state == RR_MEMBER_GONE
          || member->state == RR_MEMBER_DEAD)
        continue;
      bool has = rr_membership_is_self (m, member)
                     ? config_keeper_generation (f->d->config) >= generation
                     : (int64_t)member->config_generation >= generation;
      lacking += !has;
      json_object_array_add (has ? confirmed : missing,
                             json_object_new_string (member->info.name));
    }
  return lacking;
}

static void
respond_applied (struct front *f, struct http_exchange *x,
                 const struct apply *a)
{
  struct json_object *o = json_object_new_object ();
  struct json_object *confirmed = json_object_new_array ();
  struct json_object *missing = json_object_new_array ();
  json_add_int (o, "generation", a->generation);
  json_add_string (o, "digest", a->digest);
  if (!a->dry_run)
    list_confirmed (f, a->generation, confirmed, missing);
  json_object_object_add (o, "confirmed", confirmed);
  json_object_object_add (o, "missing", missing);
  if (a->diff != NULL)
    json_add_string (o, "diff", a->diff);
  http_exchange_respond_json (x, 200, json_text (o));
  json_object_put (o);
}

static void
on_confirmation_closed (uv_handle_t *h)
{
  free (h->data);
}

static void
on_confirmation_poll (uv_timer_t *timer)
{
  struct confirmation *c = timer->data;
  struct json_object *confirmed = json_object_new_array ();
  struct json_object *missing = json_object_new_array ();
  size_t lacking = list_confirmed (c->f, c->a->generation, confirmed, missing);
  json_object_put (confirmed);
  json_object_put (missing);
  if (lacking > 0 && rr_time_before (daemon_now (), c->until))
    return;
  struct http_exchange *x = front_take_exchange (c->f, c->a->token);
  respond_applied (c->f, x, c->a);
  apply_free (c->a);
  uv_close ((uv_handle_t *)timer, on_confirmation_closed);
}

static void
respond_refused (struct http_exchange *x, const struct apply *a)
{
  struct json_object *o = json_object_new_object ();
  struct json_object *e = json_object_new_object ();
  json_add_string (e, "code", rr_error_code_name (a->err.code));
  json_add_string (e, "message", a->err.message);
  json_object_object_add (o, "error", e);
  json_add_int (o, "generation", a->generation);
  if (a->diff != NULL)
    json_add_string (o, "diff", a->diff);
  http_exchange_respond_json (x, http_status_from_error (a->err.code),
                              json_text (o));
  json_object_put (o);
}

/* Answers the operator, after the other daemons confirmed if so asked.  */
void
front_config_applied (struct front *f, struct apply *a)
{
  if (a->err.code == RR_OK && a->wait_ms > 0 && !a->dry_run)
    {
      struct confirmation *c = calloc (1, sizeof *c);
      assert (c != NULL);
      c->f = f;
      c->a = a;
      c->until = rr_time_add (daemon_now (), a->wait_ms);
      uv_timer_init (f->d->loop, &c->timer);
      c->timer.data = c;
      uv_timer_start (&c->timer, on_confirmation_poll, 0, CONFIRM_POLL_MS);
      return;
    }
  struct http_exchange *x = front_take_exchange (f, a->token);
  if (a->err.code == RR_OK)
    respond_applied (f, x, a);
  else
    respond_refused (x, a);
  apply_free (a);
}
