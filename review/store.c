#include "world.h"

#include <stdlib.h>
#include <string.h>

/* The platform's metadata store.  */

enum
{
  PAGE = 500, /* items in an answer */
  LATE_MAX = 16
};

struct item
{
  char key[256];
  char *value; /* base64 */
  int64_t revision;
  int64_t created;
  int64_t lease;
};

struct change
{
  char key[256];
  char *value; /* null: removed */
  int64_t revision;
  int64_t created;
  int64_t lease;
};

struct lease
{
  int64_t id;
  int64_t ttl;
  int64_t until; /* 0: ended */
};

struct late
{
  char *body; /* null: carried out */
  int64_t at;
};

enum store_mode store_mode;
int store_writes;
int store_lost;

static struct server ports[DAEMONS_MAX];
static struct item *items;
static size_t item_count;
static struct change *changes;
static size_t change_count;
static struct lease leases[4096];
static size_t lease_count;
static struct late late[LATE_MAX];
static size_t late_count;
static char lose_key[TEXT];
static int64_t lose_until;
static int64_t lose_late_ms;
static int64_t revision = 1;

static char *
encode (const char *text)
{
  static const char letters[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t n = strlen (text);
  char *out = calloc (1, n / 3 * 4 + 8);
  if (out == NULL)
    give_up ("no memory");
  size_t at = 0;
  for (size_t i = 0; i < n; i += 3)
    {
      uint32_t v = (uint32_t)(unsigned char)text[i] << 16;
      if (i + 1 < n)
        v |= (uint32_t)(unsigned char)text[i + 1] << 8;
      if (i + 2 < n)
        v |= (uint32_t)(unsigned char)text[i + 2];
      out[at++] = letters[v >> 18 & 63];
      out[at++] = letters[v >> 12 & 63];
      out[at++] = i + 1 < n ? letters[v >> 6 & 63] : '=';
      out[at++] = i + 2 < n ? letters[v & 63] : '=';
    }
  return out;
}

static struct item *
item_find (const char *key)
{
  for (size_t i = 0; i < item_count; i++)
    if (strcmp (items[i].key, key) == 0)
      return &items[i];
  return NULL;
}

static void
change_add (const struct item *it, const char *value)
{
  if (change_count % 1024 == 0)
    changes = grow (changes, (change_count + 1024) * sizeof *changes);
  struct change *c = &changes[change_count++];
  memset (c, 0, sizeof *c);
  memcpy (c->key, it->key, sizeof c->key);
  c->value = value == NULL ? NULL : strdup (value);
  c->revision = revision;
  c->created = it->created;
  c->lease = it->lease;
}

static void
item_put (const char *key, const char *value, int64_t lease)
{
  struct item *it = item_find (key);
  if (it == NULL)
    {
      if (item_count % 256 == 0)
        items = grow (items, (item_count + 256) * sizeof *items);
      it = &items[item_count++];
      memset (it, 0, sizeof *it);
      snprintf (it->key, sizeof it->key, "%s", key);
      it->created = revision;
    }
  free (it->value);
  it->value = strdup (value);
  it->revision = revision;
  it->lease = lease;
  change_add (it, value);
}

static void
item_remove (const char *key)
{
  struct item *it = item_find (key);
  if (it == NULL)
    return;
  change_add (it, NULL);
  char *value = it->value;
  item_count--;
  memmove (it, &items[item_count], sizeof *it);
  items[item_count].value = NULL;
  free (value);
}

void
store_put (const char *key, const char *value)
{
  char *encoded = encode (value);
  revision++;
  item_put (key, encoded, 0);
  free (encoded);
  pthread_cond_broadcast (&changed);
}

void
store_remove (const char *key)
{
  revision++;
  item_remove (key);
  pthread_cond_broadcast (&changed);
}

void
store_lose (const char *key, int64_t until, int64_t late_ms)
{
  snprintf (lose_key, sizeof lose_key, "%s", key);
  lose_until = until;
  lose_late_ms = late_ms;
}

static struct json_object *
item_json (const char *key, const char *value, int64_t rev, int64_t created,
           int64_t lease)
{
  struct json_object *o = json_object_new_object ();
  json_object_object_add (o, "key", json_object_new_string (key));
  json_object_object_add (o, "revision", json_object_new_int64 (rev));
  if (value == NULL)
    {
      json_object_object_add (o, "removed", json_object_new_boolean (1));
      return o;
    }
  json_object_object_add (o, "value", json_object_new_string (value));
  json_object_object_add (o, "created", json_object_new_int64 (created));
  json_object_object_add (o, "lease", json_object_new_int64 (lease));
  return o;
}

static struct json_object *
item_as_json (const struct item *it)
{
  return item_json (it->key, it->value, it->revision, it->created, it->lease);
}

/* Copies the parameter NAME of the query in PATH, whose values are not
   encoded.  */
static void
parameter (const char *path, const char *name, char *out, size_t size)
{
  out[0] = '\0';
  size_t n = strlen (name);
  for (const char *p = strchr (path, '?'); p != NULL; p = strchr (p, '&'))
    {
      p++;
      if (strncmp (p, name, n) != 0 || p[n] != '=')
        continue;
      p += n + 1;
      snprintf (out, size, "%.*s", (int)strcspn (p, "&"), p);
      return;
    }
}

static void
answer_with (struct answer *a, int status, struct json_object *o)
{
  a->status = status;
  a->body = text_of (o);
}

static void
on_key (const struct request *q, struct answer *a)
{
  char key[256];
  parameter (q->path, "key", key, sizeof key);
  const struct item *it = item_find (key);
  struct json_object *o
      = it == NULL ? json_object_new_object () : item_as_json (it);
  json_object_object_add (o, "currentRev", json_object_new_int64 (revision));
  answer_with (a, it == NULL ? 404 : 200, o);
}

static int
by_key (const void *a, const void *b)
{
  return strcmp (((const struct item *)a)->key, ((const struct item *)b)->key);
}

static void
on_range (const struct request *q, struct answer *a)
{
  char prefix[256];
  char after[256];
  parameter (q->path, "prefix", prefix, sizeof prefix);
  parameter (q->path, "after", after, sizeof after);
  qsort (items, item_count, sizeof *items, by_key);
  struct json_object *list = json_object_new_array ();
  size_t n = 0;
  for (size_t i = 0; i < item_count; i++)
    if (strncmp (items[i].key, prefix, strlen (prefix)) == 0
        && strcmp (items[i].key, after) > 0 && n++ < PAGE)
      json_object_array_add (list, item_as_json (&items[i]));
  struct json_object *o = json_object_new_object ();
  json_object_object_add (o, "items", list);
  json_object_object_add (o, "truncated", json_object_new_boolean (n > PAGE));
  json_object_object_add (o, "currentRev", json_object_new_int64 (revision));
  answer_with (a, 200, o);
}

/* Adds the changes of PREFIX after REV to EVENTS and returns the revision up
   to which they are complete.  */
static int64_t
collect (const char *prefix, int64_t rev, struct json_object *events)
{
  size_t i = change_count;
  while (i > 0 && changes[i - 1].revision > rev)
    i--;
  int64_t last = rev;
  for (; i < change_count; i++)
    {
      const struct change *c = &changes[i];
      if (strncmp (c->key, prefix, strlen (prefix)) != 0)
        continue;
      if (json_object_array_length (events) >= PAGE && c->revision != last)
        return last;
      last = c->revision;
      json_object_array_add (events, item_json (c->key, c->value, c->revision,
                                                c->created, c->lease));
    }
  return revision;
}

static void
on_watch (const struct request *q, struct answer *a)
{
  char prefix[256];
  char after[32];
  char wait[32];
  parameter (q->path, "prefix", prefix, sizeof prefix);
  parameter (q->path, "after", after, sizeof after);
  parameter (q->path, "waitMs", wait, sizeof wait);
  int64_t rev = strtoll (after, NULL, 10);
  int64_t until = now_ms () + strtoll (wait, NULL, 10);
  struct json_object *events = json_object_new_array ();
  int64_t complete = collect (prefix, rev, events);
  while (json_object_array_length (events) == 0 && now_ms () < until)
    {
      wait_ms (until - now_ms ());
      complete = collect (prefix, rev, events);
    }
  if (store_mode != STORE_SERVES)
    {
      json_object_put (events);
      return;
    }
  struct json_object *o = json_object_new_object ();
  json_object_object_add (o, "events", events);
  json_object_object_add (o, "currentRev", json_object_new_int64 (complete));
  answer_with (a, 200, o);
}

static struct lease *
lease_find (int64_t id)
{
  for (size_t i = 0; i < lease_count; i++)
    if (leases[i].id == id && leases[i].until != 0)
      return &leases[i];
  return NULL;
}

static struct json_object *
list_of (struct json_object *o, const char *name)
{
  struct json_object *v = NULL;
  json_object_object_get_ex (o, name, &v);
  return json_object_is_type (v, json_type_array) ? v : NULL;
}

static size_t
length_of (struct json_object *list)
{
  return list == NULL ? 0 : json_object_array_length (list);
}

/* Carries out the transaction BODY.  */
static void
transact (const char *body, struct answer *a)
{
  struct json_object *o = json_tokener_parse (body);
  struct json_object *conditions = list_of (o, "expectedRevision");
  struct json_object *put = list_of (o, "put");
  struct json_object *removals = list_of (o, "delete");
  struct json_object *present = json_object_new_array ();
  bool holds = true;
  bool leased = true;
  for (size_t i = 0; i < length_of (conditions); i++)
    {
      struct json_object *c = json_object_array_get_idx (conditions, i);
      const struct item *it = item_find (get_text (c, "key"));
      holds = holds
              && get_int (c, "revision", 0) == (it == NULL ? 0 : it->revision);
      if (it != NULL)
        json_object_array_add (present, item_as_json (it));
    }
  for (size_t i = 0; i < length_of (put); i++)
    {
      int64_t id = get_int (json_object_array_get_idx (put, i), "lease", 0);
      leased = leased && (id == 0 || lease_find (id) != NULL);
    }
  struct json_object *r = json_object_new_object ();
  int status = !holds ? 412 : leased ? 200 : 404;
  if (status == 412)
    json_object_object_add (r, "items", json_object_get (present));
  if (status == 200)
    {
      revision++;
      for (size_t i = 0; i < length_of (put); i++)
        {
          struct json_object *p = json_object_array_get_idx (put, i);
          item_put (get_text (p, "key"), get_text (p, "value"),
                    get_int (p, "lease", 0));
        }
      for (size_t i = 0; i < length_of (removals); i++)
        item_remove (
            json_object_get_string (json_object_array_get_idx (removals, i)));
      json_object_object_add (r, "revision", json_object_new_int64 (revision));
      pthread_cond_broadcast (&changed);
    }
  json_object_put (present);
  json_object_put (o);
  answer_with (a, status, r);
}

/* Returns whether the write BODY is to be lost: it creates the key that was
   chosen.  */
static bool
is_lost (const char *body)
{
  if (lose_key[0] == '\0' || now_ms () >= lose_until || late_count == LATE_MAX)
    return false;
  struct json_object *o = json_tokener_parse (body);
  struct json_object *put = list_of (o, "put");
  bool found = false;
  for (size_t i = 0; i < length_of (put); i++)
    found = found
            || strcmp (get_text (json_object_array_get_idx (put, i), "key"),
                       lose_key)
                   == 0;
  json_object_put (o);
  return found;
}

static void
on_lease (const struct request *q, struct answer *a)
{
  struct json_object *o = json_tokener_parse (q->body);
  int64_t ttl = get_int (o, "ttlMs", 1000);
  json_object_put (o);
  if (lease_count == sizeof leases / sizeof leases[0])
    give_up ("too many leases");
  struct lease *l = &leases[lease_count++];
  *l = (struct lease){ .id = 1000 + (int64_t)lease_count,
                       .ttl = ttl < 1000 ? 1000 : ttl };
  l->until = now_ms () + l->ttl;
  o = json_object_new_object ();
  json_object_object_add (o, "lease", json_object_new_int64 (l->id));
  json_object_object_add (o, "ttlMs", json_object_new_int64 (l->ttl));
  answer_with (a, 200, o);
}

static void
lease_end (struct lease *l)
{
  l->until = 0;
  revision++;
  for (size_t i = item_count; i-- > 0;)
    if (items[i].lease == l->id)
      {
        char key[256];
        memcpy (key, items[i].key, sizeof key);
        item_remove (key);
      }
  pthread_cond_broadcast (&changed);
}

static void
on_lease_call (const char *id, bool end, struct answer *a)
{
  struct lease *l = lease_find (strtoll (id, NULL, 10));
  struct json_object *o = json_object_new_object ();
  if (l != NULL && end)
    lease_end (l);
  else if (l != NULL)
    {
      l->until = now_ms () + l->ttl;
      json_object_object_add (o, "ttlMs", json_object_new_int64 (l->ttl));
    }
  answer_with (a, l == NULL ? 404 : 200, o);
}

static bool
starts_with (const char *text, const char *prefix)
{
  return strncmp (text, prefix, strlen (prefix)) == 0;
}

static void
on_txn (const struct request *q, struct answer *a)
{
  store_writes++;
  if (is_lost (q->body))
    {
      store_lost++;
      late[late_count++] = (struct late){ .body = strdup (q->body),
                                          .at = now_ms () + lose_late_ms };
      note ("store: a write of %s gets no answer; it is carried out after "
            "%lld ms",
            lose_key, (long long)lose_late_ms);
      return;
    }
  transact (q->body, a);
}

static void
on_call (void *data, const struct request *q, struct answer *a)
{
  (void)data;
  const char *p = q->path;
  if (store_mode == STORE_SILENT)
    return;
  if (store_mode == STORE_DOWN)
    answer_with (a, 503, json_object_new_object ());
  else if (starts_with (p, "/-/kv-key?"))
    on_key (q, a);
  else if (starts_with (p, "/-/kv-range?"))
    on_range (q, a);
  else if (starts_with (p, "/-/kv-watch?"))
    on_watch (q, a);
  else if (strcmp (p, "/-/kv-txn") == 0)
    on_txn (q, a);
  else if (strcmp (p, "/-/kv-lease") == 0)
    on_lease (q, a);
  else if (starts_with (p, "/-/kv-keep/"))
    on_lease_call (p + 11, false, a);
  else if (starts_with (p, "/-/kv-lease-end/"))
    on_lease_call (p + 16, true, a);
  else
    answer_with (a, 400, json_object_new_object ());
}

/* Ends leases and carries out late writes.  Leases pause while the store is
   down.  */
void
store_tick (void)
{
  static int64_t last;
  int64_t now = now_ms ();
  for (size_t i = 0; i < lease_count; i++)
    if (leases[i].until != 0 && store_mode != STORE_SERVES && last != 0)
      leases[i].until += now - last;
    else if (leases[i].until != 0 && leases[i].until <= now)
      lease_end (&leases[i]);
  last = now;
  for (size_t i = 0; i < late_count; i++)
    if (late[i].body != NULL && late[i].at <= now)
      {
        struct answer a = { 0 };
        transact (late[i].body, &a);
        note ("store: a late write of %s is carried out: %d", lose_key,
              a.status);
        free (a.body);
        free (late[i].body);
        late[i].body = NULL;
      }
}

void
store_open (void)
{
  for (int i = 0; i < DAEMONS_MAX; i++)
    server_open (&ports[i], on_call, NULL);
}

int
store_port (int daemon)
{
  return ports[daemon].port;
}
