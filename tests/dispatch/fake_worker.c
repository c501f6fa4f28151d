#include "fake_worker.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Workers that carry out commands at once, unless a script says otherwise.  */

struct fake_worker fake_workers[WORKERS_MAX];
size_t fake_worker_count;

/* Returns the worker ID, or ends the script.  */
struct fake_worker *
fake_worker_find (const char *id)
{
  for (size_t i = 0; i < fake_worker_count; i++)
    if (strcmp (fake_workers[i].id, id) == 0)
      return &fake_workers[i];
  fprintf (stderr, "no worker %s\n", id);
  exit (1);
}

static bool
same_run (const struct rr_run_name *a, const struct rr_run_name *b)
{
  return strcmp (a->job, b->job) == 0 && a->step == b->step
         && a->task == b->task && a->occurrence == b->occurrence
         && a->run == b->run;
}

static struct fake_run *
run_find (struct fake_worker *w, const struct rr_run_name *name)
{
  for (size_t i = 0; i < w->run_count; i++)
    if (same_run (&w->runs[i].status.name, name))
      return &w->runs[i];
  return NULL;
}

/* Ends R on W as KIND.  */
void
fake_run_end (struct fake_worker *w, struct fake_run *r, enum rr_end_kind kind)
{
  r->ended = true;
  r->end = (struct rr_run_end){ .number = ++w->ends,
                                .name = r->status.name,
                                .kind = kind };
  r->end.checkpoint = r->status.checkpoint;
}

static int64_t
clock_ms (const struct fake_worker *w)
{
  return script.now.ms - w->clock_start;
}

/* Delivers the answers of W that were withheld.  */
static void
answers_deliver (struct fake_worker *w)
{
  w->withholding = false;
  for (size_t i = 0; i < w->answer_count; i++)
    rr_dispatch_command_answered (
        script.dispatch, w->handle, w->answers[i].kind, &w->answers[i].name,
        RR_OUTCOME_ACCEPTED, w->answers[i].clock_ms, script.now);
  w->answer_count = 0;
}

/* Lets W take a lease up to END, unless a higher TOKEN was there first.  */
static void
lease_take (struct fake_worker *w, int64_t end, int64_t token)
{
  if (token < w->token)
    return;
  w->token = token;
  if (end > clock_ms (w) + LEASE_MAX_MS)
    end = clock_ms (w) + LEASE_MAX_MS;
  if (end > w->lease_end)
    w->lease_end = end;
}

static struct fake_run *
run_new (struct fake_worker *w, const struct rr_run_name *name)
{
  assert (w->run_count < RUNS_MAX);
  struct fake_run *r = &w->runs[w->run_count++];
  rr_text_unref (r->status.checkpoint);
  *r = (struct fake_run){ .status = { .name = *name, .percent = 100 },
                          .speed = 100,
                          .late_speed = -1 };
  return r;
}

static void
start (struct fake_worker *w, const struct rr_run_name *name)
{
  struct fake_run *r = run_find (w, name);
  if (r == NULL)
    run_new (w, name);
  else if (!r->sealed)
    r->delayed = false;
}

/* The start COMMAND, which gives a lease up to LEASE, does not reach W for
   now.  */
static void
start_lose (struct fake_worker *w, const struct rr_command *command,
            int64_t lease)
{
  run_new (w, &command->name)->delayed = true;
  assert (w->late_start_count
          < sizeof w->late_starts / sizeof w->late_starts[0]);
  w->late_starts[w->late_start_count++] = (struct fake_start){
    .name = command->name,
    .lease = lease,
    .token = rr_dispatch_worker_token (script.dispatch, w->handle)
  };
}

/* W takes the starts that it has not got, in the life in which it is.  */
static void
late_starts_deliver (struct fake_worker *w)
{
  for (size_t i = 0; i < w->late_start_count; i++)
    {
      const struct fake_start *late = &w->late_starts[i];
      if (late->token < w->token)
        continue;
      lease_take (w, late->lease, late->token);
      start (w, &late->name);
    }
  w->late_start_count = 0;
}

static void
stop (struct fake_worker *w, const struct rr_run_name *name)
{
  struct fake_run *r = run_find (w, name);
  if (r == NULL)
    r = run_new (w, name);
  if (r->ended)
    return;
  if (r->delayed || r->sealed)
    r->sealed = true;
  else
    fake_run_end (w, r, RR_END_STOPPED);
}

static void
throttle (struct fake_worker *w, const struct rr_command *command)
{
  struct fake_run *r = run_find (w, &command->name);
  if (r == NULL || r->ended || r->delayed)
    return;
  if (w->delaying)
    r->late_speed = command->percent;
  else
    r->speed = command->percent;
}

/* Prints the speeds of runs that are not at full speed.  */
void
fake_workers_print_speeds (void)
{
  for (size_t i = 0; i < fake_worker_count; i++)
    for (size_t k = 0; k < fake_workers[i].run_count; k++)
      {
        const struct fake_run *r = &fake_workers[i].runs[k];
        const struct rr_run_name *n = &r->status.name;
        if (!r->ended && r->speed != 100)
          printf ("%s %d.%d run %llu on %s at %d%%\n", n->job, n->step,
                  n->task, (unsigned long long)n->run, fake_workers[i].id,
                  r->speed);
      }
}

static void
late_throttles_deliver (struct fake_worker *w)
{
  for (size_t i = 0; i < w->run_count; i++)
    {
      struct fake_run *r = &w->runs[i];
      if (r->late_speed >= 0)
        r->speed = r->late_speed;
      r->late_speed = -1;
    }
}

static const char *const kinds[] = { "start", "stop", "throttle" };

/* Lets the worker of COMMAND carry it out and answer it.  */
void
fake_worker_execute (const struct rr_command *command)
{
  struct fake_worker *w = fake_worker_find (command->worker_id);
  if (!rr_dispatch_command_begin (script.dispatch, w->handle, command->kind,
                                  &command->name, script.now))
    {
      printf ("%s %s %d.%d run %llu on %s withdrawn\n", kinds[command->kind],
              command->name.job, command->name.step, command->name.task,
              (unsigned long long)command->name.run, command->worker_id);
      rr_dispatch_command_answered (script.dispatch, w->handle, command->kind,
                                    &command->name, RR_OUTCOME_NOT_SENT, 0,
                                    script.now);
      return;
    }
  int64_t lease
      = command->kind == RR_COMMAND_START ? rr_dispatch_worker_lease (
            script.dispatch, w->handle,
            rr_time_add (script.confirmed, LEASE_MAX_MS), script.now)
                                          : 0;
  if (command->kind == RR_COMMAND_START && lease <= 0)
    {
      struct rr_run_name unsent = command->name;
      printf ("start %s %d.%d run %llu on %s: no lease\n", unsent.job,
              unsent.step, unsent.task, (unsigned long long)unsent.run, w->id);
      rr_dispatch_command_answered (script.dispatch, w->handle, command->kind,
                                    &unsent, RR_OUTCOME_NOT_SENT, 0,
                                    script.now);
      return;
    }
  if (w->disconnected)
    w->connected = script.now;
  w->disconnected = false;
  rr_dispatch_command_connected (script.dispatch, w->handle, command->kind,
                                 &command->name, w->connected);
  printf ("%s %s %d.%d run %llu on %s", kinds[command->kind],
          command->name.job, command->name.step, command->name.task,
          (unsigned long long)command->name.run, command->worker_id);
  if (command->kind == RR_COMMAND_START
      && rr_text_length (command->permit_token) > 0)
    printf (" with %s", rr_text_bytes (command->permit_token));
  if (command->kind == RR_COMMAND_START
      && rr_text_length (command->checkpoint) > 0)
    printf (" from %s", rr_text_bytes (command->checkpoint));
  if (command->kind == RR_COMMAND_THROTTLE)
    printf (" at %d%%", command->percent);
  if (command->kind == RR_COMMAND_STOP)
    printf (" (%s)", command->reason);
  bool answered
      = !w->blocked && (!w->delaying || command->kind != RR_COMMAND_THROTTLE);
  printf ("%s\n", answered ? "" : ": no answer");
  lease_take (w, lease, rr_dispatch_worker_token (script.dispatch, w->handle));
  if (w->blocked)
    {
      if (command->kind == RR_COMMAND_START)
        start_lose (w, command, lease);
    }
  else if (command->kind == RR_COMMAND_START && !w->refusing)
    start (w, &command->name);
  else if (command->kind == RR_COMMAND_STOP)
    stop (w, &command->name);
  else if (command->kind == RR_COMMAND_THROTTLE)
    throttle (w, command);
  struct rr_run_name name = command->name;
  bool refused = w->refusing && command->kind == RR_COMMAND_START;
  if (w->withholding)
    w->answers[w->answer_count++]
        = (struct fake_answer){ command->kind, name, clock_ms (w) };
  else
    rr_dispatch_command_answered (script.dispatch, w->handle, command->kind,
                                  &name,
                                  !answered ? RR_OUTCOME_UNKNOWN
                                  : refused ? RR_OUTCOME_NO_PERMIT
                                            : RR_OUTCOME_ACCEPTED,
                                  clock_ms (w), script.now);
}

static void
queue_send (struct fake_worker *w)
{
  w->queueing = false;
  for (size_t i = 0; i < w->queue_count; i++)
    fake_worker_execute (&w->queue[i]);
  w->queue_count = 0;
}

static void
expire (struct fake_worker *w)
{
  for (size_t i = 0; i < w->run_count; i++)
    if (!w->runs[i].ended && !w->runs[i].delayed
        && w->lease_end <= clock_ms (w))
      fake_run_end (w, &w->runs[i], RR_END_LEASE_EXPIRED);
}

/* Prints the runs that are in progress, also on workers out of reach.  */
void
fake_workers_print_running (void)
{
  for (size_t i = 0; i < fake_worker_count; i++)
    {
      struct fake_worker *w = &fake_workers[i];
      expire (w);
      for (size_t k = 0; k < w->run_count; k++)
        {
          const struct rr_run_name *n = &w->runs[k].status.name;
          if (!w->runs[k].ended && !w->runs[k].delayed && !w->runs[k].sealed)
            printf ("%s %d.%d run %llu runs on %s\n", n->job, n->step, n->task,
                    (unsigned long long)n->run, w->id);
        }
    }
}

/* A poll that renews leases leaves for W, and is under way.  */
static void
late_poll_send (struct fake_worker *w)
{
  w->late_lease = rr_dispatch_worker_lease (
      script.dispatch, w->handle, rr_time_add (script.confirmed, LEASE_MAX_MS),
      script.now);
  w->late_token = rr_dispatch_worker_token (script.dispatch, w->handle);
}

static int
compare_ends (const void *a, const void *b)
{
  int64_t x = ((const struct rr_run_end *)a)->number;
  int64_t y = ((const struct rr_run_end *)b)->number;
  return (x > y) - (x < y);
}

/* Stores a membership record with the present life of W, and not as silent. */
static void
record_life (struct fake_worker *w, int64_t started_ms)
{
  w->recorded_life = started_ms;
  struct rr_recorded_worker r = { .started_ms = started_ms };
  snprintf (r.id, sizeof r.id, "%s", w->id);
  rr_dispatch_worker_mark_recorded (script.dispatch, &r, ++script.revision);
}

static void
worker_poll (struct fake_worker *w)
{
  int64_t token = rr_dispatch_worker_token (script.dispatch, w->handle);
  int64_t observed
      = rr_dispatch_worker_stored_end (script.dispatch, w->handle, script.now);
  int64_t lease = rr_dispatch_worker_lease (
      script.dispatch, w->handle, rr_time_add (script.confirmed, LEASE_MAX_MS),
      script.now);
  expire (w);
  if (w->blocked || w->muted)
    {
      if (w->muted)
        lease_take (w, lease, token);
      rr_dispatch_worker_unreachable (script.dispatch, w->handle);
      return;
    }
  if (token < w->token)
    {
      /* The owner takes a refusal of its present token for another owner.  */
      printf ("poll of %s refused: fence\n", w->id);
      rr_dispatch_worker_unreachable (script.dispatch, w->handle);
      return;
    }
  lease_take (w, lease, token);
  if (observed > w->forgotten)
    w->forgotten = observed;
  static struct rr_run_status running[RUNS_MAX];
  static struct rr_run_end ended[RUNS_MAX];
  struct rr_worker_report r
      = { .started_ms = w->started_ms,
          .token = token,
          .clock_ms = clock_ms (w),
          .sent = rr_time_add (script.now, -w->answer_ms),
          .received = script.now,
          .running = running,
          .ended = ended };
  for (size_t i = 0; i < w->run_count; i++)
    if (w->runs[i].ended && w->runs[i].end.number > w->forgotten)
      ended[r.ended_count++] = w->runs[i].end;
    else if (!w->runs[i].ended && !w->runs[i].delayed && !w->runs[i].sealed)
      running[r.running_count++] = w->runs[i].status;
  qsort (ended, r.ended_count, sizeof *ended, compare_ends);
  if (w->listed_max > 0 && r.ended_count >= w->listed_max)
    {
      r.ended_count = w->listed_max;
      r.ends_partial = true;
    }
  for (size_t i = 0; w->reversing && i < r.ended_count / 2; i++)
    {
      struct rr_run_end e = ended[i];
      ended[i] = ended[r.ended_count - 1 - i];
      ended[r.ended_count - 1 - i] = e;
    }
  rr_dispatch_report_apply (script.dispatch, w->handle, &r, script.now);
}

/* Polls the worker ID, or all if that is null.  A life that is to be recorded
   is, and registered, unless the script stores the record itself, and is
   polled again.  */
void
fake_workers_poll (const char *id)
{
  for (size_t i = 0; i < fake_worker_count; i++)
    {
      struct fake_worker *w = &fake_workers[i];
      if (id != NULL && strcmp (w->id, id) != 0)
        continue;
      worker_poll (w);
      if (script.records_itself || w->recorded_life == w->started_ms
          || w->blocked || w->muted)
        continue;
      w->info.started_ms = w->started_ms;
      if (w->registered)
        fake_worker_register (w, true);
      else
        record_life (w, w->started_ms);
      worker_poll (w);
    }
}

/* Registers W, or updates its registration.  RECORDED: the membership record
   has it, and not as silent.  */
void
fake_worker_register (struct fake_worker *w, bool recorded)
{
  w->registered = true;
  w->handle = rr_dispatch_worker_set (script.dispatch, &w->info, script.now);
  if (!recorded)
    return;
  record_life (w, w->info.started_ms);
}

/* Adds the worker of a script line.  */
void
fake_worker_add (char **word)
{
  struct fake_worker *w = &fake_workers[fake_worker_count++];
  snprintf (w->id, sizeof w->id, "%s", word[1]);
  w->started_ms = script.now.ms;
  snprintf (w->info.id, sizeof w->info.id, "%s", word[1]);
  snprintf (w->info.service, sizeof w->info.service, "desk");
  snprintf (w->info.rack, sizeof w->info.rack, "%s", word[2]);
  snprintf (w->info.labels[0], RR_JOB_NAME_SIZE, "%s", word[2]);
  w->info.label_count = 1;
  w->info.cores_milli = strtol (word[3], NULL, 10);
  w->info.memory_mb = strtol (word[4], NULL, 10);
  w->info.started_ms = w->started_ms;
  fake_worker_register (w, true);
}

/* Returns the run of a task that is in progress and sets WHERE to its worker,
   or ends the script.  */
struct fake_run *
fake_run_find (char *job, char *task_name, struct fake_worker **where)
{
  char *dot = NULL;
  long step = strtol (task_name, &dot, 10);
  long task = strtol (dot + 1, NULL, 10);
  for (size_t i = 0; i < fake_worker_count; i++)
    for (size_t k = fake_workers[i].run_count; k-- > 0;)
      {
        struct fake_run *r = &fake_workers[i].runs[k];
        if (!r->ended && !r->delayed && strcmp (r->status.name.job, job) == 0
            && r->status.name.step == step && r->status.name.task == task)
          {
            *where = &fake_workers[i];
            return r;
          }
      }
  fprintf (stderr, "%s %s does not run\n", job, task_name);
  exit (1);
}

static void
worker_restart (struct fake_worker *w)
{
  w->disconnected = true;
  w->run_count = 0;
  w->ends = 0;
  w->forgotten = 0;
  w->lease_end = 0;
  w->token = 0;
  w->started_ms = script.now.ms;
}

/* Drops W as the owner does with a worker that is not registered, if it may.
 */
static void
worker_drop (struct fake_worker *w)
{
  bool droppable
      = rr_dispatch_worker_droppable (script.dispatch, w->handle, script.now);
  if (droppable)
    rr_dispatch_worker_drop (script.dispatch, w->handle, script.now);
  printf ("%s %s\n", w->id, droppable ? "dropped" : "kept");
}

/* Runs a script command about worker W.  */
void
fake_worker_command (char **word, struct fake_worker *w)
{
  if (strcmp (word[0], "drain") == 0)
    {
      w->info.draining = true;
      w->info.remaining_ms = 2000;
      fake_worker_register (w, true);
    }
  else if (strcmp (word[0], "unregister") == 0)
    {
      w->registered = false;
      rr_dispatch_worker_unregister (script.dispatch, w->id, script.now);
    }
  else if (strcmp (word[0], "drop_idle") == 0)
    worker_drop (w);
  else if (strcmp (word[0], "restart") == 0)
    worker_restart (w);
  else if (strcmp (word[0], "restart_at") == 0)
    {
      worker_restart (w);
      w->started_ms = strtol (word[2], NULL, 10);
    }
  else if (strcmp (word[0], "restart_clock") == 0)
    {
      worker_restart (w);
      w->clock_start = script.now.ms;
    }
  else if (strcmp (word[0], "list_ends") == 0)
    w->listed_max = strtoul (word[2], NULL, 10);
  else if (strcmp (word[0], "withhold_answers") == 0)
    w->withholding = true;
  else if (strcmp (word[0], "deliver_answers") == 0)
    answers_deliver (w);
  else if (strcmp (word[0], "reregister") == 0)
    {
      worker_restart (w);
      w->info.started_ms = w->started_ms;
      fake_worker_register (w, true);
    }
  else if (strcmp (word[0], "resize") == 0)
    {
      w->info.cores_milli = strtol (word[2], NULL, 10);
      w->info.memory_mb = strtol (word[3], NULL, 10);
    }
  else if (strcmp (word[0], "reregister_same") == 0)
    {
      w->info.started_ms = w->started_ms;
      fake_worker_register (w, !script.records_itself);
    }
  else if (strcmp (word[0], "mute") == 0 || strcmp (word[0], "unmute") == 0)
    w->muted = word[0][0] == 'm';
  else if (strcmp (word[0], "slow_answers") == 0)
    w->answer_ms = strtol (word[2], NULL, 10);
  else if (strcmp (word[0], "delay") == 0)
    w->delaying = true;
  else if (strcmp (word[0], "undelay") == 0)
    w->delaying = false;
  else if (strcmp (word[0], "deliver") == 0)
    late_throttles_deliver (w);
  else if (strcmp (word[0], "lease") == 0)
    printf ("%lld ms\n",
            (long long)(rr_dispatch_worker_lease (
                            script.dispatch, w->handle,
                            rr_time_add (script.confirmed, LEASE_MAX_MS),
                            script.now)
                        - clock_ms (w)));
  else if (strcmp (word[0], "send_poll") == 0)
    late_poll_send (w);
  else if (strcmp (word[0], "deliver_poll") == 0)
    lease_take (w, w->late_lease, w->late_token);
  else if (strcmp (word[0], "deliver_starts") == 0)
    late_starts_deliver (w);
  else if (strcmp (word[0], "drop_connections") == 0)
    w->disconnected = true;
  else if (strcmp (word[0], "reverse_ends") == 0)
    w->reversing = true;
  else if (strcmp (word[0], "refuse_permits") == 0)
    w->refusing = true;
  else if (strcmp (word[0], "accept_permits") == 0)
    w->refusing = false;
  else if (strcmp (word[0], "queue_commands") == 0)
    w->queueing = true;
  else if (strcmp (word[0], "send_commands") == 0)
    queue_send (w);
  else if (strcmp (word[0], "reconnect") == 0)
    {
      w->queueing = false;
      w->queue_count = 0;
      w->disconnected = true;
      rr_dispatch_commands_abandoned (script.dispatch, w->handle, script.now);
    }
  else
    {
      w->blocked = strcmp (word[0], "block") == 0;
      for (size_t i = 0; i < w->run_count && !w->blocked; i++)
        w->runs[i].delayed = w->runs[i].delayed && w->runs[i].sealed;
    }
}
