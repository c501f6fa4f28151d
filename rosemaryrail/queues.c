#include "rosemaryrail/queues.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Returns a configuration of version 0 with ROUTE_COUNT empty routes.  */
struct rr_queues *
rr_queues_new (size_t route_count)
{
  struct rr_queues *q = calloc (1, sizeof *q);
  assert (q != NULL);
  q->routes = calloc (route_count + 1, sizeof *q->routes);
  assert (q->routes != NULL);
  q->route_count = route_count;
  return q;
}

/* Frees Q, which may be null.  */
void
rr_queues_free (struct rr_queues *q)
{
  if (q == NULL)
    return;
  free (q->routes);
  free (q);
}

/* Compares hosts without regard to case and port.  */
static bool
host_matches (const char *host, const char *want)
{
  size_t n = strcspn (host, ":");
  return strlen (want) == n && strncasecmp (host, want, n) == 0;
}

/* Returns the route of HOST with the longest prefix of PATH, or null.  */
const struct rr_route *
rr_queues_find (const struct rr_queues *q, const char *host, const char *path)
{
  const struct rr_route *best = NULL;
  for (size_t i = 0; i < q->route_count; i++)
    {
      const struct rr_route *r = &q->routes[i];
      size_t n = strlen (r->prefix);
      if (strncmp (path, r->prefix, n) == 0 && host_matches (host, r->host)
          && (best == NULL || n > strlen (best->prefix)))
        best = r;
    }
  return best;
}
