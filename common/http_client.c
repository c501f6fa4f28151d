#include "common/http_client.h"

#include <assert.h>
#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "common/call_timeout.h"

enum
{
  HEADERS_MAX_BYTES = 8192,
  CONNECTIONS_MAX = 1024,
  CONNECT_TIMEOUT_MS = 600000 /* longer than any call takes */
};

struct http_client
{
  uv_loop_t *loop;
  uv_timer_t timer;
  CURLM *multi;
};

/* One call in progress.  */
struct transfer
{
  struct http_client *client;
  CURL *easy;
  struct call_timeout timeout;
  struct curl_slist *headers;
  http_done_fn *done;
  void *data;
  char *response_body;
  size_t response_body_length;
  size_t response_body_max;
  char *response_headers; /* header lines as received */
  size_t response_headers_length;
  bool request_started;
};

/* A socket that libcurl wants to be polled.  */
struct watched_socket
{
  uv_poll_t poll;
  struct http_client *client;
  curl_socket_t fd;
};

static size_t
on_body (char *bytes, size_t size, size_t n, void *data)
{
  struct transfer *t = data;
  size_t len = size * n;
  if (t->response_body_length + len > t->response_body_max)
    return 0;
  char *grown = realloc (t->response_body, t->response_body_length + len + 1);
  assert (grown != NULL);
  memcpy (grown + t->response_body_length, bytes, len);
  t->response_body = grown;
  t->response_body_length += len;
  t->response_body[t->response_body_length] = '\0';
  return len;
}

static size_t
on_header (char *bytes, size_t size, size_t n, void *data)
{
  struct transfer *t = data;
  size_t len = size * n;
  if (t->response_headers_length + len > HEADERS_MAX_BYTES)
    return 0;
  char *grown
      = realloc (t->response_headers, t->response_headers_length + len + 1);
  assert (grown != NULL);
  memcpy (grown + t->response_headers_length, bytes, len);
  t->response_headers = grown;
  t->response_headers_length += len;
  t->response_headers[t->response_headers_length] = '\0';
  return len;
}

/* Called when the connection is ready, before the request is written.  */
static int
on_before_request (void *data, char *remote, char *local, int remote_port,
                   int local_port)
{
  (void)remote;
  (void)local;
  (void)remote_port;
  (void)local_port;
  ((struct transfer *)data)->request_started = true;
  return CURL_PREREQFUNC_OK;
}

static void
on_timeout_closed (void *data)
{
  free (data);
}

static void
transfer_finish (struct http_client *c, struct transfer *t, CURLcode rc)
{
  call_timeout_stop (&t->timeout);
  long status = 0;
  curl_easy_getinfo (t->easy, CURLINFO_RESPONSE_CODE, &status);
  struct http_result r = {
    .status = (int)status,
    .body = t->response_body == NULL ? "" : t->response_body,
    .body_length = t->response_body_length,
    .headers = t->response_headers == NULL ? "" : t->response_headers,
  };
  if (rc == CURLE_OK)
    r.state = HTTP_CALL_ANSWERED;
  else
    {
      r.state = t->request_started ? HTTP_CALL_UNKNOWN : HTTP_CALL_NOT_SENT;
      r.status = 0;
      r.reason = curl_easy_strerror (rc);
    }
  curl_multi_remove_handle (c->multi, t->easy);
  t->done (t->data, &r);
  curl_easy_cleanup (t->easy);
  curl_slist_free_all (t->headers);
  free (t->response_body);
  free (t->response_headers);
  call_timeout_close (&t->timeout, on_timeout_closed);
}

static bool
awaits_response (void *data, uint64_t *received)
{
  const struct transfer *t = data;
  *received = t->response_body_length + t->response_headers_length;
  return t->request_started;
}

static void
on_timeout (void *data)
{
  struct transfer *t = data;
  transfer_finish (t->client, t, CURLE_OPERATION_TIMEDOUT);
}

static const struct call_timeout_type timeout_type
    = { .awaits_answer = awaits_response, .expire = on_timeout };

static void
finish_completed_transfers (struct http_client *c)
{
  int left = 0;
  CURLMsg *m;
  while ((m = curl_multi_info_read (c->multi, &left)) != NULL)
    {
      if (m->msg != CURLMSG_DONE)
        continue;
      struct transfer *t = NULL;
      CURLcode rc = m->data.result;
      curl_easy_getinfo (m->easy_handle, CURLINFO_PRIVATE, &t);
      transfer_finish (c, t, rc);
    }
}

static void
on_timer (uv_timer_t *timer)
{
  struct http_client *c = timer->data;
  int running = 0;
  curl_multi_socket_action (c->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  finish_completed_transfers (c);
}

static int
on_timer_request (CURLM *multi, long ms, void *data)
{
  (void)multi;
  struct http_client *c = data;
  if (ms < 0)
    uv_timer_stop (&c->timer);
  else
    uv_timer_start (&c->timer, on_timer, (uint64_t)ms, 0);
  return 0;
}

static void
on_poll (uv_poll_t *poll, int status, int events)
{
  struct watched_socket *w = poll->data;
  struct http_client *c = w->client;
  int flags = 0;
  if (status < 0)
    flags = CURL_CSELECT_ERR;
  if (events & UV_READABLE)
    flags |= CURL_CSELECT_IN;
  if (events & UV_WRITABLE)
    flags |= CURL_CSELECT_OUT;
  int running = 0;
  curl_multi_socket_action (c->multi, w->fd, flags, &running);
  finish_completed_transfers (c);
}

static void
on_poll_closed (uv_handle_t *h)
{
  free (h->data);
}

static int
on_socket_request (CURL *easy, curl_socket_t fd, int what, void *data,
                   void *socket_data)
{
  (void)easy;
  struct http_client *c = data;
  struct watched_socket *w = socket_data;
  if (what == CURL_POLL_REMOVE)
    {
      if (w != NULL)
        {
          uv_poll_stop (&w->poll);
          uv_close ((uv_handle_t *)&w->poll, on_poll_closed);
          curl_multi_assign (c->multi, fd, NULL);
        }
      return 0;
    }
  if (w == NULL)
    {
      w = calloc (1, sizeof *w);
      assert (w != NULL);
      w->client = c;
      w->fd = fd;
      uv_poll_init_socket (c->loop, &w->poll, fd);
      w->poll.data = w;
      curl_multi_assign (c->multi, fd, w);
    }
  int events = 0;
  if (what != CURL_POLL_OUT)
    events |= UV_READABLE;
  if (what != CURL_POLL_IN)
    events |= UV_WRITABLE;
  uv_poll_start (&w->poll, events, on_poll);
  return 0;
}

/* Creates a client that runs on LOOP.  Returns null and sets ERR if libcurl
   can't be initialized.  The client is never freed.  */
struct http_client *
http_client_open (uv_loop_t *loop, struct rr_error *err)
{
  if (curl_global_init (CURL_GLOBAL_DEFAULT) != CURLE_OK)
    {
      rr_error_set (err, RR_ERROR_SYSTEM, "can't initialize libcurl");
      return NULL;
    }
  struct http_client *c = calloc (1, sizeof *c);
  assert (c != NULL);
  c->loop = loop;
  c->multi = curl_multi_init ();
  uv_timer_init (loop, &c->timer);
  c->timer.data = c;
  curl_multi_setopt (c->multi, CURLMOPT_SOCKETFUNCTION, on_socket_request);
  curl_multi_setopt (c->multi, CURLMOPT_SOCKETDATA, c);
  curl_multi_setopt (c->multi, CURLMOPT_TIMERFUNCTION, on_timer_request);
  curl_multi_setopt (c->multi, CURLMOPT_TIMERDATA, c);
  curl_multi_setopt (c->multi, CURLMOPT_MAXCONNECTS, (long)CONNECTIONS_MAX);
  return c;
}

static struct curl_slist *
request_header_list (const struct http_call *call)
{
  /* An empty Expect header keeps libcurl from waiting for "100 Continue".  */
  struct curl_slist *list = curl_slist_append (NULL, "Expect:");
  for (size_t i = 0; i < call->header_count; i++)
    {
      char line[512];
      snprintf (line, sizeof line, "%s: %s", call->headers[i].name,
                call->headers[i].value);
      list = curl_slist_append (list, line);
    }
  return list;
}

/* Starts CALL, of which everything is copied.  DONE runs exactly once, from
   the loop and never before this function returns.  */
void
http_client_send (struct http_client *c, const struct http_call *call,
                  http_done_fn *done, void *data)
{
  struct transfer *t = calloc (1, sizeof *t);
  assert (t != NULL);
  t->client = c;
  t->done = done;
  t->data = data;
  t->response_body_max = call->answer_max_bytes;
  t->easy = curl_easy_init ();
  assert (t->easy != NULL);
  CURL *e = t->easy;
  t->headers = request_header_list (call);
  curl_easy_setopt (e, CURLOPT_PRIVATE, t);
  curl_easy_setopt (e, CURLOPT_URL, call->url);
  curl_easy_setopt (e, CURLOPT_HTTPHEADER, t->headers);
  curl_easy_setopt (e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (e, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (e, CURLOPT_PROXY, "");
  curl_easy_setopt (e, CURLOPT_PROTOCOLS_STR, "http");
  /* TIMEOUT ends the call.  libcurl would look at its own timeout before it
     reads what has arrived.  */
  curl_easy_setopt (e, CURLOPT_TIMEOUT_MS, 0L);
  curl_easy_setopt (e, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
  curl_easy_setopt (e, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (e, CURLOPT_WRITEDATA, t);
  curl_easy_setopt (e, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (e, CURLOPT_HEADERDATA, t);
  curl_easy_setopt (e, CURLOPT_PREREQFUNCTION, on_before_request);
  curl_easy_setopt (e, CURLOPT_PREREQDATA, t);
  if (!call->idempotent)
    {
      curl_easy_setopt (e, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt (e, CURLOPT_FORBID_REUSE, 1L);
    }
  if (strcmp (call->method, "GET") != 0)
    {
      curl_easy_setopt (e, CURLOPT_CUSTOMREQUEST, call->method);
      curl_easy_setopt (e, CURLOPT_POSTFIELDSIZE, (long)call->body_length);
      curl_easy_setopt (e, CURLOPT_COPYPOSTFIELDS,
                        call->body == NULL ? "" : call->body);
    }
  call_timeout_init (&t->timeout, c->loop, &timeout_type, t);
  call_timeout_start (&t->timeout, call->timeout_ms);
  curl_multi_add_handle (c->multi, e);
}

/* Copies the value of the response header NAME into VALUE.  Returns false if
   the header is absent or does not fit into SIZE bytes.  */
bool
http_result_header (const struct http_result *r, const char *name, char *value,
                    size_t size)
{
  size_t n = strlen (name);
  for (const char *line = r->headers; *line != '\0';)
    {
      const char *end = strchrnul (line, '\n');
      if (strncasecmp (line, name, n) == 0 && line[n] == ':')
        {
          const char *v = line + n + 1;
          while (*v == ' ')
            v++;
          size_t len = (size_t)(end - v);
          while (len > 0 && (v[len - 1] == '\r' || v[len - 1] == ' '))
            len--;
          if (len >= size)
            return false;
          memcpy (value, v, len);
          value[len] = '\0';
          return true;
        }
      line = *end == '\n' ? end + 1 : end;
    }
  return false;
}
