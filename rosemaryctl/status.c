#include <inttypes.h>

#include "common/json.h"
#include "rosemaryctl/ctl.h"

/* Writes the age of an entry, marked when the entry is out of date.  */
static const char *
age_text (struct json_object *entry, char text[64])
{
  int64_t age = json_int_or (entry, "age_ms", -1);
  if (age < 0)
    return "unknown";
  char duration[32];
  snprintf (text, 64, "%s%s", ctl_duration (age, duration),
            age > CTL_STALE_MS ? " STALE" : "");
  return text;
}

static void
print_daemons (struct json_object *list)
{
  struct ctl_columns t = { 0 };
  char age[64];
  ctl_columns_add (&t, 7, "DAEMON", "ZONE", "STATE", "GENERATION", "SHARDS",
                   "WORKERS", "AGE");
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      struct json_object *d = json_object_array_get_idx (list, i);
      ctl_columns_add (&t, 7, ctl_text (d, "name"), ctl_text (d, "zone"),
                       ctl_text (d, "state"), ctl_count (d, "generation"),
                       ctl_count (d, "shards"), ctl_count (d, "workers"),
                       age_text (d, age));
    }
  putchar ('\n');
  ctl_columns_print (&t);
}

static void
print_workers (struct json_object *list)
{
  struct ctl_columns t = { 0 };
  char age[64];
  ctl_columns_add (&t, 9, "WORKER", "ZONE", "RACK", "STATE", "OWNER", "TASKS",
                   "CONNECTIONS", "AGE", "REASON");
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      struct json_object *w = json_object_array_get_idx (list, i);
      ctl_columns_add (&t, 9, ctl_text (w, "name"), ctl_text (w, "zone"),
                       ctl_text (w, "rack"), ctl_text (w, "state"),
                       ctl_text (w, "owner"), ctl_count (w, "tasks"),
                       ctl_count (w, "connections"), age_text (w, age),
                       ctl_text (w, "reason"));
    }
  putchar ('\n');
  ctl_columns_print (&t);
}

static void
print_shards (struct json_object *list)
{
  struct ctl_columns t = { 0 };
  ctl_columns_add (&t, 4, "SHARD", "OWNER", "STATE", "EPOCH");
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      struct json_object *s = json_object_array_get_idx (list, i);
      ctl_columns_add (&t, 4, ctl_text (s, "shard"), ctl_text (s, "owner"),
                       ctl_text (s, "state"), ctl_count (s, "epoch"));
    }
  putchar ('\n');
  ctl_columns_print (&t);
}

static void
print_alarms (struct json_object *list)
{
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      struct json_object *a = json_object_array_get_idx (list, i);
      char since[40];
      printf ("ALARM %s since %s: %s\n", ctl_text (a, "name"),
              ctl_time (json_int_or (a, "since_ms", 0), since),
              ctl_text (a, "detail"));
    }
}

static void
print_status (struct json_object *o)
{
  static const struct
  {
    const char *name;
    void (*print) (struct json_object *list);
  } sections[] = { { "alarms", print_alarms },
                   { "daemons", print_daemons },
                   { "workers", print_workers },
                   { "shards", print_shards } };
  printf ("as seen by %s in zone %s: generation %s, digest %s\n",
          ctl_text (o, "daemon"), ctl_text (o, "zone"),
          ctl_text (o, "generation"), ctl_text (o, "digest"));
  for (size_t i = 0; i < sizeof sections / sizeof sections[0]; i++)
    {
      struct json_object *list = ctl_list (o, sections[i].name);
      if (list != NULL && json_object_array_length (list) > 0)
        sections[i].print (list);
    }
}

/* rosemaryctl status  */
int
command_status (int argc, char **argv)
{
  struct ctl ctl;
  struct ctl_response a;
  enum ctl_exit rc
      = ctl_open (&ctl, argc, argv,
                  "Shows alarms, daemons, workers and shards as one daemon "
                  "sees them.",
                  NULL, 0);
  if (rc == CTL_CONTINUE)
    {
      rc = ctl_get (&ctl, "/v1/status", &a);
      if (rc == CTL_OK)
        {
          if (ctl.json)
            puts (json_text (a.json));
          else
            print_status (a.json);
          ctl_response_free (&a);
        }
    }
  ctl_close (&ctl);
  return rc;
}
