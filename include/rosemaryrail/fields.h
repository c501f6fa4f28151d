#ifndef ROSEMARYRAIL_FIELDS_H
#define ROSEMARYRAIL_FIELDS_H

#include "rosemaryrail/document.h"

enum rr_field_kind
{
  RR_FIELD_INT,     /* int64_t, MIN to MAX */
  RR_FIELD_NUMBER,  /* double, MIN to MAX */
  RR_FIELD_WHOLE,   /* double without a fraction, MIN to MAX */
  RR_FIELD_BOOL,    /* bool */
  RR_FIELD_NAME,    /* char[RR_CONFIG_NAME_SIZE]: letters, digits, ".-_" */
  RR_FIELD_ADDRESS, /* char[SIZE]: an IPv4 number */
  RR_FIELD_TEXT,    /* char[SIZE]: not empty, without control characters */
};

/* A member of a JSON object that is stored at OFFSET of a struct.  */
struct rr_field
{
  const char *name;
  enum rr_field_kind kind;
  bool required;
  size_t offset;
  size_t size;
  double min;
  double max;
  double value_default;     /* when absent; integers and booleans too */
  const char *text_default; /* when absent; null means empty */
};

struct rr_fields
{
  const char *object; /* what the object is, as in "a service" */
  const struct rr_field *items;
  size_t count;
};

#define RR_FIELD_COUNT(a) (sizeof (a) / sizeof (a)[0])

void rr_fields_set_defaults (const struct rr_fields *fields, void *out);
bool rr_fields_read (const struct rr_document *d, const struct rr_node *object,
                     const struct rr_fields *fields, void *out,
                     struct rr_config_errors *errors);
bool rr_field_read (const struct rr_document *d, const struct rr_node *value,
                    const struct rr_field *field, void *out,
                    struct rr_config_errors *errors);
void rr_fields_report_unknown (const struct rr_fields *fields,
                               const char *name, const char *file,
                               unsigned line, unsigned column,
                               struct rr_config_errors *errors);
struct json_object *rr_field_json (const struct rr_field *field,
                                   const void *in);
struct json_object *rr_fields_json (const struct rr_fields *fields,
                                    const void *in);
bool rr_name_valid (const char *s, size_t length);
struct json_object *rr_number_json (double value);

#endif
