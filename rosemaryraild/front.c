#include "rosemaryraild/front.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryraild/config_keeper.h"
#include "rosemaryraild/front_internal.h"
#include "rosemaryraild/peers.h"

/* Stores X until its response is available.  Returns the token that identifies
   it.  */
uint64_t
front_add_exchange (struct front *f, struct http_exchange *x)
{
  struct rr_handle h;
  struct http_exchange **slot = rr_table_insert (f->exchanges, &h);
  *slot = x;
  return rr_handle_pack (h);
}

/* Removes and returns the exchange identified by TOKEN, to which the caller
   must then respond.  Returns null if it was removed before.  */
struct http_exchange *
front_take_exchange (struct front *f, uint64_t token)
{
  struct rr_handle h = rr_handle_unpack (token);
  struct http_exchange **slot = rr_table_get (f->exchanges, h);
  if (slot == NULL)
    return NULL;
  struct http_exchange *x = *slot;
  rr_table_remove (f->exchanges, h);
  return x;
}

/* Responds to X with an error.  */
void
front_respond_error (struct http_exchange *x, int status,
                     enum rr_error_code code, const char *message)
{
  struct rr_error err = { 0 };
  rr_error_set (&err, code, "%s", message);
  http_exchange_respond_error (x, status, &err);
}

/* Returns whether PATH consists of PREFIX, a name without slashes and SUFFIX,
   and if so copies the name.  */
static bool
match_path (const char *path, const char *prefix, const char *suffix,
            char *name, size_t size)
{
  size_t prefix_length = strlen (prefix);
  size_t suffix_length = strlen (suffix);
  size_t n = strlen (path);
  if (n <= prefix_length + suffix_length
      || strncmp (path, prefix, prefix_length) != 0
      || strcmp (path + n - suffix_length, suffix) != 0)
    return false;
  size_t len = n - prefix_length - suffix_length;
  if (len >= size || memchr (path + prefix_length, '/', len) != NULL)
    return false;
  memcpy (name, path + prefix_length, len);
  name[len] = '\0';
  return true;
}

static void
respond_text (struct http_exchange *x, int status, const char *text)
{
  struct http_header type = { "content-type", "text/plain" };
  http_exchange_respond (x, status, &type, 1, text, strlen (text));
}

/* A daemon is ready if it has a configuration and is not shutting down.  */
static void
respond_ready (struct front *f, struct http_exchange *x)
{
  if (f->d->stopping)
    respond_text (x, 503, "stopping\n");
  else if (config_keeper_generation (f->d->config) == 0)
    respond_text (x, 503, "no configuration\n");
  else
    respond_text (x, 200, "ready\n");
}

static void
route_get (struct front *f, struct http_exchange *x, const char *path)
{
  char name[REQUEST_ID_SIZE];
  if (strcmp (path, "/healthz") == 0)
    respond_text (x, 200, "ok\n");
  else if (strcmp (path, "/readyz") == 0)
    respond_ready (f, x);
  else if (strcmp (path, "/metrics") == 0)
    front_get_metrics (f, x);
  else if (strcmp (path, "/v1/status") == 0)
    front_get_status (f, x);
  else if (strcmp (path, "/v1/histograms") == 0)
    front_get_histograms (f, x);
  else if (strcmp (path, "/v1/config") == 0)
    front_get_config (f, x);
  else if (strcmp (path, "/v1/jobs") == 0)
    front_list_jobs (f, x);
  else if (match_path (path, "/v1/jobs/", "/explain", name, sizeof name))
    front_get_job (f, x, name, "explain");
  else if (match_path (path, "/v1/jobs/", "", name, sizeof name))
    front_get_job (f, x, name, "");
  else
    front_respond_error (x, 404, RR_ERROR_NOT_FOUND, "no such resource");
}

static void
route_post (struct front *f, struct http_exchange *x, const char *path)
{
  char name[REQUEST_ID_SIZE];
  if (match_path (path, "/v1/services/", "", name, sizeof name))
    front_service_request (f, x, name);
  else if (strcmp (path, "/v1/jobs") == 0)
    front_submit_job (f, x);
  else if (match_path (path, "/v1/jobs/", "/cancel", name, sizeof name))
    front_cancel_job (f, x, name);
  else if (match_path (path, "/v1/vms/", "/drain", name, sizeof name))
    front_set_drain (f, x, name, true);
  else if (match_path (path, "/v1/vms/", "/undrain", name, sizeof name))
    front_set_drain (f, x, name, false);
  else
    front_respond_error (x, 404, RR_ERROR_NOT_FOUND, "no such resource");
}

static void
on_http_request (void *data, struct http_exchange *x)
{
  struct front *f = data;
  const char *method = http_exchange_method (x);
  const char *path = http_exchange_path (x);
  if (strcmp (method, "GET") == 0)
    route_get (f, x, path);
  else if (strcmp (method, "POST") == 0)
    route_post (f, x, path);
  else if (strcmp (method, "PUT") == 0 && strcmp (path, "/v1/config") == 0)
    front_put_config (f, x);
  else
    {
      metric_add (&f->d->metrics, METRIC_REQUESTS_BAD, 1);
      front_respond_error (x, 405, RR_ERROR_INVALID,
                           "method not allowed here");
    }
}

/* Handles one message to the front actor.  */
void
front_handle (void *state, struct message *m)
{
  struct front *f = state;
  switch (m->type)
    {
    case MESSAGE_REQUEST_DONE:
      front_request_done (f, request_take (m));
      break;
    case MESSAGE_GRANT_VERDICT:
      {
        enum peer_grant_verdict verdict = m->u.verdict.verdict;
        front_grant_verdict (f, request_take (m), verdict);
        break;
      }
    case MESSAGE_CONFIG_APPLIED:
      {
        struct apply *a = m->u.apply;
        m->u.apply = NULL;
        front_config_applied (f, a);
        break;
      }
    default:
      message_rpc_done_run (m);
      break;
    }
}

/* Opens the HTTP port for callers and operators.  Returns null and sets ERR if
   that fails.  */
struct front *
front_open (struct daemon *d, struct rr_error *err)
{
  struct front *f = calloc (1, sizeof *f);
  assert (f != NULL);
  f->d = d;
  f->exchanges = rr_table_new (sizeof (struct http_exchange *));
  struct http_server_limits limits
      = { .body_max_bytes = (size_t)d->settings.body_max_bytes,
          .request_timeout_ms = (uint64_t)d->settings.request_timeout_ms };
  f->server = http_server_open (d->loop, d->settings.http_address,
                                (uint16_t)d->settings.http_port, &limits,
                                on_http_request, f, err);
  if (f->server == NULL)
    {
      rr_table_free (f->exchanges);
      free (f);
      return NULL;
    }
  return f;
}

/* Returns the number of exchanges without a response yet.  */
size_t
front_in_progress_count (const struct front *f)
{
  return http_server_in_progress (f->server);
}

/* Stops accepting connections; requests in progress still get a response.  */
void
front_shutdown (struct front *f)
{
  http_server_shutdown (f->server);
}
