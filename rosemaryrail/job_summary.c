#include "rosemaryrail/job_summary.h"

#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#include "rosemaryrail/stored_fields.h"

/* The first field of a summary, by which it is told from a job graph without
   parsing either.  */
static const char first_field[] = "{\"ended\":";

/* Returns the stored form of S, a JSON text that the caller frees.  */
char *
rr_job_summary_encode (const struct rr_job_summary *s)
{
  struct json_object *o = json_object_new_object ();
  json_object_object_add (
      o, "ended", json_object_new_string (rr_job_phase_name (s->phase)));
  json_object_object_add (o, "id", json_object_new_string (s->id));
  json_object_object_add (o, "queue", json_object_new_string (s->queue));
  json_object_object_add (o, "shard", json_object_new_string (s->shard));
  json_object_object_add (o, "accepted",
                          json_object_new_int64 (s->accepted_ms));
  return rr_stored_finish (o);
}

static bool
get_text (struct json_object *o, const char *name, char *out)
{
  struct json_object *v = NULL;
  if (!json_object_object_get_ex (o, name, &v)
      || !json_object_is_type (v, json_type_string)
      || json_object_get_string_len (v) >= RR_JOB_NAME_SIZE)
    return false;
  snprintf (out, RR_JOB_NAME_SIZE, "%s", json_object_get_string (v));
  return true;
}

static bool
decode_final_phase (struct json_object *o, enum rr_job_phase *phase)
{
  char name[RR_JOB_NAME_SIZE];
  if (!get_text (o, "ended", name))
    return false;
  static const enum rr_job_phase phases[]
      = { RR_PHASE_COMPLETED, RR_PHASE_FAILED, RR_PHASE_CANCELLED };
  for (size_t i = 0; i < sizeof phases / sizeof phases[0]; i++)
    if (strcmp (name, rr_job_phase_name (phases[i])) == 0)
      {
        *phase = phases[i];
        return true;
      }
  return false;
}

/* Reads the stored form.  Returns false if TEXT is not a summary, for example
   because it is a job graph.  */
bool
rr_job_summary_decode (const char *text, size_t length,
                       struct rr_job_summary *s)
{
  memset (s, 0, sizeof *s);
  if (length < sizeof first_field - 1
      || strncmp (text, first_field, sizeof first_field - 1) != 0)
    return false;
  struct json_tokener *tok = json_tokener_new ();
  struct json_object *o = json_tokener_parse_ex (tok, text, (int)length);
  json_tokener_free (tok);
  struct json_object *accepted = NULL;
  bool ok = json_object_is_type (o, json_type_object)
            && decode_final_phase (o, &s->phase) && get_text (o, "id", s->id)
            && get_text (o, "queue", s->queue)
            && get_text (o, "shard", s->shard);
  if (ok && json_object_object_get_ex (o, "accepted", &accepted))
    s->accepted_ms = json_object_get_int64 (accepted);
  json_object_put (o);
  return ok;
}
