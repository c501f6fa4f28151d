#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "common/log.h"
#include "rosemaryraild/config_keeper.h"
#include "rosemaryraild/workers_internal.h"

enum
{
  ZONE = 0,          /* all workers of a daemon are in its own zone */
  SELECTIONS_MAX = 4 /* workers tried for one task */
};

/* Returns the hash of TEXT, which the decision modules use as its id.  */
uint64_t
decisions_hash (const char *text)
{
  return XXH3_64bits (text, strlen (text));
}

/* Creates the decision modules with default parameters.  */
void
decisions_open (struct workers *ws)
{
  struct decisions *s = calloc (1, sizeof *s);
  assert (s != NULL);
  rr_policy_init (&s->policy);
  s->interference = rr_interference_new (&s->policy);
  s->placement = rr_placement_new (&s->policy, s->interference);
  s->relief = rr_relief_new (&s->policy);
  s->quarantine = rr_quarantine_new (&s->policy);
  s->estimate = rr_estimate_new (&s->policy);
  ws->decisions = s;
}

/* Applies the parameters of the configuration in force.  The modules hold a
   pointer to them and read them at each decision.  */
void
decisions_set_policy (struct workers *ws)
{
  rr_config_policy_fill (config_keeper_config (ws->d->config),
                         &ws->decisions->policy);
}

static struct rr_size
size_from_resources (const struct rr_resources *r)
{
  return (struct rr_size){ .cores_milli = r->cores_milli,
                           .memory_mb = r->memory_mb,
                           .accelerators = (int32_t)r->accelerators,
                           .slots = (int32_t)r->slots,
                           .connections = (int32_t)r->connections };
}

/* Sets the id of W.  W is added to the placement index later, once its
   capacity is known.  */
void
decisions_add_worker (struct worker *w)
{
  w->id = XXH3_64bits_withSeed (w->name, strlen (w->name), w->incarnation);
  w->index = RR_WORKER_NONE;
  rr_quarantine_worker_add (w->ws->decisions->quarantine, w->id, ZONE);
}

/* Removes W from all decision modules.  */
void
decisions_remove_worker (struct worker *w)
{
  struct decisions *s = w->ws->decisions;
  rr_quarantine_worker_remove (s->quarantine, w->id);
  rr_interference_worker_remove (s->interference, w->id);
  if (w->index == RR_WORKER_NONE)
    return;
  rr_relief_worker_reset (s->relief, w->index);
  rr_placement_worker_remove (s->placement, w->index);
  w->index = RR_WORKER_NONE;
}

/* Updates W's entry in the placement index from its ledger and quarantine, and
   passes the quarantine on to the ledger and the state chart.  */
void
decisions_sync_worker (struct worker *w, struct rr_time now)
{
  struct decisions *s = w->ws->decisions;
  struct rr_resources capacity = rr_ledger_capacity (w->ledger);
  enum rr_ledger_state state = rr_ledger_state (w->ledger, now);
  enum rr_quarantine_state quarantine
      = rr_quarantine_state (s->quarantine, w->id, now);
  bool probes_only = quarantine == RR_QUARANTINE_ACTIVE
                     || quarantine == RR_QUARANTINE_EXHAUSTED;
  bool must_wait
      = rr_quarantine_check (s->quarantine, w->id, now) == RR_QUARANTINE_WAIT;
  if (state == RR_LEDGER_OPEN || state == RR_LEDGER_QUARANTINED)
    {
      rr_ledger_set_quarantined (w->ledger, probes_only);
      if (probes_only)
        worker_apply_event (w, w->ws->chart.quarantine);
      else if (w->state == w->ws->chart.quarantined)
        worker_apply_event (w, w->ws->chart.quarantine_ended);
    }
  if (capacity.slots == 0)
    return;
  struct rr_placement_worker view
      = { .id = w->id,
          .zone = ZONE,
          .rack = (int)(decisions_hash (w->rack) & 0x7fffffff),
          .total = size_from_resources (&capacity),
          .leased = worker_is_open (w, now) || probes_only,
          .leaving = state == RR_LEDGER_LEAVING,
          .quarantined = must_wait };
  if (w->index == RR_WORKER_NONE)
    w->index = rr_placement_worker_add (s->placement, &view);
  else
    rr_placement_worker_set (s->placement, w->index, &view);
}

static struct rr_placement_task
make_placement_task (struct decisions *s, const char *kind,
                     const char *service, const char *task_class,
                     const char *task, const struct rr_resources *need)
{
  bool is_service = strcmp (kind, "service") == 0;
  const char *group_end = strrchr (task, '.');
  size_t n = group_end == NULL ? strlen (task) : (size_t)(group_end - task);
  enum rr_workload_kind k
      = is_service ? RR_WORKLOAD_SERVICE : RR_WORKLOAD_BATCH;
  return (struct rr_placement_task){
    .kind = k,
    .class_number = rr_interference_class (s->interference, k,
                                           is_service ? service : task_class),
    .group = XXH3_64bits (task, n),
    .size = size_from_resources (need),
  };
}

/* Adds T, reserved or running on W, to the placement index.  */
void
decisions_add_task (struct worker *w, struct hosted_task *t)
{
  struct decisions *s = w->ws->decisions;
  if (t->indexed || w->index == RR_WORKER_NONE || t->need.slots == 0)
    return;
  t->placement = make_placement_task (s, t->kind, t->service, t->task_class,
                                      t->task, &t->need);
  t->indexed = true;
  rr_placement_task_add (s->placement, w->index, &t->placement);
}

/* Removes T from the placement index.  */
void
decisions_remove_task (struct worker *w, struct hosted_task *t)
{
  if (!t->indexed)
    return;
  t->indexed = false;
  if (w->index != RR_WORKER_NONE)
    rr_placement_task_remove (w->ws->decisions->placement, w->index,
                              &t->placement);
}

/* Returns the declared size of T, raised to the usage that was measured for
   tasks of the same team and class.  It is never lowered: the declared size
   must fit as well.  */
static struct rr_resources
estimate_need (struct decisions *s, const peer_task *t, struct rr_time now)
{
  struct rr_resources need = { .cores_milli = t->cores_milli,
                               .memory_mb = t->memory_mb,
                               .accelerators = t->accelerators,
                               .slots = 1 };
  struct rr_size declared = size_from_resources (&need);
  struct rr_estimate_size estimate;
  uint64_t profile = decisions_hash (t->team) ^ decisions_hash (t->task_class);
  rr_estimate_get (s->estimate, profile, &declared, (double)t->work_ms, now,
                   &estimate);
  if (estimate.size.cores_milli > need.cores_milli)
    need.cores_milli = estimate.size.cores_milli;
  if (estimate.size.memory_mb > need.memory_mb)
    need.memory_mb = estimate.size.memory_mb;
  return need;
}

static struct worker *
worker_at (struct workers *ws, int index)
{
  for (size_t i = 0; i < ws->count; i++)
    if (ws->workers[i]->index == index)
      return ws->workers[i];
  return NULL;
}

/* Returns whether W can be given the task.  A quarantined worker is only given
   probes, and only tasks of a job that succeeded elsewhere, so that a failure
   points to the worker and not to the job.  */
static bool
can_start (struct worker *w, const struct rr_placement_request *request,
           const struct rr_resources *need, struct rr_time now, bool *probe)
{
  struct decisions *s = w->ws->decisions;
  enum rr_quarantine_verdict verdict
      = rr_quarantine_check (s->quarantine, w->id, now);
  *probe = verdict == RR_QUARANTINE_PROBE;
  if (verdict == RR_QUARANTINE_WAIT || w->hosted_task_count == HOSTED_TASKS_MAX
      || (*probe
          && !rr_quarantine_job_succeeded_recently (s->quarantine,
                                                    request->task.group, now)))
    return false;
  return rr_ledger_check_admission (w->ledger, now, need, *probe)
         == RR_ADMIT_OK;
}

/* Selects a worker for T and sets NEED to the size to reserve and PROBE to
   whether the start is a probe.  The ledger must still admit the task.
   Returns null and fills WHY when no worker fits.  */
struct worker *
decisions_select_worker (struct workers *ws, const peer_task *t,
                         struct rr_time now, struct rr_resources *need,
                         bool *probe, struct rr_placement_explanation *why)
{
  struct decisions *s = ws->decisions;
  *need = estimate_need (s, t, now);
  int avoid[SELECTIONS_MAX];
  struct rr_placement_request request
      = { .task = make_placement_task (s, t->kind, t->service, t->task_class,
                                       t->task, need),
          .checkpoint_worker = RR_WORKER_NONE,
          .checkpoint_zone = -1,
          .avoid = avoid,
          .urgent = t->urgent,
          .waited_ms = (int64_t)t->waited_ms };
  rr_interference_refresh (s->interference, now);
  while (request.avoid_count < SELECTIONS_MAX)
    {
      struct rr_placement_selection selection;
      if (!rr_placement_select (s->placement, &request, ws->d->rng, &selection)
          || selection.worker == RR_WORKER_NONE)
        break;
      struct worker *w = worker_at (ws, selection.worker);
      if (w != NULL && can_start (w, &request, need, now, probe))
        return w;
      avoid[request.avoid_count++] = selection.worker;
    }
  rr_placement_explain (s->placement, &request, why);
  return NULL;
}

/* Records that T has started on W.  */
void
decisions_attempt_started (struct worker *w, const struct hosted_task *t)
{
  rr_quarantine_attempt_started (w->ws->decisions->quarantine, w->id,
                                 decisions_hash (t->task), t->placement.group,
                                 daemon_now ());
}

/* Records that T has ended on W with RESULT, as the worker named it.  */
void
decisions_attempt_ended (struct worker *w, const struct hosted_task *t,
                         const char *result)
{
  struct decisions *s = w->ws->decisions;
  struct rr_time now = daemon_now ();
  uint64_t task = decisions_hash (t->task);
  if (strcmp (result, "ok") == 0)
    rr_quarantine_attempt_succeeded (s->quarantine, w->id, task,
                                     t->placement.group, now);
  else if (strcmp (result, "failed") == 0)
    rr_quarantine_attempt_failed (s->quarantine, w->id, task,
                                  t->placement.group, now);
  else
    rr_quarantine_attempt_withdrawn (s->quarantine, w->id, task);
  if (strcmp (t->kind, "batch") != 0 || t->peak_memory_mb <= 0)
    return;
  struct rr_estimate_usage usage
      = { .profile = decisions_hash (t->team) ^ decisions_hash (t->task_class),
          .cores_milli = t->mean_cores_milli,
          .memory_mb = t->peak_memory_mb,
          .work_ms = strcmp (result, "ok") == 0 ? (double)t->done_ms : 0 };
  rr_estimate_usage_add (s->estimate, &usage, now);
}
