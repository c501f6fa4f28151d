#include "rosemaryrail/counter.h"

#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Bounds memory when a label takes values from outside, such as team names
   that change; the design size needs 150 teams times a few classes.  */
#define SERIES_LIMIT 2000

struct series
{
  int family;
  uint64_t hash;
  char *values[RR_COUNTER_LABELS];
  int64_t value;
};

struct family
{
  enum rr_counter_kind kind;
  char *name;
  char *help;
  char *labels[RR_COUNTER_LABELS];
  int label_count;
  int series_count;
};

struct rr_counters
{
  struct family *families;
  int family_count;
  struct series *series;
  int series_count;
  int series_capacity;
};

/* Returns an empty registry; the caller frees it with rr_counters_free.  */
struct rr_counters *
rr_counters_new (void)
{
  return calloc (1, sizeof (struct rr_counters));
}

/* Frees R, which may be null.  */
void
rr_counters_free (struct rr_counters *r)
{
  if (r == NULL)
    return;
  for (int i = 0; i < r->family_count; i++)
    {
      free (r->families[i].name);
      free (r->families[i].help);
      for (int l = 0; l < RR_COUNTER_LABELS; l++)
        free (r->families[i].labels[l]);
    }
  for (int i = 0; i < r->series_count; i++)
    for (int l = 0; l < RR_COUNTER_LABELS; l++)
      free (r->series[i].values[l]);
  free (r->families);
  free (r->series);
  free (r);
}

/* Tells whether NAME is a valid metric name (COLON) or label name.  */
static bool
valid_name (const char *name, bool colon)
{
  if (name[0] == '\0' || (name[0] >= '0' && name[0] <= '9')
      || (!colon && strncmp (name, "__", 2) == 0))
    return false;
  for (const char *p = name; *p != '\0'; p++)
    {
      bool letter = (*p >= 'a' && *p <= 'z') || (*p >= 'A' && *p <= 'Z');
      bool digit = *p >= '0' && *p <= '9';
      if (!letter && !digit && *p != '_' && !(colon && *p == ':'))
        return false;
    }
  return true;
}

static int
count_labels (const char *const *labels)
{
  int n = 0;
  while (labels != NULL && labels[n] != NULL)
    n++;
  return n;
}

static bool
same_family (const struct family *f, enum rr_counter_kind kind,
             const char *help, const char *const *labels, int count)
{
  if (f->kind != kind || f->label_count != count
      || strcmp (f->help, help) != 0)
    return false;
  for (int i = 0; i < count; i++)
    if (strcmp (f->labels[i], labels[i]) != 0)
      return false;
  return true;
}

/* Declares the family NAME with HELP and LABELS (ends with null; null for
   none) and returns its number.  The same declaration again returns the same
   number.  Returns -1 with RR_ERROR_INVALID for a name or label that the
   exposition format doesn't allow or too many labels, and with
   RR_ERROR_CONFLICT for a family declared differently before.  */
int
rr_counter_declare (struct rr_counters *r, enum rr_counter_kind kind,
                    const char *name, const char *help,
                    const char *const *labels, struct rr_error *err)
{
  int count = count_labels (labels);
  bool valid = valid_name (name, true) && count <= RR_COUNTER_LABELS;
  for (int i = 0; valid && i < count; i++)
    valid = valid_name (labels[i], false);
  if (!valid)
    {
      rr_error_set (err, RR_ERROR_INVALID,
                    "metric \"%s\": name, label or number of labels is not "
                    "valid",
                    name);
      return -1;
    }
  for (int i = 0; i < r->family_count; i++)
    if (strcmp (r->families[i].name, name) == 0)
      {
        if (same_family (&r->families[i], kind, help, labels, count))
          return i;
        rr_error_set (err, RR_ERROR_CONFLICT,
                      "metric \"%s\" is declared in two forms", name);
        return -1;
      }
  r->families = reallocarray (r->families, (size_t)r->family_count + 1,
                              sizeof *r->families);
  struct family *f = &r->families[r->family_count];
  memset (f, 0, sizeof *f);
  f->kind = kind;
  f->name = strdup (name);
  f->help = strdup (help);
  f->label_count = count;
  for (int i = 0; i < count; i++)
    f->labels[i] = strdup (labels[i]);
  return r->family_count++;
}

static uint64_t
hash_values (int family, const char *const *values, int count)
{
  uint64_t hash = (uint64_t)family + 1;
  for (int i = 0; i < count; i++)
    hash = XXH3_64bits_withSeed (values[i], strlen (values[i]), hash);
  return hash;
}

static int
find_series (const struct rr_counters *r, int family,
             const char *const *values, uint64_t hash)
{
  int labels = r->families[family].label_count;
  for (int i = 0; i < r->series_count; i++)
    {
      const struct series *s = &r->series[i];
      if (s->hash != hash || s->family != family)
        continue;
      int l = 0;
      while (l < labels && strcmp (s->values[l], values[l]) == 0)
        l++;
      if (l == labels)
        return i;
    }
  return -1;
}

/* Returns the series of FAMILY with VALUES, one for each label, created at 0
   on first use.  Past 2000 series in a family, further combinations share the
   one whose values are all "other".  */
int
rr_counter_series (struct rr_counters *r, int family,
                   const char *const *values)
{
  static const char *const other[RR_COUNTER_LABELS]
      = { "other", "other", "other", "other" };
  struct family *f = &r->families[family];
  uint64_t hash = hash_values (family, values, f->label_count);
  int found = find_series (r, family, values, hash);
  if (found >= 0)
    return found;
  if (f->series_count >= SERIES_LIMIT)
    {
      values = other;
      hash = hash_values (family, values, f->label_count);
      found = find_series (r, family, values, hash);
      if (found >= 0)
        return found;
    }
  if (r->series_count == r->series_capacity)
    {
      r->series_capacity
          = r->series_capacity == 0 ? 32 : 2 * r->series_capacity;
      r->series = reallocarray (r->series, (size_t)r->series_capacity,
                                sizeof *r->series);
    }
  struct series *s = &r->series[r->series_count];
  memset (s, 0, sizeof *s);
  s->family = family;
  s->hash = hash;
  for (int i = 0; i < f->label_count; i++)
    s->values[i] = strdup (values[i]);
  f->series_count++;
  return r->series_count++;
}

/* Adds N to SERIES.  */
void
rr_counter_add (struct rr_counters *r, int series, uint64_t n)
{
  r->series[series].value += (int64_t)n;
}

/* Sets the gauge SERIES to VALUE.  */
void
rr_gauge_set (struct rr_counters *r, int series, int64_t value)
{
  r->series[series].value = value;
}

/* Returns the value of SERIES.  */
int64_t
rr_counter_value (const struct rr_counters *r, int series)
{
  return r->series[series].value;
}

static void
write_escaped (FILE *out, const char *text, bool quote)
{
  for (; *text != '\0'; text++)
    if (*text == '\\')
      fputs ("\\\\", out);
    else if (*text == '\n')
      fputs ("\\n", out);
    else if (*text == '"' && quote)
      fputs ("\\\"", out);
    else
      fputc (*text, out);
}

/* Writes TEXT to OUT with backslash, double quote and line feed escaped as in
   a label value; cut to SIZE bytes with the closing null, never inside an
   escape.  */
void
rr_label_escape (const char *text, char *out, size_t size)
{
  size_t used = 0;
  for (; *text != '\0'; text++)
    {
      bool escape = *text == '\\' || *text == '"' || *text == '\n';
      if (used + (escape ? 2 : 1) >= size)
        break;
      if (escape)
        out[used++] = '\\';
      out[used++] = *text == '\n' ? 'n' : *text;
    }
  if (size > 0)
    out[used] = '\0';
}

static void
write_series (FILE *out, const struct family *f, const struct series *s)
{
  fputs (f->name, out);
  for (int l = 0; l < f->label_count; l++)
    {
      fprintf (out, "%c%s=\"", l == 0 ? '{' : ',', f->labels[l]);
      write_escaped (out, s->values[l], true);
      fputc ('"', out);
    }
  fprintf (out, "%s %" PRId64 "\n", f->label_count > 0 ? "}" : "", s->value);
}

/* Returns the text exposition of all families: HELP and TYPE, then the samples
   in order of creation.  The caller frees it.  */
char *
rr_counters_expose (const struct rr_counters *r)
{
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);
  for (int i = 0; i < r->family_count; i++)
    {
      const struct family *f = &r->families[i];
      fprintf (out, "# HELP %s ", f->name);
      write_escaped (out, f->help, false);
      fprintf (out, "\n# TYPE %s %s\n", f->name,
               f->kind == RR_COUNTER ? "counter" : "gauge");
      for (int s = 0; s < r->series_count; s++)
        if (r->series[s].family == i)
          write_series (out, f, &r->series[s]);
    }
  fclose (out);
  return text;
}
