#include "rosemaryraild/front_internal.h"

#include <stdio.h>
#include <string.h>

#include "rosemaryraild/config_keeper.h"

/* Takes a token from B, which is refilled at PER_S tokens per second.  The
   capacity is the tokens of one second, so that a burst of that size is
   admitted after an idle period.  Returns false if B is empty.  */
static bool
bucket_take (struct rate_bucket *b, int64_t per_s, struct rr_time now)
{
  double elapsed_s = (double)rr_time_diff (now, b->updated) / 1000;
  b->updated = now;
  b->tokens += elapsed_s * (double)per_s;
  if (b->tokens > (double)per_s)
    b->tokens = (double)per_s;
  if (b->tokens < 1)
    return false;
  b->tokens--;
  return true;
}

static struct rate_bucket *
find_or_add_bucket (struct front *f, const char *team, int64_t per_s)
{
  for (size_t i = 0; i < f->bucket_count; i++)
    if (strcmp (f->buckets[i].team, team) == 0)
      return &f->buckets[i];
  if (f->bucket_count == TEAM_BUCKETS_MAX)
    return NULL;
  struct rate_bucket *b = &f->buckets[f->bucket_count++];
  snprintf (b->team, sizeof b->team, "%s", team);
  b->tokens = (double)per_s;
  b->updated = daemon_now ();
  return b;
}

/* Checks a request of TEAM against the rate limits of the team and of this
   daemon.  The team's rate is divided evenly among the live daemons, since
   callers reach them through a load balancer.  Returns null, or the name of
   the limit that is exceeded.  */
const char *
front_rate_exceeded (struct front *f, const char *team, size_t daemons)
{
  const struct rr_config *c = config_keeper_config (f->d->config);
  const struct rr_config_team *t = rr_config_team (c, team);
  struct rr_time now = daemon_now ();
  if (t != NULL)
    {
      int64_t daemon_rate
          = t->requests_per_s / (int64_t)(daemons == 0 ? 1 : daemons);
      if (daemon_rate == 0 && t->requests_per_s > 0)
        daemon_rate = 1;
      struct rate_bucket *b = find_or_add_bucket (f, team, daemon_rate);
      if (b != NULL && !bucket_take (b, daemon_rate, now))
        return "the team's requests_per_s";
    }
  if (c->limits.requests_per_s > 0
      && !bucket_take (&f->all, c->limits.requests_per_s, now))
    return "the limit requests_per_s of one daemon";
  return NULL;
}
