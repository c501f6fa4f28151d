#include "rosemaryrail/progress.h"

#include <assert.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const phase_names[]
    = { "queued", "active", "completed", "failed", "cancelled" };

/* Returns the stored name of PHASE.  */
const char *
rr_job_phase_name (enum rr_job_phase phase)
{
  return phase_names[phase];
}

/* Returns true when PHASE is final.  */
bool
rr_job_phase_final (enum rr_job_phase phase)
{
  return phase == RR_PHASE_COMPLETED || phase == RR_PHASE_FAILED
         || phase == RR_PHASE_CANCELLED;
}

/* Returns the stored form of P, a JSON text that the caller frees.  */
char *
rr_progress_encode (const struct rr_progress *p)
{
  struct json_object *o = json_object_new_object ();
  json_object_object_add (o, "phase",
                          json_object_new_string (phase_names[p->phase]));
  struct json_object *rows = json_object_new_array ();
  /* No task of a job that has ended starts again, so its rows are not
     needed.  */
  size_t count = rr_job_phase_final (p->phase) ? 0 : p->row_count;
  for (size_t i = 0; i < count; i++)
    {
      const struct rr_progress_row *r = &p->rows[i];
      struct json_object *row = json_object_new_array ();
      json_object_array_add (row, json_object_new_int64 (r->number));
      json_object_array_add (row, json_object_new_int64 (r->run));
      json_object_array_add (row, json_object_new_int64 (r->failures));
      json_object_array_add (row, json_object_new_int (r->done ? 1 : 0));
      json_object_array_add (
          row, json_object_new_int64 ((int64_t)r->recorded_ends));
      if (r->checkpoint[0] != '\0' || r->crashes > 0)
        {
          json_object_array_add (row, json_object_new_string (r->checkpoint));
          json_object_array_add (row, json_object_new_int64 (r->crashes));
        }
      if (r->checkpoint[0] != '\0')
        json_object_array_add (row, json_object_new_int64 (r->checkpoint_run));
      json_object_array_add (rows, row);
    }
  json_object_object_add (o, "tasks", rows);
  char *text
      = strdup (json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN));
  assert (text != NULL);
  json_object_put (o);
  return text;
}

static bool
decode_row (struct json_object *row, struct rr_progress_row *r)
{
  /* The library ends the process when this is not an array.  */
  if (!json_object_is_type (row, json_type_array))
    return false;
  r->number
      = (uint32_t)json_object_get_int64 (json_object_array_get_idx (row, 0));
  r->run
      = (uint32_t)json_object_get_int64 (json_object_array_get_idx (row, 1));
  r->failures
      = (uint32_t)json_object_get_int64 (json_object_array_get_idx (row, 2));
  r->done = json_object_get_int (json_object_array_get_idx (row, 3)) != 0;
  r->recorded_ends
      = (uint64_t)json_object_get_int64 (json_object_array_get_idx (row, 4));
  struct json_object *c = json_object_array_get_idx (row, 5);
  if (c != NULL)
    snprintf (r->checkpoint, sizeof r->checkpoint, "%s",
              json_object_get_string (c));
  r->crashes
      = (uint32_t)json_object_get_int64 (json_object_array_get_idx (row, 6));
  /* Missing in rows of earlier versions.  */
  r->checkpoint_run
      = (uint32_t)json_object_get_int64 (json_object_array_get_idx (row, 7));
  return true;
}

static bool
decode_phase (struct json_object *o, enum rr_job_phase *phase)
{
  struct json_object *v = NULL;
  if (!json_object_object_get_ex (o, "phase", &v))
    return false;
  for (size_t i = 0; i < sizeof phase_names / sizeof phase_names[0]; i++)
    if (strcmp (phase_names[i], json_object_get_string (v)) == 0)
      {
        *phase = (enum rr_job_phase)i;
        return true;
      }
  return false;
}

/* Reads the stored form.  Returns null with RR_ERROR_INVALID when TEXT is not
   valid.  The caller frees the result.  */
struct rr_progress *
rr_progress_decode (const char *text, size_t length, struct rr_error *err)
{
  struct json_tokener *tok = json_tokener_new ();
  struct json_object *o = json_tokener_parse_ex (tok, text, (int)length);
  json_tokener_free (tok);
  struct json_object *rows = NULL;
  enum rr_job_phase phase;
  if (!json_object_is_type (o, json_type_object) || !decode_phase (o, &phase)
      || !json_object_object_get_ex (o, "tasks", &rows)
      || !json_object_is_type (rows, json_type_array))
    {
      json_object_put (o);
      rr_error_set (err, RR_ERROR_INVALID, "stored progress can't be read");
      return NULL;
    }
  struct rr_progress *p = calloc (1, sizeof *p);
  assert (p != NULL);
  p->phase = phase;
  p->row_count = json_object_array_length (rows);
  p->rows = calloc (p->row_count + 1, sizeof *p->rows);
  assert (p->rows != NULL);
  bool valid = true;
  for (size_t i = 0; i < p->row_count; i++)
    valid = decode_row (json_object_array_get_idx (rows, i), &p->rows[i])
            && valid;
  json_object_put (o);
  if (valid)
    return p;
  rr_progress_free (p);
  rr_error_set (err, RR_ERROR_INVALID, "a row of stored progress is invalid");
  return NULL;
}

/* Frees P, which may be null.  */
void
rr_progress_free (struct rr_progress *p)
{
  if (p == NULL)
    return;
  free (p->rows);
  free (p);
}
