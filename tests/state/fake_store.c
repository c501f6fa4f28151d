#include "fake_store.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

static void
values_free (struct store_value *values, int count)
{
  for (int i = 0; i < count; i++)
    free (values[i].data);
}

static void
values_copy (struct store_value *to, const struct store_value *from, int count)
{
  for (int i = 0; i < count; i++)
    {
      to[i] = from[i];
      to[i].data = malloc (from[i].length + 1);
      assert (to[i].data != NULL);
      memcpy (to[i].data, from[i].data, from[i].length);
    }
}

void
store_free (struct fake_store *s)
{
  values_free (s->values, s->count);
  values_free (s->backup, s->backup_count);
}

struct store_value *
store_find (struct fake_store *s, const char *key)
{
  for (int i = 0; i < s->count; i++)
    if (strcmp (s->values[i].key, key) == 0)
      return &s->values[i];
  return NULL;
}

/* Stores the value of KEY in RESULT; it points into the store.  */
void
store_read (struct fake_store *s, const char *key, struct rr_kv_result *result)
{
  const struct store_value *v = store_find (s, key);
  memset (result, 0, sizeof *result);
  if (v == NULL)
    return;
  result->revision = v->revision;
  result->value = v->data;
  result->length = v->length;
}

/* Writes KEY if its revision is EXPECT (0: absent).  */
void
store_write (struct fake_store *s, const char *key, const uint8_t *data,
             size_t length, uint64_t expect, struct rr_kv_result *result)
{
  struct store_value *v = store_find (s, key);
  if ((v == NULL ? 0 : v->revision) != expect)
    {
      store_read (s, key, result);
      result->status = RR_KV_CONFLICT;
      return;
    }
  if (v == NULL)
    {
      assert (s->count < (int)STORE_KEYS_MAX);
      v = &s->values[s->count++];
      memset (v, 0, sizeof *v);
      memcpy (v->key, key, strlen (key) + 1);
    }
  free (v->data);
  v->data = malloc (length + 1);
  assert (v->data != NULL);
  memcpy (v->data, data, length);
  v->length = length;
  v->revision = ++s->revision;
  memset (result, 0, sizeof *result);
  result->revision = v->revision;
}

void
store_backup (struct fake_store *s)
{
  values_free (s->backup, s->backup_count);
  values_copy (s->backup, s->values, s->count);
  s->backup_count = s->count;
  s->backup_revision = s->revision;
}

/* Puts the store back to its backup, revisions included.  */
void
store_restore (struct fake_store *s)
{
  values_free (s->values, s->count);
  values_copy (s->values, s->backup, s->backup_count);
  s->count = s->backup_count;
  s->revision = s->backup_revision;
}
