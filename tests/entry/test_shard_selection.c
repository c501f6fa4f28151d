#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryentryd/shard_selection.h"

/* Selection of a shard for a job.  Two shards of two workers each replace the
   records of the store.  */

enum
{
  WORKERS = 4,
  SHARDS = 2
};

static struct platform_worker workers[WORKERS];
static struct shard_record shards[SHARDS];
static struct entry entry;

const struct platform_worker *
records_worker_next (const struct records *r, struct rr_handle *cursor)
{
  (void)r;
  return cursor->index < WORKERS ? &workers[cursor->index++] : NULL;
}

const struct shard_record *
records_shard_of_worker (const struct records *r,
                         const struct platform_worker *w)
{
  (void)r;
  return &shards[(w - workers) % SHARDS];
}

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

static void
setup (void)
{
  memset (workers, 0, sizeof workers);
  memset (shards, 0, sizeof shards);
  for (size_t i = 0; i < SHARDS; i++)
    {
      snprintf (shards[i].name, sizeof shards[i].name, "s%zu", i);
      shards[i].owner_revision = 1;
      shards[i].capacity_milli = 8000;
      shards[i].largest_free_cores_milli = 4000;
    }
  for (size_t i = 0; i < WORKERS; i++)
    {
      struct rr_worker_info *w = &workers[i].info;
      snprintf (w->id, sizeof w->id, "w%zu", i);
      snprintf (w->service, sizeof w->service, "desk");
      w->cores_milli = 4000;
      w->label_count = 1;
    }
}

static void
label (size_t worker, const char *name)
{
  snprintf (workers[worker].info.labels[0], RR_JOB_NAME_SIZE, "%s", name);
}

static struct rr_job_graph *
graph (size_t steps)
{
  struct rr_job_graph *g = rr_job_graph_new (steps);
  snprintf (g->service, sizeof g->service, "desk");
  for (size_t i = 0; i < steps; i++)
    {
      g->steps[i].task_count = 2;
      g->steps[i].cores_milli = 1000;
    }
  return g;
}

/* Guards against a job whose steps require different labels being treated as
   one that no shard can run.  It was then sent to a shard without these
   labels.  */
START_TEST (labels_of_different_steps)
{
  label (0, "fast");
  label (2, "wide");
  struct rr_job_graph *g = graph (2);
  snprintf (g->steps[0].required_label, RR_JOB_NAME_SIZE, "fast");
  snprintf (g->steps[1].required_label, RR_JOB_NAME_SIZE, "wide");
  for (int i = 0; i < 50; i++)
    ck_assert_str_eq (shard_selection_for_job (&entry, g)->name, "s0");
  ck_assert_ptr_null (shard_selection_for_transfer (&entry, &shards[0], g));
  ck_assert_ptr_eq (shard_selection_for_transfer (&entry, &shards[1], g),
                    NULL);
  shards[1].non_best_effort_cores_milli = 9000;
  ck_assert_ptr_eq (shard_selection_for_transfer (&entry, &shards[1], g),
                    &shards[0]);
  rr_job_graph_free (g);
}
END_TEST

/* Guards against a job that keeps waiting for the rack of its data when its
   shard has no workers left, and against a job that is moved away from its
   data for a little free capacity.  */
START_TEST (data_in_a_lost_shard)
{
  label (0, "r1");
  struct rr_job_graph *g = graph (1);
  snprintf (g->steps[0].rack, RR_JOB_NAME_SIZE, "r1");
  shards[0].non_best_effort_cores_milli = 9000;
  ck_assert_ptr_null (shard_selection_for_transfer (&entry, &shards[0], g));
  shards[0].capacity_milli = 0;
  ck_assert_ptr_eq (shard_selection_for_transfer (&entry, &shards[0], g),
                    &shards[1]);
  shards[1].owner_revision = 0;
  ck_assert_ptr_null (shard_selection_for_transfer (&entry, &shards[0], g));
  rr_job_graph_free (g);
}
END_TEST

/* Guards against tasks sent to a shard whose free capacity is fragmented: no
   worker has enough free cores for one of them.  */
START_TEST (fragmented_capacity)
{
  struct rr_job_graph *g = graph (1);
  size_t tasks_max = 0;
  shards[0].capacity_milli = 0;
  ck_assert_ptr_eq (
      shard_selection_for_task_transfer (&entry, &shards[0], g, &tasks_max),
      &shards[1]);
  ck_assert_uint_eq (tasks_max, 4);
  shards[1].largest_free_cores_milli = 900;
  ck_assert_ptr_null (
      shard_selection_for_task_transfer (&entry, &shards[0], g, &tasks_max));
  rr_job_graph_free (g);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("shard selection");
  TCase *tc = tcase_create ("shard selection");
  tcase_add_checked_fixture (tc, setup, NULL);
  tcase_add_test (tc, labels_of_different_steps);
  tcase_add_test (tc, data_in_a_lost_shard);
  tcase_add_test (tc, fragmented_capacity);
  suite_add_tcase (s, tc);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? 0 : 1;
}
