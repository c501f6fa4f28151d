#include "rosemaryentryd/session.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/log.h"
#include "rosemaryentryd/inheritance.h"
#include "rosemaryentryd/owners.h"
#include "rosemaryentryd/records.h"

enum
{
  RENEW_MS = 375, /* four renewals within the lease's TTL */
  /* After a renewal without an answer another one is sent beside it: the store
     may be slow, or the connection lost.  */
  UNANSWERED_MS = 470,
  /* An answer that comes later says nothing of use about a lease.  */
  CALL_TIMEOUT_MS = 3000,
  RENEWALS_MAX = 6 /* in flight */
};

struct session
{
  struct entry *entry;
  uv_timer_t timer;
  int64_t lease; /* 0: none */
  bool registered;
  bool closed;
  bool granting;            /* or registering */
  size_t renewals;          /* in flight */
  struct rr_time sent;      /* when the last call was sent */
  struct rr_time confirmed; /* last time the lease was certainly alive */
};

/* A renewal in flight.  */
struct renewal
{
  struct session *session;
  int64_t lease;
  struct rr_time sent;
};

static void renew_lease (struct session *s);

/* Returns the lease, or 0 when there is none.  */
int64_t
session_lease (const struct session *s)
{
  return s->lease;
}

/* Returns the last time at which the lease was certainly alive.  */
struct rr_time
session_confirmed_at (const struct session *s)
{
  return s->confirmed;
}

static void
on_timer (uv_timer_t *timer)
{
  renew_lease (timer->data);
}

static void
schedule_renewal (struct session *s, uint64_t delay_ms)
{
  if (!s->closed)
    uv_timer_start (&s->timer, on_timer, delay_ms, 0);
}

static void
on_registered (void *data, const struct store_result *r)
{
  struct session *s = data;
  s->granting = false;
  s->registered = r->state == STORE_OK;
  if (r->state == STORE_MISSING)
    s->lease = 0;
  log_event (LOG_LEVEL_INFO, "registration",
             "state=%s revision=%lld lease=%lld", store_state_name (r->state),
             (long long)r->revision, (long long)s->lease);
  schedule_renewal (s, s->registered ? RENEW_MS : RENEW_MS / 4);
}

static void
register_daemon (struct session *s)
{
  char key[KEY_SIZE];
  const struct entry_settings *self = &s->entry->settings;
  char value[4 * RR_JOB_NAME_SIZE];
  snprintf (key, sizeof key, "%s%s", KEY_DAEMON, self->name);
  int n = snprintf (value, sizeof value,
                    "{\"zone\":\"%s\",\"cpu\":%lld,\"link\":%lld", self->zone,
                    (long long)self->cpu_milli, (long long)self->link_kbit);
  if (self->peer.port != 0)
    n += snprintf (value + n, sizeof value - (size_t)n, ",\"peer\":\"%s:%u\"",
                   self->peer.address, self->peer.port);
  snprintf (value + n, sizeof value - (size_t)n, "}");
  struct store_write w = { .key = key, .value = value, .lease = s->lease };
  s->granting = true;
  uv_timer_stop (&s->timer);
  store_put_if (s->entry->store, NULL, &w,
                entry_store_timeout_ms (s->entry, STORE_TIMEOUT_MS),
                on_registered, s);
}

static void
on_granted (void *data, const struct store_result *r)
{
  struct session *s = data;
  s->granting = false;
  if (r->state != STORE_OK || r->lease == 0 || s->closed)
    {
      schedule_renewal (s, RENEW_MS / 4);
      return;
    }
  s->lease = r->lease;
  s->confirmed = s->sent;
  log_event (LOG_LEVEL_INFO, "lease_granted", "lease=%lld ttl_ms=%lld",
             (long long)s->lease, (long long)r->ttl_ms);
  register_daemon (s);
}

static void
lease_lost (struct session *s)
{
  log_event (LOG_LEVEL_WARN, "lease_lost", "lease=%lld age_ms=%lld",
             (long long)s->lease,
             (long long)rr_time_diff (entry_now (), s->confirmed));
  s->lease = 0;
  s->registered = false;
  owners_lease_lost (s->entry->owners);
}

/* Answers may overtake each other, and come when the lease has been replaced
   by another one.  */
static void
on_renewed (void *data, const struct store_result *r)
{
  struct renewal *renewal = data;
  struct session *s = renewal->session;
  struct rr_time sent = renewal->sent;
  bool current = renewal->lease == s->lease;
  bool last = rr_time_diff (sent, s->sent) == 0;
  free (renewal);
  s->renewals--;
  if (s->closed || !current)
    return;
  if (r->state == STORE_OK)
    {
      rr_answer_time_add (&s->entry->store_answers,
                          rr_time_diff (entry_now (), sent));
      if (rr_time_before (s->confirmed, sent))
        s->confirmed = sent;
      if (s->granting)
        return;
      if (!s->registered)
        register_daemon (s);
      else if (last)
        schedule_renewal (s, RENEW_MS);
      return;
    }
  bool missing = r->state == STORE_MISSING;
  if (missing)
    lease_lost (s);
  if ((last || missing) && !s->granting)
    schedule_renewal (s, RENEW_MS / 4);
}

static void
renew_lease (struct session *s)
{
  if (s->lease == 0)
    {
      s->granting = true;
      s->sent = entry_now ();
      store_lease_grant (s->entry->store, SESSION_TTL_MS, CALL_TIMEOUT_MS,
                         on_granted, s);
      return;
    }
  schedule_renewal (s, UNANSWERED_MS);
  if (s->renewals >= RENEWALS_MAX)
    return;
  s->sent = entry_now ();
  struct renewal *renewal = calloc (1, sizeof *renewal);
  assert (renewal != NULL);
  *renewal = (struct renewal){ s, s->lease, s->sent };
  s->renewals++;
  store_lease_renew (s->entry->store, s->lease, CALL_TIMEOUT_MS, on_renewed,
                     renewal);
}

/* Obtains and keeps a lease, and registers the daemon under it.  */
struct session *
session_open (struct entry *e)
{
  struct session *s = calloc (1, sizeof *s);
  assert (s != NULL);
  s->entry = e;
  uv_timer_init (e->loop, &s->timer);
  s->timer.data = s;
  renew_lease (s);
  return s;
}

static void
on_ended (void *data, const struct store_result *r)
{
  (void)data;
  log_event (LOG_LEVEL_INFO, "lease_ended", "state=%s",
             store_state_name (r->state));
}

/* Ends the lease, so that other daemons can take over the shards at once.  */
void
session_close (struct session *s)
{
  s->closed = true;
  uv_timer_stop (&s->timer);
  if (s->lease != 0)
    store_lease_end (s->entry->store, s->lease, STORE_TIMEOUT_MS, on_ended, s);
  s->lease = 0;
}
