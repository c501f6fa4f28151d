#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../check_suite.h"
#include "platform/documents.h"
#include "rosemaryrail/job_graph.h"
#include "rosemaryrail/progress.h"

/* Jobs as callers submit them are stored and read again whole, whatever the
   values of their fields are.  */

static struct rr_job_graph *
stored_and_read (const struct rr_job_graph *g)
{
  struct rr_error err = { 0 };
  char *text = rr_job_graph_encode (g);
  struct rr_job_graph *copy = rr_job_graph_decode (text, strlen (text), &err);
  ck_assert_msg (copy != NULL, "%s: %s", err.message, text);
  free (text);
  return copy;
}

/* Compares all members but the pointers, which are compared one by one.  */
static void
assert_same_graph (const struct rr_job_graph *a, const struct rr_job_graph *b)
{
  struct rr_job_graph x = *a;
  struct rr_job_graph y = *b;
  ck_assert (rr_text_equal (x.spec, y.spec));
  x.spec = y.spec = NULL;
  ck_assert (x.progress == NULL ? y.progress == NULL
                                : strcmp (x.progress, y.progress) == 0);
  x.progress = y.progress = NULL;
  ck_assert_uint_eq (x.step_count, y.step_count);
  ck_assert_uint_eq (x.share_count, y.share_count);
  for (size_t i = 0; i < x.share_count; i++)
    {
      ck_assert_uint_eq (x.share[i].task, y.share[i].task);
      ck_assert_uint_eq (x.share[i].first_run, y.share[i].first_run);
      ck_assert_uint_eq (x.share[i].crashes, y.share[i].crashes);
      ck_assert_uint_eq (x.share[i].moves, y.share[i].moves);
    }
  x.share = y.share = NULL;
  for (size_t i = 0; i < x.step_count; i++)
    {
      struct rr_job_graph_step s = x.steps[i];
      struct rr_job_graph_step t = y.steps[i];
      ck_assert_uint_eq (s.after_count, t.after_count);
      ck_assert (s.after_count == 0
                 || memcmp (s.after, t.after, s.after_count * sizeof *s.after)
                        == 0);
      s.after = t.after = NULL;
      ck_assert_mem_eq (&s, &t, sizeof s);
    }
  x.steps = y.steps = NULL;
  ck_assert_mem_eq (&x, &y, sizeof x);
}

static void
fill_name (char *out, char c)
{
  for (size_t i = 0; i < RR_JOB_NAME_SIZE - 1; i++)
    out[i] = c;
  out[RR_JOB_NAME_SIZE - 1] = '\0';
}

/* Guards against a job with an empty, missing or odd spec that ends its owner
   at the first start, or whose tasks get another spec.  */
START_TEST (specs_pass_whole)
{
  static const struct
  {
    const char *member;
    size_t length;
  } specs[] = { { "", 0 },
                { "\"spec\":\"\",", 0 },
                { "\"spec\":\"x\",", 1 },
                { "\"spec\":\"\\u0000\",", 1 },
                { "\"spec\":\"a\\u0000b\",", 3 },
                { "\"spec\":\"\\\"\\\\/\\n\",", 4 },
                { "\"spec\":\"\xc3\xa9\",", 2 } };
  for (size_t i = 0; i < sizeof specs / sizeof specs[0]; i++)
    {
      char body[128];
      struct rr_error err = { 0 };
      int n = snprintf (body, sizeof body, "{%s\"steps\":[{\"count\":1}]}",
                        specs[i].member);
      struct rr_job_graph *g
          = platform_job_decode ("5c0e7a21d94b36f8", body, (size_t)n, &err);
      ck_assert_msg (g != NULL, "%s: %s", body, err.message);
      struct rr_job_graph *copy = stored_and_read (g);
      ck_assert_uint_eq (rr_text_length (g->spec), specs[i].length);
      assert_same_graph (g, copy);
      rr_job_graph_free (copy);
      rr_job_graph_free (g);
    }
}
END_TEST

/* Guards against a spec of the greatest length that is refused or cut, and
   against longer ones and other types that are accepted.  */
START_TEST (spec_limits)
{
  static const struct
  {
    int length;
    bool valid;
  } lengths[] = { { 3999, true }, { 4000, true }, { 4001, false } };
  static char body[8192];
  struct rr_error err;
  for (size_t i = 0; i < sizeof lengths / sizeof lengths[0]; i++)
    {
      int n = snprintf (body, sizeof body,
                        "{\"spec\":\"%0*d\",\"steps\":[{\"count\":1}]}",
                        lengths[i].length, 7);
      memset (&err, 0, sizeof err);
      struct rr_job_graph *g
          = platform_job_decode ("5c0e7a21d94b36f8", body, (size_t)n, &err);
      ck_assert ((g != NULL) == lengths[i].valid);
      if (g != NULL)
        ck_assert_uint_eq (rr_text_length (g->spec),
                           (size_t)lengths[i].length);
      rr_job_graph_free (g);
    }
  static const char number[] = "{\"spec\":7,\"steps\":[{\"count\":1}]}";
  memset (&err, 0, sizeof err);
  ck_assert_ptr_null (platform_job_decode ("5c0e7a21d94b36f8", number,
                                           sizeof number - 1, &err));
  ck_assert_str_eq (err.message, "field \"spec\" is not a string");
}
END_TEST

/* Guards against members of a job that are written but not read, or are not
   written, at either end of their ranges.  */
START_TEST (graphs_at_their_limits)
{
  struct rr_job_graph *g = rr_job_graph_new (2);
  g->steps[0].task_count = 1;
  g->steps[1].task_count = 1;
  struct rr_job_graph *copy = stored_and_read (g);
  assert_same_graph (g, copy);
  rr_job_graph_free (copy);

  fill_name (g->id, 'i');
  fill_name (g->queue, 'q');
  fill_name (g->service, 's');
  fill_name (g->shard, '"');
  g->attempts_max = INT32_MAX;
  g->needs_permits = true;
  g->spec = rr_text_new ("\0\n", 2);
  g->scheduled = true;
  g->first_run_ms = INT64_MAX;
  g->interval_ms = INT64_MAX;
  g->accepted_ms = INT64_MIN;
  g->progress = strdup ("{\"phase\":\"queued\",\"tasks\":[]}");
  g->run_base = INT64_MAX;
  struct rr_job_graph_step *s = &g->steps[1];
  s->cores_milli = s->memory_mb = s->accelerators = INT64_MAX;
  s->estimate_ms = s->tail_target_ms = INT64_MAX;
  s->per_worker_max = s->unavailable_max = INT32_MAX;
  fill_name (s->required_label, 'l');
  fill_name (s->rack, 'r');
  fill_name (s->image, '\\');
  s->after = calloc (1, sizeof *s->after);
  s->after_count = 1;
  bool *const flags[]
      = { &s->gang,         &s->same_rack,     &s->speculative,
          &s->long_running, &s->checkpointing, &s->best_effort };
  for (size_t i = 0; i < sizeof flags / sizeof flags[0]; i++)
    {
      *flags[i] = true;
      copy = stored_and_read (g);
      assert_same_graph (g, copy);
      rr_job_graph_free (copy);
      *flags[i] = false;
    }
  rr_job_graph_free (g);
}
END_TEST

/* Guards against the share of a divided job that is read back without its
   task 0, or as that of a whole job when it is empty.  */
START_TEST (shares)
{
  struct rr_job_graph *g = rr_job_graph_new (1);
  g->steps[0].task_count = 3;
  g->steps[0].long_running = true;
  rr_job_graph_divide (g, false);
  struct rr_job_graph *copy = stored_and_read (g);
  assert_same_graph (g, copy);
  rr_job_graph_free (copy);
  rr_job_graph_share_add (g, 0, 0, 0);
  rr_job_graph_share_add (g, 1, 0, 2);
  rr_job_graph_share_add (g, 2, INT64_MAX, 0);
  g->share[1].moves = 3;
  copy = stored_and_read (g);
  assert_same_graph (g, copy);
  rr_job_graph_free (copy);
  rr_job_graph_free (g);
}
END_TEST

/* Guards against a stored job with a number or type that was never written
   that is read as something else.  */
START_TEST (odd_stored_graphs)
{
  static const char *const odd[]
      = { "{\"spec\":7,\"steps\":[{\"tasks\":1}]}",
          "{\"spec\":null,\"steps\":[{\"tasks\":1}]}",
          "{\"progress\":null,\"steps\":[{\"tasks\":1}]}",
          "{\"steps\":[{\"tasks\":4294967297}]}",
          "{\"run_base\":-1,\"steps\":[{\"tasks\":1}]}",
          "{\"steps\":[{\"tasks\":1,\"after\":7}]}",
          "{\"steps\":[{\"tasks\":1,\"flags\":8}],\"share\":{}}",
          "{\"steps\":[{\"tasks\":1,\"flags\":8}],\"share\":[[0,\"1\"]]}",
          "{\"steps\":[null]}" };
  for (size_t i = 0; i < sizeof odd / sizeof odd[0]; i++)
    {
      struct rr_error err = { 0 };
      ck_assert_msg (rr_job_graph_decode (odd[i], strlen (odd[i]), &err)
                         == NULL,
                     "%s", odd[i]);
      ck_assert_int_eq (err.code, RR_ERROR_INVALID);
    }
}
END_TEST

static void
assert_same_runs (const struct rr_run_set *a, const struct rr_run_set *b)
{
  ck_assert_uint_eq (a->count, b->count);
  for (size_t i = 0; i < a->count; i++)
    ck_assert_uint_eq (a->runs[i], b->runs[i]);
}

/* Guards against a checkpoint that is cut or lost in the stored progress, so
   that a start gets one that no run has saved, and against other members of a
   row that are read back as something else.  */
START_TEST (progress_rows)
{
  static char bytes[100000];
  memset (bytes, 'c', sizeof bytes);
  bytes[sizeof bytes / 2] = '\0';
  static const size_t lengths[] = { 0, 1, 63, 64, 100, sizeof bytes };
  for (size_t i = 0; i < sizeof lengths / sizeof lengths[0]; i++)
    {
      struct rr_error err = { 0 };
      struct rr_progress_row *rows = calloc (3, sizeof *rows);
      rows[0].checkpoint = rr_text_new (bytes, lengths[i]);
      rows[1].number = UINT32_MAX;
      rows[1].run = INT64_MAX;
      rows[1].recorded_ends = UINT64_MAX;
      rows[1].failures = rows[1].crashes = UINT32_MAX;
      rows[1].done = true;
      rows[1].checkpoint = rr_text_new (bytes, lengths[i]);
      rows[1].checkpoint_run = INT64_MAX;
      rows[2].crashes = 1;
      rr_run_set_add (&rows[0].failed_runs, 7);
      rr_run_set_add (&rows[1].older_ends, INT64_MAX - 1);
      rr_run_set_add (&rows[1].older_ends, 1);
      struct rr_progress p
          = { .phase = RR_PHASE_ACTIVE, .rows = rows, .row_count = 3 };
      char *text = rr_progress_encode (&p);
      struct rr_progress *copy
          = rr_progress_decode (text, strlen (text), &err);
      ck_assert_msg (copy != NULL, "%s", err.message);
      ck_assert_uint_eq (copy->row_count, 3);
      for (size_t k = 0; k < 3; k++)
        {
          struct rr_progress_row a = rows[k];
          struct rr_progress_row b = copy->rows[k];
          ck_assert (rr_text_equal (a.checkpoint, b.checkpoint));
          assert_same_runs (&a.older_ends, &b.older_ends);
          assert_same_runs (&a.failed_runs, &b.failed_runs);
          a.checkpoint = b.checkpoint = NULL;
          a.older_ends = b.older_ends = (struct rr_run_set){ 0 };
          a.failed_runs = b.failed_runs = (struct rr_run_set){ 0 };
          ck_assert_mem_eq (&a, &b, sizeof a);
          rr_text_unref (rows[k].checkpoint);
          rr_run_set_clear (&rows[k].older_ends);
          rr_run_set_clear (&rows[k].failed_runs);
        }
      free (rows);
      free (text);
      rr_progress_free (copy);
    }
}
END_TEST

/* Guards against progress of an earlier version, with shorter rows, that is
   not read, and against a phase or a row of another type that ends the
   process.  */
START_TEST (other_progress)
{
  struct rr_error err = { 0 };
  static const char earlier[]
      = "{\"phase\":\"active\",\"tasks\":[[0,2,1,1,3],[1,1,0,0,1,\"c\"]]}";
  struct rr_progress *p
      = rr_progress_decode (earlier, sizeof earlier - 1, &err);
  ck_assert_ptr_nonnull (p);
  ck_assert (p->rows[0].done);
  ck_assert_str_eq (rr_text_bytes (p->rows[1].checkpoint), "c");
  rr_progress_free (p);
  static const char *const odd[]
      = { "{\"phase\":null,\"tasks\":[]}",
          "{\"phase\":\"active\",\"tasks\":[null]}",
          "{\"phase\":\"active\",\"tasks\":[[0,-1]]}",
          "{\"phase\":\"active\",\"tasks\":[[0,1,0,0,1,7]]}",
          "{\"phase\":\"active\",\"tasks\":[[0,1,0,0,1,\"\",0,0,7]]}",
          "{\"phase\":\"active\",\"tasks\":[[0,1,0,0,1,\"\",0,0,[0]]]}",
          "{\"phase\":\"active\",\"tasks\":[[0,1,0,0,1,\"\",0,0,[],[2,2]]]}" };
  for (size_t i = 0; i < sizeof odd / sizeof odd[0]; i++)
    ck_assert_msg (rr_progress_decode (odd[i], strlen (odd[i]), &err) == NULL,
                   "%s", odd[i]);
}
END_TEST

/* Guards against a full set of runs that drops the highest ones or has one
   twice.  */
START_TEST (run_sets)
{
  struct rr_run_set s = { 0 };
  for (uint64_t run = 90; run > 0; run -= 3)
    rr_run_set_add (&s, run);
  rr_run_set_add (&s, 45);
  ck_assert_uint_eq (s.count, 30);
  ck_assert (rr_run_set_contains (&s, 3) && rr_run_set_contains (&s, 90));
  ck_assert (!rr_run_set_contains (&s, 4) && !rr_run_set_contains (&s, 93));
  rr_run_set_keep_highest (&s, 2);
  ck_assert (rr_run_set_contains (&s, 87) && rr_run_set_contains (&s, 90));
  ck_assert_uint_eq (s.count, 2);
  rr_run_set_clear (&s);
  ck_assert (!rr_run_set_contains (&s, 90));
}
END_TEST

SUITE ("stored forms", run_sets, specs_pass_whole, spec_limits,
       graphs_at_their_limits, shares, odd_stored_graphs, progress_rows,
       other_progress)
