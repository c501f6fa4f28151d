#include <assert.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "common/json.h"
#include "rosemaryctl/ctl.h"

/* Appends a row of COUNT strings, which are copied.  COUNT must be the same
   for all rows of a table.  */
void
ctl_columns_add (struct ctl_columns *t, size_t count, ...)
{
  assert (t->column_count == 0 || t->column_count == count);
  t->column_count = count;
  t->rows = realloc (t->rows, (t->row_count + 1) * sizeof (char **));
  char **row = calloc (count, sizeof (char *));
  assert (t->rows != NULL && row != NULL);
  t->rows[t->row_count++] = row;
  va_list args;
  va_start (args, count);
  for (size_t i = 0; i < count; i++)
    {
      row[i] = strdup (va_arg (args, const char *));
      assert (row[i] != NULL);
    }
  va_end (args);
}

/* Prints the rows with aligned columns and frees the contents of T.  */
void
ctl_columns_print (struct ctl_columns *t)
{
  for (size_t r = 0; r < t->row_count; r++)
    {
      for (size_t c = 0; c < t->column_count; c++)
        {
          size_t width = 0;
          for (size_t i = 0; i < t->row_count; i++)
            if (strlen (t->rows[i][c]) > width)
              width = strlen (t->rows[i][c]);
          bool last = c + 1 == t->column_count;
          printf ("%s%-*s", c == 0 ? "" : "  ", last ? 0 : (int)width,
                  t->rows[r][c]);
        }
      putchar ('\n');
    }
  for (size_t r = 0; r < t->row_count; r++)
    {
      for (size_t c = 0; c < t->column_count; c++)
        free (t->rows[r][c]);
      free (t->rows[r]);
    }
  free (t->rows);
  memset (t, 0, sizeof *t);
}

/* Returns the member NAME of O as text that O owns, or "-" when the member is
   missing or empty.  */
const char *
ctl_text (struct json_object *o, const char *name)
{
  struct json_object *v = NULL;
  if (!json_object_is_type (o, json_type_object)
      || !json_object_object_get_ex (o, name, &v) || v == NULL)
    return "-";
  const char *text = json_object_is_type (v, json_type_string)
                         ? json_object_get_string (v)
                         : json_text (v);
  return text[0] == '\0' ? "-" : text;
}

/* Like ctl_text, but also returns "-" for a negative count, which means
   unknown.  */
const char *
ctl_count (struct json_object *o, const char *name)
{
  return json_int_or (o, name, 0) < 0 ? "-" : ctl_text (o, name);
}

/* Returns the member NAME of O when it is an array, otherwise null.  */
struct json_object *
ctl_list (struct json_object *o, const char *name)
{
  struct json_object *v = NULL;
  if (!json_object_is_type (o, json_type_object)
      || !json_object_object_get_ex (o, name, &v)
      || !json_object_is_type (v, json_type_array))
    return NULL;
  return v;
}

/* Formats MS in milliseconds, seconds, minutes or hours, depending on its
   size.  */
const char *
ctl_duration (long long ms, char text[32])
{
  if (ms < 1000)
    snprintf (text, 32, "%lld ms", ms);
  else if (ms < 60000)
    snprintf (text, 32, "%.1f s", (double)ms / 1000);
  else if (ms < 3600000)
    snprintf (text, 32, "%.1f min", (double)ms / 60000);
  else
    snprintf (text, 32, "%.1f h", (double)ms / 3600000);
  return text;
}

/* Formats a time stamp.  Values from the year 2000 on are milliseconds since
   1970 and become UTC; smaller ones come from another clock and stay
   numbers.  */
const char *
ctl_time (int64_t ms, char text[40])
{
  const int64_t year_2000_ms = 946684800000;
  if (ms < year_2000_ms)
    {
      snprintf (text, 40, "%lld ms", (long long)ms);
      return text;
    }
  time_t seconds = (time_t)(ms / 1000);
  struct tm utc;
  char stamp[32];
  if (gmtime_r (&seconds, &utc) == NULL)
    return "-";
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &utc);
  snprintf (text, 40, "%s.%03dZ", stamp, (int)(ms % 1000));
  return text;
}
