#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "rosemaryrail/config_check.h"

enum
{
  JSON_FLAGS = JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE,
  FIXED_PARTS = 4,
};

static void
format_digest (XXH128_hash_t h, char digest[RR_CONFIG_DIGEST_SIZE])
{
  snprintf (digest, RR_CONFIG_DIGEST_SIZE, "%016llx%016llx",
            (unsigned long long)h.high64, (unsigned long long)h.low64);
}

/* Writes the 128-bit xxhash of TEXT into DIGEST as hex digits.  */
void
rr_config_text_digest (const char *text, size_t length,
                       char digest[RR_CONFIG_DIGEST_SIZE])
{
  format_digest (XXH3_128bits (text, length), digest);
}

/* Appends the part NAME with the text of O, which it consumes.  */
static void
add_part (struct rr_config_parts *parts, const char *prefix, const char *name,
          struct json_object *o)
{
  struct rr_config_part *part = &parts->items[parts->count++];
  snprintf (part->name, sizeof part->name, "%s%s", prefix, name);
  part->text = strdup (
      json_object_to_json_string_length (o, JSON_FLAGS, &part->length));
  assert (part->text != NULL);
  rr_config_text_digest (part->text, part->length, part->digest);
  json_object_put (o);
}

static struct json_object *
wrap (const char *name, struct json_object *value)
{
  struct json_object *o = json_object_new_object ();
  json_object_object_add (o, name, value);
  return o;
}

/* Returns the policy parameters of C that differ from their defaults.  The
   others are left out, so that a version that adds or removes a parameter can
   share a configuration with one that does not.  */
static struct json_object *
policy_json (const struct rr_config *c)
{
  struct rr_fields fields;
  rr_config_policy_fields (c->parameters, &fields);
  struct json_object *o = json_object_new_object ();
  for (size_t i = 0; i < fields.count; i++)
    if (c->policy[i] != fields.items[i].value_default)
      json_object_object_add (o, fields.items[i].name,
                              rr_field_json (&fields.items[i], c->policy));
  rr_config_policy_fields_free (&fields);
  return o;
}

/* Splits C into parts with canonical texts: limits, policy, drains, services,
   then each team in the order of names.  The caller frees them with
   rr_config_parts_free.  */
void
rr_config_split (const struct rr_config *c, struct rr_config_parts *parts)
{
  parts->items = calloc (c->team_count + FIXED_PARTS, sizeof *parts->items);
  assert (parts->items != NULL);
  parts->count = 0;
  add_part (
      parts, "", "limits",
      wrap ("limits", rr_fields_json (&rr_config_limits_fields, &c->limits)));
  add_part (parts, "", "policy", wrap ("policy", policy_json (c)));
  struct json_object *list = json_object_new_array ();
  for (size_t i = 0; i < c->drain_count; i++)
    json_object_array_add (list, json_object_new_string (c->drains[i].vm));
  add_part (parts, "", "drains", wrap ("drains", list));
  list = json_object_new_array ();
  for (size_t i = 0; i < c->service_count; i++)
    json_object_array_add (
        list, rr_fields_json (&rr_config_service_fields, &c->services[i]));
  add_part (parts, "", "services", wrap ("services", list));
  size_t job = 0; /* jobs are sorted by team, as are the teams */
  for (size_t i = 0; i < c->team_count; i++)
    {
      const struct rr_config_team *team = &c->teams[i];
      list = json_object_new_array ();
      json_object_array_add (list,
                             rr_fields_json (&rr_config_team_fields, team));
      struct json_object *o = wrap ("teams", list);
      list = json_object_new_array ();
      for (; job < c->job_count && strcmp (c->jobs[job].team, team->name) == 0;
           job++)
        json_object_array_add (
            list, rr_fields_json (&rr_config_job_fields, &c->jobs[job]));
      json_object_object_add (o, "jobs", list);
      add_part (parts, "team/", team->name, o);
    }
}

/* Puts PARTS together again, as read from the platform or a peer.  A part
   whose text does not have its digest is an error, like any other fault of
   the texts; the part's name takes the place of the file name.  */
struct rr_config *
rr_config_join (const struct rr_config_parts *parts,
                struct rr_parameter_table parameters,
                struct rr_config_errors *errors)
{
  struct rr_config_file *files = calloc (parts->count + 1, sizeof *files);
  assert (files != NULL);
  bool ok = true;
  for (size_t i = 0; i < parts->count; i++)
    {
      const struct rr_config_part *part = &parts->items[i];
      char digest[RR_CONFIG_DIGEST_SIZE];
      rr_config_text_digest (part->text, part->length, digest);
      if (strcmp (digest, part->digest) != 0)
        {
          rr_config_errors_add (errors, part->name, 1, 1,
                                "digest of the text: expected %s, got %s",
                                part->digest, digest);
          ok = false;
        }
      files[i]
          = (struct rr_config_file){ part->name, part->text, part->length };
    }
  struct rr_config *c = NULL;
  if (ok)
    c = rr_config_parse (files, parts->count, parameters, errors);
  free (files);
  return c;
}

/* Frees what PARTS holds.  */
void
rr_config_parts_free (struct rr_config_parts *parts)
{
  for (size_t i = 0; i < parts->count; i++)
    free (parts->items[i].text);
  free (parts->items);
  memset (parts, 0, sizeof *parts);
}

/* The digest of a configuration: over the lines "NAME DIGEST" of its parts. */
static void
digest_part_refs (const struct rr_config_part_ref *refs, size_t count,
                  char digest[RR_CONFIG_DIGEST_SIZE])
{
  XXH3_state_t *state = XXH3_createState ();
  assert (state != NULL);
  XXH3_128bits_reset (state);
  for (size_t i = 0; i < count; i++)
    {
      char line[RR_CONFIG_PART_NAME_SIZE + RR_CONFIG_DIGEST_SIZE + 2];
      int n = snprintf (line, sizeof line, "%s %s\n", refs[i].name,
                        refs[i].digest);
      XXH3_128bits_update (state, line, (size_t)n);
    }
  format_digest (XXH3_128bits_digest (state), digest);
  XXH3_freeState (state);
}

/* Fills HEAD for PARTS; PARENT is the digest of the configuration before or
   empty.  The caller frees HEAD with rr_config_head_free.  */
void
rr_config_head_build (const struct rr_config_parts *parts, int64_t generation,
                      const char *parent, struct rr_config_head *head)
{
  memset (head, 0, sizeof *head);
  head->generation = generation;
  snprintf (head->parent, sizeof head->parent, "%s", parent);
  head->parts = calloc (parts->count + 1, sizeof *head->parts);
  assert (head->parts != NULL);
  for (size_t i = 0; i < parts->count; i++)
    {
      struct rr_config_part_ref *ref = &head->parts[head->part_count++];
      memcpy (ref->name, parts->items[i].name, sizeof ref->name);
      memcpy (ref->digest, parts->items[i].digest, sizeof ref->digest);
    }
  digest_part_refs (head->parts, head->part_count, head->digest);
}

static void
add_text (struct json_object *o, const char *name, const char *value)
{
  json_object_object_add (o, name, json_object_new_string (value));
}

/* Returns HEAD as JSON; the caller frees it.  */
char *
rr_config_head_text (const struct rr_config_head *head)
{
  struct json_object *o = json_object_new_object ();
  json_object_object_add (o, "generation",
                          json_object_new_int64 (head->generation));
  add_text (o, "digest", head->digest);
  add_text (o, "parent", head->parent);
  struct json_object *list = json_object_new_array ();
  for (size_t i = 0; i < head->part_count; i++)
    {
      struct json_object *part = json_object_new_object ();
      add_text (part, "name", head->parts[i].name);
      add_text (part, "digest", head->parts[i].digest);
      json_object_array_add (list, part);
    }
  json_object_object_add (o, "parts", list);
  char *text = strdup (json_object_to_json_string_ext (o, JSON_FLAGS));
  assert (text != NULL);
  json_object_put (o);
  return text;
}

static bool
digest_valid (const char *s)
{
  return strlen (s) == RR_CONFIG_DIGEST_SIZE - 1
         && strspn (s, "0123456789abcdef") == RR_CONFIG_DIGEST_SIZE - 1;
}

struct head_fields
{
  int64_t generation;
  char digest[RR_CONFIG_DIGEST_SIZE];
};

struct head_part_fields
{
  char name[RR_CONFIG_PART_NAME_SIZE];
  char digest[RR_CONFIG_DIGEST_SIZE];
};

#define TEXT_FIELD(type, field)                                               \
  {                                                                           \
    .name = #field, .kind = RR_FIELD_TEXT, .required = true,                  \
    .offset = offsetof (struct type, field),                                  \
    .size = sizeof ((struct type *)0)->field                                  \
  }

static const struct rr_field generation_field
    = { .name = "generation",
        .kind = RR_FIELD_INT,
        .required = true,
        .offset = offsetof (struct head_fields, generation),
        .min = 1,
        .max = 9007199254740992.0 };
static const struct rr_field digest_field = TEXT_FIELD (head_fields, digest);
static const struct rr_field part_fields[]
    = { TEXT_FIELD (head_part_fields, name),
        TEXT_FIELD (head_part_fields, digest) };
static const struct rr_fields part_object
    = { "a part", part_fields, RR_FIELD_COUNT (part_fields) };

/* Reads the list of parts of the head in D.  */
static void
read_head_parts (const struct rr_document *d, const struct rr_node *list,
                 struct rr_config_head *head, struct rr_config_errors *errors)
{
  size_t count = 0;
  const struct rr_node *n;
  for (n = rr_node_first (d, list); n != NULL; n = rr_node_next (d, n))
    count++;
  head->parts = calloc (count + 1, sizeof *head->parts);
  assert (head->parts != NULL);
  for (n = rr_node_first (d, list); n != NULL; n = rr_node_next (d, n))
    {
      struct head_part_fields part;
      struct rr_config_part_ref *ref = &head->parts[head->part_count++];
      rr_fields_read (d, n, &part_object, &part, errors);
      memcpy (ref->name, part.name, sizeof ref->name);
      memcpy (ref->digest, part.digest, sizeof ref->digest);
      if (!digest_valid (ref->digest))
        rr_document_error (d, n, errors, "a part's digest is malformed");
    }
}

static void
read_head (const struct rr_document *d, struct rr_config_head *head,
           struct rr_config_errors *errors)
{
  const struct rr_node *root = &d->nodes[0];
  const struct rr_node *generation = rr_node_member (d, root, "generation");
  const struct rr_node *digest = rr_node_member (d, root, "digest");
  const struct rr_node *parent = rr_node_member (d, root, "parent");
  const struct rr_node *parts = rr_node_member (d, root, "parts");
  if (generation == NULL || digest == NULL || parent == NULL || parts == NULL
      || parent->type != json_type_string || parts->type != json_type_array)
    {
      rr_document_error (d, root, errors,
                         "expected generation, digest, parent and parts");
      return;
    }
  struct head_fields fields = { 0 };
  rr_field_read (d, generation, &generation_field, &fields, errors);
  rr_field_read (d, digest, &digest_field, &fields, errors);
  const char *parent_text = json_object_get_string (parent->scalar);
  if (parent_text[0] != '\0' && !digest_valid (parent_text))
    rr_document_error (d, parent, errors, "the parent digest is malformed");
  head->generation = fields.generation;
  memcpy (head->digest, fields.digest, sizeof head->digest);
  snprintf (head->parent, sizeof head->parent, "%s", parent_text);
  read_head_parts (d, parts, head, errors);
  char actual[RR_CONFIG_DIGEST_SIZE];
  digest_part_refs (head->parts, head->part_count, actual);
  if (errors->count == 0 && strcmp (actual, head->digest) != 0)
    rr_document_error (d, digest, errors,
                       "the digest does not match the parts");
}

/* Reads the value of config/head into HEAD, which the caller frees with
   rr_config_head_free when this succeeds.  Fails with RR_ERROR_INVALID.  */
bool
rr_config_head_parse (const char *text, size_t length,
                      struct rr_config_head *head, struct rr_error *err)
{
  struct rr_document d;
  struct rr_config_errors errors = { 0 };
  struct rr_config_file file = { "config/head", text, length };
  memset (head, 0, sizeof *head);
  if (rr_document_parse (&d, &file, &errors))
    read_head (&d, head, &errors);
  rr_document_free (&d);
  bool ok = errors.count == 0;
  if (!ok)
    {
      rr_error_set (err, RR_ERROR_INVALID, "%s:%u:%u: %s",
                    errors.items[0].file, errors.items[0].line,
                    errors.items[0].column, errors.items[0].message);
      rr_config_head_free (head);
    }
  rr_config_errors_free (&errors);
  return ok;
}

/* Frees what HEAD holds.  */
void
rr_config_head_free (struct rr_config_head *head)
{
  free (head->parts);
  memset (head, 0, sizeof *head);
}
