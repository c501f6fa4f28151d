#include "rosemaryentryd/shard_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryentryd/shard_selection.h"

/* Transfers waiting tasks of a long-running job to a shard with free capacity.
   The job then has a record in each shard that runs some of its tasks: its
   own record, and one called JOB.SHARD for each other shard.  Tasks move
   between the job's own record and the others in one transaction, which is
   conditional on the owner key of the source shard.  */

/* Writes to OUT the id of the record with this shard's tasks of JOB.  */
void
shard_record_id (const struct shard *s, const char *job,
                 char out[RR_JOB_NAME_SIZE])
{
  const struct job_record *j = records_job (s->entry->records, job);
  if (j == NULL || strcmp (j->shard, s->record->name) == 0)
    snprintf (out, RR_JOB_NAME_SIZE, "%s", job);
  else
    records_part_id (job, s->record->name, out);
}

/* Decodes the job graph of J, which the caller frees; null when there is
   none.  */
static struct rr_job_graph *
decode_record (const struct job_record *j)
{
  struct rr_error err = { 0 };
  return j == NULL || j->graph_text == NULL
             ? NULL
             : rr_job_graph_decode (j->graph_text, strlen (j->graph_text),
                                    &err);
}

/* Discards the division.  Tasks that the source record still has may start in
   this shard, unless it is closed.  */
void
shard_divide_clear (struct shard *s)
{
  struct division *v = &s->division;
  if (!v->active)
    return;
  const struct job_record *source
      = records_job (s->entry->records, v->source.id);
  if (source != NULL && !s->closed)
    shard_job_update (s, source, false);
  free (v->source.text);
  free (v->destination.text);
  memset (v, 0, sizeof *v);
}

/* Adopts the stored records that a conflicting write has returned.  */
static void
adopt_current_records (struct shard *s, const struct store_result *r)
{
  size_t n = strlen (KEY_JOB);
  for (size_t i = 0; i < r->item_count; i++)
    if (strncmp (r->items[i].key, KEY_JOB, n) == 0 && !r->items[i].removed)
      records_job_set (s->entry->records, r->items[i].key + n,
                       r->items[i].value, r->items[i].revision);
}

static void
on_divided (void *data, const struct store_result *r)
{
  struct shard *s = data;
  struct division *v = &s->division;
  v->sending = false;
  if (!shard_write_ended (s, r, "division-rejected"))
    return;
  log_event (r->state == STORE_OK ? LOG_LEVEL_INFO : LOG_LEVEL_WARN,
             "tasks_transferred",
             "job=%s shard=%s to=%s tasks=%zu state=%s revision=%lld", v->job,
             s->record->name, v->destination.id, v->tasks,
             store_state_name (r->state), (long long)v->source.revision);
  switch (r->state)
    {
    case STORE_OK:
      records_job_set (s->entry->records, v->source.id, v->source.text,
                       r->revision);
      records_job_set (s->entry->records, v->destination.id,
                       v->destination.text, r->revision);
      shard_divide_clear (s);
      return;
    case STORE_CONFLICT:
      adopt_current_records (s, r);
      shard_divide_clear (s);
      return;
    case STORE_UNKNOWN:
      v->unknown = true;
      return;
    case STORE_MISSING:
    case STORE_COMPACTED:
    case STORE_REFUSED:
    case STORE_INVALID:
      /* An earlier attempt without an answer may still take effect, so the
         tasks stay withheld until an attempt is answered.  */
      if (!v->unknown)
        shard_divide_clear (s);
      return;
    }
}

static void
division_send (struct shard *s)
{
  struct division *v = &s->division;
  char keys[2][KEY_SIZE];
  snprintf (keys[0], KEY_SIZE, "%s%s", KEY_JOB, v->source.id);
  snprintf (keys[1], KEY_SIZE, "%s%s", KEY_JOB, v->destination.id);
  struct store_condition conds[] = { { s->owner_key, s->fencing_token },
                                     { keys[0], v->source.revision },
                                     { keys[1], v->destination.revision } };
  struct store_write writes[]
      = { { .key = keys[0], .value = v->source.text },
          { .key = keys[1], .value = v->destination.text } };
  struct store_txn txn = { .conditions = conds,
                           .condition_count = 3,
                           .writes = writes,
                           .write_count = 2 };
  v->sending = true;
  s->calls_in_flight++;
  store_commit (s->entry->store, &txn,
                entry_store_timeout_ms (s->entry, COMMIT_TIMEOUT_MS),
                on_divided, s);
}

/* Sets DESTINATION to the record that receives tasks of FROM: the job's own
   record, or else that of the shard TARGET.  Returns its job graph, which the
   caller frees, or null when the job is not known.  */
static struct rr_job_graph *
find_destination (struct shard *s, const struct rr_job_graph *from,
                  const struct shard_record *target,
                  struct divided_record *destination)
{
  const struct job_record *main_record
      = records_job (s->entry->records, from->id);
  if (main_record == NULL)
    return NULL;
  bool returning = strcmp (main_record->shard, s->record->name) != 0;
  if (returning)
    snprintf (destination->id, sizeof destination->id, "%s", from->id);
  else
    records_part_id (from->id, target->name, destination->id);
  const struct job_record *j
      = records_job (s->entry->records, destination->id);
  struct rr_job_graph *g = decode_record (j == NULL ? main_record : j);
  destination->revision = j == NULL ? 0 : j->job_revision;
  if (g != NULL && j == NULL)
    {
      rr_job_graph_divide (g, false);
      free (g->progress);
      g->progress = NULL;
      snprintf (g->shard, sizeof g->shard, "%s", target->name);
    }
  return g;
}

/* Removes from the N tasks of TASKS those that are suspected to crash workers,
   and returns the number of the others.  */
static size_t
remove_suspected (struct rr_waiting_task *tasks, size_t n)
{
  size_t kept = 0;
  for (size_t i = 0; i < n; i++)
    if (tasks[i].crashes == 0)
      tasks[kept++] = tasks[i];
  return kept;
}

/* Returns how often the task T, which waits here, has moved since it last ran;
   FROM is this shard's record of its job.  */
static uint32_t
moves_since_run (const struct rr_job_graph *from,
                 const struct rr_waiting_task *t)
{
  const struct rr_job_graph_share *share
      = rr_job_graph_share_find (from, t->number);
  return share != NULL && t->next_run <= share->first_run ? share->moves : 0;
}

/* Removes from the N tasks of TASKS those that have moved TRANSFERS_MAX times
   since they last ran, and returns the number of the others.  */
static size_t
remove_moved (const struct rr_job_graph *from, struct rr_waiting_task *tasks,
              size_t n)
{
  size_t kept = 0;
  for (size_t i = 0; i < n; i++)
    if (moves_since_run (from, &tasks[i]) < TRANSFERS_MAX)
      tasks[kept++] = tasks[i];
  return kept;
}

/* Prepares the transfer of N waiting TASKS of one job, or of as many as the
   destination has capacity for.  Tasks that are suspected to crash workers go
   only where they can run if they can't here: the evidence stays here.  */
static void
prepare_division (struct shard *s, struct rr_waiting_task *tasks, size_t n,
                  struct rr_time now)
{
  static const enum rr_step_state states[] = { RR_STEP_READY };
  struct division *v = &s->division;
  shard_record_id (s, tasks[0].job, v->source.id);
  struct job_record *j = records_job (s->entry->records, v->source.id);
  /* A share that is not confirmed yet is set later, which would release the
     tasks that this division withholds.  */
  struct rr_job_graph *from = j == NULL || !shard_job_confirmed (s, j)
                                      || shard_unfit_recently (j, now)
                                  ? NULL
                                  : decode_record (j);
  if (from == NULL)
    return;
  size_t tasks_max;
  bool certain;
  enum shard_verdict verdict;
  struct shard_record *target = shard_selection_for_task_transfer (
      s->entry, s->record, from, &tasks_max, &certain, &verdict);
  if (!shard_unfit_note (s, j, from, states, verdict, now))
    target = NULL;
  if (verdict == SHARD_FITS)
    n = remove_suspected (tasks, n);
  if (verdict == SHARD_FITS && !certain)
    n = remove_moved (from, tasks, n);
  if (n == 0)
    target = NULL;
  struct rr_job_graph *to
      = target == NULL ? NULL
                       : find_destination (s, from, target, &v->destination);
  if (to != NULL)
    {
      v->active = true;
      snprintf (v->job, sizeof v->job, "%s", from->id);
      v->tasks = n < tasks_max ? n : tasks_max;
      v->source.revision = j->job_revision;
      rr_job_graph_divide (from, true);
      for (size_t i = 0; i < v->tasks; i++)
        {
          uint32_t moves = moves_since_run (from, &tasks[i]) + 1;
          rr_job_graph_share_remove (from, tasks[i].number);
          rr_job_graph_share_add (to, tasks[i].number, tasks[i].next_run,
                                  tasks[i].crashes);
          to->share[to->share_count - 1].moves = moves;
          rr_dispatch_task_withhold (s->dispatch, from->id, tasks[i].number);
        }
      shard_selection_add_tasks (target, from, v->tasks);
      v->source.text = rr_job_graph_encode (from);
      v->destination.text = rr_job_graph_encode (to);
    }
  rr_job_graph_free (from);
  rr_job_graph_free (to);
}

/* Transfers waiting tasks of long-running jobs to shards with free capacity,
   or that can run them if this one can't.  */
void
shard_divide_jobs (struct shard *s, struct rr_time now)
{
  struct division *v = &s->division;
  if (v->sending || s->stopping)
    return;
  if (!v->active)
    {
      struct rr_waiting_task tasks[DIVIDE_TASKS_MAX];
      size_t n = rr_dispatch_waiting_tasks (
          s->dispatch, tasks, DIVIDE_TASKS_MAX, DIVIDE_WAIT_MS, now);
      if (n > 0)
        prepare_division (s, tasks, n, now);
    }
  if (v->active)
    division_send (s);
}
