#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryrail/document.h"

static void
errors_add (struct rr_config_errors *errors, const char *file, unsigned line,
            unsigned column, const char *format, va_list args)
{
  if (errors->count == RR_CONFIG_ERRORS_MAX)
    return;
  if (errors->count == errors->capacity)
    {
      errors->capacity = errors->capacity == 0 ? 8 : errors->capacity * 2;
      errors->items
          = realloc (errors->items, errors->capacity * sizeof *errors->items);
      assert (errors->items != NULL);
    }
  struct rr_config_error *e = &errors->items[errors->count++];
  e->file = strdup (file);
  e->line = line;
  e->column = column;
  int n = vasprintf (&e->message, format, args);
  assert (n >= 0 && e->file != NULL);
  (void)n;
}

/* Appends an error at LINE and COLUMN of FILE.  */
void
rr_config_errors_add (struct rr_config_errors *errors, const char *file,
                      unsigned line, unsigned column, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  errors_add (errors, file, line, column, format, args);
  va_end (args);
}

/* Appends an error at the source location of N.  */
void
rr_document_error (const struct rr_document *d, const struct rr_node *n,
                   struct rr_config_errors *errors, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  errors_add (errors, d->file, n->line, n->column, format, args);
  va_end (args);
}

struct ranked_error
{
  struct rr_config_error error;
  size_t file_rank;
  size_t sequence;
};

static int
compare_ranked (const void *a, const void *b)
{
  const struct ranked_error *x = a;
  const struct ranked_error *y = b;
  if (x->file_rank != y->file_rank)
    return x->file_rank < y->file_rank ? -1 : 1;
  if (x->error.line != y->error.line)
    return x->error.line < y->error.line ? -1 : 1;
  if (x->error.column != y->error.column)
    return x->error.column < y->error.column ? -1 : 1;
  return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

/* Sorts ERRORS by file in the order of FILES, then by line and column; errors
   at the same location keep their order.  */
void
rr_config_errors_sort (struct rr_config_errors *errors,
                       const struct rr_config_file *files, size_t file_count)
{
  if (errors->count < 2)
    return;
  struct ranked_error *ranked = calloc (errors->count, sizeof *ranked);
  assert (ranked != NULL);
  for (size_t i = 0; i < errors->count; i++)
    {
      size_t rank = 0;
      while (rank < file_count
             && strcmp (files[rank].name, errors->items[i].file) != 0)
        rank++;
      ranked[i] = (struct ranked_error){ errors->items[i], rank, i };
    }
  qsort (ranked, errors->count, sizeof *ranked, compare_ranked);
  for (size_t i = 0; i < errors->count; i++)
    errors->items[i] = ranked[i].error;
  free (ranked);
}

/* Frees the errors in ERRORS and leaves it empty.  */
void
rr_config_errors_free (struct rr_config_errors *errors)
{
  for (size_t i = 0; i < errors->count; i++)
    {
      free (errors->items[i].file);
      free (errors->items[i].message);
    }
  free (errors->items);
  memset (errors, 0, sizeof *errors);
}

/* Returns one line "FILE:LINE:COLUMN: MESSAGE" for each error; the caller
   frees it.  */
char *
rr_config_errors_text (const struct rr_config_errors *errors)
{
  char *text = NULL;
  size_t length = 0;
  FILE *out = open_memstream (&text, &length);
  assert (out != NULL);
  for (size_t i = 0; i < errors->count; i++)
    fprintf (out, "%s:%u:%u: %s\n", errors->items[i].file,
             errors->items[i].line, errors->items[i].column,
             errors->items[i].message);
  fclose (out);
  return text;
}
