#include "rosemaryrail/histogram.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "rosemaryrail/counter.h"

/* Buffer size of an escaped label value; longer values are truncated.  Names
   in the configuration are far shorter.  */
#define LABEL_SIZE 512

/* An exposed bucket covers a factor of two (8 bins), as every bucket adds one
   line for each combination of service, class and team.  */
#define BINS_PER_BUCKET 8

struct set_entry
{
  uint64_t hash;
  char *service;
  char *class_name;
  char *team;
  struct rr_histogram *histogram;
};

struct rr_histogram_set
{
  struct set_entry *entries;
  size_t count;
  size_t capacity;
};

/* Returns an empty set; the caller frees it with rr_histogram_set_free.  */
struct rr_histogram_set *
rr_histogram_set_new (void)
{
  return calloc (1, sizeof (struct rr_histogram_set));
}

/* Frees S, which may be null, and its histograms.  */
void
rr_histogram_set_free (struct rr_histogram_set *s)
{
  if (s == NULL)
    return;
  for (size_t i = 0; i < s->count; i++)
    {
      free (s->entries[i].service);
      free (s->entries[i].class_name);
      free (s->entries[i].team);
      rr_histogram_free (s->entries[i].histogram);
    }
  free (s->entries);
  free (s);
}

static uint64_t
hash_key (const struct rr_histogram_key *key)
{
  uint64_t hash
      = XXH3_64bits_withSeed (key->service, strlen (key->service), 0);
  hash
      = XXH3_64bits_withSeed (key->class_name, strlen (key->class_name), hash);
  return XXH3_64bits_withSeed (key->team, strlen (key->team), hash);
}

static bool
matches (const struct set_entry *e, const struct rr_histogram_key *key)
{
  return (key->service == NULL || strcmp (e->service, key->service) == 0)
         && (key->class_name == NULL
             || strcmp (e->class_name, key->class_name) == 0)
         && (key->team == NULL || strcmp (e->team, key->team) == 0);
}

/* Returns the histogram of KEY, created empty on first use.  All members of
   KEY must be set.  S owns the histogram, which is valid until S is freed.  */
struct rr_histogram *
rr_histogram_set_get (struct rr_histogram_set *s,
                      const struct rr_histogram_key *key)
{
  uint64_t hash = hash_key (key);
  for (size_t i = 0; i < s->count; i++)
    if (s->entries[i].hash == hash && matches (&s->entries[i], key))
      return s->entries[i].histogram;
  if (s->count == s->capacity)
    {
      s->capacity = s->capacity == 0 ? 16 : 2 * s->capacity;
      s->entries = reallocarray (s->entries, s->capacity, sizeof *s->entries);
    }
  struct set_entry *e = &s->entries[s->count++];
  e->hash = hash;
  e->service = strdup (key->service);
  e->class_name = strdup (key->class_name);
  e->team = strdup (key->team);
  e->histogram = rr_histogram_new ();
  return e->histogram;
}

/* Adds to INTO every histogram of S that matches KEY; a null member of KEY
   matches any value.  Returns the number of matching histograms.  */
size_t
rr_histogram_set_collect (const struct rr_histogram_set *s,
                          const struct rr_histogram_key *key,
                          struct rr_histogram *into)
{
  size_t matched = 0;
  for (size_t i = 0; i < s->count; i++)
    if (matches (&s->entries[i], key))
      {
        rr_histogram_merge (into, s->entries[i].histogram);
        matched++;
      }
  return matched;
}

/* Adds every histogram of FROM to the one with the same key in INTO.  */
void
rr_histogram_set_merge (struct rr_histogram_set *into,
                        const struct rr_histogram_set *from)
{
  for (size_t i = 0; i < from->count; i++)
    {
      struct rr_histogram_key key;
      struct rr_histogram *h = rr_histogram_set_at (from, i, &key);
      rr_histogram_merge (rr_histogram_set_get (into, &key), h);
    }
}

/* Returns the number of histograms.  */
size_t
rr_histogram_set_size (const struct rr_histogram_set *s)
{
  return s->count;
}

/* Returns the I-th histogram in order of creation and stores its key in KEY;
   returns null past the end.  */
struct rr_histogram *
rr_histogram_set_at (const struct rr_histogram_set *s, size_t i,
                     struct rr_histogram_key *key)
{
  if (i >= s->count)
    return NULL;
  const struct set_entry *e = &s->entries[i];
  key->service = e->service;
  key->class_name = e->class_name;
  key->team = e->team;
  return e->histogram;
}

static void
expose_entry (FILE *out, const char *name, const struct set_entry *e)
{
  char service[LABEL_SIZE];
  char class_name[LABEL_SIZE];
  char team[LABEL_SIZE];
  char labels[3 * LABEL_SIZE + 40];
  rr_label_escape (e->service, service, sizeof service);
  rr_label_escape (e->class_name, class_name, sizeof class_name);
  rr_label_escape (e->team, team, sizeof team);
  snprintf (labels, sizeof labels, "service=\"%s\",class=\"%s\",team=\"%s\"",
            service, class_name, team);
  uint64_t total = 0;
  size_t bins = rr_histogram_bins ();
  for (size_t i = 0; i < bins; i++)
    {
      total += rr_histogram_bin (e->histogram, i);
      /* The last bin also counts values above the range, so it is part of
         "+Inf" only.  */
      if ((i + 1) % BINS_PER_BUCKET == 0 && i + 1 < bins)
        fprintf (out, "%s_bucket{%s,le=\"%.8g\"} %" PRIu64 "\n", name, labels,
                 rr_histogram_bin_upper (i) / 1000, total);
    }
  fprintf (out, "%s_bucket{%s,le=\"+Inf\"} %" PRIu64 "\n", name, labels,
           total);
  fprintf (out, "%s_sum{%s} %.9g\n", name, labels,
           rr_histogram_sum (e->histogram) / 1000);
  fprintf (out, "%s_count{%s} %" PRIu64 "\n", name, labels, total);
}

/* Returns the text exposition of S as the histogram family NAME, in seconds,
   with labels service, class and team.  HELP must not contain a line feed.
   The caller frees the text.  */
char *
rr_histogram_set_expose (const struct rr_histogram_set *s, const char *name,
                         const char *help)
{
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);
  fprintf (out, "# HELP %s %s\n# TYPE %s histogram\n", name, help, name);
  for (size_t i = 0; i < s->count; i++)
    expose_entry (out, name, &s->entries[i]);
  fclose (out);
  return text;
}
