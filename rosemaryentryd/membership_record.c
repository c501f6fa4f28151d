#include "rosemaryentryd/membership_record.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/json.h"

enum
{
  /* More than any lease of a task lasts.  */
  LEASE_LEFT_MAX_MS = 60000
};

/* Run numbers are whole numbers in JSON, exact up to 2^53.  */
#define BLOCK_MAX (INT64_C (1) << 48)

/* Returns M as JSON text, which the caller frees.  Daemons have no clock in
   common, so the record has the time that is left of each silent worker's
   leases as of NOW.  */
char *
membership_record_encode (const struct membership_record *m,
                          struct rr_time now)
{
  struct json_object *list = json_object_new_array ();
  struct json_object *lives = json_object_new_object ();
  struct json_object *silent = json_object_new_object ();
  struct json_object *former = json_object_new_object ();
  struct json_object *unfenced = json_object_new_object ();
  for (size_t i = 0; i < m->worker_count; i++)
    {
      const struct rr_recorded_worker *w = &m->workers[i];
      json_object_array_add (list, json_object_new_string (w->id));
      json_add_int (lives, w->id, w->started_ms);
      int64_t left_ms = rr_time_diff (w->expiry, now);
      if (w->silent)
        json_add_int (silent, w->id, left_ms > 0 ? left_ms : 0);
      else if (left_ms > 0)
        json_add_int (former, w->id, left_ms);
      if (w->unfenced)
        json_add_int (unfenced, w->id, 1);
    }
  struct json_object *o = json_object_new_object ();
  json_add_int (o, "first", m->first_block);
  json_add_int (o, "ordinal", m->last_block);
  json_object_object_add (o, "workers", list);
  json_object_object_add (o, "lives", lives);
  json_object_object_add (o, "silent", silent);
  json_object_object_add (o, "former", former);
  json_object_object_add (o, "unfenced", unfenced);
  char *text = strdup (json_text (o));
  assert (text != NULL);
  json_object_put (o);
  return text;
}

/* Sets OUT to the whole number that the table TABLE of the record O has for
   the worker ID, and returns true if there is one from 0 to MAX.  */
static bool
worker_number (struct json_object *o, const char *table, const char *id,
               int64_t max, int64_t *out)
{
  struct json_object *numbers = NULL;
  struct json_object *v = NULL;
  if (!json_object_object_get_ex (o, table, &numbers)
      || !json_object_is_type (numbers, json_type_object)
      || !json_object_object_get_ex (numbers, id, &v)
      || !json_object_is_type (v, json_type_int))
    return false;
  *out = json_object_get_int64 (v);
  return *out >= 0 && *out <= max;
}

/* Returns what the record O says of the worker ID.  A time that no owner can
   have written counts as none, and a worker without a life on record may be in
   any.  */
static struct rr_recorded_worker
worker_decode (const char *id, struct json_object *o, struct rr_time seen)
{
  struct rr_recorded_worker w = { 0 };
  snprintf (w.id, sizeof w.id, "%s", id);
  int64_t number = 0;
  w.unfenced = !worker_number (o, "lives", id, INT64_MAX - 1, &w.started_ms)
               || worker_number (o, "unfenced", id, 1, &number);
  int64_t left_ms = 0;
  w.silent = worker_number (o, "silent", id, LEASE_LEFT_MAX_MS, &left_ms);
  if (w.silent || worker_number (o, "former", id, LEASE_LEFT_MAX_MS, &left_ms))
    w.expiry = rr_time_add (seen, left_ms);
  return w;
}

/* Decodes TEXT, which this daemon saw at SEEN: the leases that it has times
   for have expired once the time that was left has passed since then.  The
   caller clears OUT.  Returns false with ERR set when TEXT is not a membership
   record.  */
bool
membership_record_decode (const char *text, struct rr_time seen,
                          struct membership_record *out, struct rr_error *err)
{
  memset (out, 0, sizeof *out);
  struct json_object *o = json_parse (text, strlen (text), err);
  if (o == NULL)
    return false;
  struct json_object *list = json_list_or_null (o, "workers");
  bool valid = json_get_int (o, "ordinal", &out->last_block, err);
  /* Earlier versions have one block for each owner.  */
  out->first_block = json_int_or (o, "first", out->last_block);
  if (valid
      && (out->first_block < 0 || out->first_block > out->last_block
          || out->last_block > BLOCK_MAX || list == NULL))
    {
      rr_error_set (err, RR_ERROR_INVALID, "no blocks or list of workers");
      valid = false;
    }
  size_t n = valid ? json_object_array_length (list) : 0;
  out->workers = calloc (n + 1, sizeof *out->workers);
  assert (out->workers != NULL);
  for (size_t i = 0; i < n && valid; i++)
    {
      struct json_object *id = json_object_array_get_idx (list, i);
      valid = json_object_is_type (id, json_type_string)
              && json_object_get_string_len (id) < RR_JOB_NAME_SIZE;
      if (valid)
        out->workers[out->worker_count++]
            = worker_decode (json_object_get_string (id), o, seen);
      else
        rr_error_set (err, RR_ERROR_INVALID, "worker %zu has no valid id", i);
    }
  json_object_put (o);
  if (!valid)
    membership_record_clear (out);
  return valid;
}

/* Frees what M holds.  */
void
membership_record_clear (struct membership_record *m)
{
  free (m->workers);
  memset (m, 0, sizeof *m);
}
