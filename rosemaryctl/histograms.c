#include <stdint.h>
#include <string.h>

#include "common/json.h"
#include "rosemaryctl/ctl.h"

enum
{
  BAR_WIDTH = 40,
  ROWS_MAX = 20, /* neighbouring ranges are put together beyond that */
};

/* Returns number I of LIST; anything that can't be a count or a bound is read
   as 0.  */
static double
number_at (struct json_object *list, size_t i)
{
  const double most = 1e18;
  if (list == NULL || i >= json_object_array_length (list))
    return 0;
  double n = json_object_get_double (json_object_array_get_idx (list, i));
  return n >= 0 && n < most ? n : 0;
}

/* A histogram as received.  With one bound more than counts, the bounds
   enclose the ranges; with as many, each is the upper end of its range; with
   one less, the last range is open.  */
struct histogram
{
  struct json_object *bounds;
  struct json_object *counts;
  size_t bound_count;
  size_t range_count;
};

/* Returns the lower end of range I, in milliseconds.  */
static double
lower_end (const struct histogram *h, size_t i)
{
  if (h->bound_count > h->range_count)
    return number_at (h->bounds, i);
  return i == 0 ? 0 : number_at (h->bounds, i - 1);
}

/* Finds the upper end of range I; false when the range is open.  */
static bool
upper_end (const struct histogram *h, size_t i, double *end)
{
  size_t at = h->bound_count > h->range_count ? i + 1 : i;
  *end = number_at (h->bounds, at);
  return at < h->bound_count;
}

static void
print_percentile (const struct histogram *h, double total, int permille,
                  const char *name)
{
  double seen = 0;
  for (size_t i = 0; i < h->range_count; i++)
    {
      double end;
      seen += number_at (h->counts, i);
      if (seen * 1000 < total * permille)
        continue;
      if (upper_end (h, i, &end))
        printf (", %s <= %.4g ms", name, end);
      else
        printf (", %s > %.4g ms", name, lower_end (h, i));
      return;
    }
}

/* Returns the events in the ranges FIRST to LAST.  */
static double
count_between (const struct histogram *h, size_t first, size_t last)
{
  double count = 0;
  for (size_t i = first; i <= last; i++)
    count += number_at (h->counts, i);
  return count;
}

static void
print_row (const struct histogram *h, size_t first, size_t last, double most)
{
  double count = count_between (h, first, last);
  int width = (int)(count / most * BAR_WIDTH + 0.5);
  char bar[BAR_WIDTH + 1];
  /* A row with few events among many must not look empty.  */
  if (width == 0 && count > 0)
    width = 1;
  if (width > BAR_WIDTH)
    width = BAR_WIDTH;
  memset (bar, '#', sizeof bar);
  bar[width] = '\0';
  double end;
  if (upper_end (h, last, &end))
    printf ("  %8.4g - %-8.4g %9.0f %s\n", lower_end (h, first), end, count,
            bar);
  else
    printf ("  %8.4g - %-8s %9.0f %s\n", lower_end (h, first), "", count, bar);
}

/* Draws the ranges FIRST to LAST, at most ROWS_MAX rows.  */
static void
print_rows (const struct histogram *h, size_t first, size_t last)
{
  size_t step = (last - first) / ROWS_MAX + 1;
  double most = 0;
  for (size_t i = first; i <= last; i += step)
    {
      size_t end = i + step - 1 < last ? i + step - 1 : last;
      double count = count_between (h, i, end);
      if (count > most)
        most = count;
    }
  for (size_t i = first; i <= last; i += step)
    print_row (h, i, i + step - 1 < last ? i + step - 1 : last, most);
}

static void
print_histogram (struct json_object *o)
{
  struct histogram h
      = { ctl_list (o, "bounds_ms"), ctl_list (o, "counts"), 0, 0 };
  h.bound_count = h.bounds == NULL ? 0 : json_object_array_length (h.bounds);
  h.range_count = h.counts == NULL ? 0 : json_object_array_length (h.counts);
  double total = 0;
  size_t first = h.range_count;
  size_t last = 0;
  for (size_t i = 0; i < h.range_count; i++)
    {
      double n = number_at (h.counts, i);
      total += n;
      if (n > 0 && first == h.range_count)
        first = i;
      if (n > 0)
        last = i;
    }
  printf ("service %s, class %s, team %s: %s requests",
          ctl_text (o, "service"), ctl_text (o, "class"), ctl_text (o, "team"),
          ctl_text (o, "count"));
  int64_t count = json_int_or (o, "count", 0);
  struct json_object *sum = NULL;
  if (count > 0 && json_object_object_get_ex (o, "sum_ms", &sum))
    printf (", mean %.4g ms", json_object_get_double (sum) / (double)count);
  if (total > 0)
    {
      print_percentile (&h, total, 500, "p50");
      print_percentile (&h, total, 990, "p99");
      print_percentile (&h, total, 999, "p99.9");
    }
  putchar ('\n');
  if (total > 0)
    print_rows (&h, first, last);
}

static bool
matches (struct json_object *o, const char *name, const struct arg_str *wanted)
{
  return wanted->count == 0
         || strcmp (json_string_or (o, name, ""), wanted->sval[0]) == 0;
}

static void
print_histograms (struct json_object *list, const struct arg_str *class_name,
                  const struct arg_str *team)
{
  size_t count = list == NULL ? 0 : json_object_array_length (list);
  size_t shown = 0;
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *o = json_object_array_get_idx (list, i);
      if (!json_object_is_type (o, json_type_object)
          || !matches (o, "class", class_name) || !matches (o, "team", team))
        continue;
      if (shown++ > 0)
        putchar ('\n');
      print_histogram (o);
    }
  if (shown == 0)
    puts ("no histograms");
}

/* rosemaryctl histograms [--class CLASS] [--team TEAM]  */
int
command_histograms (int argc, char **argv)
{
  struct arg_str *class_name
      = arg_str0 (NULL, "class", "CLASS", "only this service class");
  struct arg_str *team = arg_str0 (NULL, "team", "TEAM", "only this team");
  void *own[] = { class_name, team };
  struct ctl ctl;
  struct ctl_response a;
  enum ctl_exit rc = ctl_open (
      &ctl, argc, argv, "Draws the latency histograms of one daemon.", own, 2);
  if (rc == CTL_CONTINUE
      && ((class_name->count > 0
           && !ctl_name_valid ("class", class_name->sval[0]))
          || (team->count > 0 && !ctl_name_valid ("team", team->sval[0]))))
    rc = CTL_USAGE;
  if (rc == CTL_CONTINUE)
    {
      char path[256];
      snprintf (path, sizeof path, "/v1/histograms%s%s%s%s%s",
                class_name->count + team->count > 0 ? "?" : "",
                class_name->count > 0 ? "class=" : "",
                class_name->count > 0 ? class_name->sval[0] : "",
                team->count == 0        ? ""
                : class_name->count > 0 ? "&team="
                                        : "team=",
                team->count > 0 ? team->sval[0] : "");
      rc = ctl_get (&ctl, path, &a);
      if (rc == CTL_OK)
        {
          if (ctl.json)
            puts (json_text (a.json));
          else
            print_histograms (ctl_list (a.json, "histograms"), class_name,
                              team);
          ctl_response_free (&a);
        }
    }
  ctl_close (&ctl);
  return rc;
}
