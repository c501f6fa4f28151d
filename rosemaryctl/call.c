#include <assert.h>
#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#include "common/json.h"
#include "rosemaryctl/ctl.h"

enum
{
  ANSWER_MAX_BYTES = 64 * 1024 * 1024,
  CONNECT_TIMEOUT_MS = 2000,
  HTTP_OK = 200,
  HTTP_MULTIPLE_CHOICES = 300,
  HTTP_UNAVAILABLE = 503,
};

/* How one attempt at one daemon ended.  */
enum attempt
{
  ATTEMPT_ANSWERED,
  ATTEMPT_NOT_SENT,
  ATTEMPT_UNKNOWN, /* sent at least in part */
};

static size_t
collect (char *data, size_t size, size_t count, void *user)
{
  struct ctl_response *a = user;
  size_t n = size * count;
  if (n > ANSWER_MAX_BYTES - a->length)
    return 0;
  a->body = realloc (a->body, a->length + n + 1);
  assert (a->body != NULL);
  memcpy (a->body + a->length, data, n);
  a->length += n;
  a->body[a->length] = '\0';
  return n;
}

/* Replaces control characters in all strings of O, so that an answer can't
   steer the terminal.  Line ends and tabs stay.  */
static void
clean_strings (struct json_object *o)
{
  if (json_object_is_type (o, json_type_object))
    {
      json_object_object_foreach (o, key, value)
      {
        (void)key;
        clean_strings (value);
      }
    }
  else if (json_object_is_type (o, json_type_array))
    for (size_t i = 0; i < json_object_array_length (o); i++)
      clean_strings (json_object_array_get_idx (o, i));
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
parse_body (struct ctl_response *a)
{
  struct rr_error err = { 0 };
  if (a->length == 0)
    return;
  a->json = json_parse (a->body, a->length, &err);
  clean_strings (a->json);
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

/* Sends R to one daemon.  A new connection for each call makes sure that the
   library never sends a request twice.  */
static enum attempt
attempt_call (const struct ctl *ctl, const struct settings_peer *daemon,
              const struct ctl_request *r, struct ctl_response *a,
              const char **reason)
{
  memset (a, 0, sizeof *a);
  a->body = strdup ("");
  assert (a->body != NULL);
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
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, collect);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, a);
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
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &a->status);
  *reason = curl_easy_strerror (rc);
  curl_slist_free_all (headers);
  curl_easy_cleanup (curl);
  if (rc == CURLE_OK)
    {
      parse_body (a);
      return ATTEMPT_ANSWERED;
    }
  return sent == 0 ? ATTEMPT_NOT_SENT : ATTEMPT_UNKNOWN;
}

/* Sends R to the first daemon that can be reached and is ready.  Returns
   CTL_OK when there is an answer of any status; otherwise prints why and
   returns the exit code.  A request that changes something is never sent to a
   second daemon unless the first certainly did nothing.  */
enum ctl_exit
ctl_call (const struct ctl *ctl, const struct ctl_request *r,
          struct ctl_response *a)
{
  bool reads_only = strcmp (r->method, "GET") == 0;
  for (size_t i = 0; i < ctl->daemon_count; i++)
    {
      const struct settings_peer *d = &ctl->daemons[i];
      const char *reason;
      enum attempt end = attempt_call (ctl, d, r, a, &reason);
      bool last = i + 1 == ctl->daemon_count;
      /* 503 means that the daemon did not act on the request.  */
      if (end == ATTEMPT_ANSWERED && (a->status != HTTP_UNAVAILABLE || last))
        return CTL_OK;
      if (end == ATTEMPT_ANSWERED)
        fprintf (stderr, "rosemaryctl: %s:%u: not ready\n", d->address,
                 d->port);
      else
        fprintf (stderr, "rosemaryctl: %s:%u: %s\n", d->address, d->port,
                 reason);
      ctl_response_free (a);
      if (end == ATTEMPT_UNKNOWN && !reads_only)
        {
          fprintf (stderr, "rosemaryctl: the request was sent; it may or may "
                           "not have taken effect\n");
          return CTL_UNKNOWN;
        }
    }
  fprintf (stderr, "rosemaryctl: no daemon can be reached\n");
  return CTL_UNREACHABLE;
}

/* Fetches PATH.  Returns CTL_OK only for an answer with a JSON body and a
   status of success; anything else has been reported, and A is freed.  */
enum ctl_exit
ctl_get (const struct ctl *ctl, const char *path, struct ctl_response *a)
{
  struct ctl_request r = { .method = "GET", .path = path, .generation = -1 };
  enum ctl_exit rc = ctl_call (ctl, &r, a);
  if (rc != CTL_OK)
    return rc;
  rc = ctl_response_check (ctl, a);
  if (rc != CTL_OK)
    ctl_response_free (a);
  return rc;
}

static enum ctl_exit
exit_of_status (long status)
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

/* Prints the list of errors of a rejected configuration or job; false when A
   has none.  */
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

/* Returns CTL_OK for an answer with a JSON body and a status of success.
   Otherwise prints the error and returns the exit code.  With --format json
   the body goes to standard output in any case but success.  */
enum ctl_exit
ctl_response_check (const struct ctl *ctl, const struct ctl_response *a)
{
  bool success = a->status >= HTTP_OK && a->status < HTTP_MULTIPLE_CHOICES;
  if (success && json_object_is_type (a->json, json_type_object))
    return CTL_OK;
  if (success || a->json == NULL)
    {
      fprintf (stderr,
               "rosemaryctl: the answer (status %ld) is not a JSON object\n",
               a->status);
      return success ? CTL_FAILURE : exit_of_status (a->status);
    }
  if (ctl->json)
    puts (json_text (a->json));
  if (print_error_list (a->json))
    return CTL_CHECK_ERRORS;
  struct json_object *e = NULL;
  if (json_object_is_type (a->json, json_type_object))
    json_object_object_get_ex (a->json, "error", &e);
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
  return exit_of_status (a->status);
}

/* Frees what A holds.  */
void
ctl_response_free (struct ctl_response *a)
{
  free (a->body);
  json_object_put (a->json);
  memset (a, 0, sizeof *a);
}
