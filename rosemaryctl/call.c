#include <assert.h>
#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#include "common/json.h"
#include "rosemaryctl/ctl.h"

enum
{
  RESPONSE_MAX_BYTES = 64 * 1024 * 1024,
  CONNECT_TIMEOUT_MS = 2000,
  HTTP_OK = 200,
  HTTP_MULTIPLE_CHOICES = 300,
  HTTP_UNAVAILABLE = 503,
};

/* The result of sending a request to one daemon.  */
enum attempt_result
{
  ATTEMPT_RESPONDED,
  ATTEMPT_NOT_SENT,
  ATTEMPT_UNKNOWN, /* sent at least in part, no response */
};

static size_t
body_append (char *data, size_t size, size_t count, void *user)
{
  struct ctl_response *response = user;
  size_t n = size * count;
  if (n > RESPONSE_MAX_BYTES - response->length)
    return 0;
  response->body = realloc (response->body, response->length + n + 1);
  assert (response->body != NULL);
  memcpy (response->body + response->length, data, n);
  response->length += n;
  response->body[response->length] = '\0';
  return n;
}

/* Replaces control characters in all strings of O, so that a response can't
   inject terminal escape sequences.  Newlines and tabs stay.  */
static void
strings_sanitize (struct json_object *o)
{
  if (json_object_is_type (o, json_type_object))
    {
      json_object_object_foreach (o, key, value)
      {
        (void)key;
        strings_sanitize (value);
      }
    }
  else if (json_object_is_type (o, json_type_array))
    for (size_t i = 0; i < json_object_array_length (o); i++)
      strings_sanitize (json_object_array_get_idx (o, i));
  else if (json_object_is_type (o, json_type_string))
    {
      char *copy = strdup (json_object_get_string (o));
      assert (copy != NULL);
      for (char *c = copy; *c != '\0'; c++)
        if (((unsigned char)*c < ' ' && *c != '\n' && *c != '\t') || *c == 127)
          *c = '?';
      json_object_set_string (o, copy);
      free (copy);
    }
}

static void
body_parse (struct ctl_response *response)
{
  struct rr_error err = { 0 };
  if (response->length == 0)
    return;
  response->json = json_parse (response->body, response->length, &err);
  strings_sanitize (response->json);
}

static struct curl_slist *
request_headers (const struct ctl_request *r)
{
  struct curl_slist *headers = curl_slist_append (NULL, "Expect:");
  headers = curl_slist_append (headers, "Content-Type: application/json");
  if (r->generation >= 0)
    {
      char line[64];
      snprintf (line, sizeof line, "If-Match: %ld", r->generation);
      headers = curl_slist_append (headers, line);
    }
  return headers;
}

/* Sends R to one daemon.  Each call opens a new connection, because libcurl
   may resend a request when a reused connection fails.  */
static enum attempt_result
request_attempt (const struct ctl *ctl, const struct settings_peer *daemon,
                 const struct ctl_request *r, struct ctl_response *response,
                 const char **reason)
{
  memset (response, 0, sizeof *response);
  response->body = strdup ("");
  assert (response->body != NULL);
  CURL *curl = curl_easy_init ();
  assert (curl != NULL);
  char url[400];
  snprintf (url, sizeof url, "http://%s:%u%s", daemon->address, daemon->port,
            r->path);
  struct curl_slist *headers = request_headers (r);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, r->method);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, ctl->timeout_ms + r->extra_ms);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, body_append);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, response);
  if (r->body != NULL || strcmp (r->method, "GET") != 0)
    {
      const char *body = r->body != NULL ? r->body : "";
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)strlen (body));
    }
  CURLcode rc = curl_easy_perform (curl);
  long sent = 0;
  curl_easy_getinfo (curl, CURLINFO_REQUEST_SIZE, &sent);
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &response->status);
  *reason = curl_easy_strerror (rc);
  curl_slist_free_all (headers);
  curl_easy_cleanup (curl);
  if (rc == CURLE_OK)
    {
      body_parse (response);
      return ATTEMPT_RESPONDED;
    }
  return sent == 0 ? ATTEMPT_NOT_SENT : ATTEMPT_UNKNOWN;
}

/* Sends R to the first daemon that can be reached and is ready.  Returns
   CTL_OK for a response with any status; otherwise prints the reason and
   returns the exit code.  A request other than GET is sent to another daemon
   only when it is certain that the previous one did not act on it.  */
enum ctl_exit
ctl_call (const struct ctl *ctl, const struct ctl_request *r,
          struct ctl_response *response)
{
  bool is_read_only = strcmp (r->method, "GET") == 0;
  for (size_t i = 0; i < ctl->daemon_count; i++)
    {
      const struct settings_peer *d = &ctl->daemons[i];
      const char *reason;
      enum attempt_result result
          = request_attempt (ctl, d, r, response, &reason);
      bool last = i + 1 == ctl->daemon_count;
      /* 503 means that the daemon did not act on the request.  */
      if (result == ATTEMPT_RESPONDED
          && (response->status != HTTP_UNAVAILABLE || last))
        return CTL_OK;
      if (result == ATTEMPT_RESPONDED)
        fprintf (stderr, "rosemaryctl: %s:%u: not ready\n", d->address,
                 d->port);
      else
        fprintf (stderr, "rosemaryctl: %s:%u: %s\n", d->address, d->port,
                 reason);
      ctl_response_free (response);
      if (result == ATTEMPT_UNKNOWN && !is_read_only)
        {
          fprintf (stderr, "rosemaryctl: the request was sent; it may or may "
                           "not have taken effect\n");
          return CTL_UNKNOWN;
        }
    }
  fprintf (stderr, "rosemaryctl: no daemon can be reached\n");
  return CTL_UNREACHABLE;
}

/* Fetches PATH.  Returns CTL_OK only for a JSON object with a status of
   success; otherwise reports the error, frees RESPONSE and returns the exit
   code.  */
enum ctl_exit
ctl_get (const struct ctl *ctl, const char *path,
         struct ctl_response *response)
{
  struct ctl_request r = { .method = "GET", .path = path, .generation = -1 };
  enum ctl_exit rc = ctl_call (ctl, &r, response);
  if (rc != CTL_OK)
    return rc;
  rc = ctl_response_check (ctl, response);
  if (rc != CTL_OK)
    ctl_response_free (response);
  return rc;
}

static enum ctl_exit
exit_code_of_status (long status)
{
  switch (status)
    {
    case 400:
      return CTL_CHECK_ERRORS;
    case 404:
      return CTL_NOT_FOUND;
    case 409:
      return CTL_CONFLICT;
    case 503:
      return CTL_UNREACHABLE;
    case 504:
      return CTL_UNKNOWN;
    default:
      return CTL_FAILURE;
    }
}

/* Prints the errors of a rejected configuration or job.  Returns false when
   JSON lists none.  */
static bool
print_error_list (struct json_object *json)
{
  struct json_object *list = ctl_list (json, "errors");
  if (list == NULL || json_object_array_length (list) == 0)
    return false;
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      struct json_object *e = json_object_array_get_idx (list, i);
      fprintf (stderr, "%s:%lld:%lld: %s\n", ctl_text (e, "file"),
               (long long)json_int_or (e, "line", 1),
               (long long)json_int_or (e, "column", 1),
               ctl_text (e, "message"));
    }
  return true;
}

/* Returns CTL_OK for a JSON object with a status of success.  Otherwise prints
   the error and returns the exit code; with --format json it also prints a
   JSON body to standard output.  */
enum ctl_exit
ctl_response_check (const struct ctl *ctl, const struct ctl_response *response)
{
  bool success = response->status >= HTTP_OK
                 && response->status < HTTP_MULTIPLE_CHOICES;
  if (success && json_object_is_type (response->json, json_type_object))
    return CTL_OK;
  if (success || response->json == NULL)
    {
      fprintf (stderr,
               "rosemaryctl: the answer (status %ld) is not a JSON object\n",
               response->status);
      return success ? CTL_FAILURE : exit_code_of_status (response->status);
    }
  if (ctl->json)
    puts (json_text (response->json));
  if (print_error_list (response->json))
    return CTL_CHECK_ERRORS;
  struct json_object *e = NULL;
  if (json_object_is_type (response->json, json_type_object))
    json_object_object_get_ex (response->json, "error", &e);
  const char *message = ctl_text (e, "message");
  size_t length = strlen (message);
  while (length > 0 && message[length - 1] == '\n')
    length--;
  fprintf (stderr, "rosemaryctl: %s: %.*s", ctl_text (e, "code"), (int)length,
           message);
  int64_t line = json_int_or (e, "line", 0);
  if (line > 0)
    fprintf (stderr, " (line %lld, column %lld)", (long long)line,
             (long long)json_int_or (e, "column", 1));
  fputc ('\n', stderr);
  return exit_code_of_status (response->status);
}

/* Frees the contents of RESPONSE.  */
void
ctl_response_free (struct ctl_response *response)
{
  free (response->body);
  json_object_put (response->json);
  memset (response, 0, sizeof *response);
}
