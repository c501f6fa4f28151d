#include "rosemaryrail/progress.h"

#include <assert.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryrail/stored_fields.h"

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

#define ROW(member) offsetof (struct rr_progress_row, member)

static const struct rr_stored_field row_fields[] = {
  { "number", RR_STORED_UINT32, ROW (number) },
  { "run", RR_STORED_COUNT, ROW (run) },
  { "failures", RR_STORED_UINT32, ROW (failures) },
  { "done", RR_STORED_BOOL, ROW (done) },
  { "recorded_ends", RR_STORED_BITS, ROW (recorded_ends) },
  { "checkpoint", RR_STORED_TEXT, ROW (checkpoint) },
  { "crashes", RR_STORED_UINT32, ROW (crashes) },
  { "checkpoint_run", RR_STORED_COUNT, ROW (checkpoint_run) },
  { "older_ends", RR_STORED_RUNS, ROW (older_ends) },
  { "failed_runs", RR_STORED_RUNS, ROW (failed_runs) },
};

enum
{
  ROW_FIELDS = sizeof row_fields / sizeof row_fields[0]
};

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
    json_object_array_add (
        rows, rr_stored_row_new (row_fields, ROW_FIELDS, &p->rows[i]));
  json_object_object_add (o, "tasks", rows);
  return rr_stored_finish (o);
}

static bool
decode_phase (struct json_object *o, enum rr_job_phase *phase)
{
  struct json_object *v = NULL;
  if (!json_object_object_get_ex (o, "phase", &v)
      || !json_object_is_type (v, json_type_string))
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
    valid = valid
            && rr_stored_row_read (json_object_array_get_idx (rows, i),
                                   row_fields, ROW_FIELDS, &p->rows[i], err);
  json_object_put (o);
  if (valid)
    return p;
  rr_progress_free (p);
  return NULL;
}

/* Frees P, which may be null.  */
void
rr_progress_free (struct rr_progress *p)
{
  if (p == NULL)
    return;
  for (size_t i = 0; i < p->row_count; i++)
    {
      rr_text_unref (p->rows[i].checkpoint);
      rr_run_set_clear (&p->rows[i].older_ends);
      rr_run_set_clear (&p->rows[i].failed_runs);
    }
  free (p->rows);
  free (p);
}
