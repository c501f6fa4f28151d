#ifndef ROSEMARYRAIL_DOCUMENT_H
#define ROSEMARYRAIL_DOCUMENT_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>

#include "rosemaryrail/config.h"

/* One value of a JSON text with its source location.  SCALAR is null for
   objects, arrays and the JSON null.  FIRST_CHILD and NEXT are indices into
   the document's nodes; 0, the index of the root, means none, as the root is
   nobody's child or sibling.  */
struct rr_node
{
  enum json_type type;
  struct json_object *scalar;
  char *key; /* null for array elements and the root */
  unsigned line;
  unsigned column;
  unsigned key_line;
  unsigned key_column;
  size_t first_child;
  size_t next;
};

struct rr_document
{
  char *file;
  struct rr_node *nodes; /* in document order; the root is node 0 */
  size_t count;
  size_t capacity;
};

bool rr_document_parse (struct rr_document *d,
                        const struct rr_config_file *file,
                        struct rr_config_errors *errors);
void rr_document_free (struct rr_document *d);
const struct rr_node *rr_node_first (const struct rr_document *d,
                                     const struct rr_node *n);
const struct rr_node *rr_node_next (const struct rr_document *d,
                                    const struct rr_node *n);
const struct rr_node *rr_node_member (const struct rr_document *d,
                                      const struct rr_node *n,
                                      const char *key);

void rr_config_errors_add (struct rr_config_errors *errors, const char *file,
                           unsigned line, unsigned column, const char *format,
                           ...) __attribute__ ((format (printf, 5, 6)));
void rr_document_error (const struct rr_document *d, const struct rr_node *n,
                        struct rr_config_errors *errors, const char *format,
                        ...) __attribute__ ((format (printf, 4, 5)));
void rr_config_errors_sort (struct rr_config_errors *errors,
                            const struct rr_config_file *files,
                            size_t file_count);

#endif
