#include <stdio.h>
#include <string.h>

#include "../check_suite.h"
#include "rosemaryentryd/retention.h"

/* Removal of ended jobs from the store.  Two shards and a few jobs replace the
   records of the store.  */

enum
{
  SHARDS = 2,
  JOBS = 3,
  KEPT_MS = 180000
};

static struct shard_record shards[SHARDS]
    = { { .name = "s0" }, { .name = "s1" } };
static struct job_record jobs[JOBS];
static const struct rr_time late = { 1000000 };

struct shard_record *
records_shard_at (struct records *r, size_t i)
{
  (void)r;
  return &shards[i];
}

size_t
records_shard_count (const struct records *r)
{
  (void)r;
  return SHARDS;
}

void
records_part_id (const char *job, const char *shard,
                 char out[RR_JOB_NAME_SIZE])
{
  snprintf (out, RR_JOB_NAME_SIZE, "%.31s.%.31s", job, shard);
}

struct job_record *
records_job (struct records *r, const char *id)
{
  (void)r;
  for (size_t i = 0; i < JOBS; i++)
    if (strcmp (jobs[i].id, id) == 0)
      return &jobs[i];
  return NULL;
}

/* Sets job I, which ended at 1 s, to ID of JOB in SHARD; SHARD is null when it
   was cancelled and is not stored.  */
static struct job_record *
set_job (size_t i, const char *id, const char *job, const char *shard)
{
  struct job_record *j = &jobs[i];
  memset (j, 0, sizeof *j);
  snprintf (j->id, sizeof j->id, "%s", id);
  snprintf (j->job, sizeof j->job, "%s", job);
  snprintf (j->shard, sizeof j->shard, "%s", shard == NULL ? "" : shard);
  j->accepted = shard != NULL;
  j->cancelled = true;
  j->finished = rr_time_from_ms (1000);
  return j;
}

static bool
expired (const struct job_record *j, size_t shard, struct rr_time now)
{
  return retention_expired (NULL, &shards[shard], j, KEPT_MS, now);
}

/* Guards against a part of a divided job that outlives the job's cancellation:
   a daemon that starts then runs it again.  */
START_TEST (parts_go_first)
{
  memset (jobs, 0, sizeof jobs);
  const struct job_record *whole = set_job (0, "aa", "aa", "s0");
  struct job_record *part = set_job (1, "aa.s1", "aa", "s1");
  set_job (2, "bb", "bb", "s1");
  ck_assert (!expired (whole, 0, late));
  ck_assert (!expired (part, 0, late));
  ck_assert (expired (part, 1, late));
  memset (part, 0, sizeof *part);
  ck_assert (expired (whole, 0, late));
  ck_assert (!expired (whole, 1, late));
}
END_TEST

/* Guards against a job that is removed while a submission of it may still be
   carried out.  */
START_TEST (kept_for_late_writes)
{
  memset (jobs, 0, sizeof jobs);
  struct job_record *j = set_job (0, "aa", "aa", "s0");
  ck_assert (!expired (j, 0, rr_time_from_ms (1000 + KEPT_MS)));
  ck_assert (expired (j, 0, rr_time_from_ms (1001 + KEPT_MS)));
  j->finished.ms = 0;
  ck_assert (!expired (j, 0, late));
}
END_TEST

/* Guards against cancellations of jobs that were never stored that stay in the
   store for ever, or are removed by more than one owner.  */
START_TEST (cancellations_without_a_job)
{
  memset (jobs, 0, sizeof jobs);
  const struct job_record *j = set_job (0, "aa", "aa", NULL);
  ck_assert (expired (j, 0, late));
  ck_assert (!expired (j, 1, late));
}
END_TEST

SUITE ("retention", parts_go_first, kept_for_late_writes,
       cancellations_without_a_job)
