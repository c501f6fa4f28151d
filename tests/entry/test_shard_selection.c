#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryentryd/shard_fit.h"
#include "rosemaryentryd/shard_selection.h"
#include "rosemaryrail/queues.h"

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
static enum rr_step_state states[4];
static enum shard_verdict verdict;
static bool certain;

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
  memset (&entry, 0, sizeof entry);
  for (size_t i = 0; i < 4; i++)
    states[i] = RR_STEP_READY;
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
      w->memory_mb = 8000;
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

/* Returns the shard to which G goes from the shard number FROM, with what is
   left of it in STATES.  */
static struct shard_record *
transfer (size_t from, const struct rr_job_graph *g)
{
  return shard_selection_for_transfer (&entry, &shards[from], g, states, true,
                                       &verdict);
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
  ck_assert_ptr_null (transfer (0, g));
  ck_assert_int_eq (verdict, SHARD_FITS);
  ck_assert_ptr_eq (transfer (1, g), &shards[0]);
  ck_assert_int_eq (verdict, SHARD_UNFIT);
  shards[1].non_best_effort_cores_milli = 9000;
  ck_assert_ptr_eq (transfer (1, g), &shards[0]);
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
  ck_assert_ptr_null (transfer (0, g));
  shards[0].capacity_milli = 0;
  ck_assert_ptr_eq (transfer (0, g), &shards[1]);
  shards[1].owner_revision = 0;
  ck_assert_ptr_null (transfer (0, g));
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
  ck_assert_ptr_eq (shard_selection_for_task_transfer (
                        &entry, &shards[0], g, &tasks_max, &certain, &verdict),
                    &shards[1]);
  ck_assert_uint_eq (tasks_max, 4);
  ck_assert (certain);
  shards[1].largest_free_cores_milli = 900;
  ck_assert_ptr_null (shard_selection_for_task_transfer (
      &entry, &shards[0], g, &tasks_max, &certain, &verdict));
  rr_job_graph_free (g);
}
END_TEST

/* Guards against a long-running task that waits for 40 s beside a shard with a
   worker that has room for it: what waits in that shard, and fits nowhere,
   counted against it.  One task goes there, and the next one only when the
   owner has published that there is room.  */
START_TEST (room_on_one_worker)
{
  struct rr_job_graph *g = graph (1);
  size_t tasks_max = 0;
  shards[0].non_best_effort_cores_milli = 8000;
  shards[0].largest_free_cores_milli = 0;
  shards[1].non_best_effort_cores_milli = 9000;
  shards[1].largest_free_cores_milli = 1500;
  ck_assert_ptr_eq (shard_selection_for_task_transfer (
                        &entry, &shards[0], g, &tasks_max, &certain, &verdict),
                    &shards[1]);
  ck_assert_uint_eq (tasks_max, 1);
  ck_assert (!certain);
  shard_selection_add_tasks (&shards[1], g, 1);
  ck_assert_ptr_null (shard_selection_for_task_transfer (
      &entry, &shards[0], g, &tasks_max, &certain, &verdict));
  rr_job_graph_free (g);
}
END_TEST

/* Fails unless G, new or waiting in shard 1, goes to shard 0, and back from
   there to no other one.  */
static void
check_goes_to_first (const struct rr_job_graph *g)
{
  for (int i = 0; i < 50; i++)
    ck_assert_str_eq (shard_selection_for_job (&entry, g)->name, "s0");
  /* Also while the shard that can run it is the fuller one.  */
  shards[0].non_best_effort_cores_milli = 9000;
  ck_assert_ptr_eq (transfer (1, g), &shards[0]);
  ck_assert_int_eq (verdict, SHARD_UNFIT);
  ck_assert_ptr_null (transfer (0, g));
  ck_assert_int_eq (verdict, SHARD_FITS);
  shards[0].non_best_effort_cores_milli = 0;
}

/* Guards against a job that is given to a shard where no worker can run it, or
   stays there, since another worker lacks what it needs: case 9 of the
   second review (accelerators), and the same by other conditions.  */
START_TEST (workers_that_cannot_run_it)
{
  struct rr_job_graph *g = graph (1);
  g->steps[0].accelerators = 1;
  workers[2].info.accelerators = 1;
  check_goes_to_first (g);
  g->steps[0].accelerators = 0;
  g->steps[0].memory_mb = 9000;
  workers[2].info.memory_mb = 10000;
  check_goes_to_first (g);
  g->steps[0].memory_mb = 0;
  g->steps[0].cores_milli = 5000;
  workers[2].info.cores_milli = 6000;
  check_goes_to_first (g);
  /* Only a worker that meets all conditions counts.  */
  workers[1].info.accelerators = 1;
  workers[3].info.cores_milli = 6000;
  g->steps[0].accelerators = 1;
  check_goes_to_first (g);
  rr_job_graph_free (g);
}
END_TEST

/* Guards against a job that stays with workers that drain or belong to the
   former service of its queue, while others could run it.  */
START_TEST (workers_that_leave_or_serve_others)
{
  struct rr_job_graph *g = graph (1);
  workers[1].info.draining = workers[3].info.draining = true;
  check_goes_to_first (g);
  for (size_t i = 0; i < WORKERS; i++)
    workers[i].info.draining = false;
  snprintf (workers[1].info.service, RR_JOB_NAME_SIZE, "lab");
  snprintf (workers[3].info.service, RR_JOB_NAME_SIZE, "lab");
  check_goes_to_first (g);
  struct rr_queues *q = rr_queues_new (1);
  snprintf (g->queue, sizeof g->queue, "q");
  snprintf (q->routes[0].policy.queue, RR_JOB_NAME_SIZE, "q");
  snprintf (q->routes[0].policy.service, RR_JOB_NAME_SIZE, "lab");
  entry.queues = q;
  ck_assert_str_eq (shard_selection_for_job (&entry, g)->name, "s1");
  ck_assert_ptr_eq (transfer (0, g), &shards[1]);
  rr_queues_free (q);
  rr_job_graph_free (g);
}
END_TEST

/* Guards against a gang in a shard that has no room for all its members at the
   same time.  */
START_TEST (gang_needs_room_for_all)
{
  struct rr_job_graph *g = graph (1);
  g->steps[0].gang = true;
  g->steps[0].task_count = 9;
  workers[2].info.cores_milli = 8000;
  check_goes_to_first (g);
  g->steps[0].task_count = 2;
  g->steps[0].per_worker_max = 1;
  workers[3].info.draining = true;
  check_goes_to_first (g);
  g->steps[0].task_count = 3;
  ck_assert_ptr_null (transfer (0, g));
  ck_assert_int_eq (verdict, SHARDS_UNFIT);
  ck_assert_str_eq (shard_fit_missing (&entry, g, 0), "gang");
  rr_job_graph_free (g);
}
END_TEST

/* Guards against a job whose steps need workers of two shards and which is run
   by neither, and against one that goes back and forth between them.  */
START_TEST (steps_of_two_shards)
{
  label (0, "b");
  label (1, "c");
  struct rr_job_graph *g = graph (2);
  snprintf (g->steps[0].required_label, RR_JOB_NAME_SIZE, "b");
  snprintf (g->steps[1].required_label, RR_JOB_NAME_SIZE, "c");
  int32_t after = 0;
  g->steps[1].after = &after;
  g->steps[1].after_count = 1;
  states[1] = RR_STEP_LATER;
  check_goes_to_first (g);
  shards[0].non_best_effort_cores_milli = 9000;
  ck_assert_ptr_null (transfer (0, g));
  states[0] = RR_STEP_OVER;
  states[1] = RR_STEP_READY;
  ck_assert_ptr_eq (transfer (0, g), &shards[1]);
  shards[0].non_best_effort_cores_milli = 0;
  shards[1].non_best_effort_cores_milli = 9000;
  ck_assert_ptr_null (transfer (1, g));
  g->steps[1].after = NULL;
  g->steps[1].after_count = 0;
  rr_job_graph_free (g);
}
END_TEST

/* Guards against a job that is passed around when no shard can run it, or
   whose reason is not shown.  */
START_TEST (no_worker_can_run_it)
{
  struct rr_job_graph *g = graph (1);
  struct rr_job_graph_step *s = &g->steps[0];
  s->accelerators = 1;
  shards[0].non_best_effort_cores_milli = 9000;
  ck_assert_ptr_null (transfer (0, g));
  ck_assert_int_eq (verdict, SHARDS_UNFIT);
  ck_assert_str_eq (shard_fit_missing (&entry, g, 0), "accelerators");
  s->memory_mb = 9000;
  ck_assert_str_eq (shard_fit_missing (&entry, g, 0), "memory");
  s->cores_milli = 9000;
  ck_assert_str_eq (shard_fit_missing (&entry, g, 0), "cores");
  snprintf (s->required_label, RR_JOB_NAME_SIZE, "b");
  ck_assert_str_eq (shard_fit_missing (&entry, g, 0), "label");
  snprintf (g->service, sizeof g->service, "lab");
  ck_assert_str_eq (shard_fit_missing (&entry, g, 0), "service");
  /* It goes as soon as there is a worker, to a shard that has an owner.  */
  snprintf (g->service, sizeof g->service, "desk");
  s->required_label[0] = '\0';
  s->cores_milli = s->memory_mb = 1000;
  workers[1].info.accelerators = 1;
  shards[1].owner_revision = 0;
  ck_assert_ptr_null (transfer (0, g));
  ck_assert_int_eq (verdict, SHARD_UNFIT);
  shards[1].owner_revision = 1;
  ck_assert_ptr_eq (transfer (0, g), &shards[1]);
  rr_job_graph_free (g);
}
END_TEST

/* Guards against a job that does not leave a shard that can't run it since it
   has changed its shard for free capacity too often.  */
START_TEST (transfers_to_a_worker_are_not_limited)
{
  struct rr_job_graph *g = graph (1);
  shards[0].non_best_effort_cores_milli = 9000;
  ck_assert_ptr_eq (transfer (0, g), &shards[1]);
  ck_assert_ptr_null (shard_selection_for_transfer (&entry, &shards[0], g,
                                                    states, false, &verdict));
  g->steps[0].accelerators = 1;
  workers[1].info.accelerators = 1;
  ck_assert_ptr_eq (shard_selection_for_transfer (&entry, &shards[0], g,
                                                  states, false, &verdict),
                    &shards[1]);
  rr_job_graph_free (g);
}
END_TEST

/* Guards against tasks of long-running jobs that stay where no worker can run
   them since the shard that has one is full, and against their return.  */
START_TEST (long_running_tasks_without_a_worker)
{
  struct rr_job_graph *g = graph (1);
  g->steps[0].long_running = true;
  g->steps[0].accelerators = 1;
  workers[1].info.accelerators = 1;
  size_t tasks_max = 0;
  /* Worker 1 may be full: what is free may be on worker 3.  */
  workers[0].info.accelerators = 1;
  shards[1].non_best_effort_cores_milli = 4000;
  ck_assert_ptr_eq (shard_selection_for_task_transfer (
                        &entry, &shards[0], g, &tasks_max, &certain, &verdict),
                    &shards[1]);
  ck_assert (!certain);
  workers[0].info.accelerators = 0;
  shards[1].non_best_effort_cores_milli = 8000;
  shards[1].largest_free_cores_milli = 0;
  ck_assert_ptr_eq (shard_selection_for_task_transfer (
                        &entry, &shards[0], g, &tasks_max, &certain, &verdict),
                    &shards[1]);
  ck_assert_uint_ge (tasks_max, 2);
  ck_assert_ptr_null (shard_selection_for_task_transfer (
      &entry, &shards[1], g, &tasks_max, &certain, &verdict));
  ck_assert_int_eq (verdict, SHARD_FITS);
  workers[1].info.accelerators = 0;
  ck_assert_ptr_null (shard_selection_for_task_transfer (
      &entry, &shards[0], g, &tasks_max, &certain, &verdict));
  ck_assert_int_eq (verdict, SHARDS_UNFIT);
  rr_job_graph_free (g);
}
END_TEST

/* Guards against a job that is moved on, or back, from the shard to which it
   went for a worker, while workers and steps stay as they are: random workers,
   steps and loads.  */
START_TEST (one_move_for_a_worker)
{
  enum
  {
    ROUNDS = 2000
  };
  static const char *const labels[] = { "", "b", "c" };
  struct rr_job_graph *g = graph (3);
  size_t moves = 0;
  srand (48);
  for (int round = 0; round < ROUNDS; round++)
    {
      for (size_t i = 0; i < WORKERS; i++)
        {
          label (i, labels[rand () % 3]);
          workers[i].info.accelerators = rand () % 3;
          workers[i].info.draining = rand () % 4 == 0;
        }
      for (size_t i = 0; i < 3; i++)
        {
          struct rr_job_graph_step *s = &g->steps[i];
          snprintf (s->required_label, RR_JOB_NAME_SIZE, "%s",
                    labels[rand () % 3]);
          s->accelerators = rand () % 3;
          s->gang = rand () % 4 == 0;
          states[i] = (enum rr_step_state) (rand () % 3);
        }
      for (size_t i = 0; i < SHARDS; i++)
        shards[i].non_best_effort_cores_milli = rand () % 20000;
      struct shard_record *to = shard_selection_for_transfer (
          &entry, &shards[0], g, states, false, &verdict);
      if (to == NULL)
        continue;
      moves++;
      ck_assert_ptr_null (shard_selection_for_transfer (&entry, to, g, states,
                                                        false, &verdict));
      ck_assert_int_eq (verdict, SHARD_FITS);
      /* Nor does free capacity draw it back to where it can't run.  */
      shards[0].capacity_milli = 90000;
      ck_assert_ptr_null (shard_selection_for_transfer (&entry, to, g, states,
                                                        true, &verdict));
      shards[0].capacity_milli = 8000;
    }
  ck_assert_uint_gt (moves, ROUNDS / 20);
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
  tcase_add_test (tc, workers_that_cannot_run_it);
  tcase_add_test (tc, workers_that_leave_or_serve_others);
  tcase_add_test (tc, gang_needs_room_for_all);
  tcase_add_test (tc, steps_of_two_shards);
  tcase_add_test (tc, no_worker_can_run_it);
  tcase_add_test (tc, transfers_to_a_worker_are_not_limited);
  tcase_add_test (tc, long_running_tasks_without_a_worker);
  tcase_add_test (tc, room_on_one_worker);
  tcase_add_test (tc, one_move_for_a_worker);
  suite_add_tcase (s, tc);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? 0 : 1;
}
