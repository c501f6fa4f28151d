#include <assert.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics_double.h>
#include <stdlib.h>
#include <string.h>

#include "standins/tool.h"
#include "standins/worker.h"

static void
add_window (struct json_object *o, const struct worker *w)
{
  json_add_int (o, "window_start_ms", w->window_start_ms);
  json_add_int (o, "window_end_ms", w->advanced_ms);
}

/* Returns the batch classes and services that ran in the open window, without
   one run of SELF.  */
static struct json_object *
ran_together (const struct worker *w, const struct task *self,
              const char *service)
{
  struct json_object *list = json_object_new_array ();
  for (const struct task *t = w->tasks; t != NULL; t = t->next)
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
  struct json_object *o = json_object_new_object ();
  json_add_string (o, "task", t->id);
  json_add_int (o, "attempt", t->attempt);
  json_add_string (o, "class", t->class);
  add_window (o, w);
  json_add_int (o, "cores_milli", (int64_t)(t->window_core_ms / span));
  json_add_int (o, "memory_mb", (int64_t)worker_task_memory_mb (w, t));
  json_add_int (o, "done_ms", (int64_t)t->done_ms);
  json_object_object_add (o, "together", ran_together (w, t, NULL));
  return o;
}

static struct json_object *
service_usage (const struct worker *w, struct service_window *s)
{
  gsl_sort (s->latencies_us, 1, s->count);
  struct json_object *o = json_object_new_object ();
  json_add_string (o, "service", s->name);
  add_window (o, w);
  json_add_int (o, "count", (int64_t)s->count);
  json_add_int (o, "mean_us",
                (int64_t)gsl_stats_mean (s->latencies_us, 1, s->count));
  json_add_int (o, "p50_us",
                (int64_t)gsl_stats_quantile_from_sorted_data (
                    s->latencies_us, 1, s->count, 0.5));
  json_add_int (o, "p99_us",
                (int64_t)gsl_stats_quantile_from_sorted_data (
                    s->latencies_us, 1, s->count, 0.99));
  json_object_object_add (o, "together", ran_together (w, NULL, s->name));
  return o;
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
  for (struct task *t = w->tasks; t != NULL; t = t->next)
    if (t->window_participated)
      json_object_array_add (u->usage, task_usage (w, t));
  for (int i = 0; i < WORKER_SERVICES_MAX && w->services[i].name != NULL; i++)
    if (w->services[i].count > 0)
      json_object_array_add (u->services, service_usage (w, &w->services[i]));
  for (struct task *t = w->tasks; t != NULL; t = t->next)
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
  json_object_object_add (o, "usage",
                          newest == NULL ? json_object_new_array ()
                                         : json_object_get (newest->usage));
  json_object_object_add (o, "services",
                          newest == NULL ? json_object_new_array ()
                                         : json_object_get (newest->services));
}
