#include "common/settings.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "rosemaryrail/fields.h"

enum
{
  HOUR_MS = 3600000,
  DAY_MS = 86400000,
  FILE_MAX_BYTES = 1024 * 1024,
};

#define NAME_FIELD(field)                                                     \
  {                                                                           \
    .name = #field, .kind = RR_FIELD_NAME, .required = true,                  \
    .offset = offsetof (struct settings, field)                               \
  }

#define TEXT_FIELD(field, field_kind, fallback)                               \
  {                                                                           \
    .name = #field, .kind = (field_kind),                                     \
    .offset = offsetof (struct settings, field),                              \
    .size = sizeof ((struct settings *)0)->field, .text_default = (fallback)  \
  }

#define INT_FIELD(field, low, high, fallback)                                 \
  {                                                                           \
    .name = #field, .kind = RR_FIELD_INT,                                     \
    .offset = offsetof (struct settings, field), .min = (low), .max = (high), \
    .value_default = (fallback)                                               \
  }

static const struct rr_field fields[] = {
  NAME_FIELD (name),
  NAME_FIELD (region),
  NAME_FIELD (zone),
  TEXT_FIELD (http_address, RR_FIELD_ADDRESS, "127.0.0.1"),
  INT_FIELD (http_port, 0, 65535, 8080),
  TEXT_FIELD (rpc_address, RR_FIELD_ADDRESS, "127.0.0.1"),
  INT_FIELD (rpc_port, 0, 65535, 8081),
  { .name = "platform_address",
    .kind = RR_FIELD_ADDRESS,
    .required = true,
    .offset = offsetof (struct settings, platform_address),
    .size = SETTINGS_ADDRESS_SIZE },
  { .name = "platform_port",
    .kind = RR_FIELD_INT,
    .required = true,
    .offset = offsetof (struct settings, platform_port),
    .min = 1,
    .max = 65535 },
  TEXT_FIELD (chart_directory, RR_FIELD_TEXT, "charts"),
  TEXT_FIELD (log_level, RR_FIELD_TEXT, "info"),
  INT_FIELD (drain_ms, 0, HOUR_MS, 5000),
  INT_FIELD (request_timeout_ms, 100, HOUR_MS, 60000),
  INT_FIELD (body_max_bytes, 1024, 64 * 1024 * 1024, 1024 * 1024),
  INT_FIELD (request_retention_ms, 1000, 30.0 * DAY_MS, DAY_MS),
  INT_FIELD (platform_timeout_ms, 10, 60000, 2000),
  INT_FIELD (platform_writes_per_s, 1, 100000, 200),
  INT_FIELD (platform_reads_per_s, 1, 100000, 500),
  INT_FIELD (append_interval_ms, 1, 10000, 100),
  INT_FIELD (heartbeat_zone_ms, 10, 60000, 1000),
  INT_FIELD (heartbeat_remote_ms, 10, 60000, 3000),
  INT_FIELD (peer_timeout_zone_ms, 10, 600000, 4000),
  INT_FIELD (peer_timeout_remote_ms, 10, 600000, 10000),
  INT_FIELD (controller_lease_ms, 100, 600000, 8000),
  INT_FIELD (task_lease_ms, 100, 600000, 10000),
  INT_FIELD (worker_report_ms, 10, 600000, 2000),
  INT_FIELD (worker_timeout_ms, 10, 60000, 1000),
  INT_FIELD (vm_list_ms, 10, 600000, 1000),
};

static const struct rr_fields settings_fields
    = { "the settings", fields, RR_FIELD_COUNT (fields) };

static const char peers_name[] = "seed_peers";

/* Where a value came from, for errors about contradictions.  */
struct source
{
  const char *file;
  unsigned line;
  unsigned column;
};

struct reading
{
  struct settings *s;
  struct rr_config_errors *errors;
  struct source sources[RR_FIELD_COUNT (fields)];
  struct source end; /* where a missing field is reported */
};

static const struct rr_field *
find_field (const char *name)
{
  for (size_t i = 0; i < RR_FIELD_COUNT (fields); i++)
    if (strcmp (fields[i].name, name) == 0)
      return &fields[i];
  return NULL;
}

/* Reads "ADDRESS:PORT" into PEER; false when TEXT is anything else.  */
bool
settings_parse_peer (const char *text, struct settings_peer *peer)
{
  const char *colon = strrchr (text, ':');
  if (colon == NULL || (size_t)(colon - text) >= sizeof peer->address)
    return false;
  memcpy (peer->address, text, (size_t)(colon - text));
  peer->address[colon - text] = '\0';
  struct in_addr address;
  size_t digits = strspn (colon + 1, "0123456789");
  long port = strtol (colon + 1, NULL, 10);
  if (inet_pton (AF_INET, peer->address, &address) != 1 || digits == 0
      || digits > 5 || colon[1 + digits] != '\0' || port < 1 || port > 65535)
    return false;
  peer->port = (uint16_t)port;
  return true;
}

static void
add_peer (struct reading *r, const char *text, struct source at)
{
  struct settings *s = r->s;
  struct settings_peer peer;
  if (!settings_parse_peer (text, &peer))
    {
      rr_config_errors_add (
          r->errors, at.file, at.line, at.column,
          "field \"seed_peers\": expected \"ADDRESS:PORT\" with an IPv4 "
          "address and a port from 1 to 65535, got \"%.60s\"",
          text);
      return;
    }
  s->seed_peers = realloc (s->seed_peers,
                           (s->seed_peer_count + 1) * sizeof *s->seed_peers);
  assert (s->seed_peers != NULL);
  s->seed_peers[s->seed_peer_count++] = peer;
}

static void
read_peers (struct reading *r, const struct rr_document *d,
            const struct rr_node *list)
{
  if (list->type != json_type_array)
    {
      rr_document_error (d, list, r->errors,
                         "field \"seed_peers\": expected an array of "
                         "\"ADDRESS:PORT\"");
      return;
    }
  const struct rr_node *n;
  for (n = rr_node_first (d, list); n != NULL; n = rr_node_next (d, n))
    if (n->type == json_type_string)
      add_peer (r, json_object_get_string (n->scalar),
                (struct source){ d->file, n->line, n->column });
    else
      rr_document_error (d, n, r->errors,
                         "field \"seed_peers\": expected \"ADDRESS:PORT\"");
}

static void
read_member (struct reading *r, const struct rr_document *d,
             const struct rr_node *n)
{
  struct source key = { d->file, n->key_line, n->key_column };
  const struct rr_field *f = find_field (n->key);
  if (strcmp (n->key, peers_name) == 0)
    read_peers (r, d, n);
  else if (f == NULL)
    rr_fields_report_unknown (&settings_fields, n->key, key.file, key.line,
                              key.column, r->errors);
  else
    {
      r->sources[f - fields] = (struct source){ d->file, n->line, n->column };
      rr_field_read (d, n, f, r->s, r->errors);
    }
}

static void
read_override_peers (struct reading *r, char *list, struct source at)
{
  r->s->seed_peer_count = 0;
  char *rest = NULL;
  for (char *p = strtok_r (list, ",", &rest); p != NULL;
       p = strtok_r (NULL, ",", &rest))
    add_peer (r, p, at);
}

/* Reads one "NAME=VALUE": the value is an integer where the field is one, and
   a string otherwise.  */
static void
read_override (struct reading *r, const char *text, struct source at)
{
  const char *equals = strchr (text, '=');
  if (equals == NULL)
    {
      rr_config_errors_add (r->errors, at.file, at.line, at.column,
                            "expected NAME=VALUE, got \"%.60s\"", text);
      return;
    }
  char *name = strndup (text, (size_t)(equals - text));
  char *value = strdup (equals + 1);
  assert (name != NULL && value != NULL);
  const struct rr_field *f = find_field (name);
  if (strcmp (name, peers_name) == 0)
    read_override_peers (r, value, at);
  else if (f == NULL)
    rr_fields_report_unknown (&settings_fields, name, at.file, at.line,
                              at.column, r->errors);
  else
    {
      at.column = (unsigned)(equals - text) + 2;
      struct rr_document d = { .file = (char *)at.file };
      struct rr_node n = { .line = at.line, .column = at.column };
      char *end = value;
      errno = 0;
      long long number = strtoll (value, &end, 10);
      if (f->kind == RR_FIELD_INT && *value != '\0' && *end == '\0'
          && errno == 0)
        n.scalar = json_object_new_int64 (number);
      else
        n.scalar = json_object_new_string (value);
      n.type = json_object_get_type (n.scalar);
      r->sources[f - fields] = at;
      rr_field_read (&d, &n, f, r->s, r->errors);
      json_object_put (n.scalar);
    }
  free (name);
  free (value);
}

static void
check_required (struct reading *r)
{
  for (size_t i = 0; i < RR_FIELD_COUNT (fields); i++)
    if (fields[i].required && r->sources[i].file == NULL)
      rr_config_errors_add (r->errors, r->end.file, r->end.line, r->end.column,
                            "missing field \"%s\" in the settings",
                            fields[i].name);
}

static struct source
source_of (const struct reading *r, const char *name)
{
  struct source at = r->sources[find_field (name) - fields];
  return at.file != NULL ? at : r->end;
}

static void
check_order (struct reading *r, const char *low_name, int64_t low,
             const char *high_name, int64_t high)
{
  if (low < high)
    return;
  struct source at = source_of (r, high_name);
  rr_config_errors_add (r->errors, at.file, at.line, at.column,
                        "field \"%s\": expected more than \"%s\" (%lld), got "
                        "%lld",
                        high_name, low_name, (long long)low, (long long)high);
}

/* Checks the rules that concern several fields.  */
static void
check_contradictions (struct reading *r)
{
  const struct settings *s = r->s;
  enum log_level level;
  if (!log_level_from_name (s->log_level, &level))
    {
      struct source at = source_of (r, "log_level");
      rr_config_errors_add (r->errors, at.file, at.line, at.column,
                            "field \"log_level\": expected error, warn, info "
                            "or debug, got \"%s\"",
                            s->log_level);
    }
  if (s->http_port != 0 && s->http_port == s->rpc_port
      && strcmp (s->http_address, s->rpc_address) == 0)
    {
      struct source at = source_of (r, "rpc_port");
      rr_config_errors_add (r->errors, at.file, at.line, at.column,
                            "field \"rpc_port\": expected another port than "
                            "\"http_port\" (%lld)",
                            (long long)s->http_port);
    }
  check_order (r, "heartbeat_zone_ms", s->heartbeat_zone_ms,
               "peer_timeout_zone_ms", s->peer_timeout_zone_ms);
  check_order (r, "heartbeat_remote_ms", s->heartbeat_remote_ms,
               "peer_timeout_remote_ms", s->peer_timeout_remote_ms);
  check_order (r, "worker_report_ms", s->worker_report_ms,
               "controller_lease_ms", s->controller_lease_ms);
  check_order (r, "worker_report_ms", s->worker_report_ms, "task_lease_ms",
               s->task_lease_ms);
}

/* Fills S from FILE, which may be null, and then from OVERRIDES.  Returns
   false with all errors added; S is then empty.  Otherwise the caller frees S
   with settings_free.  */
bool
settings_parse (const struct rr_config_file *file,
                const char *const *overrides, size_t override_count,
                struct settings *s, struct rr_config_errors *errors)
{
  memset (s, 0, sizeof *s);
  rr_fields_set_defaults (&settings_fields, s);
  size_t known_errors = errors->count;
  struct reading r = { .s = s, .errors = errors, .end = { "--set", 1, 1 } };
  struct rr_document d = { 0 };
  bool parsed = true;
  if (file != NULL)
    {
      r.end.file = file->name;
      parsed = rr_document_parse (&d, file, errors);
    }
  if (file != NULL && parsed)
    {
      const struct rr_node *n;
      r.end = (struct source){ d.file, d.nodes[0].line, d.nodes[0].column };
      for (n = rr_node_first (&d, &d.nodes[0]); n != NULL;
           n = rr_node_next (&d, n))
        read_member (&r, &d, n);
    }
  for (size_t i = 0; i < override_count; i++)
    read_override (&r, overrides[i],
                   (struct source){ "--set", (unsigned)i + 1, 1 });
  if (parsed)
    check_required (&r);
  if (errors->count == known_errors)
    check_contradictions (&r);
  rr_document_free (&d);
  bool ok = errors->count == known_errors;
  if (!ok)
    settings_free (s);
  return ok;
}

/* Reads the file at PATH, unless it is null, then works as settings_parse.  A
   file that can't be read is an error at its first line.  */
bool
settings_load (const char *path, const char *const *overrides,
               size_t override_count, struct settings *s,
               struct rr_config_errors *errors)
{
  if (path == NULL)
    return settings_parse (NULL, overrides, override_count, s, errors);
  memset (s, 0, sizeof *s);
  FILE *in = fopen (path, "re");
  char *text = malloc (FILE_MAX_BYTES + 1);
  assert (text != NULL);
  size_t length = 0;
  if (in != NULL)
    length = fread (text, 1, FILE_MAX_BYTES + 1, in);
  bool ok = in != NULL && !ferror (in) && length <= FILE_MAX_BYTES;
  if (in == NULL || ferror (in))
    rr_config_errors_add (errors, path, 1, 1, "can't be read: %s",
                          strerror (errno));
  else if (!ok)
    rr_config_errors_add (errors, path, 1, 1, "expected at most %d bytes",
                          FILE_MAX_BYTES);
  if (in != NULL)
    fclose (in);
  struct rr_config_file file = { path, text, length };
  ok = ok && settings_parse (&file, overrides, override_count, s, errors);
  free (text);
  return ok;
}

/* Frees what S holds.  */
void
settings_free (struct settings *s)
{
  free (s->seed_peers);
  memset (s, 0, sizeof *s);
}
