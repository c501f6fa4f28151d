#include "rosemaryraild/platform.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/base64.h"
#include "common/json.h"

enum
{
  ANSWER_MAX_BYTES = 2000000, /* a 1 MB value as base64 in JSON */
  URL_MAX_BYTES = 512,
  WATCH_GRACE_MS = 2000 /* added to the wait before a watch counts as lost */
};

struct platform
{
  struct http_client *client;
  char address[64];
  uint16_t port;
  uint64_t timeout_ms;
  bool reachable;
  char vms_etag[80]; /* of the VM list read last; empty: none */
  struct platform_counters counters;
};

enum call_kind
{
  CALL_READ,
  CALL_WRITE,
  CALL_WATCH,
  CALL_VMS
};

struct platform_call
{
  struct platform *platform;
  enum call_kind kind;
  platform_done_fn *done;
  void *data;
};

/* Creates the adapter for the platform at ADDRESS and PORT; each call ends
   after TIMEOUT_MS at the latest.  It lives as long as the process.  */
struct platform *
platform_open (struct http_client *client, const char *address, uint16_t port,
               uint64_t timeout_ms)
{
  struct platform *p = calloc (1, sizeof *p);
  assert (p != NULL);
  p->client = client;
  snprintf (p->address, sizeof p->address, "%s", address);
  p->port = port;
  p->timeout_ms = timeout_ms;
  return p;
}

/* Fills OUT from the JSON answer; false when the answer has not the form of
   the protocol.  The decoded value is returned in BUFFER.  */
static bool
parse_answer (const struct http_result *r, struct platform_result *out,
              char **buffer)
{
  struct rr_error err = { 0 };
  struct json_object *o = json_parse (r->body, r->body_length, &err);
  if (o == NULL)
    return false;
  int64_t revision;
  bool ok = json_get_int (o, "revision", &revision, &err) && revision >= 0;
  if (ok)
    {
      out->revision = (uint64_t)revision;
      const char *text = json_string_or (o, "value", NULL);
      if (text != NULL)
        {
          ok = base64_decode (text, buffer, &out->length);
          out->value = *buffer;
        }
    }
  json_object_put (o);
  return ok;
}

static enum platform_state
state_from_status (enum call_kind kind, int status)
{
  switch (status)
    {
    case 200:
      return PLATFORM_OK;
    case 204:
    case 304:
      return PLATFORM_UNCHANGED;
    case 404:
      return PLATFORM_NOT_FOUND;
    case 409:
      return PLATFORM_CONFLICT;
    default:
      return kind == CALL_WRITE ? PLATFORM_UNKNOWN : PLATFORM_NOT_SENT;
    }
}

static void
on_done (void *data, const struct http_result *r)
{
  struct platform_call *call = data;
  struct platform *p = call->platform;
  struct platform_result out = { .state = PLATFORM_NOT_SENT };
  char *buffer = NULL;
  p->counters.bytes += r->body_length;
  if (r->state == HTTP_CALL_UNKNOWN)
    out.state = PLATFORM_UNKNOWN;
  else if (r->state == HTTP_CALL_ANSWERED)
    {
      out.state = state_from_status (call->kind, r->status);
      if (call->kind == CALL_VMS && out.state == PLATFORM_OK)
        {
          if (!http_result_header (r, "ETag", p->vms_etag, sizeof p->vms_etag))
            p->vms_etag[0] = '\0';
          out.value = r->body;
          out.length = r->body_length;
        }
      else if (call->kind != CALL_VMS
               && (out.state == PLATFORM_OK || out.state == PLATFORM_NOT_FOUND
                   || out.state == PLATFORM_CONFLICT)
               && !parse_answer (r, &out, &buffer))
        out.state = PLATFORM_UNKNOWN;
    }
  p->reachable
      = out.state != PLATFORM_NOT_SENT && out.state != PLATFORM_UNKNOWN;
  if (!p->reachable)
    p->counters.failures++;
  call->done (call->data, &out);
  free (buffer);
  free (call);
}

static void
start_call (struct platform *p, enum call_kind kind, const char *method,
            const char *url, const char *body, uint64_t timeout_ms,
            platform_done_fn *done, void *data)
{
  struct platform_call *call = calloc (1, sizeof *call);
  assert (call != NULL);
  *call = (struct platform_call){ p, kind, done, data };
  struct http_header type = { "Content-Type", "application/json" };
  struct http_header match = { "If-None-Match", p->vms_etag };
  bool conditional = kind == CALL_VMS && p->vms_etag[0] != '\0';
  struct http_call c = {
    .method = method,
    .url = url,
    .headers = conditional ? &match : &type,
    .header_count = conditional || body != NULL ? 1 : 0,
    .body = body,
    .body_length = body == NULL ? 0 : strlen (body),
    .timeout_ms = timeout_ms,
    .answer_max_bytes = ANSWER_MAX_BYTES,
    /* A resent write fails its compare-and-swap, so that it is safe.  */
    .idempotent = true,
  };
  p->counters.bytes += c.body_length;
  http_client_send (p->client, &c, on_done, call);
}

/* Reads KEY.  The result is OK with value and revision, or ABSENT.  */
void
platform_get (struct platform *p, const char *key, platform_done_fn *done,
              void *data)
{
  char url[URL_MAX_BYTES];
  snprintf (url, sizeof url, "http://%s:%u/kv/%s", p->address, p->port, key);
  p->counters.reads++;
  start_call (p, CALL_READ, "GET", url, NULL, p->timeout_ms, done, data);
}

/* Writes LENGTH bytes to KEY if its revision is EXPECT (0: absent).  The
   result is OK with the new revision, CONFLICT with the present value, or
   UNKNOWN when the write may or may not have taken effect.  */
void
platform_put (struct platform *p, const char *key, const char *value,
              size_t length, uint64_t expect, platform_done_fn *done,
              void *data)
{
  char url[URL_MAX_BYTES];
  snprintf (url, sizeof url, "http://%s:%u/kv/%s", p->address, p->port, key);
  char *text = base64_encode (value, length);
  struct json_object *o = json_object_new_object ();
  json_add_string (o, "value", text);
  json_add_int (o, "expect", (int64_t)expect);
  p->counters.writes++;
  start_call (p, CALL_WRITE, "PUT", url, json_text (o), p->timeout_ms, done,
              data);
  json_object_put (o);
  free (text);
}

/* Waits up to WAIT_MS until the revision of KEY is above AFTER.  The result is
   OK with the new value, or UNCHANGED.  */
void
platform_watch (struct platform *p, const char *key, uint64_t after,
                uint64_t wait_ms, platform_done_fn *done, void *data)
{
  char url[URL_MAX_BYTES];
  snprintf (url, sizeof url, "http://%s:%u/watch/%s?after=%llu&wait_ms=%llu",
            p->address, p->port, key, (unsigned long long)after,
            (unsigned long long)wait_ms);
  p->counters.watches++;
  start_call (p, CALL_WATCH, "GET", url, NULL, wait_ms + WATCH_GRACE_MS, done,
              data);
}

/* Reads the VM list; the result's value is the JSON text of the protocol, or
   the result is UNCHANGED since the last call.  */
void
platform_get_vm_list (struct platform *p, platform_done_fn *done, void *data)
{
  char url[URL_MAX_BYTES];
  snprintf (url, sizeof url, "http://%s:%u/vms", p->address, p->port);
  p->counters.reads++;
  start_call (p, CALL_VMS, "GET", url, NULL, p->timeout_ms, done, data);
}

/* Returns the totals of calls and of body bytes in both directions.  */
const struct platform_counters *
platform_counters_get (const struct platform *p)
{
  return &p->counters;
}

/* Tells whether the last call that ended reached the platform.  */
bool
platform_reachable (const struct platform *p)
{
  return p->reachable;
}
