#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/json.h"
#include "common/log.h"
#include "rosemaryraild/config_json.h"
#include "rosemaryraild/config_keeper.h"
#include "rosemaryraild/shards_internal.h"

enum
{
  TASK_FAILURES_MAX = 5, /* failed attempts of a task before its job fails */
  JOBS_LISTED_MAX = 2000
};

static void
reply_json (struct shards *ss, const struct call_origin *origin, int status,
            struct json_object *o)
{
  const char *text = json_text (o);
  peer_job_result out = { .http_status = status,
                          .text = { .text_len = (u_int)strlen (text),
                                    .text_val = (char *)text } };
  daemon_reply (ss->d, origin, (xdrproc_t)xdr_peer_job_result, &out);
  json_object_put (o);
}

static void
reply_error (struct shards *ss, const struct call_origin *origin, int status,
             const char *code, const char *message)
{
  struct json_object *o = json_object_new_object ();
  struct json_object *e = json_object_new_object ();
  json_add_string (e, "code", code);
  json_add_string (e, "message", message);
  json_object_object_add (o, "error", e);
  reply_json (ss, origin, status, o);
}

static const char *
task_state_name (const struct rr_task *t)
{
  switch (t->state)
    {
    case RR_TASK_SUCCEEDED:
      return "succeeded";
    case RR_TASK_FAILED:
      return "failed";
    case RR_TASK_CANCELLED:
      return "cancelled";
    case RR_TASK_OPEN:
      break;
    }
  if (t->attempt.state == RR_ATTEMPT_RUNNING)
    return "running";
  return t->attempt.state == RR_ATTEMPT_PLACED ? "starting" : "pending";
}

static struct json_object *
job_summary (const struct rr_job *job)
{
  int64_t running = 0;
  int64_t done = 0;
  int64_t failed = 0;
  int64_t pending = 0;
  for (uint32_t i = 0; i < job->spec.tasks; i++)
    {
      const struct rr_task *t = &job->tasks[i];
      if (t->state == RR_TASK_SUCCEEDED)
        done++;
      else if (t->state == RR_TASK_FAILED)
        failed++;
      else if (t->state == RR_TASK_OPEN)
        {
          if (rr_attempt_is_live (&t->attempt))
            running++;
          else
            pending++;
        }
    }
  struct json_object *o = json_object_new_object ();
  json_add_string (o, "id", job->spec.job);
  json_add_string (o, "team", job->spec.team);
  json_add_string (o, "kind",
                   job->spec.kind == RR_JOB_SERVICE ? "service" : "batch");
  json_add_string (o, "state",
                   job->cancelled && job->state == RR_JOB_OPEN
                       ? "cancelling"
                       : rr_job_state_name (job->state));
  json_add_int (o, "tasks", job->spec.tasks);
  json_add_int (o, "running", running);
  json_add_int (o, "done", done);
  json_add_int (o, "failed", failed);
  json_add_int (o, "pending", pending);
  return o;
}

static void
add_history (struct json_object *o, const struct rr_job *job)
{
  struct json_object *list = json_object_new_array ();
  for (uint32_t i = 0; i < job->history_count; i++)
    {
      const struct rr_job_event *e = &job->history[i];
      struct json_object *entry = json_object_new_object ();
      json_add_int (entry, "at_ms", e->at_ms);
      json_add_int (entry, "task", e->task);
      json_add_int (entry, "attempt", e->attempt);
      json_add_string (entry, "event", rr_record_kind_name (e->kind));
      bool ended = e->kind == RR_RECORD_ATTEMPT_ENDED;
      bool placed = e->kind == RR_RECORD_ATTEMPT_PLACED;
      char detail[160];
      snprintf (
          detail, sizeof detail, "%s%s%s%s%s",
          ended ? rr_attempt_result_name (e->result) : "",
          ended ? ", proof: " : "", ended ? rr_end_proof_name (e->proof) : "",
          ended && e->text[0] != '\0' ? ", " : "", placed ? "" : e->text);
      json_add_string (entry, "worker", placed ? e->text : "");
      json_add_string (entry, "detail", detail);
      json_object_array_add (list, entry);
    }
  json_object_object_add (o, "history", list);
  json_add_int (o, "history_dropped", job->history_dropped);
}

/* Converts filter counts such as "cores=3 slots=1" to a JSON list.  */
static struct json_object *
filter_list (const char *filters)
{
  struct json_object *list = json_object_new_array ();
  char copy[200];
  snprintf (copy, sizeof copy, "%s", filters);
  char *save = NULL;
  for (char *word = strtok_r (copy, " ", &save); word != NULL;
       word = strtok_r (NULL, " ", &save))
    {
      char *equals = strchr (word, '=');
      if (equals == NULL)
        continue;
      *equals = '\0';
      struct json_object *f = json_object_new_object ();
      json_add_string (f, "name", word);
      json_add_int (f, "rejected", strtol (equals + 1, NULL, 10));
      json_object_array_add (list, f);
    }
  return list;
}

static struct json_object *
job_explain (struct shards *ss, const struct rr_job *job)
{
  struct json_object *o = json_object_new_object ();
  json_add_string (o, "id", job->spec.job);
  struct json_object *tasks = json_object_new_array ();
  for (uint32_t i = 0; i < job->spec.tasks; i++)
    {
      const struct rr_task *t = &job->tasks[i];
      const char *state = task_state_name (t);
      const char *filters = shards_task_filters_get (ss, job->spec.job, i);
      char reason[300] = "";
      if (strcmp (state, "pending") == 0)
        snprintf (reason, sizeof reason, "%s",
                  strchr (filters, '=') != NULL ? "no worker fits now"
                  : filters[0] != '\0'          ? filters
                                                : "waits for its turn");
      else if (rr_attempt_is_live (&t->attempt))
        snprintf (reason, sizeof reason, "attempt %u on %s", t->attempt.number,
                  t->attempt.worker);
      struct json_object *entry = json_object_new_object ();
      json_add_int (entry, "task", i);
      json_add_string (entry, "state", state);
      json_add_string (entry, "reason", reason);
      json_add_int (entry, "evictions", t->evictions);
      json_add_int (entry, "failures", t->failures);
      json_object_object_add (entry, "filters", filter_list (filters));
      json_object_array_add (tasks, entry);
    }
  json_object_object_add (o, "tasks", tasks);
  json_add_string (o, "note", job->note);
  return o;
}

/* Finds the job called ID, which is "TEAM:ID" or just "ID".  */
static struct rr_job *
job_find (struct shard *s, const char *id)
{
  struct rr_job_store *jobs = rr_shard_log_shard_state (s->log)->jobs;
  struct rr_job *job = rr_job_store_find (jobs, id);
  if (job != NULL || strchr (id, ':') != NULL)
    return job;
  struct rr_handle cursor = { 0 };
  while ((job = rr_job_store_next (jobs, &cursor)) != NULL)
    {
      const char *colon = strchr (job->spec.job, ':');
      if (colon != NULL && strcmp (colon + 1, id) == 0)
        return job;
    }
  return NULL;
}

static struct json_object *
list_jobs (struct shards *ss)
{
  struct json_object *o = json_object_new_object ();
  struct json_object *list = json_object_new_array ();
  size_t n = 0;
  for (uint32_t i = 0; i < RR_SHARD_COUNT; i++)
    {
      struct shard *s = &ss->shard[i];
      if (!rr_shard_log_is_owner (s->log))
        continue;
      struct rr_handle cursor = { 0 };
      struct rr_job *job;
      while (n < JOBS_LISTED_MAX
             && (job = rr_job_store_next (
                     rr_shard_log_shard_state (s->log)->jobs, &cursor))
                    != NULL)
        {
          json_object_array_add (list, job_summary (job));
          n++;
        }
    }
  json_object_object_add (o, "jobs", list);
  struct json_object *shards = json_object_new_array ();
  for (uint32_t i = 0; i < RR_SHARD_COUNT; i++)
    if (rr_shard_log_is_owner (ss->shard[i].log))
      json_object_array_add (shards, json_object_new_int ((int32_t)i));
  json_object_object_add (o, "shards", shards);
  return o;
}

static void
job_query_answer (struct shards *ss, const struct call_origin *origin,
                  const peer_job_args *a)
{
  if (a->id[0] == '\0')
    {
      reply_json (ss, origin, 200, list_jobs (ss));
      return;
    }
  for (uint32_t i = 0; i < RR_SHARD_COUNT; i++)
    {
      struct shard *s = &ss->shard[i];
      struct rr_job *job
          = rr_shard_log_is_owner (s->log) ? job_find (s, a->id) : NULL;
      if (job == NULL)
        continue;
      if (strcmp (a->detail, "explain") == 0)
        {
          reply_json (ss, origin, 200, job_explain (ss, job));
          return;
        }
      struct json_object *o = job_summary (job);
      add_history (o, job);
      reply_json (ss, origin, 200, o);
      return;
    }
  reply_error (ss, origin, 404, "not-found", "no such job");
}

static void
job_cancel_answer (struct shards *ss, const struct call_origin *origin,
                   const peer_job_args *a)
{
  for (uint32_t i = 0; i < RR_SHARD_COUNT; i++)
    {
      struct shard *s = &ss->shard[i];
      struct rr_job *job
          = rr_shard_log_is_owner (s->log) ? job_find (s, a->id) : NULL;
      if (job == NULL)
        continue;
      struct rr_record r = { .kind = RR_RECORD_JOB_CANCELLED };
      snprintf (r.u.job_cancelled.job, sizeof r.u.job_cancelled.job, "%s",
                job->spec.job);
      snprintf (r.u.job_cancelled.reason, sizeof r.u.job_cancelled.reason,
                "%s", "cancelled by an operator");
      struct rr_error err = { 0 };
      if (!shard_append (
              s, &r, pending_add (ss, PENDING_CANCEL, origin, job->spec.job),
              &err))
        reply_error (ss, origin, 503, rr_error_code_name (err.code),
                     err.message);
      return;
    }
  reply_error (ss, origin, 404, "not-found", "no such job");
}

static bool
job_id_fits (const struct rr_config_job *j)
{
  return strlen (j->team) + strlen (j->id) + 1 <= RR_NAME_MAX;
}

/* Fills SPEC from J, for which job_id_fits must hold.  */
static void
job_spec_fill (struct rr_record_job_submitted *spec,
               const struct rr_config_job *j)
{
  int n = snprintf (spec->job, sizeof spec->job, "%s:%s", j->team, j->id);
  assert (n > 0 && (size_t)n < sizeof spec->job);
  snprintf (spec->team, sizeof spec->team, "%s", j->team);
  snprintf (spec->job_class, sizeof spec->job_class, "%s", j->class_name);
  spec->kind = RR_JOB_BATCH;
  spec->tasks = (uint32_t)j->tasks;
  spec->cores_milli = (uint32_t)j->cores_milli;
  spec->memory_mb = (uint32_t)j->memory_mb;
  spec->accelerators = (uint32_t)j->accelerators;
  spec->work_ms = j->work_ms;
  spec->urgent = j->urgent;
  spec->isolation_limit_ms = j->isolation_limit_ms;
  spec->weight_milli = 1000;
  spec->max_failures = TASK_FAILURES_MAX;
}

static bool
job_specs_equal (const struct rr_record_job_submitted *a,
                 const struct rr_record_job_submitted *b)
{
  return strcmp (a->job_class, b->job_class) == 0 && a->tasks == b->tasks
         && a->cores_milli == b->cores_milli && a->memory_mb == b->memory_mb
         && a->accelerators == b->accelerators && a->work_ms == b->work_ms
         && a->urgent == b->urgent;
}

static void
job_submit (struct shards *ss, const struct call_origin *origin,
            const struct rr_config_job *j)
{
  struct shard *s = &ss->shard[rr_shard_for_key (j->team)];
  if (!rr_shard_log_is_owner (s->log))
    {
      reply_error (ss, origin, 503, "unavailable",
                   "the owner of this team's jobs has just changed");
      return;
    }
  struct rr_record r = { .kind = RR_RECORD_JOB_SUBMITTED };
  job_spec_fill (&r.u.job_submitted, j);
  struct rr_job *known = rr_job_store_find (
      rr_shard_log_shard_state (s->log)->jobs, r.u.job_submitted.job);
  if (known != NULL && job_specs_equal (&known->spec, &r.u.job_submitted))
    {
      reply_json (ss, origin, 200, job_summary (known));
      return;
    }
  if (known != NULL)
    {
      reply_error (ss, origin, 409, "conflict",
                   "a job of this id was accepted with other values; use a "
                   "new id");
      return;
    }
  struct rr_error err = { 0 };
  if (rr_shard_log_is_stalled (s->log)
      || !platform_reachable (ss->d->platform))
    rr_error_set (&err, RR_ERROR_UNAVAILABLE,
                  "the platform can't be reached; the job was not accepted");
  if (err.code != RR_OK
      || !shard_append (
          s, &r,
          pending_add (ss, PENDING_SUBMIT, origin, r.u.job_submitted.job),
          &err))
    reply_error (ss, origin, err.code == RR_ERROR_LIMIT ? 429 : 503,
                 rr_error_code_name (err.code), err.message);
}

static void
job_submit_answer (struct shards *ss, const struct call_origin *origin,
                   const peer_job_args *a)
{
  struct rr_config_file file = { .name = "job",
                                 .text = a->text.text_val,
                                 .length = a->text.text_len };
  struct rr_config_errors errors = { 0 };
  struct rr_config_job job = { 0 };
  bool ok = rr_config_parse_job (config_keeper_config (ss->d->config), &file,
                                 &job, &errors);
  if (!ok)
    reply_json (ss, origin, 400, config_errors_json (&errors, "the job"));
  else if (!job_id_fits (&job))
    reply_error (ss, origin, 400, "invalid",
                 "team and id together have more than 63 characters");
  else
    job_submit (ss, origin, &job);
  rr_config_errors_free (&errors);
}

/* Handles submissions, queries and cancellations of jobs (RPCs JOB_SUBMIT,
   JOB_QUERY and JOB_CANCEL).  */
void
shards_job_answer (struct shards *ss, const struct message_rpc_request *q)
{
  peer_job_args a = { 0 };
  if (!xdr_decode ((xdrproc_t)xdr_peer_job_args, &a, q->args, q->length))
    {
      daemon_reject (ss->d, &q->origin);
      return;
    }
  if (q->procedure == JOB_SUBMIT)
    job_submit_answer (ss, &q->origin, &a);
  else if (q->procedure == JOB_CANCEL)
    job_cancel_answer (ss, &q->origin, &a);
  else
    job_query_answer (ss, &q->origin, &a);
  xdr_free ((xdrproc_t)xdr_peer_job_args, &a);
}

/* Answers a submission or cancellation once the outcome of its record is
   known.  */
void
shards_job_settled (struct shard *s, const struct pending *p,
                    enum rr_commit commit, bool applied,
                    const struct rr_error *reason)
{
  struct rr_job *job
      = rr_job_store_find (rr_shard_log_shard_state (s->log)->jobs, p->id);
  switch (commit)
    {
    case RR_COMMITTED:
      if (applied && job != NULL)
        reply_json (s->ss, &p->origin, 202, job_summary (job));
      else
        reply_error (s->ss, &p->origin, 409, "conflict", reason->message);
      break;
    case RR_COMMIT_LOST:
      reply_error (s->ss, &p->origin, 503, "unavailable",
                   "the change was not recorded");
      break;
    case RR_COMMIT_UNKNOWN:
      reply_error (s->ss, &p->origin, 504, "timeout",
                   "whether the change was recorded is unknown");
      break;
    }
}

static void
queue_record (struct shard *s, struct rr_record *r)
{
  shard_append (s, r, pending_add (s->ss, PENDING_RECORD, NULL, ""), NULL);
}

/* Fills SPEC for the job that runs the service V.  The job's id depends on the
   number and size of the instances, so that a changed service gets new tasks
   and the old ones are cancelled.  */
static void
service_spec_fill (struct rr_record_job_submitted *spec,
                   const struct rr_config_service *v,
                   int64_t isolation_limit_ms)
{
  snprintf (spec->job, sizeof spec->job, "%.40s:svc-%x", v->name,
            (unsigned)(v->instances * 1000003 + v->cores_milli * 101
                       + v->memory_mb * 7 + v->accelerators)
                & 0xffffffu);
  snprintf (spec->team, sizeof spec->team, "%s", v->team);
  snprintf (spec->job_class, sizeof spec->job_class, "%s", v->class_name);
  snprintf (spec->service, sizeof spec->service, "%s", v->name);
  spec->kind = RR_JOB_SERVICE;
  spec->tasks = (uint32_t)v->instances;
  spec->cores_milli = (uint32_t)v->cores_milli;
  spec->memory_mb = (uint32_t)v->memory_mb;
  spec->accelerators = (uint32_t)v->accelerators;
  spec->urgent = true;
  spec->isolation_limit_ms = isolation_limit_ms;
  spec->weight_milli = 1000;
}

/* Submits the services and jobs that the configuration declares for this shard
   and that are not in its job store yet.  */
static void
submit_declared (struct shard *s, const struct rr_config *c)
{
  struct rr_job_store *jobs = rr_shard_log_shard_state (s->log)->jobs;
  for (size_t i = 0; i < c->service_count; i++)
    {
      const struct rr_config_service *v = &c->services[i];
      struct rr_record r = { .kind = RR_RECORD_JOB_SUBMITTED };
      service_spec_fill (&r.u.job_submitted, v, c->limits.isolation_limit_ms);
      if (rr_shard_for_key (v->team) == s->number
          && rr_job_store_find (jobs, r.u.job_submitted.job) == NULL)
        queue_record (s, &r);
    }
  for (size_t i = 0; i < c->job_count; i++)
    {
      const struct rr_config_job *j = &c->jobs[i];
      struct rr_record r = { .kind = RR_RECORD_JOB_SUBMITTED };
      if (rr_shard_for_key (j->team) != s->number || !job_id_fits (j))
        continue;
      job_spec_fill (&r.u.job_submitted, j);
      if (rr_job_store_find (jobs, r.u.job_submitted.job) == NULL)
        queue_record (s, &r);
    }
}

/* Cancels the jobs of services that the configuration no longer declares in
   this form.  */
static void
cancel_undeclared (struct shard *s, const struct rr_config *c)
{
  struct rr_job_store *jobs = rr_shard_log_shard_state (s->log)->jobs;
  struct rr_handle cursor = { 0 };
  struct rr_job *job;
  while ((job = rr_job_store_next (jobs, &cursor)) != NULL)
    {
      if (job->spec.kind != RR_JOB_SERVICE || job->state != RR_JOB_OPEN
          || job->cancelled)
        continue;
      const struct rr_config_service *v
          = rr_config_service (c, job->spec.service);
      struct rr_record_job_submitted spec = { 0 };
      if (v != NULL)
        service_spec_fill (&spec, v, 0);
      if (v != NULL && strcmp (spec.job, job->spec.job) == 0)
        continue;
      struct rr_record r = { .kind = RR_RECORD_JOB_CANCELLED };
      snprintf (r.u.job_cancelled.job, sizeof r.u.job_cancelled.job, "%s",
                job->spec.job);
      snprintf (r.u.job_cancelled.reason, sizeof r.u.job_cancelled.reason,
                "replaced by generation %lld",
                (long long)config_keeper_generation (s->ss->d->config));
      queue_record (s, &r);
    }
}

/* Reconciles the shard's jobs with the active configuration.  Does nothing
   before the first configuration.  */
void
shards_sync_config (struct shard *s)
{
  if (config_keeper_generation (s->ss->d->config) == 0)
    return;
  const struct rr_config *c = config_keeper_config (s->ss->d->config);
  submit_declared (s, c);
  cancel_undeclared (s, c);
}
