#include "world.h"

#include <assert.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

void
world_free (struct world *w)
{
  for (int i = 0; i < w->daemon_count; i++)
    rr_shard_log_free (w->daemons[i].log);
  for (int i = 0; i < MESSAGES_MAX; i++)
    if (w->messages[i].used)
      free ((void *)w->messages[i].result.value);
  for (int i = 0; i < w->held_count; i++)
    free (w->held[i].data);
  store_free (&w->store);
}

void
world_log (struct world *w, const char *format, ...)
{
  if (w->out == NULL)
    return;
  fprintf (w->out, "%6lld ", (long long)w->now);
  va_list args;
  va_start (args, format);
  vfprintf (w->out, format, args);
  va_end (args);
  fputc ('\n', w->out);
}

void
world_violation (struct world *w, const char *format, ...)
{
  char text[256];
  va_list args;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  w->violations++;
  world_log (w, "VIOLATION %s", text);
}

/* Queues a message that arrives after DELAY ms; the caller fills in the
   rest.  */
struct message *
world_send (struct world *w, enum message_kind kind, int from, int to,
            int64_t delay)
{
  int i = 0;
  while (i < MESSAGES_MAX && w->messages[i].used)
    i++;
  assert (i < MESSAGES_MAX);
  struct message *m = &w->messages[i];
  memset (m, 0, sizeof *m);
  m->used = true;
  m->kind = kind;
  m->from = from;
  m->to = to;
  m->at = w->now + delay;
  m->order = ++w->next_order;
  return m;
}

/* Returns the message that arrives next, or null if none is due.  Messages to
   a paused daemon wait until it goes on.  */
static struct message *
due_message (struct world *w)
{
  struct message *first = NULL;
  for (int i = 0; i < MESSAGES_MAX; i++)
    {
      struct message *m = &w->messages[i];
      if (!m->used || m->at > w->now || w->daemons[m->to].paused)
        continue;
      if (first == NULL || m->at < first->at
          || (m->at == first->at && m->order < first->order))
        first = m;
    }
  return first;
}

static void
deliver (struct world *w)
{
  struct message *m;
  while ((m = due_message (w)) != NULL)
    {
      struct message copy = *m;
      m->used = false;
      if (!w->daemons[copy.to].dead)
        daemon_message (w, copy.to, &copy);
      free ((void *)copy.result.value);
    }
}

/* Returns the daemon that peers take for the owner: alive, not paused, with
   the newest epoch; -1 if there is none.  */
int
world_owner (struct world *w)
{
  int best = -1;
  uint64_t epoch = 0;
  for (int i = 0; i < w->daemon_count; i++)
    {
      const struct daemon *d = &w->daemons[i];
      if (d->dead || d->paused || rr_shard_log_epoch (d->log) <= epoch)
        continue;
      best = i;
      epoch = rr_shard_log_epoch (d->log);
    }
  return best;
}

/* Advances the virtual clock by one step.  */
void
world_step (struct world *w)
{
  w->now += STEP_MS;
  worker_step (w);
  deliver (w);
  for (int i = 0; i < w->daemon_count; i++)
    daemon_step (w, i);
}

void
world_run (struct world *w, int64_t ms)
{
  for (int64_t end = w->now + ms; w->now < end;)
    world_step (w);
}

/* Lets the held writes and starts arrive, long after their senders gave them
   up.  */
void
world_land (struct world *w)
{
  for (int i = 0; i < w->held_count; i++)
    {
      struct held_write *h = &w->held[i];
      struct rr_kv_result r = { 0 };
      store_write (&w->store, h->key, h->data, h->length, h->expect, &r);
      world_log (w, "write of %s by %s arrives: %s", h->key,
                 w->daemons[h->daemon].name,
                 r.status == RR_KV_OK ? "written" : "conflict");
      free (h->data);
    }
  w->held_count = 0;
  for (int i = 0; i < w->held_start_count; i++)
    worker_start (w, &w->held_starts[i]);
  w->held_start_count = 0;
}
