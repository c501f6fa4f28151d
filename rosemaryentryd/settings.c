#include "rosemaryentryd/settings.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/json.h"
#include "common/log.h"

enum
{
  SETTINGS_MAX_BYTES = 1 << 20,
  VALUE_DEFAULT_BYTES = 1 << 20
};

static bool
read_address (struct json_object *o, const char *name,
              struct settings_peer *peer, struct rr_error *err)
{
  const char *text = json_get_string (o, name, err);
  if (text == NULL)
    return false;
  if (settings_parse_peer (text, peer))
    return true;
  return rr_error_set (err, RR_ERROR_INVALID,
                       "setting \"%s\": expected ADDRESS:PORT, found \"%s\"",
                       name, text);
}

static bool
read_name (struct json_object *o, const char *name, char *out,
           struct rr_error *err)
{
  const char *text = json_get_string (o, name, err);
  if (text == NULL)
    return false;
  if (text[0] == '\0' || strlen (text) >= RR_JOB_NAME_SIZE)
    return rr_error_set (err, RR_ERROR_INVALID,
                         "setting \"%s\": expected 1 to %d bytes", name,
                         RR_JOB_NAME_SIZE - 1);
  snprintf (out, RR_JOB_NAME_SIZE, "%s", text);
  return true;
}

/* Returns the positive number NAME of O times SCALE.  If it is missing or
   invalid, logs a warning and returns FALLBACK.  */
static int64_t
read_scaled_number_or (struct json_object *o, const char *name, double scale,
                       int64_t fallback)
{
  struct json_object *v = NULL;
  if (json_object_object_get_ex (o, name, &v)
      && (json_object_is_type (v, json_type_int)
          || json_object_is_type (v, json_type_double))
      && json_object_get_double (v) > 0)
    return (int64_t)(json_object_get_double (v) * scale);
  log_event (LOG_LEVEL_WARN, "setting_default",
             "name=%s expected=positive-number value=%lld", name,
             (long long)fallback);
  return fallback;
}

static void
read_zones (struct json_object *o, struct entry_settings *s)
{
  struct json_object *zones = json_list_or_null (o, "zones");
  size_t n = zones == NULL ? 0 : json_object_array_length (zones);
  for (size_t i = 0; i < n && s->zone_count < ENTRY_ZONES_MAX; i++)
    snprintf (s->zones[s->zone_count++], RR_JOB_NAME_SIZE, "%s",
              json_object_get_string (json_object_array_get_idx (zones, i)));
  if (s->zone_count > 0)
    return;
  log_event (LOG_LEVEL_WARN, "setting_default", "name=zones value=%s",
             s->zone);
  snprintf (s->zones[s->zone_count++], RR_JOB_NAME_SIZE, "%s", s->zone);
}

/* Reads the addresses of other daemons.  If their ports are for other callers,
   "seed_port" has the one on which all daemons serve each other.  */
static void
read_seeds (struct json_object *o, struct entry_settings *s)
{
  struct json_object *seeds = json_list_or_null (o, "seeds");
  size_t n = seeds == NULL ? 0 : json_object_array_length (seeds);
  for (size_t i = 0; i < n && s->seed_count < ENTRY_SEEDS_MAX; i++)
    {
      const char *text
          = json_object_get_string (json_object_array_get_idx (seeds, i));
      struct settings_peer *seed = &s->seeds[s->seed_count];
      if (text == NULL || !settings_parse_peer (text, seed))
        {
          log_event (LOG_LEVEL_WARN, "seed_ignored",
                     "seed=%s expected=ADDRESS:PORT",
                     text == NULL ? "" : text);
          continue;
        }
      seed->port = (uint16_t)json_int_or (o, "seed_port", seed->port);
      s->seed_count++;
    }
}

/* Reads settings, JSON with comments; false with RR_ERROR_INVALID if one that
   has no default is missing or invalid.  */
bool
entry_settings_parse (const char *text, size_t length,
                      struct entry_settings *s, struct rr_error *err)
{
  memset (s, 0, sizeof *s);
  struct json_object *o = json_parse (text, length, err);
  if (o == NULL)
    return false;
  bool valid = read_name (o, "name", s->name, err)
               && read_name (o, "zone", s->zone, err)
               && read_address (o, "front", &s->front, err)
               && read_address (o, "ready", &s->ready, err)
               && read_address (o, "store", &s->store, err);
  if (valid)
    {
      struct rr_error no_metrics = { 0 };
      struct rr_error no_permits = { 0 };
      if (!read_address (o, "permits", &s->permits, &no_permits))
        log_event (LOG_LEVEL_INFO, "no_permit_service", "%s",
                   no_permits.message);
      if (!read_address (o, "metrics", &s->metrics, &no_metrics))
        log_event (LOG_LEVEL_WARN, "metrics_not_served", "%s",
                   no_metrics.message);
      struct rr_error no_peers = { 0 };
      if (!read_address (o, "peer", &s->peer, &no_peers))
        log_event (LOG_LEVEL_WARN, "peers_not_served", "%s", no_peers.message);
      read_zones (o, s);
      snprintf (s->log_level, sizeof s->log_level, "%s",
                json_string_or (o, "log_level", "info"));
      s->lease_max_ms = read_scaled_number_or (o, "lease_max_ms", 1, 10000);
      s->drain_ms = read_scaled_number_or (o, "drain_ms", 1, 2000);
      s->shutdown_ms = read_scaled_number_or (o, "shutdown_s", 1000, 6000);
      s->retention_ms = read_scaled_number_or (o, "retention_s", 1000, 120000);
      s->late_ms = read_scaled_number_or (o, "late_s", 1000, 60000);
      s->value_max_bytes = read_scaled_number_or (o, "value_max_bytes", 1,
                                                  VALUE_DEFAULT_BYTES);
      s->config_apply_ms
          = read_scaled_number_or (o, "config_apply_ms", 1, 2000);
      read_seeds (o, s);
      s->cpu_milli
          = read_scaled_number_or (o, "cpu_share", 1000, CPU_DEFAULT_MILLI);
      s->link_kbit
          = read_scaled_number_or (o, "link_mbps", 1000, LINK_DEFAULT_KBIT);
      s->remote_factor
          = (double)read_scaled_number_or (o, "remote_factor", 1000, 3000)
            / 1000;
    }
  json_object_put (o);
  return valid;
}

/* Reads the settings file PATH; false with RR_ERROR_SYSTEM if it cannot be
   read, or with RR_ERROR_INVALID as for entry_settings_parse.  */
bool
entry_settings_load (const char *path, struct entry_settings *s,
                     struct rr_error *err)
{
  FILE *f = fopen (path, "r");
  if (f == NULL)
    return rr_error_set (err, RR_ERROR_SYSTEM, "cannot read %s: %s", path,
                         strerror (errno));
  char *text = malloc (SETTINGS_MAX_BYTES);
  size_t n = text == NULL ? 0 : fread (text, 1, SETTINGS_MAX_BYTES, f);
  fclose (f);
  bool valid = entry_settings_parse (text, n, s, err);
  free (text);
  return valid;
}
