#ifndef ROSEMARYRAIL_STORED_FIELDS_H
#define ROSEMARYRAIL_STORED_FIELDS_H

#include <stdbool.h>
#include <stddef.h>

#include "rosemaryrail/error.h"

/* Members of a struct that are stored as JSON.  One table serves both to write
   and to read them, so that what is written is read back.  Members that are 0
   or empty are left out of objects.  */

struct json_object;

enum rr_stored_kind
{
  RR_STORED_BOOL, /* as 0 or 1 */
  RR_STORED_INT32,
  RR_STORED_INT64,
  RR_STORED_UINT32,
  RR_STORED_COUNT, /* uint64_t up to INT64_MAX */
  RR_STORED_BITS,  /* uint64_t, as the signed number with the same bits */
  RR_STORED_NAME,  /* char[RR_JOB_NAME_SIZE] */
  RR_STORED_TEXT,  /* struct rr_text *, which the reader unreferences */
  RR_STORED_RUNS   /* struct rr_run_set, which the reader clears */
};

struct rr_stored_field
{
  const char *name;
  enum rr_stored_kind kind;
  size_t offset;
};

void rr_stored_object_write (struct json_object *o,
                             const struct rr_stored_field *fields,
                             size_t count, const void *base);
bool rr_stored_object_read (struct json_object *o,
                            const struct rr_stored_field *fields, size_t count,
                            void *base, struct rr_error *err);
struct json_object *rr_stored_row_new (const struct rr_stored_field *fields,
                                       size_t count, const void *base);
bool rr_stored_row_read (struct json_object *row,
                         const struct rr_stored_field *fields, size_t count,
                         void *base, struct rr_error *err);
char *rr_stored_finish (struct json_object *o);

#endif
