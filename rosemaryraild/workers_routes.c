#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryraild/config_keeper.h"
#include "rosemaryraild/workers_internal.h"

/* Returns the route of SERVICE, which is created on first use.  Returns null
   when there are SERVICES_MAX routes already.  */
struct route *
workers_route (struct workers *ws, const char *service)
{
  for (size_t i = 0; i < ws->route_count; i++)
    if (strcmp (ws->routes[i]->service, service) == 0)
      return ws->routes[i];
  if (ws->route_count == SERVICES_MAX)
    return NULL;
  struct route *r = calloc (1, sizeof *r);
  assert (r != NULL);
  r->ws = ws;
  snprintf (r->service, sizeof r->service, "%s", service);
  struct rr_admission_options options;
  rr_admission_options_default (&options);
  const struct rr_config_service *v
      = rr_config_service (config_keeper_config (ws->d->config), service);
  if (v != NULL && v->concurrency > 0)
    {
      options.limiter.max = (double)v->concurrency;
      if (options.limiter.initial > options.limiter.max)
        options.limiter.initial = options.limiter.max;
    }
  r->admission = rr_admission_new (&options);
  ws->routes[ws->route_count++] = r;
  return r;
}

/* Adds T as an instance to the route of its service, if T is a service task
   that runs on W.  */
void
route_add_instance (struct worker *w, struct hosted_task *t)
{
  if (t->instance >= 0 || strcmp (t->kind, "service") != 0)
    return;
  struct route *r = workers_route (w->ws, t->service);
  if (r == NULL || r->instance_count == INSTANCES_MAX)
    return;
  int number = rr_admission_add_worker (r->admission);
  if (number >= INSTANCES_MAX)
    {
      rr_admission_remove_worker (r->admission, number);
      return;
    }
  r->instances[number] = w;
  r->instance_count++;
  if (number >= r->instances_used)
    r->instances_used = number + 1;
  t->instance = number;
}

/* Removes the service task T from its route: it has ended, or this daemon no
   longer owns the ledger of W.  */
void
route_remove_instance (struct worker *w, struct hosted_task *t)
{
  if (t->instance < 0)
    return;
  struct route *r = workers_route (w->ws, t->service);
  rr_admission_remove_worker (r->admission, t->instance);
  r->instances[t->instance] = NULL;
  r->instance_count--;
  t->instance = -1;
}
