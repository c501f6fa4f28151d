#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryrail/membership.h"
#include "script.h"

/* Runs a script of events and queries against the membership views of several
   daemons.  The test compares the output exactly with the expected one.  */

#define DAEMONS 4

struct context
{
  /* View 0 is the default; the others are of daemons that it exchanges
     heartbeats with.  */
  struct rr_membership *views[DAEMONS];
  struct rr_pause pause;
};

static void
copy_text (char *out, size_t size, const char *text)
{
  snprintf (out, size, "%s", text);
}

/* Parses NAME@ADDRESS/ZONE#INCARNATION with an optional "!" for leaving.
   Names that start with "d" are daemons, others workers.  */
static bool
parse_info (const char *word, struct rr_member_info *info)
{
  char name[40];
  char address[40];
  char zone[40];
  char mark[4] = "";
  unsigned long long incarnation = 0;
  if (sscanf (word, "%30[^@]@%30[^/]/%30[^#]#%llu%1[!]", name, address, zone,
              &incarnation, mark)
      < 4)
    return false;
  memset (info, 0, sizeof *info);
  copy_text (info->name, sizeof info->name, name);
  copy_text (info->address, sizeof info->address, address);
  copy_text (info->zone, sizeof info->zone, zone);
  info->incarnation = incarnation;
  info->role = name[0] == 'd' ? RR_ROLE_ENTRY : RR_ROLE_WORKER;
  info->leaving = mark[0] == '!';
  return true;
}

static size_t
parse_infos (const struct script_line *l, struct rr_member_info *out)
{
  size_t count = 0;
  for (int i = 0; i < l->count; i++)
    if (parse_info (l->words[i], &out[count]))
      count++;
  return count;
}

static void
print_view (struct rr_membership *m, struct rr_time now)
{
  for (size_t i = 0; i < rr_membership_count (m); i++)
    {
      const struct rr_member *b = rr_membership_at (m, now, i);
      printf ("    %s@%s#%" PRIu64 " %s",
              b->info.name[0] == '\0' ? "?" : b->info.name, b->info.address,
              b->info.incarnation, rr_member_state_name (b->state));
      if (b->leaving_source != RR_SOURCE_NONE)
        printf (" (%s since %" PRId64 ")",
                rr_leaving_source_name (b->leaving_source),
                b->leaving_since.ms);
      if (b->info.role == RR_ROLE_ENTRY)
        printf (b->alive ? " alive" : " unresponsive");
      puts ("");
    }
}

static void
print_set (const struct rr_membership *m)
{
  struct rr_leaving set[64];
  size_t n = rr_membership_leaving_set (m, set, 64);
  for (size_t i = 0; i < n; i++)
    printf ("  leaving %s#%" PRIu64 " %s %" PRIu64 "\n", set[i].address,
            set[i].incarnation, rr_leaving_source_name (set[i].source),
            set[i].generation);
  printf ("  %zu in the set, version %" PRIu64 "\n", n,
          rr_membership_leaving_version (m));
}

/* Applies a heartbeat of the daemon in the first word.  Its leaving set is
   that of the view "from", plus the words
   ADDRESS#INCARNATION:SOURCE:GENERATION.  */
static void
run_heartbeat (struct context *c, struct rr_membership *m,
               const struct script_line *l)
{
  struct rr_member_info info = { 0 };
  struct rr_leaving set[64];
  struct rr_heartbeat h = { .leaving_set = set };
  if (l->count == 0 || !parse_info (l->words[0], &info))
    return;
  copy_text (h.name, sizeof h.name, info.name);
  copy_text (h.address, sizeof h.address, info.address);
  copy_text (h.zone, sizeof h.zone, info.zone);
  h.incarnation = info.incarnation;
  h.leaving = info.leaving;
  h.store_lost = script_int (l, "store-lost", 0) != 0;
  h.config_generation = (uint64_t)script_int (l, "generation", 0);
  int64_t from = script_int (l, "from", -1);
  if (from >= 0)
    h.leaving_count = rr_membership_leaving_set (c->views[from & 3], set, 64);
  for (int i = 1; i < l->count; i++)
    {
      char address[40];
      unsigned long long incarnation = 0;
      unsigned long long generation = 0;
      int source = 0;
      if (sscanf (l->words[i], "%30[^#]#%llu:%d:%llu", address, &incarnation,
                  &source, &generation)
          != 4)
        continue;
      struct rr_leaving *e = &set[h.leaving_count++];
      memset (e, 0, sizeof *e);
      copy_text (e->address, sizeof e->address, address);
      e->incarnation = incarnation;
      e->source = (enum rr_leaving_source)source;
      e->generation = generation;
    }
  puts (rr_membership_apply_heartbeat (m, l->now, &h) ? "  applied"
                                                      : "  ignored");
}

static void
print_owners (struct rr_membership *m, const struct script_line *l)
{
  const char *worker = script_text (l, "worker", NULL);
  if (worker != NULL)
    {
      const struct rr_member *o
          = rr_membership_worker_owner (m, l->now, worker);
      printf ("  %s owned by %s\n", worker, o == NULL ? "-" : o->info.name);
      return;
    }
  printf ("  shards:");
  for (unsigned s = 0; s < RR_SHARD_COUNT; s++)
    {
      const struct rr_member *o = rr_membership_shard_owner (m, l->now, s);
      printf (" %s", o == NULL ? "-" : o->info.name);
    }
  puts ("");
}

static void
run_query (struct context *c, struct rr_membership *m,
           const struct script_line *l)
{
  const char *address = script_text (l, "address", "");
  uint64_t incarnation = (uint64_t)script_int (l, "incarnation", 0);
  if (strcmp (l->command, "owners") == 0)
    print_owners (m, l);
  else if (strcmp (l->command, "set") == 0)
    print_set (m);
  else if (strcmp (l->command, "usable") == 0)
    puts (rr_membership_is_usable (m, l->now, address, incarnation) ? "  yes"
                                                                    : "  no");
  else if (strcmp (l->command, "disappeared") == 0)
    puts (rr_membership_has_disappeared (m, address, incarnation) ? "  yes"
                                                                  : "  no");
  else if (strcmp (l->command, "state") == 0)
    {
      enum rr_member_state state;
      bool known
          = rr_membership_state (m, l->now, address, incarnation, &state);
      printf ("  %s\n", known ? rr_member_state_name (state) : "unknown");
    }
  else if (strcmp (l->command, "tick") == 0)
    {
      int64_t paused = rr_pause_check (&c->pause, l->now);
      printf ("  paused %" PRId64 " ms\n", paused);
      if (paused > 0)
        rr_membership_process_resumed (m, paused);
    }
  else if (strcmp (l->command, "show") == 0)
    print_view (m, l->now);
  else
    puts ("  unknown command");
}

static void
run_line (void *context, const struct script_line *l)
{
  struct context *c = context;
  struct rr_member_info infos[SCRIPT_WORDS];
  const char *address = script_text (l, "address", "");
  uint64_t incarnation = (uint64_t)script_int (l, "incarnation", 0);
  int view = (int)(script_int (l, "view", 0) & 3);
  if (strcmp (l->command, "self") == 0)
    {
      parse_infos (l, infos);
      rr_membership_free (c->views[view]);
      c->views[view] = rr_membership_new (&infos[0]);
      return;
    }
  struct rr_membership *m = c->views[view];
  if (m == NULL)
    return;
  size_t count = parse_infos (l, infos);
  if (strcmp (l->command, "vm-list") == 0)
    rr_membership_apply_vm_list (m, l->now, infos, count,
                                 script_int (l, "left-out", 0) == 0);
  else if (strcmp (l->command, "add-from-peer") == 0)
    rr_membership_add_from_peer (m, l->now, infos, count);
  else if (strcmp (l->command, "heartbeat") == 0)
    run_heartbeat (c, m, l);
  else if (strcmp (l->command, "report-leaving") == 0)
    puts (rr_membership_set_leaving (m, l->now, RR_SOURCE_REPORT, address,
                                     incarnation)
              ? "  new"
              : "  known or dead");
  else if (strcmp (l->command, "refused-leaving") == 0)
    puts (rr_membership_set_leaving (m, l->now, RR_SOURCE_FAILURE, address,
                                     incarnation)
              ? "  new"
              : "  known or dead");
  else if (strcmp (l->command, "failed") == 0)
    rr_membership_call_failed (m, l->now, address, incarnation);
  else if (strcmp (l->command, "answered") == 0)
    rr_membership_call_answered (
        m, rr_time_from_ms (script_int (l, "sent", l->now.ms)), address,
        incarnation);
  else if (strcmp (l->command, "store-lost") == 0)
    rr_membership_set_store_lost (m, script_int (l, "lost", 1) != 0);
  else if (strcmp (l->command, "drains") == 0)
    {
      const char *name = script_text (l, "name", NULL);
      rr_membership_set_drains (m, l->now,
                                (uint64_t)script_int (l, "generation", 0),
                                &name, name == NULL ? 0 : 1);
    }
  else
    run_query (c, m, l);
}

int
main (int argc, char **argv)
{
  struct context c = { 0 };
  bool ok = argc == 2 && script_run (argv[1], run_line, &c);
  for (int i = 0; i < DAEMONS; i++)
    rr_membership_free (c.views[i]);
  return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
