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
  struct json_object *silent = json_object_new_object ();
  for (size_t i = 0; i < m->worker_count; i++)
    {
      const struct rr_recorded_worker *w = &m->workers[i];
      json_object_array_add (list, json_object_new_string (w->id));
      int64_t left_ms = rr_time_diff (w->expiry, now);
      if (w->silent)
        json_add_int (silent, w->id, left_ms > 0 ? left_ms : 0);
    }
  struct json_object *o = json_object_new_object ();
  json_add_int (o, "first", m->first_block);
  json_add_int (o, "ordinal", m->last_block);
  json_object_object_add (o, "workers", list);
  json_object_object_add (o, "silent", silent);
  char *text = strdup (json_text (o));
  assert (text != NULL);
  json_object_put (o);
  return text;
}

/* Returns what the record says of the worker ID, in the table SILENT, which
   may be null.  A time that no owner can have written counts as none.  */
static struct rr_recorded_worker
worker_decode (const char *id, struct json_object *silent, struct rr_time seen)
{
  struct rr_recorded_worker w = { 0 };
  snprintf (w.id, sizeof w.id, "%s", id);
  struct json_object *left = NULL;
  if (!json_object_is_type (silent, json_type_object)
      || !json_object_object_get_ex (silent, id, &left)
      || !json_object_is_type (left, json_type_int))
    return w;
  int64_t left_ms = json_object_get_int64 (left);
  w.silent = left_ms >= 0 && left_ms <= LEASE_LEFT_MAX_MS;
  w.expiry = rr_time_add (seen, w.silent ? left_ms : 0);
  return w;
}

/* Decodes TEXT, which this daemon saw at SEEN: the leases of silent workers
   have expired once the time that was left has passed since then.  The caller
   clears OUT.  Returns false with ERR set when TEXT is not a membership
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
  struct json_object *silent = NULL;
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
  json_object_object_get_ex (o, "silent", &silent);
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
            = worker_decode (json_object_get_string (id), silent, seen);
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
