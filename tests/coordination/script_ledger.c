#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryrail/ledger.h"
#include "script.h"

/* Runs a script of events against one ledger and prints its state after each;
   the output is compared exactly with the expected one.  */

struct context
{
  struct rr_ledger *ledger;
  uint64_t epochs[16]; /* of open requests, by their number in the script */
};

static struct rr_resources
size_of (const struct script_line *l)
{
  return (struct rr_resources){
    .cores_milli = script_int (l, "cores", 0),
    .memory_mb = script_int (l, "memory", 0),
    .accelerators = script_int (l, "accelerators", 0),
    .slots = script_int (l, "slots", 0),
    .connections = script_int (l, "connections", 0),
  };
}

/* Reads the words task:NAME/ATTEMPT:CORES:MEMORY:OBSERVED_CORES:
   OBSERVED_MEMORY:GRANT, where CORES "-" means that the size is unknown.  */
static size_t
account_of (const struct script_line *l, struct rr_ledger_reported_task *out)
{
  static char names[SCRIPT_WORDS][RR_TASK_ID_SIZE];
  size_t count = 0;
  for (int i = 0; i < l->count; i++)
    {
      char cores[24] = "";
      long long memory = 0;
      long long ocores = 0;
      long long omemory = 0;
      long long grant = 0;
      unsigned attempt = 0;
      if (sscanf (l->words[i], "task:%90[^/]/%u:%20[^:]:%lld:%lld:%lld:%lld",
                  names[count], &attempt, cores, &memory, &ocores, &omemory,
                  &grant)
          != 7)
        continue;
      out[count] = (struct rr_ledger_reported_task){
        .task = names[count],
        .attempt = attempt,
        .sized = strcmp (cores, "-") != 0,
        .observed = { .cores_milli = ocores, .memory_mb = omemory },
        .granted_until = rr_time_from_ms (grant),
      };
      out[count].declared.cores_milli = strtoll (cores, NULL, 10);
      out[count].declared.memory_mb = memory;
      count++;
    }
  return count;
}

static void
print_result (bool ok, const struct rr_error *err)
{
  if (ok)
    puts ("  ok");
  else if (err != NULL && err->code != RR_OK)
    printf ("  %s: %s\n", rr_error_code_name (err->code), err->message);
  else
    puts ("  no");
}

static void
print_state (const struct rr_ledger *l, struct rr_time now)
{
  static const char *const states[] = { "reserved", "sent", "running" };
  struct rr_resources u = rr_ledger_used (l);
  printf ("  %s epoch %" PRIu64 ", used %" PRId64 "m %" PRId64 "MB %" PRId64
          "a %" PRId64 " slots %" PRId64 " conn\n",
          rr_ledger_state_name (rr_ledger_state (l, now)), rr_ledger_epoch (l),
          u.cores_milli, u.memory_mb, u.accelerators, u.slots, u.connections);
  struct rr_ledger_entry e;
  for (size_t i = 0; rr_ledger_entry_at (l, i, &e); i++)
    printf ("    %s/%u %s%s%s %" PRId64 "m/%" PRId64 "m %" PRId64 "MB/%" PRId64
            "MB grant %" PRId64 "\n",
            e.task, e.attempt, states[e.state], e.sized ? "" : " unsized",
            e.overdue ? " overdue" : "", e.declared.cores_milli,
            e.observed.cores_milli, e.declared.memory_mb, e.observed.memory_mb,
            e.granted_until.ms);
}

static void
run_claim (struct context *c, const struct script_line *l)
{
  struct rr_ledger_claim claim = {
    .sent = rr_time_from_ms (script_int (l, "sent", l->now.ms)),
    .received = l->now,
    .worker_now = rr_time_from_ms (script_int (l, "worker", 0)),
    .lease_ms = script_int (l, "lease", 8000),
    .epoch = (uint64_t)script_int (l, "epoch", 0),
    .incarnation = (uint64_t)script_int (l, "incarnation", 1),
    .capacity = size_of (l),
    .leaving = script_int (l, "leaving", 0) != 0,
  };
  struct rr_error err = { 0 };
  print_result (rr_ledger_claim (c->ledger, &claim, &err), &err);
}

static void
run_account (struct context *c, const struct script_line *l, bool rebuild)
{
  struct rr_ledger_reported_task tasks[SCRIPT_WORDS];
  struct rr_error err = { 0 };
  struct rr_ledger_report r = {
    .sent = rr_time_from_ms (script_int (l, "sent", l->now.ms)),
    .received = l->now,
    .worker_now = rr_time_from_ms (script_int (l, "worker", 0)),
    .lease_ms = script_int (l, "lease", 8000),
    .epoch = (uint64_t)script_int (l, "epoch", 0),
    .leaving = script_int (l, "leaving", 0) != 0,
    .tasks = tasks,
    .task_count = account_of (l, tasks),
    .requests = script_int (l, "requests", 0),
  };
  bool ok = rebuild ? rr_ledger_rebuild (c->ledger, r.epoch, tasks,
                                         r.task_count, r.requests, &err)
                    : rr_ledger_report (c->ledger, &r, &err);
  print_result (ok, &err);
}

static void
run_plan (struct context *c, const struct script_line *l)
{
  struct rr_renewal plan[SCRIPT_WORDS];
  size_t n = rr_ledger_plan_renewals (
      c->ledger, l->now, script_int (l, "lease", 10000), plan, SCRIPT_WORDS);
  for (size_t i = 0; i < n; i++)
    printf ("  renew %s/%u until %" PRId64 "\n", plan[i].task, plan[i].attempt,
            plan[i].until.ms);
  if (n == 0)
    puts ("  renew nothing");
}

static void
run_task (struct context *c, const struct script_line *l)
{
  struct rr_ledger *g = c->ledger;
  const char *task = script_text (l, "task", "");
  uint32_t attempt = (uint32_t)script_int (l, "attempt", 1);
  uint64_t reservation = (uint64_t)script_int (l, "reservation", 0);
  struct rr_resources need = size_of (l);
  if (strcmp (l->command, "reserve") == 0)
    {
      enum rr_admit admit = rr_ledger_reserve (
          g, l->now, task, attempt, &need, script_int (l, "ttl", 5000),
          script_int (l, "probe", 0) != 0, &reservation);
      printf ("  %s", rr_admit_name (admit));
      if (admit == RR_ADMIT_OK)
        printf (" reservation %" PRIu64, reservation);
      puts ("");
    }
  else if (strcmp (l->command, "send") == 0)
    printf ("  %s\n", rr_admit_name (rr_ledger_start_sent (
                          g, l->now, reservation,
                          rr_time_from_ms (script_int (l, "void", 0)), 10000,
                          rr_time_from_ms (script_int (l, "grant", 0)))));
  else if (strcmp (l->command, "started") == 0)
    print_result (rr_ledger_start_confirmed (g, reservation), NULL);
  else if (strcmp (l->command, "cancel") == 0)
    print_result (rr_ledger_cancel_reservation (g, reservation), NULL);
  else if (strcmp (l->command, "end") == 0)
    print_result (rr_ledger_end_attempt (g, task, attempt), NULL);
  else if (strcmp (l->command, "size") == 0)
    print_result (rr_ledger_set_declared_size (g, task, attempt, &need), NULL);
  else if (strcmp (l->command, "grant") == 0)
    print_result (
        rr_ledger_extend_grant (g, task, attempt,
                                rr_time_from_ms (script_int (l, "until", 0))),
        NULL);
  else
    printf ("  unknown command\n");
}

static void
run_line (void *context, const struct script_line *l)
{
  struct context *c = context;
  struct rr_ledger *g = c->ledger;
  int64_t request = script_int (l, "request", 0) & 15;
  if (strcmp (l->command, "claim") == 0)
    run_claim (c, l);
  else if (strcmp (l->command, "rebuild") == 0)
    run_account (c, l, true);
  else if (strcmp (l->command, "report") == 0)
    run_account (c, l, false);
  else if (strcmp (l->command, "plan") == 0)
    run_plan (c, l);
  else if (strcmp (l->command, "connect") == 0)
    printf ("  %s\n", rr_admit_name (rr_ledger_acquire_connection (
                          g, l->now, &c->epochs[request])));
  else if (strcmp (l->command, "disconnect") == 0)
    rr_ledger_release_connection (g, l->now, c->epochs[request],
                                  script_int (l, "finished", 1) != 0);
  else if (strcmp (l->command, "lose") == 0)
    rr_ledger_mark_lease_lost (g, (uint64_t)script_int (l, "epoch", 0));
  else if (strcmp (l->command, "release") == 0)
    rr_ledger_release (g);
  else if (strcmp (l->command, "abandon") == 0)
    print_result (rr_ledger_abandon (
                      g, (uint64_t)script_int (l, "incarnation", 0), l->now),
                  NULL);
  else if (strcmp (l->command, "leaving") == 0)
    rr_ledger_set_leaving (g);
  else if (strcmp (l->command, "quarantine") == 0)
    rr_ledger_set_quarantined (g, script_int (l, "on", 1) != 0);
  else if (strcmp (l->command, "expire") == 0)
    printf ("  expired %zu\n", rr_ledger_expire_reservations (g, l->now));
  else if (strcmp (l->command, "show") != 0)
    run_task (c, l);
  print_state (g, l->now);
}

int
main (int argc, char **argv)
{
  struct rr_ledger_options options = { .request_limit_ms = 30000 };
  struct context c = { .ledger = rr_ledger_new (&options) };
  bool ok = argc == 2 && script_run (argv[1], run_line, &c);
  rr_ledger_free (c.ledger);
  return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
