#include <assert.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics_double.h>
#include <stdlib.h>
#include <string.h>

#include "standins/tool.h"
#include "standins/worker.h"

/* Returns the batch classes and services that ran in the open window, without
   one run of SELF.  */
static struct json_object *
ran_together (const struct worker *w, const struct task *self,
              const char *service)
{
  struct json_object *list = json_object_new_array ();
  for (const struct task *t = LIST_FIRST (&w->tasks); t != NULL;
       t = LIST_NEXT (t, link))
    if (t != self && t->window_participated && !t->service)
      json_object_array_add (list, json_object_new_string (t->class));
  for (int i = 0; i < WORKER_SERVICES_MAX && w->services[i].name != NULL; i++)
    if (w->services[i].count > 0 && w->services[i].name != service)
      json_object_array_add (list,
                             json_object_new_string (w->services[i].name));
  return list;
}

static struct json_object *
task_usage (const struct worker *w, const struct task *t)
{
  double span = (double)(w->advanced_ms - w->window_start_ms);
  return tool_object (
      "task:s attempt:i class:s window_start_ms:i window_end_ms:i "
      "cores_milli:i memory_mb:i done_ms:i together:o",
      t->id, t->attempt, t->class, w->window_start_ms, w->advanced_ms,
      (int64_t)(t->window_core_ms / span),
      (int64_t)worker_task_memory_mb (w, t), (int64_t)t->done_ms,
      ran_together (w, t, NULL));
}

static int64_t
quantile (const struct service_window *s, double q)
{
  return (int64_t)gsl_stats_quantile_from_sorted_data (s->latencies_us, 1,
                                                       s->count, q);
}

static struct json_object *
service_usage (const struct worker *w, struct service_window *s)
{
  gsl_sort (s->latencies_us, 1, s->count);
  return tool_object (
      "service:s window_start_ms:i window_end_ms:i count:i mean_us:i p50_us:i "
      "p99_us:i together:o",
      s->name, w->window_start_ms, w->advanced_ms, (int64_t)s->count,
      (int64_t)gsl_stats_mean (s->latencies_us, 1, s->count),
      quantile (s, 0.5), quantile (s, 0.99), ran_together (w, NULL, s->name));
}

/* Closes the usage window of W and opens the next one.  */
void
worker_close_window (struct worker *w)
{
  if (w->advanced_ms <= w->window_start_ms)
    return;
  struct usage_window *u = &w->windows[w->window_count++ % WORKER_WINDOWS_MAX];
  json_object_put (u->usage);
  json_object_put (u->services);
  u->end_ms = w->advanced_ms;
  u->usage = json_object_new_array ();
  u->services = json_object_new_array ();
  for (struct task *t = LIST_FIRST (&w->tasks); t != NULL;
       t = LIST_NEXT (t, link))
    if (t->window_participated)
      json_object_array_add (u->usage, task_usage (w, t));
  for (int i = 0; i < WORKER_SERVICES_MAX && w->services[i].name != NULL; i++)
    if (w->services[i].count > 0)
      json_object_array_add (u->services, service_usage (w, &w->services[i]));
  for (struct task *t = LIST_FIRST (&w->tasks); t != NULL;
       t = LIST_NEXT (t, link))
    {
      t->window_core_ms = 0;
      t->window_participated = false;
    }
  for (int i = 0; i < WORKER_SERVICES_MAX; i++)
    w->services[i].count = 0;
  w->window_start_ms = w->advanced_ms;
}

/* Counts one execution of SERVICE in the open window; services beyond the
   table's size are not reported.  */
void
worker_add_latency (struct worker *w, const char *service, int64_t us)
{
  int i = 0;
  while (i < WORKER_SERVICES_MAX && w->services[i].name != NULL
         && strcmp (w->services[i].name, service) != 0)
    i++;
  if (i == WORKER_SERVICES_MAX)
    return;
  struct service_window *s = &w->services[i];
  if (s->name == NULL)
    s->name = strdup (service);
  if ((s->count & (s->count + 1)) == 0)
    {
      double *grown = realloc (s->latencies_us,
                               (s->count + 1) * 2 * sizeof *s->latencies_us);
      assert (grown != NULL);
      s->latencies_us = grown;
    }
  s->latencies_us[s->count++] = (double)us;
}

/* Adds the newest window older than the usage lag to the report O.  */
void
worker_report_usage (const struct worker *w, struct json_object *o)
{
  int64_t visible = worker_now_ms (w) - w->settings->usage_lag_ms;
  size_t n = w->window_count < WORKER_WINDOWS_MAX ? w->window_count
                                                  : WORKER_WINDOWS_MAX;
  const struct usage_window *newest = NULL;
  for (size_t i = 0; i < n; i++)
    {
      const struct usage_window *u = &w->windows[i];
      if (u->end_ms <= visible
          && (newest == NULL || u->end_ms > newest->end_ms))
        newest = u;
    }
  struct json_object *usage = newest == NULL ? json_object_new_array ()
                                             : json_object_get (newest->usage);
  struct json_object *services = newest == NULL
                                     ? json_object_new_array ()
                                     : json_object_get (newest->services);
  tool_add (o, "usage:o services:o", usage, services);
}
