#include "rosemaryentryd/shard_fit.h"
#include "rosemaryentryd/shard_private.h"

/* Shows jobs that no worker of any shard can run.  */

/* Returns whether this daemon has found less than UNFIT_INTERVAL_MS ago that
   no worker can run J.  */
bool
shard_unfit_recently (const struct job_record *j, struct rr_time now)
{
  return j->unfit_at.ms != 0
         && rr_time_diff (now, j->unfit_at) < UNFIT_INTERVAL_MS;
}

/* Takes note of whether any worker can run J, which has the graph G and whose
   steps are in STATES.  Logs and counts the job, with what all workers lack
   for its first ready step, once no worker could run it for
   UNFIT_LOG_AFTER_MS.  Returns whether VERDICT counts: not while the
   registrations are too old to start tasks, since two owners with different
   registrations could send a job to each other.  */
bool
shard_unfit_note (struct shard *s, struct job_record *j,
                  const struct rr_job_graph *g,
                  const enum rr_step_state *states, enum shard_verdict verdict,
                  struct rr_time now)
{
  if (verdict != SHARD_FITS && rr_dispatch_registrations_stale (s->dispatch))
    return false;
  if (verdict != SHARDS_UNFIT
      || rr_time_diff (now, j->unfit_at) > UNFIT_FORGET_AFTER_MS)
    {
      j->unfit_since = j->unfit_at = (struct rr_time){ 0 };
      j->unfit_logged = false;
    }
  if (verdict != SHARDS_UNFIT)
    return true;
  j->unfit_at = now;
  if (j->unfit_since.ms == 0)
    j->unfit_since = now;
  if (j->unfit_logged
      || rr_time_diff (now, j->unfit_since) < UNFIT_LOG_AFTER_MS)
    return true;
  j->unfit_logged = true;
  size_t step = 0;
  while (step + 1 < g->step_count && states[step] != RR_STEP_READY)
    step++;
  const struct rr_job_graph_step *t = &g->steps[step];
  entry_metrics_event (s->entry->metrics, "job_unfit");
  log_event (LOG_LEVEL_WARN, "job_unfit",
             "shard=%s job=%s queue=%s step=%zu lacking=%s label=%s "
             "cores=%lld memory=%lld accelerators=%lld gang=%s",
             s->record->name, g->id, g->queue, step,
             shard_fit_missing (s->entry, g, step), t->required_label,
             (long long)t->cores_milli, (long long)t->memory_mb,
             (long long)t->accelerators, t->gang ? "true" : "false");
  return true;
}
